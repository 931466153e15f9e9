// Upstream: the endpoints and the pools of idle connections to them. This file must never choose an endpoint, or hand out a
// connection of one that is out of service.
package sidecar

import (
	"context"
	"net"
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
)

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
