// This file owns by when a request must be answered. All that needs this time asks here each time, the loop, the attempts
// and the server alike: none keeps a copy that would miss the request's last byte or the end of the process.

package sidecar

import (
	"sync/atomic"
	"time"
)

// noDeadline is how far off the deadline of a request is whose last byte has not arrived; its transfer has limits of its own.
const noDeadline = time.Hour

// answerDeadline is by when one request must be answered: its client's timeout counts from the request's last byte, and after
// SIGTERM no answer may come later than SIGKILL may. The zero value is over. Its methods may be called by any goroutine.
type answerDeadline struct {
	started       time.Time                  // base of receivedAt
	clientTimeout time.Duration              // counts from receivedAt
	shutdownBy    *atomic.Pointer[time.Time] // the latest deadline once the process is ending; may be nil
	receivedAt    atomic.Int64               // arrival of the request's latest byte that was read, in nanoseconds since started
}

// setReceived sets when the latest byte of the request that was read had arrived.
func (d *answerDeadline) setReceived(at time.Time) { d.receivedAt.Store(int64(at.Sub(d.started))) }

// shutdown returns by when the process must have given all its answers; false while it is not ending.
func (d *answerDeadline) shutdown() (time.Time, bool) {
	if d.shutdownBy == nil {
		return time.Time{}, false
	}
	end := d.shutdownBy.Load()
	if end == nil {
		return time.Time{}, false
	}
	return *end, true
}

// by returns the deadline of a request that has arrived whole.
func (d *answerDeadline) by() time.Time {
	return d.notAfterShutdown(d.started.Add(time.Duration(d.receivedAt.Load()) + d.clientTimeout))
}

// byWhileReceived returns the deadline of a request whose last byte has not arrived.
func (d *answerDeadline) byWhileReceived() time.Time {
	return d.notAfterShutdown(time.Now().Add(noDeadline))
}

func (d *answerDeadline) notAfterShutdown(t time.Time) time.Time {
	if end, ending := d.shutdown(); ending && end.Before(t) {
		return end
	}
	return t
}
