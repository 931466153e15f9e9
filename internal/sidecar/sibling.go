// This file owns the state of endpoints and discovery that sibling processes (the processes that form one sidecar during an upgrade)
// share: a change of which one of them was notified counts as notified to the sidecar. It owns the content of the updates, their
// encoding on the connection between the processes, and the rules by which a received state is merged. Each process sends its whole
// state whenever that changes, so that a lost or repeated update does no harm. Invariant: an update from a sibling does not count as
// one from discovery, because a process that takes over needs a watch of its own.
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

// fromSibling stands in place of a call's number for lists that come from another process of this sidecar.
const fromSibling = -1

// maxPartEntries bounds the endpoints in one line of an update, so that a list of any length stays within the limit of a line.
const maxPartEntries = 500

// sharedState is what a process knows of endpoints and of discovery, as shared with its siblings.
type sharedState struct {
	endpointList                // the whole current list
	discovery     string        // address of discovery in use
	reloaded      time.Duration // time of the last configuration reload, on the machine's monotonic clock; 0 for never
	following     bool          // a watch is open
	drained       map[logic.EndpointID]drainRecord
	pendingDrains []hands.PendingChange // operator drains and undrains in force that are not in the processes' common file yet
	change        uint64                // the sender's changeCount; not sent
}

// errLoopStalled reports that the event loop did not answer in time.
var errLoopStalled = errors.New("event loop did not answer in time")

// sharedState returns the loop's current state. It waits at most for timeout, and then returns errLoopStalled.
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

// notifySiblings records a change of the shared state and has it sent to the siblings.
func (l *loop) notifySiblings() {
	l.changeCount.Add(1)
	if notify := l.onChange.Load(); notify != nil {
		(*notify)()
	}
}

// parts encodes the state as JSON objects of at most maxEntries endpoints each, in discovery's format. All but the last have the
// member "more", and the first has the member "first" and what is sent only once.
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

// boolean returns v as a JSON value.
func boolean(a *fastjson.Arena, v bool) *fastjson.Value {
	if v {
		return a.NewTrue()
	}
	return a.NewFalse()
}

// drainedList encodes the drain records.
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

// pendingDrainList encodes the operator drains that are not in the file yet.
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

// addPart decodes and adds one part, and reports whether the state is complete. A part with "first" discards what was added before.
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

// siblingUpdate is the event of a complete state received from another process of this sidecar.
type siblingUpdate struct{ sharedState }

// handle merges the sibling's state. The sibling's list replaces the own one if the sibling has a watch and this process has none, or
// if neither has one and the sibling's list is later; both must use the same discovery. Otherwise the own watch decides, and only
// those changes are applied that must not wait for it: endpoints that drain, are gone or have restarted (see urgentChanges).
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

// urgentChanges returns the changes in a sibling's state that must not wait for the own watch: endpoints known here that drain, are
// gone or have restarted. later says that the sibling's list is later than the own one. If it is not, an endpoint that restarted later
// according to the own list is not drained, and one that the sibling's list lacks does not count as gone.
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
