// Package callqueue is the queue of calls at a stand-in of discovery: it works through them in turn, a fixed work each, and does
// the work of those that were given up too. Tests and rehearsals put it before a list service. It knows nothing of lists.
package callqueue

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrRefused is that of a call which gets no answer: the queue is too long, or discovery is down.
var ErrRefused = errors.New("call refused")

// Policy is what becomes of calls that would wait longer than the queue's patience.
type Policy int

const (
	// Wait has each call wait for its turn.
	Wait Policy = iota
	// Drop refuses a call that has waited for the patience.
	Drop
	// Refuse refuses at once a call that would wait longer, and the other calls of its caller with it.
	Refuse
	// Policies is how many there are.
	NumPolicies
)

// Queue is the queue of one discovery. It may be used from any goroutine.
type Queue struct {
	work    time.Duration
	maxWait time.Duration
	policy  Policy

	mu        sync.Mutex
	calls     []*call // the first is in work
	down      bool
	callCount int
}

// call is one in the queue. Its place and its work stay when it is refused or given up.
type call struct {
	caller  string
	done    chan struct{} // closed when its turn is over, or it is refused
	refused bool
	settled bool
}

// New is an empty queue; work is that of each call, and patience is of no use to Wait.
func New(work, maxWait time.Duration, policy Policy) *Queue {
	return &Queue{work: work, maxWait: maxWait, policy: policy}
}

// Take waits until discovery has done a call's work. It returns ErrRefused, or the context's error where the caller has given up.
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

// join puts a call at the end of the queue, or refuses it.
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

// finish ends the work of the first call and begins that of the next.
func (q *Queue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.calls) == 0 {
		return // the queue went down meanwhile
	}
	q.calls[0].settle(false)
	if q.calls = q.calls[1:]; len(q.calls) > 0 {
		time.AfterFunc(q.work, q.finish)
	}
}

// drop refuses a call whose work has not begun; it costs none then.
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

// Down refuses all calls, those that wait too, until Up.
func (q *Queue) Down() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.down = true
	for _, c := range q.calls {
		c.refuse()
	}
}

// Up takes calls again. Those from before Down are forgotten.
func (q *Queue) Up() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.down, q.callCount = false, 0
}

// Made is how many calls were made since the queue began, or came Up.
func (q *Queue) CallCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.callCount
}
