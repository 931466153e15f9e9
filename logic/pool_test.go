package logic

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// beginPool starts sidecar me of a pool before so many endpoints.
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

// Without a bound of sharers hundreds of sidecars wore out what connections endpoints take (addis-roster: 59% of legs
// got none); left to chance alone, some sidecar would share no endpoint at all.
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

// What another sidecar has out counts as ours: else each chooses blindly and some endpoints choke.
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
		assert.NotEqual(t, to, arrive(b, rb, x, 0), "the other one is idle")
		a.LegEnded(x, 0, Succeeded, 50, true)
		deliverMessages(t, ra, b)
		assertClose(t, 0, b.byID[to].peerWork)
		b.LegEnded(x, 0, Succeeded, 50, true)
	}
}

// pass hands b what the other one told, and returns how much it was.
func deliverMessages(t *testing.T, r *recorder, b *Balancer) (n int) {
	for _, l := range r.take("tell") {
		var to int
		var text []byte
		_, err := fmt.Sscanf(l, "tell %d %x", &to, &text)
		assert.NoError(t, err)
		if PeerID(to) == b.self {
			b.PeerMessage(1-b.self, text)
			n++
		}
	}
	return n
}

// Messages get lost, come late, twice or spoilt: none of it may leave a load that nobody has.
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
		{"overtaken", 1, [][]byte{message(2, 12), message(1, 4)}, 3},
		{"twice", 1, [][]byte{message(1, 4), message(1, 4)}, 1},
		{"turns go round", 1, [][]byte{message(120, 4), message(240, 4), message(3, 8)}, 2},
		{"too short", 1, [][]byte{message(1, 4)[:10]}, 0},
		{"too long", 1, [][]byte{append(message(1, 4), 0)}, 0},
		{"empty", 1, [][]byte{nil}, 0},
		{"an endpoint nobody named", 1, [][]byte{{0, 0, 1, 4, 0, 0, 0, 0, 0, 0, 0}}, 0},
		{"from ourselves", 0, [][]byte{message(1, 4)}, 0},
		{"an outcome that is none", 1, [][]byte{{byte(wireID >> 8), byte(wireID), 1, 4, 9, 0, 0, 0, 0, 0, 0}}, 0},
		{"from below", -1, [][]byte{message(1, 4)}, 0},
	} {
		b, _ := newPoolBalancer(0, 2, 2)
		for _, text := range c.messages {
			b.PeerMessage(c.from, text)
		}
		assertClose(t, c.want, b.byID["e0"].peerWork)
		runUpkeep(b, 11) // over the longest expected time: whoever told is no more, or the end got lost
		assertClose(t, 0, b.byID["e0"].peerWork)
		assert.Equal(t, 0.0, b.byID["e1"].peerWork, c.name)
	}
	b, _ := newTestBalancer("a")
	b.PeerMessage(1, message(1, 4)) // where there is no pool
}

// answered passes n exchanges that each take so long, of the given cost.
func serveWithCost(b *Balancer, n int, took Millis, cost float64) {
	for i := range n {
		x := ExchangeID(fmt.Sprintf("a%d-%d", b.latencyCount, i))
		b.Arrive(x, 0, -1, 0, b.now+4000, cost, false)
		b.SetNow(b.now + took)
		b.LegEnded(x, 0, Succeeded, took, true)
	}
}

// An endpoint that takes long for one exchange alone was taken for crowded, and two cores got one leg between them.
func TestPoolLimitsLegsByEndpointLatency(t *testing.T) {
	for _, c := range []struct {
		name string
		took Millis
		most int
	}{
		{"quick", 40, 4}, {"slow, not crowded", 200, 2}, {"so slow that none may wait", 400, 1},
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

// Servers that all turned slow together must not make longer queues look right: that kept them choked for half a minute.
func TestSharedSlowdownRaisesUnloadedLatencySlowly(t *testing.T) {
	b, _ := newPoolBalancer(0, 2, 1)
	serveWithCost(b, 200, 50, 0)
	before := b.unloadedLatency
	serveWithCost(b, 20, 300, 0)
	assert.Less(t, b.unloadedLatency, before*1.6)
	serveWithCost(b, 200, 50, 0)
	assert.InDelta(t, before, b.unloadedLatency, before*0.2, "it falls at once")
}

// A leg told with next to no work ahead made the time alone infinite, then no number, and everything had room.
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
	assert.Less(t, sent, 50, "not everything has room")
}

// A heavy exchange is no slow endpoint, and what is heavy weighs in the account of the others.
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

// Sharers each with a budget of their own would push a cold endpoint over together; each with a part of what it sends itself
// left a fleet's new endpoints idle while the old ones were full.
func TestColdBudgetIsSharedByThePool(t *testing.T) {
	b, r := newPoolBalancer(0, 2, 1)
	serveWithCost(b, 200, 50, 0)
	b.Listed("e9", Running, 0, 0, 0, 1, b.now)
	b.ListEnds(false)
	e := b.byID["e9"]
	wireID := e.wireID
	if b.subsetOrder(e) > 0 {
		t.Fatal("two sidecars share all there is")
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
	// A warm one serves 20 a second alone; cold from 0.1 of that, three times it is the limit: 6, and a little more as it warms.
	assert.LessOrEqual(t, sent+reported, 9)
	assert.GreaterOrEqual(t, sent+reported, 2)
}

// Where value is paid for each unit of work, the product of most value per exchange and work is not the worthiest.
func TestRankByValuePerUnitOfWork(t *testing.T) {
	for byWork, first := range map[bool]ProductID{true: 1, false: 0} {
		b := New(Terms{Fleet: 1, MaxLegs: 1, ByWork: byWork, Products: []Product{
			{Expected: 400, Value: 2}, {Expected: 4000, Value: 5},
		}}, &recorder{}, 0)
		light, heavy := b.rank(&exchange{product: &b.products[0], tenant: -1}), b.rank(&exchange{product: &b.products[1], tenant: -1})
		assert.Equal(t, first == 1, heavy > light)
	}
}

// A tenant that floods must be known from what all sharers took, not from one sidecar's few exchanges.
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
	b.PeerMessage(1, []byte{byte(wireID >> 8), byte(wireID), 30, 4, byte(Unknown), 0, 4, 0, 0, 4, 200}) // a tenant that is none
	assertClose(t, 20, b.admittedTotal)
}

// Sharers see less of each other than there is when messages are lost, and who filled up is told of nothing: together they
// must still not push a cold endpoint over. Who filled up had a whole budget each, and nobody to share it with.
func TestColdBudgetHoldsWhenMessagesAreLost(t *testing.T) {
	const fleet, took = 40, Millis(50)
	for _, lostOneIn := range []int{0, 4, 2} { // one in so many
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
			for _, l := range recorders[sidecar].take("tell", "send") {
				var to int
				var text []byte
				if n, _ := fmt.Sscanf(l, "tell %d %x", &to, &text); n == 2 {
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
			if b.exchanges[x] != nil && len(b.exchanges[x].legs) > 0 { // one core, in turn; a cold one takes longer
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
		for i, from := range sent { // in any window of the fall time; cold from 0.1 of 20 a second on
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
