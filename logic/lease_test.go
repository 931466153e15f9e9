package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseWorld drives one instance with two endpoints, a request each leaseRequestEvery, and discovery's events by hand.
type leaseSimulation struct {
	Outgoing
	eventQueue
	b             *Balancer
	sentAt        []Millis // when attempts began
	shed          int
	legDuration   Millis // that an attempt takes
	pendingTimers int    // that are set and have not come
	arrivals      int
}

const leaseRequestInterval Millis = 10

func (w *leaseSimulation) SetTimer(after Millis, t TimerID) {
	w.pendingTimers++
	w.schedule(after, func() {
		w.pendingTimers--
		w.b.SetNow(w.now)
		w.b.TimerFired(t)
	})
}

func (w *leaseSimulation) Send(x ExchangeID, _ EndpointID, _ Millis) {
	w.sentAt = append(w.sentAt, w.now)
	legDuration := w.legDuration
	w.schedule(legDuration, func() {
		w.b.SetNow(w.now)
		w.b.LegEnded(x, 0, Succeeded, legDuration, true)
	})
}

func (w *leaseSimulation) Shed(ExchangeID, Reason, Millis) { w.shed++ }

// newLeaseWorld has heard its list at 2000.
func newLeaseSimulation(terms Terms) *leaseSimulation {
	w := newLeaseSimulationWithoutList(terms)
	w.simulateUntil(2000)
	w.receiveList()
	w.arrive()
	return w
}

// newUnheardLeaseWorld starts at 1000 and has heard nothing.
func newLeaseSimulationWithoutList(terms Terms) *leaseSimulation {
	w := &leaseSimulation{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}, legDuration: 1}
	terms.PullList, terms.Fleet, terms.MaxListWait, terms.MaxLegs, terms.TimerTick = true, 6, 1200, 3, 5
	terms.Notified = NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}
	terms.Products = []Product{{Effect: Retryable, Expected: 500, Abandon: 1000, Value: 1}}
	w.b = New(terms, w, w.now)
	return w
}

func (w *leaseSimulation) arrive() {
	w.arrivals++
	w.b.SetNow(w.now)
	w.b.Arrive(ExchangeID(fmt.Sprint(w.arrivals)), 0, -1, 0, w.now+1000, 0, false)
	w.schedule(leaseRequestInterval, w.arrive)
}

func (w *leaseSimulation) receiveList() {
	w.b.SetNow(w.now)
	w.b.ListStarts()
	for _, id := range []EndpointID{"a", "b"} {
		w.b.Listed(id, Running, 0, 0, 0, 1, 0)
	}
	w.b.ListEnds(false)
	w.b.ListReceived(5)
}

func (w *leaseSimulation) simulateUntil(end Millis) {
	w.runUntil(end)
	w.b.SetNow(w.now)
}

// refuseEvery has a call refused at once each pause, until an end.
func (w *leaseSimulation) refuseCallsUntil(pause, end Millis) {
	for w.now+pause < end {
		w.simulateUntil(w.now + pause)
		w.b.ListCallRefused(1, false)
	}
	w.simulateUntil(end)
}

// sentIn counts the attempts that began in a time.
func (w *leaseSimulation) legsSentIn(from, to Millis) (n int) {
	for _, at := range w.sentAt {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Each event sets a deadline, and no attempt begins from there on, less the stall that a process may have, until a list is heard.
func TestNoLegStartsAfterLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		name         string
		grace        Millis
		event        func(b *Balancer)
		expiresAfter Millis // after the event, without the grace
	}{
		{"watch ended", 500, func(b *Balancer) { b.WatchEnded(0, true) }, 2000},
		{"watch ended, short grace", 100, func(b *Balancer) { b.WatchEnded(0, true) }, 2000},
		{"watch ended, long grace", 2000, func(b *Balancer) { b.WatchEnded(0, true) }, 2000},
		{"watch silent for 5 s", 500, func(b *Balancer) { b.WatchEnded(5000, false) }, 1000},
		{"new configuration", 500, func(b *Balancer) { b.DiscoveryMoved() }, 4000},
		{"new configurations in a row", 500, func(b *Balancer) { b.DiscoveryMoved(); b.DiscoveryMoved() }, 4000},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newLeaseSimulation(Terms{DrainGrace: c.grace})
			w.simulateUntil(10000)
			c.event(w.b)
			w.schedule(300, func() { w.b.SetNow(w.now); w.b.ListCallAccepted(false) })
			expiry := 10000 + c.expiresAfter + max(c.grace-leaseStallAllowance, 0)
			w.simulateUntil(expiry + 600)
			assert.InDelta(t, float64(expiry-10000)/float64(leaseRequestInterval), w.legsSentIn(10000, expiry), 2, "until the lease ends")
			assert.Zero(t, w.legsSentIn(expiry, w.now), "after the lease's end")
			assert.True(t, w.b.Suspended())
			receivedAt := w.now
			w.receiveList()
			assert.False(t, w.b.Suspended())
			w.simulateUntil(receivedAt + 1000)
			assert.GreaterOrEqual(t, w.legsSentIn(receivedAt, w.now), int(1000/leaseRequestInterval), "once a list is heard")
		})
	}
}

func TestTheLeaseDoesNotExpireWhileDiscoveryIsDown(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: 500})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	w.refuseCallsUntil(800, 130000)
	assert.InDelta(t, 120000/float64(leaseRequestInterval), w.legsSentIn(10000, 130000), 2)
	assert.Less(t, w.pendingTimers, 300, "timers that are set")

	w.b.ListCallAccepted(false)
	knownDownAt := 130000 - (maxConsecutiveFaults+1)*Millis(800)
	w.simulateUntil(knownDownAt + 6200)
	assert.False(t, w.b.Suspended(), "the time begins anew with discovery's return")
	w.simulateUntil(knownDownAt + 6300)
	assert.True(t, w.b.Suspended(), "and ends 6 s after the last refusal that was no fault of a single call")
	w.simulateUntil(130000 - 800 + 6250 + maxSuspension - 50)
	assert.True(t, w.b.Suspended(), "until it would end had discovery come back with the last of them")
	w.simulateUntil(130000 + 6250 + maxSuspension)
	assert.False(t, w.b.Suspended())
}

func TestIsolatedRefusalsDoNotExtendTheLeaseOfAReachableDiscovery(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: 500})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	w.refuseCallsUntil(500, 15000)
	w.b.ListCallAccepted(false)
	knownDownAt := 15000 - (maxConsecutiveFaults+1)*Millis(500)
	w.refuseCallsUntil(1500, knownDownAt+6200)
	assert.False(t, w.b.Suspended())
	w.simulateUntil(knownDownAt + 6300)
	assert.True(t, w.b.Suspended())
	w.refuseCallsUntil(200, knownDownAt+7300)
	assert.False(t, w.b.Suspended(), "a row of refusals shows that it is down")
}

func TestASuspensionEndsWhenDiscoveryDoesNotAnswer(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: 500})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	w.simulateUntil(10300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(60000)
	assert.Zero(t, w.legsSentIn(12260, 12250+maxSuspension))
	assert.Zero(t, w.legsSentIn(16260, 16250+maxSuspension), "for the later deadline")
	assert.InDelta(t, (60000-16250-float64(maxSuspension))/float64(leaseRequestInterval), w.legsSentIn(16250+maxSuspension, 60000), 60)
}

func TestASilentAgentDoesNotEndTheLease(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: 500, SoleCaller: true})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	w.b.ListCallAccepted(false)
	w.simulateUntil(20000)
	assert.False(t, w.b.Suspended())
	w.b.ListCallAccepted(true)
	assert.True(t, w.b.Suspended())
}

func TestNoLeaseWithoutNotificationBounds(t *testing.T) {
	b, _ := newTestBalancer("ab")
	b.ListReceived(1)
	b.WatchEnded(0, true)
	b.ListCallAccepted(true)
	b.SetNow(b.now + 60000)
	b.TimerFired(leaseTimer)
	assert.False(t, b.Suspended())
}

func TestATimerEarlyByRoundingEndsTheLeaseAndTheSuspension(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	end := Millis(12000) + leaseDrainGrace - leaseStallAllowance
	w.b.SetNow(end - timerSlack/2)
	w.b.TimerFired(leaseTimer)
	assert.True(t, w.b.Suspended())
	w.b.SetNow(w.b.lease.suspendedUntil - timerSlack/2)
	w.b.TimerFired(leaseTimer)
	assert.False(t, w.b.Suspended())
}
