// Package hands stores operator drains: which endpoints operators have taken out of service, which endpoint ids were ever listed,
// and the small file in which both outlast the process. It does not decide where an exchange goes: it reports changes to its
// user, which passes them to the module. Invariants: it never confirms a drain as saved that is not on disk, and it never waits
// for the disk while it holds a lock that the counters or a health check need. One goroutine, Run, does all disk access; calls
// that arrive during a write are saved together by the next one (group commit: DeWitt et al., Implementation Techniques for Main
// Memory Database Systems, SIGMOD 1984, section 4).
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
	MaxFileBytes       = 1 << 20                // upper bound for the size of the file
	maxListed          = 4096                   // ids that were once listed and are remembered
	pollInterval       = 25 * time.Millisecond  // between two checks for a write by the other process of an upgrade
	minSaveInterval    = 250 * time.Millisecond // between two writes for listed ids alone
	saveIntervalFactor = 10                     // such a write is delayed by this multiple of the duration of the last write
	retryInterval      = 250 * time.Millisecond // after a failed write
)

// Errors of SetDrain. Their texts are part of the answers to operators.
var (
	ErrNeverListed = errors.New("no such endpoint was ever listed")
	ErrNotSaved    = errors.New("the file could not be written")
	ErrNotSavedYet = errors.New("the file is not written yet: call again")
)

// DrainStore holds the operator drains. Its methods may be called from any goroutine.
type DrainStore struct {
	// OnChange is called for each change that takes effect, in order. It must not block, and must be set before Run.
	OnChange func(id string, out bool)
	log      *zap.Logger
	file     *file // nil if nothing is stored on disk
	wake     chan struct{}

	mu            sync.Mutex // never held during disk access
	drained       map[string]bool
	saved         record                  // content of the file, as last read or written
	pending       map[string]pendingEntry // changes in force in this process that are not in the file yet
	queue         []*call                 // calls whose answer waits for the file
	listed        map[string]bool         // ids that were ever listed
	listedOrder   []string                // ids of listed, first listed first
	listedUnsaved bool                    // ids were listed since the last write
	fileRead      bool                    // the file exists and could be read

	newlyListedMu sync.Mutex
	newlyListed   []string // ids not merged into listed yet

	// Used by Run's goroutine only.
	fileDamaged bool      // the file could not be read; this has been logged
	saveAt      time.Time // earliest write for listed ids alone
	retryAt     time.Time // earliest write of pending changes after a failed one
}

// pendingEntry is the latest change of one id that is not in the file yet.
type pendingEntry struct {
	drained       bool
	baseSerial    uint64        // the file's serial of the id's latest change when this one arrived
	callerWaiting bool          // the caller still waits for its answer; otherwise a later change in the file replaces this one
	receivedAt    time.Duration // on the machine's monotonic clock
}

// PendingChange is a drain or undrain that is in force and not in the file, as the processes of one sidecar send it to each other:
// a failing disk must not keep it from one of them.
type PendingChange struct {
	ID         string
	Drained    bool
	BaseSerial uint64        // the file's serial of the id's latest change when this one arrived
	ReceivedAt time.Duration // on the machine's monotonic clock
}

// Pending returns the changes in force that the file lacks, sorted by id.
func (s *DrainStore) Pending() (changes []PendingChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		entry := s.pending[id]
		changes = append(changes, PendingChange{ID: id, Drained: entry.drained, BaseSerial: entry.baseSerial, ReceivedAt: entry.receivedAt})
	}
	return changes
}

// MergePending applies the pending changes of another process, except where a later change is pending here or is in the file.
func (s *DrainStore) MergePending(changes []PendingChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		own, exists := s.pending[change.ID]
		if exists && own.receivedAt >= change.ReceivedAt || s.saved.changeSerials[change.ID] > change.BaseSerial {
			continue
		}
		s.addListed(change.ID)
		s.pending[change.ID] = pendingEntry{drained: change.Drained, baseSerial: change.BaseSerial, callerWaiting: exists && own.callerWaiting && own.drained == change.Drained, receivedAt: change.ReceivedAt}
		s.apply(change.ID, change.Drained)
	}
}

// call is a call of SetDrain that waits for the file.
type call struct {
	id        string
	drained   bool
	unknownID bool // the id was not known here when the call arrived; the other process may have seen it listed
	result    chan error
}

// New returns a store that uses the file in dir and starts from its content. If dir is "", the store is kept in memory only.
func New(dir string, log *zap.Logger) *DrainStore {
	s := &DrainStore{OnChange: func(string, bool) {}, log: log, drained: map[string]bool{}, pending: map[string]pendingEntry{}, listed: map[string]bool{},
		wake: make(chan struct{}, 1)}
	if dir != "" {
		s.file = newFile(dir)
		s.reload()
	}
	return s
}

// RecordListed remembers an id as listed. It uses a lock of its own, so that it never waits for the users of mu.
func (s *DrainStore) RecordListed(id string) {
	s.newlyListedMu.Lock()
	defer s.newlyListedMu.Unlock()
	if s.newlyListed = append(s.newlyListed, id); len(s.newlyListed) > maxListed {
		s.newlyListed = s.newlyListed[1:]
	}
}

// mergeNewlyListed adds the newly listed ids to listed. The caller holds mu.
func (s *DrainStore) mergeNewlyListed() {
	s.newlyListedMu.Lock()
	ids := s.newlyListed
	s.newlyListed = nil
	s.newlyListedMu.Unlock()
	for _, id := range ids {
		s.addListed(id)
	}
}

// addListed adds an id to listed. Beyond maxListed ids, the oldest that is evictable is forgotten.
func (s *DrainStore) addListed(id string) {
	if s.listed[id] {
		return
	}
	s.listed[id], s.listedUnsaved = true, true
	s.listedOrder = append(s.listedOrder, id)
	if len(s.listedOrder) > maxListed {
		if n := slices.IndexFunc(s.listedOrder, s.evictable); n >= 0 {
			delete(s.listed, s.listedOrder[n])
			s.listedOrder = slices.Delete(s.listedOrder, n, n+1)
		}
	}
}

// evictable reports whether an id is neither drained, here or in the file, nor has a pending change.
func (s *DrainStore) evictable(id string) bool {
	_, pending := s.pending[id]
	return !pending && !s.drained[id] && !s.saved.drained[id]
}

// Drained returns the ids of the endpoints drained by operator, sorted.
func (s *DrainStore) Drained() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.drained))
}

// Snapshot returns the drained ids, sorted, and the listed ids, first listed first.
func (s *DrainStore) Snapshot() (drained, listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeNewlyListed()
	return slices.Sorted(maps.Keys(s.drained)), slices.Clone(s.listedOrder)
}

// Restore takes over the state handed over by the predecessor process, in addition to that of the file: either may be missing. The
// drains handed over are used only if there is no readable file.
func (s *DrainStore) Restore(drained, listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range listed {
		s.addListed(id)
	}
	if !s.fileRead {
		for _, id := range drained {
			s.addListed(id)
			s.setPending(id, true, false)
		}
	}
}

// SetDrain drains or undrains an endpoint. If the id is known, the change takes effect at once and is then saved. The result nil
// means that it is on disk, or in force if the store is kept in memory only. After ErrNotSaved or ErrNotSavedYet the change of a
// known id is in force but might not outlast the process; saving is retried until the file holds it or a later change of the id.
// ErrNotSavedYet is returned when ctx ends.
func (s *DrainStore) SetDrain(ctx context.Context, id string, drained bool) error {
	s.mu.Lock()
	s.mergeNewlyListed()
	known := s.listed[id]
	if known {
		s.setPending(id, drained, true)
	}
	if s.file == nil {
		delete(s.pending, id)
		s.mu.Unlock()
		if !known {
			return ErrNeverListed
		}
		return nil
	}
	c := &call{id: id, drained: drained, unknownID: !known, result: make(chan error, 1)}
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-c.result:
		return err
	default:
	}
	s.queue = slices.DeleteFunc(s.queue, func(other *call) bool { return other == c })
	if entry, ok := s.pending[id]; ok && entry.drained == drained {
		entry.callerWaiting = false
		s.pending[id] = entry
	}
	return ErrNotSavedYet
}

// setPending applies a change and records it as pending, to be saved by Run.
func (s *DrainStore) setPending(id string, drained, callerWaiting bool) {
	s.pending[id] = pendingEntry{drained: drained, baseSerial: s.saved.changeSerials[id], callerWaiting: callerWaiting, receivedAt: clock.Monotonic()}
	s.apply(id, drained)
}

// apply makes a change effective in memory and reports it through OnChange.
func (s *DrainStore) apply(id string, drained bool) {
	if s.drained[id] == drained {
		return
	}
	if drained {
		s.drained[id] = true
	} else {
		delete(s.drained, id)
	}
	s.OnChange(id, drained)
}

// Run keeps the store and the file in step until ctx ends, and then tries once more to save what is not in the file.
func (s *DrainStore) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.retryAt = time.Time{}
			s.Sync(time.Now())
			return
		case <-s.wake:
		case <-ticker.C:
		}
		s.Sync(time.Now())
	}
}

// Sync is one iteration of Run: it applies what another process wrote to the file, and saves what is pending here.
func (s *DrainStore) Sync(now time.Time) {
	if s.file == nil {
		return
	}
	s.reload()
	s.mu.Lock()
	s.mergeNewlyListed()
	s.resolveUnknown()
	due := len(s.queue) > 0 || len(s.pending) > 0 && now.After(s.retryAt) || s.listedUnsaved && now.After(s.saveAt)
	s.mu.Unlock()
	if !due {
		return
	}
	writeTime, err := s.file.withLock(s.commit)
	if writeTime > 0 {
		s.saveAt = now.Add(max(minSaveInterval, saveIntervalFactor*writeTime))
	}
	if errors.Is(err, errBusy) {
		return // the other process is writing: callers keep waiting until their contexts end
	}
	if err != nil {
		s.retryAt = now.Add(retryInterval)
		s.failWaiting(err)
	}
}

// commit saves all changes up to now. The caller holds the file's lock, which excludes the other process.
func (s *DrainStore) commit() error {
	s.reload()
	s.mu.Lock()
	s.mergeNewlyListed()
	s.resolveUnknown()
	calls, written := s.queue, maps.Clone(s.pending)
	s.queue = nil
	next := s.saved.next()
	for id, entry := range written {
		next.setDrain(id, entry.drained)
	}
	next.listed = slices.Clone(s.listedOrder)
	next.pruneChangeSerials(s.listed)
	s.listedUnsaved = false
	s.mu.Unlock()
	err := s.file.save(next)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.queue, s.listedUnsaved = append(calls, s.queue...), true
		return err
	}
	s.saved, s.fileRead, s.fileDamaged = next, true, false
	for id, entry := range written {
		if current, ok := s.pending[id]; ok && current.drained == entry.drained {
			delete(s.pending, id)
		} else if ok {
			current.baseSerial = next.changeSerials[id] // it arrived during the write and follows the change just written
			s.pending[id] = current
		}
	}
	for _, c := range calls {
		c.result <- nil
	}
	return nil
}

// resolveUnknown applies calls whose ids are known by now, because the other process had them in the file, and answers those whose
// ids were never listed. The caller holds mu and has just read the file.
func (s *DrainStore) resolveUnknown() {
	for n, c := range s.queue {
		later := slices.ContainsFunc(s.queue[n+1:], func(other *call) bool { return other.id == c.id })
		if c.unknownID && s.listed[c.id] {
			if c.unknownID = false; !later {
				s.setPending(c.id, c.drained, true)
			}
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(c *call) bool {
		if c.unknownID {
			c.result <- ErrNeverListed
		}
		return c.unknownID
	})
}

// failWaiting answers all waiting calls with ErrNotSaved and the cause err. Their changes stay pending.
func (s *DrainStore) failWaiting(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.queue {
		c.result <- errors.Join(ErrNotSaved, err)
	}
	s.queue = nil
	for id, entry := range s.pending {
		entry.callerWaiting = false
		s.pending[id] = entry
	}
}

// reload applies the content of the file if it has changed. A damaged file is logged once and changes nothing.
func (s *DrainStore) reload() {
	next, changed, err := s.file.load()
	if !changed {
		return
	}
	if err != nil {
		if !s.fileDamaged {
			s.log.Error("file of operator drains can't be read; keeping the drains known so far", zap.Error(err))
		}
		s.fileDamaged = true
		s.mu.Lock()
		s.fileRead = false
		s.mu.Unlock()
		return
	}
	s.fileDamaged = false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fileRead, s.saved = true, next
	listedUnsaved := s.listedUnsaved
	for _, id := range append(next.listed, next.sortedDrained()...) {
		s.addListed(id)
	}
	s.listedUnsaved = listedUnsaved
	for id, entry := range s.pending {
		if !entry.callerWaiting && next.changeSerials[id] > entry.baseSerial {
			delete(s.pending, id) // an operator has changed it later, through the other process
		}
	}
	applyFromFile := func(id string, drained bool) {
		if _, ok := s.pending[id]; !ok {
			s.apply(id, drained)
		}
	}
	for _, id := range next.sortedDrained() {
		applyFromFile(id, true)
	}
	for _, id := range slices.Sorted(maps.Keys(s.drained)) {
		applyFromFile(id, next.drained[id])
	}
}
