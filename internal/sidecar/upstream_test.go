package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxjunction/lynxjunction/logic"
)

// standIn is an endpoint that answers each request by its script, and counts requests that came whole.
type standIn struct {
	net.Listener
	requests, connections atomic.Int64
	script                func(c net.Conn, r *http.Request) (goOn bool)
	seen                  chan *http.Request
}

func newStandIn(t *testing.T, script func(c net.Conn, r *http.Request) bool) *standIn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &standIn{Listener: ln, script: script, seen: make(chan *http.Request, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.talk(c)
		}
	}()
	return s
}

func (s *standIn) talk(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var b strings.Builder
		if _, err := bufio.NewReader(r.Body).WriteTo(&b); err != nil {
			return // no endpoint takes that for whole
		}
		r.Header.Set("Test-Body", b.String())
		s.requests.Add(1)
		s.seen <- r
		if !s.script(c, r) {
			return
		}
	}
}

// say is a script that writes the same text each time.
func say(text string, goOn bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		c.Write([]byte(text))
		return goOn
	}
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer-Load: util=0.1\r\n\r\nhello"

func silent(c net.Conn, _ *http.Request) bool {
	c.Read(make([]byte, 1)) // until the other side ends it
	return false
}

func hangUp(c net.Conn, _ *http.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

func testUpstream(t *testing.T, limit int) *upstream {
	u := newUpstream(200, 10000, newDescriptorLimiter(limit, &Counters{}), &Counters{})
	u.rest = 0
	t.Cleanup(func() {
		for u.dropIdle() {
		}
		_, held := u.sockets.connections()
		assert.Zero(t, held, "every connection is given back")
	})
	return u
}

func testLeg(u *upstream, addr string, patience time.Duration) *leg {
	u.list("s", addr, true)
	g := &leg{to: u.find("s"), addr: addr, giveUp: time.Now().Add(patience), request: &request{
		method: "POST", head: []byte("POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 2\r\n"), body: []byte("ab"),
	}}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.began = func(r *reply) { r.flow.discard() }
	return g
}

func outcomeOf(f *legError) logic.Outcome {
	if f == nil {
		return logic.Succeeded
	}
	return f.outcome
}

// Each way in which an endpoint may fail tells whether the request may have run; only its own word or a request that
// was not written whole proves that it did not.
func TestLegOutcomes(t *testing.T) {
	const head = "HTTP/1.1 "
	for _, c := range []struct {
		name    string
		script  func(net.Conn, *http.Request) bool
		outcome logic.Outcome
		kept    bool // the connection serves again
	}{
		{"whole", say(fine, true), logic.Succeeded, true},
		{"chunked", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true), logic.Succeeded, true},
		{"informed first", say(head+"100 Continue\r\n\r\n"+fine, true), logic.Succeeded, true},
		{"closes after", say(head+"200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", false), logic.Succeeded, false},
		{"says more than it should", say(fine+"x", true), logic.Succeeded, false},
		{"error", say(head+"500 Oops\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"full", say(head+"503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Full, true},
		{"over", say(head+"504 Over\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Full, true},
		{"503 without its word", say(head+"503 Busy\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"429", say(head+"429 Slow\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"redirect", say(head+"302 There\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"resets", hangUp, logic.Reset, false},
		{"ends", say("", false), logic.Reset, false},
		{"half a head", say(head+"200 OK\r\nContent-Le", false), logic.Reset, false},
		{"half a body", say(head+"200 OK\r\nContent-Length: 50\r\n\r\nhello", false), logic.Reset, false},
		{"half of the chunks", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false), logic.Reset, false},
		{"ends with its connection", say(head+"200 OK\r\n\r\nhello", false), logic.Succeeded, false},
		{"ends with its connection, broken", func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\n\r\nhel"))
			return hangUp(c, r)
		}, logic.Reset, false},
		{"chunks of one byte, with words and trailers", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=\"b\"\r\nh\r\n"+
			"1\r\ne\r\n01\r\nl\r\n1 \r\nl\r\n1\r\no\r\n0;x\r\nTrailer: y\r\n\r\n", true), logic.Succeeded, true},
		{"chunk without a size", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n", true), logic.Errored, false},
		{"chunk longer than it says", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n", true), logic.Errored, false},
		{"trailers without end", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("A: b\r\n", 1<<14), true), logic.Errored, false},
		{"junk", say("SSH-2.0-x\r\n\r\n", true), logic.Errored, false},
		{"too long", say(fmt.Sprintf("%s200 OK\r\nContent-Length: %d\r\n\r\n", head, maxStreamedBytes+1), true), logic.Errored, false},
		{"head without end", say(head+"200 OK\r\n"+strings.Repeat("A: bcdefgh\r\n", 20000), true), logic.Errored, false},
		{"head that does not go on", say(head+"200 OK\r\nA: b", true), logic.Errored, false},
		{"body that does not go on", say(head+"200 OK\r\nContent-Length: 50\r\n\r\nhello", true), logic.Errored, false},
		{"chunks that do not go on", say(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", true), logic.Errored, false},
		{"no end, connection open", say(head+"200 OK\r\n\r\nhello", true), logic.Errored, false},
		{"noise", say("\x00\x01\x02", true), logic.Errored, false},
		{"length and chunks", say(head+"200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			true), logic.Errored, false},
		{"two lengths", say(head+"200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", true), logic.Errored, false},
		{"length below 0", say(head+"200 OK\r\nContent-Length: -5\r\n\r\nhello", true), logic.Errored, false},
		{"length in words", say(head+"200 OK\r\nContent-Length: five\r\n\r\nhello", true), logic.Errored, false},
		{"3 GB that keep coming", func(c net.Conn, _ *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\nContent-Length: 3221225472\r\n\r\n"))
			for err := error(nil); err == nil; {
				_, err = c.Write(make([]byte, 1<<16))
			}
			return false
		}, logic.Errored, false},
		{"chunks without end", func(c net.Conn, _ *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
			for err := error(nil); err == nil; {
				_, err = c.Write([]byte("5\r\nhello\r\n"))
			}
			return false
		}, logic.Cancelled, false}, // passed on, until nobody takes any more
		{"informed without end", say(strings.Repeat(head+"102 Processing\r\n\r\n", 100)+fine, true), logic.Errored, false},
		{"a second copy", say(fine+fine, true), logic.Succeeded, false},
		{"silent", silent, logic.TimedOut, false},
		{"silent in its body", func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\nContent-Length: 50\r\n\r\nhello"))
			return silent(c, r)
		}, logic.TimedOut, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, s := testUpstream(t, 100), newStandIn(t, c.script)
			patience := 5 * time.Second
			if c.outcome == logic.TimedOut {
				patience = 50 * time.Millisecond
			}
			began := time.Now()
			r, fault := u.run(testLeg(u, s.Addr().String(), patience))
			assert.Equal(t, c.outcome, outcomeOf(fault))
			assert.Less(t, time.Since(began), patience/2+50*time.Millisecond, "early enough for another to be tried")
			assert.EqualValues(t, 1, s.requests.Load(), "sent once")
			if c.outcome == logic.Succeeded {
				assert.Equal(t, "hello", string(r.body))
			}
			got := <-s.seen
			assert.Equal(t, "ab", got.Header.Get("Test-Body"))
			assert.Regexp(t, `^[0-9]+\.[0-9]{3}m$`, got.Header.Get("Request-Timeout"))
			u.run(testLeg(u, s.Addr().String(), 50*time.Millisecond))
			assert.Equal(t, c.kept, s.connections.Load() == 1, "connection used again")
		})
	}
}

// held lets something happen between a connection's coming up and the first byte on it.
func held(u *upstream, happens func()) {
	plain := u.dial
	u.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		happens()
		return plain(context.Background(), network, addr)
	}
}

func TestLegsThatNeverRan(t *testing.T) {
	s := newStandIn(t, say(fine, true))
	for _, c := range []struct {
		name    string
		limit   int
		before  func(u *upstream, g *leg)
		outcome logic.Outcome
	}{
		{"refused", 100, func(u *upstream, g *leg) { g.addr = "127.0.0.1:1" }, logic.NoConnection},
		{"never comes up", 100, func(u *upstream, g *leg) {
			u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, logic.NoConnection},
		{"no descriptor left", 2 * reservedDescriptors, func(u *upstream, g *leg) {
			for u.sockets.acquireUpstream() {
			}
			t.Cleanup(func() { u.sockets.upstreamConns = 0 })
		}, logic.NotSent}, // it says nothing of the endpoint
		{"drains while it dials", 100, func(u *upstream, g *leg) {
			plain := u.dial
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				u.list("s", addr, false)
				return plain(ctx, network, addr)
			}
		}, logic.NoConnection},
		{"stood still, the drain unread", 100, func(u *upstream, g *leg) {
			turn := 0
			u.behind = func() bool {
				if turn++; turn == 3 {
					u.list("s", "", false)
				}
				return turn <= 3
			}
		}, logic.NoConnection},
		{"moves while it dials", 100, func(u *upstream, g *leg) {
			held(u, func() { u.list("s", "127.0.0.1:1", true) })
		}, logic.NoConnection},
		{"out by hand while it dials", 100, func(u *upstream, g *leg) {
			held(u, func() { u.byHand("s", true) })
		}, logic.NoConnection},
		{"the lease on the list ends while it dials", 100, func(u *upstream, g *leg) {
			g.suspended = &atomic.Bool{}
			held(u, func() { g.suspended.Store(true) })
		}, logic.NotSent}, // it says nothing of the endpoint
		{"its mark is forgotten while it dials", 100, func(u *upstream, g *leg) {
			g.beginLast = time.Now().Add(time.Millisecond)
			held(u, func() { time.Sleep(time.Until(g.beginLast) + time.Millisecond) })
		}, logic.NoConnection},
		{"its exchange ends while it dials", 100, func(u *upstream, g *leg) { held(u, g.void) }, logic.Cancelled},
		{"its exchange ended before it dialled", 100, func(u *upstream, g *leg) { g.void() }, logic.Cancelled},
		{"its client leaves while it dials", 100, func(u *upstream, g *leg) {
			g.of = &exchange{}
			held(u, func() { g.of.clientGone.Store(true) })
		}, logic.Cancelled},
		{"called off while it dials", 100, func(u *upstream, g *leg) {
			u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				g.cancel()
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, logic.Cancelled},
		{"breaks while it is written", 100, func(u *upstream, g *leg) {
			g.request.body = make([]byte, 1<<24)
			u.dial = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					far.Read(make([]byte, 100))
					far.Close()
				}()
				return near, nil
			}
		}, logic.NoConnection},
	} {
		u := testUpstream(t, c.limit)
		g := testLeg(u, s.Addr().String(), 5*time.Second)
		c.before(u, g)
		_, fault := u.run(g)
		assert.Equal(t, c.outcome, outcomeOf(fault), c.name)
		assert.LessOrEqual(t, fault.reach, writing, c.name)
	}
	assert.Zero(t, s.requests.Load())
}

// A connection rests between two requests: what belongs to none shows by then, and is never taken for the next answer.
func TestRest(t *testing.T) {
	u, turn := testUpstream(t, 100), 0
	u.rest = time.Hour
	s := newStandIn(t, func(c net.Conn, _ *http.Request) bool {
		turn++
		return say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", turn), true)(c, nil)
	})
	for n := range 3 {
		if n == 2 {
			u.rest = 0
		}
		r, fault := u.run(testLeg(u, s.Addr().String(), 5*time.Second))
		assert.Nil(t, fault)
		assert.Equal(t, fmt.Sprint(n+1), string(r.body))
	}
	assert.EqualValues(t, 2, s.connections.Load(), "a third request found one that had rested")
}

// A leg that was called off leaves a connection on which its answer may still come.
func TestCalledOff(t *testing.T) {
	u, s := testUpstream(t, 100), newStandIn(t, silent)
	g := testLeg(u, s.Addr().String(), 5*time.Second)
	go func() {
		<-s.seen
		g.cancel()
	}()
	_, fault := u.run(g)
	assert.Equal(t, logic.Cancelled, outcomeOf(fault))
	assert.False(t, u.dropIdle())
}

// An idle connection is used again only while it is sure to carry a request.
func TestIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(u *upstream, s *standIn, addr string)
		dialled int64
	}{
		{"nothing changed", func(*upstream, *standIn, string) {}, 1},
		{"near idle-close", func(u *upstream, _ *standIn, _ string) { u.retire = 0 }, 2},
		{"swept", func(u *upstream, _ *standIn, _ string) { u.sweep(time.Now().Add(u.retire * 2)) }, 2},
		{"swept early", func(u *upstream, _ *standIn, _ string) { u.sweep(time.Now()) }, 1},
		{"drained and back", func(u *upstream, _ *standIn, addr string) {
			u.list("s", addr, false)
			u.list("s", addr, true)
		}, 2},
		{"moved away and back", func(u *upstream, _ *standIn, addr string) {
			u.list("s", "127.0.0.1:1", true)
			u.list("s", addr, true)
		}, 2},
		{"given up for another descriptor", func(u *upstream, _ *standIn, _ string) {
			taken := 0
			for ; len(u.find("s").idle) > 0; taken++ {
				u.sockets.acquireUpstream()
			}
			u.sockets.upstreamConns -= taken
		}, 2},
	} {
		u, s := testUpstream(t, 2*reservedDescriptors), newStandIn(t, say(fine, true))
		addr := s.Addr().String()
		_, fault := u.run(testLeg(u, addr, 5*time.Second))
		assert.Nil(t, fault, c.name)
		c.change(u, s, addr)
		_, fault = u.run(testLeg(u, addr, 5*time.Second))
		assert.Nil(t, fault, c.name)
		assert.Equal(t, c.dialled, s.connections.Load(), c.name)
	}
}

// A burst's connections, kept by each of a large fleet, would fill the tables of all endpoints.
func TestIdleConnectionsAreBoundedByTheEndpoints(t *testing.T) {
	for _, c := range []struct{ limit, endpoints, kept int }{
		{100, 1, 5}, {100, 24, 2}, {100, 1000, 1}, {100, 0, 5},
	} {
		u, open, answer := testUpstream(t, c.limit), make(chan bool, 5), make(chan bool)
		s := newStandIn(t, func(conn net.Conn, _ *http.Request) bool {
			open <- true
			<-answer
			conn.Write([]byte(fine))
			return true
		})
		u.share(c.endpoints)
		over := make(chan *legError, 5)
		for range 5 {
			g := testLeg(u, s.Addr().String(), 5*time.Second)
			go func() {
				_, fault := u.run(g)
				over <- fault
			}()
		}
		for range 5 {
			<-open
		}
		close(answer)
		for range 5 {
			assert.Nil(t, <-over)
		}
		_, held := u.sockets.connections()
		assert.Equal(t, c.kept, held, "%+v", c)
		assert.Len(t, u.find("s").idle, c.kept)
	}
}

// A request written to a connection that its peer had closed would end as a reset and might count as run.
func TestPeerClosesIdle(t *testing.T) {
	closing := make(chan net.Conn, 1)
	u := testUpstream(t, 100)
	s := newStandIn(t, func(c net.Conn, _ *http.Request) bool {
		c.Write([]byte(fine))
		select {
		case closing <- c:
		default:
		}
		return true
	})
	addr := s.Addr().String()
	u.run(testLeg(u, addr, 5*time.Second))
	(<-closing).Close()
	k := u.find("s").idle[0]
	assert.Eventually(t, func() bool { return !k.quiet() }, 5*time.Second, time.Millisecond)
	_, fault := u.run(testLeg(u, addr, 5*time.Second))
	assert.Nil(t, fault)
	assert.EqualValues(t, 2, s.connections.Load())
}

// A process with a small share of a core stands still again and again, and is always just behind: its legs begin all the same.
func TestLegsBeginBetweenStandstills(t *testing.T) {
	s := newStandIn(t, say(fine, true))
	u := testUpstream(t, 100)
	looks := 0
	u.behind = func() bool { looks++; return true }
	r, fault := u.run(testLeg(u, s.Addr().String(), 10*time.Second))
	assert.Equal(t, logic.Succeeded, outcomeOf(fault))
	assert.NotNil(t, r)
	assert.Equal(t, behindWaits, looks, "whoever reads the news had its turn")
	assert.EqualValues(t, 1, s.requests.Load())
}
