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
	flowMost   = 32 << 10                // bytes that a flow holds before its writer waits
	partMost   = 16 << 10                // bytes written at once
	longMost   = 48 << 20                // bytes of an answer or a request; more is a mistake
	flowStall  = 12 * time.Second        // without a byte, in a transfer that has begun: peers may take seconds
	headTime   = 2400 * time.Millisecond // from connecting, or a request's first byte, to the end of its head
	bodyStart  = 1500 * time.Millisecond // behind the head, for a body to begin
	bodyRate   = 44 << 10                // bytes a second, from then on: no client is asked for 64 kB
	drainTime  = 3 * time.Second         // for the rest of a request that was answered before its end
	beginShare = 0.5                     // of the expected time, until an answer of unknown length is passed on
)

var errDropped = errors.New("nobody takes the rest")

// flow is bounded: who writes waits while it is full. Its reader gets what there is, the end once all is read, or why
// there is none.
type flow struct {
	mu      sync.Mutex
	changed sync.Cond
	held    []byte
	free    bool // nothing waits yet: what is held may grow to its writer's own bound
	err     error
	dropped bool
}

func newFlow() *flow {
	f := &flow{}
	f.changed.L = &f.mu
	return f
}

// put adds a part, or says that nobody takes it.
func (f *flow) put(p []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.free && !f.dropped && len(f.held) > 0 && len(f.held)+len(p) > flowMost {
		f.changed.Wait()
	}
	if f.dropped {
		return errDropped
	}
	f.held = append(f.held, p...)
	f.changed.Broadcast()
	return nil
}

// take waits for more, and leaves spare for what comes next.
func (f *flow) take(spare []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.held) == 0 && f.err == nil && !f.dropped {
		f.changed.Wait()
	}
	switch {
	case f.dropped:
		return nil, errDropped
	case len(f.held) > 0:
		p := f.held
		f.held = spare[:0]
		f.changed.Broadcast()
		return p, nil
	}
	return nil, f.err
}

// close tells the reader that no more comes: io.EOF if all is there.
func (f *flow) close(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
	f.changed.Broadcast()
}

// drop tells the writer that nobody reads.
func (f *flow) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped, f.held = true, nil
	f.changed.Broadcast()
}

// ---- answers

// prelude is the part of an answer before it is known whether it is short, and so kept whole, or passed on as it comes.
type prelude struct {
	*flow
	mu    sync.Mutex
	size  int
	due   bool // it has its time behind it: the first byte begins it
	begun bool
	over  bool
	begin func()
}

// put adds a part; begun tells whether somebody may read it by now.
func (p *prelude) put(part []byte, long bool) error {
	if err := p.flow.put(part); err != nil {
		return err
	}
	p.mu.Lock()
	p.size += len(part)
	start := !p.begun && (long || p.due || p.size > bodyMost)
	p.begun = p.begun || start
	p.mu.Unlock()
	if start {
		p.start()
	}
	return nil
}

func (p *prelude) start() {
	p.flow.mu.Lock()
	p.flow.free = false
	p.flow.mu.Unlock()
	p.begin()
}

// hurry begins an answer whose end nobody knows, for as long as it has not come.
func (p *prelude) hurry() {
	p.mu.Lock()
	p.due = true
	start := !p.begun && !p.over && p.size > 0
	p.begun = p.begun || start
	if start {
		p.start() // under the lock: the end must not be told before the beginning
	}
	p.mu.Unlock()
}

// finish ends it and tells whether it had begun; if not, all of it is still there.
func (p *prelude) finish() (begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	return p.begun
}

// stream takes an answer that is long, or may be.
func (k *link) stream(g *leg, got *http.Response, length int64) (r *reply, body []byte, err error) {
	p := &prelude{flow: newFlow()}
	p.free = true
	r = &reply{header: got.Header, length: length, flow: p.flow}
	p.begin = func() {
		k.flowing.Store(true)
		k.wait(g)
		if g.began != nil {
			g.began(r)
		}
	}
	stop := g.onCancel(p.drop)
	defer stop()
	if length < 0 && !g.beginBy.IsZero() {
		hurry := time.AfterFunc(time.Until(g.beginBy), p.hurry)
		defer hurry.Stop()
	}
	part, total, from := make([]byte, partMost), int64(0), io.Reader(got.Body)
	if len(got.TransferEncoding) > 0 {
		from = &chunks{from: k.reader}
	}
	for err == nil {
		var n int
		n, err = from.Read(part)
		if total += int64(n); total > longMost {
			err = errTooLong
		} else if n > 0 {
			if e := p.put(part[:n], length > bodyMost); e != nil {
				err = e
			}
		}
	}
	if !p.finish() {
		if err == io.EOF {
			return nil, p.held, nil
		}
		return nil, nil, err
	}
	p.close(err)
	if err == io.EOF {
		err = nil
	}
	return r, nil, err
}

// pass writes a long answer to the client as it comes. A fault of the endpoint's comes back as such: the connection has to
// be broken off, so that the client can tell.
func (a answer) pass(w http.ResponseWriter) (whole bool, fault error) {
	control := http.NewResponseController(w)
	a.head(w.Header())
	if a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	var part []byte
	for {
		next, err := a.flow.take(part)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		for rest := next; len(rest) > 0; {
			now := rest[:min(len(rest), partMost)]
			rest = rest[len(now):]
			control.SetWriteDeadline(time.Now().Add(flowStall))
			if _, err = w.Write(now); err == nil {
				err = control.Flush()
			}
			if err != nil {
				a.flow.drop()
				return false, nil
			}
		}
		part = next
	}
}

// ---- requests

// paced reads a body at least as fast as is asked of clients; time that we did not read in is not theirs.
type paced struct {
	from    io.Reader
	control *http.ResponseController
	by      time.Time // for the first byte
	got     int64
}

func (p *paced) Read(b []byte) (int, error) {
	p.control.SetReadDeadline(p.by.Add(time.Duration(float64(p.got) / bodyRate * float64(time.Second))))
	n, err := p.from.Read(b)
	p.got += int64(n)
	return n, err
}

// incoming is a long request on its way to an endpoint.
type incoming struct {
	*flow
	length int64 // -1 if nobody has said
	until  time.Time
}

// pump reads a long request from its client until its end. What nobody takes any more is read for a while, or the client
// would find its connection broken before it has read its answer.
func (s *front) pump(x *exchange, in *incoming, from *paced) (err error) {
	part, limit := make([]byte, partMost), time.Time{}
	for err == nil && (limit.IsZero() || time.Now().Before(limit)) {
		var n int
		n, err = from.Read(part)
		began := time.Now()
		if n > 0 && limit.IsZero() && in.put(part[:n]) != nil {
			limit = time.Now().Add(drainTime)
			from.by = from.by.Add(time.Since(began))
			continue
		}
		from.by = from.by.Add(time.Since(began)) // the endpoint let us wait, not the client
	}
	if err == io.EOF {
		whole := x.client.earlier(time.Now())
		in.until = whole.Add(span(x.wait))
		s.loop.post(bodyCame{x, s.loop.at(whole) + x.wait})
		from.control.SetReadDeadline(time.Time{})
		if x.client != nil {
			x.client.whole.Store(true)
		}
		in.close(io.EOF)
		return nil
	}
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	in.close(err)
	return err
}

// runLong carries a long request. The endpoint may answer before its end, and then never began it.
func (u *upstream) runLong(k *link, g *leg, head net.Buffers) (r *reply, keepOpen bool, fault *legError) {
	far := time.Now().Add(time.Hour)
	g.over.Store(&far)
	k.conn.SetDeadline(time.Time{})
	type end struct {
		at  reach
		err error
	}
	wrote := make(chan end, 1)
	go func() {
		at, err := u.upload(k, g, head)
		if err != nil {
			k.conn.SetReadDeadline(time.Now().Add(u.stall / 5)) // for what it may have said about that
		}
		wrote <- end{at, err}
	}()
	r, keepOpen, fault = k.read(g)
	early := true
	select {
	case e := <-wrote:
		wrote <- e
		early = e.err != nil
	default:
	}
	if early {
		g.request.rest.drop()
		k.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	e := <-wrote
	switch {
	case e.err == nil:
		return r, keepOpen, fault
	case g.ctx.Err() != nil:
		return nil, false, failed(e.at, e.err, true)
	case fault == nil: // an answer to what was never asked whole
		return nil, false, &legError{reach: answered, outcome: logic.Errored, cause: errSpoilt}
	case fault.outcome == logic.Full:
		return nil, false, fault
	}
	return nil, false, failed(writing, e.err, false)
}

// upload writes a long request. Once it is whole its time runs.
func (u *upstream) upload(k *link, g *leg, head net.Buffers) (reach, error) {
	in := g.request.rest
	k.conn.SetWriteDeadline(time.Now().Add(flowStall))
	if _, err := head.WriteTo(k.conn); err != nil {
		return writing, err
	}
	chunked := in.length < 0
	if kept := g.request.body; chunked && len(kept) > 0 {
		if err := writeChunk(k.conn, kept); err != nil {
			return writing, err
		}
	} else if _, err := k.conn.Write(kept); err != nil {
		return writing, err
	}
	var part []byte
	for spent := false; ; {
		next, err := in.take(part)
		if err == io.EOF {
			break
		}
		if err != nil {
			return writing, err
		}
		if !spent && g.spent != nil {
			spent = true
			g.spent()
		}
		k.conn.SetWriteDeadline(time.Now().Add(flowStall))
		if chunked {
			err = writeChunk(k.conn, next)
		} else {
			_, err = k.conn.Write(next)
		}
		if err != nil {
			return writing, err
		}
		part = next
	}
	if chunked {
		if _, err := io.WriteString(k.conn, "0\r\n\r\n"); err != nil {
			return writing, err
		}
	}
	u.counters.class(g.request.class).legs.Add(1)
	g.over.Store(&in.until)
	if g.whole != nil {
		g.whole()
	}
	k.conn.SetReadDeadline(in.until)
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
type chunks struct {
	from *bufio.Reader
	left uint64 // of this chunk
	some bool   // a chunk's data came before
}

const trailerMost = 16 << 10

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.some {
			if line, err := c.line(); err != nil || len(line) > 0 {
				return 0, cmp.Or(err, errSpoilt)
			}
		}
		line, err := c.line()
		if err != nil {
			return 0, err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		if c.left, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 48); err != nil || len(size) == 0 || size[0] == '+' {
			return 0, errSpoilt
		}
		c.some = true
		if c.left == 0 {
			return 0, c.trailers()
		}
	}
	n, err := c.from.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// line is one without its end.
func (c *chunks) line() ([]byte, error) {
	line, err := c.from.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err == bufio.ErrBufferFull:
		return nil, errSpoilt
	case err != nil:
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (c *chunks) trailers() error {
	for size := 0; size < trailerMost; {
		line, err := c.line()
		if err != nil {
			return err
		}
		if size += len(line) + 1; len(line) == 0 {
			return io.EOF
		}
	}
	return errSpoilt
}
