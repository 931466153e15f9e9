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
	crowdPause = 20 * time.Millisecond // before one that was sent away comes again
	dripPause  = 40 * time.Millisecond // between two bytes of one that never ends its head
)

// halfHead is what is written before a rest.
const halfHead = "GET /x HTTP/1.1\r\nHos"

// crowdKind is what the clients of a crowd do.
type crowdKind string

const (
	crowdMixed crowdKind = "crowd"       // every third writes half a head
	crowdHeads crowdKind = "crowd-heads" // each does
	crowdDrip  crowdKind = "crowd-drip"  // each goes on with its head, byte by byte, and never ends it
	crowdKept  crowdKind = "crowd-kept"  // each asks whether the sidecar is up, has its answer, and rests
)

// keptPause is the time before one that had its answer and was sent away asks again: what it asks is no load.
const keptPause = 500 * time.Millisecond

const wholeRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// isCrowd tells whether a fault is a crowd.
func isCrowd(what string) bool { return strings.HasPrefix(what, string(crowdMixed)) }

// crowd keeps so many connections to a sidecar until a time of the rehearsal.
func (r *Rig) crowd(ctx context.Context, kind crowdKind, sidecar, many int, until float64) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(until-r.now(), 0)*float64(time.Millisecond)))
	defer cancel()
	pause := crowdPause
	if kind == crowdKept {
		pause = keptPause
	}
	var all sync.WaitGroup
	for n := range many {
		all.Go(func() {
			for ctx.Err() == nil {
				r.rest(ctx, sidecar, kind, kind != crowdMixed || n%3 == 0)
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
func (r *Rig) rest(ctx context.Context, sidecar int, kind crowdKind, begins bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.clients[sidecar].addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	switch {
	case kind == crowdKept:
		io.WriteString(conn, wholeRequest)
	case begins:
		io.WriteString(conn, halfHead)
	}
	if kind == crowdDrip {
		go drip(conn)
	}
	io.Copy(io.Discard, conn)
}

// drip writes byte by byte until the connection ends.
func drip(conn net.Conn) {
	for {
		time.Sleep(dripPause)
		if _, err := io.WriteString(conn, "t"); err != nil {
			return
		}
	}
}

// crowded tells whether a crowd takes a sidecar's descriptors just now, or did a moment ago.
func (r *Rig) crowded(sidecar int) bool {
	now := r.now()
	for n := range r.s.Faults {
		f := &r.s.Faults[n]
		if who, _ := r.s.FaultTargets(n); isCrowd(f.Kind) && has(who, sidecar) && now >= f.At*1000 && now < f.End()*1000+outageSlack {
			return true
		}
	}
	return false
}
