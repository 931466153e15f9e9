// Console: where operators call. This file owns its listener, its callers' connections and the names that staff read and
// say: served, refused, failed, attempts, maint, ready. They are mapped to ours here only. It must never wait for the loop
// without a bound, for the clients' door at all, or for a caller who says nothing; nor say yes to what is not in force.
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
	callersMost = 24                     // connections at once; descriptors are set aside for them
	callTime    = 3 * time.Second        // for a caller to say all
	forceTime   = 450 * time.Millisecond // for the loop to confirm: an answer is due within 1 s
	answerTime  = time.Second
	endpointMax = 200 // bytes of an id
)

// console answers staff.
type console struct {
	front *clientServer
	hands *hands.Hands
	log   *zap.Logger
	mu    sync.Mutex
	calls []*caller // the oldest first
}

// caller is one connection.
type caller struct {
	net.Conn
	console *console
	heard   bool // its call has come whole
}

type callerKey struct{}

func (c *caller) Close() error {
	c.console.mu.Lock()
	for n, o := range c.console.calls {
		if o == c {
			c.console.calls = append(c.console.calls[:n:n], c.console.calls[n+1:]...)
			break
		}
	}
	c.console.mu.Unlock()
	return c.Conn.Close()
}

// counter is the listener: the oldest silent caller gives way to a new one.
type counter struct {
	net.Listener
	console *console
}

func (l *counter) Accept() (net.Conn, error) {
	conn, err := acceptUntilClosed(l.Listener, l.console.front.counters, l.console.log)
	if err != nil {
		return nil, err
	}
	return l.console.seat(conn), nil
}

func (s *console) seat(conn net.Conn) *caller {
	c := &caller{Conn: conn, console: s}
	s.mu.Lock()
	var gone *caller
	if len(s.calls) >= callersMost {
		gone = s.calls[0]
		for _, o := range s.calls {
			if !o.heard {
				gone = o
				break
			}
		}
	}
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	if gone != nil {
		gone.Close()
	}
	return c
}

// httpServer takes one call a connection.
func (s *console) httpServer() *http.Server {
	complaints, _ := zap.NewStdLogAt(s.log, zap.DebugLevel) // silent callers are no news
	web := &http.Server{
		Handler: s.paths(), ReadTimeout: callTime, WriteTimeout: callTime, MaxHeaderBytes: maxHeadBytes, ErrorLog: complaints,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) },
	}
	web.SetKeepAlivesEnabled(false)
	return web
}

func (s *console) serve(web *http.Server, ln net.Listener) {
	if err := web.Serve(&counter{ln, s}); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("the console ended", zap.Error(err))
	}
}

// paths are matched as written: net/http's own table would send a caller with a double slash elsewhere.
func (s *console) paths() http.Handler {
	type handler = func(w http.ResponseWriter, r *http.Request)
	simple := map[string]handler{"/healthcheck": s.health, "/stats": s.stats}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			s.mu.Lock()
			c.heard = true
			s.mu.Unlock()
		}
		s.front.counters.consoleCalls.Add(1)
		closeAfterAnswer(w)
		method, do := http.MethodGet, simple[r.URL.Path]
		if rest, ours := strings.CutPrefix(r.URL.Path, "/endpoints/"); ours {
			if at := strings.LastIndexByte(rest, '/'); at >= 0 && (rest[at+1:] == "maint" || rest[at+1:] == "ready") {
				method, do = http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { s.byHand(w, rest[:at], rest[at+1:] == "maint") }
			}
		}
		switch {
		case do == nil:
			http.Error(w, "no such call", http.StatusNotFound)
		case r.Method != method:
			w.Header().Set("Allow", method)
			http.Error(w, method+" only", http.StatusMethodNotAllowed)
		default:
			do(w, r)
		}
	})
}

// health says yes while this process can serve: its door is open, a list is there, and it is not ending.
func (s *console) health(w http.ResponseWriter, _ *http.Request) {
	if !s.front.servesAlone() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	} else if s.front.pair != nil {
		s.front.pair.assure()
	}
}

// byHand takes an endpoint out or puts it back; 200 once that is in force and kept.
func (s *console) byHand(w http.ResponseWriter, id string, out bool) {
	if id == "" || len(id) > endpointMax || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c == '/' || c == 0x7f || c == 0xfffd }) {
		http.Error(w, "not an id", http.StatusBadRequest)
		return
	}
	within, done := context.WithTimeout(context.Background(), forceTime)
	defer done()
	switch err := s.hands.Change(within, id, out); {
	case errors.Is(err, hands.ErrNeverListed):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		s.log.Error("a call by hand is not kept for the next process", zap.String("endpoint", id), zap.Error(err))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "holds in this process only, so far: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !s.front.loop.confirmed(within) {
		http.Error(w, "not confirmed in time: call again", http.StatusServiceUnavailable)
		return
	}
	s.log.Info("by hand", zap.String("endpoint", id), zap.Bool("out", out))
}

// stats are the figures in staff's words.
func (s *console) stats(w http.ResponseWriter, _ *http.Request) {
	var a fastjson.Arena
	number := func(n int64) *fastjson.Value { return a.NewNumberInt(int(n)) }
	all, classes, attempts := a.NewObject(), a.NewObject(), int64(0)
	for name, n := range s.front.names.Products() {
		f, class := &s.front.counters.products[n], a.NewObject()
		class.Set("served", number(f.succeeded.Load()))
		class.Set("refused", number(f.shed.Load()))
		class.Set("failed", number(f.failed.Load()))
		class.Set("attempts", number(f.legs.Load()))
		attempts += f.legs.Load()
		classes.Set(name, class)
	}
	all.Set("requests", classes)
	all.Set("attempts", number(attempts))
	all.Set("in_flight", number(s.front.activeRequests.Load()))
	all.Set("endpoints_known", number(s.front.counters.listEndpoints.Load()))
	all.Set("endpoints_excluded", number(s.front.counters.endpointsAvoided.Load()))
	w.Header().Set("Content-Type", "application/json")
	w.Write(all.MarshalTo(nil))
}

// confirmed tells whether the loop has come past all that it was told until now.
func (l *loop) confirmed(within context.Context) bool {
	done := make(chan struct{})
	l.postUrgent(asked(func(*loop) { close(done) }))
	select {
	case <-done:
		return true
	case <-within.Done():
		return false
	}
}

// asked is an event that only calls.
type asked func(l *loop)

func (f asked) handle(l *loop) { f(l) }

// said is a call by hand on its way to the module.
type said struct {
	id  logic.EndpointID
	out bool
}

func (e said) handle(l *loop) {
	l.upstream.setOperatorDrain(e.id, e.out)
	if e.out {
		l.module.Drain(e.id)
	} else {
		l.module.Undrain(e.id)
	}
	l.publishedAt = 0 // whoever was told yes may ask for the figures at once
	l.publish()
}
