// This file holds one leg: what it has to keep to, and the checks before the first and the last byte of its request.

package sidecar

import (
	"context"
	"errors"
	"os"
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
	cancelCause   context.CancelCauseFunc
	reported      bool          // its outcome was passed to the module
	uploading     atomic.Bool   // a streamed request whose last byte is not written to the endpoint yet
	forwardFrom   time.Time     // an answer of unknown length is forwarded from then on
	neverRan      bool          // the request is known not to have run
	exchange      *exchange     // nil for a probe
	upload        *upload       // of a streamed request; nil until it begins
	committedAt   time.Time     // guarded by the exchange's gate; zero for not yet
	committedOn   *endpointConn // guarded by the exchange's gate
	leaseEnded    *atomic.Bool  // set while the lease on the list is over; nil for no lease
	localityBound bool          // the request may not be sent if the endpoint has moved
	locality      locality      // of the endpoint when it was chosen

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

// cancel ends the leg, whose result is no longer needed.
func (g *leg) cancel() { g.cancelCause(errLegCancelled) }

// cancelled returns why the leg was cancelled; nil if it was not.
func (g *leg) cancelled() error { return context.Cause(g.ctx) }

// gate returns the gate of the leg's exchange; nil for a probe.
func (g *leg) gate() *commitGate {
	if g.exchange == nil {
		return nil
	}
	return &g.exchange.gate
}

var (
	errEndpointUnavailable = errors.New("endpoint left service, changed its address or was drained by an operator before the first byte was sent")
	errRepeatWindowOver    = errors.New("endpoints may have forgotten the idempotency key before the request's last byte was sent")
	errLegCancelled        = errors.New("leg cancelled before the request's last byte was sent")
	errExchangeOver        = errors.New("exchange ended before the request's last byte was sent")
	errLocalityChanged     = errors.New("endpoint changed its zone, cell or kind before the request's last byte was sent")
	errClientGone          = errors.New("client disconnected before the request's last byte was sent")
	errLeaseEnded          = errors.New("lease on the list of endpoints ended before the first byte was sent")
)

// withheld returns the error of a leg whose request was held back, all of it or its last byte; nil if cause is nil.
func withheld(cause error) *legError {
	switch cause {
	case nil:
		return nil
	case errLeaseEnded:
		return &legError{stage: writing, outcome: logic.NotSent, cause: cause}
	case errEndpointUnavailable, errLocalityChanged, errRepeatWindowOver:
		return newLegError(writing, cause, false)
	}
	return newLegError(writing, cause, true)
}

// isWithheld reports whether an upload ended with the error of a check, and not of the connection.
func isWithheld(err error) bool {
	switch err {
	case errClientGone, errExchangeOver, errRepeatWindowOver, errLocalityChanged:
		return true
	}
	return false
}

// checkStart is called immediately before a leg's first byte is written. It is the only check of the list that covers updates
// received while the leg was dialling or the process was stalled: a request that has begun may be sent to its end.
func (g *leg) checkStart(k *endpointConn) error {
	err := g.checkRequired()
	switch {
	case err != nil:
		return err
	case g.leaseEnded != nil && g.leaseEnded.Load():
		return errLeaseEnded
	case !g.endpoint.accepts(k.addr):
		return errEndpointUnavailable
	}
	return nil
}

// checkRequired checks what must hold from a leg's first byte to its last one, and is called before either. The end of an
// exchange and the repeat window are checked once more by the commit.
func (g *leg) checkRequired() error {
	switch {
	case g.ctx.Err() != nil:
		return g.cancelled()
	case g.exchange.abandonedByClient():
		return errClientGone
	case g.localityBound && g.endpoint.currentLocality() != g.locality:
		return errLocalityChanged
	}
	return g.gate().check()
}

// checkQuiet reports why it makes no sense any more to wait until all but the last byte of a request has been sent: an endpoint
// that answers before the last byte has not read the whole request.
func (g *leg) checkQuiet(k *endpointConn) error {
	switch {
	case g.ctx.Err() != nil:
		return g.cancelled()
	case !time.Now().Before(g.deadline):
		return os.ErrDeadlineExceeded
	case !k.isQuiet():
		return errEarlyAnswer
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
