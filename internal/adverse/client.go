package adverse

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request of a client.
type Request struct {
	ID, Class string
	Timeout   time.Duration // counts from the request's last byte
	Body      int           // bytes; for classes other than SafeClass and ZonedClass
	Chunked   bool          // the body has no stated length
	Script    Script
}

// Text returns the request as it is sent.
func (r Request) Text() string {
	var text strings.Builder
	method := http.MethodPost
	if r.Class == SafeClass || r.Class == ZonedClass {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s /%s?%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %dm\r\n",
		method, r.Class, r.Script.query(), r.ID, r.Class, r.Timeout.Milliseconds())
	if r.Class == KeyedClass {
		fmt.Fprintf(&text, "Idempotency-Key: key-%s\r\n", r.ID)
	}
	switch {
	case method == http.MethodGet:
		text.WriteString("\r\n")
	case r.Chunked:
		const chunkBytes = 16 << 10
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for left := r.Body; left > 0; left -= chunkBytes {
			chunk := strings.Repeat("x", min(left, chunkBytes))
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		text.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", r.Body, strings.Repeat("x", r.Body))
	}
	return text.String()
}

// Result is what a client saw of its request.
type Result struct {
	Request    Request
	LastByteAt time.Time // zero if the request could not be written whole
	FirstAt    time.Time // first byte of the answer; zero for none
	AnsweredAt time.Time // last byte of a whole answer; zero for none
	Status     int
	Right      bool // a 200 has the body that an endpoint made for this request
	Err        error
	closes     bool // the answer says that the connection is closed
}

// latency returns the time from the request's last byte to the answer's.
func (r Result) latency() time.Duration { return r.AnsweredAt.Sub(r.LastByteAt) }

// AnswerGrace is the time past a request's own time after which it counts as lost, with some room for the client itself.
const AnswerGrace = 500*time.Millisecond + 50*time.Millisecond

// Late reports whether a whole request has no first byte of an answer within its time and the grace. An answer that has begun
// may take longer.
func (r Result) Late() bool {
	if r.LastByteAt.IsZero() {
		return false
	}
	return r.FirstAt.IsZero() || r.FirstAt.Sub(r.LastByteAt) > r.Request.Timeout+AnswerGrace
}

// patience is how long a client listens beyond its time, so that a late answer can be told from none.
const patience = 15 * time.Second

// sendBufferBytes is set on the connections of clients, so that how much of a request the kernel takes doesn't depend on the
// machine.
const sendBufferBytes = 16 << 20

// Send sends a request on a connection of its own and reads the answer.
func (w *World) Send(r Request) Result {
	result := Result{Request: r}
	text := r.Text() // before the connection is opened, which may be closed while it is silent
	conn, err := net.DialTimeout("tcp", w.Listen, r.Timeout+AnswerGrace)
	if err != nil {
		result.Err = err
		return result
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	conn.SetWriteDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, text); err != nil {
		result.Err = err
	} else {
		result.LastByteAt = time.Now()
	}
	conn.SetReadDeadline(time.Now().Add(r.Timeout + patience))
	result.read(bufio.NewReader(conn))
	return result
}

// read reads the answer.
func (r *Result) read(reader *bufio.Reader) {
	if _, err := reader.Peek(1); err != nil {
		r.Err = errors.Join(r.Err, err)
		return
	}
	r.FirstAt = time.Now()
	got, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.Err = errors.Join(r.Err, err)
		return
	}
	body, err := io.ReadAll(got.Body)
	r.Status, r.closes = got.StatusCode, got.Close
	if err != nil {
		r.Err = errors.Join(r.Err, err)
		return
	}
	r.AnsweredAt = time.Now()
	r.Right = string(body) == answerBody(r.Request.ID, r.Request.Script.AnswerSize)
}

// requestCount makes the ids of requests distinct.
var requestCount atomic.Int64

// NewID returns a new request id.
func NewID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, requestCount.Add(1)) }

// Usual sends requests of the given time at a steady rate until ctx ends, each on a connection of its own, the three classes in
// turn, and returns what became of them.
func (w *World) Usual(ctx context.Context, interval, timeout time.Duration) *Service {
	var mu sync.Mutex
	var all sync.WaitGroup
	service := &Service{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		request := Request{ID: NewID("usual"), Class: []string{SafeClass, KeyedClass, UnsafeClass}[n%3], Timeout: timeout, Body: 200, Script: Script{Work: 20 * time.Millisecond}}
		all.Go(func() {
			result := w.Send(request)
			mu.Lock()
			defer mu.Unlock()
			service.Results = append(service.Results, result)
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	all.Wait()
	return service
}

// Service is what clients got.
type Service struct{ Results []Result }

// Served returns how many requests were answered rightly within their time.
func (s *Service) Served() (count int) {
	for _, r := range s.Results {
		if r.Status == http.StatusOK && r.Right && r.latency() <= r.Request.Timeout {
			count++
		}
	}
	return count
}

// Lost returns the requests that were written whole and have no answer in time, or a wrong one.
func (s *Service) Lost() (lost []Result) {
	for _, r := range s.Results {
		if r.Late() || r.Status == http.StatusOK && !r.AnsweredAt.IsZero() && !r.Right {
			lost = append(lost, r)
		}
	}
	return lost
}

// String returns a summary: how many were served, refused, failed, late and never answered, and the times of those served.
func (s *Service) String() string {
	counts := map[string]int{}
	var times []time.Duration
	for _, r := range s.Results {
		switch {
		case r.LastByteAt.IsZero():
			counts["not sent"]++
		case r.FirstAt.IsZero():
			counts["never"]++
		case r.Late():
			counts["late"]++
		case r.Status == http.StatusOK && r.Right:
			times = append(times, r.latency())
		default:
			counts[fmt.Sprint(r.Status)]++
		}
	}
	slices.Sort(times)
	text := fmt.Sprintf("%d of %d served in time", s.Served(), len(s.Results))
	if n := len(times); n > 0 {
		text += fmt.Sprintf(", p50 %v, p99 %v, longest %v", times[n/2].Round(time.Millisecond), times[n*99/100].Round(time.Millisecond), times[n-1].Round(time.Millisecond))
	}
	return text + fmt.Sprintf(", others %v", counts)
}

// sendAndLeave sends a request and others of the same class behind it, and closes the connection.
func (w *World) sendAndLeave(r Request, behind int, after time.Duration) {
	conn, err := net.Dial("tcp", w.Listen)
	if err != nil {
		return
	}
	defer conn.Close()
	text := r.Text()
	for range behind {
		r.ID = NewID("behind")
		text += r.Text()
	}
	if _, err := io.WriteString(conn, text); err == nil {
		time.Sleep(after)
	}
}
