// Upstream: sending legs to endpoints. This file owns the pools of idle connections and how far a failed leg is reported to
// have come. It must never send a request twice or choose an endpoint.
package sidecar

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	idleReuseShare = 0.6 // of idle-close: a connection idle for longer is not reused
	// reuseDelayShare is the reuse delay as a share of the stall timeout, which is the connect timeout if there is one.
	// Surplus bytes after an answer must show up before the next request is written.
	reuseDelayShare = 0.1
	// maxUpdateWaits bounds the waits, each of stallTickInterval/4, in which a process that was stalled can read its updates.
	// Together they are as long as a stall counts as recent.
	maxUpdateWaits = 8
)

// request is an exchange's request in the form in which it is sent to endpoints.
type request struct {
	method    string
	product   logic.ProductID // named by the request, for the counters; set also if exchange.product is -1
	head      []byte          // request line and headers without Request-Timeout and the final empty line
	body      []byte
	isProbe   bool             // a probe, which belongs to no exchange
	remaining *streamedRequest // the part after body of a long request; nil if body is all
}

// locality is where an endpoint runs, by the list.
type locality struct {
	zone string
	kind string // of machine
	cell logic.CellID
}

// endpoint is the address of one server and the idle connections to it.
type endpoint struct {
	unavailable atomic.Bool // draining, gone or drained by an operator: no first byte is written to it
	mu          sync.Mutex
	inService   bool // by the list
	addr        string
	locality    locality        // by the list
	idle        []*endpointConn // ordered by last use, the most recent one last
}

// accepts reports whether a leg may start on a connection to addr.
func (e *endpoint) accepts(addr string) bool {
	if e.unavailable.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr == addr
}

func (e *endpoint) currentLocality() locality {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.locality
}

// upstream holds all endpoints and the connections to them.
type upstream struct {
	mu                 sync.Mutex
	endpoints          map[logic.EndpointID]*endpoint
	drainedByOperator  map[logic.EndpointID]bool
	dialTimeout        time.Duration // 0 for none but the leg's deadline
	stallTimeout       time.Duration // between two parts of an answer
	reuseDelay         time.Duration // from the end of an answer to the next request on the connection
	maxIdleTime        time.Duration // after which a connection is not reused
	maxIdlePerEndpoint atomic.Int64  // idle connections kept for one endpoint; 0 for no limit
	sockets            *descriptorLimiter
	counters           *Counters
	dial               func(ctx context.Context, network, addr string) (net.Conn, error)
	updatesPending     func() bool // the process was stalled a moment ago and may have unread updates; nil for never
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

// applyListed sets an endpoint's address and state as the list has them. The address of an endpoint may change; an
// empty one keeps the known address.
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

// setLocality sets an endpoint's locality, which may change while it is in service.
func (u *upstream) setLocality(id logic.EndpointID, at locality) {
	if e := u.find(id); e != nil {
		e.mu.Lock()
		e.locality = at
		e.mu.Unlock()
	}
}

// setOperatorDrain starts or ends an operator's drain of an endpoint. The state from the list is kept separately: an
// endpoint is used only if it is in service and not drained by an operator.
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

// applyState sets an endpoint's state and closes its idle connections if it is unavailable or has a new address.
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

// dropIdle closes the idle connections to an endpoint.
func (u *upstream) dropIdle(id logic.EndpointID) {
	e := u.find(id)
	if e == nil {
		return
	}
	e.mu.Lock()
	idle := e.idle
	e.idle = nil
	e.mu.Unlock()
	u.closeConns(idle...)
}

// remove deletes an endpoint that has left the list. A leg in flight keeps its own reference to it.
func (u *upstream) remove(id logic.EndpointID) {
	if u.find(id) != nil {
		u.applyListed(id, "", false)
		u.mu.Lock()
		delete(u.endpoints, id)
		u.mu.Unlock()
	}
}

// limitIdle sets how many idle connections are kept for one endpoint: this process's descriptors divided by the number
// of listed endpoints. An endpoint accepts a limited number of connections, and its table would fill up if every
// sidecar of a large fleet kept all connections that a burst had opened.
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
		k.setIdle(false)
		k.close()
		u.sockets.releaseUpstream()
	}
}

// snapshot returns all endpoints, so that no lock is held while their connections are closed.
func (u *upstream) snapshot() []*endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]*endpoint, 0, len(u.endpoints))
	for _, e := range u.endpoints {
		all = append(all, e)
	}
	return all
}

// closeOneIdle closes an idle connection of any endpoint to free its descriptor, and reports whether there was one.
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

// closeStaleIdle closes connections that have been idle for too long, were closed by the endpoint, or have unread bytes.
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

// takeIdle removes and returns the most recently used idle connection whose reuse delay is over; nil for none. An
// endpoint may send more than its answer: a duplicate that arrives after the connection was checked would be taken for
// the next request's answer.
func (e *endpoint) takeIdle(reuseDelay time.Duration) *endpointConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle) - 1; n >= 0; n-- {
		if k := e.idle[n]; time.Since(k.idleSince) >= reuseDelay {
			e.idle = append(e.idle[:n], e.idle[n+1:]...)
			k.setIdle(false)
			return k
		}
	}
	return nil
}

// connect returns an idle connection to the leg's endpoint, or opens one.
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
	if !u.sockets.waitForUpstream(ctx) {
		return nil, newLegError(notDialled, errNoDescriptor, g.ctx.Err() != nil)
	}
	u.counters.dialled.Add(1)
	conn, err := u.dial(ctx, "tcp", g.addr)
	if err != nil {
		u.sockets.releaseUpstream()
		return nil, newLegError(dialling, err, g.ctx.Err() != nil)
	}
	return newEndpointConn(conn, g.addr, u.stallTimeout, u.sockets.memory, u.counters), nil
}

// requestTimeoutMs returns the leg's remaining time in milliseconds, which is sent to the endpoint as Request-Timeout.
func requestTimeoutMs(g *leg) float64 {
	left := max(float64(time.Until(g.deadline))/float64(time.Millisecond), 0)
	if injectedFault == "deadline" {
		left += 1000
	}
	return left
}

// run sends one leg's request, at most once, and reads the answer.
func (u *upstream) run(g *leg) (*reply, *legError) {
	r, fault := u.attempt(g)
	return r, g.withRepeatWindowOver(fault)
}

// attempt is run, but for the error of a leg that was given up at the end of the repeat window.
func (u *upstream) attempt(g *leg) (r *reply, fault *legError) {
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
	// A drain may have been received while the process was stalled, so the goroutine that reads it gets time to run
	// first. The number of waits is bounded: on a small share of a core one stall follows the other, and no leg would
	// ever start. After these waits that goroutine has had time to run.
	for n := 0; n < maxUpdateWaits && u.updatesPending != nil && u.updatesPending() && g.ctx.Err() == nil && time.Now().Before(g.deadline); n++ {
		time.Sleep(stallTickInterval / 4)
	}
	g.exchange.awaitVisibleClose(g.ctx, g.request.remaining)
	if g.claim != nil && !g.claim() {
		reusable = stop()
		return nil, newLegError(writing, errClaimedElsewhere, true)
	}
	if fault := withheld(g.checkStart(k)); fault != nil {
		reusable = stop() // keepIdle checks whether the endpoint is still in service at this address
		return nil, fault
	}
	// The remaining time is computed after all waits: any delay between here and the write makes Request-Timeout too
	// long.
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
	if fault := g.writeRequest(k, parts); fault != nil {
		stop()
		return nil, fault
	}
	if !g.request.isProbe {
		u.counters.product(g.request.product).legs.Add(1)
	}
	r, keepOpen, fault := k.readAnswer(g)
	// A connection whose leg was cancelled or timed out may still carry the late answer, so it is not reused.
	reusable = stop() && keepOpen
	return r, fault
}

// writeRequest writes a request that is held in memory: its head in two parts and its body. The last byte of a long one is
// held back until all others have been sent and nothing speaks against it any more.
func (g *leg) writeRequest(k *endpointConn, parts net.Buffers) *legError {
	if n := len(g.request.body); n > copyChunkBytes {
		allButLast := net.Buffers{parts[0], parts[1], g.request.body[:n-1]}
		if _, err := allButLast.WriteTo(k.conn); err != nil {
			return newLegError(writing, err, g.ctx.Err() != nil)
		}
		if err := k.awaitSent(g.checkQuiet); err != nil {
			return newLegError(writing, err, g.ctx.Err() != nil)
		}
		if fault := withheld(g.checkRequired()); fault != nil {
			return fault
		}
		parts = net.Buffers{g.request.body[n-1:]}
	}
	if fault := withheld(g.gate().commit(g, k)); fault != nil {
		return fault
	}
	if _, err := parts.WriteTo(k.conn); err != nil {
		return newLegError(writing, err, g.ctx.Err() != nil)
	}
	return nil
}

// keepIdle adds a connection to its endpoint's idle ones, unless the endpoint is unavailable or has a new address by now.
// Beyond the limit the connection that was idle longest is closed.
func (u *upstream) keepIdle(e *endpoint, k *endpointConn) bool {
	k.conn.SetDeadline(time.Time{})
	k.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unavailable.Load() || k.addr != e.addr {
		return false
	}
	k.setIdle(true)
	e.idle = append(e.idle, k)
	if maxIdle := int(u.maxIdlePerEndpoint.Load()); maxIdle > 0 && len(e.idle) > maxIdle {
		oldest := e.idle[0]
		e.idle = e.idle[1:]
		u.counters.retired.Add(1)
		defer u.closeConns(oldest)
	}
	return true
}
