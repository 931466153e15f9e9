// Package virtual simulates a scenario in virtual time: many instances of the decision module and the emulated
// endpoints run in one process and one goroutine. The same scenario gives byte for byte the same records, whatever else
// the process does. There is no clock and there are no sockets: faults that depend on processes (reload, stop, upgrade)
// or on the bytes of a connection are refused by name.
package virtual

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	// networkDelayMs is the delay of a message from one machine to another in the same zone.
	networkDelayMs = 0.25
	// answerGraceMs is the time after the abandon time during which a sidecar still answers, as in internal/sidecar.
	answerGraceMs = 20.0
	// drainGraceMs is the time after the notification of a drain during which new legs may still begin. A drained
	// endpoint stops this long after its removal from the list.
	drainGraceMs = 1000.0
	// drainTimeMs is the time from the beginning of a drain to the endpoint's removal from the list.
	drainTimeMs = 5000.0
	// crossZoneDelayMs is added to networkDelayMs between zones.
	crossZoneDelayMs = 0.5
)

// Decider takes the decisions of a sidecar: the decision module, or a baseline to compare it with.
type Decider interface {
	SetNow(now logic.Millis)
	Listed(id logic.EndpointID, h logic.Health, zone logic.ZoneID, kind logic.KindID, cell logic.CellID, size float64, readyAt logic.Millis)
	ListStarts()
	ListEnds(fromDisk bool)
	ListCallFailed()
	Arrive(id logic.ExchangeID, p logic.ProductID, t logic.TenantID, k logic.KeyID, abandon logic.Millis, cost float64, coming bool)
	LegEnded(id logic.ExchangeID, n logic.LegNo, o logic.Outcome, took logic.Millis, closed bool)
	ClientLeft(id logic.ExchangeID)
	TimerFired(t logic.TimerID)
}

// DeciderFactory creates the decider of a sidecar that starts.
type DeciderFactory func(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider

// NewModule is the DeciderFactory of the decision module itself.
func NewModule(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
	return logic.New(t, out, now)
}

// event is a scheduled function. Events that are due at the same time run in the order in which they were scheduled.
type event struct {
	at    float64
	order uint64
	do    func()
}

// eventQueue is a binary heap. It does not use container/heap, which would allocate an interface value for each event.
type eventQueue []event

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.order < o.order }

func (q *eventQueue) push(e event) {
	h := append(*q, e)
	n := len(h) - 1
	for parent := (n - 1) / 2; n > 0 && e.before(h[parent]); n, parent = parent, (parent-1)/2 {
		h[n] = h[parent]
	}
	h[n], *q = e, h
}

func (q *eventQueue) pop() event {
	h := *q
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	n := 0
	for child := 1; child < len(h); child = 2*n + 1 {
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(last) {
			break
		}
		h[n], n = h[child], child
	}
	if len(h) > 0 {
		h[n] = last
	}
	*q = h
	return first
}

// simulation is the state of one run. Times are in milliseconds from its start.
type simulation struct {
	scenario       *scenario.Scenario
	book           *records.Book
	queue          eventQueue
	lastOrder      uint64
	now            float64
	endpoints      []*endpoint
	currentByName  map[string]*endpoint           // by the name in the scenario; a replacement takes the place of its predecessor
	endpointByID   map[logic.EndpointID]*endpoint // including endpoints that have been replaced
	sidecars       []*sidecar
	listOutages    int     // list-off faults in force
	listDelayMs    float64 // from a change of the list to its publication
	listVersion    int
	newDecider     DeciderFactory
	settingsByZone map[string]*fastjson.Value
	err            error
}

// after schedules a function to run after a delay in milliseconds.
func (sim *simulation) after(wait float64, do func()) {
	sim.lastOrder++
	sim.queue.push(event{sim.now + wait, sim.lastOrder, do})
}

// endpoint is an emulated endpoint with the legs that it is processing.
type endpoint struct {
	scenario.Node
	name           string
	recordNumber   int
	model          *emulator.Endpoint
	legsByJob      map[uint64]*leg
	lastJob        uint64
	nextEventAt    float64 // next scheduled event of the model; infinite for none
	fallsRecorded  int     // crashes from cold overload that have been recorded
	stopped        bool
	state          logic.Health
	startedAt      float64 // on the module's clock; 0 for long ago
	changedVersion int     // version of the list that has the endpoint's last change
	sim            *simulation
}

// leg is one leg of an exchange, from its sidecar to an endpoint and back.
type leg struct {
	exchange *exchange
	number   logic.LegNo
	endpoint *endpoint
	record   *records.Leg
	sentAt   float64
	job      uint64
	ended    bool // its end was reported to the decider, or is no longer needed
	arrived  bool // its request reached the endpoint
}

// exchange is an exchange at its sidecar.
type exchange struct {
	*records.Exchange
	sidecar  *sidecar
	legs     []*leg
	answered bool
}

// sidecar is one simulated sidecar. It implements logic.Outgoing.
type sidecar struct {
	scenario.Node
	sim             *simulation
	decider         Decider
	names           *terms.Names
	exchanges       map[logic.ExchangeID]*exchange
	idleConnections map[*endpoint]int
	linkFaults      []int // indices of the faults in force on its upstream links
	restarts        int   // incremented each time the sidecar is killed or restarted; invalidates events scheduled before
	down            bool
	knownVersion    int // version of the list that it received last; below 0 for none
	watching        bool
}

// Run simulates a scenario with deciders of the given factory and returns the records of clients and endpoints.
func Run(s *scenario.Scenario, newDecider DeciderFactory) (*records.Book, error) {
	recordTerms := records.Terms{AnswerGraceMs: 550, DrainGraceMs: drainGraceMs, FreeExtraLegs: s.Fleet.ExtraFree, ExtraLegRatio: s.Fleet.ExtraRatio, BudgetWindowMs: s.Fleet.BudgetWindow * 1000}
	for _, p := range s.Products {
		recordTerms.Products = append(recordTerms.Products, records.Product{Name: p.Name, ExpectedMs: p.ExpectedTime, AbandonMs: p.AbandonTime,
			SingleUse: p.Effect == "single-use", Referenced: p.Effect == "referenced"})
	}
	sim := &simulation{
		scenario:       s,
		book:           records.New(recordTerms),
		currentByName:  map[string]*endpoint{},
		endpointByID:   map[logic.EndpointID]*endpoint{},
		newDecider:     newDecider,
		settingsByZone: map[string]*fastjson.Value{},
	}
	sim.book.LinkSlackMs = func(sidecar, _ int, _ float64) float64 { return sim.sidecars[sidecar].totalLinkDelay() * 2 }
	for _, p := range s.EndpointNodes() {
		sim.addEndpoint(p, p.Name, false)
	}
	for _, p := range s.SidecarNodes() {
		c := &sidecar{Node: p, sim: sim}
		sim.sidecars = append(sim.sidecars, c)
		c.start()
	}
	for n := range s.Faults {
		if err := sim.scheduleFault(n); err != nil {
			return nil, err
		}
	}
	arrivals := s.Arrivals()
	for n := 0; n < len(arrivals) || len(sim.queue) > 0; {
		if n < len(arrivals) && (len(sim.queue) == 0 || arrivals[n].At <= sim.queue[0].at) {
			sim.now = arrivals[n].At
			sim.sidecars[arrivals[n].Sidecar].arrive(arrivals[n])
			n++
			continue
		}
		e := sim.queue.pop()
		if sim.now = e.at; n == len(arrivals) && sim.now > s.Length*1000+60000 {
			break // the module's timers would keep the queue from ever being empty
		}
		e.do()
		if sim.err != nil {
			return nil, sim.err
		}
		if n == len(arrivals) && sim.allAnswered() {
			break
		}
	}
	return sim.book, nil
}

// allAnswered reports whether the scenario is over and no exchange is open.
func (sim *simulation) allAnswered() bool {
	if sim.now < sim.scenario.Length*1000 {
		return false
	}
	for _, c := range sim.sidecars {
		if len(c.exchanges) > 0 {
			return false
		}
	}
	return true
}

// Endpoints and the list.

// addEndpoint starts the endpoint of a node under a name of its own. Unless it is cold, it has been running for a long
// time.
func (sim *simulation) addEndpoint(p scenario.Node, name string, cold bool) {
	e := &endpoint{Node: p, name: name, legsByJob: map[uint64]*leg{}, sim: sim, state: logic.Running, nextEventAt: math.Inf(1)}
	started := -1e12
	if cold {
		started, e.startedAt = sim.now, sim.now+epochMs
	}
	e.recordNumber = sim.book.AddEndpoint(name, sim.now)
	e.model = emulator.New(sim.scenario.EmulatorKind(p), sim.scenario.SeedOf(name), started, sim.now)
	sim.endpoints = append(sim.endpoints, e)
	sim.currentByName[p.Name], sim.endpointByID[logic.EndpointID(name)] = e, e
	sim.listChanged(e)
}

// epochMs is the time on the module's clock at the start of the run. It must not be near 0 because the module takes 0
// to mean "long ago".
const epochMs = 1e9

// listChanged publishes a change of an endpoint, after the delay that faults add.
func (sim *simulation) listChanged(e *endpoint) {
	sim.after(sim.listDelayMs, func() {
		sim.listVersion++
		e.changedVersion = sim.listVersion
		for _, c := range sim.sidecars {
			c.updateList()
		}
	})
}

// updateList sends the sidecar the changes of the list since its last update, as a watch does.
func (c *sidecar) updateList() {
	if !c.watching || c.down || c.sim.listOutages > 0 {
		return
	}
	restarts := c.restarts
	c.sim.after(networkDelayMs, func() {
		if c.restarts != restarts || c.down || c.sim.listOutages > 0 || c.knownVersion == c.sim.listVersion && c.knownVersion >= 0 {
			return
		}
		c.decider.SetNow(logic.Millis(c.sim.now + epochMs))
		if c.knownVersion < 0 {
			c.decider.ListStarts()
		}
		for _, e := range c.sim.endpoints {
			if e.changedVersion <= c.knownVersion || c.knownVersion < 0 && e.state == logic.Gone {
				continue
			}
			c.decider.Listed(logic.EndpointID(e.name), e.state, c.names.Zone([]byte(e.Zone)), 0, 1, 1, logic.Millis(e.startedAt))
			if e.state != logic.Running {
				c.sim.book.RecordDrain(c.Number, e.recordNumber, c.sim.now, "listed")
			}
		}
		c.knownVersion = c.sim.listVersion
		c.decider.ListEnds(false)
	})
}

// scheduleNext schedules an update at the next event of the model.
func (e *endpoint) scheduleNext() {
	next := e.model.Next()
	if next >= e.nextEventAt || math.IsInf(next, 1) {
		return
	}
	e.nextEventAt = next
	e.sim.after(next-e.sim.now, func() {
		if e.nextEventAt == next {
			e.nextEventAt = math.Inf(1)
			e.update(func() {})
		}
	})
}

// update advances the model to the present, applies a change to it and schedules its next event.
func (e *endpoint) update(change func()) {
	e.model.Advance(e.sim.now, e.jobDone)
	change()
	e.scheduleNext()
}

// jobDone records the end of a job and returns its outcome to the sidecar.
func (e *endpoint) jobDone(d emulator.Done) {
	g := e.legsByJob[d.ID]
	delete(e.legsByJob, d.ID)
	outcome, outcomeName := logic.Succeeded, "satisfied"
	if !d.OK {
		outcome, outcomeName = logic.Errored, "errored"
	}
	e.sim.book.EndLeg(g.record, outcomeName, d.At)
	g.returnOutcome(outcome, true)
}

// dropAll resets all legs and connections of the endpoint, as the end of its process does.
func (e *endpoint) dropAll() {
	jobs := []uint64{}
	for id := range e.legsByJob {
		jobs = append(jobs, id)
	}
	slices.Sort(jobs)
	for _, id := range jobs {
		g := e.legsByJob[id]
		delete(e.legsByJob, id)
		e.sim.book.EndLeg(g.record, "cut", e.sim.now)
		g.returnOutcome(logic.Reset, false)
	}
	for _, c := range e.sim.sidecars {
		delete(c.idleConnections, e)
	}
}

// returnOutcome delivers the outcome of a leg to its sidecar after the network delay. The answer may be lost, which the
// sidecar sees as a reset connection.
func (g *leg) returnOutcome(o logic.Outcome, keepConnection bool) {
	c := g.exchange.sidecar
	if o == logic.Succeeded || o == logic.Errored || o == logic.Full {
		if lossShare := c.answerLossShare(); lossShare > 0 && c.sim.randomFraction() < lossShare {
			o, keepConnection = logic.Reset, false
		}
	}
	delay := c.oneWayDelay(g.endpoint)
	if math.IsInf(delay, 1) {
		return // the outcome would arrive when the link is restored; by then the sidecar has given up on the leg
	}
	c.sim.after(delay, func() {
		if keepConnection && !g.ended && !g.endpoint.stopped {
			c.idleConnections[g.endpoint]++
		}
		g.reportEnd(o)
	})
}

// reportEnd reports the end of a leg to the decider, at most once.
func (g *leg) reportEnd(o logic.Outcome) {
	c, sim := g.exchange.sidecar, g.exchange.sidecar.sim
	if g.ended || c.exchanges[logic.ExchangeID(g.exchange.ID)] != g.exchange {
		g.ended = true
		return
	}
	g.ended = true
	c.decider.SetNow(logic.Millis(sim.now + epochMs))
	if o == logic.Succeeded && !g.exchange.answered {
		g.exchange.answer(200)
	}
	c.decider.LegEnded(logic.ExchangeID(g.exchange.ID), g.number, o, logic.Millis(sim.now-g.sentAt), g.exchange.answered)
	g.exchange.removeIfDone()
}

// answer records the answer to the client, unless there has been one.
func (x *exchange) answer(status int) {
	if !x.answered {
		x.answered = true
		x.sidecar.sim.book.RecordAnswer(x.Exchange, status, "", x.DueAt, x.sidecar.sim.now)
	}
}

// removeIfDone removes the exchange from its sidecar once it is answered and all its legs have ended.
func (x *exchange) removeIfDone() {
	if !x.answered || slices.ContainsFunc(x.legs, func(g *leg) bool { return !g.ended }) {
		return
	}
	delete(x.sidecar.exchanges, logic.ExchangeID(x.ID))
}

// Sidecars.

// start starts the sidecar's process: a new decider with the present list as if read from disk.
func (c *sidecar) start() {
	sim := c.sim
	settings := sim.settingsByZone[c.Zone]
	if settings == nil {
		text, err := json.Marshal(scenario.Settings(sim.scenario, 0, c.Zone))
		if err == nil {
			settings, err = fastjson.ParseBytes(text)
		}
		if err != nil {
			sim.err = err
			return
		}
		sim.settingsByZone[c.Zone] = settings
	}
	var t logic.Terms
	t, c.names = terms.Parse(settings, sim.scenario.SeedOf(fmt.Sprint("s", c.Number, "life", c.restarts)))
	c.exchanges, c.idleConnections, c.knownVersion, c.down, c.watching = map[logic.ExchangeID]*exchange{}, map[*endpoint]int{}, -1, false, false
	t.HasList, t.SidecarNumber = true, logic.PeerID(c.Number)
	c.decider = sim.newDecider(t, c, logic.Millis(sim.now+epochMs))
	c.decider.ListStarts()
	for _, e := range sim.endpoints {
		if e.state == logic.Running {
			c.decider.Listed(logic.EndpointID(e.name), e.state, c.names.Zone([]byte(e.Zone)), 0, 1, 1, logic.Millis(e.startedAt))
		}
	}
	c.decider.ListEnds(true)
}

// arrive passes an exchange from a client to the decider. If there is no answer by the abandon time and the grace, the
// client gets 504.
func (c *sidecar) arrive(a scenario.Arrival) {
	if c.down {
		return
	}
	sim := c.sim
	x := &exchange{sidecar: c, Exchange: &records.Exchange{ID: a.ID, Sidecar: c.Number, Product: a.Product, Work: a.Work, DueAt: a.At}}
	sim.book.AddExchange(x.Exchange)
	id := logic.ExchangeID(a.ID)
	c.exchanges[id] = x
	c.decider.SetNow(logic.Millis(sim.now + epochMs))
	abandon, restarts := sim.scenario.Products[a.Product].AbandonTime, c.restarts
	sim.after(abandon+answerGraceMs, func() {
		if c.restarts == restarts && !x.answered {
			c.decider.SetNow(logic.Millis(sim.now + epochMs))
			x.answer(504)
			c.decider.ClientLeft(id)
			x.removeIfDone()
		}
	})
	c.decider.Arrive(id, logic.ProductID(a.Product), -1, 0, logic.Millis(sim.now+abandon+epochMs), 0, false)
}

func (c *sidecar) Send(id logic.ExchangeID, to logic.EndpointID, timeout logic.Millis) {
	x, sim := c.exchanges[id], c.sim
	if x == nil {
		return
	}
	g := &leg{exchange: x, number: logic.LegNo(len(x.legs)), sentAt: sim.now}
	x.legs = append(x.legs, g)
	g.endpoint = sim.endpointByID[to]
	timeLeft := x.DueAt + sim.scenario.Products[x.Product].AbandonTime - sim.now
	if timeout > 0 {
		timeLeft = min(timeLeft, float64(timeout))
	}
	sim.after(max(timeLeft, 0), func() { g.abandon(logic.TimedOut) })
	if g.endpoint == nil || x.answered {
		sim.after(0, func() { g.reportEnd(logic.NotSent) })
		return
	}
	delay, newConnection := c.oneWayDelay(g.endpoint), c.idleConnections[g.endpoint] == 0
	if !newConnection {
		c.idleConnections[g.endpoint]--
	} else {
		delay *= 3 // the round trip of the TCP handshake comes first
	}
	if math.IsInf(delay, 1) {
		return
	}
	sim.after(delay, func() { g.arrive(newConnection) })
}

// arrive handles the arrival of the leg's request at its endpoint.
func (g *leg) arrive(newConnection bool) {
	e, sim := g.endpoint, g.exchange.sidecar.sim
	if g.ended {
		return
	}
	if e.stopped || !e.model.Up() && e.model.Collapses == 0 {
		sim.after(g.exchange.sidecar.oneWayDelay(e), func() { g.reportEnd(logic.NoConnection) })
		return
	}
	g.arrived = true
	g.record = &records.Leg{Exchange: g.exchange.ID, Endpoint: e.recordNumber, ArrivedAt: sim.now, NewConnection: newConnection, KeyIntact: true, Work: g.exchange.Work}
	sim.book.AddLeg(g.record)
	if newConnection {
		sim.book.CountConnection(e.recordNumber)
	}
	e.update(func() {
		e.lastJob++
		g.job = e.lastJob
		work := g.exchange.Work
		if newConnection {
			work += sim.scenario.Endpoints[e.GroupIndex].HandshakeWork
		}
		switch e.model.Arrive(g.job, work) {
		case emulator.Accepted:
			e.legsByJob[g.job] = g
		case emulator.Full:
			sim.book.EndLeg(g.record, "full", sim.now)
			g.returnOutcome(logic.Full, true)
		case emulator.Failed:
			sim.book.EndLeg(g.record, "failed", sim.now)
			g.returnOutcome(logic.Errored, true)
		case emulator.Down:
			if e.model.Collapses > e.fallsRecorded {
				e.fallsRecorded = e.model.Collapses
				sim.book.RecordCollapse(e.recordNumber, sim.now)
			}
			sim.book.EndLeg(g.record, "cut", sim.now)
			g.returnOutcome(logic.Reset, false)
			e.dropAll()
		}
	})
}

// abandon ends a leg at its sidecar. The endpoint notices after the network delay and cancels the job.
func (g *leg) abandon(o logic.Outcome) {
	if g.ended {
		return
	}
	e, sim := g.endpoint, g.exchange.sidecar.sim
	if g.arrived {
		sim.after(networkDelayMs, func() {
			if e.legsByJob[g.job] == g {
				e.update(func() {
					delete(e.legsByJob, g.job)
					e.model.Cancel(g.job)
				})
				sim.book.EndLeg(g.record, "left", sim.now)
			}
		})
	}
	g.reportEnd(o)
}

func (c *sidecar) Cancel(id logic.ExchangeID, n logic.LegNo) {
	if x := c.exchanges[id]; x != nil && int(n) < len(x.legs) {
		c.sim.after(0, func() { x.legs[n].abandon(logic.Cancelled) })
	}
}

func (c *sidecar) Shed(id logic.ExchangeID, _ logic.Reason, _ logic.Millis) { c.answer(id, 503) }
func (c *sidecar) Fail(id logic.ExchangeID, _ logic.Reason)                 { c.answer(id, 502) }

// answer answers an exchange, if it is still open.
func (c *sidecar) answer(id logic.ExchangeID, status int) {
	if x := c.exchanges[id]; x != nil {
		x.answer(status)
		x.removeIfDone()
	}
}

func (c *sidecar) SetTimer(after logic.Millis, t logic.TimerID) {
	restarts := c.restarts
	c.sim.after(float64(after), func() {
		if c.restarts == restarts && !c.down {
			c.decider.SetNow(logic.Millis(c.sim.now + epochMs))
			c.decider.TimerFired(t)
		}
	})
}

func (c *sidecar) Watch() {
	restarts := c.restarts
	c.sim.after(0, func() {
		if c.restarts != restarts || c.down {
			return
		}
		if c.sim.listOutages > 0 {
			c.decider.SetNow(logic.Millis(c.sim.now + epochMs))
			c.decider.ListCallFailed()
			return
		}
		c.watching = true
		c.updateList()
	})
}

func (c *sidecar) NotifyPeer(logic.PeerID, []byte) {}
func (c *sidecar) Probe(logic.EndpointID)          {}
func (c *sidecar) Note(string)                     {}

// oneWayDelay returns the time that a message takes to the endpoint or back, infinite if the link is interrupted.
func (c *sidecar) oneWayDelay(e *endpoint) float64 {
	delay := networkDelayMs
	if e.Zone != c.Zone {
		delay += crossZoneDelayMs
	}
	for _, n := range c.linkFaults {
		f := &c.sim.scenario.Faults[n]
		if _, to := c.sim.scenario.FaultTargets(n); len(f.RemoteEndpoints) > 0 && !slices.ContainsFunc(to, func(p scenario.Node) bool { return p.Name == e.name }) {
			continue
		}
		switch f.Kind {
		case "cut", "silent":
			return math.Inf(1)
		case "delay":
			delay += f.Size
		}
	}
	return delay
}

// totalLinkDelay returns the sum of the delays that the scenario's faults add to upstream links in one direction.
func (c *sidecar) totalLinkDelay() (total float64) {
	for _, f := range c.sim.scenario.Faults {
		if f.Link == "upstream" && f.Kind == "delay" {
			total += f.Size
		}
	}
	return total
}

// answerLossShare returns the share of answers that are lost on the way to the sidecar.
func (c *sidecar) answerLossShare() (share float64) {
	for _, n := range c.linkFaults {
		if f := &c.sim.scenario.Faults[n]; f.Kind == "lose" {
			share = max(share, f.Size)
		}
	}
	return share
}

// randomFraction returns a pseudo-random number from 0 to 1. It depends only on the seed and the number of events
// scheduled so far, so that a run can be repeated.
func (sim *simulation) randomFraction() float64 {
	z := (sim.lastOrder + sim.scenario.Seed) * 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
