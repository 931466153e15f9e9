package links

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Datagrams is a link for UDP: a proxy with loss, duplicates, reordering, delay and silence, by direction.
type Datagrams struct {
	Link                    // only its faults and random numbers are used; no TCP connections pass
	conn       *net.UDPConn // at the link's own address
	targetAddr *net.UDPAddr
	upstreams  sync.Map // by the sender's address: the socket from which its datagrams go on to the target
}

// NewDatagrams opens a UDP link from a loopback address to a target. The seed determines its random numbers.
func NewDatagrams(at, to string, seed uint64) (*Datagrams, error) {
	addr, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		return nil, err
	}
	dst, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	if !addr.IP.IsLoopback() {
		return nil, errors.New("links: " + at + " is not loopback")
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	d := &Datagrams{conn: conn, targetAddr: dst, Link: Link{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 2)), faults: map[int]Fault{}}}
	go d.receive(conn, ToServer, func(from *net.UDPAddr, data []byte) {
		upstream, known := d.upstreams.Load(from.String())
		if !known {
			out, err := net.DialUDP("udp", nil, d.targetAddr)
			if err != nil {
				return
			}
			d.upstreams.Store(from.String(), out)
			upstream = out
			go d.receive(out, ToClient, func(_ *net.UDPAddr, data []byte) { conn.WriteToUDP(data, from) })
		}
		upstream.(*net.UDPConn).Write(data)
	})
	return d, nil
}

// Addr returns the link's own address.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Set puts a fault in force under a number. A cut loses all datagrams, as silence does.
func (d *Datagrams) Set(n int, f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.Silent = f.Silent || f.Cut
	d.faults[n] = f
}

// Clear ends the fault with a number.
func (d *Datagrams) Clear(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.faults, n)
}

// Close closes the link and its sockets.
func (d *Datagrams) Close() {
	d.conn.Close()
	d.upstreams.Range(func(_, way any) bool { way.(*net.UDPConn).Close(); return true })
}

// receive reads datagrams and forwards them according to the faults in their direction, until the socket is closed.
func (d *Datagrams) receive(in *net.UDPConn, direction Direction, forward func(*net.UDPAddr, []byte)) {
	var held []byte // a datagram that waits to be overtaken by the next one
	var heldFrom *net.UDPAddr
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := in.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		f, _, _ := d.faultFor(direction)
		if f.Silent || f.Loss > 0 && d.random() < f.Loss {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		wait := f.Delay
		if f.Jitter > 0 {
			wait += time.Duration(d.random() * float64(f.Jitter))
		}
		deliver := func(from *net.UDPAddr, data []byte) {
			if wait > 0 {
				time.AfterFunc(wait, func() { forward(from, data) })
			} else {
				forward(from, data)
			}
		}
		if held == nil && f.Reorder > 0 && d.random() < f.Reorder {
			held, heldFrom = data, from
			continue
		}
		deliver(from, data)
		if f.Duplicate > 0 && d.random() < f.Duplicate {
			deliver(from, data)
		}
		if held != nil {
			deliver(heldFrom, held)
			held = nil
		}
	}
}
