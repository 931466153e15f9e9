// List: the platform's list service. This file owns what is listed, whom it told what, and how late. Each sidecar asks at an
// address of its own, which is how the service knows who asks; addresses of endpoints differ by sidecar, since links do.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/callqueue"
)

// listed is one entry, in the protocol's form.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
	number  int     // of the endpoint
	version int     // of its last change
}

// telling is one line of a watch, and the start file's list.
type listUpdate struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
	removed []listEntry // out of service, and told by a whole list that does not name them
}

// wholeList stands in place of a version for a call that asks for all there is.
const fullList = -1

// leaveOut has a whole list name only what is in service.
func (t *listUpdate) keepInService() {
	t.Servers = slices.DeleteFunc(t.Servers, func(e listEntry) bool {
		if e.State != "in_service" {
			t.removed = append(t.removed, e)
		}
		return e.State != "in_service"
	})
}

type listServer struct {
	rig            *Rig
	httpServer     *http.Server
	mu             sync.Mutex
	version        int
	entries        []listEntry
	changed        chan struct{}
	outagesInForce int // faults that take it down
	outageCount    int // faults that have taken it down so far
	delays         map[int]time.Duration
	conns          map[net.Conn]struct{}
	moved          map[int]bool     // sidecars whose configuration names the other address
	faultyCalls    map[int]int      // calls of a sidecar that are still to be spoilt
	callQueue      *callqueue.Queue // of calls while a fault leaves the service little capacity; nil for none

	watchFaults map[int]watchFault // by the fault's number
	watches     map[int]int        // calls of a sidecar that got a list
	nextEnd     chan struct{}      // closed when the watches end that miss a change; nil while none is planned
}

// queuePatience is how long a call waits at a busy service, where that refuses or drops calls that would wait longer.
const maxQueueWait = 3 * time.Second

// Spans after which a change counts as notified, whether or not it was heard: after discovery had it and could be reached, and
// after a new configuration.
const (
	notifiedAfterReached = 6 * time.Second
	notifiedAfterMoved   = 4 * time.Second
)

func (r *Rig) newListServer() *listServer {
	l := &listServer{rig: r, changed: make(chan struct{}), delays: map[int]time.Duration{}, conns: map[net.Conn]struct{}{},
		moved: map[int]bool{}, faultyCalls: map[int]int{}, watchFaults: map[int]watchFault{}, watches: map[int]int{}}
	l.httpServer = &http.Server{Handler: l, ErrorLog: r.serverLog(), ConnState: func(c net.Conn, s http.ConnState) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch s {
		case http.StateNew:
			l.conns[c] = struct{}{}
		case http.StateClosed:
			delete(l.conns, c)
		}
	}}
	return l
}

func (l *listServer) open(sidecar int) error {
	for _, row := range []int{rowList, rowListMoved} {
		ln, err := net.Listen("tcp", l.rig.addrs.addr(row, sidecar))
		if err != nil {
			return l.rig.explainLimit(err)
		}
		go l.httpServer.Serve(ln)
	}
	return nil
}

// move has a sidecar's next configuration name the other address.
func (l *listServer) switchAddr(sidecar int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved[sidecar] = !l.moved[sidecar]
}

func (l *listServer) usesMovedAddr(sidecar int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved[sidecar]
}

// busy leaves the service so much work for one call of each sidecar together; 0 ends it. What it does with calls that would wait
// long is drawn by the seed.
func (l *listServer) setBusy(roundTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callQueue = nil; roundTime > 0 {
		policy := callqueue.Policy(l.rig.scenario.SeedOf("list-busy") % uint64(callqueue.NumPolicies))
		l.callQueue = callqueue.New(roundTime/time.Duration(l.rig.scenario.Fleet.Sidecars), maxQueueWait, policy)
		if l.outagesInForce > 0 {
			l.callQueue.Down()
		}
	}
}

// awaitTurn waits in a busy service's queue; an error says that the call gets no list.
func (l *listServer) waitInQueue(r *http.Request, sidecar int) error {
	l.mu.Lock()
	queue := l.callQueue
	l.mu.Unlock()
	if queue == nil {
		return nil
	}
	return queue.Take(r.Context(), strconv.Itoa(sidecar))
}

// spoilNext spoils the next calls of each sidecar.
func (l *listServer) faultNextCalls(calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.rig.scenario.Fleet.Sidecars {
		l.faultyCalls[n] += calls
	}
}

// owe enters what went out of service after a version, and is out by now, as told to a sidecar after a while, if the service can be
// reached until then.
func (l *listServer) scheduleNotified(sidecar, version int, after time.Duration, why string) {
	l.mu.Lock()
	outageCount, isDown := l.outageCount, l.outagesInForce > 0
	var removed []int
	for _, e := range l.entries {
		if e.State != "in_service" && e.version > version {
			removed = append(removed, e.number)
		}
	}
	l.mu.Unlock()
	if isDown || len(removed) == 0 {
		return // the end of the outage begins the time anew
	}
	from := l.rig.now()
	at := from + float64(after.Milliseconds())
	l.rig.afterFunc(after, func() {
		l.mu.Lock()
		reachable := l.outageCount == outageCount
		l.mu.Unlock()
		if !reachable || l.rig.listLinkFaulty(sidecar, from, at) || l.rig.sidecar(sidecar) == nil {
			return
		}
		for _, number := range removed {
			l.rig.book.RecordDrain(sidecar, number, at, why)
		}
	})
}

func (l *listServer) scheduleNotifiedAll(after time.Duration, why string) {
	for n := range l.rig.scenario.Fleet.Sidecars {
		l.scheduleNotified(n, fullList, after, why)
	}
}

// listLinkFaulty tells whether a fault lay on a sidecar's link to the list service within a time.
func (r *Rig) listLinkFaulty(sidecar int, from, to float64) bool {
	for f := range r.scenario.Faults {
		fault := &r.scenario.Faults[f]
		if sidecars, _ := r.scenario.FaultTargets(f); fault.Link == "list" && containsPlace(sidecars, sidecar) && to >= fault.At*1000 && from < fault.End()*1000+faultAftermathMs {
			return true
		}
	}
	return false
}

// say enters a change, as late as the faults in force have it.
func (l *listServer) publish(e listEntry) {
	l.mu.Lock()
	wait := time.Duration(0)
	for _, w := range l.delays {
		wait += w
	}
	l.mu.Unlock()
	enter := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version++
		e.version = l.version
		if n := slices.IndexFunc(l.entries, func(o listEntry) bool { return o.ID == e.ID }); n >= 0 {
			l.entries[n] = e
		} else {
			l.entries = append(l.entries, e)
		}
		if maxDelay := l.watchFaultSizeLocked(faultListEnds); maxDelay > 0 {
			l.scheduleEnd(time.Duration(maxDelay*float64(time.Second)), l.version)
		}
		close(l.changed)
		l.changed = make(chan struct{})
		if e.State != "in_service" {
			go l.scheduleNotifiedAll(notifiedAfterReached, "discovery had it and could be reached")
		}
	}
	if wait > 0 {
		l.rig.afterFunc(wait, enter)
	} else {
		enter()
	}
}

// down takes the service away for a fault, or gives it back.
func (l *listServer) addOutage(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outagesInForce += by; l.outagesInForce > 0 {
		l.outageCount++
		if l.callQueue != nil {
			l.callQueue.Down()
		}
		for c := range l.conns {
			resetConn(c)
		}
	} else {
		if l.callQueue != nil {
			l.callQueue.Up()
		}
		go l.scheduleNotifiedAll(notifiedAfterReached, "discovery is back")
	}
}

// spoil answers a call with a fault, if one is due.
func (l *listServer) serveFault(sidecar int, w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	due := l.faultyCalls[sidecar]
	if due > 0 {
		l.faultyCalls[sidecar]--
	}
	version := l.version
	l.mu.Unlock()
	if due == 0 {
		return false
	}
	const kinds = 5
	switch l.rig.scenario.SeedOf(fmt.Sprint("spoilt", sidecar, due, version)) % kinds {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		<-r.Context().Done()
	case 3:
		fmt.Fprintf(w, `{"version":%d,"full":true,"serv`, version)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case 4:
		fmt.Fprintf(w, `{"version":%d,"full":true,"serv`, version)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	return true
}

// since is what a sidecar has not heard of yet; after below 0 is all.
func (l *listServer) changesSince(sidecar, after int) (t listUpdate, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t = listUpdate{Version: l.version, Full: after < 0, Servers: []listEntry{}}
	for _, e := range l.entries {
		if !t.Full && e.version <= after {
			continue
		}
		if t.Full && e.State == "terminated" {
			t.removed = append(t.removed, e)
			continue
		}
		e.Addr = l.rig.addrFor(sidecar, e.number)
		t.Servers = append(t.Servers, e)
	}
	return t, l.changed
}

func (l *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, port, _ := net.SplitHostPort(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	sidecar := l.rig.sidecarByListAddr(host, port)
	l.mu.Lock()
	isDown := l.outagesInForce > 0
	l.mu.Unlock()
	if isDown || sidecar < 0 || r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if l.serveFault(sidecar, w, r) {
		return
	}
	if l.waitInQueue(r, sidecar) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.newWatch(sidecar, w, r).serve()
}
