// Endpoint: the model of internal/emulator behind the platform's HTTP/1.1. This file owns the connections that an endpoint has
// and the account of each leg that comes. What an exchange costs is known from its client's account, not from the request.
package rig

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// endpoint is one of the platform's.
type endpoint struct {
	scenario.Node
	number int // in the book, and of its address
	addr   string
	rig    *Rig

	mu                sync.Mutex
	model             *emulator.Endpoint
	waiting           map[uint64]chan bool
	lastJob           uint64
	timer             *time.Timer
	recordedCollapses int

	httpServer *http.Server
	listener   net.Listener
	conns      map[net.Conn]bool // true once an exchange has come
	down       bool
}

func (r *Rig) newEndpoint(p scenario.Node, name string, cold bool) (*endpoint, error) {
	now := r.now()
	p.Name = name
	e := &endpoint{Node: p, rig: r, waiting: map[uint64]chan bool{}, conns: map[net.Conn]bool{}}
	started := -1e12
	if cold {
		started = now
	}
	e.number = r.book.AddEndpoint(name, now)
	e.addr = r.addrs.addr(rowEndpoint, e.number)
	e.model = emulator.New(r.scenario.EmulatorKind(p), r.scenario.SeedOf(name), started, now)
	e.timer = time.AfterFunc(time.Hour, e.timerFired)
	e.httpServer = &http.Server{Handler: e, IdleTimeout: scenario.EndpointIdleTimeout, ConnState: e.trackConn, ErrorLog: e.rig.serverLog(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	return e, e.open()
}

type connKey struct{}

func (e *endpoint) open() (err error) {
	for range 200 {
		if e.listener, err = net.Listen("tcp", e.addr); err == nil {
			go e.httpServer.Serve(e.listener)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return e.rig.explainLimit(err)
}

// follow keeps the connections that are open, within the bound.
func (e *endpoint) trackConn(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(e.conns) >= e.rig.scenario.Endpoints[e.GroupIndex].MaxConnections || e.down {
			resetConn(c)
			return
		}
		e.conns[c] = false
		e.rig.book.CountConnection(e.number)
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// cut ends a connection with RST.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// crash ends the process: its connections are reset, new ones refused.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.model.Advance(e.rig.now(), e.jobDone)
	e.model.Stop()
	e.dropConns()
	e.listener.Close()
}

func (e *endpoint) dropConns() {
	for c := range e.conns {
		resetConn(c)
	}
	for id, w := range e.waiting {
		delete(e.waiting, id)
		close(w)
	}
}

// comeBack starts it anew, cold.
func (e *endpoint) restart() error {
	e.mu.Lock()
	e.down = false
	e.model.Advance(e.rig.now(), e.jobDone)
	e.model.Restart(e.rig.now())
	e.mu.Unlock()
	return e.open()
}

// alter changes the model under its lock.
func (e *endpoint) update(change func(m *emulator.Endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Advance(e.rig.now(), e.jobDone)
	change(e.model)
	e.armTimer()
}

func (e *endpoint) jobDone(d emulator.Done) {
	if w := e.waiting[d.ID]; w != nil {
		delete(e.waiting, d.ID)
		w <- d.OK
	}
}

// arm sets the timer for the next thing that happens by itself.
func (e *endpoint) armTimer() {
	next := e.model.Next()
	if math.IsInf(next, 1) {
		e.timer.Stop()
		return
	}
	e.timer.Reset(time.Duration(max(next-e.rig.now(), 0) * float64(time.Millisecond)))
}

func (e *endpoint) timerFired() { e.update(func(*emulator.Endpoint) {}) }

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := e.rig.now()
	if r.URL.Path == "/alive" {
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	leg := &records.Leg{Exchange: id, Endpoint: e.number, ArrivedAt: at}
	exchange := e.rig.book.FindExchange(id)
	if exchange != nil {
		leg.Work = exchange.Work
		leg.KeyIntact = r.Header.Get("Idempotency-Key") == idempotencyKey(id)
		leg.DeadlineMs, _ = strconv.ParseFloat(strings.TrimSuffix(r.Header.Get("Request-Timeout"), "m"), 64)
	}
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	e.mu.Lock()
	used, open := e.conns[conn]
	if leg.NewConnection = open && !used; open {
		e.conns[conn] = true
	}
	e.rig.book.AddLeg(leg)
	work := leg.Work
	if leg.NewConnection {
		work += e.rig.scenario.Endpoints[e.GroupIndex].HandshakeWork
	}
	e.model.Advance(e.rig.now(), e.jobDone)
	e.lastJob++
	job, ready := e.lastJob, make(chan bool, 1)
	result := e.model.Arrive(job, work)
	switch result {
	case emulator.Accepted:
		e.waiting[job] = ready
	case emulator.Down:
		if e.model.Collapses > e.recordedCollapses {
			e.recordedCollapses = e.model.Collapses
			e.rig.book.RecordCollapse(e.number, at)
		}
		e.dropConns()
	}
	e.armTimer()
	e.mu.Unlock()
	switch result {
	case emulator.Full:
		e.rig.book.EndLeg(leg, "full", e.rig.now())
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case emulator.Failed:
		e.rig.book.EndLeg(leg, "failed", e.rig.now())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case ok, running := <-ready:
		switch {
		case !running: // closed: the process is gone, and so is the connection
			e.rig.book.EndLeg(leg, "cut", e.rig.now())
		case ok:
			e.rig.book.EndLeg(leg, "satisfied", e.rig.now())
			io.WriteString(w, answerBody(id))
		default:
			e.rig.book.EndLeg(leg, "errored", e.rig.now())
			w.WriteHeader(http.StatusInternalServerError)
		}
	case <-r.Context().Done():
		e.rig.book.EndLeg(leg, "left", e.rig.now())
		e.mu.Lock()
		delete(e.waiting, job)
		e.model.Advance(e.rig.now(), e.jobDone)
		e.model.Cancel(job)
		e.armTimer()
		e.mu.Unlock()
	}
}

func (e *endpoint) close() {
	e.timer.Stop()
	e.httpServer.Close()
}

// keyOf and answerTo are what an exchange carries and what comes of it, so that neither can be another's.
func idempotencyKey(id string) string { return "key-" + id }
func answerBody(id string) string     { return "made for " + id + "\n" }
