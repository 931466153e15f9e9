// This file holds one leg: what it has to keep to, and the last check before its first byte is written.

package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

// leg is one attempt at an endpoint for an exchange, or a probe.
type leg struct {
	endpoint      *endpoint
	addr          string
	request       *request
	sentAt        logic.Millis
	deadline      time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	reported      bool                               // its outcome was passed to the module
	uploading     atomic.Bool                        // a streamed request whose last byte is not written to the endpoint yet
	forwardFrom   time.Time                          // an answer of unknown length is forwarded from then on
	latestStart   time.Time                          // no first byte after that: endpoints may run a repeat a second time
	neverRan      bool                               // the request is known not to have run
	exchange      *exchange                          // nil for a probe
	upload        *upload                            // of a streamed request; nil until it begins
	exchangeOver  atomic.Bool                        // the exchange has its answer or its client has left
	leaseEnded    *atomic.Bool                       // set while the lease on the list is over; nil for no lease
	cancelDial    atomic.Pointer[context.CancelFunc] // ends the wait for a connection
	localityBound bool                               // the product may be sent to certain zones and kinds of machine only
	locality      [2]string                          // zone and kind of the endpoint when it was chosen

	claim              func() bool  // claims the request for this process; nil if there can be no other
	onAnswerStart      func(*reply) // called when the answer is to be forwarded
	onAnswerStall      func()       // called once when the answer has begun and pauses
	onUnrepeatable     func()       // called when the request can't be sent again
	onRequestWritten   func()       // called after the request's last byte is written
	answerStartedAfter logic.Millis // time from sentAt to the start of a forwarded answer
}

// currentDeadline returns when the leg's result is no longer needed.
func (g *leg) currentDeadline() time.Time {
	switch {
	case g.request.remaining == nil:
		return g.deadline
	case g.uploading.Load():
		return g.exchange.deadline.byWhileReceived()
	}
	return g.exchange.deadline.by()
}

// preventStart stops a leg whose exchange is over if its first byte is not written yet. It does not cancel a leg that has
// started, since a deployment may forbid that.
func (g *leg) preventStart() {
	g.exchangeOver.Store(true)
	if cancelDial := g.cancelDial.Load(); cancelDial != nil {
		(*cancelDial)()
	}
}

var (
	errEndpointUnavailable = errors.New("endpoint left service, changed its address or was drained by an operator before the first byte was sent")
	errRepeatWindowOver    = errors.New("endpoints may have forgotten the idempotency key before the first byte was sent")
	errLegCancelled        = errors.New("leg cancelled before the first byte was sent")
	errExchangeOver        = errors.New("exchange ended before the first byte was sent")
	errLocalityChanged     = errors.New("endpoint changed its zone or kind before the first byte was sent")
	errClientGone          = errors.New("client disconnected before the request's last byte was sent")
	errLeaseEnded          = errors.New("lease on the list of endpoints ended before the first byte was sent")
)

// checkStart is called immediately before a leg's first byte is written, the last moment at which the leg can be held
// back. It is the only check that covers updates received while the leg was dialling or the process was stalled.
func (g *leg) checkStart(k *endpointConn) *legError {
	switch {
	case g.ctx.Err() != nil:
		return newLegError(writing, errLegCancelled, true)
	case g.exchangeOver.Load():
		return newLegError(writing, errExchangeOver, true)
	case g.exchange.abandonedByClient():
		return newLegError(writing, errClientGone, true)
	case g.leaseEnded != nil && g.leaseEnded.Load():
		return &legError{stage: writing, outcome: logic.NotSent, cause: errLeaseEnded}
	case g.localityBound && g.endpoint.currentLocality() != g.locality:
		return newLegError(writing, errLocalityChanged, false)
	case !g.endpoint.accepts(k.addr):
		return newLegError(writing, errEndpointUnavailable, false)
	case !g.latestStart.IsZero() && time.Now().After(g.latestStart):
		return newLegError(writing, errRepeatWindowOver, false)
	}
	return nil
}

// reservation returns the memory of the leg's exchange; nil for a probe.
func (g *leg) reservation() *reservation {
	if g.exchange == nil {
		return nil
	}
	return g.exchange.memory
}

func (g *leg) onCancel(f func()) (stop func() bool) { return context.AfterFunc(g.ctx, f) }
