package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	failedResponse     = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	notStartedResponse = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

	// heldBody and streamedBody are lengths of requests that a sidecar with 192 MB holds in memory and passes on while they arrive.
	heldBody     = 700_000
	streamedBody = 900_000
	// sendBufferBody is the length of a request that the kernel takes whole although the endpoint does not read it.
	sendBufferBody = 120_000
)

// attemptPlan is what an endpoint does with one attempt.
type attemptPlan struct {
	pause      time.Duration // before the body is read
	readRate   int           // bytes of the body read in a second after that; 0 for as fast as they come
	resetAfter int           // bytes of the body after which the connection is reset; 0 for never
	answer     string        // "" for okResponse
}

// keyGroup is a group of endpoints that drop repeats of an idempotency key.
type keyGroup struct {
	memory time.Duration // for which a key is known, from the first run on
	plans  []attemptPlan // of the attempts, in the order in which their heads come; zero for later ones

	mu       sync.Mutex
	attempts int
	conns    map[string]*net.TCPConn // by the address of their other end
	open     int                     // attempts that an endpoint is busy with
	whole    []time.Time             // when attempts had come whole, but for those that were turned away
	effects  []time.Time             // those of them that were not dropped as repeats
}

// newEndpoint adds an endpoint to the group. It takes in no more unread data than an endpoint at the far end of an Ethernet.
func (k *keyGroup) newEndpoint(t *testing.T, receiveBuffer int) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.serve(c.(*net.TCPConn))
		}
	}()
	return ln
}

// serve serves the attempts on one connection. Requests without a body only warm the sidecar up.
func (k *keyGroup) serve(c *net.TCPConn) {
	defer c.Close()
	k.mu.Lock()
	if k.conns == nil {
		k.conns = map[string]*net.TCPConn{}
	}
	k.conns[c.RemoteAddr().String()] = c
	k.mu.Unlock()
	for reader := bufio.NewReaderSize(c, 4<<10); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.ContentLength == 0 {
			io.WriteString(c, okResponse)
			continue
		}
		k.mu.Lock()
		plan := attemptPlan{}
		if k.attempts < len(k.plans) {
			plan = k.plans[k.attempts]
		}
		k.attempts++
		k.open++
		k.mu.Unlock()
		came := plan.receive(c, r.Body)
		k.mu.Lock()
		k.open--
		if came && plan.answer != notStartedResponse {
			k.run()
		}
		k.mu.Unlock()
		if !came {
			return
		}
		if plan.answer == "" {
			plan.answer = okResponse
		}
		io.WriteString(c, plan.answer)
	}
}

// receive reads the body as planned, and reports whether all of it came.
func (p attemptPlan) receive(c *net.TCPConn, body io.Reader) bool {
	time.Sleep(p.pause)
	if p.resetAfter > 0 {
		io.CopyN(io.Discard, body, int64(p.resetAfter))
		c.SetLinger(0)
		return false
	}
	const steps = 50 // reads in a second at a limited rate
	for p.readRate > 0 {
		if _, err := io.CopyN(io.Discard, body, int64(p.readRate/steps)); err != nil {
			return err == io.EOF
		}
		time.Sleep(time.Second / steps)
	}
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// run records that an attempt has come whole and runs, unless it is dropped as a repeat. The caller holds mu.
func (k *keyGroup) run() {
	now := time.Now()
	k.whole = append(k.whole, now)
	if len(k.effects) == 0 || now.Sub(k.effects[0]) > k.memory {
		k.effects = append(k.effects, now)
	}
}

// idle reports whether no endpoint is busy with an attempt.
func (k *keyGroup) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open == 0
}

// withKeyMemory sets how long endpoints know an idempotency key, and times that leave room for slow attempts.
func withKeyMemory(memory time.Duration, mayCancel bool) func(*Config) {
	return func(s *Config) {
		s.terms.MayCancel = mayCancel
		for n := range s.terms.Products {
			s.terms.Products[n].Abandon, s.terms.Products[n].Expected = 4000, 3000
		}
		s.terms.Products[2].Group, s.terms.Products[2].DedupMemory = logic.OneZone, logic.Millis(memory.Milliseconds())
	}
}

// warmUp sends as many requests as hedges need. None of their attempts is left, which would take the place of a hedge.
func (r *testSidecar) warmUp() {
	for n := range 30 {
		require.Equal(r, http.StatusOK, r.status(requestText(fmt.Sprint("warm", n), "GET", "look", "")))
	}
	eventually(r.T, "all attempts have ended", func() bool { return r.openExchanges() == 0 })
}

// holdDialFor has the nth connection to an endpoint come up later.
func (r *testSidecar) holdDialFor(nth int64, delay time.Duration) {
	plain, n := r.loop.upstream.dial, atomic.Int64{}
	r.loop.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if n.Add(1) == nth {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(delay):
			}
		}
		return plain(ctx, network, addr)
	}
}

// withTimeout sets the timeout of a request of requestText.
func withTimeout(text string, timeout time.Duration) string {
	return strings.Replace(text, "900m", fmt.Sprint(timeout.Milliseconds(), "m"), 1)
}

// Guards against an effect that is applied twice: an attempt is written to its end when the endpoints have forgotten the
// key of the one that ran, or when the request has its final answer.
func TestAttemptsAreWholeWhileTheKeyIsKnown(t *testing.T) {
	const (
		short = 400 * time.Millisecond // key memory that is over when a pause is
		long  = 2 * time.Second        // key memory that is not
		pause = time.Second
	)
	failed := attemptPlan{answer: failedResponse}
	for _, c := range []struct {
		name   string
		memory time.Duration
		plans  []attemptPlan
		slow   time.Duration // until the connection of the first attempt comes up
		warm   bool          // answers were seen before: hedges are sent, and three attempts are affordable
		status int
		whole  int // attempts
	}{
		{"repeat pauses too long", short, []attemptPlan{failed, {pause: pause}}, 0, false, 502, 1},
		{"repeat pauses", long, []attemptPlan{failed, {pause: pause}}, 0, false, 200, 2},
		{"repeat is read too slowly", short, []attemptPlan{failed, {readRate: 100_000}}, 0, false, 502, 1},
		{"repeat is reset, the next one pauses too long", short, []attemptPlan{failed, {resetAfter: 30_000}, {pause: pause}}, 0, true, 502, 1},
		{"repeat is reset, the next one pauses", long, []attemptPlan{failed, {resetAfter: 30_000}, {pause: pause}}, 0, true, 200, 2},
		{"first is reset, repeat pauses", short, []attemptPlan{{resetAfter: 30_000}, {pause: pause}}, 0, false, 200, 1},
		{"first never started, repeat pauses", short, []attemptPlan{{answer: notStartedResponse}, {pause: pause}}, 0, false, 200, 1},
		{"first pauses, hedge is served", short, []attemptPlan{{pause: pause}}, 0, true, 200, 1},
		{"first is read slowly, hedge is served", short, []attemptPlan{{readRate: 100_000}}, 0, true, 200, 1},
		{"first pauses too long, hedge fails", short, []attemptPlan{{pause: pause}, failed}, 0, true, 502, 1},
		{"first pauses, hedge fails", long, []attemptPlan{{pause: pause}, failed}, 0, true, 200, 2},
		{"first is read too slowly, hedge fails", short, []attemptPlan{{readRate: 100_000}, failed}, 0, true, 502, 1},
		{"first pauses and is reset, hedge fails", long, []attemptPlan{{pause: pause, resetAfter: 30_000}, failed}, 0, true, 200, 2},
		{"first connects too late, hedge fails", short, []attemptPlan{failed}, pause, true, 502, 1},
		{"first connects late, hedge fails", long, []attemptPlan{failed}, pause, true, 200, 2},
		{"hedge never started, first pauses", short, []attemptPlan{{pause: pause}, {answer: notStartedResponse}}, 0, true, 200, 1},
	} {
		for _, size := range []int{sendBufferBody, heldBody} {
			for _, mayCancel := range []bool{true, false} {
				t.Run(fmt.Sprint(c.name, " ", size, " cancel ", mayCancel), func(t *testing.T) {
					t.Parallel()
					group := &keyGroup{memory: c.memory, plans: c.plans}
					one, two := group.newEndpoint(t, 32<<10), group.newEndpoint(t, 32<<10)
					r := startSidecar(t, listOf(one, two), withKeyMemory(c.memory, mayCancel))
					r.loop.upstream.dialTimeout = 2 * time.Second
					if c.warm {
						r.warmUp()
					}
					if c.slow > 0 {
						dropAllIdle(r)
						r.holdDialFor(1, c.slow)
					}
					const timeout = 3 * time.Second
					text := withTimeout(requestText("1", "POST", "save", fmt.Sprintf("Idempotency-Key: k\r\nContent-Length: %d\r\n", size)), timeout)
					began := time.Now()
					got, body := exchangeOn(r.dial(), text+strings.Repeat("x", size))
					answeredAt := time.Now()
					require.NotNil(t, got, body)
					assert.Equal(t, c.status, got.StatusCode)
					assert.Less(t, answeredAt.Sub(began), timeout+500*time.Millisecond)
					eventually(t, "the attempts have ended", func() bool { return group.idle() && r.openExchanges() == 0 })
					if c.status == http.StatusBadGateway {
						assert.EqualValues(t, 1, r.server.counters.repeatsExpired.Load(), "attempts that were given up for their key")
					}
					group.mu.Lock()
					defer group.mu.Unlock()
					assert.Len(t, group.effects, 1, "effects, of attempts that were whole at %v", group.whole)
					assert.Len(t, group.whole, c.whole, "attempts that were whole")
					for _, at := range group.whole {
						assert.Less(t, at.Sub(answeredAt), 100*time.Millisecond, "whole after the final answer")
					}
				})
			}
		}
	}
}

// dropAllIdle closes the idle connections to endpoints.
func dropAllIdle(r *testSidecar) {
	for r.loop.upstream.closeOneIdle() {
	}
}

// Guards against a request that runs after its final answer, or when its client has left: its last byte had been left to the
// kernel, which delivers it when the endpoint reads on, or was written then.
func TestNothingIsWholeAfterTheFinalAnswer(t *testing.T) {
	const (
		pause         = 2500 * time.Millisecond
		timeout       = 900 * time.Millisecond
		tinyBuffer    = 2 << 10
		shortBody     = 12_000
		usualBuffer   = 32 << 10
		leavesAfter   = 200 * time.Millisecond
		signalAfter   = 100 * time.Millisecond
		answerGrace   = 500 * time.Millisecond
		timeAfterTERM = longestDeadline + killMargin
	)
	for _, c := range []struct {
		name                string
		size, receiveBuffer int
	}{
		{"short, an endpoint with hardly any room", shortBody, tinyBuffer},
		{"in the send buffer", sendBufferBody, usualBuffer},
		{"held", heldBody, usualBuffer},
		{"streamed", streamedBody, usualBuffer},
	} {
		for _, end := range []string{"time is over", "client leaves", "SIGTERM"} {
			for _, mayCancel := range []bool{true, false} {
				t.Run(fmt.Sprint(c.name, " ", end, " cancel ", mayCancel), func(t *testing.T) {
					t.Parallel()
					group := &keyGroup{plans: []attemptPlan{{pause: pause}}}
					r := startSidecar(t, listOf(group.newEndpoint(t, c.receiveBuffer)), func(s *Config) {
						s.terms.MayCancel = mayCancel
						for n := range s.terms.Products {
							s.terms.Products[n].Abandon, s.terms.Products[n].Expected = 1000, 900
						}
					})
					conn := r.dial()
					_, err := io.WriteString(conn, withTimeout(requestText("1", "POST", "buy", fmt.Sprintf("Content-Length: %d\r\n", c.size)), timeout)+strings.Repeat("x", c.size))
					require.NoError(t, err)
					sentAt := time.Now()
					eventually(t, "the attempt has begun", func() bool { return !group.idle() })
					answerBy := sentAt.Add(timeout + answerGrace)
					switch end {
					case "client leaves":
						time.Sleep(leavesAfter)
						conn.Close()
					case "SIGTERM":
						time.Sleep(signalAfter)
						r.stop()
						answerBy = time.Now().Add(timeAfterTERM)
					}
					if end != "client leaves" {
						got, text := exchangeOn(conn, "")
						require.NotNil(t, got, text)
						assert.GreaterOrEqual(t, got.StatusCode, 500)
						assert.Less(t, time.Now(), answerBy)
					}
					eventually(t, "the endpoint has done with it", group.idle)
					group.mu.Lock()
					defer group.mu.Unlock()
					assert.Empty(t, group.whole, "attempts that came whole")
				})
			}
		}
	}
}

// cutLink has nothing come to the endpoint on a connection for a time, as if the network between them were cut.
func (k *keyGroup) cutLink(r *testSidecar, conn net.Conn, duration time.Duration) {
	var far *net.TCPConn
	eventually(r.T, "the endpoint has accepted the connection", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		far = k.conns[conn.LocalAddr().String()]
		return far != nil
	})
	raw, err := far.SyscallConn()
	require.NoError(r, err)
	const returnInstruction = 0x06 // of a classic packet filter, with 0 bytes of the packet to keep
	drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: returnInstruction}}
	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop)
	})
	require.NoError(r, err)
	time.AfterFunc(duration, func() {
		raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	})
}

// Guards against a request that comes when a cut link is back, after its final answer or when its key is forgotten: the kernel
// sends again what was not acknowledged, also on a connection that is closed.
func TestNothingComesLateOverACutLink(t *testing.T) {
	const (
		memory   = 400 * time.Millisecond
		timeout  = 800 * time.Millisecond
		cut      = time.Second
		resentBy = 2 * time.Second // after the cut begins; the kernel sends again after some 0.2, 0.6 and 1.4 s
	)
	for _, c := range []struct {
		name, product string
		plans         []attemptPlan // of the second attempt
		status        int
		whole         int // attempts
	}{
		{"single-use", "buy", nil, 504, 0},
		{"hedge is served", "save", nil, 200, 1},
		{"hedge fails", "save", []attemptPlan{{answer: failedResponse}}, 504, 1},
	} {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, " cancel ", mayCancel), func(t *testing.T) {
				t.Parallel()
				group := &keyGroup{memory: memory, plans: c.plans}
				r := startSidecar(t, listOf(group.newEndpoint(t, 32<<10), group.newEndpoint(t, 32<<10)), withKeyMemory(memory, mayCancel))
				r.warmUp()
				dropAllIdle(r)
				plain, dials := r.loop.upstream.dial, atomic.Int64{}
				r.loop.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := plain(ctx, network, addr)
					if err == nil && dials.Add(1) == 1 {
						group.cutLink(r, conn, cut)
					}
					return conn, err
				}
				began := time.Now()
				text := withTimeout(requestText("1", "POST", c.product, "Idempotency-Key: k\r\nContent-Length: 100\r\n"), timeout)
				got, body := exchangeOn(r.dial(), text+strings.Repeat("x", 100))
				require.NotNil(t, got, body)
				assert.Equal(t, c.status, got.StatusCode)
				assert.Less(t, time.Since(began), timeout+500*time.Millisecond)
				time.Sleep(time.Until(began.Add(resentBy)))
				group.mu.Lock()
				defer group.mu.Unlock()
				assert.Len(t, group.whole, c.whole, "attempts that came whole")
			})
		}
	}
}
