package logic

import (
	"cmp"
	"math"
	"slices"
)

// The state of an instance, how events are recorded in it, and random draws. Nothing is decided here; selection and
// admission are in logic.go.
// The unit of work is the work of a mean leg; where no hints are given every leg counts as one.

// endpoint is one server of the list and what is known of it.
type endpoint struct {
	id               EndpointID
	zone             ZoneID
	cell             CellID
	kind             KindID
	allowed          []bool        // by product.index: the product may be sent to this zone and kind of machine
	wireID           uint16        // names it in messages between sidecars
	hash             KeyID         // of its id, the same at every sidecar
	sequence         byte          // number of our last message about it
	peers            []sharingPeer // sidecars of the pool that share it
	home             bool          // in the home subset
	relativeSpeed    float64       // over the mean of the known-good ones, above 1 is faster; 1 unless it is known-good
	ringDistance     float64       // from the subset's start on the ring of its zone, 0 to 1
	size             float64       // capacity relative to other endpoints, as listed
	ownWork          float64       // of our legs in flight
	peerWork         float64       // of the legs that peers have in flight, by their messages
	readyAt          Millis        // start of the process, or of the time since an operator's drain; 0 if not known
	suspectChangedAt Millis        // when suspect changed last
	up               bool          // running, by the list
	listed           bool          // in the last list
	running          bool          // up, listed and not drained by an operator
	suspectNoted     bool          // the operator was notified that it is a suspect
	awaitsFirstLeg   bool          // undrained by an operator and not sent to since
	legs             int           // our legs in flight that are more than a transfer
	probing          bool          // a probe is out
	reportedAt       Millis        // when it reported its load last
	reportedLoad     float64       // exchanges that it held then, those of all sidecars
	history
}

// history is what was observed of an endpoint. It is reset when the endpoint has restarted.
type history struct {
	weight        float64   // selection weight, minWeight to maxWeight
	limit         float64   // concurrency limit, in legs
	limitCutAt    Millis    // when the limit was cut last
	inTimeAt      Millis    // when it answered in time last
	lostAt        Millis    // when a leg was lost or failed there last
	successes     float64   // decayed count
	failures      float64   // decayed count
	coldTokens    float64   // token bucket while it is cold, in exchanges of mean work
	latencySum    float64   // moving average of latency (ms) times work ahead, which includes the leg's own
	workSum       float64   // moving average of the square of work ahead; latencySum over it is ms for one unit of work
	lastFailedKey KeyID     // counter of the key that failed there last
	suspect       bool      // by outlier detection
	backoffs      []backoff // by product.index
}

// sharingPeer is a sidecar of the pool that shares an endpoint, and its last message about that.
type sharingPeer struct {
	peer     PeerID
	sequence byte    // number of the message
	work     float64 // of its legs in flight at the endpoint
	heardAt  Millis  // when that message came
}

// backoff counts how often in a row an endpoint failed one product, which it may do while it serves the others.
type backoff struct {
	failures      int    // in a row
	lastFailureAt Millis // a leg sent before it does not count as a further failure
	retryAt       Millis // when a leg may be sent again
}

// outcomeCounts are decayed counts of outcomes.
type outcomeCounts struct{ successes, failures float64 }

// keyOutcomes is what is known of a key: its outcomes, and at which endpoint a failure was counted last.
type keyOutcomes struct {
	outcomeCounts
	failedAt *endpoint
}

// product is a product of the Terms and what was observed of it. Latencies are in milliseconds.
type product struct {
	Product
	index             int     // in Balancer.products; their number for an unknown product
	mostSuspect       bool    // it is bound to some endpoints, and most of these are suspects
	typicalLatency    float64 // moving average
	bestLatency       float64 // least that the typical latency has been since the first hedgeMinSamples answers
	failingShare      float64 // moving average of the share of legs that failed
	answers           float64 // successful legs so far
	meanSquareLatency float64 // moving average of squared latencies
	relativeDeviation float64 // standard deviation over the mean, when bestLatency was set
	typicalLatencyAt  Millis  // when typicalLatency changed last
	typicalTimeLeft   Millis  // from arrival until clients abandon, as usual for this product
}

// Balancer is an instance of the module. It is not safe for concurrent use: events come one at a time.
type Balancer struct {
	Outgoing
	rng                  uint64 // state of the random number generator
	zone                 ZoneID
	self                 PeerID
	products             []product
	unknown              product   // stands for products that the Terms lack
	tenantShares         []float64 // by tenant, of all exchanges
	admitted             []float64 // by tenant, decayed counts
	overShareValue       float64   // factor on the rank of a tenant that exceeds its share
	fleet                float64   // number of sidecars
	coldFrom             float64   // part of its capacity that an endpoint has at the start
	crossZoneFactor      float64   // on the odds of endpoints in other zones, by the price
	crossZoneKeyedFactor float64   // the same for requests with a key that is kept warm
	coldRate             float64   // work sent to a cold endpoint, over the work that it can do
	minLimit             float64   // of concurrency at an endpoint
	decayPerTick         float64   // factor on counted outcomes at each upkeep
	maxLegs              int       // of one exchange
	legsInFlight         int       // of all exchanges, without those that are a transfer only
	answerBuffers        int       // answers that can be held for clients; 0 where not bounded
	maxProbes            int       // for one exchange
	mayHedge             bool
	mayCancel            bool
	pullsList            bool // the list comes only when called for
	byWork               bool // values are for each unit of work
	pool                 bool // sidecars notify one another of their legs
	warmKeys             bool // requests of a key go to the endpoints that served it lately
	now                  Millis
	deadlineSkew         Millis // by which abandon times may be off
	maxRetryAfter        Millis // longest advice to clients; 0 for none
	listBackoff          Millis // wait after the next failed call for the list
	listBackoffFirst     Millis
	listBackoffMax       Millis
	coldPeriod           Millis // from readyAt, while an endpoint is cold
	fallWindow           Millis // Terms.FallWindow
	upkeepInterval       Millis
	timerTolerance       Millis // by which timers may be late
	longestExpected      Millis // longest expected time of all products
	readySkew            Millis // by which start times may be off
	knownGoodMemory      Millis // time since an answer in time for which an endpoint is known-good
	warmPeriod           Millis // for which an idle connection is taken to be open

	calls discoveryCalls
	lease lease

	// The list of endpoints.
	endpoints         []*endpoint // all that are listed, and those that still have legs out
	ready             []*endpoint // those that may get legs; in a pool the subset
	byID              map[EndpointID]*endpoint
	byWireID          map[uint16]*endpoint
	drainedByOperator map[EndpointID]bool
	undrainedAt       map[EndpointID]Millis // when an operator's drain ended, which counts as a start
	odds              []float64             // of the ready endpoints, while candidates are drawn

	slots        []*exchange // all slots, in use or free
	freeSlots    []*exchange
	queue        []*exchange // exchanges that wait for capacity
	exchanges    map[ExchangeID]*exchange
	message      peerMessage // buffer of the last message to peers
	peerExchange exchange    // stands for the exchange of a leg that a peer reported
	peerLeg      leg         // that leg

	latencies        [latencySampleCount]float64                       // ring buffer of the latencies of successful legs, ms
	sortedLatencies  [latencySampleCount]float64                       // scratch space for the quantile
	latencyCount     int                                               // latencies recorded so far
	hedgeDelayDueAt  int                                               // latencyCount at which the hedge delay is computed anew
	hedgeSlot        int                                               // current slot of hedgeWindow
	hedgeDelay       Millis                                            // from a first leg to its hedge
	hedgeRatioAt     Millis                                            // when hedgeRatio was computed last
	shedUntil        Millis                                            // until then new exchanges are shed behind one that was shed
	hedgeWindow      [hedgeWindowSlots]struct{ hedges, ended float64 } // ended: exchanges finished
	hedgeRatio       float64                                           // hedges for each exchange finished, within the window
	retryTokens      float64
	typicalLatency   float64 // moving average over all products, ms
	legsSent         float64 // since the last upkeep
	legRate          float64 // legs sent per millisecond, moving average
	admittedTotal    float64 // sum of admitted
	lossShare        float64 // moving average of the share of lost legs
	lossShareLong    float64 // the same over a longer time
	slowdown         float64 // moving average of latencies over their product's best latency
	subsetStart      float64 // start of the home subset on each zone's ring, 0 to 1
	lowLossFactor    float64 // preference for the home subset: 1 while no leg is lost, down to 0 as legs are lost
	meanRank         float64 // moving average of the ranks of exchanges
	limitSum         float64 // concurrency limits of all ready endpoints together
	readySize        float64 // sizes of all ready endpoints together
	unprovenFactor   float64 // on the odds of endpoints that are not known-good
	overloadShare    float64 // moving average of the share of time with a queue or with shedding
	peerWork         float64 // peers' work in flight at all ready endpoints
	meanHint         float64 // moving average of work hints
	hintCount        float64 // hints so far
	unloadedLatency  float64 // of a leg of mean work with nothing ahead of it, ms
	unitCapacity     float64 // work per millisecond of a known-good endpoint of size 1
	latencySum       float64 // as in history, over all endpoints
	workSum          float64 // as in history, over all endpoints
	mostSuspect      bool    // most ready endpoints are suspects, so that none is left out
	overloadNoted    bool    // the operator was notified of an overload
	legBudget        legBudget
	canProbe         bool                             // probes are allowed, answered with a load and cheap enough
	awaitingReports  []*exchange                      // that wait for load reports
	testedEndpoint   *endpoint                        // probed to test how old its reports are; nil for none
	firstReport      Load                             // its first report of the test; Held is -2 before that
	reportTests      float64                          // tests so far
	freshShare       float64                          // moving average of the share of tests that found a changed report
	keyTraffic       [keyCounterCount]float64         // exchanges, decayed counts
	overdueByKey     [keyCounterCount]int             // exchanges with an overdue leg
	outcomesByKey    [keyCounterCount + 1]keyOutcomes // the last is of all keys
	probeMinLoss     float64                          // share of lost legs from which probes are worth their price
	blockedNoted     bool                             // the operator was notified of blocked keys
	blockedCheckedAt Millis                           // when blocked keys were counted last
	keyTrafficTotal  float64                          // sum of keyTraffic
	outcomesByZone   []outcomeCounts                  // legs answered in time, and lost
	pathLatency      []float64                        // by zone: least latency of its answers (ms), rising slowly
	drawOrder        []int                            // scratch space of drawTwo
	productsFull     []bool                           // by product.index, in dispatchQueue: no endpoint has capacity for it
	ring             []*endpoint                      // the ready endpoints, nearest to the subset's start first
}

// peerIndex is the index of a peer in e.peers; -1 if it does not share the endpoint.
func (e *endpoint) peerIndex(p PeerID) int {
	return slices.IndexFunc(e.peers, func(k sharingPeer) bool { return k.peer == p })
}

// setTransferOnly sets whether a leg only transfers bytes, of a request on its way in or of a streamed answer. Such a leg
// does not count against its endpoint's concurrency limit.
func (b *Balancer) setTransferOnly(l *leg, transferOnly bool) {
	if transferOnly && !l.transferOnly {
		l.to.legs, b.legsInFlight, l.to.ownWork = l.to.legs-1, b.legsInFlight-1, l.to.ownWork-l.work
	} else if l.transferOnly && !transferOnly {
		l.to.legs, b.legsInFlight, l.to.ownWork = l.to.legs+1, b.legsInFlight+1, l.to.ownWork+l.work
	}
	if l.transferOnly = transferOnly; l.to.legs == 0 {
		l.to.ownWork = 0
	}
}

// countAdmitted counts an exchange for its tenant's share.
func (b *Balancer) countAdmitted(t TenantID) {
	if t >= 0 && int(t) < len(b.admitted) {
		b.admitted[t]++
		b.admittedTotal++
	}
}

// recordReport takes a load report for the test of how old reports are: the second report of the tested endpoint ends the
// test, which shows whether the report has changed.
func (b *Balancer) recordReport(e *endpoint, l Load) {
	switch {
	case e != b.testedEndpoint:
	case b.firstReport.Held == -2:
		b.firstReport = l
	default:
		changed := 0.0
		if l != b.firstReport {
			changed = 1
		}
		b.testedEndpoint, b.reportTests = nil, b.reportTests+1
		b.freshShare += math.Max(1/b.reportTests, reportTestGain) * (changed - b.freshShare)
	}
}

// stopAwaitingReports takes an exchange from those that wait for load reports.
func (b *Balancer) stopAwaitingReports(x *exchange) {
	b.awaitingReports = slices.DeleteFunc(b.awaitingReports, func(o *exchange) bool { return o == x })
}

// setOverdue marks an exchange whose leg takes too long, and counts those of its key: further exchanges of the key would
// wait for the same thing.
func (b *Balancer) setOverdue(x *exchange, on bool) {
	if on != x.overdue && (!on || x.key != 0 && !x.answered) {
		if x.overdue = on; on {
			b.overdueByKey[x.key%keyCounterCount]++
		} else {
			b.overdueByKey[x.key%keyCounterCount]--
		}
	}
}

// dequeue takes an exchange out of the queue.
func (b *Balancer) dequeue(x *exchange) {
	b.queue = slices.DeleteFunc(b.queue, func(q *exchange) bool { return q == x })
}

// knownWork is the work in flight at an endpoint, ours and that of which peers notified us.
func (e *endpoint) knownWork() float64 { return e.ownWork + e.peerWork }

// keyTrafficShare is the share of this sidecar's exchanges that have the key of this one, or a key with the same counter.
func (b *Balancer) keyTrafficShare(x *exchange) float64 {
	return math.Max(b.keyTraffic[x.key%keyCounterCount]-1, 0) / (b.keyTrafficTotal + keyShareMinSamples)
}

// drawIndex draws an index of ready at random, weighted by odds, which add up to total.
func (b *Balancer) drawIndex(total float64) int {
	at, last := b.random()*total, 0
	for i, w := range b.odds {
		if w > 0 && at >= 0 {
			at, last = at-w, i
		}
	}
	return last
}

// drawSuccessRate draws from the posterior of a success rate: a beta distribution, by two gamma draws. The counts are
// capped at 8, which bounds the number of random draws and keeps trials possible.
func (b *Balancer) drawSuccessRate(r outcomeCounts) float64 {
	success, failure := b.drawGamma(1+int(math.Min(r.successes, 8))), b.drawGamma(1+int(math.Min(r.failures+0.5, 8)))
	return success / (success + failure)
}

func sum(values []float64) (total float64) {
	for _, f := range values {
		total += f
	}
	return total
}

// decayCounters lets all decayed counts decay by one upkeep interval, moves the window of hedges on, and computes the
// rate of legs (time constant 2000 ms) and, from time to time, the ratio of hedges.
func (b *Balancer) decayCounters() {
	b.legRate += (1 - math.Exp(-float64(b.upkeepInterval)/2000)) * (b.legsSent/float64(b.upkeepInterval) - b.legRate)
	b.legsSent, b.admittedTotal = 0, b.admittedTotal*b.decayPerTick
	// The loss decays without outcomes too: a sidecar that sheds everything gets none and would never stop.
	b.lossShare -= b.lossShare * float64(b.upkeepInterval/b.longestExpected) / lossDecaySpans
	b.lossShareLong -= b.lossShareLong * float64(b.upkeepInterval/b.longestExpected) / lossLongDecaySpans
	for t := range b.admitted {
		b.admitted[t] *= b.decayPerTick
	}
	b.legBudget.expire(b.now)
	keyDecay := math.Pow(b.decayPerTick, keyDecayExponent)
	b.keyTrafficTotal *= keyDecay
	for k := range b.keyTraffic {
		b.keyTraffic[k] *= keyDecay
	}
	for z := range b.outcomesByZone {
		b.outcomesByZone[z].successes, b.outcomesByZone[z].failures =
			b.outcomesByZone[z].successes*b.decayPerTick, b.outcomesByZone[z].failures*b.decayPerTick
	}
	for k := range b.outcomesByKey {
		n := &b.outcomesByKey[k]
		n.successes, n.failures = n.successes*keyDecay, n.failures*keyDecay
	}
	for slot := int(float64(b.now)/(hedgeWindowMs/hedgeWindowSlots)) % hedgeWindowSlots; b.hedgeSlot != slot; {
		b.hedgeSlot = (b.hedgeSlot + 1) % hedgeWindowSlots
		b.hedgeWindow[b.hedgeSlot].hedges, b.hedgeWindow[b.hedgeSlot].ended = 0, 0
	}
	if b.now-b.hedgeRatioAt >= hedgeRatioRefreshMs {
		hedges, ended := 0.0, 0.0
		for _, w := range b.hedgeWindow {
			hedges, ended = hedges+w.hedges, ended+w.ended
		}
		b.hedgeRatioAt, b.hedgeRatio = b.now, hedges*math.Min(ended, 1)/math.Max(ended, 1)
	}
}

// recordLatency records the latency of a successful leg. The delay of hedges is a quantile of the recent latencies.
func (b *Balancer) recordLatency(took float64) {
	b.latencies[b.latencyCount%latencySampleCount] = took
	b.latencyCount++
	if b.latencyCount >= hedgeMinSamples && b.latencyCount >= b.hedgeDelayDueAt {
		s := b.sortedLatencies[:min(b.latencyCount, latencySampleCount)]
		copy(s, b.latencies[:])
		slices.Sort(s)
		b.hedgeDelay, b.hedgeDelayDueAt =
			Millis(s[int(hedgeDelayQuantile*float64(len(s)-1))]), b.latencyCount+hedgeDelayRefreshSamples
	}
}

// TimerFired handles a timer that is due: 0 is the upkeep, 1 a call for the list, leaseTimer the lease. All others belong to
// an exchange, by slot and generation; one that was set for an earlier exchange in the slot is ignored.
func (b *Balancer) TimerFired(t TimerID) {
	switch slot := int(t >> 40); {
	case t == 0:
		b.upkeep()
	case t == 1:
		b.callTimerFired()
	case t == leaseTimer:
		b.updateLease()
	case t&15 == 2 && slot < len(b.slots):
		x := b.slots[slot]
		if x.next != nil && x.generation == uint32(t>>8) {
			x.next(b, x, stepEvent{kind: eventKind(t >> 4 & 15)})
		}
	}
}

// BodyDiscarded says that the part of an exchange's request that was sent is no longer buffered, so that no further leg
// can be sent.
func (b *Balancer) BodyDiscarded(id ExchangeID) {
	if x := b.exchanges[id]; x != nil {
		x.bodyDiscarded = true
	}
}

// BodyComplete says that the last byte of the request has been written. The endpoint's work begins now, so that the leg's
// latency is counted from here, and the deadline is set anew from abandonAt.
func (b *Balancer) BodyComplete(id ExchangeID, abandonAt Millis) {
	if x := b.exchanges[id]; x != nil && x.incomplete {
		x.incomplete = false
		b.setDeadline(x, abandonAt)
		for n := range x.legs {
			if l := &x.legs[n]; !l.ended {
				l.sentAt = b.now
				b.setTransferOnly(l, false)
			}
		}
	}
}

// recordSuccess updates the typical and best latencies of a product, of all products and of the path to the endpoint's
// zone by an answer's latency. A product's typical latency gives an answer more weight the longer the last one was ago;
// that of all products gives it a weight of 0.005 at least.
func (b *Balancer) recordSuccess(x *exchange, e *endpoint, took float64) {
	b.recordLatency(took)
	p := x.product
	p.answers++
	gain := math.Max(1/(p.answers+2), math.Min(float64(b.now-p.typicalLatencyAt)/latencyMemoryMs, 1))
	p.typicalLatency, p.typicalLatencyAt = p.typicalLatency+gain*(took-p.typicalLatency), b.now
	p.meanSquareLatency += gain * (took*took - p.meanSquareLatency)
	if p.answers <= hedgeMinSamples || p.typicalLatency < p.bestLatency {
		p.bestLatency, p.relativeDeviation =
			p.typicalLatency, math.Sqrt(math.Max(p.meanSquareLatency/(p.typicalLatency*p.typicalLatency)-1, 0))
	}
	b.typicalLatency += math.Max(1/float64(b.latencyCount), 0.005) * (took - b.typicalLatency)
	b.pathLatency[e.zone] = math.Min(took, cmp.Or(b.pathLatency[e.zone]*(1+pathLatencyRise), took))
	b.recordSlowdown(took / math.Max(p.bestLatency, 1e-3))
	e.successes++
}

// recordSlowdown averages latencies over the best latency of their product, with a memory like that of the lost legs.
func (b *Balancer) recordSlowdown(ratio float64) {
	b.slowdown += slowdownGainRatio * b.lossGain() * (math.Min(ratio, maxSlowdown) - b.slowdown)
}

// lossGain is the weight of one leg in the share of lost legs: as many legs count as go out in a longest expected time,
// within lossGainMin and lossGainMax.
func (b *Balancer) lossGain() float64 {
	return math.Min(math.Max(1/(b.legRate*float64(b.longestExpected)+0.01), lossGainMin), lossGainMax)
}

// zoneSuccessShare is the share of legs to a zone that were answered in time.
func (b *Balancer) zoneSuccessShare(z ZoneID) float64 {
	r := b.outcomesByZone[z]
	return (r.successes + 1) / (r.successes + r.failures + 1)
}

// ListStarts begins a whole list: endpoints that are not in it are no longer listed.
func (b *Balancer) ListStarts() {
	for _, e := range b.endpoints {
		e.listed = false
	}
}

// Listed takes one entry of a list or of a change of the list. Size is the capacity relative to other endpoints, and readyAt
// when the endpoint's process was ready; 0 for unknown, in both. A later readyAt than before means a restart.
func (b *Balancer) Listed(id EndpointID, h Health, zone ZoneID, kind KindID, cell CellID, size float64, readyAt Millis) {
	if readyAt > 0 { // start times may be off in either direction, so the endpoint counts as cold for longer
		readyAt += b.readySkew
	}
	e := b.byID[id]
	if e == nil {
		e = &endpoint{id: id, wireID: wireIDOf(id), hash: KeyOf([]byte(id)), allowed: make([]bool, len(b.products)+1)}
		b.byID[id], b.byWireID[e.wireID], b.endpoints = e, e, append(b.endpoints, e)
		b.resetHistory(e)
	} else if readyAt > e.readyAt {
		b.resetHistory(e) // a restart: what was observed of the old process does not hold for the new one
	}
	// An endpoint counts as restarted at the end of an operator's drain, even if the list still has an older start time.
	for int(max(zone, b.zone)) >= len(b.outcomesByZone) {
		b.outcomesByZone, b.pathLatency = append(b.outcomesByZone, outcomeCounts{}), append(b.pathLatency, 0)
	}
	e.zone, e.cell, e.size, e.readyAt = zone, cell, cmp.Or(max(size, 0), 1), max(readyAt, b.undrainedAt[id], 0)
	e.kind, e.allowed[len(b.products)] = kind, true
	for n := range b.products {
		e.allowed[n] = b.products[n].permits(zone, kind)
	}
	e.listed, e.up = h != Gone, h == Running
	e.running = e.up && !b.drainedByOperator[id]
}

// StreamBegan says that a leg's answer has begun and is streamed to the client. The leg counts as succeeded, the
// exchange's other legs are cancelled, and the stream has no deadline from here on.
func (b *Balancer) StreamBegan(id ExchangeID, n LegNo) {
	if x := b.exchanges[id]; x != nil && int(n) < len(x.legs) && !x.legs[n].ended {
		l := &x.legs[n]
		l.streaming = true
		b.setTransferOnly(l, true)
		b.recordOutcome(x, l, Succeeded, float64(b.now-l.sentAt))
		b.cancelOthers(x, n)
		x.next(b, x, stepEvent{kind: streamBegan})
		b.dispatchQueue()
	}
}

// ClientLeft says that the client of an exchange has gone away.
func (b *Balancer) ClientLeft(id ExchangeID) {
	if x := b.exchanges[id]; x != nil {
		x.next(b, x, stepEvent{kind: clientLeft})
	}
}

// goldenRatio spreads numbers over a ring: its multiples lie evenly there, however many there are (Weyl; Knuth 6.4).
const goldenRatio = 0.6180339887498949

// fractionalPart is a position on a ring of length 1.
func fractionalPart(f float64) float64 { return f - math.Floor(f) }

// subsetStartOf is where the home subset of a sidecar begins on the rings, by its number. Without a number it is random, so
// that such sidecars do not all begin at the same endpoints.
func (b *Balancer) subsetStartOf(number PeerID) float64 {
	if number < 0 {
		return b.random()
	}
	return fractionalPart(float64(number) * goldenRatio)
}

// buildRing orders the ready endpoints by their distance from the subset's start on a ring, on which they lie at even
// distances in the order of their hashes. Where crossing zones has a price, each zone has a ring of its own.
func (b *Balancer) buildRing() {
	ringOf := func(e *endpoint) ZoneID {
		if b.crossZoneFactor == 1 {
			return 0
		}
		return e.zone
	}
	b.ring = append(b.ring[:0], b.ready...)
	slices.SortFunc(b.ring, func(p, q *endpoint) int {
		return cmp.Or(cmp.Compare(ringOf(p), ringOf(q)), cmp.Compare(p.hash, q.hash))
	})
	for from := 0; from < len(b.ring); {
		zone, to := ringOf(b.ring[from]), from
		for to < len(b.ring) && ringOf(b.ring[to]) == zone {
			to++
		}
		for n := from; n < to; n++ {
			// Each zone's ring is shifted, or endpoints of the same zone would come first at every sidecar.
			b.ring[n].ringDistance = fractionalPart(
				(float64(n-from)+fractionalPart(float64(zone)*goldenRatio))/float64(to-from) - b.subsetStart)
		}
		from = to
	}
	slices.SortStableFunc(b.ring, func(p, q *endpoint) int { return cmp.Compare(p.ringDistance, q.ringDistance) })
}

// isCold tells whether an endpoint is in the cold period after its start.
func (b *Balancer) isCold(e *endpoint) bool { return e.readyAt > 0 && b.now < e.readyAt+b.coldPeriod }

// warmFraction is the part of its capacity that an endpoint has now (slow start): it rises linearly over the cold period.
func (b *Balancer) warmFraction(e *endpoint) float64 {
	if !b.isCold(e) {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*math.Max(float64((b.now-e.readyAt)/b.coldPeriod), 0)
}

// relativeWork is an exchange's work in units of the mean leg's, by its product's typical latency.
func (b *Balancer) relativeWork(x *exchange) float64 {
	return x.product.typicalLatency / b.typicalLatency
}

// expectedLatency is the time that an exchange would take at an endpoint behind all work that is known to be there.
func (b *Balancer) expectedLatency(x *exchange, e *endpoint) float64 {
	return (e.knownWork() + x.work) * e.latencySum / e.workSum
}

// SetNow sets the clock. It is called before each event.
func (b *Balancer) SetNow(now Millis) { b.now = now }

// stepFinished is the state of an exchange that is over but may have legs out; its slot is released with the last of them.
func stepFinished(b *Balancer, x *exchange, _ stepEvent) {
	if x.legsInFlight == 0 {
		b.releaseSlot(x)
	}
}

// initialLatencySum is the latency sum of an endpoint of which nothing was observed, for a work sum of 2. In a pool it
// counts as twice as fast as usual, so that it is tried soon. Without messages between the sidecars all of them would send
// to it at once for that, so that it counts as one of mean speed.
func (b *Balancer) initialLatencySum() float64 {
	if b.pool {
		return b.typicalLatency
	}
	return 2 / b.unitCapacity
}
