// This file limits how many connections the process holds, by its descriptors and its memory, and decides which are evicted when
// either runs short. It owns the count of connections to clients and to endpoints, and the order in which silent connections are closed. It must never
// close a connection on which an exchange is in progress, nor one with bytes unread in the kernel.

package sidecar

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// reservedDescriptors are set aside for the standard streams, the listener, the poller and discovery, with some to spare.
const reservedDescriptors = 24

// clientShareDivisor divides the usable descriptors into the share that is guaranteed to clients against endpoints and the
// share that is guaranteed to endpoints against clients. A request in progress needs one descriptor of each side, so that a
// flood of clients must not take those on which its requests are sent on. HAProxy separates maxconn of frontends and of
// servers for the same reason.
const clientShareDivisor = 2

// idleUpstreamShareDivisor gives the share of the usable descriptors down to which idle connections to endpoints are closed in
// favour of a flood of silent clients.
const idleUpstreamShareDivisor = 8

// How long a connection may be silent before it can be evicted. The limits shrink from the maximum to the minimum as the
// accept queue grows, so that a connection waits there for about acceptWaitTarget.
const (
	// Limits for a connection on which nothing has arrived.
	maxFreshSilence = 100 * time.Millisecond
	minFreshSilence = 10 * time.Millisecond
	// Limits for a request that is not whole, counted from its first byte.
	maxReadingSilence = 500 * time.Millisecond
	minReadingSilence = 20 * time.Millisecond

	acceptWaitTarget = 25 * time.Millisecond
)

const (
	// Attempts to get a descriptor when other goroutines keep taking the freed ones.
	maxClaimTries = 8
	// Between two attempts while no connection can be evicted.
	claimPollInterval = 5 * time.Millisecond
)

// descriptorLimiter counts connections against the limit of descriptors. Clients may exceed it by a spare part, in which their
// requests are read and answered 503: a connection that the kernel accepted and the sidecar never read would be a lost
// exchange.
type descriptorLimiter struct {
	mu                sync.Mutex
	changed           *sync.Cond // a descriptor was given back, or the limit changed
	startedAt         time.Time
	memory            *memoryBudget
	ownAnswers        processorShare    // of requests that the server answers itself
	countRefusal      func(head []byte) // counts a request that was refused by its head; may be nil
	usable            int               // limit for clients and endpoints together, as far as descriptors allow
	spare             int               // beyond usable, for clients that are refused
	reserved          int               // set aside by each process: reservedDescriptors and those of console callers
	usableAlone       int               // usable while this process is the only one of the sidecar
	maxKeptAlive      int               // with more client connections than this, answers close theirs
	upstreamConns     int
	clients           map[*clientConn]struct{}
	closeIdleUpstream func() bool // closes one idle connection to an endpoint, if there is one
	acceptQueueLength func() int  // connections that wait to be accepted; 0 if unknown
	counters          *Counters
}

func newDescriptorLimiter(limit int, c *Counters) *descriptorLimiter {
	s := &descriptorLimiter{
		startedAt: time.Now(), spare: limit / 16, maxKeptAlive: limit / 6, closeIdleUpstream: func() bool { return false }, acceptQueueLength: func() int { return 0 },
		counters: c, clients: map[*clientConn]struct{}{}, memory: newMemoryBudget(0),
	}
	s.usable = max(limit-reservedDescriptors-s.spare, 2)
	s.usableAlone = s.usable
	s.changed = sync.NewCond(&s.mu)
	return s
}

// clock returns the time since startedAt.
func (s *descriptorLimiter) clock() time.Duration { return time.Since(s.startedAt) }

// connections returns how many connections to clients and to endpoints are open.
func (s *descriptorLimiter) connections() (clients, upstream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients), s.upstreamConns
}

// shareWith adapts the limit to the other processes of an upgrade, which hold othersHold connections (below 0: there is no
// other process). Each process may use what it holds, up to half of the whole, and half of what none of them holds.
// Connections beyond the new limit are evicted: silent clients, idle connections to endpoints, then idle clients. So are silent and
// idle clients beyond this process's share of the memory.
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
	for s.memory.clients.exceededBy(0) && (s.evictSilent(minSilenceLimits) || s.evictSilent(idleLimits)) {
	}
}

// overLimit reports whether more connections are open than usable.
func (s *descriptorLimiter) overLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstreamConns > s.usable
}

// keepAliveExceeded reports whether answers should close their connections. An application may hold a third of the process's
// descriptors: with that many connections left idle after one request each, its next requests would find no descriptor for
// a connection to an endpoint.
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

// full reports whether at least the usable descriptors and extra ones are in use.
func (s *descriptorLimiter) full(extra int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstreamConns >= s.usable+extra
}

// clientsFull reports whether another client's connection exceeds the descriptors, or the memory, by extra connections.
func (s *descriptorLimiter) clientsFull(extra int) bool { return s.full(extra) || s.memoryFull(extra) }

// memoryFull reports whether clients hold at least extra connections more than memory allows.
func (s *descriptorLimiter) memoryFull(extra int) bool {
	return s.memory.clients.exceededBy(int64(1-extra) * clientConnBytes)
}

// clientGuarantee returns how many connections of clients are not evicted in favour of endpoints.
func (s *descriptorLimiter) clientGuarantee() int { return s.usable / clientShareDivisor }

// clientsExceedGuarantee reports whether clients hold more connections than they are guaranteed.
func (s *descriptorLimiter) clientsExceedGuarantee() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) > s.clientGuarantee()
}

// idleUpstreamEvictable reports whether an idle connection to an endpoint may be closed in favour of one more client. The last
// of them, a share of 1/idleUpstreamShareDivisor, are closed only while clients without a request in progress hold fewer
// connections than clients are guaranteed.
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

// silenceLimits gives, by phase, after how long a silence a connection can be evicted. In a phase that is missing it can not.
type silenceLimits map[phase]time.Duration

var (
	idleLimits        = silenceLimits{phaseIdle: 0}
	anySilenceLimits  = silenceLimits{phaseFresh: 0, phaseIdle: 0, phaseReading: 0}
	minSilenceLimits  = silenceLimits{phaseFresh: minFreshSilence, phaseReading: minReadingSilence}
	slowRequestLimits = silenceLimits{phaseReading: maxReadingSilence}
)

// currentLimits returns the limits that apply at the current length of the accept queue. The queue passes through the clients'
// descriptors once in the time for which a descriptor is held, so that a connection waits there for that time multiplied by
// queue length and divided by usable descriptors. While this keeps to acceptWaitTarget with maxReadingSilence, incomplete
// requests, which would have to be refused, are evicted last, by slowRequestLimits.
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

// makeClientRoom reports whether one more client fits, if need be after evicting a silent client or else closing an idle
// connection to an endpoint, which costs more to open again.
func (s *descriptorLimiter) makeClientRoom() bool {
	if s.memoryFull(0) { // a connection to an endpoint makes no room for it
		return s.evictSilent(s.currentLimits()) || s.evictSilent(slowRequestLimits)
	}
	return !s.full(0) || s.evictSilent(s.currentLimits()) || s.idleUpstreamEvictable() && s.closeIdleUpstream() || s.evictSilent(slowRequestLimits)
}

// makeUpstreamRoom does the same for one more connection to an endpoint.
func (s *descriptorLimiter) makeUpstreamRoom() bool {
	return !s.full(0) || s.evictSilent(s.currentLimits()) || s.closeIdleUpstream() || s.evictSilent(slowRequestLimits)
}

// evictSilent closes the connection that has been longest in its phase, of those that limits allow to be evicted. One with
// unread data is not closed: its request is served.
func (s *descriptorLimiter) evictSilent(limits silenceLimits) bool {
	for _, c := range s.evictionCandidates(limits) {
		current := phase(c.phase.Load())
		if _, evictable := limits[current]; !evictable || c.peekState() == connUnread || !c.phase.CompareAndSwap(int32(current), int32(phaseEvicted)) {
			continue // it is no longer silent
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

// maxEvictionCandidates bounds the connections that one search returns.
const maxEvictionCandidates = 32

// evictionCandidates returns connections that limits allow to be evicted, the longest in their phase first.
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

// evictQuiet closes idle connections, and with includeFresh, once the listener is closed, also those on which nothing has
// arrived for maxFreshSilence. One with unread data is not closed: its request is served first.
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

// admitClient counts a client's connection; false means that it is over the limit. A connection on which a complete request
// head waits evicts the one that is silent the longest, however short that silence, and then counts as fitting even while
// others are over the limit.
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

// countClient counts a client's connection if it fits or force is set, and reports whether it fits.
func (s *descriptorLimiter) countClient(c *clientConn, force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := len(s.clients)+s.upstreamConns < s.usable && !s.memory.clients.exceededBy(clientConnBytes)
	if fits || force {
		s.clients[c] = struct{}{}
		s.memory.clients.reserve(clientConnBytes)
	}
	return fits
}

// acquireUpstream counts a connection to an endpoint, or returns false if there is no descriptor for it. While clients hold
// more than their guarantee it evicts one of them, even while others are over the limit.
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

// countUpstream counts a connection to an endpoint if it fits, with useSpare also into the spare part.
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

// waitForUpstream is acquireUpstream that waits for a descriptor until ctx ends.
func (s *descriptorLimiter) waitForUpstream(ctx context.Context) bool {
	for !s.acquireUpstream() {
		if ctx.Err() != nil {
			return false
		}
		s.waitForChange()
	}
	return true
}

// releaseClient gives back a client's descriptor.
func (s *descriptorLimiter) releaseClient(c *clientConn) {
	s.mu.Lock()
	if _, counted := s.clients[c]; counted {
		delete(s.clients, c)
		s.memory.clients.release(clientConnBytes)
	}
	s.mu.Unlock()
	s.changed.Broadcast()
}

// releaseUpstream gives back the descriptor of a connection to an endpoint.
func (s *descriptorLimiter) releaseUpstream() {
	s.mu.Lock()
	s.upstreamConns--
	s.mu.Unlock()
	s.changed.Broadcast()
}

// waitForClientRoom blocks while even the spare part is used up and no connection can be evicted.
func (s *descriptorLimiter) waitForClientRoom() {
	for s.clientsFull(s.spare) && !s.makeClientRoom() {
		s.waitForChange()
	}
}

// waitForChange returns when a descriptor was given back, or after claimPollInterval, since a connection may by then have been
// silent for long enough to be evicted.
func (s *descriptorLimiter) waitForChange() {
	wake := time.AfterFunc(claimPollInterval, s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Wait()
}
