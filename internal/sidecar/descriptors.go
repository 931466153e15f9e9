// Descriptors: how many connections the process may hold, and which give way when these run short. This file owns the count of both
// sides, clients and endpoints, and the order in which silent connections are closed. It must never close a connection on which an
// exchange is in hand, nor one whose bytes wait unread in the kernel.
package sidecar

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// fixedSockets are standard streams, listener, poller and discovery, with some to spare.
const reservedDescriptors = 24

// clientPart is the part of the usable descriptors that clients keep against endpoints, and that endpoints keep against clients. A
// request in hand needs one of each, so that a crowd of clients must not take what its requests go out on, as HAProxy keeps maxconn of
// frontends and of servers apart.
const clientShareDivisor = 2

// upstreamPart is the part of the usable descriptors down to which endpoints' idle connections give way to a crowd of silent clients.
const idleUpstreamShareDivisor = 8

// Silences after which a connection gives way. They shrink from the most to the least as the listener's queue grows, so that whoever
// waits there is accepted in about queueTarget.
const (
	maxFreshSilence   = 100 * time.Millisecond // who said nothing at all
	minFreshSilence   = 10 * time.Millisecond
	maxReadingSilence = 500 * time.Millisecond // who has not sent a whole request, from its first byte
	minReadingSilence = 20 * time.Millisecond
	acceptWaitTarget  = 25 * time.Millisecond
)

const (
	maxClaimTries     = 8                    // for a descriptor that another goroutine took first
	claimPollInterval = 5 * time.Millisecond // between two looks for one while nobody can give way
)

// sockets counts descriptors against the limit. Clients may go beyond it by a spare part, in which they are read and
// answered 503: a connection accepted by the kernel and never read would be an exchange lost.
type descriptorLimiter struct {
	mu                sync.Mutex
	changed           *sync.Cond
	startedAt         time.Time
	usable, spare     int
	reserved          int // set aside by each process: fixed ones, and the console's callers
	usableAlone       int // usable by this process while it is alone
	maxKeptAlive      int // clients' connections up to which they are kept after an answer
	upstreamConns     int
	clients           map[*clientConn]struct{}
	closeIdleUpstream func() bool // closes one idle upstream connection
	acceptQueueLength func() int  // connections that wait to be accepted; 0 where that is not known
	counters          *Counters
}

func newDescriptorLimiter(limit int, c *Counters) *descriptorLimiter {
	s := &descriptorLimiter{
		startedAt: time.Now(), spare: limit / 16, maxKeptAlive: limit / 6, closeIdleUpstream: func() bool { return false }, acceptQueueLength: func() int { return 0 },
		counters: c, clients: map[*clientConn]struct{}{},
	}
	s.usable = max(limit-reservedDescriptors-s.spare, 2)
	s.usableAlone = s.usable
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *descriptorLimiter) clock() time.Duration { return time.Since(s.startedAt) }

func (s *descriptorLimiter) connections() (clients, upstream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients), s.upstreamConns
}

// shareWith makes room for the other processes of an upgrade, which hold so many: each may have half of what neither does.
// What is silent or idle gives way first. Below 0 there is no other.
func (s *descriptorLimiter) shareWith(othersHold int) {
	s.mu.Lock()
	s.usable = s.usableAlone
	if othersHold >= 0 {
		own, shared := len(s.clients)+s.upstreamConns, s.usableAlone-s.reserved
		s.usable = max(min(own, shared/2)+max(shared-own-othersHold, 0)/2, 2)
	}
	s.mu.Unlock()
	s.changed.Broadcast()
	for s.overLimit() && (s.evictSilent(minSilenceLimits) || s.closeIdleUpstream() || s.evictSilent(idleLimits)) {
	}
}

func (s *descriptorLimiter) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstreamConns > s.usable
}

// crowded tells that an answer should close its connection. An application may hold a third of our descriptors: with that
// many connections idle, left behind by those who ask once and stay, its next requests would find none to go out on.
func (s *descriptorLimiter) keepAliveExceeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := 0
	for c := range s.clients {
		if current := phase(c.phase.Load()); current == phaseBusy || current == phaseIdle {
			answered++
		}
	}
	return answered > s.maxKeptAlive
}

// full tells whether the usable descriptors, and so many more, are held.
func (s *descriptorLimiter) full(extra int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstreamConns >= s.usable+extra
}

// clientsKeep is how many connections clients keep against endpoints.
func (s *descriptorLimiter) clientGuarantee() int { return s.usable / clientShareDivisor }

// clientsHold tells whether clients have more than they keep against endpoints.
func (s *descriptorLimiter) clientsExceedGuarantee() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) > s.clientGuarantee()
}

// idleGives tells whether endpoints' idle connections give way to one more client: always, but for the last of them, which give way only
// while clients that ask for nothing just now have less than clients keep.
func (s *descriptorLimiter) idleUpstreamEvictable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreamConns > s.usable/idleUpstreamShareDivisor {
		return true
	}
	notBusy := 0
	for c := range s.clients {
		if current := phase(c.phase.Load()); current != phaseBusy {
			notBusy++
		}
	}
	return notBusy < s.clientGuarantee()
}

// silences are the shortest silences after which connections give way, by their phase. A phase that is missing does not.
type silenceLimits map[phase]time.Duration

var (
	idleLimits        = silenceLimits{phaseIdle: 0}
	anySilenceLimits  = silenceLimits{phaseFresh: 0, phaseIdle: 0, phaseReading: 0}
	minSilenceLimits  = silenceLimits{phaseFresh: minFreshSilence, phaseReading: minReadingSilence}
	slowRequestLimits = silenceLimits{phaseReading: maxReadingSilence}
)

// patience is how long silent connections are waited for just now. The queue passes through the clients' descriptors once in the time
// that each is held, so that its wait is that time by queued over usable. While nobody has to wait longer than that, half a request, which
// would have to be refused, gives way last.
func (s *descriptorLimiter) currentLimits() silenceLimits {
	waiting := s.acceptQueueLength()
	if waiting <= 0 {
		return silenceLimits{phaseFresh: maxFreshSilence, phaseIdle: 0}
	}
	holdTime := acceptWaitTarget * time.Duration(s.usable) / time.Duration(waiting)
	if holdTime >= maxReadingSilence {
		return silenceLimits{phaseFresh: maxFreshSilence, phaseIdle: 0}
	}
	return silenceLimits{phaseFresh: min(max(holdTime, minFreshSilence), maxFreshSilence), phaseIdle: 0, phaseReading: max(holdTime, minReadingSilence)}
}

// room tells whether one more client fits, once who is silent has given way, or an endpoint's idle connection, whose opening costs more.
func (s *descriptorLimiter) makeClientRoom() bool {
	return !s.full(0) || s.evictSilent(s.currentLimits()) || s.idleUpstreamEvictable() && s.closeIdleUpstream() || s.evictSilent(slowRequestLimits)
}

// upstreamRoom does the same for one more connection to an endpoint.
func (s *descriptorLimiter) makeUpstreamRoom() bool {
	return !s.full(0) || s.evictSilent(s.currentLimits()) || s.closeIdleUpstream() || s.evictSilent(slowRequestLimits)
}

// shedSilent closes the connection that has been longest in its phase, of those that may give way. What waits unread on one is served.
func (s *descriptorLimiter) evictSilent(limits silenceLimits) bool {
	for _, c := range s.evictionCandidates(limits) {
		current := phase(c.phase.Load())
		if _, evictable := limits[current]; !evictable || c.peekState() == connUnread || !c.phase.CompareAndSwap(int32(current), int32(phaseEvicted)) {
			continue // it woke up meanwhile
		}
		s.counters.clientsShed.Add(1)
		if current == phaseReading {
			c.refuseIncomplete()
		}
		c.Close()
		return true
	}
	return false
}

// silentMost bounds the connections that one search looks at.
const maxEvictionCandidates = 32

// silent are connections that may give way, the longest in their phase first.
func (s *descriptorLimiter) evictionCandidates(limits silenceLimits) (found []*clientConn) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if limit, evictable := limits[phase(c.phase.Load())]; evictable && now-time.Duration(c.phaseSince.Load()) >= limit {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, o *clientConn) int { return cmp.Compare(a.phaseSince.Load(), o.phaseSince.Load()) })
	return found[:min(len(found), maxEvictionCandidates)]
}

// shedQuiet closes kept connections on which nothing has come, and, once nobody comes any more, those on which nothing
// ever came. What waits unread on one is served first.
func (s *descriptorLimiter) evictQuiet(includeFresh bool) {
	now := s.clock()
	s.mu.Lock()
	var quiet []*clientConn
	for c := range s.clients {
		current := phase(c.phase.Load())
		if current == phaseIdle || includeFresh && current == phaseFresh && now-time.Duration(c.phaseSince.Load()) >= maxFreshSilence {
			quiet = append(quiet, c)
		}
	}
	s.mu.Unlock()
	for _, c := range quiet {
		current := c.phase.Load()
		if (phase(current) == phaseIdle || phase(current) == phaseFresh) && c.peekState() != connUnread && c.phase.CompareAndSwap(current, int32(phaseEvicted)) {
			c.Close()
		}
	}
}

// takeClient counts a client's connection in; false means that it is beyond the limit. One whose request waits whole takes the place of
// the longest silent, however short that is silent, so that it fits although others are beyond the limit.
func (s *descriptorLimiter) admitClient(c *clientConn) bool {
	if s.countClient(c, false) {
		return true
	}
	if c.headIsComplete() && s.evictSilent(anySilenceLimits) {
		s.countClient(c, true)
		return true
	}
	for range maxClaimTries {
		if !s.makeClientRoom() {
			break
		}
		if s.countClient(c, false) {
			return true
		}
	}
	return s.countClient(c, true)
}

// enterClient counts a client in if it fits, or beyond the limit, and tells whether it fits.
func (s *descriptorLimiter) countClient(c *clientConn, force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := len(s.clients)+s.upstreamConns < s.usable
	if fits || force {
		s.clients[c] = struct{}{}
	}
	return fits
}

// takeUpstream counts a connection to an endpoint in, or says that there is no room. While clients hold more than their part it takes
// the place of one of them, although others are beyond the limit.
func (s *descriptorLimiter) acquireUpstream() bool {
	if s.countUpstream(false) {
		return true
	}
	if s.clientsExceedGuarantee() && s.evictSilent(anySilenceLimits) {
		return s.countUpstream(true)
	}
	for range maxClaimTries {
		if !s.makeUpstreamRoom() {
			return false
		}
		if s.countUpstream(false) {
			return true
		}
	}
	return false
}

// enterUpstream counts a connection to an endpoint in if it fits, or into the spare part.
func (s *descriptorLimiter) countUpstream(useSpare bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.usable
	if useSpare {
		limit += s.spare
	}
	if len(s.clients)+s.upstreamConns >= limit {
		return false
	}
	s.upstreamConns++
	return true
}

// awaitUpstream is takeUpstream that waits for a descriptor until ctx ends.
func (s *descriptorLimiter) waitForUpstream(ctx context.Context) bool {
	for !s.acquireUpstream() {
		if ctx.Err() != nil {
			return false
		}
		s.waitForChange()
	}
	return true
}

func (s *descriptorLimiter) releaseClient(c *clientConn) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *descriptorLimiter) releaseUpstream() {
	s.mu.Lock()
	s.upstreamConns--
	s.mu.Unlock()
	s.changed.Broadcast()
}

// await blocks while even the spare part is used up and nobody can give way.
func (s *descriptorLimiter) waitForClientRoom() {
	for s.full(s.spare) && !s.makeClientRoom() {
		s.waitForChange()
	}
}

// waitForChange returns when a descriptor was given back, or after a pause in which somebody may have become silent for long enough.
func (s *descriptorLimiter) waitForChange() {
	wake := time.AfterFunc(claimPollInterval, s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Wait()
}
