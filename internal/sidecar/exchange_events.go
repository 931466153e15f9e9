// This file handles the events of exchanges and of their legs in the event loop: it passes them to the module, and the first
// successful answer to the client.

package sidecar

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

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
