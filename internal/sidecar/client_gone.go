// This file finds out whether the client of a request has closed its connection, and whether a long request has arrived whole,
// where the sidecar has not read that far. A client's close stands behind the bytes that it sent before, and its own kernel
// holds both back while the receive window has no room for them. So the kernel here is asked to hold the unread rest of long
// requests; what it holds takes none of the process's memory.

package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// maxUnreadBytes is how much of one request the kernel is asked to hold unread. It is about what its client's kernel holds
	// of a request that has been written whole, and most kernels hold no more than 3 MiB (half of the maximum in
	// net.ipv4.tcp_rmem).
	maxUnreadBytes = 4 << 20
	// unreadSlackBytes is room beyond the request, so that the close behind it has room too.
	unreadSlackBytes = 64 << 10
	// unreadMemoryShare is the share of the configured memory that all unread requests together may take of the kernel's.
	unreadMemoryShare = 0.5
	// closeSettleTime is how long after the first read of a long request's rest a close that was sent before is sure to be here:
	// that read opens the receive window, and all that was held back for lack of room follows.
	closeSettleTime = 20 * time.Millisecond
	// maxCloseSettleTime bounds the wait for that, for clients that pause between the head and the body.
	maxCloseSettleTime = 40 * time.Millisecond
	// closePollTime is the time between two looks whether the rest of a request has arrived.
	closePollTime = time.Millisecond
)

// unreadBudget bounds the bytes of long requests that the kernel is asked to hold unread.
type unreadBudget struct {
	limit    int64
	reserved atomic.Int64
}

// reserve returns how many of n bytes were reserved, which must be released later. It is 0 if less than unreadSlackBytes are left.
func (b *unreadBudget) reserve(n int64) int64 {
	left := b.limit - b.reserved.Add(n) + n
	granted := min(n, left)
	if granted < unreadSlackBytes {
		granted = 0
	}
	b.reserved.Add(granted - n)
	return granted
}

func (b *unreadBudget) release(n int64) { b.reserved.Add(-n) }

// holdUnread has the kernel hold the unread rest of a long request as far as the budget allows. The caller must call release
// when the request is over.
func (s *clientServer) holdUnread(c *clientConn, rest *streamedRequest) (release func()) {
	wanted := int64(maxUnreadBytes)
	if rest.length >= 0 {
		wanted = min(rest.length, wanted)
	}
	granted := s.unreadBudget.reserve(wanted + unreadSlackBytes)
	rest.arrivals.windowSize = granted
	if granted > 0 && c != nil {
		c.growReceiveWindow(int(granted))
	}
	return func() { s.unreadBudget.release(granted) }
}

// abandonedByClient reports whether the client has closed its connection. It also asks the kernel: the end of the
// connection may wait unread behind the request if the process was stalled or is short of CPU.
func (x *exchange) abandonedByClient() bool {
	return injectedFault != "deserted" && x != nil && (x.clientGone.Load() || x.client != nil && x.client.peekState() == connEnded)
}

// arrivedWhole reports whether all of a request has arrived, be it read or not. It is false if that is unknown: the end of a body
// in chunks can't be found without reading it.
func (x *exchange) arrivedWhole(rest *streamedRequest) bool {
	switch {
	case x.client == nil:
		return false
	case x.client.bodyEndRead.Load():
		return true
	case rest.length < 0:
		return false
	}
	left := x.client.bodyLeft.Load() // before the kernel is asked: what is read in between must not count twice
	return x.client.unreadBytes() >= left
}

// lastByteNotBefore returns the earliest time at which the client can have written the last byte of a streamed request.
func (x *exchange) lastByteNotBefore(now time.Time) time.Time {
	rest := x.request.remaining
	if x.client == nil || rest == nil {
		return now
	}
	lastArrival := now.Add(-x.client.unreadFor())
	if x.arrivedWhole(rest) {
		return lastArrival
	}
	return rest.arrivals.lastByteNotBefore(now, lastArrival, x.client.unreadBytes(), rest.length)
}

// awaitVisibleClose returns once the client's close would be visible, had the client closed its connection some time ago after
// writing all of its long request: when the request has arrived whole, or was given time to arrive.
func (x *exchange) awaitVisibleClose(ctx context.Context, rest *streamedRequest) {
	if x == nil || rest == nil {
		return
	}
	giveUpAt := time.Now().Add(maxCloseSettleTime)
	for ctx.Err() == nil && !x.arrivedWhole(rest) && !rest.settled() && time.Now().Before(giveUpAt) {
		time.Sleep(closePollTime)
	}
}

// settled reports whether the rest of the request has been read from for closeSettleTime.
func (r *streamedRequest) settled() bool {
	firstRead := r.firstRead.Load()
	return firstRead != nil && time.Since(*firstRead) >= closeSettleTime
}
