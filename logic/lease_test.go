package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseSimulation runs one Balancer with two endpoints and a request every leaseRequestInterval. The tests issue the events of
// discovery.
type leaseSimulation struct {
	Outgoing
	eventQueue
	b             *Balancer
	sentAt        []Millis // start times of the legs
	shed          int
	legDuration   Millis
	pendingTimers int // timers that are set and have not fired
	arrivals      int
}

const leaseRequestInterval Millis = 10

func (s *leaseSimulation) SetTimer(after Millis, t TimerID) {
	s.pendingTimers++
	s.schedule(after, func() {
		s.pendingTimers--
		s.b.SetNow(s.now)
		s.b.TimerFired(t)
	})
}

func (s *leaseSimulation) Send(x ExchangeID, _ EndpointID, _ Millis) {
	s.sentAt = append(s.sentAt, s.now)
	legDuration := s.legDuration
	s.schedule(legDuration, func() {
		s.b.SetNow(s.now)
		s.b.LegEnded(x, 0, Succeeded, legDuration, true)
	})
}

func (s *leaseSimulation) Shed(ExchangeID, Reason, Millis) { s.shed++ }

// newLeaseSimulation returns a simulation that received its list at 2000.
func newLeaseSimulation(terms Terms) *leaseSimulation {
	s := newLeaseSimulationWithoutList(terms)
	s.simulateUntil(2000)
	s.receiveList()
	s.arrive()
	return s
}

// newLeaseSimulationWithoutList returns a simulation that starts at 1000 and has received no list.
func newLeaseSimulationWithoutList(terms Terms) *leaseSimulation {
	s := &leaseSimulation{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}, legDuration: 1}
	terms.PullList, terms.Fleet, terms.MaxListWait, terms.MaxLegs, terms.TimerTick = true, 6, 1200, 3, 5
	terms.Notified = NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}
	terms.Products = []Product{{Effect: Retryable, Expected: 500, Abandon: 1000, Value: 1}}
	s.b = New(terms, s, s.now)
	return s
}

func (s *leaseSimulation) arrive() {
	s.arrivals++
	s.b.SetNow(s.now)
	s.b.Arrive(ExchangeID(fmt.Sprint(s.arrivals)), 0, -1, 0, s.now+1000, 0, false)
	s.schedule(leaseRequestInterval, s.arrive)
}

func (s *leaseSimulation) receiveList() {
	s.b.SetNow(s.now)
	s.b.ListStarts()
	for _, id := range []EndpointID{"a", "b"} {
		s.b.Listed(id, Running, 0, 0, 0, 1, 0)
	}
	s.b.ListEnds(false)
	s.b.ListReceived(5)
}

func (s *leaseSimulation) simulateUntil(end Millis) {
	s.runUntil(end)
	s.b.SetNow(s.now)
}

// refuseCallsUntil refuses a call at once after each pause, until end.
func (s *leaseSimulation) refuseCallsUntil(pause, end Millis) {
	for s.now+pause < end {
		s.simulateUntil(s.now + pause)
		s.b.ListCallRefused(1, false)
	}
	s.simulateUntil(end)
}

// legsSentIn counts the legs that started from one time up to another.
func (s *leaseSimulation) legsSentIn(from, to Millis) (n int) {
	for _, at := range s.sentAt {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Each event sets a deadline. No leg starts from the deadline plus the grace period, less the allowance for stalls of the process,
// until a list is received.
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
		{"watch ended after 5 s of silence", 500, func(b *Balancer) { b.WatchEnded(5000, false) }, 1000},
		{"new configuration", 500, func(b *Balancer) { b.DiscoveryMoved() }, 4000},
		{"two new configurations", 500, func(b *Balancer) { b.DiscoveryMoved(); b.DiscoveryMoved() }, 4000},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newLeaseSimulation(Terms{DrainGrace: c.grace})
			sim.simulateUntil(10000)
			c.event(sim.b)
			sim.schedule(300, func() { sim.b.SetNow(sim.now); sim.b.ListCallAccepted(false) })
			expiry := 10000 + c.expiresAfter + max(c.grace-leaseStallAllowance, 0)
			sim.simulateUntil(expiry + 600)
			assert.InDelta(t, float64(expiry-10000)/float64(leaseRequestInterval), sim.legsSentIn(10000, expiry), 2, "until the lease expires")
			assert.Zero(t, sim.legsSentIn(expiry, sim.now), "after the lease has expired")
			assert.True(t, sim.b.Suspended())
			receivedAt := sim.now
			sim.receiveList()
			assert.False(t, sim.b.Suspended())
			sim.simulateUntil(receivedAt + 1000)
			assert.GreaterOrEqual(t, sim.legsSentIn(receivedAt, sim.now), int(1000/leaseRequestInterval), "once a list is received")
		})
	}
}

func TestTheLeaseDoesNotSuspendLegsWhileDiscoveryIsDown(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: 500})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, true)
	sim.refuseCallsUntil(800, 130000)
	assert.InDelta(t, 120000/float64(leaseRequestInterval), sim.legsSentIn(10000, 130000), 2)
	assert.Less(t, sim.pendingTimers, 300, "pending timers")

	sim.b.ListCallAccepted(false)
	knownDownAt := 130000 - (maxConsecutiveFaults+1)*Millis(800)
	sim.simulateUntil(knownDownAt + 6200)
	assert.False(t, sim.b.Suspended(), "the time restarts when discovery comes back")
	sim.simulateUntil(knownDownAt + 6300)
	assert.True(t, sim.b.Suspended(), "the lease expires 6 s after the last refusal that cannot be a fault of a single call")
	sim.simulateUntil(130000 - 800 + 6250 + maxSuspension - 50)
	assert.True(t, sim.b.Suspended(), "suspended until the lease would expire if discovery had come back with the last refusal")
	sim.simulateUntil(130000 + 6250 + maxSuspension)
	assert.False(t, sim.b.Suspended())
}

func TestIsolatedRefusalsDoNotExtendTheLeaseOfAReachableDiscovery(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: 500})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, true)
	sim.refuseCallsUntil(500, 15000)
	sim.b.ListCallAccepted(false)
	knownDownAt := 15000 - (maxConsecutiveFaults+1)*Millis(500)
	sim.refuseCallsUntil(1500, knownDownAt+6200)
	assert.False(t, sim.b.Suspended())
	sim.simulateUntil(knownDownAt + 6300)
	assert.True(t, sim.b.Suspended())
	sim.refuseCallsUntil(200, knownDownAt+7300)
	assert.False(t, sim.b.Suspended(), "consecutive refusals show that discovery is down")
}

func TestASuspensionEndsWhenDiscoveryDoesNotAnswer(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: 500})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, true)
	sim.simulateUntil(10300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(60000)
	assert.Zero(t, sim.legsSentIn(12260, 12250+maxSuspension))
	assert.Zero(t, sim.legsSentIn(16260, 16250+maxSuspension), "suspended again for the later deadline")
	assert.InDelta(t, (60000-16250-float64(maxSuspension))/float64(leaseRequestInterval), sim.legsSentIn(16250+maxSuspension, 60000), 60)
}

func TestASilentAgentDoesNotSuspendLegs(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: 500, SoleCaller: true})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, true)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(20000)
	assert.False(t, sim.b.Suspended())
	sim.b.ListCallAccepted(true)
	assert.True(t, sim.b.Suspended())
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
	sim := newLeaseSimulationWithEndedWatch()
	end := Millis(12000) + leaseDrainGrace - leaseStallAllowance
	sim.b.SetNow(end - timerSlack/2)
	sim.b.TimerFired(leaseTimer)
	assert.True(t, sim.b.Suspended())
	sim.b.SetNow(sim.b.lease.suspendedUntil - timerSlack/2)
	sim.b.TimerFired(leaseTimer)
	assert.False(t, sim.b.Suspended())
}
