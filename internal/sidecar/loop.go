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
	status     int
	header     http.Header
	body       []byte
	retryAfter logic.Millis
	length     int64     // of what flows
	stream     *bodyPipe // in place of body, for a long one
}

// exchange is one in hand. The server's goroutine reads answer; all else belongs to the loop once it is queued.
type exchange struct {
	id              logic.ExchangeID
	product         logic.ProductID
	tenant          logic.TenantID
	key             logic.KeyID // what it is about, by its client's word; 0 for none
	cost            float64     // its work by its client's hint; 0 for none
	deadline        logic.Millis
	clientTimeout   logic.Millis   // from its last byte
	bodyPending     bool           // its last byte has not come
	bodySource      *minRateReader // where the rest comes from
	request         request
	answer          chan answer // holds one: the loop never waits for the client
	answered        bool
	lastLegTimedOut bool // its last leg ran out of time
	outstandingLegs int
	legs            []*leg
	streamedLeg     *leg // whose answer is passed on
	client          *clientConn
	clientGone      atomic.Bool // its client has gone: nothing of it is sent on any more
}

// deserted looks whether anybody waits for the answer. A client's end may stand unread behind its request, in a process
// that stood still or is short of time.
func (x *exchange) abandonedByClient() bool {
	return injectedFault != "deserted" && x != nil && (x.clientGone.Load() || x.client != nil && x.client.peekState() == connEnded)
}

// nobody in an answer's place tells the server that its client has left.
const statusClientLeft = 0

// event is something that sockets tell the loop.
type event interface{ handle(l *loop) }

type (
	arrival    struct{ x *exchange }
	clientLeft struct{ x *exchange }
	legEnded   struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
		fault *legError
	}
	answerStarted struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
	}
	bodyConsumed    struct{ x *exchange }
	requestSent     struct{ x *exchange }
	requestReceived struct { // from the client
		x        *exchange
		deadline logic.Millis
	}
	logView struct{} // what does the module see?
)

// alarm is a timer of the module or, with an exchange, the moment by which that must have its answer.
type timer struct {
	at         logic.Millis
	order      uint64
	id         logic.TimerID
	deadlineOf *exchange
}

type timerHeap []timer

func (a timerHeap) Len() int      { return len(a) }
func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a timerHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a *timerHeap) Push(x any) { *a = append(*a, x.(timer)) }
func (a *timerHeap) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// publishBeat is how old, in milliseconds, what is published may grow while the loop runs.
const publishIntervalMs = 50

// newsMost are lists and changes that wait for the loop at any time.
const maxPendingDiscoveryEvents = 64

// loggedEndpoints bounds the endpoints that one log line names.
const maxLoggedEndpoints = 8

// rememberedIDs are the ids of finished exchanges, by which one that comes again is known.
const maxFinishedIDs = 4096

type loop struct {
	module         *logic.Balancer
	queue          chan event
	started        time.Time
	startedMs      float64
	now            logic.Millis
	grace          logic.Millis // past the abandon time, for a leg's time-out to be heard of first
	timers         timerHeap
	timerOrder     uint64
	exchanges      map[logic.ExchangeID]*exchange
	finishedIDs    map[logic.ExchangeID]bool
	finishedRing   [maxFinishedIDs]logic.ExchangeID
	finishedNext   int
	unanswered     atomic.Int64 // exchanges without an answer
	listLoaded     atomic.Bool
	watchHeard     atomic.Bool // a watch has told a list
	suspended      atomic.Bool // the lease on the list has ended: no attempt begins
	upstream       *upstream
	list           *discoveryClient
	operatorDrains *hands.DrainStore
	messages       messenger // nil for none
	products       []logic.Product
	urgent         struct {
		sync.Mutex
		events []event
		wake   chan struct{}
	}
	discoverySlots chan struct{} // held by what discovery said and is not booked
	suspendedAt    time.Time
	changeCount    atomic.Uint64 // of what is known of endpoints and discovery
	onChange       atomic.Pointer[func()]
	publishedAt    logic.Millis // when the module's view was last left for others to read
	openProbes     int          // that are out
	counters       *Counters
	log            *zap.Logger
	ctx            context.Context
}

// newLoop starts the module, which may ask for timers and the watch at once; the disk's list comes before all else.
func newLoop(ctx context.Context, terms logic.Terms, known *endpointList, up *upstream, list *discoveryClient, drains *hands.DrainStore,
	counters *Counters, log *zap.Logger) *loop {
	l := &loop{
		queue: make(chan event, 4096), started: time.Now(), exchanges: map[logic.ExchangeID]*exchange{},
		finishedIDs: map[logic.ExchangeID]bool{}, upstream: up, list: list, operatorDrains: drains, products: terms.Products, counters: counters, log: log, ctx: ctx,
	}
	l.urgent.wake, l.discoverySlots = make(chan struct{}, 1), make(chan struct{}, maxPendingDiscoveryEvents)
	l.startedMs = float64(l.started.UnixNano()) / 1e6
	l.now = l.clock()
	if known != nil {
		list.version = known.version
		l.queue <- listReceived{endpointList: *known, fromDisk: true}
	}
	l.module = logic.New(terms, l, l.now)
	for _, id := range drains.Drained() {
		operatorDrainChange{logic.EndpointID(id), true}.handle(l)
	}
	drains.OnChange = func(id string, out bool) {
		if out {
			up.setOperatorDrain(logic.EndpointID(id), true) // at once, whatever waits before it in the queue
		}
		l.postUrgent(operatorDrainChange{logic.EndpointID(id), out})
		l.notifySiblings()
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
			l.advanceClock()
			l.runGuarded(exchangeOf(e), func() { e.handle(l) })
		case <-l.urgent.wake:
		case <-wake.C:
		}
		l.handleUrgent()
		l.fireTimers()
		l.trackLease()
		l.publish()
		if len(l.timers) > 0 {
			wake.Reset(max(toDuration(l.timers[0].at-l.clock()), 0))
		}
	}
}

// postFirst hands over what must not wait behind the queue, and never waits itself.
func (l *loop) postUrgent(e event) {
	l.urgent.Lock()
	l.urgent.events = append(l.urgent.events, e)
	l.urgent.Unlock()
	select {
	case l.urgent.wake <- struct{}{}:
	default:
	}
}

// postNews hands over what discovery says, in its order and ahead of the queue: a drain must not wait behind a burst of
// exchanges that would be sent to the endpoint it takes out. So much may wait, then discovery does.
func (l *loop) postDiscovery(e event) {
	select {
	case l.discoverySlots <- struct{}{}:
		l.postUrgent(discoveryEvent{e})
	case <-l.ctx.Done():
	}
}

// told is an event that made others of its kind wait.
type discoveryEvent struct{ event }

func (e discoveryEvent) handle(l *loop) {
	defer func() { <-l.discoverySlots }()
	e.event.handle(l)
}

func (l *loop) handleUrgent() {
	l.urgent.Lock()
	events := l.urgent.events
	l.urgent.events = nil
	l.urgent.Unlock()
	if len(events) > 0 {
		l.advanceClock()
	}
	for _, e := range events {
		l.runGuarded(nil, func() { e.handle(l) })
	}
}

// publish leaves for others what only the module knows.
func (l *loop) publish() {
	if l.now-l.publishedAt >= publishIntervalMs {
		l.publishedAt = l.now
		l.counters.endpointsAvoided.Store(int64(l.module.AvoidedEndpoints()))
		l.logOutage(time.Now())
	}
}

// followLease keeps attempts that are still dialling from beginning while the lease on the list is over, and counts those times.
func (l *loop) trackLease() {
	suspended := l.module.Suspended()
	if l.suspended.Swap(suspended) == suspended {
		return
	}
	if now := time.Now(); suspended {
		l.suspendedAt = now
		l.counters.leaseSuspensions.Add(1)
	} else {
		l.counters.leaseSuspendedMs.Add(now.Sub(l.suspendedAt).Milliseconds())
	}
}

func (l *loop) advanceClock() {
	l.now = l.clock()
	l.module.SetNow(l.now)
}

func (l *loop) fireTimers() {
	l.advanceClock()
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		l.runGuarded(t.deadlineOf, func() {
			if t.deadlineOf == nil {
				l.module.TimerFired(t.id)
			} else {
				l.answerOverdue(t.deadlineOf)
			}
		})
	}
}

func exchangeOf(e event) *exchange {
	switch e := e.(type) {
	case arrival:
		return e.x
	case clientLeft:
		return e.x
	case legEnded:
		return e.x
	case answerStarted:
		return e.x
	}
	return nil
}

// guarded keeps a panic to the exchange that it came with: the others must still get their answers.
func (l *loop) runGuarded(x *exchange, f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			l.counters.panics.Add(1)
			l.log.Error("panic in the loop", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil && !x.answered {
				l.sendAnswer(x, answer{status: http.StatusBadGateway})
				l.runGuarded(nil, func() { l.module.ClientLeft(x.id) })
				l.removeFinished(x)
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

func (e arrival) handle(l *loop) {
	x := e.x
	if before := l.exchanges[x.id]; before != nil && before.abandonedByClient() {
		clientLeft{before}.handle(l) // its connection broke: this is the same request, sent once more
	}
	if l.exchanges[x.id] != nil || l.finishedIDs[x.id] {
		l.counters.badInput.Add(1)
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.counters.exchanges.Add(1)
	l.unanswered.Add(1)
	l.exchanges[x.id] = x
	l.addTimer(timer{at: x.deadline + l.grace, deadlineOf: x})
	l.module.Arrive(x.id, x.product, x.tenant, x.key, x.deadline, x.cost, x.bodyPending)
}

func (e clientLeft) handle(l *loop) {
	if injectedFault == "deserted" {
		e.x.clientGone.Store(false)
		return
	}
	if e.x.answered || l.exchanges[e.x.id] != e.x {
		return
	}
	l.counters.clientsLeft.Add(1)
	l.log.Debug("client left", zap.String("id", string(e.x.id)), zap.Int("attempts_out", e.x.outstandingLegs))
	e.x.clientGone.Store(true)
	e.x.answer <- answer{status: statusClientLeft}
	l.markAnswered(e.x)
	l.module.ClientLeft(e.x.id)
	l.removeFinished(e.x)
}

// overdue answers what is still without an answer when its client gives up, so that none is ever lost. A leg's time-out
// should come first: the module would not learn of it from an exchange that has left.
func (l *loop) answerOverdue(x *exchange) {
	if x.answered {
		return
	}
	if x.bodyPending && x.outstandingLegs > 0 {
		l.addTimer(timer{at: l.now + l.grace + 500, deadlineOf: x}) // its time does not run yet; its pace bounds it
		return
	}
	if l.now < x.deadline+l.grace {
		return // another alarm is set: its time began later than it seemed
	}
	l.counters.overdue.Add(1)
	l.logNotServed(x, "request overdue", logic.LegsFailed)
	l.sendAnswer(x, answer{status: http.StatusGatewayTimeout})
	l.module.ClientLeft(x.id)
	l.removeFinished(x)
}

// hasten has whatever is held answered by the time SIGKILL may come, however much longer its client would wait.
func (l *loop) capDeadlines(by logic.Millis) {
	for _, x := range l.exchanges {
		if !x.answered && !x.bodyPending && x.deadline > by {
			x.deadline = by
			l.addTimer(timer{at: by + l.grace, deadlineOf: x})
		}
	}
}

// legBegan hands a long answer to the client from its first bytes on. The first one wins.
func (e answerStarted) handle(l *loop) {
	x := e.x
	if x.answered || l.exchanges[x.id] != x {
		x.legs[e.n].cancel()
		return
	}
	x.streamedLeg = x.legs[e.n]
	x.streamedLeg.answerStartedAfter = l.now - x.streamedLeg.sentAt
	l.sendAnswer(x, answer{status: http.StatusOK, header: e.reply.header, length: e.reply.length, stream: e.reply.flow})
	l.module.StreamBegan(x.id, e.n)
}

func (e bodyConsumed) handle(l *loop) {
	if l.exchanges[e.x.id] == e.x {
		l.module.BodyDiscarded(e.x.id)
	}
}

func (e requestReceived) handle(l *loop) {
	if x := e.x; l.exchanges[x.id] == x && x.bodyPending {
		x.bodyPending, x.deadline = false, e.deadline
		l.addTimer(timer{at: x.deadline + l.grace, deadlineOf: x})
	}
}

func (e requestSent) handle(l *loop) {
	if x := e.x; l.exchanges[x.id] == x {
		for _, g := range x.legs {
			if !g.reported {
				g.sentAt = l.now
			}
		}
		l.module.BodyComplete(x.id, x.deadline)
	}
}

func (e legEnded) handle(l *loop) {
	x, g, outcome := e.x, e.x.legs[e.n], logic.Succeeded
	if g.reported {
		return
	}
	g.reported = true
	x.outstandingLegs--
	defer l.removeFinished(x)
	if e.fault != nil {
		outcome, g.neverRan = e.fault.outcome, e.fault.stage <= writing || e.fault.outcome == logic.Full
	}
	if line := l.log.Check(zap.DebugLevel, "leg"); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.Int("attempt", int(e.n)), zap.String("outcome", outcomeNames[outcome]),
			zap.NamedError("fault", errorOf(e.fault)), zap.String("addr", g.addr), zap.Int("product", int(x.product)),
			zap.Float64("took_ms", float64(l.now-g.sentAt)))
	}
	l.counters.legsByOutcome[outcome].Add(1)
	x.lastLegTimedOut = outcome == logic.TimedOut
	if outcome == logic.Succeeded && !x.answered {
		l.sendAnswer(x, answer{status: http.StatusOK, header: e.reply.header, body: e.reply.body})
	}
	took := l.now - g.sentAt
	if x.bodyPending {
		took = 0 // the client's time, not the endpoint's
	}
	if g == x.streamedLeg {
		took = g.answerStartedAfter
	}
	l.module.LegEnded(x.id, e.n, outcome, took, x.answered && (x.streamedLeg == nil || x.streamedLeg == g))
}

// faultOf keeps a missing fault from becoming an error that holds nothing.
func errorOf(e *legError) error {
	if e == nil {
		return nil
	}
	return e
}

func (logView) handle(l *loop) { l.log.Debug("view", zap.Any("of", l.module.View())) }

// ---- what the module asks for

// Send starts a leg; whatever becomes of it, one legOver comes back.
func (l *loop) Send(id logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	x := l.exchanges[id]
	if x == nil {
		return
	}
	l.trackLease()
	remaining := x.deadline - l.now
	if giveUpAfter == 0 || giveUpAfter > remaining {
		giveUpAfter = remaining
	}
	g := &leg{sentAt: l.now, deadline: time.Now().Add(toDuration(giveUpAfter)), request: &x.request, endpoint: l.upstream.find(to)}
	l.setLegBounds(x, g)
	g.exchange, g.leaseEnded = x, &l.suspended
	g.ctx, g.cancel = context.WithCancel(l.ctx)
	n := logic.LegNo(len(x.legs))
	x.legs = append(x.legs, g)
	x.outstandingLegs++
	if line := l.log.Check(zap.DebugLevel, "attempt begins"); line != nil {
		line.Write(zap.String("id", string(id)), zap.Int("attempt", int(n)), zap.Int("others_out", x.outstandingLegs-1), zap.String("endpoint", string(to)),
			zap.Float64("gives_up_after_ms", float64(giveUpAfter)), zap.Float64("left_ms", float64(remaining)))
	}
	over := legEnded{x: x, n: n}
	g.onAnswerStart = func(r *reply) { l.post(answerStarted{x, n, r}) }
	g.onUnrepeatable, g.onRequestWritten = func() { l.post(bodyConsumed{x}) }, func() { l.post(requestSent{x}) }
	if g.endpoint == nil || x.answered {
		over.fault = &legError{outcome: logic.NotSent}
	} else {
		g.endpoint.mu.Lock()
		g.addr, g.locality = g.endpoint.addr, g.endpoint.locality
		g.endpoint.mu.Unlock()
	}
	go func() {
		defer g.cancel()
		defer func() {
			if fault := recover(); fault != nil {
				l.counters.panics.Add(1)
				l.log.Error("panic in a leg", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
				over.reply, over.fault = nil, &legError{stage: written, outcome: logic.Reset}
			}
			if over.fault != nil && over.fault.cause == errClientGone {
				l.post(clientLeft{x})
			}
			l.post(over)
		}()
		if over.fault == nil {
			over.reply, over.fault = l.upstream.run(g)
		}
	}()
}

// schedule tells a leg when its answer is passed on at the latest, and whether a pause in it may be used for another leg.
func (l *loop) setLegBounds(x *exchange, g *leg) {
	if x.product < 0 || int(x.product) >= len(l.products) {
		g.waitsThroughPauses = true
		return
	}
	p := l.products[x.product]
	g.localityBound = p.Bound()
	g.waitsThroughPauses = p.Effect == logic.SingleUse
	if p.Effect == logic.Deduplicated && p.DedupMemory > 0 {
		for _, earlier := range x.legs { // the first that may have run
			if !earlier.neverRan {
				g.latestStart = l.started.Add(toDuration(earlier.sentAt - logic.Millis(l.startedMs) + p.DedupMemory*repeatWindowShare))
				break
			}
		}
	}
	if p.Expected > 0 {
		g.forwardFrom = time.Now().Add(toDuration(p.Expected * streamAfterShare))
	}
}

func (l *loop) Cancel(id logic.ExchangeID, n logic.LegNo) {
	if x := l.exchanges[id]; x != nil && int(n) < len(x.legs) {
		x.legs[n].cancel()
	}
}

func (l *loop) Shed(id logic.ExchangeID, why logic.Reason, comeBackAfter logic.Millis) {
	if x := l.exchanges[id]; x != nil && !x.answered {
		l.counters.givenUpByReason[why].Add(1)
		l.logNotServed(x, "request refused", why)
		l.sendAnswer(x, answer{status: http.StatusServiceUnavailable, retryAfter: comeBackAfter})
		l.removeFinished(x)
	}
}

func (l *loop) Fail(id logic.ExchangeID, why logic.Reason) {
	if x := l.exchanges[id]; x != nil && !x.answered {
		l.counters.givenUpByReason[why].Add(1)
		l.logNotServed(x, "request failed", why)
		status := http.StatusBadGateway
		if x.lastLegTimedOut {
			status = http.StatusGatewayTimeout
		}
		l.sendAnswer(x, answer{status: status})
		l.removeFinished(x)
	}
}

// logGivenUp tells at debug level why a request gets no endpoint's answer.
func (l *loop) logNotServed(x *exchange, message string, reason logic.Reason) {
	if line := l.log.Check(zap.DebugLevel, message); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.String("reason", reasonNames[reason]), zap.Int("attempts", len(x.legs)),
			zap.Float64("left_ms", float64(x.deadline-l.now)))
	}
}

func (l *loop) SetTimer(after logic.Millis, t logic.TimerID) {
	l.addTimer(timer{at: l.now + after, id: t})
}

func (l *loop) Watch() {
	maxOpenCalls := logic.MaxOpenCalls
	if l.module != nil && l.module.Suspended() { // it calls first while it starts
		maxOpenCalls = logic.MaxOpenCallsSuspended
	}
	if !l.list.startCall(l.ctx, maxOpenCalls, l.postDiscovery) {
		return
	}
	now, further := time.Now(), l.list.openCallCount() > 1
	l.list.outage.begin(now)
	l.list.outage.recordCall(now, further)
	l.counters.listCalls.Add(1)
	if further {
		l.counters.parallelListCalls.Add(1)
	}
	l.log.Debug("discovery is called", zap.String("addr", l.list.addr), zap.Int("call", l.list.lastCall), zap.Int64("after", l.list.version))
}

func (l *loop) Note(line string) { l.log.Info(line) }

// ---- its own books

func (l *loop) addTimer(a timer) {
	if math.IsNaN(float64(a.at)) {
		return
	}
	l.timerOrder++
	a.order = l.timerOrder
	heap.Push(&l.timers, a)
}

// reply gives the one answer that an exchange gets.
func (l *loop) sendAnswer(x *exchange, a answer) {
	if x.answered {
		return
	}
	switch {
	case a.status == http.StatusOK:
		l.counters.succeeded.Add(1)
	case a.status == http.StatusServiceUnavailable:
		l.counters.shed.Add(1)
	default:
		l.counters.failed.Add(1)
	}
	l.markAnswered(x) // before the answer is on its way: from then on no attempt may begin for it
	x.answer <- a
}

func (l *loop) markAnswered(x *exchange) {
	x.answered = true
	l.unanswered.Add(-1)
	for _, g := range x.legs {
		g.preventStart()
	}
}

// forget lets go of what is answered and has no leg out, but remembers its id.
func (l *loop) removeFinished(x *exchange) {
	if !x.answered || x.outstandingLegs > 0 || l.exchanges[x.id] != x {
		return
	}
	delete(l.exchanges, x.id)
	ran := slices.ContainsFunc(x.legs, func(g *leg) bool { return !g.neverRan })
	x.request, x.legs = request{}, nil // the alarm of its abandon time keeps x, and would keep the body as long
	if x.clientGone.Load() && !ran {
		return // nothing of it was ever sent: should its client come again on a new connection, that is the first time
	}
	delete(l.finishedIDs, l.finishedRing[l.finishedNext])
	l.finishedRing[l.finishedNext] = x.id
	l.finishedIDs[x.id] = true
	l.finishedNext = (l.finishedNext + 1) % maxFinishedIDs
}
