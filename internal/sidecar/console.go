// This file owns the operators' console: its listener, its connections and the names that operators read and write (served,
// refused, failed, attempts, maint, ready), which are mapped to the code's terms here only. Invariants: the console never waits
// for the event loop without a bound, for the clients' listener at all, or for a silent caller, and it never confirms a change
// that is not in force.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	maxCallers         = 24                     // concurrent connections; descriptors are reserved for them
	callTimeout        = 3 * time.Second        // for reading a request and for writing its answer
	confirmTimeout     = 450 * time.Millisecond // for the file and the event loop to confirm a change: an answer is due within 1 s
	answerTimeout      = time.Second            // within which a call must be answered
	maxEndpointIDBytes = 200
)

// console answers the operators' calls.
type console struct {
	server  *clientServer
	drains  *hands.DrainStore
	log     *zap.Logger
	mu      sync.Mutex
	callers []*caller // open connections, oldest first; guarded by mu
}

// caller is one connection to the console.
type caller struct {
	net.Conn
	console         *console
	requestComplete bool // its request head has been received; guarded by console.mu
}

// callerKey is the context key of a request's caller.
type callerKey struct{}

// Close removes the connection from the console and closes it.
func (c *caller) Close() error {
	c.console.mu.Lock()
	for n, other := range c.console.callers {
		if other == c {
			c.console.callers = append(c.console.callers[:n:n], c.console.callers[n+1:]...)
			break
		}
	}
	c.console.mu.Unlock()
	return c.Conn.Close()
}

// callerListener is the console's listener. At the limit of connections, the oldest silent one is closed for a new one.
type callerListener struct {
	net.Listener
	console *console
}

// Accept accepts the next connection and registers it as a caller.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := acceptUntilClosed(l.Listener, l.console.server.counters, l.console.log)
	if err != nil {
		return nil, err
	}
	return l.console.addCaller(conn), nil
}

// addCaller registers a connection. If there are maxCallers, it closes the oldest one without a complete request, or else the oldest.
func (s *console) addCaller(conn net.Conn) *caller {
	c := &caller{Conn: conn, console: s}
	s.mu.Lock()
	var evicted *caller
	if len(s.callers) >= maxCallers {
		evicted = s.callers[0]
		for _, other := range s.callers {
			if !other.requestComplete {
				evicted = other
				break
			}
		}
	}
	s.callers = append(s.callers, c)
	s.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return c
}

// httpServer returns the console's HTTP server; it answers one call on each connection.
func (s *console) httpServer() *http.Server {
	errorLog, _ := zap.NewStdLogAt(s.log, zap.DebugLevel) // time-outs of silent callers are not worth more than the debug level
	server := &http.Server{
		Handler: s.routes(), ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeadBytes, ErrorLog: errorLog,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) },
	}
	server.SetKeepAlivesEnabled(false)
	return server
}

// serve accepts calls from ln until server is closed.
func (s *console) serve(server *http.Server, ln net.Listener) {
	if err := server.Serve(&callerListener{ln, s}); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("console stopped serving after an error", zap.Error(err))
	}
}

// routes returns the handler of all calls. Paths are matched as written: http.ServeMux would redirect one with a double slash.
func (s *console) routes() http.Handler {
	type handler = func(w http.ResponseWriter, r *http.Request)
	simple := map[string]handler{"/healthcheck": s.health, "/stats": s.stats}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			s.mu.Lock()
			c.requestComplete = true
			s.mu.Unlock()
		}
		s.server.counters.consoleCalls.Add(1)
		closeAfterAnswer(w)
		method, handle := http.MethodGet, simple[r.URL.Path]
		if rest, ok := strings.CutPrefix(r.URL.Path, "/endpoints/"); ok {
			if at := strings.LastIndexByte(rest, '/'); at >= 0 && (rest[at+1:] == "maint" || rest[at+1:] == "ready") {
				method, handle = http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { s.setDrain(w, rest[:at], rest[at+1:] == "maint") }
			}
		}
		switch {
		case handle == nil:
			http.Error(w, "no such call", http.StatusNotFound)
		case r.Method != method:
			w.Header().Set("Allow", method)
			http.Error(w, method+" only", http.StatusMethodNotAllowed)
		default:
			handle(w, r)
		}
	})
}

// health answers 200 while this process can serve: its listener is open, it has an endpoint list, and it is not shutting down.
func (s *console) health(w http.ResponseWriter, _ *http.Request) {
	if !s.server.servesAlone() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	} else if s.server.processes != nil {
		s.server.processes.updateSiblingsNow()
	}
}

// setDrain drains or undrains an endpoint. It answers 200 once the change is in force and saved.
func (s *console) setDrain(w http.ResponseWriter, id string, drained bool) {
	if id == "" || len(id) > maxEndpointIDBytes || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c == '/' || c == 0x7f || c == 0xfffd }) {
		http.Error(w, "not an id", http.StatusBadRequest)
		return
	}
	ctx, done := context.WithTimeout(context.Background(), confirmTimeout)
	defer done()
	switch err := s.drains.SetDrain(ctx, id, drained); {
	case errors.Is(err, hands.ErrNeverListed):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		s.log.Error("operator drain or undrain is not saved for the next process", zap.String("endpoint", id), zap.Error(err))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "holds in this process only, so far: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !s.server.loop.waitUntilHandled(ctx) {
		http.Error(w, "not confirmed in time: call again", http.StatusServiceUnavailable)
		return
	}
	s.log.Info("endpoint drained or undrained by operator", zap.String("endpoint", id), zap.Bool("out", drained))
}

// stats answers with the counters, under the names that operators know.
func (s *console) stats(w http.ResponseWriter, _ *http.Request) {
	var a fastjson.Arena
	number := func(n int64) *fastjson.Value { return a.NewNumberInt(int(n)) }
	all, classes, attempts := a.NewObject(), a.NewObject(), int64(0)
	for name, n := range s.server.names.Products() {
		f, class := &s.server.counters.products[n], a.NewObject()
		class.Set("served", number(f.succeeded.Load()))
		class.Set("refused", number(f.shed.Load()))
		class.Set("failed", number(f.failed.Load()))
		class.Set("attempts", number(f.legs.Load()))
		attempts += f.legs.Load()
		classes.Set(name, class)
	}
	all.Set("requests", classes)
	all.Set("attempts", number(attempts))
	all.Set("in_flight", number(s.server.activeRequests.Load()))
	all.Set("endpoints_known", number(s.server.counters.listEndpoints.Load()))
	all.Set("endpoints_excluded", number(s.server.counters.endpointsAvoided.Load()))
	w.Header().Set("Content-Type", "application/json")
	w.Write(all.MarshalTo(nil))
}

// waitUntilHandled reports whether the loop has handled all events posted before the call, within the time of ctx.
func (l *loop) waitUntilHandled(ctx context.Context) bool {
	done := make(chan struct{})
	l.postUrgent(loopCall(func(*loop) { close(done) }))
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// loopCall is an event that runs a function in the loop.
type loopCall func(l *loop)

func (f loopCall) handle(l *loop) { f(l) }

// operatorDrainChange is the event of an endpoint drained or undrained by operator; it forwards the change to the module.
type operatorDrainChange struct {
	id      logic.EndpointID
	drained bool
}

func (e operatorDrainChange) handle(l *loop) {
	l.upstream.setOperatorDrain(e.id, e.drained)
	if e.drained {
		l.module.Drain(e.id)
	} else {
		l.module.Undrain(e.id)
	}
	l.publishedAt = 0 // published at once: the operator may read the counters right after the confirmation
	l.publish()
}
