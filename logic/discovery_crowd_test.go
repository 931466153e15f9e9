package logic

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// crowdedDiscovery answers calls in turn and does the work of those that were given up too. It refuses at once what would wait
// for longer than its patience.
type crowdedDiscovery struct {
	eventQueue
	free      Millis // when its queue is done
	work      Millis // of a call
	patience  Millis
	sidecars  []*crowdSidecar
	faultWork bool // faulty answers cost their work too
}

// crowdSidecar is one of its callers.
type crowdSidecar struct {
	Outgoing
	d       *crowdedDiscovery
	b       *Balancer
	draw    *rand.Rand
	moves   int
	faulty  int // calls to come that meet a fault
	heard   bool
	heardAt Millis
	since   Millis // of the event after which it has to hear a list
}

func (s *crowdSidecar) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		s.d.schedule(after, func() { s.b.SetNow(s.d.now); s.b.TimerFired(1) })
	}
}

func (s *crowdSidecar) fail(moves int, pause Millis) {
	s.d.schedule(pause, func() {
		if moves == s.moves && !s.heard {
			s.b.SetNow(s.d.now)
			s.b.ListFailed()
		}
	})
}

func (s *crowdSidecar) Watch() {
	d, began, moves := s.d, s.d.now, s.moves
	if s.faulty > 0 {
		s.faulty--
		if d.faultWork {
			d.free = max(d.free, d.now) + d.work
		}
		s.fail(moves, []Millis{2, 2, 4000, 600, 3}[s.draw.IntN(5)])
		return
	}
	if d.free-d.now > d.patience {
		s.fail(moves, 2)
		return
	}
	d.free = max(d.free, d.now) + d.work
	d.schedule(d.free-d.now, func() {
		if s.heard || d.now-began > 4000 {
			return
		}
		s.b.SetNow(d.now)
		s.b.ListEnds(false)
		if moves == s.moves { // an earlier discovery's list is taken, but it is no end of the calls
			s.heard, s.heardAt = true, d.now
			s.b.ListHeard(d.now - began)
		}
	})
	s.fail(moves, 4000)
}

func newCrowd(fleet int, seed uint64) *crowdedDiscovery {
	d := &crowdedDiscovery{eventQueue: eventQueue{now: 1000}, work: Millis(1640 / float64(fleet)), patience: 3000}
	for n := range fleet {
		s := &crowdSidecar{Outgoing: discardOutgoing{}, d: d, draw: rand.New(rand.NewPCG(seed, uint64(n)))}
		s.b = New(Terms{Seed: seed<<10 + uint64(n), Fleet: fleet, PullList: true, AskWithin: 10000, MaxListWait: 1200,
			Notified: NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}}, s, d.now)
		d.sidecars = append(d.sidecars, s)
	}
	d.runUntil(30000)
	return d
}

// reconfigure has every process get four new configurations within 1.6 s, each with a discovery whose first answers are faulty;
// it returns how long after the last of them each heard a list.
func (d *crowdedDiscovery) reconfigure(faults int) (took []Millis) {
	for n, s := range d.sidecars {
		for _, at := range []Millis{0, 300, 700, 1600} {
			d.schedule(Millis(400*n%2400)+at, func() {
				s.moves++
				s.heard, s.faulty, s.since = false, faults, d.now
				s.b.SetNow(d.now)
				s.b.ListMoved()
			})
		}
	}
	return d.heardAfter()
}

// endWatches ends the watches of all processes; the first call of each meets so many faults.
func (d *crowdedDiscovery) endWatches(faults int) []Millis {
	for n, s := range d.sidecars {
		d.schedule(Millis(11*n%100), func() {
			s.heard, s.faulty, s.since = false, faults, d.now
			s.b.SetNow(d.now)
			s.b.ListLost(0, false)
		})
	}
	return d.heardAfter()
}

func (d *crowdedDiscovery) heardAfter() (took []Millis) {
	d.runUntil(d.now + 30000)
	for _, s := range d.sidecars {
		if !s.heard {
			s.heardAt = d.now
		}
		took = append(took, s.heardAt-s.since)
	}
	return took
}

// Discovery is one service for a whole fleet, with no more capacity than the fleet needs. Calls that a process makes for fear of a
// fault must not crowd out those of the others.
func TestAWholeFleetHearsItsListsInTime(t *testing.T) {
	for _, c := range []struct {
		faults    int
		faultWork bool    // discovery does the work of faulty answers too
		late      float64 // share of the processes, at most
	}{{faults: 0}, {faults: 2}, {faults: 3}, {faults: 1, faultWork: true, late: 0.05}} {
		for _, fleet := range []int{6, 12, 30, 300} {
			late, all := 0, 0
			for seed := range uint64(max(1200/fleet/10, 4)) {
				d := newCrowd(fleet, seed)
				d.faultWork = c.faultWork
				for _, took := range d.reconfigure(c.faults) {
					if all++; took > 4500 {
						late++
					}
				}
				for _, took := range d.endWatches(c.faults / 2) {
					if all++; took > 6000 {
						late++
					}
				}
			}
			assert.LessOrEqual(t, float64(late)/float64(all), c.late, "fleet of %d, %d faults, they cost work: %v", fleet, c.faults, c.faultWork)
		}
	}
}
