// Leg errors: why a leg failed and how far it had come, which determines whether its request may have run. This file owns
// which errors are shortages of this process or machine and therefore say nothing about an endpoint.
package sidecar

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/lynxjunction/lynxjunction/logic"
)

// legStage is how far a leg came.
type legStage int

const (
	notDialled legStage = iota
	dialling
	writing  // in this stage and those before, the request's last byte was not written: the endpoint never started it
	written  // the whole request was written: it may have run
	answered // at least part of an answer was read
)

// legError is why a leg did not succeed, and the stage in which it failed.
type legError struct {
	stage   legStage
	outcome logic.Outcome
	cause   error
}

func (e *legError) Error() string {
	return fmt.Sprintf("%s, reach %d: %v", outcomeNames[e.outcome], e.stage, e.cause)
}

func (e *legError) Unwrap() error { return e.cause }

// neverRan reports whether the request is known not to have run.
func (e *legError) neverRan() bool {
	return e != nil && (e.stage <= writing || e.outcome == logic.Full)
}

// newLegError returns the legError for a network error, or for a leg that was cancelled.
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

// errNoDescriptor means that all file descriptors this process may use are in use.
var errNoDescriptor = errors.New("no file descriptor left for a connection to an endpoint")

// isLocalShortage reports whether a connection failed for lack of a resource of this process or machine, which says
// nothing about the endpoint.
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
