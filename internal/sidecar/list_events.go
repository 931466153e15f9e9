// List events: what the loop makes of discovery's words, or of their end. This file owns which lists and changes are booked, in the module
// and beside it, and what is logged of outages. It must never take back a drain for a word from before it.
package sidecar

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/clock"
	"github.com/lynxjunction/lynxjunction/logic"
)

type (
	listing struct {
		inventory
		watch    int
		fromDisk bool
	}
	listLost struct {
		watch int
		cause error // a *callError, unless the process itself gave the watch up
	}
	listReached struct { // discovery has taken a call in, or begins to answer it
		watch     int
		answering bool
	}
	moved struct{ discovery string } // the configuration names another
)

// happen books a list or a change. In one that is older than what was told only what takes an endpoint out counts: a
// drain that was told must not be undone by a word from before it. A new watch that begins with older changes is that of a
// service which counts anew, and is asked for all it has; a whole list says that by itself.
func (e listing) handle(l *loop) {
	took := l.list.age(e.watch)
	believed, first := l.list.believes(e.watch)
	if !e.fromDisk && !believed {
		return
	}
	older := l.list.older(e) && !(first && e.full)
	whole := false
	defer func() {
		if !whole { // a panic between the list's start and its end: half of it is no list to go by
			l.list.again()
			l.module.WatchEnded(0, false)
		}
	}()
	e.full = e.full && !older
	out := e.bookEntries(l, older)
	if !older && (e.fromDisk || e.watch == l.list.current.number) {
		l.list.version = e.version
	}
	if first && !older || e.watch == unasked && !e.fromDisk {
		l.endOutage(e.version, took)
	}
	if len(out) > 0 {
		l.log.Info("endpoints drain or are gone", zap.Int("count", len(out)), zap.Strings("first", out[:min(len(out), maxLoggedEndpoints)]),
			zap.Int64("version", e.version), zap.Bool("whole_list", e.full), zap.Bool("from_sibling", e.watch == fromSibling))
	}
	l.upstream.share(len(l.list.named))
	l.module.ListEnds(e.fromDisk)
	e.publish(l)
	switch whole = true; {
	case first && older:
		l.list.again()
		l.module.ListStale()
	case first:
		l.module.ListReceived(millis(took))
	}
}

// bookEntries books all entries, and what a whole list leaves out, and returns the endpoints that were in service until now.
func (e listing) bookEntries(l *loop, older bool) (out []string) {
	now := time.Now()
	if e.full {
		l.module.ListStarts()
		l.list.forgetAll()
	}
	l.list.forgetDrains(now)
	for _, s := range e.servers {
		if older && s.running {
			continue
		}
		if e.bookEntry(l, s, now) {
			out = append(out, s.id)
		}
	}
	if !e.full {
		return out
	}
	for _, id := range l.list.missing(e.version, now) {
		out = append(out, string(id))
		l.upstream.drop(id)
	}
	return out
}

// bookEntry books one entry, and tells whether it takes out an endpoint that was in service.
func (e listing) bookEntry(l *loop, s entry, now time.Time) (out bool) {
	id := logic.EndpointID(s.id)
	if l.list.stillDrains(s, e.version) {
		s.running = false
	} else if !s.running {
		l.list.drains(id, s.started, e.version, now)
	}
	health := logic.NotRunning
	if s.running && l.list.known(id, s.addr) {
		health = logic.Running
	}
	out = health != logic.Running && l.list.entries[id].running
	if s.gone {
		health = logic.Gone
		l.upstream.drop(id)
		l.list.drop(id)
	} else {
		l.upstream.list(id, s.addr, health == logic.Running)
		l.upstream.stands(id, s.zone, s.kind)
		l.list.mark(id, s)
		l.operatorDrains.Listed(s.id)
	}
	l.module.Listed(id, health, l.list.zones.Zone([]byte(s.zone)), l.list.zones.Kind([]byte(s.kind)), s.cell, s.weight, s.started)
	return out
}

// publish leaves for others what a list changed.
func (e listing) publish(l *loop) {
	l.counters.lists.Add(1)
	l.counters.listVersion.Store(e.version)
	l.counters.endpoints.Store(int64(len(l.list.named)))
	l.listLoaded.Store(true)
	if !e.fromDisk && e.watch != fromSibling {
		l.watchHeard.Store(true)
	}
	l.changed()
}

func (e listReached) handle(l *loop) {
	if call, open := l.list.calls[e.watch]; open && call.moves == l.list.moves {
		l.module.ListCallAccepted(e.answering)
	}
}

func (e listLost) handle(l *loop) {
	now := time.Now()
	call, open := l.list.calls[e.watch]
	delete(l.list.calls, e.watch)
	ended := e.watch == l.list.current.number
	var failed *callError
	if !errors.As(e.cause, &failed) {
		failed = &callError{Addr: l.list.addr, Began: now, Cause: e.cause}
	}
	switch {
	case ended:
		l.list.current.end()
	case open && call.moves == l.list.moves:
		l.counters.listCallsFailed[failed.Stage].Add(1)
	case e.watch == l.list.before.number:
		l.list.before.end()
		if failed.orderly() {
			l.module.EarlierWatchEnded()
		}
		return
	default:
		return // no word of it counts any more
	}
	l.counters.listLost.Add(1)
	// While discovery has no answer for a whole fleet, one line tells it, not one for each call.
	level := zap.InfoLevel
	if len(l.list.outage.failed) > 0 {
		level = zap.DebugLevel
	}
	l.list.outage.begin(now)
	l.list.outage.fail(failed)
	l.log.Log(level, "watch ended", zap.Error(e.cause), zap.Bool("had_told", ended), zap.Float64("lasted_ms", milliseconds(now.Sub(failed.Began))))
	switch {
	case ended:
		l.module.WatchEnded(millis(failed.silentFor()), failed.orderly())
	case failed.refused():
		l.counters.listCallsRefused.Add(1)
		l.module.ListCallRefused(millis(failed.Took), l.list.takenIn(now))
	case failed.unreachable():
		l.module.DiscoveryUnreachable(millis(failed.Took))
	default:
		l.module.ListCallFailed()
	}
}

// logOutage tells of an outage that lasts: a process that never hears discovery again must not go silent about it.
func (l *loop) logOutage(now time.Time) {
	if o := &l.list.outage; o.logDue(now) {
		l.log.Warn("discovery has told no list", append(o.fields(now), zap.String("addr", l.list.addr), zap.Int("open_calls", l.list.openCalls()),
			zap.Int64("version", l.list.version))...)
	}
}

// endOutage logs and counts what went before a list, if discovery was not heard for a while.
func (l *loop) endOutage(version int64, took time.Duration) {
	defer func() { l.list.outage = outage{} }()
	if l.list.outage.plain() {
		return
	}
	now := time.Now()
	l.counters.outageEnded(now.Sub(l.list.outage.began))
	l.log.Info("the list is heard again", append(l.list.outage.fields(now), zap.Int64("version", version),
		zap.String("addr", l.list.addr), zap.Float64("answered_in_ms", milliseconds(took)))...)
}

func (e moved) handle(l *loop) {
	l.list.reloaded = clock.Monotonic()
	l.list.configured = l.list.reloaded
	defer l.changed()
	if l.list.move(e.discovery) {
		l.list.outage.begin(time.Now())
		l.list.outage.moved = true
		l.module.DiscoveryMoved()
	}
}
