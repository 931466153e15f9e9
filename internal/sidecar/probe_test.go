package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// A malformed load report must neither crash the parser nor make the endpoint look idle.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]logic.Load{
		"inflight=7,queue=2,util=0.61": {Held: 7, Waiting: 2, Busy: 0.61}, " util=1 , inflight=0": {Held: 0, Waiting: -1, Busy: 1},
		"": {Held: -1, Waiting: -1, Busy: -1}, "inflight=-3,queue=nan,util=+inf": {Held: -1, Waiting: -1, Busy: -1},
		"inflight,=,inflight=x,queue==4": {Held: -1, Waiting: -1, Busy: -1},
	} {
		assert.Equal(t, want, parseLoad([]byte(text)), text)
	}
}

// Each probe must end exactly once, whether its endpoint answers, has no load report, resets the connection or is not
// known.
func TestEveryProbeEndsOnce(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request) bool
		known  bool
		want   probeEnded
	}{
		"answers": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\ninflight=7,queue=2,x=1", true), true,
			probeEnded{ok: true, load: logic.Load{Held: 7, Waiting: 2, Busy: -1}}},
		"has none":  {respondWith("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true), true, probeEnded{}},
		"hangs up":  {resetConn, true, probeEnded{}},
		"not known": {resetConn, false, probeEnded{}},
	} {
		s := newStubEndpoint(t, c.script)
		u := newTestUpstream(t, 64)
		l := &loop{queue: make(chan event, 4), upstream: u, list: &discoveryClient{}, counters: u.counters, log: zap.NewNop(), ctx: ctx, started: time.Now()}
		if c.known {
			u.applyListed("e", s.Addr().String(), true)
		}
		l.Probe("e")
		got := (<-l.queue).(probeEnded)
		c.want.endpoint = "e"
		assert.Equal(t, c.want, got, name)
		assert.Zero(t, u.counters.product(-1).legs.Load(), "a probe does not count as a leg")
		if c.known && name == "answers" {
			assert.Equal(t, "/metrics/load", (<-s.received).URL.Path)
		}
	}
}
