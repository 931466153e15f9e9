// Client stand-in: sends the requests of a sidecar's client processes, keeps their connections and records the outcome of
// each exchange. Arrival times are drawn in advance and do not depend on earlier answers; latency counts from when an
// exchange was due, to avoid coordinated omission (Tene, How Not to Measure Latency).

package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// client stands in for all client processes of one sidecar.
type client struct {
	rig            *Rig
	sidecar        int
	addr           string
	mu             sync.Mutex
	idle           []*clientConn // open connections without a request; the last one used comes last
	stopped        bool          // its sidecar is down: no requests are sent
	dialingStopped bool          // no new connections are opened; open ones are still used
}

// errDialingStopped is returned where a request needs a new connection while the sidecar is shutting down.
var errDialingStopped = errors.New("client opens no new connections: its sidecar is shutting down")

// clientConn is a connection from a client to its sidecar.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // an earlier exchange was answered on it
}

// acquire returns an idle connection, or a new one if there is none or fresh is set.
func (c *client) acquire(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		l := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return l, nil
	}
	dialingStopped := c.dialingStopped
	c.mu.Unlock()
	if dialingStopped {
		return nil, errDialingStopped
	}
	conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, 2048)}, nil
}

// release keeps a connection for further exchanges.
func (c *client) release(l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.reused = true
	c.idle = append(c.idle, l)
}

// stop closes the idle connections and sends no more requests until start.
func (c *client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.Close()
	}
	c.idle, c.stopped = nil, true
}

// stopDialing makes the client open no new connections until start. Open ones are still used.
func (c *client) stopDialing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialingStopped = true
}

// start makes the client send requests and open connections again.
func (c *client) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.dialingStopped = false, false
}

// send sends one request and records the outcome of its exchange.
func (c *client) send(a scenario.Arrival) {
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if stopped {
		return
	}
	product := &c.rig.scenario.Products[a.Product]
	exchange := &records.Exchange{ID: a.ID, Sidecar: a.Sidecar, Product: a.Product, Work: a.Work, DueAt: a.At}
	c.rig.book.AddExchange(exchange)
	method, headers := "GET", ""
	if product.Effect != "replayable" {
		method, headers = "POST", "Content-Length: 0\r\n"
	}
	if product.Effect == "referenced" {
		headers += "Idempotency-Key: " + idempotencyKey(a.ID) + "\r\n"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %.0fm\r\n%s\r\n",
		method, product.Name, a.ID, product.Name, product.AbandonTime, headers)
	sent := 0.0
	for try := 0; ; try++ {
		conn, err := c.acquire(try > 0)
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
				c.rig.fail(c.rig.explainLimit(err))
			}
			c.rig.book.RecordAnswer(exchange, 0, err.Error(), sent, c.rig.now())
			return
		}
		reused := conn.reused
		conn.SetDeadline(time.Now().Add(time.Duration(product.AbandonTime+answerTimeoutMs) * time.Millisecond))
		leaveAfter, leaveMode := c.rig.earlyLeave(a)
		if leaveMode&1 == 1 && leaveAfter > 0 { // pipeline the start of another request behind it
			text += "GET /" + product.Name + " HTTP/1.1\r\nHost: h\r\n"
		}
		var response *http.Response
		if _, err = io.WriteString(conn, text); err == nil {
			sent = c.rig.now()
			if leaveAfter > 0 {
				conn.SetReadDeadline(time.Now().Add(leaveAfter))
			}
			_, err = conn.reader.Peek(1)
			if err != nil && leaveAfter > 0 && isTimeout(err) {
				if leaveMode&2 == 2 {
					resetConn(conn.Conn)
				}
				conn.Close()
				c.rig.book.RecordClientLeft(exchange, sent, c.rig.now())
				return
			}
			if leaveAfter > 0 { // the answer came first; the connection is not reused, since part of another request may follow
				conn.SetReadDeadline(time.Now().Add(answerTimeoutMs * time.Millisecond))
				defer conn.Close()
			}
			if err == nil {
				if response, err = http.ReadResponse(conn.reader, nil); err != nil {
					err = fmt.Errorf("answer head truncated or malformed: %w", err)
					reused = false
				}
			}
		}
		if err != nil {
			conn.Close()
			// The sidecar may have closed the idle connection while the request was written: send it once more, on a new
			// connection.
			if reused && try == 0 && !isTimeout(err) && !(sent > 0 && c.rig.killedSince(c.sidecar, sent)) {
				sent = 0
				continue
			}
			if !reused && try == 0 && isClosedUnanswered(err) && c.rig.isFlooded(c.sidecar) {
				sent = 0 // the sidecar closed the new connection without reading, for lack of file descriptors
			}
			c.rig.book.RecordAnswer(exchange, 0, err.Error(), sent, c.rig.now())
			return
		}
		body, err := io.ReadAll(response.Body)
		problem := ""
		if err != nil {
			problem = "answer body truncated: " + err.Error()
		} else if response.StatusCode == http.StatusOK && string(body) != answerBody(a.ID) {
			problem = fmt.Sprintf("unexpected body: %.40q", body)
		}
		c.rig.book.RecordAnswer(exchange, response.StatusCode, problem, sent, c.rig.now())
		if err != nil || response.Close || leaveAfter > 0 {
			conn.Close()
		} else {
			c.release(conn)
		}
		return
	}
}

// earlyLeave returns after which wait a client leaves without its answer, and how; 0 if it waits as long as any client
// does. While the fault "leave" lasts, the clients of about every second request to a sidecar leave, drawn from the seed
// and the exchange's ID. Bit 0 of the mode: the client sends the start of another request behind its own; bit 1: it
// leaves with a reset.
func (r *Rig) earlyLeave(a scenario.Arrival) (wait time.Duration, mode uint64) {
	draw := r.scenario.SeedOf("leaves " + a.ID)
	maxWaitMs := 0.0
	for n := range r.scenario.Faults {
		f := &r.scenario.Faults[n]
		if now := r.now() / 1000; f.Kind == "leave" && now >= f.At && now < f.End() && r.hasLeavingClients(n, a.Sidecar) {
			maxWaitMs = f.Size
		}
	}
	if maxWaitMs == 0 || draw&1 == 0 {
		return 0, 0
	}
	share := float64(draw>>8&0xffff) / 0x10000
	return time.Duration((1 + share*maxWaitMs) * float64(time.Millisecond)), draw >> 1 & 3
}

// hasLeavingClients reports whether fault n, of kind "leave", applies to a sidecar's clients.
func (r *Rig) hasLeavingClients(n, sidecar int) bool {
	sidecars, _ := r.scenario.FaultTargets(n)
	return slices.ContainsFunc(sidecars, func(p scenario.Node) bool { return p.Number == sidecar })
}

// isClosedUnanswered reports whether an error says that the connection was closed before the first byte of an answer.
func isClosedUnanswered(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
