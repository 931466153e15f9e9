// Counters: what the sidecar took in, sent and answered, and the descriptors it holds. This file owns the figures and
// how they are printed. It must never be asked for a decision about an exchange: the module does not read it.
package sidecar

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Counters are read by anyone at any time.
type Counters struct {
	taken, satisfied, dismissed, forfeited, left, overdue, turnedAway, badInput, panics atomic.Int64
	legs                                                                                [logic.NotSent + 1]atomic.Int64
	dialled, reused, retired, unframed                                                  atomic.Int64
	standstills, standstillMs                                                           atomic.Int64
	lists, listLost, listVersion, endpoints, reloads, reloadFaults                      atomic.Int64
}

var outcomeNames = [logic.NotSent + 1]string{
	"unclear", "satisfied", "errored", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent",
}

// each visits every figure in a fixed order.
func (c *Counters) each(s *sockets, visit func(name string, n int64)) {
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"exchanges_taken", &c.taken}, {"answers_satisfied", &c.satisfied}, {"answers_dismissed", &c.dismissed},
		{"answers_forfeited", &c.forfeited}, {"answers_overdue", &c.overdue}, {"clients_left", &c.left},
		{"turned_away", &c.turnedAway}, {"bad_input", &c.badInput}, {"panics", &c.panics},
		{"upstream_dialled", &c.dialled}, {"upstream_reused", &c.reused}, {"upstream_retired", &c.retired},
		{"upstream_unframed", &c.unframed},
		{"standstills", &c.standstills}, {"standstill_ms", &c.standstillMs}, {"lists", &c.lists}, {"lists_lost", &c.listLost},
		{"list_version", &c.listVersion}, {"list_endpoints", &c.endpoints},
		{"reloads", &c.reloads}, {"reload_faults", &c.reloadFaults},
	} {
		visit(f.name, f.n.Load())
	}
	for o := range c.legs {
		visit("legs_"+outcomeNames[o], c.legs[o].Load())
	}
	clients, upstream := s.held()
	visit("sockets_clients", int64(clients))
	visit("sockets_upstream", int64(upstream))
}

// Print writes a line a figure.
func (c *Counters) Print(s *sockets, w io.Writer) {
	c.each(s, func(name string, n int64) { fmt.Fprintln(w, name, n) })
}

func (c *Counters) fields(s *sockets) (f []zap.Field) {
	c.each(s, func(name string, n int64) { f = append(f, zap.Int64(name, n)) })
	return f
}

// sockets counts descriptors against the limit. Clients may go beyond it by a spare part, in which they are read and
// answered 503: a connection accepted by the kernel and never read would be an exchange lost.
type sockets struct {
	mu                sync.Mutex
	changed           *sync.Cond
	usable, spare     int
	clients, upstream int
	dropIdle          func() bool // closes one idle upstream connection
}

// fixedSockets are standard streams, listener, poller and discovery, with some to spare.
const fixedSockets = 24

func newSockets(limit int) *sockets {
	s := &sockets{spare: limit / 16, dropIdle: func() bool { return false }}
	s.usable = max(limit-fixedSockets-s.spare, 2)
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *sockets) held() (clients, upstream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients, s.upstream
}

// room tells whether one more fits; an idle upstream connection gives way first.
func (s *sockets) room() bool {
	s.mu.Lock()
	full := s.clients+s.upstream >= s.usable
	s.mu.Unlock()
	return !full || s.dropIdle()
}

// takeClient counts a client's connection in; false means that it is beyond the limit.
func (s *sockets) takeClient() bool {
	fits := s.room()
	s.mu.Lock()
	s.clients++
	s.mu.Unlock()
	return fits
}

// takeUpstream counts a connection to an endpoint in, or says that there is no room.
func (s *sockets) takeUpstream() bool {
	if !s.room() {
		return false
	}
	s.mu.Lock()
	s.upstream++
	s.mu.Unlock()
	return true
}

func (s *sockets) give(client bool) {
	s.mu.Lock()
	if client {
		s.clients--
	} else {
		s.upstream--
	}
	s.mu.Unlock()
	s.changed.Signal()
}

// await blocks while even the spare part is used up.
func (s *sockets) await() {
	s.mu.Lock()
	for s.clients+s.upstream >= s.usable+s.spare {
		s.changed.Wait()
	}
	s.mu.Unlock()
}

// scarce tells that kept connections should be few.
func (s *sockets) scarce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.clients+s.upstream)*4 > s.usable*3
}
