// Package hands owns what staff said of endpoints: which are out by hand, which ids were ever listed, and the small file in
// which both outlast the process. It must never decide where an exchange goes: it tells its user, who tells the module; nor
// may it say that a ban is kept when it is not, nor hold a lock that a figure or a health check needs while it waits for a
// disk. One goroutine, Run, does all that the disk is asked for; calls that come while it writes go into its next write
// together (group commit: DeWitt et al., Implementation Techniques for Main Memory Database Systems, SIGMOD 1984, section 4).
package hands

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/clock"
)

const (
	MaxFileBytes       = 1 << 20                // bytes of the file
	maxListed          = 4096                   // ids once listed that are known
	pollInterval       = 25 * time.Millisecond  // between two looks at what the other process of an upgrade wrote
	minSaveInterval    = 250 * time.Millisecond // between two savings of listed ids, at the least
	saveIntervalFactor = 10                     // a saving of listed ids waits for so many times what the last write took
	retryInterval      = 250 * time.Millisecond // after a write that failed
)

var (
	ErrNeverListed = errors.New("no such endpoint was ever listed")
	ErrNotSaved    = errors.New("the file could not be written")
	ErrNotSavedYet = errors.New("the file is not written yet: call again")
)

// Hands are read and changed from any goroutine.
type DrainStore struct {
	OnChange func(id string, out bool) // of each change in force, in order; must not wait. Set before Run
	log      *zap.Logger
	file     *file // nil for memory only
	wake     chan struct{}

	mu            sync.Mutex // held for memory only, never over the disk
	drained       map[string]bool
	saved         record
	pending       map[string]pendingEntry // calls in force here and not yet in the file
	queue         []*call
	listed        map[string]bool
	listedOrder   []string // of ever, the first listed first
	listedUnsaved bool     // ids listed since the last write
	fileRead      bool     // the file was there and could be read

	newlyListedMu sync.Mutex
	newlyListed   []string // listed, and not folded into ever yet

	// Of Run alone.
	fileDamaged     bool
	saveAt, retryAt time.Time
}

// wish is the latest call by hand for one id.
type pendingEntry struct {
	drained       bool
	baseSerial    uint64 // the file's word on the id when the call came
	callerWaiting bool   // its caller still waits; otherwise a later word in the file ends it
	receivedAt    time.Duration
}

// Wish is a call by hand that is in force and not in the file, as processes of one sidecar tell it each other: a disk that fails must not
// keep it from one of them.
type PendingChange struct {
	ID         string
	Drained    bool
	BaseSerial uint64        // the file's word on the id when the call came
	ReceivedAt time.Duration // when it came, on the machine's monotonic clock
}

// Wishes are the calls in force that the file lacks, by id.
func (h *DrainStore) Pending() (list []PendingChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		w := h.pending[id]
		list = append(list, PendingChange{ID: id, Drained: w.drained, BaseSerial: w.baseSerial, ReceivedAt: w.receivedAt})
	}
	return list
}

// Hear puts in force what another process was told by hand, unless a later call is known here or stands in the file.
func (h *DrainStore) MergePending(list []PendingChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range list {
		own, exists := h.pending[w.ID]
		if exists && own.receivedAt >= w.ReceivedAt || h.saved.changeSerials[w.ID] > w.BaseSerial {
			continue
		}
		h.addListed(w.ID)
		h.pending[w.ID] = pendingEntry{drained: w.Drained, baseSerial: w.BaseSerial, callerWaiting: exists && own.callerWaiting && own.drained == w.Drained, receivedAt: w.ReceivedAt}
		h.apply(w.ID, w.Drained)
	}
}

type call struct {
	id        string
	drained   bool
	unknownID bool // not known here when it came; the other process may have met it
	result    chan error
}

// New reads what the process before this one left in dir; "" keeps all in memory.
func New(dir string, log *zap.Logger) *DrainStore {
	h := &DrainStore{OnChange: func(string, bool) {}, log: log, drained: map[string]bool{}, pending: map[string]pendingEntry{}, listed: map[string]bool{},
		wake: make(chan struct{}, 1)}
	if dir != "" {
		h.file = newFile(dir)
		h.reload()
	}
	return h
}

// Listed remembers an id. It never waits for whoever waits for the disk.
func (h *DrainStore) RecordListed(id string) {
	h.newlyListedMu.Lock()
	defer h.newlyListedMu.Unlock()
	if h.newlyListed = append(h.newlyListed, id); len(h.newlyListed) > maxListed {
		h.newlyListed = h.newlyListed[1:]
	}
}

func (h *DrainStore) mergeNewlyListed() {
	h.newlyListedMu.Lock()
	ids := h.newlyListed
	h.newlyListed = nil
	h.newlyListedMu.Unlock()
	for _, id := range ids {
		h.addListed(id)
	}
}

// know keeps an id; beyond the bound the oldest that is not out is forgotten.
func (h *DrainStore) addListed(id string) {
	if h.listed[id] {
		return
	}
	h.listed[id], h.listedUnsaved = true, true
	h.listedOrder = append(h.listedOrder, id)
	if len(h.listedOrder) > maxListed {
		if n := slices.IndexFunc(h.listedOrder, h.evictable); n >= 0 {
			delete(h.listed, h.listedOrder[n])
			h.listedOrder = slices.Delete(h.listedOrder, n, n+1)
		}
	}
}

// idle tells whether neither a ban nor a call that the file lacks hangs on an id.
func (h *DrainStore) evictable(id string) bool {
	_, pending := h.pending[id]
	return !pending && !h.drained[id] && !h.saved.drained[id]
}

// Bans are those in force, sorted.
func (h *DrainStore) Drained() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.drained))
}

// All are the bans and the ids once listed.
func (h *DrainStore) Snapshot() (drained, listed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mergeNewlyListed()
	return slices.Sorted(maps.Keys(h.drained)), slices.Clone(h.listedOrder)
}

// Inherit takes over what the process before this one says, beside what the file says: either may be lost.
func (h *DrainStore) Restore(drained, listed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range listed {
		h.addListed(id)
	}
	if !h.fileRead {
		for _, id := range drained {
			h.addListed(id)
			h.setPending(id, true, false)
		}
	}
}

// Change takes a call by hand: in force here at once if the id is known, then kept. nil says that it is on the disk. On
// ErrNotKept and ErrNotYet it is in force, might not outlast the process, and is tried again until the file has it or has a
// later word on the id. ErrNotYet comes when ctx ends.
func (h *DrainStore) SetDrain(ctx context.Context, id string, drained bool) error {
	h.mu.Lock()
	h.mergeNewlyListed()
	known := h.listed[id]
	if known {
		h.setPending(id, drained, true)
	}
	if h.file == nil {
		delete(h.pending, id)
		h.mu.Unlock()
		if !known {
			return ErrNeverListed
		}
		return nil
	}
	c := &call{id: id, drained: drained, unknownID: !known, result: make(chan error, 1)}
	h.queue = append(h.queue, c)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case err := <-c.result:
		return err
	default:
	}
	h.queue = slices.DeleteFunc(h.queue, func(o *call) bool { return o == c })
	if w, ok := h.pending[id]; ok && w.drained == drained {
		w.callerWaiting = false
		h.pending[id] = w
	}
	return ErrNotSavedYet
}

// wish puts a call in force; the file follows.
func (h *DrainStore) setPending(id string, drained, callerWaiting bool) {
	h.pending[id] = pendingEntry{drained: drained, baseSerial: h.saved.changeSerials[id], callerWaiting: callerWaiting, receivedAt: clock.Monotonic()}
	h.apply(id, drained)
}

func (h *DrainStore) apply(id string, drained bool) {
	if h.drained[id] == drained {
		return
	}
	if drained {
		h.drained[id] = true
	} else {
		delete(h.drained, id)
	}
	h.OnChange(id, drained)
}

// Run looks after the file until ctx ends, and then writes once more what is not in it.
func (h *DrainStore) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.retryAt = time.Time{}
			h.Sync(time.Now())
			return
		case <-h.wake:
		case <-ticker.C:
		}
		h.Sync(time.Now())
	}
}

// Look is one round of Run: what the file says holds here, and what was said here goes into the file.
func (h *DrainStore) Sync(now time.Time) {
	if h.file == nil {
		return
	}
	h.reload()
	h.mu.Lock()
	h.mergeNewlyListed()
	h.resolveUnknown()
	due := len(h.queue) > 0 || len(h.pending) > 0 && now.After(h.retryAt) || h.listedUnsaved && now.After(h.saveAt)
	h.mu.Unlock()
	if !due {
		return
	}
	writeTime, err := h.file.withLock(h.commit)
	if writeTime > 0 {
		h.saveAt = now.Add(max(minSaveInterval, saveIntervalFactor*writeTime))
	}
	if errors.Is(err, errBusy) {
		return // the other process writes: whoever calls waits for as long as it may
	}
	if err != nil {
		h.retryAt = now.Add(retryInterval)
		h.failWaiting(err)
	}
}

// commit writes all that was said until now. The other process is kept out meanwhile.
func (h *DrainStore) commit() error {
	h.reload()
	h.mu.Lock()
	h.mergeNewlyListed()
	h.resolveUnknown()
	calls, written := h.queue, maps.Clone(h.pending)
	h.queue = nil
	next := h.saved.next()
	for id, w := range written {
		next.setDrain(id, w.drained)
	}
	next.listed = slices.Clone(h.listedOrder)
	next.pruneChangeSerials(h.listed)
	h.listedUnsaved = false
	h.mu.Unlock()
	err := h.file.save(next)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.queue, h.listedUnsaved = append(calls, h.queue...), true
		return err
	}
	h.saved, h.fileRead, h.fileDamaged = next, true, false
	for id, w := range written {
		if current, ok := h.pending[id]; ok && current.drained == w.drained {
			delete(h.pending, id)
		} else if ok {
			current.baseSerial = next.changeSerials[id] // it came after what was written
			h.pending[id] = current
		}
	}
	for _, c := range calls {
		c.result <- nil
	}
	return nil
}

// sift answers calls for ids that nobody ever listed, and puts in force those that only the other process knew.
func (h *DrainStore) resolveUnknown() {
	for n, c := range h.queue {
		later := slices.ContainsFunc(h.queue[n+1:], func(o *call) bool { return o.id == c.id })
		if c.unknownID && h.listed[c.id] {
			if c.unknownID = false; !later {
				h.setPending(c.id, c.drained, true)
			}
		}
	}
	h.queue = slices.DeleteFunc(h.queue, func(c *call) bool {
		if c.unknownID {
			c.result <- ErrNeverListed
		}
		return c.unknownID
	})
}

// answer says to all who wait that the disk refuses.
func (h *DrainStore) failWaiting(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.queue {
		c.result <- errors.Join(ErrNotSaved, err)
	}
	h.queue = nil
	for id, w := range h.pending {
		w.callerWaiting = false
		h.pending[id] = w
	}
}

// read takes over what the file says, if that is new. A damaged one is logged once, and what is known stays.
func (h *DrainStore) reload() {
	next, changed, err := h.file.load()
	if !changed {
		return
	}
	if err != nil {
		if !h.fileDamaged {
			h.log.Error("the file of endpoints out by hand can't be read; what was known stays", zap.Error(err))
		}
		h.fileDamaged = true
		h.mu.Lock()
		h.fileRead = false
		h.mu.Unlock()
		return
	}
	h.fileDamaged = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fileRead, h.saved = true, next
	listedUnsaved := h.listedUnsaved
	for _, id := range append(next.listed, next.sortedDrained()...) {
		h.addListed(id)
	}
	h.listedUnsaved = listedUnsaved
	for id, w := range h.pending {
		if !w.callerWaiting && next.changeSerials[id] > w.baseSerial {
			delete(h.pending, id) // staff have said something later, at the other process
		}
	}
	applyFromFile := func(id string, out bool) {
		if _, ok := h.pending[id]; !ok {
			h.apply(id, out)
		}
	}
	for _, id := range next.sortedDrained() {
		applyFromFile(id, true)
	}
	for _, id := range slices.Sorted(maps.Keys(h.drained)) {
		applyFromFile(id, next.drained[id])
	}
}
