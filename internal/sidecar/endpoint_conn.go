// This file owns one connection to an endpoint: how its end is told from a reset, and the reading of answers. It must never
// take an incomplete answer for a complete one.

package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	maxBufferedBodyBytes    = 64 << 10                        // an answer with a longer body is forwarded while it is received, as is a request of unknown length
	maxHeadBytes            = 16 << 10                        // of a request or an answer
	maxAnswerBytes          = maxHeadBytes + maxStreamedBytes // of an answer, with the 1xx answers ahead of it
	maxInformationalAnswers = 5                               // 1xx answers before the final one
	shortAnswerBytes        = 4 << 10                         // an answer up to this length is part of what its connection holds
	answerBufferBytes       = 8 << 10                         // read buffer; an answer whose head does not fit is malformed
	minSendPollInterval     = time.Millisecond                // between two looks whether all has been sent
	maxSendPollInterval     = 20 * time.Millisecond           // the same
	sendPollDivisor         = 8                               // what part of the wait so far the next look comes after
	// defaultStallTimeout bounds the time between two parts of an answer if the settings have no connect timeout.
	defaultStallTimeout = 250 * time.Millisecond
)

// reply is an endpoint's answer with status 200: complete, or forwarded while it is received.
type reply struct {
	header http.Header
	body   []byte    // of a complete answer
	length int64     // of a forwarded body; -1 if unknown
	flow   *bodyPipe // the forwarded body; nil for a complete answer
}

// endpointConn is one connection to an endpoint.
type endpointConn struct {
	conn         net.Conn
	addr         string
	bytesAllowed int // for the rest of the answer, in case the endpoint never ends it
	reader       *bufio.Reader
	idleSince    time.Time
	idleReserved bool // its memory as an idle connection is reserved
	stallTimeout time.Duration
	memory       *memoryBudget
	leg          *leg  // whose answer is being read; nil for none
	readErr      error // what ended the answers; each read after it gets it too

	counters      *Counters
	answerStarted bool        // at least one byte of the answer was received
	stallReported bool        // a pause of the answer was reported: it is waited for as long as its leg is
	forwarding    atomic.Bool // the answer is being forwarded: streamStallTimeout between two reads is its only time limit
}

// newEndpointConn wraps a connection to the endpoint at addr. stallTimeout bounds the time between two parts of an answer.
func newEndpointConn(conn net.Conn, addr string, stallTimeout time.Duration, memory *memoryBudget, c *Counters) *endpointConn {
	k := &endpointConn{conn: conn, addr: addr, stallTimeout: stallTimeout, memory: memory, counters: c, bytesAllowed: maxAnswerBytes}
	k.reader = bufio.NewReaderSize(k, answerBufferBytes)
	return k
}

// setIdle reserves or releases the memory of an idle connection. That of one in use is part of its attempt.
func (k *endpointConn) setIdle(idle bool) {
	if k.idleReserved == idle {
		return
	}
	k.idleReserved = idle
	if idle {
		k.memory.requests.reserve(idleConnBytes)
	} else {
		k.memory.requests.release(idleConnBytes)
	}
}

// errConnectionReset is the error of a read at the end of a connection whose reset was reported to an earlier call.
var errConnectionReset = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

// Read reads from the endpoint. All answers are read through it, and io.EOF from it means an orderly end, by which a body
// of no stated length is whole. The kernel reports a reset once, to whichever call comes first: a read ahead, a write, a
// look at the socket. The reads after that call find what looks like an orderly end. So an error is returned by all
// later reads too, and at an end the kernel is asked whether the connection was reset. Only a time-out is not kept: a
// later read may have more time.
//
// Read also limits the size of an answer, beyond which it returns errBodyTooLong, and reports the first long pause within an
// answer that has started. A malformed answer may have a wrong length or a head without end on a connection that stays open:
// another leg is to be sent while there is time. A sound answer may pause as well, so that its leg goes on.
func (k *endpointConn) Read(p []byte) (int, error) {
	if k.readErr != nil {
		return 0, k.readErr
	}
	if k.bytesAllowed <= 0 {
		return 0, errBodyTooLong
	}
	if g := k.leg; g != nil && k.answerStarted {
		k.setReadDeadline(g)
	}
	n, err := k.conn.Read(p[:min(len(p), k.bytesAllowed)])
	if n == 0 && k.reportStall(err) {
		n, err = k.conn.Read(p[:min(len(p), k.bytesAllowed)])
	}
	k.bytesAllowed -= n
	k.answerStarted = k.answerStarted || n > 0
	if err == io.EOF && wasReset(k.conn) {
		err = errConnectionReset
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		k.readErr = err
	}
	return n, err
}

// reportStall reports a pause of an answer whose leg has more time, and reports whether reading goes on after err.
func (k *endpointConn) reportStall(err error) bool {
	g := k.leg
	if g == nil || !k.answerStarted || k.stallReported || !errors.Is(err, os.ErrDeadlineExceeded) || g.ctx.Err() != nil ||
		!time.Now().Before(g.currentDeadline()) {
		return false
	}
	k.stallReported = true
	if g.onAnswerStall != nil && !k.forwarding.Load() {
		g.onAnswerStall()
	}
	k.setReadDeadline(g)
	return true
}

// setReadDeadline sets the time by which the next part of an answer must arrive, or its pause is reported.
func (k *endpointConn) setReadDeadline(g *leg) {
	until, now := g.currentDeadline(), time.Now()
	if k.forwarding.Load() {
		until = now.Add(streamStallTimeout)
	} else if pause := now.Add(k.stallTimeout); !k.stallReported && pause.Before(until) {
		until = pause
	}
	k.conn.SetReadDeadline(until)
	if g.ctx.Err() != nil {
		k.conn.SetReadDeadline(time.Unix(1, 0)) // cancelled meanwhile: the deadline set above must not stand
	}
}

// awaitSent returns once all that was written to the connection has been sent, or the error of check. The longer it waits, the
// more seldom it looks.
func (k *endpointConn) awaitSent(check func(*endpointConn) error) error {
	for began := time.Now(); ; {
		if err := check(k); err != nil {
			return err
		}
		if unsent, _ := k.sendQueue(); unsent == 0 {
			return nil
		}
		time.Sleep(min(max(time.Since(began)/sendPollDivisor, minSendPollInterval), maxSendPollInterval))
	}
}

// close closes the connection. What its peer's kernel has not acknowledged is not sent any more: the kernel here would go on
// with it after an ordinary close, and the endpoint would run a request that was given up.
func (k *endpointConn) close() {
	if _, unacknowledged := k.sendQueue(); unacknowledged > 0 {
		if conn, ok := k.conn.(interface{ SetLinger(int) error }); ok {
			conn.SetLinger(0)
		}
	}
	k.conn.Close()
}

// isQuiet reports whether nothing was received on an idle connection: neither its end nor unexpected bytes.
func (k *endpointConn) isQuiet() bool {
	s, ok := k.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN
		return true
	})
	return quiet && err == nil
}

var (
	errBodyTooLong     = errors.New("answer body exceeds the size limit")
	errMalformedAnswer = errors.New("malformed HTTP answer from endpoint")
	errEarlyAnswer     = errors.New("endpoint answered or closed the connection before the request's last byte was sent")
	errAnswerStalled   = errors.New("endpoint's answer started but stalled before its end")
)

// awaitHead waits for a complete head and checks that its framing is valid and its fields are not too many. It reads no more than that takes: a head that
// is buffered already, behind a 1xx answer, may be the last that comes for a while.
func (k *endpointConn) awaitHead() error {
	var head headScan
	for {
		buffered, _ := k.reader.Peek(k.reader.Buffered())
		if start := min(len(buffered), len("HTTP/1.")); string(buffered[:start]) != "HTTP/1."[:start] {
			return errMalformedAnswer
		}
		end := head.scan(buffered)
		if head.fields > maxHeadFields {
			return errMalformedAnswer
		}
		if end > 0 {
			_, _, err := parseFraming(buffered[:end])
			return err
		}
		switch _, err := k.reader.Peek(len(buffered) + 1); {
		case err == bufio.ErrBufferFull:
			return errMalformedAnswer
		case err != nil:
			return err
		}
	}
}

// readAnswer reads one answer. Once the request is written, only an explicit statement by the endpoint (Not-Started)
// proves that it did not run.
func (k *endpointConn) readAnswer(g *leg) (r *reply, keepOpen bool, fault *legError) {
	errored := func(cause error) *legError { return &legError{stage: answered, outcome: logic.Errored, cause: cause} }
	legErrorFor := func(err error) *legError {
		var netErr net.Error
		switch {
		case err == errReaderGone:
			return newLegError(written, err, true)
		case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr):
			return errored(err)
		case errors.Is(err, os.ErrDeadlineExceeded) && g.ctx.Err() == nil && time.Now().Before(g.currentDeadline()):
			return errored(errAnswerStalled)
		}
		return newLegError(written, err, g.ctx.Err() != nil)
	}
	k.leg, k.answerStarted, k.stallReported = g, k.reader.Buffered() > 0, false
	defer func() {
		k.leg = nil
		k.forwarding.Store(false)
	}()
	k.bytesAllowed = maxAnswerBytes
	var response *http.Response
	for informational := 0; response == nil || response.StatusCode < 200; informational++ {
		if informational > maxInformationalAnswers {
			return nil, false, errored(errMalformedAnswer)
		}
		err := k.awaitHead()
		if err == nil {
			response, err = http.ReadResponse(k.reader, &http.Request{Method: g.request.method})
		}
		if err != nil {
			return nil, false, legErrorFor(err)
		}
	}
	if response.StatusCode == http.StatusOK && g.upload != nil && g.upload.end() != nil {
		return nil, false, errored(errEarlyAnswer)
	}
	var body []byte
	var err error
	long := response.ContentLength > maxBufferedBodyBytes || response.ContentLength < 0 ||
		response.StatusCode == http.StatusOK && response.ContentLength > shortAnswerBytes && !g.reservation().tryGrow(response.ContentLength)
	switch {
	case response.StatusCode != http.StatusOK || !long:
		body, err = readBody(response)
	case response.ContentLength > maxStreamedBytes:
		err = errBodyTooLong
	default:
		if len(response.TransferEncoding) == 0 && response.ContentLength < 0 {
			k.counters.unframed.Add(1) // the body ends with the connection; an orderly close means that it is complete
		}
		r, body, err = k.stream(g, response, response.ContentLength)
	}
	switch {
	case r != nil && err != nil:
		return r, false, legErrorFor(err)
	case r != nil:
		return r, !response.Close && k.reader.Buffered() == 0, nil
	case err == errBodyTooLong:
		return nil, false, errored(err)
	case err != nil && response.StatusCode == http.StatusOK:
		return nil, false, legErrorFor(err)
	}
	keepOpen = err == nil && !response.Close && k.reader.Buffered() == 0
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return &reply{header: response.Header, body: body}, keepOpen, nil
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && response.Header.Get("Not-Started") == "1":
		return nil, keepOpen, &legError{stage: answered, outcome: logic.Full, cause: errors.New(response.Status)}
	default:
		return nil, keepOpen, errored(errors.New(response.Status))
	}
}

// readBody reads a body of at most maxBufferedBodyBytes.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxBufferedBodyBytes {
		return nil, errBodyTooLong
	}
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(response.Body, maxBufferedBodyBytes+1))
	if err == nil && n > maxBufferedBodyBytes {
		err = errBodyTooLong
	}
	return body.Bytes(), err
}
