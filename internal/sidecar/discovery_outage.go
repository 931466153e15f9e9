// Discovery outages: what happened to the calls to discovery between two lists. This file owns the record that is logged
// once a list is heard again, and the stages of a call. It must never decide when discovery is called.
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
	insideList // part of a list or a change has come
	following  // at least one list or change has come whole
	callStages
)

var callStageNames = [callStages]string{"connecting", "awaiting_head", "awaiting_list", "inside_list", "following"}

func (s callStage) String() string { return callStageNames[s] }

// callError is why and where a call to discovery ended.
type callError struct {
	Addr      string
	Stage     callStage
	Began     time.Time
	LastHeard time.Time // the last whole line or beat; zero for none
	Duration  time.Duration
	Cause     error
}

// silentFor is how long nothing had been heard when the call ended.
func (e *callError) silentFor() time.Duration {
	if e.LastHeard.IsZero() {
		return 0
	}
	return e.Began.Add(e.Duration).Sub(e.LastHeard)
}

func (e *callError) Error() string {
	return fmt.Sprintf("discovery %s, %s: %v", e.Addr, e.Stage, e.Cause)
}

func (e *callError) Unwrap() error { return e.Cause }

// statusError is an answer of discovery that is no list, by its HTTP status line.
type statusError string

func (e statusError) Error() string { return string(e) }

// refused tells that discovery, or the machine it runs on, turned the call away in place of answering with a list: it is down or
// has too many callers. A list that breaks off is no refusal.
func (e *callError) refused() bool {
	if e.Stage > awaitingHead {
		return false
	}
	var status statusError
	return errors.As(e.Cause, &status) || errors.Is(e.Cause, syscall.ECONNREFUSED) || errors.Is(e.Cause, syscall.ECONNRESET) ||
		errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF)
}

// unreachable tells that the network let no connection to the service come up, for no want of this process.
func (e *callError) unreachable() bool {
	var network net.Error
	return e.Stage == connecting && errors.As(e.Cause, &network) && !isLocalShortage(e.Cause)
}

// orderly tells that a running service ended the call, in good order or with what is no list, and not the network.
func (e *callError) endedByService() bool {
	var network net.Error
	return !errors.As(e.Cause, &network)
}

// MarshalLogObject writes the call as fields, for the log.
func (e *callError) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("addr", e.Addr)
	to.AddString("stage", e.Stage.String())
	to.AddFloat64("took_ms", milliseconds(e.Duration))
	to.AddString("error", fmt.Sprint(e.Cause))
	return nil
}

// outageCallsKept bounds the failed calls that one log line describes, outageStartsKept the calls of which it gives the start: the last ones.
const (
	maxLoggedCalls  = 8
	maxLoggedStarts = 24
)

// While an outage lasts a line tells of it after outageLogFirst, then each time after twice as long, outageLogMost at most.
const (
	firstOutageLogAfter  = 4 * time.Second
	maxOutageLogInterval = time.Minute
)

// outage is the time from a first call, the end of a watch or a new configuration to the next list. Its zero value is none.
type outage struct {
	began         time.Time
	addrChanged   bool // a new configuration named another discovery
	calls         int
	starts        []time.Duration // of the calls, from the outage's start
	parallelCalls int             // calls made while another one was open
	refused       int             // calls turned away
	failed        []failedCall
	nextLogAfter  time.Duration // of the next line
}

// outageCall is one failed call, with its start counted from the outage's.
type failedCall struct {
	startedAfter time.Duration
	*callError
}

// MarshalLogObject writes the call as fields, for the log.
func (c failedCall) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddFloat64("after_ms", milliseconds(c.startedAfter))
	return c.callError.MarshalLogObject(to)
}

type failedCalls []failedCall

// MarshalLogArray writes the calls, for the log.
func (c failedCalls) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for _, call := range c {
		if err := to.AppendObject(call); err != nil {
			return err
		}
	}
	return nil
}

type callStarts []time.Duration

// MarshalLogArray writes the starts in milliseconds, for the log.
func (s callStarts) MarshalLogArray(to zapcore.ArrayEncoder) error {
	for _, start := range s {
		to.AppendFloat64(math.Round(milliseconds(start)))
	}
	return nil
}

// begin starts an outage unless one goes on.
func (o *outage) begin(now time.Time) {
	if o.began.IsZero() {
		o.began, o.nextLogAfter = now, firstOutageLogAfter
	}
}

// plain tells that its first call was answered, and nothing went before.
func (o *outage) isUneventful() bool { return !o.addrChanged && len(o.failed) == 0 }

// logDue tells whether it is time for another line, and sets the time of the next.
func (o *outage) logDue(now time.Time) bool {
	if o.began.IsZero() || now.Sub(o.began) < o.nextLogAfter {
		return false
	}
	o.nextLogAfter += min(o.nextLogAfter, maxOutageLogInterval)
	return true
}

// call books a call that is made, beside others that are open or alone.
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

// fail books a call that brought no list.
func (o *outage) recordFailure(e *callError) {
	if len(o.failed) == maxLoggedCalls {
		o.failed = append(o.failed[:0], o.failed[1:]...)
	}
	o.failed = append(o.failed, failedCall{startedAfter: e.Began.Sub(o.began), callError: e})
	if e.refused() {
		o.refused++
	}
}

// fields tell of the outage as it stands now.
func (o *outage) fields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.Float64("outage_ms", milliseconds(now.Sub(o.began))), zap.Int("calls", o.calls),
		zap.Int("calls_beside_an_open_one", o.parallelCalls), zap.Int("calls_refused", o.refused),
		zap.Array("calls_at_ms", callStarts(o.starts)), zap.Array("last_failed", failedCalls(o.failed)),
	}
}

func toMillis(d time.Duration) logic.Millis { return logic.Millis(milliseconds(d)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
