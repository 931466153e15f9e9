// Hands: what staff said of endpoints. This file owns which endpoints are out by hand, which ids were ever listed, and the
// small file in which both outlast the process. It must never decide where a leg goes: it tells the loop, which tells the
// module; nor may it say that a ban is kept when it is not.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"
)

const (
	everMost  = 4096                   // ids once listed that are known
	handsMost = 1 << 20                // bytes of the file
	lockTime  = 300 * time.Millisecond // for the other process of an upgrade to let go of the file
	lookTime  = 25 * time.Millisecond  // between two looks at what the other process wrote
	saveTime  = 250 * time.Millisecond // between two savings of listed ids
)

var (
	errNeverListed = errors.New("no such endpoint was ever listed")
	errNotKept     = errors.New("the file could not be written")
)

// hands are read and changed from any goroutine.
type hands struct {
	path string // "" for memory only
	tell func(id string, out bool)
	log  *zap.Logger

	mu      sync.Mutex
	out     map[string]bool
	ever    map[string]bool
	order   []string // of ever, the first listed first
	seen    os.FileInfo
	damaged bool
	unsaved bool

	off     bool // without a console nobody asks
	freshMu sync.Mutex
	fresh   []string // listed, and not folded into ever yet
}

// newHands reads what the process before this one left in dir.
func newHands(console, dir string, log *zap.Logger) *hands {
	h := &hands{off: console == "", tell: func(string, bool) {}, log: log, out: map[string]bool{}, ever: map[string]bool{}}
	if dir != "" {
		h.path = filepath.Join(dir, "lynxjunction.hands.json")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.read()
	}
	return h
}

// listed remembers an id. The loop calls it, so that it must not wait for whoever waits for the file.
func (h *hands) listed(id string) {
	if h.off {
		return
	}
	h.freshMu.Lock()
	defer h.freshMu.Unlock()
	h.fresh = append(h.fresh, id)
}

func (h *hands) fold() {
	h.freshMu.Lock()
	fresh := h.fresh
	h.fresh = nil
	h.freshMu.Unlock()
	for _, id := range fresh {
		h.know(id)
	}
}

// know keeps an id; beyond the bound the oldest that is not out is forgotten.
func (h *hands) know(id string) {
	if h.ever[id] {
		return
	}
	h.ever[id], h.unsaved = true, true
	h.order = append(h.order, id)
	if len(h.order) > everMost {
		if n := slices.IndexFunc(h.order, func(id string) bool { return !h.out[id] }); n >= 0 {
			delete(h.ever, h.order[n])
			h.order = slices.Delete(h.order, n, n+1)
		}
	}
}

// bans are those in force.
func (h *hands) bans() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sortedOut()
}

// all are the bans and the ids once listed.
func (h *hands) all() (out, ever []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fold()
	return h.sortedOut(), slices.Clone(h.order)
}

// inherit takes over what the process before this one says, beside what the file says: either may be lost.
func (h *hands) inherit(out, ever []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ever {
		h.know(id)
	}
	if h.seen == nil || h.damaged {
		for _, id := range out {
			h.know(id)
			h.set(id, true)
		}
	}
}

func (h *hands) sortedOut() []string {
	ids := make([]string, 0, len(h.out))
	for id := range h.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// change takes a call by hand: in force here at once, then kept. On errNotKept it is in force and would not outlast us.
func (h *hands) change(id string, out bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fold(); !h.ever[id] {
		h.read() // the other process may have met it
	}
	if !h.ever[id] {
		return errNeverListed
	}
	if out {
		h.set(id, true)
	}
	err := h.locked(func() error {
		h.read()
		h.set(id, out)
		return h.write()
	})
	h.set(id, out)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotKept, err)
	}
	return nil
}

func (h *hands) set(id string, out bool) {
	if h.out[id] == out {
		return
	}
	if out {
		h.out[id] = true
	} else {
		delete(h.out, id)
	}
	h.tell(id, out)
}

// locked keeps the other process's writing out for as long as f takes.
func (h *hands) locked(f func() error) error {
	if h.path == "" {
		return nil
	}
	lock, err := os.OpenFile(h.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // lets go of the lock
	for began := time.Now(); ; time.Sleep(lockTime / 100) {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f()
		}
		if time.Since(began) > lockTime {
			return err
		}
	}
}

// read takes over what the file says, if that is new. A damaged one is logged once, and what is known stays.
func (h *hands) read() {
	if h.path == "" {
		return
	}
	now, err := os.Stat(h.path)
	if err != nil || h.seen != nil && os.SameFile(now, h.seen) && now.ModTime().Equal(h.seen.ModTime()) && now.Size() == h.seen.Size() {
		if err == nil || errors.Is(err, fs.ErrNotExist) {
			return
		}
	}
	h.seen = now
	out, ever, err := readHands(h.path)
	if err != nil {
		if !h.damaged {
			h.log.Error("the file of endpoints out by hand can't be read; what was known stays", zap.Error(err))
		}
		h.damaged = true
		return
	}
	h.damaged = false
	for _, id := range ever {
		h.know(id)
	}
	for _, id := range out {
		h.know(id)
		h.set(id, true)
	}
	for _, id := range h.sortedOut() {
		if !slices.Contains(out, id) {
			h.set(id, false)
		}
	}
}

func readHands(path string) (out, ever []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, nil, err
	}
	for name, into := range map[string]*[]string{"out": &out, "ever": &ever} {
		list := v.Get(name)
		if list == nil || list.Type() != fastjson.TypeArray {
			return nil, nil, fmt.Errorf("no list %q", name)
		}
		for _, id := range list.GetArray() {
			text, err := id.StringBytes()
			if err != nil || len(text) == 0 {
				return nil, nil, fmt.Errorf("%q holds what is no id", name)
			}
			*into = append(*into, string(text))
		}
	}
	return out, ever, nil
}

// write replaces the file whole: who reads meanwhile sees the one before.
func (h *hands) write() error {
	var a fastjson.Arena
	list := func(ids []string) *fastjson.Value {
		v := a.NewArray()
		for n, id := range ids {
			v.SetArrayItem(n, a.NewString(id))
		}
		return v
	}
	v := a.NewObject()
	v.Set("out", list(h.sortedOut()))
	v.Set("ever", list(h.order))
	next := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	defer os.Remove(next)
	if err := os.WriteFile(next, v.MarshalTo(nil), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, h.path); err != nil {
		return err
	}
	h.unsaved, h.damaged = false, false
	h.seen, _ = os.Stat(h.path)
	return nil
}

// watch looks for what the other process of an upgrade was told: it holds here as well.
func (h *hands) watch(ctx context.Context) {
	beat := time.NewTicker(lookTime)
	defer beat.Stop()
	for saved := (time.Time{}); ; {
		select {
		case <-ctx.Done():
			return
		case now := <-beat.C:
			h.look(now, &saved)
		}
	}
}

func (h *hands) look(now time.Time, saved *time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fold()
	h.read()
	if h.unsaved && now.Sub(*saved) > saveTime {
		*saved = now
		h.locked(func() error {
			h.read()
			return h.write()
		})
	}
}
