// Calls and watches of the discovery stand-in: what a call is sent from the moment that discovery takes it up until it
// ends, what a fault of watches suppresses, and when a sidecar counts as notified of a suppressed change. The list itself
// is kept in list.go.

package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	heartbeatInterval  = 2 * time.Second // of the empty lines in a watch
	notifiedAfterEnded = 2 * time.Second // from the end of a watch until a change that it did not send counts as notified
)

// Faults of watches, under their names in a scenario.
const (
	faultListEnds   = "list-ends"   // a change is not sent but ends all watches later; calls get full lists, without draining endpoints
	faultListMute   = "list-mute"   // a watch still sends heartbeats, but no more changes
	faultListSilent = "list-silent" // a watch sends nothing more, and its connection stays open
)

// isWatchFault reports whether a fault is one of watches.
func isWatchFault(what string) bool {
	return what == faultListEnds || what == faultListMute || what == faultListSilent
}

// setWatchFault begins fault n of watches.
func (l *listServer) setWatchFault(n int, what string, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchFaults[n] = watchFault{what, size}
}

// clearWatchFault ends fault n of watches. A watch that is mute or silent by then stays so.
func (l *listServer) clearWatchFault(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.watchFaults, n)
}

// watchFault is a fault of watches in force. Of two of the same kind the larger size counts.
type watchFault struct {
	what string
	size float64
}

// watchFaultSize returns the size of a kind of fault of watches, 0 while none is in force.
func (l *listServer) watchFaultSize(what string) (size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watchFaultSizeLocked(what)
}

// watchFaultSizeLocked is watchFaultSize with the lock held.
func (l *listServer) watchFaultSizeLocked(what string) (size float64) {
	for _, f := range l.watchFaults {
		if f.what == what {
			size = max(size, f.size)
		}
	}
	return size
}

// scheduleEnd schedules the end of the watches that miss a change, unless their end is already scheduled for an earlier
// change. The delay is drawn from the seed and the list's version, up to maxDelay. The lock is held.
func (l *listServer) scheduleEnd(maxDelay time.Duration, version int) {
	if l.nextEnd != nil {
		return
	}
	ended := make(chan struct{})
	l.nextEnd = ended
	share := rand.New(rand.NewPCG(l.rig.scenario.SeedOf(faultListEnds), uint64(version))).Float64()
	l.rig.afterFunc(time.Duration(share*float64(maxDelay)), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.nextEnd = nil
		close(ended)
	})
}

// scheduledEnd returns a channel that is closed when the watches that missed a change are to end; nil if they have
// already ended.
func (l *listServer) scheduledEnd() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextEnd
}

// watch is one call to discovery: a single answer, or a stream of updates if the call asks to watch.
type watch struct {
	server      *listServer
	sidecar     int
	number      int // of the call, among those of its sidecar that got a list
	writer      http.ResponseWriter
	request     *http.Request
	after       int     // the list's version that the sidecar has
	lastWriteMs float64 // when something was last written to it
	mute        bool    // sends heartbeats but no more changes
	silent      bool    // sends nothing more
}

// newWatch creates the watch of a call that discovery has taken up.
func (l *listServer) newWatch(sidecar int, w http.ResponseWriter, r *http.Request) *watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches[sidecar]++
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = fullList
	}
	return &watch{server: l, sidecar: sidecar, number: l.watches[sidecar], writer: w, request: r, after: after}
}

// draw returns a random number from 0 to 1 that depends on the scenario's seed, the kind of fault, the sidecar and the
// call.
func (w *watch) draw(what string) float64 {
	return rand.New(rand.NewPCG(w.server.rig.scenario.SeedOf(what), w.server.rig.scenario.SeedOf(fmt.Sprint(w.sidecar, "-", w.number)))).Float64()
}

// serve sends the list, or what changed, and if the call is a watch each further change until the watch ends.
func (w *watch) serve() {
	inServiceOnly := w.server.watchFaultSize(faultListEnds) > 0
	if inServiceOnly {
		w.after = fullList
	}
	t, changed := w.server.changesSince(w.sidecar, w.after)
	if inServiceOnly {
		t.keepInService()
	}
	if !w.send(t) || w.request.URL.Query().Get("watch") == "" {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-w.request.Context().Done():
			return
		case <-changed:
			t, changed = w.server.changesSince(w.sidecar, w.after)
			switch {
			case w.isSilent():
				w.scheduleNotifiedAfterSilence()
			case w.server.watchFaultSize(faultListEnds) > 0:
				w.endWithoutUpdate(heartbeat)
				return
			case w.isMute() || len(t.Servers) == 0:
			case !w.send(t):
				return
			}
		case <-heartbeat.C:
			if !w.isSilent() && !w.sendHeartbeat() {
				return
			}
		}
	}
}

// send writes a list or a change and records that the sidecar is notified of it. It returns false if the write failed.
func (w *watch) send(t listUpdate) bool {
	if json.NewEncoder(w.writer).Encode(t) != nil {
		return false
	}
	w.writer.(http.Flusher).Flush()
	w.server.rig.recordNotified(w.sidecar, slices.Concat(t.Servers, t.removed))
	w.after, w.lastWriteMs = t.Version, w.server.rig.now()
	return true
}

// sendHeartbeat writes an empty line, which shows that the watch is alive. It returns false if the write failed.
func (w *watch) sendHeartbeat() bool {
	if _, err := w.writer.Write([]byte("\n")); err != nil {
		return false
	}
	w.writer.(http.Flusher).Flush()
	w.lastWriteMs = w.server.rig.now()
	return true
}

// endWithoutUpdate sends heartbeats until the scheduled end of watches and then closes the connection in the middle of
// the answer. The change that it did not send counts as notified notifiedAfterEnded later.
func (w *watch) endWithoutUpdate(heartbeat *time.Ticker) {
	for ended := w.server.scheduledEnd(); ended != nil; {
		select {
		case <-w.request.Context().Done():
			return
		case <-heartbeat.C:
			if !w.sendHeartbeat() {
				return
			}
		case <-ended:
			ended = nil
		}
	}
	w.server.scheduleNotified(w.sidecar, w.after, notifiedAfterEnded, "a watch ended without sending it")
	panic(http.ErrAbortHandler)
}

// isMute reports whether the watch sends no more changes. Once drawn as mute it stays so.
func (w *watch) isMute() bool {
	w.mute = w.mute || w.draw(faultListMute) < w.server.watchFaultSize(faultListMute)
	return w.mute
}

// isSilent reports whether the watch sends nothing more. Once drawn as silent it stays so.
func (w *watch) isSilent() bool {
	w.silent = w.silent || w.draw(faultListSilent) < w.server.watchFaultSize(faultListSilent)
	return w.silent
}

// scheduleNotifiedAfterSilence makes the changes that a silent watch does not send count as notified notifiedAfterReached
// after the last write to it, by when the sidecar must have given the watch up.
func (w *watch) scheduleNotifiedAfterSilence() {
	at := w.lastWriteMs + float64(notifiedAfterReached.Milliseconds())
	w.server.scheduleNotified(w.sidecar, w.after, time.Duration(max(at-w.server.rig.now(), 0)*float64(time.Millisecond)), "a watch was silent beyond its time limit")
}
