// Stream: what is too long to be kept. This file owns the bounded flow between one who writes and one who reads, the pace
// that is asked of either, and the passing on of long answers and requests. It must never hold more than its bound, mend
// what is broken, or let a reader take for whole what is not.
package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	pipeBytes             = 32 << 10                // bytes that a flow holds before its writer waits
	copyChunkBytes        = 16 << 10                // bytes written at once
	maxStreamedBytes      = 48 << 20                // bytes of an answer or a request; more is a mistake
	streamStallTimeout    = 12 * time.Second        // without a byte, in a transfer that has begun: peers may take seconds
	headReadTimeout       = 2400 * time.Millisecond // from connecting, or a request's first byte, to the end of its head
	bodyStartTimeout      = 1500 * time.Millisecond // behind the head, for a body to begin
	minBodyBytesPerSecond = 44 << 10                // bytes a second, from then on: no client is asked for 64 kB
	bodyDiscardTime       = 3 * time.Second         // for the rest of a request that was answered before its end
	streamAfterShare      = 0.5                     // of the expected time, until an answer of unknown length is passed on
)

var errReaderGone = errors.New("nobody takes the rest")

// flow is bounded: who writes waits while it is full. Its reader gets what there is, the end once all is read, or why
// there is none.
type bodyPipe struct {
	mu        sync.Mutex
	changed   sync.Cond
	buffered  []byte
	unbounded bool // nothing waits yet: what is held may grow to its writer's own bound
	err       error
	discarded bool
}

func newBodyPipe() *bodyPipe {
	f := &bodyPipe{}
	f.changed.L = &f.mu
	return f
}

// put adds a part, or says that nobody takes it.
func (f *bodyPipe) write(p []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.unbounded && !f.discarded && len(f.buffered) > 0 && len(f.buffered)+len(p) > pipeBytes {
		f.changed.Wait()
	}
	if f.discarded {
		return errReaderGone
	}
	f.buffered = append(f.buffered, p...)
	f.changed.Broadcast()
	return nil
}

// take waits for more, and leaves spare for what comes next.
func (f *bodyPipe) read(spare []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.buffered) == 0 && f.err == nil && !f.discarded {
		f.changed.Wait()
	}
	switch {
	case f.discarded:
		return nil, errReaderGone
	case len(f.buffered) > 0:
		p := f.buffered
		f.buffered = spare[:0]
		f.changed.Broadcast()
		return p, nil
	}
	return nil, f.err
}

// close tells the reader that no more comes: io.EOF if all is there.
func (f *bodyPipe) close(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
	f.changed.Broadcast()
}

// drop tells the writer that nobody reads.
func (f *bodyPipe) discard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded, f.buffered = true, nil
	f.changed.Broadcast()
}

// ---- answers

// prelude is the part of an answer before it is known whether it is short, and so kept whole, or passed on as it comes.
type undecidedAnswer struct {
	*bodyPipe
	mu      sync.Mutex
	size    int
	pastDue bool // it has its time behind it: the first byte begins it
	started bool
	ended   bool
	onStart func()
}

// put adds a part; begun tells whether somebody may read it by now.
func (p *undecidedAnswer) write(part []byte, long bool) error {
	if err := p.bodyPipe.write(part); err != nil {
		return err
	}
	p.mu.Lock()
	p.size += len(part)
	start := !p.started && (long || p.pastDue || p.size > maxBufferedBodyBytes)
	p.started = p.started || start
	p.mu.Unlock()
	if start {
		p.start()
	}
	return nil
}

func (p *undecidedAnswer) start() {
	p.bodyPipe.mu.Lock()
	p.bodyPipe.unbounded = false
	p.bodyPipe.mu.Unlock()
	p.onStart()
}

// hurry begins an answer whose end nobody knows, for as long as it has not come.
func (p *undecidedAnswer) startWhenDue() {
	p.mu.Lock()
	p.pastDue = true
	start := !p.started && !p.ended && p.size > 0
	p.started = p.started || start
	if start {
		p.start() // under the lock: the end must not be told before the beginning
	}
	p.mu.Unlock()
}

// finish ends it and tells whether it had begun; if not, all of it is still there.
func (p *undecidedAnswer) finish() (started bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return p.started
}

// stream takes an answer that is long, or may be.
func (k *endpointConn) stream(g *leg, got *http.Response, length int64) (r *reply, body []byte, err error) {
	pending := &undecidedAnswer{bodyPipe: newBodyPipe()}
	pending.unbounded = true
	r = &reply{header: got.Header, length: length, flow: pending.bodyPipe}
	pending.onStart = func() {
		k.forwarding.Store(true)
		k.setReadDeadline(g)
		if g.onAnswerStart != nil {
			g.onAnswerStart(r)
		}
	}
	stop := g.onCancel(pending.discard)
	defer stop()
	if length < 0 && !g.forwardFrom.IsZero() {
		startTimer := time.AfterFunc(time.Until(g.forwardFrom), pending.startWhenDue)
		defer startTimer.Stop()
	}
	chunk, total, source := make([]byte, copyChunkBytes), int64(0), io.Reader(got.Body)
	if len(got.TransferEncoding) > 0 {
		source = &chunkedReader{source: k.reader}
	}
	for err == nil {
		var n int
		n, err = source.Read(chunk)
		if total += int64(n); total > maxStreamedBytes {
			err = errBodyTooLong
		} else if n > 0 {
			if e := pending.write(chunk[:n], length > maxBufferedBodyBytes); e != nil {
				err = e
			}
		}
	}
	if !pending.finish() {
		if err == io.EOF {
			return nil, pending.buffered, nil
		}
		return nil, nil, err
	}
	pending.close(err)
	if err == io.EOF {
		err = nil
	}
	return r, nil, err
}

// pass writes a long answer to the client as it comes. A fault of the endpoint's comes back as such: the connection has to
// be broken off, so that the client can tell.
func (a answer) streamTo(w http.ResponseWriter) (complete bool, err error) {
	control := http.NewResponseController(w)
	a.setHeaders(w.Header())
	if a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	var spare []byte
	for {
		data, ioErr := a.stream.read(spare)
		if ioErr == io.EOF {
			return true, nil
		}
		if ioErr != nil {
			return false, ioErr
		}
		for rest := data; len(rest) > 0; {
			chunk := rest[:min(len(rest), copyChunkBytes)]
			rest = rest[len(chunk):]
			control.SetWriteDeadline(time.Now().Add(streamStallTimeout))
			if _, ioErr = w.Write(chunk); ioErr == nil {
				ioErr = control.Flush()
			}
			if ioErr != nil {
				a.stream.discard()
				return false, nil
			}
		}
		spare = data
	}
}

// ---- requests

// paced reads a body at least as fast as is asked of clients; time that we did not read in is not theirs.
type minRateReader struct {
	source        io.Reader
	control       *http.ResponseController
	startBy       time.Time // for the first byte
	receivedBytes int64
}

func (p *minRateReader) Read(b []byte) (int, error) {
	p.control.SetReadDeadline(p.startBy.Add(time.Duration(float64(p.receivedBytes) / minBodyBytesPerSecond * float64(time.Second))))
	n, err := p.source.Read(b)
	p.receivedBytes += int64(n)
	return n, err
}

// incoming is a long request on its way to an endpoint.
type streamedRequest struct {
	*bodyPipe
	length   int64 // -1 if nobody has said
	deadline time.Time
}

// pump reads a long request from its client until its end. What nobody takes any more is read for a while, or the client
// would find its connection broken before it has read its answer.
func (s *clientServer) receiveBody(x *exchange, body *streamedRequest, source *minRateReader) (err error) {
	chunk, discardUntil := make([]byte, copyChunkBytes), time.Time{}
	for err == nil && (discardUntil.IsZero() || time.Now().Before(discardUntil)) {
		var n int
		n, err = source.Read(chunk)
		writeStart := time.Now()
		if n > 0 && discardUntil.IsZero() && body.write(chunk[:n]) != nil {
			discardUntil = time.Now().Add(bodyDiscardTime)
			source.startBy = source.startBy.Add(time.Since(writeStart))
			continue
		}
		source.startBy = source.startBy.Add(time.Since(writeStart)) // the endpoint let us wait, not the client
	}
	if err == io.EOF {
		completeAt := x.client.earlierReceipt(time.Now())
		body.deadline = completeAt.Add(toDuration(x.clientTimeout))
		s.loop.post(requestReceived{x, s.loop.at(completeAt) + x.clientTimeout})
		source.control.SetReadDeadline(time.Time{})
		if x.client != nil {
			x.client.bodyEndRead.Store(true)
		}
		body.close(io.EOF)
		return nil
	}
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	body.close(err)
	return err
}

// runLong carries a long request. The endpoint may answer before its end, and then never began it.
func (u *upstream) runStreamed(k *endpointConn, g *leg, head net.Buffers) (r *reply, keepOpen bool, fault *legError) {
	noDeadline := time.Now().Add(time.Hour)
	g.deadlineOverride.Store(&noDeadline)
	k.conn.SetDeadline(time.Time{})
	type end struct {
		at  legStage
		err error
	}
	uploaded := make(chan end, 1)
	go func() {
		at, err := u.upload(k, g, head)
		if err != nil {
			k.conn.SetReadDeadline(time.Now().Add(u.stallTimeout / 5)) // for what it may have said about that
		}
		uploaded <- end{at, err}
	}()
	r, keepOpen, fault = k.readAnswer(g)
	early := true
	select {
	case e := <-uploaded:
		uploaded <- e
		early = e.err != nil
	default:
	}
	if early {
		g.request.remaining.discard()
		k.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	e := <-uploaded
	switch {
	case e.err == nil:
		return r, keepOpen, fault
	case g.ctx.Err() != nil:
		return nil, false, newLegError(e.at, e.err, true)
	case fault == nil: // an answer to what was never asked whole
		return nil, false, &legError{stage: answered, outcome: logic.Errored, cause: errMalformedAnswer}
	case fault.outcome == logic.Full:
		return nil, false, fault
	}
	return nil, false, newLegError(writing, e.err, false)
}

// upload writes a long request. Once it is whole its time runs.
func (u *upstream) upload(k *endpointConn, g *leg, head net.Buffers) (legStage, error) {
	body := g.request.remaining
	k.conn.SetWriteDeadline(time.Now().Add(streamStallTimeout))
	if _, err := head.WriteTo(k.conn); err != nil {
		return writing, err
	}
	chunked := body.length < 0
	if first := g.request.body; chunked && len(first) > 0 {
		if err := writeChunk(k.conn, first); err != nil {
			return writing, err
		}
	} else if _, err := k.conn.Write(first); err != nil {
		return writing, err
	}
	var spare []byte
	for spent := false; ; {
		data, err := body.read(spare)
		if err == io.EOF {
			break
		}
		if err != nil {
			return writing, err
		}
		if !spent && g.onUnrepeatable != nil {
			spent = true
			g.onUnrepeatable()
		}
		k.conn.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		if chunked {
			err = writeChunk(k.conn, data)
		} else {
			_, err = k.conn.Write(data)
		}
		if err != nil {
			return writing, err
		}
		spare = data
	}
	if chunked {
		if _, err := io.WriteString(k.conn, "0\r\n\r\n"); err != nil {
			return writing, err
		}
	}
	u.counters.product(g.request.product).legs.Add(1)
	g.deadlineOverride.Store(&body.deadline)
	if g.onRequestWritten != nil {
		g.onRequestWritten()
	}
	k.conn.SetReadDeadline(body.deadline)
	if g.ctx.Err() != nil {
		k.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return written, nil
}

func writeChunk(w io.Writer, p []byte) error {
	text := net.Buffers{[]byte(fmt.Sprintf("%x\r\n", len(p))), p, []byte("\r\n")}
	_, err := text.WriteTo(w)
	return err
}

// chunks reads a body in chunks and hands over what has come. The standard library's reader waits until a chunk is whole or
// its buffer full: a slow answer's first bytes would be held back until the leg's time is over.
type chunkedReader struct {
	source    *bufio.Reader
	chunkLeft uint64 // of this chunk
	started   bool   // a chunk's data came before
}

const maxTrailerBytes = 16 << 10

func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.chunkLeft == 0 {
		if c.started {
			if line, err := c.readLine(); err != nil || len(line) > 0 {
				return 0, cmp.Or(err, errMalformedAnswer)
			}
		}
		line, err := c.readLine()
		if err != nil {
			return 0, err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		if c.chunkLeft, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 48); err != nil || len(size) == 0 || size[0] == '+' {
			return 0, errMalformedAnswer
		}
		c.started = true
		if c.chunkLeft == 0 {
			return 0, c.readTrailers()
		}
	}
	n, err := c.source.Read(p[:min(uint64(len(p)), c.chunkLeft)])
	c.chunkLeft -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// line is one without its end.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.source.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err == bufio.ErrBufferFull:
		return nil, errMalformedAnswer
	case err != nil:
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (c *chunkedReader) readTrailers() error {
	for size := 0; size < maxTrailerBytes; {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if size += len(line) + 1; len(line) == 0 {
			return io.EOF
		}
	}
	return errMalformedAnswer
}
