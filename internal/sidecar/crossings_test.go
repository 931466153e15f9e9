package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Each test of this file forces one race of two events into its bad order, and into no other: docs/crossings.md has the table.

// stopLoop stops the event loop and returns once it has handled all that was queued before, including the list at the start.
func (r *testSidecar) stopLoop() (resume func()) {
	reached, resume := r.stopLoopBehindQueue()
	<-reached
	return resume
}

// stopLoopBehindQueue queues a stop of the event loop behind what is queued already. reached is closed when the loop stops
// there; resume waits for that and lets it go on.
func (r *testSidecar) stopLoopBehindQueue() (reached chan bool, resume func()) {
	gate, reached := make(chan bool), make(chan bool)
	r.loop.post(loopFunc(func(*loop) {
		close(reached)
		<-gate
	}))
	return reached, func() { <-reached; close(gate) }
}

// eventually waits until f is true, and fails the test after 10 s.
func eventually(t *testing.T, why string, f func() bool) {
	require.Eventually(t, f, 10*time.Second, time.Millisecond, why)
}

// holdDial holds the nth connection to an endpoint between its connect and its use, even if its leg is cancelled meanwhile.
func (r *testSidecar) holdDial(nth int64) (dialled chan bool, resume func()) {
	dialled, gate, plain, n := make(chan bool, 1), make(chan bool), r.loop.upstream.dial, atomic.Int64{}
	r.loop.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if n.Add(1) != nth {
			return plain(ctx, network, addr)
		}
		c, err := plain(context.Background(), network, addr)
		dialled <- true
		<-gate
		return c, err
	}
	return dialled, func() { close(gate) }
}

// closeClient closes a client's connection with a FIN or, if how is RST, with a reset.
func closeClient(c net.Conn, how string) {
	if how == "RST" {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// If a client leaves while its leg is dialling, its request is never sent, whether legs may be cancelled or not, and whatever
// is unread between the request and the end of the connection.
func TestClientLeavesWhileItsLegDials(t *testing.T) {
	next := requestText("next", "GET", "look", "")
	for _, c := range []struct{ name, request, behind string }{
		{"nothing after it", requestText("1", "GET", "look", ""), ""},
		{"single-use", requestText("1", "POST", "buy", "Content-Length: 2\r\n") + "ab", ""},
		{"another request after it", requestText("1", "GET", "look", ""), next},
		{"half a request after it", requestText("1", "GET", "look", ""), next[:20]},
		{"more than is read ahead", requestText("1", "GET", "look", ""), strings.Repeat(next, 1000)},
		{"invalid bytes after it", requestText("1", "POST", "buy", "Content-Length: 2\r\n") + "ab", "\x00\x01\r\n\r\n"},
		{"chunked", requestText("1", "POST", "buy", "Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n", ""},
		{"chunked, another request after it", requestText("1", "POST", "buy", "Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n", next},
	} {
		for _, how := range []string{"FIN", "RST"} {
			for _, mayCancel := range []bool{true, false} {
				t.Run(fmt.Sprint(c.name, how, mayCancel), func(t *testing.T) {
					t.Parallel()
					s := newStubEndpoint(t, respondWith(okResponse, true))
					r := startSidecar(t, listOf(s), func(s *Config) { s.terms.MayCancel = mayCancel })
					dialled, resume := r.holdDial(1)
					conn := r.dial()
					conn.Write([]byte(c.request + c.behind))
					<-dialled
					closeClient(conn, how)
					if c.name != "chunked, another request after it" { // its end is noticed only by the check before the first byte
						eventually(t, "the close is noticed at once", func() bool { return r.server.counters.clientsLeft.Load() == 1 })
					} else {
						eventually(t, "the close has arrived", func() bool {
							return r.server.counters.clientsLeft.Load() == 1 || r.onlyClient().peekState() == connEnded
						})
					}
					resume()
					eventually(t, "the exchange is finished", func() bool { return r.loop.unanswered.Load()+r.server.activeHandlers.Load() == 0 })
					eventually(t, "its leg has ended too", func() bool { return r.openExchanges() == 0 })
					assert.Zero(t, s.requests.Load(), "never sent to an endpoint")
					assert.EqualValues(t, 1, r.server.counters.clientsLeft.Load())
					assert.EqualValues(t, 1, r.server.counters.exchanges.Load(), "the request after it is not taken")
				})
			}
		}
	}
}

// A client sends all of a long request and leaves while its leg is dialling. The rest of the request is in the kernel's buffer,
// before the end of the connection, and could be sent on whole: it must not be.
func TestClientOfALongRequestLeavesWhileItsLegDials(t *testing.T) {
	for _, c := range []struct{ name, head, end string }{
		{"with length", "Content-Length: 327680\r\n", ""},
		{"chunked", "Transfer-Encoding: chunked\r\n", "\r\n0\r\n\r\n"},
	} {
		for _, how := range []string{"FIN", "RST"} {
			t.Run(fmt.Sprint(c.name, how), func(t *testing.T) {
				t.Parallel()
				s := newStubEndpoint(t, respondWith(okResponse, true))
				r := startSidecar(t, listOf(s), withStreaming)
				dialled, resume := r.holdDial(1)
				conn := r.dial().(*net.TCPConn)
				conn.SetWriteBuffer(1 << 20)
				body := strings.Repeat("x", 327680)
				if c.end != "" {
					body = "50000\r\n" + body
				}
				sent := make(chan error, 1)
				go func() {
					_, err := conn.Write([]byte(requestText("1", "POST", "buy", c.head) + body + c.end))
					sent <- err
				}()
				<-dialled
				require.NoError(t, <-sent)
				closeClient(conn, how)
				eventually(t, "the close has arrived", func() bool {
					n := r.server.counters
					return n.badInput.Load()+n.clientsLeft.Load() == 1 || r.onlyClient().peekState() == connEnded
				})
				resume()
				eventually(t, "the exchange is finished", func() bool { return r.loop.unanswered.Load()+r.server.activeHandlers.Load() == 0 })
				eventually(t, "its leg has ended too", func() bool { return r.openExchanges() == 0 })
				assert.Zero(t, s.requests.Load(), "never sent to an endpoint")
			})
		}
	}
}

// withLongTimeouts gives all products an abandon time of a minute, so that no timeout decides these tests.
func withLongTimeouts(s *Config) {
	for n := range s.terms.Products {
		s.terms.Products[n].Abandon, s.terms.Products[n].Expected = 60000, 50000
	}
}

// onlyClient returns the only client's connection.
func (r *testSidecar) onlyClient() *clientConn {
	r.server.descriptors.mu.Lock()
	defer r.server.descriptors.mu.Unlock()
	for c := range r.server.descriptors.clients {
		return c
	}
	return &clientConn{} // it is closed
}

// openExchanges returns how many exchanges the event loop holds.
func (r *testSidecar) openExchanges() int {
	n := make(chan int)
	r.loop.post(loopFunc(func(l *loop) { n <- len(l.exchanges) }))
	return <-n
}

// If a client leaves while a further leg is dialling, that leg is not sent, however the first one ended.
func TestClientLeavesWhileAFurtherLegDials(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(net.Conn, *http.Request) bool
	}{
		{"after an error", respondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false)},
		{"after a refusal", respondWith("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", false)},
		{"after a reset", resetConn},
	} {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, mayCancel), func(t *testing.T) {
				t.Parallel()
				s := newStubEndpoint(t, c.first)
				r := startSidecar(t, listOf(s, s, s, s), func(s *Config) { s.terms.MayCancel = mayCancel })
				dialled, resume := r.holdDial(2)
				conn := r.dial()
				conn.Write([]byte(requestText("1", "GET", "look", "")))
				<-dialled
				closeClient(conn, "FIN")
				eventually(t, "the close is noticed", func() bool { return r.server.counters.clientsLeft.Load() == 1 })
				resume()
				eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 })
				assert.EqualValues(t, 1, s.requests.Load(), "the first leg only")
			})
		}
	}
}

// The loop handles an exchange before it is notified that its client has left: the leg must notice that itself. This happens
// after a stall of the process, when the request and the end of its connection are read at once.
func TestClientLeftBeforeTheLoopKnows(t *testing.T) {
	for _, how := range []string{"FIN", "RST"} {
		s := newStubEndpoint(t, respondWith(okResponse, true))
		r := startSidecar(t, listOf(s), withLongTimeouts)
		resumeFirst := r.stopLoop()
		conn := r.dial()
		conn.Write([]byte(strings.Replace(requestText("1", "GET", "look", ""), "900m", "60000m", 1)))
		eventually(t, "the exchange is queued", func() bool { return len(r.loop.queue) == 1 })
		stoppedAgain, resumeSecond := r.stopLoopBehindQueue()
		closeClient(conn, how)
		eventually(t, "the close is queued behind it", func() bool { return len(r.loop.queue) == 3 })
		resumeFirst() // the exchange is handled, the close is not
		<-stoppedAgain
		eventually(t, "the leg has ended: its two events follow the close", func() bool { return len(r.loop.queue) == 3 })
		resumeSecond()
		eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 && r.server.activeHandlers.Load() == 0 })
		assert.Zero(t, s.requests.Load())
		assert.EqualValues(t, 1, r.server.counters.clientsLeft.Load())
	}
}

// upstreamConnections counts connections to endpoints that are in use or idle.
func (r *testSidecar) upstreamConnections() int {
	_, n := r.server.descriptors.connections()
	return n
}

// If a leg's answer arrives while a hedge is still dialling, the exchange is finished, and the hedge must not be sent, whether
// legs may be cancelled or not.
func TestAnsweredWhileAHedgeDials(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		release := make(chan bool)
		s := newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
			<-release
			c.Write([]byte(okResponse))
			return false
		})
		r := startSidecar(t, listOf(s, s), func(s *Config) { s.terms.MayCancel = mayCancel })
		dialled, resume := r.holdDial(2)
		conn := r.dial()
		conn.Write([]byte(requestText("1", "GET", "look", "")))
		<-s.received
		r.loop.post(loopFunc(func(l *loop) { l.Send("1", "s1", 0) })) // as the module sends a hedge
		<-dialled
		close(release)
		got, _ := exchangeOn(conn, "")
		require.NotNil(t, got)
		assert.Equal(t, 200, got.StatusCode)
		resume()
		eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 })
		assert.EqualValues(t, 1, s.requests.Load())
	}
}

// A retry of a request with an idempotency key is dialling until endpoints may have forgotten the key: sent then, its effect
// could come twice.
func TestIdempotencyKeyExpiresWhileARetryDials(t *testing.T) {
	const remember = 150
	s := newStubEndpoint(t, respondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false))
	r := startSidecar(t, listOf(s, s, s, s), func(s *Config) { s.terms.Products[2].DedupMemory = remember })
	dialled, resume := r.holdDial(2)
	conn, began := r.dial(), time.Now()
	conn.Write([]byte(requestText("1", "POST", "save", "Idempotency-Key: k\r\nContent-Length: 0\r\n")))
	<-dialled
	time.Sleep(time.Until(began.Add(remember * time.Millisecond)))
	resume()
	got, _ := exchangeOn(conn, "")
	require.NotNil(t, got)
	assert.EqualValues(t, 1, s.requests.Load())
}

// A drain that discovery reports while a burst of requests waits for the loop takes effect before the burst is sent.
func TestDrainOvertakesABurstOfRequests(t *testing.T) {
	a, b := newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true))
	notify := make(chan bool)
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead + chunk(listOf(a, b))))
		<-notify
		c.Write([]byte(chunk(listText(2, false, entryText("s0", a.Addr().String(), "terminating")))))
		return neverAnswer(c, q)
	})
	r := startSidecar(t, listOf(a, b), func(s *Config) { s.Discovery = d.Addr().String() })
	eventually(t, "the list", func() bool { return r.loop.watchHeard.Load() })
	resume := r.stopLoop()
	conns := []net.Conn{}
	for n := range 40 {
		conns = append(conns, r.dial())
		conns[n].Write([]byte(requestText(fmt.Sprint(n), "GET", "look", "")))
	}
	eventually(t, "the burst waits", func() bool { return len(r.loop.queue) == len(conns) })
	_, resumeBehindBurst := r.stopLoopBehindQueue() // a drain queued behind the burst would not be handled until all of it is answered
	close(notify)
	eventually(t, "the drain waits too", func() bool { return len(r.loop.queue) > len(conns)+1 || len(r.loop.discoverySlots) > 0 })
	resume()
	eventually(t, "the burst is sent", func() bool { return a.requests.Load()+b.requests.Load() > 0 })
	resumeBehindBurst()
	for _, c := range conns {
		got, _ := exchangeOn(c, "")
		require.NotNil(t, got)
	}
	assert.Zero(t, a.requests.Load())
	assert.NotZero(t, b.requests.Load())
}

// A list may span several lines, and each of its bytes may arrive separately.
func TestListsMaySpanSeveralLines(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	line := listText(3, true, entryText("s\\\"}{0", s.Addr().String(), "in_service"))
	indented := strings.NewReplacer("{", "{\n  ", ",", ",\n\t", "[", "[\r\n", "}", "\n}").Replace(
		listText(4, true, entryText("s0", s.Addr().String(), "in_service")))
	for _, text := range []string{indented, "\n" + line + "\n\n" + indented + "\n"} {
		objects := []string{}
		for at := range text {
			var w objectSplitter
			objects = objects[:0]
			for _, p := range []string{text[:at], text[at:]} {
				for rest := []byte(p); len(rest) > 0; {
					object, _, after, err := w.next(rest)
					require.NoError(t, err)
					if rest = after; object != nil {
						objects = append(objects, strings.TrimSpace(string(object)))
					}
				}
			}
			assert.Equal(t, strings.TrimSpace(indented), objects[len(objects)-1])
			assert.Zero(t, w.depth)
		}
	}
	for _, invalid := range []string{"x", "]", "\"a\"", "1"} {
		_, _, _, err := (&objectSplitter{}).next([]byte(invalid))
		assert.Error(t, err, invalid)
	}
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead))
		for _, b := range indented + "\n" {
			fmt.Fprintf(c, "1\r\n%c\r\n", b)
		}
		return neverAnswer(c, q)
	})
	r := startSidecar(t, "null", func(start *Config) { start.Discovery = d.Addr().String() })
	eventually(t, "the list", func() bool { return r.loop.watchHeard.Load() })
	assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")))
	assert.EqualValues(t, 1, d.requests.Load(), "called once")
}

// If discovery stops sending between two lines of an object, it is called again as soon as if it stopped inside a line.
func TestIncompleteListIsRequestedAgain(t *testing.T) {
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead + chunk("{\"version\":1,")))
		return neverAnswer(c, q)
	})
	began := time.Now()
	startSidecar(t, "null", func(start *Config) { start.Discovery, start.watchSilence = d.Addr().String(), time.Hour })
	eventually(t, "called again", func() bool { return d.requests.Load() >= 2 })
	assert.GreaterOrEqual(t, time.Since(began), partialLineTimeout)
}

// Messages of discovery that arrive out of order must not undo a drain, while a drain in an older message still applies. A
// discovery that restarts its versions is asked for the full list, see TestListVersionsMayRestart.
func TestOutdatedListsDoNotUndoDrains(t *testing.T) {
	at := "127.0.0.1:1"
	up := func(id string) string { return entryText(id, at, "in_service") }
	down := func(id string) string { return entryText(id, at, "terminating") }
	for _, c := range []struct {
		name, after string
		running     string
		version     int64
	}{
		{"older change, in service", listText(4, false, up("a")), "b", 5},
		{"older change, draining", listText(4, false, down("b")), "", 5},
		{"older full list, in service", listText(4, true, up("a"), up("b")), "b", 5},
		{"older full list, empty", listText(3, true), "b", 5},
		{"older full list, draining", listText(3, true, down("b")), "", 5},
		{"the same version again", listText(5, false, up("a")), "a b", 5},
		{"newer full list, empty", listText(6, true), "", 6},
		{"newer change", listText(6, false, up("a")), "a b", 6},
	} {
		notify := make(chan bool)
		d := newStubEndpoint(t, func(conn net.Conn, q *http.Request) bool {
			conn.Write([]byte(watchHead + chunk(listText(5, true, down("a"), up("b")))))
			<-notify
			conn.Write([]byte(chunk(c.after)))
			return neverAnswer(conn, q)
		})
		r := startSidecar(t, "null", func(s *Config) { s.Discovery = d.Addr().String() })
		eventually(t, c.name, func() bool { return r.server.counters.lists.Load() == 1 })
		close(notify)
		eventually(t, c.name, func() bool { return r.server.counters.lists.Load() == 2 })
		state := make(chan string)
		r.loop.post(loopFunc(func(l *loop) {
			text := ""
			for _, id := range []logic.EndpointID{"a", "b"} {
				if e := l.upstream.find(id); e != nil && e.accepts(at) {
					text += " " + string(id)
				}
			}
			state <- fmt.Sprint(strings.TrimSpace(text), "@", l.list.version)
		}))
		assert.Equal(t, fmt.Sprint(c.running, "@", c.version), <-state, c.name)
	}
}

// After a sidecar was notified of a drain, its next watch, at a replica that lags or at the discovery that a new configuration
// names, may begin with a full list from before the drain. The drain persists: only a list that is not older, or a later start
// of the endpoint, ends it.
func TestDrainsOutlastOlderFullLists(t *testing.T) {
	const at = "127.0.0.1:1"
	entryOf := func(state string, started int) string {
		return fmt.Sprintf(`{"id":"a","addr":%q,"zone":"a","cell":1,"state":%q,"weight":1.0,"started_ms":%d}`, at, state, started)
	}
	for _, c := range []struct {
		name  string
		moves bool
		first string // what the first watch reports of a, at version 5; next is the next watch's list
		next  string
		takes bool
	}{
		{"older, same discovery", false, entryOf("terminating", 0), listText(4, true, entryOf("in_service", 0)), false},
		{"older, another discovery", true, entryOf("terminating", 0), listText(4, true, entryOf("in_service", 0)), false},
		{"older, terminated before", true, entryOf("terminated", 0), listText(4, true, entryOf("in_service", 0)), false},
		{"older, started since", false, entryOf("terminating", 1000), listText(4, true, entryOf("in_service", 2000)), true},
		{"the same version", true, entryOf("terminating", 0), listText(5, true, entryOf("in_service", 0)), true},
		{"newer", false, entryOf("terminating", 0), listText(6, true, entryOf("in_service", 0)), true},
		{"older, never drained", true, entryOf("in_service", 0), listText(4, true, entryOf("in_service", 0)), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan bool)
			first := newStubEndpoint(t, func(conn net.Conn, q *http.Request) bool {
				if q.URL.Query().Get("after") != "" {
					conn.Write([]byte(watchHead + chunk(c.next)))
					return neverAnswer(conn, q)
				}
				conn.Write([]byte(watchHead + chunk(listText(5, true, c.first))))
				<-ends
				return resetConn(conn, nil)
			})
			second := newStubEndpoint(t, func(conn net.Conn, q *http.Request) bool {
				conn.Write([]byte(watchHead + chunk(c.next)))
				return neverAnswer(conn, q)
			})
			r := startSidecar(t, "null", func(s *Config) { s.Discovery = first.Addr().String() })
			eventually(t, "the first list", func() bool { return r.server.counters.lists.Load() == 1 })
			if c.moves {
				r.loop.post(discoveryChanged{second.Addr().String()})
			} else {
				close(ends)
			}
			eventually(t, "the next list", func() bool { return r.server.counters.lists.Load() == 2 })
			takes := make(chan bool)
			r.loop.post(loopFunc(func(l *loop) {
				e := l.upstream.find("a")
				takes <- e != nil && e.accepts(at)
			}))
			assert.Equal(t, c.takes, <-takes)
			if c.moves {
				close(ends)
			}
		})
	}
}

// A discovery that restarts its versions answers a watch from version 5 with changes of lower versions: it is then asked for
// the full list.
func TestListVersionsMayRestart(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	calls := atomic.Int64{}
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		switch calls.Add(1) {
		case 1:
			c.Write([]byte(watchHead + chunk(listText(5, true, entryText("old", "127.0.0.1:1", "in_service")))))
			return false
		case 2:
			c.Write([]byte(watchHead + chunk(listText(0, false))))
		default:
			c.Write([]byte(watchHead + chunk(listText(1, true, entryText("s0", s.Addr().String(), "in_service")))))
		}
		return neverAnswer(c, q)
	})
	r := startSidecar(t, "null", func(start *Config) { start.Discovery = d.Addr().String() })
	for _, asked := range []string{"", "&after=5", ""} {
		assert.Equal(t, "/discovery/hosts?watch=1"+asked, (<-d.received).RequestURI)
	}
	eventually(t, "its list", func() bool { return r.server.counters.listVersion.Load() == 1 })
	assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")))
}

// A panic between the start and the end of a list leaves the list incomplete: the full list is requested again.
func TestPanicInAListRequestsTheFullList(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead + chunk(listOf(s))))
		return neverAnswer(c, q)
	})
	r := startSidecar(t, "null", func(start *Config) { start.Discovery = d.Addr().String() })
	eventually(t, "the list", func() bool { return r.loop.watchHeard.Load() })
	<-d.received
	r.loop.post(loopFunc(func(l *loop) {
		names := l.list.names
		l.list.names = nil
		l.runGuarded(nil, func() {
			listReceived{endpointList: endpointList{version: 9, full: true, servers: []listEntry{{id: "x", addr: "127.0.0.1:1", running: true}}},
				call: l.list.current.call}.handle(l)
		})
		l.list.names = names
	}))
	assert.Equal(t, "/discovery/hosts?watch=1", (<-d.received).RequestURI)
	eventually(t, "the list again", func() bool { return r.server.counters.listVersion.Load() == 1 && r.server.counters.lists.Load() > 1 })
	assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")))
	assert.EqualValues(t, 1, r.server.counters.panics.Load())
}

// acceptedClient returns a client's connection that is not read yet, and the client's end of it.
func acceptedClient(t *testing.T) (*clientConn, *net.TCPConn) {
	return acceptedClientIn(t, newDescriptorLimiter(100, &Counters{}))
}

// A request that is in the kernel's buffer while idle connections are closed is served, not reset.
func TestUnreadRequestKeepsAnIdleConnectionOpen(t *testing.T) {
	c, far := acceptedClient(t)
	c.enterPhase(phaseIdle)
	far.Write([]byte(requestText("1", "GET", "look", "")))
	eventually(t, "the data arrived", func() bool { return c.peekState() == connUnread })
	c.descriptors.evictQuiet(true)
	assert.False(t, c.closed.Load())
	p := make([]byte, 1000)
	n, err := c.Read(p)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(p[:n]), "GET /look"))
	c.descriptors.evictQuiet(true)
	assert.False(t, c.closed.Load(), "a request is in progress on it")
	silent, _ := acceptedClient(t)
	silent.enterPhase(phaseIdle)
	silent.descriptors.evictQuiet(false)
	assert.True(t, silent.closed.Load(), "nothing arrived on this one")
}

// A head that begins just before an idle connection's timeout gets the time that any head has.
func TestHeadThatCrossesTheIdleTimeout(t *testing.T) {
	c, far := acceptedClient(t)
	c.enterPhase(phaseIdle)
	c.reused = true
	idleDeadline := time.Now().Add(50 * time.Millisecond)
	c.SetReadDeadline(idleDeadline)
	text, p, read := requestText("1", "GET", "look", ""), make([]byte, 1000), make(chan int, 1)
	go func() {
		n, _ := c.Read(p)
		read <- n
	}()
	far.Write([]byte(text[:10]))
	eventually(t, "the head began", func() bool { return phase(c.phase.Load()) == phaseReading })
	time.Sleep(time.Until(idleDeadline) + time.Millisecond)
	far.Write([]byte(text[10:]))
	assert.Equal(t, text, string(p[:<-read]))
}

// Data that arrived before the timeout and was not read by then, as in a process that stalled, is not discarded.
func TestUnreadHeadAtTheIdleTimeout(t *testing.T) {
	c, far := acceptedClient(t)
	c.enterPhase(phaseIdle)
	text, p := requestText("1", "GET", "look", ""), make([]byte, 1000)
	far.Write([]byte(text))
	eventually(t, "the data arrived", func() bool { return c.peekState() == connUnread })
	c.SetReadDeadline(time.Unix(1, 0))
	n, err := c.Read(p)
	require.NoError(t, err)
	assert.Equal(t, text, string(p[:n]))
}

// An answer that the client has not read yet is not lost to a reset because bytes are unread after its request.
func TestUnreadBytesDoNotResetTheAnswer(t *testing.T) {
	c, far := acceptedClient(t)
	far.SetReadBuffer(4 << 10)
	c.SetWriteBuffer(1 << 20)
	answer := strings.Repeat("a", 200<<10)
	far.Write([]byte("what nobody reads"))
	eventually(t, "the data arrived", func() bool { return c.peekState() == connUnread })
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Write([]byte(answer))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	got, err := io.ReadAll(far)
	assert.NoError(t, err)
	assert.Len(t, got, len(answer))
	far.Close()
	eventually(t, "the descriptor is released", func() bool { n, _ := c.descriptors.connections(); return n == 0 })
}

// A head that is half read when the listener is closed at shutdown is waited for, and its exchange is answered.
func TestShutdownWaitsForAnIncompleteHead(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, listOf(s), withLongTimeouts)
	c := r.dial()
	text := requestText("1", "POST", "buy", "Content-Length: 2\r\n")
	c.Write([]byte(text[:30]))
	eventually(t, "half of it was read", func() bool { return phase(r.onlyClient().phase.Load()) == phaseReading })
	r.stop()
	listener := r.server.listener.Load()
	eventually(t, "the listener is closed", func() bool {
		raw, err := listener.SyscallConn()
		return err != nil || raw.Control(func(uintptr) {}) != nil
	})
	select {
	case err := <-r.ended:
		t.Fatal("ended before the request was complete: ", err)
	case <-time.After(acceptQuietPeriod * 3):
	}
	got, body := exchangeOn(c, text[30:]+"ab")
	require.NotNil(t, got, body)
	assert.Equal(t, 200, got.StatusCode)
	assert.True(t, got.Close)
	assert.NoError(t, <-r.ended)
	r.ended <- nil
}

// A product whose abandon time is later than SIGKILL, or not set, is answered before SIGKILL.
func TestShutdownAnswersBeforeALongAbandonTime(t *testing.T) {
	for _, abandon := range []logic.Millis{0, 9000} {
		t.Run(fmt.Sprint(abandon), func(t *testing.T) {
			t.Parallel()
			s := newStubEndpoint(t, neverAnswer)
			r := startSidecar(t, listOf(s), func(s *Config) {
				for n := range s.terms.Products {
					s.terms.Products[n].Abandon, s.terms.Products[n].Expected = abandon, 8000
				}
			})
			c := r.dial()
			c.Write([]byte(strings.Replace(requestText("1", "POST", "buy", "Content-Length: 0\r\n"), "900m", "8000m", 1)))
			<-s.received
			r.stop()
			began := time.Now()
			got, body := exchangeOn(c, "")
			require.NotNil(t, got, body)
			assert.Equal(t, 504, got.StatusCode)
			assert.Less(t, time.Since(began), maxShutdownAbandon+shutdownMargin, "SIGKILL comes 0.7 s after the longest")
			assert.Greater(t, time.Since(began), maxShutdownAbandon/2, "not sooner than needed")
			assert.NoError(t, <-r.ended)
			r.ended <- nil
		})
	}
}

// SIGTERM while another process still holds the address: no client was accepted, and the process ends without an error.
func TestTermWhileWaitingForTheAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer before.Close()
	s, err := Decode([]byte(strings.NewReplacer("%KNOWN%", "null", "%SOCKETS%", "1024", "127.0.0.1:0", before.Addr().String()).Replace(startText)))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.NoError(t, s.Serve(ctx, zap.NewNop(), nil, nil))
	_, err = (&Config{}).listen(t.Context(), "256.0.0.1:1")
	assert.Error(t, err, "any other error is returned")
	assert.NotErrorIs(t, err, syscall.EADDRINUSE)
}

// An endpoint sends its answer twice, the second time some milliseconds later, when its connection could carry the next request
// already: the duplicate would be taken for that request's answer. A connection therefore rests before it is reused, for a time
// that follows the connect timeout of the settings.
func TestDuplicateAnswerIsNotTakenForTheNext(t *testing.T) {
	u := newUpstream(600000, 1e9, newDescriptorLimiter(100, &Counters{}), &Counters{})
	n, second := atomic.Int64{}, make(chan bool)
	s := newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n.Add(1))
		c.Write([]byte(answer))
		go func() {
			<-second
			c.Write([]byte(answer))
		}()
		return true
	})
	defer close(second)
	for want := 1; want <= 3; want++ {
		r, fault := u.run(newTestLeg(u, s.Addr().String(), 5*time.Second))
		require.Nil(t, fault)
		assert.Equal(t, fmt.Sprint(want), string(r.body))
		// The result does not depend on this pause: without a rest the next request would take the connection at once.
		time.Sleep(5 * time.Millisecond)
	}
	assert.EqualValues(t, 3, s.connections.Load())
	assert.Equal(t, time.Minute, u.reuseDelay)
	assert.Equal(t, defaultStallTimeout/10, newUpstream(0, 0, newDescriptorLimiter(100, &Counters{}), &Counters{}).reuseDelay)
}

// With any products, tenants and limits, absent, zero or extreme, a healthy endpoint's answers reach the client, from the first
// exchange on.
func TestUnusualSettingsStillServe(t *testing.T) {
	product := func(text string) string { return `"products":[` + text + `]` }
	const rest = `"expected-time":500.0,"abandon-time":1000.0,"value":1.0,"overdue-value":0.5`
	for _, c := range []struct{ name, from, to string }{
		{"one class only", "", product(`{"name":"look","effect":"retryable",` + rest + `}`)},
		{"a class with a name only", "", product(`{"name":"look"}`)},
		{"an unknown effect", "", product(`{"name":"look","effect":"odd",` + rest + `}`)},
		{"no expected time", "", product(`{"name":"look","effect":"retryable","abandon-time":1000.0,"value":1.0}`)},
		{"no abandon time", "", product(`{"name":"look","effect":"retryable","expected-time":500.0,"value":1.0}`)},
		{"no value", "", product(`{"name":"look","effect":"retryable","expected-time":500.0,"abandon-time":1000.0,"value":0}`)},
		{"one of high value, one of none", "", product(`{"name":"look","effect":"retryable","expected-time":500.0,"abandon-time":1000.0,"value":0},` +
			`{"name":"buy","effect":"fragile","expected-time":500.0,"abandon-time":1000.0,"value":1000000.0}`)},
		{"keys that are not remembered", "", product(`{"name":"look","effect":"retryable",` + rest + `},{"name":"save","effect":"dedup","dedup-scope":"cell",` + rest + `}`)},
		{"very long times", "", product(`{"name":"look","effect":"retryable","expected-time":600000.0,"abandon-time":3600000.0,"value":1.0}`)},
		{"an expected time beyond the abandon time", "", product(`{"name":"look","effect":"retryable","expected-time":5000.0,"abandon-time":1000.0,"value":1.0}`)},
		{"a tenant with no share", `"fleet-size":1`, `"fleet-size":1,"overage-value":0,"tenants":[{"name":"a","portion":0},{"name":"b","portion":1}]`},
		{"no allowed settings", `"allowed":{"max-legs":3,"may-cancel":true,"second-copies":true,"retry-after":true,"max-retry-after":700.0,"connect-timeout":250.0,"idle-close":15000.0}`, `"allowed":{}`},
		{"no guarantees", `"guarantees":{"ask-within":1000.0,"grace-to-answer":20.0}`, `"guarantees":{}`},
		{"a huge fleet", `"fleet-size":1`, `"fleet-size":100000`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStubEndpoint(t, respondWith(okResponse, true))
			text := startText
			if c.from == "" {
				at := strings.Index(text, `"products":[`)
				text = text[:at] + c.to + "}}"
			} else {
				require.Contains(t, text, c.from)
				text = strings.Replace(text, c.from, c.to, 1)
			}
			start, err := Decode([]byte(strings.NewReplacer("%KNOWN%", listOf(s, s), "%SOCKETS%", "1024").Replace(text)))
			require.NoError(t, err)
			r := startSidecar(t, listOf(s, s), func(s *Config) { *s = *start })
			conn := r.dial()
			for n := range 80 {
				got, body := r.exchangeWithRetry(conn, requestText(fmt.Sprint(n), "GET", "look", "Tenant: a\r\n"))
				require.NotNil(t, got, body)
				require.Equal(t, 200, got.StatusCode, "exchange %d", n)
			}
		})
	}
}

// A client whose connection broke sends its request again under the same id. If nothing of the first request was sent to an
// endpoint, the second is served; otherwise it is refused, since its effect must not come twice.
func TestRepeatedRequestAfterABrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		begun bool
		want  int
	}{{"while its leg was dialling", false, 200}, {"after its leg was sent", true, 409}} {
		t.Run(c.name, func(t *testing.T) {
			hang := make(chan bool)
			s := newStubEndpoint(t, func(conn net.Conn, q *http.Request) bool {
				if c.begun {
					<-hang
				}
				return respondWith(okResponse, true)(conn, q)
			})
			defer close(hang)
			r := startSidecar(t, listOf(s), withLongTimeouts)
			text := requestText("1", "POST", "buy", "Content-Length: 0\r\n")
			dialled, resume := r.holdDial(1)
			first := r.dial()
			first.Write([]byte(text))
			<-dialled
			if c.begun {
				resume()
				<-s.received
			}
			closeClient(first, "RST")
			eventually(t, "the close is noticed", func() bool { return r.server.counters.clientsLeft.Load() == 1 })
			if !c.begun {
				resume()
			}
			eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 })
			assert.Equal(t, c.want, r.status(text))
			assert.EqualValues(t, 1, s.requests.Load(), "one effect")
		})
	}
}

// A request is repeated after its first connection was closed and before the loop has handled that close: the loop checks the
// first connection itself.
func TestRepeatedRequestBeforeTheCloseIsProcessed(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, "null", withLongTimeouts)
	r.loop.post(listReceived{endpointList: endpointList{version: 1, full: true, servers: []listEntry{{id: "s0", addr: s.Addr().String(), running: true}}}, fromDisk: true})
	text := requestText("1", "POST", "buy", "Content-Length: 0\r\n")
	resume := r.stopLoop()
	first := r.dial()
	first.Write([]byte(text))
	eventually(t, "the first request is queued", func() bool { return len(r.loop.queue) == 1 })
	closeClient(first, "FIN")
	eventually(t, "its close is queued", func() bool { return len(r.loop.queue) == 2 })
	second := r.dial()
	second.Write([]byte(text))
	eventually(t, "the second request is queued", func() bool { return len(r.loop.queue) == 3 })
	resume()
	got, _ := exchangeOn(second, "")
	require.NotNil(t, got)
	assert.Contains(t, []int{200, 409}, got.StatusCode)
	assert.LessOrEqual(t, s.requests.Load(), int64(1), "one effect")
}

// An endpoint that answers before it has the whole request can't have processed it: that answer is not passed on.
func TestAnswerBeforeTheWholeRequestIsRejected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, 1000))
		c.Write([]byte(okResponse))
		io.Copy(io.Discard, c)
	}()
	u := newTestUpstream(t, 100)
	g := newTestLeg(u, ln.Addr().String(), 5*time.Second)
	g.request.body = make([]byte, 1<<20)
	plain, first := u.dial, make(chan net.Conn, 1)
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		first <- c
		return &heldWriteConn{Conn: c, part: 2000}, err
	}
	_, fault := u.run(g)
	require.NotNil(t, fault)
	assert.Equal(t, logic.NoConnection, fault.outcome, "it never ran")
	assert.LessOrEqual(t, fault.stage, writing)
}

// heldWriteConn holds back all but the first part of a message until its peer has sent something.
type heldWriteConn struct {
	net.Conn
	part int
}

func (h *heldWriteConn) SyscallConn() (syscall.RawConn, error) {
	return h.Conn.(*net.TCPConn).SyscallConn()
}

func (h *heldWriteConn) Write(p []byte) (int, error) {
	if len(p) > h.part && h.part > 0 {
		n, err := h.Conn.Write(p[:h.part])
		if err != nil {
			return n, err
		}
		h.part = 0
		for k := (&endpointConn{conn: h.Conn}); k.isQuiet(); {
			time.Sleep(time.Millisecond)
		}
		m, err := h.Conn.Write(p[n:])
		return n + m, err
	}
	return h.Conn.Write(p)
}

// Of many requests pipelined on one connection, more than is read ahead, each is answered, in order, although the client writes
// all of them before it reads the first answer.
func TestPipeliningBeyondTheReadAheadLimit(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, listOf(s, s), withLongTimeouts)
	c := r.dial()
	const many = 60
	long := "X-Long: " + strings.Repeat("x", 4<<10) + "\r\n"
	go func() {
		for n := range many {
			c.Write([]byte(requestText(fmt.Sprint(n), "POST", "buy", long+"Content-Length: 2\r\n") + "ab"))
		}
	}()
	in := bufio.NewReader(c)
	for n := range many {
		got, err := http.ReadResponse(in, nil)
		require.NoError(t, err, "answer %d", n)
		body, _ := io.ReadAll(got.Body)
		assert.Equal(t, "200 hello", fmt.Sprint(got.StatusCode, " ", string(body)))
	}
	assert.EqualValues(t, many, s.requests.Load())
}

// The state of one request must not carry over to the next one on its connection: a chunked body after an earlier exchange of any
// kind was taken for data that follows a request, and discarded.
func TestChunkedBodyOnAReusedConnection(t *testing.T) {
	for _, size := range []int{2, maxBufferedBodyBytes + 16} {
		s := newStubEndpoint(t, respondWith(okResponse, true))
		r := startSidecar(t, listOf(s), nil)
		c, body := r.dial(), strings.Repeat("x", size)
		for n, text := range []string{
			requestText("0", "GET", "look", ""), requestText("1", "POST", "buy", "Content-Length: 2\r\n") + "ab",
			requestText("2", "POST", "buy", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body),
		} {
			got, why := exchangeOn(c, text)
			require.NotNil(t, got, why)
			assert.Equal(t, 200, got.StatusCode, "request %d", n)
		}
		for range 2 {
			<-s.received
		}
		assert.Equal(t, body, (<-s.received).Header.Get("Test-Body"))
	}
}

// placedEntryText is a list entry with a zone and a kind of machine.
func placedEntryText(id, addr, zone, kind, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":1,"state":%q,"weight":1.0,"started_ms":0}`, id, addr, zone, kind, state)
}

// withBoundBuy allows buy to go only to machines of kind k in zone a.
func withBoundBuy(s *Config) {
	s.terms.Products[1].RunsIn = []logic.ZoneID{s.names.Zone([]byte("a"))}
	s.terms.Products[1].AllowedOn = []logic.KindID{s.names.Kind([]byte("k"))}
}

// A product that is bound to a zone and a kind of machine is sent nowhere else, however the list changes; other products are
// sent anywhere meanwhile. A reload of the start file does not lift the constraint either, since it applies only the address of
// discovery; that is not checked here.
func TestPlacementConstraintsAreKept(t *testing.T) {
	right, other, wrong := newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true))
	rightAddr, otherAddr, wrongAddr := right.Addr().String(), other.Addr().String(), wrong.Addr().String()
	notify, d := newScriptedDiscovery(t)
	r := startSidecar(t, "null", func(s *Config) {
		s.Discovery = d.Addr().String()
		withBoundBuy(s)
	})
	for n, c := range []struct {
		name, line string
		to         *stubEndpoint // where buy goes; nil for nowhere
	}{
		{"one endpoint fits", listText(1, true, placedEntryText("s0", rightAddr, "a", "k", "in_service"), placedEntryText("s1", otherAddr, "b", "k", "in_service"),
			placedEntryText("s2", wrongAddr, "a", "l", "in_service")), right},
		{"it drains", listText(2, false, placedEntryText("s0", rightAddr, "a", "k", "terminating")), nil},
		{"another moves to the zone", listText(3, false, placedEntryText("s1", otherAddr, "a", "k", "in_service")), other},
		{"that one changes its kind", listText(4, false, placedEntryText("s1", otherAddr, "a", "l", "in_service")), nil},
		{"a full list without one that fits", listText(5, true, placedEntryText("s2", wrongAddr, "a", "l", "in_service")), nil},
		{"the first returns", listText(6, false, placedEntryText("s0", rightAddr, "a", "k", "in_service")), right},
	} {
		notify <- c.line
		eventually(t, c.name, func() bool { return r.server.counters.listVersion.Load() == int64(n+1) })
		for _, s := range []*stubEndpoint{right, other, wrong} {
			for len(s.received) > 0 {
				<-s.received
			}
		}
		for k := range 12 {
			status := 503
			if c.to != nil {
				status = 200
			}
			require.Equal(t, status, r.status(requestText(fmt.Sprint("b", n, "-", k), "POST", "buy", "Content-Length: 0\r\n")), c.name)
			require.Equal(t, 200, r.status(requestText(fmt.Sprint("l", n, "-", k), "GET", "look", "")), c.name)
		}
		received := map[*stubEndpoint]int{}
		for _, s := range []*stubEndpoint{right, other, wrong} {
			for len(s.received) > 0 {
				if got := <-s.received; got.Method == "POST" {
					received[s]++
				}
			}
		}
		if c.to == nil {
			assert.Empty(t, received, c.name)
		} else {
			assert.Equal(t, map[*stubEndpoint]int{c.to: 12}, received, c.name)
		}
	}
}

// The list moves an endpoint to another zone, cell or kind while a leg dials it whose product is bound to these, or of which
// endpoints drop repeats in one of these only: the leg must not be sent.
func TestEndpointMovesZoneWhileALegDials(t *testing.T) {
	const keyed = "Idempotency-Key: k\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name, zone, kind string
		cell             logic.CellID
		product, header  string
		group            logic.Group
	}{
		{"zone", "b", "k", 1, "buy", "Content-Length: 0\r\n", logic.AllEndpoints},
		{"kind", "a", "l", 1, "buy", "Content-Length: 0\r\n", logic.AllEndpoints},
		{"zone, repeats are dropped in one zone", "b", "k", 1, "save", keyed, logic.OneZone},
		{"cell, repeats are dropped in one cell", "a", "k", 2, "save", keyed, logic.OneCell},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStubEndpoint(t, respondWith(okResponse, true))
			at := s.Addr().String()
			r := startSidecar(t, listText(1, true, placedEntryText("s0", at, "a", "k", "in_service")), func(s *Config) {
				withBoundBuy(s)
				s.terms.Products[2].Group = c.group
			})
			dialled, resume := r.holdDial(1)
			answer := make(chan int, 1)
			go func() { answer <- r.status(requestText("1", "POST", c.product, c.header)) }()
			<-dialled
			r.loop.postUrgent(listReceived{endpointList: endpointList{version: 2, servers: []listEntry{{id: "s0", addr: at, zone: c.zone, kind: c.kind,
				cell: c.cell, running: true, weight: 1}}}, fromDisk: true})
			eventually(t, "the move is handled", func() bool {
				there := make(chan locality)
				r.loop.post(loopFunc(func(l *loop) { there <- l.upstream.find("s0").currentLocality() }))
				return <-there == locality{c.zone, c.kind, c.cell}
			})
			resume()
			if c.product == "buy" {
				assert.Equal(t, 503, <-answer)
				assert.Zero(t, s.requests.Load())
			} else {
				assert.Equal(t, 200, <-answer, "by a leg that knows where the endpoint is")
				assert.EqualValues(t, 1, s.requests.Load())
				assert.EqualValues(t, 1, r.server.counters.legsByOutcome[logic.NoConnection].Load(), "legs that were not sent")
			}
		})
	}
}
