// Client: connections of clients. This file owns how a request's bytes are let through to net/http, which
// connections give way when descriptors are short, and the framing of heads. It must never let through a byte of which
// it is not sure to which request it belongs, nor close a connection on which an exchange is in hand.
package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	idleTime   = 2 * time.Second        // no less is allowed; clients may hold a third of our descriptors, kept ones too
	aheadMost  = 16 << 10               // bytes read ahead behind a request in hand, for its client's leaving
	leaveBeat  = 100 * time.Millisecond // between two looks for a client's leaving where no more is read ahead
	turnedTime = 400 * time.Millisecond // for what is left of a request that is not taken
	headFirst  = 1 << 10                // bytes: room for a usual head
	headSlack  = 6 << 10                // beyond headMost, so that net/http is sure to find a head too long
)

// phase is what a connection of a client does.
type phase int32

const (
	fresh   phase = iota // nothing was heard on it
	reading              // part of a request
	busy                 // a whole request, or its exchange is in hand
	idle                 // between two requests
	shed                 // closed to make room
)

// client is one accepted connection. Net/http reads from it one request's bytes at a time: a head once it has come whole
// and its framing is sound, then just the body that it announced.
type client struct {
	*net.TCPConn
	sockets *sockets
	excess  bool // beyond the limit: read, answered 503 and closed
	begun   bool // a handler has seen its present request
	kept    bool // it had an answer already
	phase   atomic.Int32
	since   atomic.Int64 // of the phase: nanoseconds since sockets began
	readBy  time.Time
	closed  atomic.Bool

	buf    []byte // read and not handed on
	clear  int    // of it, what may be handed on
	body   int64  // of the present request, still to be read
	taken  bool   // the present request was let through: what comes behind it waits for its end
	last   bool   // all further bytes belong to the present request, behind which the connection is closed
	fault  error
	whole  atomic.Bool   // of such a request in chunks, the end was read
	halted atomic.Bool   // net/http ends its watch
	woken  chan struct{} // tells so
	raw    syscall.RawConn
	silent time.Duration // how long it had said nothing when it was accepted, where the listener defers those that don't
	came   atomic.Int64  // when the last bytes that were read had come: nanoseconds since sockets began
}

func newClient(conn *net.TCPConn, s *sockets) *client {
	c := &client{TCPConn: conn, sockets: s, woken: make(chan struct{}, 1)}
	c.raw, _ = conn.SyscallConn()
	c.since.Store(int64(s.clock()))
	c.excess = !s.takeClient(c)
	return c
}

// refuseUnread answers a request that has not come whole before its connection gives way.
func (c *client) refuseUnread() {
	c.TCPConn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	c.TCPConn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
		"Retry-After: " + comeBack + "\r\nContent-Length: 0\r\n\r\n"))
}

// Close ends the connection. With bytes unread the kernel would reset it, and what the client has not read of its answer
// would be lost: they are read for a while first.
func (c *client) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	if phase(c.phase.Load()) == shed || c.look() != unread {
		defer c.sockets.leave(c)
		return c.TCPConn.Close()
	}
	c.TCPConn.CloseWrite()
	c.TCPConn.SetReadDeadline(time.Now().Add(turnedTime))
	go func() {
		defer c.sockets.leave(c)
		io.Copy(io.Discard, io.LimitReader(c.TCPConn, longMost))
		c.TCPConn.Close()
	}()
	return nil
}

// become enters a phase, unless the connection has to give way.
func (c *client) become(next phase) bool {
	for {
		now := phase(c.phase.Load())
		if now == shed {
			return false
		}
		if now == next {
			return true
		}
		if c.phase.CompareAndSwap(int32(now), int32(next)) {
			c.since.Store(int64(c.sockets.clock()))
			return true
		}
	}
}

// SetReadDeadline remembers until when the present request must have come. One beyond the limit has little time, and the time of one
// that was silent before it was accepted began then.
func (c *client) SetReadDeadline(t time.Time) error {
	if c.silent > 0 && !t.IsZero() && phase(c.phase.Load()) == fresh {
		t = t.Add(-c.silent)
	}
	if c.excess {
		if most := time.Now().Add(turnedTime); t.IsZero() || t.After(most) {
			t = most
		}
	}
	c.readBy = t
	err := c.TCPConn.SetReadDeadline(t)
	if c.halted.Store(!t.IsZero() && t.Before(time.Now())); c.halted.Load() {
		select {
		case c.woken <- struct{}{}:
		default:
		}
	}
	return err
}

func (c *client) Read(p []byte) (n int, err error) {
	for c.clear == 0 {
		if c.fault != nil {
			return 0, c.fault
		}
		if c.last && c.whole.Load() || !c.last && c.taken && c.body == 0 {
			return 0, c.watch()
		}
		if c.body > 0 || c.last {
			if !c.last && int64(len(p)) > c.body {
				p = p[:c.body]
			}
			n, err = c.receive(p)
			c.body -= int64(n)
			return n, err
		}
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n = copy(p, c.buf[:c.clear])
	c.buf = append(c.buf[:0], c.buf[n:]...)
	if c.clear -= n; len(c.buf) == 0 && cap(c.buf) > headFirst {
		c.buf = nil // a long head's room is not kept as long as the connection
	}
	return n, nil
}

// receive reads, and notes when what it read had come: it may have waited in the kernel, with its connection to be accepted or while
// the process stood still, and its client's time has run on.
func (c *client) receive(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.came.Store(int64(c.sockets.clock() - c.unreadFor()))
	}
	return n, err
}

// cameBy is when the last bytes that were read had come.
func (c *client) cameBy() time.Time { return c.sockets.began.Add(time.Duration(c.came.Load())) }

// earlier is the earlier of a time and of when the last bytes had come. c may be nil.
func (c *client) earlier(t time.Time) time.Time {
	if c != nil {
		if came := c.cameBy(); came.Before(t) {
			return came
		}
	}
	return t
}

var (
	errFraming = errors.New("lengths that are wrong, or that may hide another request")
	errNoise   = errors.New("not a request")
	errLate    = errors.New("the head did not come in time")
)

// watch reads on behind a request that has come whole, so that its client's leaving is seen whatever stands before it:
// net/http's own watch ends with the first byte. What is asked next waits here until the present answer is written; of a
// client that has left none of it is let through. Beyond what is kept nothing is read, and the kernel is asked now and then.
func (c *client) watch() error {
	for {
		if c.last {
			c.buf = c.buf[:0] // behind chunks: the connection is closed after the answer
		}
		if len(c.buf) >= aheadMost {
			if err := c.watchFull(); err != nil {
				return err
			}
			continue
		}
		if cap(c.buf)-len(c.buf) < headFirst/2 {
			c.buf = append(make([]byte, 0, max(2*cap(c.buf), headFirst)), c.buf...)
		}
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) { // which is net/http's way to end its watch
				c.fault, c.buf = err, nil
			}
			return err
		}
	}
}

func (c *client) watchFull() error {
	switch {
	case c.halted.Load():
		return os.ErrDeadlineExceeded
	case c.look() == ended:
		c.fault, c.buf = io.EOF, nil
		return c.fault
	}
	select {
	case <-c.woken:
	case <-time.After(leaveBeat):
	}
	return nil
}

// next reads until a head has come whole. Net/http answers a fault with 400 if it stands behind part of a head.
func (c *client) next() error {
	for {
		if blank := len(c.buf) - len(bytes.TrimLeft(c.buf, "\r\n")); blank > 0 {
			c.buf = append(c.buf[:0], c.buf[blank:]...)
		}
		if !startsRequest(c.buf) {
			return c.refuse(errNoise)
		}
		if end := headEnd(c.buf); end > 0 {
			return c.judge(end)
		}
		if len(c.buf) > headMost+headSlack {
			c.clear, c.last = len(c.buf), true // net/http answers 431
			return nil
		}
		if cap(c.buf)-len(c.buf) < headFirst/2 {
			c.buf = append(make([]byte, 0, max(2*cap(c.buf), headFirst)), c.buf...)
		}
		was := len(c.buf)
		n, err := c.receive(c.buf[was:cap(c.buf)])
		c.buf = c.buf[:was+n]
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case n > 0 && !c.become(reading):
			return os.ErrClosed
		case n > 0 && was == 0 && c.kept:
			c.SetReadDeadline(time.Now().Add(headTime)) // not what is left of the time for idle ones
		case n > 0:
		case late && was == 0 && c.look() == unread:
			c.SetReadDeadline(time.Now().Add(headTime)) // it came in time: we did not look
		case late && was > 0:
			return c.refuse(errLate)
		default:
			return err
		}
	}
}

func (c *client) refuse(fault error) error {
	c.fault, c.clear = fault, len(c.buf)
	if c.clear == 0 || bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) > 0 {
		c.clear = bytes.IndexByte(c.buf, '\n') + 1
	}
	return nil
}

// judge lets a whole head through, with as much of its body as is there.
func (c *client) judge(end int) error {
	length, chunked, err := framing(c.buf[:end])
	if err != nil {
		return c.refuse(err)
	}
	c.body = max(length, 0)
	there := min(int64(len(c.buf)-end), c.body)
	next := reading // what was read ahead was never looked at by who makes room
	if c.body == there && !chunked {
		next = busy // it came whole: its handler may have to wait for a core, and its connection is not silent meanwhile
	}
	if !c.become(next) {
		return os.ErrClosed
	}
	c.taken = true
	c.whole.Store(false) // it may stand from the request before
	if c.last = chunked; chunked {
		c.clear, c.body = len(c.buf), 0
		return nil
	}
	c.clear, c.body = end+int(there), c.body-there
	return nil
}

// startsRequest tells noise from a method's first letters.
func startsRequest(b []byte) bool {
	for n, letter := range b[:min(len(b), 16)] {
		if letter == ' ' && n > 0 {
			return true
		}
		if letter < 'A' || letter > 'Z' {
			return false
		}
	}
	return len(b) < 16
}

// headEnd is where the body begins; 0 while the head has not come whole.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch {
		case len(b) > at && b[at] == '\n':
			return at + 1
		case len(b) > at+1 && b[at] == '\r' && b[at+1] == '\n':
			return at + 2
		}
	}
}

// framing reads how a head says its body's length; -1 if it says none. Libraries pass over what is in conflict, and what
// stood in the body is then read as the next message: it is refused here, for requests and answers alike.
func framing(head []byte) (length int64, chunked bool, err error) {
	length = -1
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return 0, false, errFraming // the line before goes on here: another reader may see another header
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || length >= 0 {
				return 0, false, errFraming
			}
			length = int64(n)
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return 0, false, errFraming
			}
			chunked = true
		}
	}
	if chunked && length >= 0 {
		return 0, false, errFraming
	}
	return length, chunked, nil
}
