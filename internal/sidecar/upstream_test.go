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
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/logic"
)

// stubEndpoint answers each request by its script, and counts the requests that it received completely.
type stubEndpoint struct {
	net.Listener
	requests, connections atomic.Int64
	script                func(c net.Conn, r *http.Request) (keepOpen bool)
	received              chan *http.Request
}

func newStubEndpoint(t *testing.T, script func(c net.Conn, r *http.Request) bool) *stubEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	return newStubEndpointOn(t, ln, script)
}

// newStubEndpointOn is newStubEndpoint on a given listener.
func newStubEndpointOn(t *testing.T, ln net.Listener, script func(c net.Conn, r *http.Request) bool) *stubEndpoint {
	t.Cleanup(func() { ln.Close() })
	s := &stubEndpoint{Listener: ln, script: script, received: make(chan *http.Request, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *stubEndpoint) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var b strings.Builder
		if _, err := bufio.NewReader(r.Body).WriteTo(&b); err != nil {
			return // an endpoint does not run an incomplete request
		}
		r.Header.Set("Test-Body", b.String())
		s.requests.Add(1)
		s.received <- r
		if !s.script(c, r) {
			return
		}
	}
}

// respondWith returns a script that writes the same text each time.
func respondWith(text string, keepOpen bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		c.Write([]byte(text))
		return keepOpen
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer-Load: util=0.1\r\n\r\nhello"

func neverAnswer(c net.Conn, _ *http.Request) bool {
	c.Read(make([]byte, 1)) // until the sidecar closes the connection
	return false
}

func resetConn(c net.Conn, _ *http.Request) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

func newTestUpstream(t *testing.T, limit int) *upstream {
	u := newUpstream(200, 10000, newDescriptorLimiter(limit, &Counters{}), &Counters{})
	u.reuseDelay = 0
	t.Cleanup(func() {
		for u.closeOneIdle() {
		}
		_, held := u.sockets.connections()
		assert.Zero(t, held, "descriptors still held for connections to endpoints")
	})
	return u
}

func newTestLeg(u *upstream, addr string, timeout time.Duration) *leg {
	u.applyListed("s", addr, true)
	g := &leg{endpoint: u.find("s"), addr: addr, deadline: time.Now().Add(timeout), request: &request{
		method: "POST", head: []byte("POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 2\r\n"), body: []byte("ab"),
	}}
	g.ctx, g.cancelCause = context.WithCancelCause(context.Background())
	g.onAnswerStart = func(r *reply) { r.flow.discard() }
	return g
}

func outcomeOf(f *legError) logic.Outcome {
	if f == nil {
		return logic.Succeeded
	}
	return f.outcome
}

// The outcome of a failed leg must say whether the request may have run. Only an explicit statement by the endpoint, or a
// request that was not written completely, proves that it did not.
func TestLegOutcomes(t *testing.T) {
	const head = "HTTP/1.1 "
	for _, c := range []struct {
		name    string
		script  func(net.Conn, *http.Request) bool
		outcome logic.Outcome
		kept    bool // the connection is used for the next leg
	}{
		{"complete", respondWith(okResponse, true), logic.Succeeded, true},
		{"chunked", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true), logic.Succeeded, true},
		{"100 Continue first", respondWith(head+"100 Continue\r\n\r\n"+okResponse, true), logic.Succeeded, true},
		{"Connection: close", respondWith(head+"200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", false), logic.Succeeded, false},
		{"surplus bytes after the answer", respondWith(okResponse+"x", true), logic.Succeeded, false},
		{"500", respondWith(head+"500 Oops\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"503 not started", respondWith(head+"503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Full, true},
		{"504 not started", respondWith(head+"504 Over\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Full, true},
		{"503 without Not-Started", respondWith(head+"503 Busy\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"429", respondWith(head+"429 Slow\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"redirect", respondWith(head+"302 There\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", true), logic.Errored, true},
		{"connection reset", resetConn, logic.Reset, false},
		{"connection closed without an answer", respondWith("", false), logic.Reset, false},
		{"head cut off", respondWith(head+"200 OK\r\nContent-Le", false), logic.Reset, false},
		{"body cut off", respondWith(head+"200 OK\r\nContent-Length: 50\r\n\r\nhello", false), logic.Reset, false},
		{"chunks cut off", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false), logic.Reset, false},
		{"end of connection ends the body", respondWith(head+"200 OK\r\n\r\nhello", false), logic.Succeeded, false},
		{"reset before the end of connection ends the body", func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\n\r\nhel"))
			return resetConn(c, r)
		}, logic.Reset, false},
		{"chunks of one byte, with extensions and trailers", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=\"b\"\r\nh\r\n"+
			"1\r\ne\r\n01\r\nl\r\n1 \r\nl\r\n1\r\no\r\n0;x\r\nTrailer: y\r\n\r\n", true), logic.Succeeded, true},
		{"chunk without a size", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n", true), logic.Errored, false},
		{"chunk longer than its size", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n", true), logic.Errored, false},
		{"trailers without end", respondWith(head+"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("A: b\r\n", 1<<14), true), logic.Errored, false},
		{"not HTTP", respondWith("SSH-2.0-x\r\n\r\n", true), logic.Errored, false},
		{"body too long", respondWith(fmt.Sprintf("%s200 OK\r\nContent-Length: %d\r\n\r\n", head, maxStreamedBytes+1), true), logic.Errored, false},
		{"head of many fields", respondWith(head+"200 OK\r\nContent-Length: 5\r\n"+strings.Repeat("a:\r\n", maxHeadFields)+"\r\nhello", true), logic.Errored, false},
		{"head of as many fields as are taken", respondWith(head+"200 OK\r\nContent-Length: 5\r\n"+strings.Repeat("a:\r\n", maxHeadFields-1)+"\r\nhello", true), logic.Succeeded, true},
		{"head without end", respondWith(head+"200 OK\r\n"+strings.Repeat("A: bcdefgh\r\n", 20000), true), logic.Errored, false},
		{"binary noise", respondWith("\x00\x01\x02", true), logic.Errored, false},
		{"Content-Length and chunks", respondWith(head+"200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			true), logic.Errored, false},
		{"two different Content-Length", respondWith(head+"200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", true), logic.Errored, false},
		{"negative Content-Length", respondWith(head+"200 OK\r\nContent-Length: -5\r\n\r\nhello", true), logic.Errored, false},
		{"Content-Length not a number", respondWith(head+"200 OK\r\nContent-Length: five\r\n\r\nhello", true), logic.Errored, false},
		{"3 GB", func(c net.Conn, _ *http.Request) bool {
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
		}, logic.Cancelled, false}, // forwarded until the client reads no more
		{"1xx answers without end", respondWith(strings.Repeat(head+"102 Processing\r\n\r\n", 100)+okResponse, true), logic.Errored, false},
		{"answer sent twice", respondWith(okResponse+okResponse, true), logic.Succeeded, false},
		{"no answer", neverAnswer, logic.TimedOut, false},
		{"body stalls until the leg's deadline", func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(head + "200 OK\r\nContent-Length: 50\r\n\r\nhello"))
			return neverAnswer(c, r)
		}, logic.TimedOut, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u, s := newTestUpstream(t, 100), newStubEndpoint(t, c.script)
			timeout := 5 * time.Second
			if c.outcome == logic.TimedOut {
				timeout = 50 * time.Millisecond
			}
			began := time.Now()
			r, fault := u.run(newTestLeg(u, s.Addr().String(), timeout))
			assert.Equal(t, c.outcome, outcomeOf(fault))
			assert.Less(t, time.Since(began), timeout/2+50*time.Millisecond, "time left for another leg")
			assert.EqualValues(t, 1, s.requests.Load(), "requests sent")
			if c.outcome == logic.Succeeded {
				assert.Equal(t, "hello", string(r.body))
			}
			got := <-s.received
			assert.Equal(t, "ab", got.Header.Get("Test-Body"))
			assert.Regexp(t, `^[0-9]+\.[0-9]{3}m$`, got.Header.Get("Request-Timeout"))
			u.run(newTestLeg(u, s.Addr().String(), 50*time.Millisecond))
			assert.Equal(t, c.kept, s.connections.Load() == 1, "connection reused")
		})
	}
}

// Guards against a sound answer that is given up for a pause, and against a pause that is noticed when no time is left for another
// leg.
func TestPauseOfAnAnswerIsReportedAndWaitedOut(t *testing.T) {
	const head = "HTTP/1.1 "
	for _, c := range []struct{ name, before, after string }{
		{"head", head + "200 OK\r\nContent-", "Length: 5\r\n\r\nhello"},
		{"body", head + "200 OK\r\nContent-Length: 5\r\n\r\nhel", "lo"},
		{"chunk", head + "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "lo\r\n0\r\n\r\n"},
		{"no length", head + "200 OK\r\n\r\nhel", "lo"},
	} {
		for _, resumes := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, " resumes ", resumes), func(t *testing.T) {
				t.Parallel()
				resume := make(chan bool)
				s := newStubEndpoint(t, func(conn net.Conn, r *http.Request) bool {
					conn.Write([]byte(c.before))
					if <-resume; !resumes {
						return neverAnswer(conn, r)
					}
					conn.Write([]byte(c.after))
					return false
				})
				u := newTestUpstream(t, 100)
				g := newTestLeg(u, s.Addr().String(), 5*u.stallTimeout)
				reports := make(chan time.Duration, 10)
				began := time.Now()
				g.onAnswerStall = func() {
					reports <- time.Since(began)
					time.AfterFunc(2*u.stallTimeout, func() { close(resume) })
				}
				r, fault := u.run(g)
				require.Len(t, reports, 1, "reported once")
				assert.Less(t, <-reports, 2*u.stallTimeout, "time left for another leg")
				if !resumes {
					assert.Equal(t, logic.TimedOut, outcomeOf(fault))
					return
				}
				require.Nil(t, fault)
				assert.Equal(t, "hello", string(r.body))
			})
		}
	}
}

// duringDial runs an action after a leg has started to dial and before its first byte is written.
func duringDial(u *upstream, action func()) {
	dial := u.dial
	u.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		action()
		return dial(context.Background(), network, addr)
	}
}

// A leg that fails before its request is written completely must end with an outcome which says that it did not run, and the
// endpoint must not receive a request.
func TestLegsThatCannotHaveRun(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	for _, c := range []struct {
		name    string
		limit   int
		before  func(u *upstream, g *leg)
		outcome logic.Outcome
	}{
		{"connection refused", 100, func(u *upstream, g *leg) { g.addr = "127.0.0.1:1" }, logic.NoConnection},
		{"dial times out", 100, func(u *upstream, g *leg) {
			u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, logic.NoConnection},
		{"no descriptor left", 2 * reservedDescriptors, func(u *upstream, g *leg) {
			for u.sockets.acquireUpstream() {
			}
			t.Cleanup(func() { u.sockets.upstreamConns = 0 })
		}, logic.NotSent}, // says nothing about the endpoint
		{"endpoint drains while the leg dials", 100, func(u *upstream, g *leg) {
			dial := u.dial
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				u.applyListed("s", addr, false)
				return dial(ctx, network, addr)
			}
		}, logic.NoConnection},
		{"drain unread after a stall of the process", 100, func(u *upstream, g *leg) {
			checks := 0
			u.updatesPending = func() bool {
				if checks++; checks == 3 {
					u.applyListed("s", "", false)
				}
				return checks <= 3
			}
		}, logic.NoConnection},
		{"endpoint changes its address while the leg dials", 100, func(u *upstream, g *leg) {
			duringDial(u, func() { u.applyListed("s", "127.0.0.1:1", true) })
		}, logic.NoConnection},
		{"operator drains the endpoint while the leg dials", 100, func(u *upstream, g *leg) {
			duringDial(u, func() { u.setOperatorDrain("s", true) })
		}, logic.NoConnection},
		{"lease on the list ends while the leg dials", 100, func(u *upstream, g *leg) {
			g.leaseEnded = &atomic.Bool{}
			duringDial(u, func() { g.leaseEnded.Store(true) })
		}, logic.NotSent}, // says nothing about the endpoint
		{"idempotency key may be forgotten while the leg dials", 100, func(u *upstream, g *leg) {
			g.exchange = &exchange{gate: commitGate{dropsRepeats: true, repeatWindow: time.Millisecond, earlierRun: time.Now()}}
			duringDial(u, func() { time.Sleep(2 * time.Millisecond) })
		}, logic.NoConnection},
		{"exchange ends while the leg dials", 100, func(u *upstream, g *leg) {
			g.exchange = &exchange{}
			g.gate().add(g)
			duringDial(u, g.gate().close)
		}, logic.Cancelled},
		{"exchange ended before the leg dialled", 100, func(u *upstream, g *leg) {
			g.exchange = &exchange{}
			g.gate().close()
			g.gate().add(g)
		}, logic.Cancelled},
		{"client leaves while the leg dials", 100, func(u *upstream, g *leg) {
			g.exchange = &exchange{}
			duringDial(u, func() { g.exchange.clientGone.Store(true) })
		}, logic.Cancelled},
		{"leg cancelled while it dials", 100, func(u *upstream, g *leg) {
			u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				g.cancel()
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, logic.Cancelled},
		{"connection breaks while the request is written", 100, func(u *upstream, g *leg) {
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
		u := newTestUpstream(t, c.limit)
		g := newTestLeg(u, s.Addr().String(), 5*time.Second)
		c.before(u, g)
		_, fault := u.run(g)
		assert.Equal(t, c.outcome, outcomeOf(fault), c.name)
		assert.LessOrEqual(t, fault.stage, writing, c.name)
	}
	assert.Zero(t, s.requests.Load())
}

// Bytes that an endpoint sends after its answer must not be taken for the next answer: a connection is reused only
// after a delay, by which such bytes have shown up.
func TestConnectionIsNotReusedBeforeTheReuseDelay(t *testing.T) {
	u, answers := newTestUpstream(t, 100), 0
	u.reuseDelay = time.Hour
	s := newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		answers++
		return respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", answers), true)(c, nil)
	})
	for n := range 3 {
		if n == 2 {
			u.reuseDelay = 0
		}
		r, fault := u.run(newTestLeg(u, s.Addr().String(), 5*time.Second))
		assert.Nil(t, fault)
		assert.Equal(t, fmt.Sprint(n+1), string(r.body))
	}
	assert.EqualValues(t, 2, s.connections.Load(), "connections: only the third request finds one whose reuse delay is over")
}

// The answer to a cancelled leg may still arrive on its connection, which must not be reused.
func TestConnectionOfACancelledLegIsNotReused(t *testing.T) {
	u, s := newTestUpstream(t, 100), newStubEndpoint(t, neverAnswer)
	g := newTestLeg(u, s.Addr().String(), 5*time.Second)
	go func() {
		<-s.received
		g.cancel()
	}()
	_, fault := u.run(g)
	assert.Equal(t, logic.Cancelled, outcomeOf(fault))
	assert.False(t, u.closeOneIdle())
}

// An idle connection is reused only while it is certain to carry a request: not near the endpoint's idle-close, nor
// after the endpoint drained or changed its address.
func TestIdleConnectionIsReusedOnlyWhileItCanCarryARequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(u *upstream, s *stubEndpoint, addr string)
		dialled int64
	}{
		{"nothing changed", func(*upstream, *stubEndpoint, string) {}, 1},
		{"idle time near idle-close", func(u *upstream, _ *stubEndpoint, _ string) { u.maxIdleTime = 0 }, 2},
		{"closed as stale", func(u *upstream, _ *stubEndpoint, _ string) { u.closeStaleIdle(time.Now().Add(u.maxIdleTime * 2)) }, 2},
		{"not yet stale", func(u *upstream, _ *stubEndpoint, _ string) { u.closeStaleIdle(time.Now()) }, 1},
		{"drained and back in service", func(u *upstream, _ *stubEndpoint, addr string) {
			u.applyListed("s", addr, false)
			u.applyListed("s", addr, true)
		}, 2},
		{"changed address and back", func(u *upstream, _ *stubEndpoint, addr string) {
			u.applyListed("s", "127.0.0.1:1", true)
			u.applyListed("s", addr, true)
		}, 2},
		{"closed to free its descriptor", func(u *upstream, _ *stubEndpoint, _ string) {
			taken := 0
			for ; len(u.find("s").idle) > 0; taken++ {
				u.sockets.acquireUpstream()
			}
			u.sockets.upstreamConns -= taken
		}, 2},
	} {
		u, s := newTestUpstream(t, 2*reservedDescriptors), newStubEndpoint(t, respondWith(okResponse, true))
		addr := s.Addr().String()
		_, fault := u.run(newTestLeg(u, addr, 5*time.Second))
		assert.Nil(t, fault, c.name)
		c.change(u, s, addr)
		_, fault = u.run(newTestLeg(u, addr, 5*time.Second))
		assert.Nil(t, fault, c.name)
		assert.Equal(t, c.dialled, s.connections.Load(), c.name)
	}
}

// If every sidecar of a large fleet kept all connections that a burst opened, the connection tables of all endpoints
// would fill up.
func TestIdleConnectionsPerEndpointAreBounded(t *testing.T) {
	for _, c := range []struct{ limit, endpoints, kept int }{
		{100, 1, 5}, {100, 24, 2}, {100, 1000, 1}, {100, 0, 5},
	} {
		u, open, answer := newTestUpstream(t, c.limit), make(chan bool, 5), make(chan bool)
		s := newStubEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
			open <- true
			<-answer
			conn.Write([]byte(okResponse))
			return true
		})
		u.limitIdle(c.endpoints)
		over := make(chan *legError, 5)
		for range 5 {
			g := newTestLeg(u, s.Addr().String(), 5*time.Second)
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

// A request written to a connection that the endpoint had closed would end as a reset, and so might count as run.
func TestIdleConnectionClosedByItsPeerIsNotReused(t *testing.T) {
	closing := make(chan net.Conn, 1)
	u := newTestUpstream(t, 100)
	s := newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		c.Write([]byte(okResponse))
		select {
		case closing <- c:
		default:
		}
		return true
	})
	addr := s.Addr().String()
	u.run(newTestLeg(u, addr, 5*time.Second))
	(<-closing).Close()
	k := u.find("s").idle[0]
	assert.Eventually(t, func() bool { return !k.isQuiet() }, 5*time.Second, time.Millisecond)
	_, fault := u.run(newTestLeg(u, addr, 5*time.Second))
	assert.Nil(t, fault)
	assert.EqualValues(t, 2, s.connections.Load())
}

// A process with a small share of a core stalls again and again, and may always have unread updates. Its legs must
// start all the same, after a bounded number of waits.
func TestLegsStartWhileTheProcessKeepsStalling(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	u := newTestUpstream(t, 100)
	checks := 0
	u.updatesPending = func() bool { checks++; return true }
	r, fault := u.run(newTestLeg(u, s.Addr().String(), 10*time.Second))
	assert.Equal(t, logic.Succeeded, outcomeOf(fault))
	assert.NotNil(t, r)
	assert.Equal(t, maxUpdateWaits, checks, "waits in which the updates could be read")
	assert.EqualValues(t, 1, s.requests.Load())
}
