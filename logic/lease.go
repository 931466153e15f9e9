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
	leaseStall Millis = 250
	// suspensionMost is how long new attempts are suspended at most until a list is heard. A discovery that takes calls and
	// answers none must not end all service.
	suspensionMost Millis = 3800
	// waitsOfACrowd is how many calls a crowded discovery may refuse after a wait before it counts as down.
	waitsOfACrowd = 1
	// waitsAfterReset is the same behind a watch that was reset, as the watches of a discovery are that goes down.
	waitsAfterReset = 0
	// timerSlack is by how many milliseconds a timer may come early, by rounding.
	timerSlack Millis = 0.01
	// leaseTimer is the timer of the lease's end and of the end of a suspension.
	leaseTimer TimerID = 3
)

// lease is what is known of how long the list may be sent by.
type lease struct {
	bounds NotificationBounds
	margin Millis // from a deadline to the lease's end: what of the grace may be used
	sole   bool   // an agent serves this process alone: what it has counts at once, and it is silent while its own discovery is down

	// The deadlines in force, each zero for none. A change that was missed counts as notified by the nearest.
	reachedBy, movedBy, endedBy Millis

	reached   bool                 // discovery has taken in a call since the last list and was not found down since
	refusals  int                  // calls in a row that were refused at once
	waits     int                  // calls that were refused after a wait, since the last list or configuration
	refusedAt [faultsInARow]Millis // when the last calls were refused at once, the oldest first
	maybeDown Millis               // the last time at which discovery may have been down; zero for none
	orderly   bool                 // the watch was ended by its service
	running   bool                 // so that the service runs, as far as no refusal has shown since
	waitedAt  Millis               // when a call was refused after a wait last
	suspended bool
	until     Millis // end of the suspension
	alarm     Millis // of the timer that is set for the lease's end
}

// startLease begins without a watch: with an old list, or with none.
func (b *Balancer) startLease(t Terms) {
	b.lease = lease{bounds: t.Notified, margin: max(t.DrainGrace-leaseStall, 0), sole: t.SoleCaller}
	b.lease.reachedBy = b.now + t.Notified.Reached
	if t.SoleCaller {
		b.lease.reachedBy = b.now
	}
	b.reviewLease()
}

// TookOver says that this process takes the clients of the one before, whose watch ends with it. Vouched is that the one before still
// has a watch.
func (b *Balancer) TookOver(vouched bool) {
	if b.calls.watching {
		return
	}
	b.lease.endedBy = b.now
	if vouched {
		b.lease.endedBy += b.lease.bounds.Ended
	}
	b.reviewLease()
}

// leaseHeard says that a watch has told its list: it holds the lease from here on.
func (b *Balancer) leaseHeard() {
	l := &b.lease
	b.lease = lease{bounds: l.bounds, margin: l.margin, sole: l.sole, suspended: l.suspended, alarm: l.alarm}
	b.resume()
}

// leaseWatchEnded says that the watch has ended that held the lease, so long after it was last heard.
func (b *Balancer) leaseWatchEnded(silentFor Millis, orderly bool) {
	l := &b.lease
	l.orderly, l.running = orderly, orderly && !l.sole
	l.reachedBy = nearer(l.reachedBy, b.now-silentFor+l.bounds.Reached)
	if orderly || silentFor < l.bounds.Ended {
		l.endedBy = nearer(l.endedBy, b.now+l.bounds.Ended)
	}
	if l.sole {
		l.reachedBy = nearer(l.reachedBy, b.now-silentFor)
	}
	b.reviewLease()
}

// EarlierWatchEnded says that the watch of the discovery before has ended, which was believed until the new one tells its list.
func (b *Balancer) EarlierWatchEnded() {
	if !b.calls.watching {
		b.lease.endedBy = nearer(b.lease.endedBy, b.now+b.lease.bounds.Ended)
		b.reviewLease()
	}
}

// nearer is the nearer of a deadline that may be none, as zero, and another one.
func nearer(by, other Millis) Millis {
	if by == 0 {
		return other
	}
	return min(by, other)
}

// leaseMoved says that a new configuration names another discovery. The first of a series sets the deadline.
func (b *Balancer) leaseMoved() {
	l := &b.lease
	if l.reachedBy == 0 {
		l.reached = false // what the discovery before owed still counts
	}
	l.refusals, l.waits = 0, 0
	l.movedBy = nearer(l.movedBy, b.now+l.bounds.Moved)
	b.reviewLease()
}

// leaseRefused says that a call was refused, so long after it was made. As long as no call has shown that discovery can be reached,
// after a wait, and after more refusals in a row than faults of single calls make, it may have been down until now. What it surely was
// down at is earlier: at the start of a call that waited, and at the last refusal with so many more behind it.
func (b *Balancer) leaseRefused(after Millis) {
	l := &b.lease
	waited, down := after >= waitRefused, b.now-after
	if waited {
		if down >= l.waitedAt { // calls that end together were one wait
			l.waits++
		}
		l.waitedAt = b.now
	} else {
		l.refusals++
		down = l.refusedAt[0]
		copy(l.refusedAt[:], l.refusedAt[1:])
		l.refusedAt[len(l.refusedAt)-1] = b.now
	}
	l.judgeReach(waited, down, b.now)
	b.reviewLease()
}

// judgeReach draws from refusals whether discovery may be down, which it surely was at some time.
func (l *lease) judgeReach(waited bool, surelyDown, now Millis) {
	row := l.refusals > faultsInARow
	l.running = false
	if row || l.waits > waitsOfACrowd {
		l.endedBy, l.movedBy = 0, 0
	}
	if !l.orderly && l.waits > waitsAfterReset {
		l.endedBy = 0
	}
	if row || waited && (!l.suspended || l.endedBy == 0 && l.movedBy == 0) {
		l.reached = false
	}
	if l.reached {
		return
	}
	l.maybeDown = now
	if l.reachedBy > 0 || l.movedBy == 0 {
		l.reachedBy = max(l.reachedBy, surelyDown+l.bounds.Reached)
	}
}

// ListReached says that discovery has taken in a call: it has kept it open for a while without an answer, or has begun one.
func (b *Balancer) ListReached(answering bool) {
	if l := &b.lease; answering || !l.sole {
		l.reached, l.refusals = true, 0
		b.reviewLease()
	}
}

// Suspended tells that no new attempt may begin, since the lease on the list has ended.
func (b *Balancer) Suspended() bool { return b.lease.suspended }

// ends is when the lease ends; infinite while it does not.
func (l *lease) ends() Millis {
	end := Millis(math.Inf(1))
	for _, by := range []Millis{l.reachedBy, l.movedBy, l.endedBy} {
		if by > 0 {
			end = min(end, by+l.margin)
		}
	}
	return end
}

// suspensionEnds is until when attempts are suspended at most that are from now on. Where discovery may have come back later than the
// lease supposes, so much longer.
func (l *lease) suspensionEnds(now Millis) Millis {
	later := Millis(0)
	if l.reachedBy > 0 && l.reachedBy+l.margin <= now+timerSlack {
		later = max(l.maybeDown+l.bounds.Reached-l.reachedBy, 0)
	}
	return now + suspensionMost + later
}

// reviewLease suspends attempts or lets them go on, as the lease stands now.
func (b *Balancer) reviewLease() {
	l := &b.lease
	if !b.pullsList || l.bounds.Reached <= 0 {
		return
	}
	over, reached := b.now+timerSlack >= l.ends(), l.reached || l.running
	switch {
	case l.suspended && b.now+timerSlack >= l.until:
		b.Note("no list is heard; working from the last list again")
		l.letGo(b.now)
		b.resume()
		b.wakeAtLeaseEnd()
	case l.suspended && (!over || !reached):
		b.resume()
		b.wakeAtLeaseEnd()
	case !l.suspended && over && reached:
		l.suspended, l.until = true, l.suspensionEnds(b.now)
		b.SetTimer(l.until-b.now, leaseTimer)
		b.hastenCall()
		b.Note("the lease on the list has ended; no new attempts until a list is heard")
	case !l.suspended && !over:
		b.wakeAtLeaseEnd()
	}
}

// letGo drops the deadlines that are over: attempts were suspended for them for as long as may be.
func (l *lease) letGo(now Millis) {
	for _, by := range []*Millis{&l.reachedBy, &l.movedBy, &l.endedBy} {
		if now+timerSlack >= *by+l.margin {
			*by = 0
		}
	}
}

// wakeAtLeaseEnd sets the timer, unless one is set that comes no later.
func (b *Balancer) wakeAtLeaseEnd() {
	l, end := &b.lease, b.lease.ends()
	if math.IsInf(float64(end), 1) || l.alarm > b.now && l.alarm <= end {
		return
	}
	l.alarm = end
	b.SetTimer(end-b.now, leaseTimer)
}

// resume lets attempts begin again, first for the requests that wait.
func (b *Balancer) resume() {
	if b.lease.suspended {
		b.lease.suspended = false
		b.dispatchQueue()
	}
}
