package logic

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseGrace is the grace for drains in these tests.
const leaseDrainGrace Millis = 500

// lostWatch has a watch end at 10000 in place of telling, and a call taken in 0.3 s later.
func newLeaseSimulationWithEndedWatch() *leaseSimulation {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	w.simulateUntil(10300)
	w.b.ListCallAccepted(false)
	return w
}

func TestANewConfigurationDoesNotEndASuspension(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(13000)
	assert.True(t, w.b.Suspended())
	for range 3 {
		w.b.DiscoveryMoved()
		w.simulateUntil(w.now + 250)
	}
	assert.Zero(t, w.legsSentIn(12000+leaseDrainGrace, w.now))
}

func TestRepeatedNewConfigurationsDoNotPostponeTheWatchEndDeadline(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(11500)
	w.b.DiscoveryMoved()
	w.simulateUntil(11800)
	w.b.ListCallAccepted(false)
	w.simulateUntil(12000)
	w.b.DiscoveryMoved()
	w.simulateUntil(12000 + moveDebounce + 300)
	assert.Zero(t, w.legsSentIn(12000+leaseDrainGrace, w.now))
}

func TestOneQueuedRefusalDoesNotPostponeTheWatchEndDeadline(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(10400)
	w.b.ListCallRefused(400, false)
	w.simulateUntil(11000)
	w.b.ListCallAccepted(false)
	w.simulateUntil(13500)
	assert.Zero(t, w.legsSentIn(12000+leaseDrainGrace, w.now))
}

func TestOneQueuedRefusalDoesNotEndASuspension(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(13000)
	w.b.ListCallRefused(2900, false)
	w.simulateUntil(13200)
	w.b.ListCallAccepted(false)
	w.simulateUntil(14500)
	assert.Zero(t, w.legsSentIn(12000+leaseDrainGrace, w.now))
}

func TestCallsRefusedTogetherCountAsOneQueuedRefusal(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	w.simulateUntil(10000)
	w.b.DiscoveryMoved()
	w.simulateUntil(10300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(13000)
	w.b.ListCallRefused(3000, false)
	w.b.ListCallRefused(1500, false)
	w.simulateUntil(13400)
	w.b.ListCallAccepted(false)
	w.simulateUntil(15500)
	assert.Zero(t, w.legsSentIn(14000+leaseDrainGrace, w.now))
}

func TestASuspensionRecursAfterANewConfiguration(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(40000)
	w.b.DiscoveryMoved()
	w.simulateUntil(40300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(46000)
	assert.Zero(t, w.legsSentIn(44000+leaseDrainGrace, w.now))
}

func TestASuspensionRecursAfterAnOutage(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(20000)
	w.refuseCallsUntil(500, 30000)
	w.b.ListCallAccepted(false)
	w.simulateUntil(37000)
	assert.Zero(t, w.legsSentIn(36000+leaseDrainGrace, w.now))
}

func TestAnAgentsLeaseRunsFromTheEndOfItsWatch(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace, SoleCaller: true, AskWithin: 125})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, true)
	for range 4 {
		w.simulateUntil(w.now + 300)
		w.b.ListCallAccepted(true)
		w.b.ListCallFailed()
	}
	assert.Zero(t, w.legsSentIn(10000+leaseDrainGrace, w.now))
}

func TestAnAgentsLeaseRunsFromProcessStart(t *testing.T) {
	w := newLeaseSimulationWithoutList(Terms{DrainGrace: leaseDrainGrace, SoleCaller: true, AskWithin: 125})
	w.b.ListStarts()
	w.b.Listed("a", Running, 0, 0, 0, 1, 0)
	w.b.ListEnds(true)
	w.arrive()
	for range 4 {
		w.simulateUntil(w.now + 300)
		w.b.ListCallAccepted(true)
		w.b.ListCallFailed()
	}
	assert.Zero(t, w.legsSentIn(1000+leaseDrainGrace, w.now))
}

func TestASecondWatchEndDoesNotPostponeTheDeadline(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, false)
	w.simulateUntil(10300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(15000)
	w.b.WatchEnded(0, false)
	w.simulateUntil(18000)
	assert.Zero(t, w.legsSentIn(16000+leaseDrainGrace, w.now))
}

func TestIsolatedRefusalsDoNotPostponeTheDeadline(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	w.simulateUntil(10000)
	w.b.WatchEnded(0, false)
	for range maxConsecutiveFaults {
		w.simulateUntil(w.now + 500)
		w.b.ListCallRefused(1, false)
	}
	w.simulateUntil(12300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(18000)
	assert.Zero(t, w.legsSentIn(16000+leaseDrainGrace, w.now))
}

func TestARequestWhoseLegWasNotSentIsQueuedDuringASuspension(t *testing.T) {
	w := newLeaseSimulationWithEndedWatch()
	w.simulateUntil(12000 + leaseDrainGrace - leaseStallAllowance - 100)
	x, sent := ExchangeID("dialling"), len(w.sentAt)
	w.legDuration = 1000
	w.b.Arrive(x, 0, -1, 0, w.now+1000, 0, false)
	w.legDuration = 1
	assert.Len(t, w.sentAt, sent+1)
	w.simulateUntil(w.now + 110)
	assert.True(t, w.b.Suspended())
	shedBefore := w.shed
	w.b.LegEnded(x, 0, NotSent, 110, false)
	assert.Equal(t, shedBefore, w.shed)
}

func TestAShortSuspensionShedsFewRequests(t *testing.T) {
	w := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	w.legDuration = 50
	w.simulateUntil(10000)
	shedBefore := w.shed
	w.b.WatchEnded(0, true)
	w.simulateUntil(10300)
	w.b.ListCallAccepted(false)
	w.simulateUntil(12000 + leaseDrainGrace - leaseStallAllowance)
	assert.Equal(t, shedBefore, w.shed, "before the lease's end")
	w.simulateUntil(w.now + 200)
	w.receiveList()
	w.simulateUntil(w.now + 1000)
	assert.LessOrEqual(t, w.shed-shedBefore, int(200/leaseRequestInterval)/2)
}
