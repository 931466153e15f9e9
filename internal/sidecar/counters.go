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
	exchanges, succeeded, shed, failed, clientsLeft, overdue, rejected, badInput, panics atomic.Int64
	clientsShed                                                                          atomic.Int64
	givenUpByReason                                                                      [logic.QueueTimeout + 1]atomic.Int64
	legsByOutcome                                                                        [logic.NotSent + 1]atomic.Int64
	dialled, reused, retired, unframed, probes                                           atomic.Int64
	stalls, stalledMs                                                                    atomic.Int64
	lists, listCallsEnded, listVersion, listEndpoints, reloads, failedReloads            atomic.Int64
	listCalls, listOutages, longestOutageMs                                              atomic.Int64
	parallelListCalls                                                                    atomic.Int64 // made while another was open
	listCallsRefused                                                                     atomic.Int64
	leaseSuspensions, leaseSuspendedMs                                                   atomic.Int64 // by the end of the lease on the list
	acceptErrors                                                                         atomic.Int64
	listCallsFailed                                                                      [callStages]atomic.Int64
	streams, streamsBroken                                                               atomic.Int64
	endpointsAvoided, consoleCalls                                                       atomic.Int64
	messagesSent, messagesReceived, messagesLost                                         atomic.Int64
	products                                                                             []productCounters
	unknownProduct                                                                       productCounters
}

// classCounters are one product's: its answers when they were written to the client, its legs when their last byte was
// written to an endpoint.
type productCounters struct{ succeeded, shed, failed, legs atomic.Int64 }

// class finds a product's figures; what names none has figures that nobody reads.
func (c *Counters) product(p logic.ProductID) *productCounters {
	if p >= 0 && int(p) < len(c.products) {
		return &c.products[p]
	}
	return &c.unknownProduct
}

// answered counts what a client was told.
func (f *productCounters) countAnswer(status int) {
	switch status {
	case http.StatusOK:
		f.succeeded.Add(1)
	case http.StatusServiceUnavailable:
		f.shed.Add(1)
	default:
		f.failed.Add(1)
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
func (c *Counters) forEach(s *descriptorLimiter, visit func(name string, n int64)) {
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"exchanges_taken", &c.exchanges}, {"answers_satisfied", &c.succeeded}, {"answers_dismissed", &c.shed},
		{"answers_forfeited", &c.failed}, {"answers_overdue", &c.overdue}, {"clients_left", &c.clientsLeft},
		{"turned_away", &c.rejected}, {"clients_shed", &c.clientsShed}, {"bad_input", &c.badInput}, {"panics", &c.panics},
		{"upstream_dialled", &c.dialled}, {"upstream_reused", &c.reused}, {"upstream_retired", &c.retired},
		{"upstream_unframed", &c.unframed}, {"probes", &c.probes}, {"streams", &c.streams}, {"streams_broken", &c.streamsBroken},
		{"standstills", &c.stalls}, {"standstill_ms", &c.stalledMs}, {"lists", &c.lists}, {"lists_lost", &c.listCallsEnded},
		{"list_version", &c.listVersion}, {"list_endpoints", &c.listEndpoints},
		{"list_calls", &c.listCalls}, {"list_calls_beside_an_open_one", &c.parallelListCalls},
		{"list_calls_refused", &c.listCallsRefused}, {"accept_errors", &c.acceptErrors}, {"lease_suspensions", &c.leaseSuspensions}, {"lease_suspended_ms", &c.leaseSuspendedMs},
		{"list_outages", &c.listOutages}, {"list_outage_longest_ms", &c.longestOutageMs},
		{"endpoints_avoided", &c.endpointsAvoided}, {"console_calls", &c.consoleCalls},
		{"messages_told", &c.messagesSent}, {"messages_heard", &c.messagesReceived}, {"messages_lost", &c.messagesLost},
		{"reloads", &c.reloads}, {"reload_faults", &c.failedReloads},
	} {
		visit(f.name, f.n.Load())
	}
	for stage := range c.listCallsFailed {
		visit("list_calls_failed_"+callStageNames[stage], c.listCallsFailed[stage].Load())
	}
	for outcome := range c.legsByOutcome {
		visit("legs_"+outcomeNames[outcome], c.legsByOutcome[outcome].Load())
	}
	for reason := range c.givenUpByReason {
		visit("given_up_"+reasonNames[reason], c.givenUpByReason[reason].Load())
	}
	clients, upstream := s.connections()
	visit("sockets_clients", int64(clients))
	visit("sockets_upstream", int64(upstream))
}

// Print writes a line a figure.
func (c *Counters) Print(s *descriptorLimiter, w io.Writer) {
	c.forEach(s, func(name string, n int64) { fmt.Fprintln(w, name, n) })
}

func (c *Counters) fields(s *descriptorLimiter) (f []zap.Field) {
	c.forEach(s, func(name string, n int64) { f = append(f, zap.Int64(name, n)) })
	return f
}
