// This file owns the commit of an attempt: the moment in which the last byte of its request is released to the endpoint. An
// endpoint begins a request when its last byte has come. So an attempt that was not committed has not run, and giving it up is
// no cancel. Invariants: nothing is committed for an exchange that has its answer or whose client has left; all commits of an
// exchange whose repeats are dropped by endpoints fall into one window that is shorter than endpoints know its key.

package sidecar

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	// repeatWindowShare is the part of the time for which endpoints recognise a repeat in which attempts are committed. The
	// rest is left for the last byte's way.
	repeatWindowShare = 0.95
	// maxAcknowledgementDelay is how long a kernel may take to acknowledge data that has arrived. Data without an
	// acknowledgement for longer was lost on its way, and is sent again for as long as its connection is open.
	maxAcknowledgementDelay = 250 * time.Millisecond
)

// commitGate decides which attempts of one exchange are committed. The zero value commits each, until it is closed. Its
// methods may be called by any goroutine and never block; a nil gate, that of a probe, commits everything.
type commitGate struct {
	mu           sync.Mutex
	closed       bool          // nothing is committed any more
	dropsRepeats bool          // endpoints drop repeats for a while
	repeatWindow time.Duration // from the first commit that may have run to the last; only with dropsRepeats
	attempts     int           // that were added
	running      []*leg        // attempts that have not ended
	earlierRun   time.Time     // first commit among the ended attempts that may have run; zero for none
	expiry       *time.Timer   // calls expire at the window's end; nil as long as no attempt needs it
}

// setRepeatWindow bounds the commits to the time for which endpoints know an idempotency key.
func (c *commitGate) setRepeatWindow(keyMemory time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropsRepeats = true
	c.repeatWindow = time.Duration(float64(keyMemory) * repeatWindowShare)
}

// add adds an attempt, which must be ended later.
func (c *commitGate) add(g *leg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		g.cancelCause(errExchangeOver)
		return
	}
	c.attempts++
	c.running = append(c.running, g)
	c.scheduleExpiry()
}

// check returns why no attempt may be committed now; nil if one may.
func (c *commitGate) check() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkAt(time.Now())
}

// checkAt is check at a given time. The caller holds mu.
func (c *commitGate) checkAt(now time.Time) error {
	if c.closed {
		return errExchangeOver
	}
	if end, bounded := c.windowEnd(); bounded && now.After(end) {
		return errRepeatWindowOver
	}
	return nil
}

// commit commits an attempt, whose last byte must be written to the connection at once. It returns why the attempt may not be
// committed, if so.
func (c *commitGate) commit(g *leg, conn *endpointConn) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := g.cancelled(); err != nil {
		return err
	}
	now := time.Now()
	if err := c.checkAt(now); err != nil {
		return err
	}
	g.committedAt, g.committedOn = now, conn
	c.scheduleExpiry()
	return nil
}

// end removes an attempt that has ended with an error, or with nil if it was answered.
func (c *commitGate) end(g *leg, fault *legError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(c.running, func(o *leg) bool { return o == g })
	if !g.committedAt.IsZero() && !fault.neverRan() {
		c.earlierRun = earliest(c.earlierRun, g.committedAt)
	}
	if len(c.running) == 0 && c.expiry != nil {
		c.expiry.Stop() // it would keep the exchange in memory
	}
}

// close is called when the exchange has its answer or its client has left: nothing is committed any more, and what can still
// be held back is.
func (c *commitGate) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, g := range c.running {
		switch g.deliveryOfLastByte() {
		case unsent, lost:
			g.cancelCause(errExchangeOver)
		}
	}
}

// windowEnd returns when the last attempt may be committed. bounded is false if there is no such time: nothing may have run
// yet, or repeats do no harm. The caller holds mu.
func (c *commitGate) windowEnd() (end time.Time, bounded bool) {
	if !c.dropsRepeats {
		return time.Time{}, false
	}
	firstRun := c.earlierRun
	for _, g := range c.running {
		firstRun = earliest(firstRun, g.committedAt)
	}
	return firstRun.Add(c.repeatWindow), !firstRun.IsZero()
}

// scheduleExpiry has expire called at the window's end if there is more than one attempt. The caller holds mu.
func (c *commitGate) scheduleExpiry() {
	end, bounded := c.windowEnd()
	if !bounded || c.attempts < 2 || len(c.running) == 0 {
		return
	}
	c.expireAfter(time.Until(end))
}

func (c *commitGate) expireAfter(wait time.Duration) {
	if c.expiry == nil {
		c.expiry = time.AfterFunc(wait, c.expire)
	} else {
		c.expiry.Reset(wait)
	}
}

// expire gives up the attempts whose last byte has not come by the window's end: endpoints may have forgotten the key of the
// one that ran.
func (c *commitGate) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, bounded := c.windowEnd()
	if !bounded || time.Now().Before(end) { // what opened the window is known not to have run
		c.scheduleExpiry()
		return
	}
	for _, g := range c.running {
		switch g.deliveryOfLastByte() {
		case unsent, lost:
			g.cancelCause(errRepeatWindowOver)
		case unacknowledged:
			c.expireAfter(maxAcknowledgementDelay)
		}
	}
}

// earliest returns the earlier of two times of which the zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// delivery is how far the last byte of an attempt has come, as far as the kernel knows.
type delivery int

const (
	unsent         delivery = iota // it has not left this machine: it is not committed, or its endpoint has no room for it
	lost                           // it was sent, and should have been acknowledged by now; it will be sent again
	unacknowledged                 // it was sent a moment ago
	delivered
)

// deliveryOfLastByte returns how far the leg's last byte has come. The caller holds the gate's mu.
func (g *leg) deliveryOfLastByte() delivery {
	if g.committedAt.IsZero() {
		return unsent
	}
	queued, inFlight := g.committedOn.sendQueue()
	switch {
	case queued > 0:
		return unsent
	case inFlight == 0:
		return delivered
	case time.Since(g.committedAt) > maxAcknowledgementDelay:
		return lost
	}
	return unacknowledged
}

// withRepeatWindowOver returns the error of a leg; one that was given up at the end of the repeat window has failed by its
// endpoint, not by a cancel.
func (g *leg) withRepeatWindowOver(fault *legError) *legError {
	if fault == nil || fault.outcome != logic.Cancelled || !errors.Is(g.cancelled(), errRepeatWindowOver) {
		return fault
	}
	return newLegError(fault.stage, fmt.Errorf("%w: %w", errRepeatWindowOver, fault.cause), false)
}
