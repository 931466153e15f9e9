package logic

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// leaseGrace is the grace for drains in these tests.
const leaseGrace Millis = 500

// lostWatch has a watch end at 10000 in place of telling, and a call taken in 0.3 s later.
func lostWatch() *leaseWorld {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace})
	w.play(10000)
	w.b.ListLost(0, true)
	w.play(10300)
	w.b.ListReached(false)
	return w
}

func TestANewConfigurationResumesNoSuspendedAttempts(t *testing.T) {
	w := lostWatch()
	w.play(13000)
	assert.True(t, w.b.Suspended())
	for range 3 {
		w.b.ListMoved()
		w.play(w.now + 250)
	}
	assert.Zero(t, w.sentIn(12000+leaseGrace, w.now))
}

func TestNewConfigurationsInARowPutOffNoDeadlineOfAWatchsEnd(t *testing.T) {
	w := lostWatch()
	w.play(11500)
	w.b.ListMoved()
	w.play(11800)
	w.b.ListReached(false)
	w.play(12000)
	w.b.ListMoved()
	w.play(12000 + moveQuiet + 300)
	assert.Zero(t, w.sentIn(12000+leaseGrace, w.now))
}

func TestOneRefusalAfterAWaitPutsOffNoDeadlineOfAWatchsEnd(t *testing.T) {
	w := lostWatch()
	w.play(10400)
	w.b.ListRefused(400, false)
	w.play(11000)
	w.b.ListReached(false)
	w.play(13500)
	assert.Zero(t, w.sentIn(12000+leaseGrace, w.now))
}

func TestOneRefusalAfterAWaitResumesNoSuspendedAttempts(t *testing.T) {
	w := lostWatch()
	w.play(13000)
	w.b.ListRefused(2900, false)
	w.play(13200)
	w.b.ListReached(false)
	w.play(14500)
	assert.Zero(t, w.sentIn(12000+leaseGrace, w.now))
}

func TestCallsRefusedTogetherCountAsOneWait(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace})
	w.play(10000)
	w.b.ListMoved()
	w.play(10300)
	w.b.ListReached(false)
	w.play(13000)
	w.b.ListRefused(3000, false)
	w.b.ListRefused(1500, false)
	w.play(13400)
	w.b.ListReached(false)
	w.play(15500)
	assert.Zero(t, w.sentIn(14000+leaseGrace, w.now))
}

func TestASpentSuspensionComesAgainBehindANewConfiguration(t *testing.T) {
	w := lostWatch()
	w.play(40000)
	w.b.ListMoved()
	w.play(40300)
	w.b.ListReached(false)
	w.play(46000)
	assert.Zero(t, w.sentIn(44000+leaseGrace, w.now))
}

func TestASpentSuspensionComesAgainAfterAnOutage(t *testing.T) {
	w := lostWatch()
	w.play(20000)
	w.refuseEvery(500, 30000)
	w.b.ListReached(false)
	w.play(37000)
	assert.Zero(t, w.sentIn(36000+leaseGrace, w.now))
}

func TestWhatAnAgentHasCountsFromItsWatchsEnd(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace, SoleCaller: true, AskWithin: 125})
	w.play(10000)
	w.b.ListLost(0, true)
	for range 4 {
		w.play(w.now + 300)
		w.b.ListReached(true)
		w.b.ListFailed()
	}
	assert.Zero(t, w.sentIn(10000+leaseGrace, w.now))
}

func TestWhatAnAgentHasCountsFromAProcesssFirstMoment(t *testing.T) {
	w := newUnheardLeaseWorld(Terms{DrainGrace: leaseGrace, SoleCaller: true, AskWithin: 125})
	w.b.ListStarts()
	w.b.Listed("a", Running, 0, 0, 0, 1, 0)
	w.b.ListEnds(true)
	w.arrive()
	for range 4 {
		w.play(w.now + 300)
		w.b.ListReached(true)
		w.b.ListFailed()
	}
	assert.Zero(t, w.sentIn(1000+leaseGrace, w.now))
}

func TestASecondLossPutsOffNoDeadline(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace})
	w.play(10000)
	w.b.ListLost(0, false)
	w.play(10300)
	w.b.ListReached(false)
	w.play(15000)
	w.b.ListLost(0, false)
	w.play(18000)
	assert.Zero(t, w.sentIn(16000+leaseGrace, w.now))
}

func TestSingleRefusalsPutOffNoDeadline(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace})
	w.play(10000)
	w.b.ListLost(0, false)
	for range faultsInARow {
		w.play(w.now + 500)
		w.b.ListRefused(1, false)
	}
	w.play(12300)
	w.b.ListReached(false)
	w.play(18000)
	assert.Zero(t, w.sentIn(16000+leaseGrace, w.now))
}

func TestARequestWhoseAttemptDidNotBeginWaitsForTheList(t *testing.T) {
	w := lostWatch()
	w.play(12000 + leaseGrace - leaseStall - 100)
	x, sent := ExchangeID("dialling"), len(w.sent)
	w.serving = 1000
	w.b.Arrive(x, 0, -1, 0, w.now+1000, 0, false)
	w.serving = 1
	assert.Len(t, w.sent, sent+1)
	w.play(w.now + 110)
	assert.True(t, w.b.Suspended())
	refused := w.refused
	w.b.LegEnded(x, 0, NotSent, 110, false)
	assert.Equal(t, refused, w.refused)
}

func TestAShortSuspensionRefusesFewRequests(t *testing.T) {
	w := newLeaseWorld(Terms{DrainGrace: leaseGrace})
	w.serving = 50
	w.play(10000)
	served := w.refused
	w.b.ListLost(0, true)
	w.play(10300)
	w.b.ListReached(false)
	w.play(12000 + leaseGrace - leaseStall)
	assert.Equal(t, served, w.refused, "before the lease's end")
	w.play(w.now + 200)
	w.hear()
	w.play(w.now + 1000)
	assert.LessOrEqual(t, w.refused-served, int(200/leaseRequestEvery)/2)
}
