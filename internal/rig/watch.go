// Watch: one call to the list service, from the turn that it got to its end. This file owns what a watch says and what it leaves out
// while a fault of watches lasts, and when what it left out counts as notified. What is listed stands in list.go.
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
	heartbeatInterval = 2 * time.Second
	// notifiedAfterEnded is when a change counts as notified that a watch should have told, after the end of that watch.
	notifiedAfterEnded = 2 * time.Second
)

// Faults of watches, by their names in a scenario.
const (
	faultListEnds   = "list-ends"   // a change ends all watches some time later in place of being told; whole lists leave out what drains
	faultListMute   = "list-mute"   // a watch goes on beating and tells no change any more
	faultListSilent = "list-silent" // a watch says nothing any more, and its connection stays open
)

// isWatchFault tells whether a fault is one of watches.
func isWatchFault(what string) bool {
	return what == faultListEnds || what == faultListMute || what == faultListSilent
}

// setWatchFault begins a fault of watches.
func (l *listServer) setWatchFault(n int, what string, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchFaults[n] = watchFault{what, size}
}

// clearWatchFault ends it. A watch that is mute or silent by then stays so.
func (l *listServer) clearWatchFault(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.watchFaults, n)
}

// watchFault is one that lasts. Of two of a kind the larger counts.
type watchFault struct {
	what string
	size float64
}

// watchFault is the size of a fault of watches, 0 while there is none.
func (l *listServer) watchFaultSize(what string) (size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watchFaultSizeLocked(what)
}

func (l *listServer) watchFaultSizeLocked(what string) (size float64) {
	for _, f := range l.watchFaults {
		if f.what == what {
			size = max(size, f.size)
		}
	}
	return size
}

// planEnd sets the time at which the watches end that miss a change, unless they are to end for an earlier one. The lock is held.
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

// plannedEnd is closed when the watches end that miss a change; nil if they have ended.
func (l *listServer) scheduledEnd() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextEnd
}

// watch is one call, and what follows its first list if it is a watch.
type watch struct {
	server      *listServer
	sidecar     int
	number      int // among the calls of its sidecar that got a list
	writer      http.ResponseWriter
	request     *http.Request
	after       int     // the version that it has told
	lastWriteMs float64 // when it last said something, in ms
	mute        bool
	silent      bool
}

// newWatch is that of a call whose turn has come.
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

// chance draws from 0 to 1 for this watch and a fault, by the seed.
func (w *watch) draw(what string) float64 {
	return rand.New(rand.NewPCG(w.server.rig.scenario.SeedOf(what), w.server.rig.scenario.SeedOf(fmt.Sprint(w.sidecar, "-", w.number)))).Float64()
}

// serve tells the list, or what changed, and then each change until the watch ends.
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

// tell writes a list or a change, and enters what it says as told.
func (w *watch) send(t listUpdate) bool {
	if json.NewEncoder(w.writer).Encode(t) != nil {
		return false
	}
	w.writer.(http.Flusher).Flush()
	w.server.rig.recordNotified(w.sidecar, slices.Concat(t.Servers, t.removed))
	w.after, w.lastWriteMs = t.Version, w.server.rig.now()
	return true
}

// beat writes the empty line of a watch that has nothing to tell.
func (w *watch) sendHeartbeat() bool {
	if _, err := w.writer.Write([]byte("\n")); err != nil {
		return false
	}
	w.writer.(http.Flusher).Flush()
	w.lastWriteMs = w.server.rig.now()
	return true
}

// endInPlaceOfTelling goes on beating until the planned end, and breaks the connection off then.
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
	w.server.scheduleNotified(w.sidecar, w.after, notifiedAfterEnded, "a watch ended in place of telling it")
	panic(http.ErrAbortHandler)
}

// isMute tells whether a watch tells no change any more.
func (w *watch) isMute() bool {
	w.mute = w.mute || w.draw(faultListMute) < w.server.watchFaultSize(faultListMute)
	return w.mute
}

// isSilent tells whether a watch says nothing any more.
func (w *watch) isSilent() bool {
	w.silent = w.silent || w.draw(faultListSilent) < w.server.watchFaultSize(faultListSilent)
	return w.silent
}

// oweAfterSilence enters what a silent watch misses as told some time after its last word.
func (w *watch) scheduleNotifiedAfterSilence() {
	at := w.lastWriteMs + float64(notifiedAfterReached.Milliseconds())
	w.server.scheduleNotified(w.sidecar, w.after, time.Duration(max(at-w.server.rig.now(), 0)*float64(time.Millisecond)), "a watch was silent for so long")
}
