package callqueue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// waitTimes makes count calls at once, each of its own caller, and returns how long each waited. The time of a refused call is
// negative, less 1 ns.
func waitTimes(t *testing.T, q *Queue, count int) (waited []time.Duration) {
	results := make(chan time.Duration, count)
	for n := range count {
		began := time.Now()
		go func() {
			err := q.Take(t.Context(), string(rune('a'+n)))
			if err != nil {
				results <- -time.Since(began) - 1
				return
			}
			results <- time.Since(began)
		}()
		synctest.Wait()
	}
	for range count {
		waited = append(waited, <-results)
	}
	return waited
}

func TestCallsAreServedInOrder(t *testing.T) {
	const work, maxWait = time.Second, 2500 * time.Millisecond
	for _, c := range []struct {
		policy Policy
		want   []time.Duration
	}{
		{Wait, []time.Duration{1e9, 2e9, 3e9, 4e9, 5e9}},
		{Drop, []time.Duration{1e9, 2e9, -25e8 - 1, -25e8 - 1, 3e9}},
		{Refuse, []time.Duration{-1, -1, 1e9, 2e9, 3e9}},
	} {
		synctest.Test(t, func(t *testing.T) {
			assert.ElementsMatch(t, c.want, waitTimes(t, New(work, maxWait, c.policy), 5), "policy %d", c.policy)
		})
	}
}

// The work of an abandoned call is done nevertheless, and a refused call ends the other calls of its caller.
func TestAbandonedCallsKeepTheirQueuePositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(time.Second, 1500*time.Millisecond, Refuse)
		ctx, cancel := context.WithCancel(t.Context())
		go q.Take(ctx, "a")
		synctest.Wait()
		cancel()
		first := make(chan error, 1)
		go func() { first <- q.Take(t.Context(), "b") }()
		synctest.Wait()
		assert.ErrorIs(t, q.Take(t.Context(), "b"), ErrRefused, "two calls are in the queue")
		assert.ErrorIs(t, <-first, ErrRefused)
		time.Sleep(1100 * time.Millisecond)
		began := time.Now()
		assert.NoError(t, q.Take(t.Context(), "c"))
		assert.Equal(t, 1900*time.Millisecond, time.Since(began), "after the work of the refused call of b")
		q.Down()
		assert.ErrorIs(t, q.Take(t.Context(), "c"), ErrRefused)
		q.Up()
		assert.NoError(t, q.Take(t.Context(), "c"))
		assert.Equal(t, 1, q.CallCount())
	})
}
