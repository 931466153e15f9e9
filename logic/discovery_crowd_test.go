package logic

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// overloadedDiscovery simulates a discovery service that answers calls in order and also does the work of abandoned ones. It
// refuses at once a call that would wait longer than maxWait.
type overloadedDiscovery struct {
	eventQueue
	busyUntil      Millis // when the work of all queued calls is done
	work           Millis // work of one call
	maxWait        Millis
	sidecars       []*overloadSidecar
	faultsCostWork bool // faulty answers cost work too
}

// overloadSidecar is one of the callers of an overloadedDiscovery.
type overloadSidecar struct {
	Outgoing
	d          *overloadedDiscovery
	b          *Balancer
	rng        *rand.Rand
	moveCount  int // new configurations so far
	faultsLeft int // number of next calls that meet a fault
	received   bool
	receivedAt Millis
	eventAt    Millis // when the event happened after which a list has to be received
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
		if moveCount == s.moveCount { // the list of an earlier discovery is used, but the calls go on
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

// reconfigure sends every process four new configurations within 1.6 s, each of a discovery service whose first answers are
// faulty. It returns how long after the last configuration each process received a list.
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

// endWatches ends the watches of all processes; the first calls of each meet the given number of faults. It returns how long
// after the end of its watch each process received a list.
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

// Discovery is one service for the whole fleet, with no more capacity than the fleet needs. The calls that a process makes in case
// an open one is lost must not displace the calls of the other processes.
func TestAFleetReceivesItsListsInTimeFromADiscoveryAtCapacity(t *testing.T) {
	for _, c := range []struct {
		faults         int
		faultsCostWork bool    // faulty answers cost discovery work too
		maxLateShare   float64 // highest allowed share of late processes
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
			assert.LessOrEqual(t, float64(late)/float64(all), c.maxLateShare, "fleet of %d, %d faults, faults cost work: %v", fleet, c.faults, c.faultsCostWork)
		}
	}
}
