// Connection floods: many mostly idle connections that use up a sidecar's file descriptors. They send no requests for
// endpoints. A connection that the sidecar closes is opened again after a pause.

package rig

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	floodRetryPause   = 20 * time.Millisecond // before a connection that was closed is opened again
	floodDripInterval = 40 * time.Millisecond // between two bytes of a request head that never ends
)

// partialRequest is the part of a request head after which a connection stays idle or goes on byte by byte.
const partialRequest = "GET /x HTTP/1.1\r\nHos"

// floodKind is what the connections of a flood send. The values are the names of the faults in a scenario.
type floodKind string

const (
	floodMixed   floodKind = "crowd"       // every third connection sends a partial request head
	floodPartial floodKind = "crowd-heads" // every connection sends a partial request head
	floodDrip    floodKind = "crowd-drip"  // every connection sends a partial request head, goes on byte by byte and never ends it
	floodIdle    floodKind = "crowd-kept"  // every connection asks whether the sidecar is up, gets its answer and stays idle
)

// floodIdleRetryPause is the pause before a floodIdle connection that was closed is opened again. It is longer than
// floodRetryPause, so that the requests themselves are no load.
const floodIdleRetryPause = 500 * time.Millisecond

// completeRequest is the request of a floodIdle connection.
const completeRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// isFlood reports whether a fault is a connection flood.
func isFlood(what string) bool { return strings.HasPrefix(what, string(floodMixed)) }

// flood keeps count connections open to a sidecar until a time of the run, in ms.
func (r *Rig) flood(ctx context.Context, kind floodKind, sidecar, count int, until float64) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(until-r.now(), 0)*float64(time.Millisecond)))
	defer cancel()
	pause := floodRetryPause
	if kind == floodIdle {
		pause = floodIdleRetryPause
	}
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			for ctx.Err() == nil {
				r.holdConnection(ctx, sidecar, kind, kind != floodMixed || n%3 == 0)
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	all.Wait()
}

// holdConnection opens a connection, sends what its kind of flood sends, and holds it until either side closes it.
func (r *Rig) holdConnection(ctx context.Context, sidecar int, kind floodKind, sendPartial bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.clients[sidecar].addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	switch {
	case kind == floodIdle:
		io.WriteString(conn, completeRequest)
	case sendPartial:
		io.WriteString(conn, partialRequest)
	}
	if kind == floodDrip {
		go dripBytes(conn)
	}
	io.Copy(io.Discard, conn)
}

// dripBytes writes byte by byte until the connection is closed.
func dripBytes(conn net.Conn) {
	for {
		time.Sleep(floodDripInterval)
		if _, err := io.WriteString(conn, "t"); err != nil {
			return
		}
	}
}

// isFlooded reports whether a flood uses up a sidecar's descriptors now, or did until up to faultAftermathMs ago.
func (r *Rig) isFlooded(sidecar int) bool {
	now := r.now()
	for n := range r.scenario.Faults {
		f := &r.scenario.Faults[n]
		if sidecars, _ := r.scenario.FaultTargets(n); isFlood(f.Kind) && containsPlace(sidecars, sidecar) && now >= f.At*1000 && now < f.End()*1000+faultAftermathMs {
			return true
		}
	}
	return false
}
