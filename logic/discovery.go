// When discovery is called for the list of endpoints. Decided from the calls that failed, the lists that came, watches that
// ended, new configurations, and the spans after which a change counts as notified. It must never judge what a list says.
//
// All those spans are kept as deadlines in one place, and the nearest that is not over yet sets the pace: a change may be owed
// under several at once, and the parts of a call (connect, first byte, rest of the line, pause, jitter) add up.
//
// Two limits pull against each other. A call that nobody answers must not hold up the next one, so that further calls are made
// while it is open. But discovery works through its calls in turn and does the work of those that were given up too, and it may
// refuse what would wait long and end the process's other calls with that: further calls can fill the queue that they wait in.
// So an open call keeps its place and is left the time of a queue before a further one is made. A call that was refused after a
// wait shows a queue longer than that, and the time is then taken from its wait.
package logic

import "math"

const (
	// AnswerPatience is how long in milliseconds a call is kept open that has told nothing: far longer than a queue at discovery
	// that is not lost altogether. The next call would stand at its end.
	AnswerTimeout Millis = 30000

	// A further call is made when an open one has waited for furtherAfter times the work of a round of the whole fleet, as far
	// as that is known: for furtherSoon at least, and at most for queueWait and the work of the call itself. A service refuses
	// calls that would wait longer than that, as far as we have met one. unknownWork stands for the work before the first answer;
	// where callers are many it is less: a round of the fleet takes no longer than unknownRound times Reached.
	parallelCallRounds          = 1.5
	minParallelCallDelay Millis = 1100
	maxQueueWait         Millis = 3050
	assumedCallWork      Millis = 1950
	assumedRoundRatio           = 2.0
	refusedWaitFactor           = 2.0 // in times of the wait after which a call was refused
	// Once a call has waited for so long a queue is no reason any more, and further ones follow one another in furtherSpacing.
	parallelCallSpacing Millis = 600
	// faultsInARow is how many calls in a row may meet a fault of their own while discovery is well. More that are refused show
	// that it is down or crowded; then a change counts from the last of these.
	maxConsecutiveFaults = 3
	// Before a deadline that is known there is time for faultsInARow further calls, deadlineSpacing apart, whatever the queue.
	// That costs a queue places: it is not done where the work of a call is over deadlineWorkMost.
	deadlineCallSpacing Millis = 300
	movedCallSpacing    Millis = 600 // the same behind a new configuration, which leaves less time than a queue may take
	maxDeadlineCallWork Millis = 2000
	// endedLatencyMost is the latency up to which a call made when a watch's end counts as notified is answered within the grace.
	maxEndedCallLatency Millis = 500
	// waitRefused is the wait in milliseconds from which on a refused call has stood in a queue.
	minQueuedRefusal Millis = 300
	// latencyFade is what is left of the longest latency at the next answer.
	maxLatencyDecay = 0.5
	// A new configuration that comes less than moveSeries milliseconds after another one is part of a series: its discovery is
	// called after moveQuiet milliseconds with no further one. Each of a series would cost discovery calls whose answers are of no
	// use a moment later, and crowd out those that count.
	moveSeriesGap Millis = 1500
	moveDebounce  Millis = 700
	// Of the time that the first of a series leaves, so many milliseconds are kept for calls: then they are made moveQuiet apart.
	moveCallReserve Millis = 2500
	// OpenCallsMost bounds the calls to one discovery that are open at once: one, and faultsInARow further ones.
	MaxOpenCalls = maxConsecutiveFaults + 1
	// OpenCallsSuspended is that bound while attempts are suspended, when nothing is served until a list is heard.
	MaxOpenCallsSuspended = 10
	// openCallsPause is the time in milliseconds after which the newest of these gives way to another, so that a discovery which
	// answers new calls only is heard in time. The older ones keep their places.
	openCallReplaceInterval Millis = 4500
	// retriesBeforeOwed is how many calls that fail at once have to fit before the deadline.
	minRetriesBeforeDeadline = 4
	// The pause in milliseconds behind a call that was refused at once is leastRetry to mostRetry. One that broke off or was
	// refused after a wait has lost time enough: the next follows in up to brokenRetry.
	minRetryPause          Millis = 250
	maxRetryPause          Millis = 800
	maxRetryPauseAfterWait Millis = 150
	// Watches of a fleet that end together are opened anew over so many milliseconds: up to the first figure for a few
	// processes, up to both together for many.
	reopenJitter, reopenJitterFleet = 100.0, 700.0
	reopenJitterShare               = 1.0 / 8 // and that at most of the time that is left
)

// NotificationBounds are the spans after which a change of the list counts as notified, in milliseconds of real time. Where
// Reached is 0 no span is known, each call gets one answer, and calls follow one another with the back-off only.
type NotificationBounds struct {
	Reached Millis // after discovery had the change and could be reached
	Moved   Millis // after a new configuration named another discovery
	Ended   Millis // after a watch ended
}

// deadline is why a change that was missed will count as notified.
type deadlineKind int

const (
	deadlineReached   deadlineKind = iota
	deadlineMoved                  // by the first of the new configurations that have no list yet
	deadlineMovedLast              // by the last of them
	deadlineEnded
	deadlineKinds
)

// discoveryCalls is what is known of the calls for the list.
type discoveryCalls struct {
	bounds       NotificationBounds
	callers      Millis                // processes that share discovery
	watching     bool                  // a watch of the discovery in force has told a list and has not ended
	deadlines    [deadlineKinds]Millis // when a change that was missed counts as notified; zero for never
	nextCallAt   Millis                // of the next call; infinite for none
	lastMoveAt   Millis                // when the last new configuration came
	lastCallAt   Millis                // when the last call was made
	oldestOpenAt Millis                // since when the oldest open call waits, or one of before that was not refused
	openCount    int                   // calls to the discovery in force that may yet be answered
	maxLatency   Millis                // latency of answered calls, fading
	minLatency   Millis                // latency of the fastest answered call; infinite for none
	// Since the last list: calls in a row that were refused at once, and the longest time after which one was refused.
	consecutiveRefusals int
	longestRefusedWait  Millis
	failedSinceList     bool // a call has ended with no list since the last one
}

// startCalls makes the first call, or sets its time.
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
		b.scheduleCall(b.listBackoffFirst * Millis(b.random())) // most of a fleet may have been restarted with us
		return
	}
	b.callNow()
}

// call starts a call now and sets the time of the next, should this one stay without an answer.
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

// furtherCall is when a further call is made, if none of the open ones is answered before.
func (b *Balancer) nextParallelCall() Millis {
	c := &b.calls
	if b.lease.suspended { // a queue that refuses calls would have refused the open ones by now
		return c.lastCallAt + max(parallelCallSpacing, c.longestRefusedWait*refusedWaitFactor)
	}
	if c.openCount >= MaxOpenCalls {
		return c.lastCallAt + openCallReplaceInterval
	}
	at := max(c.oldestOpenAt+b.expectedQueueTime(), c.lastCallAt+parallelCallSpacing)
	if c.longestRefusedWait > 0 || c.minLatency > maxDeadlineCallWork && !math.IsInf(float64(c.minLatency), 1) {
		return at // discovery is crowded, or one call more is too much for it
	}
	at = min(at, b.nextSlotBefore(deadlineMoved, movedCallSpacing), b.nextSlotBefore(deadlineMovedLast, movedCallSpacing))
	beforeReached := b.nextSlotBefore(deadlineReached, deadlineCallSpacing)
	if math.IsInf(float64(c.minLatency), 1) {
		beforeReached = max(beforeReached, c.oldestOpenAt+maxQueueWait) // the whole fleet may have started with us
	}
	at = min(at, beforeReached)
	if end := c.deadlines[deadlineEnded]; end > b.now && c.consecutiveRefusals == 0 && b.endedCallUseful() {
		at = min(at, max(end, c.lastCallAt+deadlineCallSpacing))
	}
	return at
}

// openCallsMost is how many calls may be open now; beyond that the newest gives way.
func (b *Balancer) maxOpenCalls() int {
	if b.lease.suspended {
		return MaxOpenCallsSuspended
	}
	return MaxOpenCalls
}

// hastenCall makes the next call earlier, if the time of a further one comes before.
func (b *Balancer) advanceNextCall() {
	if next := b.nextParallelCall(); next < b.calls.nextCallAt {
		b.scheduleCall(max(next-b.now, 0))
	}
}

// endedCallHelps tells whether a further call when a watch's end counts as notified may be answered in time, or makes up for an answer
// that was at fault. Any other only lengthens the queue that the fleet's calls wait in.
func (b *Balancer) endedCallUseful() bool {
	c := &b.calls
	return c.maxLatency <= maxEndedCallLatency || c.failedSinceList && c.maxLatency*parallelCallRounds <= c.bounds.Ended
}

// queueTime is how long an open call may stand in discovery's queue: the work of a round of the whole fleet, if that is known. The
// shortest latency is the work of a call, or more.
func (b *Balancer) expectedQueueTime() Millis {
	c := &b.calls
	work := c.minLatency
	switch {
	case !math.IsInf(float64(work), 1):
	case c.callers == 1:
		work = 0 // no others wait there
	default:
		work = min(assumedCallWork, assumedRoundRatio*c.bounds.Reached/c.callers)
	}
	limit := maxQueueWait + work
	if c.longestRefusedWait > 0 {
		return max(c.longestRefusedWait*refusedWaitFactor, limit)
	}
	return min(max(work*c.callers*parallelCallRounds, minParallelCallDelay), limit)
}

// slotBefore is the next of the times shortly before a deadline at which further calls are made; infinite for none.
func (b *Balancer) nextSlotBefore(kind deadlineKind, spacing Millis) Millis {
	end := b.calls.deadlines[kind]
	for n := maxConsecutiveFaults; n > 0; n-- {
		if slot := end - Millis(n)*spacing; slot > b.now && slot >= b.calls.lastCallAt+deadlineCallSpacing-b.timerTolerance {
			return slot
		}
	}
	return Millis(math.Inf(1))
}

// callAfter sets the time of the next call in place of any other.
func (b *Balancer) scheduleCall(pause Millis) {
	b.calls.nextCallAt = b.now + pause
	b.SetTimer(pause, 1)
}

// callDue makes the call whose time has come; the alarm may be that of a time that was set before.
func (b *Balancer) callTimerFired() {
	switch {
	case b.calls.bounds.Reached <= 0:
		b.callNow()
	case b.calls.watching || b.now+b.timerTolerance < b.calls.nextCallAt:
	default:
		b.callNow()
	}
}

// owe sets a deadline, unless a nearer one of its kind still runs.
func (b *Balancer) setNotificationDeadline(kind deadlineKind, at Millis) {
	if b.calls.deadlines[kind] <= b.now || at < b.calls.deadlines[kind] {
		b.calls.deadlines[kind] = at
	}
}

// left is the time to the nearest of these deadlines that still runs; infinite for none. One that is over must not hide the
// next.
func (b *Balancer) timeToDeadline(kinds ...deadlineKind) Millis {
	left := Millis(math.Inf(1))
	for _, kind := range kinds {
		if at := b.calls.deadlines[kind]; at > b.now {
			left = min(left, at-b.now)
		}
	}
	return left
}

// ListFailed says that a call has ended with no list. The next one comes after a back-off, in time for the deadline.
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

// retryPause is the time from a call's end to the next call, where the back-off alone would give a pause.
func (b *Balancer) retryPause(pause Millis) Millis {
	c := &b.calls
	pause = min(pause, maxRetryPause, max(b.timeToDeadline(deadlineReached, deadlineMoved, deadlineMovedLast, deadlineEnded)/minRetriesBeforeDeadline, minRetryPause))
	if b.now-c.lastCallAt > minQueuedRefusal {
		pause = min(pause, maxRetryPauseAfterWait*Millis(b.random()))
	}
	if c.openCount = max(c.openCount-1, 0); c.openCount > 0 { // another may still be answered
		pause = max(min(pause, c.nextCallAt-b.now), 0)
	}
	return pause
}

// ListRefused says that a call has been turned away, so many milliseconds after it was made. Beside is that another one which discovery
// has taken in stands open: discovery is not down, its queue is full.
func (b *Balancer) ListCallRefused(waited Millis, otherOpen bool) {
	if b.pullsList {
		if !otherOpen {
			b.leaseCallRefused(waited)
		}
		b.recordRefusal(waited)
	}
	b.ListCallFailed()
}

// noteRefusal keeps what a refusal tells of discovery's queue and of when it could be reached.
func (b *Balancer) recordRefusal(waited Millis) {
	c := &b.calls
	if waited >= minQueuedRefusal {
		c.longestRefusedWait = max(c.longestRefusedWait, waited)
		return
	}
	if c.consecutiveRefusals++; c.consecutiveRefusals > maxConsecutiveFaults {
		c.deadlines[deadlineReached] = b.now + c.bounds.Reached
		if c.minLatency < assumedCallWork {
			c.minLatency = Millis(math.Inf(1)) // how little a call took before says nothing of the work that it is now
		}
	}
}

// ListUnreachable says that the network let no call come up, for so long. The next one comes as after any other failure.
func (b *Balancer) DiscoveryUnreachable(waited Millis) {
	if b.pullsList {
		b.leaseCallRefused(waited)
	}
	b.ListCallFailed()
}

// ListStale says that a call was answered with changes from before what is known: they vouch for nothing, and the whole list has to be
// asked for.
func (b *Balancer) ListStale() {
	if b.pullsList {
		b.calls.openCount = 0
		b.ListCallFailed()
	}
}

// ListHeard says that the discovery in force has told its first list since a call, which took so long, and that its watch
// goes on.
func (b *Balancer) ListReceived(latency Millis) {
	c := &b.calls
	c.watching, c.openCount = true, 0
	c.maxLatency, c.minLatency = max(latency, c.maxLatency*maxLatencyDecay), min(latency, c.minLatency)
	c.consecutiveRefusals, c.longestRefusedWait, c.failedSinceList = 0, 0, false
	c.deadlines, c.nextCallAt = [deadlineKinds]Millis{}, Millis(math.Inf(1))
	b.leaseListReceived()
}

// ListLost says that the watch in force has ended, so long after it was last heard. Orderly is that its service ended it, in place
// of a connection that broke or fell silent.
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

// ListMoved says that a new configuration names another discovery. What the one before failed is not held against it.
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
