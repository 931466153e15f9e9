// This file streams answers that are too long to be buffered. It owns the bounded pipe between the reading and the writing
// side, and the transfer itself. It must never hold more than its bound, repair a broken transfer, or let a reader take an
// incomplete body for whole.

package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	pipeBytes          = 32 << 10         // held by a pipe before its writer waits, where memory allows
	copyChunkBytes     = 16 << 10         // read, or written to a client, at once
	maxStreamedBytes   = 48 << 20         // of an answer or a request; a longer one is taken for a mistake
	streamStallTimeout = 12 * time.Second // without progress in a started transfer; peers may pause for seconds
	streamAfterShare   = 0.5              // of the expected time, after which an answer of unknown length is passed on
)

var errReaderGone = errors.New("stream cancelled: its reader takes no more data")

// bodyPipe is a bounded pipe: its writer waits while it is full. Its reader gets what is buffered and then, once all of it
// is read, the error with which the writer closed it, io.EOF for a complete body.
type bodyPipe struct {
	mu        sync.Mutex
	changed   sync.Cond
	buffered  []byte
	limit     int
	unbounded bool // there is no reader yet: the buffer may grow up to the writer's own bound
	err       error
	discarded bool
}

// newBodyPipe returns a pipe that holds up to limit bytes before its writer waits.
func newBodyPipe(limit int) *bodyPipe {
	f := &bodyPipe{limit: limit}
	f.changed.L = &f.mu
	return f
}

// write appends p, waiting while the pipe is full. It returns errReaderGone once the reader takes no more.
func (f *bodyPipe) write(p []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.unbounded && !f.discarded && len(f.buffered) > 0 && len(f.buffered)+len(p) > f.limit {
		f.changed.Wait()
	}
	if f.discarded {
		return errReaderGone
	}
	f.buffered = append(f.buffered, p...)
	f.changed.Broadcast()
	return nil
}

// read waits for data and returns all of it. The pipe uses the memory of spare for the data that follows.
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

// takeBuffered returns what is buffered, without waiting.
func (f *bodyPipe) takeBuffered() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discarded {
		return nil, errReaderGone
	}
	p := f.buffered
	f.buffered = nil
	return p, nil
}

// close ends the data with err for the reader: io.EOF if the body is complete. Only the first call counts.
func (f *bodyPipe) close(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
	f.changed.Broadcast()
}

// discard drops what is buffered, and makes writes fail from now on.
func (f *bodyPipe) discard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded, f.buffered = true, nil
	f.changed.Broadcast()
}

// undecidedAnswer is an answer of which it is not decided yet whether it is buffered whole, being short, or passed on while
// it arrives.
type undecidedAnswer struct {
	*bodyPipe
	mu      sync.Mutex
	size    int
	pastDue bool // its time to be buffered is over: it is passed on from its first byte
	started bool // it is passed on
	ended   bool
	onStart func()
}

// write appends a part, and starts passing the answer on if it is known to be long, has grown too long, or is due.
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

// startWhenDue has an answer of unknown length passed on from now on, or from its first byte, if it has not ended.
func (p *undecidedAnswer) startWhenDue() {
	p.mu.Lock()
	p.pastDue = true
	start := !p.started && !p.ended && p.size > 0
	p.started = p.started || start
	if start {
		p.start() // under the lock, so that the end is not reported before the start
	}
	p.mu.Unlock()
}

// finish marks the answer as ended, and reports whether it is being passed on. If not, all of it is still buffered.
func (p *undecidedAnswer) finish() (started bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return p.started
}

// stream reads an answer that is long or of unknown length. It returns the body if the answer turned out to be short, or r
// if it was passed on while it arrived.
func (k *endpointConn) stream(g *leg, got *http.Response, length int64) (r *reply, body []byte, err error) {
	memory := k.memory
	pending := &undecidedAnswer{bodyPipe: newBodyPipe(memory.pipeBytes)}
	pending.unbounded = true
	g.reservation().grow(memory.transferBytes())
	if length < 0 && !g.reservation().tryGrow(maxBufferedBodyBytes) {
		pending.pastDue = true // no memory to hold it back until its length is known
	}
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
	chunk, total, source := make([]byte, memory.chunkBytes()), int64(0), io.Reader(got.Body)
	if len(got.TransferEncoding) > 0 {
		source = &chunkedReader{source: k.reader}
	}
	for err == nil {
		var n int
		n, err = source.Read(chunk)
		if total += int64(n); total > maxStreamedBytes {
			err = errBodyTooLong
		} else if n > 0 {
			if e := pending.write(chunk[:n], length >= 0); e != nil {
				err = e
			}
		}
	}
	if !pending.finish() {
		if err != io.EOF {
			return nil, nil, err
		}
		body, err = pending.takeBuffered()
		return nil, body, err
	}
	pending.close(err)
	if err == io.EOF {
		err = nil
	}
	return r, nil, err
}

// streamTo writes a streamed answer to the client while it arrives. complete says that all of it was written. err is an error
// of the endpoint's side: the client's connection must then be broken, so that the client notices. If both are zero, the
// client has left or stalled.
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

// chunkedReader reads a chunked body and returns data as soon as it arrives. The standard library's reader waits until a chunk
// is complete or its buffer is full: the first bytes of a slow answer would be held back until its leg times out.
type chunkedReader struct {
	source    *bufio.Reader
	chunkLeft uint64 // bytes of the current chunk that are still to be read
	started   bool   // a chunk has been read before, whose line end is still to be read
}

// maxTrailerBytes bounds the trailers of a chunked body.
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

// readLine returns a line without its end.
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

// readTrailers skips the trailers and returns io.EOF after the empty line that ends them.
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
