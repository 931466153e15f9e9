// This file owns since when the last byte of a streamed request may have been on its way. The sidecar reads no further than the
// endpoint takes, so that the end of a request that its client has written whole may stand unread, here or in the client's kernel.
// The client's timeout runs from that byte all the same.

package sidecar

import (
	"sync"
	"time"
)

const (
	// clientKernelBytes is what the kernel of a client may hold of a request that the client has written whole (the default
	// maximum in net.ipv4.tcp_wmem).
	clientKernelBytes = 4 << 20
	// arrivalMarkBytes is the distance between two marks of an arrivalLog.
	arrivalMarkBytes = 1 << 20
	// maxArrivalMarks bounds the marks: they reach back by more than clientKernelBytes.
	maxArrivalMarks = 2 * clientKernelBytes / arrivalMarkBytes
	// minReadWait is the least duration of a read after which it counts as having waited for the client.
	minReadWait = time.Millisecond
	// openWindowBytes is how much may be unread while the client can certainly send more.
	openWindowBytes = 32 << 10
)

// arrivalMark says how much of a request had arrived at a time.
type arrivalMark struct {
	at      time.Time
	arrived int64
}

// arrivalLog follows how a streamed request arrives. Its methods may be called by any goroutine.
type arrivalLog struct {
	mu         sync.Mutex
	read       int64
	waiting    bool      // for the client to send more: all that arrived has been read
	waitedAt   time.Time // when that was last so
	marks      []arrivalMark
	windowSize int64 // that the kernel was asked for
}

// startRead is called before each read from the client.
func (a *arrivalLog) startRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = true
}

// endRead is called after each read of n bytes, of which unread tells what the kernel still holds.
func (a *arrivalLog) endRead(now time.Time, n int, took time.Duration, unread func() int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = false
	if took >= minReadWait {
		a.waitedAt = now
	}
	before := a.read
	if a.read += int64(n); before/arrivalMarkBytes == a.read/arrivalMarkBytes {
		return
	}
	if len(a.marks) == maxArrivalMarks {
		a.marks = append(a.marks[:0], a.marks[1:]...)
	}
	a.marks = append(a.marks, arrivalMark{now, a.read + unread()})
}

// lastByteNotBefore returns the earliest time at which the client can have written the request's last byte. The kernel holds
// unread bytes, the last of which came at lastArrival; length is the request's, -1 if unknown.
func (a *arrivalLog) lastByteNotBefore(now, lastArrival time.Time, unread, length int64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	arrived := a.read + unread
	if a.waiting && unread == 0 || length > arrived+clientKernelBytes {
		return now // it has not written it
	}
	earliest := a.waitedAt
	if unread < max(a.windowSize/2, openWindowBytes) && lastArrival.After(earliest) {
		earliest = lastArrival // the client could send on, and all that it has written is here
	}
	for _, mark := range a.marks {
		if mark.arrived+clientKernelBytes <= arrived && mark.at.After(earliest) {
			earliest = mark.at // what has come since is more than its kernel held then
		}
	}
	return earliest
}
