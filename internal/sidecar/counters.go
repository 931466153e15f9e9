// Counters: what the sidecar received, sent and answered. This file owns the counters and how they are printed. No
// decision about an exchange may depend on them: the module does not read them.
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

// Counters are the figures of one process. They may be read by any goroutine at any time.
type Counters struct {
	exchanges         atomic.Int64                         // exchanges accepted by the loop
	succeeded         atomic.Int64                         // exchanges answered 200
	shed              atomic.Int64                         // exchanges answered 503: nothing ran
	failed            atomic.Int64                         // exchanges answered with any other status
	clientsLeft       atomic.Int64                         // clients that disconnected before the end of their answer
	overdue           atomic.Int64                         // exchanges answered by their time limit, without a decision of the module
	rejected          atomic.Int64                         // requests answered 503 without an exchange, for lack of capacity or time
	refusedForMemory  atomic.Int64                         // those of rejected for which there was no memory
	refusedHeads      atomic.Int64                         // requests answered 431: too many fields, or too long a head
	badInput          atomic.Int64                         // requests that are not valid, or repeat the id of another one
	panics            atomic.Int64                         // panics that were recovered
	clientsShed       atomic.Int64                         // client connections closed to free their descriptors
	givenUpByReason   [logic.QueueTimeout + 1]atomic.Int64 // exchanges that the module shed or failed
	legsByOutcome     [logic.NotSent + 1]atomic.Int64      // legs that have ended
	dialled           atomic.Int64                         // attempts to connect to an endpoint
	reused            atomic.Int64                         // idle connections used again
	retired           atomic.Int64                         // idle connections closed as too old, closed by the endpoint or too many
	unframed          atomic.Int64                         // answers whose end is that of the connection
	probes            atomic.Int64                         // requests for an endpoint's load
	stalls            atomic.Int64                         // stalls of the process
	stalledMs         atomic.Int64                         // total length of the stalls
	lists             atomic.Int64                         // lists and changes applied
	listCallsEnded    atomic.Int64                         // calls without a list, and watches that ended
	listVersion       atomic.Int64                         // version of the last list
	listEndpoints     atomic.Int64                         // endpoints listed
	reloads           atomic.Int64                         // configurations read again and applied
	failedReloads     atomic.Int64                         // new configurations that could not be used
	listCalls         atomic.Int64                         // calls to discovery
	listOutages       atomic.Int64                         // outages of discovery that have ended
	longestOutageMs   atomic.Int64                         // longest outage of discovery that has ended
	parallelListCalls atomic.Int64                         // calls to discovery made while another one was open
	listCallsRefused  atomic.Int64                         // calls refused by discovery or its machine
	leaseSuspensions  atomic.Int64                         // times that the end of the lease on the list kept legs from starting
	leaseSuspendedMs  atomic.Int64                         // total length of these suspensions
	acceptErrors      atomic.Int64                         // errors of accept on a listening socket
	listCallsFailed   [callStages]atomic.Int64             // calls without a list, by the stage in which they ended
	streams           atomic.Int64                         // long answers forwarded
	streamsBroken     atomic.Int64                         // long answers cut off by a failure of the endpoint
	claimsLost        atomic.Int64                         // requests whose id another process of this sidecar has
	repeatsExpired    atomic.Int64                         // legs given up since endpoints may have forgotten the idempotency key
	answersStalled    atomic.Int64                         // answers that had begun and paused for the stall timeout
	endpointsAvoided  atomic.Int64                         // endpoints that the module avoids at present
	consoleCalls      atomic.Int64                         // calls of operators to the console
	messagesSent      atomic.Int64                         // messages to other sidecars
	messagesReceived  atomic.Int64                         // messages from other sidecars
	messagesLost      atomic.Int64                         // messages that were too long or dropped under load
	products          []productCounters
	unknownProduct    productCounters // of requests that name no product; not printed
}

// productCounters are the figures of one product. Answers are counted when they have been written to the client, legs
// when their last byte has been written to an endpoint.
type productCounters struct {
	succeeded atomic.Int64 // answers with status 200
	shed      atomic.Int64 // answers with status 503
	failed    atomic.Int64 // answers with any other status
	legs      atomic.Int64 // requests written to an endpoint
}

// product returns the figures of a product. Requests that name no known product share figures that are not read.
func (c *Counters) product(p logic.ProductID) *productCounters {
	if p >= 0 && int(p) < len(c.products) {
		return &c.products[p]
	}
	return &c.unknownProduct
}

// countAnswer counts an answer written to a client by its status.
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

// outageEnded counts an outage of discovery that has ended. Only the loop may call it.
func (c *Counters) outageEnded(lasted time.Duration) {
	c.listOutages.Add(1)
	c.longestOutageMs.Store(max(c.longestOutageMs.Load(), lasted.Milliseconds()))
}

var outcomeNames = [logic.NotSent + 1]string{
	"unclear", "satisfied", "errored", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent",
}

var reasonNames = [logic.QueueTimeout + 1]string{"legs", "shed", "door_shut", "no_endpoint", "queue_full", "queue_long"}

// forEach visits every figure in a fixed order.
func (c *Counters) forEach(s *descriptorLimiter, visit func(name string, n int64)) {
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"exchanges_taken", &c.exchanges}, {"answers_satisfied", &c.succeeded}, {"answers_dismissed", &c.shed},
		{"answers_forfeited", &c.failed}, {"answers_overdue", &c.overdue}, {"clients_left", &c.clientsLeft},
		{"turned_away", &c.rejected}, {"turned_away_memory", &c.refusedForMemory}, {"heads_too_large", &c.refusedHeads}, {"clients_shed", &c.clientsShed}, {"bad_input", &c.badInput}, {"panics", &c.panics},
		{"upstream_dialled", &c.dialled}, {"upstream_reused", &c.reused}, {"upstream_retired", &c.retired},
		{"upstream_unframed", &c.unframed}, {"probes", &c.probes}, {"streams", &c.streams}, {"streams_broken", &c.streamsBroken},
		{"standstills", &c.stalls}, {"standstill_ms", &c.stalledMs}, {"lists", &c.lists}, {"lists_lost", &c.listCallsEnded},
		{"list_version", &c.listVersion}, {"list_endpoints", &c.listEndpoints},
		{"list_calls", &c.listCalls}, {"list_calls_beside_an_open_one", &c.parallelListCalls},
		{"list_calls_refused", &c.listCallsRefused}, {"accept_errors", &c.acceptErrors}, {"lease_suspensions", &c.leaseSuspensions}, {"lease_suspended_ms", &c.leaseSuspendedMs},
		{"list_outages", &c.listOutages}, {"list_outage_longest_ms", &c.longestOutageMs},
		{"claims_lost", &c.claimsLost}, {"repeats_expired", &c.repeatsExpired}, {"answers_stalled", &c.answersStalled}, {"endpoints_avoided", &c.endpointsAvoided}, {"console_calls", &c.consoleCalls},
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
	for name, pool := range s.memory.pools() {
		used, limit := pool.figures()
		visit("memory_"+name, used)
		visit("memory_"+name+"_limit", limit)
	}
}

// Print writes one line for each figure.
func (c *Counters) Print(s *descriptorLimiter, w io.Writer) {
	c.forEach(s, func(name string, n int64) { fmt.Fprintln(w, name, n) })
}

func (c *Counters) fields(s *descriptorLimiter) (f []zap.Field) {
	c.forEach(s, func(name string, n int64) { f = append(f, zap.Int64(name, n)) })
	return f
}
