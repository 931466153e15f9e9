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
	maxBufferedBodyBytes    = 64 << 10
	maxHeadBytes            = 16 << 10
	answerBufferBytes       = 8 << 10                // of an answer: more is noise
	maxInformationalAnswers = 5                      // 1xx ahead of an answer
	idleReuseShare          = 0.6                    // of idle-close: no connection older than that is used again
	reuseDelayShare         = 0.1                    // of the time to connect: what comes behind an answer must show before another request is written
	repeatWindowShare       = 0.95                   // of the time for which endpoints know a repeat; the rest is for its way there
	maxUpdateWaits          = 8                      // of a quarter of a beat: as long as one standstill is looked back on
	defaultStallTimeout     = 250 * time.Millisecond // between two parts of an answer, where the settings name no time to connect
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
	endpoint           *endpoint
	addr               string
	request            *request
	sentAt             logic.Millis
	deadline           time.Time
	ctx                context.Context
	cancel             context.CancelFunc
	reported           bool                      // its outcome was handed to the module
	deadlineOverride   atomic.Pointer[time.Time] // in place of giveUp, for a request that is still coming
	forwardFrom        time.Time                 // an answer of unknown length is passed on from here
	latestStart        time.Time                 // no first byte after that: a repeat's effect would be a second one
	neverRan           bool                      // it is known not to have run
	exchange           *exchange                 // nil for none
	exchangeOver       atomic.Bool               // its exchange is over
	leaseEnded         *atomic.Bool              // the lease on the list has ended; nil for never
	cancelDial         atomic.Pointer[context.CancelFunc]
	localityBound      bool      // its product may be sent to some places and kinds of machine only
	locality           [2]string // zone and kind of its endpoint when it was chosen
	waitsThroughPauses bool      // nobody could repeat it: an answer that pauses is waited for

	onAnswerStart                    func(*reply) // its answer is passed on
	onUnrepeatable, onRequestWritten func()       // its request can't be sent again; its last byte is written
	answerStartedAfter               logic.Millis // until its answer began
}

// end is when nobody waits for it any more.
func (g *leg) currentDeadline() time.Time {
	if override := g.deadlineOverride.Load(); override != nil {
		return *override
	}
	return g.deadline
}

// void keeps a leg whose exchange is over from beginning. That is no cancel, which a deployment may forbid: what has begun
// goes on.
func (g *leg) preventStart() {
	g.exchangeOver.Store(true)
	if cancelDial := g.cancelDial.Load(); cancelDial != nil {
		(*cancelDial)()
	}
}

var (
	errEndpointUnavailable = errors.New("drains, moved or out by hand, before the first byte")
	errRepeatWindowOver    = errors.New("its mark may be forgotten before the first byte")
	errLegCancelled        = errors.New("called off before the first byte")
	errExchangeOver        = errors.New("its exchange was over before the first byte")
	errLocalityChanged     = errors.New("its endpoint's zone or kind changed before the first byte")
	errClientGone          = errors.New("its client had left before the first byte")
	errLeaseEnded          = errors.New("the lease on the list ended before the first byte")
)

// mayBegin is asked in the instant before a leg's first byte, the last in which it can be kept back. Whatever was told
// while it was dialling, or while the process stood still, counts here and nowhere else.
func (g *leg) checkStart(k *endpointConn) *legError {
	switch {
	case g.ctx.Err() != nil:
		return newLegError(writing, errLegCancelled, true)
	case g.exchangeOver.Load():
		return newLegError(writing, errExchangeOver, true)
	case g.exchange.abandonedByClient():
		return newLegError(writing, errClientGone, true)
	case g.leaseEnded != nil && g.leaseEnded.Load():
		return &legError{stage: writing, outcome: logic.NotSent, cause: errLeaseEnded}
	case g.localityBound && g.endpoint.currentLocality() != g.locality:
		return newLegError(writing, errLocalityChanged, false)
	case !g.endpoint.accepts(k.addr):
		return newLegError(writing, errEndpointUnavailable, false)
	case !g.latestStart.IsZero() && time.Now().After(g.latestStart):
		return newLegError(writing, errRepeatWindowOver, false)
	}
	return nil
}

func (g *leg) onCancel(f func()) (stop func() bool) { return context.AfterFunc(g.ctx, f) }

// request is an exchange's request as endpoints get it.
type request struct {
	method    string
	product   logic.ProductID // by its name, whatever may be done with it
	head      []byte          // request line and headers, but for the time left and the empty line
	body      []byte
	isProbe   bool             // no exchange's
	remaining *streamedRequest // what comes behind body, of a long one
}

// endpoint is where one server listens, and what connections to it are idle.
type endpoint struct {
	unavailable atomic.Bool // it drains, is gone or out by hand: no first byte is written to it
	mu          sync.Mutex
	inService   bool // by the list
	addr        string
	locality    [2]string       // zone and kind, by the list
	idle        []*endpointConn // the one used last at the end
}

// takes tells whether a first byte may be written to it there.
func (e *endpoint) accepts(addr string) bool {
	if e.unavailable.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr == addr
}

func (e *endpoint) currentLocality() [2]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.locality
}

// link is one connection to an endpoint.
type endpointConn struct {
	conn         net.Conn
	addr         string
	limited      io.LimitedReader // bounds an endpoint that never ends its answer
	reader       *bufio.Reader
	idleSince    time.Time
	stallTimeout time.Duration
	leg          *leg // whose answer is read

	counters      *Counters
	answerStarted bool        // some of it has come
	forwarding    atomic.Bool // that answer is passed on: no time but its pace bounds it
}

// Read gives an answer that has begun only so long to go on. A spoilt one has lengths that don't fit or a head without
// end, and leaves its connection open: the leg would hold its exchange until there is no time for another.
func (k *endpointConn) Read(p []byte) (int, error) {
	if g := k.leg; g != nil && k.answerStarted {
		k.setReadDeadline(g)
	}
	n, err := k.conn.Read(p)
	k.answerStarted = k.answerStarted || n > 0
	return n, err
}

// wait sets until when more of an answer has to come.
func (k *endpointConn) setReadDeadline(g *leg) {
	until, now := g.currentDeadline(), time.Now()
	if k.forwarding.Load() {
		until = now.Add(streamStallTimeout)
	} else if pause := now.Add(k.stallTimeout); !g.waitsThroughPauses && pause.Before(until) {
		until = pause
	}
	k.conn.SetReadDeadline(until)
	if g.ctx.Err() != nil {
		k.conn.SetReadDeadline(time.Unix(1, 0)) // it was called off meanwhile
	}
}

// upstream holds all endpoints.
type upstream struct {
	mu                 sync.Mutex
	endpoints          map[logic.EndpointID]*endpoint
	drainedByOperator  map[logic.EndpointID]bool // by hand
	dialTimeout        time.Duration
	stallTimeout       time.Duration
	reuseDelay         time.Duration
	maxIdleTime        time.Duration
	maxIdlePerEndpoint atomic.Int64 // connections kept idle to one endpoint; 0 for any number
	sockets            *descriptorLimiter
	counters           *Counters
	dial               func(ctx context.Context, network, addr string) (net.Conn, error)
	updatesPending     func() bool // the process stood still just now, and may have news unread; nil for never
}

func newUpstream(connectTimeout, idleClose logic.Millis, s *descriptorLimiter, c *Counters) *upstream {
	u := &upstream{
		endpoints: map[logic.EndpointID]*endpoint{}, drainedByOperator: map[logic.EndpointID]bool{}, dialTimeout: toDuration(connectTimeout), maxIdleTime: toDuration(idleClose * idleReuseShare),
		stallTimeout: defaultStallTimeout, sockets: s, counters: c, dial: (&net.Dialer{KeepAlive: -1}).DialContext,
	}
	if u.dialTimeout > 0 {
		u.stallTimeout = u.dialTimeout
	}
	u.reuseDelay = time.Duration(float64(u.stallTimeout) * reuseDelayShare)
	s.closeIdleUpstream = u.closeOneIdle
	return u
}

func toDuration(m logic.Millis) time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// list takes an endpoint's place and whether it may be sent anything. An address is a detail that may change.
func (u *upstream) applyListed(id logic.EndpointID, addr string, inService bool) {
	u.mu.Lock()
	e := u.endpoints[id]
	if e == nil {
		e = &endpoint{}
		u.endpoints[id] = e
	}
	drained := u.drainedByOperator[id]
	u.mu.Unlock()
	u.applyState(e, addr, inService, drained)
}

// stands takes an endpoint's zone and kind, which may change under way.
func (u *upstream) setLocality(id logic.EndpointID, zone, kind string) {
	if e := u.find(id); e != nil {
		e.mu.Lock()
		e.locality = [2]string{zone, kind}
		e.mu.Unlock()
	}
}

// byHand takes an endpoint out, or ends that; the list's word stands beside it.
func (u *upstream) setOperatorDrain(id logic.EndpointID, drained bool) {
	u.mu.Lock()
	if drained {
		u.drainedByOperator[id] = true
	} else {
		delete(u.drainedByOperator, id)
	}
	e := u.endpoints[id]
	u.mu.Unlock()
	if e != nil {
		e.mu.Lock()
		inService := e.inService
		e.mu.Unlock()
		u.applyState(e, "", inService, drained)
	}
}

func (u *upstream) applyState(e *endpoint, addr string, inService, drained bool) {
	e.mu.Lock()
	e.inService, inService = inService, inService && !drained
	e.unavailable.Store(!inService)
	var dropped []*endpointConn
	if !inService || addr != "" && addr != e.addr {
		dropped, e.idle = e.idle, nil
	}
	if addr != "" {
		e.addr = addr
	}
	e.mu.Unlock()
	u.closeConns(dropped...)
}

// drop lets go of an endpoint that has left the list; a leg that is out keeps it until its end.
func (u *upstream) remove(id logic.EndpointID) {
	if u.find(id) != nil {
		u.applyListed(id, "", false)
		u.mu.Lock()
		delete(u.endpoints, id)
		u.mu.Unlock()
	}
}

// share sets how many idle connections one endpoint gets. An endpoint holds only so many, and a whole fleet that each
// kept what a burst had opened would fill its table: our own descriptors over the endpoints named are our part.
func (u *upstream) limitIdle(endpoints int) {
	u.maxIdlePerEndpoint.Store(max(int64(u.sockets.usableAlone/max(endpoints, 1)), 1))
}

func (u *upstream) find(id logic.EndpointID) *endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endpoints[id]
}

func (u *upstream) closeConns(conns ...*endpointConn) {
	for _, k := range conns {
		k.conn.Close()
		u.sockets.releaseUpstream()
	}
}

// all is a snapshot, so that no lock is held while connections are closed.
func (u *upstream) snapshot() []*endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]*endpoint, 0, len(u.endpoints))
	for _, e := range u.endpoints {
		all = append(all, e)
	}
	return all
}

// dropIdle makes room for another connection.
func (u *upstream) closeOneIdle() bool {
	for _, e := range u.snapshot() {
		e.mu.Lock()
		if len(e.idle) > 0 {
			k := e.idle[0]
			e.idle = e.idle[1:]
			e.mu.Unlock()
			u.closeConns(k)
			return true
		}
		e.mu.Unlock()
	}
	return false
}

// sweep closes what is idle for too long or was closed by its peer.
func (u *upstream) closeStaleIdle(now time.Time) {
	for _, e := range u.snapshot() {
		e.mu.Lock()
		kept, dropped := e.idle[:0], []*endpointConn(nil)
		for _, k := range e.idle {
			if now.Sub(k.idleSince) > u.maxIdleTime || !k.isQuiet() {
				dropped = append(dropped, k)
			} else {
				kept = append(kept, k)
			}
		}
		e.idle = kept
		e.mu.Unlock()
		u.counters.retired.Add(int64(len(dropped)))
		u.closeConns(dropped...)
	}
}

// quiet tells that nothing has come on an idle connection: neither its end nor bytes that nobody asked for.
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

// rested takes the idle connection that was used last, but for those used just now: an endpoint may say more than its
// answer, and a second copy of it that came after the look at the connection would be served as the next one's.
func (e *endpoint) takeIdle(reuseDelay time.Duration) *endpointConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle) - 1; n >= 0; n-- {
		if k := e.idle[n]; time.Since(k.idleSince) >= reuseDelay {
			e.idle = append(e.idle[:n], e.idle[n+1:]...)
			return k
		}
	}
	return nil
}

// connect takes an idle connection, or opens one.
func (u *upstream) connect(g *leg) (*endpointConn, *legError) {
	for k := g.endpoint.takeIdle(u.reuseDelay); k != nil; k = g.endpoint.takeIdle(u.reuseDelay) {
		if k.addr == g.addr && time.Since(k.idleSince) < u.maxIdleTime && k.isQuiet() {
			u.counters.reused.Add(1)
			return k, nil
		}
		u.counters.retired.Add(1)
		u.closeConns(k)
	}
	deadline := g.deadline
	if u.dialTimeout > 0 {
		if d := time.Now().Add(u.dialTimeout); d.Before(deadline) {
			deadline = d
		}
	}
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	defer cancel()
	if g.cancelDial.Store(&cancel); g.exchangeOver.Load() {
		cancel()
	}
	if !u.sockets.waitForUpstream(ctx) {
		return nil, newLegError(notDialled, errNoDescriptor, g.ctx.Err() != nil || g.exchangeOver.Load())
	}
	u.counters.dialled.Add(1)
	conn, err := u.dial(ctx, "tcp", g.addr)
	if err != nil {
		u.sockets.releaseUpstream()
		return nil, newLegError(dialling, err, g.ctx.Err() != nil || g.exchangeOver.Load())
	}
	k := &endpointConn{conn: conn, addr: g.addr, stallTimeout: u.stallTimeout, counters: u.counters}
	k.limited.R = k
	k.reader = bufio.NewReaderSize(&k.limited, answerBufferBytes)
	return k, nil
}

// timeLeft is the deadline that an endpoint is told, in milliseconds.
func requestTimeoutMs(g *leg) float64 {
	left := max(float64(time.Until(g.deadline))/float64(time.Millisecond), 0)
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
		if !reusable || !u.keepIdle(g.endpoint, k) {
			u.closeConns(k)
		}
	}()
	k.conn.SetDeadline(g.deadline)
	stop := context.AfterFunc(g.ctx, func() { k.conn.SetDeadline(time.Unix(1, 0)) })
	// A drain may have been told while the process stood still: whoever reads it comes first. Where standstills follow upon
	// each other, as on a small share of a core, that has had its turn after some waits, and no leg would ever begin.
	for n := 0; n < maxUpdateWaits && u.updatesPending != nil && u.updatesPending() && g.ctx.Err() == nil && time.Now().Before(g.deadline); n++ {
		time.Sleep(stallTickInterval / 4)
	}
	if fault := g.checkStart(k); fault != nil {
		reusable = stop() // keep looks whether its endpoint still takes it
		return nil, fault
	}
	// What is left is read after all waits: what goes by from here to the write, the endpoint is told too much.
	timeoutHeader := append(make([]byte, 0, 48), "Request-Timeout: "...)
	timeoutHeader = strconv.AppendFloat(timeoutHeader, requestTimeoutMs(g), 'f', 3, 64)
	parts := net.Buffers{g.request.head, append(timeoutHeader, "m\r\n\r\n"...), g.request.body}
	if g.request.remaining != nil {
		var keepOpen bool
		r, keepOpen, fault = u.runStreamed(k, g, parts[:2])
		reusable = stop() && keepOpen
		return r, fault
	}
	if injectedFault == "twice" {
		if secondConn, err := u.dial(g.ctx, "tcp", g.addr); err == nil {
			copied := slices.Clone(parts)
			copied.WriteTo(secondConn)
			time.AfterFunc(u.reuseDelay, func() { secondConn.Close() })
		}
	}
	if n := len(g.request.body); n > copyChunkBytes {
		// Whoever answers before the last byte has read no request of ours: it is kept back until that is sure.
		parts = net.Buffers{parts[0], parts[1], g.request.body[:n-1]}
		if _, err := parts.WriteTo(k.conn); err != nil {
			stop()
			return nil, newLegError(writing, err, g.ctx.Err() != nil)
		}
		if !k.isQuiet() {
			stop()
			return nil, newLegError(writing, errEarlyAnswer, false)
		}
		parts = net.Buffers{g.request.body[n-1:]}
	}
	if _, err := parts.WriteTo(k.conn); err != nil {
		stop()
		return nil, newLegError(writing, err, g.ctx.Err() != nil)
	}
	if !g.request.isProbe {
		u.counters.product(g.request.product).legs.Add(1)
	}
	r, keepOpen, fault := k.readAnswer(g)
	// A connection whose leg was called off or timed out may still carry the late answer: it is not used again.
	reusable = stop() && keepOpen
	return r, fault
}

var (
	errBodyTooLong     = errors.New("body too long")
	errMalformedAnswer = errors.New("not an answer")
	errEarlyAnswer     = errors.New("an answer, or the end, before the request's last byte")
	errAnswerStalled   = errors.New("the answer began and did not go on")
)

// head waits for a whole head, and sees that its framing is sound.
func (k *endpointConn) awaitHead() error {
	for {
		_, err := k.reader.Peek(k.reader.Buffered() + 1)
		buffered, _ := k.reader.Peek(k.reader.Buffered())
		if start := min(len(buffered), len("HTTP/1.")); string(buffered[:start]) != "HTTP/1."[:start] {
			return errMalformedAnswer
		}
		if end := headEnd(buffered); end > 0 {
			_, _, err := parseFraming(buffered[:end])
			return err
		}
		if err == bufio.ErrBufferFull {
			return errMalformedAnswer
		}
		if err != nil {
			return err
		}
	}
}

// read takes one answer whole. Only the endpoint's word says that a request never ran.
func (k *endpointConn) readAnswer(g *leg) (r *reply, keepOpen bool, fault *legError) {
	errored := func(cause error) *legError { return &legError{stage: answered, outcome: logic.Errored, cause: cause} }
	legErrorFor := func(err error) *legError {
		var netErr net.Error
		switch {
		case err == errReaderGone:
			return newLegError(written, err, true)
		case k.limited.N <= 0:
			return errored(errBodyTooLong)
		case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr):
			return errored(err)
		case errors.Is(err, os.ErrDeadlineExceeded) && g.ctx.Err() == nil && time.Now().Before(g.currentDeadline()):
			return errored(errAnswerStalled)
		}
		return newLegError(written, err, g.ctx.Err() != nil)
	}
	k.leg, k.answerStarted = g, k.reader.Buffered() > 0
	defer func() {
		k.leg = nil
		k.forwarding.Store(false)
	}()
	k.limited.N = maxHeadBytes + maxStreamedBytes
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
	var body []byte
	var err error
	long := response.ContentLength > maxBufferedBodyBytes || response.ContentLength < 0
	switch {
	case response.StatusCode != http.StatusOK || !long:
		body, err = readBody(response)
	case response.ContentLength > maxStreamedBytes:
		err = errBodyTooLong
	default:
		if len(response.TransferEncoding) == 0 {
			k.counters.unframed.Add(1) // its end is the connection's: whole if that ends in good order
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

// keep puts a connection back, unless its endpoint has left or moved meanwhile.
func (u *upstream) keepIdle(e *endpoint, k *endpointConn) bool {
	k.conn.SetDeadline(time.Time{})
	k.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unavailable.Load() || k.addr != e.addr {
		return false
	}
	e.idle = append(e.idle, k)
	if maxIdle := int(u.maxIdlePerEndpoint.Load()); maxIdle > 0 && len(e.idle) > maxIdle {
		oldest := e.idle[0]
		e.idle = e.idle[1:]
		u.counters.retired.Add(1)
		defer u.closeConns(oldest)
	}
	return true
}
