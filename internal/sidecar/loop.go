// The loop: one goroutine owns the module, its clock and its timers; sockets reach it through the queue only. It must
// never wait for a socket, and it decides nothing: it hands events in and carries out what the module asks for.
package sidecar

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/logic"
)

// answer is what a client gets.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	comeBack logic.Millis
	length   int64 // of what flows
	flow     *flow // in place of body, for a long one
}

// exchange is one in hand. The server's goroutine reads answer; all else belongs to the loop once it is queued.
type exchange struct {
	id       logic.ExchangeID
	product  logic.ProductID
	tenant   logic.TenantID
	key      logic.KeyID // what it is about, by its client's word; 0 for none
	cost     float64     // its work by its client's hint; 0 for none
	abandon  logic.Millis
	wait     logic.Millis // from its last byte
	coming   bool         // its last byte has not come
	from     *paced       // where the rest comes from
	request  request
	answer   chan answer // holds one: the loop never waits for the client
	answered bool
	late     bool // its last leg ran out of time
	out      int
	legs     []*leg
	streams  *leg // whose answer is passed on
	client   *client
	left     atomic.Bool // its client has gone: nothing of it is sent on any more
}

// deserted looks whether anybody waits for the answer. A client's end may stand unread behind its request, in a process
// that stood still or is short of time.
func (x *exchange) deserted() bool {
	return seeded != "deserted" && x != nil && (x.left.Load() || x.client != nil && x.client.look() == ended)
}

// nobody in an answer's place tells the server that its client has left.
const nobody = 0

// event is something that sockets tell the loop.
type event interface{ happen(l *loop) }

type (
	arrival   struct{ x *exchange }
	departure struct{ x *exchange }
	legOver   struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
		fault *legError
	}
	legBegan struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
	}
	bodySpent struct{ x *exchange }
	bodyWhole struct{ x *exchange }
	bodyCame  struct { // from the client
		x       *exchange
		abandon logic.Millis
	}
	question struct{} // what does the module see?
)

// alarm is a timer of the module or, with an exchange, the moment by which that must have its answer.
type alarm struct {
	at    logic.Millis
	order uint64
	id    logic.TimerID
	guard *exchange
}

type alarms []alarm

func (a alarms) Len() int      { return len(a) }
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// publishBeat is how old, in milliseconds, what is published may grow while the loop runs.
const publishBeat = 50

// newsMost are lists and changes that wait for the loop at any time.
const newsMost = 64

// loggedEndpoints bounds the endpoints that one log line names.
const loggedEndpoints = 8

// rememberedIDs are the ids of finished exchanges, by which one that comes again is known.
const rememberedIDs = 4096

type loop struct {
	module    *logic.Balancer
	queue     chan event
	started   time.Time
	startedMs float64
	now       logic.Millis
	grace     logic.Millis // past the abandon time, for a leg's time-out to be heard of first
	timers    alarms
	order     uint64
	open      map[logic.ExchangeID]*exchange
	past      map[logic.ExchangeID]bool
	pastRing  [rememberedIDs]logic.ExchangeID
	pastNext  int
	held      atomic.Int64 // exchanges without an answer
	loaded    atomic.Bool
	heard     atomic.Bool // a watch has told a list
	suspended atomic.Bool // the lease on the list has ended: no attempt begins
	up        *upstream
	list      *lists
	hands     *hands.Hands
	messages  messenger // nil for none
	products  []logic.Product
	urgent    struct {
		sync.Mutex
		events []event
		some   chan struct{}
	}
	news        chan struct{} // held by what discovery said and is not booked
	suspendedAt time.Time
	changes     atomic.Uint64 // of what is known of endpoints and discovery
	onChange    atomic.Pointer[func()]
	published   logic.Millis // when the module's view was last left for others to read
	probes      int          // that are out
	counters    *Counters
	log         *zap.Logger
	ctx         context.Context
}

// newLoop starts the module, which may ask for timers and the watch at once; the disk's list comes before all else.
func newLoop(ctx context.Context, t logic.Terms, known *inventory, up *upstream, d *lists, h *hands.Hands,
	c *Counters, log *zap.Logger) *loop {
	l := &loop{
		queue: make(chan event, 4096), started: time.Now(), open: map[logic.ExchangeID]*exchange{},
		past: map[logic.ExchangeID]bool{}, up: up, list: d, hands: h, products: t.Products, counters: c, log: log, ctx: ctx,
	}
	l.urgent.some, l.news = make(chan struct{}, 1), make(chan struct{}, newsMost)
	l.startedMs = float64(l.started.UnixNano()) / 1e6
	l.now = l.clock()
	if known != nil {
		d.version = known.version
		l.queue <- listing{inventory: *known, fromDisk: true}
	}
	l.module = logic.New(t, l, l.now)
	for _, id := range h.Bans() {
		said{logic.EndpointID(id), true}.happen(l)
	}
	h.Tell = func(id string, out bool) {
		if out {
			up.byHand(logic.EndpointID(id), true) // at once, whatever waits before it in the queue
		}
		l.postFirst(said{logic.EndpointID(id), out})
		l.changed()
	}
	return l
}

// clock is Unix time at the start plus monotonic time: a stepped clock moves no timer.
func (l *loop) clock() logic.Millis { return l.at(time.Now()) }

func (l *loop) at(t time.Time) logic.Millis {
	return logic.Millis(l.startedMs + float64(t.Sub(l.started))/float64(time.Millisecond))
}

// run serves the queue and the timers until ctx ends.
func (l *loop) run() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.queue:
			l.tick()
			l.guarded(exchangeOf(e), func() { e.happen(l) })
		case <-l.urgent.some:
		case <-wake.C:
		}
		l.first()
		l.due()
		l.followLease()
		l.publish()
		if len(l.timers) > 0 {
			wake.Reset(max(span(l.timers[0].at-l.clock()), 0))
		}
	}
}

// postFirst hands over what must not wait behind the queue, and never waits itself.
func (l *loop) postFirst(e event) {
	l.urgent.Lock()
	l.urgent.events = append(l.urgent.events, e)
	l.urgent.Unlock()
	select {
	case l.urgent.some <- struct{}{}:
	default:
	}
}

// postNews hands over what discovery says, in its order and ahead of the queue: a drain must not wait behind a burst of
// exchanges that would be sent to the endpoint it takes out. So much may wait, then discovery does.
func (l *loop) postNews(e event) {
	select {
	case l.news <- struct{}{}:
		l.postFirst(told{e})
	case <-l.ctx.Done():
	}
}

// told is an event that made others of its kind wait.
type told struct{ event }

func (e told) happen(l *loop) {
	defer func() { <-l.news }()
	e.event.happen(l)
}

func (l *loop) first() {
	l.urgent.Lock()
	events := l.urgent.events
	l.urgent.events = nil
	l.urgent.Unlock()
	if len(events) > 0 {
		l.tick()
	}
	for _, e := range events {
		l.guarded(nil, func() { e.happen(l) })
	}
}

// publish leaves for others what only the module knows.
func (l *loop) publish() {
	if l.now-l.published >= publishBeat {
		l.published = l.now
		l.counters.avoided.Store(int64(l.module.AvoidedEndpoints()))
		l.logOutage(time.Now())
	}
}

// followLease keeps attempts that are still dialling from beginning while the lease on the list is over, and counts those times.
func (l *loop) followLease() {
	suspended := l.module.Suspended()
	if l.suspended.Swap(suspended) == suspended {
		return
	}
	if now := time.Now(); suspended {
		l.suspendedAt = now
		l.counters.suspensions.Add(1)
	} else {
		l.counters.suspendedMs.Add(now.Sub(l.suspendedAt).Milliseconds())
	}
}

func (l *loop) tick() {
	l.now = l.clock()
	l.module.SetNow(l.now)
}

func (l *loop) due() {
	l.tick()
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		a := heap.Pop(&l.timers).(alarm)
		l.guarded(a.guard, func() {
			if a.guard == nil {
				l.module.TimerFired(a.id)
			} else {
				l.overdue(a.guard)
			}
		})
	}
}

func exchangeOf(e event) *exchange {
	switch e := e.(type) {
	case arrival:
		return e.x
	case departure:
		return e.x
	case legOver:
		return e.x
	case legBegan:
		return e.x
	}
	return nil
}

// guarded keeps a panic to the exchange that it came with: the others must still get their answers.
func (l *loop) guarded(x *exchange, f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			l.counters.panics.Add(1)
			l.log.Error("panic in the loop", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil && !x.answered {
				l.reply(x, answer{status: http.StatusBadGateway})
				l.guarded(nil, func() { l.module.ClientLeft(x.id) })
				l.forget(x)
			}
		}
	}()
	f()
}

// post hands an event to the loop; after its end nobody waits.
func (l *loop) post(e event) {
	select {
	case l.queue <- e:
	case <-l.ctx.Done():
	}
}

// ---- what comes in

func (e arrival) happen(l *loop) {
	x := e.x
	if before := l.open[x.id]; before != nil && before.deserted() {
		departure{before}.happen(l) // its connection broke: this is the same request, sent once more
	}
	if l.open[x.id] != nil || l.past[x.id] {
		l.counters.badInput.Add(1)
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.counters.taken.Add(1)
	l.held.Add(1)
	l.open[x.id] = x
	l.set(alarm{at: x.abandon + l.grace, guard: x})
	l.module.Arrive(x.id, x.product, x.tenant, x.key, x.abandon, x.cost, x.coming)
}

func (e departure) happen(l *loop) {
	if seeded == "deserted" {
		e.x.left.Store(false)
		return
	}
	if e.x.answered || l.open[e.x.id] != e.x {
		return
	}
	l.counters.left.Add(1)
	l.log.Debug("client left", zap.String("id", string(e.x.id)), zap.Int("attempts_out", e.x.out))
	e.x.left.Store(true)
	e.x.answer <- answer{status: nobody}
	l.conclude(e.x)
	l.module.ClientLeft(e.x.id)
	l.forget(e.x)
}

// overdue answers what is still without an answer when its client gives up, so that none is ever lost. A leg's time-out
// should come first: the module would not learn of it from an exchange that has left.
func (l *loop) overdue(x *exchange) {
	if x.answered {
		return
	}
	if x.coming && x.out > 0 {
		l.set(alarm{at: l.now + l.grace + 500, guard: x}) // its time does not run yet; its pace bounds it
		return
	}
	if l.now < x.abandon+l.grace {
		return // another alarm is set: its time began later than it seemed
	}
	l.counters.overdue.Add(1)
	l.logGivenUp(x, "request overdue", logic.LegsFailed)
	l.reply(x, answer{status: http.StatusGatewayTimeout})
	l.module.ClientLeft(x.id)
	l.forget(x)
}

// hasten has whatever is held answered by the time SIGKILL may come, however much longer its client would wait.
func (l *loop) hasten(by logic.Millis) {
	for _, x := range l.open {
		if !x.answered && !x.coming && x.abandon > by {
			x.abandon = by
			l.set(alarm{at: by + l.grace, guard: x})
		}
	}
}

// legBegan hands a long answer to the client from its first bytes on. The first one wins.
func (e legBegan) happen(l *loop) {
	x := e.x
	if x.answered || l.open[x.id] != x {
		x.legs[e.n].cancel()
		return
	}
	x.streams = x.legs[e.n]
	x.streams.took = l.now - x.streams.sent
	l.reply(x, answer{status: http.StatusOK, header: e.reply.header, length: e.reply.length, flow: e.reply.flow})
	l.module.StreamBegan(x.id, e.n)
}

func (e bodySpent) happen(l *loop) {
	if l.open[e.x.id] == e.x {
		l.module.BodyDiscarded(e.x.id)
	}
}

func (e bodyCame) happen(l *loop) {
	if x := e.x; l.open[x.id] == x && x.coming {
		x.coming, x.abandon = false, e.abandon
		l.set(alarm{at: x.abandon + l.grace, guard: x})
	}
}

func (e bodyWhole) happen(l *loop) {
	if x := e.x; l.open[x.id] == x {
		for _, g := range x.legs {
			if !g.collected {
				g.sent = l.now
			}
		}
		l.module.BodyComplete(x.id, x.abandon)
	}
}

func (e legOver) happen(l *loop) {
	x, g, outcome := e.x, e.x.legs[e.n], logic.Succeeded
	if g.collected {
		return
	}
	g.collected = true
	x.out--
	defer l.forget(x)
	if e.fault != nil {
		outcome, g.never = e.fault.outcome, e.fault.reach <= writing || e.fault.outcome == logic.Full
	}
	if line := l.log.Check(zap.DebugLevel, "leg"); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.Int("attempt", int(e.n)), zap.String("outcome", outcomeNames[outcome]),
			zap.NamedError("fault", faultOf(e.fault)), zap.String("addr", g.addr), zap.Int("product", int(x.product)),
			zap.Float64("took_ms", float64(l.now-g.sent)))
	}
	l.counters.legs[outcome].Add(1)
	x.late = outcome == logic.TimedOut
	if outcome == logic.Succeeded && !x.answered {
		l.reply(x, answer{status: http.StatusOK, header: e.reply.header, body: e.reply.body})
	}
	took := l.now - g.sent
	if x.coming {
		took = 0 // the client's time, not the endpoint's
	}
	if g == x.streams {
		took = g.took
	}
	l.module.LegEnded(x.id, e.n, outcome, took, x.answered && (x.streams == nil || x.streams == g))
}

// faultOf keeps a missing fault from becoming an error that holds nothing.
func faultOf(e *legError) error {
	if e == nil {
		return nil
	}
	return e
}

func (question) happen(l *loop) { l.log.Debug("view", zap.Any("of", l.module.View())) }

// ---- what the module asks for

// Send starts a leg; whatever becomes of it, one legOver comes back.
func (l *loop) Send(id logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	x := l.open[id]
	if x == nil {
		return
	}
	l.followLease()
	left := x.abandon - l.now
	if giveUpAfter == 0 || giveUpAfter > left {
		giveUpAfter = left
	}
	g := &leg{sent: l.now, giveUp: time.Now().Add(span(giveUpAfter)), request: &x.request, to: l.up.find(to)}
	l.schedule(x, g)
	g.of, g.suspended = x, &l.suspended
	g.ctx, g.cancel = context.WithCancel(l.ctx)
	n := logic.LegNo(len(x.legs))
	x.legs = append(x.legs, g)
	x.out++
	if line := l.log.Check(zap.DebugLevel, "attempt begins"); line != nil {
		line.Write(zap.String("id", string(id)), zap.Int("attempt", int(n)), zap.Int("others_out", x.out-1), zap.String("endpoint", string(to)),
			zap.Float64("gives_up_after_ms", float64(giveUpAfter)), zap.Float64("left_ms", float64(left)))
	}
	over := legOver{x: x, n: n}
	g.began = func(r *reply) { l.post(legBegan{x, n, r}) }
	g.spent, g.whole = func() { l.post(bodySpent{x}) }, func() { l.post(bodyWhole{x}) }
	if g.to == nil || x.answered {
		over.fault = &legError{outcome: logic.NotSent}
	} else {
		g.to.mu.Lock()
		g.addr, g.place = g.to.addr, g.to.place
		g.to.mu.Unlock()
	}
	go func() {
		defer g.cancel()
		defer func() {
			if fault := recover(); fault != nil {
				l.counters.panics.Add(1)
				l.log.Error("panic in a leg", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
				over.reply, over.fault = nil, &legError{reach: written, outcome: logic.Reset}
			}
			if over.fault != nil && over.fault.cause == errNobody {
				l.post(departure{x})
			}
			l.post(over)
		}()
		if over.fault == nil {
			over.reply, over.fault = l.up.run(g)
		}
	}()
}

// schedule tells a leg when its answer is passed on at the latest, and whether a pause in it may be used for another leg.
func (l *loop) schedule(x *exchange, g *leg) {
	if x.product < 0 || int(x.product) >= len(l.products) {
		g.patient = true
		return
	}
	p := l.products[x.product]
	g.bound = p.Bound()
	g.patient = p.Effect == logic.SingleUse
	if p.Effect == logic.Deduplicated && p.DedupMemory > 0 {
		for _, earlier := range x.legs { // the first that may have run
			if !earlier.never {
				g.beginLast = l.started.Add(span(earlier.sent - logic.Millis(l.startedMs) + p.DedupMemory*keyShare))
				break
			}
		}
	}
	if p.Expected > 0 {
		g.beginBy = time.Now().Add(span(p.Expected * beginShare))
	}
}

func (l *loop) Cancel(id logic.ExchangeID, n logic.LegNo) {
	if x := l.open[id]; x != nil && int(n) < len(x.legs) {
		x.legs[n].cancel()
	}
}

func (l *loop) Shed(id logic.ExchangeID, why logic.Reason, comeBackAfter logic.Millis) {
	if x := l.open[id]; x != nil && !x.answered {
		l.counters.givenUp[why].Add(1)
		l.logGivenUp(x, "request refused", why)
		l.reply(x, answer{status: http.StatusServiceUnavailable, comeBack: comeBackAfter})
		l.forget(x)
	}
}

func (l *loop) Fail(id logic.ExchangeID, why logic.Reason) {
	if x := l.open[id]; x != nil && !x.answered {
		l.counters.givenUp[why].Add(1)
		l.logGivenUp(x, "request failed", why)
		status := http.StatusBadGateway
		if x.late {
			status = http.StatusGatewayTimeout
		}
		l.reply(x, answer{status: status})
		l.forget(x)
	}
}

// logGivenUp tells at debug level why a request gets no endpoint's answer.
func (l *loop) logGivenUp(x *exchange, what string, why logic.Reason) {
	if line := l.log.Check(zap.DebugLevel, what); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.String("reason", reasonNames[why]), zap.Int("attempts", len(x.legs)),
			zap.Float64("left_ms", float64(x.abandon-l.now)))
	}
}

func (l *loop) SetTimer(after logic.Millis, t logic.TimerID) { l.set(alarm{at: l.now + after, id: t}) }

func (l *loop) Watch() {
	openMost := logic.MaxOpenCalls
	if l.module != nil && l.module.Suspended() { // it calls first while it starts
		openMost = logic.MaxOpenCallsSuspended
	}
	if !l.list.call(l.ctx, openMost, l.postNews) {
		return
	}
	now, further := time.Now(), l.list.openCalls() > 1
	l.list.outage.begin(now)
	l.list.outage.call(now, further)
	l.counters.listCalls.Add(1)
	if further {
		l.counters.listCallsFurther.Add(1)
	}
	l.log.Debug("discovery is called", zap.String("addr", l.list.addr), zap.Int("call", l.list.last), zap.Int64("after", l.list.version))
}

func (l *loop) Note(line string) { l.log.Info(line) }

// ---- its own books

func (l *loop) set(a alarm) {
	if math.IsNaN(float64(a.at)) {
		return
	}
	l.order++
	a.order = l.order
	heap.Push(&l.timers, a)
}

// reply gives the one answer that an exchange gets.
func (l *loop) reply(x *exchange, a answer) {
	if x.answered {
		return
	}
	switch {
	case a.status == http.StatusOK:
		l.counters.satisfied.Add(1)
	case a.status == http.StatusServiceUnavailable:
		l.counters.dismissed.Add(1)
	default:
		l.counters.forfeited.Add(1)
	}
	l.conclude(x) // before the answer is on its way: from then on no attempt may begin for it
	x.answer <- a
}

func (l *loop) conclude(x *exchange) {
	x.answered = true
	l.held.Add(-1)
	for _, g := range x.legs {
		g.void()
	}
}

// forget lets go of what is answered and has no leg out, but remembers its id.
func (l *loop) forget(x *exchange) {
	if !x.answered || x.out > 0 || l.open[x.id] != x {
		return
	}
	delete(l.open, x.id)
	ran := slices.ContainsFunc(x.legs, func(g *leg) bool { return !g.never })
	x.request, x.legs = request{}, nil // the alarm of its abandon time keeps x, and would keep the body as long
	if x.left.Load() && !ran {
		return // nothing of it was ever sent: should its client come again on a new connection, that is the first time
	}
	delete(l.past, l.pastRing[l.pastNext])
	l.pastRing[l.pastNext] = x.id
	l.past[x.id] = true
	l.pastNext = (l.pastNext + 1) % rememberedIDs
}
