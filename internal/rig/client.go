// Client: the calling process beside a sidecar. This file owns the clients' connections and their account of each exchange.
// Arrivals are drawn ahead and wait for nothing; a wait counts from when its exchange was due (no coordinated omission:
// Tene, How Not to Measure Latency).
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

// client is that of one sidecar.
type client struct {
	rig            *Rig
	sidecar        int
	addr           string
	mu             sync.Mutex
	idle           []*clientConn
	stopped        bool // it is stopped together with its sidecar
	dialingStopped bool // it opens no more connections, and goes on using those that it has
}

// errNoMore is that of a client whose sidecar is told to end.
var errDialingStopped = errors.New("no more connections are opened")

// line is one connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

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

func (c *client) release(l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.reused = true
	c.idle = append(c.idle, l)
}

// stop ends the client with its sidecar; start begins anew.
func (c *client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.Close()
	}
	c.idle, c.stopped = nil, true
}

// openNoMore has it use only the connections that it has.
func (c *client) stopDialing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialingStopped = true
}

func (c *client) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.dialingStopped = false, false
}

// ask asks for one exchange and enters what became of it.
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
		if leaveMode&1 == 1 && leaveAfter > 0 { // more behind it: a part of another request
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
			if leaveAfter > 0 { // an answer came first; what stands behind the request makes the connection useless
				conn.SetReadDeadline(time.Now().Add(answerTimeoutMs * time.Millisecond))
				defer conn.Close()
			}
			if err == nil {
				if response, err = http.ReadResponse(conn.reader, nil); err != nil {
					err = fmt.Errorf("an answer broken off: %w", err)
					reused = false
				}
			}
		}
		if err != nil {
			conn.Close()
			// A kept connection that the sidecar closed as this was written: it is sent once more, on a new one.
			if reused && try == 0 && !isTimeout(err) && !(sent > 0 && c.rig.killedSince(c.sidecar, sent)) {
				sent = 0
				continue
			}
			if !reused && try == 0 && isClosedUnanswered(err) && c.rig.isFlooded(c.sidecar) {
				sent = 0 // shut unread, for want of a descriptor
			}
			c.rig.book.RecordAnswer(exchange, 0, err.Error(), sent, c.rig.now())
			return
		}
		body, err := io.ReadAll(response.Body)
		problem := ""
		if err != nil {
			problem = "broken off: " + err.Error()
		} else if response.StatusCode == http.StatusOK && string(body) != answerBody(a.ID) {
			problem = fmt.Sprintf("not made for it: %.40q", body)
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

// patience is how long a client waits that will leave early, and in which way it does; 0 for who waits its time. Every other
// one of a sidecar's clients leaves while the fault lasts.
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

func (r *Rig) hasLeavingClients(n, sidecar int) bool {
	sidecars, _ := r.scenario.FaultTargets(n)
	return slices.ContainsFunc(sidecars, func(p scenario.Node) bool { return p.Number == sidecar })
}

// isShut tells that a connection was ended before a byte of an answer came.
func isClosedUnanswered(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
