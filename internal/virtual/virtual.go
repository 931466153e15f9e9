// Package virtual plays a scenario in virtual time: many instances of the decision module, and the model of endpoints, in one
// process and one goroutine. The same scenario gives the same account to the byte, whatever else the process does. It has no
// clock and no sockets: what hangs on processes (reload, stop, upgrade) or on the bytes of a connection is refused by name.
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
	way        = 0.25 // ms from one machine to another
	grace      = 20.0 // ms past the abandon time in which a sidecar still answers, as internal/sidecar has it
	drainGrace = 1000.0
	leaveTime  = 5000.0
	acrossZone = 0.5 // ms more
)

// Decider is what decides: the module, or a baseline.
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

// Maker starts a decider.
type Maker func(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider

// Module is the maker of the program's own.
func Module(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
	return logic.New(t, out, now)
}

// event is something that is due. Events of one time happen in the order in which they were set.
type event struct {
	at    float64
	order uint64
	do    func()
}

// events are a binary heap, without the boxes that container/heap would make for each.
type events []event

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.order < o.order }

func (q *events) push(e event) {
	h := append(*q, e)
	n := len(h) - 1
	for up := (n - 1) / 2; n > 0 && e.before(h[up]); n, up = up, (up-1)/2 {
		h[n] = h[up]
	}
	h[n], *q = e, h
}

func (q *events) pop() event {
	h := *q
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	n := 0
	for down := 1; down < len(h); down = 2*n + 1 {
		if down+1 < len(h) && h[down+1].before(h[down]) {
			down++
		}
		if !h[down].before(last) {
			break
		}
		h[n], n = h[down], down
	}
	if len(h) > 0 {
		h[n] = last
	}
	*q = h
	return first
}

// world is one run.
type world struct {
	s         *scenario.Scenario
	book      *records.Book
	queue     events
	order     uint64
	now       float64
	endpoints []*endpoint
	current   map[string]*endpoint
	named     map[logic.EndpointID]*endpoint
	sidecars  []*sidecar
	listOff   int
	listLate  float64
	version   int
	make      Maker
	settings  map[string]*fastjson.Value
	err       error
}

func (w *world) after(wait float64, do func()) {
	w.order++
	w.queue.push(event{w.now + wait, w.order, do})
}

// endpoint is the model and what it holds for whom.
type endpoint struct {
	scenario.Place
	name    string
	number  int
	model   *emulator.Endpoint
	held    map[uint64]*leg
	jobs    uint64
	nextAt  float64
	falls   int
	gone    bool
	state   logic.Health
	started float64
	changed int // version of the list
	world   *world
}

// leg is one on its way.
type leg struct {
	x       *exchange
	n       logic.LegNo
	to      *endpoint
	account *records.Leg
	sent    float64
	job     uint64
	over    bool // its end was told, or needs none
	began   bool // it came to the endpoint
}

// exchange is one at its sidecar.
type exchange struct {
	*records.Exchange
	by       *sidecar
	legs     []*leg
	answered bool
}

// sidecar is one instance.
type sidecar struct {
	scenario.Place
	world   *world
	decider Decider
	names   *terms.Names
	open    map[logic.ExchangeID]*exchange
	idle    map[*endpoint]int
	links   []int // faults in force on its links upstream
	life    int   // counts restarts
	down    bool
	heard   int // version of the list that it knows; below 0 for none
	asking  bool
}

// Run plays a scenario and returns the accounts.
func Run(s *scenario.Scenario, maker Maker) (*records.Book, error) {
	b := records.Terms{Grace: 550, Drain: drainGrace, Free: s.Fleet.ExtraFree, Ratio: s.Fleet.ExtraRatio, LookBack: s.Fleet.LookBack * 1000}
	for _, p := range s.Products {
		b.Products = append(b.Products, records.Product{Name: p.Name, Expected: p.Expected, Abandon: p.Abandon,
			SingleUse: p.Effect == "single-use", Referenced: p.Effect == "referenced"})
	}
	w := &world{s: s, book: records.New(b), current: map[string]*endpoint{}, named: map[logic.EndpointID]*endpoint{}, make: maker, settings: map[string]*fastjson.Value{}}
	w.book.Slack = func(sidecar, _ int, _ float64) float64 { return w.sidecars[sidecar].delay() * 2 }
	for _, p := range s.Places() {
		w.addEndpoint(p, p.Name, false)
	}
	for _, p := range s.Sidecars() {
		c := &sidecar{Place: p, world: w}
		w.sidecars = append(w.sidecars, c)
		c.start()
	}
	for n := range s.Faults {
		if err := w.plan(n); err != nil {
			return nil, err
		}
	}
	asks := s.Asks()
	for n := 0; n < len(asks) || len(w.queue) > 0; {
		if n < len(asks) && (len(w.queue) == 0 || asks[n].At <= w.queue[0].at) {
			w.now = asks[n].At
			w.sidecars[asks[n].Sidecar].ask(asks[n])
			n++
			continue
		}
		e := w.queue.pop()
		if w.now = e.at; n == len(asks) && w.now > s.Length*1000+60000 {
			break // the module's own beat goes on for ever
		}
		e.do()
		if w.err != nil {
			return nil, w.err
		}
		if n == len(asks) && w.idle() {
			break
		}
	}
	return w.book, nil
}

func (w *world) idle() bool {
	if w.now < w.s.Length*1000 {
		return false
	}
	for _, c := range w.sidecars {
		if len(c.open) > 0 {
			return false
		}
	}
	return true
}

// ---- endpoints and the list

func (w *world) addEndpoint(p scenario.Place, name string, cold bool) {
	e := &endpoint{Place: p, name: name, held: map[uint64]*leg{}, world: w, state: logic.Running, nextAt: math.Inf(1)}
	started := -1e12
	if cold {
		started, e.started = w.now, w.now+epoch
	}
	e.number = w.book.Endpoint(name, w.now)
	e.model = emulator.New(w.s.Kind(p), w.s.SeedOf(name), started, w.now)
	w.endpoints = append(w.endpoints, e)
	w.current[p.Name], w.named[logic.EndpointID(name)] = e, e
	w.listChanged(e)
}

// epoch keeps the module's clock away from 0, which means "long ago" to it.
const epoch = 1e9

func (w *world) listChanged(e *endpoint) {
	w.after(w.listLate, func() {
		w.version++
		e.changed = w.version
		for _, c := range w.sidecars {
			c.tell()
		}
	})
}

// tell brings a sidecar's list up to date, as a watch would.
func (c *sidecar) tell() {
	if !c.asking || c.down || c.world.listOff > 0 {
		return
	}
	life := c.life
	c.world.after(way, func() {
		if c.life != life || c.down || c.world.listOff > 0 || c.heard == c.world.version && c.heard >= 0 {
			return
		}
		c.decider.SetNow(logic.Millis(c.world.now + epoch))
		if c.heard < 0 {
			c.decider.ListStarts()
		}
		for _, e := range c.world.endpoints {
			if e.changed <= c.heard || c.heard < 0 && e.state == logic.Gone {
				continue
			}
			c.decider.Listed(logic.EndpointID(e.name), e.state, c.names.Zone([]byte(e.Zone)), 0, 1, 1, logic.Millis(e.started))
			if e.state != logic.Running {
				c.world.book.Told(c.Number, e.number, c.world.now, "listed")
			}
		}
		c.heard = c.world.version
		c.decider.ListEnds(false)
	})
}

// arm sets the next event of the model.
func (e *endpoint) arm() {
	next := e.model.Next()
	if next >= e.nextAt || math.IsInf(next, 1) {
		return
	}
	e.nextAt = next
	e.world.after(next-e.world.now, func() {
		if e.nextAt == next {
			e.nextAt = math.Inf(1)
			e.alter(func() {})
		}
	})
}

func (e *endpoint) alter(how func()) {
	e.model.Advance(e.world.now, e.done)
	how()
	e.arm()
}

func (e *endpoint) done(d emulator.Done) {
	g := e.held[d.ID]
	delete(e.held, d.ID)
	outcome, word := logic.Succeeded, "satisfied"
	if !d.OK {
		outcome, word = logic.Errored, "errored"
	}
	e.world.book.End(g.account, word, d.At)
	g.back(outcome, true)
}

// drop ends all that an endpoint holds, as the end of its process does.
func (e *endpoint) drop() {
	jobs := []uint64{}
	for id := range e.held {
		jobs = append(jobs, id)
	}
	slices.Sort(jobs)
	for _, id := range jobs {
		g := e.held[id]
		delete(e.held, id)
		e.world.book.End(g.account, "cut", e.world.now)
		g.back(logic.Reset, false)
	}
	for _, c := range e.world.sidecars {
		delete(c.idle, e)
	}
}

// back brings a leg's end to its sidecar.
func (g *leg) back(o logic.Outcome, keep bool) {
	c := g.x.by
	if o == logic.Succeeded || o == logic.Errored || o == logic.Full {
		if l := c.lost(); l > 0 && c.world.draw() < l {
			o, keep = logic.Reset, false
		}
	}
	wait := c.trip(g.to)
	if math.IsInf(wait, 1) {
		return // it comes when the link is back: by then its sidecar has given up
	}
	c.world.after(wait, func() {
		if keep && !g.over && !g.to.gone {
			c.idle[g.to]++
		}
		g.end(o)
	})
}

// end tells the module of a leg's end, once.
func (g *leg) end(o logic.Outcome) {
	c, w := g.x.by, g.x.by.world
	if g.over || c.open[logic.ExchangeID(g.x.ID)] != g.x {
		g.over = true
		return
	}
	g.over = true
	c.decider.SetNow(logic.Millis(w.now + epoch))
	if o == logic.Succeeded && !g.x.answered {
		g.x.answer(200)
	}
	c.decider.LegEnded(logic.ExchangeID(g.x.ID), g.n, o, logic.Millis(w.now-g.sent), g.x.answered)
	g.x.forget()
}

func (x *exchange) answer(status int) {
	if !x.answered {
		x.answered = true
		x.by.world.book.Answered(x.Exchange, status, "", x.At, x.by.world.now)
	}
}

func (x *exchange) forget() {
	if !x.answered || slices.ContainsFunc(x.legs, func(g *leg) bool { return !g.over }) {
		return
	}
	delete(x.by.open, logic.ExchangeID(x.ID))
}

// ---- sidecars

func (c *sidecar) start() {
	w := c.world
	settings := w.settings[c.Zone]
	if settings == nil {
		text, err := json.Marshal(scenario.Settings(w.s, 0, c.Zone))
		if err == nil {
			settings, err = fastjson.ParseBytes(text)
		}
		if err != nil {
			w.err = err
			return
		}
		w.settings[c.Zone] = settings
	}
	var t logic.Terms
	t, c.names = terms.From(settings, w.s.SeedOf(fmt.Sprint("s", c.Number, "life", c.life)))
	c.open, c.idle, c.heard, c.down, c.asking = map[logic.ExchangeID]*exchange{}, map[*endpoint]int{}, -1, false, false
	t.HasList, t.SidecarNumber = true, logic.PeerID(c.Number)
	c.decider = w.make(t, c, logic.Millis(w.now+epoch))
	c.decider.ListStarts()
	for _, e := range w.endpoints {
		if e.state == logic.Running {
			c.decider.Listed(logic.EndpointID(e.name), e.state, c.names.Zone([]byte(e.Zone)), 0, 1, 1, logic.Millis(e.started))
		}
	}
	c.decider.ListEnds(true)
}

func (c *sidecar) ask(a scenario.Ask) {
	if c.down {
		return
	}
	w := c.world
	x := &exchange{by: c, Exchange: &records.Exchange{ID: a.ID, Sidecar: c.Number, Product: a.Product, Work: a.Work, At: a.At}}
	w.book.Ask(x.Exchange)
	id := logic.ExchangeID(a.ID)
	c.open[id] = x
	c.decider.SetNow(logic.Millis(w.now + epoch))
	abandon, life := w.s.Products[a.Product].Abandon, c.life
	w.after(abandon+grace, func() {
		if c.life == life && !x.answered {
			c.decider.SetNow(logic.Millis(w.now + epoch))
			x.answer(504)
			c.decider.ClientLeft(id)
			x.forget()
		}
	})
	c.decider.Arrive(id, logic.ProductID(a.Product), -1, 0, logic.Millis(w.now+abandon+epoch), 0, false)
}

func (c *sidecar) Send(id logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	x, w := c.open[id], c.world
	if x == nil {
		return
	}
	g := &leg{x: x, n: logic.LegNo(len(x.legs)), sent: w.now}
	x.legs = append(x.legs, g)
	g.to = w.named[to]
	left := x.At + w.s.Products[x.Product].Abandon - w.now
	if giveUpAfter > 0 {
		left = min(left, float64(giveUpAfter))
	}
	w.after(max(left, 0), func() { g.quit(logic.TimedOut) })
	if g.to == nil || x.answered {
		w.after(0, func() { g.end(logic.NotSent) })
		return
	}
	wait, fresh := c.trip(g.to), c.idle[g.to] == 0
	if !fresh {
		c.idle[g.to]--
	} else {
		wait *= 3 // the connection's own round trip before it
	}
	if math.IsInf(wait, 1) {
		return
	}
	w.after(wait, func() { g.arrive(fresh) })
}

// arrive is a leg's first byte at its endpoint.
func (g *leg) arrive(fresh bool) {
	e, w := g.to, g.x.by.world
	if g.over {
		return
	}
	if e.gone || !e.model.Up() && e.model.Falls == 0 {
		w.after(g.x.by.trip(e), func() { g.end(logic.NoConnection) })
		return
	}
	g.began = true
	g.account = &records.Leg{Exchange: g.x.ID, Endpoint: e.number, At: w.now, Fresh: fresh, Keyed: true, Work: g.x.Work}
	w.book.Arrive(g.account)
	if fresh {
		w.book.Dial(e.number)
	}
	e.alter(func() {
		e.jobs++
		g.job = e.jobs
		work := g.x.Work
		if fresh {
			work += w.s.Endpoints[e.Group].Handshake
		}
		switch e.model.Arrive(g.job, work) {
		case emulator.Accepted:
			e.held[g.job] = g
		case emulator.Full:
			w.book.End(g.account, "full", w.now)
			g.back(logic.Full, true)
		case emulator.Failed:
			w.book.End(g.account, "failed", w.now)
			g.back(logic.Errored, true)
		case emulator.Down:
			if e.model.Falls > e.falls {
				e.falls = e.model.Falls
				w.book.Fell(e.number, w.now)
			}
			w.book.End(g.account, "cut", w.now)
			g.back(logic.Reset, false)
			e.drop()
		}
	})
}

// quit is a sidecar's end of a leg.
func (g *leg) quit(o logic.Outcome) {
	if g.over {
		return
	}
	e, w := g.to, g.x.by.world
	if g.began {
		w.after(way, func() {
			if e.held[g.job] == g {
				e.alter(func() {
					delete(e.held, g.job)
					e.model.Cancel(g.job)
				})
				w.book.End(g.account, "left", w.now)
			}
		})
	}
	g.end(o)
}

func (c *sidecar) Cancel(id logic.ExchangeID, n logic.LegNo) {
	if x := c.open[id]; x != nil && int(n) < len(x.legs) {
		c.world.after(0, func() { x.legs[n].quit(logic.Cancelled) })
	}
}

func (c *sidecar) Shed(id logic.ExchangeID, _ logic.Reason, _ logic.Millis) { c.close(id, 503) }
func (c *sidecar) Fail(id logic.ExchangeID, _ logic.Reason)                 { c.close(id, 502) }

func (c *sidecar) close(id logic.ExchangeID, status int) {
	if x := c.open[id]; x != nil {
		x.answer(status)
		x.forget()
	}
}

func (c *sidecar) SetTimer(after logic.Millis, t logic.TimerID) {
	life := c.life
	c.world.after(float64(after), func() {
		if c.life == life && !c.down {
			c.decider.SetNow(logic.Millis(c.world.now + epoch))
			c.decider.TimerFired(t)
		}
	})
}

func (c *sidecar) Watch() {
	life := c.life
	c.world.after(0, func() {
		if c.life != life || c.down {
			return
		}
		if c.world.listOff > 0 {
			c.decider.SetNow(logic.Millis(c.world.now + epoch))
			c.decider.ListCallFailed()
			return
		}
		c.asking = true
		c.tell()
	})
}

func (c *sidecar) NotifyPeer(logic.PeerID, []byte) {}
func (c *sidecar) Probe(logic.EndpointID)          {}
func (c *sidecar) Note(string)                     {}

// trip is how long a message takes to an endpoint or back; infinite where the link is out.
func (c *sidecar) trip(e *endpoint) float64 {
	wait := way
	if e.Zone != c.Zone {
		wait += acrossZone
	}
	for _, n := range c.links {
		f := &c.world.s.Faults[n]
		if _, to := c.world.s.Chosen(n); len(f.To) > 0 && !slices.ContainsFunc(to, func(p scenario.Place) bool { return p.Name == e.name }) {
			continue
		}
		switch f.What {
		case "cut", "silent":
			return math.Inf(1)
		case "delay":
			wait += f.Size
		}
	}
	return wait
}

func (c *sidecar) delay() (most float64) {
	for _, f := range c.world.s.Faults {
		if f.Over == "upstream" && f.What == "delay" {
			most += f.Size
		}
	}
	return most
}

// lost is the share of answers that are lost on the way.
func (c *sidecar) lost() (share float64) {
	for _, n := range c.links {
		if f := &c.world.s.Faults[n]; f.What == "lose" {
			share = max(share, f.Size)
		}
	}
	return share
}

// draw is a number from 0 to 1 that follows from the run so far.
func (w *world) draw() float64 {
	z := (w.order + w.s.Seed) * 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
