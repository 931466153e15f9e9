// Package links provides network links on loopback with fault injection: proxies for TCP connections and UDP datagrams on
// which faults can be set and cleared in any order. They need no privileges and no kernel settings, and do not interpret
// the data.
//
// The effects of faults follow TCP (RFC 9293). A cut link refuses new connections and resets open ones. A silent link
// loses every packet: open connections stay open, new ones are never established, and data that was sent arrives when the
// link works again.
package links

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Direction is a direction of a link. The zero value is both.
type Direction int

const (
	Both     Direction = iota
	ToServer           // from the client to the target
	ToClient           // from the target to the client
)

// Fault is a fault of a link in a direction.
type Fault struct {
	Direction      Direction
	Cut            bool          // refuses and resets connections; datagrams are lost
	Silent         bool          // all packets are lost
	Delay          time.Duration // one way
	Jitter         time.Duration // largest additional delay, uniformly distributed; TCP data stays in order
	BytesPerSecond float64       // bandwidth limit of TCP; 0 for none
	// Loss is the share of datagrams that are lost. On TCP connections, where it is used towards the client, it is the
	// share that are reset as an answer arrives.
	Loss      float64
	Duplicate float64 // share of datagrams that are delivered twice; UDP only
	Reorder   float64 // share of datagrams that the next one overtakes; UDP only
}

// Link is a TCP proxy from its own address to a target.
type Link struct {
	target   string // address
	listener *net.TCPListener
	addr     *net.TCPAddr // the link's own

	mu          sync.Mutex
	changed     chan struct{} // closed with each change of the faults, and by Close
	rng         *rand.Rand
	faults      map[int]Fault // in force, by number
	conns       map[*proxiedConn]struct{}
	backlogFill []net.Conn // connections that fill a silent listener's queue; not nil while the link is silent
	listening   bool       // false while the link is cut
	closed      bool       // by Close
}

// proxiedConn is a connection through a link: the client's connection and the one to the target.
type proxiedConn struct{ client, server *net.TCPConn }

// reset closes both sides with RST.
func (p *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{p.client, p.server} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// New opens a link from a loopback address to a target. The seed determines its random numbers.
func New(addr, target string, seed uint64) (*Link, error) {
	l := &Link{target: target, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1)), faults: map[int]Fault{}, conns: map[*proxiedConn]struct{}{}}
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	if !tcpAddr.IP.IsLoopback() {
		return nil, errors.New("links: " + addr + " is not loopback")
	}
	l.addr = tcpAddr
	if err := l.openListener(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns the link's own address.
func (l *Link) Addr() string { return l.addr.String() }

// openListener listens at the link's address and accepts connections.
func (l *Link) openListener() (err error) {
	for range 50 { // connections that were just reset may hold the address for a moment
		if l.listener, err = net.ListenTCP("tcp", l.addr); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	for _, c := range l.backlogFill {
		c.Close()
	}
	l.addr, l.listening, l.backlogFill = l.listener.Addr().(*net.TCPAddr), true, nil
	go l.accept(l.listener)
	return nil
}

// accept accepts connections until the listener is closed, except while the link is silent.
func (l *Link) accept(ln *net.TCPListener) {
	for {
		changed := l.nextChange()
		if !l.acceptsConns() {
			<-changed
			continue
		}
		c, err := ln.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // setSilent set the deadline, as the link has become silent
		}
		if err != nil {
			return
		}
		go l.proxy(c)
	}
}

// nextChange returns a channel that is closed with the next change of the faults.
func (l *Link) nextChange() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// acceptsConns reports whether new connections are accepted: not while the link is silent, in either direction. After
// Close it returns true, so that accept finds the listener closed and returns.
func (l *Link) acceptsConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		if f.Silent {
			return l.closed
		}
	}
	return true
}

// Set puts a fault in force under a number. Faults may end in any order.
func (l *Link) Set(n int, f Fault) { l.update(func() { l.faults[n] = f }) }

// Clear ends the fault with a number.
func (l *Link) Clear(n int) { l.update(func() { delete(l.faults, n) }) }

// update changes the set of faults, and opens, closes or silences the listener accordingly. After Close it does nothing.
func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	change()
	close(l.changed)
	l.changed = make(chan struct{})
	cut, silent := false, false
	for _, f := range l.faults {
		cut, silent = cut || f.Cut, silent || f.Silent
	}
	switch {
	case cut && l.listening:
		l.listening = false
		l.listener.Close()
		l.resetAll()
	case !cut && !l.listening:
		l.openListener()
	}
	if l.listening {
		l.setSilent(silent)
	}
}

// setSilent begins or ends the silence of the listener. A silent listener accepts no connections and its queue is kept
// full, so that the kernel drops the packets of new connections, which are never established.
func (l *Link) setSilent(silent bool) {
	if silent == (l.backlogFill != nil) {
		return
	}
	backlog, until := 0, time.Unix(1, 0)
	if !silent {
		backlog, until = 4096, time.Time{}
	}
	l.listener.SetDeadline(until) // accepts no more from the queue
	if raw, err := l.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), backlog) })
	}
	for _, c := range l.backlogFill {
		c.Close()
	}
	if l.backlogFill = nil; silent {
		l.backlogFill = []net.Conn{}
		if c, err := net.DialTimeout("tcp", l.addr.String(), 50*time.Millisecond); err == nil { // a backlog of 0 still takes one connection
			l.backlogFill = append(l.backlogFill, c)
		}
	}
}

// Reset resets all connections that pass the link now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// resetAll resets all connections. The lock is held.
func (l *Link) resetAll() {
	for p := range l.conns {
		p.reset()
	}
}

// Close closes the link and resets all connections that pass it.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.listener.Close()
	for _, c := range l.backlogFill {
		c.Close()
	}
	l.resetAll()
	close(l.changed)
}

// faultFor combines the faults in force in one direction, except cuts: delays and jitters add up; otherwise the most
// severe counts.
func (l *Link) faultFor(direction Direction) (f Fault, changed chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.faults {
		if other.Direction != Both && other.Direction != direction {
			continue
		}
		f.Silent = f.Silent || other.Silent
		f.Delay, f.Jitter = f.Delay+other.Delay, f.Jitter+other.Jitter
		f.Loss, f.Duplicate, f.Reorder = max(f.Loss, other.Loss), max(f.Duplicate, other.Duplicate), max(f.Reorder, other.Reorder)
		if other.BytesPerSecond > 0 && (f.BytesPerSecond == 0 || other.BytesPerSecond < f.BytesPerSecond) {
			f.BytesPerSecond = other.BytesPerSecond
		}
	}
	return f, l.changed, l.closed
}

// random returns a random number from 0 to 1.
func (l *Link) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// proxy connects a client to the target and copies data both ways until both sides have ended.
func (l *Link) proxy(client *net.TCPConn) {
	p := &proxiedConn{client: client}
	conn, err := net.DialTimeout("tcp", l.target, 5*time.Second)
	if err != nil {
		p.reset()
		return
	}
	p.server = conn.(*net.TCPConn)
	l.mu.Lock()
	if l.closed || !l.listening {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copyDirection(p, p.client, p.server, ToServer) })
	both.Go(func() { l.copyDirection(p, p.server, p.client, ToClient) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
	client.Close()
	p.server.Close()
}

// chunk is the data of one read and when it is due at the other side. A chunk without data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDirection copies one direction of a connection. One goroutine reads and computes when each chunk is due, another
// writes the chunks when they are due and the link is not silent.
func (l *Link) copyDirection(p *proxiedConn, from, to *net.TCPConn, direction Direction) {
	queue := make(chan chunk, 64)
	go func() {
		defer close(queue)
		last := time.Time{}
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if n > 0 || errors.Is(err, io.EOF) {
				f, _, _ := l.faultFor(direction)
				if f.Loss > 0 && n > 0 && l.random() < f.Loss {
					p.reset()
					return
				}
				due := time.Now().Add(f.Delay)
				if f.Jitter > 0 {
					due = due.Add(time.Duration(l.random() * float64(f.Jitter)))
				}
				if f.BytesPerSecond > 0 {
					due = later(due, last).Add(time.Duration(float64(n) / f.BytesPerSecond * float64(time.Second)))
				}
				last = later(due, last)
				queue <- chunk{data[:n], last}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.reset() // a reset passes the link without delay
				}
				return
			}
		}
	}()
	broken := false
	for piece := range queue {
		if broken {
			continue
		}
		if wait := time.Until(piece.due); wait > 0 {
			time.Sleep(wait)
		}
		for f, changed, closed := l.faultFor(direction); f.Silent && !closed; f, changed, closed = l.faultFor(direction) {
			<-changed
		}
		if len(piece.data) == 0 {
			to.CloseWrite()
		} else if _, err := to.Write(piece.data); err != nil {
			broken = true
			p.reset()
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
