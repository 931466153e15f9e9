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

// connected is a client's connection beside others in the same books, and its far end.
func connected(t *testing.T, s *sockets) (*client, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { far.Close() })
	near, err := ln.Accept()
	require.NoError(t, err)
	c := newClient(near.(*net.TCPConn), s)
	t.Cleanup(func() { c.Close() })
	return c, far.(*net.TCPConn)
}

// A crowd of silent clients took every descriptor, each attempt found none and was booked as a failed connection of its endpoint. Clients
// that hold more than their part give way to attempts at once; those that hold no more keep it.
func TestAttemptsFindDescriptorsBesideSilentClients(t *testing.T) {
	s := newSockets(64, &Counters{})
	for range s.usable {
		c, _ := connected(t, s)
		assert.False(t, c.excess)
	}
	for range s.usable - s.clientsKeep() {
		assert.True(t, s.takeUpstream())
	}
	clients, upstream := s.held()
	assert.Equal(t, s.usable, clients+upstream)
	assert.Equal(t, s.clientsKeep(), clients, "and no more")
	assert.False(t, s.takeUpstream(), "they keep their part while they are not silent for long")
}

// A client whose request waits whole takes the place of a silent one, even if that is silent for a moment only; half a head does not.
func TestAWholeRequestTakesASilentOnesPlace(t *testing.T) {
	for text, excess := range map[string]bool{"GET /look/x HTTP/1.1\r\nHo": true, "GET /look/x HTTP/1.1\r\nHost: h\r\n\r\n": false} {
		s := newSockets(64, &Counters{})
		for range s.usable {
			connected(t, s)
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
		assert.Eventually(t, func() bool { return (&client{raw: raw}).look() == unread }, time.Second, time.Millisecond)
		c := newClient(near.(*net.TCPConn), s)
		assert.Equal(t, excess, c.excess, "%q", text)
		c.Close()
		far.Close()
		ln.Close()
	}
}

// What waits unread in the kernel is a request that was not looked at yet: its connection is not closed for room.
func TestUnreadBytesKeepAConnection(t *testing.T) {
	s := newSockets(64, &Counters{})
	asks, far := connected(t, s)
	quiet, _ := connected(t, s)
	io.WriteString(far, "GET /look/x HTTP/1.1\r\n")
	assert.Eventually(t, func() bool { return asks.look() == unread }, time.Second, time.Millisecond)
	assert.True(t, s.shedSilent(anySilent))
	assert.True(t, quiet.closed.Load(), "though it is the later one")
	assert.False(t, s.shedSilent(anySilent))
	assert.False(t, asks.closed.Load())
}

// The longer the queue of those who wait to be accepted, the shorter silences are borne; with none the figures of before hold.
func TestPatienceShrinksWithTheQueue(t *testing.T) {
	s := newSockets(256, &Counters{})
	queued := 0
	s.queued = func() int { return queued }
	assert.Equal(t, silences{fresh: freshMost, idle: 0}, s.patience())
	before := readingMost
	for _, queued = range []int{20, 50, 200, 2000} {
		p := s.patience()
		assert.Less(t, p[reading], before)
		assert.LessOrEqual(t, p[fresh], p[reading])
		assert.GreaterOrEqual(t, p[fresh], freshLeast)
		before = p[reading]
	}
	assert.Equal(t, readingLeast, before)
}

// An attempt that finds no descriptor waits for one as long as for a connection; if none comes, that says nothing of its endpoint.
func TestAnAttemptWaitsForADescriptor(t *testing.T) {
	u, s := testUpstream(t, 2*fixedSockets), newStandIn(t, say(fine, true))
	t.Cleanup(func() { u.sockets.upstream = 0 })
	for u.sockets.takeUpstream() {
	}
	time.AfterFunc(50*time.Millisecond, u.sockets.give)
	_, fault := u.run(testLeg(u, s.Addr().String(), time.Second))
	assert.Nil(t, fault)
	for u.sockets.takeUpstream() {
	}
	began := time.Now()
	_, fault = u.run(testLeg(u, s.Addr().String(), time.Second))
	if assert.NotNil(t, fault) {
		assert.Equal(t, logic.NotSent, fault.outcome)
		assert.ErrorIs(t, fault, errDescriptors)
		assert.Equal(t, notDialled, fault.reach)
	}
	assert.InDelta(t, u.dialTime.Seconds(), time.Since(began).Seconds(), 0.15)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, u.sockets.awaitUpstream(ctx))
}

// Where the kernel holds back silent connections, these take no descriptor for a second, and one that has asked is accepted at once.
func TestSilentConnectionsAreHeldBack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newClientListener(ln.(*net.TCPListener), newSockets(100, &Counters{}), nil)
	defer l.Close()
	if !l.defers {
		t.Skip("the kernel does not defer")
	}
	silent, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	asks, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer asks.Close()
	io.WriteString(asks, "GET")
	first, err := l.Accept()
	require.NoError(t, err)
	defer first.Close()
	assert.Equal(t, asks.LocalAddr(), first.RemoteAddr())
	assert.Zero(t, first.(*client).silent)
	second, err := l.Accept()
	require.NoError(t, err)
	defer second.Close()
	assert.Equal(t, silent.LocalAddr(), second.RemoteAddr())
	assert.Equal(t, deferTime, second.(*client).silent, "its time to send a head has begun")
}
