// This file holds the lease on the list of endpoints: how long new legs may be sent by a list that no watch keeps current. It is
// derived from the bounds after which a missed change counts as notified, and from the outcomes of calls to discovery, which show
// whether discovery can be reached. The lease must never decide when discovery is called (discovery.go does, and takes a
// suspension into account), nor stop service while discovery cannot be reached.
//
// A watch that has delivered its list holds the lease. When the watch ends, when a new configuration arrives and when the process
// starts, the lease begins to run towards the nearest deadline. A lease that expires before a list is received suspends all new
// legs, since any endpoint may count as drained by then. Meanwhile requests are queued; they are sent once a list is received, or
// given up before their deadline.
//
// A missed change counts as notified only while discovery can be reached. That it can be reached is shown by a call that
// discovery accepted, and by a watch that its service ended in an orderly way. Calls refused after a wait, or several consecutive
// calls refused at once, may mean that discovery is down: the time then starts again. A call that is refused while another one is
// open means a full queue.

package logic

import "math"

const (
	// leaseStallAllowance is the part of the drain grace period, in milliseconds, that is reserved for a process that is delayed
	// between reading its clock and a write, and for late timers.
	leaseStallAllowance Millis = 250
	// maxSuspension is the longest time in milliseconds for which new legs are suspended until a list is received. A discovery
	// service that accepts calls and answers none must not end all service.
	maxSuspension Millis = 3800
	// maxQueuedRefusals is how many calls an overloaded discovery service may refuse after a wait before it counts as down.
	maxQueuedRefusals = 1
	// maxQueuedRefusalsAfterReset replaces maxQueuedRefusals after a watch was reset, which is how watches end when their
	// service goes down.
	maxQueuedRefusalsAfterReset = 0
	// timerSlack is the time in milliseconds by which a timer may fire early because of rounding.
	timerSlack Millis = 0.01
	// leaseTimer is the timer for the expiry of the lease and for the end of a suspension.
	leaseTimer TimerID = 3
)

// lease is the state of the lease on the current list.
type lease struct {
	bounds NotificationBounds
	// margin is the time from a deadline to the expiry of the lease: the usable part of the drain grace period.
	margin Millis
	// soleCaller is set if a local agent serves this process alone. Changes that it has received count as notified at once, and
	// it does not answer while its own discovery is down.
	soleCaller bool

	// A missed change counts as notified at the nearest of these deadlines. Zero stands for no deadline.
	reachedDeadline Millis // NotificationBounds.Reached after discovery had the change and could be reached
	movedDeadline   Millis // NotificationBounds.Moved after a new configuration
	endedDeadline   Millis // NotificationBounds.Ended after the end of a watch

	reachable           bool                         // discovery has accepted a call since the last list and was not found down since
	consecutiveRefusals int                          // consecutive calls that were refused at once
	queuedRefusals      int                          // calls refused after a wait, since the last list or configuration
	lastRefusalsAt      [maxConsecutiveFaults]Millis // when the last calls were refused at once, oldest first
	lastMaybeDownAt     Millis                       // latest time at which discovery may have been down; zero for none
	endedOrderly        bool                         // the watch was ended by its service
	serviceRunning      bool                         // the orderly end of the watch showed a running service, and no call was refused since
	lastQueuedRefusalAt Millis                       // when a call was last refused after a wait
	suspended           bool
	suspendedUntil      Millis // latest end of the suspension
	timerAt             Millis // when the timer for the expiry of the lease fires
}

// startLease starts the lease of a new process, which has no watch and an old list or none.
func (b *Balancer) startLease(t Terms) {
	b.lease = lease{bounds: t.Notified, margin: max(t.DrainGrace-leaseStallAllowance, 0), soleCaller: t.SoleCaller}
	b.lease.reachedDeadline = b.now + t.Notified.Reached
	if t.SoleCaller {
		b.lease.reachedDeadline = b.now
	}
	b.updateLease()
}

// TookOver reports that this process takes over the clients of its predecessor, whose watch ends with it. predecessorWatching tells
// whether the predecessor still has a watch.
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

// leaseListReceived handles the list of a new watch, which holds the lease from then on.
func (b *Balancer) leaseListReceived() {
	l := &b.lease
	b.lease = lease{bounds: l.bounds, margin: l.margin, soleCaller: l.soleCaller, suspended: l.suspended, timerAt: l.timerAt}
	b.endSuspension()
}

// leaseWatchEnded handles the end of the watch that held the lease, silentFor after the last message on it.
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

// EarlierWatchEnded reports the end of the watch of the previous discovery service, which is relied on until the new service
// delivers its list.
func (b *Balancer) EarlierWatchEnded() {
	if !b.calls.watching {
		b.lease.endedDeadline = earlierDeadline(b.lease.endedDeadline, b.now+b.lease.bounds.Ended)
		b.updateLease()
	}
}

// earlierDeadline returns the earlier of two deadlines. The first may be zero, which stands for none.
func earlierDeadline(deadline, other Millis) Millis {
	if deadline == 0 {
		return other
	}
	return min(deadline, other)
}

// leaseDiscoveryMoved handles a new configuration that names another discovery service. The first of a series sets the deadline.
func (b *Balancer) leaseDiscoveryMoved() {
	l := &b.lease
	if l.reachedDeadline == 0 {
		l.reachable = false // otherwise the deadline set with the previous service still applies
	}
	l.consecutiveRefusals, l.queuedRefusals = 0, 0
	l.movedDeadline = earlierDeadline(l.movedDeadline, b.now+l.bounds.Moved)
	b.updateLease()
}

// leaseCallRefused handles a call that was refused the given time after it was made. Discovery may then have been down until now
// if no call has shown that it can be reached, if the call was refused after a wait, or if more consecutive calls were refused
// than faults of single calls explain. The time at which it is known to have been down is earlier: the start of a call that
// waited, or the last refusal at once that maxConsecutiveFaults more have followed.
func (b *Balancer) leaseCallRefused(waited Millis) {
	l := &b.lease
	queued, downAt := waited >= minQueuedRefusal, b.now-waited
	if queued {
		if downAt >= l.lastQueuedRefusalAt { // calls that were open together count as one wait
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

// updateReachable updates, after a refusal, whether discovery may be down, and the deadline that follows from the time at which it
// is known to have been down.
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

// ListCallAccepted reports that discovery has accepted a call: it has kept the call open for a while without an answer, or, if
// answering is set, has begun an answer.
func (b *Balancer) ListCallAccepted(answering bool) {
	if l := &b.lease; answering || !l.soleCaller {
		l.reachable, l.consecutiveRefusals = true, 0
		b.updateLease()
	}
}

// Suspended reports whether new legs are suspended because the lease on the list has expired.
func (b *Balancer) Suspended() bool { return b.lease.suspended }

// expiresAt returns when the lease expires; infinite if no deadline is set.
func (l *lease) expiresAt() Millis {
	expiry := Millis(math.Inf(1))
	for _, deadline := range []Millis{l.reachedDeadline, l.movedDeadline, l.endedDeadline} {
		if deadline > 0 {
			expiry = min(expiry, deadline+l.margin)
		}
	}
	return expiry
}

// suspensionLimit returns the latest end of a suspension that begins now. It is later by as much as discovery may have come back
// after the time that the lease assumes.
func (l *lease) suspensionLimit(now Millis) Millis {
	extension := Millis(0)
	if l.reachedDeadline > 0 && l.reachedDeadline+l.margin <= now+timerSlack {
		extension = max(l.lastMaybeDownAt+l.bounds.Reached-l.reachedDeadline, 0)
	}
	return now + maxSuspension + extension
}

// updateLease suspends new legs or resumes them, depending on the current state of the lease.
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

// dropExpired drops the deadlines that have passed: legs have been suspended on their account for as long as is allowed.
func (l *lease) dropExpired(now Millis) {
	for _, deadline := range []*Millis{&l.reachedDeadline, &l.movedDeadline, &l.endedDeadline} {
		if now+timerSlack >= *deadline+l.margin {
			*deadline = 0
		}
	}
}

// setLeaseTimer sets the timer for the expiry of the lease, unless one is set that fires no later.
func (b *Balancer) setLeaseTimer() {
	l, expiry := &b.lease, b.lease.expiresAt()
	if math.IsInf(float64(expiry), 1) || l.timerAt > b.now && l.timerAt <= expiry {
		return
	}
	l.timerAt = expiry
	b.SetTimer(expiry-b.now, leaseTimer)
}

// endSuspension allows new legs again, first for the queued requests.
func (b *Balancer) endSuspension() {
	if b.lease.suspended {
		b.lease.suspended = false
		b.dispatchQueue()
	}
}
