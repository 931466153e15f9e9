package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is the stand-in of a server. It begins a request when its last byte has come and answers it after its work.
type endpoint struct {
	id      string
	addr    string
	rec     *record
	hanging atomic.Bool // it takes requests and answers none
	work    func(r *http.Request) time.Duration
	server  *http.Server

	mu       sync.Mutex
	runs     map[string]int         // how often each request was begun here
	arrivals map[string][]time.Time // when the head of each attempt had come
	slots    chan bool              // attempts that run at a time; nil for no bound
}

// answerFor is the one body that is right for a request.
func answerFor(id string) string { return "made for " + id + "\n" }

func newEndpoint(id string, rec *record, work func(r *http.Request) time.Duration) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, addr: ln.Addr().String(), rec: rec, work: work, runs: map[string]int{}, arrivals: map[string][]time.Time{}}
	e.server = &http.Server{Handler: e, IdleTimeout: 15 * time.Second}
	go e.server.Serve(ln)
	return e, nil
}

// ServeHTTP reads a request to its last byte and runs it. The query may ask for a long answer: size (bytes), form (length, chunked or
// close), pause_ms (between its pieces).
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := e.begin(w, r)
	if id == "" {
		return
	}
	if e.slots != nil {
		select {
		case e.slots <- true:
			defer func() { <-e.slots }()
		case <-r.Context().Done():
		}
	}
	sleep(r.Context(), e.work(r))
	for e.hanging.Load() && r.Context().Err() == nil {
		sleep(r.Context(), 20*time.Millisecond)
	}
	if r.Context().Err() != nil {
		e.rec.line("%s was left by the sidecar with %s", e.id, id)
		return
	}
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("size"))
	if size == 0 {
		io.WriteString(w, answerFor(id))
		e.rec.line("%s answered %s", e.id, id)
		return
	}
	pause, _ := strconv.Atoi(q.Get("pause_ms"))
	body := longAnswer(id, size)
	switch q.Get("form") {
	case "chunked":
	case "close":
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	for len(body) > 0 {
		piece := body[:min(len(body), 16<<10)]
		body = body[len(piece):]
		if _, err := w.Write(piece); err != nil {
			e.rec.line("%s could not write the answer to %s: %v", e.id, id, err)
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
	e.rec.line("%s answered %s", e.id, id)
}

// begin reads a request to its last byte, from which on it runs, and returns its id. It returns "" for a probe, which it answers, and for
// a request that does not come whole.
func (e *endpoint) begin(w http.ResponseWriter, r *http.Request) (id string) {
	switch id = r.Header.Get("Request-Id"); {
	case id != "":
	case r.URL.Path == "/metrics/load":
		io.WriteString(w, "util=0.1,inflight=1,eps=0")
		return ""
	case r.URL.Path == "/alive":
		return ""
	default:
		w.WriteHeader(http.StatusNotFound)
		return ""
	}
	e.mu.Lock()
	e.arrivals[id] = append(e.arrivals[id], time.Now())
	e.mu.Unlock()
	e.rec.line("%s gets the head of an attempt for %s", e.id, id)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.rec.line("%s did not get %s whole: %d bytes, %v", e.id, id, n, err)
		return ""
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.rec.line("%s runs %s body=%d key=%q timeout=%s", e.id, id, n, r.Header.Get("Idempotency-Key"), r.Header.Get("Request-Timeout"))
	return id
}

// longAnswer is the one body of size bytes that is right for a request.
func longAnswer(id string, size int) []byte {
	b := make([]byte, 0, size+64)
	for n := 0; len(b) < size; n++ {
		b = fmt.Appendf(b, "%s %d\n", id, n)
	}
	return b[:size]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *endpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
