package sidecar

import (
	"container/heap"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

// steppedLoop is a loop that is not run but stepped by the test. At 0 it has received a list of one endpoint, from a
// watch or from another process. Its calls to discovery are cancelled from the start.
type steppedLoop struct {
	*loop
	from logic.Millis
}

func newSteppedLoop(takesOver bool) *steppedLoop {
	ctx, end := context.WithCancel(context.Background())
	end()
	sockets, c := newDescriptorLimiter(100, &Counters{}), &Counters{}
	t := logic.Terms{PullList: true, TakesOver: takesOver, DrainGrace: toMillis(leaseGrace), MaxListWait: toMillis(maxCallInterval), AskWithin: 1000, Fleet: 1, TimerTick: 1,
		Products: []logic.Product{{Expected: 500, Abandon: 1000, Value: 1}},
		Notified: logic.NotificationBounds{Reached: toMillis(notifiedAfterReached), Moved: toMillis(notifiedAfterMoved), Ended: toMillis(notifiedAfterEnded)}}
	_, names := terms.Parse(nil, 1)
	l := newLoop(ctx, t, nil, newUpstream(200, 10000, sockets, c), newDiscoveryClient("127.0.0.1:1", watchSilenceTimeout, names), hands.New("", zap.NewNop()), c, zap.NewNop())
	s := &steppedLoop{loop: l, from: l.now}
	list := endpointList{version: 7, full: true, servers: []listEntry{{id: "s0", addr: "127.0.0.1:2", running: true}}}
	if takesOver {
		siblingUpdate{sharedState{endpointList: list, discovery: l.list.addr, following: true}}.handle(l)
	} else {
		listReceived{endpointList: list, call: l.list.lastCall}.handle(l)
	}
	return s
}

// advanceTo sets the clock, in milliseconds from the start, and fires the module's timers that are due.
func (s *steppedLoop) advanceTo(after logic.Millis) {
	s.now = s.from + after
	s.module.SetNow(s.now)
	for s.timers.Len() > 0 && s.timers[0].at <= s.now {
		s.module.TimerFired(heap.Pop(&s.timers).(timer).id)
	}
}

// failNewestCall ends the newest call in the given stage.
func (s *steppedLoop) failNewestCall(stage callStage, cause error) {
	discoveryCallEnded{call: s.list.lastCall, cause: &callError{Stage: stage, Cause: cause, Began: time.Now()}}.handle(s.loop)
}

func TestNoRequestToADrainWhileTheProcessHasNoDescriptorForACall(t *testing.T) {
	s := newSteppedLoop(false)
	s.failNewestCall(following, io.ErrUnexpectedEOF)
	for after := logic.Millis(100); after <= toMillis(notifiedAfterEnded+leaseGrace); after += 100 {
		s.advanceTo(after)
		s.failNewestCall(connecting, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	}
	assert.True(t, s.module.Suspended())
}

func TestTheLeaseDoesNotSuspendWhileDiscoveryIsUnreachable(t *testing.T) {
	s := newSteppedLoop(false)
	s.failNewestCall(following, syscall.ECONNRESET)
	s.advanceTo(500)
	discoveryCallAccepted{call: s.list.lastCall}.handle(s.loop)
	s.failNewestCall(awaitingHead, os.ErrDeadlineExceeded)
	for after := logic.Millis(1000); after <= 8000; after += 200 {
		s.advanceTo(after)
		s.failNewestCall(connecting, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)})
	}
	assert.False(t, s.module.Suspended())
}

func TestTheSuspensionOfANewProcessIsNotUsedUpBeforeItServes(t *testing.T) {
	s := newSteppedLoop(true)
	s.advanceTo(300)
	discoveryCallAccepted{call: s.list.lastCall}.handle(s.loop)
	for after := logic.Millis(400); after <= toMillis(maxOwnWatchWait+notifiedAfterEnded+leaseGrace+leaseSlack); after += 50 {
		s.advanceTo(after)
	}
	assert.True(t, s.module.Suspended())
}
