package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/clock"
	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/logic"
)

// reportOf is a list as a sibling tells it.
func reportOf(version int64, following bool, servers ...listEntry) knowledge {
	return knowledge{endpointList: endpointList{version: version, full: true, servers: servers}, following: following}
}

func inService(id string, started logic.Millis) listEntry {
	return listEntry{id: id, addr: "127.0.0.1:1", zone: "a", running: true, weight: 1, started: started}
}

func draining(id string) listEntry {
	e := inService(id, 0)
	e.running = false
	return e
}

// inLoop runs in the loop's goroutine.
func inLoop(r *testSidecar, f func(l *loop)) {
	done := make(chan bool)
	r.loop.post(loopFunc(func(l *loop) { f(l); close(done) }))
	<-done
}

// What a process makes of its sibling's word, by whether it follows discovery itself: whose list counts, what takes an endpoint out
// whatever else is known, and what must not be taken back by an older or a lagging list.
func TestWhatASiblingTells(t *testing.T) {
	for _, c := range []struct {
		name    string
		follows bool // this process has a watch of its own, at version 10
		reports knowledge
		runs    []string // in service afterwards, of a, b, c and new
		version int64
	}{
		{"a drain, heard by the sibling alone", false, reportOf(11, true, inService("a", 0), draining("b"), inService("c", 0)), []string{"a", "c"}, 11},
		{"the same beside a watch", true, reportOf(11, true, inService("a", 0), draining("b"), inService("c", 0)), []string{"a", "c"}, 10},
		{"gone, from a list that is later", true, reportOf(11, true, inService("a", 0), inService("b", 0)), []string{"a", "b"}, 10},
		{"missing from one that is older", true, reportOf(9, true, inService("a", 0), inService("b", 0)), []string{"a", "b", "c"}, 10},
		{"a new endpoint", false, reportOf(11, true, inService("a", 0), inService("b", 0), inService("c", 0), inService("new", 5)), []string{"a", "b", "c", "new"}, 11},
		{"a new one beside a watch, which will tell it", true, reportOf(11, true, inService("a", 0), inService("b", 0), inService("c", 0), inService("new", 5)), []string{"a", "b", "c"}, 10},
		{"a discovery that counts anew", false, reportOf(1, true, inService("a", 0), inService("b", 0)), []string{"a", "b"}, 1},
		{"a drain by one that counts anew, beside a watch", true, reportOf(1, true, inService("a", 0), draining("b"), inService("c", 0)), []string{"a", "c"}, 10},
		{"older, from one that does not follow", false, reportOf(4, false, inService("a", 0)), []string{"a", "b", "c"}, 10},
		{"later, from one that does not follow", false, reportOf(12, false, inService("a", 0), draining("c")), []string{"a"}, 12},
		{"no version after a move", false, reportOf(noVersion, true, draining("a"), inService("b", 0), inService("c", 0)), []string{"b", "c"}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
			assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() }, 5*time.Second, time.Millisecond)
			inLoop(r, func(l *loop) {
				l.list.cancelCalls()
				l.list.current.close()
				listReceived{endpointList: endpointList{version: 10, full: true, servers: []listEntry{inService("a", 0), inService("b", 0), inService("c", 0)}}, fromDisk: true}.handle(l)
				if c.follows {
					l.list.current = openWatch{call: 99}
				}
				c.reports.discovery = l.list.addr
				heard := l.watchHeard.Load()
				siblingTold{c.reports}.handle(l)
				assert.Equal(t, heard, l.watchHeard.Load(), "a sibling's word is no watch")
				var runs []string
				for id, e := range l.list.entries {
					if e.running && l.upstream.find(id) != nil && !l.upstream.find(id).unavailable.Load() {
						runs = append(runs, string(id))
					}
				}
				slices.Sort(runs)
				assert.Equal(t, c.runs, runs)
				assert.Equal(t, c.version, l.list.version)
				l.list.current = openWatch{}
			})
		})
	}
}

// A cold start that the sibling saw is known here at once, beside a watch too; a drain from before it takes nothing back. What was told of
// endpoints that are gone stands against an older list of this process's own.
func TestStartsAndGoneOnesThatASiblingSaw(t *testing.T) {
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() }, 5*time.Second, time.Millisecond)
	inLoop(r, func(l *loop) {
		l.list.cancelCalls()
		l.list.current.close()
		listReceived{endpointList: endpointList{version: 10, full: true, servers: []listEntry{inService("a", 0), inService("b", 0)}}, fromDisk: true}.handle(l)
		l.list.current = openWatch{call: 99}
		defer func() { l.list.current = openWatch{} }()
		reports := reportOf(9, true, inService("a", 700), inService("b", 0))
		reports.discovery = l.list.addr
		siblingTold{reports}.handle(l)
		assert.EqualValues(t, 700, l.list.entries["a"].started)
		reports.servers = []listEntry{draining("a"), inService("b", 0)}
		siblingTold{reports}.handle(l)
		assert.True(t, l.list.entries["a"].running, "the drain is from before its start")
		reports.drained = map[logic.EndpointID]drainRecord{"gone": {version: 12}}
		siblingTold{reports}.handle(l)
		assert.True(t, l.list.stillDrained(inService("gone", 0), 11))
	})
}

// A new configuration that reached one process reaches the other, unless that read a later one; the file that a process was started with
// is no news.
func TestANewConfigurationReachesTheSibling(t *testing.T) {
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	elsewhere := newStubEndpoint(t, neverAnswer)
	inLoop(r, func(l *loop) {
		mine := l.list.addr
		reports := knowledge{endpointList: endpointList{version: noVersion, full: true}, discovery: elsewhere.Addr().String()}
		siblingTold{reports}.handle(l)
		assert.Equal(t, mine, l.list.addr)
		l.list.configuredAt = clock.Monotonic()
		reports.reloaded = l.list.configuredAt - time.Second
		siblingTold{reports}.handle(l)
		assert.Equal(t, mine, l.list.addr, "ours is later")
		reports.reloaded = l.list.configuredAt + 1
		siblingTold{reports}.handle(l)
		assert.Equal(t, reports.discovery, l.list.addr)
	})
	<-elsewhere.received
}

// A list of any length goes over the line in parts; one that ends in the middle is not believed, and the next one counts.
func TestKnowledgeGoesInParts(t *testing.T) {
	k := knowledge{discovery: "127.0.0.1:7", reloaded: 5 * time.Second, following: true, drained: map[logic.EndpointID]drainRecord{"x": {version: 3, started: 8}},
		byHand: []hands.Wish{{ID: "s000001", Out: true, Base: 4, At: 77}}}
	k.version, k.full = 12, true
	for n := range 2*partMostEntries + 7 {
		k.servers = append(k.servers, inService(fmt.Sprintf("s%06d", n), logic.Millis(n)))
	}
	var a fastjson.Arena
	var got knowledge
	texts := [][]byte{}
	for _, part := range k.parts(&a, partMostEntries) {
		texts = append(texts, part.MarshalTo(nil))
	}
	require.Len(t, texts, 3)
	for _, n := range []int{0, 1, 0, 1, 2} { // broken off after two
		whole, err := got.add(fastjson.MustParseBytes(texts[n]))
		require.NoError(t, err)
		assert.Equal(t, n == 2, whole)
	}
	assert.Equal(t, k, got)
	_, err := got.add(fastjson.MustParse(`{"servers":7}`))
	assert.Error(t, err)
}

// A process of another release must read the list that it is handed and the one that a sibling tells.
func TestWireFormOfKnowledge(t *testing.T) {
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() }, 5*time.Second, time.Millisecond)
	var discovery string
	inLoop(r, func(l *loop) {
		l.list.cancelCalls()
		l.list.current.close()
		listReceived{endpointList: endpointList{version: 10, full: true, servers: []listEntry{inService("a", 700)}}, fromDisk: true}.handle(l)
		l.list.current, l.list.reloadedAt, discovery = openWatch{call: 99}, 5*time.Second, l.list.addr
		l.list.drained = map[logic.EndpointID]drainRecord{"gone": {version: 9, started: 300}}
	})
	defer inLoop(r, func(l *loop) { l.list.current = openWatch{} })
	want := fmt.Sprintf(`{"version":10,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"a","kind":"","cell":0,"state":"in_service","weight":1,"started_ms":700}],
		"first":true,"drained":[{"id":"gone","version":9,"started_ms":300}],"by_hand":[],"discovery":%q,"reloaded_ns":5000000000,"following":true}`, discovery)
	handed := fastjson.MustParseBytes((&pair{front: r.front}).heritage())
	assert.JSONEq(t, want, string(handed.Get("list").MarshalTo(nil)))
	k, err := r.loop.knowledge(5 * time.Second)
	require.NoError(t, err)
	var a fastjson.Arena
	parts := k.parts(&a, partMostEntries)
	require.Len(t, parts, 1)
	assert.JSONEq(t, want, string(parts[0].MarshalTo(nil)))
	k.byHand = []hands.Wish{{ID: "s0", Out: true, Base: 4, At: 77}}
	assert.JSONEq(t, `[{"id":"s0","out":true,"base":4,"at_ns":77}]`, string(k.byHandList(&a).MarshalTo(nil)))
}

// Two processes on the two ends of a line, and a third that comes while the first still ends: what one is told all know, in both
// directions, and the third is handed what the second knows.
func TestNewsPassesAlongThreeProcesses(t *testing.T) {
	dir, s, discovery := t.TempDir(), newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, neverAnswer).Addr().String()
	var pairs [3]*pair
	var runs [3]*testSidecar
	for n := range pairs {
		runs[n] = startSidecar(t, listOf(s), func(c *Start) { withConsole("")(c); c.Discovery = discovery })
		r := runs[n]
		assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
		pairs[n] = &pair{dir: dir, memory: 10 << 20, front: r.front, door: r.front.listener.Load().TCPListener, log: zap.NewNop()}
		if n > 0 {
			h, err := inherit(dir)
			require.NoError(t, err)
			defer h.door.Close()
			go pairs[n].join(t.Context(), h.line, h.read, false)
		}
		require.NoError(t, pairs[n].offer(t.Context()))
	}
	elder, younger, _ := pairs[1].peers()
	require.NotNil(t, elder, "the second has the first")
	require.NotNil(t, younger, "and the third, which found it and not the first")
	drains := func(teller int, id string, version int64) {
		r := runs[teller]
		r.loop.postUrgent(listReceived{endpointList: endpointList{version: version, full: true, servers: []listEntry{inService("s0", 0), draining(id)}}, fromDisk: true})
		for n := range runs {
			assert.Eventually(t, func() bool {
				k, err := runs[n].loop.knowledge(time.Second)
				return err == nil && k.version == version && slices.ContainsFunc(k.servers, func(e listEntry) bool { return e.id == id && !e.running })
			}, time.Second, time.Millisecond, "process %d hears from %d", n, teller)
		}
	}
	drains(0, "x", 20)
	drains(2, "y", 21)
	elder.line.Close() // the first ends
	assert.Eventually(t, func() bool { e, y, _ := pairs[1].peers(); return e == nil && y != nil }, time.Second, time.Millisecond)
}

// A process whose successor dies is found again by the next one, and one whose line says what can't be read goes on alone.
func TestTheOldOneOffersAgain(t *testing.T) {
	dir := t.TempDir()
	r := startSidecar(t, listOf(newStubEndpoint(t, respondWith(okResponse, true))), withConsole(""))
	assert.Eventually(t, func() bool { return r.loop.listLoaded.Load() && r.front.listener.Load() != nil }, 5*time.Second, time.Millisecond)
	old := &pair{dir: dir, memory: 10 << 20, front: r.front, door: r.front.listener.Load().TCPListener, log: zap.NewNop()}
	require.NoError(t, old.offer(t.Context()))
	for range 2 {
		h, err := inherit(dir)
		require.NoError(t, err)
		h.door.Close()
		name, done, err := socketName(dir)
		require.NoError(t, err)
		taken, err := net.ListenUnix("unix", &net.UnixAddr{Name: name + ".new", Net: "unix"}) // it takes the name, and dies
		require.NoError(t, err)
		done()
		taken.Close()
		_, err = bufio.NewReader(h.line).ReadString('\n')
		require.NoError(t, err)
		fmt.Fprintln(h.line, "{")
		h.line.Close()
		assert.Eventually(t, func() bool { return !old.together.Load() }, 5*time.Second, time.Millisecond)
	}
}
