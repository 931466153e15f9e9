package logic

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The places of exchanges, their timers, and chance. Nothing is decided here: a place keeps in next the step that does.

type leg struct {
	to                                          *endpoint
	sent                                        Millis
	units, ahead                                float64 // its work, in mean legs; with what was there when it was sent
	ended, neverRan, late, lost, quiet, streams bool    // quiet: no work for its endpoint now, in transfer only
}

type what int

const (
	legEnded what = iota
	copyDue
	waitOver
	clientLeft
	streamBegan
	timeOver
)

type result struct {
	what    what
	outcome Outcome
	closed  bool
}

type step func(b *Balancer, x *exchange, r result)

// exchange is a place of the slab; its turn tells one user of the place from the next.
type exchange struct {
	id            ExchangeID
	place, out    int
	turn          uint32
	next          step
	product       *product
	tenant        TenantID
	key           KeyID
	units         float64 // of work, by its hint
	horizon       Millis  // after it no answer is worth anything
	abandon       Millis  // after it nobody waits for one
	legs          []leg
	asked         Millis      // when some endpoints were asked for their loads; 0: never
	few           []*endpoint // those
	spills        bool        // endpoints of other zones are asked too
	silent, over  bool        // a leg is out for too long; it has its answer
	coming, spent bool        // its request has not come whole; nor can it be sent again: what its leg took was not kept
}

func (b *Balancer) seat() *exchange {
	last := len(b.free) - 1
	if last < 0 {
		b.places = append(b.places, &exchange{place: len(b.places), legs: make([]leg, 0, b.maxLegs)})
		return b.places[len(b.places)-1]
	}
	x := b.free[last]
	b.free = b.free[:last]
	return x
}

// vacate frees a place once nothing can come for it but late timers, which the turn tells apart.
func (b *Balancer) vacate(x *exchange) {
	delete(b.open, x.id)
	x.turn, x.legs, x.next, x.id = x.turn+1, x.legs[:0], nil, ""
	b.free = append(b.free, x)
}

func (b *Balancer) wakeFor(x *exchange, after Millis, w what) {
	b.Wake(after, TimerID(x.place)<<40|TimerID(x.turn)<<8|TimerID(w)<<4|2)
}

// chance is a multiply-with-carry generator's next number, from 0 to 1 exclusive.
func (b *Balancer) chance() float64 {
	b.dice = (b.dice&0xffffffff)*4294957665 + b.dice>>32
	return (float64(uint32(b.dice)) + 0.5) / (1 << 32)
}

func (b *Balancer) gamma(k int) float64 {
	p := 1.0
	for ; k > 0; k-- {
		p *= b.chance()
	}
	return -math.Log(p)
}

// ration counts legs beyond the first against the exchanges taken, within a window that slides.
type ration struct {
	free, ratio    float64
	over           Millis // 0: not bounded
	taken, further tally
}

// forget lets go of what has left the window, though nobody asks.
func (r *ration) forget(now Millis) {
	r.taken.since(now-r.over, false)
	r.further.since(now-r.over, true)
}

// tally is a sum of events by their times, oldest first.
type tally struct {
	at    []Millis
	n     []float64
	total float64
}

func (t *tally) add(at Millis, n float64) {
	i, found := slices.BinarySearch(t.at, at)
	if !found && n > 0 {
		t.at, t.n = slices.Insert(t.at, i, at), slices.Insert(t.n, i, 0)
		found = true
	}
	if found {
		t.n[i], t.total = t.n[i]+n, t.total+n
	}
}

// since forgets what is older, and what is just as old unless it counts still.
func (t *tally) since(from Millis, still bool) float64 {
	i, found := slices.BinarySearch(t.at, from)
	if found && !still {
		i++
	}
	for _, n := range t.n[:i] {
		t.total -= n
	}
	t.at, t.n = slices.Delete(t.at, 0, i), slices.Delete(t.n, 0, i)
	return t.total
}

// KeyOf is the hash by which all sidecars know a key or an endpoint alike; it is never 0.
func KeyOf(text []byte) KeyID { return KeyID(max(xxhash.Sum64(text), 1)) }

// chanceOf is a number from 0 to 1 exclusive, the same at every sidecar.
func chanceOf(k, name KeyID) float64 {
	return (float64(uint32(stir(uint64(k)^uint64(name))>>32)) + 0.5) / (1 << 32)
}
