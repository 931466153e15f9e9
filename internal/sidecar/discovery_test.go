package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/logic"
)

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// newScriptedDiscovery starts a discovery that sends the given lines on its watch, one by one.
func newScriptedDiscovery(t *testing.T) (lines chan string, d *stubEndpoint) {
	lines = make(chan string)
	t.Cleanup(func() { close(lines) })
	return lines, newStubEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		c.Write([]byte(watchHead))
		for line := range lines {
			c.Write([]byte(chunk(line)))
		}
		return false
	})
}

// A watch may end in many ways. After each of them discovery must be called again, and requests must still be served
// from the list known so far.
func TestDiscoveryIsCalledAgainAfterTheWatchEnds(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	good := chunk(listOf(s))
	for _, c := range []struct {
		name   string
		script func(net.Conn, *http.Request) bool
	}{
		{"503", respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false)},
		{"reset", resetConn},
		{"not HTTP", respondWith("hello\r\n\r\n", false)},
		{"no answer", neverAnswer},
		{"silence after a line", func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(watchHead + good))
			return neverAnswer(c, r)
		}},
		{"orderly end after a line", respondWith(watchHead+good+"0\r\n\r\n", false)},
		{"cut off inside a line", respondWith(watchHead+good+"ff\r\n{", false)},
		{"head without end", func(c net.Conn, _ *http.Request) bool {
			c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			for err := error(nil); err == nil; {
				_, err = c.Write([]byte(strings.Repeat("A: bcdefgh\r\n", 1000)))
			}
			return false
		}},
		{"not JSON", respondWith(watchHead+good+chunk("{"), true)},
		{"not a list", respondWith(watchHead+good+chunk(`{"version":2}`), true)},
		{"an entry without id", respondWith(watchHead+good+chunk(`{"servers":[{"addr":"127.0.0.1:1"}]}`), true)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newStubEndpoint(t, c.script)
			r := startSidecar(t, listOf(s), func(start *Config) {
				start.Discovery, start.watchSilence = d.Addr().String(), 100*time.Millisecond
			})
			assert.Eventually(t, func() bool { return d.requests.Load() >= 3 }, 10*time.Second, time.Millisecond)
			first := <-d.received
			assert.Equal(t, "/discovery/hosts?watch=1&after=1", first.RequestURI)
			assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")))
		})
	}
}

// A discovery that stops in the middle of a line holds an update back. It must be called again after
// partialLineTimeout, long before the silence timeout.
func TestWatchThatStopsInsideALineIsCalledAgain(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	d := newStubEndpoint(t, func(c net.Conn, r *http.Request) bool {
		whole := chunk(listOf(s))
		c.Write([]byte(watchHead + whole + whole[:len(whole)/2]))
		return neverAnswer(c, r)
	})
	began := time.Now()
	r := startSidecar(t, listOf(s), func(start *Config) {
		start.Discovery, start.watchSilence = d.Addr().String(), time.Hour
	})
	assert.Eventually(t, func() bool { return d.requests.Load() >= 2 }, 5*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, time.Since(began), partialLineTimeout)
	assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")))
}

// A call that fails must not delay the next one beyond the bound: a change must be known 6 s after discovery had it and
// could be reached, which here is at the failing call. AskWithin is set as for a large fleet after many failures.
func TestDrainIsKnownInTimeAfterAFailedCall(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(c net.Conn, list string) bool
	}{
		{"refused", func(c net.Conn, _ string) bool {
			c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
			return false
		}},
		{"reset", func(c net.Conn, _ string) bool { return resetConn(c, nil) }},
		{"no answer", func(c net.Conn, _ string) bool { return neverAnswer(c, nil) }},
		{"silence after the head", func(c net.Conn, _ string) bool {
			c.Write([]byte(watchHead))
			return neverAnswer(c, nil)
		}},
		{"list cut off", func(c net.Conn, list string) bool {
			c.Write([]byte(watchHead + chunk(list)[:20]))
			return neverAnswer(c, nil)
		}},
		{"list byte by byte", func(c net.Conn, list string) bool {
			c.Write([]byte(watchHead))
			for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
				_, err = c.Write([]byte("1\r\n{\r\n"))
			}
			return false
		}},
		{"indented list byte by byte", func(c net.Conn, list string) bool {
			c.Write([]byte(watchHead + "2\r\n{\n\r\n"))
			for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
				_, err = c.Write([]byte("1\r\n\n\r\n"))
			}
			return false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStubEndpoint(t, respondWith(okResponse, true))
			drained := listText(7, true, entryText("s0", s.Addr().String(), "terminating"))
			reached := make(chan time.Time, 1)
			d := newStubEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				select {
				case reached <- time.Now():
					return c.script(conn, drained)
				default:
					conn.Write([]byte(watchHead + chunk(drained)))
					return neverAnswer(conn, nil)
				}
			})
			r := startSidecar(t, listOf(s), func(start *Config) {
				start.Discovery, start.terms.Fleet, start.terms.AskWithin = d.Addr().String(), 300, 60000
				start.terms.HasList = false // so that the first call is made at once
			})
			var from time.Time
			assert.Eventually(t, func() bool { return r.loop.counters.listVersion.Load() == 7 }, 20*time.Second, time.Millisecond)
			knownAt := time.Now()
			select {
			case from = <-reached:
			default:
				t.Fatal("discovery was never called")
			}
			assert.Less(t, knownAt.Sub(from), notifiedAfterReached)
			assert.Equal(t, 503, r.status(requestText("1", "GET", "look", "")))
		})
	}
}

// An update received on a watch must take effect on the next exchange.
func TestWatchUpdateAppliesToTheNextExchange(t *testing.T) {
	a, b := newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true))
	at, bt := a.Addr().String(), b.Addr().String()
	lines, d := newScriptedDiscovery(t)
	r := startSidecar(t, listOf(a), func(s *Config) { s.Discovery = d.Addr().String() })
	for n, c := range []struct {
		name, line string
		to         *stubEndpoint
	}{
		{"nothing new", listText(1, false), a},
		{"heartbeat", "", a},
		{"new address", listText(2, false, entryText("s0", bt, "in_service")), b},
		{"drains", listText(3, false, entryText("s0", bt, "terminating")), nil},
		{"another endpoint", listText(4, false, entryText("s1", at, "in_service")), a},
		{"one terminated", listText(5, false, entryText("s0", bt, "in_service"), entryText("s1", at, "terminated")), b},
		{"unknown state", listText(6, false, entryText("s0", bt, "dancing")), nil},
		{"no address", listText(7, false, entryText("s2", "", "in_service")), nil},
		{"whole list", listText(8, true, entryText("s1", at, "in_service")), a},
		{"missing from the whole list", listText(9, true, entryText("s2", bt, "in_service")), b},
	} {
		before := r.server.counters.lists.Load()
		lines <- c.line
		if c.line != "" {
			assert.Eventually(t, func() bool { return r.server.counters.lists.Load() > before }, 5*time.Second,
				time.Millisecond, c.name)
		}
		seen := [2]int64{a.requests.Load(), b.requests.Load()}
		status := r.status(requestText(fmt.Sprint(n), "GET", "look", ""))
		if c.to == nil {
			assert.Equal(t, 503, status, c.name)
			assert.Equal(t, seen, [2]int64{a.requests.Load(), b.requests.Load()}, c.name)
			continue
		}
		assert.Equal(t, 200, status, c.name)
		assert.Equal(t, c.to == a, a.requests.Load() > seen[0], c.name)
		assert.Equal(t, c.to == b, b.requests.Load() > seen[1], c.name)
	}
}

// When a new configuration names another discovery, that must be called at once for its whole list, and updates from
// the old one must apply until the list comes. A configuration file that can't be used must change nothing.
func TestReloadSwitchesToAnotherDiscovery(t *testing.T) {
	a, b := newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true))
	at, bt := a.Addr().String(), b.Addr().String()
	scripted := func(lines chan string, ended chan bool) *stubEndpoint {
		return newStubEndpoint(t, func(c net.Conn, r *http.Request) bool {
			c.Write([]byte(watchHead))
			go func() {
				for line := range lines {
					c.Write([]byte(chunk(line)))
				}
			}()
			neverAnswer(c, r)
			ended <- true
			return false
		})
	}
	lines, ended := [2]chan string{make(chan string), make(chan string)}, [2]chan bool{make(chan bool, 9), make(chan bool, 9)}
	d := [2]*stubEndpoint{scripted(lines[0], ended[0]), scripted(lines[1], ended[1])}
	defer close(lines[0])
	defer close(lines[1])
	var start *Config
	r := startSidecar(t, listOf(a), func(s *Config) { start, s.Discovery = s, d[0].Addr().String() })
	c := r.server.counters
	update := func(n int, line string) {
		before := c.lists.Load()
		lines[n] <- line
		assert.Eventually(t, func() bool { return c.lists.Load() > before }, 5*time.Second, time.Millisecond, line)
	}
	signals, files := make(chan os.Signal), make(chan func() (*Config, error), 1)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go start.followReloads(ctx, r.server, signals, func() (*Config, error) { return (<-files)() })
	reload := func(discovery string, err error) {
		files <- func() (*Config, error) { return &Config{Discovery: discovery, Listen: start.Listen}, err }
		signals <- syscall.SIGHUP
	}
	assert.Equal(t, "/discovery/hosts?watch=1&after=1", (<-d[0].received).RequestURI)
	update(0, listText(7, true, entryText("s0", at, "in_service")))
	reload("", errNotAList)
	reload(d[0].Addr().String(), nil) // the same discovery: its watch stays open
	reload(d[1].Addr().String(), nil)
	assert.Equal(t, "/discovery/hosts?watch=1", (<-d[1].received).RequestURI, "no version of the old discovery is sent to the new one")
	assert.EqualValues(t, 1, c.failedReloads.Load())
	r.loop.post(discoveryChanged{d[1].Addr().String()})
	assert.Equal(t, 200, r.status(requestText("1", "GET", "look", "")), "list and connections are kept")
	update(0, listText(8, false, entryText("s0", at, "terminating")))
	assert.Equal(t, 503, r.status(requestText("2", "GET", "look", "")), "a drain from the old discovery applies")
	update(1, listText(3, true, entryText("s1", bt, "in_service")))
	<-ended[0]
	assert.Equal(t, 200, r.status(requestText("3", "GET", "look", "")))
	assert.EqualValues(t, 1, b.requests.Load())
	r.loop.post(discoveryCallEnded{call: r.loop.list.lastCall + 1}) // the end of a call that does not exist
	reload(d[0].Addr().String(), nil)
	assert.Equal(t, "/discovery/hosts?watch=1", (<-d[0].received).RequestURI, "back to the first discovery, without a version")
	assert.EqualValues(t, 2, d[0].requests.Load())
	assert.EqualValues(t, 1, d[1].requests.Load())
	assert.Zero(t, c.listCallsEnded.Load())
}

// The file of a new configuration may be unreadable for a moment: no descriptor left, an I/O error, a rename in
// progress. It must be read again, since the signal is sent only once. A file that can be read but is invalid is not
// read again.
func TestReloadReadsAgainAfterSystemErrors(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	d := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead + chunk(listText(7, true, entryText("s1", s.Addr().String(), "in_service")))))
		return neverAnswer(c, q)
	})
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.ENOENT, syscall.EINTR, syscall.ENOMEM, syscall.ESTALE} {
		var start *Config
		r := startSidecar(t, listOf(s), func(s *Config) { start = s })
		reads := atomic.Int64{}
		signals := make(chan os.Signal, 1)
		ctx, end := context.WithCancel(context.Background())
		go start.followReloads(ctx, r.server, signals, func() (*Config, error) {
			if reads.Add(1) <= 3 {
				return nil, &os.PathError{Op: "open", Path: "start.json", Err: fault}
			}
			return &Config{Discovery: d.Addr().String(), Listen: start.Listen}, nil
		})
		signals <- syscall.SIGHUP
		eventually(t, fault.Error(), func() bool { return r.server.counters.listVersion.Load() == 7 })
		assert.EqualValues(t, 4, reads.Load(), fault)
		assert.EqualValues(t, 1, r.server.counters.reloads.Load(), fault)
		end()
	}
}

// loopFunc is an event that runs a function in the loop.
type loopFunc func(l *loop)

func (p loopFunc) handle(l *loop) { p(l) }

// Endpoints are replaced under new ids all day, some at the address of one that has gone. Everything stored about the
// old endpoint must be deleted, and the new one must share nothing with it, such as idle connections.
func TestReplacedEndpointsLeaveNoStateBehind(t *testing.T) {
	s := newStubEndpoint(t, respondWith(okResponse, true))
	at := s.Addr().String()
	r := startSidecar(t, listOf(s), nil)
	applyList := func(full bool, servers ...listEntry) {
		r.loop.post(listReceived{endpointList: endpointList{full: full, servers: servers}, fromDisk: true})
	}
	for n := range 50 {
		was, next := fmt.Sprint("s", n), fmt.Sprint("s", n+1)
		assert.Equal(t, 200, r.status(requestText(was, "GET", "look", "")))
		assert.EqualValues(t, n+1, s.connections.Load())
		switch n % 3 {
		case 0:
			applyList(true, listEntry{id: next, addr: at, running: true})
		case 1:
			applyList(false, listEntry{id: next, addr: at, running: true}, listEntry{id: was, addr: at, gone: true})
		default:
			applyList(false, listEntry{id: was, addr: at})
			applyList(false, listEntry{id: was, addr: at, gone: true}, listEntry{id: next, addr: at, running: true})
		}
	}
	seen := make(chan [4]int)
	r.loop.post(loopFunc(func(l *loop) {
		_, links := l.upstream.sockets.connections()
		seen <- [4]int{len(l.upstream.endpoints), len(l.list.hadAddr), len(l.list.listed), links}
	}))
	assert.Equal(t, [4]int{1, 1, 1, 0}, <-seen)
}

// A discovery that answers a whole fleet with 503 for minutes must not fill the logs with one line for each call.
func TestDiscoveryOutageLogsOneLine(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	sockets, c := newDescriptorLimiter(100, &Counters{}), &Counters{}
	l := newLoop(t.Context(), logic.Terms{}, nil, newUpstream(200, 10000, sockets, c), newDiscoveryClient("127.0.0.1:1", time.Second, nil), hands.New("", zap.NewNop()), c,
		zap.New(core))
	logged := func() (messages []string) {
		for _, e := range lines.TakeAll() {
			messages = append(messages, e.Message)
		}
		return messages
	}
	for range 2 {
		for range 5 {
			discoveryCallEnded{cause: io.EOF}.handle(l)
		}
		assert.Equal(t, []string{"call to discovery ended"}, logged())
		listReceived{endpointList: endpointList{version: 3}}.handle(l)
		listReceived{endpointList: endpointList{version: 4}}.handle(l)
		assert.Equal(t, []string{"list received from discovery after an outage"}, logged())
	}
	assert.EqualValues(t, 10, c.listCallsEnded.Load(), "failed calls counted")
}

// An update that arrived while the process was stalled must be read before the watch is ended for silence.
func TestUnreadUpdateIsReadAfterTheDeadline(t *testing.T) {
	d := newStubEndpoint(t, respondWith(okResponse, true))
	c, err := net.Dial("tcp", d.Addr().String())
	assert.NoError(t, err)
	defer c.Close()
	h := &watchReader{Conn: c}
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	k := &endpointConn{conn: c}
	assert.Eventually(t, func() bool { return !k.isQuiet() }, 5*time.Second, time.Millisecond)
	h.SetReadDeadline(time.Unix(1, 0))
	n, err := h.Read(make([]byte, 1000))
	assert.NoError(t, err)
	assert.Equal(t, len(okResponse), n)
	_, err = h.Read(make([]byte, 1000))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestDecodeStart(t *testing.T) {
	for _, c := range []struct{ name, text, fault string }{
		{"not JSON", "{", "not JSON"},
		{"no seed", `{}`, "seed"},
		{"no products", `{"seed":"1f"}`, "no products"},
		{"no address", `{"seed":"1f","settings":{"products":[{}]}}`, "address"},
		{"no port", `{"seed":"1f","listen":"a","discovery":"a","settings":{"products":[{}]}}`, "port"},
		{"too few sockets", `{"seed":"1f","listen":"a:1","discovery":"a:1","limits":{"sockets":9},` +
			`"settings":{"products":[{}]}}`, "sockets"},
		{"below 0", `{"seed":"1f","listen":"a:1","discovery":"a:1","limits":{"cores":-1},"settings":{"products":[{}]}}`,
			"below 0"},
	} {
		_, err := Decode([]byte(c.text))
		assert.ErrorContains(t, err, c.fault, c.name)
	}
	s, err := Decode([]byte(`{"name":"n","seed":"ffffffffffffffff","listen":"a:1","discovery":"a:2","known":null,` +
		`"settings":{"products":[{}]}}`))
	assert.NoError(t, err)
	assert.Equal(t, "n listens on a:1, asks a:2; 1 products, 0 endpoints known; 0 cores, 192 MB, 1024 sockets", s.String())
	for _, list := range []string{"7", `{"servers":[{"addr":"a:1"}]}`} {
		s, err = Decode([]byte(`{"seed":"1","listen":"a:1","discovery":"a:2","known":` + list + `,"settings":{"products":[{}]}}`))
		assert.NoError(t, err, "an invalid list on disk must not prevent the start")
		assert.Contains(t, s.String(), "0 endpoints known")
		assert.Contains(t, s.String(), "; known: not a list")
	}
}

// Lists of more than a thousand endpoints, whole lists and changes, on one line or many, must be applied like short
// ones. Nothing about endpoints that are gone may remain.
func TestListsOfAThousandEndpoints(t *testing.T) {
	const many = 1100
	s := newStubEndpoint(t, respondWith(okResponse, true))
	at := s.Addr().String()
	named := func(from, to int, state string) (entries []string) {
		for n := from; n < to; n++ {
			entries = append(entries, entryText(fmt.Sprint("s", n), at, state))
		}
		return entries
	}
	lines, d := newScriptedDiscovery(t)
	r := startSidecar(t, "null", func(start *Config) { start.Discovery, start.terms.Fleet = d.Addr().String(), 1024 })
	for n, c := range []struct {
		name, line string
		listed     int64
		status     int
	}{
		{"whole list", listText(1, true, named(0, many, "in_service")...), many, 200},
		{"all but one draining", listText(2, false, named(1, many, "terminating")...), many, 200},
		{"change over many lines", strings.ReplaceAll(listText(3, false, named(many, 2*many, "in_service")...), ",", ",\n  "), 2 * many, 200},
		{"first ones terminated", listText(4, false, named(0, many, "terminated")...), many, 200},
		{"all draining", listText(5, false, named(many, 2*many, "terminating")...), many, 503},
		{"whole list of other endpoints", listText(6, true, named(5000, 5000+many, "in_service")...), many, 200},
	} {
		lines <- c.line
		eventually(t, c.name, func() bool { return r.server.counters.listVersion.Load() == int64(n+1) })
		assert.Equal(t, c.listed, r.server.counters.listEndpoints.Load(), c.name)
		assert.Equal(t, c.status, r.status(requestText(fmt.Sprint(n), "GET", "look", "")), c.name)
	}
	assert.Len(t, r.loop.upstream.snapshot(), many)
}
