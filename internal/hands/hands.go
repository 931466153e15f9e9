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
func (s *DrainStore) Pending() (changes []PendingChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		entry := s.pending[id]
		changes = append(changes, PendingChange{ID: id, Drained: entry.drained, BaseSerial: entry.baseSerial, ReceivedAt: entry.receivedAt})
	}
	return changes
}

// Hear puts in force what another process was told by hand, unless a later call is known here or stands in the file.
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

type call struct {
	id        string
	drained   bool
	unknownID bool // not known here when it came; the other process may have met it
	result    chan error
}

// New reads what the process before this one left in dir; "" keeps all in memory.
func New(dir string, log *zap.Logger) *DrainStore {
	s := &DrainStore{OnChange: func(string, bool) {}, log: log, drained: map[string]bool{}, pending: map[string]pendingEntry{}, listed: map[string]bool{},
		wake: make(chan struct{}, 1)}
	if dir != "" {
		s.file = newFile(dir)
		s.reload()
	}
	return s
}

// Listed remembers an id. It never waits for whoever waits for the disk.
func (s *DrainStore) RecordListed(id string) {
	s.newlyListedMu.Lock()
	defer s.newlyListedMu.Unlock()
	if s.newlyListed = append(s.newlyListed, id); len(s.newlyListed) > maxListed {
		s.newlyListed = s.newlyListed[1:]
	}
}

func (s *DrainStore) mergeNewlyListed() {
	s.newlyListedMu.Lock()
	ids := s.newlyListed
	s.newlyListed = nil
	s.newlyListedMu.Unlock()
	for _, id := range ids {
		s.addListed(id)
	}
}

// know keeps an id; beyond the bound the oldest that is not out is forgotten.
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

// idle tells whether neither a ban nor a call that the file lacks hangs on an id.
func (s *DrainStore) evictable(id string) bool {
	_, pending := s.pending[id]
	return !pending && !s.drained[id] && !s.saved.drained[id]
}

// Bans are those in force, sorted.
func (s *DrainStore) Drained() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.drained))
}

// All are the bans and the ids once listed.
func (s *DrainStore) Snapshot() (drained, listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeNewlyListed()
	return slices.Sorted(maps.Keys(s.drained)), slices.Clone(s.listedOrder)
}

// Inherit takes over what the process before this one says, beside what the file says: either may be lost.
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

// Change takes a call by hand: in force here at once if the id is known, then kept. nil says that it is on the disk. On
// ErrNotKept and ErrNotYet it is in force, might not outlast the process, and is tried again until the file has it or has a
// later word on the id. ErrNotYet comes when ctx ends.
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

// wish puts a call in force; the file follows.
func (s *DrainStore) setPending(id string, drained, callerWaiting bool) {
	s.pending[id] = pendingEntry{drained: drained, baseSerial: s.saved.changeSerials[id], callerWaiting: callerWaiting, receivedAt: clock.Monotonic()}
	s.apply(id, drained)
}

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

// Run looks after the file until ctx ends, and then writes once more what is not in it.
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

// Look is one round of Run: what the file says holds here, and what was said here goes into the file.
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
		return // the other process writes: whoever calls waits for as long as it may
	}
	if err != nil {
		s.retryAt = now.Add(retryInterval)
		s.failWaiting(err)
	}
}

// commit writes all that was said until now. The other process is kept out meanwhile.
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
			current.baseSerial = next.changeSerials[id] // it came after what was written
			s.pending[id] = current
		}
	}
	for _, c := range calls {
		c.result <- nil
	}
	return nil
}

// sift answers calls for ids that nobody ever listed, and puts in force those that only the other process knew.
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

// answer says to all who wait that the disk refuses.
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

// read takes over what the file says, if that is new. A damaged one is logged once, and what is known stays.
func (s *DrainStore) reload() {
	next, changed, err := s.file.load()
	if !changed {
		return
	}
	if err != nil {
		if !s.fileDamaged {
			s.log.Error("the file of endpoints out by hand can't be read; what was known stays", zap.Error(err))
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
			delete(s.pending, id) // staff have said something later, at the other process
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
