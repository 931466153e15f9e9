// Lag of the rig itself: times in which the rig ran late, so that its endpoints and clients recorded events too late.
// There are two measures: a loop that checks how late it wakes up, and timestamps sent over one of the rig's own
// connections, which wait to be read as an endpoint's data does. In a process with thousands of connections the second
// shows far more lag than the first.

package rig

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"time"
)

const (
	lagProbeInterval = 5 * time.Millisecond // between two probes of either measure
	lagThreshold     = 4 * lagProbeInterval // the rig counts as late above it
)

// monitorScheduling records when the rig was not scheduled for longer than lagThreshold.
func (r *Rig) monitorScheduling(ctx context.Context) {
	for last := r.now(); ctx.Err() == nil; last = r.now() {
		time.Sleep(lagProbeInterval)
		if now := r.now(); now-last > float64(lagThreshold.Milliseconds()) {
			r.book.RecordHarnessDelay(last, now)
		}
	}
}

// monitorSocketLag records when the rig read data from a connection of its own late. It starts goroutines that end with
// ctx.
func (r *Rig) monitorSocketLag(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	sender, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return err
	}
	receiver, err := ln.Accept()
	if err != nil {
		sender.Close()
		return err
	}
	context.AfterFunc(ctx, func() { sender.Close(); receiver.Close() })
	go r.sendTimestamps(ctx, sender)
	go r.readTimestamps(receiver)
	return nil
}

// sendTimestamps writes the present time every lagProbeInterval.
func (r *Rig) sendTimestamps(ctx context.Context, to net.Conn) {
	for ctx.Err() == nil {
		if binary.Write(to, binary.BigEndian, math.Float64bits(r.now())) != nil {
			return
		}
		time.Sleep(lagProbeInterval)
	}
}

// readTimestamps reads timestamps and records the time from writing to reading as late where it exceeds lagThreshold.
func (r *Rig) readTimestamps(from net.Conn) {
	for buffer := make([]byte, 8); ; {
		if _, err := io.ReadFull(from, buffer); err != nil {
			return
		}
		written := math.Float64frombits(binary.BigEndian.Uint64(buffer))
		if now := r.now(); written <= now && now-written > float64(lagThreshold.Milliseconds()) {
			r.book.RecordHarnessDelay(written, now)
		}
	}
}
