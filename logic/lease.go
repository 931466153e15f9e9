// The lease on the list of endpoints: until when the sidecar may send by a list that no watch keeps current. Decided from the
// spans after which a missed change counts as notified, and from what calls to discovery showed of whether it can be reached. It
// must never take part in when discovery is called, nor stop service while discovery can't be reached.
//
// A watch that has told its list holds the lease. From its end, from a new configuration and from the start of the process the
// lease runs to the nearest of the deadlines that are owed. A lease that ends before a list is heard suspends all new attempts:
// any endpoint may be one that counts as drained. Requests wait meanwhile and go out once a list is heard, or are answered in
// their time.
//
// A change counts only while discovery can be reached. A call that discovery took in shows that it can, and so does a watch that its
// service ended in good order. Calls refused after a wait, or a row of calls refused at once, may mean that it is down: the time then
// begins anew. A call that is refused while another one stands open means a full queue.
package logic

import "math"

const (
	// leaseStall is the part of the grace for drains, in milliseconds, that is left for a process that is held up between its
	// clock and a write, and for timers that are late.
	leaseStallAllowance Millis = 250
	// suspensionMost is how long new attempts are suspended at most until a list is heard. A discovery that takes calls and
	// answers none must not end all service.
	maxSuspension Millis = 3800
	// waitsOfACrowd is how many calls a crowded discovery may refuse after a wait before it counts as down.
	maxQueuedRefusals = 1
	// waitsAfterReset is the same behind a watch that was reset, as the watches of a discovery are that goes down.
	maxQueuedRefusalsAfterReset = 0
	// timerSlack is by how many milliseconds a timer may come early, by rounding.
	timerSlack Millis = 0.01
	// leaseTimer is the timer of the lease's end and of the end of a suspension.
	leaseTimer TimerID = 3
)

// lease is what is known of how long the list may be sent by.
type lease struct {
	bounds     NotificationBounds
	margin     Millis // from a deadline to the lease's end: what of the grace may be used
	soleCaller bool   // an agent serves this process alone: what it has counts at once, and it is silent while its own discovery is down

	// The deadlines in force, each zero for none. A change that was missed counts as notified by the nearest.
	reachedDeadline, movedDeadline, endedDeadline Millis

	reachable           bool                         // discovery has taken in a call since the last list and was not found down since
	consecutiveRefusals int                          // calls in a row that were refused at once
	queuedRefusals      int                          // calls that were refused after a wait, since the last list or configuration
	lastRefusalsAt      [maxConsecutiveFaults]Millis // when the last calls were refused at once, the oldest first
	lastMaybeDownAt     Millis                       // the last time at which discovery may have been down; zero for none
	endedOrderly        bool                         // the watch was ended by its service
	serviceRunning      bool                         // so that the service runs, as far as no refusal has shown since
	lastQueuedRefusalAt Millis                       // when a call was refused after a wait last
	suspended           bool
	suspendedUntil      Millis // end of the suspension
	timerAt             Millis // of the timer that is set for the lease's end
}

// startLease begins without a watch: with an old list, or with none.
func (b *Balancer) startLease(t Terms) {
	b.lease = lease{bounds: t.Notified, margin: max(t.DrainGrace-leaseStallAllowance, 0), soleCaller: t.SoleCaller}
	b.lease.reachedDeadline = b.now + t.Notified.Reached
	if t.SoleCaller {
		b.lease.reachedDeadline = b.now
	}
	b.updateLease()
}

// TookOver says that this process takes the clients of the one before, whose watch ends with it. Vouched is that the one before still
// has a watch.
func (b *Balancer) TookOver(predecessorWatching bool) {
	if b.calls.watching {
		return
	}
	b.lease.endedDeadline = b.now
	if predecessorWatching {
		b.lease.endedDeadline += b.lease.bounds.Ended
	}
	b.updateLease()
}

// leaseHeard says that a watch has told its list: it holds the lease from here on.
func (b *Balancer) leaseListReceived() {
	l := &b.lease
	b.lease = lease{bounds: l.bounds, margin: l.margin, soleCaller: l.soleCaller, suspended: l.suspended, timerAt: l.timerAt}
	b.endSuspension()
}

// leaseWatchEnded says that the watch has ended that held the lease, so long after it was last heard.
func (b *Balancer) leaseWatchEnded(silentFor Millis, orderly bool) {
	l := &b.lease
	l.endedOrderly, l.serviceRunning = orderly, orderly && !l.soleCaller
	l.reachedDeadline = earlierDeadline(l.reachedDeadline, b.now-silentFor+l.bounds.Reached)
	if orderly || silentFor < l.bounds.Ended {
		l.endedDeadline = earlierDeadline(l.endedDeadline, b.now+l.bounds.Ended)
	}
	if l.soleCaller {
		l.reachedDeadline = earlierDeadline(l.reachedDeadline, b.now-silentFor)
	}
	b.updateLease()
}

// EarlierWatchEnded says that the watch of the discovery before has ended, which was believed until the new one tells its list.
func (b *Balancer) EarlierWatchEnded() {
	if !b.calls.watching {
		b.lease.endedDeadline = earlierDeadline(b.lease.endedDeadline, b.now+b.lease.bounds.Ended)
		b.updateLease()
	}
}

// nearer is the nearer of a deadline that may be none, as zero, and another one.
func earlierDeadline(deadline, other Millis) Millis {
	if deadline == 0 {
		return other
	}
	return min(deadline, other)
}

// leaseMoved says that a new configuration names another discovery. The first of a series sets the deadline.
func (b *Balancer) leaseDiscoveryMoved() {
	l := &b.lease
	if l.reachedDeadline == 0 {
		l.reachable = false // what the discovery before owed still counts
	}
	l.consecutiveRefusals, l.queuedRefusals = 0, 0
	l.movedDeadline = earlierDeadline(l.movedDeadline, b.now+l.bounds.Moved)
	b.updateLease()
}

// leaseRefused says that a call was refused, so long after it was made. As long as no call has shown that discovery can be reached,
// after a wait, and after more refusals in a row than faults of single calls make, it may have been down until now. What it surely was
// down at is earlier: at the start of a call that waited, and at the last refusal with so many more behind it.
func (b *Balancer) leaseCallRefused(waited Millis) {
	l := &b.lease
	queued, downAt := waited >= minQueuedRefusal, b.now-waited
	if queued {
		if downAt >= l.lastQueuedRefusalAt { // calls that end together were one wait
			l.queuedRefusals++
		}
		l.lastQueuedRefusalAt = b.now
	} else {
		l.consecutiveRefusals++
		downAt = l.lastRefusalsAt[0]
		copy(l.lastRefusalsAt[:], l.lastRefusalsAt[1:])
		l.lastRefusalsAt[len(l.lastRefusalsAt)-1] = b.now
	}
	l.updateReachable(queued, downAt, b.now)
	b.updateLease()
}

// judgeReach draws from refusals whether discovery may be down, which it surely was at some time.
func (l *lease) updateReachable(queued bool, knownDownAt, now Millis) {
	repeated := l.consecutiveRefusals > maxConsecutiveFaults
	l.serviceRunning = false
	if repeated || l.queuedRefusals > maxQueuedRefusals {
		l.endedDeadline, l.movedDeadline = 0, 0
	}
	if !l.endedOrderly && l.queuedRefusals > maxQueuedRefusalsAfterReset {
		l.endedDeadline = 0
	}
	if repeated || queued && (!l.suspended || l.endedDeadline == 0 && l.movedDeadline == 0) {
		l.reachable = false
	}
	if l.reachable {
		return
	}
	l.lastMaybeDownAt = now
	if l.reachedDeadline > 0 || l.movedDeadline == 0 {
		l.reachedDeadline = max(l.reachedDeadline, knownDownAt+l.bounds.Reached)
	}
}

// ListReached says that discovery has taken in a call: it has kept it open for a while without an answer, or has begun one.
func (b *Balancer) ListCallAccepted(answering bool) {
	if l := &b.lease; answering || !l.soleCaller {
		l.reachable, l.consecutiveRefusals = true, 0
		b.updateLease()
	}
}

// Suspended tells that no new attempt may begin, since the lease on the list has ended.
func (b *Balancer) Suspended() bool { return b.lease.suspended }

// ends is when the lease ends; infinite while it does not.
func (l *lease) expiresAt() Millis {
	expiry := Millis(math.Inf(1))
	for _, deadline := range []Millis{l.reachedDeadline, l.movedDeadline, l.endedDeadline} {
		if deadline > 0 {
			expiry = min(expiry, deadline+l.margin)
		}
	}
	return expiry
}

// suspensionEnds is until when attempts are suspended at most that are from now on. Where discovery may have come back later than the
// lease supposes, so much longer.
func (l *lease) suspensionLimit(now Millis) Millis {
	extension := Millis(0)
	if l.reachedDeadline > 0 && l.reachedDeadline+l.margin <= now+timerSlack {
		extension = max(l.lastMaybeDownAt+l.bounds.Reached-l.reachedDeadline, 0)
	}
	return now + maxSuspension + extension
}

// reviewLease suspends attempts or lets them go on, as the lease stands now.
func (b *Balancer) updateLease() {
	l := &b.lease
	if !b.pullsList || l.bounds.Reached <= 0 {
		return
	}
	expired, reachable := b.now+timerSlack >= l.expiresAt(), l.reachable || l.serviceRunning
	switch {
	case l.suspended && b.now+timerSlack >= l.suspendedUntil:
		b.Note("no list is heard; working from the last list again")
		l.dropExpired(b.now)
		b.endSuspension()
		b.setLeaseTimer()
	case l.suspended && (!expired || !reachable):
		b.endSuspension()
		b.setLeaseTimer()
	case !l.suspended && expired && reachable:
		l.suspended, l.suspendedUntil = true, l.suspensionLimit(b.now)
		b.SetTimer(l.suspendedUntil-b.now, leaseTimer)
		b.advanceNextCall()
		b.Note("the lease on the list has ended; no new attempts until a list is heard")
	case !l.suspended && !expired:
		b.setLeaseTimer()
	}
}

// letGo drops the deadlines that are over: attempts were suspended for them for as long as may be.
func (l *lease) dropExpired(now Millis) {
	for _, deadline := range []*Millis{&l.reachedDeadline, &l.movedDeadline, &l.endedDeadline} {
		if now+timerSlack >= *deadline+l.margin {
			*deadline = 0
		}
	}
}

// wakeAtLeaseEnd sets the timer, unless one is set that comes no later.
func (b *Balancer) setLeaseTimer() {
	l, expiry := &b.lease, b.lease.expiresAt()
	if math.IsInf(float64(expiry), 1) || l.timerAt > b.now && l.timerAt <= expiry {
		return
	}
	l.timerAt = expiry
	b.SetTimer(expiry-b.now, leaseTimer)
}

// resume lets attempts begin again, first for the requests that wait.
func (b *Balancer) endSuspension() {
	if b.lease.suspended {
		b.lease.suspended = false
		b.dispatchQueue()
	}
}
