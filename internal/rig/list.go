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
type listed struct {
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
type telling struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
	unnamed []listed // out of service, and told by a whole list that does not name them
}

// wholeList stands in place of a version for a call that asks for all there is.
const wholeList = -1

// leaveOut has a whole list name only what is in service.
func (t *telling) leaveOut() {
	t.Servers = slices.DeleteFunc(t.Servers, func(e listed) bool {
		if e.State != "in_service" {
			t.unnamed = append(t.unnamed, e)
		}
		return e.State != "in_service"
	})
}

type lists struct {
	rig     *Rig
	web     *http.Server
	mu      sync.Mutex
	version int
	entries []listed
	changed chan struct{}
	off     int // faults that take it down
	outages int // faults that have taken it down so far
	late    map[int]time.Duration
	conns   map[net.Conn]struct{}
	moved   map[int]bool     // sidecars whose configuration names the other address
	spoilt  map[int]int      // calls of a sidecar that are still to be spoilt
	queue   *callqueue.Queue // of calls while a fault leaves the service little capacity; nil for none

	watchFaults map[int]watchFault // by the fault's number
	watches     map[int]int        // calls of a sidecar that got a list
	nextEnd     chan struct{}      // closed when the watches end that miss a change; nil while none is planned
}

// queuePatience is how long a call waits at a busy service, where that refuses or drops calls that would wait longer.
const queuePatience = 3 * time.Second

// Spans after which a change counts as notified, whether or not it was heard: after discovery had it and could be reached, and
// after a new configuration.
const (
	notifiedAfterReached = 6 * time.Second
	notifiedAfterMoved   = 4 * time.Second
)

func (r *Rig) newLists() *lists {
	l := &lists{rig: r, changed: make(chan struct{}), late: map[int]time.Duration{}, conns: map[net.Conn]struct{}{},
		moved: map[int]bool{}, spoilt: map[int]int{}, watchFaults: map[int]watchFault{}, watches: map[int]int{}}
	l.web = &http.Server{Handler: l, ErrorLog: r.webLog(), ConnState: func(c net.Conn, s http.ConnState) {
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

func (l *lists) open(sidecar int) error {
	for _, row := range []int{rowList, rowListMoved} {
		ln, err := net.Listen("tcp", l.rig.block.at(row, sidecar))
		if err != nil {
			return l.rig.plain(err)
		}
		go l.web.Serve(ln)
	}
	return nil
}

// move has a sidecar's next configuration name the other address.
func (l *lists) move(sidecar int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved[sidecar] = !l.moved[sidecar]
}

func (l *lists) hasMoved(sidecar int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved[sidecar]
}

// busy leaves the service so much work for one call of each sidecar together; 0 ends it. What it does with calls that would wait
// long is drawn by the seed.
func (l *lists) busy(round time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue = nil; round > 0 {
		policy := callqueue.Policy(l.rig.s.SeedOf("list-busy") % uint64(callqueue.NumPolicies))
		l.queue = callqueue.New(round/time.Duration(l.rig.s.Fleet.Sidecars), queuePatience, policy)
		if l.off > 0 {
			l.queue.Down()
		}
	}
}

// awaitTurn waits in a busy service's queue; an error says that the call gets no list.
func (l *lists) awaitTurn(r *http.Request, sidecar int) error {
	l.mu.Lock()
	queue := l.queue
	l.mu.Unlock()
	if queue == nil {
		return nil
	}
	return queue.Take(r.Context(), strconv.Itoa(sidecar))
}

// spoilNext spoils the next calls of each sidecar.
func (l *lists) spoilNext(calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.rig.s.Fleet.Sidecars {
		l.spoilt[n] += calls
	}
}

// owe enters what went out of service after a version, and is out by now, as told to a sidecar after a while, if the service can be
// reached until then.
func (l *lists) owe(sidecar, version int, after time.Duration, why string) {
	l.mu.Lock()
	outages, off := l.outages, l.off > 0
	var out []int
	for _, e := range l.entries {
		if e.State != "in_service" && e.version > version {
			out = append(out, e.number)
		}
	}
	l.mu.Unlock()
	if off || len(out) == 0 {
		return // the end of the outage begins the time anew
	}
	from := l.rig.now()
	at := from + float64(after.Milliseconds())
	l.rig.later(after, func() {
		l.mu.Lock()
		reachable := l.outages == outages
		l.mu.Unlock()
		if !reachable || l.rig.listLinkFaulty(sidecar, from, at) || l.rig.sidecar(sidecar) == nil {
			return
		}
		for _, number := range out {
			l.rig.book.RecordDrain(sidecar, number, at, why)
		}
	})
}

func (l *lists) oweAll(after time.Duration, why string) {
	for n := range l.rig.s.Fleet.Sidecars {
		l.owe(n, wholeList, after, why)
	}
}

// listLinkFaulty tells whether a fault lay on a sidecar's link to the list service within a time.
func (r *Rig) listLinkFaulty(sidecar int, from, to float64) bool {
	for f := range r.s.Faults {
		o := &r.s.Faults[f]
		if who, _ := r.s.FaultTargets(f); o.Link == "list" && has(who, sidecar) && to >= o.At*1000 && from < o.End()*1000+outageSlack {
			return true
		}
	}
	return false
}

// say enters a change, as late as the faults in force have it.
func (l *lists) say(e listed) {
	l.mu.Lock()
	wait := time.Duration(0)
	for _, w := range l.late {
		wait += w
	}
	l.mu.Unlock()
	enter := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version++
		e.version = l.version
		if n := slices.IndexFunc(l.entries, func(o listed) bool { return o.ID == e.ID }); n >= 0 {
			l.entries[n] = e
		} else {
			l.entries = append(l.entries, e)
		}
		if most := l.watchFaultLocked(watchesEnd); most > 0 {
			l.planEnd(time.Duration(most*float64(time.Second)), l.version)
		}
		close(l.changed)
		l.changed = make(chan struct{})
		if e.State != "in_service" {
			go l.oweAll(notifiedAfterReached, "discovery had it and could be reached")
		}
	}
	if wait > 0 {
		l.rig.later(wait, enter)
	} else {
		enter()
	}
}

// down takes the service away for a fault, or gives it back.
func (l *lists) down(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off += by; l.off > 0 {
		l.outages++
		if l.queue != nil {
			l.queue.Down()
		}
		for c := range l.conns {
			cut(c)
		}
	} else {
		if l.queue != nil {
			l.queue.Up()
		}
		go l.oweAll(notifiedAfterReached, "discovery is back")
	}
}

// spoil answers a call with a fault, if one is due.
func (l *lists) spoil(sidecar int, w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	due := l.spoilt[sidecar]
	if due > 0 {
		l.spoilt[sidecar]--
	}
	version := l.version
	l.mu.Unlock()
	if due == 0 {
		return false
	}
	const kinds = 5
	switch l.rig.s.SeedOf(fmt.Sprint("spoilt", sidecar, due, version)) % kinds {
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
func (l *lists) since(sidecar, after int) (t telling, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t = telling{Version: l.version, Full: after < 0, Servers: []listed{}}
	for _, e := range l.entries {
		if !t.Full && e.version <= after {
			continue
		}
		if t.Full && e.State == "terminated" {
			t.unnamed = append(t.unnamed, e)
			continue
		}
		e.Addr = l.rig.addrFor(sidecar, e.number)
		t.Servers = append(t.Servers, e)
	}
	return t, l.changed
}

func (l *lists) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, at, _ := net.SplitHostPort(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	sidecar := l.rig.sidecarAt(host, at)
	l.mu.Lock()
	off := l.off > 0
	l.mu.Unlock()
	if off || sidecar < 0 || r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if l.spoil(sidecar, w, r) {
		return
	}
	if l.awaitTurn(r, sidecar) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.newWatch(sidecar, w, r).serve()
}
