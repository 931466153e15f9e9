// Sibling: what the processes that are one sidecar during an upgrade tell each other of endpoints and of discovery, since what one of
// them was told counts as told to the sidecar. Each tells all that it knows whenever that changes, so that a message that is lost or
// comes twice does no harm. This file owns what is told, its form on the line between them, and which part of it is believed. It must
// never take for told by discovery what a sibling tells: who takes over needs a watch of its own.
package sidecar

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

// fromSibling is the number of no call: that of lists which another process of this sidecar tells.
const fromSibling = -1

// partMostEntries bounds the entries in one line that a sibling tells, so that no list is too long for a line.
const maxPartEntries = 500

// knowledge is what a process was told of endpoints and of discovery.
type sharedState struct {
	endpointList                // the whole list as it stands
	discovery     string        // the address in force
	reloaded      time.Duration // when a new configuration was read last, on the machine's monotonic clock; 0 for never
	following     bool          // a watch is open
	drained       map[logic.EndpointID]drainRecord
	pendingDrains []hands.PendingChange // calls by hand that are in force and not in the file that all share
	change        uint64                // of the teller's count
}

// errStill is that the loop did not answer in time.
var errLoopStalled = errors.New("the loop stands still")

// knowledge asks the loop for what it was told.
func (l *loop) sharedState(timeout time.Duration) (sharedState, error) {
	answer := make(chan sharedState, 1)
	l.postUrgent(loopCall(func(l *loop) {
		k := sharedState{
			endpointList: l.list.snapshot(), discovery: l.list.addr, reloaded: l.list.reloadedAt, following: l.list.current.isOpen(),
			drained: map[logic.EndpointID]drainRecord{}, change: l.changeCount.Load(), pendingDrains: l.operatorDrains.Pending(),
		}
		for id, mark := range l.list.drained {
			k.drained[id] = mark
		}
		answer <- k
	}))
	select {
	case k := <-answer:
		return k, nil
	case <-time.After(timeout):
		return sharedState{}, errLoopStalled
	}
}

// changed tells the siblings that there is news.
func (l *loop) notifySiblings() {
	l.changeCount.Add(1)
	if notify := l.onChange.Load(); notify != nil {
		(*notify)()
	}
}

// parts writes knowledge as objects of so many entries at most, in discovery's form; the last of them lacks "more".
func (k sharedState) parts(a *fastjson.Arena, maxEntries int) (parts []*fastjson.Value) {
	rest := k.servers
	for {
		entries := rest[:min(len(rest), maxEntries)]
		rest = rest[len(entries):]
		part := encodeList(a, endpointList{version: k.version, servers: entries})
		part.Set("discovery", a.NewString(k.discovery))
		part.Set("reloaded_ns", a.NewNumberString(strconv.FormatInt(int64(k.reloaded), 10)))
		part.Set("following", boolean(a, k.following))
		if len(parts) == 0 {
			part.Set("first", a.NewTrue())
			part.Set("drained", k.drainedList(a))
			part.Set("by_hand", k.pendingDrainList(a))
		}
		if parts = append(parts, part); len(rest) == 0 {
			return parts
		}
		part.Set("more", a.NewTrue())
	}
}

func boolean(a *fastjson.Arena, v bool) *fastjson.Value {
	if v {
		return a.NewTrue()
	}
	return a.NewFalse()
}

func (k sharedState) drainedList(a *fastjson.Arena) *fastjson.Value {
	list, n := a.NewArray(), 0
	for id, mark := range k.drained {
		o := a.NewObject()
		o.Set("id", a.NewString(string(id)))
		o.Set("version", a.NewNumberString(strconv.FormatInt(mark.version, 10)))
		o.Set("started_ms", a.NewNumberFloat64(float64(mark.started)))
		list.SetArrayItem(n, o)
		n++
	}
	return list
}

func (k sharedState) pendingDrainList(a *fastjson.Arena) *fastjson.Value {
	list := a.NewArray()
	for n, w := range k.pendingDrains {
		o := a.NewObject()
		o.Set("id", a.NewString(w.ID))
		o.Set("out", boolean(a, w.Drained))
		o.Set("base", a.NewNumberString(strconv.FormatUint(w.BaseSerial, 10)))
		o.Set("at_ns", a.NewNumberString(strconv.FormatInt(int64(w.ReceivedAt), 10)))
		list.SetArrayItem(n, o)
	}
	return list
}

// add takes one more part, and tells whether all have come.
func (k *sharedState) addPart(part *fastjson.Value) (complete bool, err error) {
	list, err := decodeList(part)
	if err != nil {
		return false, err
	}
	if part.GetBool("first") {
		*k = sharedState{drained: map[logic.EndpointID]drainRecord{}}
		for _, o := range part.GetArray("drained") {
			k.drained[logic.EndpointID(o.GetStringBytes("id"))] = drainRecord{version: o.GetInt64("version"), started: terms.Millis(o, "started_ms")}
		}
		for _, o := range part.GetArray("by_hand") {
			k.pendingDrains = append(k.pendingDrains, hands.PendingChange{
				ID: string(o.GetStringBytes("id")), Drained: o.GetBool("out"), BaseSerial: o.GetUint64("base"), ReceivedAt: time.Duration(o.GetInt64("at_ns")),
			})
		}
	}
	k.version, k.full = list.version, true
	k.servers = append(k.servers, list.servers...)
	k.discovery = string(part.GetStringBytes("discovery"))
	k.reloaded = time.Duration(part.GetInt64("reloaded_ns"))
	k.following = part.GetBool("following")
	return !part.GetBool("more"), nil
}

// siblingTold is what another process of this sidecar knows.
type siblingUpdate struct{ sharedState }

// happen believes a sibling whole if it follows discovery and this process does not, or if both do not and it has the later list.
// Else the own watch counts, and of the sibling's word what takes an endpoint out, or tells of its later start, which must not wait for
// the watch.
func (e siblingUpdate) handle(l *loop) {
	l.operatorDrains.MergePending(e.pendingDrains)
	if e.reloaded > l.list.configuredAt {
		discoveryChanged{e.discovery}.handle(l)
		l.list.reloadedAt, l.list.configuredAt = e.reloaded, e.reloaded
	}
	sameDiscovery := e.discovery == l.list.addr
	l.list.siblingWatches = sameDiscovery && e.following
	switch later := e.version > l.list.version; {
	case sameDiscovery && !l.list.current.isOpen() && e.version >= 0 && e.version != l.list.version && (e.following || later):
		listReceived{endpointList: e.endpointList, call: fromSibling}.handle(l)
		l.list.version = e.version
	default:
		if changes := l.list.urgentChanges(e.sharedState, sameDiscovery && later && l.list.version >= 0); len(changes) > 0 {
			listReceived{endpointList: endpointList{version: e.version, servers: changes}, call: fromSibling}.handle(l)
		}
	}
	now := time.Now()
	for id, mark := range e.drained {
		if !l.list.entries[id].running && mark.version > l.list.drained[id].version {
			l.list.recordDrain(id, mark.started, mark.version, now)
		}
	}
}

// newsOf is what a sibling knows of endpoints that are known here and must not wait: that they drain, are gone or have started anew.
// Unless its list is later than ours, one that started later by our list is not taken out by its word, and one that it lacks is not gone.
func (d *discoveryClient) urgentChanges(k sharedState, later bool) (changes []listEntry) {
	listed := map[string]bool{}
	for _, theirs := range k.servers {
		listed[theirs.id] = true
		ours, known := d.entries[logic.EndpointID(theirs.id)]
		drained := known && ours.running && !theirs.running && (later || theirs.started >= ours.started)
		if drained || known && theirs.running && theirs.started > ours.started {
			changes = append(changes, theirs)
		}
	}
	if !later {
		return changes
	}
	for id, ours := range d.entries {
		if !listed[string(id)] && ours.running {
			ours.running, ours.gone = false, true
			changes = append(changes, ours)
		}
	}
	return changes
}
