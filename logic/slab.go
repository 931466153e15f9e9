package logic

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The slab of exchanges, whose slots are used again; their timers; random numbers; and the budget of further legs. Nothing
// is decided here: each exchange has in next the function of its state, which decides.

// leg is one attempt at an endpoint.
type leg struct {
	to           *endpoint
	zone         ZoneID  // of the endpoint when the leg was sent; the list may move it
	cell         CellID  // the same
	sentAt       Millis  // or when the last byte of the request was written, if that was later
	work         float64 // in units of the mean leg's
	workAhead    float64 // work that was at the endpoint when it was sent, with its own
	ended        bool
	neverRan     bool // ended without having run at the endpoint
	late         bool // counted as late
	lost         bool // counted as lost
	transferOnly bool // only transfers bytes now, which is no work for the endpoint
	streaming    bool // its answer is being streamed to the client
}

// eventKind is what happened to an exchange. It is part of a TimerID.
type eventKind int

const (
	legEnded    eventKind = iota
	hedgeDue              // timer: the hedge delay is over
	waitExpired           // timer: the time in the queue, or that for load reports, is over
	clientLeft
	streamBegan
	timeExpired // timer: the deadline is reached
)

// stepEvent is an event for an exchange.
type stepEvent struct {
	kind    eventKind
	outcome Outcome // of legEnded
	closed  bool    // of legEnded: the client has its answer
}

// step is a state of an exchange: it handles the next event.
type step func(b *Balancer, x *exchange, r stepEvent)

// exchange is one client request, in a slot of the slab.
type exchange struct {
	id            ExchangeID
	slot          int // index in Balancer.slots
	legsInFlight  int
	generation    uint32 // tells the exchanges that use a slot one after another apart
	next          step   // state; nil while the slot is free
	product       *product
	tenant        TenantID
	key           KeyID
	work          float64 // by the client's hint, in units of the mean leg's; 1 without a hint
	deadline      Millis  // time after which an answer is worth nothing
	abandonAt     Millis  // time after which the client no longer waits
	legs          []leg
	probedAt      Millis      // when the candidates were probed; 0 for never
	candidates    []*endpoint // endpoints whose load reports are awaited
	otherZones    bool        // candidates of other zones were probed too
	overdue       bool        // a leg takes too long
	answered      bool        // it has its final answer
	incomplete    bool        // its request has not come whole
	bodyDiscarded bool        // the part of its request that was sent is no longer buffered, so that no further leg can be sent
}

// acquireSlot returns a free slot, a new one if there is none.
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

// releaseSlot frees an exchange's slot. Only timers can still fire for it then, which the generation tells apart.
func (b *Balancer) releaseSlot(x *exchange) {
	delete(b.exchanges, x.id)
	x.generation, x.legs, x.next, x.id = x.generation+1, x.legs[:0], nil, ""
	b.freeSlots = append(b.freeSlots, x)
}

// setExchangeTimer sets a timer of an exchange. From the highest bits the TimerID is the slot, 32 bits of generation, 4 of
// event kind and 4 with the value 2.
func (b *Balancer) setExchangeTimer(x *exchange, after Millis, kind eventKind) {
	b.SetTimer(after, TimerID(x.slot)<<40|TimerID(x.generation)<<8|TimerID(kind)<<4|2)
}

// random returns the next number of a multiply-with-carry generator, from 0 to 1, both exclusive.
func (b *Balancer) random() float64 {
	b.rng = (b.rng&0xffffffff)*4294957665 + b.rng>>32
	return (float64(uint32(b.rng)) + 0.5) / (1 << 32)
}

// drawGamma draws from a gamma distribution of integer shape k: the sum of k exponential draws.
func (b *Balancer) drawGamma(k int) float64 {
	p := 1.0
	for ; k > 0; k-- {
		p *= b.random()
	}
	return -math.Log(p)
}

// legBudget bounds the legs beyond each exchange's first, hedges and retries, by the exchanges taken within a sliding
// window.
type legBudget struct {
	free        float64 // further legs allowed in any case
	ratio       float64 // more of them for each exchange
	window      Millis  // 0 where not bounded
	exchanges   tally
	furtherLegs tally
}

// expire drops what has left the window, which allows does only when it is called.
func (r *legBudget) expire(now Millis) {
	r.exchanges.since(now-r.window, false)
	r.furtherLegs.since(now-r.window, true)
}

// tally counts events by their times, oldest first.
type tally struct {
	times  []Millis
	counts []float64 // at each of the times
	total  float64   // of the counts
}

// add counts n events. A negative n takes back events of that time, if they are still counted.
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

// since drops the events before a time and returns the number of the others. Events at that very time stay if inclusive.
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

// KeyOf is the hash of a key or an endpoint's id, the same at every sidecar. It is never 0, which stands for no key.
func KeyOf(text []byte) KeyID { return KeyID(max(xxhash.Sum64(text), 1)) }

// hashDraw is a pseudo-random number from 0 to 1, both exclusive, the same at every sidecar.
func hashDraw(key, salt KeyID) float64 {
	return (float64(uint32(scramble(uint64(key)^uint64(salt))>>32)) + 0.5) / (1 << 32)
}
