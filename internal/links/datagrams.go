package links

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Datagrams is a link for UDP: loss, copies, other order, delay and silence, by direction.
type Datagrams struct {
	Link       // its faults; no TCP passes
	conn       *net.UDPConn
	targetAddr *net.UDPAddr
	upstreams  sync.Map // of each sender, its own socket towards the other side
}

// NewDatagrams opens one at a loopback address.
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

// Addr is where the link is.
func (d *Datagrams) Addr() string { return d.conn.LocalAddr().String() }

// Set and Clear are as those of a Link; a cut loses all, as silence does.
func (d *Datagrams) Set(n int, f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.Silent = f.Silent || f.Cut
	d.faults[n] = f
}

func (d *Datagrams) Clear(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.faults, n)
}

// Close ends it.
func (d *Datagrams) Close() {
	d.conn.Close()
	d.upstreams.Range(func(_, way any) bool { way.(*net.UDPConn).Close(); return true })
}

// hear hands on what comes, as the faults have it.
func (d *Datagrams) receive(in *net.UDPConn, direction Direction, forward func(*net.UDPAddr, []byte)) {
	var held []byte // waits for the next one to pass it
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
