// Package callqueue models the queue of calls at a discovery service: calls are served in order, each takes a fixed amount of work,
// and the work of abandoned calls is done too. Tests and scenario runs put it in front of a list service. It is independent of
// the content of lists.
package callqueue

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrRefused is returned for a call that gets no answer because the queue is too long or discovery is down.
var ErrRefused = errors.New("call refused")

// Policy says what happens to calls that would wait longer than the longest wait of the queue.
type Policy int

const (
	// Wait lets each call wait for its turn.
	Wait Policy = iota
	// Drop refuses a call once it has waited for the longest wait.
	Drop
	// Refuse refuses at once a call that would wait longer than the longest wait, and with it the other calls of its caller.
	Refuse
	// NumPolicies is the number of policies.
	NumPolicies
)

// Queue is the queue of one discovery service. It is safe for concurrent use.
type Queue struct {
	work    time.Duration
	maxWait time.Duration
	policy  Policy

	mu        sync.Mutex
	calls     []*call // the first one is being served
	down      bool
	callCount int
}

// call is a call in the queue. It keeps its position and its work when it is refused or abandoned.
type call struct {
	caller  string
	done    chan struct{} // closed when the call is served or refused
	refused bool
	settled bool
}

// New returns an empty queue. work is the time that each call takes; the policy Wait ignores maxWait.
func New(work, maxWait time.Duration, policy Policy) *Queue {
	return &Queue{work: work, maxWait: maxWait, policy: policy}
}

// Take enqueues a call and waits until it is served. It returns ErrRefused if the call is refused, or the context's error if the
// caller gives up before.
func (q *Queue) Take(ctx context.Context, caller string) error {
	c, err := q.enqueue(caller)
	if err != nil {
		return err
	}
	var dropTimer <-chan time.Time
	if q.policy == Drop {
		timer := time.NewTimer(q.maxWait)
		defer timer.Stop()
		dropTimer = timer.C
	}
	for {
		select {
		case <-c.done:
			if c.refused {
				return ErrRefused
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-dropTimer:
			dropTimer = nil
			q.drop(c)
		}
	}
}

// enqueue appends a call to the queue or refuses it.
func (q *Queue) enqueue(caller string) (*call, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.callCount++
	if q.down {
		return nil, ErrRefused
	}
	if q.policy == Refuse && time.Duration(len(q.calls))*q.work > q.maxWait {
		for _, other := range q.calls {
			if other.caller == caller {
				other.refuse()
			}
		}
		return nil, ErrRefused
	}
	c := &call{caller: caller, done: make(chan struct{})}
	if q.calls = append(q.calls, c); len(q.calls) == 1 {
		time.AfterFunc(q.work, q.finish)
	}
	return c, nil
}

// finish completes the first call and starts the work of the next.
func (q *Queue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.calls) == 0 {
		return // cannot happen: only finish removes the first call
	}
	q.calls[0].settle(false)
	if q.calls = q.calls[1:]; len(q.calls) > 0 {
		time.AfterFunc(q.work, q.finish)
	}
}

// drop refuses a call whose work has not begun and removes it from the queue, so that it costs no work.
func (q *Queue) drop(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, other := range q.calls {
		if other == c && n > 0 {
			q.calls = append(q.calls[:n], q.calls[n+1:]...)
			c.refuse()
			return
		}
	}
}

func (c *call) refuse() { c.settle(true) }

func (c *call) settle(refused bool) {
	if !c.settled {
		c.settled, c.refused = true, refused
		close(c.done)
	}
}

// Down refuses all queued calls, and all new ones until Up.
func (q *Queue) Down() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.down = true
	for _, c := range q.calls {
		c.refuse()
	}
}

// Up accepts calls again. CallCount restarts from 0.
func (q *Queue) Up() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.down, q.callCount = false, 0
}

// CallCount returns the number of calls made since the queue was created or last came Up.
func (q *Queue) CallCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.callCount
}
