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
	leaseGrace           = 500 * time.Millisecond // drain grace of the sidecar under test
	leaseSlack           = 50 * time.Millisecond  // tolerance for times measured at sockets
	leaseObservation     = 2 * time.Second        // after a change counts as notified: requests to the endpoint are looked for until then
	leaseRequestInterval = 20 * time.Millisecond  // between the starts of two requests
	lastChunk            = "0\r\n\r\n"            // the end of a chunked answer
)

// leaseTest is a sidecar under load that knows one endpoint, and a discovery that answers each call by a script.
type leaseTest struct {
	*testSidecar
	endpoint    *stubEndpoint
	discovery   *stubEndpoint
	calls       atomic.Int64
	mu          sync.Mutex
	lastRequest time.Time   // to the endpoint
	statuses    map[int]int // answers to clients by status; 0 for none
}

// newLeaseTest starts a sidecar whose nth call to discovery, from 1 on, is answered by call.
func newLeaseTest(t *testing.T, call func(l *leaseTest, n int64, c net.Conn)) *leaseTest {
	l := &leaseTest{statuses: map[int]int{}}
	l.endpoint = newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		l.mu.Lock()
		l.lastRequest = time.Now()
		l.mu.Unlock()
		c.Write([]byte(okResponse))
		return true
	})
	l.endpoint.received = make(chan *http.Request, 10000)
	l.discovery = newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		call(l, l.calls.Add(1), c)
		return false
	})
	l.testSidecar = startSidecar(t, listOf(l.endpoint), func(s *Config) {
		s.Discovery, s.terms.DrainGrace, s.terms.HasList = l.discovery.Addr().String(), toMillis(leaseGrace), false
	})
	return l
}

func (l *leaseTest) inService(version int) string {
	return listText(version, true, entryText("s0", l.endpoint.Addr().String(), "in_service"))
}

func (l *leaseTest) draining(version int) string {
	return listText(version, true, entryText("s0", l.endpoint.Addr().String(), "terminating"))
}

// load sends requests until the given time and waits for their answers.
func (l *leaseTest) load(until time.Time) {
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
		time.Sleep(leaseRequestInterval)
	}
	all.Wait()
}

// assertNoLateRequest loads the sidecar until the given time after a change counts as notified, and checks that no
// request was sent to the endpoint after the drain grace.
func (l *leaseTest) assertNoLateRequest(notified time.Time, loaded time.Duration) {
	l.load(notified.Add(loaded))
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.LessOrEqual(l, l.lastRequest.Sub(notified), leaseGrace+leaseSlack, "last request to the endpoint after the change counts as notified")
}

// sendListAndEnd sends a list and ends the watch in good order 300 ms later.
func (l *leaseTest) sendListAndEnd(c net.Conn, ended chan<- time.Time) {
	c.Write([]byte(watchHead + chunk(l.inService(7))))
	time.Sleep(300 * time.Millisecond)
	ended <- time.Now()
	c.Write([]byte(lastChunk))
	c.Close()
}

func TestNoRequestToADrainWhileACallWaitsAfterTheServiceEndedTheWatch(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n == 1 {
			l.sendListAndEnd(c, ended)
		}
		neverAnswer(c, nil)
	})
	l.assertNoLateRequest((<-ended).Add(notifiedAfterEnded), leaseObservation)
}

func TestNoRequestToADrainWhileALaggingReplicaAnswersFirst(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		switch n {
		case 1:
			l.sendListAndEnd(c, ended)
		case 2:
			c.Write([]byte(watchHead + chunk(listText(3, false))))
			neverAnswer(c, nil)
		default:
			neverAnswer(c, nil)
		}
	})
	l.assertNoLateRequest((<-ended).Add(notifiedAfterEnded), leaseObservation)
}

func TestNoRequestToADrainWhileCallsAreRefusedAndOneWaits(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		switch n {
		case 1:
			l.sendListAndEnd(c, ended)
		case 2:
			neverAnswer(c, nil)
		default:
			c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	l.assertNoLateRequest((<-ended).Add(notifiedAfterEnded), leaseObservation+time.Second)
}

func TestNoRequestToADrainAfterThePreviousDiscoveryEndsItsWatch(t *testing.T) {
	t.Parallel()
	end, ended := make(chan bool), make(chan time.Time, 1)
	next := newStubEndpoint(t, neverAnswer)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		<-end
		ended <- time.Now()
		c.Write([]byte(lastChunk))
	})
	eventually(t, "the first list", func() bool { return l.server.counters.listVersion.Load() == 7 })
	l.loop.postUrgent(discoveryChanged{next.Addr().String()})
	eventually(t, "the next discovery is called", func() bool { return next.requests.Load() > 0 })
	time.Sleep(100 * time.Millisecond)
	close(end)
	l.assertNoLateRequest((<-ended).Add(notifiedAfterEnded), leaseObservation)
}

func TestNoRequestToADrainAfterTheWatchWasResetInsteadOfUpdated(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n > 1 {
			neverAnswer(c, nil)
			return
		}
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		time.Sleep(300 * time.Millisecond)
		ended <- time.Now()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	l.assertNoLateRequest((<-ended).Add(notifiedAfterEnded), leaseObservation)
}

// A watch that sends heartbeats but never the drain must not keep the sidecar sending: the drain counts as notified 6 s
// after discovery had it.
func TestNoRequestToADrainThatABeatingWatchDoesNotTell(t *testing.T) {
	t.Parallel()
	listedAt := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n > 1 {
			c.Write([]byte(watchHead + chunk(l.draining(8))))
			neverAnswer(c, nil)
			return
		}
		c.Write([]byte(watchHead + chunk(l.inService(7))))
		listedAt <- time.Now()
		for err := error(nil); err == nil; time.Sleep(heartbeatInterval) {
			_, err = c.Write([]byte("1\r\n\n\r\n"))
		}
	})
	l.assertNoLateRequest((<-listedAt).Add(notifiedAfterReached), leaseObservation)
}

// Requests that wait for a list during a suspension must be sent once it comes, and none of their legs may be held back then.
func TestRequestsThatWaitForAListAreSentWhenItComes(t *testing.T) {
	t.Parallel()
	ended, answered := make(chan time.Time, 1), make(chan int64, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n == 1 {
			l.sendListAndEnd(c, ended)
			return
		}
		if n == 2 {
			time.Sleep(notifiedAfterEnded + leaseGrace + 50*time.Millisecond)
			answered <- l.server.counters.legsByOutcome[logic.NotSent].Load()
			c.Write([]byte(watchHead + chunk(l.inService(8))))
		}
		neverAnswer(c, nil)
	})
	l.load((<-ended).Add(notifiedAfterEnded + leaseGrace + time.Second))
	assert.EqualValues(t, 1, l.server.counters.leaseSuspensions.Load())
	assert.Equal(t, <-answered, l.server.counters.legsByOutcome[logic.NotSent].Load(), "legs held back before and after the list; answers %v", l.statuses)
}

// The same with an event loop that is held up for 20 ms by each change of the state which siblings share, such as a new list.
func TestRequestsThatWaitForAListAreSentWhenItComesToASlowLoop(t *testing.T) {
	t.Parallel()
	ended, answered := make(chan time.Time, 1), make(chan int64, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n == 1 {
			l.sendListAndEnd(c, ended)
			return
		}
		if n == 2 {
			time.Sleep(notifiedAfterEnded + leaseGrace + 50*time.Millisecond)
			answered <- l.server.counters.legsByOutcome[logic.NotSent].Load()
			c.Write([]byte(watchHead + chunk(l.inService(8))))
		}
		neverAnswer(c, nil)
	})
	delay := func() { time.Sleep(20 * time.Millisecond) }
	l.loop.onChange.Store(&delay)
	l.load((<-ended).Add(notifiedAfterEnded + leaseGrace + time.Second))
	assert.EqualValues(t, 1, l.server.counters.leaseSuspensions.Load())
	assert.Equal(t, <-answered, l.server.counters.legsByOutcome[logic.NotSent].Load(), "legs held back before and after the list; answers %v", l.statuses)
}

func TestNoRequestToADrainWhileReloadsFollowAnEndedWatch(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	l := newLeaseTest(t, func(l *leaseTest, n int64, c net.Conn) {
		if n == 1 {
			l.sendListAndEnd(c, ended)
		}
		neverAnswer(c, nil)
	})
	from := <-ended
	for n := range 2 {
		next := newStubEndpoint(t, neverAnswer)
		time.AfterFunc(time.Until(from.Add(notifiedAfterEnded+leaseGrace+time.Duration(1+n)*500*time.Millisecond)), func() {
			l.loop.postUrgent(discoveryChanged{next.Addr().String()})
		})
	}
	l.assertNoLateRequest(from.Add(notifiedAfterEnded), leaseObservation)
}
