package sidecar

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/logic"
)

// acceptedClientIn returns a client's connection that is counted in s, and the client's end of it.
func acceptedClientIn(t *testing.T, s *descriptorLimiter) (*clientConn, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { far.Close() })
	near, err := ln.Accept()
	require.NoError(t, err)
	c := newClientConn(near.(*net.TCPConn), s)
	t.Cleanup(func() { c.Close() })
	return c, far.(*net.TCPConn)
}

// Guards against a flood of silent clients that took every descriptor, so that each leg found none and counted as a failed
// connection of its endpoint. While clients hold more than their guarantee, they are evicted for legs at once; at the guarantee
// they are not.
func TestLegsGetDescriptorsBesideSilentClients(t *testing.T) {
	s := newDescriptorLimiter(64, &Counters{})
	for range s.usable {
		c, _ := acceptedClientIn(t, s)
		assert.False(t, c.overLimit)
	}
	for range s.usable - s.clientGuarantee() {
		assert.True(t, s.acquireUpstream())
	}
	clients, upstream := s.connections()
	assert.Equal(t, s.usable, clients+upstream)
	assert.Equal(t, s.clientGuarantee(), clients, "clients are evicted down to their guarantee")
	assert.False(t, s.acquireUpstream(), "guaranteed connections are not evicted while their silence is short")
}

// A client with a complete request head evicts a silent one, even if that has been silent only for a moment; one with half a
// head does not.
func TestWholeRequestEvictsASilentConnection(t *testing.T) {
	for text, excess := range map[string]bool{"GET /look/x HTTP/1.1\r\nHo": true, "GET /look/x HTTP/1.1\r\nHost: h\r\n\r\n": false} {
		s := newDescriptorLimiter(64, &Counters{})
		for range s.usable {
			acceptedClientIn(t, s)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		far, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		io.WriteString(far, text)
		near, err := ln.Accept()
		require.NoError(t, err)
		raw, err := near.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		assert.Eventually(t, func() bool { return (&clientConn{raw: raw}).peekState() == connUnread }, time.Second, time.Millisecond)
		c := newClientConn(near.(*net.TCPConn), s)
		assert.Equal(t, excess, c.overLimit, "%q", text)
		c.Close()
		far.Close()
		ln.Close()
	}
}

// Unread bytes in the kernel are a request that was not read yet: their connection is not evicted.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	s := newDescriptorLimiter(64, &Counters{})
	sending, far := acceptedClientIn(t, s)
	silent, _ := acceptedClientIn(t, s)
	io.WriteString(far, "GET /look/x HTTP/1.1\r\n")
	assert.Eventually(t, func() bool { return sending.peekState() == connUnread }, time.Second, time.Millisecond)
	assert.True(t, s.evictSilent(anySilenceLimits))
	assert.True(t, silent.closed.Load(), "although it is the later one")
	assert.False(t, s.evictSilent(anySilenceLimits))
	assert.False(t, sending.closed.Load())
}

// The longer the accept queue, the shorter the silences that are tolerated. With an empty queue the maximum applies to new
// connections, idle connections may be evicted at once, and incomplete requests are not evicted.
func TestSilenceLimitsShrinkWithTheAcceptQueue(t *testing.T) {
	s := newDescriptorLimiter(256, &Counters{})
	queued := 0
	s.acceptQueueLength = func() int { return queued }
	assert.Equal(t, silenceLimits{phaseFresh: maxFreshSilence, phaseIdle: 0}, s.currentLimits())
	before := maxReadingSilence
	for _, queued = range []int{20, 50, 200, 2000} {
		limits := s.currentLimits()
		assert.Less(t, limits[phaseReading], before)
		assert.LessOrEqual(t, limits[phaseFresh], limits[phaseReading])
		assert.GreaterOrEqual(t, limits[phaseFresh], minFreshSilence)
		before = limits[phaseReading]
	}
	assert.Equal(t, minReadingSilence, before)
}

// A leg that finds no descriptor waits for one as long as for a connection. If none is released, this does not count against its
// endpoint.
func TestLegWaitsForADescriptor(t *testing.T) {
	u, s := newTestUpstream(t, 2*reservedDescriptors), newStubEndpoint(t, respondWith(okResponse, true))
	t.Cleanup(func() { u.sockets.upstreamConns = 0 })
	for u.sockets.acquireUpstream() {
	}
	time.AfterFunc(50*time.Millisecond, u.sockets.releaseUpstream)
	_, fault := u.run(newTestLeg(u, s.Addr().String(), time.Second))
	assert.Nil(t, fault)
	for u.sockets.acquireUpstream() {
	}
	began := time.Now()
	_, fault = u.run(newTestLeg(u, s.Addr().String(), time.Second))
	if assert.NotNil(t, fault) {
		assert.Equal(t, logic.NotSent, fault.outcome)
		assert.ErrorIs(t, fault, errNoDescriptor)
		assert.Equal(t, notDialled, fault.stage)
	}
	assert.InDelta(t, u.dialTimeout.Seconds(), time.Since(began).Seconds(), 0.15)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, u.sockets.waitForUpstream(ctx))
}

// If the kernel holds back silent connections, they take no descriptor for a second, while one that has sent data is accepted
// at once.
func TestSilentConnectionsAreDeferred(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newClientListener(ln.(*net.TCPListener), newDescriptorLimiter(100, &Counters{}), nil)
	defer l.Close()
	if !l.deferring {
		t.Skip("the kernel does not support TCP_DEFER_ACCEPT")
	}
	silent, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	sending, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer sending.Close()
	io.WriteString(sending, "GET")
	first, err := l.Accept()
	require.NoError(t, err)
	defer first.Close()
	assert.Equal(t, sending.LocalAddr(), first.RemoteAddr())
	assert.Zero(t, first.(*clientConn).deferredFor)
	second, err := l.Accept()
	require.NoError(t, err)
	defer second.Close()
	assert.Equal(t, silent.LocalAddr(), second.RemoteAddr())
	assert.Equal(t, acceptDeferTime, second.(*clientConn).deferredFor, "the time it was held back counts against its first deadline")
}
