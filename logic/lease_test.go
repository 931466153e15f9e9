package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseWorld drives one instance with two endpoints, a request each leaseRequestEvery, and discovery's events by hand.
type leaseWorld struct {
	Outgoing
	eventQueue
	b       *Balancer
	sent    []Millis // when attempts began
	refused int
	serving Millis // that an attempt takes
	timers  int    // that are set and have not come
	arrived int
}

const leaseRequestEvery Millis = 10

func (w *leaseWorld) SetTimer(after Millis, t TimerID) {
	w.timers++
	w.schedule(after, func() {
		w.timers--
		w.b.SetNow(w.now)
		w.b.TimerFired(t)
	})
}

func (w *leaseWorld) Send(x ExchangeID, _ EndpointID, _ Millis) {
	w.sent = append(w.sent, w.now)
	serving := w.serving
	w.schedule(serving, func() {
		w.b.SetNow(w.now)
		w.b.LegEnded(x, 0, Succeeded, serving, true)
	})
}

func (w *leaseWorld) Shed(ExchangeID, Reason, Millis) { w.refused++ }

// newLeaseWorld has heard its list at 2000.
func newLeaseWorld(terms Terms) *leaseWorld {
	w := newUnheardLeaseWorld(terms)
	w.play(2000)
	w.hear()
	w.arrive()
	return w
}

// newUnheardLeaseWorld starts at 1000 and has heard nothing.
func newUnheardLeaseWorld(terms Terms) *leaseWorld {
	w := &leaseWorld{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}, serving: 1}
	terms.PullList, terms.Fleet, terms.MaxListWait, terms.MaxLegs, terms.TimerTick = true, 6, 1200, 3, 5
	terms.Notified = NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}
	terms.Products = []Product{{Effect: Retryable, Expected: 500, Abandon: 1000, Value: 1}}
	w.b = New(terms, w, w.now)
	return w
}

func (w *leaseWorld) arrive() {
	w.arrived++
	w.b.SetNow(w.now)
	w.b.Arrive(ExchangeID(fmt.Sprint(w.arrived)), 0, -1, 0, w.now+1000, 0, false)
	w.schedule(leaseRequestEvery, w.arrive)
}

func (w *leaseWorld) hear() {
	w.b.SetNow(w.now)
	w.b.ListStarts()
	for _, id := range []EndpointID{"a", "b"} {
		w.b.Listed(id, Running, 0, 0, 0, 1, 0)
	}
	w.b.ListEnds(false)
	w.b.ListHeard(5)
}

func (w *leaseWorld) play(end Millis) {
	w.runUntil(end)
	w.b.SetNow(w.now)
}

// refuseEvery has a call refused at once each pause, until an end.
func (w *leaseWorld) refuseEvery(pause, end Millis) {
	for w.now+pause < end {
		w.play(w.now + pause)
		w.b.ListRefused(1, false)
	}
	w.play(end)
}

// sentIn counts the attempts that began in a time.
func (w *leaseWorld) sentIn(from, to Millis) (n int) {
	for _, at := range w.sent {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Each event sets a deadline, and no attempt begins from there on, less the stall that a process may have, until a list is heard.
func TestNoAttemptBeginsAfterTheLeaseOnTheList(t *testing.T) {
	for _, c := range []struct {
		name  string
		grace Millis
		event func(b *Balancer)
		ends  Millis // after the event, without the grace
	}{
		{"watch ended", 500, func(b *Balancer) { b.ListLost(0, true) }, 2000},
		{"watch ended, short grace", 100, func(b *Balancer) { b.ListLost(0, true) }, 2000},
		{"watch ended, long grace", 2000, func(b *Balancer) { b.ListLost(0, true) }, 2000},
		{"watch silent for 5 s", 500, func(b *Balancer) { b.ListLost(5000, false) }, 1000},
		{"new configuration", 500, func(b *Balancer) { b.ListMoved() }, 4000},
		{"new configurations in a row", 500, func(b *Balancer) { b.ListMoved(); b.ListMoved() }, 4000},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newLeaseWorld(Terms{DrainGrace: c.grace})
			w.play(10000)
			c.event(w.b)
			w.schedule(300, func() { w.b.SetNow(w.now); w.b.ListReached(false) })
			end := 10000 + c.ends + max(c.grace-leaseStall, 0)
			w.play(end + 600)
			assert.InDelta(t, float64(end-10000)/float64(leaseRequestEvery), w.sentIn(10000, end), 2, "until the lease ends")
			assert.Zero(t, w.sentIn(end, w.now), "after the lease's end")
			assert.True(t, w.b.Suspended())
			heard := w.now
			w.hear()
			assert.False(t, w.b.Suspended())
			w.play(heard + 1000)
			assert.GreaterOrEqual(t, w.sentIn(heard, w.now), int(1000/leaseRequestEvery), "once a list is heard")
		})
	}
}

func TestTheLeaseStopsNoServiceWhileDiscoveryIsDown(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: 500})
	w.play(10000)
	w.b.ListLost(0, true)
	w.refuseEvery(800, 130000)
	assert.InDelta(t, 120000/float64(leaseRequestEvery), w.sentIn(10000, 130000), 2)
	assert.Less(t, w.timers, 300, "timers that are set")

	w.b.ListReached(false)
	surelyDown := 130000 - (faultsInARow+1)*Millis(800)
	w.play(surelyDown + 6200)
	assert.False(t, w.b.Suspended(), "the time begins anew with discovery's return")
	w.play(surelyDown + 6300)
	assert.True(t, w.b.Suspended(), "and ends 6 s after the last refusal that was no fault of a single call")
	w.play(130000 - 800 + 6250 + suspensionMost - 50)
	assert.True(t, w.b.Suspended(), "until it would end had discovery come back with the last of them")
	w.play(130000 + 6250 + suspensionMost)
	assert.False(t, w.b.Suspended())
}

func TestFaultyRefusalsDoNotRenewTheLeaseOfADiscoveryThatWasReached(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: 500})
	w.play(10000)
	w.b.ListLost(0, true)
	w.refuseEvery(500, 15000)
	w.b.ListReached(false)
	surelyDown := 15000 - (faultsInARow+1)*Millis(500)
	w.refuseEvery(1500, surelyDown+6200)
	assert.False(t, w.b.Suspended())
	w.play(surelyDown + 6300)
	assert.True(t, w.b.Suspended())
	w.refuseEvery(200, surelyDown+7300)
	assert.False(t, w.b.Suspended(), "a row of refusals shows that it is down")
}

func TestASuspensionEndsWhenDiscoveryStaysSilent(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: 500})
	w.play(10000)
	w.b.ListLost(0, true)
	w.play(10300)
	w.b.ListReached(false)
	w.play(60000)
	assert.Zero(t, w.sentIn(12260, 12250+suspensionMost))
	assert.Zero(t, w.sentIn(16260, 16250+suspensionMost), "for the later deadline")
	assert.InDelta(t, (60000-16250-float64(suspensionMost))/float64(leaseRequestEvery), w.sentIn(16250+suspensionMost, 60000), 60)
}

func TestAnAgentsSilenceEndsNoLease(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: 500, SoleCaller: true})
	w.play(10000)
	w.b.ListLost(0, true)
	w.b.ListReached(false)
	w.play(20000)
	assert.False(t, w.b.Suspended())
	w.b.ListReached(true)
	assert.True(t, w.b.Suspended())
}

func TestWithoutBoundsThereIsNoLease(t *testing.T) {
	b, _ := newTestBalancer("ab")
	b.ListHeard(1)
	b.ListLost(0, true)
	b.ListReached(true)
	b.SetNow(b.now + 60000)
	b.TimerFired(leaseTimer)
	assert.False(t, b.Suspended())
}

func TestATimerThatRoundingBringsEarlyEndsTheLeaseAndTheSuspension(t *testing.T) {
	w := lostWatch()
	end := Millis(12000) + leaseGrace - leaseStall
	w.b.SetNow(end - timerSlack/2)
	w.b.TimerFired(leaseTimer)
	assert.True(t, w.b.Suspended())
	w.b.SetNow(w.b.lease.until - timerSlack/2)
	w.b.TimerFired(leaseTimer)
	assert.False(t, w.b.Suspended())
}
