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

// disk is a seam's disk: it takes its time on the test's clock, so that no verdict hangs on the machine's.
type disk struct {
	writeTime time.Duration
	writes    atomic.Int64
	writeErr  atomic.Pointer[error]
}

func (d *disk) replace(path string, text []byte) error {
	d.writes.Add(1)
	time.Sleep(d.writeTime)
	if err := d.writeErr.Load(); err != nil {
		return *err
	}
	return replace(path, text)
}

// open is one process's hands on a disk, running until the test ends.
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

// change is a call with the console's patience.
func setDrain(h *DrainStore, id string, drained bool) error {
	ctx, done := context.WithTimeout(context.Background(), 450*time.Millisecond)
	defer done()
	return h.SetDrain(ctx, id, drained)
}

// Four calls at once on a disk of 75 ms were "not kept" when each wrote the file under a lock tried for 300 ms. Each is
// answered within its time, a yes is on the disk, and who is told to call again gets a yes in the end.
func TestConcurrentCallsOnASlowDiskShareWrites(t *testing.T) {
	for _, c := range []struct {
		takes  time.Duration
		writes int64 // at most, with the listed ids' own
		again  bool  // some are told to call again
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
				time.Sleep(3 * time.Second) // listed ids are saved
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
						assert.True(t, now.drained[ids[n/2]], "a yes is in the file")
					})
				}
				calls.Wait()
				assert.Equal(t, c.again, retries.Load() > 0)
				assert.LessOrEqual(t, d.writes.Load(), c.writes, "who waits goes into one write together")
				time.Sleep(time.Second)
				assert.Len(t, stores[0].Drained(), 20)
				assert.Equal(t, stores[0].Drained(), stores[1].Drained())
			})
		})
	}
}

func readFile(t *testing.T, dir string) []byte {
	text, err := os.ReadFile(filepath.Join(dir, "lynxjunction.hands.json"))
	assert.NoError(t, err)
	return text
}

// A disk that hangs holds up no figure; one that is full or fails now and then gets no yes, and has all in the end.
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
				assert.Equal(t, []string{"a"}, h.Drained(), "in force all the same")
				h.RecordListed("c")
				out, ever := h.Snapshot()
				assert.Equal(t, []any{1, 3}, []any{len(out), len(ever)})
				assert.Zero(t, time.Since(at), "no figure waits for the disk")
				assert.NoFileExists(t, filepath.Join(dir, "lynxjunction.hands.json"))
				c.disk.writeErr.Store(nil)
				time.Sleep(3 * time.Minute)
				assert.Equal(t, []string{"a"}, New(dir, zap.NewNop()).Drained(), "written once the disk can")
			})
		})
	}
}

// What was answered "not kept" must not undo, when it is written at last, what staff said later at the other process.
func TestLateWriteDoesNotUndoALaterChange(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		failing, working := &disk{}, &disk{}
		first, second := startStore(t, dir, failing, "a"), startStore(t, dir, working, "a")
		time.Sleep(time.Second)
		full := error(syscall.ENOSPC)
		failing.writeErr.Store(&full)
		assert.ErrorIs(t, setDrain(first, "a", true), ErrNotSaved)
		require.NoError(t, setDrain(second, "a", false), "nothing changes in what is out; it is a word all the same")
		time.Sleep(time.Second)
		failing.writeErr.Store(nil)
		time.Sleep(time.Second)
		assert.Empty(t, first.Drained())
		assert.Empty(t, second.Drained())
	})
}

// Bans and ids once listed outlast the process; what another process writes holds here; a spoilt file changes nothing.
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
		require.NoError(t, setDrain(second, "a", false), "listed by the process before")
		time.Sleep(2 * pollInterval)
		assert.Equal(t, []string{"b"}, first.Drained(), "a single call ends it, at either")
		assert.Equal(t, []string{"btrue", "afalse"}, reported)
		first.RecordListed("late")
		require.NoError(t, setDrain(first, "late", true))
		assert.NoError(t, setDrain(second, "late", false), "only the other process had met it")
		time.Sleep(2 * pollInterval)
		for _, damaged := range []string{"", `{"out":["b"`, `{"out":"b","ever":[]}`, `{"out":[7],"ever":[]}`} {
			require.NoError(t, os.WriteFile(first.file.path, []byte(damaged), 0o600))
			time.Sleep(2 * pollInterval)
			assert.Equal(t, []string{"b"}, first.Drained(), damaged)
		}
		require.NoError(t, setDrain(first, "a", true), "and the next call mends it")
		assert.Equal(t, []string{"a", "b"}, New(dir, zap.NewNop()).Drained())
	})
}

// A write that ends halfway, as a power cut ends it, leaves the file before it; a build of before reads what we write.
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

// Ids are ever new: the oldest are forgotten, but never one that is out.
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

// While the disk fails, the file that two processes share can't carry what staff said: each tells the other its calls that are not kept.
// The later call wins, whichever process heard it, and what the file says later than a call ends it.
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
		assert.Equal(t, []string{"e2"}, next.Drained(), "what is told again takes nothing back")
		old.MergePending(next.Pending())
		assert.Equal(t, []string{"e2"}, old.Drained())
		d.writeErr.Store(nil)
		time.Sleep(2 * time.Second)
		assert.Empty(t, old.Pending())
		assert.Empty(t, next.Pending())
		assert.NoError(t, setDrain(old, "e2", false))
		time.Sleep(2 * pollInterval)
		next.MergePending(earlier)
		assert.Empty(t, next.Drained(), "the file has a later word")
	})
}
