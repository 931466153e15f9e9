// Package logic holds every decision of lynxjunction. New starts an instance from its Terms; At sets the
// clock before each event. The list comes as ListStarts (a whole list only), Listed for each entry, ListEnds,
// or as ListFailed, with ListHeard, ListLost and ListMoved for what becomes of its watch; what staff say as
// Out, Back; what other sidecars say as Told; what an endpoint says when asked as Probed; an exchange as Arrive,
// then Began, Ended for each leg, Left, with Spent and Whole if it is still coming; a due timer as Alarm. What is
// wanted goes through Outgoing. Unknown ids, late timers and late outcomes are harmless.
package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// The design page's figures.
const (
	minWeight, maxWeight, weightFailureFactor, weightSuccessStep = 0.05, 1.0, 0.5, 0.1

	hedgeDelayQuantile, hedgeMinSamples, hedgeRatioLimit = 0.98, 20, 0.1       // samples before the timer is trusted
	hedgeWindowMs, hedgeRatioRefreshMs, hedgeWindowSlots = 10000.0, 5000.0, 40 // steps in which the window slides
	latencySampleCount, hedgeDelayRefreshSamples         = 256, 16             // latencies kept; new ones until it is anew
)

// Ours, as ratios to what the terms say or what is seen.
const (
	upkeepIntervalRatio, evidenceMemoryRatio                      = 0.2, 8.0         // of the shortest: upkeep; of the longest: evidence counts
	lateExpectedRatio, lateBestRatio, lateExpectedRatioMax        = 0.4, 1.8, 0.5    // of the expected time, or times the best mean, up to
	lostOverdueFactor, lostExpectedRatioMin, lostExpectedRatioMax = 3.0, 0.5, 0.9    // longer by a late answer's worth; of the expected time
	lostDeviations                                                = 3.5              // or its mean by so many deviations of its times
	lossGainMax, lossGainMin                                      = 0.25, 0.02       // of a leg in the share of lost ones,
	lossLongGainRatio                                             = 1.0 / 6          // of that gain for the longer share;
	lossDecaySpans, lossLongDecaySpans                            = 4.0, 16.0        // longest expected times in which both fade by themselves
	shedLossThreshold, shedLossSpan                               = 0.37, 0.25       // lost legs from which on, and until all is dismissed
	slowdownNoneQueue, slowdownAllQueue                           = 1.0, 1.25        // answers' time over the least: none queues, all do
	maxSlowdown, slowdownGainRatio                                = 4.0, 1.0 / 3     // of one answer; of the gain above
	shedUnqueuedExtraLoss                                         = 1.2              // lost legs more before any is shed where none queues
	shedLongLossWeight, shedPauseRatio                            = 4.0, 0.25        // of the longer share; of the time between legs: door shut
	meanRankGain, meanHintGain                                    = 0.02, 0.005      // of an exchange in the mean rank, in the mean hint
	knownGoodMemorySpans, knownGoodWantedSpans                    = 16.0, 0.5        // longest expected times: remembered; legs that find them
	unprovenLegShare, recentFailureFactor                         = 0.02, 0.02       // legs to strange endpoints; draw of those lately late
	fleetMinLimit, limitOvercommitRatio, alwaysAllowedLegs        = 4.0, 1.3, 3.0    // of all sidecars at least; legs over rooms; at any size
	lowLossOvercommitRatio, overcommitLossFactor                  = 3.0, 4.0         // times more than that while none is lost; how it shrinks
	limitGrowthMinUse, limitGrowthRatio, limitCutRatio            = 0.33, 0.02, 0.8  // rooms in use, or none grows; its growth; what is left
	initialLatencyRatio, latencyMemoryMs                          = 0.25, 30000.0    // of the shortest; milliseconds of a product's usual time
	suspectFailureShare, trialDrawThreshold                       = 0.25, 0.8        // share of bad outcomes; draw that gives a trial
	coldRateMargin, firstLegFallWindows                           = 0.65, 3.0        // of the fall multiple; fall times for the first leg back,
	firstLegSlots                                                 = 1.5              // if all sidecars' first fit so many slots
	retryTokensPerExchange, maxRetryTokens                        = 0.15, 12.0       // further legs that an exchange's end earns; most held
	backoffSpans, maxBackoffDoublings                             = 0.25, 7          // of the longest expected time, doubled so many times
	failingShareGain, dedupMemoryShare                            = 0.05, 0.8        // of a leg in its product's share; of a group's memory
	queueWaitShare, peerLegsQueueWeight                           = 0.12, 0.25       // of the time left; of others' legs, which make room too
	tenantShareSlack, hedgeLossLimit                              = 1.1, 0.3         // on a tenant's share; lost legs that are all's trouble
	peersPerEndpoint, minSubsetSize                               = 8, 4             // sharers of an endpoint; endpoints that one has at least
	fitTimeShare, fitUnloadedRatio, fitRankExponent               = 0.45, 4.0, 0.5   // of the time left; times of a leg alone; by worth
	speedGain, unloadedRiseRatio                                  = 0.05, 0.1        // of a leg in its endpoint's pace; of that gain, upwards
	crossZonePriceFactor, maxRelativeSpeed                        = 300.0, 3.0       // of the draw by the way's price; pace over fellows'
	firstListBackoffRatio, maxListBackoffRatio                    = 0.05, 0.25       // of ask-within: first and longest wait after a failure,
	keyCounterCount, keyShareMinSamples, keySpreadFactor          = 256, 20.0, 1.5   // counters of keys; samples; endpoints over a key's share
	blockedMinFailures, blockedMinFailureShare                    = 1.4, 0.5         // lost legs of a key; their share, more as others' rises
	probeMaxLegsPerEndpoint, probeTimeShare, probeMaxPrice        = 0.25, 0.15, 0.01 // own legs an endpoint; of the time left; price at most
	probeWorthPoints, noReportLoad                                = 0.008, 1000.0    // points asking may cost; of who said nothing
	reportAgeTests, reportRetestChance                            = 20.0, 0.005      // of reports' age, at start; chance of one more, a beat
	warmIdleShare, sheddingDrawSpans                              = 0.8, 200.0       // of idle connections' time; longest expected times
	reportTestGain, minFreshShare                                 = 0.05, 0.35       // of a test; share of changed ones, or none is asked
	clearFreshMargin, probeFitShare                               = 0.14, 0.5        // settled early so far off it; time left for what is held
	timeLeftFallGain                                              = 0.005            // of an exchange in the time a product usually has, down
	zoneSuccessExponent                                           = 8.0              // of the shares of legs in time, there over here
	pathLatencyRise, pathFreeShare, minPathFactor                 = 0.1, 0.25, 0.001 // of a way's least; of the time; draw of too far ones
	keyDecayExponent, keyedZonePriceFactor                        = 0.25, 30.0       // of the outcomes' fade; the draw of other zones, by key
	legsPerHomeEndpoint, minHomeSize, lowLossFactorSlope          = 5.0, 4.0, 60.0   // remembered legs a place; places; how lost legs end it
	knownGoodAwayDiscount, unprovenAwayFactor                     = 0.7, 0.01        // less for the familiar elsewhere; for strange ones there
	fleetListBackoffRatio                                         = 3.0              // and how much longer both are in a large fleet
)

func New(t Terms, out Outgoing, now Millis) *Balancer {
	b := &Balancer{
		Outgoing: out, now: now, rng: t.Seed ^ 0x9e3779b97f4a7c15, zone: t.Zone, tenantShares: t.Tenants,
		admitted: make([]float64, len(t.Tenants)), overShareValue: t.OverShareValue, maxLegs: max(t.MaxLegs, 1),
		crossZoneFactor: 1 / (1 + crossZonePriceFactor*t.CrossZonePrice), crossZoneKeyedFactor: 1 / (1 + math.Pow(keyedZonePriceFactor*t.CrossZonePrice, 2)),
		mayHedge: t.MayHedge, mayCancel: t.MayCancel, pullsList: t.PullList, byWork: t.ByWork,
		warmKeys: t.WarmKeys && !t.Peers, answerBuffers: t.AnswerBuffers, deadlineSkew: t.DeadlineSkew, readySkew: t.ReadySkew, unprovenFactor: 1,
		canProbe:     t.MayProbe && t.ReportsLoad && !t.Peers && t.ProbePrice <= probeMaxPrice,
		probeMinLoss: math.Max(t.ProbePrice-probeWorthPoints/4, 0) * 2,
		maxProbes:    max(2, int(probeWorthPoints/math.Max(t.ProbePrice, probeWorthPoints/4))), pool: t.Peers && t.Fleet > 1,
		self: max(t.SidecarNumber, 0), coldPeriod: t.ColdPeriod, coldFrom: t.ColdFrom, coldRate: t.FallMultiple * coldRateMargin, fallWindow: t.FallWindow,
		slowdown: 1, fleet: float64(max(t.Fleet, 1)), timerTolerance: 2 * t.TimerTick, byID: map[EndpointID]*endpoint{},
		drainedByOperator: map[EndpointID]bool{}, undrainedAt: map[EndpointID]Millis{}, exchanges: map[ExchangeID]*exchange{},
		legBudget:   legBudget{free: t.ExtraFree, ratio: t.ExtraRatio, window: t.BudgetWindow},
		retryTokens: maxRetryTokens / 4, hedgeRatioAt: now, maxRetryAfter: t.MaxRetryAfter, byWireID: map[uint16]*endpoint{},
	}
	b.minLimit, b.subsetStart = math.Min(fleetMinLimit/b.fleet, 1), b.subsetStartOf(t.SidecarNumber)
	// The list service takes calls in turn and drops those that wait too long: many that ask soon get none.
	listCallPeriod := t.AskWithin * Millis(1+fleetListBackoffRatio*(1-b.minLimit))
	if b.pool {
		b.minLimit = 1 // who knows of all legs sheds by what it knows, as a single sidecar would
	}
	b.listBackoffFirst, b.listBackoffMax = listCallPeriod*firstListBackoffRatio, listCallPeriod*maxListBackoffRatio
	if most := t.MaxListWait / (0.5 + 1); most > 0 { // chance adds up to half of a wait
		b.listBackoffFirst, b.listBackoffMax = min(b.listBackoffFirst, most), min(b.listBackoffMax, most)
	}
	b.listBackoff = b.listBackoffFirst
	shortest, longest := Millis(math.Inf(1)), Millis(0)
	for n, p := range t.Products {
		b.products = append(b.products,
			product{Product: p, index: n, typicalLatencyAt: now, typicalLatency: math.Max(float64(p.Expected)*initialLatencyRatio, 1)})
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
	b.upkeepInterval, b.typicalLatency, b.longestExpected = shortest*upkeepIntervalRatio, float64(shortest)*initialLatencyRatio, longest
	b.unloadedLatency, b.unitCapacity, b.latencySum, b.workSum = b.typicalLatency, 1/b.typicalLatency, b.typicalLatency, 1
	b.decayPerTick = math.Exp(-float64(b.upkeepInterval / (longest * evidenceMemoryRatio)))
	b.presumeFresh(t.ProbePrice)
	b.SetTimer(b.upkeepInterval, 0)
	b.startCalls(t)
	return b
}

// Out takes an endpoint out by hand: from here on it gets nothing new until Back, whatever the list says.
func (b *Balancer) Drain(id EndpointID) {
	b.drainedByOperator[id] = true
	b.refreshReady()
}

// Back ends that. The endpoint was restarted meanwhile: what was known misleads, and it is cold from now.
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

// renew forgets an endpoint's behaviour; it starts at the others' mean weight.
func (b *Balancer) resetHistory(e *endpoint) {
	weight, count := 0.0, float64(len(b.ready))
	for _, o := range b.ready {
		weight += o.weight / count
	}
	// Tokens by chance: who are told together don't all send at once.
	e.history = history{weight: cmp.Or(weight, maxWeight), limit: math.Min(b.minLimit*(1+b.minLimit), 1),
		coldTokens: b.random(), latencySum: b.initialLatencySum(), workSum: 2, backoffs: make([]backoff, len(b.products)+1)}
}

// ListEnds ends a list event. The disk's list is old; any other shows that the watch works.
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

// far is 0 for an endpoint that this sidecar shares: few do, keep connections to it and tell each other of
// their legs there. The others follow in an order of our own, where chance left us few.
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

// Arrive takes an exchange; from here on it is owed one final answer. One whose request is still coming
// gets no copy, and no further leg once Spent.
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

// admits, unless it has a reason not to, sheds by the share of lost legs, the less worthy first. Who asks
// again at once finds the door shut.
func (b *Balancer) admit(x *exchange, byReports bool) Reason {
	rank := b.rank(x)
	b.meanRank = cmp.Or(b.meanRank, rank)
	b.meanRank += meanRankGain * (rank - b.meanRank)
	k := x.key % keyCounterCount
	if x.key != 0 && (b.overdueByKey[k] > 0 || b.blocked(x) && b.drawSuccessRate(b.outcomesByKey[k].outcomeCounts) < trialDrawThreshold) {
		return ShedPause
	}
	if byReports {
		return LegsFailed // by what the endpoints say
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

// lot decides who is shed. Where endpoints keep keys warm it falls alike at all sidecars and wanders slowly:
// those let in stay warm, and with the work saved more can be.
func (b *Balancer) sheddingDraw(x *exchange) float64 {
	if !b.warmKeys || x.key == 0 {
		return b.random()
	}
	_, draw := math.Modf(hashDraw(x.key, 0) + float64(b.now/(b.longestExpected*sheddingDrawSpans)))
	return draw
}

// overload is the part to shed. Rooms of whole legs hold a small fleet back without it. Dismissing saves no
// leg that a cut or a lost answer takes: while answers are as fast as ever, more must be lost.
func (b *Balancer) overload() float64 {
	loss := b.lossShare + b.lossShareLong*(1+shedLongLossWeight*b.lossShareLong)
	loss -= shedUnqueuedExtraLoss * math.Min(math.Max((slowdownAllQueue-b.slowdown)/(slowdownAllQueue-slowdownNoneQueue), 0), 1)
	return (1 - b.minLimit*b.minLimit) * math.Min(math.Max((loss-shedLossThreshold)/shedLossSpan, 0), 1)
}

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

// blind: own legs are too few to tell what endpoints hold, but they may be asked.
func (b *Balancer) shouldProbe() bool {
	few := b.legRate*b.typicalLatency < probeMaxLegsPerEndpoint*float64(len(b.ready))
	known := b.freshShare > minFreshShare && (b.probeMinLoss == 0 || b.reportAgeKnown())
	return b.canProbe && few && known && b.lossShare+b.lossShareLong >= b.probeMinLoss // no more than is lost
}

// ask has a few endpoints tell their load first: who sends little knows nothing of what others sent there.
func (b *Balancer) probeCandidates(x *exchange, one, two *endpoint) {
	x.candidates, x.next = append(x.candidates, one), stepProbing
	if two != nil {
		x.candidates = append(x.candidates, two)
	}
	for i, e := range b.ready {
		if e == two || b.isCold(e) { // of more that are asked the idlest wins: no more come to a cold one for that
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

// Probed takes what an endpoint said of its load, or that it said nothing. Whoever is silent is not taken.
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
	for i := len(b.awaitingReports) - 1; i >= 0 && ok; i-- { // who is settled leaves, or asks anew at the end
		if x := b.awaitingReports[i]; slices.Contains(x.candidates, e) {
			if !slices.ContainsFunc(x.candidates, func(e *endpoint) bool { return e.reportedAt < x.probedAt }) {
				b.sendToLeastReported(x)
			} else {
				b.setExchangeTimer(x, b.now-x.probedAt+b.timerTolerance, waitExpired)
			}
		}
	}
}

// test asks an endpoint twice, a beat apart: reports that hardly ever change between are too old to go by.
func (b *Balancer) testReports() {
	if !b.canProbe || len(b.ready) == 0 || b.reportAgeKnown() && b.random() > reportRetestChance {
		return
	}
	if b.testedEndpoint == nil {
		i := slices.IndexFunc(b.ready, func(e *endpoint) bool {
			if b.probeMinLoss == 0 {
				return e.legs > 0
			}
			return e.legs == 0 && e.inTimeAt > b.now-b.upkeepInterval // its connection is free: no other is opened for the question
		})
		if i < 0 || b.lossShare+b.lossShareLong < b.probeMinLoss {
			return // an idle endpoint has nothing new to tell
		}
		b.testedEndpoint, b.firstReport = b.ready[i], Load{Held: -2}
	}
	b.Probe(b.testedEndpoint.id)
}

// settled: enough is known of the reports' age, sooner where it is clear.
func (b *Balancer) reportAgeKnown() bool {
	return b.reportTests >= reportAgeTests || b.reportTests >= reportAgeTests/4 && math.Abs(b.freshShare-minFreshShare) > clearFreshMargin
}

// presume takes reports for fresh until they are found old, where asking costs next to nothing.
func (b *Balancer) presumeFresh(price float64) {
	if price <= probeWorthPoints/4 {
		b.reportTests, b.freshShare = reportAgeTests/4, minFreshShare+clearFreshMargin/2
	}
}

// allows tells whether one more may go now. At the window's edges it counts against itself.
func (r *legBudget) allows(now Millis) bool {
	if r.window <= 0 {
		return true
	}
	return r.furtherLegs.since(now-r.window, true)+1 <= r.free+r.ratio*r.exchanges.since(now-r.window, false)
}

// says tells whether an endpoint holds more than would let an exchange be answered soon, or is silent.
func (b *Balancer) reportsBusy(x *exchange, e *endpoint) bool {
	return e.reportedAt < x.probedAt || (e.reportedLoad+1)*b.latencySum/b.workSum/b.warmFraction(e) > probeFitShare*float64(x.deadline-b.now)
}

func stepProbing(b *Balancer, x *exchange, r stepEvent) {
	switch r.kind {
	case waitExpired:
		b.sendToLeastReported(x)
	case clientLeft:
		b.stopAwaitingReports(x)
		b.finish(x)
	}
}

// settle takes the one of those that answered which holds the least.
func (b *Balancer) sendToLeastReported(x *exchange) {
	b.stopAwaitingReports(x)
	e := slices.MinFunc(x.candidates, func(p, q *endpoint) int { return cmp.Compare(b.load(x, p), b.load(x, q)) })
	if b.reportsBusy(x, e) && !x.otherZones {
		x.otherZones = true // one zone may be asked for more than its own endpoints can do
		if one, two := b.drawCandidates(x); one != nil {
			if x.candidates = x.candidates[:0]; e.reportedAt >= x.probedAt {
				x.candidates = append(x.candidates, e)
			}
			b.probeCandidates(x, one, two)
			return
		}
		x.otherZones = false // none may be asked there
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

// send is the only place a leg leaves from; it passes the gate or does not go.
func (b *Balancer) send(x *exchange, e *endpoint) bool {
	if !b.maySend(x, e) {
		return false
	}
	if e.awaitsFirstLeg = false; b.isCold(e) {
		e.coldTokens -= b.relativeWork(x)
	}
	if s := &e.backoffs[x.product.index]; s.failures >= 2 {
		s.retryAt = max(s.retryAt, b.now+b.longestExpected) // one leg tries, the others wait for what becomes of it
	}
	if len(x.legs) == 0 {
		b.countAdmitted(x.tenant)
	} else {
		b.legBudget.furtherLegs.add(b.now, 1)
	}
	// A leg gets all the time left: cutting it for a further leg wastes more work than it saves. Where clocks
	// differ it gets its client's too: an endpoint whose clock is ahead ends what has too little by its own.
	timeout := max(x.deadline-b.now-b.timerTolerance, b.timerTolerance/2, 1)
	if b.deadlineSkew > 0 {
		timeout = max(x.abandonAt-b.now, b.timerTolerance/2, 1)
		if x.deadline < x.abandonAt && len(x.legs) == 0 {
			b.setExchangeTimer(x, max(x.deadline-b.now-b.timerTolerance, 1), timeExpired)
		}
	}
	x.legs = append(x.legs, leg{to: e, sentAt: b.now, work: x.work, transferOnly: true})
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

func (b *Balancer) LegEnded(id ExchangeID, n LegNo, o Outcome, took Millis, closed bool) {
	x := b.exchanges[id]
	if x == nil || int(n) >= len(x.legs) || x.legs[n].ended {
		return
	}
	l := &x.legs[n]
	l.ended, l.neverRan = true, o == Full || o == NoConnection || o == NotSent
	if x.legsInFlight--; x.legsInFlight == 0 {
		b.setOverdue(x, false) // it waits for nothing now, and may be asked again or queued
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
		b.enqueue(x) // it goes out with the list
	default:
		b.giveUp(x, LegsFailed)
	}
}

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

func stepStreaming(b *Balancer, x *exchange, r stepEvent) {
	if r.closed || r.kind == clientLeft {
		b.finish(x)
	}
}

func (b *Balancer) finish(x *exchange) {
	b.setOverdue(x, false)
	x.answered = true
	b.cancelOthers(x, -1)
	b.hedgeWindow[b.hedgeSlot].ended++
	b.retryTokens, x.next = math.Min(b.retryTokens+retryTokensPerExchange, maxRetryTokens), stepFinished
	stepFinished(b, x, stepEvent{})
}

func (b *Balancer) cancelOthers(x *exchange, keep LegNo) {
	for n, l := range x.legs {
		if b.mayCancel && !l.ended && LegNo(n) != keep {
			b.Cancel(x.id, LegNo(n))
		}
	}
}

// giveUp answers at once: a dismissal where a new try is known to be harmless, else a forfeit.
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

// furtherLeg tells whether another leg is affordable and could be answered in time.
func (b *Balancer) mayRetry(x *exchange) bool {
	return !b.blocked(x) && b.retryTokens >= 1+maxRetryTokens*x.product.failingShare && len(x.legs) < b.maxLegs &&
		float64(x.deadline-b.now) > x.product.typicalLatency/2 &&
		slices.ContainsFunc(b.ready, func(e *endpoint) bool { return b.maySend(x, e) })
}

// copy sends the second leg of the design, unless all are slow: then copies only feed the trouble.
func (b *Balancer) hedge(x *exchange) {
	if x.legsInFlight != 1 || len(x.legs) > 1 || x.incomplete || b.blocked(x) ||
		b.hedgeRatio >= hedgeRatioLimit || b.lossShareLong > hedgeLossLimit {
		return
	}
	if e := b.pick(x); e != nil && b.send(x, e) {
		b.hedgeWindow[b.hedgeSlot].hedges++
	}
}

// opens tells whether a product may be sent to such a machine at all. The list's changes ask it.
func (p *Product) permits(zone ZoneID, kind KindID) bool {
	return (p.RunsIn == nil || slices.Contains(p.RunsIn, zone)) &&
		(p.AllowedOn == nil || slices.Contains(p.AllowedOn, kind))
}

// gate holds every rule that a leg must keep.
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
			if g == OneZone && l.to.zone != e.zone || g == OneCell && l.to.cell != e.cell ||
				first && b.now-l.sentAt > x.product.DedupMemory*dedupMemoryShare {
				return false
			}
			first = false
		}
	}
	// Tokens start anywhere below one: were less enough for a light exchange, part of a large fleet would go.
	return !b.isCold(e) || e.coldTokens >= math.Max(b.relativeWork(x), 1)
}

// pick draws two by weight and takes the one with fewer legs.
func (b *Balancer) pick(x *exchange) *endpoint {
	one, two := b.drawCandidates(x)
	return b.lessLoaded(x, one, two)
}

func (b *Balancer) lessLoaded(x *exchange, one, two *endpoint) *endpoint {
	if two != nil && b.load(x, two) < b.load(x, one) {
		return two
	}
	return one
}

// pair draws them, or as many as there are. Doubtful ones have room because they fail.
func (b *Balancer) drawCandidates(x *exchange) (one, two *endpoint) {
	total, fits, keyed := 0.0, b.fitTime(x), b.warmKeys && x.key != 0
	b.limitSum, b.peerWork = 0, 0
	for i, e := range b.ready {
		warm := b.warmFraction(e)
		b.limitSum, b.peerWork, b.odds[i] = b.limitSum+e.limit*warm, b.peerWork+e.peerWork, 0 // a cold one's is not there yet
		full := e.legs > 0 && float64(e.legs) > e.limit-b.random()
		if b.pool {
			full = e.knownWork() > 0 && b.expectedLatency(x, e) > fits
		}
		if x.otherZones && e.zone == b.zone || full && !keyed || !b.maySend(x, e) || !b.mayTry(x, e) || b.backsOff(x, e) {
			continue
		}
		if e.awaitsFirstLeg {
			return e, nil // its first leg since it is back: a light sidecar would not draw it for long
		}
		odds := e.weight * e.size * warm
		if b.pool {
			odds *= b.typicalLatency * e.workSum / e.latencySum
		} else if !b.isCold(e) {
			odds *= 1 - b.lowLossFactor*(1-e.relativeSpeed*e.relativeSpeed)
		}
		odds *= b.zoneFactor(x, e)
		if !keyed && !b.knownGood(e) {
			if !b.isCold(e) { // tokens bound those, and who is never drawn never warms up
				odds *= b.unprovenOdds(e)
			}
			if b.now-e.lostAt < knownGoodMemorySpans*b.longestExpected {
				odds *= recentFailureFactor
			}
		} else if !keyed && !e.home {
			odds *= 1 - knownGoodAwayDiscount*b.lowLossFactor
		}
		if slices.ContainsFunc(x.legs, func(l leg) bool { return l.to == e }) {
			odds *= recentFailureFactor // it failed this exchange once
		}
		b.odds[i] = odds
		total += odds
	}
	// A large fleet's many small rooms must not add up to a crowd. Where none shows, a heavy sidecar needs more.
	lowLoss := math.Max(1-overcommitLossFactor*(b.lossShare+b.lossShareLong), 0)
	if total <= 0 || !b.pool && float64(b.legsInFlight+1) > math.Max(b.limitSum*limitOvercommitRatio, alwaysAllowedLegs)*(1+lowLossOvercommitRatio*lowLoss) {
		return nil, nil
	}
	first, second := b.drawTwo(x, total, keyed)
	if second >= 0 {
		two = b.ready[second]
	}
	return b.ready[first], two
}

// familiar tells who lately answered in time: a light sidecar meets the others too seldom to know them.
func (b *Balancer) knownGood(e *endpoint) bool {
	return e.inTimeAt > e.lostAt && b.now-e.inTimeAt < b.knownGoodMemory
}

// distant is the draw of a strange one. Each sidecar has places of its own, which add up evenly: while hardly
// a leg is lost it draws them as if it knew them. In trouble only who answered lately counts.
func (b *Balancer) unprovenOdds(e *endpoint) float64 {
	if !e.home {
		return b.unprovenFactor * unprovenAwayFactor
	}
	return math.Max(b.unprovenFactor, b.lowLossFactor)
}

// two draws two by weight, or one if there is no other. Where endpoints keep keys warm a key's hash draws in
// place of chance, so that all sidecars draw alike; chance only among as many as its share of traffic fills.
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
			b.odds[i] /= -math.Log(hashDraw(x.key, e.hash)) // not its power, which for small odds is nothing
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

// fits is the time in which it is worth sending; the less worthy leave room for the others.
func (b *Balancer) fitTime(x *exchange) float64 {
	limit := math.Min(fitTimeShare*float64(x.deadline-b.now), fitUnloadedRatio*b.unloadedLatency)
	return limit * math.Min(math.Pow(b.rank(x)/b.meanRank, fitRankExponent), 1)
}

// away is the part of its odds that another zone gets: by the price, by how long the way is, and by how legs
// there fare against home.
func (b *Balancer) zoneFactor(x *exchange, e *endpoint) float64 {
	odds := b.crossZoneFactor
	if e.zone == b.zone {
		return 1
	} else if b.warmKeys && x.key != 0 {
		odds = b.crossZoneKeyedFactor
	}
	return math.Min(odds*b.pathFactor(x, e)*math.Pow(b.zoneSuccessShare(e.zone)/b.zoneSuccessShare(b.zone), zoneSuccessExponent), 1)
}

// reach is what the time of the way leaves of a product's draw. Work varies, a way hardly does: the least
// that answers take, there less here, is the way. A leg that can't be in time tells nothing of a queue. It
// also keeps legs off slow ways, and does harm where a zone's answers are all long for another reason.
func (b *Balancer) pathFactor(x *exchange, e *endpoint) float64 {
	here, there := b.pathLatency[b.zone], b.pathLatency[e.zone]
	if here == 0 || there <= here || x.product.Expected <= 0 {
		return 1
	}
	left := math.Max(1-(there-here)/float64(x.product.Expected), 0) / (1 - pathFreeShare)
	return math.Min(math.Max(left*left, minPathFactor), 1)
}

// load is the design's count of legs in flight; in a pool, where all are known, by the time they take there.
func (b *Balancer) load(x *exchange, e *endpoint) float64 {
	l := e.knownWork() + 1
	if e.reportedAt >= x.probedAt && x.probedAt > 0 {
		l = (e.reportedLoad + 1) / (e.size * b.warmFraction(e)) // a cold one is idle for a reason
	} else if x.probedAt > 0 {
		l += noReportLoad
	}
	if b.pool || b.warmKeys && x.key != 0 && x.probedAt == 0 {
		l = b.expectedLatency(x, e)
	}
	return l / math.Sqrt(b.zoneFactor(x, e))
}

// trusts tries a doubtful endpoint now and then, by a draw from the posterior of its chance of success.
func (b *Balancer) mayTry(x *exchange, e *endpoint) bool {
	if !e.suspect || b.mostSuspect || x.product.mostSuspect {
		return true
	}
	if e.legs > 0 || x.product.Effect == SingleUse {
		return false
	}
	return b.drawSuccessRate(outcomeCounts{e.successes, e.failures}) > trialDrawThreshold
}

// stuck tells that a key's exchanges fare badly wherever they go while others do not: they wait for something
// that no endpoint can help, and blame none.
func (b *Balancer) blocked(x *exchange) bool {
	if x.key == 0 {
		return false
	}
	k, all := b.outcomesByKey[x.key%keyCounterCount], b.outcomesByKey[keyCounterCount]
	others := (all.failures - k.failures) / math.Max(all.successes+all.failures-k.successes-k.failures, 1)
	return k.failures >= blockedMinFailures && k.failures > (blockedMinFailureShare+(1-blockedMinFailureShare)*others)*(k.successes+k.failures)
}

// rests: it failed this product twice in a row, and is not tried again yet, if there is one that did not.
func (b *Balancer) backsOff(x *exchange, e *endpoint) bool {
	s, p := e.backoffs[x.product.index], x.product.index
	return s.failures >= 2 && b.now < s.retryAt &&
		slices.ContainsFunc(b.ready, func(o *endpoint) bool { return o.allowed[p] && o.backoffs[p].failures < 2 })
}

// lineUp lets an exchange wait for room, if an answer in time is likely; the least worthy gives way. Before
// the first answer that is a guess, and dismisses nobody: a new process would refuse what it is asked second.
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

// rank is value for work; a tenant beyond its share comes after those within theirs.
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

func (b *Balancer) compareRank(p, q *exchange) int { return cmp.Compare(b.rank(p), b.rank(q)) }

// drain sends from the queue while there is room, the worthiest first. A product that is bound to
// some endpoints may lack room where others have it: it holds back none but its own.
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

// account books a leg's outcome with its endpoint. A product that fails at all of them must not shut them.
func (b *Balancer) recordOutcome(x *exchange, l *leg, o Outcome, took float64) {
	e := l.to
	if x != &b.peerExchange {
		b.notifyPeers(x, l, o, took)
	}
	b.recordTiming(x, l, o, took)
	if took > 0 && (o == Succeeded || o == TimedOut || o == Cancelled) { // through the origin
		e.latencySum += speedGain * (took*l.workAhead - e.latencySum)
		e.workSum += speedGain * (l.workAhead*l.workAhead - e.workSum)
		b.latencySum += speedGain * (took*l.workAhead - b.latencySum)
		b.workSum += speedGain * (l.workAhead*l.workAhead - b.workSum)
		if l.workAhead > 0.5 && l.workAhead <= 1 {
			excess := took/l.workAhead - b.unloadedLatency // all may be slow: what they need at their best rises slowly
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

// weigh books how long a leg took or is out already: silence counts before any time-out runs out.
func (b *Balancer) recordTiming(x *exchange, l *leg, o Outcome, took float64) {
	expected, best := float64(x.product.Expected), x.product.bestLatency
	limit := math.Max(lateBestRatio*(1+lostOverdueFactor*x.product.OverdueShare), 1+lostDeviations*x.product.relativeDeviation) * best
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
	late := o == Full || took > math.Min(math.Max(lateExpectedRatio*expected, lateBestRatio*best), lateExpectedRatioMax*expected)
	if !l.late && (late || o == Succeeded) {
		l.late = late
		b.adjustLimit(l, late)
	}
}

// try books an outcome with its key. A failure counts where the key failed elsewhere before, or where its
// endpoint answered others meanwhile.
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

// widen: rooms follow lateness, so that all sidecars keep queues short without knowing of each other.
func (b *Balancer) adjustLimit(l *leg, late bool) {
	switch e := l.to; {
	case late && l.sentAt >= e.limitCutAt:
		e.limit, e.limitCutAt = math.Max(math.Min(e.limit, float64(e.legs+1))*limitCutRatio, b.minLimit), b.now
	case !late && float64(e.legs+1) > e.limit/2 && float64(b.legsInFlight+1) > b.limitSum*limitGrowthMinUse:
		e.limit += limitGrowthRatio * math.Max(e.limit, 1)
	}
}

func (b *Balancer) updateSuspect(e *endpoint) {
	if suspect := e.failures >= 1 && e.failures > suspectFailureShare*(e.successes+e.failures); suspect != e.suspect {
		e.suspect, e.suspectChangedAt = suspect, b.now
		b.updateSelection()
	}
}

// count: if most are doubtful none is left out. Strange ones are drawn by how many familiar ones we lack.
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
	for _, e := range b.ring { // the first good ones from our place on
		e.home = homeLeft > 0 && !e.suspect && (e.inTimeAt >= e.lostAt || b.now-e.lostAt > b.longestExpected*knownGoodMemorySpans)
		if e.home {
			homeLeft--
		}
		e.relativeSpeed = 1
		if b.knownGood(e) {
			knownGood, e.relativeSpeed = knownGood+1, math.Min(math.Max(e.workSum/e.latencySum/b.unitCapacity, 1/maxRelativeSpeed), maxRelativeSpeed)
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
	if b.knownGoodMemory = b.longestExpected * knownGoodMemorySpans; b.shouldProbe() { // a warm connection is worth remembering
		wanted, b.knownGoodMemory = math.Max(wanted, float64(b.maxProbes)), max(b.knownGoodMemory, b.warmPeriod)
	}
	share := 1 - (1-unprovenLegShare)*math.Min(knownGood/wanted, 1)
	if unproven += unprovenAwayFactor * (float64(len(b.ready)) - knownGood); share < 1 && unproven > 0 {
		b.unprovenFactor = math.Min(share/(1-share)*knownGood/unproven, 1)
	}
}

func (b *Balancer) upkeep() {
	b.SetTimer(b.upkeepInterval, 0)
	b.testReports()
	b.decayCounters()
	for _, e := range b.ready {
		e.successes, e.failures = e.successes*b.decayPerTick, e.failures*b.decayPerTick
		if b.isCold(e) {
			ownRate := math.Max(b.legRate*e.size/math.Max(b.readySize, 0.01), 0.5/b.typicalLatency/b.fleet)
			if b.pool { // the budget of all sharers; a part for who filled up, who is told of nothing
				ownRate = e.size * b.unitCapacity
				if e.peerIndex(b.self) < 0 {
					ownRate /= peersPerEndpoint
				}
			}
			allowed := b.coldRate * b.warmFraction(e) * ownRate
			if e.awaitsFirstLeg && b.fallWindow > 0 {
				sum := firstLegSlots * b.coldRate * b.warmFraction(e) / b.typicalLatency // all are told at once
				allowed = math.Max(allowed, math.Min(1/float64(firstLegFallWindows*b.fallWindow), sum/b.fleet))
			}
			e.coldTokens = math.Min(e.coldTokens+allowed*float64(b.upkeepInterval), math.Max(1, allowed*float64(b.fallWindow)/4))
		}
		for n := range e.peers {
			if k := &e.peers[n]; k.work > 0 && b.now-k.heardAt > b.longestExpected { // its end was lost, or who told is no more
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
	if b.answerBuffers > 0 && overdue >= b.answerBuffers { // whose client reads slowly holds what all others wait for
		b.giveUp(oldest, QueueTimeout)
	}
	b.noteLastingStates()
	b.dispatchQueue()
}
