package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/logic"
)

// headCounter is an endpoint that counts attempts from their first byte, and those whose request came whole.
type headCounter struct {
	*stubEndpoint
	heads atomic.Int64
}

func newHeadCounter(t *testing.T) *headCounter {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &headCounter{}
	h.stubEndpoint = newStubEndpointOn(t, &firstByteListener{Listener: ln, heads: &h.heads}, respondWith(okResponse, true))
	return h
}

// firstByteListener accepts connections that count themselves.
type firstByteListener struct {
	net.Listener
	heads *atomic.Int64
}

func (l *firstByteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &firstByteConn{Conn: c, heads: l.heads}, err
}

// firstByteConn counts itself once its first byte is read.
type firstByteConn struct {
	net.Conn
	heads   *atomic.Int64
	counted bool
}

func (c *firstByteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.counted {
		c.counted = true
		c.heads.Add(1)
	}
	return n, err
}

// longRequestText is a whole request with a body of size bytes.
func longRequestText(id string, size int, chunked bool) string {
	body := longBody(size)
	if chunked {
		return requestText(id, "POST", "buy", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return requestText(id, "POST", "buy", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// sendAndLeave writes a whole request, more than the sidecar reads of it before an attempt, and closes the connection.
func sendAndLeave(t *testing.T, client net.Conn, text, how string) {
	_, err := io.WriteString(client, text)
	require.NoError(t, err, "the request was written whole")
	closeClient(client, how)
}

// withStreaming has all requests above 256 KiB streamed.
func withStreaming(s *Config) { s.MemoryMB = 64 }

const longRequestBytes = 800 << 10

// Guards against an attempt for a long request that begins after its client has closed the connection, because the close stands
// behind bytes for which the sidecar's receive window had no room.
func TestNoAttemptForALongRequestWhoseClientLeftBehindUnreadBytes(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, how := range []string{"FIN", "RST"} {
			t.Run(fmt.Sprintf("first attempt, chunked %v, %s", chunked, how), func(t *testing.T) {
				t.Parallel()
				s := newHeadCounter(t)
				r := startSidecar(t, listOf(s), withStreaming)
				dialled, resume := r.holdDial(1)
				client := r.dial()
				sent := make(chan bool)
				go func() {
					defer close(sent)
					sendAndLeave(t, client, longRequestText("1", longRequestBytes, chunked), how)
				}()
				<-sent
				select {
				case <-dialled:
					time.Sleep(100 * time.Millisecond)
				case <-time.After(time.Second): // the close was seen before an attempt was made
				}
				resume()
				eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 && r.server.activeHandlers.Load() == 0 })
				assert.Zero(t, s.heads.Load(), "no byte was sent to an endpoint")
			})
		}
	}
	t.Run("retry", func(t *testing.T) {
		t.Parallel()
		s := newHeadCounter(t)
		r := startSidecar(t, listOf(s, s, s, s), withStreaming)
		refused := r.loop.upstream.dial
		firstDial := make(chan bool)
		resumeFirst := make(chan bool)
		var dials atomic.Int64
		r.loop.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				close(firstDial)
				<-resumeFirst
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errConnectionReset.Err}
			}
			return refused(ctx, network, addr)
		}
		client := r.dial()
		sent := make(chan bool)
		go func() {
			defer close(sent)
			sendAndLeave(t, client, longRequestText("1", longRequestBytes, false), "FIN")
		}()
		<-firstDial
		<-sent
		time.Sleep(100 * time.Millisecond)
		close(resumeFirst)
		eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 && r.server.activeHandlers.Load() == 0 })
		assert.Zero(t, s.heads.Load(), "no byte was sent to an endpoint")
	})
	t.Run("request and close come before the connection is accepted", func(t *testing.T) {
		t.Parallel()
		s := newHeadCounter(t)
		r := startSidecar(t, listOf(s), withStreaming)
		eventually(t, "clients are accepted", func() bool { return r.server.listener.Load() != nil })
		for n := range 20 {
			r.server.listener.Load().setPaused(true)
			client := r.dial()
			_, err := io.WriteString(client, longRequestText(fmt.Sprint(n), longRequestBytes, n%2 == 1))
			require.NoError(t, err)
			closeClient(client, "FIN")
			time.Sleep(20 * time.Millisecond)
			r.server.listener.Load().setPaused(false)
			eventually(t, "the client was accepted", func() bool { return r.server.counters.exchanges.Load()+r.server.counters.clientsLeft.Load() > int64(n) })
			eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 && r.server.activeHandlers.Load() == 0 })
		}
		assert.Zero(t, s.heads.Load(), "no byte was sent to an endpoint")
	})
}

// Guards against a long request that an endpoint gets whole, and runs, although its client has left: where the kernel may not hold
// the rest of a request, its client's close is seen only once all of it is read.
func TestLongRequestIsNotCompletedForAClientThatLeft(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			s := newHeadCounter(t)
			r := startSidecar(t, listOf(s), func(s *Config) {
				withStreaming(s)
				s.terms.MayCancel = false // what has begun is not cancelled for a client that left
			})
			r.server.unreadBudget.limit = 0
			dialled, resume := r.holdDial(1)
			client := r.dial()
			sent := make(chan bool)
			go func() {
				defer close(sent)
				sendAndLeave(t, client, longRequestText("1", 2<<20, chunked), "FIN")
			}()
			<-dialled
			<-sent
			time.Sleep(100 * time.Millisecond)
			resume()
			eventually(t, "the exchange is finished", func() bool { return r.openExchanges() == 0 && r.server.activeHandlers.Load() == 0 })
			assert.Zero(t, s.requests.Load(), "no endpoint got all of it")
			assert.Zero(t, r.server.counters.legsByOutcome[logic.NoConnection].Load(), "the endpoint is not blamed")
		})
	}
}

// Guards against a request that is answered long after its client's time, because its endpoint reads nothing of it and the sidecar
// therefore does not read its end.
func TestLongRequestThatTheEndpointDoesNotReadIsAnsweredInTime(t *testing.T) {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0") // it accepts connections and reads nothing
	require.NoError(t, err)
	defer endpoint.Close()
	r := startSidecar(t, listOf(endpoint), withStreaming)
	r.limitUpstreamSendBuffer()
	client := r.dial().(*net.TCPConn)
	_, err = io.WriteString(client, longRequestText("1", 1<<20, false))
	require.NoError(t, err, "its client has sent it whole")
	lastByteAt := time.Now()
	got, text := exchangeOn(client, "")
	require.NotNil(t, got, text)
	assert.Equal(t, http.StatusGatewayTimeout, got.StatusCode)
	assert.Less(t, time.Since(lastByteAt), 900*time.Millisecond+500*time.Millisecond, "half a second after its time it is lost")
	assert.Greater(t, time.Since(lastByteAt), 800*time.Millisecond, "it is given its time")
}

// Guards against a client that is still sending being taken for one whose request has arrived whole, or has left.
func TestSlowLongRequestIsServed(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			t.Parallel()
			s := newHeadCounter(t)
			r := startSidecar(t, listOf(s), withStreaming)
			client, text := r.dial(), longRequestText("1", longRequestBytes, chunked)
			for part := 100 << 10; len(text) > 0; text = text[part:] {
				part = min(part, len(text))
				io.WriteString(client, text[:part])
				time.Sleep(200 * time.Millisecond)
			}
			got, answer := exchangeOn(client, "")
			require.NotNil(t, got, answer)
			assert.Equal(t, http.StatusOK, got.StatusCode)
			assert.EqualValues(t, 1, s.requests.Load())
		})
	}
}
