// Pulse: when the rig itself was late, so that what endpoints and clients booked came late by its own fault. This file owns the two
// measures of that: a clock that is looked at all the time, and bytes on a connection of the rig's own, which wait to be read as those of
// endpoints do. In a process with thousands of connections the second is late by far more than the first.
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
	lagProbeInterval = 5 * time.Millisecond
	lagThreshold     = 4 * lagProbeInterval // from which on the rig was late
)

// pulse notes when the rig itself had no core.
func (r *Rig) monitorScheduling(ctx context.Context) {
	for last := r.now(); ctx.Err() == nil; last = r.now() {
		time.Sleep(lagProbeInterval)
		if now := r.now(); now-last > float64(lagThreshold.Milliseconds()) {
			r.book.RecordHarnessDelay(last, now)
		}
	}
}

// netPulse notes when the rig read late what had come on a connection. It ends with ctx.
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

// sendPulses writes the time, again and again.
func (r *Rig) sendTimestamps(ctx context.Context, to net.Conn) {
	for ctx.Err() == nil {
		if binary.Write(to, binary.BigEndian, math.Float64bits(r.now())) != nil {
			return
		}
		time.Sleep(lagProbeInterval)
	}
}

// readPulses notes by how much each was read later than it was written.
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
