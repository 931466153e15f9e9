// Accept: what is done when a listener's accept fails. Linux passes errors of the network that lie on a new connection through
// accept, and fails it where descriptors or socket memory are short for a moment. net/http ends a server, and with it all that it
// holds, at those that Go does not call temporary; here all are tried again until the listener is closed.
package sidecar

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptPauseFirst is the pause behind the first of several errors of accept, doubled with each up to acceptPauseMost.
const (
	minAcceptPause = 2 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
)

// acceptRetry is a series of errors of accept.
type acceptRetry struct {
	counters  *Counters
	log       *zap.Logger
	lastPause time.Duration // of the last error; 0 for none yet
}

// wait notes an error and returns when accept may be tried again. The first of a series is logged.
func (r *acceptRetry) wait(err error) {
	r.counters.acceptErrors.Add(1)
	if r.lastPause == 0 {
		r.log.Warn("a connection could not be accepted", zap.Error(err))
	}
	r.lastPause = min(max(2*r.lastPause, minAcceptPause), maxAcceptPause)
	time.Sleep(r.lastPause)
}

// acceptUntilClosed accepts from a listener; its error is that the listener is closed.
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
