// This file bounds the share of the processor that goes to requests which the server answers itself: its own pages and errors.
// They pass no queue and wait for nobody, so that a client that sends them one after the other keeps its goroutine running, and
// the goroutines of all others wait for their turn at each of their steps.

package sidecar

import (
	"sync"
	"time"
)

const (
	// ownAnswersShare is the share of one processor that such requests get while others want it.
	ownAnswersShare = 0.5
	// maxOwnAnswersDebt is how much processor time they may be ahead before their connections pause.
	maxOwnAnswersDebt = 500 * time.Microsecond
	// maxOwnAnswerTime bounds what one of them is charged: the time until its answer is written also has waits in it.
	maxOwnAnswerTime = 200 * time.Microsecond
	// maxOwnAnswersPause bounds a pause.
	maxOwnAnswersPause = 50 * time.Millisecond
)

// processorShare accounts for the processor time of the requests that the server answers itself. Its methods may be called by any
// goroutine.
type processorShare struct {
	mu     sync.Mutex
	debt   time.Duration // processor time that was used and is not paid for yet
	paidAt time.Time     // up to when the debt has been paid off
}

// charge adds the time of one request at a time and returns how long its connection has to pause before the next one.
func (p *processorShare) charge(now time.Time, took time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	paid := time.Duration(float64(now.Sub(p.paidAt)) * ownAnswersShare)
	p.paidAt = now
	p.debt = max(p.debt-paid, 0) + min(took, maxOwnAnswerTime)
	if p.debt <= maxOwnAnswersDebt {
		return 0
	}
	p.debt = min(p.debt, time.Duration(float64(maxOwnAnswersPause)*ownAnswersShare))
	return time.Duration(float64(p.debt) / ownAnswersShare)
}
