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
	watchBeat = 2 * time.Second
	// notifiedAfterEnded is when a change counts as notified that a watch should have told, after the end of that watch.
	notifiedAfterEnded = 2 * time.Second
)

// Faults of watches, by their names in a scenario.
const (
	watchesEnd    = "list-ends"   // a change ends all watches some time later in place of being told; whole lists leave out what drains
	watchesMute   = "list-mute"   // a watch goes on beating and tells no change any more
	watchesSilent = "list-silent" // a watch says nothing any more, and its connection stays open
)

// isWatchFault tells whether a fault is one of watches.
func isWatchFault(what string) bool {
	return what == watchesEnd || what == watchesMute || what == watchesSilent
}

// setWatchFault begins a fault of watches.
func (l *lists) setWatchFault(n int, what string, size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchFaults[n] = watchFault{what, size}
}

// clearWatchFault ends it. A watch that is mute or silent by then stays so.
func (l *lists) clearWatchFault(n int) {
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
func (l *lists) watchFault(what string) (size float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watchFaultLocked(what)
}

func (l *lists) watchFaultLocked(what string) (size float64) {
	for _, f := range l.watchFaults {
		if f.what == what {
			size = max(size, f.size)
		}
	}
	return size
}

// planEnd sets the time at which the watches end that miss a change, unless they are to end for an earlier one. The lock is held.
func (l *lists) planEnd(most time.Duration, version int) {
	if l.nextEnd != nil {
		return
	}
	ended := make(chan struct{})
	l.nextEnd = ended
	share := rand.New(rand.NewPCG(l.rig.s.SeedOf(watchesEnd), uint64(version))).Float64()
	l.rig.later(time.Duration(share*float64(most)), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.nextEnd = nil
		close(ended)
	})
}

// plannedEnd is closed when the watches end that miss a change; nil if they have ended.
func (l *lists) plannedEnd() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextEnd
}

// watch is one call, and what follows its first list if it is a watch.
type watch struct {
	lists   *lists
	sidecar int
	number  int // among the calls of its sidecar that got a list
	to      http.ResponseWriter
	request *http.Request
	after   int     // the version that it has told
	spoke   float64 // when it last said something, in ms
	mute    bool
	silent  bool
}

// newWatch is that of a call whose turn has come.
func (l *lists) newWatch(sidecar int, w http.ResponseWriter, r *http.Request) *watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches[sidecar]++
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = wholeList
	}
	return &watch{lists: l, sidecar: sidecar, number: l.watches[sidecar], to: w, request: r, after: after}
}

// chance draws from 0 to 1 for this watch and a fault, by the seed.
func (w *watch) chance(what string) float64 {
	return rand.New(rand.NewPCG(w.lists.rig.s.SeedOf(what), w.lists.rig.s.SeedOf(fmt.Sprint(w.sidecar, "-", w.number)))).Float64()
}

// serve tells the list, or what changed, and then each change until the watch ends.
func (w *watch) serve() {
	leavesOut := w.lists.watchFault(watchesEnd) > 0
	if leavesOut {
		w.after = wholeList
	}
	t, changed := w.lists.since(w.sidecar, w.after)
	if leavesOut {
		t.leaveOut()
	}
	if !w.tell(t) || w.request.URL.Query().Get("watch") == "" {
		return
	}
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
	for {
		select {
		case <-w.request.Context().Done():
			return
		case <-changed:
			t, changed = w.lists.since(w.sidecar, w.after)
			switch {
			case w.isSilent():
				w.oweAfterSilence()
			case w.lists.watchFault(watchesEnd) > 0:
				w.endInPlaceOfTelling(beat)
				return
			case w.isMute() || len(t.Servers) == 0:
			case !w.tell(t):
				return
			}
		case <-beat.C:
			if !w.isSilent() && !w.beat() {
				return
			}
		}
	}
}

// tell writes a list or a change, and enters what it says as told.
func (w *watch) tell(t telling) bool {
	if json.NewEncoder(w.to).Encode(t) != nil {
		return false
	}
	w.to.(http.Flusher).Flush()
	w.lists.rig.told(w.sidecar, slices.Concat(t.Servers, t.unnamed))
	w.after, w.spoke = t.Version, w.lists.rig.now()
	return true
}

// beat writes the empty line of a watch that has nothing to tell.
func (w *watch) beat() bool {
	if _, err := w.to.Write([]byte("\n")); err != nil {
		return false
	}
	w.to.(http.Flusher).Flush()
	w.spoke = w.lists.rig.now()
	return true
}

// endInPlaceOfTelling goes on beating until the planned end, and breaks the connection off then.
func (w *watch) endInPlaceOfTelling(beat *time.Ticker) {
	for ended := w.lists.plannedEnd(); ended != nil; {
		select {
		case <-w.request.Context().Done():
			return
		case <-beat.C:
			if !w.beat() {
				return
			}
		case <-ended:
			ended = nil
		}
	}
	w.lists.owe(w.sidecar, w.after, notifiedAfterEnded, "a watch ended in place of telling it")
	panic(http.ErrAbortHandler)
}

// isMute tells whether a watch tells no change any more.
func (w *watch) isMute() bool {
	w.mute = w.mute || w.chance(watchesMute) < w.lists.watchFault(watchesMute)
	return w.mute
}

// isSilent tells whether a watch says nothing any more.
func (w *watch) isSilent() bool {
	w.silent = w.silent || w.chance(watchesSilent) < w.lists.watchFault(watchesSilent)
	return w.silent
}

// oweAfterSilence enters what a silent watch misses as told some time after its last word.
func (w *watch) oweAfterSilence() {
	at := w.spoke + float64(notifiedAfterReached.Milliseconds())
	w.lists.owe(w.sidecar, w.after, time.Duration(max(at-w.lists.rig.now(), 0)*float64(time.Millisecond)), "a watch was silent for so long")
}
