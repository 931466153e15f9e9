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
	takes  time.Duration
	writes atomic.Int64
	fault  atomic.Pointer[error]
}

func (d *disk) replace(path string, text []byte) error {
	d.writes.Add(1)
	time.Sleep(d.takes)
	if err := d.fault.Load(); err != nil {
		return *err
	}
	return replace(path, text)
}

// open is one process's hands on a disk, running until the test ends.
func open(t *testing.T, dir string, d *disk, listed ...string) *Hands {
	h := New(dir, zap.NewNop())
	h.file.replace = d.replace
	for _, id := range listed {
		h.Listed(id)
	}
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan bool)
	go func() { h.Run(ctx); close(over) }()
	t.Cleanup(func() { stop(); <-over })
	return h
}

// change is a call with the console's patience.
func change(h *Hands, id string, out bool) error {
	ctx, done := context.WithTimeout(context.Background(), 450*time.Millisecond)
	defer done()
	return h.Change(ctx, id, out)
}

// Four calls at once on a disk of 75 ms were "not kept" when each wrote the file under a lock tried for 300 ms. Each is
// answered within its time, a yes is on the disk, and who is told to call again gets a yes in the end.
func TestManyCallsOnASlowDisk(t *testing.T) {
	for _, c := range []struct {
		takes  time.Duration
		writes int64 // at most, with the listed ids' own
		again  bool  // some are told to call again
	}{{0, 45, false}, {75 * time.Millisecond, 12, false}, {300 * time.Millisecond, 12, true}} {
		t.Run(c.takes.String(), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				d := &disk{takes: c.takes}
				ids := []string{}
				for n := range 20 {
					ids = append(ids, fmt.Sprint("s", n))
				}
				both := []*Hands{open(t, dir, d, ids...), open(t, dir, d, ids...)}
				time.Sleep(3 * time.Second) // listed ids are saved
				d.writes.Store(0)
				var all sync.WaitGroup
				var again atomic.Int64
				for n := range 40 {
					all.Go(func() {
						began := time.Now()
						err := change(both[n%2], ids[n/2], true)
						assert.LessOrEqual(t, time.Since(began), 450*time.Millisecond)
						for ; err != nil; err = change(both[n%2], ids[n/2], true) {
							assert.ErrorIs(t, err, ErrNotYet)
							again.Add(1)
						}
						now, err := parse(read(t, dir))
						assert.NoError(t, err)
						assert.True(t, now.out[ids[n/2]], "a yes is in the file")
					})
				}
				all.Wait()
				assert.Equal(t, c.again, again.Load() > 0)
				assert.LessOrEqual(t, d.writes.Load(), c.writes, "who waits goes into one write together")
				time.Sleep(time.Second)
				assert.Len(t, both[0].Bans(), 20)
				assert.Equal(t, both[0].Bans(), both[1].Bans())
			})
		})
	}
}

func read(t *testing.T, dir string) []byte {
	text, err := os.ReadFile(filepath.Join(dir, "lynxjunction.hands.json"))
	assert.NoError(t, err)
	return text
}

// A disk that hangs holds up no figure; one that is full or fails now and then gets no yes, and has all in the end.
func TestDiskThatFails(t *testing.T) {
	full := error(syscall.ENOSPC)
	for _, c := range []struct {
		name  string
		disk  *disk
		fault *error
		want  error
	}{{"hangs", &disk{takes: time.Minute}, nil, ErrNotYet}, {"full", &disk{}, &full, ErrNotKept}, {"slow and full", &disk{takes: 75 * time.Millisecond}, &full, ErrNotKept}} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c.disk.fault.Store(c.fault)
				h := open(t, dir, c.disk, "a", "b")
				began := time.Now()
				assert.ErrorIs(t, change(h, "a", true), c.want)
				assert.LessOrEqual(t, time.Since(began), 450*time.Millisecond)
				at := time.Now()
				assert.Equal(t, []string{"a"}, h.Bans(), "in force all the same")
				h.Listed("c")
				out, ever := h.All()
				assert.Equal(t, []any{1, 3}, []any{len(out), len(ever)})
				assert.Zero(t, time.Since(at), "no figure waits for the disk")
				assert.NoFileExists(t, filepath.Join(dir, "lynxjunction.hands.json"))
				c.disk.fault.Store(nil)
				time.Sleep(3 * time.Minute)
				assert.Equal(t, []string{"a"}, New(dir, zap.NewNop()).Bans(), "written once the disk can")
			})
		})
	}
}

// What was answered "not kept" must not undo, when it is written at last, what staff said later at the other process.
func TestLaterWordWins(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		bad, good := &disk{}, &disk{}
		first, second := open(t, dir, bad, "a"), open(t, dir, good, "a")
		time.Sleep(time.Second)
		full := error(syscall.ENOSPC)
		bad.fault.Store(&full)
		assert.ErrorIs(t, change(first, "a", true), ErrNotKept)
		require.NoError(t, change(second, "a", false), "nothing changes in what is out; it is a word all the same")
		time.Sleep(time.Second)
		bad.fault.Store(nil)
		time.Sleep(time.Second)
		assert.Empty(t, first.Bans())
		assert.Empty(t, second.Bans())
	})
}

// Bans and ids once listed outlast the process; what another process writes holds here; a spoilt file changes nothing.
func TestHandsOutlastTheProcess(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		first := open(t, dir, &disk{}, "a", "b")
		require.NoError(t, change(first, "a", true))
		assert.ErrorIs(t, change(first, "z", true), ErrNeverListed)
		second := open(t, dir, &disk{})
		told := []string{}
		second.Tell = func(id string, out bool) { told = append(told, fmt.Sprint(id, out)) }
		assert.Equal(t, []string{"a"}, second.Bans())
		require.NoError(t, change(first, "b", true))
		time.Sleep(2 * lookTime)
		require.NoError(t, change(second, "a", false), "listed by the process before")
		time.Sleep(2 * lookTime)
		assert.Equal(t, []string{"b"}, first.Bans(), "a single call ends it, at either")
		assert.Equal(t, []string{"btrue", "afalse"}, told)
		first.Listed("late")
		require.NoError(t, change(first, "late", true))
		assert.NoError(t, change(second, "late", false), "only the other process had met it")
		time.Sleep(2 * lookTime)
		for _, spoilt := range []string{"", `{"out":["b"`, `{"out":"b","ever":[]}`, `{"out":[7],"ever":[]}`} {
			require.NoError(t, os.WriteFile(first.file.path, []byte(spoilt), 0o600))
			time.Sleep(2 * lookTime)
			assert.Equal(t, []string{"b"}, first.Bans(), spoilt)
		}
		require.NoError(t, change(first, "a", true), "and the next call mends it")
		assert.Equal(t, []string{"a", "b"}, New(dir, zap.NewNop()).Bans())
	})
}

// A write that ends halfway, as a power cut ends it, leaves the file before it; a build of before reads what we write.
func TestTornWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "lynxjunction.hands.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"out":["a"],"ever":["a","b"]}`), 0o600), "as written by a build without serials")
	require.NoError(t, os.WriteFile(path+".next", []byte(`{"out":["a","b"`), 0o600))
	h := open(t, dir, &disk{})
	assert.Equal(t, []string{"a"}, h.Bans())
	require.NoError(t, h.Change(t.Context(), "b", true))
	assert.NoFileExists(t, path+".next")
	assert.Regexp(t, `^\{"out":\["a","b"\],"ever":\["a","b"\],"serial":1,"said":\{"b":1\}\}$`, string(read(t, dir)))
}

// Ids are ever new: the oldest are forgotten, but never one that is out.
func TestEverListedIsBounded(t *testing.T) {
	h := New("", zap.NewNop())
	h.Listed("old")
	require.NoError(t, h.Change(t.Context(), "old", true))
	for n := range 2 * everMost {
		h.Listed(fmt.Sprint(n))
	}
	_, ever := h.All()
	assert.Len(t, ever, everMost)
	assert.NoError(t, h.Change(t.Context(), "old", false))
}

// While the disk fails, the file that two processes share can't carry what staff said: each tells the other its calls that are not kept.
// The later call wins, whichever process heard it, and what the file says later than a call ends it.
func TestCallsReachTheOtherProcessWhileTheDiskFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, d := t.TempDir(), &disk{}
		full := error(syscall.ENOSPC)
		d.fault.Store(&full)
		old, next := open(t, dir, d, "e1", "e2"), open(t, dir, d, "e1")
		assert.ErrorIs(t, change(old, "e1", true), ErrNotKept)
		assert.ErrorIs(t, change(old, "e2", true), ErrNotKept)
		assert.Empty(t, next.Bans())
		earlier := old.Wishes()
		next.Hear(earlier)
		assert.Equal(t, []string{"e1", "e2"}, next.Bans())
		time.Sleep(time.Millisecond)
		assert.ErrorIs(t, change(next, "e1", false), ErrNotKept)
		next.Hear(earlier)
		assert.Equal(t, []string{"e2"}, next.Bans(), "what is told again takes nothing back")
		old.Hear(next.Wishes())
		assert.Equal(t, []string{"e2"}, old.Bans())
		d.fault.Store(nil)
		time.Sleep(2 * time.Second)
		assert.Empty(t, old.Wishes())
		assert.Empty(t, next.Wishes())
		assert.NoError(t, change(old, "e2", false))
		time.Sleep(2 * lookTime)
		next.Hear(earlier)
		assert.Empty(t, next.Bans(), "the file has a later word")
	})
}
