package virtual

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"github.com/lynxjunction/lynxjunction/logic"
)

// goldenCase is one deployment of the golden record: a fleet with its faults, and conditions that a scenario file can't
// express.
type goldenCase struct {
	name                string
	sidecars, endpoints int
	rate                float64 // exchanges per second and sidecar
	lengthSeconds       int
	zones               string
	fleet, group        string // further keys of the fleet and of the group of endpoints, as in a scenario file
	products, faults    string
	adjustTerms         func(t *logic.Terms) // changes the terms of an instance before it starts; may be nil

	keys          bool // exchanges have keys
	hints         bool // exchanges have hints of their work
	streams       bool // some answers are streamed
	bodiesPending bool // some exchanges arrive before their bodies are complete
	clientsLeave  bool // some clients leave before they are answered
	labelled      bool // endpoints have sizes, machine types and cells

	drainsAtSeconds                             []float64 // times at which operators drain an endpoint, for operatorDrainMs
	loadReportAgeMs                             float64   // for how long an endpoint repeats the same load report
	listCallWorkMs                              float64   // time that discovery works on each call for the list; 0 for no queue
	watchEndsAtSeconds, discoveryMovesAtSeconds []float64 // times at which all watches end, or new configurations arrive
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
	coldGroup   = "cold_from = 0.2\ncold_s = 5\nfall_multiple = 3\nfall_s = 1\n"
	pausesGroup = "pause_every_s = 5\npause_ms = 150\n"

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
	listOutage = `[[faults]]
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

var notificationBounds = logic.NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}

var goldenCases = []goldenCase{
	{name: "one-zone", sidecars: 10, endpoints: 10, rate: 25, lengthSeconds: 20, zones: `"a"`, group: coldGroup, faults: replaceHalf + slowAndErrors},
	{name: "zones", sidecars: 15, endpoints: 12, rate: 20, lengthSeconds: 20, zones: `"a", "b", "c"`, fleet: "cross_zone_price = 0.02\n",
		group: coldGroup, faults: mixedFaults + delayedZone},
	{name: "light", products: slowProducts, sidecars: 40, endpoints: 18, rate: 5, lengthSeconds: 16, zones: `"a", "b"`, fleet: "cross_zone_price = 0.01\n",
		group: pausesGroup + "speeds = [0.5, 1.0, 2.0]\n", faults: slowAndErrors},
	{name: "budget", sidecars: 8, endpoints: 10, rate: 30, lengthSeconds: 20, zones: `"a"`, fleet: "extra_free = 2.0\nextra_ratio = 0.05\nlook_back_s = 5.0\n",
		group: coldGroup + "errors = 0.03\n", faults: slowAndErrors},
	{name: "placement", sidecars: 12, endpoints: 12, rate: 22, lengthSeconds: 20, zones: `"a", "b"`, group: pausesGroup, faults: slowAndErrors + replaceHalf,
		labelled: true, adjustTerms: func(t *logic.Terms) {
			t.CrossZonePrice = 0.005
			t.Products[0].RunsIn = []logic.ZoneID{0}
			t.Products[1].AllowedOn, t.Products[1].Group = []logic.KindID{1}, logic.OneZone
			t.Products[2].RunsIn, t.Products[2].AllowedOn = []logic.ZoneID{0, 1}, []logic.KindID{0}
		}},
	{name: "cells", sidecars: 8, endpoints: 12, rate: 30, lengthSeconds: 20, zones: `"a"`, group: pausesGroup + "errors = 0.05\n", faults: slowAndErrors, labelled: true,
		adjustTerms: func(t *logic.Terms) {
			t.Products[1].Group, t.Products[1].DedupMemory = logic.OneCell, 150
			t.MayCancel = false
		}},
	{name: "keys", sidecars: 10, endpoints: 12, rate: 28, lengthSeconds: 24, zones: `"a", "b"`, group: pausesGroup, faults: slowAndErrors, keys: true,
		adjustTerms: func(t *logic.Terms) { t.WarmKeys, t.CrossZonePrice = true, 0.02 }},
	{name: "stuck-keys", sidecars: 6, endpoints: 12, rate: 40, lengthSeconds: 24, zones: `"a"`, group: pausesGroup, faults: slowAndErrors, keys: true,
		adjustTerms: func(t *logic.Terms) { t.SidecarNumber = -1 }},
	{name: "tenants", sidecars: 6, endpoints: 8, rate: 80, lengthSeconds: 20, zones: `"a"`, group: pausesGroup, faults: allSlow, hints: true,
		adjustTerms: func(t *logic.Terms) {
			t.Tenants, t.OverShareValue, t.ByWork = []float64{0.3, 0.5, 0.2}, 0.2, true
			t.Products[0].Value, t.Products[1].Value = 1, 4
		}},
	{name: "overload", sidecars: 20, endpoints: 8, rate: 30, lengthSeconds: 24, zones: `"a"`, fleet: "heavy = 0.2\nheavy_times = 10.0\n",
		group: "crowd_at = 12\nroom = 6\n" + coldGroup, faults: allSlow},
	{name: "pool", sidecars: 10, endpoints: 12, rate: 18, lengthSeconds: 14, zones: `"a"`, group: coldGroup, faults: replaceHalf + slowAndErrors + restartAll,
		hints: true, adjustTerms: func(t *logic.Terms) { t.Peers, t.Tenants, t.OverShareValue = true, []float64{0.3, 0.5, 0.2}, 0.1 }},
	{name: "wide-pool", sidecars: 24, endpoints: 8, rate: 5, lengthSeconds: 12, zones: `"a"`, group: coldGroup, faults: replaceHalf,
		adjustTerms: func(t *logic.Terms) { t.Peers = true }},
	{name: "asked-loads", sidecars: 10, endpoints: 8, rate: 16, lengthSeconds: 20, products: shortProducts, zones: `"a", "b"`, fleet: "cross_zone_price = 0.01\n",
		group: coldGroup + "speeds = [0.5, 1.0, 2.0]\n", faults: replaceHalf + allSlow + slowZone, loadReportAgeMs: 1, clientsLeave: true,
		adjustTerms: func(t *logic.Terms) { t.MayProbe, t.ReportsLoad, t.ProbePrice = true, true, 0.001 }},
	{name: "stale-loads", products: slowProducts, sidecars: 30, endpoints: 24, rate: 3, lengthSeconds: 24, zones: `"a"`, group: pausesGroup,
		faults: slowAndErrors, loadReportAgeMs: 3000, adjustTerms: func(t *logic.Terms) { t.MayProbe, t.ReportsLoad, t.ProbePrice = true, true, 0.004 }},
	{name: "pushed", sidecars: 10, endpoints: 10, rate: 25, lengthSeconds: 20, zones: `"a", "b"`, group: coldGroup, faults: replaceHalf + slowAndErrors + restartAll,
		keys: true, streams: true, bodiesPending: true, adjustTerms: func(t *logic.Terms) { t.PullList, t.HasList, t.AnswerBuffers = false, false, 2 }},
	{name: "clocks-apart", sidecars: 10, endpoints: 10, rate: 28, lengthSeconds: 20, zones: `"a"`, group: coldGroup, faults: replaceHalf + allSlow, clientsLeave: true,
		drainsAtSeconds: []float64{3, 11}, adjustTerms: func(t *logic.Terms) {
			t.DeadlineSkew, t.ReadySkew = 80, 300
			t.Products[0].OverdueShare = 0
		}},
	{name: "all-restart", products: slowProducts, sidecars: 25, endpoints: 12, rate: 10, lengthSeconds: 20, zones: `"a"`, group: coldGroup,
		faults: replaceHalf + strings.Replace(restartAll, "0.5", "1.0", 1), bodiesPending: true, clientsLeave: true,
		adjustTerms: func(t *logic.Terms) { t.MayHedge = false }},
	{name: "list-out", products: slowProducts, sidecars: 20, endpoints: 10, rate: 12, lengthSeconds: 24, zones: `"a"`, group: coldGroup,
		faults: drains + listOutage, listCallWorkMs: 5, drainsAtSeconds: []float64{5}, adjustTerms: func(t *logic.Terms) { t.Notified, t.MaxListWait = notificationBounds, 1200 }},
	{name: "crowded-discovery", products: slowProducts, sidecars: 40, endpoints: 12, rate: 6, lengthSeconds: 30, zones: `"a"`, group: coldGroup,
		faults: drains + listOutage + strings.Replace(restartAll, "5", "20", 1), listCallWorkMs: 90,
		watchEndsAtSeconds: []float64{4, 5, 6.5, 8, 16}, discoveryMovesAtSeconds: []float64{15.5, 18, 18.4, 19.2, 25},
		adjustTerms: func(t *logic.Terms) { t.Notified, t.MaxListWait = notificationBounds, 1200 }},
	{name: "own-discovery", sidecars: 6, endpoints: 10, rate: 30, lengthSeconds: 24, zones: `"a"`, group: coldGroup, faults: drains + listOutage, listCallWorkMs: 30,
		watchEndsAtSeconds: []float64{4.1, 7.3}, discoveryMovesAtSeconds: []float64{15, 16}, adjustTerms: func(t *logic.Terms) {
			t.Notified, t.MaxListWait, t.SoleCaller, t.TakesOver, t.HasList = notificationBounds, 1200, true, true, false
		}},
}

// scenarioFile returns the case as the text of a scenario file.
func (c *goldenCase) scenarioFile() string {
	products := c.products
	if products == "" {
		products = defaultProducts
	}
	return fmt.Sprintf("length_s = %d\n[fleet]\nsidecars = %d\nrate = %g\nzones = [%s]\n%s[[endpoints]]\nname = \"e\"\ncount = %d\nslots = 2\n%s%s%s",
		c.lengthSeconds, c.sidecars, c.rate, c.zones, c.fleet, c.endpoints, c.group, products, c.faults)
}

const (
	operatorDrainMs             = 2000.0 // for how long operators drain an endpoint
	maxStreamMs                 = 120.0  // from the start of a streamed answer to its end
	lostMessageShare            = 0.02   // messages between sidecars that are lost
	unansweredProbeShare        = 0.05   // probes that are not answered
	probeTimeoutMs              = 80.0   // time after which a probe counts as not answered
	lostOrTruncatedMessageShare = 0.03   // lostMessageShare and the share of messages that arrive truncated
	unansweredListCallShare     = 0.1    // calls for the list that are never answered
	maxListCallWaitMs           = 3000.0 // discovery refuses calls that would wait longer
	blockedKeyWorkFactor        = 4.0    // an exchange with more than this multiple of its product's work has a blocked key
	blockedKeyCount             = 2
	ordinaryKeyCount            = 300.0
	keySkewExponent             = 3.0 // skews the choice of ordinary keys, so that a few of them get much of the traffic
	maxClientWaitShare          = 0.6 // share of the abandon time within which a client that leaves does so
)

// cumulativeTenantShares are the cumulative shares of all exchanges that the tenants send. The rest belongs to no
// tenant.
var cumulativeTenantShares = [3]float64{0.6, 0.8, 0.95}

// goldenFleet creates the instances of a case and simulates the discovery that they share.
type goldenFleet struct {
	goldenCase    *goldenCase
	log           *callLog
	queueFreeAtMs float64 // when discovery has worked through its queue
	reports       map[*endpoint]loadReport
}

// loadReport is a load report of an endpoint and when it was made.
type loadReport struct {
	at   float64
	load logic.Load
}

// goldenInstance is a sidecar's instance of the module between two restarts. It passes on all events and calls, records
// the calls, and adds the conditions of the case that the scenario file can't express.
type goldenInstance struct {
	*logic.Balancer
	*goldenFleet
	sidecar          *sidecar
	restarts         int
	terms            logic.Terms
	hasList          bool // the module has been given a list; the stored list may be withheld from it
	watching         bool
	listCalls        int                       // calls for the list so far
	staleListCalls   int                       // calls made before the last new configuration; their answers are ignored
	answeredCallAtMs float64                   // when the call was made that is being answered
	endingStreams    map[logic.ExchangeID]bool // streamed answers that have begun and not ended
}

// newDecider is the DeciderFactory of the case.
func (f *goldenFleet) newDecider(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
	c := out.(*sidecar)
	f.log.now = func() float64 { return c.sim.now }
	if f.goldenCase.adjustTerms != nil {
		f.goldenCase.adjustTerms(&t)
	}
	i := &goldenInstance{goldenFleet: f, sidecar: c, restarts: c.restarts, terms: t, hasList: t.HasList, endingStreams: map[logic.ExchangeID]bool{}}
	i.Balancer = logic.New(t, i, now)
	if !t.PullList {
		c.watching = true
		c.updateList()
	}
	i.scheduleEvents()
	return i
}

// afterDelay schedules a function to run after a delay, unless the sidecar has been killed or restarted by then.
func (i *goldenInstance) afterDelay(wait float64, do func()) {
	i.sidecar.sim.after(wait, func() {
		if i.sidecar.restarts == i.restarts && !i.sidecar.down {
			i.Balancer.SetNow(logic.Millis(i.sidecar.sim.now + epochMs))
			do()
		}
	})
}

// scheduleEvents schedules the events that happen to all instances at the times that the case gives.
func (i *goldenInstance) scheduleEvents() {
	at := func(seconds float64, do func()) {
		if wait := seconds*1000 - i.sidecar.sim.now; wait >= 0 {
			i.afterDelay(wait, do)
		}
	}
	for n, seconds := range i.goldenCase.drainsAtSeconds {
		id := logic.EndpointID(fmt.Sprint("e", n+8))
		at(seconds, func() { i.Drain(id) })
		at(seconds+operatorDrainMs/1000, func() { i.Undrain(id) })
	}
	for _, seconds := range i.goldenCase.watchEndsAtSeconds {
		at(seconds, func() {
			if i.watching {
				i.watching, i.sidecar.watching = false, false
				i.WatchEnded(0, false)
			}
		})
	}
	for _, seconds := range i.goldenCase.discoveryMovesAtSeconds {
		at(seconds, func() {
			i.watching, i.sidecar.watching = false, false
			i.staleListCalls = i.listCalls
			i.DiscoveryMoved()
		})
	}
}

// Events.

func (i *goldenInstance) Listed(id logic.EndpointID, h logic.Health, zone logic.ZoneID, kind logic.KindID, cell logic.CellID, size float64, readyAt logic.Millis) {
	if i.goldenCase.labelled {
		n := i.sidecar.sim.endpointByID[id].recordNumber
		kind, cell, size = logic.KindID(n/2%2), logic.CellID(n/3), []float64{1, 0.5, 2}[n%3]
	}
	if i.hasList {
		i.Balancer.Listed(id, h, zone, kind, cell, size, readyAt)
	}
}

func (i *goldenInstance) ListStarts() {
	i.hasList = i.hasList || i.sidecar.watching
	if i.hasList {
		i.Balancer.ListStarts()
	}
}

func (i *goldenInstance) ListEnds(fromDisk bool) {
	if i.hasList {
		i.Balancer.ListEnds(fromDisk)
	}
	if !fromDisk && i.goldenCase.listCallWorkMs > 0 && !i.watching {
		i.watching = true
		i.ListReceived(logic.Millis(i.sidecar.sim.now - i.answeredCallAtMs))
	}
}

func (i *goldenInstance) ListCallFailed() {
	if i.watching {
		i.watching = false
		i.WatchEnded(0, false)
		return
	}
	i.Balancer.ListCallFailed()
}

// hashFraction returns a pseudo-random number from 0 to 1 that depends only on the exchange and the purpose. Changing a
// purpose changes the golden record.
func hashFraction(id logic.ExchangeID, purpose string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose + string(id)))
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (i *goldenInstance) Arrive(id logic.ExchangeID, p logic.ProductID, t logic.TenantID, k logic.KeyID, abandon logic.Millis, cost float64, bodyPending bool) {
	x := i.sidecar.exchanges[id]
	product := &i.sidecar.sim.scenario.Products[x.Product]
	if len(i.terms.Tenants) > 0 {
		t = logic.TenantID(slices.IndexFunc(cumulativeTenantShares[:], func(up float64) bool { return hashFraction(id, "tenant") < up }))
	}
	if i.goldenCase.keys {
		if k = logic.KeyID(1 + blockedKeyCount + ordinaryKeyCount*math.Pow(hashFraction(id, "key"), keySkewExponent)); x.Work > blockedKeyWorkFactor*product.Work {
			k = logic.KeyID(1 + blockedKeyCount*hashFraction(id, "stuck"))
		}
	}
	if i.goldenCase.hints {
		cost = x.Work * (0.5 + hashFraction(id, "hint"))
	}
	if i.terms.DeadlineSkew > 0 {
		abandon += i.terms.DeadlineSkew * logic.Millis(2*hashFraction(id, "clock")-1)
	}
	if i.goldenCase.bodiesPending && hashFraction(id, "coming") < 0.3 {
		bodyPending = true
		wait := 40 * hashFraction(id, "whole")
		if hashFraction(id, "spent") < 0.5 {
			i.afterDelay(wait/2, func() { i.BodyDiscarded(id) })
		}
		i.afterDelay(wait, func() { i.BodyComplete(id, abandon+logic.Millis(wait)) })
	}
	if i.goldenCase.clientsLeave && hashFraction(id, "leaves") < 0.15 {
		i.afterDelay(maxClientWaitShare*product.AbandonTime*hashFraction(id, "patience"), func() {
			if i.sidecar.exchanges[id] == x && !x.answered {
				x.answer(0)
				i.ClientLeft(id)
				x.removeIfDone()
			}
		})
	}
	i.Balancer.Arrive(id, p, t, k, abandon, cost, bodyPending)
}

func (i *goldenInstance) LegEnded(id logic.ExchangeID, n logic.LegNo, o logic.Outcome, duration logic.Millis, closed bool) {
	if o == logic.Succeeded && i.goldenCase.streams && !i.endingStreams[id] && hashFraction(id, "stream") < 0.2 {
		i.endingStreams[id] = true
		i.StreamBegan(id, n)
		i.afterDelay(maxStreamMs*hashFraction(id, "length"), func() {
			delete(i.endingStreams, id)
			i.Balancer.LegEnded(id, n, o, duration, closed)
		})
		return
	}
	i.Balancer.LegEnded(id, n, o, duration, closed)
}

// Outgoing calls. The method names are hashed: changing one changes the golden record.

func (i *goldenInstance) record(method string, arguments ...any) {
	i.log.add(i.sidecar.Number, i.restarts, method, arguments...)
}

func (i *goldenInstance) Send(x logic.ExchangeID, to logic.EndpointID, timeout logic.Millis) {
	i.record("send", string(x), string(to), timeout)
	i.sidecar.Send(x, to, timeout)
}

func (i *goldenInstance) Cancel(x logic.ExchangeID, n logic.LegNo) {
	i.record("cancel", string(x), int(n))
	i.sidecar.Cancel(x, n)
}

func (i *goldenInstance) Shed(x logic.ExchangeID, reason logic.Reason, retryAfter logic.Millis) {
	i.record("dismiss", string(x), int(reason), retryAfter)
	i.sidecar.Shed(x, reason, retryAfter)
}

func (i *goldenInstance) Fail(x logic.ExchangeID, reason logic.Reason) {
	i.record("forfeit", string(x), int(reason))
	i.sidecar.Fail(x, reason)
}

func (i *goldenInstance) SetTimer(after logic.Millis, t logic.TimerID) {
	i.record("wake", after, int(t))
	i.sidecar.SetTimer(after, t)
}

func (i *goldenInstance) Note(line string) { i.record("note", line) }

// NotifyPeer delivers a message to another sidecar. It may be lost or arrive truncated.
func (i *goldenInstance) NotifyPeer(to logic.PeerID, text []byte) {
	i.record("tell", int(to), text)
	sim := i.sidecar.sim
	random, message := sim.randomFraction(), slices.Clone(text)
	if int(to) >= len(sim.sidecars) || random < lostMessageShare {
		return
	}
	if random < lostOrTruncatedMessageShare {
		message = message[1:]
	}
	sim.after(networkDelayMs, func() {
		if c := sim.sidecars[to]; !c.down {
			c.decider.SetNow(logic.Millis(sim.now + epochMs))
			c.decider.(*goldenInstance).PeerMessage(logic.PeerID(i.sidecar.Number), message)
		}
	})
}

// Probe requests an endpoint's load report, which may be up to loadReportAgeMs old.
func (i *goldenInstance) Probe(id logic.EndpointID) {
	i.record("probe", string(id))
	sim := i.sidecar.sim
	e, unanswered, wait := sim.endpointByID[id], sim.randomFraction() < unansweredProbeShare, 2*networkDelayMs
	if unanswered {
		wait = probeTimeoutMs
	}
	i.afterDelay(wait, func() {
		if unanswered || e.stopped || !e.model.Up() {
			i.Probed(id, false, logic.Load{})
			return
		}
		if i.reports == nil {
			i.reports = map[*endpoint]loadReport{}
		}
		r, known := i.reports[e]
		if !known || sim.now-r.at >= i.goldenCase.loadReportAgeMs {
			r = loadReport{sim.now, logic.Load{Held: float64(e.model.JobCount()), Waiting: 0, Busy: -1}}
			i.reports[e] = r
		}
		i.Probed(id, true, r.load)
	})
}

// Watch calls discovery, which processes calls one at a time, and refuses a call that would wait longer than
// maxListCallWaitMs.
func (i *goldenInstance) Watch() {
	i.record("watch")
	sim := i.sidecar.sim
	if i.goldenCase.listCallWorkMs == 0 {
		i.sidecar.Watch()
		return
	}
	i.listCalls++
	call, calledAt := i.listCalls, sim.now
	if sim.listOutages > 0 || i.queueFreeAtMs-sim.now > maxListCallWaitMs {
		i.afterDelay(networkDelayMs, func() { i.ListCallRefused(networkDelayMs, false) })
		return
	}
	i.queueFreeAtMs = max(i.queueFreeAtMs, sim.now) + i.goldenCase.listCallWorkMs
	if sim.randomFraction() < unansweredListCallShare {
		return
	}
	i.afterDelay(i.queueFreeAtMs-sim.now, func() {
		switch {
		case i.watching:
		case sim.listOutages > 0:
			i.ListCallRefused(logic.Millis(sim.now-calledAt), false)
		case call <= i.staleListCalls:
		default:
			i.answeredCallAtMs, i.sidecar.watching, i.sidecar.knownVersion = calledAt, true, -1
			i.sidecar.updateList()
		}
	})
}
