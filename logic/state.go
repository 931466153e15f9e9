package logic

import (
	"cmp"
	"math"
	"slices"
)

// What an instance keeps, how that is booked and how chance is drawn. Nothing is decided here.

type endpoint struct {
	id                           EndpointID
	zone                         ZoneID
	cell                         CellID
	kind                         KindID
	allowed                      []bool        // by product's place: it may be sent here at all
	wireID                       uint16        // its name in messages
	hash                         KeyID         // its hash
	sequence                     byte          // of our last message
	peers                        []sharingPeer // with whom a pool shares it
	home                         bool          // it is of our own part
	relativeSpeed                float64       // its pace beside all's, shrunk by what was not seen: over 1 is faster
	ringDistance                 float64       // how far from our own place on the ring of its zone, from 0 to 1
	size, ownWork, peerWork      float64       // as listed; legs of mean work: ours, and what others told of
	readyAt, suspectChangedAt    Millis        // changed: last change of doubt
	up, listed, running          bool          // up: by the list's word; running: and not out by hand
	suspectNoted, awaitsFirstLeg bool          // staff know that it is doubtful; back by hand, no leg since
	legs                         int
	probing                      bool    // it was asked for its load,
	reportedAt                   Millis  // told it last then,
	reportedLoad                 float64 // so many exchanges held, by everyone
	history
}

type history struct {
	weight, limit                   float64 // room: legs it may have
	limitCutAt, inTimeAt, lostAt    Millis  // when room last fell; last answer in time; last leg that was lost
	successes, failures, coldTokens float64 // fading counts of outcomes; cold budget, in exchanges of mean work
	latencySum, workSum             float64 // fading sums of times and of work ahead: their ratio is its pace
	lastFailedKey                   KeyID   // key that failed there last
	suspect                         bool
	backoffs                        []backoff
}

type sharingPeer struct {
	peer     PeerID
	sequence byte
	work     float64
	heardAt  Millis
}

// streak is how often in a row an endpoint failed one product, which it may do while it serves the others.
type backoff struct {
	failures               int
	lastFailureAt, retryAt Millis // last counted, and when a leg may try again
}

// tried is a fading count of outcomes.
type outcomeCounts struct{ successes, failures float64 }

// keyed is what is known of a key: its outcomes, and where it failed last.
type keyOutcomes struct {
	outcomeCounts
	failedAt *endpoint
}

type product struct {
	Product
	index                                              int
	mostSuspect                                        bool    // of a bound one: most of its endpoints are doubted
	typicalLatency, bestLatency, failingShare, answers float64 // mean time, of late and least; failing share
	meanSquareLatency, relativeDeviation               float64 // mean square of its times; their deviation over the mean, at the least mean
	typicalLatencyAt, typicalTimeLeft                  Millis  // left: the time its exchanges usually have
}

type Balancer struct {
	Outgoing
	rng                                                                                                                                                                                              uint64
	zone                                                                                                                                                                                             ZoneID
	self                                                                                                                                                                                             PeerID
	products                                                                                                                                                                                         []product
	unknown                                                                                                                                                                                          product
	tenantShares, admitted                                                                                                                                                                           []float64 // shares; fading counts
	overShareValue, fleet, coldFrom, crossZoneFactor, crossZoneKeyedFactor, coldRate, minLimit, decayPerTick                                                                                         float64
	maxLegs, legsInFlight, answerBuffers, maxProbes                                                                                                                                                  int
	mayHedge, mayCancel, pullsList, byWork, pool, warmKeys                                                                                                                                           bool
	now, deadlineSkew, maxRetryAfter, listBackoff, listBackoffFirst, listBackoffMax, coldPeriod, fallWindow, upkeepInterval, timerTolerance, longestExpected, readySkew, knownGoodMemory, warmPeriod Millis

	calls discoveryCalls
	lease lease

	// The list. banned: out by hand; back: when that ended, for it counts as started then.
	endpoints, ready  []*endpoint
	byID              map[EndpointID]*endpoint
	byWireID          map[uint16]*endpoint
	drainedByOperator map[EndpointID]bool
	undrainedAt       map[EndpointID]Millis
	odds              []float64 // of the ready ones, in a pick

	slots, freeSlots, queue []*exchange
	exchanges               map[ExchangeID]*exchange
	message                 peerMessage
	peerExchange            exchange
	peerLeg                 leg

	latencies, sortedLatencies                                                        [latencySampleCount]float64 // latencies of satisfied legs
	latencyCount, hedgeDelayDueAt, hedgeSlot                                          int
	hedgeDelay, hedgeRatioAt, shedUntil                                               Millis
	hedgeWindow                                                                       [hedgeWindowSlots]struct{ hedges, ended float64 }
	hedgeRatio, retryTokens, typicalLatency, legsSent, legRate, admittedTotal         float64
	lossShare, lossShareLong                                                          float64 // shares of lost legs, of late and for longer
	slowdown                                                                          float64 // what answers take of late over their products' least
	subsetStart, lowLossFactor                                                        float64 // where our own part of each zone begins; its share of it
	meanRank, limitSum, readySize, unprovenFactor, overloadShare                      float64 // strange: draw of who is not familiar
	peerWork, meanHint, hintCount, unloadedLatency, unitCapacity, latencySum, workSum float64 // the pool's legs; mean hint; a leg's time alone
	mostSuspect, overloadNoted                                                        bool
	legBudget                                                                         legBudget
	canProbe                                                                          bool
	awaitingReports                                                                   []*exchange
	testedEndpoint                                                                    *endpoint
	firstReport                                                                       Load
	reportTests, freshShare                                                           float64
	keyTraffic                                                                        [keyCounterCount]float64
	overdueByKey                                                                      [keyCounterCount]int             // exchanges with a leg that is out for too long
	outcomesByKey                                                                     [keyCounterCount + 1]keyOutcomes // by key; the last is of all
	probeMinLoss                                                                      float64
	blockedNoted                                                                      bool
	blockedCheckedAt                                                                  Millis
	keyTrafficTotal                                                                   float64
	outcomesByZone                                                                    []outcomeCounts // by zone: legs lost, and in time
	pathLatency                                                                       []float64       // by zone: the least time of its answers, rising slowly
	drawOrder                                                                         []int
	productsFull                                                                      []bool // in a drain, by product's place: none has room for it
	ring                                                                              []*endpoint
}

func (e *endpoint) peerIndex(p PeerID) int {
	return slices.IndexFunc(e.peers, func(k sharingPeer) bool { return k.peer == p })
}

// hush: a leg in transfer only takes no room at its endpoint.
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

func (b *Balancer) countAdmitted(t TenantID) {
	if t >= 0 && int(t) < len(b.admitted) {
		b.admitted[t]++
		b.admittedTotal++
	}
}

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

func (b *Balancer) stopAwaitingReports(x *exchange) {
	b.awaitingReports = slices.DeleteFunc(b.awaitingReports, func(o *exchange) bool { return o == x })
}

// hold counts the exchanges of a key whose leg is silent: whatever they wait for, more of them would wait there too.
func (b *Balancer) setOverdue(x *exchange, on bool) {
	if on != x.overdue && (!on || x.key != 0 && !x.answered) {
		if x.overdue = on; on {
			b.overdueByKey[x.key%keyCounterCount]++
		} else {
			b.overdueByKey[x.key%keyCounterCount]--
		}
	}
}

func (b *Balancer) dequeue(x *exchange) {
	b.queue = slices.DeleteFunc(b.queue, func(q *exchange) bool { return q == x })
}

func (e *endpoint) knownWork() float64 { return e.ownWork + e.peerWork }

// heatOf is the share of our traffic that is about an exchange's key, or about keys that fall in with it.
func (b *Balancer) keyTrafficShare(x *exchange) float64 {
	return math.Max(b.keyTraffic[x.key%keyCounterCount]-1, 0) / (b.keyTrafficTotal + keyShareMinSamples)
}

func (b *Balancer) drawIndex(total float64) int {
	at, last := b.random()*total, 0
	for i, w := range b.odds {
		if w > 0 && at >= 0 {
			at, last = at-w, i
		}
	}
	return last
}

// draws is a draw from the posterior of a chance of success.
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

// age lets what was counted fade, a beat's worth, and the window of copies slide.
func (b *Balancer) decayCounters() {
	b.legRate += (1 - math.Exp(-float64(b.upkeepInterval)/2000)) * (b.legsSent/float64(b.upkeepInterval) - b.legRate)
	b.legsSent, b.admittedTotal = 0, b.admittedTotal*b.decayPerTick
	b.lossShare -= b.lossShare * float64(b.upkeepInterval/b.longestExpected) / lossDecaySpans // a shut sidecar hears nothing: it opens by itself
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
		b.outcomesByZone[z].successes, b.outcomesByZone[z].failures = b.outcomesByZone[z].successes*b.decayPerTick, b.outcomesByZone[z].failures*b.decayPerTick
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

// sample keeps a latency; the timer is a percentile of those kept.
func (b *Balancer) recordLatency(took float64) {
	b.latencies[b.latencyCount%latencySampleCount] = took
	b.latencyCount++
	if b.latencyCount >= hedgeMinSamples && b.latencyCount >= b.hedgeDelayDueAt {
		s := b.sortedLatencies[:min(b.latencyCount, latencySampleCount)]
		copy(s, b.latencies[:])
		slices.Sort(s)
		b.hedgeDelay, b.hedgeDelayDueAt = Millis(s[int(hedgeDelayQuantile*float64(len(s)-1))]), b.latencyCount+hedgeDelayRefreshSamples
	}
}

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

func (b *Balancer) BodyDiscarded(id ExchangeID) {
	if x := b.exchanges[id]; x != nil {
		x.bodyDiscarded = true
	}
}

// Whole tells that the request's last byte is written: its leg's work begins, and its time.
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

func (b *Balancer) recordSuccess(x *exchange, e *endpoint, took float64) {
	b.recordLatency(took)
	p := x.product
	p.answers++
	gain := math.Max(1/(p.answers+2), math.Min(float64(b.now-p.typicalLatencyAt)/latencyMemoryMs, 1))
	p.typicalLatency, p.typicalLatencyAt = p.typicalLatency+gain*(took-p.typicalLatency), b.now
	p.meanSquareLatency += gain * (took*took - p.meanSquareLatency)
	if p.answers <= hedgeMinSamples || p.typicalLatency < p.bestLatency {
		p.bestLatency, p.relativeDeviation = p.typicalLatency, math.Sqrt(math.Max(p.meanSquareLatency/(p.typicalLatency*p.typicalLatency)-1, 0))
	}
	b.typicalLatency += math.Max(1/float64(b.latencyCount), 0.005) * (took - b.typicalLatency)
	b.pathLatency[e.zone] = math.Min(took, cmp.Or(b.pathLatency[e.zone]*(1+pathLatencyRise), took))
	b.recordSlowdown(took / math.Max(p.bestLatency, 1e-3))
	e.successes++
}

// slows books how long an answer took over the least that its product usually takes, for as long as lost legs count.
func (b *Balancer) recordSlowdown(ratio float64) {
	b.slowdown += slowdownGainRatio * b.lossGain() * (math.Min(ratio, maxSlowdown) - b.slowdown)
}

// lostGain is the part of one leg in the share of lost ones.
func (b *Balancer) lossGain() float64 {
	return math.Min(math.Max(1/(b.legRate*float64(b.longestExpected)+0.01), lossGainMin), lossGainMax)
}

// way is the share of legs to a zone that were answered in time.
func (b *Balancer) zoneSuccessShare(z ZoneID) float64 {
	r := b.outcomesByZone[z]
	return (r.successes + 1) / (r.successes + r.failures + 1)
}

func (b *Balancer) ListStarts() {
	for _, e := range b.endpoints {
		e.listed = false
	}
}

func (b *Balancer) Listed(id EndpointID, h Health, zone ZoneID, kind KindID, cell CellID, size float64, readyAt Millis) {
	if readyAt > 0 { // told too early or too late: it is cold for longer
		readyAt += b.readySkew
	}
	e := b.byID[id]
	if e == nil {
		e = &endpoint{id: id, wireID: wireIDOf(id), hash: KeyOf([]byte(id)), allowed: make([]bool, len(b.products)+1)}
		b.byID[id], b.byWireID[e.wireID], b.endpoints = e, e, append(b.endpoints, e)
		b.resetHistory(e)
	} else if readyAt > e.readyAt {
		b.resetHistory(e) // a restart: what was known of the old process misleads about the new one
	}
	// Back by hand means restarted, whatever older start the list still tells.
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

// Began hands over a streamed answer's start, after which the leg is the client's own.
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

func (b *Balancer) ClientLeft(id ExchangeID) {
	if x := b.exchanges[id]; x != nil {
		x.next(b, x, stepEvent{kind: clientLeft})
	}
}

const goldenRatio = 0.6180339887498949 // multiples of it lie evenly on a ring, however many there are (Weyl; Knuth 6.4)

func fractionalPart(f float64) float64 { return f - math.Floor(f) }

// placeOf is where the own part of a sidecar begins, by its number; where none is told anywhere, but not where all are.
func (b *Balancer) subsetStartOf(number PeerID) float64 {
	if number < 0 {
		return b.random()
	}
	return fractionalPart(float64(number) * goldenRatio)
}

// settleIn says how far each endpoint is from our own place on a ring in the order of their hashes, one for each zone where
// the way to another has a price.
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
		for n := from; n < to; n++ { // zones stand between each other's, or one of them would come first at every sidecar
			b.ring[n].ringDistance = fractionalPart((float64(n-from)+fractionalPart(float64(zone)*goldenRatio))/float64(to-from) - b.subsetStart)
		}
		from = to
	}
	slices.SortStableFunc(b.ring, func(p, q *endpoint) int { return cmp.Compare(p.ringDistance, q.ringDistance) })
}

func (b *Balancer) isCold(e *endpoint) bool { return e.readyAt > 0 && b.now < e.readyAt+b.coldPeriod }

func (b *Balancer) warmFraction(e *endpoint) float64 {
	if !b.isCold(e) {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*math.Max(float64((b.now-e.readyAt)/b.coldPeriod), 0)
}

func (b *Balancer) relativeWork(x *exchange) float64 {
	return x.product.typicalLatency / b.typicalLatency
}

// time is what an exchange would take at an endpoint behind all that a pool knows to be there.
func (b *Balancer) expectedLatency(x *exchange, e *endpoint) float64 {
	return (e.knownWork() + x.work) * e.latencySum / e.workSum
}

func (b *Balancer) SetNow(now Millis) { b.now = now }

func stepFinished(b *Balancer, x *exchange, _ stepEvent) {
	if x.legsInFlight == 0 {
		b.releaseSlot(x)
	}
}

// unseen is what an endpoint is taken to need for two of whom nothing was seen: in a pool half the usual, to be found out.
// Without talk all sidecars would come at once for that: it is taken for one like all.
func (b *Balancer) initialLatencySum() float64 {
	if b.pool {
		return b.typicalLatency
	}
	return 2 / b.unitCapacity
}
