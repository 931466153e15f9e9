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
	// By which net/http lets a head exceed its limit.
	headSlackBytes = 4 << 10
	// Fields of a head. Other servers take about as many.
	maxHeadFields = 100
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
	overLimit      bool      // it exceeds the descriptor limit: its request is read, answered 503, and it is closed
	handlerStarted bool      // a handler has been called for the current request
	reused         bool      // an earlier request on it has been answered
	ownAnswer      bool      // the server has answered the last request itself
	headPassedAt   time.Time // when the current request was passed on
	phase          atomic.Int32
	phaseSince     atomic.Int64 // start of the phase, in nanoseconds since descriptors.startedAt
	readDeadline   time.Time
	closed         atomic.Bool

	buf            []byte       // read from the connection and not passed on
	readable       int          // bytes at the start of buf that may be passed on
	bodyLeft       atomic.Int64 // bytes of the current request's body that are still to be read
	head           headScan     // of the head at the start of buf
	requestPassed  bool         // the current request was passed on: what follows it waits until it is answered
	lastRequest    bool         // all further bytes belong to the current request, after which the connection is closed
	readErr        error
	bodyEndRead    atomic.Bool   // the end of the current request's body was read; matters with lastRequest only
	watchStopped   atomic.Bool   // net/http wants its background read to end
	wakeWatch      chan struct{} // signals watchStopped to pollForClose
	raw            syscall.RawConn
	request        atomic.Pointer[reservation] // memory of the current request; nil for none
	bufferReserved atomic.Int64                // memory of buf beyond initialHeadBytes
	deferredFor    time.Duration               // silence before it was accepted, where the kernel holds back connections without data
	lastReceived   atomic.Int64                // arrival of the last bytes that were read, in nanoseconds since descriptors.startedAt
}

// newClientConn wraps an accepted connection and counts it against the descriptor limit.
func newClientConn(conn *net.TCPConn, s *descriptorLimiter) *clientConn {
	c := &clientConn{TCPConn: conn, descriptors: s, wakeWatch: make(chan struct{}, 1)}
	c.raw, _ = conn.SyscallConn()
	c.phaseSince.Store(int64(s.clock()))
	c.overLimit = !s.admitClient(c)
	return c
}

// Answers that are written without net/http. A refusal has to cost less than what it refuses.
const (
	overCapacityAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
		"Retry-After: " + defaultRetryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n"
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refusalWriteTimeout bounds the write of such an answer; an empty send buffer takes it at once.
const refusalWriteTimeout = time.Millisecond

// refuseIncomplete answers a request that has not arrived whole, before its connection is evicted.
func (c *clientConn) refuseIncomplete() { c.writeRefusal(overCapacityAnswer) }

func (c *clientConn) writeRefusal(answer string) {
	c.TCPConn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	io.WriteString(c.TCPConn, answer)
}

// refuse answers the request whose head is in buf, of which net/http has seen nothing, and ends reading. Net/http then closes
// the connection.
func (c *clientConn) refuse(answer string) error {
	c.writeRefusal(answer)
	c.readErr = io.EOF
	c.dropBuffer()
	return nil
}

// refuseHead refuses a request whose head is too long or has too many fields.
func (c *clientConn) refuseHead() error {
	c.descriptors.counters.refusedHeads.Add(1)
	return c.refuse(headTooLargeAnswer)
}

// refuseOverCapacity refuses a request for which there is no descriptor or no memory.
func (c *clientConn) refuseOverCapacity(head []byte) error {
	c.descriptors.counters.rejected.Add(1)
	if c.descriptors.countRefusal != nil {
		c.descriptors.countRefusal(head)
	}
	c.handlerStarted = true // it is counted, and is no bad input
	return c.refuse(overCapacityAnswer)
}

// reserveRequest reserves the memory of a request by its head and the framing of its body. It reports false for one that asks
// for too much of what is free.
func (c *clientConn) reserveRequest(head []byte, length int64, chunked bool) bool {
	request := &reservation{pool: &c.descriptors.memory.requests}
	if before := c.request.Swap(request); before != nil {
		before.releaseAll()
	}
	return request.tryGrow(int64(attemptBytes+parsedHeadFactor*len(head)) + c.descriptors.memory.requestBodyBytes(length, chunked))
}

// releaseRequest gives back the memory of the current request.
func (c *clientConn) releaseRequest() {
	if request := c.request.Swap(nil); request != nil {
		request.releaseAll()
	}
}

// growBuffer makes room in buf for further bytes. It reports false if there is no memory for that.
func (c *clientConn) growBuffer() bool {
	if cap(c.buf)-len(c.buf) >= initialHeadBytes/2 {
		return true
	}
	size := max(2*cap(c.buf), initialHeadBytes)
	held := c.bufferReserved.Load()
	if more := int64(size-initialHeadBytes) - held; more > 0 {
		if !c.descriptors.memory.clients.tryReserve(held, more) {
			return false
		}
		c.bufferReserved.Add(more)
	}
	c.buf = append(make([]byte, 0, size), c.buf...)
	if c.closed.Load() {
		c.releaseBuffer()
	}
	return true
}

// dropBuffer drops buf and gives back its memory.
func (c *clientConn) dropBuffer() {
	c.buf, c.readable = nil, 0
	c.releaseBuffer()
}

func (c *clientConn) releaseBuffer() { c.descriptors.memory.clients.release(c.bufferReserved.Swap(0)) }

// Close closes the connection. If bytes are unread, closing would make the kernel reset the connection, and the client would
// lose the part of its answer that it has not read: those bytes are read for a while first.
func (c *clientConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	c.releaseRequest()
	c.releaseBuffer()
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
		c.dropBuffer() // the memory of a long head is not kept for the life of the connection
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
		if len(c.buf) >= maxReadAheadBytes || !c.growBuffer() {
			if err := c.pollForClose(); err != nil {
				return err
			}
			continue
		}
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) { // a deadline in the past is how net/http ends its background read
				c.readErr = err
				c.dropBuffer()
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
		c.readErr = io.EOF
		c.dropBuffer()
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
	c.payForOwnAnswer()
	for {
		if blank := len(c.buf) - len(bytes.TrimLeft(c.buf, "\r\n")); blank > 0 {
			c.buf = append(c.buf[:0], c.buf[blank:]...)
			c.head = headScan{}
		}
		if !mayStartRequest(c.buf) {
			return c.failRead(errNotHTTP)
		}
		end := c.head.scan(c.buf)
		if c.head.fields > maxHeadFields {
			return c.refuseHead()
		}
		if end > 0 {
			return c.passHead(end)
		}
		if len(c.buf) > maxHeadBytes+headSlackBytes {
			return c.refuseHead()
		}
		if !c.growBuffer() {
			c.descriptors.counters.refusedForMemory.Add(1)
			return c.refuseOverCapacity(c.buf)
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

// payForOwnAnswer pauses the connection if its last request was answered by the server itself and such requests have had their
// share of the processor.
func (c *clientConn) payForOwnAnswer() {
	if !c.ownAnswer {
		return
	}
	c.ownAnswer = false
	now := time.Now()
	time.Sleep(c.descriptors.ownAnswers.charge(now, now.Sub(c.headPassedAt)))
}

// failRead makes reading end with err, after so much of the buffer that net/http answers 400 without finding a whole head.
func (c *clientConn) failRead(err error) error {
	c.readErr, c.readable = err, len(c.buf)
	if c.readable == 0 || bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) > 0 {
		c.readable = bytes.IndexByte(c.buf, '\n') + 1
	}
	return nil
}

// passHead passes on a complete head if its framing is valid and its request fits into memory, with as much of its body as is
// buffered. What carries no id is no request for endpoints, and is answered at once.
func (c *clientConn) passHead(end int) error {
	head := c.buf[:end]
	length, chunked, err := parseFraming(head)
	if err != nil {
		return c.failRead(err)
	}
	c.head = headScan{}
	if fieldValue(head, "Request-Id") != "" {
		if c.overLimit {
			return c.refuseOverCapacity(head)
		}
		if !c.reserveRequest(head, length, chunked) {
			c.descriptors.counters.refusedForMemory.Add(1)
			return c.refuseOverCapacity(head)
		}
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
	c.requestPassed, c.headPassedAt = true, time.Now()
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

// headScan looks for the end of a head that arrives in parts, at each byte once.
type headScan struct {
	next   int // start of the line at which scanning goes on
	fields int // lines that have ended, without the request line
}

// scan goes on in b, which holds the head from its start, and returns the head's length with its empty line; 0 if it is
// incomplete.
func (s *headScan) scan(b []byte) (end int) {
	for {
		length := bytes.IndexByte(b[s.next:], '\n')
		if length < 0 {
			return 0
		}
		line := b[s.next : s.next+length]
		first := s.next == 0
		s.next += length + 1
		switch {
		case first:
		case len(line) == 0 || len(line) == 1 && line[0] == '\r':
			return s.next
		default:
			s.fields++
		}
	}
}

// headEnd returns the length of the head at the start of b, including its empty line; 0 if the head is incomplete.
func headEnd(b []byte) int {
	var head headScan
	return head.scan(b)
}

// fieldValue returns the value of the first field of a name in a head; "" if there is none.
func fieldValue(head []byte, name string) string {
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		field, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
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
