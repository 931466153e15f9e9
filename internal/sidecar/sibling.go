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
const partMostEntries = 500

// knowledge is what a process was told of endpoints and of discovery.
type knowledge struct {
	endpointList               // the whole list as it stands
	discovery    string        // the address in force
	reloaded     time.Duration // when a new configuration was read last, on the machine's monotonic clock; 0 for never
	following    bool          // a watch is open
	drained      map[logic.EndpointID]drainRecord
	byHand       []hands.Wish // calls by hand that are in force and not in the file that all share
	change       uint64       // of the teller's count
}

// errStill is that the loop did not answer in time.
var errStill = errors.New("the loop stands still")

// knowledge asks the loop for what it was told.
func (l *loop) knowledge(patience time.Duration) (knowledge, error) {
	answer := make(chan knowledge, 1)
	l.postUrgent(asked(func(l *loop) {
		k := knowledge{
			endpointList: l.list.snapshot(), discovery: l.list.addr, reloaded: l.list.reloadedAt, following: l.list.current.isOpen(),
			drained: map[logic.EndpointID]drainRecord{}, change: l.changeCount.Load(), byHand: l.operatorDrains.Wishes(),
		}
		for id, mark := range l.list.drained {
			k.drained[id] = mark
		}
		answer <- k
	}))
	select {
	case k := <-answer:
		return k, nil
	case <-time.After(patience):
		return knowledge{}, errStill
	}
}

// changed tells the siblings that there is news.
func (l *loop) changed() {
	l.changeCount.Add(1)
	if tell := l.onChange.Load(); tell != nil {
		(*tell)()
	}
}

// parts writes knowledge as objects of so many entries at most, in discovery's form; the last of them lacks "more".
func (k knowledge) parts(a *fastjson.Arena, most int) (parts []*fastjson.Value) {
	rest := k.servers
	for {
		some := rest[:min(len(rest), most)]
		rest = rest[len(some):]
		part := encodeList(a, endpointList{version: k.version, servers: some})
		part.Set("discovery", a.NewString(k.discovery))
		part.Set("reloaded_ns", a.NewNumberString(strconv.FormatInt(int64(k.reloaded), 10)))
		part.Set("following", boolean(a, k.following))
		if len(parts) == 0 {
			part.Set("first", a.NewTrue())
			part.Set("drained", k.drainedList(a))
			part.Set("by_hand", k.byHandList(a))
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

func (k knowledge) drainedList(a *fastjson.Arena) *fastjson.Value {
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

func (k knowledge) byHandList(a *fastjson.Arena) *fastjson.Value {
	list := a.NewArray()
	for n, w := range k.byHand {
		o := a.NewObject()
		o.Set("id", a.NewString(w.ID))
		o.Set("out", boolean(a, w.Out))
		o.Set("base", a.NewNumberString(strconv.FormatUint(w.Base, 10)))
		o.Set("at_ns", a.NewNumberString(strconv.FormatInt(int64(w.At), 10)))
		list.SetArrayItem(n, o)
	}
	return list
}

// add takes one more part, and tells whether all have come.
func (k *knowledge) add(part *fastjson.Value) (whole bool, err error) {
	i, err := decodeList(part)
	if err != nil {
		return false, err
	}
	if part.GetBool("first") {
		*k = knowledge{drained: map[logic.EndpointID]drainRecord{}}
		for _, o := range part.GetArray("drained") {
			k.drained[logic.EndpointID(o.GetStringBytes("id"))] = drainRecord{version: o.GetInt64("version"), started: terms.Millis(o, "started_ms")}
		}
		for _, o := range part.GetArray("by_hand") {
			k.byHand = append(k.byHand, hands.Wish{
				ID: string(o.GetStringBytes("id")), Out: o.GetBool("out"), Base: o.GetUint64("base"), At: time.Duration(o.GetInt64("at_ns")),
			})
		}
	}
	k.version, k.full = i.version, true
	k.servers = append(k.servers, i.servers...)
	k.discovery = string(part.GetStringBytes("discovery"))
	k.reloaded = time.Duration(part.GetInt64("reloaded_ns"))
	k.following = part.GetBool("following")
	return !part.GetBool("more"), nil
}

// siblingTold is what another process of this sidecar knows.
type siblingTold struct{ knowledge }

// happen believes a sibling whole if it follows discovery and this process does not, or if both do not and it has the later list.
// Else the own watch counts, and of the sibling's word what takes an endpoint out, or tells of its later start, which must not wait for
// the watch.
func (e siblingTold) handle(l *loop) {
	l.operatorDrains.Hear(e.byHand)
	if e.reloaded > l.list.configuredAt {
		discoveryChanged{e.discovery}.handle(l)
		l.list.reloadedAt, l.list.configuredAt = e.reloaded, e.reloaded
	}
	same := e.discovery == l.list.addr
	l.list.siblingWatches = same && e.following
	switch later := e.version > l.list.version; {
	case same && !l.list.current.isOpen() && e.version >= 0 && e.version != l.list.version && (e.following || later):
		listReceived{endpointList: e.endpointList, call: fromSibling}.handle(l)
		l.list.version = e.version
	default:
		if news := l.list.newsOf(e.knowledge, same && later && l.list.version >= 0); len(news) > 0 {
			listReceived{endpointList: endpointList{version: e.version, servers: news}, call: fromSibling}.handle(l)
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
func (d *discoveryClient) newsOf(k knowledge, later bool) (news []listEntry) {
	named := map[string]bool{}
	for _, theirs := range k.servers {
		named[theirs.id] = true
		ours, known := d.entries[logic.EndpointID(theirs.id)]
		out := known && ours.running && !theirs.running && (later || theirs.started >= ours.started)
		if out || known && theirs.running && theirs.started > ours.started {
			news = append(news, theirs)
		}
	}
	if !later {
		return news
	}
	for id, ours := range d.entries {
		if !named[string(id)] && ours.running {
			ours.running, ours.gone = false, true
			news = append(news, ours)
		}
	}
	return news
}
