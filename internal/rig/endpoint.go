// Endpoint stand-in: serves HTTP/1.1 from the endpoint model of internal/emulator, limits its connections and records
// each leg that arrives. The work of an exchange is taken from its client's record, not from the request.

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

// endpoint is the stand-in of one endpoint.
type endpoint struct {
	scenario.Node
	number int // in the records, and of its address within the row
	addr   string
	rig    *Rig

	mu                sync.Mutex
	model             *emulator.Endpoint
	waiting           map[uint64]chan bool // by job: gets whether it succeeded; closed if the endpoint goes down
	lastJob           uint64               // number of the last job
	timer             *time.Timer          // for the model's next change
	recordedCollapses int                  // how many of the model's collapses are recorded

	httpServer *http.Server
	listener   net.Listener
	conns      map[net.Conn]bool // true once a leg has arrived on it
	down       bool              // crashed and not restarted
}

// newEndpoint starts an endpoint. A cold one starts its warm-up now; any other has been warm for long.
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

// connKey is the context key of a request's connection.
type connKey struct{}

// open listens at the endpoint's address. It retries for about 1 s while the address is still in use.
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

// trackConn keeps the set of open connections, and resets new ones beyond the endpoint's limit of connections.
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

// resetConn closes a connection with RST.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// crash takes the endpoint down: open connections are reset and new ones refused.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.model.Advance(e.rig.now(), e.jobDone)
	e.model.Stop()
	e.dropConns()
	e.listener.Close()
}

// dropConns resets all connections and ends the legs that wait. The lock is held.
func (e *endpoint) dropConns() {
	for c := range e.conns {
		resetConn(c)
	}
	for id, w := range e.waiting {
		delete(e.waiting, id)
		close(w)
	}
}

// restart starts a crashed endpoint again, cold.
func (e *endpoint) restart() error {
	e.mu.Lock()
	e.down = false
	e.model.Advance(e.rig.now(), e.jobDone)
	e.model.Restart(e.rig.now())
	e.mu.Unlock()
	return e.open()
}

// update advances the model to the present and changes it, under the endpoint's lock.
func (e *endpoint) update(change func(m *emulator.Endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Advance(e.rig.now(), e.jobDone)
	change(e.model)
	e.armTimer()
}

// jobDone passes the end of a job on to the leg that waits for it. The lock is held.
func (e *endpoint) jobDone(d emulator.Done) {
	if w := e.waiting[d.ID]; w != nil {
		delete(e.waiting, d.ID)
		w <- d.OK
	}
}

// armTimer sets the timer to the model's next change: the end of a job or a change of its speed.
func (e *endpoint) armTimer() {
	next := e.model.Next()
	if math.IsInf(next, 1) {
		e.timer.Stop()
		return
	}
	e.timer.Reset(time.Duration(max(next-e.rig.now(), 0) * float64(time.Millisecond)))
}

// timerFired advances the model to the present.
func (e *endpoint) timerFired() { e.update(func(*emulator.Endpoint) {}) }

// ServeHTTP takes a leg: it records the leg, runs it in the model and answers when the model has finished it.
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
		case !running: // closed by dropConns: the endpoint went down and its connections were reset
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

// close stops the endpoint at the end of the run.
func (e *endpoint) close() {
	e.timer.Stop()
	e.httpServer.Close()
}

// idempotencyKey returns the key that all legs of an exchange must carry. It names the exchange, so that another's key is
// detected.
func idempotencyKey(id string) string { return "key-" + id }

// answerBody returns the body of an exchange's answer. It names the exchange, so that another's answer is detected.
func answerBody(id string) string { return "made for " + id + "\n" }
