package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Whoever does not answer as an old process does must not keep a new one from starting.
func TestHandoverWithoutAPredecessorThatAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		old  func(dir string, ln net.Listener)
		none bool // as if there were nobody
	}{
		{"no folder", nil, true},
		{"nobody", func(string, net.Listener) {}, true},
		{"dead, its name left behind", func(_ string, ln net.Listener) {
			ln.(*net.UnixListener).SetUnlinkOnClose(false)
			ln.Close()
		}, true},
		{"hangs", func(string, net.Listener) {}, false},
		{"ends at once", func(_ string, ln net.Listener) {
			go func() { c, _ := ln.Accept(); c.Close() }()
		}, false},
		{"says what is no heritage", func(_ string, ln net.Listener) {
			go func() { c, _ := ln.Accept(); fmt.Fprintln(c, "hello\n{") }()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := ""
			if c.old != nil {
				dir = t.TempDir()
				if c.name != "nobody" {
					ln, err := net.Listen("unix", filepath.Join(dir, "lynxjunction.sock"))
					require.NoError(t, err)
					defer ln.Close()
					c.old(dir, ln)
				}
			}
			started := time.Now()
			h, err := requestHandover(dir)
			assert.Nil(t, h)
			assert.Error(t, err)
			assert.Equal(t, c.none, err == errNoPredecessor)
			assert.Less(t, time.Since(started), 2*handoverTimeout, "well within the 6 s")
		})
	}
}

func TestHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // longer than the kernel's names
	require.NoError(t, os.Mkdir(dir, 0o700))
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, listOf(s), withConsole(dir))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.loop.operatorDrains.RecordListed("gone")
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() }, 5*time.Second, time.Millisecond)
	require.NoError(t, r.loop.operatorDrains.SetDrain(t.Context(), "s0", true))
	predecessor := &processGroup{dir: dir, memoryTenth: 100 << 20 / 10, server: r.front, listener: listener.(*net.TCPListener), log: zap.NewNop()}
	require.NoError(t, predecessor.listenForSuccessor(t.Context()))
	h, err := requestHandover(dir)
	require.NoError(t, err)
	assert.Equal(t, []string{"s0"}, h.drainedIDs)
	assert.ElementsMatch(t, []string{"gone", "s0"}, h.listedIDs)
	require.NotNil(t, h.list)
	assert.Equal(t, endpointList{version: 1, full: true, servers: []listEntry{
		{id: "s0", addr: s.Addr().String(), zone: "a", cell: 1, running: true, weight: 1}}}, *h.list)
	// One queue: whoever is connected while the old one closes is taken by the new one.
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	listener.Close()
	accepted, err := h.listener.Accept()
	require.NoError(t, err)
	accepted.Close()
	h.listener.Close()
	assert.Eventually(t, func() bool { return predecessor.hasSibling.Load() }, 5*time.Second, time.Millisecond)
	assert.False(t, predecessor.successorReady())
	fmt.Fprintln(h.conn, `{"held":700,"serves":true}`)
	assert.Eventually(t, predecessor.successorReady, 5*time.Second, time.Millisecond)
	line, err := bufio.NewReader(h.conn).ReadString('\n')
	assert.NoError(t, err)
	assert.Contains(t, line, `"serves":true`)
	descriptors := r.front.descriptors
	usable := func() int {
		descriptors.mu.Lock()
		defer descriptors.mu.Unlock()
		return descriptors.usable
	}
	assert.Less(t, usable(), descriptors.usableAlone/2)
	h.conn.Close()
	assert.Eventually(t, func() bool { return !predecessor.successorReady() && !predecessor.hasSibling.Load() }, 5*time.Second, time.Millisecond)
	assert.Equal(t, descriptors.usableAlone, usable(), "alone again")
}

// Two processes hold no more together than one may.
func TestProcessesOfOneSidecarShareDescriptors(t *testing.T) {
	for _, c := range []struct{ limit, mine, others int }{
		{384, 0, 0}, {384, 20, 40}, {384, 300, 0}, {384, 0, 300}, {384, 100, 100}, {256, 150, 20}, {96, 20, 20},
	} {
		s := newDescriptorLimiter(c.limit-maxCallers, &Counters{})
		s.reserved, s.upstreamConns = reservedDescriptors+maxCallers, c.mine
		s.closeIdleUpstream = func() bool { s.releaseUpstream(); return true }
		s.shareWith(c.others)
		assert.LessOrEqual(t, s.upstreamConns, s.usable, "idle ones give way: %+v", c)
		free := c.limit - 2*s.reserved - s.upstreamConns - c.others
		assert.LessOrEqual(t, s.usable-s.upstreamConns, max(free/2, 2), "half of what is free: %+v", c)
		assert.GreaterOrEqual(t, s.usable, 2)
		s.shareWith(-1)
		assert.Equal(t, s.usableAlone, s.usable)
	}
}

// A new process says yes once its own watch has told something, or has had its time.
func TestNotReadyBeforeItsOwnWatchReportsAList(t *testing.T) {
	d := newStubEndpoint(t, neverAnswer)
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), func(s *Config) {
		withConsole("")(s)
		s.Discovery = d.Addr().String()
	})
	<-d.received // the first call is open
	r.front.pair = &processGroup{server: r.front, tookOver: true, startedAt: time.Now()}
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.accepting.Load() }, 5*time.Second, time.Millisecond)
	assert.False(t, r.front.servesAlone())
	r.front.pair.startedAt = time.Now().Add(-maxOwnWatchWait)
	assert.True(t, r.front.servesAlone())
	r.front.pair.startedAt = time.Now()
	r.loop.post(listReceived{endpointList: endpointList{version: 2}, call: 1})
	assert.Eventually(t, r.front.servesAlone, 5*time.Second, time.Millisecond)
}

// A drain that the old process was told after it had handed over its list is not known to the new one, which sent requests there
// until its own watch told it (seen by the soak: a drain during a hand-over, three faulty calls). It leaves the clients to the
// old one until then, unless that hangs or is gone.
func TestNewProcessAcceptsNoClientsBeforeItsOwnList(t *testing.T) {
	for name, confirm := range map[string]func(r *testSidecar, p *processGroup){
		"its own list":           func(r *testSidecar, _ *processGroup) { r.loop.watchHeard.Store(true) },
		"the old one is gone":    func(_ *testSidecar, p *processGroup) { p.lastSiblingGone() },
		"it has waited its time": func(_ *testSidecar, p *processGroup) { p.startedAt = time.Now().Add(-maxOwnWatchWait) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
			assert.Eventually(t, func() bool { return r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
			r.loop.watchHeard.Store(false)
			p := &processGroup{server: r.front, memoryTenth: 10 << 20, log: zap.NewNop(), tookOver: true, startedAt: time.Now()}
			if name == "it has waited its time" {
				confirm(r, p)
			}
			p.acceptWhenListConfirmed(t.Context())
			if name != "it has waited its time" {
				time.Sleep(3 * updateInterval)
				assert.True(t, r.front.listener.Load().isPaused(), "the old process takes the clients")
				p.setPaused(false) // the old one says that it is there
				assert.True(t, r.front.listener.Load().isPaused())
				confirm(r, p)
			}
			assert.Eventually(t, func() bool { return !r.front.listener.Load().isPaused() }, 5*time.Second, time.Millisecond)
		})
	}
}

// Transfers under way would be cut off when the old process ends: the new one takes all clients first, and says yes when
// the old one has none left. Should the new one die meanwhile, the old one opens its door again.
func TestNotReadyWhileThePredecessorHasTransfers(t *testing.T) {
	dir := t.TempDir()
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(dir))
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
	listener := r.front.listener.Load()
	predecessor := &processGroup{dir: dir, memoryTenth: 10 << 20, server: r.front, listener: listener.TCPListener, log: zap.NewNop()}
	require.NoError(t, predecessor.listenForSuccessor(t.Context()))
	r.front.transfers.Add(1)
	h, err := requestHandover(dir)
	require.NoError(t, err)
	defer h.listener.Close()
	successor := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	p := &processGroup{dir: dir, memoryTenth: 10 << 20, server: successor.front, log: zap.NewNop(), tookOver: true, startedAt: time.Now()}
	p.predecessorTransfers.Store(-1)
	successor.loop.watchHeard.Store(true)
	assert.Eventually(t, successor.front.servesAlone, 5*time.Second, time.Millisecond, "alone")
	done := make(chan bool)
	successor.loop.post(loopFunc(func(*loop) { close(done) }))
	<-done
	successor.front.pair = p
	go p.runSibling(t.Context(), h.conn, h.reader, false)
	assert.Eventually(t, listener.isPaused, 5*time.Second, time.Millisecond, "the old one takes nobody any more")
	assert.Eventually(t, func() bool { return p.predecessorTransfers.Load() == 1 }, 5*time.Second, time.Millisecond)
	assert.False(t, successor.front.servesAlone(), "not while the old one has a transfer")
	c := r.dial() // it waits in the queue that both have
	c.Write([]byte(requestText("1", "GET", "look", "")))
	r.front.transfers.Add(-1)
	assert.Eventually(t, successor.front.servesAlone, 5*time.Second, time.Millisecond)
	assert.True(t, predecessor.successorReady())
	p.startedAt = time.Now().Add(-maxTransferWait)
	p.predecessorTransfers.Store(7)
	assert.True(t, p.predecessorDrained(), "it was waited for long enough")
	h.conn.Close()
	got, body := exchangeOn(c, "")
	require.NotNil(t, got, body)
	assert.Equal(t, 200, got.StatusCode, "the new one died: the old one takes who waits")
	assert.False(t, listener.isPaused())
}
