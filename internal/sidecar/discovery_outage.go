// Discovery outages: what happened to the calls to discovery between two lists. This file owns the stages of a call and
// the record of failed calls that is logged when a list is received again. It must never decide when discovery is
// called.
package sidecar

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lynxjunction/lynxjunction/logic"
)

// callStage is how far a call to discovery came.
type callStage int

const (
	connecting callStage = iota
	awaitingHead
	awaitingList
	insideList // part of a list or a change was received
	following  // at least one list or change was received completely
	callStages
)

var callStageNames = [callStages]string{"connecting", "awaiting_head", "awaiting_list", "inside_list", "following"}

func (s callStage) String() string { return callStageNames[s] }

// callError is why a call to discovery ended and how far it had come.
type callError struct {
	Addr      string
	Stage     callStage
	Began     time.Time
	LastHeard time.Time // when the last complete line or heartbeat was received; zero for none
	Duration  time.Duration
	Cause     error
}

// silentFor returns how long nothing had been received when the call ended.
func (e *callError) silentFor() time.Duration {
	if e.LastHeard.IsZero() {
		return 0
	}
	return e.Began.Add(e.Duration).Sub(e.LastHeard)
}

func (e *callError) Error() string {
	return fmt.Sprintf("discovery %s, stage %s: %v", e.Addr, e.Stage, e.Cause)
}

func (e *callError) Unwrap() error { return e.Cause }

// statusError is an answer of discovery other than 200, by its HTTP status.
type statusError string

func (e statusError) Error() string { return string(e) }

// refused reports whether discovery, or the machine it runs on, rejected the call instead of answering with a list: it
// is down or has too many callers. A list that is cut off is no refusal.
func (e *callError) refused() bool {
	if e.Stage > awaitingHead {
		return false
	}
	var status statusError
	return errors.As(e.Cause, &status) || errors.Is(e.Cause, syscall.ECONNREFUSED) || errors.Is(e.Cause, syscall.ECONNRESET) ||
		errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF)
}

// unreachable reports whether the network prevented a connection to the service, as opposed to a shortage in this
// process.
func (e *callError) unreachable() bool {
	var network net.Error
	return e.Stage == connecting && errors.As(e.Cause, &network) && !isLocalShortage(e.Cause)
}

// endedByService reports whether a running service ended the call, in good order or with an invalid list, as opposed to
// the network.
func (e *callError) endedByService() bool {
	var network net.Error
	return !errors.As(e.Cause, &network)
}

// MarshalLogObject writes the call as log fields.
func (e *callError) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("addr", e.Addr)
	to.AddString("stage", e.Stage.String())
	to.AddFloat64("took_ms", milliseconds(e.Duration))
	to.AddString("error", fmt.Sprint(e.Cause))
	return nil
}

const (
	// maxLoggedCalls is how many failed calls, the last ones, are described in one log line.
	maxLoggedCalls = 8
	// maxLoggedStarts is how many calls, the last ones, have their start time in one log line.
	maxLoggedStarts = 24
)

const (
	// firstOutageLogAfter is the age of an outage at which it is first logged while it lasts. Each further line follows
	// at twice the age of the last one.
	firstOutageLogAfter = 4 * time.Second
	// maxOutageLogInterval bounds the time between two such lines.
	maxOutageLogInterval = time.Minute
)

// outage is the time without a list: from the first call, the end of a watch or a new configuration to the next list.
// Its zero value is no outage.
type outage struct {
	began         time.Time
	addrChanged   bool // a new configuration named another discovery
	calls         int
	starts        []time.Duration // start times of the last calls, from began
	parallelCalls int             // calls made while another one was open
	refused       int             // calls that were refused
	failed        []failedCall    // the last failed calls
	nextLogAfter  time.Duration   // age at which the next line is logged
}

// failedCall is one failed call and its start time from the start of the outage.
type failedCall struct {
	startedAfter time.Duration
	*callError
}

// MarshalLogObject writes the call as log fields.
func (c failedCall) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddFloat64("after_ms", milliseconds(c.startedAfter))
	return c.callError.MarshalLogObject(to)
}

type failedCalls []failedCall

// MarshalLogArray writes the calls as a log array.
func (c failedCalls) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for _, call := range c {
		if err := to.AppendObject(call); err != nil {
			return err
		}
	}
	return nil
}

type callStarts []time.Duration

// MarshalLogArray writes the start times as a log array, in milliseconds.
func (s callStarts) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for _, start := range s {
		to.AppendFloat64(math.Round(milliseconds(start)))
	}
	return nil
}

// begin starts an outage unless one is in progress.
func (o *outage) begin(now time.Time) {
	if o.began.IsZero() {
		o.began, o.nextLogAfter = now, firstOutageLogAfter
	}
}

// isUneventful reports whether no call has failed and the discovery is still the same one, as when the first call is
// answered.
func (o *outage) isUneventful() bool { return !o.addrChanged && len(o.failed) == 0 }

// logDue reports whether it is time to log the outage, and sets the time of the next line.
func (o *outage) logDue(now time.Time) bool {
	if o.began.IsZero() || now.Sub(o.began) < o.nextLogAfter {
		return false
	}
	o.nextLogAfter += min(o.nextLogAfter, maxOutageLogInterval)
	return true
}

// recordCall records the start of a call; parallel means that another call is open.
func (o *outage) recordCall(now time.Time, parallel bool) {
	o.calls++
	if parallel {
		o.parallelCalls++
	}
	if len(o.starts) == maxLoggedStarts {
		o.starts = append(o.starts[:0], o.starts[1:]...)
	}
	o.starts = append(o.starts, now.Sub(o.began))
}

// recordFailure records a call that ended without a list, or the end of a watch.
func (o *outage) recordFailure(e *callError) {
	if len(o.failed) == maxLoggedCalls {
		o.failed = append(o.failed[:0], o.failed[1:]...)
	}
	o.failed = append(o.failed, failedCall{startedAfter: e.Began.Sub(o.began), callError: e})
	if e.refused() {
		o.refused++
	}
}

// fields returns the log fields that describe the outage so far.
func (o *outage) fields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.Float64("outage_ms", milliseconds(now.Sub(o.began))), zap.Int("calls", o.calls),
		zap.Int("calls_beside_an_open_one", o.parallelCalls), zap.Int("calls_refused", o.refused),
		zap.Array("calls_at_ms", callStarts(o.starts)), zap.Array("last_failed", failedCalls(o.failed)),
	}
}

func toMillis(d time.Duration) logic.Millis { return logic.Millis(milliseconds(d)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
