package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests guard against requests that reach a draining endpoint late because they were in flight when the change
// counted as notified: while dialling, before a retry or a hedge, or while the process was stopped.

// slowListener is a listener that can be blocked. The kernel's accept queue is full then, and new connections are
// established only after it is unblocked.
type slowListener struct {
	net.Listener
	mu              sync.Mutex
	blocked         chan struct{} // closed when the listener is unblocked; nil while it is not blocked
	unblockedAt     time.Time
	answered        chan struct{} // receives after each answer
	lateConnections int           // connections, other than those that fill the queue, that were established after it was unblocked
}

// unblockSettleTime is the time after unblocking in which connections are still dropped: they were established before,
// and data may have been written to them then.
const unblockSettleTime = 50 * time.Millisecond

// queueFillerIP is the source address of the connections that fill the accept queue.
var queueFillerIP = net.IPv4(127, 0, 0, 2)

// Accept waits while the listener is blocked, and drops connections that were established before it was unblocked.
func (d *slowListener) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		blocked, unblockedAt := d.blocked, d.unblockedAt
		established := blocked == nil && time.Since(unblockedAt) > unblockSettleTime
		if established && !conn.RemoteAddr().(*net.TCPAddr).IP.Equal(queueFillerIP) {
			d.lateConnections++
		}
		d.mu.Unlock()
		if established {
			return conn, nil
		}
		if blocked != nil {
			<-blocked
		}
		conn.Close()
	}
}

// awaitPause returns between two requests of the load. A request on its way would be held up by a block, and the sidecar would
// send none to the endpoint beside it.
func (d *slowListener) awaitPause() {
	select {
	case <-d.answered: // one of before
	default:
	}
	select {
	case <-d.answered:
	case <-time.After(2 * leaseRequestInterval):
	}
	time.Sleep(leaseRequestInterval / 4)
}

// block blocks the listener and fills its accept queue, so that further connections wait.
func (d *slowListener) block(t *testing.T) {
	d.awaitPause()
	const fill = 3 // one held by Accept, one in the queue, and one more
	d.mu.Lock()
	d.blocked = make(chan struct{})
	d.mu.Unlock()
	for range fill {
		go func() {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: queueFillerIP}}
			if conn, err := dialer.Dial("tcp", d.Addr().String()); err == nil {
				time.Sleep(2 * time.Second)
				conn.Close()
			}
		}()
	}
}

// unblock lets waiting connections be established, and counts them from zero.
func (d *slowListener) unblock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.blocked)
	d.blocked, d.unblockedAt, d.lateConnections = nil, time.Now(), 0
}

// withSlowListener delays connections to the endpoint that drains: those dialled between blockAt and unblockAt,
// relative to the event, are established only after unblockAt.
func withSlowListener(blockAt, unblockAt time.Duration) func(*leaseSidecar) {
	return func(s *leaseSidecar) {
		t := s.trial.T
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		raw, err := ln.(*net.TCPListener).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
		require.NoError(t, err)
		listener := &slowListener{Listener: ln, answered: make(chan struct{}, 1)}
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Connection", "close") // every request needs a new connection
			s.trial.serveDrainingEndpoint(rw, r)
			select {
			case listener.answered <- struct{}{}:
			default:
			}
		})}
		go server.Serve(listener)
		s.trial.Cleanup(func() { server.Close() })
		s.endpoints[0], s.slowListener = ln.Addr().String(), listener
		s.disturbances = append(s.disturbances, disturbance{blockAt, func() { listener.block(t) }}, disturbance{unblockAt, listener.unblock})
	}
}

// expectLateConnections checks that the trial had the intended order of events: connections dialled while the listener
// was blocked were established after it was unblocked.
func (s *leaseSidecar) expectLateConnections() {
	if s.slowListener == nil {
		return
	}
	s.slowListener.mu.Lock()
	defer s.slowListener.mu.Unlock()
	s.trial.expect(s.slowListener.lateConnections > 0, "%s: no connection was established late", s.name)
}

// withProcessStopped stops the process (SIGSTOP) for a period relative to the event.
func withProcessStopped(from, to time.Duration) func(*leaseSidecar) {
	return func(s *leaseSidecar) {
		s.disturbances = append(s.disturbances,
			disturbance{from, func() { s.processes[0].Process.Signal(syscall.SIGSTOP) }},
			disturbance{to, func() { s.processes[0].Process.Signal(syscall.SIGCONT) }})
	}
}

// withStayingEndpoint replaces the handler of the endpoint that stays.
func withStayingEndpoint(handler http.HandlerFunc) func(*leaseSidecar) {
	return func(s *leaseSidecar) { s.endpoints[1] = s.trial.serve(handler) }
}

func respondNotStarted(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Not-Started", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func respondError(rw http.ResponseWriter, _ *http.Request) {
	rw.WriteHeader(http.StatusInternalServerError)
}

func respondSlowly(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(600 * time.Millisecond)
	io.WriteString(rw, "hello")
}

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// startWithFaultyStayingEndpoint starts sidecars that have reason to retry, or to send a hedge, at the endpoint that
// drains.
func startWithFaultyStayingEndpoint(start func(name string, options ...func(*leaseSidecar)) *leaseSidecar) {
	start("other endpoint refuses without starting", withStayingEndpoint(respondNotStarted))
	start("other endpoint fails", withStayingEndpoint(respondError))
	start("other endpoint is slow", withStayingEndpoint(respondSlowly))
	start("other endpoint hangs", withStayingEndpoint(neverRespond))
}

// disturbance is an action at a time relative to the event, which may be negative.
type disturbance struct {
	at time.Duration
	do func()
}

// disturbanceLeadTime is the longest time by which a disturbance precedes the event.
const disturbanceLeadTime = 300 * time.Millisecond

// awaitEvent schedules the disturbances and returns at the time of the event.
func (l *leaseTrial) awaitEvent() (event time.Time) {
	event = time.Now().Add(disturbanceLeadTime)
	var all sync.WaitGroup
	for _, s := range l.sidecars {
		for _, d := range s.disturbances {
			all.Go(func() {
				time.Sleep(time.Until(event.Add(d.at)))
				d.do()
			})
		}
	}
	l.Cleanup(all.Wait)
	time.Sleep(time.Until(event))
	return event
}

// watch answers one call with the list, then with heartbeats and the changes from sendChange.
func (d *leaseDiscovery) watch(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	text, changes, number := d.list, make(chan string, 1), len(d.watches)
	d.watches = append(d.watches, changes)
	d.mu.Unlock()
	for {
		d.mu.Lock()
		silent := number < d.silentWatches
		d.mu.Unlock()
		if !silent {
			io.WriteString(rw, text+"\n")
			rw.(http.Flusher).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case text = <-changes:
		case <-time.After(time.Second):
			text = ""
		}
	}
}

// silenceWatches has the open watches send nothing more, not even heartbeats.
func (d *leaseDiscovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentWatches = len(d.watches)
}

// sendChange sends a change on the watch with the given number, in order of arrival, or on all watches if none is
// given.
func (d *leaseDiscovery) sendChange(change string, watches ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, w := range d.watches {
		if len(watches) == 0 || n == watches[0] {
			w <- change
		}
	}
}

// withWatchChanges has the watches of the sidecar's discoveries send changes.
func withWatchChanges(s *leaseSidecar) { s.watchesSendChanges = true }

// After a sidecar is notified of a drain, the endpoint receives no request after the grace, whatever was in flight to
// it then.
func TestNoRequestToDrainingEndpointAfterNotification(t *testing.T) {
	const ms = time.Millisecond
	runLeaseTrial(t, func(trial *leaseTrial) {
		trial.timeout = longTimeout
		start := func(name string, options ...func(*leaseSidecar)) *leaseSidecar {
			return trial.startSidecar(name, 6, nil, append(options, withWatchChanges)...)
		}
		toFirst, toSecond := start("first of two processes notified"), start("second of two processes notified")
		start("undisturbed")
		start("slow dial", withSlowListener(-250*ms, 600*ms), withStayingEndpoint(neverRespond))
		start("process stopped for 0.15 s", withProcessStopped(-50*ms, 100*ms))
		start("process stopped past the grace", withProcessStopped(-50*ms, 750*ms))
		startWithFaultyStayingEndpoint(start)
		trial.begin()
		for _, s := range []*leaseSidecar{toFirst, toSecond} {
			s.startSuccessor()
		}
		for _, s := range []*leaseSidecar{toFirst, toSecond} {
			s.awaitSecondReady()
		}
		time.Sleep(settleTime)
		event := trial.awaitEvent()
		for _, s := range trial.sidecars {
			switch s {
			case toFirst:
				s.discoveries[0].sendChange(s.list(2, false), 0)
			case toSecond:
				s.discoveries[0].sendChange(s.list(2, false), 1)
			default:
				s.discoveries[0].sendChange(s.list(2, false))
			}
		}
		time.Sleep(time.Until(event.Add(drainGrace + lateRequestWindow)))
		for _, s := range trial.sidecars {
			s.expectDrainKept(event, 0, s.discoveries[0])
			s.expectLateConnections()
		}
	})
}
