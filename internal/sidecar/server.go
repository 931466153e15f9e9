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
	answerWriteTimeout       = 5 * time.Second // for an answer to be taken
	maxRequestIDBytes        = 200             // bytes: ids are remembered
	maxClientTimeoutMs       = 3600 * 1000.    // milliseconds; a client that says it waits longer is mistaken
	defaultRetryAfterSeconds = "0.500"         // seconds, where there is no room to ask the module
)

// front answers clients.
type clientServer struct {
	loop                 *loop
	names                *terms.Names
	products             []logic.Product
	descriptors          *descriptorLimiter
	counters             *Counters
	log                  *zap.Logger
	listener             atomic.Pointer[clientListener]
	pair                 *processGroup             // nil where no other process may come
	accepting            atomic.Bool               // the door takes clients
	replaced             atomic.Bool               // another process has the door
	activeHandlers       atomic.Int64              // requests whose head was read and that are not ended
	transfers            atomic.Int64              // of these, long requests that still come and long answers on their way
	activeRequests       atomic.Int64              // requests taken and not ended, answers on their way included
	shutdownBy           atomic.Pointer[time.Time] // once ending: nobody waits longer, and after it nothing is taken
	stalls               stallDetector
	bodyBytes            atomic.Int64 // bytes of requests in hand
	maxBodyBytesTotal    int64
	maxBufferedBodyBytes int64 // bytes of a request that is kept whole
}

// pace notices when the process stood still, be it stopped or without a core: what is read just after may have come
// just before, and its client's time has run on. All times are since the loop started.
type stallDetector struct{ lastTick, stallEnd, stallLength atomic.Int64 }

const stallTickInterval = 20 * time.Millisecond

// beat is called every paceBeat, and tells whether it came far too late.
func (p *stallDetector) tick(now time.Duration) bool {
	gap := now - time.Duration(p.lastTick.Swap(int64(now)))
	if gap <= 2*stallTickInterval {
		return false
	}
	p.stallLength.Store(int64(gap))
	p.stallEnd.Store(int64(now))
	return true
}

// behind is how long ago something that is read now may have come.
func (p *stallDetector) readDelay(now time.Duration) time.Duration {
	if gap := now - time.Duration(p.lastTick.Load()); gap > 2*stallTickInterval {
		return gap
	}
	since := now - time.Duration(p.stallEnd.Load())
	if length := time.Duration(p.stallLength.Load()); length > 0 && since <= 2*stallTickInterval {
		return max(length+since, 0) // a beat may have come since now was read
	}
	return 0
}

func (s *clientServer) detectStalls(ctx context.Context) {
	ticks := time.NewTicker(stallTickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if s.stalls.tick(time.Since(s.loop.started)) {
				s.counters.stalls.Add(1)
				s.counters.stalledMs.Add(s.stalls.stallLength.Load() / int64(time.Millisecond))
			}
		}
	}
}

// serves tells whether all clients may come here alone.
func (s *clientServer) servesAlone() bool {
	return s.acceptsExchanges() && (s.pair == nil || s.pair.predecessorDrained())
}

// takes tells whether an exchange that comes now would find all it needs.
func (s *clientServer) acceptsExchanges() bool {
	return s.accepting.Load() && s.loop.listLoaded.Load() && s.shutdownBy.Load() == nil && (s.pair == nil || s.pair.listConfirmed())
}

// yields tells whether a new process takes the clients, and kept connections should go there.
func (s *clientServer) handsOver() bool {
	listener := s.listener.Load()
	return listener != nil && listener.isPaused()
}

type clientConnKey struct{}

// httpServer wires net/http to it.
func (s *clientServer) httpServer() *http.Server {
	errorLog, _ := zap.NewStdLogAt(s.log, zap.WarnLevel)
	return &http.Server{
		Handler: s, ReadTimeout: headReadTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: errorLog, DisableGeneralOptionsHandler: true, // which answers OPTIONS * with 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		// Broken framing is answered 400 by net/http without a handler; it is counted here.
		ConnState: func(c net.Conn, state http.ConnState) {
			switch conn, _ := c.(*clientConn); {
			case conn == nil:
			case state == http.StateIdle:
				conn.handlerStarted, conn.requestPassed, conn.reused = false, false, true
				conn.enterPhase(phaseIdle)
			case state == http.StateClosed && !conn.handlerStarted && (phase(conn.phase.Load()) == phaseReading || phase(conn.phase.Load()) == phaseBusy):
				s.counters.badInput.Add(1)
			}
		},
	}
}

func (s *clientServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if conn != nil {
		conn.handlerStarted = true
	}
	http.NewResponseController(w).SetWriteDeadline(receivedAt.Add(answerWriteTimeout))
	var x *exchange
	headWritten, class := false, logic.ProductID(-1)
	defer func() {
		if fault := recover(); fault != nil {
			if fault == http.ErrAbortHandler {
				panic(fault) // no defect: the connection is broken off
			}
			s.counters.panics.Add(1)
			s.log.Error("panic at a connection", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil {
				s.loop.post(clientLeft{x})
			}
			if headWritten {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			s.counters.product(class).countAnswer(http.StatusBadGateway)
		}
	}()
	// Behind a body in chunks, or by the old protocol, nothing is read that might have been hidden in it.
	if s.shutdownBy.Load() != nil || s.handsOver() || s.descriptors.keepAliveExceeded() || len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get("Request-Id") == "" && r.Method == http.MethodGet {
		switch r.URL.Path {
		case "/up":
			if !s.loop.listLoaded.Load() || s.shutdownBy.Load() != nil && !s.replaced.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		case "/counters":
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			s.counters.Print(s.descriptors, w)
			return
		}
	}
	size := r.ContentLength
	if size < 0 || size > s.maxBufferedBodyBytes {
		size = maxBufferedBodyBytes + pipeBytes // what is kept of a long one at any time
	}
	if r.ContentLength <= maxStreamedBytes {
		defer s.bodyBytes.Add(-size)
		if s.bodyBytes.Add(size) > s.maxBodyBytesTotal || conn != nil && conn.overLimit {
			s.refuseOverCapacity(w, r)
			return
		}
	}
	s.activeHandlers.Add(1)
	defer s.activeHandlers.Add(-1)
	var status int
	var reason string
	if x, status, reason = s.readExchange(w, r, receivedAt); x == nil {
		s.counters.badInput.Add(1)
		closeAfterAnswer(w)
		http.Error(w, reason, status)
		return
	}
	if end := s.shutdownBy.Load(); end != nil {
		x.deadline = min(x.deadline, s.loop.at(*end)) // SIGKILL may follow
	}
	if x.deadline <= s.loop.at(receivedAt) || conn != nil && !conn.enterPhase(phaseBusy) {
		s.refuseOverCapacity(w, r)
		return
	}
	if x.client = conn; x.abandonedByClient() {
		s.counters.clientsLeft.Add(1) // while it was read
		answer{status: http.StatusBadGateway}.write(w)
		return
	}
	class = x.request.product // the loop owns the rest from here on
	rest, source := x.request.remaining, x.bodySource
	s.loop.post(arrival{x})
	var bodyDone chan error
	if rest == nil {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
	} else {
		bodyDone = make(chan error, 1)
		s.transfers.Add(1)
		go func() {
			defer s.transfers.Add(-1)
			bodyDone <- s.receiveBody(x, rest, source)
		}()
	}
	for {
		clientDone := r.Context().Done()
		if bodyDone != nil {
			clientDone = nil // net/http ends the context when the body breaks off, of which the pump knows more
		}
		select {
		case a := <-x.answer:
			if bodyDone != nil {
				// Before its end: what is left of it is read for a while, by its pump alone and not once the handler has
				// ended, and nothing behind it.
				w.Header().Set("Connection", "close")
				defer func() { <-bodyDone }()
				rest.discard()
			}
			if a.status == statusClientLeft { // the loop was told that the client has left
				answer{status: http.StatusBadGateway}.write(w)
				return
			}
			if injectedFault == "lost" && a.status == http.StatusOK && time.Now().UnixNano()%50 == 0 {
				panic(http.ErrAbortHandler)
			}
			headWritten = true
			if s.shutdownBy.Load() != nil || s.handsOver() {
				w.Header().Set("Connection", "close") // it may have come to that while it waited
			}
			s.writeAnswer(w, a, class)
			return
		case err := <-bodyDone:
			bodyDone = nil
			if err == nil { // taken only now
				s.activeRequests.Add(1)
				defer s.activeRequests.Add(-1)
				continue
			}
			s.counters.badInput.Add(1)
			s.loop.post(clientLeft{x})
			closeAfterAnswer(w)
			status := http.StatusBadRequest
			if errors.Is(err, os.ErrDeadlineExceeded) {
				status = http.StatusRequestTimeout
			}
			http.Error(w, "the body did not come whole", status)
			return
		case <-clientDone:
			x.clientGone.Store(true) // at once, whatever waits in the queue
			s.loop.post(clientLeft{x})
			// Net/http answers 200 for a handler that says nothing, and one that closed its sending only would take that
			// empty answer for an endpoint's.
			answer{status: http.StatusBadGateway}.write(w)
			return
		}
	}
}

// give writes the answer, and counts it under its class once it is written.
func (s *clientServer) writeAnswer(w http.ResponseWriter, a answer, class logic.ProductID) {
	if a.stream == nil {
		a.write(w)
		s.counters.product(class).countAnswer(a.status)
		return
	}
	s.counters.streams.Add(1)
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	defer s.bodyBytes.Add(-2 * pipeBytes)
	s.bodyBytes.Add(2 * pipeBytes)
	defer a.stream.discard()
	switch complete, err := a.streamTo(w); {
	case complete:
		s.counters.product(class).countAnswer(a.status)
	case err != nil:
		s.counters.streamsBroken.Add(1)
		s.log.Debug("a long answer broke off", zap.Error(err))
		s.counters.product(class).countAnswer(http.StatusBadGateway)
		panic(http.ErrAbortHandler) // the client must see that it is not whole
	default: // the client went away
		s.counters.clientsLeft.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// turnAway answers what there is no room to take in: read first, or the client would find its connection broken.
func (s *clientServer) refuseOverCapacity(w http.ResponseWriter, r *http.Request) {
	s.counters.rejected.Add(1)
	if len(r.Header["Request-Id"]) == 1 {
		product, _, _ := s.productOf(r)
		s.counters.product(product).countAnswer(http.StatusServiceUnavailable)
	}
	closeAfterAnswer(w)
	io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedBodyBytes))
	w.Header().Set("Retry-After", defaultRetryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangUpAfter closes the connection behind the answer. Net/http else reads on, before or after it, for a body that may
// never come, and a prompt answer would wait for that.
func closeAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(refusedReadTimeout))
	control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
}

// write sends an answer off, whole.
func (a answer) write(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	a.setHeaders(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func (a answer) setHeaders(h http.Header) {
	for name, values := range a.header {
		if !notForwarded[name] && name != "Server-Load" && name != "Not-Started" {
			h[name] = values
		}
	}
	if a.status == http.StatusOK && h["Content-Type"] == nil {
		h["Content-Type"] = nil // unchanged: no type is guessed
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1000, 'f', 3, 64))
	}
}
