// Package logic makes every decision of lynxjunction: which endpoint gets a request, and when to hedge, retry, queue
// or shed. It has no I/O, no clock and no goroutines of its own.
//
// New starts an instance from its Terms. SetNow sets the clock before each event. The events are:
//
//   - the list of endpoints: ListStarts (for a whole list only), Listed for each entry, ListEnds;
//   - calls to discovery: ListCallAccepted, and for a call without a list ListCallFailed, ListCallRefused,
//     DiscoveryUnreachable or ListStale;
//   - the watch of the list: ListReceived, WatchEnded, DiscoveryMoved, EarlierWatchEnded and TookOver;
//   - an operator's drains: Drain, Undrain;
//   - messages of other sidecars: PeerMessage;
//   - an endpoint's answer to a probe: Probed;
//   - an exchange: Arrive, then StreamBegan and LegEnded for each leg, and ClientLeft; BodyDiscarded and BodyComplete
//     if its request had not come whole when it arrived;
//   - a timer that is due: TimerFired.
//
// The instance acts through Outgoing. Unknown ids, late timers and late outcomes are harmless.
package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Values set by the design document.
const (
	minWeight           = 0.05 // lowest selection weight of an endpoint
	maxWeight           = 1.0  // highest selection weight of an endpoint
	weightFailureFactor = 0.5  // what a failure leaves of the weight
	weightSuccessStep   = 0.1  // added to the weight by a success

	hedgeDelayQuantile  = 0.98    // of the recent latencies, after which a hedge is sent
	hedgeMinSamples     = 20      // latencies before the hedge delay is used
	hedgeRatioLimit     = 0.1     // hedges for each finished exchange; at this ratio no more are sent
	hedgeWindowMs       = 10000.0 // window over which the ratio of hedges is counted
	hedgeRatioRefreshMs = 5000.0  // interval at which the ratio is computed anew
	hedgeWindowSlots    = 40      // steps in which the window slides

	latencySampleCount       = 256 // most recent latencies kept
	hedgeDelayRefreshSamples = 16  // new latencies after which the hedge delay is computed anew
)

// Values of this implementation. Most are ratios to what the Terms state or to what is measured, so that they hold for
// fast and slow products alike. The shortest and the longest expected time are those among all products. A product's best
// latency is the lowest that its typical (mean) latency has been.
const (
	upkeepIntervalRatio = 0.2 // of the shortest expected time: interval of the periodic upkeep
	evidenceMemoryRatio = 8.0 // of the longest expected time: time constant with which counted outcomes decay

	// An answer is late, and lowers its endpoint's concurrency limit, beyond lateExpectedRatio of the expected time or
	// lateBestRatio times the product's best latency, whichever is longer, but at lateExpectedRatioMax of the expected
	// time in any case. A refusal as full counts as late too.
	lateExpectedRatio    = 0.4
	lateBestRatio        = 1.8
	lateExpectedRatioMax = 0.5

	// A leg counts as lost when its endpoint refuses it as full, or when it takes longer than a limit between
	// lostExpectedRatioMin and lostExpectedRatioMax of the expected time. The limit is the best latency plus
	// lostDeviations standard deviations or, if that is longer, lateBestRatio times the best latency. The latter is
	// multiplied by 1 + lostOverdueFactor * Product.OverdueShare: if an overdue answer is still worth something, its leg
	// counts as lost later.
	lostOverdueFactor    = 3.0
	lostExpectedRatioMin = 0.5
	lostExpectedRatioMax = 0.9
	lostDeviations       = 3.5

	lossGainMax        = 0.25    // most that one leg moves the share of lost legs (moving average)
	lossGainMin        = 0.02    // least that one leg moves the share of lost legs
	lossLongGainRatio  = 1.0 / 6 // of the gain for that share: what one leg moves the long-term share of lost legs
	lossDecaySpans     = 4.0     // longest expected times: time constant with which the share decays without any leg
	lossLongDecaySpans = 16.0    // longest expected times: time constant with which the long-term share decays without any leg

	shedLossThreshold     = 0.37    // combined short- and long-term loss (see overload) from which exchanges are shed
	shedLossSpan          = 0.25    // combined loss beyond the threshold at which all are shed
	slowdownNoneQueue     = 1.0     // latency over the product's best at which no request queues at an endpoint
	slowdownAllQueue      = 1.25    // latency over the product's best at which all queue
	maxSlowdown           = 4.0     // highest latency over the product's best that one answer counts as
	slowdownGainRatio     = 1.0 / 3 // of the gain of lost legs: what one answer moves the mean slowdown
	shedUnqueuedExtraLoss = 1.2     // added to the shedding threshold where no request queues
	shedLongLossWeight    = 4.0     // times the long-term share of lost legs, plus 1: the factor with which that share counts
	shedPauseRatio        = 0.25    // of the mean time between legs: after a shed exchange the next ones are shed at once

	meanRankGain = 0.02  // weight of one exchange in the mean rank
	meanHintGain = 0.005 // weight of one exchange in the mean work hint

	knownGoodMemorySpans = 16.0 // longest expected times for which an answer in time makes its endpoint known-good
	knownGoodWantedSpans = 0.5  // longest expected times: as many known-good endpoints are wanted as legs go out in them
	unprovenLegShare     = 0.02 // of legs that go to unproven endpoints once there are enough known-good ones
	recentFailureFactor  = 0.02 // on the odds of an endpoint that lost a leg lately, or that had a leg of this exchange before

	fleetMinLimit          = 4.0  // least concurrency limit of an endpoint, summed over all sidecars of the fleet
	limitOvercommitRatio   = 1.3  // most legs in flight, over the sum of the endpoints' limits
	alwaysAllowedLegs      = 3.0  // legs in flight that are allowed however small the limits are
	lowLossOvercommitRatio = 3.0  // extra legs in flight while no leg is lost, over those allowed otherwise
	overcommitLossFactor   = 4.0  // on the share of lost legs: part of the extra legs in flight that is taken off
	limitGrowthMinUse      = 0.33 // of the sum of limits that must be in use before any limit grows
	limitGrowthRatio       = 0.02 // growth of a limit by one answer in time
	limitCutRatio          = 0.8  // what a late answer leaves of a limit

	initialLatencyRatio = 0.25    // of the expected time: typical latency before the first answer
	latencyMemoryMs     = 30000.0 // in which a product's typical latency is forgotten when answers are rare

	suspectFailureShare = 0.25 // of failures among an endpoint's outcomes from which it is a suspect
	trialDrawThreshold  = 0.8  // draw of the success rate above which a suspect, or a blocked key, gets a trial

	coldRateMargin      = 0.65 // of the fall multiple: the rate at which a cold endpoint is sent to
	firstLegFallWindows = 3.0  // fall windows within which a sidecar sends an undrained endpoint its first leg
	firstLegSlots       = 1.5  // requests at a time that the first legs of all sidecars together may be at that endpoint

	retryTokensPerExchange = 0.15 // further legs that the end of one exchange earns
	maxRetryTokens         = 12.0 // most retry tokens that are held

	backoffSpans        = 0.25 // longest expected times: base of an endpoint's back-off for a product, doubled by each failure
	maxBackoffDoublings = 7    // failures in a row after which the back-off grows no more
	failingShareGain    = 0.05 // weight of one leg in its product's share of failures
	dedupMemoryShare    = 0.8  // of Product.DedupMemory: a repeat is sent only within it

	queueWaitShare      = 0.12 // of the time left: longest expected wait in the queue
	peerLegsQueueWeight = 0.25 // of the peers' legs in flight, whose ends make room for the queue as well
	tenantShareSlack    = 1.1  // on a tenant's share before it counts as exceeded
	hedgeLossLimit      = 0.3  // long-term share of lost legs above which the trouble is general and no hedge is sent

	peersPerEndpoint = 8 // sidecars of a pool that share one endpoint
	minSubsetSize    = 4 // endpoints that a sidecar of a pool has at least

	fitTimeShare     = 0.45 // of the time left: longest expected latency with which a pool sends an exchange to an endpoint
	fitUnloadedRatio = 4.0  // of the unloaded latency: longest expected latency with which a pool sends an exchange in any case
	fitRankExponent  = 0.5  // on the rank over the mean rank, by which both bounds shrink for exchanges of lower rank

	speedGain            = 0.05  // weight of one leg in its endpoint's speed
	unloadedRiseRatio    = 0.1   // of speedGain: weight in the unloaded latency of a leg that took longer than it
	crossZonePriceFactor = 300.0 // by which the price of another zone lowers the odds of its endpoints
	maxRelativeSpeed     = 3.0   // of an endpoint over the mean of the known-good ones; its inverse is the lowest

	firstListBackoffRatio = 0.05 // of Terms.AskWithin: first wait after a failed call for the list
	maxListBackoffRatio   = 0.25 // of Terms.AskWithin: longest wait after a failed call for the list

	keyCounterCount        = 256  // counters over which keys are spread by their hash
	keyShareMinSamples     = 20.0 // added to the denominator of a key's share of traffic, which too few samples would overstate
	keySpreadFactor        = 1.5  // endpoints that a key is spread over, for its share of traffic times their number
	blockedMinFailures     = 1.4  // lost or failed legs of a key (decayed count) from which it may count as blocked
	blockedMinFailureShare = 0.5  // share of lost or failed legs from which a key is blocked; rises with that of the other keys

	probeMaxLegsPerEndpoint = 0.25   // own legs in flight for each endpoint, below which probes are needed
	probeTimeShare          = 0.15   // of the time left: longest wait for reports
	probeMaxPrice           = 0.01   // points for a probe; no probes where they cost more
	probeWorthPoints        = 0.008  // points that all probes for an exchange may cost
	noReportLoad            = 1000.0 // load assumed of an endpoint that did not answer a probe
	reportAgeTests          = 20.0   // tests of how old reports are, at the start
	reportRetestChance      = 0.005  // chance of one more test, for each upkeep
	warmIdleShare           = 0.8    // of Terms.IdleTimeout, for which an idle connection is taken to be open
	sheddingDrawSpans       = 200.0  // longest expected times in which the shedding draw of a key goes once round
	reportTestGain          = 0.05   // weight of one test in the share of fresh reports
	minFreshShare           = 0.35   // of tests that found a changed report; below it no endpoint is probed
	clearFreshMargin        = 0.14   // distance from minFreshShare at which a quarter of reportAgeTests is enough
	probeFitShare           = 0.5    // of the time left, in which an endpoint must be through with what it reports

	timeLeftFallGain     = 0.005 // weight of one exchange in its product's typical time left, when that falls
	zoneSuccessExponent  = 8.0   // on the share of legs answered in time there over that in the own zone
	pathLatencyRise      = 0.1   // by which the least latency of a zone rises with each answer, until a faster one
	pathFreeShare        = 0.25  // of the expected time that a network path may take without lowering the odds
	minPathFactor        = 0.001 // on the odds of endpoints that are too far away
	keyDecayExponent     = 0.25  // on the decay of other outcomes: counts of keys last longer
	keyedZonePriceFactor = 30.0  // by which the price of another zone lowers the odds there for a request whose key is kept warm

	legsPerHomeEndpoint   = 5.0  // legs within the known-good memory for each endpoint of the home subset
	minHomeSize           = 4.0  // endpoints of the home subset at least
	lowLossFactorSlope    = 60.0 // by which lost legs lower the preference for the home subset
	knownGoodAwayDiscount = 0.7  // taken off the odds of known-good endpoints outside the home subset
	unprovenAwayFactor    = 0.01 // on the odds of unproven endpoints outside the home subset

	fleetListBackoffRatio = 3.0 // added to 1 as a factor on both waits after failed calls for the list, in a large fleet
)

// New starts an instance at the time now: it sets the timer of the upkeep and makes or plans the first call for the
// list of endpoints.
func New(t Terms, out Outgoing, now Millis) *Balancer {
	b := &Balancer{
		Outgoing:             out,
		now:                  now,
		rng:                  t.Seed ^ 0x9e3779b97f4a7c15,
		zone:                 t.Zone,
		tenantShares:         t.Tenants,
		admitted:             make([]float64, len(t.Tenants)),
		overShareValue:       t.OverShareValue,
		maxLegs:              max(t.MaxLegs, 1),
		crossZoneFactor:      1 / (1 + crossZonePriceFactor*t.CrossZonePrice),
		crossZoneKeyedFactor: 1 / (1 + math.Pow(keyedZonePriceFactor*t.CrossZonePrice, 2)),
		mayHedge:             t.MayHedge,
		mayCancel:            t.MayCancel,
		pullsList:            t.PullList,
		byWork:               t.ByWork,
		warmKeys:             t.WarmKeys && !t.Peers,
		answerBuffers:        t.AnswerBuffers,
		deadlineSkew:         t.DeadlineSkew,
		readySkew:            t.ReadySkew,
		unprovenFactor:       1,
		canProbe:             t.MayProbe && t.ReportsLoad && !t.Peers && t.ProbePrice <= probeMaxPrice,
		probeMinLoss:         math.Max(t.ProbePrice-probeWorthPoints/4, 0) * 2,
		maxProbes:            max(2, int(probeWorthPoints/math.Max(t.ProbePrice, probeWorthPoints/4))),
		pool:                 t.Peers && t.Fleet > 1,
		self:                 max(t.SidecarNumber, 0),
		coldPeriod:           t.ColdPeriod,
		coldFrom:             t.ColdFrom,
		coldRate:             t.FallMultiple * coldRateMargin,
		fallWindow:           t.FallWindow,
		slowdown:             1,
		fleet:                float64(max(t.Fleet, 1)),
		timerTolerance:       2 * t.TimerTick,
		byID:                 map[EndpointID]*endpoint{},
		drainedByOperator:    map[EndpointID]bool{},
		undrainedAt:          map[EndpointID]Millis{},
		exchanges:            map[ExchangeID]*exchange{},
		legBudget:            legBudget{free: t.ExtraFree, ratio: t.ExtraRatio, window: t.BudgetWindow},
		retryTokens:          maxRetryTokens / 4,
		hedgeRatioAt:         now,
		maxRetryAfter:        t.MaxRetryAfter,
		byWireID:             map[uint16]*endpoint{},
	}
	b.minLimit, b.subsetStart = math.Min(fleetMinLimit/b.fleet, 1), b.subsetStartOf(t.SidecarNumber)
	// Discovery answers calls one after another and drops those that wait too long. If the sidecars of a large fleet
	// call again soon, none gets an answer.
	listCallPeriod := t.AskWithin * Millis(1+fleetListBackoffRatio*(1-b.minLimit))
	if b.pool {
		b.minLimit = 1 // with all legs known, a pool sheds as a single sidecar would
	}
	b.listBackoffFirst, b.listBackoffMax = listCallPeriod*firstListBackoffRatio, listCallPeriod*maxListBackoffRatio
	if most := t.MaxListWait / (0.5 + 1); most > 0 { // jitter adds up to half of a wait
		b.listBackoffFirst, b.listBackoffMax = min(b.listBackoffFirst, most), min(b.listBackoffMax, most)
	}
	b.listBackoff = b.listBackoffFirst
	shortest, longest := Millis(math.Inf(1)), Millis(0)
	for n, p := range t.Products {
		b.products = append(b.products,
			product{Product: p, index: n, typicalLatencyAt: now,
				typicalLatency: math.Max(float64(p.Expected)*initialLatencyRatio, 1)})
		if p.Expected > 0 {
			shortest, longest = min(shortest, p.Expected), max(longest, p.Expected)
		}
	}
	if longest == 0 {
		shortest, longest = 1000, 1000
	}
	b.unknown = product{Product: Product{Value: 1, OverdueShare: 1, Expected: longest}, typicalLatencyAt: now,
		index: len(t.Products), typicalLatency: float64(longest) * initialLatencyRatio}
	b.productsFull = make([]bool, len(b.products)+1)
	b.warmPeriod, b.knownGoodMemory = t.IdleTimeout*warmIdleShare, longest*knownGoodMemorySpans
	b.upkeepInterval, b.typicalLatency, b.longestExpected =
		shortest*upkeepIntervalRatio, float64(shortest)*initialLatencyRatio, longest
	b.unloadedLatency, b.unitCapacity, b.latencySum, b.workSum = b.typicalLatency, 1/b.typicalLatency, b.typicalLatency, 1
	b.decayPerTick = math.Exp(-float64(b.upkeepInterval / (longest * evidenceMemoryRatio)))
	b.presumeFresh(t.ProbePrice)
	b.SetTimer(b.upkeepInterval, 0)
	b.startCalls(t)
	return b
}

// Drain takes an endpoint out of service on an operator's order: it gets no new leg until Undrain, whatever the list
// says.
func (b *Balancer) Drain(id EndpointID) {
	b.drainedByOperator[id] = true
	b.refreshReady()
}

// Undrain ends an operator's drain. Operators restart an endpoint while it is drained, so that its history no longer
// holds and it counts as cold from now on.
func (b *Balancer) Undrain(id EndpointID) {
	if !b.drainedByOperator[id] {
		return
	}
	delete(b.drainedByOperator, id)
	b.undrainedAt[id] = b.now
	if e := b.byID[id]; e != nil {
		b.resetHistory(e)
		e.readyAt, e.awaitsFirstLeg = b.now, true
	}
	b.refreshReady()
	b.dispatchQueue()
}

// resetHistory forgets what was observed of an endpoint, as after a restart. It starts at the mean weight of the ready
// endpoints.
func (b *Balancer) resetHistory(e *endpoint) {
	weight, count := 0.0, float64(len(b.ready))
	for _, o := range b.ready {
		weight += o.weight / count
	}
	// The cold tokens start at random, so that sidecars which learn of the endpoint together don't all send at once.
	e.history = history{weight: cmp.Or(weight, maxWeight), limit: math.Min(b.minLimit*(1+b.minLimit), 1),
		coldTokens: b.random(), latencySum: b.initialLatencySum(), workSum: 2, backoffs: make([]backoff, len(b.products)+1)}
}

// ListEnds ends a list event and forgets the endpoints that are neither listed nor have a leg out. A list from the disk
// is an old one; any other shows that discovery works, which ends the back-off of calls.
func (b *Balancer) ListEnds(fromDisk bool) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if !e.listed && e.legs == 0 {
			delete(b.byID, e.id)
			delete(b.byWireID, e.wireID)
		}
		return !e.listed && e.legs == 0
	})
	maps.DeleteFunc(b.undrainedAt, func(_ EndpointID, at Millis) bool { return b.now > at+b.coldPeriod })
	b.refreshReady()
	if !fromDisk {
		b.listBackoff = b.listBackoffFirst
	}
	b.dispatchQueue()
}

// refreshReady computes the endpoints that may get legs: those that are running, listed and not drained by an operator;
// in a pool only this sidecar's subset of them. What is derived from them is computed anew.
func (b *Balancer) refreshReady() {
	b.ready, b.readySize = b.ready[:0], 0
	for _, e := range b.endpoints {
		if e.running = e.up && e.listed && !b.drainedByOperator[e.id]; e.running {
			b.ready = append(b.ready, e)
		}
	}
	if b.pool {
		slices.SortStableFunc(b.ready, func(p, q *endpoint) int { return cmp.Compare(b.subsetOrder(p), b.subsetOrder(q)) })
		if firstOther := slices.IndexFunc(b.ready, func(e *endpoint) bool { return b.subsetOrder(e) > 0 }); firstOther >= 0 {
			b.ready = b.ready[:min(max(firstOther, minSubsetSize), len(b.ready))]
		}
	}
	b.odds = b.odds[:0]
	for _, e := range b.ready {
		b.readySize, b.odds = b.readySize+e.size, append(b.odds, 0)
	}
	b.buildRing()
	b.updateSelection()
}

// subsetOrder is 0 for an endpoint in this sidecar's subset, and a hash otherwise. Consistent hashing assigns an endpoint
// to peersPerEndpoint sidecars of the pool, which keep connections to it and notify one another of their legs there. The
// other endpoints follow in an order that differs from sidecar to sidecar, to fill up a subset that came out too small.
func (b *Balancer) subsetOrder(e *endpoint) uint64 {
	for n := 0; len(e.peers) < peersPerEndpoint && n < 2*peersPerEndpoint; n++ {
		if peer := jumpHash(mixHash(e.wireID, n), b.fleet); e.peerIndex(peer) < 0 {
			e.peers = append(e.peers, sharingPeer{peer: peer})
		}
	}
	if e.peerIndex(b.self) >= 0 {
		return 0
	}
	return mixHash(e.wireID, -2-int(b.self)) | 1
}

// Arrive takes an exchange, which from here on has to get exactly one final answer. Depending on admission it is shed,
// sent to an endpoint or queued. An exchange whose request is incomplete gets no hedge, and after BodyDiscarded no
// further leg. The hint is the expected work in any unit; 0 for none.
func (b *Balancer) Arrive(id ExchangeID, p ProductID, t TenantID, k KeyID, abandonAt Millis, hint float64,
	incomplete bool) {
	x := b.acquireSlot()
	x.id, x.product, x.tenant, x.work, x.incomplete, x.bodyDiscarded = id, &b.unknown, t, 1, incomplete, false
	x.key, x.answered, x.overdue, x.probedAt = k, false, false, 0
	if p >= 0 && int(p) < len(b.products) {
		x.product = &b.products[p]
	}
	if hint > 0 {
		b.hintCount++
		b.meanHint += math.Max(1/b.hintCount, meanHintGain) * (hint - b.meanHint)
		x.work = hint / b.meanHint
	}
	b.setDeadline(x, abandonAt)
	b.legBudget.exchanges.add(b.now, 1)
	b.keyTraffic[k%keyCounterCount]++
	b.keyTrafficTotal++
	b.exchanges[id] = x
	if reason := b.admit(x, b.shouldProbe()); reason != LegsFailed {
		b.giveUp(x, reason)
	} else {
		b.route(x)
	}
}

// setDeadline sets the time after which an answer to an exchange is worth nothing: when its client abandons it, or after
// the product's expected time if an overdue answer is worth nothing. Where abandon times may be off by
// Terms.DeadlineSkew, the product's typical time left corrects them by that much at most.
func (b *Balancer) setDeadline(x *exchange, abandonAt Millis) {
	p := x.product
	if b.deadlineSkew > 0 {
		given := abandonAt - b.now
		p.typicalTimeLeft = max(p.typicalTimeLeft-(p.typicalTimeLeft-given)*timeLeftFallGain, given)
		abandonAt = b.now + min(max(p.typicalTimeLeft, given-b.deadlineSkew), given+b.deadlineSkew)
	}
	if x.deadline, x.abandonAt = abandonAt, abandonAt; p.OverdueShare <= 0 && p.Expected > 0 {
		x.deadline = min(abandonAt, b.now+p.Expected)
	}
}

// admit decides whether an exchange is taken (LegsFailed, the zero Reason) or shed, and why. The part to shed follows the
// share of lost legs, and exchanges of lower rank are shed first. Behind one that was shed, those that follow closely are
// shed too, which covers clients that retry at once. Exchanges of a key that is blocked or has an overdue leg are shed,
// but for trials of a blocked one. With byReports the loss is ignored: probes decide afterwards.
func (b *Balancer) admit(x *exchange, byReports bool) Reason {
	rank := b.rank(x)
	b.meanRank = cmp.Or(b.meanRank, rank)
	b.meanRank += meanRankGain * (rank - b.meanRank)
	k := x.key % keyCounterCount
	if x.key != 0 && (b.overdueByKey[k] > 0 ||
		b.blocked(x) && b.drawSuccessRate(b.outcomesByKey[k].outcomeCounts) < trialDrawThreshold) {
		return ShedPause
	}
	if byReports {
		return LegsFailed // the endpoints' load reports decide
	}
	if b.now < b.shedUntil {
		return ShedPause
	}
	if b.sheddingDraw(x) < math.Pow(1-b.overload(), b.meanRank/rank) {
		return LegsFailed
	}
	b.shedUntil = b.now + min(b.upkeepInterval, Millis(shedPauseRatio/math.Max(b.legRate, 1e-6)))
	return LossShed
}

// sheddingDraw is a number from 0 to 1; an exchange is shed if it is too high. Where endpoints keep keys warm it depends
// on the key and drifts slowly, alike at all sidecars: the keys that are admitted stay warm, and the work that this saves
// lets more be admitted.
func (b *Balancer) sheddingDraw(x *exchange) float64 {
	if !b.warmKeys || x.key == 0 {
		return b.random()
	}
	_, draw := math.Modf(hashDraw(x.key, 0) + float64(b.now/(b.longestExpected*sheddingDrawSpans)))
	return draw
}

// overload is the part of the exchanges to shed, from 0 to 1, by the short- and long-term shares of lost legs. It is less
// in a small fleet, down to zero, where concurrency limits of at least one leg each hold back enough by themselves.
// Shedding does not save legs that are lost to a network cut or a lost answer: while answers are as fast as ever, the
// threshold is higher.
func (b *Balancer) overload() float64 {
	loss := b.lossShare + b.lossShareLong*(1+shedLongLossWeight*b.lossShareLong)
	loss -= shedUnqueuedExtraLoss * math.Min(math.Max((slowdownAllQueue-b.slowdown)/(slowdownAllQueue-slowdownNoneQueue), 0), 1)
	return (1 - b.minLimit*b.minLimit) * math.Min(math.Max((loss-shedLossThreshold)/shedLossSpan, 0), 1)
}

// route sends an exchange to an endpoint, at once or after probes, or queues it if none has capacity or others wait.
func (b *Balancer) route(x *exchange) {
	if x.probedAt, x.candidates, x.otherZones = 0, x.candidates[:0], false; len(b.queue) == 0 {
		if one, two := b.drawCandidates(x); two != nil && b.shouldProbe() {
			x.probedAt = b.now
			b.probeCandidates(x, one, two)
			return
		} else if one != nil && b.send(x, b.lessLoaded(x, one, two)) {
			return
		}
	}
	b.enqueue(x)
}

// shouldProbe tells whether endpoints are probed before an exchange is sent: this sidecar has too few legs in flight to
// know their load, probes are allowed, reports are fresh, and the probes cost no more than the lost legs do.
func (b *Balancer) shouldProbe() bool {
	few := b.legRate*b.typicalLatency < probeMaxLegsPerEndpoint*float64(len(b.ready))
	known := b.freshShare > minFreshShare && (b.probeMinLoss == 0 || b.reportAgeKnown())
	return b.canProbe && few && known && b.lossShare+b.lossShareLong >= b.probeMinLoss
}

// probeCandidates asks a few endpoints for their load before an exchange is sent: a sidecar that sends little does not
// know what others sent there. The candidates are the two drawn before and others drawn by their odds.
func (b *Balancer) probeCandidates(x *exchange, one, two *endpoint) {
	x.candidates, x.next = append(x.candidates, one), stepProbing
	if two != nil {
		x.candidates = append(x.candidates, two)
	}
	for i, e := range b.ready {
		if e == two || b.isCold(e) { // the least loaded candidate wins, which must not draw more legs to a cold endpoint
			b.odds[i] = 0
		}
	}
	for remaining := sum(b.odds); len(x.candidates) < b.maxProbes && remaining > 1e-9; remaining = sum(b.odds) {
		i := b.drawIndex(remaining)
		b.odds[i], x.candidates = 0, append(x.candidates, b.ready[i])
	}
	for _, e := range x.candidates {
		if !e.probing && e.reportedAt < x.probedAt {
			e.probing = true
			b.Probe(e.id)
		}
	}
	b.awaitingReports = append(b.awaitingReports, x)
	b.setExchangeTimer(x, max(Millis(probeTimeShare*float64(x.deadline-b.now)), b.timerTolerance), waitExpired)
}

// Probed takes an endpoint's load report, or with ok false that a probe was not answered. An exchange goes out once all
// its candidates have reported; after each report the others are left as long again as that report took. A candidate
// that does not report counts as heavily loaded (noReportLoad), so that one that has reported is chosen.
func (b *Balancer) Probed(id EndpointID, ok bool, l Load) {
	e := b.byID[id]
	if e == nil {
		return
	}
	if ok = ok && l.Held >= 0; e == b.testedEndpoint && !ok {
		b.testedEndpoint = nil
	}
	if e.probing = false; ok {
		e.reportedAt, e.reportedLoad = b.now, l.Held
		b.recordReport(e, l)
	}
	// Backwards, as an exchange that has all its reports leaves the slice, or is appended again at its end.
	for i := len(b.awaitingReports) - 1; i >= 0 && ok; i-- {
		if x := b.awaitingReports[i]; slices.Contains(x.candidates, e) {
			if !slices.ContainsFunc(x.candidates, func(e *endpoint) bool { return e.reportedAt < x.probedAt }) {
				b.sendToLeastReported(x)
			} else {
				b.setExchangeTimer(x, b.now-x.probedAt+b.timerTolerance, waitExpired)
			}
		}
	}
}

// testReports probes an endpoint twice, one upkeep apart, to learn how old load reports are: if they hardly ever change
// in between, they are too old to be used.
func (b *Balancer) testReports() {
	if !b.canProbe || len(b.ready) == 0 || b.reportAgeKnown() && b.random() > reportRetestChance {
		return
	}
	if b.testedEndpoint == nil {
		i := slices.IndexFunc(b.ready, func(e *endpoint) bool {
			if b.probeMinLoss == 0 {
				return e.legs > 0
			}
			return e.legs == 0 && e.inTimeAt > b.now-b.upkeepInterval // has an idle connection, so that the probe opens none
		})
		if i < 0 || b.lossShare+b.lossShareLong < b.probeMinLoss {
			return // the report of an idle endpoint does not change
		}
		b.testedEndpoint, b.firstReport = b.ready[i], Load{Held: -2}
	}
	b.Probe(b.testedEndpoint.id)
}

// reportAgeKnown tells whether enough tests of the reports' age were made; a quarter is enough where the result is clear.
func (b *Balancer) reportAgeKnown() bool {
	return b.reportTests >= reportAgeTests ||
		b.reportTests >= reportAgeTests/4 && math.Abs(b.freshShare-minFreshShare) > clearFreshMargin
}

// presumeFresh takes reports for fresh until tests show otherwise, where a probe costs next to nothing.
func (b *Balancer) presumeFresh(price float64) {
	if price <= probeWorthPoints/4 {
		b.reportTests, b.freshShare = reportAgeTests/4, minFreshShare+clearFreshMargin/2
	}
}

// allows tells whether one more leg may be sent now. An event exactly at the window's edge is counted so that the answer
// errs towards no: a further leg still counts, an exchange no longer does.
func (r *legBudget) allows(now Millis) bool {
	if r.window <= 0 {
		return true
	}
	return r.furtherLegs.since(now-r.window, true)+1 <= r.free+r.ratio*r.exchanges.since(now-r.window, false)
}

// reportsBusy tells whether an endpoint reported more load than it can work off in probeFitShare of the time left, or did
// not report.
func (b *Balancer) reportsBusy(x *exchange, e *endpoint) bool {
	return e.reportedAt < x.probedAt ||
		(e.reportedLoad+1)*b.latencySum/b.workSum/b.warmFraction(e) > probeFitShare*float64(x.deadline-b.now)
}

// stepProbing is the state of an exchange that waits for load reports.
func stepProbing(b *Balancer, x *exchange, r stepEvent) {
	switch r.kind {
	case waitExpired:
		b.sendToLeastReported(x)
	case clientLeft:
		b.stopAwaitingReports(x)
		b.finish(x)
	}
}

// sendToLeastReported sends an exchange to the candidate with the lowest load. If even that one is busy, candidates of
// other zones are probed too, once, and a first leg has to pass admission by the share of lost legs.
func (b *Balancer) sendToLeastReported(x *exchange) {
	b.stopAwaitingReports(x)
	e := slices.MinFunc(x.candidates, func(p, q *endpoint) int { return cmp.Compare(b.load(x, p), b.load(x, q)) })
	if b.reportsBusy(x, e) && !x.otherZones {
		x.otherZones = true // the own zone may get more requests than its endpoints can serve
		if one, two := b.drawCandidates(x); one != nil {
			if x.candidates = x.candidates[:0]; e.reportedAt >= x.probedAt {
				x.candidates = append(x.candidates, e)
			}
			b.probeCandidates(x, one, two)
			return
		}
		x.otherZones = false // no endpoint of another zone may be sent to
	}
	if len(x.legs) == 0 && b.reportsBusy(x, e) {
		if reason := b.admit(x, false); reason != LegsFailed {
			b.giveUp(x, reason)
			return
		}
	}
	if !b.send(x, e) {
		b.enqueue(x)
	}
}

// send sends a leg if maySend permits it, and tells whether it did. All legs leave from here.
func (b *Balancer) send(x *exchange, e *endpoint) bool {
	if !b.maySend(x, e) {
		return false
	}
	if e.awaitsFirstLeg = false; b.isCold(e) {
		e.coldTokens -= b.relativeWork(x)
	}
	if s := &e.backoffs[x.product.index]; s.failures >= 2 {
		s.retryAt = max(s.retryAt, b.now+b.longestExpected) // this leg is the trial; others wait for its outcome
	}
	if len(x.legs) == 0 {
		b.countAdmitted(x.tenant)
	} else {
		b.legBudget.furtherLegs.add(b.now, 1)
	}
	// A leg gets all the time left: ending it early for the sake of a further leg wastes more work than it saves. Where
	// clocks differ it gets the time until the client abandons the exchange: an endpoint whose clock is ahead gives up
	// requests that by its own clock have too little time left. A timer ends the exchange at its deadline then.
	timeout := max(x.deadline-b.now-b.timerTolerance, b.timerTolerance/2, 1)
	if b.deadlineSkew > 0 {
		timeout = max(x.abandonAt-b.now, b.timerTolerance/2, 1)
		if x.deadline < x.abandonAt && len(x.legs) == 0 {
			b.setExchangeTimer(x, max(x.deadline-b.now-b.timerTolerance, 1), timeExpired)
		}
	}
	x.legs = append(x.legs, leg{to: e, zone: e.zone, cell: e.cell, sentAt: b.now, work: x.work, transferOnly: true})
	l := &x.legs[len(x.legs)-1]
	x.legsInFlight, b.legsSent, x.next = x.legsInFlight+1, b.legsSent+1, stepRunning
	b.setTransferOnly(l, x.incomplete)
	if l.workAhead = e.knownWork(); x.probedAt > 0 && e.reportedAt >= x.probedAt {
		l.workAhead = e.reportedLoad + 1
	}
	b.notifyPeers(x, l, Unknown, 0)
	b.Send(x.id, e.id, timeout)
	if b.mayHedge && len(x.legs) == 1 && b.latencyCount >= hedgeMinSamples && b.hedgeDelay < x.deadline-b.now {
		b.setExchangeTimer(x, b.hedgeDelay, hedgeDue)
	}
	return true
}

// LegEnded takes the outcome of a leg and how long it took. With closed the exchange has had its final answer or needs
// none, so that it is over. Otherwise it is retried, queued or given up, unless another leg is still in flight.
func (b *Balancer) LegEnded(id ExchangeID, n LegNo, o Outcome, took Millis, closed bool) {
	x := b.exchanges[id]
	if x == nil || int(n) >= len(x.legs) || x.legs[n].ended {
		return
	}
	l := &x.legs[n]
	l.ended, l.neverRan = true, o == Full || o == NoConnection || o == NotSent
	if x.legsInFlight--; x.legsInFlight == 0 {
		b.setOverdue(x, false) // no leg is in flight, and the exchange may be retried or queued
	}
	b.setTransferOnly(l, true)
	if o == NotSent && n > 0 {
		b.legBudget.furtherLegs.add(l.sentAt, -1)
	}
	if !l.streaming || o != Succeeded && o != Cancelled {
		b.recordOutcome(x, l, o, float64(took))
	}
	x.next(b, x, stepEvent{kind: legEnded, outcome: o, closed: closed})
	b.dispatchQueue()
}

// stepRunning is the state of an exchange with at least one leg out.
func stepRunning(b *Balancer, x *exchange, r stepEvent) {
	switch {
	case r.kind == clientLeft || r.closed:
		b.finish(x)
	case r.kind == streamBegan:
		x.next = stepStreaming
	case r.kind == timeExpired:
		b.giveUp(x, LegsFailed)
	case r.kind == hedgeDue:
		b.hedge(x)
	case r.kind != legEnded || x.legsInFlight > 0:
	case b.mayRetry(x):
		b.retryTokens--
		b.route(x)
	case b.lease.suspended && len(x.legs) < b.maxLegs && !slices.ContainsFunc(x.legs, func(l leg) bool { return !l.neverRan }):
		b.enqueue(x) // it is sent once a list is received
	default:
		b.giveUp(x, LegsFailed)
	}
}

// stepQueued is the state of an exchange in the queue.
func stepQueued(b *Balancer, x *exchange, r stepEvent) {
	switch r.kind {
	case waitExpired:
		b.dequeue(x)
		b.giveUp(x, QueueTimeout)
	case clientLeft:
		b.dequeue(x)
		b.finish(x)
	}
}

// stepStreaming is the state of an exchange whose answer is being streamed to the client.
func stepStreaming(b *Balancer, x *exchange, r stepEvent) {
	if r.closed || r.kind == clientLeft {
		b.finish(x)
	}
}

// finish ends an exchange that has its answer or whose client has left: its legs in flight are cancelled, its end earns
// part of a retry token, and its slot is released once no leg is out.
func (b *Balancer) finish(x *exchange) {
	b.setOverdue(x, false)
	x.answered = true
	b.cancelOthers(x, -1)
	b.hedgeWindow[b.hedgeSlot].ended++
	b.retryTokens, x.next = math.Min(b.retryTokens+retryTokensPerExchange, maxRetryTokens), stepFinished
	stepFinished(b, x, stepEvent{})
}

// cancelOthers cancels all legs of an exchange but the one to keep; -1 keeps none.
func (b *Balancer) cancelOthers(x *exchange, keep LegNo) {
	for n, l := range x.legs {
		if b.mayCancel && !l.ended && LegNo(n) != keep {
			b.Cancel(x.id, LegNo(n))
		}
	}
}

// giveUp answers an exchange without a result: as shed where a retry by the client is known to be harmless (nothing ran,
// or a repeat has no further effect), else as failed.
func (b *Balancer) giveUp(x *exchange, reason Reason) {
	harmless := x.product.Effect == Retryable ||
		x.product.Effect == Deduplicated && x.product.Group == AllEndpoints
	if harmless || !slices.ContainsFunc(x.legs, func(l leg) bool { return !l.neverRan }) {
		b.Shed(x.id, reason, min(b.maxRetryAfter, x.product.Expected))
	} else {
		b.Fail(x.id, reason)
	}
	b.finish(x)
}

// mayRetry tells whether an exchange may get another leg: enough retry tokens are left (more are needed for a product that
// fails everywhere), and an answer in time is still possible.
func (b *Balancer) mayRetry(x *exchange) bool {
	return !b.blocked(x) && b.retryTokens >= 1+maxRetryTokens*x.product.failingShare && len(x.legs) < b.maxLegs &&
		float64(x.deadline-b.now) > x.product.typicalLatency/2 &&
		slices.ContainsFunc(b.ready, func(e *endpoint) bool { return b.maySend(x, e) })
}

// hedge sends a second leg beside one that takes long, unless the limit on hedges is reached or all legs are slow: then
// hedges only add to the overload.
func (b *Balancer) hedge(x *exchange) {
	if x.legsInFlight != 1 || len(x.legs) > 1 || x.incomplete || b.blocked(x) ||
		b.hedgeRatio >= hedgeRatioLimit || b.lossShareLong > hedgeLossLimit {
		return
	}
	if e := b.pick(x); e != nil && b.send(x, e) {
		b.hedgeWindow[b.hedgeSlot].hedges++
	}
}

// LegStalled says that a leg's answer has begun and pauses. It goes on, since nobody else has a better answer so far; another leg
// is sent beside it if a retry would be affordable and legs may be in flight together. The first whole answer counts.
func (b *Balancer) LegStalled(id ExchangeID, n LegNo) {
	x := b.exchanges[id]
	if x == nil || x.answered || int(n) >= len(x.legs) || x.legs[n].ended || x.legs[n].streaming || x.legsInFlight > 1 || !b.mayRetry(x) {
		return
	}
	if e := b.pick(x); e != nil && b.send(x, e) {
		b.retryTokens--
	}
}

// permits tells whether a product may be sent to endpoints of this zone and kind of machine. It is evaluated whenever an
// endpoint is listed.
func (p *Product) permits(zone ZoneID, kind KindID) bool {
	return (p.RunsIn == nil || slices.Contains(p.RunsIn, zone)) &&
		(p.AllowedOn == nil || slices.Contains(p.AllowedOn, kind))
}

// maySend holds every rule that a leg must keep: the lease on the list, the product's zones and kinds of machine, the
// bounds on further legs, the scope in which repeats are dropped, and the rate limit of cold endpoints.
func (b *Balancer) maySend(x *exchange, e *endpoint) bool {
	if b.lease.suspended || !e.running || !e.allowed[x.product.index] || len(x.legs) >= b.maxLegs || x.deadline <= b.now ||
		len(x.legs) > 0 && (x.bodyDiscarded || !b.legBudget.allows(b.now)) {
		return false
	}
	first := true
	for _, l := range x.legs {
		if l.neverRan {
			continue
		}
		if !l.ended && (!b.mayHedge || l.to == e) || x.product.Effect == SingleUse {
			return false
		}
		if x.product.Effect == Deduplicated {
			g := x.product.Group
			if g == OneZone && l.zone != e.zone || g == OneCell && l.cell != e.cell ||
				first && b.now-l.sentAt > x.product.DedupMemory*dedupMemoryShare {
				return false
			}
			first = false
		}
	}
	// Tokens start at random below one. If less than one sufficed for a light exchange, part of a large fleet would send
	// to a cold endpoint at once.
	return !b.isCold(e) || e.coldTokens >= math.Max(b.relativeWork(x), 1)
}

// pick is the power of two choices: it draws two endpoints by their odds and returns the less loaded one; nil for none.
func (b *Balancer) pick(x *exchange) *endpoint {
	one, two := b.drawCandidates(x)
	return b.lessLoaded(x, one, two)
}

// lessLoaded returns the endpoint with the lower load of one or two.
func (b *Balancer) lessLoaded(x *exchange, one, two *endpoint) *endpoint {
	if two != nil && b.load(x, two) < b.load(x, one) {
		return two
	}
	return one
}

// drawCandidates draws two endpoints, or as many as there are, by their odds among those that may get a leg of this
// exchange and have capacity. The odds are the product of weight, size and warm-up with factors for speed, zone, known
// behaviour and recent failures. Suspects are left out but for trials: they seem to have capacity only because they fail.
func (b *Balancer) drawCandidates(x *exchange) (one, two *endpoint) {
	total, fits, keyed := 0.0, b.fitTime(x), b.warmKeys && x.key != 0
	b.limitSum, b.peerWork = 0, 0
	for i, e := range b.ready {
		warm := b.warmFraction(e)
		// A cold endpoint does not have its whole limit yet.
		b.limitSum, b.peerWork, b.odds[i] = b.limitSum+e.limit*warm, b.peerWork+e.peerWork, 0
		full := e.legs > 0 && float64(e.legs) > e.limit-b.random()
		if b.pool {
			full = e.knownWork() > 0 && b.expectedLatency(x, e) > fits
		}
		if x.otherZones && e.zone == b.zone || full && !keyed || !b.maySend(x, e) || !b.mayTry(x, e) || b.backsOff(x, e) {
			continue
		}
		if e.awaitsFirstLeg {
			return e, nil // the first leg after its drain: a sidecar with little traffic would not draw it for long
		}
		odds := e.weight * e.size * warm
		if b.pool {
			odds *= b.typicalLatency * e.workSum / e.latencySum
		} else if !b.isCold(e) {
			odds *= 1 - b.lowLossFactor*(1-e.relativeSpeed*e.relativeSpeed)
		}
		odds *= b.zoneFactor(x, e)
		if !keyed && !b.knownGood(e) {
			if !b.isCold(e) { // cold tokens limit cold endpoints, which must be drawn to warm up
				odds *= b.unprovenOdds(e)
			}
			if b.now-e.lostAt < knownGoodMemorySpans*b.longestExpected {
				odds *= recentFailureFactor
			}
		} else if !keyed && !e.home {
			odds *= 1 - knownGoodAwayDiscount*b.lowLossFactor
		}
		if slices.ContainsFunc(x.legs, func(l leg) bool { return l.to == e }) {
			odds *= recentFailureFactor // it had a leg of this exchange before
		}
		b.odds[i] = odds
		total += odds
	}
	// In a large fleet the many small limits must not add up to an overload of the endpoints. While no leg is lost, a
	// sidecar with much traffic needs more than the sum of its limits.
	lowLoss := math.Max(1-overcommitLossFactor*(b.lossShare+b.lossShareLong), 0)
	if total <= 0 || !b.pool && float64(b.legsInFlight+1) >
		math.Max(b.limitSum*limitOvercommitRatio, alwaysAllowedLegs)*(1+lowLossOvercommitRatio*lowLoss) {
		return nil, nil
	}
	first, second := b.drawTwo(x, total, keyed)
	if second >= 0 {
		two = b.ready[second]
	}
	return b.ready[first], two
}

// knownGood tells whether an endpoint answered in time lately, and lost no leg since. A sidecar with little traffic sends
// to the other endpoints too seldom to know how they behave.
func (b *Balancer) knownGood(e *endpoint) bool {
	return e.inTimeAt > e.lostAt && b.now-e.inTimeAt < b.knownGoodMemory
}

// unprovenOdds is the factor on the odds of an endpoint that is not known-good. The home subsets of all sidecars cover the
// endpoints evenly: while hardly a leg is lost, endpoints of the own one are drawn as if they were known-good. When legs
// are lost, only endpoints that answered lately count.
func (b *Balancer) unprovenOdds(e *endpoint) float64 {
	if !e.home {
		return b.unprovenFactor * unprovenAwayFactor
	}
	return math.Max(b.unprovenFactor, b.lowLossFactor)
}

// drawTwo draws two indexes of ready by their odds, or one and -1 if there is no other. Where endpoints keep keys warm
// (keyed) weighted rendezvous hashing takes the place of the random draw, so that all sidecars send a key to the same
// endpoints; the random draw is among as many of these as the key's share of the traffic fills.
func (b *Balancer) drawTwo(x *exchange, total float64, keyed bool) (one, two int) {
	if !keyed {
		one = b.drawIndex(total)
		if total -= b.odds[one]; total <= 1e-9 {
			return one, -1
		}
		b.odds[one] = 0
		return one, b.drawIndex(total)
	}
	for i, e := range b.ready {
		if b.odds[i] > 0 {
			b.odds[i] /= -math.Log(hashDraw(x.key, e.hash)) // instead of the power 1/odds, which underflows for small odds
		}
	}
	width := 1 + int(keySpreadFactor*b.keyTrafficShare(x)*float64(len(b.ready)))
	for b.drawOrder = b.drawOrder[:0]; len(b.drawOrder) <= width; {
		i := slices.Index(b.odds, slices.Max(b.odds))
		if b.odds[i] <= 0 {
			break
		}
		b.drawOrder, b.odds[i] = append(b.drawOrder, i), 0
	}
	n := min(width, len(b.drawOrder))
	at := int(b.random() * float64(n))
	one, two = b.drawOrder[at], -1
	if others := len(b.drawOrder) - 1; others > 0 {
		two = b.drawOrder[(at+1+int(b.random()*float64(others)))%len(b.drawOrder)]
	}
	return one, two
}

// fitTime is the longest expected latency with which a pool sends an exchange to an endpoint. It is shorter for exchanges
// of low rank, which leaves capacity for the others.
func (b *Balancer) fitTime(x *exchange) float64 {
	limit := math.Min(fitTimeShare*float64(x.deadline-b.now), fitUnloadedRatio*b.unloadedLatency)
	return limit * math.Min(math.Pow(b.rank(x)/b.meanRank, fitRankExponent), 1)
}

// zoneFactor is the factor, up to 1, on the odds of an endpoint in another zone: by the price of crossing zones, by the
// latency of the network path, and by the share of legs answered in time there against that in the own zone.
func (b *Balancer) zoneFactor(x *exchange, e *endpoint) float64 {
	odds := b.crossZoneFactor
	if e.zone == b.zone {
		return 1
	} else if b.warmKeys && x.key != 0 {
		odds = b.crossZoneKeyedFactor
	}
	return math.Min(odds*b.pathFactor(x, e)*
		math.Pow(b.zoneSuccessShare(e.zone)/b.zoneSuccessShare(b.zone), zoneSuccessExponent), 1)
}

// pathFactor is the factor on the odds of an endpoint by the part of the product's expected time that the network path
// takes. The time of the work varies while that of a path hardly does: the least latency of answers from there less that
// of answers from here is taken for the path's latency. Without the factor legs that cannot be in time would count as lost
// and be taken for a sign of queues. The factor also keeps legs off slow paths; it does harm where all answers of a zone
// take long for another reason.
func (b *Balancer) pathFactor(x *exchange, e *endpoint) float64 {
	here, there := b.pathLatency[b.zone], b.pathLatency[e.zone]
	if here == 0 || there <= here || x.product.Expected <= 0 {
		return 1
	}
	left := math.Max(1-(there-here)/float64(x.product.Expected), 0) / (1 - pathFreeShare)
	return math.Min(math.Max(left*left, minPathFactor), 1)
}

// load is what drawn endpoints are compared by: the work in flight there, or the reported load if they were probed. In a
// pool, where the work of all sidecars is known, and for requests with a key that is kept warm, if their candidates were
// not probed, it is the expected latency. Endpoints in other zones count as more loaded.
func (b *Balancer) load(x *exchange, e *endpoint) float64 {
	l := e.knownWork() + 1
	if e.reportedAt >= x.probedAt && x.probedAt > 0 {
		l = (e.reportedLoad + 1) / (e.size * b.warmFraction(e)) // a cold endpoint is idle because it is sent to slowly
	} else if x.probedAt > 0 {
		l += noReportLoad
	}
	if b.pool || b.warmKeys && x.key != 0 && x.probedAt == 0 {
		l = b.expectedLatency(x, e)
	}
	return l / math.Sqrt(b.zoneFactor(x, e))
}

// mayTry tells whether an endpoint may get a leg as far as outlier detection goes. A suspect gets a trial now and then, by
// a draw from the posterior of its success rate (Thompson sampling), one at a time and none of a single-use product. If
// most endpoints are suspects, none is left out.
func (b *Balancer) mayTry(x *exchange, e *endpoint) bool {
	if !e.suspect || b.mostSuspect || x.product.mostSuspect {
		return true
	}
	if e.legs > 0 || x.product.Effect == SingleUse {
		return false
	}
	return b.drawSuccessRate(outcomeCounts{e.successes, e.failures}) > trialDrawThreshold
}

// blocked tells whether a key's exchanges fail at every endpoint while those of other keys do not: they wait for something
// outside the endpoints, and their failures lower no endpoint's weight or limit and make none a suspect.
func (b *Balancer) blocked(x *exchange) bool {
	if x.key == 0 {
		return false
	}
	k, all := b.outcomesByKey[x.key%keyCounterCount], b.outcomesByKey[keyCounterCount]
	others := (all.failures - k.failures) / math.Max(all.successes+all.failures-k.successes-k.failures, 1)
	return k.failures >= blockedMinFailures &&
		k.failures > (blockedMinFailureShare+(1-blockedMinFailureShare)*others)*(k.successes+k.failures)
}

// backsOff tells whether an endpoint that failed this product at least twice in a row is not to be tried again yet. It
// applies only while there is an endpoint for the product that did not.
func (b *Balancer) backsOff(x *exchange, e *endpoint) bool {
	s, p := e.backoffs[x.product.index], x.product.index
	return s.failures >= 2 && b.now < s.retryAt &&
		slices.ContainsFunc(b.ready, func(o *endpoint) bool { return o.allowed[p] && o.backoffs[p].failures < 2 })
}

// enqueue lets an exchange wait for capacity. While the expected wait is too long, the exchange of the lowest rank is given
// up. Before the first answer the wait is only a guess and nothing is given up: a new process would refuse its second
// request.
func (b *Balancer) enqueue(x *exchange) {
	if !slices.ContainsFunc(b.ready, func(e *endpoint) bool { return e.allowed[x.product.index] }) {
		b.giveUp(x, NoEndpoint)
		return
	}
	x.next, b.queue = stepQueued, append(b.queue, x)
	b.setExchangeTimer(x, max(min(x.deadline-b.now-Millis(x.product.typicalLatency), (x.deadline-b.now)/2), 1), waitExpired)
	for len(b.queue) > 0 && b.latencyCount > 0 && !b.lease.suspended {
		least := slices.MinFunc(b.queue, b.compareRank)
		wait := float64(len(b.queue)) * b.typicalLatency / math.Max(float64(b.legsInFlight)+b.peerWork*peerLegsQueueWeight, 1)
		if wait <= queueWaitShare*float64(least.deadline-b.now) {
			break
		}
		b.dequeue(least)
		b.giveUp(least, QueueFull)
	}
	b.dispatchQueue()
}

// rank is an exchange's value for the work that it takes; higher is served first. It is lower for a tenant that exceeds
// its share.
func (b *Balancer) rank(x *exchange) float64 {
	r := x.product.Value
	if !b.byWork {
		r /= x.product.typicalLatency
	}
	t := int(x.tenant)
	if t >= 0 && t < len(b.admitted) && b.admitted[t] > tenantShareSlack*b.tenantShares[t]*b.admittedTotal {
		r *= b.overShareValue
	}
	return r
}

// compareRank orders exchanges by rank, lowest first.
func (b *Balancer) compareRank(p, q *exchange) int { return cmp.Compare(b.rank(p), b.rank(q)) }

// dispatchQueue sends queued exchanges while endpoints have capacity, the highest rank first. A product that is bound to
// some endpoints may find those full while others are not: it holds back exchanges of the same product only.
func (b *Balancer) dispatchQueue() {
	for n := range b.productsFull {
		b.productsFull[n] = false
	}
	for {
		var x *exchange
		for _, o := range b.queue {
			if !b.productsFull[o.product.index] && (x == nil || b.compareRank(o, x) > 0) {
				x = o
			}
		}
		if x == nil {
			return
		}
		if e := b.pick(x); e != nil {
			b.dequeue(x)
			b.send(x, e)
		} else if b.productsFull[x.product.index] = true; !x.product.Bound() {
			return
		}
	}
}

// recordOutcome records a leg's outcome with its endpoint: timing, speed, back-off, weight and outlier detection. A product
// that fails at all endpoints must not make suspects of them: the higher its share of failures, the fewer count.
func (b *Balancer) recordOutcome(x *exchange, l *leg, o Outcome, took float64) {
	e := l.to
	if x != &b.peerExchange {
		b.notifyPeers(x, l, o, took)
	}
	b.recordTiming(x, l, o, took)
	if took > 0 && (o == Succeeded || o == TimedOut || o == Cancelled) { // least-squares slope through the origin
		e.latencySum += speedGain * (took*l.workAhead - e.latencySum)
		e.workSum += speedGain * (l.workAhead*l.workAhead - e.workSum)
		b.latencySum += speedGain * (took*l.workAhead - b.latencySum)
		b.workSum += speedGain * (l.workAhead*l.workAhead - b.workSum)
		if l.workAhead > 0.5 && l.workAhead <= 1 {
			// The unloaded latency rises slowly only, as all endpoints may be slow just now.
			excess := took/l.workAhead - b.unloadedLatency
			b.unloadedLatency += speedGain * math.Min(excess, excess*unloadedRiseRatio)
		}
	}
	if s := &e.backoffs[x.product.index]; o == Succeeded {
		*s = backoff{}
	} else if o >= Errored && !l.neverRan && (o != Cancelled || l.lost) && l.sentAt >= s.lastFailureAt {
		s.failures, s.lastFailureAt = s.failures+1, b.now
		s.retryAt = b.now + b.longestExpected*Millis(backoffSpans*math.Exp2(float64(min(s.failures, maxBackoffDoublings))))
	}
	if b.blocked(x) {
		return
	}
	switch o {
	case Succeeded:
		e.weight = math.Min(e.weight+weightSuccessStep, maxWeight)
		x.product.failingShare -= failingShareGain * x.product.failingShare
		b.recordSuccess(x, e, took)
	case Errored, Reset, TimedOut, NoConnection:
		if b.random() >= x.product.failingShare {
			e.weight, e.lostAt = math.Max(e.weight*weightFailureFactor, minWeight), b.now
			e.failures++
		}
		x.product.failingShare += failingShareGain * (1 - x.product.failingShare)
	}
	b.updateSuspect(e)
}

// recordTiming classifies a leg as late or lost by how long it took, or has been in flight so far: a leg without an answer
// counts before its time-out.
func (b *Balancer) recordTiming(x *exchange, l *leg, o Outcome, took float64) {
	expected, best := float64(x.product.Expected), x.product.bestLatency
	limit := math.Max(lateBestRatio*(1+lostOverdueFactor*x.product.OverdueShare),
		1+lostDeviations*x.product.relativeDeviation) * best
	lost := o == Full || took > math.Min(math.Max(limit, lostExpectedRatioMin*expected), lostExpectedRatioMax*expected)
	if x.key != 0 && !l.lost && (lost || o == Succeeded || o == Errored) {
		b.recordKeyOutcome(x, l, !lost && o == Succeeded)
		if b.blocked(x) {
			l.lost = lost
			return
		}
	}
	if !l.lost && (lost || o == Succeeded) {
		gain := b.lossGain()
		b.lossShare, b.lossShareLong = b.lossShare*(1-gain), b.lossShareLong*(1-gain*lossLongGainRatio)
		if l.lost = lost; lost {
			b.outcomesByZone[l.to.zone].failures++
			b.lossShare, b.lossShareLong, l.to.lostAt = b.lossShare+gain, b.lossShareLong+gain*lossLongGainRatio, b.now
		} else {
			l.to.inTimeAt = b.now
			b.outcomesByZone[l.to.zone].successes++
		}
	}
	if b.pool {
		return
	}
	if o == Full {
		b.recordSlowdown(maxSlowdown)
	}
	late := o == Full ||
		took > math.Min(math.Max(lateExpectedRatio*expected, lateBestRatio*best), lateExpectedRatioMax*expected)
	if !l.late && (late || o == Succeeded) {
		l.late = late
		b.adjustLimit(l, late)
	}
}

// recordKeyOutcome counts an outcome for its key. A failure counts if the key's last failure was at another endpoint, if
// the endpoint answered other requests in time since the leg was sent, or if this key was the last to fail there: else
// the endpoint may be the cause.
func (b *Balancer) recordKeyOutcome(x *exchange, l *leg, succeeded bool) {
	k, all := &b.outcomesByKey[x.key%keyCounterCount], &b.outcomesByKey[keyCounterCount]
	switch {
	case succeeded:
		k.successes++
		all.successes++
	case k.failedAt != l.to || l.to.inTimeAt >= l.sentAt || l.to.lastFailedKey == x.key%keyCounterCount:
		k.failures++
		all.failures++
		k.failedAt = l.to
	}
	if !succeeded {
		l.to.lastFailedKey = x.key % keyCounterCount
	}
}

// adjustLimit adapts an endpoint's concurrency limit to late answers (multiplicative decrease, slow increase), so that all
// sidecars keep the endpoints' queues short without knowing of one another. A late leg cuts the limit only if it was sent
// after the last cut.
func (b *Balancer) adjustLimit(l *leg, late bool) {
	switch e := l.to; {
	case late && l.sentAt >= e.limitCutAt:
		e.limit, e.limitCutAt = math.Max(math.Min(e.limit, float64(e.legs+1))*limitCutRatio, b.minLimit), b.now
	case !late && float64(e.legs+1) > e.limit/2 && float64(b.legsInFlight+1) > b.limitSum*limitGrowthMinUse:
		e.limit += limitGrowthRatio * math.Max(e.limit, 1)
	}
}

// updateSuspect is the outlier detection: an endpoint is a suspect by its share of failures among recent outcomes.
func (b *Balancer) updateSuspect(e *endpoint) {
	if suspect := e.failures >= 1 && e.failures > suspectFailureShare*(e.successes+e.failures); suspect != e.suspect {
		e.suspect, e.suspectChangedAt = suspect, b.now
		b.updateSelection()
	}
}

// updateSelection computes what selection goes by: whether most endpoints are suspects, for then none is left out; the
// home subset; relative speeds; and the factor on unproven endpoints, which is higher the more known-good ones are lacking.
func (b *Balancer) updateSelection() {
	suspects, knownGood, unproven, speedSum, sizeSum := 0, 0.0, 0.0, 0.0, 0.0
	homeLeft := math.Max(b.legRate*float64(b.longestExpected*knownGoodMemorySpans)/legsPerHomeEndpoint, minHomeSize)
	for _, e := range b.ready {
		if !b.isCold(e) && (b.pool || b.knownGood(e)) {
			speedSum, sizeSum = speedSum+e.workSum/e.latencySum, sizeSum+e.size
		}
		if e.suspect {
			suspects++
		}
	}
	if sizeSum > 0 {
		b.unitCapacity = speedSum / sizeSum
	}
	for _, e := range b.ring { // the home subset: the first healthy endpoints from the subset's start on
		e.home = homeLeft > 0 && !e.suspect && (e.inTimeAt >= e.lostAt || b.now-e.lostAt > b.longestExpected*knownGoodMemorySpans)
		if e.home {
			homeLeft--
		}
		e.relativeSpeed = 1
		if b.knownGood(e) {
			knownGood, e.relativeSpeed = knownGood+1,
				math.Min(math.Max(e.workSum/e.latencySum/b.unitCapacity, 1/maxRelativeSpeed), maxRelativeSpeed)
		} else if e.home {
			unproven++
		}
	}
	b.mostSuspect, b.unprovenFactor = suspects*2 > len(b.ready), 1
	for n := range b.products {
		if p := &b.products[n]; p.Bound() {
			allowed, suspect := 0, 0
			for _, e := range b.ready {
				if e.allowed[n] {
					if allowed++; e.suspect {
						suspect++
					}
				}
			}
			p.mostSuspect = suspect*2 > allowed
		}
	}
	b.lowLossFactor = math.Max(1-lowLossFactorSlope*(b.lossShare+b.lossShareLong), 0)
	wanted := math.Max(b.legRate*float64(b.longestExpected)*knownGoodWantedSpans, 1)
	// With probes, endpoints whose connection is still open stay known-good: the probe needs no new one.
	if b.knownGoodMemory = b.longestExpected * knownGoodMemorySpans; b.shouldProbe() {
		wanted, b.knownGoodMemory = math.Max(wanted, float64(b.maxProbes)), max(b.knownGoodMemory, b.warmPeriod)
	}
	share := 1 - (1-unprovenLegShare)*math.Min(knownGood/wanted, 1)
	if unproven += unprovenAwayFactor * (float64(len(b.ready)) - knownGood); share < 1 && unproven > 0 {
		b.unprovenFactor = math.Min(share/(1-share)*knownGood/unproven, 1)
	}
}

// upkeep runs whenever timer 0 fires: it decays counters, refills the tokens of cold endpoints, drops peers' work that was
// not renewed, records legs that are overdue, gives up the oldest overdue exchange if such exchanges may hold all answer
// buffers, notifies the operator and sends queued exchanges.
func (b *Balancer) upkeep() {
	b.SetTimer(b.upkeepInterval, 0)
	b.testReports()
	b.decayCounters()
	for _, e := range b.ready {
		e.successes, e.failures = e.successes*b.decayPerTick, e.failures*b.decayPerTick
		if b.isCold(e) {
			ownRate := math.Max(b.legRate*e.size/math.Max(b.readySize, 0.01), 0.5/b.typicalLatency/b.fleet)
			if b.pool { // what all sharing peers send; a part of it if we are not one of them and get no messages about it
				ownRate = e.size * b.unitCapacity
				if e.peerIndex(b.self) < 0 {
					ownRate /= peersPerEndpoint
				}
			}
			allowed := b.coldRate * b.warmFraction(e) * ownRate
			if e.awaitsFirstLeg && b.fallWindow > 0 {
				sum := firstLegSlots * b.coldRate * b.warmFraction(e) / b.typicalLatency // all sidecars learn of the undrain at once
				allowed = math.Max(allowed, math.Min(1/float64(firstLegFallWindows*b.fallWindow), sum/b.fleet))
			}
			e.coldTokens = math.Min(e.coldTokens+allowed*float64(b.upkeepInterval), math.Max(1, allowed*float64(b.fallWindow)/4))
		}
		for n := range e.peers {
			// Work that is not renewed: the message of a leg's end was lost, or the peer is gone.
			if k := &e.peers[n]; k.work > 0 && b.now-k.heardAt > b.longestExpected {
				e.peerWork, k.work = e.peerWork-k.work, 0
			}
		}
		b.updateSuspect(e)
	}
	b.updateSelection()
	overdue := 0
	var oldest *exchange
	for _, x := range b.slots {
		if x.overdue {
			if overdue++; oldest == nil || x.legs[0].sentAt < oldest.legs[0].sentAt {
				oldest = x
			}
		}
		for n := range x.legs {
			if l := &x.legs[n]; !l.ended && !l.lost && !l.transferOnly {
				took := float64(b.now - l.sentAt)
				if b.recordTiming(x, l, Unknown, took); l.lost {
					b.setOverdue(x, true)
					b.notifyPeers(x, &leg{to: l.to, workAhead: l.workAhead}, Unknown, took)
				}
			}
		}
	}
	if b.answerBuffers > 0 && overdue >= b.answerBuffers { // a client that reads slowly holds a buffer that all others wait for
		b.giveUp(oldest, QueueTimeout)
	}
	b.noteLastingStates()
	b.dispatchQueue()
}
