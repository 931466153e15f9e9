// This file owns the file of operator drains on disk: its format, the locks by which two processes write it in turn, and the order
// of writes and syncs through which a confirmed change outlasts a power cut. A write that is interrupted at any point leaves the
// previous file.
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
	lockTimeout      = 2 * time.Second      // wait for the other process to release the file; callers are answered earlier
	lockPollInterval = 2 * time.Millisecond // between two tries to get the lock
)

// errBusy reports that the lock was not obtained in time.
var errBusy = errors.New("the other process holds the lock of the file")

// record is the content of the file.
type record struct {
	drained       map[string]bool
	listed        []string          // ids that were ever listed, first listed first
	serial        uint64            // number of this write; 0 if written by a build without serials
	changeSerials map[string]uint64 // by id, serial of the write that saved its latest change
}

// sortedDrained returns the drained ids, sorted.
func (r record) sortedDrained() []string { return slices.Sorted(maps.Keys(r.drained)) }

// next returns a copy with the next serial, to be changed and written. It has no listed ids yet.
func (r record) next() record {
	n := record{drained: map[string]bool{}, serial: r.serial + 1, changeSerials: map[string]uint64{}}
	maps.Copy(n.drained, r.drained)
	maps.Copy(n.changeSerials, r.changeSerials)
	return n
}

// setDrain records a drain or undrain under the record's serial.
func (r *record) setDrain(id string, drained bool) {
	r.changeSerials[id] = r.serial
	if drained {
		r.drained[id] = true
	} else {
		delete(r.drained, id)
	}
}

// pruneChangeSerials removes the serials of ids that are no longer in listed, which bounds their number.
func (r *record) pruneChangeSerials(listed map[string]bool) {
	maps.DeleteFunc(r.changeSerials, func(id string, _ uint64) bool { return !listed[id] })
}

// file is the file on disk. It is used by one goroutine.
type file struct {
	path     string
	lastInfo os.FileInfo                          // as of the last read or write, to detect a change
	replace  func(path string, text []byte) error // replaceable in tests
}

// newFile returns the file of operator drains in dir.
func newFile(dir string) *file {
	return &file{path: filepath.Join(dir, "lynxjunction.hands.json"), replace: replace}
}

// load reads the file if it has changed since it was last read or written; changed is false otherwise, and if there is no file.
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

// parseRecord decodes the content of the file. The members serial and said may be missing: older builds don't write them.
func parseRecord(text []byte) (r record, err error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return r, err
	}
	ids := func(name string) (list []string, err error) {
		from := v.Get(name)
		if from == nil || from.Type() != fastjson.TypeArray {
			return nil, fmt.Errorf("key %q: expected a list of ids", name)
		}
		for _, id := range from.GetArray() {
			text, err := id.StringBytes()
			if err != nil || len(text) == 0 {
				return nil, fmt.Errorf("key %q: expected non-empty strings as ids", name)
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

// encode returns the record as the file's content.
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

// save writes the record; it returns nil once the record is on disk.
func (f *file) save(r record) error {
	err := f.replace(f.path, r.encode())
	if err == nil {
		f.lastInfo, err = os.Stat(f.path)
	}
	return err
}

// replace replaces the file at path atomically: a reader sees the previous file until the new one is complete, also after a power
// cut during the write.
func replace(path string, text []byte) error {
	tempPath := path + ".next" // a fixed name is enough: the writer holds the lock
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

// withLock runs do while the other process is kept from writing, and returns the time that do took. There are two locks: a process
// that waits for the write lock (.lock) holds the turn lock (.turn), so that the process that has just written can't overtake it
// and two processes write in turn. Builds without the turn lock are still excluded by the write lock.
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
	defer lock.Close() // closing the file releases the lock
	started := time.Now()
	err = do()
	return time.Since(started), err
}

// acquireLock opens the file at path and locks it exclusively (flock). It returns errBusy if another process holds the lock until
// the deadline.
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
