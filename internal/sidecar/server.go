// This file serves the application's side: it owns the HTTP server, the reading of requests into exchanges and the writing
// of the one answer to each. It must never answer twice, present part of an answer as whole, or decide what becomes of an
// exchange.

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
	answerWriteTimeout       = 5 * time.Second // for the client to take an answer
	maxRequestIDBytes        = 200             // bounded since ids are kept after their exchanges
	maxClientTimeoutMs       = 3600 * 1000.    // a longer Request-Timeout is taken for a client's mistake
	defaultRetryAfterSeconds = "0.500"         // in refusals for lack of capacity, which the module is not asked about
)

// clientServer answers clients' requests.
type clientServer struct {
	loop           *loop
	names          *terms.Names
	products       []logic.Product
	descriptors    *descriptorLimiter
	counters       *Counters
	log            *zap.Logger
	listener       atomic.Pointer[clientListener]
	processes      *processGroup             // other processes of this sidecar during an upgrade; nil if there can be none
	accepting      atomic.Bool               // the listening socket accepts clients
	replaced       atomic.Bool               // another process has taken over the listening socket
	activeHandlers atomic.Int64              // requests whose head was read and whose handler has not returned
	transfers      atomic.Int64              // streamed requests that are still arriving, and streamed answers in progress
	activeRequests atomic.Int64              // requests read whole and not finished, until their answers are written
	shutdownBy     atomic.Pointer[time.Time] // set at shutdown: the latest deadline; no request is accepted after it
	stalls         stallDetector
	unreadBudget   unreadBudget // for what the kernel holds of streamed requests
}

// stallDetector notices when the whole process stalled, because it was stopped or had no CPU: what is read just after a
// stall may have arrived just before it, and its client's timeout has been running meanwhile. All times are durations since
// the loop started.
type stallDetector struct {
	lastTick    atomic.Int64
	stallEnd    atomic.Int64 // of the last stall; 0 for none yet
	stallLength atomic.Int64 // of the last stall, from the tick before it to its end
}

// stallTickInterval is the time between two ticks of a process that is not stalled.
const stallTickInterval = 20 * time.Millisecond

// tick must be called every stallTickInterval. It reports whether this call came more than twice that after the last one,
// which is a stall.
func (p *stallDetector) tick(now time.Duration) bool {
	gap := now - time.Duration(p.lastTick.Swap(int64(now)))
	if gap <= 2*stallTickInterval {
		return false
	}
	p.stallLength.Store(int64(gap))
	p.stallEnd.Store(int64(now))
	return true
}

// readDelay returns for how long data that is read now may have been waiting because of a stall.
func (p *stallDetector) readDelay(now time.Duration) time.Duration {
	if gap := now - time.Duration(p.lastTick.Load()); gap > 2*stallTickInterval {
		return gap
	}
	since := now - time.Duration(p.stallEnd.Load())
	if length := time.Duration(p.stallLength.Load()); length > 0 && since <= 2*stallTickInterval {
		return max(length+since, 0) // a tick may have been recorded since now was read
	}
	return 0
}

// detectStalls drives the stall detector and counts stalls until ctx ends.
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

// servesAlone reports whether this process can serve all clients without the other processes of an upgrade.
func (s *clientServer) servesAlone() bool {
	return s.acceptsExchanges() && (s.processes == nil || s.processes.predecessorDrained())
}

// acceptsExchanges reports whether a request that arrives now can be served: the listener is open, a list of endpoints is
// known, the process is not ending, and what it took over from a predecessor is confirmed.
func (s *clientServer) acceptsExchanges() bool {
	return s.accepting.Load() && s.loop.listLoaded.Load() && s.shutdownBy.Load() == nil && (s.processes == nil || s.processes.listConfirmed())
}

// handsOver reports whether a new process accepts the clients. Answers then close kept-alive connections, so that their
// clients connect to that process.
func (s *clientServer) handsOver() bool {
	listener := s.listener.Load()
	return listener != nil && listener.isPaused()
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// httpServer returns the net/http server for clients.
func (s *clientServer) httpServer() *http.Server {
	errorLog, _ := zap.NewStdLogAt(s.log, zap.WarnLevel)
	return &http.Server{
		Handler: s, ReadTimeout: headReadTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: errorLog, DisableGeneralOptionsHandler: true, // that handler answers OPTIONS * with 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		// Net/http answers broken framing with 400 and calls no handler, so that it is counted here.
		ConnState: func(c net.Conn, state http.ConnState) {
			switch conn, _ := c.(*clientConn); {
			case conn == nil:
			case state == http.StateIdle:
				conn.handlerStarted, conn.requestPassed, conn.reused = false, false, true
				conn.releaseRequest()
				conn.enterPhase(phaseIdle)
			case state == http.StateClosed && !conn.handlerStarted && (phase(conn.phase.Load()) == phaseReading || phase(conn.phase.Load()) == phaseBusy):
				s.counters.badInput.Add(1)
			}
		},
	}
}

// ServeHTTP serves one request: it reads an exchange, posts it to the loop and writes the answer.
func (s *clientServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if conn != nil {
		conn.handlerStarted, conn.ownAnswer = true, true
	}
	http.NewResponseController(w).SetWriteDeadline(receivedAt.Add(answerWriteTimeout))
	var x *exchange
	headWritten, class := false, logic.ProductID(-1)
	defer func() {
		if fault := recover(); fault != nil {
			if fault == http.ErrAbortHandler {
				panic(fault) // not a defect: it makes net/http break the connection
			}
			s.counters.panics.Add(1)
			s.log.Error("panic while serving a client's request", zap.String("fault", fmt.Sprint(fault)), zap.Stack("stack"))
			if x != nil {
				s.loop.post(clientLeft{x: x, handlerEnded: true})
			}
			if headWritten {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
			s.counters.product(class).countAnswer(http.StatusBadGateway)
		}
	}()
	// After a chunked body or an HTTP/1.0 request the connection is closed: what follows might be a request smuggled in the
	// body.
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
	if !x.deadline.by().After(receivedAt) || conn != nil && !conn.enterPhase(phaseBusy) {
		s.refuseOverCapacity(w, r)
		return
	}
	if conn != nil {
		x.memory = conn.request.Load()
	}
	if x.client = conn; x.abandonedByClient() {
		s.counters.clientsLeft.Add(1) // the client left while its request was read
		answer{status: http.StatusBadGateway}.write(w)
		return
	}
	if conn != nil {
		conn.ownAnswer = false // it is an exchange, and the module decides when it gets what
	}
	class = x.request.product // read before the post: from then on the loop owns x
	rest, source := x.request.remaining, x.bodySource
	if rest != nil {
		defer s.holdUnread(conn, rest)()
	}
	if rest == nil { // counted before its leg may be out
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
	} else {
		s.transfers.Add(1)
	}
	s.loop.post(arrival{x})
	var bodyDone chan error
	if rest != nil {
		bodyDone = make(chan error, 1)
		go func() {
			defer s.transfers.Add(-1)
			bodyDone <- s.receiveBody(x, rest, source)
		}()
	}
	for {
		clientDone := r.Context().Done()
		if bodyDone != nil {
			clientDone = nil // net/http also ends the context when the body breaks off, and receiveBody reports that more precisely
		}
		select {
		case a := <-x.answer:
			if bodyDone != nil {
				// The answer came before the request's end. The rest of the request is read for a while, by receiveBody only
				// and not after the handler has returned; what follows it on the connection is not read.
				w.Header().Set("Connection", "close")
				rest.discard()
				if a.status == statusClientLeft {
					// An attempt may find the end of the connection before receiveBody does, which knows whether the body is whole.
					if err := <-bodyDone; err != nil {
						s.refuseBrokenBody(w, err)
						return
					}
				} else {
					defer func() { <-bodyDone }()
				}
			}
			if a.status == statusClientLeft {
				answer{status: http.StatusBadGateway}.write(w)
				return
			}
			if injectedFault == "lost" && a.status == http.StatusOK && time.Now().UnixNano()%50 == 0 {
				panic(http.ErrAbortHandler)
			}
			headWritten = true
			if s.shutdownBy.Load() != nil || s.handsOver() {
				w.Header().Set("Connection", "close") // the shutdown or handover may have begun since the check above
			}
			s.writeAnswer(w, a, class)
			if bodyDone != nil {
				http.NewResponseController(w).Flush() // the answer must not wait for the rest of the request
			}
			return
		case err := <-bodyDone:
			bodyDone = nil
			if err == nil { // the request is whole only now
				s.activeRequests.Add(1)
				defer s.activeRequests.Add(-1)
				continue
			}
			s.loop.post(clientLeft{x: x, handlerEnded: true})
			s.refuseBrokenBody(w, err)
			return
		case <-clientDone:
			x.clientGone.Store(true) // takes effect at once, whatever waits in the loop's queue
			s.loop.post(clientLeft{x: x, handlerEnded: true})
			// Net/http answers 200 if a handler writes nothing, and a client that closed only its sending side would take that
			// empty answer for an endpoint's.
			answer{status: http.StatusBadGateway}.write(w)
			return
		}
	}
}

// refuseBrokenBody answers a request whose body broke off with err.
func (s *clientServer) refuseBrokenBody(w http.ResponseWriter, err error) {
	s.counters.badInput.Add(1)
	closeAfterAnswer(w)
	status := http.StatusBadRequest
	if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout
	}
	http.Error(w, "the body did not come whole", status)
}

// writeAnswer writes the answer and then counts it under its class.
func (s *clientServer) writeAnswer(w http.ResponseWriter, a answer, class logic.ProductID) {
	if a.stream == nil {
		a.write(w)
		s.counters.product(class).countAnswer(a.status)
		return
	}
	s.counters.streams.Add(1)
	s.transfers.Add(1)
	defer s.transfers.Add(-1)
	defer a.stream.discard()
	switch complete, err := a.streamTo(w); {
	case complete:
		s.counters.product(class).countAnswer(a.status)
	case err != nil:
		s.counters.streamsBroken.Add(1)
		s.log.Debug("streamed answer from the endpoint broke off; closing the client's connection", zap.Error(err))
		s.counters.product(class).countAnswer(http.StatusBadGateway)
		panic(http.ErrAbortHandler) // breaks the connection: the client must see that the answer is incomplete
	default: // the client left
		s.counters.clientsLeft.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// countRefusal counts a request that was refused by its head under its class.
func (s *clientServer) countRefusal(head []byte) {
	class := fieldValue(head, "Request-Class")
	s.counters.product(s.names.Product([]byte(class))).countAnswer(http.StatusServiceUnavailable)
}

// refuseOverCapacity answers 503 to a request for which there is no time left. It reads the request first: the client would
// otherwise find its connection reset.
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

// closeAfterAnswer has the connection closed after the answer. Otherwise net/http reads on, before or after the answer, for
// a body that may never arrive, and a prompt answer would be delayed by that.
func closeAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(refusedReadTimeout))
	control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
}

// write writes a buffered answer.
func (a answer) write(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	a.setHeaders(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// setHeaders sets an answer's headers, without those that concern one connection or the sidecar only.
func (a answer) setHeaders(h http.Header) {
	for name, values := range a.header {
		if !notForwarded[name] && name != "Server-Load" && name != "Not-Started" {
			h[name] = values
		}
	}
	if a.status == http.StatusOK && h["Content-Type"] == nil {
		h["Content-Type"] = nil // the answer has none: net/http must not guess one
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1000, 'f', 3, 64))
	}
}
