package logic

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The places of exchanges, their timers, and chance. Nothing is decided here: a place keeps in next the step that does.

type leg struct {
	to                                                   *endpoint
	sentAt                                               Millis
	work, workAhead                                      float64 // its work, in mean legs; with what was there when it was sent
	ended, neverRan, late, lost, transferOnly, streaming bool    // quiet: no work for its endpoint now, in transfer only
}

type eventKind int

const (
	legEnded eventKind = iota
	hedgeDue
	waitExpired
	clientLeft
	streamBegan
	timeExpired
)

type stepEvent struct {
	kind    eventKind
	outcome Outcome
	closed  bool
}

type step func(b *Balancer, x *exchange, r stepEvent)

// exchange is a place of the slab; its turn tells one user of the place from the next.
type exchange struct {
	id                        ExchangeID
	slot, legsInFlight        int
	generation                uint32
	next                      step
	product                   *product
	tenant                    TenantID
	key                       KeyID
	work                      float64 // of work, by its hint
	deadline                  Millis  // after it no answer is worth anything
	abandonAt                 Millis  // after it nobody waits for one
	legs                      []leg
	probedAt                  Millis      // when some endpoints were asked for their loads; 0: never
	candidates                []*endpoint // those
	otherZones                bool        // endpoints of other zones are asked too
	overdue, answered         bool        // a leg is out for too long; it has its answer
	incomplete, bodyDiscarded bool        // its request has not come whole; nor can it be sent again: what its leg took was not kept
}

func (b *Balancer) acquireSlot() *exchange {
	last := len(b.freeSlots) - 1
	if last < 0 {
		b.slots = append(b.slots, &exchange{slot: len(b.slots), legs: make([]leg, 0, b.maxLegs)})
		return b.slots[len(b.slots)-1]
	}
	x := b.freeSlots[last]
	b.freeSlots = b.freeSlots[:last]
	return x
}

// vacate frees a place once nothing can come for it but late timers, which the turn tells apart.
func (b *Balancer) releaseSlot(x *exchange) {
	delete(b.exchanges, x.id)
	x.generation, x.legs, x.next, x.id = x.generation+1, x.legs[:0], nil, ""
	b.freeSlots = append(b.freeSlots, x)
}

func (b *Balancer) setExchangeTimer(x *exchange, after Millis, kind eventKind) {
	b.SetTimer(after, TimerID(x.slot)<<40|TimerID(x.generation)<<8|TimerID(kind)<<4|2)
}

// chance is a multiply-with-carry generator's next number, from 0 to 1 exclusive.
func (b *Balancer) random() float64 {
	b.rng = (b.rng&0xffffffff)*4294957665 + b.rng>>32
	return (float64(uint32(b.rng)) + 0.5) / (1 << 32)
}

func (b *Balancer) drawGamma(k int) float64 {
	p := 1.0
	for ; k > 0; k-- {
		p *= b.random()
	}
	return -math.Log(p)
}

// ration counts legs beyond the first against the exchanges taken, within a window that slides.
type legBudget struct {
	free, ratio            float64
	window                 Millis // 0: not bounded
	exchanges, furtherLegs tally
}

// forget lets go of what has left the window, though nobody asks.
func (r *legBudget) expire(now Millis) {
	r.exchanges.since(now-r.window, false)
	r.furtherLegs.since(now-r.window, true)
}

// tally is a sum of events by their times, oldest first.
type tally struct {
	times  []Millis
	counts []float64
	total  float64
}

func (t *tally) add(at Millis, n float64) {
	i, found := slices.BinarySearch(t.times, at)
	if !found && n > 0 {
		t.times, t.counts = slices.Insert(t.times, i, at), slices.Insert(t.counts, i, 0)
		found = true
	}
	if found {
		t.counts[i], t.total = t.counts[i]+n, t.total+n
	}
}

// since forgets what is older, and what is just as old unless it counts still.
func (t *tally) since(from Millis, inclusive bool) float64 {
	i, found := slices.BinarySearch(t.times, from)
	if found && !inclusive {
		i++
	}
	for _, n := range t.counts[:i] {
		t.total -= n
	}
	t.times, t.counts = slices.Delete(t.times, 0, i), slices.Delete(t.counts, 0, i)
	return t.total
}

// KeyOf is the hash by which all sidecars know a key or an endpoint alike; it is never 0.
func KeyOf(text []byte) KeyID { return KeyID(max(xxhash.Sum64(text), 1)) }

// chanceOf is a number from 0 to 1 exclusive, the same at every sidecar.
func hashDraw(key, salt KeyID) float64 {
	return (float64(uint32(scramble(uint64(key)^uint64(salt))>>32)) + 0.5) / (1 << 32)
}
