// Probe: questions for an endpoint's load. This file owns their bytes and how an answer is read. It must never count as a
// leg, keep the loop waiting, or have more questions out than endpoints are named.
package sidecar

import (
	"bytes"
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

// probeTime is how long an endpoint may take to answer one.
const probeTime = 250 * time.Millisecond

// probed is what became of one.
type probed struct {
	to   logic.EndpointID
	ok   bool
	load logic.Load
}

func (e probed) handle(l *loop) {
	l.openProbes--
	l.module.Probed(e.to, e.ok, e.load)
}

// Probe asks an endpoint for its load; whatever becomes of it, one probed comes back.
func (l *loop) Probe(id logic.EndpointID) {
	to := l.upstream.find(id)
	l.openProbes++
	if to == nil || l.openProbes > 2*len(l.list.named)+8 {
		go l.post(probed{to: id})
		return
	}
	l.counters.probes.Add(1)
	to.mu.Lock()
	addr := to.addr
	to.mu.Unlock()
	head := []byte("GET /metrics/load HTTP/1.1\r\nHost: " + addr + "\r\n")
	g := &leg{to: to, addr: addr, sent: l.now, giveUp: time.Now().Add(probeTime), request: &request{method: "GET", class: -1, head: head, probe: true}}
	g.ctx, g.cancel = context.WithCancel(l.ctx)
	go func() {
		defer g.cancel()
		r, fault := l.upstream.run(g)
		e := probed{to: id, ok: fault == nil && r.flow == nil}
		if e.ok {
			e.load = loadOf(r.body)
		}
		l.post(e)
	}()
}

// loadOf reads a load report, as name=value,name=value; what it lacks or what is no number from 0 on is below 0.
func loadOf(report []byte) logic.Load {
	load := logic.Load{Held: -1, Waiting: -1, Busy: -1}
	for part := range bytes.SplitSeq(report, []byte(",")) {
		name, value, _ := strings.Cut(strings.TrimSpace(string(part)), "=")
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= 0) || math.IsInf(f, 0) {
			continue
		}
		switch name {
		case "inflight":
			load.Held = f
		case "queue":
			load.Waiting = f
		case "util":
			load.Busy = f
		}
	}
	return load
}
