// Package links puts a link that its owner can break between two processes on loopback: TCP connections and UDP datagrams pass
// it, and faults come and go on it in any order. It needs no special rights and no kernel settings. It decides nothing about
// what is said on it.
//
// What a fault of a link looks like follows TCP (RFC 9293): a cut one refuses and resets; a silent one loses every packet, so
// that open connections stay open, new ones never come up, and what was sent comes when it is back.
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

// Way is a direction. The zero value is both.
type Direction int

const (
	Both Direction = iota
	ToServer
	ToClient
)

// Fault is what is wrong with a link in a direction.
type Fault struct {
	Direction      Direction
	Cut, Silent    bool
	Delay, Jitter  time.Duration // one way; jitter is added, evenly drawn. TCP keeps its order
	BytesPerSecond float64       // bytes a second; 0 for none
	// Datagrams only, but for Lose on the way back of TCP: the share of connections that are reset as an answer comes.
	Loss, Duplicate, Reorder float64
}

// Link leads what comes at its own address to another one.
type Link struct {
	target   string
	listener *net.TCPListener
	addr     *net.TCPAddr

	mu          sync.Mutex
	changed     chan struct{} // closed with each change of the faults
	rng         *rand.Rand
	faults      map[int]Fault
	conns       map[*proxiedConn]struct{}
	backlogFill []net.Conn // keep a silent listener's queue full
	listening   bool
	closed      bool
}

// pair is one connection through a link.
type proxiedConn struct{ client, server *net.TCPConn }

// reset ends both sides with RST.
func (p *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{p.client, p.server} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// New opens a link at a loopback address. Chance comes from the seed.
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

// Addr is where the link is.
func (l *Link) Addr() string { return l.addr.String() }

func (l *Link) openListener() (err error) {
	for range 50 { // connections that were reset just now may hold the address for a moment
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

func (l *Link) accept(ln *net.TCPListener) {
	for {
		changed := l.nextChange()
		if !l.acceptsConns() {
			<-changed
			continue
		}
		c, err := ln.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it falls silent
		}
		if err != nil {
			return
		}
		go l.proxy(c)
	}
}

func (l *Link) nextChange() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// passes tells whether new connections come up.
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

// Set puts a fault in force under a number; Clear ends it. They may end in any order.
func (l *Link) Set(n int, f Fault) { l.update(func() { l.faults[n] = f }) }
func (l *Link) Clear(n int)        { l.update(func() { delete(l.faults, n) }) }

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

// hush fills the queue of a listener that accepts none, so that the kernel drops who comes: its connection never comes up.
func (l *Link) setSilent(silent bool) {
	if silent == (l.backlogFill != nil) {
		return
	}
	backlog, until := 0, time.Unix(1, 0)
	if !silent {
		backlog, until = 4096, time.Time{}
	}
	l.listener.SetDeadline(until) // nothing is taken from the queue
	if raw, err := l.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), backlog) })
	}
	for _, c := range l.backlogFill {
		c.Close()
	}
	if l.backlogFill = nil; silent {
		l.backlogFill = []net.Conn{}
		if c, err := net.DialTimeout("tcp", l.addr.String(), 50*time.Millisecond); err == nil { // a queue of none has room for one
			l.backlogFill = append(l.backlogFill, c)
		}
	}
}

// Reset ends all connections that pass the link now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

func (l *Link) resetAll() {
	for p := range l.conns {
		p.reset()
	}
}

// Close ends the link and all that passes it.
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

// state sums up the faults of one direction.
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

// draw is a number from 0 to 1.
func (l *Link) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

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

// piece is what came at once, and when it is due at the other side. No data is the end.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries one direction: one reads and says when each piece is due, one writes.
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
					p.reset() // a reset passes a link at once
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
