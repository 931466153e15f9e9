// This file owns clients' connections: how a request's bytes are passed to net/http, the phase by which a connection may be
// evicted when descriptors run short, and the framing of heads. It must never pass on a byte that can't be attributed to
// one request, nor close a connection on which an exchange is in progress.

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
	// The minimum that is allowed: clients may hold a third of the process's descriptors, idle connections included.
	clientIdleTimeout = 2 * time.Second
	// Read ahead after a request in progress, to notice that its client leaves.
	maxReadAheadBytes = 16 << 10
	// Between two checks whether a client has left, once no more is read ahead.
	closePollInterval = 100 * time.Millisecond
	// For the rest of a request that is refused.
	refusedReadTimeout = 400 * time.Millisecond
	// Enough for a typical head.
	initialHeadBytes = 1 << 10
	// Passed on beyond the limit of a head, so that net/http certainly finds the head too long.
	headSlackBytes = 6 << 10
)

// phase is the state of a client's connection.
type phase int32

const (
	phaseFresh   phase = iota // nothing has arrived yet
	phaseReading              // part of a request has arrived
	phaseBusy                 // a whole request has arrived, or its exchange is in progress
	phaseIdle                 // between two requests
	phaseEvicted              // closed to free its descriptor
)

// clientConn is one accepted connection. Net/http reads the bytes of one request at a time from it: a head once it is
// complete and its framing is valid, then just the body that it announced.
type clientConn struct {
	*net.TCPConn
	descriptors    *descriptorLimiter
	overLimit      bool // it exceeds the descriptor limit: its request is read, answered 503, and it is closed
	handlerStarted bool // a handler has been called for the current request
	reused         bool // an earlier request on it has been answered
	phase          atomic.Int32
	phaseSince     atomic.Int64 // start of the phase, in nanoseconds since descriptors.startedAt
	readDeadline   time.Time
	closed         atomic.Bool

	buf           []byte       // read from the connection and not passed on
	readable      int          // bytes at the start of buf that may be passed on
	bodyLeft      atomic.Int64 // bytes of the current request's body that are still to be read
	requestPassed bool         // the current request was passed on: what follows it waits until it is answered
	lastRequest   bool         // all further bytes belong to the current request, after which the connection is closed
	readErr       error
	bodyEndRead   atomic.Bool   // the end of the current request's body was read; matters with lastRequest only
	watchStopped  atomic.Bool   // net/http wants its background read to end
	wakeWatch     chan struct{} // signals watchStopped to pollForClose
	raw           syscall.RawConn
	deferredFor   time.Duration // silence before it was accepted, where the kernel holds back connections without data
	lastReceived  atomic.Int64  // arrival of the last bytes that were read, in nanoseconds since descriptors.startedAt
}

// newClientConn wraps an accepted connection and counts it against the descriptor limit.
func newClientConn(conn *net.TCPConn, s *descriptorLimiter) *clientConn {
	c := &clientConn{TCPConn: conn, descriptors: s, wakeWatch: make(chan struct{}, 1)}
	c.raw, _ = conn.SyscallConn()
	c.phaseSince.Store(int64(s.clock()))
	c.overLimit = !s.admitClient(c)
	return c
}

// refuseIncomplete answers a request that has not arrived whole, before its connection is evicted.
func (c *clientConn) refuseIncomplete() {
	c.TCPConn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	c.TCPConn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
		"Retry-After: " + defaultRetryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n"))
}

// Close closes the connection. If bytes are unread, closing would make the kernel reset the connection, and the client would
// lose the part of its answer that it has not read: those bytes are read for a while first.
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

// enterPhase enters a phase. It returns false if the connection has been evicted.
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

// SetReadDeadline also records the deadline by which the current request must have arrived. A connection over the limit gets
// little time, and the time that a connection was silent before it was accepted counts against its first deadline.
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

// Read returns bytes of the current request only.
func (c *clientConn) Read(p []byte) (n int, err error) {
	for c.readable == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if c.lastRequest && c.bodyEndRead.Load() || !c.lastRequest && c.requestPassed && c.bodyLeft.Load() == 0 {
			return 0, c.watchForClose()
		}
		if left := c.bodyLeft.Load(); left > 0 || c.lastRequest {
			if !c.lastRequest && int64(len(p)) > left {
				p = p[:left]
			}
			n, err = c.receive(p)
			c.bodyLeft.Add(-int64(n))
			return n, err
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n = copy(p, c.buf[:c.readable])
	c.buf = append(c.buf[:0], c.buf[n:]...)
	if c.readable -= n; len(c.buf) == 0 && cap(c.buf) > initialHeadBytes {
		c.buf = nil // the memory of a long head is not kept for the life of the connection
	}
	return n, nil
}

// receive reads, and records when the data arrived: it may have waited in the kernel, until its connection was accepted or
// while the process was stalled, and its client's timeout has been running meanwhile.
func (c *clientConn) receive(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.lastReceived.Store(int64(c.descriptors.clock() - c.unreadFor()))
	}
	return n, err
}

// lastReceivedAt returns when the last bytes that were read had arrived.
func (c *clientConn) lastReceivedAt() time.Time {
	return c.descriptors.startedAt.Add(time.Duration(c.lastReceived.Load()))
}

// earlierReceipt returns the earlier of t and the arrival of the last bytes that were read. c may be nil.
func (c *clientConn) earlierReceipt(t time.Time) time.Time {
	if c != nil {
		if received := c.lastReceivedAt(); received.Before(t) {
			return received
		}
	}
	return t
}

var (
	errFraming     = errors.New("invalid or ambiguous message framing (Content-Length, Transfer-Encoding, folded header)")
	errNotHTTP     = errors.New("not an HTTP request: it does not begin with a method")
	errHeadTimeout = errors.New("request head incomplete at the read deadline")
)

// watchForClose reads on after a request that has arrived whole, so that the client's close is noticed whatever it sent
// before: net/http's own background read ends with the first byte. A pipelined request waits in buf until the current answer
// is written, and is not passed on if the client has left. Once maxReadAheadBytes are buffered nothing more is read, and the
// kernel is polled instead.
func (c *clientConn) watchForClose() error {
	for {
		if c.lastRequest {
			c.buf = c.buf[:0] // after a chunked body the connection is closed with the answer
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
			if !errors.Is(err, os.ErrDeadlineExceeded) { // a deadline in the past is how net/http ends its background read
				c.readErr, c.buf = err, nil
			}
			return err
		}
	}
}

// pollForClose checks whether the client has closed the connection, without reading from it, and then waits for
// closePollInterval.
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

// readHead reads until a head is complete. Net/http answers a read error with 400 if part of a head precedes it.
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
			c.SetReadDeadline(time.Now().Add(headReadTimeout)) // the remaining idle time may be shorter
		case n > 0:
		case timedOut && before == 0 && c.peekState() == connUnread:
			c.SetReadDeadline(time.Now().Add(headReadTimeout)) // it arrived in time and was not read: the process may have been stalled
		case timedOut && before > 0:
			return c.failRead(errHeadTimeout)
		default:
			return err
		}
	}
}

// failRead makes reading end with err, after so much of the buffer that net/http answers 400 without finding a whole head.
func (c *clientConn) failRead(err error) error {
	c.readErr, c.readable = err, len(c.buf)
	if c.readable == 0 || bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) > 0 {
		c.readable = bytes.IndexByte(c.buf, '\n') + 1
	}
	return nil
}

// passHead passes on a complete head if its framing is valid, with as much of its body as is buffered.
func (c *clientConn) passHead(end int) error {
	length, chunked, err := parseFraming(c.buf[:end])
	if err != nil {
		return c.failRead(err)
	}
	length = max(length, 0)
	buffered := min(int64(len(c.buf)-end), length)
	nextPhase := phaseReading // until now eviction could not see a request that was read ahead
	if length == buffered && !chunked {
		// It is whole: its handler may have to wait for CPU, and the connection must not be evicted as silent meanwhile.
		nextPhase = phaseBusy
	}
	if !c.enterPhase(nextPhase) {
		return os.ErrClosed
	}
	c.requestPassed = true
	c.bodyEndRead.Store(false) // it may still be set from the request before
	c.bodyLeft.Store(length - buffered)
	c.readable = end + int(buffered)
	if c.lastRequest = chunked; chunked {
		c.readable = len(c.buf)
	}
	return nil
}

// mayStartRequest reports whether b, the beginning of a message, may be a method in capital letters and a space.
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

// headEnd returns the length of the head, including its empty line; 0 if the head is incomplete.
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

// parseFraming returns the body's length by its head, -1 if the head states none, and whether the body is chunked. HTTP
// libraries differ in how they resolve conflicting lengths, and what one reads as body another reads as the next message.
// Such heads are refused here, for requests and answers alike.
func parseFraming(head []byte) (length int64, chunked bool, err error) {
	length = -1
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return 0, false, errFraming // a folded header: another parser may read it as a header of its own
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
