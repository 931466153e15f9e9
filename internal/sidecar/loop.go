// Package sidecar runs the load balancer as a process beside its application: it takes clients' requests over HTTP, sends
// them to endpoints as the module (package logic) decides, and answers each request once.
package sidecar

// This file holds the event loop: one goroutine that owns the module, its clock and its timers. Goroutines that serve
// sockets reach it only through its queues. The loop must never wait for a socket, and it decides nothing: it passes
// events to the module and carries out what the module asks for.

import (
	"container/heap"
	"context"
	"errors"
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

// answer is the final answer to a client.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter logic.Millis
	length     int64     // bytes in stream; below 0 if unknown
	stream     *bodyPipe // in place of body, for an answer that is passed on while it arrives
}

// exchange is one client request in progress. Once it is queued, all fields but answer and the atomic ones belong to the
// loop; the goroutine that serves the client's connection receives from answer.
type exchange struct {
	id              logic.ExchangeID
	product         logic.ProductID
	tenant          logic.TenantID
	key             logic.KeyID    // key of what the request is about, as its client states it; 0 for none
	cost            float64        // work that the request causes, by its client's hint; 0 for none
	deadline        answerDeadline // not owned by the loop: any goroutine may read it
	bodyPending     bool           // the request's last byte has not been read
	bodySource      *minRateReader // where the rest of a streamed request is read from
	request         request
	gate            commitGate   // not owned by the loop
	memory          *reservation // not owned by the loop; nil for no limit
	answer          chan answer  // buffered for the one answer, so that the loop never waits for the client
	answered        bool
	lastLegTimedOut bool // the last leg to end had timed out
	outstandingLegs int
	legs            []*leg
	streamedLeg     *leg // the leg whose answer is passed on while it arrives
	client          *clientConn
	clientGone      atomic.Bool   // the client has left: nothing more is sent to endpoints for it
	claim           exchangeClaim // not owned by the loop
}

// statusClientLeft in place of an HTTP status tells the client's handler that its client has left.
const statusClientLeft = 0

// event is something that is handled in the loop's goroutine.
type event interface{ handle(l *loop) }

type (
	// arrival is a new exchange.
	arrival struct{ x *exchange }
	// clientLeft says that the client closed its connection before its answer. It also ends an exchange whose request broke
	// off or whose handler panicked.
	clientLeft struct {
		x            *exchange
		handlerEnded bool // the handler of the client's request has ended: nobody takes its answer any more
	}
	// legEnded says that a leg is over, with its answer or its error.
	legEnded struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
		fault *legError
	}
	// answerStarted says that a leg's answer is to be passed on to the client while it arrives.
	answerStarted struct {
		x     *exchange
		n     logic.LegNo
		reply *reply
	}
	// answerStalled says that a leg's answer has begun and pauses.
	answerStalled struct {
		x *exchange
		n logic.LegNo
	}
	// bodyConsumed says that part of a streamed request has been passed on: the request can't be sent again.
	bodyConsumed struct{ x *exchange }
	// requestSent says that the last byte of a streamed request has been written to its endpoint.
	requestSent struct{ x *exchange }
	// requestReceived says that the last byte of a streamed request has been read from its client.
	requestReceived struct{ x *exchange }
	// logView asks for the module's view to be logged.
	logView struct{}
)

// timer is a timer of the module or, if deadlineOf is not empty, the time by which that exchange must be answered.
type timer struct {
	at         logic.Millis
	order      uint64 // orders timers that fire at the same time
	id         logic.TimerID
	deadlineOf logic.ExchangeID // an id and not the exchange, which would be kept in memory as long, with its client's connection
}

// timerHeap implements heap.Interface; the next timer to fire comes first.
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

// publishIntervalMs is the least time between two publications of the module's figures while the loop runs.
const publishIntervalMs = 50

// pendingCheckIntervalMs is the time between two checks of an exchange whose request has not arrived whole.
const pendingCheckIntervalMs = 200

// maxPendingDiscoveryEvents bounds the lists and changes from discovery that wait for the loop.
const maxPendingDiscoveryEvents = 64

// maxLoggedEndpoints bounds the endpoints that are named in one log line.
const maxLoggedEndpoints = 8

// maxFinishedIDs bounds the ids of finished exchanges that are kept to recognise repeated requests.
const maxFinishedIDs = 4096

// loop passes events to the module and carries out its decisions. It implements logic.Outgoing.
type loop struct {
	module         *logic.Balancer
	queue          chan event
	started        time.Time
	startedMs      float64 // Unix time of started
	now            logic.Millis
	grace          logic.Millis // wait beyond an exchange's deadline, so that its leg's time-out is handled first
	timers         timerHeap
	timerOrder     uint64
	exchanges      map[logic.ExchangeID]*exchange
	finishedIDs    map[logic.ExchangeID]bool
	finishedRing   [maxFinishedIDs]logic.ExchangeID // the ids in finishedIDs, in the order in which they were added
	finishedNext   int                              // position in finishedRing of the oldest id, the next to be replaced
	unanswered     atomic.Int64                     // exchanges without an answer
	listLoaded     atomic.Bool                      // a list of endpoints is known, from discovery, the start file or another process
	watchHeard     atomic.Bool                      // a watch has delivered a list
	suspended      atomic.Bool                      // the lease on the list has expired: no leg may start
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
	discoverySlots chan struct{} // one element for each event from discovery that is not handled yet
	suspendedAt    time.Time
	changeCount    atomic.Uint64 // changes to what is known of endpoints and discovery
	onChange       atomic.Pointer[func()]
	claims         atomic.Pointer[processGroup] // processes among which ids of requests are claimed; nil if there can be no other
	publishedAt    logic.Millis                 // when the module's figures were last published
	openProbes     int                          // probes without a result yet
	counters       *Counters
	log            *zap.Logger
	ctx            context.Context
}

// newLoop starts the module, which may ask for timers and for the watch at once. The list known at the start (of the start
// file or of the process before this one), if any, is queued before any other event.
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
			up.setOperatorDrain(logic.EndpointID(id), true) // takes effect at once, whatever is queued before the event
		}
		l.postUrgent(operatorDrainChange{logic.EndpointID(id), out})
		l.notifySiblings()
	}
	return l
}

// clock returns the Unix time at the start plus the monotonic time since, so that a step of the system clock moves no
// timer.
func (l *loop) clock() logic.Millis { return l.at(time.Now()) }

// at converts t to the loop's time.
func (l *loop) at(t time.Time) logic.Millis {
	return logic.Millis(l.startedMs + float64(t.Sub(l.started))/float64(time.Millisecond))
}

// run handles events and timers until the loop's context ends.
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

// postUrgent posts an event that is handled before what waits in the queue. It never blocks.
func (l *loop) postUrgent(e event) {
	l.urgent.Lock()
	l.urgent.events = append(l.urgent.events, e)
	l.urgent.Unlock()
	select {
	case l.urgent.wake <- struct{}{}:
	default:
	}
}

// postDiscovery posts an event from discovery, in order and ahead of the queue: a drain must not wait behind a burst of
// exchanges that would be sent to the draining endpoint. While maxPendingDiscoveryEvents are waiting it blocks.
func (l *loop) postDiscovery(e event) {
	select {
	case l.discoverySlots <- struct{}{}:
		l.postUrgent(discoveryEvent{e})
	case <-l.ctx.Done():
	}
}

// discoveryEvent is an event that occupies one of the discovery slots until it is handled.
type discoveryEvent struct{ event }

func (e discoveryEvent) handle(l *loop) {
	defer func() { <-l.discoverySlots }()
	e.event.handle(l)
}

// handleUrgent handles all events that postUrgent has queued.
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

// publish copies figures that only the module knows to where other goroutines read them.
func (l *loop) publish() {
	if l.now-l.publishedAt >= publishIntervalMs {
		l.publishedAt = l.now
		l.counters.endpointsAvoided.Store(int64(l.module.AvoidedEndpoints()))
		l.logOutage(time.Now())
	}
}

// trackLease follows whether the lease on the list has expired: while it has, legs that are still dialling must not start.
// It counts these suspensions and their time.
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

// advanceClock sets the time of the loop and of the module to now.
func (l *loop) advanceClock() {
	l.now = l.clock()
	l.module.SetNow(l.now)
}

// fireTimers handles all timers that are due.
func (l *loop) fireTimers() {
	l.advanceClock()
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		x := l.exchanges[t.deadlineOf]
		if x == nil && t.deadlineOf != "" {
			continue // it has its answer
		}
		l.runGuarded(x, func() {
			if x == nil {
				l.module.TimerFired(t.id)
			} else {
				l.answerOverdue(x)
			}
		})
	}
}

// exchangeOf returns the exchange that a panic in handling e would concern, nil for none.
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

// runGuarded runs f and recovers from a panic in it. Only exchange x, if any, is then failed; the others must still get
// their answers.
func (l *loop) runGuarded(x *exchange, f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			l.counters.panics.Add(1)
			l.log.Error("panic in the event loop; the exchange of this event, if any, fails", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil && !x.answered {
				l.sendAnswer(x, answer{status: http.StatusBadGateway})
				l.runGuarded(nil, func() { l.module.ClientLeft(x.id) })
				l.removeFinished(x)
			}
		}
	}()
	f()
}

// post queues an event for the loop. After the loop's end it drops the event instead of blocking.
func (l *loop) post(e event) {
	select {
	case l.queue <- e:
	case <-l.ctx.Done():
	}
}

// ---- events

// handle takes a new exchange, or answers 409 if its id is that of another exchange in progress or finished recently.
func (e arrival) handle(l *loop) {
	x := e.x
	if before := l.exchanges[x.id]; before != nil && before.abandonedByClient() {
		clientLeft{x: before}.handle(l) // the first connection broke, and the client sends the same request again
	}
	if l.exchanges[x.id] != nil || l.finishedIDs[x.id] {
		l.counters.badInput.Add(1)
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.counters.exchanges.Add(1)
	l.unanswered.Add(1)
	l.exchanges[x.id] = x
	l.addDeadlineTimer(x)
	if p := l.productOf(x); p != nil && p.Effect == logic.Deduplicated {
		x.gate.setRepeatWindow(toDuration(p.DedupMemory))
	}
	l.module.Arrive(x.id, x.product, x.tenant, x.key, l.deadlineOf(x), x.cost, x.bodyPending)
}

// handle ends an exchange that is not answered yet. Its legs that have not started are not sent.
func (e clientLeft) handle(l *loop) {
	if injectedFault == "deserted" {
		e.x.clientGone.Store(false)
		return
	}
	if e.handlerEnded {
		defer e.x.discardAnswer()
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

// discardAnswer drops an answer that was sent to a handler which has ended. The leg that streams it would wait for its reader.
func (x *exchange) discardAnswer() {
	select {
	case a := <-x.answer:
		if a.stream != nil {
			a.stream.discard()
		}
	default:
	}
}

// answerOverdue answers an exchange that has no answer when its client gives up, so that no exchange is ever lost. It runs
// after the grace, so that a leg's time-out is normally handled first: after ClientLeft the module would not learn of it
// any more.
func (l *loop) answerOverdue(x *exchange) {
	if x.answered {
		return
	}
	if x.bodyPending && x.outstandingLegs > 0 {
		x.deadline.setReceived(x.lastByteNotBefore(time.Now())) // its client may still be writing
	}
	if deadline := l.deadlineOf(x); l.now < deadline+l.grace {
		if x.bodyPending { // otherwise a later timer was set when the request's last byte arrived
			l.addTimer(timer{at: min(l.now+pendingCheckIntervalMs, deadline) + l.grace, deadlineOf: x.id})
		}
		return
	}
	l.counters.overdue.Add(1)
	l.logNotServed(x, "request overdue", logic.LegsFailed)
	l.sendAnswer(x, answer{status: http.StatusGatewayTimeout})
	l.module.ClientLeft(x.id)
	l.removeFinished(x)
}

// deadlineOf returns x's deadline as the loop's time.
func (l *loop) deadlineOf(x *exchange) logic.Millis { return l.at(x.deadline.by()) }

// addDeadlineTimer has x answered at its deadline if it has no answer by then.
func (l *loop) addDeadlineTimer(x *exchange) {
	l.addTimer(timer{at: l.deadlineOf(x) + l.grace, deadlineOf: x.id})
}

// addShutdownTimers has all exchanges answered when SIGKILL may come, however long their clients would wait, and whether or
// not their requests have arrived whole. It is called once the end of the process is known to their deadlines.
func (l *loop) addShutdownTimers() {
	for _, x := range l.exchanges {
		if end, ending := x.deadline.shutdown(); ending && !x.answered {
			l.addTimer(timer{at: l.at(end) + l.grace, deadlineOf: x.id})
		}
	}
}

// handle starts to pass on a long answer to the client. The first leg that gets this far wins; the others are cancelled.
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

func (e answerStalled) handle(l *loop) {
	if l.exchanges[e.x.id] != e.x || e.x.legs[e.n].reported {
		return
	}
	l.counters.answersStalled.Add(1)
	l.log.Debug("answer pauses", zap.String("id", string(e.x.id)), zap.Int("attempt", int(e.n)), zap.String("addr", e.x.legs[e.n].addr))
	l.module.LegStalled(e.x.id, e.n)
}

func (e bodyConsumed) handle(l *loop) {
	if l.exchanges[e.x.id] == e.x {
		l.module.BodyDiscarded(e.x.id)
	}
}

// handle starts the exchange's deadline, which counts from the request's last byte.
func (e requestReceived) handle(l *loop) {
	if x := e.x; l.exchanges[x.id] == x && x.bodyPending {
		x.bodyPending = false
		l.addDeadlineTimer(x)
	}
}

// handle restarts the time of the exchange's leg: the endpoint's latency counts from the request's last byte.
func (e requestSent) handle(l *loop) {
	if x := e.x; l.exchanges[x.id] == x {
		for _, g := range x.legs {
			if !g.reported {
				g.sentAt = l.now
			}
		}
		l.module.BodyComplete(x.id, l.deadlineOf(x))
	}
}

// handle passes a leg's outcome to the module, and the first successful answer to the client.
func (e legEnded) handle(l *loop) {
	x, g, outcome := e.x, e.x.legs[e.n], logic.Succeeded
	if g.reported {
		return
	}
	g.reported = true
	x.outstandingLegs--
	defer l.removeFinished(x)
	if e.fault != nil {
		outcome, g.neverRan = e.fault.outcome, e.fault.neverRan()
	}
	if line := l.log.Check(zap.DebugLevel, "leg"); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.Int("attempt", int(e.n)), zap.String("outcome", outcomeNames[outcome]),
			zap.NamedError("fault", errorOf(e.fault)), zap.String("addr", g.addr), zap.Int("product", int(x.product)),
			zap.Float64("took_ms", float64(l.now-g.sentAt)))
	}
	l.counters.legsByOutcome[outcome].Add(1)
	if errors.Is(errorOf(e.fault), errRepeatWindowOver) {
		l.counters.repeatsExpired.Add(1)
	}
	x.lastLegTimedOut = outcome == logic.TimedOut
	if outcome == logic.Succeeded && !x.answered {
		l.sendAnswer(x, answer{status: http.StatusOK, header: e.reply.header, body: e.reply.body})
	}
	took := l.now - g.sentAt
	if x.bodyPending {
		took = 0 // the request is still arriving: the time is the client's, not the endpoint's
	}
	if g == x.streamedLeg {
		took = g.answerStartedAfter
	}
	l.module.LegEnded(x.id, e.n, outcome, took, x.answered && (x.streamedLeg == nil || x.streamedLeg == g))
}

// errorOf converts e to an error. A nil *legError becomes a nil error, not an interface that holds a nil pointer.
func errorOf(e *legError) error {
	if e == nil {
		return nil
	}
	return e
}

func (logView) handle(l *loop) { l.log.Debug("view", zap.Any("of", l.module.View())) }

// ---- requests of the module (logic.Outgoing)

// Send starts a leg. However the leg ends, exactly one legEnded is posted for it.
func (l *loop) Send(id logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	x := l.exchanges[id]
	if x == nil {
		return
	}
	l.trackLease()
	remaining := l.deadlineOf(x) - l.now
	if giveUpAfter == 0 || giveUpAfter > remaining {
		giveUpAfter = remaining
	}
	g := &leg{sentAt: l.now, deadline: time.Now().Add(toDuration(giveUpAfter)), request: &x.request, endpoint: l.upstream.find(to)}
	l.setLegBounds(x, g)
	g.exchange, g.leaseEnded = x, &l.suspended
	g.ctx, g.cancelCause = context.WithCancelCause(l.ctx)
	x.gate.add(g)
	n := logic.LegNo(len(x.legs))
	if n > 0 {
		x.memory.grow(attemptBytes) // the request has reserved that of its first attempt
	}
	x.legs = append(x.legs, g)
	x.outstandingLegs++
	if line := l.log.Check(zap.DebugLevel, "leg starts"); line != nil {
		line.Write(zap.String("id", string(id)), zap.Int("attempt", int(n)), zap.Int("others_out", x.outstandingLegs-1), zap.String("endpoint", string(to)),
			zap.Float64("gives_up_after_ms", float64(giveUpAfter)), zap.Float64("left_ms", float64(remaining)))
	}
	over := legEnded{x: x, n: n}
	g.onAnswerStart = func(r *reply) { l.post(answerStarted{x, n, r}) }
	if claims := l.claims.Load(); claims != nil {
		g.claim = func() bool { return x.claim.win(claims, string(id)) }
	}
	g.onAnswerStall = func() { l.post(answerStalled{x, n}) }
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
				l.log.Error("panic in a leg; it counts as reset by the endpoint", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
				over.reply, over.fault = nil, &legError{stage: written, outcome: logic.Reset}
			}
			if over.fault != nil && over.fault.cause == errClientGone {
				l.post(clientLeft{x: x})
			}
			if over.fault != nil && over.fault.cause == errClaimedElsewhere {
				l.post(claimLost{x: x})
			}
			x.gate.end(g, over.fault)
			l.post(over)
		}()
		if over.fault == nil {
			over.reply, over.fault = l.upstream.run(g)
		}
	}()
}

// productOf returns an exchange's product; nil for an unknown one.
func (l *loop) productOf(x *exchange) *logic.Product {
	if x.product < 0 || int(x.product) >= len(l.products) {
		return nil
	}
	return &l.products[x.product]
}

// setLegBounds sets what a leg has to keep to by its exchange's product: whether its endpoint's locality matters, and the time
// from which an answer of unknown length is passed on while it arrives.
func (l *loop) setLegBounds(x *exchange, g *leg) {
	g.forwardFrom = time.Now().Add(time.Until(g.deadline) / 2)
	p := l.productOf(x)
	if p == nil {
		return
	}
	// Endpoints outside one zone or cell may know nothing of a request that ran there.
	g.localityBound = p.Bound() || p.Effect == logic.Deduplicated && p.Group != logic.AllEndpoints
	if p.Expected > 0 {
		g.forwardFrom = time.Now().Add(toDuration(p.Expected * streamAfterShare))
	}
}

// Cancel cancels a leg.
func (l *loop) Cancel(id logic.ExchangeID, n logic.LegNo) {
	if x := l.exchanges[id]; x != nil && int(n) < len(x.legs) {
		x.legs[n].cancel()
	}
}

// Shed answers an exchange as shed: refused, with the promise that nothing ran, and a time after which to retry.
func (l *loop) Shed(id logic.ExchangeID, why logic.Reason, comeBackAfter logic.Millis) {
	if x := l.exchanges[id]; x != nil && !x.answered {
		l.counters.givenUpByReason[why].Add(1)
		l.logNotServed(x, "request refused", why)
		l.sendAnswer(x, answer{status: http.StatusServiceUnavailable, retryAfter: comeBackAfter})
		l.removeFinished(x)
	}
}

// Fail answers an exchange as failed: 504 if its last leg timed out, 502 otherwise.
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

// logNotServed logs at debug level why a request gets no endpoint's answer.
func (l *loop) logNotServed(x *exchange, message string, reason logic.Reason) {
	if line := l.log.Check(zap.DebugLevel, message); line != nil {
		line.Write(zap.String("id", string(x.id)), zap.String("reason", reasonNames[reason]), zap.Int("attempts", len(x.legs)),
			zap.Float64("left_ms", float64(l.deadlineOf(x)-l.now)))
	}
}

// SetTimer sets a timer of the module.
func (l *loop) SetTimer(after logic.Millis, t logic.TimerID) {
	l.addTimer(timer{at: l.now + after, id: t})
}

// Watch calls discovery for the list.
func (l *loop) Watch() {
	maxOpenCalls := logic.MaxOpenCalls
	if l.module != nil && l.module.Suspended() { // module is nil when logic.New makes the first call
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
	l.log.Debug("calling discovery for the list", zap.String("addr", l.list.addr), zap.Int("call", l.list.lastCall), zap.Int64("after", l.list.version))
}

// Note logs a line of the module.
func (l *loop) Note(line string) { l.log.Info(line) }

// ---- timers and exchanges

// addTimer sets a timer. A time that is not a number is ignored.
func (l *loop) addTimer(a timer) {
	if math.IsNaN(float64(a.at)) {
		return
	}
	l.timerOrder++
	a.order = l.timerOrder
	heap.Push(&l.timers, a)
}

// sendAnswer sends and counts an exchange's answer, unless the exchange is answered already.
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
	l.markAnswered(x) // before the answer is sent: from then on no leg may start for the exchange
	x.answer <- a
}

// markAnswered marks an exchange as answered and keeps its legs that were not sent whole from being completed.
func (l *loop) markAnswered(x *exchange) {
	x.answered = true
	l.unanswered.Add(-1)
	x.gate.close()
}

// removeFinished releases an exchange that is answered and has no outstanding leg. Its id is kept, so that a repeated
// request is recognised.
func (l *loop) removeFinished(x *exchange) {
	if !x.answered || x.outstandingLegs > 0 || l.exchanges[x.id] != x {
		return
	}
	delete(l.exchanges, x.id)
	ran := slices.ContainsFunc(x.legs, func(g *leg) bool { return !g.neverRan })
	x.request, x.legs = request{}, nil // the handler still refers to x and would keep the body as long
	if x.clientGone.Load() && !ran {
		if claims := l.claims.Load(); claims != nil && x.claim.made.Load() {
			go claims.releaseClaim(string(x.id))
		}
		return // nothing was ever sent to an endpoint: if its client repeats it on a new connection, it is served as new
	}
	delete(l.finishedIDs, l.finishedRing[l.finishedNext])
	l.finishedRing[l.finishedNext] = x.id
	l.finishedIDs[x.id] = true
	l.finishedNext = (l.finishedNext + 1) % maxFinishedIDs
}
