package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// acceptErrnos are the errors that accept(2) may return on Linux: pending network errors of a new connection, and ENOBUFS and
// ENOMEM while socket memory is short for a moment. The server of net/http ends at every error that Go does not consider
// temporary, and with it the process and all its exchanges; found by reading accept(2) and net/http.
var acceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ETIMEDOUT,
}

// After any error of accept the next client is served soon, and the accept loop does not spin meanwhile.
func TestAcceptContinuesAfterSystemErrors(t *testing.T) {
	for _, errno := range acceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			d := newClientListener(ln.(*net.TCPListener), newDescriptorLimiter(100, &Counters{}), zap.NewNop())
			var calls atomic.Int64
			failsUntil := time.Now().Add(300 * time.Millisecond)
			accept := d.acceptTCP
			d.acceptTCP = func() (*net.TCPConn, error) {
				if calls.Add(1); time.Now().Before(failsUntil) {
					return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return accept()
			}
			web := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, "served") })}
			ended := make(chan error, 1)
			go func() { ended <- web.Serve(d) }()
			defer web.Close()
			began := time.Now()
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			got, err := client.Get("http://" + ln.Addr().String())
			if assert.NoError(t, err) {
				got.Body.Close()
				assert.Less(t, time.Since(began), 700*time.Millisecond)
			}
			assert.Less(t, calls.Load(), int64(200), "it does not spin")
			select {
			case err := <-ended:
				t.Errorf("the server ended: %v", err)
			default:
			}
		})
	}
}

// A connection that fails for lack of a local resource does not count against its endpoint; one that the endpoint or the network
// refuses does. In neither case was the request sent.
func TestLocalDialErrorsDoNotBlameTheEndpoint(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Outcome{
		syscall.EMFILE: logic.NotSent, syscall.ENFILE: logic.NotSent, syscall.ENOBUFS: logic.NotSent, syscall.ENOMEM: logic.NotSent,
		syscall.EADDRNOTAVAIL: logic.NotSent, syscall.EAGAIN: logic.NotSent,
		syscall.ECONNREFUSED: logic.NoConnection, syscall.ECONNRESET: logic.NoConnection, syscall.ECONNABORTED: logic.NoConnection,
		syscall.ETIMEDOUT: logic.NoConnection, syscall.EHOSTUNREACH: logic.NoConnection, syscall.ENETUNREACH: logic.NoConnection,
	} {
		u := newTestUpstream(t, 100)
		u.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		g := &leg{endpoint: &endpoint{}, addr: "127.0.0.1:1", deadline: time.Now().Add(time.Second), ctx: t.Context(), request: &request{}}
		_, fault := u.run(g)
		if assert.NotNil(t, fault, "%v", errno) {
			assert.Equal(t, want, fault.outcome, "%v", errno)
			assert.LessOrEqual(t, fault.stage, writing)
			assert.ErrorIs(t, fault, errno)
		}
	}
}

// failingListener fails its first calls of Accept with the errors in fails.
type failingListener struct {
	net.Listener
	fails []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.fails) > 0 {
		errno := l.fails[0]
		l.fails = l.fails[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// The console's listener also continues after errors of accept, and ends when it is closed.
func TestConsoleAcceptContinuesAfterSystemErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counters := &Counters{}
	desk := &console{server: &clientServer{counters: counters}, log: zap.NewNop()}
	l := &callerListener{&failingListener{ln, acceptErrnos}, desk}
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	accepted.Close()
	assert.EqualValues(t, len(acceptErrnos), counters.acceptErrors.Load())
	ln.Close()
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a fault found by the soak (seed 5012: idle clients fill the descriptors): a request that waited with its
// connection to be accepted was sent to its endpoint with its full timeout, half a second more than its client had left, since
// the process did not ask the kernel when the bytes had arrived.
func TestDeadlineIncludesTheWaitToBeAccepted(t *testing.T) {
	const wait, slack = 400 * time.Millisecond, 150 * time.Millisecond
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, listOf(s), nil)
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.server.listener.Load() != nil }, 5*time.Second, time.Millisecond)
	r.server.listener.Load().setPaused(true)
	conn := r.dial()
	defer conn.Close()
	io.WriteString(conn, "GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: waits\r\nRequest-Class: look\r\nRequest-Timeout: 1000m\r\n\r\n")
	time.Sleep(wait)
	r.server.listener.Load().setPaused(false)
	select {
	case got := <-s.received:
		sentTimeout, err := time.ParseDuration(got.Header.Get("Request-Timeout") + "s") // m is ms
		require.NoError(t, err)
		assert.LessOrEqual(t, sentTimeout, time.Second-wait+slack)
	case <-time.After(5 * time.Second):
		t.Error("nothing was sent to the endpoint")
	}
}
