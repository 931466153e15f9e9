// This file carries out what the module asks for (logic.Outgoing). It decides nothing.

package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

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
