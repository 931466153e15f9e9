package virtual

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"github.com/lynxjunction/lynxjunction/logic"
)

// day is a deployment of the golden record: the fleet and its faults, and what a rehearsal's file has no word for.
type day struct {
	name                string
	sidecars, endpoints int
	rate                float64 // exchanges a second and sidecar
	length              int     // seconds
	zones               string
	fleet, group        string // further keys of the fleet and of the endpoints
	products, faults    string
	terms               func(t *logic.Terms) // changes what an instance is told at its start

	keys, hints, streams, coming, leaves, marked bool      // what exchanges carry; marked: endpoints have size, kind and cell
	hands                                        []float64 // seconds at which an endpoint is taken out by hand, for handsFor
	reportAge                                    float64   // milliseconds for which an endpoint's report of its load stands
	callWork                                     float64   // milliseconds that discovery works for each call; 0 for no queue
	ends, moves                                  []float64 // seconds at which all watches end, or new configurations come
}

const (
	defaultProducts = `[[products]]
name = "look"
effect = "replayable"
share = 3
expected_ms = 200
abandon_ms = 1000
work_ms = 20
[[products]]
name = "book"
effect = "referenced"
expected_ms = 300
abandon_ms = 1500
work_ms = 30
[[products]]
name = "buy"
effect = "single-use"
expected_ms = 200
abandon_ms = 1000
work_ms = 20
`
	slowProducts = `[[products]]
name = "search"
effect = "replayable"
share = 2
expected_ms = 600
abandon_ms = 2500
work_ms = 30
[[products]]
name = "pay"
effect = "single-use"
expected_ms = 800
abandon_ms = 2000
work_ms = 25
dist = "fixed"
`
	shortProducts = `[[products]]
name = "glance"
effect = "replayable"
expected_ms = 60
abandon_ms = 120
work_ms = 20
`
	coldGroup = "cold_from = 0.2\ncold_s = 5\nfall_multiple = 3\nfall_s = 1\n"
	noCold    = "pause_every_s = 5\npause_ms = 150\n"

	replaceHalf = `[[faults]]
at_s = 3
what = "replace"
who = ["e0", "e1", "e2", "e3"]
step_s = 0.7
`
	drains = `[[faults]]
at_s = 4
what = "drain"
who = ["e0"]
[[faults]]
at_s = 6
what = "replace"
who = ["e1", "e2"]
step_s = 1.0
`
	slowAndErrors = `[[faults]]
at_s = 3
for_s = 5
what = "slow"
who = ["e4", "e5"]
size = 6.0
[[faults]]
at_s = 5
for_s = 5
what = "errors"
who = ["e6"]
size = 0.7
[[faults]]
at_s = 9
for_s = 3
what = "hang"
who = ["e7"]
`
	allSlow = `[[faults]]
at_s = 6
for_s = 6
what = "slow"
who = ["e*"]
size = 2.5
`
	delayedZone = `[[faults]]
at_s = 3
for_s = 8
what = "delay"
over = "upstream"
who = ["zone:a"]
to = ["zone:b"]
size = 60.0
`
	slowZone = `[[faults]]
at_s = 14
for_s = 6
what = "slow"
who = ["zone:a"]
size = 40.0
`
	restartAll = `[[faults]]
at_s = 5
what = "restart"
who = ["s*"]
share = 0.5
`
	listOut = `[[faults]]
at_s = 9
for_s = 5
what = "list-off"
[[faults]]
at_s = 2
for_s = 5
what = "list-late"
size = 0.8
`
)

var notified = logic.NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}

var days = []day{
	{name: "one-zone", sidecars: 10, endpoints: 10, rate: 25, length: 20, zones: `"a"`, group: coldGroup, faults: replaceHalf + slowAndErrors},
	{name: "zones", sidecars: 15, endpoints: 12, rate: 20, length: 20, zones: `"a", "b", "c"`, fleet: "cross_zone_price = 0.02\n",
		group: coldGroup, faults: faults + delayedZone},
	{name: "light", products: slowProducts, sidecars: 40, endpoints: 18, rate: 5, length: 16, zones: `"a", "b"`, fleet: "cross_zone_price = 0.01\n",
		group: noCold + "speeds = [0.5, 1.0, 2.0]\n", faults: slowAndErrors},
	{name: "budget", sidecars: 8, endpoints: 10, rate: 30, length: 20, zones: `"a"`, fleet: "extra_free = 2.0\nextra_ratio = 0.05\nlook_back_s = 5.0\n",
		group: coldGroup + "errors = 0.03\n", faults: slowAndErrors},
	{name: "placement", sidecars: 12, endpoints: 12, rate: 22, length: 20, zones: `"a", "b"`, group: noCold, faults: slowAndErrors + replaceHalf,
		marked: true, terms: func(t *logic.Terms) {
			t.CrossZonePrice = 0.005
			t.Products[0].RunsIn = []logic.ZoneID{0}
			t.Products[1].AllowedOn, t.Products[1].Group = []logic.KindID{1}, logic.OneZone
			t.Products[2].RunsIn, t.Products[2].AllowedOn = []logic.ZoneID{0, 1}, []logic.KindID{0}
		}},
	{name: "cells", sidecars: 8, endpoints: 12, rate: 30, length: 20, zones: `"a"`, group: noCold + "errors = 0.05\n", faults: slowAndErrors, marked: true,
		terms: func(t *logic.Terms) {
			t.Products[1].Group, t.Products[1].DedupMemory = logic.OneCell, 150
			t.MayCancel = false
		}},
	{name: "keys", sidecars: 10, endpoints: 12, rate: 28, length: 24, zones: `"a", "b"`, group: noCold, faults: slowAndErrors, keys: true,
		terms: func(t *logic.Terms) { t.WarmKeys, t.CrossZonePrice = true, 0.02 }},
	{name: "stuck-keys", sidecars: 6, endpoints: 12, rate: 40, length: 24, zones: `"a"`, group: noCold, faults: slowAndErrors, keys: true,
		terms: func(t *logic.Terms) { t.SidecarNumber = -1 }},
	{name: "tenants", sidecars: 6, endpoints: 8, rate: 80, length: 20, zones: `"a"`, group: noCold, faults: allSlow, hints: true,
		terms: func(t *logic.Terms) {
			t.Tenants, t.OverShareValue, t.ByWork = []float64{0.3, 0.5, 0.2}, 0.2, true
			t.Products[0].Value, t.Products[1].Value = 1, 4
		}},
	{name: "overload", sidecars: 20, endpoints: 8, rate: 30, length: 24, zones: `"a"`, fleet: "heavy = 0.2\nheavy_times = 10.0\n",
		group: "crowd_at = 12\nroom = 6\n" + coldGroup, faults: allSlow},
	{name: "pool", sidecars: 10, endpoints: 12, rate: 18, length: 14, zones: `"a"`, group: coldGroup, faults: replaceHalf + slowAndErrors + restartAll,
		hints: true, terms: func(t *logic.Terms) { t.Peers, t.Tenants, t.OverShareValue = true, []float64{0.3, 0.5, 0.2}, 0.1 }},
	{name: "wide-pool", sidecars: 24, endpoints: 8, rate: 5, length: 12, zones: `"a"`, group: coldGroup, faults: replaceHalf,
		terms: func(t *logic.Terms) { t.Peers = true }},
	{name: "asked-loads", sidecars: 10, endpoints: 8, rate: 16, length: 20, products: shortProducts, zones: `"a", "b"`, fleet: "cross_zone_price = 0.01\n",
		group: coldGroup + "speeds = [0.5, 1.0, 2.0]\n", faults: replaceHalf + allSlow + slowZone, reportAge: 1, leaves: true,
		terms: func(t *logic.Terms) { t.MayProbe, t.ReportsLoad, t.ProbePrice = true, true, 0.001 }},
	{name: "stale-loads", products: slowProducts, sidecars: 30, endpoints: 24, rate: 3, length: 24, zones: `"a"`, group: noCold,
		faults: slowAndErrors, reportAge: 3000, terms: func(t *logic.Terms) { t.MayProbe, t.ReportsLoad, t.ProbePrice = true, true, 0.004 }},
	{name: "pushed", sidecars: 10, endpoints: 10, rate: 25, length: 20, zones: `"a", "b"`, group: coldGroup, faults: replaceHalf + slowAndErrors + restartAll,
		keys: true, streams: true, coming: true, terms: func(t *logic.Terms) { t.PullList, t.HasList, t.AnswerBuffers = false, false, 2 }},
	{name: "clocks-apart", sidecars: 10, endpoints: 10, rate: 28, length: 20, zones: `"a"`, group: coldGroup, faults: replaceHalf + allSlow, leaves: true,
		hands: []float64{3, 11}, terms: func(t *logic.Terms) {
			t.DeadlineSkew, t.ReadySkew = 80, 300
			t.Products[0].OverdueShare = 0
		}},
	{name: "all-restart", products: slowProducts, sidecars: 25, endpoints: 12, rate: 10, length: 20, zones: `"a"`, group: coldGroup,
		faults: replaceHalf + strings.Replace(restartAll, "0.5", "1.0", 1), coming: true, leaves: true,
		terms: func(t *logic.Terms) { t.MayHedge = false }},
	{name: "list-out", products: slowProducts, sidecars: 20, endpoints: 10, rate: 12, length: 24, zones: `"a"`, group: coldGroup,
		faults: drains + listOut, callWork: 5, hands: []float64{5}, terms: func(t *logic.Terms) { t.Notified, t.MaxListWait = notified, 1200 }},
	{name: "crowded-discovery", products: slowProducts, sidecars: 40, endpoints: 12, rate: 6, length: 30, zones: `"a"`, group: coldGroup,
		faults: drains + listOut + strings.Replace(restartAll, "5", "20", 1), callWork: 90,
		ends: []float64{4, 5, 6.5, 8, 16}, moves: []float64{15.5, 18, 18.4, 19.2, 25},
		terms: func(t *logic.Terms) { t.Notified, t.MaxListWait = notified, 1200 }},
	{name: "own-discovery", sidecars: 6, endpoints: 10, rate: 30, length: 24, zones: `"a"`, group: coldGroup, faults: drains + listOut, callWork: 30,
		ends: []float64{4.1, 7.3}, moves: []float64{15, 16}, terms: func(t *logic.Terms) {
			t.Notified, t.MaxListWait, t.SoleCaller, t.TakesOver, t.HasList = notified, 1200, true, true, false
		}},
}

// text is the day as a rehearsal's file.
func (d *day) text() string {
	products := d.products
	if products == "" {
		products = defaultProducts
	}
	return fmt.Sprintf("length_s = %d\n[fleet]\nsidecars = %d\nrate = %g\nzones = [%s]\n%s[[endpoints]]\nname = \"e\"\ncount = %d\nslots = 2\n%s%s%s",
		d.length, d.sidecars, d.rate, d.zones, d.fleet, d.endpoints, d.group, products, d.faults)
}

const (
	handsFor      = 2000.0 // milliseconds that an endpoint stays out by hand
	streamFor     = 120.0  // milliseconds, at most, from a streamed answer's start to its end
	lostTold      = 0.02   // share of what sidecars write to one another that is lost
	silentProbes  = 0.05   // share of questions for a load that are not answered
	probePatience = 80.0   // milliseconds after which a question counts as not answered
	tornTold      = 0.03   // lostTold, and the share that comes torn
	spoiltCalls   = 0.1    // share of calls for the list that are never answered
	queueMost     = 3000.0 // milliseconds that a call may wait at discovery, or it is refused
	stuckWork     = 4.0    // times a product's work, from which on an exchange is about one of stuckKeys
	stuckKeys     = 2
	usualKeys     = 300.0
	keySkew       = 3.0 // power by which few of the usual keys are asked for often
	clientPatient = 0.6 // of the abandon time, within which an impatient client leaves
)

// tenantUpTo are the sums of what tenants send of all; the rest belongs to none.
var tenantUpTo = [3]float64{0.6, 0.8, 0.95}

// goldenFleet starts a day's instances, and is the discovery that they share.
type goldenFleet struct {
	day     *day
	log     *callLog
	free    float64 // when the queue of discovery is done
	reports map[*endpoint]report
}

type report struct {
	at   float64
	load logic.Load
}

// instance is one life of a sidecar. It hands on all events and calls, books the calls, and adds what the day has beyond
// the rehearsal.
type instance struct {
	*logic.Balancer
	*goldenFleet
	sidecar  *sidecar
	life     int
	terms    logic.Terms
	knows    bool // a list has been told that is not left out
	watching bool
	calls    int                       // for the list
	lapsed   int                       // so many of them were made before the last new configuration
	called   float64                   // when the call was made that is answered now
	closing  map[logic.ExchangeID]bool // streams whose end is on its way
}

// start is the Maker of a day.
func (f *goldenFleet) start(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
	c := out.(*sidecar)
	f.log.now = func() float64 { return c.world.now }
	if f.day.terms != nil {
		f.day.terms(&t)
	}
	i := &instance{goldenFleet: f, sidecar: c, life: c.life, terms: t, knows: t.HasList, closing: map[logic.ExchangeID]bool{}}
	i.Balancer = logic.New(t, i, now)
	if !t.PullList {
		c.asking = true
		c.tell()
	}
	i.plan()
	return i
}

// later does something unless this life of the sidecar is over by then.
func (i *instance) later(wait float64, do func()) {
	i.sidecar.world.after(wait, func() {
		if i.sidecar.life == i.life && !i.sidecar.down {
			i.Balancer.SetNow(logic.Millis(i.sidecar.world.now + epoch))
			do()
		}
	})
}

// plan sets what happens to all instances at the times that the day names.
func (i *instance) plan() {
	at := func(seconds float64, do func()) {
		if wait := seconds*1000 - i.sidecar.world.now; wait >= 0 {
			i.later(wait, do)
		}
	}
	for n, seconds := range i.day.hands {
		id := logic.EndpointID(fmt.Sprint("e", n+8))
		at(seconds, func() { i.Drain(id) })
		at(seconds+handsFor/1000, func() { i.Undrain(id) })
	}
	for _, seconds := range i.day.ends {
		at(seconds, func() {
			if i.watching {
				i.watching, i.sidecar.asking = false, false
				i.WatchEnded(0, false)
			}
		})
	}
	for _, seconds := range i.day.moves {
		at(seconds, func() {
			i.watching, i.sidecar.asking = false, false
			i.lapsed = i.calls
			i.DiscoveryMoved()
		})
	}
}

// ---- events

func (i *instance) Listed(id logic.EndpointID, h logic.Health, zone logic.ZoneID, kind logic.KindID, cell logic.CellID, size float64, readyAt logic.Millis) {
	if i.day.marked {
		n := i.sidecar.world.named[id].number
		kind, cell, size = logic.KindID(n/2%2), logic.CellID(n/3), []float64{1, 0.5, 2}[n%3]
	}
	if i.knows {
		i.Balancer.Listed(id, h, zone, kind, cell, size, readyAt)
	}
}

func (i *instance) ListStarts() {
	i.knows = i.knows || i.sidecar.asking
	if i.knows {
		i.Balancer.ListStarts()
	}
}

func (i *instance) ListEnds(fromDisk bool) {
	if i.knows {
		i.Balancer.ListEnds(fromDisk)
	}
	if !fromDisk && i.day.callWork > 0 && !i.watching {
		i.watching = true
		i.ListReceived(logic.Millis(i.sidecar.world.now - i.called))
	}
}

func (i *instance) ListCallFailed() {
	if i.watching {
		i.watching = false
		i.WatchEnded(0, false)
		return
	}
	i.Balancer.ListCallFailed()
}

// chanceOf is a number from 0 to 1 that follows from an exchange and a purpose.
func chanceOf(id logic.ExchangeID, purpose string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose + string(id)))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (i *instance) Arrive(id logic.ExchangeID, p logic.ProductID, t logic.TenantID, k logic.KeyID, abandon logic.Millis, cost float64, coming bool) {
	x := i.sidecar.open[id]
	product := &i.sidecar.world.s.Products[x.Product]
	if len(i.terms.Tenants) > 0 {
		t = logic.TenantID(slices.IndexFunc(tenantUpTo[:], func(up float64) bool { return chanceOf(id, "tenant") < up }))
	}
	if i.day.keys {
		if k = logic.KeyID(1 + stuckKeys + usualKeys*math.Pow(chanceOf(id, "key"), keySkew)); x.Work > stuckWork*product.Work {
			k = logic.KeyID(1 + stuckKeys*chanceOf(id, "stuck"))
		}
	}
	if i.day.hints {
		cost = x.Work * (0.5 + chanceOf(id, "hint"))
	}
	if i.terms.DeadlineSkew > 0 {
		abandon += i.terms.DeadlineSkew * logic.Millis(2*chanceOf(id, "clock")-1)
	}
	if i.day.coming && chanceOf(id, "coming") < 0.3 {
		coming = true
		wait := 40 * chanceOf(id, "whole")
		if chanceOf(id, "spent") < 0.5 {
			i.later(wait/2, func() { i.BodyDiscarded(id) })
		}
		i.later(wait, func() { i.BodyComplete(id, abandon+logic.Millis(wait)) })
	}
	if i.day.leaves && chanceOf(id, "leaves") < 0.15 {
		i.later(clientPatient*product.Abandon*chanceOf(id, "patience"), func() {
			if i.sidecar.open[id] == x && !x.answered {
				x.answer(0)
				i.ClientLeft(id)
				x.forget()
			}
		})
	}
	i.Balancer.Arrive(id, p, t, k, abandon, cost, coming)
}

func (i *instance) LegEnded(id logic.ExchangeID, n logic.LegNo, o logic.Outcome, took logic.Millis, closed bool) {
	if o == logic.Succeeded && i.day.streams && !i.closing[id] && chanceOf(id, "stream") < 0.2 {
		i.closing[id] = true
		i.StreamBegan(id, n)
		i.later(streamFor*chanceOf(id, "length"), func() {
			delete(i.closing, id)
			i.Balancer.LegEnded(id, n, o, took, closed)
		})
		return
	}
	i.Balancer.LegEnded(id, n, o, took, closed)
}

// ---- calls

func (i *instance) book(method string, arguments ...any) {
	i.log.add(i.sidecar.Number, i.life, method, arguments...)
}

func (i *instance) Send(x logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	i.book("send", string(x), string(to), giveUpAfter)
	i.sidecar.Send(x, to, giveUpAfter)
}

func (i *instance) Cancel(x logic.ExchangeID, n logic.LegNo) {
	i.book("cancel", string(x), int(n))
	i.sidecar.Cancel(x, n)
}

func (i *instance) Shed(x logic.ExchangeID, why logic.Reason, comeBackAfter logic.Millis) {
	i.book("dismiss", string(x), int(why), comeBackAfter)
	i.sidecar.Shed(x, why, comeBackAfter)
}

func (i *instance) Fail(x logic.ExchangeID, why logic.Reason) {
	i.book("forfeit", string(x), int(why))
	i.sidecar.Fail(x, why)
}

func (i *instance) SetTimer(after logic.Millis, t logic.TimerID) {
	i.book("wake", after, int(t))
	i.sidecar.SetTimer(after, t)
}

func (i *instance) Note(line string) { i.book("note", line) }

// Tell brings a message to another sidecar.
func (i *instance) NotifyPeer(to logic.PeerID, text []byte) {
	i.book("tell", int(to), text)
	w := i.sidecar.world
	fate, message := w.draw(), slices.Clone(text)
	if int(to) >= len(w.sidecars) || fate < lostTold {
		return
	}
	if fate < tornTold {
		message = message[1:]
	}
	w.after(way, func() {
		if c := w.sidecars[to]; !c.down {
			c.decider.SetNow(logic.Millis(w.now + epoch))
			c.decider.(*instance).PeerMessage(logic.PeerID(i.sidecar.Number), message)
		}
	})
}

// Probe has an endpoint tell its load; its report may be old.
func (i *instance) Probe(id logic.EndpointID) {
	i.book("probe", string(id))
	w := i.sidecar.world
	e, silent, wait := w.named[id], w.draw() < silentProbes, 2*way
	if silent {
		wait = probePatience
	}
	i.later(wait, func() {
		if silent || e.gone || !e.model.Up() {
			i.Probed(id, false, logic.Load{})
			return
		}
		if i.reports == nil {
			i.reports = map[*endpoint]report{}
		}
		r, told := i.reports[e]
		if !told || w.now-r.at >= i.day.reportAge {
			r = report{w.now, logic.Load{Held: float64(e.model.Held()), Waiting: 0, Busy: -1}}
			i.reports[e] = r
		}
		i.Probed(id, true, r.load)
	})
}

// Watch calls discovery, which works through its calls in turn and refuses what would wait too long.
func (i *instance) Watch() {
	i.book("watch")
	w := i.sidecar.world
	if i.day.callWork == 0 {
		i.sidecar.Watch()
		return
	}
	i.calls++
	call, called := i.calls, w.now
	if w.listOff > 0 || i.free-w.now > queueMost {
		i.later(way, func() { i.ListCallRefused(way, false) })
		return
	}
	i.free = max(i.free, w.now) + i.day.callWork
	if w.draw() < spoiltCalls {
		return
	}
	i.later(i.free-w.now, func() {
		switch {
		case i.watching:
		case w.listOff > 0:
			i.ListCallRefused(logic.Millis(w.now-called), false)
		case call <= i.lapsed:
		default:
			i.called, i.sidecar.asking, i.sidecar.heard = called, true, -1
			i.sidecar.tell()
		}
	})
}
