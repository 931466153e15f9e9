// File: the disk's side of hands. It owns the file's form, the turns that two processes take at it, and the order of
// syncing that makes a yes outlast a power cut. A write that is torn anywhere leaves the file before it.
package hands

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
)

const (
	lockTimeout      = 2 * time.Second      // for the other process to let go of the file; whoever calls is answered before
	lockPollInterval = 2 * time.Millisecond // between two asks for it
)

var errBusy = errors.New("the other process writes")

// record is what the file holds.
type record struct {
	drained       map[string]bool
	listed        []string
	serial        uint64            // of this write; 0 for a build that wrote none
	changeSerials map[string]uint64 // the write that holds the latest call for an id
}

func (r record) sortedDrained() []string { return slices.Sorted(maps.Keys(r.drained)) }

// next is a copy to be changed and written.
func (r record) next() record {
	n := record{drained: map[string]bool{}, serial: r.serial + 1, changeSerials: map[string]uint64{}}
	maps.Copy(n.drained, r.drained)
	maps.Copy(n.changeSerials, r.changeSerials)
	return n
}

func (r *record) setDrain(id string, drained bool) {
	r.changeSerials[id] = r.serial
	if drained {
		r.drained[id] = true
	} else {
		delete(r.drained, id)
	}
}

// forget bounds what is said by the ids that are known.
func (r *record) pruneChangeSerials(listed map[string]bool) {
	maps.DeleteFunc(r.changeSerials, func(id string, _ uint64) bool { return !listed[id] })
}

// file is used by one goroutine.
type file struct {
	path     string
	lastInfo os.FileInfo
	replace  func(path string, text []byte) error // a seam for tests
}

func newFile(dir string) *file {
	return &file{path: filepath.Join(dir, "lynxjunction.hands.json"), replace: replace}
}

// load returns what the file holds if it has changed since the last look. No file at all is no news.
func (f *file) load() (r record, changed bool, err error) {
	info, err := os.Stat(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return r, false, nil
	}
	if err == nil && f.lastInfo != nil && os.SameFile(info, f.lastInfo) && info.ModTime().Equal(f.lastInfo.ModTime()) && info.Size() == f.lastInfo.Size() {
		return r, false, nil
	}
	if f.lastInfo = info; err != nil {
		return r, true, err
	}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return r, true, err
	}
	r, err = parseRecord(text)
	return r, true, err
}

func parseRecord(text []byte) (r record, err error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return r, err
	}
	ids := func(name string) (list []string, err error) {
		from := v.Get(name)
		if from == nil || from.Type() != fastjson.TypeArray {
			return nil, fmt.Errorf("no list %q", name)
		}
		for _, id := range from.GetArray() {
			text, err := id.StringBytes()
			if err != nil || len(text) == 0 {
				return nil, fmt.Errorf("%q holds what is no id", name)
			}
			list = append(list, string(text))
		}
		return list, nil
	}
	drained, err := ids("out")
	if err != nil {
		return r, err
	}
	if r.listed, err = ids("ever"); err != nil {
		return r, err
	}
	r.drained, r.changeSerials, r.serial = map[string]bool{}, map[string]uint64{}, v.GetUint64("serial")
	for _, id := range drained {
		r.drained[id] = true
	}
	if changeSerials := v.GetObject("said"); changeSerials != nil {
		changeSerials.Visit(func(id []byte, n *fastjson.Value) { r.changeSerials[string(id)], _ = n.Uint64() })
	}
	return r, nil
}

func (r record) encode() []byte {
	var a fastjson.Arena
	list := func(ids []string) *fastjson.Value {
		v := a.NewArray()
		for n, id := range ids {
			v.SetArrayItem(n, a.NewString(id))
		}
		return v
	}
	v, changeSerials := a.NewObject(), a.NewObject()
	v.Set("out", list(r.sortedDrained()))
	v.Set("ever", list(r.listed))
	v.Set("serial", a.NewNumberString(fmt.Sprint(r.serial)))
	for _, id := range slices.Sorted(maps.Keys(r.changeSerials)) {
		changeSerials.Set(id, a.NewNumberString(fmt.Sprint(r.changeSerials[id])))
	}
	v.Set("said", changeSerials)
	return v.MarshalTo(nil)
}

// save is done once the record is on the disk.
func (f *file) save(r record) error {
	err := f.replace(f.path, r.encode())
	if err == nil {
		f.lastInfo, err = os.Stat(f.path)
	}
	return err
}

// replace puts a file in another's place whole: who reads meanwhile, or after a power cut in the middle, sees the one before.
func replace(path string, text []byte) error {
	tempPath := path + ".next" // whoever writes holds the lock
	err := func() error {
		f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		_, err = f.Write(text)
		return errors.Join(err, f.Sync(), f.Close())
	}()
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		os.Remove(tempPath)
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// locked keeps the other process's writing out for as long as f takes, and says how long that was. Who waits holds the
// turn, so that whoever has just written can't come again before: two processes write by turns. A build that knows no
// turns is kept out by the lock.
func (f *file) withLock(do func() error) (writeTime time.Duration, err error) {
	deadline := time.Now().Add(lockTimeout)
	turnLock, err := acquireLock(f.path+".turn", deadline)
	if err != nil {
		return 0, err
	}
	lock, err := acquireLock(f.path+".lock", deadline)
	turnLock.Close()
	if err != nil {
		return 0, err
	}
	defer lock.Close() // lets go of the lock
	started := time.Now()
	err = do()
	return time.Since(started), err
}

func acquireLock(path string, deadline time.Time) (*os.File, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for ; ; time.Sleep(lockPollInterval) {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(deadline) {
			lock.Close()
			if errors.Is(err, syscall.EWOULDBLOCK) {
				err = errBusy
			}
			return nil, err
		}
	}
}
