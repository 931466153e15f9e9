package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// callFate is what becomes of a call to discovery: it brings a list, or fails, so many milliseconds after its start.
type callFate struct {
	name    string
	lasts   Millis
	answers bool
}

var (
	refusedCall  = callFate{name: "refused", lasts: 2}
	brokenOff    = callFate{name: "broken off inside the list", lasts: 600}
	silentCall   = callFate{name: "silent", lasts: 4000}
	answeredCall = callFate{name: "answered", lasts: 250, answers: true}
)

// listCaller plays discovery for one module.
type listCaller struct {
	Outgoing
	eventQueue
	b       *Balancer
	fates   []callFate // of the calls to come; after them all are answered
	calls   []Millis
	version int // of the calls whose ends still count: a new configuration makes others
	heard   Millis
}

func newListCaller(t Terms) *listCaller {
	c := &listCaller{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}, heard: -1}
	t.PullList, t.Notified = true, NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}
	t.MaxListWait = 1200
	c.b = New(t, c, c.now)
	return c
}

func (c *listCaller) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		c.schedule(after, func() {
			c.b.SetNow(c.now)
			c.b.TimerFired(1)
		})
	}
}

func (c *listCaller) Watch() {
	fate, version := answeredCall, c.version
	if len(c.fates) > 0 {
		fate, c.fates = c.fates[0], c.fates[1:]
	}
	c.calls = append(c.calls, c.now)
	c.schedule(fate.lasts, func() {
		c.b.SetNow(c.now)
		switch {
		case version != c.version || c.heard >= 0:
		case fate.answers:
			c.heard = c.now
			c.b.ListEnds(false)
			c.b.ListHeard(fate.lasts)
		default:
			c.b.ListFailed()
		}
	})
}

func (c *listCaller) playUntil(end Millis) {
	c.eventQueue.runUntil(end)
	c.b.SetNow(c.now)
}

// happens starts an event: from here on the next calls have these fates.
func (c *listCaller) happens(fates []callFate) Millis {
	c.fates, c.heard, c.calls = fates, -1, nil
	return c.now
}

// Whatever the first three calls meet and however large the fleet, a whole list is heard before a change counts as notified:
// 4 s after a new configuration, 6 s after discovery could be reached. Several bounds may be owed at once.
func TestListsAreHeardBeforeTheyAreOwed(t *testing.T) {
	kinds := []callFate{refusedCall, brokenOff, silentCall}
	var orders [][]callFate
	for n := range 27 {
		orders = append(orders, []callFate{kinds[n%3], kinds[n/3%3], kinds[n/9]})
	}
	down := make([]callFate, 5000)
	for n := range down {
		down[n] = refusedCall
	}
	for _, fleet := range []int{1, 2, 6, 30, 350, 1024} {
		for _, within := range []Millis{100, 1000, 10000, 60000} {
			for n, order := range orders {
				name := fmt.Sprintf("fleet of %d, asked within %v, %s, %s, %s", fleet, within, order[0].name, order[1].name, order[2].name)
				started := func() *listCaller {
					c := newListCaller(Terms{Seed: uint64(n), Fleet: fleet, AskWithin: within, HasList: n%2 == 0})
					c.playUntil(20000)
					assert.NotEqual(t, Millis(-1), c.heard, "at the start")
					return c
				}
				hears := func(c *listCaller, event string, from, bound Millis) {
					c.playUntil(from + 15000)
					if assert.NotEqual(t, Millis(-1), c.heard, "%s, %s", event, name) {
						assert.LessOrEqual(t, c.heard-from, bound, "%s, %s: calls at %v", event, name, c.calls)
					}
				}

				c := started()
				from := c.happens(order)
				c.version++
				c.b.ListMoved()
				hears(c, "a new configuration", from, 4000)

				c = started()
				from = c.happens(order)
				c.b.ListLost(0, false)
				hears(c, "a watch that ended", from, 6000)

				c = started()
				from = c.happens(order)
				c.b.ListLost(2500, false)
				hears(c, "a watch that fell silent", from-2500, 6000)

				c = started()
				c.happens(down)
				c.b.ListLost(0, false)
				c.playUntil(c.now + 9000 + Millis(37*n))
				from = c.happens(order)
				hears(c, "discovery back after a while", from, 6000)

				c = started()
				c.happens(down)
				c.b.ListLost(0, false)
				c.playUntil(c.now + 9000 + Millis(37*n))
				from = c.happens(order)
				c.version++
				c.b.ListMoved()
				hears(c, "a new configuration while discovery is down", from, 4000)

				c = started()
				c.happens([]callFate{silentCall, silentCall, silentCall, silentCall})
				for range 4 {
					c.version++
					c.b.ListMoved()
					c.playUntil(c.now + 350)
				}
				from = c.happens(order[:2])
				c.version++
				c.b.ListMoved()
				hears(c, "new configurations in a row", from, 4000)
			}
		}
	}
}

// New configurations that go on coming don't put off the call for ever, nor does each of them make one.
func TestEndlessNewConfigurations(t *testing.T) {
	c := newListCaller(Terms{Fleet: 6, AskWithin: 10000})
	c.playUntil(20000)
	from := c.happens(nil)
	for range 200 {
		c.version++ // no call lives long enough to be answered
		c.b.ListMoved()
		c.playUntil(c.now + 150)
	}
	last := from
	for _, at := range c.calls {
		assert.LessOrEqual(t, at-last, Millis(2400), "calls at %v", c.calls)
		last = at
	}
	assert.LessOrEqual(t, len(c.calls), 30000/int(moveQuiet)+1)
	assert.GreaterOrEqual(t, len(c.calls), 12)
	last = c.now
	c.playUntil(c.now + 4000)
	assert.GreaterOrEqual(t, c.heard, last)
}

// One call that fails leaves time for another before a watch's end counts: 2 s.
func TestOneFailedCallBehindAWatch(t *testing.T) {
	for _, fleet := range []int{1, 6, 30, 350} {
		for seed := range uint64(20) {
			for _, fate := range []callFate{refusedCall, brokenOff, silentCall} {
				c := newListCaller(Terms{Seed: seed, Fleet: fleet, AskWithin: 10000})
				c.playUntil(20000)
				from := c.happens([]callFate{fate})
				c.b.ListLost(0, false)
				c.playUntil(from + 10000)
				assert.LessOrEqual(t, c.heard-from, Millis(2300), "fleet of %d, %s: calls at %v", fleet, fate.name, c.calls)
			}
		}
	}
}

// Discovery does the work of every call that is made, also of those given up: where it answers, each process makes one call, and
// configurations in quick succession do not make a call each.
func TestCallsAreSparing(t *testing.T) {
	c := newListCaller(Terms{Fleet: 6, AskWithin: 10000})
	c.playUntil(20000)
	c.happens(nil)
	c.b.ListLost(0, false)
	c.playUntil(c.now + 5000)
	assert.Len(t, c.calls, 1, "one call is enough")
	c.happens(nil)
	for range 12 {
		c.heard = -1
		c.version++
		c.b.ListMoved()
		c.playUntil(c.now + 200)
	}
	assert.LessOrEqual(t, len(c.calls), 3, "a series of 2.4 s makes few calls")
	c.playUntil(c.now + 5000)
	assert.NotEqual(t, Millis(-1), c.heard)
	slow := callFate{lasts: 2400, answers: true}
	c.happens([]callFate{slow, slow, slow, slow})
	c.b.ListLost(0, false)
	c.playUntil(c.now + 9000)
	first := len(c.calls)
	c.happens([]callFate{slow, slow, slow, slow})
	c.b.ListLost(0, false)
	c.playUntil(c.now + 9000)
	assert.Less(t, len(c.calls), first, "a crowded discovery gets fewer calls")
}

// However long no call is answered, only a few are open at a time, and they go on.
func TestOpenCallsAreBounded(t *testing.T) {
	c := newListCaller(Terms{Fleet: 6, AskWithin: 10000})
	c.playUntil(20000)
	silent := make([]callFate, 100)
	for n := range silent {
		silent[n] = silentCall
	}
	from := c.happens(silent)
	c.b.ListLost(0, false)
	c.playUntil(from + 60000)
	for n, at := range c.calls {
		open := 0
		for _, earlier := range c.calls[:n] {
			if earlier+silentCall.lasts > at {
				open++
			}
		}
		assert.Less(t, open, OpenCallsMost)
	}
	assert.Greater(t, len(c.calls), 30)
	assert.LessOrEqual(t, len(c.calls), 60)
}

// An agent that serves one process has no queue of others: a call that it does not answer is soon followed by another.
func TestASoleCallerCallsAgainSoon(t *testing.T) {
	for _, fleet := range []int{1, 350} {
		c := newListCaller(Terms{Fleet: fleet, AskWithin: 125, SoleCaller: true})
		c.playUntil(20000)
		from := c.happens([]callFate{silentCall, silentCall})
		c.b.ListLost(0, false)
		c.playUntil(from + 10000)
		assert.LessOrEqual(t, c.heard-from, furtherSoon+furtherSpacing+500, "fleet of %d: calls at %v", fleet, c.calls)
	}
}

// refusingDiscovery turns the next calls away at once and leaves those after them open.
type refusingDiscovery struct {
	listCaller
	refusals int
}

func (d *refusingDiscovery) Watch() {
	d.calls = append(d.calls, d.now)
	if d.refusals--; d.refusals >= 0 {
		d.schedule(1, func() {
			d.b.SetNow(d.now)
			d.b.ListRefused(1, false)
		})
	}
}

func (d *refusingDiscovery) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		d.schedule(after, func() {
			d.b.SetNow(d.now)
			d.b.TimerFired(1)
		})
	}
}

// Discovery that answered in milliseconds and came back crowded after an outage: a call that it takes in is left its place for as long as
// any queue may take, since what a call cost it before says nothing now. While it was never away the old latency counts.
func TestACallToADiscoveryThatWasAwayKeepsItsPlace(t *testing.T) {
	for refusals, least := range map[int]Millis{faultsInARow + 2: queueWait, 1: furtherSoon} {
		d := &refusingDiscovery{listCaller: listCaller{Outgoing: discardOutgoing{}, eventQueue: eventQueue{now: 1000}}}
		d.b = New(Terms{PullList: true, Fleet: 8, MaxListWait: 1200, Notified: NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}}, d, d.now)
		d.b.ListEnds(false)
		d.b.ListHeard(5)
		d.calls, d.refusals = nil, refusals
		d.b.ListLost(0, false)
		d.playUntil(d.now + 9000)
		open := d.calls[refusals]
		next := d.calls[refusals+1]
		assert.GreaterOrEqual(t, next-open, least, "after %d refusals", refusals)
		if refusals == 1 {
			assert.Less(t, next-open, queueWait)
		}
	}
}
