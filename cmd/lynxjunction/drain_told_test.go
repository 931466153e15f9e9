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

// Here a change counts as notified while a request is on its way to the endpoint that drains: it dials, waits for another try or a
// copy, or stands still with the process.

// lateDoor is a listener whose connections come up late while it is shut, as the kernel's queue is full then.
type slowListener struct {
	net.Listener
	mu              sync.Mutex
	blocked         chan struct{} // closed when it opens; nil while it is open
	unblockedAt     time.Time
	lateConnections int // connections of others than the door's own that came up behind its opening
}

// doorSettles is how long after its opening the door still drops connections: these were up before, and what was written to them too.
const unblockSettleTime = 50 * time.Millisecond

// doorFills is the address from which a door fills its own queue.
var queueFillerIP = net.IPv4(127, 0, 0, 2)

// Accept has a connection wait while the door is shut, and drops those that came up before it was opened.
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

// close shuts the door, and fills its queue so that further connections wait.
func (d *slowListener) block(t *testing.T) {
	const fill = 3 // one that Accept holds, one in the queue, one more
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

func (d *slowListener) unblock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.blocked)
	d.blocked, d.unblockedAt, d.lateConnections = nil, time.Now(), 0
}

// behindALateDoor has connections to the endpoint that drains come up late when they are dialled in a span, which counts from
// the event, up to some time after the span.
func withSlowListener(blockAt, unblockAt time.Duration) func(*leaseSidecar) {
	return func(s *leaseSidecar) {
		t := s.trial.T
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		raw, err := ln.(*net.TCPListener).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
		require.NoError(t, err)
		listener := &slowListener{Listener: ln}
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Connection", "close") // each request dials
			s.trial.serveDrainingEndpoint(rw, r)
		})}
		go server.Serve(listener)
		s.trial.Cleanup(func() { server.Close() })
		s.endpoints[0], s.slowListener = ln.Addr().String(), listener
		s.disturbances = append(s.disturbances, disturbance{blockAt, func() { listener.block(t) }}, disturbance{unblockAt, listener.unblock})
	}
}

// expectLateConnections checks that the order of events was forced: what was dialled while the door was shut came up behind its opening.
func (s *leaseSidecar) expectLateConnections() {
	if s.slowListener == nil {
		return
	}
	s.slowListener.mu.Lock()
	defer s.slowListener.mu.Unlock()
	s.trial.expect(s.slowListener.lateConnections > 0, "%s: no connection came up late", s.name)
}

// standingStill has the process stand still for a span.
func withProcessStopped(from, to time.Duration) func(*leaseSidecar) {
	return func(s *leaseSidecar) {
		s.disturbances = append(s.disturbances,
			disturbance{from, func() { s.processes[0].Process.Signal(syscall.SIGSTOP) }},
			disturbance{to, func() { s.processes[0].Process.Signal(syscall.SIGCONT) }})
	}
}

// besideOneThat has the endpoint that stays do something else.
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

// startBesideTroubled starts sidecars that have reason to try again, or to send a copy, at the endpoint that drains.
func startWithFaultyStayingEndpoint(start func(name string, options ...func(*leaseSidecar)) *leaseSidecar) {
	start("the other turns away", withStayingEndpoint(respondNotStarted))
	start("the other fails", withStayingEndpoint(respondError))
	start("the other is slow", withStayingEndpoint(respondSlowly))
	start("the other hangs", withStayingEndpoint(neverRespond))
}

// disturbance is done so long after the event, or before it.
type disturbance struct {
	at time.Duration
	do func()
}

// disturbancesBefore is the longest time before the event at which one is done.
const disturbanceLeadTime = 300 * time.Millisecond

// awaitEvent has the disturbances done in their time, and returns at that of the event.
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

// watch tells the list, and then what tell says, to one call.
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

// fallSilent has the open watches say nothing more.
func (d *leaseDiscovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentWatches = len(d.watches)
}

// tell says a change on watches, given by their numbers in the order in which they came; on all where none is given.
func (d *leaseDiscovery) sendChange(change string, watches ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, w := range d.watches {
		if len(watches) == 0 || n == watches[0] {
			w <- change
		}
	}
}

func withWatchChanges(s *leaseSidecar) { s.watchesSendChanges = true }

// An endpoint that was told to drain gets no request past the grace, whatever is under way to it when it is told.
func TestNoRequestToDrainingEndpointAfterNotification(t *testing.T) {
	const ms = time.Millisecond
	runLeaseTrial(t, func(trial *leaseTrial) {
		trial.timeout = longTimeout
		start := func(name string, options ...func(*leaseSidecar)) *leaseSidecar {
			return trial.startSidecar(name, 6, nil, append(options, withWatchChanges)...)
		}
		toFirst, toSecond := start("told to the first of two processes"), start("told to the second of two processes")
		start("undisturbed")
		start("dials slowly", withSlowListener(-250*ms, 600*ms), withStayingEndpoint(neverRespond))
		start("stands still for 0.15 s", withProcessStopped(-50*ms, 100*ms))
		start("stands still past the grace", withProcessStopped(-50*ms, 750*ms))
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
