package hands

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// disk replaces the file's write function. Writes take their time on the test's clock, so that no result depends on the machine's disk.
type disk struct {
	writeTime time.Duration
	writes    atomic.Int64
	writeErr  atomic.Pointer[error] // result of writes if not nil; nothing is written then
}

func (d *disk) replace(path string, text []byte) error {
	d.writes.Add(1)
	time.Sleep(d.writeTime)
	if err := d.writeErr.Load(); err != nil {
		return *err
	}
	return replace(path, text)
}

// startStore starts one process's store on a disk; it runs until the test ends.
func startStore(t *testing.T, dir string, d *disk, listed ...string) *DrainStore {
	h := New(dir, zap.NewNop())
	h.file.replace = d.replace
	for _, id := range listed {
		h.RecordListed(id)
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan bool)
	go func() { h.Run(ctx); close(stopped) }()
	t.Cleanup(func() { stop(); <-stopped })
	return h
}

// setDrain calls SetDrain with the console's timeout.
func setDrain(h *DrainStore, id string, drained bool) error {
	ctx, done := context.WithTimeout(context.Background(), 450*time.Millisecond)
	defer done()
	return h.SetDrain(ctx, id, drained)
}

// Four concurrent calls on a disk with writes of 75 ms were answered as not saved when each wrote the file under a lock that was
// tried for 300 ms. Each call must be answered within its timeout, a confirmed drain must be on disk, and a repeated call must
// succeed in the end.
func TestConcurrentCallsOnASlowDiskShareWrites(t *testing.T) {
	for _, c := range []struct {
		takes  time.Duration
		writes int64 // upper limit, including writes for listed ids
		again  bool  // some calls are answered ErrNotSavedYet
	}{{0, 45, false}, {75 * time.Millisecond, 12, false}, {300 * time.Millisecond, 12, true}} {
		t.Run(c.takes.String(), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				d := &disk{writeTime: c.takes}
				ids := []string{}
				for n := range 20 {
					ids = append(ids, fmt.Sprint("s", n))
				}
				stores := []*DrainStore{startStore(t, dir, d, ids...), startStore(t, dir, d, ids...)}
				time.Sleep(3 * time.Second) // until the listed ids are saved
				d.writes.Store(0)
				var calls sync.WaitGroup
				var retries atomic.Int64
				for n := range 40 {
					calls.Go(func() {
						began := time.Now()
						err := setDrain(stores[n%2], ids[n/2], true)
						assert.LessOrEqual(t, time.Since(began), 450*time.Millisecond)
						for ; err != nil; err = setDrain(stores[n%2], ids[n/2], true) {
							assert.ErrorIs(t, err, ErrNotSavedYet)
							retries.Add(1)
						}
						now, err := parseRecord(readFile(t, dir))
						assert.NoError(t, err)
						assert.True(t, now.drained[ids[n/2]], "a confirmed drain is in the file")
					})
				}
				calls.Wait()
				assert.Equal(t, c.again, retries.Load() > 0)
				assert.LessOrEqual(t, d.writes.Load(), c.writes, "waiting calls share one write")
				time.Sleep(time.Second)
				assert.Len(t, stores[0].Drained(), 20)
				assert.Equal(t, stores[0].Drained(), stores[1].Drained())
			})
		})
	}
}

// readFile returns the content of the file of operator drains.
func readFile(t *testing.T, dir string) []byte {
	text, err := os.ReadFile(filepath.Join(dir, "lynxjunction.hands.json"))
	assert.NoError(t, err)
	return text
}

// A hanging disk must not delay readers of the store. On a full or failing disk no drain is confirmed, and it is saved once the disk
// works again.
func TestFailingDiskDelaysNoReaderAndIsRetried(t *testing.T) {
	full := error(syscall.ENOSPC)
	for _, c := range []struct {
		name  string
		disk  *disk
		fault *error
		want  error
	}{{"hangs", &disk{writeTime: time.Minute}, nil, ErrNotSavedYet}, {"full", &disk{}, &full, ErrNotSaved}, {"slow and full", &disk{writeTime: 75 * time.Millisecond}, &full, ErrNotSaved}} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c.disk.writeErr.Store(c.fault)
				h := startStore(t, dir, c.disk, "a", "b")
				began := time.Now()
				assert.ErrorIs(t, setDrain(h, "a", true), c.want)
				assert.LessOrEqual(t, time.Since(began), 450*time.Millisecond)
				at := time.Now()
				assert.Equal(t, []string{"a"}, h.Drained(), "in force although it is not saved")
				h.RecordListed("c")
				out, ever := h.Snapshot()
				assert.Equal(t, []any{1, 3}, []any{len(out), len(ever)})
				assert.Zero(t, time.Since(at), "readers do not wait for the disk")
				assert.NoFileExists(t, filepath.Join(dir, "lynxjunction.hands.json"))
				c.disk.writeErr.Store(nil)
				time.Sleep(3 * time.Minute)
				assert.Equal(t, []string{"a"}, New(dir, zap.NewNop()).Drained(), "saved once the disk works")
			})
		})
	}
}

// A change that was answered as not saved must not, when it is written at last, undo a later change made through the other process.
func TestLateWriteDoesNotUndoALaterChange(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		failing, working := &disk{}, &disk{}
		first, second := startStore(t, dir, failing, "a"), startStore(t, dir, working, "a")
		time.Sleep(time.Second)
		full := error(syscall.ENOSPC)
		failing.writeErr.Store(&full)
		assert.ErrorIs(t, setDrain(first, "a", true), ErrNotSaved)
		require.NoError(t, setDrain(second, "a", false), "an undrain that changes nothing still counts as the latest change")
		time.Sleep(time.Second)
		failing.writeErr.Store(nil)
		time.Sleep(time.Second)
		assert.Empty(t, first.Drained())
		assert.Empty(t, second.Drained())
	})
}

// Drains and listed ids outlast the process, changes written by another process apply here, and a damaged file changes nothing.
func TestDrainsOutlastTheProcess(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		first := startStore(t, dir, &disk{}, "a", "b")
		require.NoError(t, setDrain(first, "a", true))
		assert.ErrorIs(t, setDrain(first, "z", true), ErrNeverListed)
		second := startStore(t, dir, &disk{})
		reported := []string{}
		second.OnChange = func(id string, out bool) { reported = append(reported, fmt.Sprint(id, out)) }
		assert.Equal(t, []string{"a"}, second.Drained())
		require.NoError(t, setDrain(first, "b", true))
		time.Sleep(2 * pollInterval)
		require.NoError(t, setDrain(second, "a", false), "listed by the previous process")
		time.Sleep(2 * pollInterval)
		assert.Equal(t, []string{"b"}, first.Drained(), "one call through either process ends a drain")
		assert.Equal(t, []string{"btrue", "afalse"}, reported)
		first.RecordListed("late")
		require.NoError(t, setDrain(first, "late", true))
		assert.NoError(t, setDrain(second, "late", false), "only the other process had seen it listed")
		time.Sleep(2 * pollInterval)
		for _, damaged := range []string{"", `{"out":["b"`, `{"out":"b","ever":[]}`, `{"out":[7],"ever":[]}`} {
			require.NoError(t, os.WriteFile(first.file.path, []byte(damaged), 0o600))
			time.Sleep(2 * pollInterval)
			assert.Equal(t, []string{"b"}, first.Drained(), damaged)
		}
		require.NoError(t, setDrain(first, "a", true), "the next call rewrites the damaged file")
		assert.Equal(t, []string{"a", "b"}, New(dir, zap.NewNop()).Drained())
	})
}

// A write that is interrupted, as by a power cut, leaves the previous file. A file of a build without serials can be read, and older
// builds can read the file that is written.
func TestTornWriteLeavesThePreviousFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "lynxjunction.hands.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"out":["a"],"ever":["a","b"]}`), 0o600), "as written by a build without serials")
	require.NoError(t, os.WriteFile(path+".next", []byte(`{"out":["a","b"`), 0o600))
	h := startStore(t, dir, &disk{})
	assert.Equal(t, []string{"a"}, h.Drained())
	require.NoError(t, h.SetDrain(t.Context(), "b", true))
	assert.NoFileExists(t, path+".next")
	assert.Regexp(t, `^\{"out":\["a","b"\],"ever":\["a","b"\],"serial":1,"said":\{"b":1\}\}$`, string(readFile(t, dir)))
}

// Endpoint ids keep changing: the oldest listed ones are forgotten, but never one that is drained.
func TestListedIDsAreBounded(t *testing.T) {
	h := New("", zap.NewNop())
	h.RecordListed("old")
	require.NoError(t, h.SetDrain(t.Context(), "old", true))
	for n := range 2 * maxListed {
		h.RecordListed(fmt.Sprint(n))
	}
	_, ever := h.Snapshot()
	assert.Len(t, ever, maxListed)
	assert.NoError(t, h.SetDrain(t.Context(), "old", false))
}

// While the disk fails, the file can't pass changes between two processes, so that each sends its pending changes to the other. The
// later change wins, whichever process received it, and a later change in the file replaces a pending one.
func TestPendingChangesReachTheOtherProcessWhileTheDiskFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, d := t.TempDir(), &disk{}
		full := error(syscall.ENOSPC)
		d.writeErr.Store(&full)
		old, next := startStore(t, dir, d, "e1", "e2"), startStore(t, dir, d, "e1")
		assert.ErrorIs(t, setDrain(old, "e1", true), ErrNotSaved)
		assert.ErrorIs(t, setDrain(old, "e2", true), ErrNotSaved)
		assert.Empty(t, next.Drained())
		earlier := old.Pending()
		next.MergePending(earlier)
		assert.Equal(t, []string{"e1", "e2"}, next.Drained())
		time.Sleep(time.Millisecond)
		assert.ErrorIs(t, setDrain(next, "e1", false), ErrNotSaved)
		next.MergePending(earlier)
		assert.Equal(t, []string{"e2"}, next.Drained(), "a repeated message does not undo the later change")
		old.MergePending(next.Pending())
		assert.Equal(t, []string{"e2"}, old.Drained())
		d.writeErr.Store(nil)
		time.Sleep(2 * time.Second)
		assert.Empty(t, old.Pending())
		assert.Empty(t, next.Pending())
		assert.NoError(t, setDrain(old, "e2", false))
		time.Sleep(2 * pollInterval)
		next.MergePending(earlier)
		assert.Empty(t, next.Drained(), "the file has a later change")
	})
}
