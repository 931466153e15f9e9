// Discovery stand-in: the HTTP service that serves the list of endpoints. It keeps the list, applies faults of discovery
// to calls, and records when each sidecar counts as notified of a change. Each sidecar has an address of its own at which
// it calls discovery, which identifies the caller. The listed addresses of endpoints differ by sidecar, since sidecars
// reach endpoints through different links.

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

// listEntry is an endpoint in the list, in the form of discovery's protocol.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
	number  int     // the endpoint's number in the records
	version int     // the list's version at the entry's last change
}

// listUpdate is one line of an answer of discovery: the full list or what changed. The list in a sidecar's start file has
// the same form.
type listUpdate struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
	removed []listEntry // entries out of service, which a full list reports by leaving them out
}

// fullList takes the place of a version in a call for the full list.
const fullList = -1

// keepInService moves the entries that are not in service from Servers to removed.
func (t *listUpdate) keepInService() {
	t.Servers = slices.DeleteFunc(t.Servers, func(e listEntry) bool {
		if e.State != "in_service" {
			t.removed = append(t.removed, e)
		}
		return e.State != "in_service"
	})
}

// listServer is the stand-in of discovery.
type listServer struct {
	rig            *Rig
	httpServer     *http.Server
	mu             sync.Mutex
	version        int
	entries        []listEntry
	changed        chan struct{}         // closed with each change of the list
	outagesInForce int                   // number of faults that take it down now
	outageCount    int                   // number of faults that have taken it down so far
	delays         map[int]time.Duration // by fault number: delay of changes of the list
	conns          map[net.Conn]struct{} // open connections
	moved          map[int]bool          // by sidecar: its configuration names discovery's second address
	faultyCalls    map[int]int           // by sidecar: number of its next calls that get a faulty answer
	callQueue      *callqueue.Queue      // queue of calls while a fault limits the capacity of discovery; nil for none

	watchFaults map[int]watchFault // by fault number
	watches     map[int]int        // by sidecar: number of calls that got a list
	nextEnd     chan struct{}      // closed when the watches that missed a change are to end; nil while no end is scheduled
}

// maxQueueWait is the longest wait of a call in the queue of an overloaded discovery, under the policies that refuse or
// drop calls that would wait longer.
const maxQueueWait = 3 * time.Second

// Times after which a sidecar counts as notified of a change, whether or not it received it.
const (
	notifiedAfterReached = 6 * time.Second // since discovery had the change and was reachable
	notifiedAfterMoved   = 4 * time.Second // since the sidecar got a configuration with another address of discovery
)

// newListServer creates the stand-in of discovery, with an empty list.
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

// open listens at both of a sidecar's addresses of discovery.
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

// switchAddr makes a sidecar's next configuration name the other one of its two addresses of discovery.
func (l *listServer) switchAddr(sidecar int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved[sidecar] = !l.moved[sidecar]
}

// usesMovedAddr reports whether a sidecar's configuration names the second address.
func (l *listServer) usesMovedAddr(sidecar int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved[sidecar]
}

// setBusy limits the capacity of discovery, so that one call of each sidecar takes it roundTime altogether; 0 ends the
// limit. The policy for calls that would wait too long is drawn from the scenario's seed.
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

// waitInQueue waits until an overloaded discovery has done the work of a call. After an error the call gets no list.
func (l *listServer) waitInQueue(r *http.Request, sidecar int) error {
	l.mu.Lock()
	queue := l.callQueue
	l.mu.Unlock()
	if queue == nil {
		return nil
	}
	return queue.Take(r.Context(), strconv.Itoa(sidecar))
}

// faultNextCalls makes the next calls of each sidecar get faulty answers.
func (l *listServer) faultNextCalls(calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.rig.scenario.Fleet.Sidecars {
		l.faultyCalls[n] += calls
	}
}

// scheduleNotified schedules the time at which a sidecar counts as notified of the endpoints that left service after the
// given version and are out of service now. Nothing is recorded if, until that time, there was an outage of discovery or
// a fault of the sidecar's link to it, or if the sidecar is down then.
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
		return // the end of the outage schedules it anew
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

// scheduleNotifiedAll calls scheduleNotified for all sidecars and all endpoints out of service.
func (l *listServer) scheduleNotifiedAll(after time.Duration, why string) {
	for n := range l.rig.scenario.Fleet.Sidecars {
		l.scheduleNotified(n, fullList, after, why)
	}
}

// listLinkFaulty reports whether a sidecar's link to discovery had a fault, or the aftermath of one, between two times in
// ms.
func (r *Rig) listLinkFaulty(sidecar int, from, to float64) bool {
	for f := range r.scenario.Faults {
		fault := &r.scenario.Faults[f]
		if sidecars, _ := r.scenario.FaultTargets(f); fault.Link == "list" && containsPlace(sidecars, sidecar) && to >= fault.At*1000 && from < fault.End()*1000+faultAftermathMs {
			return true
		}
	}
	return false
}

// publish enters a change into the list, delayed by the faults in force.
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
			go l.scheduleNotifiedAll(notifiedAfterReached, "discovery listed it and was reachable")
		}
	}
	if wait > 0 {
		l.rig.afterFunc(wait, enter)
	} else {
		enter()
	}
}

// addOutage begins an outage of discovery for a fault (1) or ends it (-1). Outages may overlap.
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
		go l.scheduleNotifiedAll(notifiedAfterReached, "discovery is reachable again")
	}
}

// serveFault gives a call a faulty answer if one is due, and reports whether it did: an error status, a closed
// connection, no answer, or a truncated list with the connection left open or closed. Which one is drawn from the
// scenario's seed.
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

// changesSince returns the entries that changed after a version, with addresses for the given sidecar, or the full list
// if after is negative. The full list leaves out terminated endpoints. changed is closed with the next change.
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

// ServeHTTP answers a call of a sidecar to discovery.
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
