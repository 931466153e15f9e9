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
const fixedSockets = 24

// clientPart is the part of the usable descriptors that clients keep against endpoints, and that endpoints keep against clients. A
// request in hand needs one of each, so that a crowd of clients must not take what its requests go out on, as HAProxy keeps maxconn of
// frontends and of servers apart.
const clientPart = 2

// upstreamPart is the part of the usable descriptors down to which endpoints' idle connections give way to a crowd of silent clients.
const upstreamPart = 8

// Silences after which a connection gives way. They shrink from the most to the least as the listener's queue grows, so that whoever
// waits there is accepted in about queueTarget.
const (
	freshMost    = 100 * time.Millisecond // who said nothing at all
	freshLeast   = 10 * time.Millisecond
	readingMost  = 500 * time.Millisecond // who has not sent a whole request, from its first byte
	readingLeast = 20 * time.Millisecond
	queueTarget  = 25 * time.Millisecond
)

const (
	claimTries = 8                    // for a descriptor that another goroutine took first
	claimPause = 5 * time.Millisecond // between two looks for one while nobody can give way
)

// sockets counts descriptors against the limit. Clients may go beyond it by a spare part, in which they are read and
// answered 503: a connection accepted by the kernel and never read would be an exchange lost.
type sockets struct {
	mu            sync.Mutex
	changed       *sync.Cond
	began         time.Time
	usable, spare int
	set           int // set aside by each process: fixed ones, and the console's callers
	whole         int // usable by this process while it is alone
	keep          int // clients' connections up to which they are kept after an answer
	upstream      int
	clients       map[*client]struct{}
	dropIdle      func() bool // closes one idle upstream connection
	queued        func() int  // connections that wait to be accepted; 0 where that is not known
	counters      *Counters
}

func newSockets(limit int, c *Counters) *sockets {
	s := &sockets{
		began: time.Now(), spare: limit / 16, keep: limit / 6, dropIdle: func() bool { return false }, queued: func() int { return 0 },
		counters: c, clients: map[*client]struct{}{},
	}
	s.usable = max(limit-fixedSockets-s.spare, 2)
	s.whole = s.usable
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *sockets) clock() time.Duration { return time.Since(s.began) }

func (s *sockets) held() (clients, upstream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients), s.upstream
}

// shareWith makes room for the other processes of an upgrade, which hold so many: each may have half of what neither does.
// What is silent or idle gives way first. Below 0 there is no other.
func (s *sockets) shareWith(held int) {
	s.mu.Lock()
	s.usable = s.whole
	if held >= 0 {
		mine, both := len(s.clients)+s.upstream, s.whole-s.set
		s.usable = max(min(mine, both/2)+max(both-mine-held, 0)/2, 2)
	}
	s.mu.Unlock()
	s.changed.Broadcast()
	for s.over() && (s.shedSilent(silentOnly) || s.dropIdle() || s.shedSilent(idleOnly)) {
	}
}

func (s *sockets) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstream > s.usable
}

// crowded tells that an answer should close its connection. An application may hold a third of our descriptors: with that
// many connections idle, left behind by those who ask once and stay, its next requests would find none to go out on.
func (s *sockets) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := 0
	for c := range s.clients {
		if in := phase(c.phase.Load()); in == busy || in == idle {
			answered++
		}
	}
	return answered > s.keep
}

// full tells whether the usable descriptors, and so many more, are held.
func (s *sockets) full(more int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)+s.upstream >= s.usable+more
}

// clientsKeep is how many connections clients keep against endpoints.
func (s *sockets) clientsKeep() int { return s.usable / clientPart }

// clientsHold tells whether clients have more than they keep against endpoints.
func (s *sockets) clientsHold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) > s.clientsKeep()
}

// idleGives tells whether endpoints' idle connections give way to one more client: always, but for the last of them, which give way only
// while clients that ask for nothing just now have less than clients keep.
func (s *sockets) idleGives() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstream > s.usable/upstreamPart {
		return true
	}
	silent := 0
	for c := range s.clients {
		if in := phase(c.phase.Load()); in != busy {
			silent++
		}
	}
	return silent < s.clientsKeep()
}

// silences are the shortest silences after which connections give way, by their phase. A phase that is missing does not.
type silences map[phase]time.Duration

var (
	idleOnly   = silences{idle: 0}
	anySilent  = silences{fresh: 0, idle: 0, reading: 0}
	silentOnly = silences{fresh: freshLeast, reading: readingLeast}
	slowOnly   = silences{reading: readingMost}
)

// patience is how long silent connections are waited for just now. The queue passes through the clients' descriptors once in the time
// that each is held, so that its wait is that time by queued over usable. While nobody has to wait longer than that, half a request, which
// would have to be refused, gives way last.
func (s *sockets) patience() silences {
	queued := s.queued()
	if queued <= 0 {
		return silences{fresh: freshMost, idle: 0}
	}
	held := queueTarget * time.Duration(s.usable) / time.Duration(queued)
	if held >= readingMost {
		return silences{fresh: freshMost, idle: 0}
	}
	return silences{fresh: min(max(held, freshLeast), freshMost), idle: 0, reading: max(held, readingLeast)}
}

// room tells whether one more client fits, once who is silent has given way, or an endpoint's idle connection, whose opening costs more.
func (s *sockets) room() bool {
	return !s.full(0) || s.shedSilent(s.patience()) || s.idleGives() && s.dropIdle() || s.shedSilent(slowOnly)
}

// upstreamRoom does the same for one more connection to an endpoint.
func (s *sockets) upstreamRoom() bool {
	return !s.full(0) || s.shedSilent(s.patience()) || s.dropIdle() || s.shedSilent(slowOnly)
}

// shedSilent closes the connection that has been longest in its phase, of those that may give way. What waits unread on one is served.
func (s *sockets) shedSilent(after silences) bool {
	for _, c := range s.silent(after) {
		in := phase(c.phase.Load())
		if _, may := after[in]; !may || c.look() == unread || !c.phase.CompareAndSwap(int32(in), int32(shed)) {
			continue // it woke up meanwhile
		}
		s.counters.shed.Add(1)
		if in == reading {
			c.refuseUnread()
		}
		c.Close()
		return true
	}
	return false
}

// silentMost bounds the connections that one search looks at.
const silentMost = 32

// silent are connections that may give way, the longest in their phase first.
func (s *sockets) silent(after silences) (found []*client) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if least, may := after[phase(c.phase.Load())]; may && now-time.Duration(c.since.Load()) >= least {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, o *client) int { return cmp.Compare(a.since.Load(), o.since.Load()) })
	return found[:min(len(found), silentMost)]
}

// shedQuiet closes kept connections on which nothing has come, and, once nobody comes any more, those on which nothing
// ever came. What waits unread on one is served first.
func (s *sockets) shedQuiet(freshToo bool) {
	now := s.clock()
	s.mu.Lock()
	var quiet []*client
	for c := range s.clients {
		in := phase(c.phase.Load())
		if in == idle || freshToo && in == fresh && now-time.Duration(c.since.Load()) >= freshMost {
			quiet = append(quiet, c)
		}
	}
	s.mu.Unlock()
	for _, c := range quiet {
		in := c.phase.Load()
		if (phase(in) == idle || phase(in) == fresh) && c.look() != unread && c.phase.CompareAndSwap(in, int32(shed)) {
			c.Close()
		}
	}
}

// takeClient counts a client's connection in; false means that it is beyond the limit. One whose request waits whole takes the place of
// the longest silent, however short that is silent, so that it fits although others are beyond the limit.
func (s *sockets) takeClient(c *client) bool {
	if s.enterClient(c, false) {
		return true
	}
	if c.headWaits() && s.shedSilent(anySilent) {
		s.enterClient(c, true)
		return true
	}
	for range claimTries {
		if !s.room() {
			break
		}
		if s.enterClient(c, false) {
			return true
		}
	}
	return s.enterClient(c, true)
}

// enterClient counts a client in if it fits, or beyond the limit, and tells whether it fits.
func (s *sockets) enterClient(c *client, beyond bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := len(s.clients)+s.upstream < s.usable
	if fits || beyond {
		s.clients[c] = struct{}{}
	}
	return fits
}

// takeUpstream counts a connection to an endpoint in, or says that there is no room. While clients hold more than their part it takes
// the place of one of them, although others are beyond the limit.
func (s *sockets) takeUpstream() bool {
	if s.enterUpstream(false) {
		return true
	}
	if s.clientsHold() && s.shedSilent(anySilent) {
		return s.enterUpstream(true)
	}
	for range claimTries {
		if !s.upstreamRoom() {
			return false
		}
		if s.enterUpstream(false) {
			return true
		}
	}
	return false
}

// enterUpstream counts a connection to an endpoint in if it fits, or into the spare part.
func (s *sockets) enterUpstream(beyond bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.usable
	if beyond {
		limit += s.spare
	}
	if len(s.clients)+s.upstream >= limit {
		return false
	}
	s.upstream++
	return true
}

// awaitUpstream is takeUpstream that waits for a descriptor until ctx ends.
func (s *sockets) awaitUpstream(ctx context.Context) bool {
	for !s.takeUpstream() {
		if ctx.Err() != nil {
			return false
		}
		s.waitForChange()
	}
	return true
}

func (s *sockets) leave(c *client) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *sockets) give() {
	s.mu.Lock()
	s.upstream--
	s.mu.Unlock()
	s.changed.Broadcast()
}

// await blocks while even the spare part is used up and nobody can give way.
func (s *sockets) await() {
	for s.full(s.spare) && !s.room() {
		s.waitForChange()
	}
}

// waitForChange returns when a descriptor was given back, or after a pause in which somebody may have become silent for long enough.
func (s *sockets) waitForChange() {
	again := time.AfterFunc(claimPause, s.changed.Broadcast)
	defer again.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Wait()
}
