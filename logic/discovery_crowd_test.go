package logic

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// crowdedDiscovery answers calls in turn and does the work of those that were given up too. It refuses at once what would wait
// for longer than its patience.
type overloadedDiscovery struct {
	eventQueue
	busyUntil      Millis // when its queue is done
	work           Millis // of a call
	maxWait        Millis
	sidecars       []*overloadSidecar
	faultsCostWork bool // faulty answers cost their work too
}

// crowdSidecar is one of its callers.
type overloadSidecar struct {
	Outgoing
	d          *overloadedDiscovery
	b          *Balancer
	rng        *rand.Rand
	moveCount  int
	faultsLeft int // calls to come that meet a fault
	received   bool
	receivedAt Millis
	eventAt    Millis // of the event after which it has to hear a list
}

func (s *overloadSidecar) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		s.d.schedule(after, func() { s.b.SetNow(s.d.now); s.b.TimerFired(1) })
	}
}

func (s *overloadSidecar) failAfter(moveCount int, pause Millis) {
	s.d.schedule(pause, func() {
		if moveCount == s.moveCount && !s.received {
			s.b.SetNow(s.d.now)
			s.b.ListCallFailed()
		}
	})
}

func (s *overloadSidecar) Watch() {
	d, startedAt, moveCount := s.d, s.d.now, s.moveCount
	if s.faultsLeft > 0 {
		s.faultsLeft--
		if d.faultsCostWork {
			d.busyUntil = max(d.busyUntil, d.now) + d.work
		}
		s.failAfter(moveCount, []Millis{2, 2, 4000, 600, 3}[s.rng.IntN(5)])
		return
	}
	if d.busyUntil-d.now > d.maxWait {
		s.failAfter(moveCount, 2)
		return
	}
	d.busyUntil = max(d.busyUntil, d.now) + d.work
	d.schedule(d.busyUntil-d.now, func() {
		if s.received || d.now-startedAt > 4000 {
			return
		}
		s.b.SetNow(d.now)
		s.b.ListEnds(false)
		if moveCount == s.moveCount { // an earlier discovery's list is taken, but it is no end of the calls
			s.received, s.receivedAt = true, d.now
			s.b.ListReceived(d.now - startedAt)
		}
	})
	s.failAfter(moveCount, 4000)
}

func newOverloadedDiscovery(fleet int, seed uint64) *overloadedDiscovery {
	d := &overloadedDiscovery{eventQueue: eventQueue{now: 1000}, work: Millis(1640 / float64(fleet)), maxWait: 3000}
	for n := range fleet {
		s := &overloadSidecar{Outgoing: discardOutgoing{}, d: d, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		s.b = New(Terms{Seed: seed<<10 + uint64(n), Fleet: fleet, PullList: true, AskWithin: 10000, MaxListWait: 1200,
			Notified: NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}}, s, d.now)
		d.sidecars = append(d.sidecars, s)
	}
	d.runUntil(30000)
	return d
}

// reconfigure has every process get four new configurations within 1.6 s, each with a discovery whose first answers are faulty;
// it returns how long after the last of them each heard a list.
func (d *overloadedDiscovery) reconfigure(faults int) (delays []Millis) {
	for n, s := range d.sidecars {
		for _, at := range []Millis{0, 300, 700, 1600} {
			d.schedule(Millis(400*n%2400)+at, func() {
				s.moveCount++
				s.received, s.faultsLeft, s.eventAt = false, faults, d.now
				s.b.SetNow(d.now)
				s.b.DiscoveryMoved()
			})
		}
	}
	return d.receiveDelays()
}

// endWatches ends the watches of all processes; the first call of each meets so many faults.
func (d *overloadedDiscovery) endWatches(faults int) []Millis {
	for n, s := range d.sidecars {
		d.schedule(Millis(11*n%100), func() {
			s.received, s.faultsLeft, s.eventAt = false, faults, d.now
			s.b.SetNow(d.now)
			s.b.WatchEnded(0, false)
		})
	}
	return d.receiveDelays()
}

func (d *overloadedDiscovery) receiveDelays() (delays []Millis) {
	d.runUntil(d.now + 30000)
	for _, s := range d.sidecars {
		if !s.received {
			s.receivedAt = d.now
		}
		delays = append(delays, s.receivedAt-s.eventAt)
	}
	return delays
}

// Discovery is one service for a whole fleet, with no more capacity than the fleet needs. Calls that a process makes for fear of a
// fault must not crowd out those of the others.
func TestAFleetReceivesItsListsInTimeFromADiscoveryAtCapacity(t *testing.T) {
	for _, c := range []struct {
		faults         int
		faultsCostWork bool    // discovery does the work of faulty answers too
		maxLateShare   float64 // share of the processes, at most
	}{{faults: 0}, {faults: 2}, {faults: 3}, {faults: 1, faultsCostWork: true, maxLateShare: 0.05}} {
		for _, fleet := range []int{6, 12, 30, 300} {
			late, all := 0, 0
			for seed := range uint64(max(1200/fleet/10, 4)) {
				d := newOverloadedDiscovery(fleet, seed)
				d.faultsCostWork = c.faultsCostWork
				for _, delay := range d.reconfigure(c.faults) {
					if all++; delay > 4500 {
						late++
					}
				}
				for _, delay := range d.endWatches(c.faults / 2) {
					if all++; delay > 6000 {
						late++
					}
				}
			}
			assert.LessOrEqual(t, float64(late)/float64(all), c.maxLateShare, "fleet of %d, %d faults, they cost work: %v", fleet, c.faults, c.faultsCostWork)
		}
	}
}
