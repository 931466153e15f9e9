// List events: how the loop handles lists from discovery and the ends of calls. This file owns which lists and changes
// are applied, in the module and outside it, and what is logged about outages. It must never revoke a drain because of
// a list that is older than the drain.
package sidecar

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/clock"
	"github.com/lynxjunction/lynxjunction/logic"
)

type (
	// listReceived is a whole list or a change of it.
	listReceived struct {
		endpointList
		call     int  // number of the call that brought it, fromPusher or fromSibling
		fromDisk bool // the list known at the start, of the start file or of the process before this one
	}
	// discoveryCallEnded is the end of a call, before or after its first list.
	discoveryCallEnded struct {
		call  int
		cause error // a *callError, unless this process itself ended the watch
	}
	// discoveryCallAccepted says that discovery has accepted a call or, with answering, has started to answer it.
	discoveryCallAccepted struct {
		call      int
		answering bool
	}
	// discoveryChanged says that a new configuration was read, with the address of the discovery that it names.
	discoveryChanged struct{ addr string }
)

// handle applies a list or a change. Of one that is older than the current list only drains and removals are applied:
// an older entry must not revoke a drain of which the sidecar was notified. A new watch that starts with an older
// change belongs to a service that has restarted its numbering, and is asked for the whole list; a whole list is
// applied as it is.
func (e listReceived) handle(l *loop) {
	callDuration := l.list.callAge(e.call)
	accepted, first := l.list.acceptFrom(e.call)
	if !e.fromDisk && !accepted {
		return
	}
	older := l.list.isOlder(e) && !(first && e.full)
	applied := false
	defer func() {
		if !applied { // a panic has left a partly applied list, which must not be used
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
		l.log.Info("endpoints left service: draining or removed from the list", zap.Int("count", len(drained)), zap.Strings("first", drained[:min(len(drained), maxLoggedEndpoints)]),
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

// applyEntries applies all entries and removes the endpoints that a whole list does not name. It returns the endpoints
// that were in service until now and no longer are.
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
		if entry.running {
			owns, losers := l.list.owners.take(entry, l.list.entries)
			entry.running = owns
			for _, loser := range losers {
				if e.supersede(l, loser, now) {
					drained = append(drained, loser.id)
				}
			}
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

// supersede takes an endpoint out of service that has lost its address to one that started later. The list still names it.
func (e listReceived) supersede(l *loop, loser listEntry, now time.Time) (drained bool) {
	l.log.Info("endpoint out of service: another one has started at its address", zap.String("endpoint", loser.id), zap.String("addr", loser.addr))
	listed := l.list.listed[logic.EndpointID(loser.id)]
	loser.running = false
	drained = e.applyEntry(l, loser, now)
	l.list.listed[logic.EndpointID(loser.id)] = listed // a whole list may name it later on, or not at all
	return drained
}

// applyEntry applies one entry and reports whether its endpoint was in service until now and no longer is.
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
		if before, known := l.list.entries[id]; known && entry.started > before.started {
			l.upstream.dropIdle(id) // they lead to the process that has gone
		}
		l.upstream.applyListed(id, entry.addr, health == logic.Running)
		l.upstream.setLocality(id, locality{entry.zone, entry.kind, entry.cell})
		l.list.recordEntry(id, entry)
		l.operatorDrains.RecordListed(entry.id)
	}
	l.module.Listed(id, health, l.list.names.Zone([]byte(entry.zone)), l.list.names.Kind([]byte(entry.kind)), entry.cell, entry.weight, entry.started)
	return drained
}

// publish updates the counters and flags that other goroutines read, and notifies the siblings.
func (e listReceived) publish(l *loop) {
	l.counters.lists.Add(1)
	l.counters.listVersion.Store(e.version)
	l.counters.listEndpoints.Store(int64(len(l.list.listed)))
	l.listLoaded.Store(true)
	if !e.fromDisk && e.call != fromSibling {
		l.watchHeard.Store(true)
	}
	l.notifySiblings()
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
		return // a call that was superseded
	}
	l.counters.listCallsEnded.Add(1)
	// While discovery fails for a whole fleet, one line per outage is logged at info level, not one per call.
	level := zap.InfoLevel
	if len(l.list.outage.failed) > 0 {
		level = zap.DebugLevel
	}
	l.list.outage.begin(now)
	l.list.outage.recordFailure(callErr)
	l.log.Log(level, "call to discovery ended", zap.Error(e.cause), zap.Bool("had_told", watchEnded), zap.Float64("lasted_ms", milliseconds(now.Sub(callErr.Began))))
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

// logOutage logs an outage repeatedly while it lasts, so that a process that never reaches discovery again keeps
// reporting it.
func (l *loop) logOutage(now time.Time) {
	if o := &l.list.outage; o.logDue(now) {
		l.log.Warn("no list received from discovery", append(o.fields(now), zap.String("addr", l.list.addr), zap.Int("open_calls", l.list.openCallCount()),
			zap.Int64("version", l.list.version))...)
	}
}

// endOutage ends an outage, and logs and counts it unless the first call was answered.
func (l *loop) endOutage(version int64, answeredIn time.Duration) {
	defer func() { l.list.outage = outage{} }()
	if l.list.outage.isUneventful() {
		return
	}
	now := time.Now()
	l.counters.outageEnded(now.Sub(l.list.outage.began))
	l.log.Info("list received from discovery after an outage", append(l.list.outage.fields(now), zap.Int64("version", version),
		zap.String("addr", l.list.addr), zap.Float64("answered_in_ms", milliseconds(answeredIn)))...)
}

func (e discoveryChanged) handle(l *loop) {
	l.list.reloadedAt = clock.Monotonic()
	l.list.configuredAt = l.list.reloadedAt
	defer l.notifySiblings()
	if l.list.switchTo(e.addr) {
		l.list.outage.begin(time.Now())
		l.list.outage.addrChanged = true
		l.module.DiscoveryMoved()
	}
}
