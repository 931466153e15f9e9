// Crowd: idle connections that take a sidecar's descriptors. This file owns them; they ask for nothing, and whoever is sent away
// comes again.
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
	floodRetryPause   = 20 * time.Millisecond // before one that was sent away comes again
	floodDripInterval = 40 * time.Millisecond // between two bytes of one that never ends its head
)

// halfHead is what is written before a rest.
const partialRequest = "GET /x HTTP/1.1\r\nHos"

// crowdKind is what the clients of a crowd do.
type floodKind string

const (
	floodMixed   floodKind = "crowd"       // every third writes half a head
	floodPartial floodKind = "crowd-heads" // each does
	floodDrip    floodKind = "crowd-drip"  // each goes on with its head, byte by byte, and never ends it
	floodIdle    floodKind = "crowd-kept"  // each asks whether the sidecar is up, has its answer, and rests
)

// keptPause is the time before one that had its answer and was sent away asks again: what it asks is no load.
const floodIdleRetryPause = 500 * time.Millisecond

const completeRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// isCrowd tells whether a fault is a crowd.
func isFlood(what string) bool { return strings.HasPrefix(what, string(floodMixed)) }

// crowd keeps so many connections to a sidecar until a time of the rehearsal.
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

// rest opens a connection and holds it until either side ends it.
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

// drip writes byte by byte until the connection ends.
func dripBytes(conn net.Conn) {
	for {
		time.Sleep(floodDripInterval)
		if _, err := io.WriteString(conn, "t"); err != nil {
			return
		}
	}
}

// crowded tells whether a crowd takes a sidecar's descriptors just now, or did a moment ago.
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
