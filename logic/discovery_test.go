package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// callResult is the result of a call to discovery: it is answered with a list or fails, duration milliseconds after its start.
type callResult struct {
	name     string
	duration Millis
	answered bool
}

var (
	refusedCall    = callResult{name: "refused", duration: 2}
	truncatedCall  = callResult{name: "truncated list", duration: 600}
	unansweredCall = callResult{name: "not answered", duration: 4000}
	answeredCall   = callResult{name: "answered", duration: 250, answered: true}
)

// discoveryStub simulates the discovery service of one module.
type discoveryStub struct {
	Outgoing
	eventQueue
	b             *Balancer
	results       []callResult // of the next calls; all later calls are answered
	callTimes     []Millis
	configVersion int    // a call's result is ignored if the configuration has changed since the call was made
	receivedAt    Millis // when the list was received; -1 for not yet
}

func newDiscoveryStub(t Terms) *discoveryStub {
	s := &discoveryStub{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}, receivedAt: -1}
	t.PullList, t.Notified = true, NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}
	t.MaxListWait = 1200
	s.b = New(t, s, s.now)
	return s
}

func (s *discoveryStub) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		s.schedule(after, func() {
			s.b.SetNow(s.now)
			s.b.TimerFired(1)
		})
	}
}

func (s *discoveryStub) Watch() {
	result, configVersion := answeredCall, s.configVersion
	if len(s.results) > 0 {
		result, s.results = s.results[0], s.results[1:]
	}
	s.callTimes = append(s.callTimes, s.now)
	s.schedule(result.duration, func() {
		s.b.SetNow(s.now)
		switch {
		case configVersion != s.configVersion || s.receivedAt >= 0:
		case result.answered:
			s.receivedAt = s.now
			s.b.ListEnds(false)
			s.b.ListReceived(result.duration)
		default:
			s.b.ListCallFailed()
		}
	})
}

func (s *discoveryStub) simulateUntil(end Millis) {
	s.eventQueue.runUntil(end)
	s.b.SetNow(s.now)
}

// startEvent begins a new event, after which the next calls have the given results, and returns its time.
func (s *discoveryStub) startEvent(results []callResult) Millis {
	s.results, s.receivedAt, s.callTimes = results, -1, nil
	return s.now
}

// A whole list is received before a change counts as notified, whatever the results of the first three calls and the size of the
// fleet: 4 s after a new configuration and 6 s after discovery could be reached. Several bounds may apply at once.
func TestListIsReceivedBeforeTheNotificationDeadline(t *testing.T) {
	kinds := []callResult{refusedCall, truncatedCall, unansweredCall}
	var orders [][]callResult
	for n := range 27 {
		orders = append(orders, []callResult{kinds[n%3], kinds[n/3%3], kinds[n/9]})
	}
	down := make([]callResult, 5000)
	for n := range down {
		down[n] = refusedCall
	}
	for _, fleet := range []int{1, 2, 6, 30, 350, 1024} {
		for _, askWithin := range []Millis{100, 1000, 10000, 60000} {
			for n, order := range orders {
				name := fmt.Sprintf("fleet of %d, asked within %v, %s, %s, %s", fleet, askWithin, order[0].name, order[1].name, order[2].name)
				started := func() *discoveryStub {
					stub := newDiscoveryStub(Terms{Seed: uint64(n), Fleet: fleet, AskWithin: askWithin, HasList: n%2 == 0})
					stub.simulateUntil(20000)
					assert.NotEqual(t, Millis(-1), stub.receivedAt, "at the start")
					return stub
				}
				assertReceived := func(stub *discoveryStub, event string, from, bound Millis) {
					stub.simulateUntil(from + 15000)
					if assert.NotEqual(t, Millis(-1), stub.receivedAt, "%s, %s", event, name) {
						assert.LessOrEqual(t, stub.receivedAt-from, bound, "%s, %s: calls at %v", event, name, stub.callTimes)
					}
				}

				stub := started()
				from := stub.startEvent(order)
				stub.configVersion++
				stub.b.DiscoveryMoved()
				assertReceived(stub, "a new configuration", from, 4000)

				stub = started()
				from = stub.startEvent(order)
				stub.b.WatchEnded(0, false)
				assertReceived(stub, "a watch that ended", from, 6000)

				stub = started()
				from = stub.startEvent(order)
				stub.b.WatchEnded(2500, false)
				assertReceived(stub, "a watch that went silent", from-2500, 6000)

				stub = started()
				stub.startEvent(down)
				stub.b.WatchEnded(0, false)
				stub.simulateUntil(stub.now + 9000 + Millis(37*n))
				from = stub.startEvent(order)
				assertReceived(stub, "discovery back after an outage", from, 6000)

				stub = started()
				stub.startEvent(down)
				stub.b.WatchEnded(0, false)
				stub.simulateUntil(stub.now + 9000 + Millis(37*n))
				from = stub.startEvent(order)
				stub.configVersion++
				stub.b.DiscoveryMoved()
				assertReceived(stub, "a new configuration while discovery is down", from, 4000)

				stub = started()
				stub.startEvent([]callResult{unansweredCall, unansweredCall, unansweredCall, unansweredCall})
				for range 4 {
					stub.configVersion++
					stub.b.DiscoveryMoved()
					stub.simulateUntil(stub.now + 350)
				}
				from = stub.startEvent(order[:2])
				stub.configVersion++
				stub.b.DiscoveryMoved()
				assertReceived(stub, "a series of new configurations", from, 4000)
			}
		}
	}
}

// A continuous stream of new configurations must neither postpone the call forever nor cause a call for each of them.
func TestContinuousNewConfigurationsNeitherPostponeNorMultiplyCalls(t *testing.T) {
	stub := newDiscoveryStub(Terms{Fleet: 6, AskWithin: 10000})
	stub.simulateUntil(20000)
	from := stub.startEvent(nil)
	for range 200 {
		stub.configVersion++ // the next configuration arrives before any call is answered
		stub.b.DiscoveryMoved()
		stub.simulateUntil(stub.now + 150)
	}
	last := from
	for _, at := range stub.callTimes {
		assert.LessOrEqual(t, at-last, Millis(2400), "calls at %v", stub.callTimes)
		last = at
	}
	assert.LessOrEqual(t, len(stub.callTimes), 30000/int(moveDebounce)+1)
	assert.GreaterOrEqual(t, len(stub.callTimes), 12)
	last = stub.now
	stub.simulateUntil(stub.now + 4000)
	assert.GreaterOrEqual(t, stub.receivedAt, last)
}

// After one failed call there is time for another one before a change counts as notified 2 s after the end of a watch.
func TestOneFailedCallAfterAWatchEndLeavesTimeForAnother(t *testing.T) {
	for _, fleet := range []int{1, 6, 30, 350} {
		for seed := range uint64(20) {
			for _, result := range []callResult{refusedCall, truncatedCall, unansweredCall} {
				stub := newDiscoveryStub(Terms{Seed: seed, Fleet: fleet, AskWithin: 10000})
				stub.simulateUntil(20000)
				from := stub.startEvent([]callResult{result})
				stub.b.WatchEnded(0, false)
				stub.simulateUntil(from + 10000)
				assert.LessOrEqual(t, stub.receivedAt-from, Millis(2300), "fleet of %d, %s: calls at %v", fleet, result.name, stub.callTimes)
			}
		}
	}
}

// Discovery does the work of every call, also of abandoned ones. So a process makes only one call if discovery answers, and not one
// call for each configuration of a quick series.
func TestNoUnnecessaryCallsToDiscovery(t *testing.T) {
	stub := newDiscoveryStub(Terms{Fleet: 6, AskWithin: 10000})
	stub.simulateUntil(20000)
	stub.startEvent(nil)
	stub.b.WatchEnded(0, false)
	stub.simulateUntil(stub.now + 5000)
	assert.Len(t, stub.callTimes, 1, "discovery answers: one call")
	stub.startEvent(nil)
	for range 12 {
		stub.receivedAt = -1
		stub.configVersion++
		stub.b.DiscoveryMoved()
		stub.simulateUntil(stub.now + 200)
	}
	assert.LessOrEqual(t, len(stub.callTimes), 3, "few calls in a series of configurations that lasts 2.4 s")
	stub.simulateUntil(stub.now + 5000)
	assert.NotEqual(t, Millis(-1), stub.receivedAt)
	slow := callResult{duration: 2400, answered: true}
	stub.startEvent([]callResult{slow, slow, slow, slow})
	stub.b.WatchEnded(0, false)
	stub.simulateUntil(stub.now + 9000)
	first := len(stub.callTimes)
	stub.startEvent([]callResult{slow, slow, slow, slow})
	stub.b.WatchEnded(0, false)
	stub.simulateUntil(stub.now + 9000)
	assert.Less(t, len(stub.callTimes), first, "fewer calls once discovery is known to be slow")
}

// If discovery does not answer, only a few calls are open at a time, and further calls are still made.
func TestOpenCallsAreBounded(t *testing.T) {
	stub := newDiscoveryStub(Terms{Fleet: 6, AskWithin: 10000})
	stub.simulateUntil(20000)
	unanswered := make([]callResult, 100)
	for n := range unanswered {
		unanswered[n] = unansweredCall
	}
	from := stub.startEvent(unanswered)
	stub.b.WatchEnded(0, false)
	stub.simulateUntil(from + 60000)
	for n, at := range stub.callTimes {
		open := 0
		for _, earlier := range stub.callTimes[:n] {
			if earlier+unansweredCall.duration > at {
				open++
			}
		}
		assert.Less(t, open, MaxOpenCalls)
	}
	assert.Greater(t, len(stub.callTimes), 30)
	assert.LessOrEqual(t, len(stub.callTimes), 60)
}

// A local agent that serves one process has no queue of other callers, so a call that it does not answer is repeated soon.
func TestASoleCallerRepeatsAnUnansweredCallSoon(t *testing.T) {
	for _, fleet := range []int{1, 350} {
		stub := newDiscoveryStub(Terms{Fleet: fleet, AskWithin: 125, SoleCaller: true})
		stub.simulateUntil(20000)
		from := stub.startEvent([]callResult{unansweredCall, unansweredCall})
		stub.b.WatchEnded(0, false)
		stub.simulateUntil(from + 10000)
		assert.LessOrEqual(t, stub.receivedAt-from, minParallelCallDelay+parallelCallSpacing+500, "fleet of %d: calls at %v", fleet, stub.callTimes)
	}
}

// refusingDiscovery refuses the next calls at once and leaves all later ones open.
type refusingDiscovery struct {
	discoveryStub
	refusalsLeft int
}

func (d *refusingDiscovery) Watch() {
	d.callTimes = append(d.callTimes, d.now)
	if d.refusalsLeft--; d.refusalsLeft >= 0 {
		d.schedule(1, func() {
			d.b.SetNow(d.now)
			d.b.ListCallRefused(1, false)
		})
	}
}

func (d *refusingDiscovery) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		d.schedule(after, func() {
			d.b.SetNow(d.now)
			d.b.TimerFired(1)
		})
	}
}

// A discovery service that answered within milliseconds may be overloaded when it comes back after an outage. A call that it
// accepts then keeps its queue position for as long as any queue may take, since the old latency does not show what a call costs
// now. Without an outage the old latency still counts.
func TestACallAfterAnOutageIsGivenTheMaximumQueueTime(t *testing.T) {
	for refusals, least := range map[int]Millis{maxConsecutiveFaults + 2: maxQueueWait, 1: minParallelCallDelay} {
		d := &refusingDiscovery{discoveryStub: discoveryStub{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}}}
		d.b = New(Terms{PullList: true, Fleet: 8, MaxListWait: 1200, Notified: NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}}, d, d.now)
		d.b.ListEnds(false)
		d.b.ListReceived(5)
		d.callTimes, d.refusalsLeft = nil, refusals
		d.b.WatchEnded(0, false)
		d.simulateUntil(d.now + 9000)
		open := d.callTimes[refusals]
		next := d.callTimes[refusals+1]
		assert.GreaterOrEqual(t, next-open, least, "after %d refusals", refusals)
		if refusals == 1 {
			assert.Less(t, next-open, maxQueueWait)
		}
	}
}
