package logic

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// newPoolBalancer starts one sidecar, by its number, of a fleet whose sidecars share endpoints and notify each other of
// their legs.
func newPoolBalancer(sidecar, fleet, endpoints int) (*Balancer, *recorder) {
	r := &recorder{}
	b := New(Terms{
		Seed: uint64(sidecar + 1), Fleet: fleet, SidecarNumber: PeerID(sidecar), Peers: true, MaxLegs: 3, MayHedge: true, MayCancel: true,
		Products:   []Product{{Effect: Retryable, Expected: 1000, Abandon: 4000, Value: 1}},
		ColdPeriod: 10000, FallWindow: 1000, ColdFrom: 0.1, FallMultiple: 3, TimerTick: 5,
	}, r, 1000)
	b.ListStarts()
	for n := range endpoints {
		b.Listed(EndpointID(fmt.Sprintf("e%d", n)), Running, ZoneID(n%2), 0, 0, 1, 0)
	}
	b.ListEnds(true)
	return b, r
}

// Guards against hundreds of sidecars that exhaust the connections which endpoints accept, when the number of sidecars
// that share an endpoint has no bound (scenario addis-roster: 59% of legs got no connection). If subsets were left to
// chance alone, some sidecars would have no endpoint at all.
func TestPoolLimitsSidecarsPerEndpoint(t *testing.T) {
	used := map[EndpointID]int{}
	least := math.MaxInt
	for sidecar := range 400 {
		b, _ := newPoolBalancer(sidecar, 400, 200)
		for _, e := range b.ready {
			used[e.id]++
		}
		least = min(least, len(b.ready))
	}
	assert.Len(t, used, 200)
	assert.GreaterOrEqual(t, least, minSubsetSize)
	for id, n := range used {
		assert.LessOrEqual(t, n, 2*peersPerEndpoint, id)
		assert.GreaterOrEqual(t, n, peersPerEndpoint/2, id)
	}
}

// Legs in flight of another sidecar must count like the sidecar's own. Otherwise each chooses without knowing of the
// others' legs, and some endpoints are overloaded.
func TestPoolCountsLegsReportedByPeers(t *testing.T) {
	a, ra := newPoolBalancer(0, 2, 2)
	b, rb := newPoolBalancer(1, 2, 2)
	for n := range 40 {
		x := ExchangeID(fmt.Sprint(n))
		ra.take()
		a.Arrive(x, 0, -1, 0, a.now+4000, 0, false)
		messages := deliverMessages(t, ra, b)
		assert.Equal(t, 1, messages)
		to := a.exchanges[x].legs[0].to.id
		assert.NotEqual(t, to, arrive(b, rb, x, 0), "the other endpoint is idle")
		a.LegEnded(x, 0, Succeeded, 50, true)
		deliverMessages(t, ra, b)
		assertClose(t, 0, b.byID[to].peerWork)
		b.LegEnded(x, 0, Succeeded, 50, true)
	}
}

// deliverMessages hands b the messages that the other sidecar sent to it, and returns their number.
func deliverMessages(t *testing.T, r *recorder, b *Balancer) (n int) {
	for _, l := range r.take("notify") {
		var to int
		var text []byte
		_, err := fmt.Sscanf(l, "notify %d %x", &to, &text)
		assert.NoError(t, err)
		if PeerID(to) == b.self {
			b.PeerMessage(1-b.self, text)
			n++
		}
	}
	return n
}

// Messages of peers are lost, delayed, duplicated or corrupted: none of this may leave work counted that does not
// exist.
func TestPeerMessagesTolerateLossAndCorruption(t *testing.T) {
	wireID := wireIDOf("e0")
	message := func(seq, work byte) []byte {
		return []byte{byte(wireID >> 8), byte(wireID), seq, work, 0, 0, 0, 0, 0, 0, 0}
	}
	for _, c := range []struct {
		name     string
		from     PeerID
		messages [][]byte
		want     float64
	}{
		{"one leg", 1, [][]byte{message(1, 4)}, 1},
		{"the latest counts", 1, [][]byte{message(1, 4), message(2, 12)}, 3},
		{"out of order", 1, [][]byte{message(2, 12), message(1, 4)}, 3},
		{"twice", 1, [][]byte{message(1, 4), message(1, 4)}, 1},
		{"sequence numbers wrap", 1, [][]byte{message(120, 4), message(240, 4), message(3, 8)}, 2},
		{"too short", 1, [][]byte{message(1, 4)[:10]}, 0},
		{"too long", 1, [][]byte{append(message(1, 4), 0)}, 0},
		{"empty", 1, [][]byte{nil}, 0},
		{"unknown endpoint", 1, [][]byte{{0, 0, 1, 4, 0, 0, 0, 0, 0, 0, 0}}, 0},
		{"from ourselves", 0, [][]byte{message(1, 4)}, 0},
		{"invalid outcome", 1, [][]byte{{byte(wireID >> 8), byte(wireID), 1, 4, 9, 0, 0, 0, 0, 0, 0}}, 0},
		{"negative sender", -1, [][]byte{message(1, 4)}, 0},
	} {
		b, _ := newPoolBalancer(0, 2, 2)
		for _, text := range c.messages {
			b.PeerMessage(c.from, text)
		}
		assertClose(t, c.want, b.byID["e0"].peerWork)
		runUpkeep(b, 11) // more than the longest expected time: the sender is gone, or its last message was lost
		assertClose(t, 0, b.byID["e0"].peerWork)
		assert.Equal(t, 0.0, b.byID["e1"].peerWork, c.name)
	}
	b, _ := newTestBalancer("a")
	b.PeerMessage(1, message(1, 4)) // ignored without a pool
}

// serveWithCost runs n exchanges with a cost hint one after the other, each answered after took.
func serveWithCost(b *Balancer, n int, took Millis, cost float64) {
	for i := range n {
		x := ExchangeID(fmt.Sprintf("a%d-%d", b.latencyCount, i))
		b.Arrive(x, 0, -1, 0, b.now+4000, cost, false)
		b.SetNow(b.now + took)
		b.LegEnded(x, 0, Succeeded, took, true)
	}
}

// Guards against taking an endpoint that needs long for a single exchange for overloaded: two cores got one leg between
// them.
func TestPoolLimitsLegsByEndpointLatency(t *testing.T) {
	for _, c := range []struct {
		name string
		took Millis
		most int
	}{
		{"quick", 40, 4}, {"slow, not overloaded", 200, 2}, {"so slow that no leg may wait there", 400, 1},
	} {
		b, r := newPoolBalancer(0, 2, 1)
		serveWithCost(b, 200, c.took, 0)
		sent := 0
		for n := range 12 {
			if arrive(b, r, ExchangeID(fmt.Sprint(n)), 0) != "" {
				sent++
			}
		}
		assert.LessOrEqual(t, sent, c.most+1, c.name)
		assert.GreaterOrEqual(t, sent, c.most-1, c.name)
		assert.GreaterOrEqual(t, sent, 1, c.name)
	}
}

// Guards against longer queues being accepted as normal when all endpoints slow down together: that kept them
// overloaded for half a minute.
func TestSharedSlowdownRaisesUnloadedLatencySlowly(t *testing.T) {
	b, _ := newPoolBalancer(0, 2, 1)
	serveWithCost(b, 200, 50, 0)
	before := b.unloadedLatency
	serveWithCost(b, 20, 300, 0)
	assert.Less(t, b.unloadedLatency, before*1.6)
	serveWithCost(b, 200, 50, 0)
	assert.InDelta(t, before, b.unloadedLatency, before*0.2, "falls without delay")
}

// Guards against a reported leg with next to no work ahead of it: it made the unloaded latency infinite, then NaN, and
// every leg was admitted.
func TestLegsOfTinyWorkKeepLatenciesFinite(t *testing.T) {
	b, r := newPoolBalancer(0, 2, 2)
	wireID := wireIDOf("e0")
	for seq := range 200 {
		b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), byte(seq), 0, byte(Succeeded), 0, 0, 1, 0, 0, 0})
		serveWithCost(b, 1, 50, 0.001)
		serveWithCost(b, 1, 50, 100)
	}
	e := b.byID["e0"]
	for _, f := range []float64{b.unloadedLatency, e.latencySum, e.workSum, e.latencySum / e.workSum, b.unitCapacity, b.typicalLatency} {
		assert.False(t, math.IsNaN(f) || math.IsInf(f, 0) || f <= 0, f)
	}
	sent := 0
	for n := range 50 {
		if arrive(b, r, ExchangeID(fmt.Sprint("n", n)), 0) != "" {
			sent++
		}
	}
	assert.Less(t, sent, 50, "not all are sent")
}

// A heavy exchange must not make its endpoint look slow, and must count with its whole work at the other sidecars.
func TestCostHintsWeighLegs(t *testing.T) {
	a, ra := newPoolBalancer(0, 2, 2)
	b, _ := newPoolBalancer(1, 2, 2)
	for range 50 {
		serveWithCost(a, 1, 50, 10)
		serveWithCost(b, 1, 50, 10)
		ra.take()
	}
	for id, e := range a.byID {
		e.latencySum, e.workSum, b.byID[id].latencySum, b.byID[id].workSum = 50, 1, 50, 1
	}
	a.Arrive("heavy", 0, -1, 0, a.now+4000, 100, false)
	to := a.exchanges["heavy"].legs[0].to.id
	deliverMessages(t, ra, b)
	assert.Greater(t, b.byID[to].peerWork, 4.0)
	for n := range 2 {
		x := ExchangeID(fmt.Sprint("l", n))
		b.Arrive(x, 0, -1, 0, b.now+4000, 10, false)
		assert.NotEqual(t, to, b.exchanges[x].legs[0].to.id)
	}
}

// A cold endpoint's token budget must be shared by the sidecars that use it. With a budget each, they would overload it
// together; with budgets by what each sends itself, a fleet's new endpoints stayed idle while the old ones were full.
func TestColdBudgetIsSharedByThePool(t *testing.T) {
	b, r := newPoolBalancer(0, 2, 1)
	serveWithCost(b, 200, 50, 0)
	b.Listed("e9", Running, 0, 0, 0, 1, b.now)
	b.ListEnds(false)
	e := b.byID["e9"]
	wireID := e.wireID
	if b.subsetOrder(e) > 0 {
		t.Fatal("two sidecars must share every endpoint")
	}
	before := e.coldTokens
	b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), 0, 4, byte(Unknown), 0, 4, 0, 0, 4, 0})
	assertClose(t, before-1, e.coldTokens)
	start := b.now
	sent, reported := 0, 0
	for n := 0; b.now < start+1000; n++ {
		if n%2 == 0 && b.maySend(&exchange{product: &b.products[0], work: 1, deadline: b.now + 1000}, e) {
			b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), byte(reported + 1), 4, byte(Unknown), 0, 4, 0, 0, 4, 0})
			reported++
		}
		b.byID["e0"].weight = 0.001
		if x := ExchangeID(fmt.Sprint("c", n)); arrive(b, r, x, 0) == "e9" {
			sent++
			b.SetNow(b.now + 1)
			b.LegEnded(x, 0, Succeeded, 50, true)
		} else if b.exchanges[x] != nil {
			b.ClientLeft(x)
		}
		b.SetNow(b.now + 5)
		if n%40 == 0 {
			b.TimerFired(0)
		}
	}
	// A warm endpoint serves 20 a second, a cold one 0.1 of that at first. Three times that is the limit: 6, and a little
	// more as it warms up.
	assert.LessOrEqual(t, sent+reported, 9)
	assert.GreaterOrEqual(t, sent+reported, 2)
}

// When value is paid for each unit of work, products must rank by that value alone: dividing it by the work of an
// exchange, as values per exchange are, would not put the most valuable product first.
func TestRankByValuePerUnitOfWork(t *testing.T) {
	for byWork, first := range map[bool]ProductID{true: 1, false: 0} {
		b := New(Terms{Fleet: 1, MaxLegs: 1, ByWork: byWork, Products: []Product{
			{Expected: 400, Value: 2}, {Expected: 4000, Value: 5},
		}}, &recorder{}, 0)
		light, heavy := b.rank(&exchange{product: &b.products[0], tenant: -1}), b.rank(&exchange{product: &b.products[1], tenant: -1})
		assert.Equal(t, first == 1, heavy > light)
	}
}

// A tenant beyond its share must be recognized by the exchanges of all sidecars that share an endpoint, not by the few
// of one sidecar.
func TestTenantSharesCountExchangesOfPeers(t *testing.T) {
	b, _ := newPoolBalancer(0, 2, 2)
	b.tenantShares, b.admitted, b.overShareValue = []float64{0.5, 0.5}, make([]float64, 2), 0.05
	wireID := wireIDOf("e0")
	x := &exchange{product: &b.products[0], tenant: 1}
	within := b.rank(x)
	for seq := range 20 {
		b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), byte(seq + 1), 4, byte(Unknown), 0, 4, 0, 0, 4, 2})
	}
	assertClose(t, within*0.05, b.rank(x))
	b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), 30, 4, byte(Unknown), 0, 4, 0, 0, 4, 200}) // an unknown tenant
	assertClose(t, 20, b.admittedTotal)
}

// Guards against sidecars that overload a cold endpoint together because they do not know of all legs there: messages
// are lost, and sidecars that use the endpoint only to fill up their subsets get no messages. Each of the latter once
// had the whole budget and shared it with no other.
func TestColdBudgetHoldsWhenMessagesAreLost(t *testing.T) {
	const fleet, took = 40, Millis(50)
	for _, lostOneIn := range []int{0, 4, 2} { // one message in so many is lost, 0 for none
		pool, recorders := make([]*Balancer, fleet), make([]*recorder, fleet)
		for sidecar := range pool {
			pool[sidecar], recorders[sidecar] = newPoolBalancer(sidecar, fleet, 1)
			serveWithCost(pool[sidecar], 200, took, 0)
			pool[sidecar].Listed("cold", Running, 0, 0, 0, 1, pool[sidecar].now)
			pool[sidecar].ListEnds(false)
			recorders[sidecar].take()
		}
		start, messages := pool[0].now, 0
		sent := []Millis{}
		ends := map[Millis][]func(){}
		busyUntil := map[EndpointID]Millis{}
		deliver := func(sidecar int) {
			for _, l := range recorders[sidecar].take("notify", "send") {
				var to int
				var text []byte
				if n, _ := fmt.Sscanf(l, "notify %d %x", &to, &text); n == 2 {
					if messages++; lostOneIn == 0 || messages*7919%1000 >= 1000/lostOneIn {
						pool[to].SetNow(pool[sidecar].now)
						pool[to].PeerMessage(PeerID(sidecar), text)
					}
				} else if l[len(l)-4:] == "cold" {
					sent = append(sent, pool[sidecar].now)
				}
			}
		}
		for n := Millis(0); n < 6000; n += 10 {
			sidecar := int(n/10) % fleet
			b, now := pool[sidecar], start+n
			for _, end := range ends[now] {
				end()
			}
			b.SetNow(now)
			for p := range pool {
				if int(n)%200 == 0 {
					pool[p].SetNow(now)
					pool[p].TimerFired(0)
					deliver(p)
				}
			}
			x := ExchangeID(fmt.Sprint("x", n))
			b.Arrive(x, 0, -1, 0, now+4000, 0, false)
			if b.exchanges[x] != nil && len(b.exchanges[x].legs) > 0 { // one core serves legs in order, slower while cold
				to, work := b.exchanges[x].legs[0].to.id, took
				if to == "cold" {
					work = Millis(float64(took) / (0.1 + 0.9*float64(n)/10000))
				}
				busyUntil[to] = max(busyUntil[to], now) + work
				end := now + Millis(math.Ceil(float64(busyUntil[to]-now)/10)*10)
				ends[end] = append(ends[end], func() {
					b.SetNow(end)
					b.LegEnded(x, 0, Succeeded, end-now, true)
					deliver(sidecar)
				})
			} else if b.exchanges[x] != nil {
				b.ClientLeft(x)
			}
			deliver(sidecar)
		}
		assert.Greater(t, len(sent), 5)
		for i, from := range sent { // in any fall window; a cold endpoint serves 0.1 of 20 a second at first
			count := 0
			for _, at := range sent[i:] {
				if at < from+1000 {
					count++
				}
			}
			limit := 3 * (0.1 + 0.9*float64(from-start+500)/10000) * 20
			assert.LessOrEqual(t, float64(count), limit+2, "one in %d lost, from %.0f ms on", lostOneIn, float64(from-start))
		}
	}
}
