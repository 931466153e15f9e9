// Counters: what the sidecar took in, sent and answered. This file owns the figures and how they are printed. It must never
// be asked for a decision about an exchange: the module does not read it.
package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Counters are read by anyone at any time.
type Counters struct {
	taken, satisfied, dismissed, forfeited, left, overdue, turnedAway, badInput, panics atomic.Int64
	shed                                                                                atomic.Int64
	givenUp                                                                             [logic.QueueTimeout + 1]atomic.Int64
	legs                                                                                [logic.NotSent + 1]atomic.Int64
	dialled, reused, retired, unframed, probes                                          atomic.Int64
	standstills, standstillMs                                                           atomic.Int64
	lists, listLost, listVersion, endpoints, reloads, reloadFaults                      atomic.Int64
	listCalls, listOutages, longestOutageMs                                             atomic.Int64
	listCallsFurther                                                                    atomic.Int64 // made while another was open
	listCallsRefused                                                                    atomic.Int64
	suspensions, suspendedMs                                                            atomic.Int64 // by the end of the lease on the list
	acceptErrors                                                                        atomic.Int64
	listCallsFailed                                                                     [callStages]atomic.Int64
	streams, streamsBroken                                                              atomic.Int64
	avoided, consoleCalls                                                               atomic.Int64
	messagesTold, messagesHeard, messagesLost                                           atomic.Int64
	classes                                                                             []classCounters
	noClass                                                                             classCounters
}

// classCounters are one product's: its answers when they were written to the client, its legs when their last byte was
// written to an endpoint.
type classCounters struct{ satisfied, dismissed, forfeited, legs atomic.Int64 }

// class finds a product's figures; what names none has figures that nobody reads.
func (c *Counters) class(p logic.ProductID) *classCounters {
	if p >= 0 && int(p) < len(c.classes) {
		return &c.classes[p]
	}
	return &c.noClass
}

// answered counts what a client was told.
func (f *classCounters) answered(status int) {
	switch status {
	case http.StatusOK:
		f.satisfied.Add(1)
	case http.StatusServiceUnavailable:
		f.dismissed.Add(1)
	default:
		f.forfeited.Add(1)
	}
}

// outageEnded books the time in which discovery was not heard. Only the loop calls it.
func (c *Counters) outageEnded(lasted time.Duration) {
	c.listOutages.Add(1)
	c.longestOutageMs.Store(max(c.longestOutageMs.Load(), lasted.Milliseconds()))
}

var outcomeNames = [logic.NotSent + 1]string{
	"unclear", "satisfied", "errored", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent",
}

var reasonNames = [logic.QueueTimeout + 1]string{"legs", "shed", "door_shut", "no_endpoint", "queue_full", "queue_long"}

// each visits every figure in a fixed order.
func (c *Counters) each(s *descriptorLimiter, visit func(name string, n int64)) {
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"exchanges_taken", &c.taken}, {"answers_satisfied", &c.satisfied}, {"answers_dismissed", &c.dismissed},
		{"answers_forfeited", &c.forfeited}, {"answers_overdue", &c.overdue}, {"clients_left", &c.left},
		{"turned_away", &c.turnedAway}, {"clients_shed", &c.shed}, {"bad_input", &c.badInput}, {"panics", &c.panics},
		{"upstream_dialled", &c.dialled}, {"upstream_reused", &c.reused}, {"upstream_retired", &c.retired},
		{"upstream_unframed", &c.unframed}, {"probes", &c.probes}, {"streams", &c.streams}, {"streams_broken", &c.streamsBroken},
		{"standstills", &c.standstills}, {"standstill_ms", &c.standstillMs}, {"lists", &c.lists}, {"lists_lost", &c.listLost},
		{"list_version", &c.listVersion}, {"list_endpoints", &c.endpoints},
		{"list_calls", &c.listCalls}, {"list_calls_beside_an_open_one", &c.listCallsFurther},
		{"list_calls_refused", &c.listCallsRefused}, {"accept_errors", &c.acceptErrors}, {"lease_suspensions", &c.suspensions}, {"lease_suspended_ms", &c.suspendedMs},
		{"list_outages", &c.listOutages}, {"list_outage_longest_ms", &c.longestOutageMs},
		{"endpoints_avoided", &c.avoided}, {"console_calls", &c.consoleCalls},
		{"messages_told", &c.messagesTold}, {"messages_heard", &c.messagesHeard}, {"messages_lost", &c.messagesLost},
		{"reloads", &c.reloads}, {"reload_faults", &c.reloadFaults},
	} {
		visit(f.name, f.n.Load())
	}
	for stage := range c.listCallsFailed {
		visit("list_calls_failed_"+callStageNames[stage], c.listCallsFailed[stage].Load())
	}
	for o := range c.legs {
		visit("legs_"+outcomeNames[o], c.legs[o].Load())
	}
	for w := range c.givenUp {
		visit("given_up_"+reasonNames[w], c.givenUp[w].Load())
	}
	clients, upstream := s.connections()
	visit("sockets_clients", int64(clients))
	visit("sockets_upstream", int64(upstream))
}

// Print writes a line a figure.
func (c *Counters) Print(s *descriptorLimiter, w io.Writer) {
	c.each(s, func(name string, n int64) { fmt.Fprintln(w, name, n) })
}

func (c *Counters) fields(s *descriptorLimiter) (f []zap.Field) {
	c.each(s, func(name string, n int64) { f = append(f, zap.Int64(name, n)) })
	return f
}
