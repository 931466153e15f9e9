package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// listServerTest is a stand-in of discovery with two endpoints in service. The test calls it as its only sidecar.
type listServerTest struct {
	*testing.T
	rig *Rig
}

// newListServerTest starts the stand-in of discovery.
func newListServerTest(t *testing.T) *listServerTest {
	s, err := scenario.Read("testdata/rules.toml")
	require.NoError(t, err)
	s.Fleet.Sidecars, s.Faults = 1, nil
	r := &Rig{scenario: s, book: records.New(records.Terms{}), startedAt: time.Now(), sidecars: []*process{{}}}
	r.links.classOf = []int{0}
	r.addrs, err = claimBlock()
	require.NoError(t, err)
	r.listServer = r.newListServer()
	require.NoError(t, r.listServer.open(0))
	t.Cleanup(func() {
		r.listServer.httpServer.Close()
		r.addrs.listener.Close()
	})
	c := &listServerTest{T: t, rig: r}
	for n := range 2 {
		r.book.AddEndpoint(fmt.Sprint("e", n), 0)
		c.publish(n, "in_service")
	}
	return c
}

// publish enters an endpoint's state into the list, and returns the time in ms.
func (c *listServerTest) publish(number int, state string) (at float64) {
	at = c.rig.now()
	c.rig.listServer.publish(listEntry{ID: fmt.Sprint("e", number), State: state, number: number})
	return at
}

// watchOutput is what the test has received from a watch.
type watchOutput struct {
	lists      []listUpdate // the list and the changes
	heartbeats int
	err        error   // with which reading ended
	ended      float64 // when reading ended, in ms
}

// watch calls discovery for a watch and reads it for the given time, or until the watch ends.
func (c *listServerTest) watch(after int, within time.Duration) (w watchOutput) {
	got, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", c.rig.addrs.addr(rowList, 0), after))
	require.NoError(c, err)
	defer got.Body.Close()
	closing := time.AfterFunc(within, func() { got.Body.Close() })
	defer closing.Stop()
	lines := bufio.NewReader(got.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			w.err, w.ended = err, c.rig.now()
			return w
		}
		if len(line) == 1 {
			w.heartbeats++
			continue
		}
		var t listUpdate
		require.NoError(c, json.Unmarshal(line, &t))
		w.lists = append(w.lists, t)
	}
}

// notified returns when the sidecar counted as notified that an endpoint left service, and why; -1 if it did not.
func (c *listServerTest) notified(endpoint string) (at float64, why string) {
	for _, o := range c.rig.book.DrainSummaries() {
		if o.Endpoint == endpoint {
			return o.FirstNotifiedAt, o.Source
		}
	}
	return -1, ""
}

// toleranceMs is how far measured times may lie from the expected ones.
const toleranceMs = 300.0

// With the fault list-ends a watch gets no update of a drain. It is closed within the fault's time, and the drain counts
// as notified notifiedAfterEnded later. A new call gets a full list without the draining endpoint, and counts as notified
// at once.
func TestListEndsBreaksWatchesOffInsteadOfSendingUpdates(t *testing.T) {
	t.Parallel()
	c := newListServerTest(t)
	c.rig.listServer.setWatchFault(0, faultListEnds, 0.5)
	changed := make(chan float64, 1)
	time.AfterFunc(200*time.Millisecond, func() { changed <- c.publish(0, "terminating") })
	w := c.watch(fullList, 10*time.Second)
	require.ErrorIs(t, w.err, io.ErrUnexpectedEOF)
	require.Len(t, w.lists, 1)
	assert.Len(t, w.lists[0].Servers, 2)
	assert.InDelta(t, <-changed+250, w.ended, 250+toleranceMs)
	at, _ := c.notified("e0")
	assert.Negative(t, at, "not notified yet")
	time.Sleep(notifiedAfterEnded + 200*time.Millisecond)
	at, why := c.notified("e0")
	assert.InDelta(t, w.ended+2000, at, toleranceMs)
	assert.Equal(t, "a watch ended without sending it", why)

	c.publish(1, "terminating")
	time.Sleep(600 * time.Millisecond) // until the fault has ended watches for this change
	w = c.watch(w.lists[0].Version, 100*time.Millisecond)
	require.Len(t, w.lists, 1)
	assert.True(t, w.lists[0].Full)
	assert.Empty(t, w.lists[0].Servers, "a full list leaves out draining endpoints")
	at, why = c.notified("e1")
	assert.InDelta(t, c.rig.now(), at, toleranceMs+100)
	assert.Equal(t, "listed as terminating", why)
}

// An outage of discovery after the end of a watch: the missed change counts as notified notifiedAfterReached after the
// outage, not notifiedAfterEnded after the end of the watch.
func TestMissedUpdateIsNotDueAfterWatchEndWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	c := newListServerTest(t)
	c.rig.listServer.setWatchFault(0, faultListEnds, 0.01)
	time.AfterFunc(100*time.Millisecond, func() { c.publish(0, "terminating") })
	w := c.watch(fullList, 10*time.Second)
	require.ErrorIs(t, w.err, io.ErrUnexpectedEOF)
	time.Sleep(500 * time.Millisecond)
	c.rig.listServer.addOutage(1)
	time.Sleep(time.Second)
	c.rig.listServer.addOutage(-1)
	restored := c.rig.now()
	time.Sleep(notifiedAfterEnded)
	at, _ := c.notified("e0")
	assert.Negative(t, at)
	time.Sleep(notifiedAfterReached - notifiedAfterEnded + 200*time.Millisecond)
	at, why := c.notified("e0")
	assert.InDelta(t, restored+6000, at, toleranceMs)
	assert.Equal(t, "discovery is reachable again", why)
}

// With the fault list-mute a watch sends heartbeats but no updates, even after the end of the fault. The change counts as
// notified notifiedAfterReached later, and another call gets it.
func TestListMuteSendsHeartbeatsButNoUpdates(t *testing.T) {
	t.Parallel()
	c := newListServerTest(t)
	c.rig.listServer.setWatchFault(0, faultListMute, 1)
	changed := make(chan float64, 1)
	time.AfterFunc(200*time.Millisecond, func() {
		changed <- c.publish(0, "terminating")
		time.Sleep(200 * time.Millisecond) // for the watch to become mute at the change
		c.rig.listServer.clearWatchFault(0)
		c.publish(1, "terminating")
	})
	w := c.watch(fullList, 6500*time.Millisecond)
	assert.Len(t, w.lists, 1, "the watch stays mute")
	assert.Equal(t, 3, w.heartbeats)
	at, why := c.notified("e0")
	assert.InDelta(t, <-changed+6000, at, toleranceMs)
	assert.Equal(t, "discovery listed it and was reachable", why)
	w = c.watch(w.lists[0].Version, 100*time.Millisecond)
	require.Len(t, w.lists, 1)
	assert.Len(t, w.lists[0].Servers, 2, "another call gets both changes")
}

// With the fault list-silent a watch sends nothing more and its connection stays open. A change counts as notified
// notifiedAfterReached after the last heartbeat, not after the change.
func TestListSilentSendsNothingAndStaysOpen(t *testing.T) {
	t.Parallel()
	c := newListServerTest(t)
	time.AfterFunc(2500*time.Millisecond, func() { c.rig.listServer.setWatchFault(0, faultListSilent, 1) })
	time.AfterFunc(3*time.Second, func() { c.publish(0, "terminating") })
	w := c.watch(fullList, 9*time.Second)
	assert.Len(t, w.lists, 1)
	assert.Equal(t, 1, w.heartbeats)
	assert.NotErrorIs(t, w.err, io.ErrUnexpectedEOF)
	at, why := c.notified("e0")
	assert.InDelta(t, 2000+6000, at, toleranceMs, "from its last heartbeat")
	assert.Equal(t, "a watch was silent beyond its time limit", why)
}

// With the fault list-ends all watches end at the same time after a change.
func TestListEndsBreaksAllWatchesOffTogether(t *testing.T) {
	t.Parallel()
	c := newListServerTest(t)
	c.rig.listServer.setWatchFault(0, faultListEnds, 1)
	ends := make(chan float64, 10)
	for range cap(ends) {
		go func() { ends <- c.watch(fullList, 10*time.Second).ended }()
	}
	time.Sleep(300 * time.Millisecond)
	changed := c.publish(0, "terminating")
	first, last := <-ends, 0.0
	for range cap(ends) - 1 {
		last = <-ends
	}
	assert.Greater(t, first, changed)
	assert.InDelta(t, first, last, 100)
}

// Which watches a fault affects is drawn from the seed, the sidecar and the number of its calls that were answered
// before.
func TestWatchFaultsAreDrawnBySeed(t *testing.T) {
	draws := func(seed uint64) (all []float64) {
		s := &scenario.Scenario{Seed: seed}
		for n := range 1000 {
			w := &watch{server: &listServer{rig: &Rig{scenario: s}}, sidecar: n % 10, number: n / 10}
			all = append(all, w.draw(faultListMute))
		}
		return all
	}
	assert.Equal(t, draws(1), draws(1))
	assert.NotEqual(t, draws(1), draws(2))
	under := 0
	for _, v := range draws(1) {
		if v < 0.3 {
			under++
		}
	}
	assert.InDelta(t, 300, under, 60, "tolerance of over four standard deviations")
}
