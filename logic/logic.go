// Package logic holds every decision of lynxjunction.
//
// How to call it: New starts an instance from its Terms. At sets the clock before each event. The
// list comes as ListStarts (a whole list only), Listed for each entry, ListEnds, or as ListFailed;
// what staff say as Out, Back; an exchange as Arrive, then Began, Ended for each of its legs, Left,
// with Spent and Whole between if it is still coming; a due timer as Alarm. All that an instance wants
// done goes through the Outgoing it was given. Both are declared in types.go.
//
// An exchange's place keeps in next the step that awaits its next result. Ids that are not known
// any more, late timers and late outcomes are harmless: they find no place, or stepOver.
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

	copyPercentile            = 0.98
	copyFloor                 = 20  // samples before the timer is trusted
	copyRatio                 = 0.1 // copies to exchanges
	copyWindow                = 10000.0
	copyRefresh               = 5000.0
	recentLength, recentStale = 256, 16 // latencies kept for the percentile; new ones until it is anew
	windowParts               = 40      // steps in which the window slides
)

// Ours, as ratios to what the terms say or what is seen.
const (
	beatShare                 = 0.2      // of the shortest expected time: the pulse of upkeep
	memoryShare               = 8.0      // of the longest expected time: how long health evidence counts
	lateShare                 = 0.4      // of the expected time: a leg that takes longer finds a crowd;
	lateBest, lateLimit       = 1.8, 0.5 // or over so many times its product's best mean, up to this share
	lostOver                  = 3.0      // the more of them, the more a late answer is still worth: a leg
	lostLeast, lostMost       = 0.5, 0.9 // that takes longer is lost; of the expected time, least and most
	lostGain, lostGainLeast   = 0.25, 0.02
	lostLong                  = 1.0 / 6    // of that gain, for the longer share of lost legs;
	lostFade, lostLongFade    = 4.0, 16.0  // longest expected times in which both fade by themselves
	shedAt, shedSpan          = 0.37, 0.25 // lost legs with which dismissals begin, and until all is dismissed
	shedWeight                = 4.0        // of the longer share, the more the larger it is
	shutShare                 = 0.25       // of the time between two legs that a dismissal shuts the door
	rankGain                  = 0.02       // of an exchange in the mean rank
	familiarShare             = 16.0       // longest expected times that an answer in time is remembered
	familiarSpan              = 0.5        // of the longest expected time: its legs all find familiar ones
	strangeShare, badShare    = 0.03, 0.02 // legs to strange endpoints; draw of those lately late among them
	roomLeast                 = 4.0        // legs of all sidecars together that a room leaves at the least
	roomOver, legsFree        = 1.3, 3.0   // legs out over all rooms together, but so many at any size
	roomMore, roomCalm        = 3.0, 4.0   // times more than that while none is lost; how fast this shrinks
	roomUse                   = 0.33       // of all rooms is in use, or none grows: else they let a burst in
	roomRise, roomFall        = 0.02, 0.8  // a room's growth at an answer in time; what a late one leaves of it
	usualAtStart              = 0.25       // of the shortest expected time
	usualMemory               = 30000.0    // milliseconds over which a product's usual time is averaged
	doubtAt, trustAt          = 0.25, 0.8  // share of bad outcomes that is doubtful; draw that gives a trial
	coldMargin                = 0.65       // of the fall multiple that all sidecars together may use
	retryEarn, retryMost      = 0.15, 12.0 // further legs that an exchange's end earns; held at the most
	restShare, restMost       = 0.25, 7    // of the longest expected time: a rest, doubled so many times
	failGain                  = 0.05       // of a leg in the share of its product's legs that fail
	rememberShare, queueShare = 0.8, 0.12  // of the time a group remembers; of the time left that may be queued
	shareSlack, lostCopies    = 1.1, 0.3   // on a tenant's share; share of lost legs that is everybody's trouble
	poolSize, poolLeast       = 8, 4       // sidecars that share an endpoint; endpoints that one has at the least
	fitMost                   = 4.0        // and in times that a leg takes alone, so that endpoints don't choke
	aloneRise                 = 0.1        // of that, upwards
	paceGain                  = 0.05       // of a leg in the pace of its endpoint
	fitShare, fitRank         = 0.45, 0.5  // of the time left that a leg may take; how the less worthy are held back
	costGain                  = 0.005      // of an exchange in the mean hint
	queueOthers               = 0.25       // of the legs that others have out, those that make room for us
	calledBy                  = 3.0        // fall times in which who was called back earns its first leg
	awayFall                  = 300.0      // how the draw of other zones falls with the price of the way
	listBackoff, listBackMost = 0.05, 0.25 // of ask-within: first and longest wait after a failure,
	listCrowd                 = 3.0        // and how much longer both are in a large fleet
)

// endpoint is all that is known of one server.
type endpoint struct {
	id                  EndpointID
	zone                ZoneID
	cell                CellID
	size                float64 // as listed
	mark                uint16  // its name in messages
	kin                 []kin   // with whom a pool shares it
	work, others        float64 // in legs of mean work: ours, and what they told of
	readyAt             Millis
	up, listed, running bool // up: by the list's word; running: and not out by hand
	told, called        bool // told: staff know that it is doubtful; called: back by hand, no leg since
	legs                int
	changed             Millis // last change of doubt
	turn                byte   // of our last message
	seen
}

// seen is what was learned of an endpoint's process.
type seen struct {
	weight, room float64 // room: legs it may have
	braked       Millis  // when room last fell; 0 before
	good, bad    float64 // fading counts of outcomes
	doubted      bool
	tokens       float64 // cold budget, in exchanges of mean work
	took, did    float64 // fading sums of times and of work ahead: their ratio is its pace
	fine, lost   Millis  // last answer in time, last leg that was lost
	of           []streak
}

// kin is what another sidecar of the pool told of its legs at an endpoint.
type kin struct {
	peer PeerID
	turn byte
	work float64
	at   Millis
}

// streak is how often in a row an endpoint failed one product, which it may do while it serves the others.
type streak struct {
	length       int
	ended, until Millis // last counted, and when a leg may try again
}

// product is a Product with what decisions use.
type product struct {
	Product
	place       int
	usual, best float64 // mean time of a satisfied leg: of late, and the least so far
	failing     float64 // share of its legs that fail, wherever they go: no endpoint's fault
	answers     float64
	usualAt     Millis
}

type leg struct {
	to                          *endpoint
	sent                        Millis
	ended, neverRan, late, lost bool
	units, ahead                float64 // its work, in mean legs; with what was there when it was sent
	quiet, streams              bool    // quiet: no work for its endpoint now, in transfer only
}

type what int

const (
	legEnded what = iota
	copyDue
	waitOver
	clientLeft
	streamBegan
)

type result struct {
	what    what
	outcome Outcome
	closed  bool
}

type step func(b *Balancer, x *exchange, r result)

// exchange is a place of the slab; its turn tells one user of the place from the next.
type exchange struct {
	id      ExchangeID
	place   int
	turn    uint32
	next    step
	product *product
	tenant  TenantID
	units   float64 // of work, by its hint
	horizon Millis  // after it no answer is worth anything
	legs    []leg
	out     int
	coming  bool // its request has not come whole
	spent   bool // nor can it be sent again: what its leg took was not kept
}

// Balancer is one instance.
type Balancer struct {
	Outgoing
	now  Millis
	dice uint64
	// From the terms.
	zone                                                ZoneID
	products                                            []product
	unknown                                             product
	tenants, admitted                                   []float64 // share of each; fading counts
	overShare, fleet, coldFrom, awayOdds                float64
	coldRate, roomLeast, fade                           float64 // coldRate: legs over capacity
	maxLegs                                             int
	copies, cancels, mustAsk, byWork, pool              bool
	me                                                  PeerID
	others, cost, hints, alone, capacity                float64 // legs that the pool told of; mean hint
	word                                                word
	theirs                                              exchange // what another sidecar told of
	theirLeg                                            leg
	advice                                              Millis // the longest that clients heed; 0 for none
	askFirst, askMost, cold, fall, beat, slack, lasting Millis

	// The list.
	endpoints, ready []*endpoint // in the order first heard of
	known            map[EndpointID]*endpoint
	marks            map[uint16]*endpoint
	banned           map[EndpointID]bool   // out by hand; it outlasts the entry in the list
	back             map[EndpointID]Millis // when that ended: it counts as started then
	odds             []float64             // of the ready ones, in a pick
	sizes            float64               // of the ready ones
	askWait          Millis

	// Exchanges in hand.
	places, free, queue []*exchange
	open                map[ExchangeID]*exchange
	out                 int // legs

	// What was learned.
	recent, sorted                                 [recentLength]float64 // latencies of satisfied legs
	samples, timerAt, part                         int
	timer, ratioAt, shutUntil                      Millis
	window                                         [windowParts]struct{ copies, ended float64 }
	ratio, retries, usual, sent, rate, admittedAll float64
	lost, lostLong                                 float64 // shares of lost legs, of late and for longer
	usualRank, rooms, strange, crowding            float64 // strange: draw of who is not familiar
	mostDoubt, crowded                             bool
}

// New starts an instance that knows nothing but its terms.
func New(t Terms, out Outgoing, now Millis) *Balancer {
	b := &Balancer{
		Outgoing: out, now: now, dice: t.Seed ^ 0x9e3779b97f4a7c15, zone: t.Zone, tenants: t.Tenants,
		admitted: make([]float64, len(t.Tenants)), overShare: t.OverShare, maxLegs: max(t.MaxLegs, 1),
		awayOdds: 1 / (1 + awayFall*t.CrossPrice), copies: t.SecondCopies, cancels: t.MayCancel,
		mustAsk: t.MustAsk, byWork: t.ByWork, strange: 1, pool: t.Peers && t.Fleet > 1, me: t.Me,
		marks: map[uint16]*endpoint{},
		cold:  t.Cold, coldFrom: t.ColdFrom, coldRate: t.FallMultiple * coldMargin, fall: t.Fall,
		fleet: float64(max(t.Fleet, 1)), slack: 2 * t.Tick, known: map[EndpointID]*endpoint{},
		banned: map[EndpointID]bool{}, back: map[EndpointID]Millis{}, open: map[ExchangeID]*exchange{},
		retries: retryMost / 4, ratioAt: now, advice: t.LongestAdvice,
	}
	b.roomLeast = math.Min(roomLeast/b.fleet, 1)
	if b.pool { // who knows of all legs works with whole rooms, as a single sidecar would
		b.roomLeast = 1
	}
	// The list service takes calls in turn and drops those that wait too long: many that ask soon get none.
	patience := t.AskWithin * Millis(1+listCrowd*(1-math.Min(roomLeast/b.fleet, 1)))
	b.askFirst, b.askMost, b.askWait = patience*listBackoff, patience*listBackMost, patience*listBackoff
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
	b.beat, b.usual, b.lasting = shortest*beatShare, float64(shortest)*usualAtStart, longest
	b.alone, b.capacity = b.usual, 1/b.usual
	b.fade = math.Exp(-float64(b.beat / (longest * memoryShare)))
	b.Wake(b.beat, 0)
	if b.mustAsk && t.Knows && b.fleet > roomLeast {
		b.Wake(b.askFirst*Millis(b.chance()), 1) // most of a fleet may have been restarted with us
	} else if b.mustAsk {
		b.Watch()
	}
	return b
}

func (b *Balancer) At(now Millis) { b.now = now }

// chance is a multiply-with-carry generator's next number, from 0 to 1 exclusive.
func (b *Balancer) chance() float64 {
	b.dice = (b.dice&0xffffffff)*4294957665 + b.dice>>32
	return (float64(uint32(b.dice)) + 0.5) / (1 << 32)
}

// ---- the list

// ListStarts begins a whole list: what it does not name is gone.
func (b *Balancer) ListStarts() {
	for _, e := range b.endpoints {
		e.listed = false
	}
}

// Listed takes one entry. Whatever is not Running gets nothing new from here on.
func (b *Balancer) Listed(id EndpointID, h Health, zone ZoneID, cell CellID, size float64, readyAt Millis) {
	e := b.known[id]
	if e == nil {
		e = &endpoint{id: id, mark: markOf(id)}
		b.known[id], b.marks[e.mark] = e, e
		b.endpoints = append(b.endpoints, e)
		b.renew(e)
	} else if readyAt > e.readyAt {
		b.renew(e) // a restart: what was known of the old process misleads about the new one
	}
	// Back by hand means restarted, whatever older start the list still tells.
	e.zone, e.cell, e.size, e.readyAt = zone, cell, size, max(readyAt, b.back[id], 0)
	if size <= 0 {
		e.size = 1
	}
	e.listed, e.up = h != Gone, h == Running
	e.running = e.up && !b.banned[id]
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
	e.seen = seen{weight: weightMost, room: math.Min(b.roomLeast*(1+b.roomLeast), 1)}
	e.took, e.did = b.usual, 1
	e.of = make([]streak, len(b.products)+1)
	e.tokens = b.chance() // sidecars told together do not all send their first leg at once
	if n := float64(len(b.ready)); n > 0 {
		e.weight = 0
		for _, o := range b.ready {
			e.weight += o.weight / n
		}
	}
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

// gather finds who may get anything.
func (b *Balancer) gather() {
	b.ready, b.sizes = b.ready[:0], 0
	for _, e := range b.endpoints {
		if e.running = e.up && e.listed && !b.banned[e.id]; e.running {
			b.ready = append(b.ready, e)
		}
	}
	if b.pool {
		slices.SortStableFunc(b.ready, func(p, q *endpoint) int { return cmp.Compare(b.far(p), b.far(q)) })
		few := slices.IndexFunc(b.ready, func(e *endpoint) bool { return b.far(e) > 0 })
		if few >= 0 {
			b.ready = b.ready[:min(max(few, poolLeast), len(b.ready))]
		}
	}
	for _, e := range b.ready {
		b.sizes += e.size
	}
	b.odds = slices.Grow(b.odds[:0], len(b.ready))[:len(b.ready)]
}

// ---- the pool

// far is 0 for who is shared by this sidecar: a pool shares an endpoint among few, who keep connections to it and tell
// each other of their legs there. The others follow in an order of our own, where chance left us few.
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

// share is a sidecar's place among those who share an endpoint, -1 for none.
func (e *endpoint) share(p PeerID) int {
	return slices.IndexFunc(e.kin, func(k kin) bool { return k.peer == p })
}

// tell lets those who share an endpoint know of all our legs there, so that a lost message misleads only until the
// next, and how one fared.
func (b *Balancer) tell(x *exchange, l *leg, o Outcome, took float64) {
	if !b.pool {
		return
	}
	if l.lost && o != Satisfied {
		took = 0 // told when it was noticed
	}
	l.to.turn++
	b.word = wordOf(l.to, x, l, o, took, b.effort(x))
	for n, k := range l.to.kin {
		if n < poolSize && k.peer != b.me {
			b.Tell(k.peer, b.word[:])
		}
	}
}

// Told takes what another sidecar wrote. What is malformed, of no use or overtaken by a later one changes nothing.
func (b *Balancer) Told(from PeerID, text []byte) {
	w, ok := read(text)
	e := b.marks[w.mark()]
	if !b.pool || !ok || e == nil || from < 0 || from == b.me {
		return
	}
	n := e.share(from)
	if n < 0 && len(e.kin) < 2*poolSize { // one to whom chance left few
		n, e.kin = len(e.kin), append(e.kin, kin{peer: from, turn: w[2] - 1})
	}
	if n < 0 || !w.after(e.kin[n].turn) && b.now-e.kin[n].at <= b.lasting {
		return
	}
	e.others += w.work() - e.kin[n].work
	e.kin[n] = kin{peer: from, turn: w[2], work: w.work(), at: b.now}
	if w.product() < len(b.products) {
		o, took := w.fared()
		if t, effort := w.begun(); o == Unclear && took == 0 {
			e.tokens -= effort
			b.counts(t)
		}
		b.theirs.product, b.theirLeg = &b.products[w.product()], leg{to: e, sent: b.now - took, ahead: w.ahead()}
		b.account(&b.theirs, &b.theirLeg, o, float64(took))
	}
	b.drain()
}

// ListFailed asks again, later each time but well inside the time after which silence counts as told.
func (b *Balancer) ListFailed() {
	if b.mustAsk {
		b.Wake(b.askWait*Millis(0.5+b.chance()), 1)
		if b.askWait < b.askMost && 2*b.askWait >= b.askMost {
			b.Note("list service fails; working from the last list")
		}
		b.askWait = min(2*b.askWait, b.askMost)
	}
}

// ---- an exchange's way

// Arrive takes an exchange; from here on it is owed one final answer. One whose request is still coming
// gets no copy, and no further leg once Spent.
func (b *Balancer) Arrive(id ExchangeID, p ProductID, t TenantID, abandon Millis, cost float64, coming bool) {
	x := b.seat()
	x.id, x.product, x.tenant, x.coming, x.spent = id, &b.unknown, t, coming, false
	if p >= 0 && int(p) < len(b.products) {
		x.product = &b.products[p]
	}
	if x.units = 1; cost > 0 {
		b.hints++
		b.cost += math.Max(1/b.hints, costGain) * (cost - b.cost)
		x.units = cost / b.cost
	}
	b.limit(x, abandon)
	b.open[id] = x
	if why := b.admits(x); why != Legged {
		b.giveUp(x, why)
	} else {
		b.route(x)
	}
}

// Spent tells that the request can't be sent again.
func (b *Balancer) Spent(id ExchangeID) {
	if x := b.open[id]; x != nil {
		x.spent = true
	}
}

// Whole tells that the request's last byte is written: its leg's work begins, and its time.
func (b *Balancer) Whole(id ExchangeID, abandon Millis) {
	if x := b.open[id]; x != nil && x.coming {
		x.coming = false
		b.limit(x, abandon)
		for n := range x.legs {
			if l := &x.legs[n]; !l.ended {
				l.sent = b.now
				b.hush(l, false)
			}
		}
	}
}

func (b *Balancer) limit(x *exchange, abandon Millis) {
	if x.horizon = abandon; x.product.Overdue <= 0 && x.product.Expected > 0 {
		x.horizon = min(abandon, b.now+x.product.Expected)
	}
}

// hush: a leg in transfer only takes no room at its endpoint.
func (b *Balancer) hush(l *leg, quiet bool) {
	step := 1
	if quiet {
		step = -1
	}
	if quiet != l.quiet {
		l.quiet, l.to.legs, b.out = quiet, l.to.legs+step, b.out+step
		if l.to.work += float64(step) * l.units; l.to.legs == 0 {
			l.to.work = 0
		}
	}
}

// admits, unless it has a reason not to, sheds by the share of lost legs, the less worthy first. Who asks
// again at once finds the door shut.
func (b *Balancer) admits(x *exchange) Reason {
	rank := b.rank(x)
	if b.usualRank == 0 {
		b.usualRank = rank
	}
	b.usualRank += rankGain * (rank - b.usualRank)
	if b.now < b.shutUntil {
		return Shut
	}
	if b.chance() < math.Pow(1-b.overload(), b.usualRank/rank) {
		return Legged
	}
	b.shutUntil = b.now + min(b.beat, Millis(shutShare/math.Max(b.rate, 1e-6)))
	return Shed
}

// overload is the part to shed. Rooms of whole legs hold a small fleet back without it.
func (b *Balancer) overload() float64 {
	lost := b.lost + b.lostLong*(1+shedWeight*b.lostLong)
	return (1 - b.roomLeast*b.roomLeast) * math.Min(math.Max((lost-shedAt)/shedSpan, 0), 1)
}

func (b *Balancer) seat() *exchange {
	last := len(b.free) - 1
	if last < 0 {
		b.places = append(b.places, &exchange{place: len(b.places), legs: make([]leg, 0, b.maxLegs)})
		return b.places[len(b.places)-1]
	}
	x := b.free[last]
	b.free = b.free[:last]
	return x
}

// vacate frees a place once nothing can come for it but late timers, which the turn tells apart.
func (b *Balancer) vacate(x *exchange) {
	delete(b.open, x.id)
	x.turn, x.legs, x.next, x.id = x.turn+1, x.legs[:0], nil, ""
	b.free = append(b.free, x)
}

func (b *Balancer) route(x *exchange) {
	if len(b.queue) == 0 {
		if e := b.pick(x); e != nil {
			b.send(x, e)
			return
		}
	}
	b.lineUp(x)
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
	}
	// A leg gets all the time left: cutting it for a further leg wastes more work than it saves.
	patience := max(x.horizon-b.now-b.slack, b.slack/2, 1)
	x.legs = append(x.legs, leg{to: e, sent: b.now, units: x.units, quiet: true})
	x.out, b.sent = x.out+1, b.sent+1
	x.next = stepRunning
	l := &x.legs[len(x.legs)-1]
	if !x.coming {
		b.hush(l, false)
	}
	l.ahead = e.held()
	b.tell(x, l, Unclear, 0)
	b.Send(x.id, e.id, patience)
	if b.copies && len(x.legs) == 1 && b.samples >= copyFloor && b.timer < x.horizon-b.now {
		b.wakeFor(x, b.timer, copyDue)
	}
	return true
}

// counts books an exchange with its tenant.
func (b *Balancer) counts(t TenantID) {
	if t >= 0 && int(t) < len(b.admitted) {
		b.admitted[t]++
		b.admittedAll++
	}
}

func (b *Balancer) wakeFor(x *exchange, after Millis, w what) {
	b.Wake(after, TimerID(x.place)<<40|TimerID(x.turn)<<8|TimerID(w)<<4|2)
}

// Alarm takes a timer; one set for an earlier user of a place is stale and does nothing.
func (b *Balancer) Alarm(t TimerID) {
	switch place := int(t >> 40); {
	case t == 0:
		b.pulse()
	case t == 1:
		b.Watch()
	case t&15 == 2 && place < len(b.places):
		x := b.places[place]
		if x.next != nil && x.turn == uint32(t>>8) {
			x.next(b, x, result{what: what(t >> 4 & 15)})
		}
	}
}

// Began hands over a streamed answer's start, after which the leg is the client's own.
func (b *Balancer) Began(id ExchangeID, n LegNo) {
	if x := b.open[id]; x != nil && int(n) < len(x.legs) && !x.legs[n].ended {
		l := &x.legs[n]
		l.streams = true
		b.hush(l, true)
		b.tell(x, l, Satisfied, float64(b.now-l.sent))
		b.account(x, l, Satisfied, float64(b.now-l.sent))
		b.cancelOthers(x, n)
		x.next(b, x, result{what: streamBegan})
		b.drain()
	}
}

// Left ends an exchange whose client went away.
func (b *Balancer) Left(id ExchangeID) {
	if x := b.open[id]; x != nil {
		x.next(b, x, result{what: clientLeft})
	}
}

// Ended takes a leg's outcome: first the endpoint's account, then the exchange's next step.
func (b *Balancer) Ended(id ExchangeID, n LegNo, o Outcome, took Millis, closed bool) {
	x := b.open[id]
	if x == nil || int(n) >= len(x.legs) || x.legs[n].ended {
		return
	}
	l := &x.legs[n]
	l.ended, l.neverRan = true, o == Full || o == NoConnection || o == NotSent
	x.out--
	b.hush(l, true)
	if l.streams && (o == Satisfied || o == Cancelled) {
		o = Unclear
	}
	b.tell(x, l, o, float64(took))
	b.account(x, l, o, float64(took))
	x.next(b, x, result{what: legEnded, outcome: o, closed: closed})
	b.drain()
}

// stepRunning awaits the outcome of legs that are out, or the time for a copy.
func stepRunning(b *Balancer, x *exchange, r result) {
	switch {
	case r.what == clientLeft || r.closed:
		b.finish(x)
	case r.what == streamBegan:
		x.next = stepStreaming
	case r.what == copyDue:
		b.copy(x)
	case r.what != legEnded || x.out > 0:
	case b.furtherLeg(x):
		b.retries--
		b.route(x)
	default:
		b.giveUp(x, Legged)
	}
}

// stepQueued awaits room; drain sends it on, the end of its wait gives it up.
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

// stepStreaming awaits the end of a stream, for which no time-out runs.
func stepStreaming(b *Balancer, x *exchange, r result) {
	if r.closed || r.what == clientLeft {
		b.finish(x)
	}
}

// stepOver awaits the outcomes of legs left behind by an exchange that has ended.
func stepOver(b *Balancer, x *exchange, _ result) {
	if x.out == 0 {
		b.vacate(x)
	}
}

// finish closes the books on an exchange that has its final answer.
func (b *Balancer) finish(x *exchange) {
	b.cancelOthers(x, -1)
	b.window[b.part].ended++
	b.retries = math.Min(b.retries+retryEarn, retryMost)
	x.next = stepOver
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
	return b.retries >= 1+retryMost*x.product.failing && len(x.legs) < b.maxLegs &&
		float64(x.horizon-b.now) > x.product.usual/2 &&
		slices.ContainsFunc(b.ready, func(e *endpoint) bool { return b.gate(x, e) })
}

// copy sends the second leg of the design, unless all are slow: then copies only feed the trouble.
func (b *Balancer) copy(x *exchange) {
	if x.out != 1 || len(x.legs) > 1 || x.coming || b.ratio >= copyRatio || b.lostLong > lostCopies {
		return
	}
	if e := b.pick(x); e != nil && b.send(x, e) {
		b.window[b.part].copies++
	}
}

// ---- rules

// gate holds every rule that a leg must keep.
func (b *Balancer) gate(x *exchange, e *endpoint) bool {
	if !e.running || len(x.legs) >= b.maxLegs || x.horizon <= b.now || x.spent && len(x.legs) > 0 {
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
	return !b.isCold(e) || e.tokens >= b.effort(x)
}

func (b *Balancer) isCold(e *endpoint) bool { return e.readyAt > 0 && b.now < e.readyAt+b.cold }

// capacityNow is the least part of its full capacity that an endpoint has by now.
func (b *Balancer) capacityNow(e *endpoint) float64 {
	if !b.isCold(e) {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*math.Max(float64((b.now-e.readyAt)/b.cold), 0)
}

func (b *Balancer) effort(x *exchange) float64 { return x.product.usual / b.usual }

// ---- the pick

// pick draws two by weight and takes the one with fewer legs. Doubtful ones have room because they fail.
func (b *Balancer) pick(x *exchange) *endpoint {
	total := 0.0
	b.rooms, b.others = 0, 0
	fits := b.fits(x)
	for i, e := range b.ready {
		part := b.capacityNow(e)
		b.rooms += e.room * part // a cold server's room is not there yet
		b.others += e.others
		b.odds[i] = 0
		if held := e.held(); held > 0 && (b.pool && b.time(x, e) > fits || !b.pool && held > e.room-b.chance()) || !b.gate(x, e) || !b.trusts(x, e) || b.rests(x, e) {
			continue
		}
		if e.called {
			return e // its first leg since it is back: a light sidecar would not draw it for long
		}
		odds := e.weight * e.size * part
		if b.pool {
			odds *= b.usual * e.did / e.took
		}
		if e.zone != b.zone {
			odds *= b.awayOdds
		}
		if !b.familiar(e) {
			if !b.isCold(e) { // tokens bound those, and who is never drawn never warms up
				odds *= b.strange
			}
			if b.now-e.lost < familiarShare*b.lasting {
				odds *= badShare
			}
		}
		if slices.ContainsFunc(x.legs, func(l leg) bool { return l.to == e }) {
			odds *= badShare // it failed this exchange once
		}
		b.odds[i] = odds
		total += odds
	}
	// A large fleet's many small rooms must not add up to a crowd. Where none shows, a heavy sidecar needs more
	// than its part from the start.
	calm := math.Max(1-roomCalm*(b.lost+b.lostLong), 0)
	if total <= 0 || !b.pool && float64(b.out+1)+b.others > math.Max(b.rooms*roomOver, legsFree)*(1+roomMore*calm) {
		return nil
	}
	one := b.draw(total)
	total -= b.odds[one]
	b.odds[one] = 0
	if total > 1e-9 {
		if two := b.draw(total); b.load(x, b.ready[two]) < b.load(x, b.ready[one]) {
			one = two
		}
	}
	return b.ready[one]
}

// held is all that an endpoint has to do, as far as we know, in legs of mean work.
func (e *endpoint) held() float64 { return e.work + e.others }

// familiar tells who lately answered in time: a light sidecar meets the others too seldom to know them.
func (b *Balancer) familiar(e *endpoint) bool {
	return e.fine > e.lost && b.now-e.fine < familiarShare*b.lasting
}

func (b *Balancer) draw(total float64) int {
	at, last := b.chance()*total, 0
	for i, w := range b.odds {
		if w > 0 && at >= 0 {
			at, last = at-w, i
		}
	}
	return last
}

// time is what an exchange would take at an endpoint behind all that a pool knows to be there.
func (b *Balancer) time(x *exchange, e *endpoint) float64 {
	return (e.held() + x.units) * e.took / e.did
}

// fits is the time in which it is worth sending; the less worthy leave room for the others.
func (b *Balancer) fits(x *exchange) float64 {
	most := math.Min(fitShare*float64(x.horizon-b.now), fitMost*b.alone)
	return most * math.Min(math.Pow(b.rank(x)/b.usualRank, fitRank), 1)
}

// load is the design's count of legs in flight; in a pool, where all are known, by the time that they take there.
func (b *Balancer) load(x *exchange, e *endpoint) float64 {
	l := e.held() + 1
	if b.pool {
		l = b.time(x, e)
	}
	if e.zone != b.zone {
		l /= math.Sqrt(b.awayOdds)
	}
	return l
}

// trusts tries a doubtful endpoint now and then, by a draw from the posterior of its chance of success.
func (b *Balancer) trusts(x *exchange, e *endpoint) bool {
	if !e.doubted || b.mostDoubt {
		return true
	}
	if e.legs > 0 || x.product.Effect == SingleUse {
		return false
	}
	good, bad := b.gamma(1+int(math.Min(e.good, 8))), b.gamma(1+int(math.Min(e.bad+0.5, 8)))
	return good/(good+bad) > trustAt
}

// rests: it failed this product twice in a row, and is not tried again yet, if there is one that did not.
func (b *Balancer) rests(x *exchange, e *endpoint) bool {
	s, p := e.of[x.product.place], x.product.place
	return s.length >= 2 && b.now < s.until &&
		slices.ContainsFunc(b.ready, func(o *endpoint) bool { return o.of[p].length < 2 })
}

func (b *Balancer) gamma(k int) float64 {
	p := 1.0
	for ; k > 0; k-- {
		p *= b.chance()
	}
	return -math.Log(p)
}

// ---- the queue

// lineUp lets an exchange wait for room, if an answer in time is likely; the least worthy gives way.
func (b *Balancer) lineUp(x *exchange) {
	if len(b.ready) == 0 {
		b.giveUp(x, Unlisted)
		return
	}
	x.next = stepQueued
	b.queue = append(b.queue, x)
	b.wakeFor(x, max(min(x.horizon-b.now-Millis(x.product.usual), (x.horizon-b.now)/2), 1), waitOver)
	for len(b.queue) > 0 {
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

func (b *Balancer) leave(x *exchange) {
	b.queue = slices.DeleteFunc(b.queue, func(q *exchange) bool { return q == x })
}

// drain sends from the queue while there is room, the worthiest first.
func (b *Balancer) drain() {
	for len(b.queue) > 0 {
		x := slices.MaxFunc(b.queue, b.byRank)
		e := b.pick(x)
		if e == nil {
			return
		}
		b.leave(x)
		b.send(x, e)
	}
}

// ---- what is learned

// account books a leg's outcome with its endpoint. A product that fails at all of them must not shut them.
func (b *Balancer) account(x *exchange, l *leg, o Outcome, took float64) {
	e := l.to
	b.weigh(x, l, o, took)
	if took > 0 && (o == Satisfied || o == TimedOut) { // through the origin: the more there was ahead the more it tells
		e.took += paceGain * (took*l.ahead - e.took)
		e.did += paceGain * (l.ahead*l.ahead - e.did)
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

// learn takes the time of a satisfied leg.
func (b *Balancer) learn(x *exchange, e *endpoint, took float64) {
	b.recent[b.samples%recentLength] = took
	b.samples++
	if b.samples >= copyFloor && b.samples >= b.timerAt {
		s := b.sorted[:min(b.samples, recentLength)]
		copy(s, b.recent[:])
		slices.Sort(s)
		b.timer, b.timerAt = Millis(s[int(copyPercentile*float64(len(s)-1))]), b.samples+recentStale
	}
	p := x.product
	p.answers++
	gain := math.Max(1/(p.answers+2), math.Min(float64(b.now-p.usualAt)/usualMemory, 1))
	p.usual, p.usualAt = p.usual+gain*(took-p.usual), b.now
	if p.answers <= copyFloor || p.usual < p.best {
		p.best = p.usual
	}
	b.usual += math.Max(1/float64(b.samples), 0.005) * (took - b.usual)
	e.good++
}

// weigh books how long a leg took or is out already: silence counts before any time-out runs out.
func (b *Balancer) weigh(x *exchange, l *leg, o Outcome, took float64) {
	expected, best := float64(x.product.Expected), x.product.best
	// Unequal servers and work of wide spread are over lateBest often enough to look like an overload.
	limit := lateBest * (1 + lostOver*x.product.Overdue) * best
	lost := o == Full || took > math.Min(math.Max(limit, lostLeast*expected), lostMost*expected)
	if !l.lost && (lost || o == Satisfied) {
		gain := math.Min(math.Max(1/(b.rate*float64(b.lasting)+0.01), lostGainLeast), lostGain)
		b.lost, b.lostLong = b.lost*(1-gain), b.lostLong*(1-gain*lostLong)
		if l.lost = lost; lost {
			b.lost, b.lostLong, l.to.lost = b.lost+gain, b.lostLong+gain*lostLong, b.now
		} else {
			l.to.fine = b.now
		}
	}
	if b.pool {
		return
	}
	late := o == Full || took > math.Min(math.Max(lateShare*expected, lateBest*best), lateLimit*expected)
	if !l.late && (late || o == Satisfied) {
		l.late = late
		b.widen(l, late)
	}
}

// widen: rooms follow lateness, so that all sidecars keep queues short without knowing of each other.
func (b *Balancer) widen(l *leg, late bool) {
	switch e := l.to; {
	case late && l.sent >= e.braked:
		e.room, e.braked = math.Max(math.Min(e.room, e.held()+1)*roomFall, b.roomLeast), b.now
	case !late && e.held()+1 > e.room/2 && float64(b.out+1)+b.others > b.rooms*roomUse:
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
	doubts, familiar, did, size := 0, 0.0, 0.0, 0.0
	for _, e := range b.ready {
		if !b.isCold(e) {
			did, size = did+e.did/e.took, size+e.size
		}
		if b.familiar(e) {
			familiar++
		}
		if e.doubted {
			doubts++
		}
	}
	if size > 0 {
		b.capacity = did / size
	}
	b.mostDoubt, b.strange = doubts*2 > len(b.ready), 1
	wanted := math.Max(b.rate*float64(b.lasting)*familiarSpan, 1)
	share := 1 - (1-strangeShare)*math.Min(familiar/wanted, 1)
	if strange := float64(len(b.ready)) - familiar; share < 1 && strange > 0 {
		b.strange = math.Min(share/(1-share)*familiar/strange, 1)
	}
}

// pulse is the regular upkeep.
func (b *Balancer) pulse() {
	b.Wake(b.beat, 0)
	b.rate += (1 - math.Exp(-float64(b.beat)/2000)) * (b.sent/float64(b.beat) - b.rate)
	b.sent = 0
	b.admittedAll *= b.fade
	b.lost -= b.lost * float64(b.beat/b.lasting) / lostFade // a shut sidecar hears nothing: it opens by itself
	b.lostLong -= b.lostLong * float64(b.beat/b.lasting) / lostLongFade
	for t := range b.admitted {
		b.admitted[t] *= b.fade
	}
	for part := int(float64(b.now)/(copyWindow/windowParts)) % windowParts; b.part != part; {
		b.part = (b.part + 1) % windowParts
		b.window[b.part].copies, b.window[b.part].ended = 0, 0
	}
	if b.now-b.ratioAt >= copyRefresh {
		copies, ended := 0.0, 0.0
		for _, w := range b.window {
			copies, ended = copies+w.copies, ended+w.ended
		}
		b.ratioAt, b.ratio = b.now, 0
		if ended > 0 {
			b.ratio = copies / ended
		}
	}
	for _, e := range b.ready {
		e.good, e.bad = e.good*b.fade, e.bad*b.fade
		if b.isCold(e) {
			own := b.rate * e.size / math.Max(b.sizes, 0.01)
			allowed := b.coldRate * b.capacityNow(e) * math.Max(own, 0.5/b.usual/b.fleet)
			if b.pool { // the budget is that of all who share it
				allowed = b.coldRate * b.capacityNow(e) * e.size * b.capacity
			}
			if e.called && b.fall > 0 {
				allowed = math.Max(allowed, 1/float64(calledBy*b.fall))
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
	for _, x := range b.places {
		for n := range x.legs {
			if l := &x.legs[n]; !l.ended && !l.lost && !l.quiet {
				took := float64(b.now - l.sent)
				if b.weigh(x, l, Unclear, took); l.lost {
					b.tell(x, &leg{to: l.to, ahead: l.ahead}, Unclear, took)
				}
			}
		}
	}
	b.report()
	b.drain()
}
