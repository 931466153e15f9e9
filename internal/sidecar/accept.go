// This file handles errors of accept. Linux returns pending network errors of a new connection from accept, and lets accept
// fail while descriptors or socket memory are short for a moment. At errors that Go does not consider temporary, net/http
// ends the server with all its connections; here every error is retried until the listener is closed.

package sidecar

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// The back-off between retries of accept begins with minAcceptPause and doubles with each error up to maxAcceptPause.
const (
	minAcceptPause = 2 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
)

// acceptRetry is the back-off over consecutive errors of accept.
type acceptRetry struct {
	counters  *Counters
	log       *zap.Logger
	lastPause time.Duration // after the last error; 0 before the first
}

// wait counts an error and returns when accept may be retried. The first error of a series is logged.
func (r *acceptRetry) wait(err error) {
	r.counters.acceptErrors.Add(1)
	if r.lastPause == 0 {
		r.log.Warn("accept failed; retrying until the listener is closed", zap.Error(err))
	}
	r.lastPause = min(max(2*r.lastPause, minAcceptPause), maxAcceptPause)
	time.Sleep(r.lastPause)
}

// acceptUntilClosed accepts a connection from ln and retries on errors. It returns an error only once ln is closed.
func acceptUntilClosed(ln net.Listener, counters *Counters, log *zap.Logger) (net.Conn, error) {
	retry := acceptRetry{counters: counters, log: log}
	for {
		conn, err := ln.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		retry.wait(err)
	}
}
