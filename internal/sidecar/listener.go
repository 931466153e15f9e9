// This file owns the clients' listener: it accepts connections within the limit of descriptors, and can be paused. What
// happens to an accepted connection is in client.go.

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

// clientListener accepts clients' connections within the limit of descriptors. While it is paused, new connections wait in the
// kernel's accept queue.
type clientListener struct {
	*net.TCPListener
	descriptors *descriptorLimiter
	mu          sync.Mutex
	changed     sync.Cond
	paused      bool
	closed      bool
	openedAt    time.Time
	lastAccept  atomic.Int64 // time of the last accepted connection, in nanoseconds since openedAt
	acceptTCP   func() (*net.TCPConn, error)
	deferring   bool // the kernel holds back connections on which no data has arrived
	log         *zap.Logger
}

// sinceLastAccept returns the time since the last connection was accepted, or since the listener was opened.
func (l *clientListener) sinceLastAccept() time.Duration {
	return time.Since(l.openedAt) - time.Duration(l.lastAccept.Load())
}

// newClientListener wraps ln and reports the length of its accept queue to s.
func newClientListener(ln *net.TCPListener, s *descriptorLimiter, log *zap.Logger) *clientListener {
	l := &clientListener{TCPListener: ln, descriptors: s, openedAt: time.Now(), acceptTCP: ln.AcceptTCP, log: log}
	l.changed.L = &l.mu
	l.deferring = deferAccept(ln)
	s.acceptQueueLength = func() int { return acceptQueueLength(ln) }
	return l
}

// setPaused stops accepting connections, or resumes it.
func (l *clientListener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == paused || l.closed {
		return
	}
	l.paused = paused
	l.changed.Broadcast()
	if paused {
		l.SetDeadline(time.Unix(1, 0))
	} else {
		l.SetDeadline(time.Time{})
	}
}

func (l *clientListener) isPaused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

// Close closes the listening socket and ends Accept, also while paused.
func (l *clientListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.TCPListener.Close()
}

// Accept returns the next client's connection. Errors of accept are retried; it returns one only after Close.
func (l *clientListener) Accept() (net.Conn, error) {
	retry := acceptRetry{counters: l.descriptors.counters, log: l.log}
	for {
		l.mu.Lock()
		for l.paused && !l.closed {
			l.changed.Wait()
		}
		l.mu.Unlock()
		l.descriptors.waitForClientRoom()
		conn, err := l.acceptTCP()
		switch {
		case err == nil:
			l.lastAccept.Store(int64(time.Since(l.openedAt)))
			c := newClientConn(conn, l.descriptors)
			if l.deferring && c.peekState() == connOpen {
				c.deferredFor = acceptDeferTime
			}
			return c, nil
		case l.isClosed():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		}
		retry.wait(err)
	}
}

func (l *clientListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
