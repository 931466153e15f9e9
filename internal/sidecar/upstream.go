// Upstream: legs on the wire. This file owns the connections to endpoints, their idle pools, and what each leg's error
// says of how far it had come. It must never send a request twice, choose an endpoint, or pass on an answer that is
// not whole.
package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	bodyMost    = 64 << 10
	headMost    = 16 << 10
	answerHead  = 8 << 10                // of an answer: more is noise
	informMost  = 5                      // 1xx ahead of an answer
	retireShare = 0.6                    // of idle-close: no connection older than that is used again
	restShare   = 0.1                    // of the time to connect: what comes behind an answer must show before another request is written
	keyShare    = 0.95                   // of the time for which endpoints know a repeat; the rest is for its way there
	behindWaits = 8                      // of a quarter of a beat: as long as one standstill is looked back on
	stallTime   = 250 * time.Millisecond // between two parts of an answer, where the settings name no time to connect
)

// reply is an endpoint's 200: whole, or passed on as it comes.
type reply struct {
	header http.Header
	body   []byte
	length int64 // of what flows; -1 if nobody has said
	flow   *bodyPipe
}

// leg is one request on its way to one endpoint.
type leg struct {
	to        *endpoint
	addr      string
	request   *request
	sent      logic.Millis
	giveUp    time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	collected bool                      // its outcome was handed to the module
	over      atomic.Pointer[time.Time] // in place of giveUp, for a request that is still coming
	beginBy   time.Time                 // an answer of unknown length is passed on from here
	beginLast time.Time                 // no first byte after that: a repeat's effect would be a second one
	never     bool                      // it is known not to have run
	of        *exchange                 // nil for none
	moot      atomic.Bool               // its exchange is over
	suspended *atomic.Bool              // the lease on the list has ended; nil for never
	quit      atomic.Pointer[context.CancelFunc]
	bound     bool      // its product may be sent to some places and kinds of machine only
	place     [2]string // zone and kind of its endpoint when it was chosen
	patient   bool      // nobody could repeat it: an answer that pauses is waited for

	began        func(*reply) // its answer is passed on
	spent, whole func()       // its request can't be sent again; its last byte is written
	took         logic.Millis // until its answer began
}

// end is when nobody waits for it any more.
func (g *leg) end() time.Time {
	if over := g.over.Load(); over != nil {
		return *over
	}
	return g.giveUp
}

// void keeps a leg whose exchange is over from beginning. That is no cancel, which a deployment may forbid: what has begun
// goes on.
func (g *leg) void() {
	g.moot.Store(true)
	if quit := g.quit.Load(); quit != nil {
		(*quit)()
	}
}

var (
	errDrains    = errors.New("drains, moved or out by hand, before the first byte")
	errForgotten = errors.New("its mark may be forgotten before the first byte")
	errCalledOff = errors.New("called off before the first byte")
	errOver      = errors.New("its exchange was over before the first byte")
	errPlace     = errors.New("its endpoint's zone or kind changed before the first byte")
	errNobody    = errors.New("its client had left before the first byte")
	errLease     = errors.New("the lease on the list ended before the first byte")
)

// mayBegin is asked in the instant before a leg's first byte, the last in which it can be kept back. Whatever was told
// while it was dialling, or while the process stood still, counts here and nowhere else.
func (g *leg) mayBegin(k *link) *legError {
	switch {
	case g.ctx.Err() != nil:
		return failed(writing, errCalledOff, true)
	case g.moot.Load():
		return failed(writing, errOver, true)
	case g.of.abandonedByClient():
		return failed(writing, errNobody, true)
	case g.suspended != nil && g.suspended.Load():
		return &legError{reach: writing, outcome: logic.NotSent, cause: errLease}
	case g.bound && g.to.stands() != g.place:
		return failed(writing, errPlace, false)
	case !g.to.takes(k.addr):
		return failed(writing, errDrains, false)
	case !g.beginLast.IsZero() && time.Now().After(g.beginLast):
		return failed(writing, errForgotten, false)
	}
	return nil
}

func (g *leg) onCancel(f func()) (stop func() bool) { return context.AfterFunc(g.ctx, f) }

// request is an exchange's request as endpoints get it.
type request struct {
	method string
	class  logic.ProductID // by its name, whatever may be done with it
	head   []byte          // request line and headers, but for the time left and the empty line
	body   []byte
	probe  bool             // no exchange's
	rest   *streamedRequest // what comes behind body, of a long one
}

// endpoint is where one server listens, and what connections to it are idle.
type endpoint struct {
	shut  atomic.Bool // it drains, is gone or out by hand: no first byte is written to it
	mu    sync.Mutex
	up    bool // by the list
	addr  string
	place [2]string // zone and kind, by the list
	idle  []*link   // the one used last at the end
}

// takes tells whether a first byte may be written to it there.
func (e *endpoint) takes(addr string) bool {
	if e.shut.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr == addr
}

func (e *endpoint) stands() [2]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.place
}

// link is one connection to an endpoint.
type link struct {
	conn   net.Conn
	addr   string
	most   io.LimitedReader // bounds an endpoint that never ends its answer
	reader *bufio.Reader
	since  time.Time
	stall  time.Duration
	leg    *leg // whose answer is read

	counters *Counters
	started  bool        // some of it has come
	flowing  atomic.Bool // that answer is passed on: no time but its pace bounds it
}

// Read gives an answer that has begun only so long to go on. A spoilt one has lengths that don't fit or a head without
// end, and leaves its connection open: the leg would hold its exchange until there is no time for another.
func (k *link) Read(p []byte) (int, error) {
	if g := k.leg; g != nil && k.started {
		k.wait(g)
	}
	n, err := k.conn.Read(p)
	k.started = k.started || n > 0
	return n, err
}

// wait sets until when more of an answer has to come.
func (k *link) wait(g *leg) {
	until, now := g.end(), time.Now()
	if k.flowing.Load() {
		until = now.Add(streamStallTimeout)
	} else if pause := now.Add(k.stall); !g.patient && pause.Before(until) {
		until = pause
	}
	k.conn.SetReadDeadline(until)
	if g.ctx.Err() != nil {
		k.conn.SetReadDeadline(time.Unix(1, 0)) // it was called off meanwhile
	}
}

// upstream holds all endpoints.
type upstream struct {
	mu        sync.Mutex
	endpoints map[logic.EndpointID]*endpoint
	out       map[logic.EndpointID]bool // by hand
	dialTime  time.Duration
	stall     time.Duration
	rest      time.Duration
	retire    time.Duration
	idleMost  atomic.Int64 // connections kept idle to one endpoint; 0 for any number
	sockets   *descriptorLimiter
	counters  *Counters
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	behind    func() bool // the process stood still just now, and may have news unread; nil for never
}

func newUpstream(connect, idleClose logic.Millis, s *descriptorLimiter, c *Counters) *upstream {
	u := &upstream{
		endpoints: map[logic.EndpointID]*endpoint{}, out: map[logic.EndpointID]bool{}, dialTime: span(connect), retire: span(idleClose * retireShare),
		stall: stallTime, sockets: s, counters: c, dial: (&net.Dialer{KeepAlive: -1}).DialContext,
	}
	if u.dialTime > 0 {
		u.stall = u.dialTime
	}
	u.rest = time.Duration(float64(u.stall) * restShare)
	s.closeIdleUpstream = u.dropIdle
	return u
}

func span(m logic.Millis) time.Duration { return time.Duration(float64(m) * float64(time.Millisecond)) }

// list takes an endpoint's place and whether it may be sent anything. An address is a detail that may change.
func (u *upstream) list(id logic.EndpointID, addr string, running bool) {
	u.mu.Lock()
	e := u.endpoints[id]
	if e == nil {
		e = &endpoint{}
		u.endpoints[id] = e
	}
	out := u.out[id]
	u.mu.Unlock()
	u.settle(e, addr, running, out)
}

// stands takes an endpoint's zone and kind, which may change under way.
func (u *upstream) stands(id logic.EndpointID, zone, kind string) {
	if e := u.find(id); e != nil {
		e.mu.Lock()
		e.place = [2]string{zone, kind}
		e.mu.Unlock()
	}
}

// byHand takes an endpoint out, or ends that; the list's word stands beside it.
func (u *upstream) byHand(id logic.EndpointID, out bool) {
	u.mu.Lock()
	if out {
		u.out[id] = true
	} else {
		delete(u.out, id)
	}
	e := u.endpoints[id]
	u.mu.Unlock()
	if e != nil {
		e.mu.Lock()
		up := e.up
		e.mu.Unlock()
		u.settle(e, "", up, out)
	}
}

func (u *upstream) settle(e *endpoint, addr string, running, out bool) {
	e.mu.Lock()
	e.up, running = running, running && !out
	e.shut.Store(!running)
	var dropped []*link
	if !running || addr != "" && addr != e.addr {
		dropped, e.idle = e.idle, nil
	}
	if addr != "" {
		e.addr = addr
	}
	e.mu.Unlock()
	u.close(dropped...)
}

// drop lets go of an endpoint that has left the list; a leg that is out keeps it until its end.
func (u *upstream) drop(id logic.EndpointID) {
	if u.find(id) != nil {
		u.list(id, "", false)
		u.mu.Lock()
		delete(u.endpoints, id)
		u.mu.Unlock()
	}
}

// share sets how many idle connections one endpoint gets. An endpoint holds only so many, and a whole fleet that each
// kept what a burst had opened would fill its table: our own descriptors over the endpoints named are our part.
func (u *upstream) share(endpoints int) {
	u.idleMost.Store(max(int64(u.sockets.usableAlone/max(endpoints, 1)), 1))
}

func (u *upstream) find(id logic.EndpointID) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

func (u *upstream) close(links ...*link) {
	for _, k := range links {
		k.conn.Close()
		u.sockets.releaseUpstream()
	}
}

// all is a snapshot, so that no lock is held while connections are closed.
func (u *upstream) all() []*endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]*endpoint, 0, len(u.endpoints))
	for _, e := range u.endpoints {
		all = append(all, e)
	}
	return all
}

// dropIdle makes room for another connection.
func (u *upstream) dropIdle() bool {
	for _, e := range u.all() {
		e.mu.Lock()
		if len(e.idle) > 0 {
			k := e.idle[0]
			e.idle = e.idle[1:]
			e.mu.Unlock()
			u.close(k)
			return true
		}
		e.mu.Unlock()
	}
	return false
}

// sweep closes what is idle for too long or was closed by its peer.
func (u *upstream) sweep(now time.Time) {
	for _, e := range u.all() {
		e.mu.Lock()
		kept, dropped := e.idle[:0], []*link(nil)
		for _, k := range e.idle {
			if now.Sub(k.since) > u.retire || !k.quiet() {
				dropped = append(dropped, k)
			} else {
				kept = append(kept, k)
			}
		}
		e.idle = kept
		e.mu.Unlock()
		u.counters.retired.Add(int64(len(dropped)))
		u.close(dropped...)
	}
}

// quiet tells that nothing has come on an idle connection: neither its end nor bytes that nobody asked for.
func (k *link) quiet() bool {
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
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return quiet && err == nil
}

// rested takes the idle connection that was used last, but for those used just now: an endpoint may say more than its
// answer, and a second copy of it that came after the look at the connection would be served as the next one's.
func (e *endpoint) rested(rest time.Duration) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle) - 1; n >= 0; n-- {
		if k := e.idle[n]; time.Since(k.since) >= rest {
			e.idle = append(e.idle[:n], e.idle[n+1:]...)
			return k
		}
	}
	return nil
}

// connect takes an idle connection, or opens one.
func (u *upstream) connect(g *leg) (*link, *legError) {
	for k := g.to.rested(u.rest); k != nil; k = g.to.rested(u.rest) {
		if k.addr == g.addr && time.Since(k.since) < u.retire && k.quiet() {
			u.counters.reused.Add(1)
			return k, nil
		}
		u.counters.retired.Add(1)
		u.close(k)
	}
	until := g.giveUp
	if u.dialTime > 0 {
		if d := time.Now().Add(u.dialTime); d.Before(until) {
			until = d
		}
	}
	ctx, done := context.WithDeadline(g.ctx, until)
	defer done()
	if g.quit.Store(&done); g.moot.Load() {
		done()
	}
	if !u.sockets.waitForUpstream(ctx) {
		return nil, failed(notDialled, errDescriptors, g.ctx.Err() != nil || g.moot.Load())
	}
	u.counters.dialled.Add(1)
	conn, err := u.dial(ctx, "tcp", g.addr)
	if err != nil {
		u.sockets.releaseUpstream()
		return nil, failed(dialling, err, g.ctx.Err() != nil || g.moot.Load())
	}
	k := &link{conn: conn, addr: g.addr, stall: u.stall, counters: u.counters}
	k.most.R = k
	k.reader = bufio.NewReaderSize(&k.most, answerHead)
	return k, nil
}

// timeLeft is the deadline that an endpoint is told, in milliseconds.
func timeLeft(g *leg) float64 {
	left := max(float64(time.Until(g.giveUp))/float64(time.Millisecond), 0)
	if injectedFault == "deadline" {
		left += 1000
	}
	return left
}

// run carries one leg from its first byte to its end. Its request leaves at most once.
func (u *upstream) run(g *leg) (r *reply, fault *legError) {
	k, fault := u.connect(g)
	if fault != nil {
		return nil, fault
	}
	reusable := false
	defer func() {
		if !reusable || !u.keep(g.to, k) {
			u.close(k)
		}
	}()
	k.conn.SetDeadline(g.giveUp)
	stop := context.AfterFunc(g.ctx, func() { k.conn.SetDeadline(time.Unix(1, 0)) })
	// A drain may have been told while the process stood still: whoever reads it comes first. Where standstills follow upon
	// each other, as on a small share of a core, that has had its turn after some waits, and no leg would ever begin.
	for n := 0; n < behindWaits && u.behind != nil && u.behind() && g.ctx.Err() == nil && time.Now().Before(g.giveUp); n++ {
		time.Sleep(stallTickInterval / 4)
	}
	if fault := g.mayBegin(k); fault != nil {
		reusable = stop() // keep looks whether its endpoint still takes it
		return nil, fault
	}
	// What is left is read after all waits: what goes by from here to the write, the endpoint is told too much.
	left := append(make([]byte, 0, 48), "Request-Timeout: "...)
	left = strconv.AppendFloat(left, timeLeft(g), 'f', 3, 64)
	text := net.Buffers{g.request.head, append(left, "m\r\n\r\n"...), g.request.body}
	if g.request.rest != nil {
		var keepOpen bool
		r, keepOpen, fault = u.runStreamed(k, g, text[:2])
		reusable = stop() && keepOpen
		return r, fault
	}
	if injectedFault == "twice" {
		if again, err := u.dial(g.ctx, "tcp", g.addr); err == nil {
			copied := slices.Clone(text)
			copied.WriteTo(again)
			time.AfterFunc(u.rest, func() { again.Close() })
		}
	}
	if n := len(g.request.body); n > copyChunkBytes {
		// Whoever answers before the last byte has read no request of ours: it is kept back until that is sure.
		text = net.Buffers{text[0], text[1], g.request.body[:n-1]}
		if _, err := text.WriteTo(k.conn); err != nil {
			stop()
			return nil, failed(writing, err, g.ctx.Err() != nil)
		}
		if !k.quiet() {
			stop()
			return nil, failed(writing, errEarly, false)
		}
		text = net.Buffers{g.request.body[n-1:]}
	}
	if _, err := text.WriteTo(k.conn); err != nil {
		stop()
		return nil, failed(writing, err, g.ctx.Err() != nil)
	}
	if !g.request.probe {
		u.counters.class(g.request.class).legs.Add(1)
	}
	r, keepOpen, fault := k.read(g)
	// A connection whose leg was called off or timed out may still carry the late answer: it is not used again.
	reusable = stop() && keepOpen
	return r, fault
}

var (
	errTooLong = errors.New("body too long")
	errSpoilt  = errors.New("not an answer")
	errEarly   = errors.New("an answer, or the end, before the request's last byte")
	errStalled = errors.New("the answer began and did not go on")
)

// head waits for a whole head, and sees that its framing is sound.
func (k *link) head() error {
	for {
		_, err := k.reader.Peek(k.reader.Buffered() + 1)
		seen, _ := k.reader.Peek(k.reader.Buffered())
		if start := min(len(seen), len("HTTP/1.")); string(seen[:start]) != "HTTP/1."[:start] {
			return errSpoilt
		}
		if end := headEnd(seen); end > 0 {
			_, _, err := parseFraming(seen[:end])
			return err
		}
		if err == bufio.ErrBufferFull {
			return errSpoilt
		}
		if err != nil {
			return err
		}
	}
}

// read takes one answer whole. Only the endpoint's word says that a request never ran.
func (k *link) read(g *leg) (r *reply, keepOpen bool, fault *legError) {
	odd := func(cause error) *legError { return &legError{reach: answered, outcome: logic.Errored, cause: cause} }
	broken := func(err error) *legError {
		var net net.Error
		switch {
		case err == errReaderGone:
			return failed(written, err, true)
		case k.most.N <= 0:
			return odd(errTooLong)
		case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &net):
			return odd(err)
		case errors.Is(err, os.ErrDeadlineExceeded) && g.ctx.Err() == nil && time.Now().Before(g.end()):
			return odd(errStalled)
		}
		return failed(written, err, g.ctx.Err() != nil)
	}
	k.leg, k.started = g, k.reader.Buffered() > 0
	defer func() {
		k.leg = nil
		k.flowing.Store(false)
	}()
	k.most.N = headMost + maxStreamedBytes
	var got *http.Response
	for informed := 0; got == nil || got.StatusCode < 200; informed++ {
		if informed > informMost {
			return nil, false, odd(errSpoilt)
		}
		err := k.head()
		if err == nil {
			got, err = http.ReadResponse(k.reader, &http.Request{Method: g.request.method})
		}
		if err != nil {
			return nil, false, broken(err)
		}
	}
	var body []byte
	var err error
	long := got.ContentLength > bodyMost || got.ContentLength < 0
	switch {
	case got.StatusCode != http.StatusOK || !long:
		body, err = readBody(got)
	case got.ContentLength > maxStreamedBytes:
		err = errTooLong
	default:
		if len(got.TransferEncoding) == 0 {
			k.counters.unframed.Add(1) // its end is the connection's: whole if that ends in good order
		}
		r, body, err = k.stream(g, got, got.ContentLength)
	}
	switch {
	case r != nil && err != nil:
		return r, false, broken(err)
	case r != nil:
		return r, !got.Close && k.reader.Buffered() == 0, nil
	case err == errTooLong:
		return nil, false, odd(err)
	case err != nil && got.StatusCode == http.StatusOK:
		return nil, false, broken(err)
	}
	keepOpen = err == nil && !got.Close && k.reader.Buffered() == 0
	switch s := got.StatusCode; {
	case s == http.StatusOK:
		return &reply{header: got.Header, body: body}, keepOpen, nil
	case (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && got.Header.Get("Not-Started") == "1":
		return nil, keepOpen, &legError{reach: answered, outcome: logic.Full, cause: errors.New(got.Status)}
	default:
		return nil, keepOpen, odd(errors.New(got.Status))
	}
}

func readBody(got *http.Response) ([]byte, error) {
	if got.ContentLength > bodyMost {
		return nil, errTooLong
	}
	var b bytes.Buffer
	if got.ContentLength > 0 {
		b.Grow(int(got.ContentLength) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(got.Body, bodyMost+1))
	if err == nil && n > bodyMost {
		err = errTooLong
	}
	return b.Bytes(), err
}

// keep puts a connection back, unless its endpoint has left or moved meanwhile.
func (u *upstream) keep(e *endpoint, k *link) bool {
	k.conn.SetDeadline(time.Time{})
	k.since = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shut.Load() || k.addr != e.addr {
		return false
	}
	e.idle = append(e.idle, k)
	if most := int(u.idleMost.Load()); most > 0 && len(e.idle) > most {
		longest := e.idle[0]
		e.idle = e.idle[1:]
		u.counters.retired.Add(1)
		defer u.close(longest)
	}
	return true
}
