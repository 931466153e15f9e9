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

// stillLoop is a loop that nobody runs, with a list of one endpoint that a watch or another process has told at 0, and calls that go nowhere.
type stillLoop struct {
	*loop
	from logic.Millis
}

func newStillLoop(takesOver bool) *stillLoop {
	ctx, end := context.WithCancel(context.Background())
	end()
	books, c := newDescriptorLimiter(100, &Counters{}), &Counters{}
	t := logic.Terms{PullList: true, TakesOver: takesOver, DrainGrace: millis(leaseGrace), MaxListWait: millis(longestWait), AskWithin: 1000, Fleet: 1, TimerTick: 1,
		Products: []logic.Product{{Expected: 500, Abandon: 1000, Value: 1}},
		Notified: logic.NotificationBounds{Reached: millis(notifiedAfterReached), Moved: millis(notifiedAfterMoved), Ended: millis(notifiedAfterEnded)}}
	_, names := terms.From(nil, 1)
	l := newLoop(ctx, t, nil, newUpstream(200, 10000, books, c), newLists("127.0.0.1:1", silence, names), hands.New("", zap.NewNop()), c, zap.NewNop())
	s := &stillLoop{loop: l, from: l.now}
	list := inventory{version: 7, full: true, servers: []entry{{id: "s0", addr: "127.0.0.1:2", running: true}}}
	if takesOver {
		siblingTold{knowledge{inventory: list, discovery: l.list.addr, following: true}}.handle(l)
	} else {
		listing{inventory: list, watch: l.list.last}.handle(l)
	}
	return s
}

// at sets the clock, in milliseconds from the start, and has the timers of calls and of the lease come.
func (s *stillLoop) at(after logic.Millis) {
	s.now = s.from + after
	s.module.SetNow(s.now)
	for s.timers.Len() > 0 && s.timers[0].at <= s.now {
		s.module.TimerFired(heap.Pop(&s.timers).(timer).id)
	}
}

// fail ends the newest call.
func (s *stillLoop) fail(stage callStage, cause error) {
	listLost{watch: s.list.last, cause: &callError{Stage: stage, Cause: cause, Began: time.Now()}}.handle(s.loop)
}

func TestNoRequestToADrainWhileTheProcessHasNoDescriptorForACall(t *testing.T) {
	s := newStillLoop(false)
	s.fail(following, io.ErrUnexpectedEOF)
	for after := logic.Millis(100); after <= millis(notifiedAfterEnded+leaseGrace); after += 100 {
		s.at(after)
		s.fail(connecting, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	}
	assert.True(t, s.module.Suspended())
}

func TestTheLeaseStopsNoServiceWhileDiscoveryIsCutOff(t *testing.T) {
	s := newStillLoop(false)
	s.fail(following, syscall.ECONNRESET)
	s.at(500)
	listReached{watch: s.list.last}.handle(s.loop)
	s.fail(awaitingHead, os.ErrDeadlineExceeded)
	for after := logic.Millis(1000); after <= 8000; after += 200 {
		s.at(after)
		s.fail(connecting, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)})
	}
	assert.False(t, s.module.Suspended())
}

func TestTheSuspensionOfANewProcessIsNotSpentBeforeItServes(t *testing.T) {
	s := newStillLoop(true)
	s.at(300)
	listReached{watch: s.list.last}.handle(s.loop)
	for after := logic.Millis(400); after <= millis(heardWait+notifiedAfterEnded+leaseGrace+leaseSlack); after += 50 {
		s.at(after)
	}
	assert.True(t, s.module.Suspended())
}
