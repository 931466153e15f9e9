package logic

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseDrainGrace is the drain grace period in these tests.
const leaseDrainGrace Millis = 500

// newLeaseSimulationWithEndedWatch returns a simulation in which the service ended the watch at 10000 instead of sending an update,
// and discovery accepted a call 0.3 s later.
func newLeaseSimulationWithEndedWatch() *leaseSimulation {
	s := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	s.simulateUntil(10000)
	s.b.WatchEnded(0, true)
	s.simulateUntil(10300)
	s.b.ListCallAccepted(false)
	return s
}

func TestANewConfigurationDoesNotEndASuspension(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(13000)
	assert.True(t, sim.b.Suspended())
	for range 3 {
		sim.b.DiscoveryMoved()
		sim.simulateUntil(sim.now + 250)
	}
	assert.Zero(t, sim.legsSentIn(12000+leaseDrainGrace, sim.now))
}

func TestRepeatedNewConfigurationsDoNotPostponeTheWatchEndDeadline(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(11500)
	sim.b.DiscoveryMoved()
	sim.simulateUntil(11800)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(12000)
	sim.b.DiscoveryMoved()
	sim.simulateUntil(12000 + moveDebounce + 300)
	assert.Zero(t, sim.legsSentIn(12000+leaseDrainGrace, sim.now))
}

func TestOneQueuedRefusalDoesNotPostponeTheWatchEndDeadline(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(10400)
	sim.b.ListCallRefused(400, false)
	sim.simulateUntil(11000)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(13500)
	assert.Zero(t, sim.legsSentIn(12000+leaseDrainGrace, sim.now))
}

func TestOneQueuedRefusalDoesNotEndASuspension(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(13000)
	sim.b.ListCallRefused(2900, false)
	sim.simulateUntil(13200)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(14500)
	assert.Zero(t, sim.legsSentIn(12000+leaseDrainGrace, sim.now))
}

func TestCallsRefusedTogetherCountAsOneQueuedRefusal(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	sim.simulateUntil(10000)
	sim.b.DiscoveryMoved()
	sim.simulateUntil(10300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(13000)
	sim.b.ListCallRefused(3000, false)
	sim.b.ListCallRefused(1500, false)
	sim.simulateUntil(13400)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(15500)
	assert.Zero(t, sim.legsSentIn(14000+leaseDrainGrace, sim.now))
}

func TestASuspensionRecursAfterANewConfiguration(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(40000)
	sim.b.DiscoveryMoved()
	sim.simulateUntil(40300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(46000)
	assert.Zero(t, sim.legsSentIn(44000+leaseDrainGrace, sim.now))
}

func TestASuspensionRecursAfterAnOutage(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(20000)
	sim.refuseCallsUntil(500, 30000)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(37000)
	assert.Zero(t, sim.legsSentIn(36000+leaseDrainGrace, sim.now))
}

func TestAnAgentsLeaseRunsFromTheEndOfItsWatch(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace, SoleCaller: true, AskWithin: 125})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, true)
	for range 4 {
		sim.simulateUntil(sim.now + 300)
		sim.b.ListCallAccepted(true)
		sim.b.ListCallFailed()
	}
	assert.Zero(t, sim.legsSentIn(10000+leaseDrainGrace, sim.now))
}

func TestAnAgentsLeaseRunsFromProcessStart(t *testing.T) {
	sim := newLeaseSimulationWithoutList(Terms{DrainGrace: leaseDrainGrace, SoleCaller: true, AskWithin: 125})
	sim.b.ListStarts()
	sim.b.Listed("a", Running, 0, 0, 0, 1, 0)
	sim.b.ListEnds(true)
	sim.arrive()
	for range 4 {
		sim.simulateUntil(sim.now + 300)
		sim.b.ListCallAccepted(true)
		sim.b.ListCallFailed()
	}
	assert.Zero(t, sim.legsSentIn(1000+leaseDrainGrace, sim.now))
}

func TestASecondWatchEndDoesNotPostponeTheDeadline(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, false)
	sim.simulateUntil(10300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(15000)
	sim.b.WatchEnded(0, false)
	sim.simulateUntil(18000)
	assert.Zero(t, sim.legsSentIn(16000+leaseDrainGrace, sim.now))
}

func TestIsolatedRefusalsDoNotPostponeTheDeadline(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	sim.simulateUntil(10000)
	sim.b.WatchEnded(0, false)
	for range maxConsecutiveFaults {
		sim.simulateUntil(sim.now + 500)
		sim.b.ListCallRefused(1, false)
	}
	sim.simulateUntil(12300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(18000)
	assert.Zero(t, sim.legsSentIn(16000+leaseDrainGrace, sim.now))
}

func TestARequestWhoseLegWasNotSentIsQueuedDuringASuspension(t *testing.T) {
	sim := newLeaseSimulationWithEndedWatch()
	sim.simulateUntil(12000 + leaseDrainGrace - leaseStallAllowance - 100)
	x, sent := ExchangeID("dialling"), len(sim.sentAt)
	sim.legDuration = 1000
	sim.b.Arrive(x, 0, -1, 0, sim.now+1000, 0, false)
	sim.legDuration = 1
	assert.Len(t, sim.sentAt, sent+1)
	sim.simulateUntil(sim.now + 110)
	assert.True(t, sim.b.Suspended())
	shedBefore := sim.shed
	sim.b.LegEnded(x, 0, NotSent, 110, false)
	assert.Equal(t, shedBefore, sim.shed)
}

func TestAShortSuspensionShedsFewRequests(t *testing.T) {
	sim := newLeaseSimulation(Terms{DrainGrace: leaseDrainGrace})
	sim.legDuration = 50
	sim.simulateUntil(10000)
	shedBefore := sim.shed
	sim.b.WatchEnded(0, true)
	sim.simulateUntil(10300)
	sim.b.ListCallAccepted(false)
	sim.simulateUntil(12000 + leaseDrainGrace - leaseStallAllowance)
	assert.Equal(t, shedBefore, sim.shed, "before the lease expires")
	sim.simulateUntil(sim.now + 200)
	sim.receiveList()
	sim.simulateUntil(sim.now + 1000)
	assert.LessOrEqual(t, sim.shed-shedBefore, int(200/leaseRequestInterval)/2)
}
