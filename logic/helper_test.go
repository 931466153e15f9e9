package logic

import (
	"container/heap"
	"fmt"
	"strings"

	"github.com/stretchr/testify/assert"
)

// recorder is an Outgoing that records each call of the Balancer as one line of text.
type recorder struct{ lines []string }

func (r *recorder) add(f string, a ...any) { r.lines = append(r.lines, fmt.Sprintf(f, a...)) }

func (r *recorder) Send(x ExchangeID, to EndpointID, _ Millis) { r.add("send %s %s", x, to) }
func (r *recorder) Cancel(x ExchangeID, n LegNo)               { r.add("cancel %s %d", x, n) }
func (r *recorder) Shed(x ExchangeID, _ Reason, _ Millis)      { r.add("shed %s", x) }
func (r *recorder) Fail(x ExchangeID, _ Reason)                { r.add("fail %s", x) }
func (r *recorder) SetTimer(after Millis, t TimerID)           { r.add("timer %d %.4f", t, after) }
func (r *recorder) NotifyPeer(to PeerID, text []byte)          { r.add("notify %d %x", to, text) }
func (r *recorder) Probe(e EndpointID)                         { r.add("probe %s", e) }
func (r *recorder) Watch()                                     { r.add("watch") }
func (r *recorder) Note(line string)                           { r.add("note %s", line) }

// take returns the recorded lines that start with one of the prefixes, and discards all recorded lines.
func (r *recorder) take(prefixes ...string) []string {
	matched := []string{}
	for _, l := range r.lines {
		for _, w := range prefixes {
			if strings.HasPrefix(l, w) {
				matched = append(matched, l)
			}
		}
	}
	r.lines = nil
	return matched
}

// The products of newTestBalancer, named by their effects.
const (
	retryable            = ProductID(0)
	deduplicated         = ProductID(1) // repeats are dropped within one cell only
	singleUse            = ProductID(2)
	globallyDeduplicated = ProductID(3) // repeats are dropped by all endpoints
)

// newTestBalancer starts a Balancer with one endpoint for each letter of names, two endpoints to a cell.
func newTestBalancer(names string) (*Balancer, *recorder) {
	r := &recorder{}
	base := Product{Expected: 1000, Abandon: 4000, Value: 1, OverdueShare: 0.5, DedupMemory: 1000}
	products := []Product{base, base, base, base}
	products[0].Effect, products[1].Effect, products[3].Effect, products[3].Group = Retryable, Deduplicated, Deduplicated, AllEndpoints
	b := New(Terms{
		Seed: 7, Fleet: 2, Products: products, Tenants: []float64{0.5, 0.5}, OverShareValue: 0.1, MaxLegs: 3,
		MayHedge: true, MayCancel: true, PullList: true, AskWithin: 10000, ColdPeriod: 10000, FallWindow: 1000,
		ColdFrom: 0.1, FallMultiple: 3, TimerTick: 5,
	}, r, 1000)
	b.ListStarts()
	for n, name := range names {
		b.Listed(EndpointID(name), Running, 0, 0, CellID(n/2), 1, 0)
	}
	b.ListEnds(true)
	return b, r
}

// arrive hands an exchange to the Balancer and returns the endpoint of its leg, or "" if none was sent.
func arrive(b *Balancer, r *recorder, x ExchangeID, p ProductID) EndpointID {
	r.take()
	b.Arrive(x, p, -1, 0, b.now+4000, 0, false)
	return sentTo(r)
}

// sentTo returns the endpoint of the first recorded leg, or "" if there is none, and discards all recorded lines.
func sentTo(r *recorder) EndpointID {
	if got := r.take("send"); len(got) > 0 {
		return EndpointID(got[0][strings.LastIndex(got[0], " ")+1:])
	}
	return ""
}

// serve runs n exchanges one after the other, so that none has to wait in the queue. Each is answered after took.
func serve(b *Balancer, r *recorder, n int, took Millis) {
	for i := range n {
		x := ExchangeID(fmt.Sprintf("s%d-%d", b.latencyCount, i))
		arrive(b, r, x, retryable)
		b.SetNow(b.now + took)
		b.LegEnded(x, 0, Succeeded, took, true)
	}
	r.take()
}

// runUpkeep lets n upkeep intervals pass.
func runUpkeep(b *Balancer, n int) {
	for range n {
		b.SetNow(b.now + b.upkeepInterval)
		b.TimerFired(0)
	}
}

func assertClose(t assert.TestingT, want, got float64) { assert.InDelta(t, want, got, 1e-9) }

// serveWithKey runs exchange n with a key, answered in took, and returns the endpoint of its leg, or "" if none was
// sent.
func serveWithKey(b *Balancer, r *recorder, n int, key KeyID, took Millis) EndpointID {
	x := ExchangeID(fmt.Sprint(n))
	r.take()
	b.Arrive(x, retryable, -1, key, b.now+4000, 0, false)
	to := sentTo(r)
	b.LegEnded(x, 0, Succeeded, took, true)
	return to
}

// eventQueue is a simulated clock that runs scheduled functions in the order of their times.
type eventQueue struct {
	now    Millis
	events eventHeap
	seq    int
}

type scheduledEvent struct {
	at  Millis
	seq int // order of scheduling, which decides between events of the same time
	run func()
}

type eventHeap []scheduledEvent

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *eventHeap) Push(x any) { *e = append(*e, x.(scheduledEvent)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// schedule runs a function once delay has passed.
func (q *eventQueue) schedule(delay Millis, run func()) {
	q.seq++
	heap.Push(&q.events, scheduledEvent{q.now + max(delay, 0), q.seq, run})
}

// runUntil runs the events that are due before end, and sets the clock to end.
func (q *eventQueue) runUntil(end Millis) {
	for len(q.events) > 0 && q.events[0].at < end {
		e := heap.Pop(&q.events).(scheduledEvent)
		q.now = e.at
		e.run()
	}
	q.now = end
}
