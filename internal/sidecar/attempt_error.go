// Attempt errors: why an attempt failed and how far it had come, from which follows whether it may have run. This file owns which errors
// are a shortage of our own, that say nothing of an endpoint.
package sidecar

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/lynxjunction/lynxjunction/logic"
)

// reach is how far a leg came.
type legStage int

const (
	notDialled legStage = iota
	dialling
	writing // up to here the request's last byte was not written: the endpoint never began it
	written
	answered
)

// legError is why a leg was not satisfied, and how far it had come by then.
type legError struct {
	stage   legStage
	outcome logic.Outcome
	cause   error
}

func (e *legError) Error() string {
	return fmt.Sprintf("%s, reach %d: %v", outcomeNames[e.outcome], e.stage, e.cause)
}

func (e *legError) Unwrap() error { return e.cause }

// failed makes a legError from an error of the network.
func newLegError(stage legStage, cause error, cancelled bool) *legError {
	e := &legError{stage: stage, outcome: logic.Reset, cause: cause}
	switch {
	case cancelled:
		e.outcome = logic.Cancelled
	case stage <= writing && isLocalShortage(cause):
		e.outcome = logic.NotSent
	case stage <= writing:
		e.outcome = logic.NoConnection
	case errors.Is(cause, os.ErrDeadlineExceeded):
		e.outcome = logic.TimedOut
	}
	return e
}

// errDescriptors is that all descriptors which this process may use are in use.
var errNoDescriptor = errors.New("no descriptor left")

// ownFault tells that a connection failed for want of something of this process or machine, which says nothing of the endpoint.
func isLocalShortage(cause error) bool {
	if errors.Is(cause, errNoDescriptor) {
		return true
	}
	var errno syscall.Errno
	if !errors.As(cause, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN:
		return true
	}
	return false
}
