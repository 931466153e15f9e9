// Server: the application's side. This file owns the listener, the reading of requests into exchanges and the writing
// of their one answer. It must never answer twice, pass on part of an answer, or choose what becomes of an exchange.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	takeTime = 5 * time.Second // for an answer to be taken
	idMost   = 200             // bytes: ids are remembered
	mostWait = 3600 * 1000.    // milliseconds; a client that says it waits longer is mistaken
	comeBack = "0.500"         // seconds, where there is no room to ask the module
)

// front answers clients.
type front struct {
	loop      *loop
	names     *terms.Names
	products  []logic.Product
	sockets   *sockets
	counters  *Counters
	log       *zap.Logger
	listener  atomic.Pointer[clientListener]
	pair      *pair                     // nil where no other process may come
	open      atomic.Bool               // the door takes clients
	succeeded atomic.Bool               // another process has the door
	handlers  atomic.Int64              // requests whose head was read and that are not ended
	transfers atomic.Int64              // of these, long requests that still come and long answers on their way
	inHand    atomic.Int64              // requests taken and not ended, answers on their way included
	until     atomic.Pointer[time.Time] // once ending: nobody waits longer, and after it nothing is taken
	pace      pace
	bodies    atomic.Int64 // bytes of requests in hand
	bodyRoom  int64
	keptMost  int64 // bytes of a request that is kept whole
}

// pace notices when the process stood still, be it stopped or without a core: what is read just after may have come
// just before, and its client's time has run on. All times are since the loop started.
type pace struct{ last, ended, length atomic.Int64 }

const paceBeat = 20 * time.Millisecond

// beat is called every paceBeat, and tells whether it came far too late.
func (p *pace) beat(now time.Duration) bool {
	gap := now - time.Duration(p.last.Swap(int64(now)))
	if gap <= 2*paceBeat {
		return false
	}
	p.length.Store(int64(gap))
	p.ended.Store(int64(now))
	return true
}

// behind is how long ago something that is read now may have come.
func (p *pace) behind(now time.Duration) time.Duration {
	if gap := now - time.Duration(p.last.Load()); gap > 2*paceBeat {
		return gap
	}
	since := now - time.Duration(p.ended.Load())
	if length := time.Duration(p.length.Load()); length > 0 && since <= 2*paceBeat {
		return max(length+since, 0) // a beat may have come since now was read
	}
	return 0
}

func (s *front) keepPace(ctx context.Context) {
	ticks := time.NewTicker(paceBeat)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if s.pace.beat(time.Since(s.loop.started)) {
				s.counters.standstills.Add(1)
				s.counters.standstillMs.Add(s.pace.length.Load() / int64(time.Millisecond))
			}
		}
	}
}

// serves tells whether all clients may come here alone.
func (s *front) serves() bool { return s.takes() && (s.pair == nil || s.pair.clear()) }

// takes tells whether an exchange that comes now would find all it needs.
func (s *front) takes() bool {
	return s.open.Load() && s.loop.loaded.Load() && s.until.Load() == nil && (s.pair == nil || s.pair.settled())
}

// yields tells whether a new process takes the clients, and kept connections should go there.
func (s *front) yields() bool {
	listener := s.listener.Load()
	return listener != nil && listener.held()
}

type clientKey struct{}

// httpServer wires net/http to it.
func (s *front) httpServer() *http.Server {
	complaints, _ := zap.NewStdLogAt(s.log, zap.WarnLevel)
	return &http.Server{
		Handler: s, ReadTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: headMost,
		ErrorLog: complaints, DisableGeneralOptionsHandler: true, // which answers OPTIONS * with 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
		// Broken framing is answered 400 by net/http without a handler; it is counted here.
		ConnState: func(c net.Conn, state http.ConnState) {
			switch k, _ := c.(*client); {
			case k == nil:
			case state == http.StateIdle:
				k.begun, k.taken, k.kept = false, false, true
				k.become(idle)
			case state == http.StateClosed && !k.begun && (phase(k.phase.Load()) == reading || phase(k.phase.Load()) == busy):
				s.counters.badInput.Add(1)
			}
		},
	}
}

func (s *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	k, _ := r.Context().Value(clientKey{}).(*client)
	if k != nil {
		k.begun = true
	}
	http.NewResponseController(w).SetWriteDeadline(came.Add(takeTime))
	var x *exchange
	wrote, class := false, logic.ProductID(-1)
	defer func() {
		if fault := recover(); fault != nil {
			if fault == http.ErrAbortHandler {
				panic(fault) // no defect: the connection is broken off
			}
			s.counters.panics.Add(1)
			s.log.Error("panic at a connection", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil {
				s.loop.post(departure{x})
			}
			if wrote {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			s.counters.class(class).answered(http.StatusBadGateway)
		}
	}()
	// Behind a body in chunks, or by the old protocol, nothing is read that might have been hidden in it.
	if s.until.Load() != nil || s.yields() || s.sockets.crowded() || len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get("Request-Id") == "" && r.Method == http.MethodGet {
		switch r.URL.Path {
		case "/up":
			if !s.loop.loaded.Load() || s.until.Load() != nil && !s.succeeded.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		case "/counters":
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			s.counters.Print(s.sockets, w)
			return
		}
	}
	size := r.ContentLength
	if size < 0 || size > s.keptMost {
		size = bodyMost + flowMost // what is kept of a long one at any time
	}
	if r.ContentLength <= longMost {
		defer s.bodies.Add(-size)
		if s.bodies.Add(size) > s.bodyRoom || k != nil && k.excess {
			s.turnAway(w, r)
			return
		}
	}
	s.handlers.Add(1)
	defer s.handlers.Add(-1)
	var status int
	var why string
	if x, status, why = s.read(w, r, came); x == nil {
		s.counters.badInput.Add(1)
		hangUpAfter(w)
		http.Error(w, why, status)
		return
	}
	if end := s.until.Load(); end != nil {
		x.abandon = min(x.abandon, s.loop.at(*end)) // SIGKILL may follow
	}
	if x.abandon <= s.loop.at(came) || k != nil && !k.become(busy) {
		s.turnAway(w, r)
		return
	}
	if x.client = k; x.deserted() {
		s.counters.left.Add(1) // while it was read
		answer{status: http.StatusBadGateway}.write(w)
		return
	}
	class = x.request.class // the loop owns the rest from here on
	rest, from := x.request.rest, x.from
	s.loop.post(arrival{x})
	var pumped chan error
	if rest == nil {
		s.inHand.Add(1)
		defer s.inHand.Add(-1)
	} else {
		pumped = make(chan error, 1)
		s.transfers.Add(1)
		go func() {
			defer s.transfers.Add(-1)
			pumped <- s.pump(x, rest, from)
		}()
	}
	for {
		gone := r.Context().Done()
		if pumped != nil {
			gone = nil // net/http ends the context when the body breaks off, of which the pump knows more
		}
		select {
		case a := <-x.answer:
			if pumped != nil {
				// Before its end: what is left of it is read for a while, by its pump alone and not once the handler has
				// ended, and nothing behind it.
				w.Header().Set("Connection", "close")
				defer func() { <-pumped }()
				rest.drop()
			}
			if a.status == nobody { // the loop was told that the client has left
				answer{status: http.StatusBadGateway}.write(w)
				return
			}
			if seeded == "lost" && a.status == http.StatusOK && time.Now().UnixNano()%50 == 0 {
				panic(http.ErrAbortHandler)
			}
			wrote = true
			if s.until.Load() != nil || s.yields() {
				w.Header().Set("Connection", "close") // it may have come to that while it waited
			}
			s.give(w, a, class)
			return
		case err := <-pumped:
			pumped = nil
			if err == nil { // taken only now
				s.inHand.Add(1)
				defer s.inHand.Add(-1)
				continue
			}
			s.counters.badInput.Add(1)
			s.loop.post(departure{x})
			hangUpAfter(w)
			status := http.StatusBadRequest
			if errors.Is(err, os.ErrDeadlineExceeded) {
				status = http.StatusRequestTimeout
			}
			http.Error(w, "the body did not come whole", status)
			return
		case <-gone:
			x.left.Store(true) // at once, whatever waits in the queue
			s.loop.post(departure{x})
			// Net/http answers 200 for a handler that says nothing, and one that closed its sending only would take that
			// empty answer for an endpoint's.
			answer{status: http.StatusBadGateway}.write(w)
			return
		}
	}
}

// give writes the answer, and counts it under its class once it is written.
func (s *front) give(w http.ResponseWriter, a answer, class logic.ProductID) {
	if a.flow == nil {
		a.write(w)
		s.counters.class(class).answered(a.status)
		return
	}
	s.counters.streams.Add(1)
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	defer s.bodies.Add(-2 * flowMost)
	s.bodies.Add(2 * flowMost)
	defer a.flow.drop()
	switch whole, fault := a.pass(w); {
	case whole:
		s.counters.class(class).answered(a.status)
	case fault != nil:
		s.counters.streamsBroken.Add(1)
		s.log.Debug("a long answer broke off", zap.Error(fault))
		s.counters.class(class).answered(http.StatusBadGateway)
		panic(http.ErrAbortHandler) // the client must see that it is not whole
	default: // the client went away
		s.counters.left.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// turnAway answers what there is no room to take in: read first, or the client would find its connection broken.
func (s *front) turnAway(w http.ResponseWriter, r *http.Request) {
	s.counters.turnedAway.Add(1)
	if len(r.Header["Request-Id"]) == 1 {
		p, _, _ := s.product(r)
		s.counters.class(p).answered(http.StatusServiceUnavailable)
	}
	hangUpAfter(w)
	io.Copy(io.Discard, io.LimitReader(r.Body, bodyMost))
	w.Header().Set("Retry-After", comeBack)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangUpAfter closes the connection behind the answer. Net/http else reads on, before or after it, for a body that may
// never come, and a prompt answer would wait for that.
func hangUpAfter(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(turnedTime))
	control.SetWriteDeadline(time.Now().Add(takeTime))
}

// write sends an answer off, whole.
func (a answer) write(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(takeTime))
	a.head(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func (a answer) head(h http.Header) {
	for name, values := range a.header {
		if !dropped[name] && name != "Server-Load" && name != "Not-Started" {
			h[name] = values
		}
	}
	if a.status == http.StatusOK && h["Content-Type"] == nil {
		h["Content-Type"] = nil // unchanged: no type is guessed
	}
	if a.comeBack > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(a.comeBack)/1000, 'f', 3, 64))
	}
}
