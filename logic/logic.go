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
	weightLeast, weightMost, weightFall, weightRise = 0.05, 1.0, 0.5, 0.1

	copyPercentile, copyFloor, copyRatio = 0.98, 20, 0.1       // samples before the timer is trusted
	copyWindow, copyRefresh, windowParts = 10000.0, 5000.0, 40 // steps in which the window slides
	recentLength, recentStale            = 256, 16             // latencies kept; new ones until it is anew
)

// Ours, as ratios to what the terms say or what is seen.
const (
	beatShare, memoryShare         = 0.2, 8.0         // of the shortest: upkeep; of the longest: evidence counts
	lateShare, lateBest, lateLimit = 0.4, 1.8, 0.5    // of the expected time, or times the best mean, up to
	lostOver, lostLeast, lostMost  = 3.0, 0.5, 0.9    // longer by a late answer's worth; of the expected time
	lostWide                       = 3.5              // or its mean by so many deviations of its times
	lostGain, lostGainLeast        = 0.25, 0.02       // of a leg in the share of lost ones,
	lostLong                       = 1.0 / 6          // of that gain for the longer share;
	lostFade, lostLongFade         = 4.0, 16.0        // longest expected times in which both fade by themselves
	shedAt, shedSpan               = 0.37, 0.25       // lost legs from which on, and until all is dismissed
	slowedFrom, slowedFull         = 1.0, 1.25        // answers' time over the least: none queues, all do
	slowedMost, slowedGain         = 4.0, 1.0 / 3     // of one answer; of the gain above
	shedBeyond                     = 1.2              // lost legs more before any is shed where none queues
	shedWeight, shutShare          = 4.0, 0.25        // of the longer share; of the time between legs: door shut
	rankGain, costGain             = 0.02, 0.005      // of an exchange in the mean rank, in the mean hint
	familiarShare, familiarSpan    = 16.0, 0.5        // longest expected times: remembered; legs that find them
	strangeShare, badShare         = 0.02, 0.02       // legs to strange endpoints; draw of those lately late
	roomLeast, roomOver, legsFree  = 4.0, 1.3, 3.0    // of all sidecars at least; legs over rooms; at any size
	roomMore, roomCalm             = 3.0, 4.0         // times more than that while none is lost; how it shrinks
	roomUse, roomRise, roomFall    = 0.33, 0.02, 0.8  // rooms in use, or none grows; its growth; what is left
	usualAtStart, usualMemory      = 0.25, 30000.0    // of the shortest; milliseconds of a product's usual time
	doubtAt, trustAt               = 0.25, 0.8        // share of bad outcomes; draw that gives a trial
	coldMargin, calledBy           = 0.65, 3.0        // of the fall multiple; fall times for the first leg back,
	calledSlots                    = 1.5              // if all sidecars' first fit so many slots
	retryEarn, retryMost           = 0.15, 12.0       // further legs that an exchange's end earns; most held
	restShare, restMost            = 0.25, 7          // of the longest expected time, doubled so many times
	failGain, rememberShare        = 0.05, 0.8        // of a leg in its product's share; of a group's memory
	queueShare, queueOthers        = 0.12, 0.25       // of the time left; of others' legs, which make room too
	shareSlack, lostCopies         = 1.1, 0.3         // on a tenant's share; lost legs that are all's trouble
	poolSize, poolLeast            = 8, 4             // sharers of an endpoint; endpoints that one has at least
	fitShare, fitMost, fitRank     = 0.45, 4.0, 0.5   // of the time left; times of a leg alone; by worth
	paceGain, aloneRise            = 0.05, 0.1        // of a leg in its endpoint's pace; of that gain, upwards
	awayFall, briskMost            = 300.0, 3.0       // of the draw by the way's price; pace over fellows'
	listBackoff, listBackMost      = 0.05, 0.25       // of ask-within: first and longest wait after a failure,
	heatParts, heatLeast, keyWide  = 256, 20.0, 1.5   // counters of keys; samples; endpoints over a key's share
	stuckLeast, stuckShare         = 1.4, 0.5         // lost legs of a key; their share, more as others' rises
	askBelow, askShare, askPrice   = 0.25, 0.15, 0.01 // own legs an endpoint; of the time left; price at most
	askWorth, silentLoad           = 0.008, 1000.0    // points asking may cost; of who said nothing
	testsFirst, testsLater         = 20.0, 0.005      // of reports' age, at start; chance of one more, a beat
	warmShare, lotWanders          = 0.8, 200.0       // of idle connections' time; longest expected times
	testGain, freshLeast           = 0.05, 0.35       // of a test; share of changed ones, or none is asked
	testsClear, askFit             = 0.14, 0.5        // settled early so far off it; time left for what is held
	leftFall                       = 0.005            // of an exchange in the time a product usually has, down
	wayPower                       = 8.0              // of the shares of legs in time, there over here
	wayRise, reachFree, reachLeast = 0.1, 0.25, 0.001 // of a way's least; of the time; draw of too far ones
	heatFade, keyAway              = 0.25, 30.0       // of the outcomes' fade; the draw of other zones, by key
	homeLegs, homeLeast, homeCalm  = 5.0, 4.0, 60.0   // remembered legs a place; places; how lost legs end it
	homeLeave, homeBeyond          = 0.7, 0.01        // less for the familiar elsewhere; for strange ones there
	listCrowd                      = 3.0              // and how much longer both are in a large fleet
)

func New(t Terms, out Outgoing, now Millis) *Balancer {
	b := &Balancer{
		Outgoing: out, now: now, dice: t.Seed ^ 0x9e3779b97f4a7c15, zone: t.Zone, tenants: t.Tenants,
		admitted: make([]float64, len(t.Tenants)), overShare: t.OverShare, maxLegs: max(t.MaxLegs, 1),
		awayOdds: 1 / (1 + awayFall*t.CrossPrice), awayKeys: 1 / (1 + math.Pow(keyAway*t.CrossPrice, 2)),
		copies: t.SecondCopies, cancels: t.MayCancel, mustAsk: t.MustAsk, byWork: t.ByWork,
		warmKeys: t.WarmKeys && !t.Peers, buffers: t.Buffers, timeOff: t.TimeOff, startOff: t.StartOff, strange: 1,
		asks:    t.Probes && t.Reports && !t.Peers && t.ProbePrice <= askPrice,
		askCost: math.Max(t.ProbePrice-askWorth/4, 0) * 2,
		askMany: max(2, int(askWorth/math.Max(t.ProbePrice, askWorth/4))), pool: t.Peers && t.Fleet > 1,
		me: max(t.Me, 0), cold: t.Cold, coldFrom: t.ColdFrom, coldRate: t.FallMultiple * coldMargin, fall: t.Fall,
		slowed: 1, fleet: float64(max(t.Fleet, 1)), slack: 2 * t.Tick, known: map[EndpointID]*endpoint{},
		banned: map[EndpointID]bool{}, back: map[EndpointID]Millis{}, open: map[ExchangeID]*exchange{},
		extra:   ration{free: t.ExtraFree, ratio: t.ExtraRatio, over: t.LookBack},
		retries: retryMost / 4, ratioAt: now, advice: t.LongestAdvice, marks: map[uint16]*endpoint{},
	}
	b.roomLeast, b.place = math.Min(roomLeast/b.fleet, 1), b.placeOf(t.Me)
	// The list service takes calls in turn and drops those that wait too long: many that ask soon get none.
	patience := t.AskWithin * Millis(1+listCrowd*(1-b.roomLeast))
	if b.pool {
		b.roomLeast = 1 // who knows of all legs sheds by what it knows, as a single sidecar would
	}
	b.askFirst, b.askMost = patience*listBackoff, patience*listBackMost
	if most := t.LongestWait / (0.5 + 1); most > 0 { // chance adds up to half of a wait
		b.askFirst, b.askMost = min(b.askFirst, most), min(b.askMost, most)
	}
	b.askWait = b.askFirst
	shortest, longest := Millis(math.Inf(1)), Millis(0)
	for n, p := range t.Products {
		b.products = append(b.products,
			product{Product: p, place: n, usualAt: now, usual: math.Max(float64(p.Expected)*usualAtStart, 1)})
		if p.Expected > 0 {
			shortest, longest = min(shortest, p.Expected), max(longest, p.Expected)
		}
	}
	if longest == 0 {
		shortest, longest = 1000, 1000
	}
	b.unknown = product{Product: Product{Value: 1, Overdue: 1, Expected: longest}, usualAt: now,
		place: len(t.Products), usual: float64(longest) * usualAtStart}
	b.full = make([]bool, len(b.products)+1)
	b.warmFor, b.recall = t.IdleClose*warmShare, longest*familiarShare
	b.beat, b.usual, b.lasting = shortest*beatShare, float64(shortest)*usualAtStart, longest
	b.alone, b.capacity, b.took, b.did = b.usual, 1/b.usual, b.usual, 1
	b.fade = math.Exp(-float64(b.beat / (longest * memoryShare)))
	b.presume(t.ProbePrice)
	b.Wake(b.beat, 0)
	b.startCalls(t)
	return b
}

// Out takes an endpoint out by hand: from here on it gets nothing new until Back, whatever the list says.
func (b *Balancer) Out(id EndpointID) {
	b.banned[id] = true
	b.gather()
}

// Back ends that. The endpoint was restarted meanwhile: what was known misleads, and it is cold from now.
func (b *Balancer) Back(id EndpointID) {
	if !b.banned[id] {
		return
	}
	delete(b.banned, id)
	b.back[id] = b.now
	if e := b.known[id]; e != nil {
		b.renew(e)
		e.readyAt, e.called = b.now, true
	}
	b.gather()
	b.drain()
}

// renew forgets an endpoint's behaviour; it starts at the others' mean weight.
func (b *Balancer) renew(e *endpoint) {
	weight, n := 0.0, float64(len(b.ready))
	for _, o := range b.ready {
		weight += o.weight / n
	}
	// Tokens by chance: who are told together don't all send at once.
	e.seen = seen{weight: cmp.Or(weight, weightMost), room: math.Min(b.roomLeast*(1+b.roomLeast), 1),
		tokens: b.chance(), took: b.unseen(), did: 2, of: make([]streak, len(b.products)+1)}
}

// ListEnds ends a list event. The disk's list is old; any other shows that the watch works.
func (b *Balancer) ListEnds(fromDisk bool) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if !e.listed && e.legs == 0 {
			delete(b.known, e.id)
			delete(b.marks, e.mark)
		}
		return !e.listed && e.legs == 0
	})
	maps.DeleteFunc(b.back, func(_ EndpointID, at Millis) bool { return b.now > at+b.cold })
	b.gather()
	if !fromDisk {
		b.askWait = b.askFirst
	}
	b.drain()
}

func (b *Balancer) gather() {
	b.ready, b.sizes = b.ready[:0], 0
	for _, e := range b.endpoints {
		if e.running = e.up && e.listed && !b.banned[e.id]; e.running {
			b.ready = append(b.ready, e)
		}
	}
	if b.pool {
		slices.SortStableFunc(b.ready, func(p, q *endpoint) int { return cmp.Compare(b.far(p), b.far(q)) })
		if few := slices.IndexFunc(b.ready, func(e *endpoint) bool { return b.far(e) > 0 }); few >= 0 {
			b.ready = b.ready[:min(max(few, poolLeast), len(b.ready))]
		}
	}
	b.odds = b.odds[:0]
	for _, e := range b.ready {
		b.sizes, b.odds = b.sizes+e.size, append(b.odds, 0)
	}
	b.settleIn()
	b.count()
}

// far is 0 for an endpoint that this sidecar shares: few do, keep connections to it and tell each other of
// their legs there. The others follow in an order of our own, where chance left us few.
func (b *Balancer) far(e *endpoint) uint64 {
	for n := 0; len(e.kin) < poolSize && n < 2*poolSize; n++ {
		if peer := jump(mix(e.mark, n), b.fleet); e.share(peer) < 0 {
			e.kin = append(e.kin, kin{peer: peer})
		}
	}
	if e.share(b.me) >= 0 {
		return 0
	}
	return mix(e.mark, -2-int(b.me)) | 1
}

// Arrive takes an exchange; from here on it is owed one final answer. One whose request is still coming
// gets no copy, and no further leg once Spent.
func (b *Balancer) Arrive(id ExchangeID, p ProductID, t TenantID, k KeyID, abandon Millis, cost float64,
	coming bool) {
	x := b.seat()
	x.id, x.product, x.tenant, x.units, x.coming, x.spent = id, &b.unknown, t, 1, coming, false
	x.key, x.over, x.silent, x.asked = k, false, false, 0
	if p >= 0 && int(p) < len(b.products) {
		x.product = &b.products[p]
	}
	if cost > 0 {
		b.hints++
		b.cost += math.Max(1/b.hints, costGain) * (cost - b.cost)
		x.units = cost / b.cost
	}
	b.limit(x, abandon)
	b.extra.taken.add(b.now, 1)
	b.heat[k%heatParts]++
	b.heatAll++
	b.open[id] = x
	if why := b.admits(x, b.blind()); why != Legged {
		b.giveUp(x, why)
	} else {
		b.route(x)
	}
}

func (b *Balancer) limit(x *exchange, abandon Millis) {
	p := x.product
	if b.timeOff > 0 {
		told := abandon - b.now
		p.left = max(p.left-(p.left-told)*leftFall, told)
		abandon = b.now + min(max(p.left, told-b.timeOff), told+b.timeOff)
	}
	if x.horizon, x.abandon = abandon, abandon; p.Overdue <= 0 && p.Expected > 0 {
		x.horizon = min(abandon, b.now+p.Expected)
	}
}

// admits, unless it has a reason not to, sheds by the share of lost legs, the less worthy first. Who asks
// again at once finds the door shut.
func (b *Balancer) admits(x *exchange, later bool) Reason {
	rank := b.rank(x)
	b.usualRank = cmp.Or(b.usualRank, rank)
	b.usualRank += rankGain * (rank - b.usualRank)
	k := x.key % heatParts
	if x.key != 0 && (b.silent[k] > 0 || b.stuck(x) && b.draws(b.keys[k].tried) < trustAt) {
		return Shut
	}
	if later {
		return Legged // by what the endpoints say
	}
	if b.now < b.shutUntil {
		return Shut
	}
	if b.lot(x) < math.Pow(1-b.overload(), b.usualRank/rank) {
		return Legged
	}
	b.shutUntil = b.now + min(b.beat, Millis(shutShare/math.Max(b.rate, 1e-6)))
	return Shed
}

// lot decides who is shed. Where endpoints keep keys warm it falls alike at all sidecars and wanders slowly:
// those let in stay warm, and with the work saved more can be.
func (b *Balancer) lot(x *exchange) float64 {
	if !b.warmKeys || x.key == 0 {
		return b.chance()
	}
	_, part := math.Modf(chanceOf(x.key, 0) + float64(b.now/(b.lasting*lotWanders)))
	return part
}

// overload is the part to shed. Rooms of whole legs hold a small fleet back without it. Dismissing saves no
// leg that a cut or a lost answer takes: while answers are as fast as ever, more must be lost.
func (b *Balancer) overload() float64 {
	lost := b.lost + b.lostLong*(1+shedWeight*b.lostLong)
	lost -= shedBeyond * math.Min(math.Max((slowedFull-b.slowed)/(slowedFull-slowedFrom), 0), 1)
	return (1 - b.roomLeast*b.roomLeast) * math.Min(math.Max((lost-shedAt)/shedSpan, 0), 1)
}

func (b *Balancer) route(x *exchange) {
	if x.asked, x.few, x.spills = 0, x.few[:0], false; len(b.queue) == 0 {
		if one, two := b.pair(x); two != nil && b.blind() {
			x.asked = b.now
			b.ask(x, one, two)
			return
		} else if one != nil && b.send(x, b.lesser(x, one, two)) {
			return
		}
	}
	b.lineUp(x)
}

// blind: own legs are too few to tell what endpoints hold, but they may be asked.
func (b *Balancer) blind() bool {
	few := b.rate*b.usual < askBelow*float64(len(b.ready))
	known := b.fresh > freshLeast && (b.askCost == 0 || b.settled())
	return b.asks && few && known && b.lost+b.lostLong >= b.askCost // no more than is lost
}

// ask has a few endpoints tell their load first: who sends little knows nothing of what others sent there.
func (b *Balancer) ask(x *exchange, one, two *endpoint) {
	x.few, x.next = append(x.few, one), stepAsking
	if two != nil {
		x.few = append(x.few, two)
	}
	for i, e := range b.ready {
		if e == two || b.isCold(e) { // of more that are asked the idlest wins: no more come to a cold one for that
			b.odds[i] = 0
		}
	}
	for left := sum(b.odds); len(x.few) < b.askMany && left > 1e-9; left = sum(b.odds) {
		i := b.draw(left)
		b.odds[i], x.few = 0, append(x.few, b.ready[i])
	}
	for _, e := range x.few {
		if !e.asked && e.told < x.asked {
			e.asked = true
			b.Probe(e.id)
		}
	}
	b.asking = append(b.asking, x)
	b.wakeFor(x, max(Millis(askShare*float64(x.horizon-b.now)), b.slack), waitOver)
}

// Probed takes what an endpoint said of its load, or that it said nothing. Whoever is silent is not taken.
func (b *Balancer) Probed(id EndpointID, ok bool, l Load) {
	e := b.known[id]
	if e == nil {
		return
	}
	if ok = ok && l.Held >= 0; e == b.tested && !ok {
		b.tested = nil
	}
	if e.asked = false; ok {
		e.told, e.said = b.now, l.Held
		b.compare(e, l)
	}
	for i := len(b.asking) - 1; i >= 0 && ok; i-- { // who is settled leaves, or asks anew at the end
		if x := b.asking[i]; slices.Contains(x.few, e) {
			if !slices.ContainsFunc(x.few, func(e *endpoint) bool { return e.told < x.asked }) {
				b.settle(x)
			} else {
				b.wakeFor(x, b.now-x.asked+b.slack, waitOver)
			}
		}
	}
}

// test asks an endpoint twice, a beat apart: reports that hardly ever change between are too old to go by.
func (b *Balancer) test() {
	if !b.asks || len(b.ready) == 0 || b.settled() && b.chance() > testsLater {
		return
	}
	if b.tested == nil {
		i := slices.IndexFunc(b.ready, func(e *endpoint) bool {
			if b.askCost == 0 {
				return e.legs > 0
			}
			return e.legs == 0 && e.fine > b.now-b.beat // its connection is free: no other is opened for the question
		})
		if i < 0 || b.lost+b.lostLong < b.askCost {
			return // an idle endpoint has nothing new to tell
		}
		b.tested, b.first = b.ready[i], Load{Held: -2}
	}
	b.Probe(b.tested.id)
}

// settled: enough is known of the reports' age, sooner where it is clear.
func (b *Balancer) settled() bool {
	return b.tests >= testsFirst || b.tests >= testsFirst/4 && math.Abs(b.fresh-freshLeast) > testsClear
}

// presume takes reports for fresh until they are found old, where asking costs next to nothing.
func (b *Balancer) presume(price float64) {
	if price <= askWorth/4 {
		b.tests, b.fresh = testsFirst/4, freshLeast+testsClear/2
	}
}

// allows tells whether one more may go now. At the window's edges it counts against itself.
func (r *ration) allows(now Millis) bool {
	if r.over <= 0 {
		return true
	}
	return r.further.since(now-r.over, true)+1 <= r.free+r.ratio*r.taken.since(now-r.over, false)
}

// says tells whether an endpoint holds more than would let an exchange be answered soon, or is silent.
func (b *Balancer) says(x *exchange, e *endpoint) bool {
	return e.told < x.asked || (e.said+1)*b.took/b.did/b.capacityNow(e) > askFit*float64(x.horizon-b.now)
}

func stepAsking(b *Balancer, x *exchange, r result) {
	switch r.what {
	case waitOver:
		b.settle(x)
	case clientLeft:
		b.answerless(x)
		b.finish(x)
	}
}

// settle takes the one of those that answered which holds the least.
func (b *Balancer) settle(x *exchange) {
	b.answerless(x)
	e := slices.MinFunc(x.few, func(p, q *endpoint) int { return cmp.Compare(b.load(x, p), b.load(x, q)) })
	if b.says(x, e) && !x.spills {
		x.spills = true // one zone may be asked for more than its own endpoints can do
		if one, two := b.pair(x); one != nil {
			if x.few = x.few[:0]; e.told >= x.asked {
				x.few = append(x.few, e)
			}
			b.ask(x, one, two)
			return
		}
		x.spills = false // none may be asked there
	}
	if len(x.legs) == 0 && b.says(x, e) {
		if why := b.admits(x, false); why != Legged {
			b.giveUp(x, why)
			return
		}
	}
	if !b.send(x, e) {
		b.lineUp(x)
	}
}

// send is the only place a leg leaves from; it passes the gate or does not go.
func (b *Balancer) send(x *exchange, e *endpoint) bool {
	if !b.gate(x, e) {
		return false
	}
	if e.called = false; b.isCold(e) {
		e.tokens -= b.effort(x)
	}
	if s := &e.of[x.product.place]; s.length >= 2 {
		s.until = max(s.until, b.now+b.lasting) // one leg tries, the others wait for what becomes of it
	}
	if len(x.legs) == 0 {
		b.counts(x.tenant)
	} else {
		b.extra.further.add(b.now, 1)
	}
	// A leg gets all the time left: cutting it for a further leg wastes more work than it saves. Where clocks
	// differ it gets its client's too: an endpoint whose clock is ahead ends what has too little by its own.
	patience := max(x.horizon-b.now-b.slack, b.slack/2, 1)
	if b.timeOff > 0 {
		patience = max(x.abandon-b.now, b.slack/2, 1)
		if x.horizon < x.abandon && len(x.legs) == 0 {
			b.wakeFor(x, max(x.horizon-b.now-b.slack, 1), timeOver)
		}
	}
	x.legs = append(x.legs, leg{to: e, sent: b.now, units: x.units, quiet: true})
	l := &x.legs[len(x.legs)-1]
	x.out, b.sent, x.next = x.out+1, b.sent+1, stepRunning
	b.hush(l, x.coming)
	if l.ahead = e.held(); x.asked > 0 && e.told >= x.asked {
		l.ahead = e.said + 1
	}
	b.tell(x, l, Unclear, 0)
	b.Send(x.id, e.id, patience)
	if b.copies && len(x.legs) == 1 && b.samples >= copyFloor && b.timer < x.horizon-b.now {
		b.wakeFor(x, b.timer, copyDue)
	}
	return true
}

func (b *Balancer) Ended(id ExchangeID, n LegNo, o Outcome, took Millis, closed bool) {
	x := b.open[id]
	if x == nil || int(n) >= len(x.legs) || x.legs[n].ended {
		return
	}
	l := &x.legs[n]
	l.ended, l.neverRan = true, o == Full || o == NoConnection || o == NotSent
	if x.out--; x.out == 0 {
		b.hold(x, false) // it waits for nothing now, and may be asked again or queued
	}
	b.hush(l, true)
	if o == NotSent && n > 0 {
		b.extra.further.add(l.sent, -1)
	}
	if !l.streams || o != Satisfied && o != Cancelled {
		b.account(x, l, o, float64(took))
	}
	x.next(b, x, result{what: legEnded, outcome: o, closed: closed})
	b.drain()
}

func stepRunning(b *Balancer, x *exchange, r result) {
	switch {
	case r.what == clientLeft || r.closed:
		b.finish(x)
	case r.what == streamBegan:
		x.next = stepStreaming
	case r.what == timeOver:
		b.giveUp(x, Legged)
	case r.what == copyDue:
		b.copy(x)
	case r.what != legEnded || x.out > 0:
	case b.furtherLeg(x):
		b.retries--
		b.route(x)
	case b.lease.suspended && len(x.legs) < b.maxLegs && !slices.ContainsFunc(x.legs, func(l leg) bool { return !l.neverRan }):
		b.lineUp(x) // it goes out with the list
	default:
		b.giveUp(x, Legged)
	}
}

func stepQueued(b *Balancer, x *exchange, r result) {
	switch r.what {
	case waitOver:
		b.leave(x)
		b.giveUp(x, Overlong)
	case clientLeft:
		b.leave(x)
		b.finish(x)
	}
}

func stepStreaming(b *Balancer, x *exchange, r result) {
	if r.closed || r.what == clientLeft {
		b.finish(x)
	}
}

func (b *Balancer) finish(x *exchange) {
	b.hold(x, false)
	x.over = true
	b.cancelOthers(x, -1)
	b.window[b.part].ended++
	b.retries, x.next = math.Min(b.retries+retryEarn, retryMost), stepOver
	stepOver(b, x, result{})
}

func (b *Balancer) cancelOthers(x *exchange, keep LegNo) {
	for n, l := range x.legs {
		if b.cancels && !l.ended && LegNo(n) != keep {
			b.Cancel(x.id, LegNo(n))
		}
	}
}

// giveUp answers at once: a dismissal where a new try is known to be harmless, else a forfeit.
func (b *Balancer) giveUp(x *exchange, why Reason) {
	harmless := x.product.Effect == Replayable ||
		x.product.Effect == Referenced && x.product.Group == AllEndpoints
	if harmless || !slices.ContainsFunc(x.legs, func(l leg) bool { return !l.neverRan }) {
		b.Dismiss(x.id, why, min(b.advice, x.product.Expected))
	} else {
		b.Forfeit(x.id, why)
	}
	b.finish(x)
}

// furtherLeg tells whether another leg is affordable and could be answered in time.
func (b *Balancer) furtherLeg(x *exchange) bool {
	return !b.stuck(x) && b.retries >= 1+retryMost*x.product.failing && len(x.legs) < b.maxLegs &&
		float64(x.horizon-b.now) > x.product.usual/2 &&
		slices.ContainsFunc(b.ready, func(e *endpoint) bool { return b.gate(x, e) })
}

// copy sends the second leg of the design, unless all are slow: then copies only feed the trouble.
func (b *Balancer) copy(x *exchange) {
	if x.out != 1 || len(x.legs) > 1 || x.coming || b.stuck(x) ||
		b.ratio >= copyRatio || b.lostLong > lostCopies {
		return
	}
	if e := b.pick(x); e != nil && b.send(x, e) {
		b.window[b.part].copies++
	}
}

// opens tells whether a product may be sent to such a machine at all. The list's changes ask it.
func (p *Product) opens(zone ZoneID, kind KindID) bool {
	return (p.RunsIn == nil || slices.Contains(p.RunsIn, zone)) &&
		(p.AllowedOn == nil || slices.Contains(p.AllowedOn, kind))
}

// gate holds every rule that a leg must keep.
func (b *Balancer) gate(x *exchange, e *endpoint) bool {
	if b.lease.suspended || !e.running || !e.open[x.product.place] || len(x.legs) >= b.maxLegs || x.horizon <= b.now ||
		len(x.legs) > 0 && (x.spent || !b.extra.allows(b.now)) {
		return false
	}
	first := true
	for _, l := range x.legs {
		if l.neverRan {
			continue
		}
		if !l.ended && (!b.copies || l.to == e) || x.product.Effect == SingleUse {
			return false
		}
		if x.product.Effect == Referenced {
			g := x.product.Group
			if g == OneZone && l.to.zone != e.zone || g == OneCell && l.to.cell != e.cell ||
				first && b.now-l.sent > x.product.Remember*rememberShare {
				return false
			}
			first = false
		}
	}
	// Tokens start anywhere below one: were less enough for a light exchange, part of a large fleet would go.
	return !b.isCold(e) || e.tokens >= math.Max(b.effort(x), 1)
}

// pick draws two by weight and takes the one with fewer legs.
func (b *Balancer) pick(x *exchange) *endpoint {
	one, two := b.pair(x)
	return b.lesser(x, one, two)
}

func (b *Balancer) lesser(x *exchange, one, two *endpoint) *endpoint {
	if two != nil && b.load(x, two) < b.load(x, one) {
		return two
	}
	return one
}

// pair draws them, or as many as there are. Doubtful ones have room because they fail.
func (b *Balancer) pair(x *exchange) (one, two *endpoint) {
	total, fits, keyed := 0.0, b.fits(x), b.warmKeys && x.key != 0
	b.rooms, b.others = 0, 0
	for i, e := range b.ready {
		part := b.capacityNow(e)
		b.rooms, b.others, b.odds[i] = b.rooms+e.room*part, b.others+e.others, 0 // a cold one's is not there yet
		full := e.legs > 0 && float64(e.legs) > e.room-b.chance()
		if b.pool {
			full = e.held() > 0 && b.time(x, e) > fits
		}
		if x.spills && e.zone == b.zone || full && !keyed || !b.gate(x, e) || !b.trusts(x, e) || b.rests(x, e) {
			continue
		}
		if e.called {
			return e, nil // its first leg since it is back: a light sidecar would not draw it for long
		}
		odds := e.weight * e.size * part
		if b.pool {
			odds *= b.usual * e.did / e.took
		} else if !b.isCold(e) {
			odds *= 1 - b.calm*(1-e.brisk*e.brisk)
		}
		odds *= b.away(x, e)
		if !keyed && !b.familiar(e) {
			if !b.isCold(e) { // tokens bound those, and who is never drawn never warms up
				odds *= b.distant(e)
			}
			if b.now-e.lost < familiarShare*b.lasting {
				odds *= badShare
			}
		} else if !keyed && !e.home {
			odds *= 1 - homeLeave*b.calm
		}
		if slices.ContainsFunc(x.legs, func(l leg) bool { return l.to == e }) {
			odds *= badShare // it failed this exchange once
		}
		b.odds[i] = odds
		total += odds
	}
	// A large fleet's many small rooms must not add up to a crowd. Where none shows, a heavy sidecar needs more.
	calm := math.Max(1-roomCalm*(b.lost+b.lostLong), 0)
	if total <= 0 || !b.pool && float64(b.out+1) > math.Max(b.rooms*roomOver, legsFree)*(1+roomMore*calm) {
		return nil, nil
	}
	first, second := b.two(x, total, keyed)
	if second >= 0 {
		two = b.ready[second]
	}
	return b.ready[first], two
}

// familiar tells who lately answered in time: a light sidecar meets the others too seldom to know them.
func (b *Balancer) familiar(e *endpoint) bool {
	return e.fine > e.lost && b.now-e.fine < b.recall
}

// distant is the draw of a strange one. Each sidecar has places of its own, which add up evenly: while hardly
// a leg is lost it draws them as if it knew them. In trouble only who answered lately counts.
func (b *Balancer) distant(e *endpoint) float64 {
	if !e.home {
		return b.strange * homeBeyond
	}
	return math.Max(b.strange, b.calm)
}

// two draws two by weight, or one if there is no other. Where endpoints keep keys warm a key's hash draws in
// place of chance, so that all sidecars draw alike; chance only among as many as its share of traffic fills.
func (b *Balancer) two(x *exchange, total float64, keyed bool) (one, two int) {
	if !keyed {
		one = b.draw(total)
		if total -= b.odds[one]; total <= 1e-9 {
			return one, -1
		}
		b.odds[one] = 0
		return one, b.draw(total)
	}
	for i, e := range b.ready {
		if b.odds[i] > 0 {
			b.odds[i] /= -math.Log(chanceOf(x.key, e.name)) // not its power, which for small odds is nothing
		}
	}
	wide := 1 + int(keyWide*b.heatOf(x)*float64(len(b.ready)))
	for b.order = b.order[:0]; len(b.order) <= wide; {
		i := slices.Index(b.odds, slices.Max(b.odds))
		if b.odds[i] <= 0 {
			break
		}
		b.order, b.odds[i] = append(b.order, i), 0
	}
	n := min(wide, len(b.order))
	at := int(b.chance() * float64(n))
	one, two = b.order[at], -1
	if others := len(b.order) - 1; others > 0 {
		two = b.order[(at+1+int(b.chance()*float64(others)))%len(b.order)]
	}
	return one, two
}

// fits is the time in which it is worth sending; the less worthy leave room for the others.
func (b *Balancer) fits(x *exchange) float64 {
	most := math.Min(fitShare*float64(x.horizon-b.now), fitMost*b.alone)
	return most * math.Min(math.Pow(b.rank(x)/b.usualRank, fitRank), 1)
}

// away is the part of its odds that another zone gets: by the price, by how long the way is, and by how legs
// there fare against home.
func (b *Balancer) away(x *exchange, e *endpoint) float64 {
	odds := b.awayOdds
	if e.zone == b.zone {
		return 1
	} else if b.warmKeys && x.key != 0 {
		odds = b.awayKeys
	}
	return math.Min(odds*b.reach(x, e)*math.Pow(b.way(e.zone)/b.way(b.zone), wayPower), 1)
}

// reach is what the time of the way leaves of a product's draw. Work varies, a way hardly does: the least
// that answers take, there less here, is the way. A leg that can't be in time tells nothing of a queue. It
// also keeps legs off slow ways, and does harm where a zone's answers are all long for another reason.
func (b *Balancer) reach(x *exchange, e *endpoint) float64 {
	here, far := b.ways[b.zone], b.ways[e.zone]
	if here == 0 || far <= here || x.product.Expected <= 0 {
		return 1
	}
	left := math.Max(1-(far-here)/float64(x.product.Expected), 0) / (1 - reachFree)
	return math.Min(math.Max(left*left, reachLeast), 1)
}

// load is the design's count of legs in flight; in a pool, where all are known, by the time they take there.
func (b *Balancer) load(x *exchange, e *endpoint) float64 {
	l := e.held() + 1
	if e.told >= x.asked && x.asked > 0 {
		l = (e.said + 1) / (e.size * b.capacityNow(e)) // a cold one is idle for a reason
	} else if x.asked > 0 {
		l += silentLoad
	}
	if b.pool || b.warmKeys && x.key != 0 && x.asked == 0 {
		l = b.time(x, e)
	}
	return l / math.Sqrt(b.away(x, e))
}

// trusts tries a doubtful endpoint now and then, by a draw from the posterior of its chance of success.
func (b *Balancer) trusts(x *exchange, e *endpoint) bool {
	if !e.doubted || b.mostDoubt || x.product.mostDoubt {
		return true
	}
	if e.legs > 0 || x.product.Effect == SingleUse {
		return false
	}
	return b.draws(tried{e.good, e.bad}) > trustAt
}

// stuck tells that a key's exchanges fare badly wherever they go while others do not: they wait for something
// that no endpoint can help, and blame none.
func (b *Balancer) stuck(x *exchange) bool {
	if x.key == 0 {
		return false
	}
	k, all := b.keys[x.key%heatParts], b.keys[heatParts]
	others := (all.bad - k.bad) / math.Max(all.good+all.bad-k.good-k.bad, 1)
	return k.bad >= stuckLeast && k.bad > (stuckShare+(1-stuckShare)*others)*(k.good+k.bad)
}

// rests: it failed this product twice in a row, and is not tried again yet, if there is one that did not.
func (b *Balancer) rests(x *exchange, e *endpoint) bool {
	s, p := e.of[x.product.place], x.product.place
	return s.length >= 2 && b.now < s.until &&
		slices.ContainsFunc(b.ready, func(o *endpoint) bool { return o.open[p] && o.of[p].length < 2 })
}

// lineUp lets an exchange wait for room, if an answer in time is likely; the least worthy gives way. Before
// the first answer that is a guess, and dismisses nobody: a new process would refuse what it is asked second.
func (b *Balancer) lineUp(x *exchange) {
	if !slices.ContainsFunc(b.ready, func(e *endpoint) bool { return e.open[x.product.place] }) {
		b.giveUp(x, Unlisted)
		return
	}
	x.next, b.queue = stepQueued, append(b.queue, x)
	b.wakeFor(x, max(min(x.horizon-b.now-Millis(x.product.usual), (x.horizon-b.now)/2), 1), waitOver)
	for len(b.queue) > 0 && b.samples > 0 && !b.lease.suspended {
		least := slices.MinFunc(b.queue, b.byRank)
		wait := float64(len(b.queue)) * b.usual / math.Max(float64(b.out)+b.others*queueOthers, 1)
		if wait <= queueShare*float64(least.horizon-b.now) {
			break
		}
		b.leave(least)
		b.giveUp(least, Outlined)
	}
	b.drain()
}

// rank is value for work; a tenant beyond its share comes after those within theirs.
func (b *Balancer) rank(x *exchange) float64 {
	r := x.product.Value
	if !b.byWork {
		r /= x.product.usual
	}
	t := int(x.tenant)
	if t >= 0 && t < len(b.admitted) && b.admitted[t] > shareSlack*b.tenants[t]*b.admittedAll {
		r *= b.overShare
	}
	return r
}

func (b *Balancer) byRank(p, q *exchange) int { return cmp.Compare(b.rank(p), b.rank(q)) }

// drain sends from the queue while there is room, the worthiest first. A product that is bound to
// some endpoints may lack room where others have it: it holds back none but its own.
func (b *Balancer) drain() {
	for n := range b.full {
		b.full[n] = false
	}
	for {
		var x *exchange
		for _, o := range b.queue {
			if !b.full[o.product.place] && (x == nil || b.byRank(o, x) > 0) {
				x = o
			}
		}
		if x == nil {
			return
		}
		if e := b.pick(x); e != nil {
			b.leave(x)
			b.send(x, e)
		} else if b.full[x.product.place] = true; !x.product.Bound() {
			return
		}
	}
}

// account books a leg's outcome with its endpoint. A product that fails at all of them must not shut them.
func (b *Balancer) account(x *exchange, l *leg, o Outcome, took float64) {
	e := l.to
	if x != &b.theirs {
		b.tell(x, l, o, took)
	}
	b.weigh(x, l, o, took)
	if took > 0 && (o == Satisfied || o == TimedOut || o == Cancelled) { // through the origin
		e.took += paceGain * (took*l.ahead - e.took)
		e.did += paceGain * (l.ahead*l.ahead - e.did)
		b.took += paceGain * (took*l.ahead - b.took)
		b.did += paceGain * (l.ahead*l.ahead - b.did)
		if l.ahead > 0.5 && l.ahead <= 1 {
			off := took/l.ahead - b.alone // all may be slow: what they need at their best rises slowly
			b.alone += paceGain * math.Min(off, off*aloneRise)
		}
	}
	if s := &e.of[x.product.place]; o == Satisfied {
		*s = streak{}
	} else if o >= Errored && !l.neverRan && (o != Cancelled || l.lost) && l.sent >= s.ended {
		s.length, s.ended = s.length+1, b.now
		s.until = b.now + b.lasting*Millis(restShare*math.Exp2(float64(min(s.length, restMost))))
	}
	if b.stuck(x) {
		return
	}
	switch o {
	case Satisfied:
		e.weight = math.Min(e.weight+weightRise, weightMost)
		x.product.failing -= failGain * x.product.failing
		b.learn(x, e, took)
	case Errored, Reset, TimedOut, NoConnection:
		if b.chance() >= x.product.failing {
			e.weight, e.lost = math.Max(e.weight*weightFall, weightLeast), b.now
			e.bad++
		}
		x.product.failing += failGain * (1 - x.product.failing)
	}
	b.judge(e)
}

// weigh books how long a leg took or is out already: silence counts before any time-out runs out.
func (b *Balancer) weigh(x *exchange, l *leg, o Outcome, took float64) {
	expected, best := float64(x.product.Expected), x.product.best
	limit := math.Max(lateBest*(1+lostOver*x.product.Overdue), 1+lostWide*x.product.wide) * best
	lost := o == Full || took > math.Min(math.Max(limit, lostLeast*expected), lostMost*expected)
	if x.key != 0 && !l.lost && (lost || o == Satisfied || o == Errored) {
		b.try(x, l, !lost && o == Satisfied)
		if b.stuck(x) {
			l.lost = lost
			return
		}
	}
	if !l.lost && (lost || o == Satisfied) {
		gain := b.lostGain()
		b.lost, b.lostLong = b.lost*(1-gain), b.lostLong*(1-gain*lostLong)
		if l.lost = lost; lost {
			b.zones[l.to.zone].bad++
			b.lost, b.lostLong, l.to.lost = b.lost+gain, b.lostLong+gain*lostLong, b.now
		} else {
			l.to.fine = b.now
			b.zones[l.to.zone].good++
		}
	}
	if b.pool {
		return
	}
	if o == Full {
		b.slows(slowedMost)
	}
	late := o == Full || took > math.Min(math.Max(lateShare*expected, lateBest*best), lateLimit*expected)
	if !l.late && (late || o == Satisfied) {
		l.late = late
		b.widen(l, late)
	}
}

// try books an outcome with its key. A failure counts where the key failed elsewhere before, or where its
// endpoint answered others meanwhile.
func (b *Balancer) try(x *exchange, l *leg, well bool) {
	k, all := &b.keys[x.key%heatParts], &b.keys[heatParts]
	switch {
	case well:
		k.good++
		all.good++
	case k.failed != l.to || l.to.fine >= l.sent || l.to.failed == x.key%heatParts:
		k.bad++
		all.bad++
		k.failed = l.to
	}
	if !well {
		l.to.failed = x.key % heatParts
	}
}

// widen: rooms follow lateness, so that all sidecars keep queues short without knowing of each other.
func (b *Balancer) widen(l *leg, late bool) {
	switch e := l.to; {
	case late && l.sent >= e.braked:
		e.room, e.braked = math.Max(math.Min(e.room, float64(e.legs+1))*roomFall, b.roomLeast), b.now
	case !late && float64(e.legs+1) > e.room/2 && float64(b.out+1) > b.rooms*roomUse:
		e.room += roomRise * math.Max(e.room, 1)
	}
}

func (b *Balancer) judge(e *endpoint) {
	if doubted := e.bad >= 1 && e.bad > doubtAt*(e.good+e.bad); doubted != e.doubted {
		e.doubted, e.changed = doubted, b.now
		b.count()
	}
}

// count: if most are doubtful none is left out. Strange ones are drawn by how many familiar ones we lack.
func (b *Balancer) count() {
	doubts, familiar, strange, did, size := 0, 0.0, 0.0, 0.0, 0.0
	places := math.Max(b.rate*float64(b.lasting*familiarShare)/homeLegs, homeLeast)
	for _, e := range b.ready {
		if !b.isCold(e) && (b.pool || b.familiar(e)) {
			did, size = did+e.did/e.took, size+e.size
		}
		if e.doubted {
			doubts++
		}
	}
	if size > 0 {
		b.capacity = did / size
	}
	for _, e := range b.ring { // the first good ones from our place on
		e.home = places > 0 && !e.doubted && (e.fine >= e.lost || b.now-e.lost > b.lasting*familiarShare)
		if e.home {
			places--
		}
		e.brisk = 1
		if b.familiar(e) {
			familiar, e.brisk = familiar+1, math.Min(math.Max(e.did/e.took/b.capacity, 1/briskMost), briskMost)
		} else if e.home {
			strange++
		}
	}
	b.mostDoubt, b.strange = doubts*2 > len(b.ready), 1
	for n := range b.products {
		if p := &b.products[n]; p.Bound() {
			open, doubted := 0, 0
			for _, e := range b.ready {
				if e.open[n] {
					if open++; e.doubted {
						doubted++
					}
				}
			}
			p.mostDoubt = doubted*2 > open
		}
	}
	b.calm = math.Max(1-homeCalm*(b.lost+b.lostLong), 0)
	wanted := math.Max(b.rate*float64(b.lasting)*familiarSpan, 1)
	if b.recall = b.lasting * familiarShare; b.blind() { // a warm connection is worth remembering
		wanted, b.recall = math.Max(wanted, float64(b.askMany)), max(b.recall, b.warmFor)
	}
	share := 1 - (1-strangeShare)*math.Min(familiar/wanted, 1)
	if strange += homeBeyond * (float64(len(b.ready)) - familiar); share < 1 && strange > 0 {
		b.strange = math.Min(share/(1-share)*familiar/strange, 1)
	}
}

func (b *Balancer) pulse() {
	b.Wake(b.beat, 0)
	b.test()
	b.age()
	for _, e := range b.ready {
		e.good, e.bad = e.good*b.fade, e.bad*b.fade
		if b.isCold(e) {
			own := math.Max(b.rate*e.size/math.Max(b.sizes, 0.01), 0.5/b.usual/b.fleet)
			if b.pool { // the budget of all sharers; a part for who filled up, who is told of nothing
				own = e.size * b.capacity
				if e.share(b.me) < 0 {
					own /= poolSize
				}
			}
			allowed := b.coldRate * b.capacityNow(e) * own
			if e.called && b.fall > 0 {
				sum := calledSlots * b.coldRate * b.capacityNow(e) / b.usual // all are told at once
				allowed = math.Max(allowed, math.Min(1/float64(calledBy*b.fall), sum/b.fleet))
			}
			e.tokens = math.Min(e.tokens+allowed*float64(b.beat), math.Max(1, allowed*float64(b.fall)/4))
		}
		for n := range e.kin {
			if k := &e.kin[n]; k.work > 0 && b.now-k.at > b.lasting { // its end was lost, or who told is no more
				e.others, k.work = e.others-k.work, 0
			}
		}
		b.judge(e)
	}
	b.count()
	held := 0
	var first *exchange
	for _, x := range b.places {
		if x.silent {
			if held++; first == nil || x.legs[0].sent < first.legs[0].sent {
				first = x
			}
		}
		for n := range x.legs {
			if l := &x.legs[n]; !l.ended && !l.lost && !l.quiet {
				took := float64(b.now - l.sent)
				if b.weigh(x, l, Unclear, took); l.lost {
					b.hold(x, true)
					b.tell(x, &leg{to: l.to, ahead: l.ahead}, Unclear, took)
				}
			}
		}
	}
	if b.buffers > 0 && held >= b.buffers { // whose client reads slowly holds what all others wait for
		b.giveUp(first, Overlong)
	}
	b.report()
	b.drain()
}
