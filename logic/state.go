package logic

import (
	"cmp"
	"math"
	"slices"
)

// What an instance keeps, how that is booked and how chance is drawn. Nothing is decided here.

type endpoint struct {
	id                  EndpointID
	zone                ZoneID
	cell                CellID
	kind                KindID
	open                []bool  // by product's place: it may be sent here at all
	mark                uint16  // its name in messages
	name                KeyID   // its hash
	turn                byte    // of our last message
	kin                 []kin   // with whom a pool shares it
	home                bool    // it is of our own part
	brisk               float64 // its pace beside all's, shrunk by what was not seen: over 1 is faster
	near                float64 // how far from our own place on the ring of its zone, from 0 to 1
	size, work, others  float64 // as listed; legs of mean work: ours, and what others told of
	readyAt, changed    Millis  // changed: last change of doubt
	up, listed, running bool    // up: by the list's word; running: and not out by hand
	noted, called       bool    // staff know that it is doubtful; back by hand, no leg since
	legs                int
	asked               bool    // it was asked for its load,
	told                Millis  // told it last then,
	said                float64 // so many exchanges held, by everyone
	seen
}

type seen struct {
	weight, room       float64 // room: legs it may have
	braked, fine, lost Millis  // when room last fell; last answer in time; last leg that was lost
	good, bad, tokens  float64 // fading counts of outcomes; cold budget, in exchanges of mean work
	took, did          float64 // fading sums of times and of work ahead: their ratio is its pace
	failed             KeyID   // key that failed there last
	doubted            bool
	of                 []streak
}

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

// tried is a fading count of outcomes.
type tried struct{ good, bad float64 }

// keyed is what is known of a key: its outcomes, and where it failed last.
type keyed struct {
	tried
	failed *endpoint
}

type product struct {
	Product
	place                         int
	mostDoubt                     bool    // of a bound one: most of its endpoints are doubted
	usual, best, failing, answers float64 // mean time, of late and least; failing share
	square, wide                  float64 // mean square of its times; their deviation over the mean, at the least mean
	usualAt, left                 Millis  // left: the time its exchanges usually have
}

type Balancer struct {
	Outgoing
	dice                                                                                                          uint64
	zone                                                                                                          ZoneID
	me                                                                                                            PeerID
	products                                                                                                      []product
	unknown                                                                                                       product
	tenants, admitted                                                                                             []float64 // shares; fading counts
	overShare, fleet, coldFrom, awayOdds, awayKeys, coldRate, roomLeast, fade                                     float64
	maxLegs, out, buffers, askMany                                                                                int
	copies, cancels, mustAsk, byWork, pool, warmKeys                                                              bool
	now, timeOff, advice, askWait, askFirst, askMost, cold, fall, beat, slack, lasting, startOff, recall, warmFor Millis

	calls discoveryCalls
	lease lease

	// The list. banned: out by hand; back: when that ended, for it counts as started then.
	endpoints, ready []*endpoint
	known            map[EndpointID]*endpoint
	marks            map[uint16]*endpoint
	banned           map[EndpointID]bool
	back             map[EndpointID]Millis
	odds             []float64 // of the ready ones, in a pick

	places, free, queue []*exchange
	open                map[ExchangeID]*exchange
	word                word
	theirs              exchange
	theirLeg            leg

	recent, sorted                                  [recentLength]float64 // latencies of satisfied legs
	samples, timerAt, part                          int
	timer, ratioAt, shutUntil                       Millis
	window                                          [windowParts]struct{ copies, ended float64 }
	ratio, retries, usual, sent, rate, admittedAll  float64
	lost, lostLong                                  float64 // shares of lost legs, of late and for longer
	slowed                                          float64 // what answers take of late over their products' least
	place, calm                                     float64 // where our own part of each zone begins; its share of it
	usualRank, rooms, sizes, strange, crowding      float64 // strange: draw of who is not familiar
	others, cost, hints, alone, capacity, took, did float64 // the pool's legs; mean hint; a leg's time alone
	mostDoubt, crowded                              bool
	extra                                           ration
	asks                                            bool
	asking                                          []*exchange
	tested                                          *endpoint
	first                                           Load
	tests, fresh                                    float64
	heat                                            [heatParts]float64
	silent                                          [heatParts]int       // exchanges with a leg that is out for too long
	keys                                            [heatParts + 1]keyed // by key; the last is of all
	askCost                                         float64
	stuckNoted                                      bool
	stuckAt                                         Millis
	heatAll                                         float64
	zones                                           []tried   // by zone: legs lost, and in time
	ways                                            []float64 // by zone: the least time of its answers, rising slowly
	order                                           []int
	full                                            []bool // in a drain, by product's place: none has room for it
	ring                                            []*endpoint
}

func (e *endpoint) share(p PeerID) int {
	return slices.IndexFunc(e.kin, func(k kin) bool { return k.peer == p })
}

// hush: a leg in transfer only takes no room at its endpoint.
func (b *Balancer) hush(l *leg, quiet bool) {
	if quiet && !l.quiet {
		l.to.legs, b.out, l.to.work = l.to.legs-1, b.out-1, l.to.work-l.units
	} else if l.quiet && !quiet {
		l.to.legs, b.out, l.to.work = l.to.legs+1, b.out+1, l.to.work+l.units
	}
	if l.quiet = quiet; l.to.legs == 0 {
		l.to.work = 0
	}
}

func (b *Balancer) counts(t TenantID) {
	if t >= 0 && int(t) < len(b.admitted) {
		b.admitted[t]++
		b.admittedAll++
	}
}

func (b *Balancer) compare(e *endpoint, l Load) {
	switch {
	case e != b.tested:
	case b.first.Held == -2:
		b.first = l
	default:
		changed := 0.0
		if l != b.first {
			changed = 1
		}
		b.tested, b.tests = nil, b.tests+1
		b.fresh += math.Max(1/b.tests, testGain) * (changed - b.fresh)
	}
}

func (b *Balancer) answerless(x *exchange) {
	b.asking = slices.DeleteFunc(b.asking, func(o *exchange) bool { return o == x })
}

// hold counts the exchanges of a key whose leg is silent: whatever they wait for, more of them would wait there too.
func (b *Balancer) hold(x *exchange, on bool) {
	if on != x.silent && (!on || x.key != 0 && !x.over) {
		if x.silent = on; on {
			b.silent[x.key%heatParts]++
		} else {
			b.silent[x.key%heatParts]--
		}
	}
}

func (b *Balancer) leave(x *exchange) {
	b.queue = slices.DeleteFunc(b.queue, func(q *exchange) bool { return q == x })
}

func (e *endpoint) held() float64 { return e.work + e.others }

// heatOf is the share of our traffic that is about an exchange's key, or about keys that fall in with it.
func (b *Balancer) heatOf(x *exchange) float64 {
	return math.Max(b.heat[x.key%heatParts]-1, 0) / (b.heatAll + heatLeast)
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

// draws is a draw from the posterior of a chance of success.
func (b *Balancer) draws(r tried) float64 {
	good, bad := b.gamma(1+int(math.Min(r.good, 8))), b.gamma(1+int(math.Min(r.bad+0.5, 8)))
	return good / (good + bad)
}

func sum(of []float64) (total float64) {
	for _, f := range of {
		total += f
	}
	return total
}

// age lets what was counted fade, a beat's worth, and the window of copies slide.
func (b *Balancer) age() {
	b.rate += (1 - math.Exp(-float64(b.beat)/2000)) * (b.sent/float64(b.beat) - b.rate)
	b.sent, b.admittedAll = 0, b.admittedAll*b.fade
	b.lost -= b.lost * float64(b.beat/b.lasting) / lostFade // a shut sidecar hears nothing: it opens by itself
	b.lostLong -= b.lostLong * float64(b.beat/b.lasting) / lostLongFade
	for t := range b.admitted {
		b.admitted[t] *= b.fade
	}
	b.extra.forget(b.now)
	cool := math.Pow(b.fade, heatFade)
	b.heatAll *= cool
	for k := range b.heat {
		b.heat[k] *= cool
	}
	for z := range b.zones {
		b.zones[z].good, b.zones[z].bad = b.zones[z].good*b.fade, b.zones[z].bad*b.fade
	}
	for k := range b.keys {
		n := &b.keys[k]
		n.good, n.bad = n.good*cool, n.bad*cool
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
		b.ratioAt, b.ratio = b.now, copies*math.Min(ended, 1)/math.Max(ended, 1)
	}
}

// sample keeps a latency; the timer is a percentile of those kept.
func (b *Balancer) sample(took float64) {
	b.recent[b.samples%recentLength] = took
	b.samples++
	if b.samples >= copyFloor && b.samples >= b.timerAt {
		s := b.sorted[:min(b.samples, recentLength)]
		copy(s, b.recent[:])
		slices.Sort(s)
		b.timer, b.timerAt = Millis(s[int(copyPercentile*float64(len(s)-1))]), b.samples+recentStale
	}
}

func (b *Balancer) Alarm(t TimerID) {
	switch place := int(t >> 40); {
	case t == 0:
		b.pulse()
	case t == 1:
		b.callDue()
	case t == leaseTimer:
		b.reviewLease()
	case t&15 == 2 && place < len(b.places):
		x := b.places[place]
		if x.next != nil && x.turn == uint32(t>>8) {
			x.next(b, x, result{what: what(t >> 4 & 15)})
		}
	}
}

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

func (b *Balancer) learn(x *exchange, e *endpoint, took float64) {
	b.sample(took)
	p := x.product
	p.answers++
	gain := math.Max(1/(p.answers+2), math.Min(float64(b.now-p.usualAt)/usualMemory, 1))
	p.usual, p.usualAt = p.usual+gain*(took-p.usual), b.now
	p.square += gain * (took*took - p.square)
	if p.answers <= copyFloor || p.usual < p.best {
		p.best, p.wide = p.usual, math.Sqrt(math.Max(p.square/(p.usual*p.usual)-1, 0))
	}
	b.usual += math.Max(1/float64(b.samples), 0.005) * (took - b.usual)
	b.ways[e.zone] = math.Min(took, cmp.Or(b.ways[e.zone]*(1+wayRise), took))
	b.slows(took / math.Max(p.best, 1e-3))
	e.good++
}

// slows books how long an answer took over the least that its product usually takes, for as long as lost legs count.
func (b *Balancer) slows(ratio float64) {
	b.slowed += slowedGain * b.lostGain() * (math.Min(ratio, slowedMost) - b.slowed)
}

// lostGain is the part of one leg in the share of lost ones.
func (b *Balancer) lostGain() float64 {
	return math.Min(math.Max(1/(b.rate*float64(b.lasting)+0.01), lostGainLeast), lostGain)
}

// way is the share of legs to a zone that were answered in time.
func (b *Balancer) way(z ZoneID) float64 {
	r := b.zones[z]
	return (r.good + 1) / (r.good + r.bad + 1)
}

func (b *Balancer) ListStarts() {
	for _, e := range b.endpoints {
		e.listed = false
	}
}

func (b *Balancer) Listed(id EndpointID, h Health, zone ZoneID, kind KindID, cell CellID, size float64, readyAt Millis) {
	if readyAt > 0 { // told too early or too late: it is cold for longer
		readyAt += b.startOff
	}
	e := b.known[id]
	if e == nil {
		e = &endpoint{id: id, mark: markOf(id), name: KeyOf([]byte(id)), open: make([]bool, len(b.products)+1)}
		b.known[id], b.marks[e.mark], b.endpoints = e, e, append(b.endpoints, e)
		b.renew(e)
	} else if readyAt > e.readyAt {
		b.renew(e) // a restart: what was known of the old process misleads about the new one
	}
	// Back by hand means restarted, whatever older start the list still tells.
	for int(max(zone, b.zone)) >= len(b.zones) {
		b.zones, b.ways = append(b.zones, tried{}), append(b.ways, 0)
	}
	e.zone, e.cell, e.size, e.readyAt = zone, cell, cmp.Or(max(size, 0), 1), max(readyAt, b.back[id], 0)
	e.kind, e.open[len(b.products)] = kind, true
	for n := range b.products {
		e.open[n] = b.products[n].opens(zone, kind)
	}
	e.listed, e.up = h != Gone, h == Running
	e.running = e.up && !b.banned[id]
}

// Began hands over a streamed answer's start, after which the leg is the client's own.
func (b *Balancer) Began(id ExchangeID, n LegNo) {
	if x := b.open[id]; x != nil && int(n) < len(x.legs) && !x.legs[n].ended {
		l := &x.legs[n]
		l.streams = true
		b.hush(l, true)
		b.account(x, l, Satisfied, float64(b.now-l.sent))
		b.cancelOthers(x, n)
		x.next(b, x, result{what: streamBegan})
		b.drain()
	}
}

func (b *Balancer) Left(id ExchangeID) {
	if x := b.open[id]; x != nil {
		x.next(b, x, result{what: clientLeft})
	}
}

const golden = 0.6180339887498949 // multiples of it lie evenly on a ring, however many there are (Weyl; Knuth 6.4)

func turn(f float64) float64 { return f - math.Floor(f) }

// placeOf is where the own part of a sidecar begins, by its number; where none is told anywhere, but not where all are.
func (b *Balancer) placeOf(me PeerID) float64 {
	if me < 0 {
		return b.chance()
	}
	return turn(float64(me) * golden)
}

// settleIn says how far each endpoint is from our own place on a ring in the order of their hashes, one for each zone where
// the way to another has a price.
func (b *Balancer) settleIn() {
	of := func(e *endpoint) ZoneID {
		if b.awayOdds == 1 {
			return 0
		}
		return e.zone
	}
	b.ring = append(b.ring[:0], b.ready...)
	slices.SortFunc(b.ring, func(p, q *endpoint) int { return cmp.Or(cmp.Compare(of(p), of(q)), cmp.Compare(p.name, q.name)) })
	for from := 0; from < len(b.ring); {
		zone, to := of(b.ring[from]), from
		for to < len(b.ring) && of(b.ring[to]) == zone {
			to++
		}
		for n := from; n < to; n++ { // zones stand between each other's, or one of them would come first at every sidecar
			b.ring[n].near = turn((float64(n-from)+turn(float64(zone)*golden))/float64(to-from) - b.place)
		}
		from = to
	}
	slices.SortStableFunc(b.ring, func(p, q *endpoint) int { return cmp.Compare(p.near, q.near) })
}

func (b *Balancer) isCold(e *endpoint) bool { return e.readyAt > 0 && b.now < e.readyAt+b.cold }

func (b *Balancer) capacityNow(e *endpoint) float64 {
	if !b.isCold(e) {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*math.Max(float64((b.now-e.readyAt)/b.cold), 0)
}

func (b *Balancer) effort(x *exchange) float64 { return x.product.usual / b.usual }

// time is what an exchange would take at an endpoint behind all that a pool knows to be there.
func (b *Balancer) time(x *exchange, e *endpoint) float64 {
	return (e.held() + x.units) * e.took / e.did
}

func (b *Balancer) At(now Millis) { b.now = now }

func stepOver(b *Balancer, x *exchange, _ result) {
	if x.out == 0 {
		b.vacate(x)
	}
}

// unseen is what an endpoint is taken to need for two of whom nothing was seen: in a pool half the usual, to be found out.
// Without talk all sidecars would come at once for that: it is taken for one like all.
func (b *Balancer) unseen() float64 {
	if b.pool {
		return b.usual
	}
	return 2 / b.capacity
}
