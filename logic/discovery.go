// This file decides when discovery is called, that is, when the list of endpoints is requested. The inputs are failed calls,
// received lists, ended watches, new configurations and the bounds after which a change of the list counts as notified. The code
// here must never judge the contents of a list.
//
// Each bound that applies is kept as a deadline, all in one place, and calls are paced by the nearest deadline that has not
// passed: several deadlines may apply to one change, and the parts of a call (connect, first byte, rest of the line, pause,
// jitter) add up.
//
// Two requirements conflict. A call that is never answered must not delay the next one, so further calls are made while it is
// open ("parallel calls" below). But discovery serves its calls in order and also does the work of abandoned ones, and it may
// refuse calls that would wait long and then end the other calls of the same process too: parallel calls can fill the very queue
// that they wait in. Therefore an open call keeps its queue position, and a parallel call is made only after the time that a
// queue may take. If a call is refused after a wait, the queue is longer than that, and the time is derived from this wait.

package logic

import "math"

const (
	// AnswerTimeout is how long a call is kept open without an answer, in milliseconds. It is far longer than a queue at a
	// discovery service that still makes progress: the call that replaces an abandoned one starts at the end of that queue.
	AnswerTimeout Millis = 30000

	// parallelCallRounds is the time that an open call is given before a parallel call is made, in rounds. A round is the work
	// of one call of each process of the fleet, as far as that is known.
	parallelCallRounds = 1.5
	// minParallelCallDelay is the shortest time that an open call is given before a parallel call is made.
	minParallelCallDelay Millis = 1100
	// maxQueueWait, plus the work of the call itself, is the longest time that an open call is given before a parallel call is
	// made. The discovery services seen so far refuse calls that would wait longer.
	maxQueueWait Millis = 3050
	// assumedCallWork is the assumed work of a call before the first answer.
	assumedCallWork Millis = 1950
	// assumedRoundRatio lowers assumedCallWork where there are many callers: a round is then assumed to take no longer than
	// this multiple of NotificationBounds.Reached.
	assumedRoundRatio = 2.0
	// refusedWaitFactor is the time that an open call is given after others were refused while queued, as a multiple of the
	// longest wait after which one was refused.
	refusedWaitFactor = 2.0
	// parallelCallSpacing is the time between parallel calls once a call has waited longer than a queue can explain.
	parallelCallSpacing Millis = 600
	// maxConsecutiveFaults is how many consecutive calls may fail by faults of their own while discovery is healthy. More
	// consecutive refusals show that it is down or overloaded; the bound Reached then runs from the last refusal.
	maxConsecutiveFaults = 3
	// deadlineCallSpacing is the spacing of the maxConsecutiveFaults parallel calls that are made before a known deadline,
	// however long the queue may be.
	deadlineCallSpacing Millis = 300
	// movedCallSpacing replaces deadlineCallSpacing after a new configuration, which leaves less time than a queue may take.
	movedCallSpacing Millis = 600
	// maxDeadlineCallWork is the work of a call above which no parallel calls are made before a deadline, as they take up
	// positions in the queue.
	maxDeadlineCallWork Millis = 2000
	// maxEndedCallLatency is the latency up to which a call that is made at the deadline after a watch's end is still answered
	// within the grace period.
	maxEndedCallLatency Millis = 500
	// minQueuedRefusal is the wait in milliseconds from which a refused call counts as queued, not as refused at once.
	minQueuedRefusal Millis = 300
	// maxLatencyDecay is the factor by which the highest latency decays with each answer.
	maxLatencyDecay = 0.5
	// moveSeriesGap is the time in milliseconds within which a new configuration that follows another one belongs to a series.
	// The calls for each configuration of a series would cost discovery work for answers that are obsolete a moment later, and
	// would displace the calls that matter.
	moveSeriesGap Millis = 1500
	// moveDebounce is the time in milliseconds without a further configuration after which the new discovery of a series is
	// called.
	moveDebounce Millis = 700
	// moveCallReserve is the time in milliseconds before the deadline of a series' first configuration that is reserved for
	// calls: they are then made moveDebounce apart although the series goes on.
	moveCallReserve Millis = 2500
	// MaxOpenCalls bounds the calls to one discovery service that are open at once: one, and maxConsecutiveFaults parallel calls.
	MaxOpenCalls = maxConsecutiveFaults + 1
	// MaxOpenCallsSuspended replaces MaxOpenCalls while legs are suspended and nothing is served until a list is received.
	MaxOpenCallsSuspended = 10
	// openCallReplaceInterval is the time in milliseconds after which the newest of MaxOpenCalls open calls is replaced by a new
	// one, so that a list is received in time from a discovery service that answers only new calls. The older calls keep their
	// queue positions.
	openCallReplaceInterval Millis = 4500
	// minRetriesBeforeDeadline is how many retries must fit before the deadline if every call fails at once.
	minRetriesBeforeDeadline = 4
	// minRetryPause is the value in milliseconds below which minRetriesBeforeDeadline does not shorten the pause between calls.
	minRetryPause Millis = 250
	// maxRetryPause is the longest pause in milliseconds after a call that was refused at once.
	maxRetryPause Millis = 800
	// maxRetryPauseAfterWait is the longest pause in milliseconds after a call that broke off or was refused after a wait, and
	// so has lost time already.
	maxRetryPauseAfterWait Millis = 150
	// reopenJitter is the longest delay in milliseconds before watches that ended together are reopened in a small fleet.
	reopenJitter = 100.0
	// reopenJitterFleet is added to reopenJitter in a large fleet, and in part in a smaller one, in milliseconds.
	reopenJitterFleet = 700.0
	// reopenJitterShare limits the jitter to a share of the time that is left to the deadline.
	reopenJitterShare = 1.0 / 8
)

// NotificationBounds holds the times after which this process counts as notified of a change of the list, whether or not it has
// received the change, in milliseconds of real time. If Reached is 0, no bounds are known: each call gets one answer, and the
// time between calls is the back-off alone.
type NotificationBounds struct {
	Reached Millis // after discovery had the change and could be reached
	Moved   Millis // after a new configuration named another discovery
	Ended   Millis // after a watch ended
}

// deadlineKind is the event that sets the deadline at which a missed change counts as notified.
type deadlineKind int

const (
	deadlineReached   deadlineKind = iota // discovery had the change and could be reached
	deadlineMoved                         // the first of the new configurations without a list so far
	deadlineMovedLast                     // the last of the new configurations without a list so far
	deadlineEnded                         // the end of a watch
	deadlineKinds
)

// discoveryCalls is the state of the calls for the list.
type discoveryCalls struct {
	bounds       NotificationBounds
	callers      Millis                // number of processes that share discovery
	watching     bool                  // a watch of the current discovery has delivered a list and has not ended
	deadlines    [deadlineKinds]Millis // when a missed change counts as notified; zero for never
	nextCallAt   Millis                // infinite for none
	lastMoveAt   Millis                // when the last new configuration arrived
	lastCallAt   Millis
	oldestOpenAt Millis // when the oldest open call was made, or an earlier one that has failed since
	openCount    int    // calls to the current discovery that may still be answered
	maxLatency   Millis // highest latency of answered calls, decaying with each answer
	minLatency   Millis // lowest latency of an answered call; infinite for none

	consecutiveRefusals int    // consecutive calls that were refused at once, since the last list or new configuration
	longestRefusedWait  Millis // longest wait after which a call was refused, since the last list or new configuration
	failedSinceList     bool   // a call has ended without a list since the last list
}

// startCalls makes the first call or schedules it.
func (b *Balancer) startCalls(t Terms) {
	never := Millis(math.Inf(1))
	b.calls = discoveryCalls{bounds: t.Notified, callers: Millis(b.fleet), nextCallAt: never, lastMoveAt: -never, minLatency: never}
	if t.SoleCaller {
		b.calls.callers = 1
	}
	if !b.pullsList {
		return
	}
	b.startLease(t)
	if b.calls.bounds.Reached > 0 {
		b.setNotificationDeadline(deadlineReached, b.now+b.calls.bounds.Reached)
		if t.TakesOver {
			b.setNotificationDeadline(deadlineEnded, b.now+b.calls.bounds.Ended)
		}
	}
	if t.HasList && b.fleet > fleetMinLimit {
		b.scheduleCall(b.listBackoffFirst * Millis(b.random())) // most of the fleet may have been restarted at the same time
		return
	}
	b.callNow()
}

// callNow makes a call and schedules the next one in case this one is not answered.
func (b *Balancer) callNow() {
	c := &b.calls
	c.lastCallAt = b.now
	b.Watch()
	if c.bounds.Reached <= 0 {
		return
	}
	if c.openCount == 0 {
		c.oldestOpenAt = b.now
	}
	if limit := b.maxOpenCalls(); c.openCount < limit {
		c.openCount++
	}
	b.scheduleCall(b.nextParallelCall() - b.now)
}

// nextParallelCall returns when a parallel call is made unless an open call is answered before.
func (b *Balancer) nextParallelCall() Millis {
	c := &b.calls
	if b.lease.suspended { // a service that refuses queued calls would have refused the open ones by now
		return c.lastCallAt + max(parallelCallSpacing, c.longestRefusedWait*refusedWaitFactor)
	}
	if c.openCount >= MaxOpenCalls {
		return c.lastCallAt + openCallReplaceInterval
	}
	at := max(c.oldestOpenAt+b.expectedQueueTime(), c.lastCallAt+parallelCallSpacing)
	if c.longestRefusedWait > 0 || c.minLatency > maxDeadlineCallWork && !math.IsInf(float64(c.minLatency), 1) {
		return at // discovery is overloaded, or one more call would cost it too much
	}
	at = min(at, b.nextSlotBefore(deadlineMoved, movedCallSpacing), b.nextSlotBefore(deadlineMovedLast, movedCallSpacing))
	beforeReached := b.nextSlotBefore(deadlineReached, deadlineCallSpacing)
	if math.IsInf(float64(c.minLatency), 1) {
		beforeReached = max(beforeReached, c.oldestOpenAt+maxQueueWait) // the whole fleet may have started at the same time
	}
	at = min(at, beforeReached)
	if end := c.deadlines[deadlineEnded]; end > b.now && c.consecutiveRefusals == 0 && b.endedCallUseful() {
		at = min(at, max(end, c.lastCallAt+deadlineCallSpacing))
	}
	return at
}

// maxOpenCalls returns how many calls may be open now. Above that, the newest call is replaced.
func (b *Balancer) maxOpenCalls() int {
	if b.lease.suspended {
		return MaxOpenCallsSuspended
	}
	return MaxOpenCalls
}

// advanceNextCall moves the next call forward if a parallel call is due earlier.
func (b *Balancer) advanceNextCall() {
	if next := b.nextParallelCall(); next < b.calls.nextCallAt {
		b.scheduleCall(max(next-b.now, 0))
	}
}

// endedCallUseful reports whether a parallel call at the deadline after a watch's end may still be answered in time, or can make
// up for a faulty answer. Any other call would only lengthen the queue in which the fleet's calls wait.
func (b *Balancer) endedCallUseful() bool {
	c := &b.calls
	return c.maxLatency <= maxEndedCallLatency || c.failedSinceList && c.maxLatency*parallelCallRounds <= c.bounds.Ended
}

// expectedQueueTime returns how long an open call may wait in discovery's queue. It follows from the work of a round of the whole
// fleet, as far as that is known: the lowest latency is an upper bound of the work of one call.
func (b *Balancer) expectedQueueTime() Millis {
	c := &b.calls
	work := c.minLatency
	switch {
	case !math.IsInf(float64(work), 1):
	case c.callers == 1:
		work = 0 // no other process is in the queue
	default:
		work = min(assumedCallWork, assumedRoundRatio*c.bounds.Reached/c.callers)
	}
	limit := maxQueueWait + work
	if c.longestRefusedWait > 0 {
		return max(c.longestRefusedWait*refusedWaitFactor, limit)
	}
	return min(max(work*c.callers*parallelCallRounds, minParallelCallDelay), limit)
}

// nextSlotBefore returns the next of the times shortly before a deadline at which parallel calls are made; infinite for none.
func (b *Balancer) nextSlotBefore(kind deadlineKind, spacing Millis) Millis {
	end := b.calls.deadlines[kind]
	for n := maxConsecutiveFaults; n > 0; n-- {
		if slot := end - Millis(n)*spacing; slot > b.now && slot >= b.calls.lastCallAt+deadlineCallSpacing-b.timerTolerance {
			return slot
		}
	}
	return Millis(math.Inf(1))
}

// scheduleCall sets the time of the next call, replacing any that was set before.
func (b *Balancer) scheduleCall(pause Millis) {
	b.calls.nextCallAt = b.now + pause
	b.SetTimer(pause, 1)
}

// callTimerFired makes the call that is due. If bounds are known, it ignores timers while a watch is open and timers whose call has
// been rescheduled.
func (b *Balancer) callTimerFired() {
	switch {
	case b.calls.bounds.Reached <= 0:
		b.callNow()
	case b.calls.watching || b.now+b.timerTolerance < b.calls.nextCallAt:
	default:
		b.callNow()
	}
}

// setNotificationDeadline sets a deadline unless an earlier one of the same kind has not passed yet.
func (b *Balancer) setNotificationDeadline(kind deadlineKind, at Millis) {
	if b.calls.deadlines[kind] <= b.now || at < b.calls.deadlines[kind] {
		b.calls.deadlines[kind] = at
	}
}

// timeToDeadline returns the time to the nearest of these deadlines that has not passed; infinite for none. A deadline that has passed
// must not hide the next one.
func (b *Balancer) timeToDeadline(kinds ...deadlineKind) Millis {
	left := Millis(math.Inf(1))
	for _, kind := range kinds {
		if at := b.calls.deadlines[kind]; at > b.now {
			left = min(left, at-b.now)
		}
	}
	return left
}

// ListCallFailed reports that a call has ended without a list. The next call follows after a back-off, in time for the deadline.
func (b *Balancer) ListCallFailed() {
	if !b.pullsList {
		return
	}
	b.calls.failedSinceList = true
	pause := b.listBackoff * Millis(0.5+b.random())
	if b.listBackoff < b.listBackoffMax && 2*b.listBackoff >= b.listBackoffMax {
		b.Note("list service fails; working from the last list")
	}
	b.listBackoff = min(2*b.listBackoff, b.listBackoffMax)
	if b.calls.bounds.Reached > 0 {
		pause = b.retryPause(pause)
	}
	b.scheduleCall(pause)
}

// retryPause returns the time from the end of a failed call to the next call, given the pause that the back-off alone would set.
func (b *Balancer) retryPause(pause Millis) Millis {
	c := &b.calls
	pause = min(pause, maxRetryPause, max(b.timeToDeadline(deadlineReached, deadlineMoved, deadlineMovedLast, deadlineEnded)/minRetriesBeforeDeadline, minRetryPause))
	if b.now-c.lastCallAt > minQueuedRefusal {
		pause = min(pause, maxRetryPauseAfterWait*Millis(b.random()))
	}
	if c.openCount = max(c.openCount-1, 0); c.openCount > 0 { // another call may still be answered
		pause = max(min(pause, c.nextCallAt-b.now), 0)
	}
	return pause
}

// ListCallRefused reports that a call was refused, and how many milliseconds after it was made. If otherOpen is set, another
// call that discovery has accepted is still open: then discovery is not down, but its queue is full.
func (b *Balancer) ListCallRefused(waited Millis, otherOpen bool) {
	if b.pullsList {
		if !otherOpen {
			b.leaseCallRefused(waited)
		}
		b.recordRefusal(waited)
	}
	b.ListCallFailed()
}

// recordRefusal updates what is known of discovery's queue and of when discovery could be reached.
func (b *Balancer) recordRefusal(waited Millis) {
	c := &b.calls
	if waited >= minQueuedRefusal {
		c.longestRefusedWait = max(c.longestRefusedWait, waited)
		return
	}
	if c.consecutiveRefusals++; c.consecutiveRefusals > maxConsecutiveFaults {
		c.deadlines[deadlineReached] = b.now + c.bounds.Reached
		if c.minLatency < assumedCallWork {
			c.minLatency = Millis(math.Inf(1)) // low latencies from before the outage do not show what a call costs now
		}
	}
}

// DiscoveryUnreachable reports that the network did not let a call be established, and for how long it was tried. The next call
// follows as after any other failure.
func (b *Balancer) DiscoveryUnreachable(waited Millis) {
	if b.pullsList {
		b.leaseCallRefused(waited)
	}
	b.ListCallFailed()
}

// ListStale reports that a call was answered with changes older than the known list. They do not show that the known list is
// current, so the whole list has to be requested.
func (b *Balancer) ListStale() {
	if b.pullsList {
		b.calls.openCount = 0
		b.ListCallFailed()
	}
}

// ListReceived reports that the current discovery has delivered its first list after a call, with the latency of that call, and
// that its watch stays open.
func (b *Balancer) ListReceived(latency Millis) {
	c := &b.calls
	c.watching, c.openCount = true, 0
	c.maxLatency, c.minLatency = max(latency, c.maxLatency*maxLatencyDecay), min(latency, c.minLatency)
	c.consecutiveRefusals, c.longestRefusedWait, c.failedSinceList = 0, 0, false
	c.deadlines, c.nextCallAt = [deadlineKinds]Millis{}, Millis(math.Inf(1))
	b.leaseListReceived()
}

// WatchEnded reports that the current watch has ended, silentFor after the last message on it. If orderly is set, the service
// ended it; otherwise the connection broke or went silent.
func (b *Balancer) WatchEnded(silentFor Millis, orderly bool) {
	if !b.pullsList {
		return
	}
	b.calls.watching = false
	b.setNotificationDeadline(deadlineReached, b.now-silentFor+b.calls.bounds.Reached)
	b.setNotificationDeadline(deadlineEnded, b.now+b.calls.bounds.Ended)
	b.listBackoff = b.listBackoffFirst
	maxJitter := min(Millis(reopenJitter+reopenJitterFleet*(1-b.minLimit)), b.listBackoffFirst, b.timeToDeadline(deadlineReached)*reopenJitterShare)
	b.scheduleCall(maxJitter * Millis(b.random()))
	b.leaseWatchEnded(silentFor, orderly)
}

// DiscoveryMoved reports that a new configuration names another discovery service. Failures of the previous service do not count
// against the new one.
func (b *Balancer) DiscoveryMoved() {
	if !b.pullsList {
		return
	}
	b.calls.watching, b.calls.openCount = false, 0
	b.calls.consecutiveRefusals, b.calls.longestRefusedWait = 0, 0
	b.leaseDiscoveryMoved()
	b.setNotificationDeadline(deadlineMoved, b.now+b.calls.bounds.Moved)
	b.calls.deadlines[deadlineMovedLast] = b.now + b.calls.bounds.Moved
	b.listBackoff = b.listBackoffFirst
	series := b.now-b.calls.lastMoveAt < moveSeriesGap
	b.calls.lastMoveAt = b.now
	if !series {
		b.callNow()
		return
	}
	pause := moveDebounce
	if b.timeToDeadline(deadlineMoved) < moveCallReserve {
		pause = max(b.calls.lastCallAt+moveDebounce-b.now, 0)
	}
	b.scheduleCall(pause)
}
