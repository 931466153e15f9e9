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
func TestInheritFromNobody(t *testing.T) {
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
			began := time.Now()
			h, err := inherit(dir)
			assert.Nil(t, h)
			assert.Error(t, err)
			assert.Equal(t, c.none, err == errNoElder)
			assert.Less(t, time.Since(began), 2*inheritTime, "well within the 6 s")
		})
	}
}

func TestHeritage(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // longer than the kernel's names
	require.NoError(t, os.Mkdir(dir, 0o700))
	s := newStubEndpoint(t, respondWith(okResponse, true))
	r := startSidecar(t, listOf(s), withConsole(dir))
	door, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.loop.operatorDrains.Listed("gone")
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() }, 5*time.Second, time.Millisecond)
	require.NoError(t, r.loop.operatorDrains.Change(t.Context(), "s0", true))
	old := &pair{dir: dir, memory: 100 << 20 / 10, front: r.front, door: door.(*net.TCPListener), log: zap.NewNop()}
	require.NoError(t, old.offer(t.Context()))
	h, err := inherit(dir)
	require.NoError(t, err)
	assert.Equal(t, []string{"s0"}, h.out)
	assert.ElementsMatch(t, []string{"gone", "s0"}, h.ever)
	require.NotNil(t, h.known)
	assert.Equal(t, endpointList{version: 1, full: true, servers: []listEntry{
		{id: "s0", addr: s.Addr().String(), zone: "a", cell: 1, running: true, weight: 1}}}, *h.known)
	// One queue: whoever is connected while the old one closes is taken by the new one.
	c, err := net.Dial("tcp", door.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	door.Close()
	taken, err := h.door.Accept()
	require.NoError(t, err)
	taken.Close()
	h.door.Close()
	assert.Eventually(t, func() bool { return old.together.Load() }, 5*time.Second, time.Millisecond)
	assert.False(t, old.succeeds())
	fmt.Fprintln(h.line, `{"held":700,"serves":true}`)
	assert.Eventually(t, old.succeeds, 5*time.Second, time.Millisecond)
	line, err := bufio.NewReader(h.line).ReadString('\n')
	assert.NoError(t, err)
	assert.Contains(t, line, `"serves":true`)
	few := r.front.descriptors
	usable := func() int {
		few.mu.Lock()
		defer few.mu.Unlock()
		return few.usable
	}
	assert.Less(t, usable(), few.usableAlone/2)
	h.line.Close()
	assert.Eventually(t, func() bool { return !old.succeeds() && !old.together.Load() }, 5*time.Second, time.Millisecond)
	assert.Equal(t, few.usableAlone, usable(), "alone again")
}

// Two processes hold no more together than one may.
func TestDescriptorsAreShared(t *testing.T) {
	for _, c := range []struct{ limit, mine, others int }{
		{384, 0, 0}, {384, 20, 40}, {384, 300, 0}, {384, 0, 300}, {384, 100, 100}, {256, 150, 20}, {96, 20, 20},
	} {
		s := newDescriptorLimiter(c.limit-callersMost, &Counters{})
		s.reserved, s.upstreamConns = reservedDescriptors+callersMost, c.mine
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
func TestSettled(t *testing.T) {
	d := newStubEndpoint(t, neverAnswer)
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), func(s *Start) {
		withConsole("")(s)
		s.Discovery = d.Addr().String()
	})
	<-d.received // the first call is open
	r.front.pair = &pair{front: r.front, heir: true, born: time.Now()}
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.accepting.Load() }, 5*time.Second, time.Millisecond)
	assert.False(t, r.front.servesAlone())
	r.front.pair.born = time.Now().Add(-heardWait)
	assert.True(t, r.front.servesAlone())
	r.front.pair.born = time.Now()
	r.loop.post(listReceived{endpointList: endpointList{version: 2}, call: 1})
	assert.Eventually(t, r.front.servesAlone, 5*time.Second, time.Millisecond)
}

// A drain that the old process was told after it had handed over its list is not known to the new one, which sent requests there
// until its own watch told it (seen by the soak: a drain during a hand-over, three faulty calls). It leaves the clients to the
// old one until then, unless that hangs or is gone.
func TestANewProcessTakesNoClientsBeforeItsOwnList(t *testing.T) {
	for name, frees := range map[string]func(r *testSidecar, p *pair){
		"its own list":           func(r *testSidecar, _ *pair) { r.loop.watchHeard.Store(true) },
		"the old one is gone":    func(_ *testSidecar, p *pair) { p.alone() },
		"it has waited its time": func(_ *testSidecar, p *pair) { p.born = time.Now().Add(-heardWait) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
			assert.Eventually(t, func() bool { return r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
			r.loop.watchHeard.Store(false)
			p := &pair{front: r.front, memory: 10 << 20, log: zap.NewNop(), heir: true, born: time.Now()}
			if name == "it has waited its time" {
				frees(r, p)
			}
			p.openWhenSettled(t.Context())
			if name != "it has waited its time" {
				time.Sleep(3 * tellBeat)
				assert.True(t, r.front.listener.Load().isPaused(), "the old process takes the clients")
				p.yield(false) // the old one says that it is there
				assert.True(t, r.front.listener.Load().isPaused())
				frees(r, p)
			}
			assert.Eventually(t, func() bool { return !r.front.listener.Load().isPaused() }, 5*time.Second, time.Millisecond)
		})
	}
}

// Transfers under way would be cut off when the old process ends: the new one takes all clients first, and says yes when
// the old one has none left. Should the new one die meanwhile, the old one opens its door again.
func TestTransfersAreDrainedBeforeTheYes(t *testing.T) {
	dir := t.TempDir()
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(dir))
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
	listener := r.front.listener.Load()
	old := &pair{dir: dir, memory: 10 << 20, front: r.front, door: listener.TCPListener, log: zap.NewNop()}
	require.NoError(t, old.offer(t.Context()))
	r.front.transfers.Add(1)
	h, err := inherit(dir)
	require.NoError(t, err)
	defer h.door.Close()
	next := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	p := &pair{dir: dir, memory: 10 << 20, front: next.front, log: zap.NewNop(), heir: true, born: time.Now()}
	p.moving.Store(-1)
	next.loop.watchHeard.Store(true)
	assert.Eventually(t, next.front.servesAlone, 5*time.Second, time.Millisecond, "alone")
	done := make(chan bool)
	next.loop.post(loopFunc(func(*loop) { close(done) }))
	<-done
	next.front.pair = p
	go p.join(t.Context(), h.line, h.read, false)
	assert.Eventually(t, listener.isPaused, 5*time.Second, time.Millisecond, "the old one takes nobody any more")
	assert.Eventually(t, func() bool { return p.moving.Load() == 1 }, 5*time.Second, time.Millisecond)
	assert.False(t, next.front.servesAlone(), "not while the old one has a transfer")
	c := r.dial() // it waits in the queue that both have
	c.Write([]byte(requestText("1", "GET", "look", "")))
	r.front.transfers.Add(-1)
	assert.Eventually(t, next.front.servesAlone, 5*time.Second, time.Millisecond)
	assert.True(t, old.succeeds())
	p.born = time.Now().Add(-clearWait)
	p.moving.Store(7)
	assert.True(t, p.clear(), "it was waited for long enough")
	h.line.Close()
	got, body := exchangeOn(c, "")
	require.NotNil(t, got, body)
	assert.Equal(t, 200, got.StatusCode, "the new one died: the old one takes who waits")
	assert.False(t, listener.isPaused())
}
