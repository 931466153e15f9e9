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
	rig     *Rig
	sidecar int
	addr    string
	mu      sync.Mutex
	idle    []*line
	off     bool // it is stopped together with its sidecar
	staying bool // it opens no more connections, and goes on using those that it has
}

// errNoMore is that of a client whose sidecar is told to end.
var errNoMore = errors.New("no more connections are opened")

// line is one connection.
type line struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func (c *client) take(fresh bool) (*line, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		l := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return l, nil
	}
	staying := c.staying
	c.mu.Unlock()
	if staying {
		return nil, errNoMore
	}
	conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &line{Conn: conn, in: bufio.NewReaderSize(conn, 2048)}, nil
}

func (c *client) keep(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.used = true
	c.idle = append(c.idle, l)
}

// stop ends the client with its sidecar; start begins anew.
func (c *client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.Close()
	}
	c.idle, c.off = nil, true
}

// openNoMore has it use only the connections that it has.
func (c *client) openNoMore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staying = true
}

func (c *client) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off, c.staying = false, false
}

// ask asks for one exchange and enters what became of it.
func (c *client) ask(a scenario.Arrival) {
	c.mu.Lock()
	off := c.off
	c.mu.Unlock()
	if off {
		return
	}
	p := &c.rig.s.Products[a.Product]
	x := &records.Exchange{ID: a.ID, Sidecar: a.Sidecar, Product: a.Product, Work: a.Work, DueAt: a.At}
	c.rig.book.AddExchange(x)
	method, extra := "GET", ""
	if p.Effect != "replayable" {
		method, extra = "POST", "Content-Length: 0\r\n"
	}
	if p.Effect == "referenced" {
		extra += "Idempotency-Key: " + keyOf(a.ID) + "\r\n"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %.0fm\r\n%s\r\n",
		method, p.Name, a.ID, p.Name, p.AbandonTime, extra)
	sent := 0.0
	for try := 0; ; try++ {
		l, err := c.take(try > 0)
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
				c.rig.fail(c.rig.plain(err))
			}
			c.rig.book.RecordAnswer(x, 0, err.Error(), sent, c.rig.now())
			return
		}
		used := l.used
		l.SetDeadline(time.Now().Add(time.Duration(p.AbandonTime+answerLast) * time.Millisecond))
		patience, way := c.rig.patience(a)
		if way&1 == 1 && patience > 0 { // more behind it: a part of another request
			text += "GET /" + p.Name + " HTTP/1.1\r\nHost: h\r\n"
		}
		var got *http.Response
		if _, err = io.WriteString(l, text); err == nil {
			sent = c.rig.now()
			if patience > 0 {
				l.SetReadDeadline(time.Now().Add(patience))
			}
			_, err = l.in.Peek(1)
			if err != nil && patience > 0 && isTimeout(err) {
				if way&2 == 2 {
					cut(l.Conn)
				}
				l.Close()
				c.rig.book.RecordClientLeft(x, sent, c.rig.now())
				return
			}
			if patience > 0 { // an answer came first; what stands behind the request makes the connection useless
				l.SetReadDeadline(time.Now().Add(answerLast * time.Millisecond))
				defer l.Close()
			}
			if err == nil {
				if got, err = http.ReadResponse(l.in, nil); err != nil {
					err = fmt.Errorf("an answer broken off: %w", err)
					used = false
				}
			}
		}
		if err != nil {
			l.Close()
			// A kept connection that the sidecar closed as this was written: it is sent once more, on a new one.
			if used && try == 0 && !isTimeout(err) && !(sent > 0 && c.rig.killedSince(c.sidecar, sent)) {
				sent = 0
				continue
			}
			if !used && try == 0 && isShut(err) && c.rig.crowded(c.sidecar) {
				sent = 0 // shut unread, for want of a descriptor
			}
			c.rig.book.RecordAnswer(x, 0, err.Error(), sent, c.rig.now())
			return
		}
		body, err := io.ReadAll(got.Body)
		wrong := ""
		if err != nil {
			wrong = "broken off: " + err.Error()
		} else if got.StatusCode == http.StatusOK && string(body) != answerTo(a.ID) {
			wrong = fmt.Sprintf("not made for it: %.40q", body)
		}
		c.rig.book.RecordAnswer(x, got.StatusCode, wrong, sent, c.rig.now())
		if err != nil || got.Close || patience > 0 {
			l.Close()
		} else {
			c.keep(l)
		}
		return
	}
}

// patience is how long a client waits that will leave early, and in which way it does; 0 for who waits its time. Every other
// one of a sidecar's clients leaves while the fault lasts.
func (r *Rig) patience(a scenario.Arrival) (wait time.Duration, way uint64) {
	dice := r.s.SeedOf("leaves " + a.ID)
	most := 0.0
	for n := range r.s.Faults {
		f := &r.s.Faults[n]
		if now := r.now() / 1000; f.Kind == "leave" && now >= f.At && now < f.End() && r.leaves(n, a.Sidecar) {
			most = f.Size
		}
	}
	if most == 0 || dice&1 == 0 {
		return 0, 0
	}
	share := float64(dice>>8&0xffff) / 0x10000
	return time.Duration((1 + share*most) * float64(time.Millisecond)), dice >> 1 & 3
}

func (r *Rig) leaves(n, sidecar int) bool {
	who, _ := r.s.FaultTargets(n)
	return slices.ContainsFunc(who, func(p scenario.Node) bool { return p.Number == sidecar })
}

// isShut tells that a connection was ended before a byte of an answer came.
func isShut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
