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
	clientIdleTimeout  = 2 * time.Second        // no less is allowed; clients may hold a third of our descriptors, kept ones too
	maxReadAheadBytes  = 16 << 10               // bytes read ahead behind a request in hand, for its client's leaving
	closePollInterval  = 100 * time.Millisecond // between two looks for a client's leaving where no more is read ahead
	refusedReadTimeout = 400 * time.Millisecond // for what is left of a request that is not taken
	initialHeadBytes   = 1 << 10                // bytes: room for a usual head
	headSlackBytes     = 6 << 10                // beyond headMost, so that net/http is sure to find a head too long
)

// phase is what a connection of a client does.
type phase int32

const (
	phaseFresh   phase = iota // nothing was heard on it
	phaseReading              // part of a request
	phaseBusy                 // a whole request, or its exchange is in hand
	phaseIdle                 // between two requests
	phaseEvicted              // closed to make room
)

// client is one accepted connection. Net/http reads from it one request's bytes at a time: a head once it has come whole
// and its framing is sound, then just the body that it announced.
type clientConn struct {
	*net.TCPConn
	descriptors    *descriptorLimiter
	overLimit      bool // beyond the limit: read, answered 503 and closed
	handlerStarted bool // a handler has seen its present request
	reused         bool // it had an answer already
	phase          atomic.Int32
	phaseSince     atomic.Int64 // of the phase: nanoseconds since sockets began
	readDeadline   time.Time
	closed         atomic.Bool

	buf           []byte // read and not handed on
	readable      int    // of it, what may be handed on
	bodyLeft      int64  // of the present request, still to be read
	requestPassed bool   // the present request was let through: what comes behind it waits for its end
	lastRequest   bool   // all further bytes belong to the present request, behind which the connection is closed
	readErr       error
	bodyEndRead   atomic.Bool   // of such a request in chunks, the end was read
	watchStopped  atomic.Bool   // net/http ends its watch
	wakeWatch     chan struct{} // tells so
	raw           syscall.RawConn
	deferredFor   time.Duration // how long it had said nothing when it was accepted, where the listener defers those that don't
	lastReceived  atomic.Int64  // when the last bytes that were read had come: nanoseconds since sockets began
}

func newClientConn(conn *net.TCPConn, s *descriptorLimiter) *clientConn {
	c := &clientConn{TCPConn: conn, descriptors: s, wakeWatch: make(chan struct{}, 1)}
	c.raw, _ = conn.SyscallConn()
	c.phaseSince.Store(int64(s.clock()))
	c.overLimit = !s.admitClient(c)
	return c
}

// refuseUnread answers a request that has not come whole before its connection gives way.
func (c *clientConn) refuseIncomplete() {
	c.TCPConn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	c.TCPConn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
		"Retry-After: " + defaultRetryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n"))
}

// Close ends the connection. With bytes unread the kernel would reset it, and what the client has not read of its answer
// would be lost: they are read for a while first.
func (c *clientConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	if phase(c.phase.Load()) == phaseEvicted || c.peekState() != connUnread {
		defer c.descriptors.releaseClient(c)
		return c.TCPConn.Close()
	}
	c.TCPConn.CloseWrite()
	c.TCPConn.SetReadDeadline(time.Now().Add(refusedReadTimeout))
	go func() {
		defer c.descriptors.releaseClient(c)
		io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxStreamedBytes))
		c.TCPConn.Close()
	}()
	return nil
}

// become enters a phase, unless the connection has to give way.
func (c *clientConn) enterPhase(next phase) bool {
	for {
		current := phase(c.phase.Load())
		if current == phaseEvicted {
			return false
		}
		if current == next {
			return true
		}
		if c.phase.CompareAndSwap(int32(current), int32(next)) {
			c.phaseSince.Store(int64(c.descriptors.clock()))
			return true
		}
	}
}

// SetReadDeadline remembers until when the present request must have come. One beyond the limit has little time, and the time of one
// that was silent before it was accepted began then.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.deferredFor > 0 && !t.IsZero() && phase(c.phase.Load()) == phaseFresh {
		t = t.Add(-c.deferredFor)
	}
	if c.overLimit {
		if limit := time.Now().Add(refusedReadTimeout); t.IsZero() || t.After(limit) {
			t = limit
		}
	}
	c.readDeadline = t
	err := c.TCPConn.SetReadDeadline(t)
	if c.watchStopped.Store(!t.IsZero() && t.Before(time.Now())); c.watchStopped.Load() {
		select {
		case c.wakeWatch <- struct{}{}:
		default:
		}
	}
	return err
}

func (c *clientConn) Read(p []byte) (n int, err error) {
	for c.readable == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if c.lastRequest && c.bodyEndRead.Load() || !c.lastRequest && c.requestPassed && c.bodyLeft == 0 {
			return 0, c.watchForClose()
		}
		if c.bodyLeft > 0 || c.lastRequest {
			if !c.lastRequest && int64(len(p)) > c.bodyLeft {
				p = p[:c.bodyLeft]
			}
			n, err = c.receive(p)
			c.bodyLeft -= int64(n)
			return n, err
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n = copy(p, c.buf[:c.readable])
	c.buf = append(c.buf[:0], c.buf[n:]...)
	if c.readable -= n; len(c.buf) == 0 && cap(c.buf) > initialHeadBytes {
		c.buf = nil // a long head's room is not kept as long as the connection
	}
	return n, nil
}

// receive reads, and notes when what it read had come: it may have waited in the kernel, with its connection to be accepted or while
// the process stood still, and its client's time has run on.
func (c *clientConn) receive(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.lastReceived.Store(int64(c.descriptors.clock() - c.unreadFor()))
	}
	return n, err
}

// cameBy is when the last bytes that were read had come.
func (c *clientConn) lastReceivedAt() time.Time {
	return c.descriptors.startedAt.Add(time.Duration(c.lastReceived.Load()))
}

// earlier is the earlier of a time and of when the last bytes had come. c may be nil.
func (c *clientConn) earlierReceipt(t time.Time) time.Time {
	if c != nil {
		if received := c.lastReceivedAt(); received.Before(t) {
			return received
		}
	}
	return t
}

var (
	errFraming     = errors.New("lengths that are wrong, or that may hide another request")
	errNotHTTP     = errors.New("not a request")
	errHeadTimeout = errors.New("the head did not come in time")
)

// watch reads on behind a request that has come whole, so that its client's leaving is seen whatever stands before it:
// net/http's own watch ends with the first byte. What is asked next waits here until the present answer is written; of a
// client that has left none of it is let through. Beyond what is kept nothing is read, and the kernel is asked now and then.
func (c *clientConn) watchForClose() error {
	for {
		if c.lastRequest {
			c.buf = c.buf[:0] // behind chunks: the connection is closed after the answer
		}
		if len(c.buf) >= maxReadAheadBytes {
			if err := c.pollForClose(); err != nil {
				return err
			}
			continue
		}
		if cap(c.buf)-len(c.buf) < initialHeadBytes/2 {
			c.buf = append(make([]byte, 0, max(2*cap(c.buf), initialHeadBytes)), c.buf...)
		}
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) { // which is net/http's way to end its watch
				c.readErr, c.buf = err, nil
			}
			return err
		}
	}
}

func (c *clientConn) pollForClose() error {
	switch {
	case c.watchStopped.Load():
		return os.ErrDeadlineExceeded
	case c.peekState() == connEnded:
		c.readErr, c.buf = io.EOF, nil
		return c.readErr
	}
	select {
	case <-c.wakeWatch:
	case <-time.After(closePollInterval):
	}
	return nil
}

// next reads until a head has come whole. Net/http answers a fault with 400 if it stands behind part of a head.
func (c *clientConn) readHead() error {
	for {
		if blank := len(c.buf) - len(bytes.TrimLeft(c.buf, "\r\n")); blank > 0 {
			c.buf = append(c.buf[:0], c.buf[blank:]...)
		}
		if !mayStartRequest(c.buf) {
			return c.failRead(errNotHTTP)
		}
		if end := headEnd(c.buf); end > 0 {
			return c.passHead(end)
		}
		if len(c.buf) > maxHeadBytes+headSlackBytes {
			c.readable, c.lastRequest = len(c.buf), true // net/http answers 431
			return nil
		}
		if cap(c.buf)-len(c.buf) < initialHeadBytes/2 {
			c.buf = append(make([]byte, 0, max(2*cap(c.buf), initialHeadBytes)), c.buf...)
		}
		before := len(c.buf)
		n, err := c.receive(c.buf[before:cap(c.buf)])
		c.buf = c.buf[:before+n]
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case n > 0 && !c.enterPhase(phaseReading):
			return os.ErrClosed
		case n > 0 && before == 0 && c.reused:
			c.SetReadDeadline(time.Now().Add(headReadTimeout)) // not what is left of the time for idle ones
		case n > 0:
		case timedOut && before == 0 && c.peekState() == connUnread:
			c.SetReadDeadline(time.Now().Add(headReadTimeout)) // it came in time: we did not look
		case timedOut && before > 0:
			return c.failRead(errHeadTimeout)
		default:
			return err
		}
	}
}

func (c *clientConn) failRead(err error) error {
	c.readErr, c.readable = err, len(c.buf)
	if c.readable == 0 || bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) > 0 {
		c.readable = bytes.IndexByte(c.buf, '\n') + 1
	}
	return nil
}

// judge lets a whole head through, with as much of its body as is there.
func (c *clientConn) passHead(end int) error {
	length, chunked, err := parseFraming(c.buf[:end])
	if err != nil {
		return c.failRead(err)
	}
	c.bodyLeft = max(length, 0)
	buffered := min(int64(len(c.buf)-end), c.bodyLeft)
	nextPhase := phaseReading // what was read ahead was never looked at by who makes room
	if c.bodyLeft == buffered && !chunked {
		nextPhase = phaseBusy // it came whole: its handler may have to wait for a core, and its connection is not silent meanwhile
	}
	if !c.enterPhase(nextPhase) {
		return os.ErrClosed
	}
	c.requestPassed = true
	c.bodyEndRead.Store(false) // it may stand from the request before
	if c.lastRequest = chunked; chunked {
		c.readable, c.bodyLeft = len(c.buf), 0
		return nil
	}
	c.readable, c.bodyLeft = end+int(buffered), c.bodyLeft-buffered
	return nil
}

// startsRequest tells noise from a method's first letters.
func mayStartRequest(b []byte) bool {
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
func parseFraming(head []byte) (length int64, chunked bool, err error) {
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
