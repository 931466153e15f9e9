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
	listReceived struct {
		endpointList
		call     int
		fromDisk bool
	}
	discoveryCallEnded struct {
		call  int
		cause error // a *callError, unless the process itself gave the watch up
	}
	discoveryCallAccepted struct { // discovery has taken a call in, or begins to answer it
		call      int
		answering bool
	}
	discoveryChanged struct{ addr string } // the configuration names another
)

// happen books a list or a change. In one that is older than what was told only what takes an endpoint out counts: a
// drain that was told must not be undone by a word from before it. A new watch that begins with older changes is that of a
// service which counts anew, and is asked for all it has; a whole list says that by itself.
func (e listReceived) handle(l *loop) {
	callDuration := l.list.callAge(e.call)
	accepted, first := l.list.acceptFrom(e.call)
	if !e.fromDisk && !accepted {
		return
	}
	older := l.list.isOlder(e) && !(first && e.full)
	applied := false
	defer func() {
		if !applied { // a panic between the list's start and its end: half of it is no list to go by
			l.list.requestWholeList()
			l.module.WatchEnded(0, false)
		}
	}()
	e.full = e.full && !older
	drained := e.applyEntries(l, older)
	if !older && (e.fromDisk || e.call == l.list.current.call) {
		l.list.version = e.version
	}
	if first && !older || e.call == fromPusher && !e.fromDisk {
		l.endOutage(e.version, callDuration)
	}
	if len(drained) > 0 {
		l.log.Info("endpoints drain or are gone", zap.Int("count", len(drained)), zap.Strings("first", drained[:min(len(drained), maxLoggedEndpoints)]),
			zap.Int64("version", e.version), zap.Bool("whole_list", e.full), zap.Bool("from_sibling", e.call == fromSibling))
	}
	l.upstream.limitIdle(len(l.list.listed))
	l.module.ListEnds(e.fromDisk)
	e.publish(l)
	switch applied = true; {
	case first && older:
		l.list.requestWholeList()
		l.module.ListStale()
	case first:
		l.module.ListReceived(toMillis(callDuration))
	}
}

// bookEntries books all entries, and what a whole list leaves out, and returns the endpoints that were in service until now.
func (e listReceived) applyEntries(l *loop, older bool) (drained []string) {
	now := time.Now()
	if e.full {
		l.module.ListStarts()
		l.list.markAllUnlisted()
	}
	l.list.expireDrains(now)
	for _, entry := range e.servers {
		if older && entry.running {
			continue
		}
		if e.applyEntry(l, entry, now) {
			drained = append(drained, entry.id)
		}
	}
	if !e.full {
		return drained
	}
	for _, id := range l.list.removeUnlisted(e.version, now) {
		drained = append(drained, string(id))
		l.upstream.remove(id)
	}
	return drained
}

// bookEntry books one entry, and tells whether it takes out an endpoint that was in service.
func (e listReceived) applyEntry(l *loop, entry listEntry, now time.Time) (drained bool) {
	id := logic.EndpointID(entry.id)
	if l.list.stillDrained(entry, e.version) {
		entry.running = false
	} else if !entry.running {
		l.list.recordDrain(id, entry.started, e.version, now)
	}
	health := logic.NotRunning
	if entry.running && l.list.hasAddr(id, entry.addr) {
		health = logic.Running
	}
	drained = health != logic.Running && l.list.entries[id].running
	if entry.gone {
		health = logic.Gone
		l.upstream.remove(id)
		l.list.forget(id)
	} else {
		l.upstream.applyListed(id, entry.addr, health == logic.Running)
		l.upstream.setLocality(id, entry.zone, entry.kind)
		l.list.recordEntry(id, entry)
		l.operatorDrains.Listed(entry.id)
	}
	l.module.Listed(id, health, l.list.names.Zone([]byte(entry.zone)), l.list.names.Kind([]byte(entry.kind)), entry.cell, entry.weight, entry.started)
	return drained
}

// publish leaves for others what a list changed.
func (e listReceived) publish(l *loop) {
	l.counters.lists.Add(1)
	l.counters.listVersion.Store(e.version)
	l.counters.listEndpoints.Store(int64(len(l.list.listed)))
	l.listLoaded.Store(true)
	if !e.fromDisk && e.call != fromSibling {
		l.watchHeard.Store(true)
	}
	l.changed()
}

func (e discoveryCallAccepted) handle(l *loop) {
	if call, open := l.list.calls[e.call]; open && call.generation == l.list.generation {
		l.module.ListCallAccepted(e.answering)
	}
}

func (e discoveryCallEnded) handle(l *loop) {
	now := time.Now()
	call, open := l.list.calls[e.call]
	delete(l.list.calls, e.call)
	watchEnded := e.call == l.list.current.call
	var callErr *callError
	if !errors.As(e.cause, &callErr) {
		callErr = &callError{Addr: l.list.addr, Began: now, Cause: e.cause}
	}
	switch {
	case watchEnded:
		l.list.current.close()
	case open && call.generation == l.list.generation:
		l.counters.listCallsFailed[callErr.Stage].Add(1)
	case e.call == l.list.previous.call:
		l.list.previous.close()
		if callErr.endedByService() {
			l.module.EarlierWatchEnded()
		}
		return
	default:
		return // no word of it counts any more
	}
	l.counters.listCallsEnded.Add(1)
	// While discovery has no answer for a whole fleet, one line tells it, not one for each call.
	level := zap.InfoLevel
	if len(l.list.outage.failed) > 0 {
		level = zap.DebugLevel
	}
	l.list.outage.begin(now)
	l.list.outage.recordFailure(callErr)
	l.log.Log(level, "watch ended", zap.Error(e.cause), zap.Bool("had_told", watchEnded), zap.Float64("lasted_ms", milliseconds(now.Sub(callErr.Began))))
	switch {
	case watchEnded:
		l.module.WatchEnded(toMillis(callErr.silentFor()), callErr.endedByService())
	case callErr.refused():
		l.counters.listCallsRefused.Add(1)
		l.module.ListCallRefused(toMillis(callErr.Duration), l.list.hasAcceptedCall(now))
	case callErr.unreachable():
		l.module.DiscoveryUnreachable(toMillis(callErr.Duration))
	default:
		l.module.ListCallFailed()
	}
}

// logOutage tells of an outage that lasts: a process that never hears discovery again must not go silent about it.
func (l *loop) logOutage(now time.Time) {
	if o := &l.list.outage; o.logDue(now) {
		l.log.Warn("discovery has told no list", append(o.fields(now), zap.String("addr", l.list.addr), zap.Int("open_calls", l.list.openCallCount()),
			zap.Int64("version", l.list.version))...)
	}
}

// endOutage logs and counts what went before a list, if discovery was not heard for a while.
func (l *loop) endOutage(version int64, answeredIn time.Duration) {
	defer func() { l.list.outage = outage{} }()
	if l.list.outage.isUneventful() {
		return
	}
	now := time.Now()
	l.counters.outageEnded(now.Sub(l.list.outage.began))
	l.log.Info("the list is heard again", append(l.list.outage.fields(now), zap.Int64("version", version),
		zap.String("addr", l.list.addr), zap.Float64("answered_in_ms", milliseconds(answeredIn)))...)
}

func (e discoveryChanged) handle(l *loop) {
	l.list.reloadedAt = clock.Monotonic()
	l.list.configuredAt = l.list.reloadedAt
	defer l.changed()
	if l.list.switchTo(e.addr) {
		l.list.outage.begin(time.Now())
		l.list.outage.addrChanged = true
		l.module.DiscoveryMoved()
	}
}
