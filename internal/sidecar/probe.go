// Probe: requests for an endpoint's load. This file owns the request and how the answer is parsed. A probe must never
// count as a leg or block the loop, and the number of probes in flight must stay bounded by the number of listed
// endpoints.
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

// probeTimeout is how long an endpoint may take to answer a probe.
const probeTimeout = 250 * time.Millisecond

// probeEnded is the result of a probe.
type probeEnded struct {
	endpoint logic.EndpointID
	ok       bool // the endpoint answered 200 with a short body
	load     logic.Load
}

func (e probeEnded) handle(l *loop) {
	l.openProbes--
	l.module.Probed(e.endpoint, e.ok, e.load)
}

// Probe asks an endpoint for its load. Every call results in exactly one probeEnded, also where nothing is sent.
func (l *loop) Probe(id logic.EndpointID) {
	target := l.upstream.find(id)
	l.openProbes++
	if target == nil || l.openProbes > 2*len(l.list.listed)+8 {
		go l.post(probeEnded{endpoint: id})
		return
	}
	l.counters.probes.Add(1)
	target.mu.Lock()
	addr := target.addr
	target.mu.Unlock()
	head := []byte("GET /metrics/load HTTP/1.1\r\nHost: " + addr + "\r\n")
	probeLeg := &leg{endpoint: target, addr: addr, sentAt: l.now, deadline: time.Now().Add(probeTimeout), request: &request{method: "GET", product: -1, head: head, isProbe: true}}
	probeLeg.ctx, probeLeg.cancelCause = context.WithCancelCause(l.ctx)
	go func() {
		defer probeLeg.cancel()
		r, fault := l.upstream.run(probeLeg)
		ended := probeEnded{endpoint: id, ok: fault == nil && r.flow == nil}
		if ended.ok {
			ended.load = parseLoad(r.body)
		}
		l.post(ended)
	}()
}

// parseLoad parses a load report of the form name=value,name=value. A figure that is missing, negative or not a finite
// number is returned as -1.
func parseLoad(report []byte) logic.Load {
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
