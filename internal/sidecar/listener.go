// Listener: where clients connect. This file owns the listener with its count of descriptors, and whether it accepts just now. What
// becomes of an accepted connection stands in client.go.
package sidecar

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// clientListener is the listener with its count of descriptors. It may be held shut for a while: who connects then waits in the queue.
type clientListener struct {
	*net.TCPListener
	sockets *sockets
	mu      sync.Mutex
	changed sync.Cond
	shut    bool
	closed  bool
	opened  time.Time
	last    atomic.Int64 // when somebody last came, nanoseconds after that
	accept  func() (*net.TCPConn, error)
	defers  bool // the kernel holds back connections on which nothing has come
	log     *zap.Logger
}

// quiet is how long nobody has come.
func (l *clientListener) quiet() time.Duration {
	return time.Since(l.opened) - time.Duration(l.last.Load())
}

func newClientListener(ln *net.TCPListener, s *sockets, log *zap.Logger) *clientListener {
	l := &clientListener{TCPListener: ln, sockets: s, opened: time.Now(), accept: ln.AcceptTCP, log: log}
	l.changed.L = &l.mu
	l.defers = deferAccept(ln)
	s.queued = func() int { return acceptQueue(ln) }
	return l
}

// hold stops accepting, or accepts again.
func (l *clientListener) hold(shut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut == shut || l.closed {
		return
	}
	l.shut = shut
	l.changed.Broadcast()
	if shut {
		l.SetDeadline(time.Unix(1, 0))
	} else {
		l.SetDeadline(time.Time{})
	}
}

func (l *clientListener) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shut
}

func (l *clientListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.TCPListener.Close()
}

// Accept returns the next client. It returns an error only when it is closed.
func (l *clientListener) Accept() (net.Conn, error) {
	retry := acceptRetry{counters: l.sockets.counters, log: l.log}
	for {
		l.mu.Lock()
		for l.shut && !l.closed {
			l.changed.Wait()
		}
		l.mu.Unlock()
		l.sockets.await()
		conn, err := l.accept()
		switch {
		case err == nil:
			l.last.Store(int64(time.Since(l.opened)))
			c := newClient(conn, l.sockets)
			if l.defers && c.look() == nothing {
				c.silent = deferTime
			}
			return c, nil
		case l.over():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		}
		retry.wait(err)
	}
}

func (l *clientListener) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
