// This file sends one leg's request and reads the answer. It owns how far a failed leg is reported to have come. It must never send
// a request twice.

package sidecar

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

// maxUpdateWaits bounds the waits, each of stallTickInterval/4, in which a process that was stalled can read its updates.
// Together they are as long as a stall counts as recent.
const maxUpdateWaits = 8

// request is an exchange's request in the form in which it is sent to endpoints.
type request struct {
	method    string
	product   logic.ProductID // named by the request, for the counters; set also if exchange.product is -1
	head      []byte          // request line and headers without Request-Timeout and the final empty line
	body      []byte
	isProbe   bool             // a probe, which belongs to no exchange
	remaining *streamedRequest // the part after body of a long request; nil if body is all
}

// connect returns an idle connection to the leg's endpoint, or opens one.
func (u *upstream) connect(g *leg) (*endpointConn, *legError) {
	for k := g.endpoint.takeIdle(u.reuseDelay); k != nil; k = g.endpoint.takeIdle(u.reuseDelay) {
		if k.addr == g.addr && time.Since(k.idleSince) < u.maxIdleTime && k.isQuiet() {
			u.counters.reused.Add(1)
			return k, nil
		}
		u.counters.retired.Add(1)
		u.closeConns(k)
	}
	deadline := g.deadline
	if u.dialTimeout > 0 {
		if d := time.Now().Add(u.dialTimeout); d.Before(deadline) {
			deadline = d
		}
	}
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	defer cancel()
	if !u.sockets.waitForUpstream(ctx) {
		return nil, newLegError(notDialled, errNoDescriptor, g.ctx.Err() != nil)
	}
	u.counters.dialled.Add(1)
	conn, err := u.dial(ctx, "tcp", g.addr)
	if err != nil {
		u.sockets.releaseUpstream()
		return nil, newLegError(dialling, err, g.ctx.Err() != nil)
	}
	return newEndpointConn(conn, g.addr, u.stallTimeout, u.sockets.memory, u.counters), nil
}

// requestTimeoutMs returns the leg's remaining time in milliseconds, which is sent to the endpoint as Request-Timeout.
func requestTimeoutMs(g *leg) float64 {
	left := max(float64(time.Until(g.deadline))/float64(time.Millisecond), 0)
	if injectedFault == "deadline" {
		left += 1000
	}
	return left
}

// run sends one leg's request, at most once, and reads the answer.
func (u *upstream) run(g *leg) (*reply, *legError) {
	r, fault := u.attempt(g)
	return r, g.withRepeatWindowOver(fault)
}

// attempt is run, but for the error of a leg that was given up at the end of the repeat window.
func (u *upstream) attempt(g *leg) (r *reply, fault *legError) {
	k, fault := u.connect(g)
	if fault != nil {
		return nil, fault
	}
	reusable := false
	defer func() {
		if !reusable || !u.keepIdle(g.endpoint, k) {
			u.closeConns(k)
		}
	}()
	k.conn.SetDeadline(g.deadline)
	stop := context.AfterFunc(g.ctx, func() { k.conn.SetDeadline(time.Unix(1, 0)) })
	// A drain may have been received while the process was stalled, so the goroutine that reads it gets time to run
	// first. The number of waits is bounded: on a small share of a core one stall follows the other, and no leg would
	// ever start. After these waits that goroutine has had time to run.
	for n := 0; n < maxUpdateWaits && u.updatesPending != nil && u.updatesPending() && g.ctx.Err() == nil && time.Now().Before(g.deadline); n++ {
		time.Sleep(stallTickInterval / 4)
	}
	g.exchange.awaitVisibleClose(g.ctx, g.request.remaining)
	if g.claim != nil && !g.claim() {
		reusable = stop()
		return nil, newLegError(writing, errClaimedElsewhere, true)
	}
	if fault := withheld(g.checkStart(k)); fault != nil {
		reusable = stop() // keepIdle checks whether the endpoint is still in service at this address
		return nil, fault
	}
	// The remaining time is computed after all waits: any delay between here and the write makes Request-Timeout too
	// long.
	timeoutHeader := append(make([]byte, 0, 48), "Request-Timeout: "...)
	timeoutHeader = strconv.AppendFloat(timeoutHeader, requestTimeoutMs(g), 'f', 3, 64)
	parts := net.Buffers{g.request.head, append(timeoutHeader, "m\r\n\r\n"...), g.request.body}
	if g.request.remaining != nil {
		var keepOpen bool
		r, keepOpen, fault = u.runStreamed(k, g, parts[:2])
		reusable = stop() && keepOpen
		return r, fault
	}
	if injectedFault == "twice" {
		if secondConn, err := u.dial(g.ctx, "tcp", g.addr); err == nil {
			copied := slices.Clone(parts)
			copied.WriteTo(secondConn)
			time.AfterFunc(u.reuseDelay, func() { secondConn.Close() })
		}
	}
	if fault := g.writeRequest(k, parts); fault != nil {
		stop()
		return nil, fault
	}
	if !g.request.isProbe {
		u.counters.product(g.request.product).legs.Add(1)
	}
	r, keepOpen, fault := k.readAnswer(g)
	// A connection whose leg was cancelled or timed out may still carry the late answer, so it is not reused.
	reusable = stop() && keepOpen
	return r, fault
}

// writeRequest writes a request that is held in memory: its head in two parts and its body. The last byte of a long one is
// held back until all others have been sent and nothing speaks against it any more.
func (g *leg) writeRequest(k *endpointConn, parts net.Buffers) *legError {
	if n := len(g.request.body); n > copyChunkBytes {
		allButLast := net.Buffers{parts[0], parts[1], g.request.body[:n-1]}
		if _, err := allButLast.WriteTo(k.conn); err != nil {
			return newLegError(writing, err, g.ctx.Err() != nil)
		}
		if err := k.awaitSent(g.checkQuiet); err != nil {
			return newLegError(writing, err, g.ctx.Err() != nil)
		}
		if fault := withheld(g.checkRequired()); fault != nil {
			return fault
		}
		parts = net.Buffers{g.request.body[n-1:]}
	}
	if fault := withheld(g.gate().commit(g, k)); fault != nil {
		return fault
	}
	if _, err := parts.WriteTo(k.conn); err != nil {
		return newLegError(writing, err, g.ctx.Err() != nil)
	}
	return nil
}
