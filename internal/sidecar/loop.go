// Package sidecar runs the load balancer as a process beside its application: it takes clients' requests over HTTP, sends
// them to endpoints as the module (package logic) decides, and answers each request once.
package sidecar

// This file holds the event loop: one goroutine that owns the module, its clock and its timers. Goroutines that serve
// sockets reach it only through its queues. The loop must never wait for a socket, and it decides nothing: it passes
// events to the module and carries out what the module asks for.

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
