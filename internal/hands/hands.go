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
	Most      = 1 << 20                // bytes of the file
	everMost  = 4096                   // ids once listed that are known
	lookTime  = 25 * time.Millisecond  // between two looks at what the other process of an upgrade wrote
	saveTime  = 250 * time.Millisecond // between two savings of listed ids, at the least
	savePart  = 10                     // a saving of listed ids waits for so many times what the last write took
	retryTime = 250 * time.Millisecond // after a write that failed
)

var (
	ErrNeverListed = errors.New("no such endpoint was ever listed")
	ErrNotKept     = errors.New("the file could not be written")
	ErrNotYet      = errors.New("the file is not written yet: call again")
)

// Hands are read and changed from any goroutine.
type Hands struct {
	Tell func(id string, out bool) // of each change in force, in order; must not wait. Set before Run
	log  *zap.Logger
	file *file // nil for memory only
	wake chan struct{}

	mu       sync.Mutex // held for memory only, never over the disk
	out      map[string]bool
	kept     record
	wishes   map[string]wish // calls in force here and not yet in the file
	queue    []*call
	ever     map[string]bool
	order    []string // of ever, the first listed first
	unsaved  bool     // ids listed since the last write
	fileRead bool     // the file was there and could be read

	freshMu sync.Mutex
	fresh   []string // listed, and not folded into ever yet

	// Of Run alone.
	damaged          bool
	saveAt, tryAgain time.Time
}

// wish is the latest call by hand for one id.
type wish struct {
	out  bool
	base uint64 // the file's word on the id when the call came
	owed bool   // its caller still waits; otherwise a later word in the file ends it
	at   time.Duration
}

// Wish is a call by hand that is in force and not in the file, as processes of one sidecar tell it each other: a disk that fails must not
// keep it from one of them.
type Wish struct {
	ID   string
	Out  bool
	Base uint64        // the file's word on the id when the call came
	At   time.Duration // when it came, on the machine's monotonic clock
}

// Wishes are the calls in force that the file lacks, by id.
func (h *Hands) Wishes() (list []Wish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.wishes)) {
		w := h.wishes[id]
		list = append(list, Wish{ID: id, Out: w.out, Base: w.base, At: w.at})
	}
	return list
}

// Hear puts in force what another process was told by hand, unless a later call is known here or stands in the file.
func (h *Hands) Hear(list []Wish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range list {
		mine, wished := h.wishes[w.ID]
		if wished && mine.at >= w.At || h.kept.said[w.ID] > w.Base {
			continue
		}
		h.know(w.ID)
		h.wishes[w.ID] = wish{out: w.Out, base: w.Base, owed: wished && mine.owed && mine.out == w.Out, at: w.At}
		h.set(w.ID, w.Out)
	}
}

type call struct {
	id      string
	out     bool
	strange bool // not known here when it came; the other process may have met it
	done    chan error
}

// New reads what the process before this one left in dir; "" keeps all in memory.
func New(dir string, log *zap.Logger) *Hands {
	h := &Hands{Tell: func(string, bool) {}, log: log, out: map[string]bool{}, wishes: map[string]wish{}, ever: map[string]bool{},
		wake: make(chan struct{}, 1)}
	if dir != "" {
		h.file = newFile(dir)
		h.read()
	}
	return h
}

// Listed remembers an id. It never waits for whoever waits for the disk.
func (h *Hands) Listed(id string) {
	h.freshMu.Lock()
	defer h.freshMu.Unlock()
	if h.fresh = append(h.fresh, id); len(h.fresh) > everMost {
		h.fresh = h.fresh[1:]
	}
}

func (h *Hands) fold() {
	h.freshMu.Lock()
	fresh := h.fresh
	h.fresh = nil
	h.freshMu.Unlock()
	for _, id := range fresh {
		h.know(id)
	}
}

// know keeps an id; beyond the bound the oldest that is not out is forgotten.
func (h *Hands) know(id string) {
	if h.ever[id] {
		return
	}
	h.ever[id], h.unsaved = true, true
	h.order = append(h.order, id)
	if len(h.order) > everMost {
		if n := slices.IndexFunc(h.order, h.idle); n >= 0 {
			delete(h.ever, h.order[n])
			h.order = slices.Delete(h.order, n, n+1)
		}
	}
}

// idle tells whether neither a ban nor a call that the file lacks hangs on an id.
func (h *Hands) idle(id string) bool {
	_, wished := h.wishes[id]
	return !wished && !h.out[id] && !h.kept.out[id]
}

// Bans are those in force, sorted.
func (h *Hands) Bans() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.out))
}

// All are the bans and the ids once listed.
func (h *Hands) All() (out, ever []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fold()
	return slices.Sorted(maps.Keys(h.out)), slices.Clone(h.order)
}

// Inherit takes over what the process before this one says, beside what the file says: either may be lost.
func (h *Hands) Inherit(out, ever []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ever {
		h.know(id)
	}
	if !h.fileRead {
		for _, id := range out {
			h.know(id)
			h.wish(id, true, false)
		}
	}
}

// Change takes a call by hand: in force here at once if the id is known, then kept. nil says that it is on the disk. On
// ErrNotKept and ErrNotYet it is in force, might not outlast the process, and is tried again until the file has it or has a
// later word on the id. ErrNotYet comes when ctx ends.
func (h *Hands) Change(ctx context.Context, id string, out bool) error {
	h.mu.Lock()
	h.fold()
	known := h.ever[id]
	if known {
		h.wish(id, out, true)
	}
	if h.file == nil {
		delete(h.wishes, id)
		h.mu.Unlock()
		if !known {
			return ErrNeverListed
		}
		return nil
	}
	c := &call{id: id, out: out, strange: !known, done: make(chan error, 1)}
	h.queue = append(h.queue, c)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	default:
	}
	h.queue = slices.DeleteFunc(h.queue, func(o *call) bool { return o == c })
	if w, ok := h.wishes[id]; ok && w.out == out {
		w.owed = false
		h.wishes[id] = w
	}
	return ErrNotYet
}

// wish puts a call in force; the file follows.
func (h *Hands) wish(id string, out, owed bool) {
	h.wishes[id] = wish{out: out, base: h.kept.said[id], owed: owed, at: clock.Monotonic()}
	h.set(id, out)
}

func (h *Hands) set(id string, out bool) {
	if h.out[id] == out {
		return
	}
	if out {
		h.out[id] = true
	} else {
		delete(h.out, id)
	}
	h.Tell(id, out)
}

// Run looks after the file until ctx ends, and then writes once more what is not in it.
func (h *Hands) Run(ctx context.Context) {
	beat := time.NewTicker(lookTime)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			h.tryAgain = time.Time{}
			h.Look(time.Now())
			return
		case <-h.wake:
		case <-beat.C:
		}
		h.Look(time.Now())
	}
}

// Look is one round of Run: what the file says holds here, and what was said here goes into the file.
func (h *Hands) Look(now time.Time) {
	if h.file == nil {
		return
	}
	h.read()
	h.mu.Lock()
	h.fold()
	h.sift()
	due := len(h.queue) > 0 || len(h.wishes) > 0 && now.After(h.tryAgain) || h.unsaved && now.After(h.saveAt)
	h.mu.Unlock()
	if !due {
		return
	}
	took, err := h.file.locked(h.commit)
	if took > 0 {
		h.saveAt = now.Add(max(saveTime, savePart*took))
	}
	if errors.Is(err, errBusy) {
		return // the other process writes: whoever calls waits for as long as it may
	}
	if err != nil {
		h.tryAgain = now.Add(retryTime)
		h.answer(err)
	}
}

// commit writes all that was said until now. The other process is kept out meanwhile.
func (h *Hands) commit() error {
	h.read()
	h.mu.Lock()
	h.fold()
	h.sift()
	mine, written := h.queue, maps.Clone(h.wishes)
	h.queue = nil
	next := h.kept.next()
	for id, w := range written {
		next.say(id, w.out)
	}
	next.ever = slices.Clone(h.order)
	next.forget(h.ever)
	h.unsaved = false
	h.mu.Unlock()
	err := h.file.save(next)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.queue, h.unsaved = append(mine, h.queue...), true
		return err
	}
	h.kept, h.fileRead, h.damaged = next, true, false
	for id, w := range written {
		if now, ok := h.wishes[id]; ok && now.out == w.out {
			delete(h.wishes, id)
		} else if ok {
			now.base = next.said[id] // it came after what was written
			h.wishes[id] = now
		}
	}
	for _, c := range mine {
		c.done <- nil
	}
	return nil
}

// sift answers calls for ids that nobody ever listed, and puts in force those that only the other process knew.
func (h *Hands) sift() {
	for n, c := range h.queue {
		later := slices.ContainsFunc(h.queue[n+1:], func(o *call) bool { return o.id == c.id })
		if c.strange && h.ever[c.id] {
			if c.strange = false; !later {
				h.wish(c.id, c.out, true)
			}
		}
	}
	h.queue = slices.DeleteFunc(h.queue, func(c *call) bool {
		if c.strange {
			c.done <- ErrNeverListed
		}
		return c.strange
	})
}

// answer says to all who wait that the disk refuses.
func (h *Hands) answer(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.queue {
		c.done <- errors.Join(ErrNotKept, err)
	}
	h.queue = nil
	for id, w := range h.wishes {
		w.owed = false
		h.wishes[id] = w
	}
}

// read takes over what the file says, if that is new. A damaged one is logged once, and what is known stays.
func (h *Hands) read() {
	next, fresh, err := h.file.load()
	if !fresh {
		return
	}
	if err != nil {
		if !h.damaged {
			h.log.Error("the file of endpoints out by hand can't be read; what was known stays", zap.Error(err))
		}
		h.damaged = true
		h.mu.Lock()
		h.fileRead = false
		h.mu.Unlock()
		return
	}
	h.damaged = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fileRead, h.kept = true, next
	unsaved := h.unsaved
	for _, id := range append(next.ever, next.sortedOut()...) {
		h.know(id)
	}
	h.unsaved = unsaved
	for id, w := range h.wishes {
		if !w.owed && next.said[id] > w.base {
			delete(h.wishes, id) // staff have said something later, at the other process
		}
	}
	force := func(id string, out bool) {
		if _, ok := h.wishes[id]; !ok {
			h.set(id, out)
		}
	}
	for _, id := range next.sortedOut() {
		force(id, true)
	}
	for _, id := range slices.Sorted(maps.Keys(h.out)) {
		force(id, next.out[id])
	}
}
