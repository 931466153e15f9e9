package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	leaseGrace  = 500 * time.Millisecond
	leaseSlack  = 50 * time.Millisecond
	leaseLooked = 2 * time.Second       // after a change counts as notified, in which requests to a drain are looked for
	leasePace   = 20 * time.Millisecond // between two requests
	endsOrderly = "0\r\n\r\n"           // the end of a chunked answer
)

// leaseTrial is a sidecar under load that knows one endpoint, and a discovery that plays a script for each call.
type leaseTrial struct {
	*testSidecar
	endpoint  *standIn
	discovery *standIn
	calls     atomic.Int64
	mu        sync.Mutex
	last      time.Time // the last request to the endpoint
	statuses  map[int]int
}

// newLeaseTrial starts a sidecar whose nth call to discovery, from 1 on, is answered by call.
func newLeaseTrial(t *testing.T, call func(l *leaseTrial, n int64, c net.Conn)) *leaseTrial {
	l := &leaseTrial{statuses: map[int]int{}}
	l.endpoint = newStandIn(t, func(c net.Conn, _ *http.Request) bool {
		l.mu.Lock()
		l.last = time.Now()
		l.mu.Unlock()
		c.Write([]byte(fine))
		return true
	})
	l.endpoint.seen = make(chan *http.Request, 10000)
	l.discovery = newStandIn(t, func(c net.Conn, _ *http.Request) bool {
		call(l, l.calls.Add(1), c)
		return false
	})
	l.testSidecar = startSidecar(t, listOf(l.endpoint), func(s *Start) {
		s.Discovery, s.terms.DrainGrace, s.terms.HasList = l.discovery.Addr().String(), millis(leaseGrace), false
	})
	return l
}

func (l *leaseTrial) inService(version int) string {
	return listText(version, true, entryText("s0", l.endpoint.Addr().String(), "in_service"))
}

func (l *leaseTrial) drained(version int) string {
	return listText(version, true, entryText("s0", l.endpoint.Addr().String(), "terminating"))
}

// load sends requests until a time.
func (l *leaseTrial) load(until time.Time) {
	var all sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		c := l.dial()
		all.Go(func() {
			status := 0
			if got, _ := exchangeOn(c, requestText(fmt.Sprint(n), "GET", "look", "")); got != nil {
				status = got.StatusCode
			}
			c.Close()
			l.mu.Lock()
			l.statuses[status]++
			l.mu.Unlock()
		})
		time.Sleep(leasePace)
	}
	all.Wait()
}

// expectDrainKept loads the sidecar for so long after a change counts as notified, and checks when the last request was sent.
func (l *leaseTrial) expectDrainKept(notified time.Time, loaded time.Duration) {
	l.load(notified.Add(loaded))
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.LessOrEqual(l, l.last.Sub(notified), leaseGrace+leaseSlack, "last request to the endpoint after the change counts as notified")
}

// tellAndEnd tells a list and ends the watch after a while.
func (l *leaseTrial) tellAndEnd(c net.Conn, ended chan<- time.Time) {
	c.Write([]byte(watchHead + chunk(l.inService(7))))
	time.Sleep(300 * time.Millisecond)
	ended <- time.Now()
	c.Write([]byte(endsOrderly))
	c.Close()
}

func TestNoRequestToADrainWhileACallWaitsBehindAnOrderlyEnd(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n == 1 {
			l.tellAndEnd(c, ended)
		}
		silent(c, nil)
	})
	l.expectDrainKept((<-ended).Add(notifiedAfterEnded), leaseLooked)
}

func TestNoRequestToADrainWhileAReplicaThatLagsAnswersFirst(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		switch n {
		case 1:
			l.tellAndEnd(c, ended)
		case 2:
			c.Write([]byte(watchHead + chunk(listText(3, false))))
			silent(c, nil)
		default:
			silent(c, nil)
		}
	})
	l.expectDrainKept((<-ended).Add(notifiedAfterEnded), leaseLooked)
}

func TestNoRequestToADrainWhileOthersAreRefusedBesideACallThatWaits(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		switch n {
		case 1:
			l.tellAndEnd(c, ended)
		case 2:
			silent(c, nil)
		default:
			c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	l.expectDrainKept((<-ended).Add(notifiedAfterEnded), leaseLooked+time.Second)
}

func TestNoRequestToADrainBehindTheEndOfTheWatchOfTheDiscoveryBefore(t *testing.T) {
	t.Parallel()
	end, ended := make(chan bool), make(chan time.Time, 1)
	next := newStandIn(t, silent)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		<-end
		ended <- time.Now()
		c.Write([]byte(endsOrderly))
	})
	eventually(t, "the first list", func() bool { return l.front.counters.listVersion.Load() == 7 })
	l.loop.postUrgent(moved{next.Addr().String()})
	eventually(t, "the next discovery is called", func() bool { return next.requests.Load() > 0 })
	time.Sleep(100 * time.Millisecond)
	close(end)
	l.expectDrainKept((<-ended).Add(notifiedAfterEnded), leaseLooked)
}

func TestNoRequestToADrainBehindAWatchThatWasResetInPlaceOfTelling(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n > 1 {
			silent(c, nil)
			return
		}
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		time.Sleep(300 * time.Millisecond)
		ended <- time.Now()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	l.expectDrainKept((<-ended).Add(notifiedAfterEnded), leaseLooked)
}

func TestNoRequestToADrainThatABeatingWatchDoesNotTell(t *testing.T) {
	t.Parallel()
	told := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n > 1 {
			c.Write([]byte(watchHead + chunk(l.drained(8))))
			silent(c, nil)
			return
		}
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		told <- time.Now()
		for err := error(nil); err == nil; time.Sleep(beat) {
			_, err = c.Write([]byte("1\r\n\n\r\n"))
		}
	})
	l.expectDrainKept((<-told).Add(notifiedAfterReached), leaseLooked)
}

func TestRequestsThatWaitForAListGoOutWithIt(t *testing.T) {
	t.Parallel()
	ended, answered := make(chan time.Time, 1), make(chan int64, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n == 1 {
			l.tellAndEnd(c, ended)
			return
		}
		if n == 2 {
			time.Sleep(notifiedAfterEnded + leaseGrace + 50*time.Millisecond)
			answered <- l.front.counters.legs[logic.NotSent].Load()
			c.Write([]byte(watchHead + chunk(l.inService(8))))
		}
		silent(c, nil)
	})
	l.load((<-ended).Add(notifiedAfterEnded + leaseGrace + time.Second))
	assert.EqualValues(t, 1, l.front.counters.suspensions.Load())
	assert.Equal(t, <-answered, l.front.counters.legs[logic.NotSent].Load(), "attempts kept back before and after the list; answers %v", l.statuses)
}

func TestRequestsThatWaitGoOutWithTheListThoughTheLoopIsHeldUp(t *testing.T) {
	t.Parallel()
	ended, answered := make(chan time.Time, 1), make(chan int64, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n == 1 {
			l.tellAndEnd(c, ended)
			return
		}
		if n == 2 {
			time.Sleep(notifiedAfterEnded + leaseGrace + 50*time.Millisecond)
			answered <- l.front.counters.legs[logic.NotSent].Load()
			c.Write([]byte(watchHead + chunk(l.inService(8))))
		}
		silent(c, nil)
	})
	heldUp := func() { time.Sleep(20 * time.Millisecond) }
	l.loop.onChange.Store(&heldUp)
	l.load((<-ended).Add(notifiedAfterEnded + leaseGrace + time.Second))
	assert.EqualValues(t, 1, l.front.counters.suspensions.Load())
	assert.Equal(t, <-answered, l.front.counters.legs[logic.NotSent].Load(), "attempts kept back before and after the list; answers %v", l.statuses)
}

func TestNoRequestToADrainWhileNewConfigurationsComeBehindAnEndedWatch(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTrial(t, func(l *leaseTrial, n int64, c net.Conn) {
		if n == 1 {
			l.tellAndEnd(c, ended)
		}
		silent(c, nil)
	})
	from := <-ended
	for n := range 2 {
		next := newStandIn(t, silent)
		time.AfterFunc(time.Until(from.Add(notifiedAfterEnded+leaseGrace+time.Duration(1+n)*500*time.Millisecond)), func() {
			l.loop.postUrgent(moved{next.Addr().String()})
		})
	}
	l.expectDrainKept(from.Add(notifiedAfterEnded), leaseLooked)
}
