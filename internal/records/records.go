// Package records keeps what the clients and endpoints of a scenario run observed, and checks it against the rules. It
// never reads the counters of the program under test: a rule must hold in independent observations, not only in what
// the program reports about itself. The package does no I/O and reads no clock.
package records

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
)

// Terms are the parameters of the rules.
type Terms struct {
	Products       []Product
	AnswerGraceMs  float64 // after the abandon time, in which an answer still counts
	DrainGraceMs   float64 // after the notification of a drain, in which new legs may still arrive
	FreeExtraLegs  float64 // legs beyond the first of an exchange that are allowed in each window
	ExtraLegRatio  float64 // legs beyond the first that are allowed in addition, for each exchange of the window
	BudgetWindowMs float64 // window of the budget of legs; 0 for no budget
	MinServedShare float64 // of the requests that arrive while all dependencies of a sidecar are healthy, served in time; 0 for no rule
}

// Product holds the properties of a product that the rules use.
type Product struct {
	Name       string
	ExpectedMs float64
	AbandonMs  float64
	SingleUse  bool // at most one leg of an exchange may run
	Referenced bool // legs carry a key by which endpoints drop duplicates
}

// Exchange is one exchange as its client observed it. Times are in ms from the start of the run.
type Exchange struct {
	ID           string
	Sidecar      int
	Product      int
	Work         float64 // ms of a core with speed 1
	DueAt        float64 // when it was due; latency counts from here
	SentAt       float64 // when its last byte was sent; 0 if it never was
	EndedAt      float64
	Status       int     // 0 for no answer
	AnswerFault  string  // what was wrong with the answer; empty if nothing was
	ClientLeftAt float64 // when its client closed the connection before an answer; 0 if it did not
	ExcuseReason string  // why the sidecar need not answer; empty if it must
	legs         []*Leg
	succeeded    bool
}

// Leg is one leg as its endpoint observed it. Times are in ms from the start of the run.
type Leg struct {
	Exchange      string
	Endpoint      int
	ArrivedAt     float64 // when its first bytes came
	EndedAt       float64
	Outcome       string  // satisfied, errored, full, failed, left or cut
	NewConnection bool    // it was the first leg on its connection
	KeyIntact     bool    // it carried the exchange's key unchanged
	DeadlineMs    float64 // deadline that it announced to its endpoint; 0 for none
	Work          float64 // of its exchange
	exchange      *Exchange
}

// mayHaveRun reports whether the leg may have had an effect: endpoints answer "full" before they start work.
func (l *Leg) mayHaveRun() bool { return l.Outcome != "full" }

// span is a period of time, in ms from the start of the run, in which a condition holds.
type span struct {
	from, to float64
	reason   string
}

// Book holds all records of a run. Its methods are safe for concurrent use. All times that they take and return are in ms
// from the start of the run.
type Book struct {
	Terms
	mu               sync.Mutex
	exchanges        map[string]*Exchange
	exchangesInOrder []*Exchange
	legs             []*Leg
	drains           map[[2]int][]span // by sidecar and endpoint: the sidecar was notified to send nothing new to the endpoint
	excuses          map[int][]span    // by sidecar: it need not answer exchanges in progress
	collapses        []collapse
	EndpointNames    []string
	InService        []span                                          // by endpoint: listed as in service
	ConnectionCounts []int                                           // by endpoint: connections that it accepted
	LinkSlackMs      func(sidecar, endpoint int, at float64) float64 // delay that faults of a link may add at a time; infinite if it has no bound
	Healthy          func(sidecar int, from, to float64) bool        // reports whether the endpoints, links and cores of a sidecar are healthy throughout a period
	harnessDelays    []span                                          // when the test harness itself was stalled or had no core: events of these periods are recorded too late
}

// collapse is the failure of an endpoint that was overloaded while it was cold.
type collapse struct {
	endpoint int
	at       float64
}

// New returns an empty Book.
func New(t Terms) *Book {
	return &Book{Terms: t, exchanges: map[string]*Exchange{}, drains: map[[2]int][]span{}, excuses: map[int][]span{},
		LinkSlackMs: func(int, int, float64) float64 { return 0 }, Healthy: func(int, float64, float64) bool { return true }}
}

// AddEndpoint adds an endpoint, in service from the given time, and returns its number.
func (b *Book) AddEndpoint(name string, at float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.EndpointNames, b.InService, b.ConnectionCounts = append(b.EndpointNames, name), append(b.InService, span{from: at, to: math.Inf(1)}), append(b.ConnectionCounts, 0)
	return len(b.EndpointNames) - 1
}

// SetInServiceFrom records the time from which an endpoint is in service.
func (b *Book) SetInServiceFrom(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.InService[e].from = at
}

// SetInServiceUntil records that an endpoint is out of service from the given time on. The earliest such time counts.
func (b *Book) SetInServiceUntil(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.InService[e].to = min(b.InService[e].to, at)
}

// CountConnection counts a connection that an endpoint accepted.
func (b *Book) CountConnection(e int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ConnectionCounts[e]++
}

// AddExchange adds an exchange whose request a client is about to send.
func (b *Book) AddExchange(x *Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges[x.ID] = x
	b.exchangesInOrder = append(b.exchangesInOrder, x)
}

// FindExchange returns the exchange with the given id, or nil if no client requested it.
func (b *Book) FindExchange(id string) *Exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchanges[id]
}

// AddLeg adds a leg that arrived at an endpoint.
func (b *Book) AddLeg(l *Leg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.exchange = b.exchanges[l.Exchange]
	b.legs = append(b.legs, l)
	if l.exchange != nil {
		l.exchange.legs = append(l.exchange.legs, l)
	}
}

// EndLeg records the outcome of a leg.
func (b *Book) EndLeg(l *Leg, outcome string, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Outcome, l.EndedAt = outcome, at
}

// RecordAnswer records how an exchange ended for its client. A status of 0 means no answer.
func (b *Book) RecordAnswer(x *Exchange, status int, wrong string, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.Status, x.AnswerFault, x.SentAt, x.EndedAt = status, wrong, sent, at
	x.succeeded = status == 200 && wrong == ""
}

// RecordClientLeft records that a client closed its connection before its answer came.
func (b *Book) RecordClientLeft(x *Exchange, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.SentAt, x.EndedAt, x.ClientLeftAt = sent, at, at
}

// RecordHarnessDelay records that the test harness itself was delayed between two times. Overlapping periods are
// merged, so that they count once; periods must come in the order of their ends.
func (b *Book) RecordHarnessDelay(from, to float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := len(b.harnessDelays); n > 0 && b.harnessDelays[n-1].to >= from; n-- {
		from, to = min(from, b.harnessDelays[n-1].from), max(to, b.harnessDelays[n-1].to)
		b.harnessDelays = b.harnessDelays[:n-1]
	}
	b.harnessDelays = append(b.harnessDelays, span{from: from, to: to})
}

// delayAfterClientLeft returns how many ms after its client left a leg arrived, less what delays of the test harness
// and faults of the leg's link may have added: on a silent link, a request that was sent earlier arrives when the link
// recovers.
func (b *Book) delayAfterClientLeft(x *Exchange, l *Leg) float64 {
	return l.ArrivedAt - x.ClientLeftAt - b.harnessDelayBetween(x.ClientLeftAt, l.ArrivedAt) - b.LinkSlackMs(x.Sidecar, l.Endpoint, l.ArrivedAt)
}

// harnessDelayBetween returns for how long between two times the test harness was delayed for want of a core. The
// sidecars may have had no core then either, and events are recorded too late.
func (b *Book) harnessDelayBetween(from, to float64) (ms float64) {
	for _, s := range b.harnessDelays {
		ms += max(min(s.to, to)-max(s.from, from), 0)
	}
	return ms
}

// CountClientsLeft counts the exchanges whose clients left, and the legs that came for these later than the rule
// allows.
func (b *Book) CountClientsLeft() (exchanges, legs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.exchangesInOrder {
		if x.ClientLeftAt > 0 {
			exchanges++
			for _, l := range x.legs {
				if b.delayAfterClientLeft(x, l) > clientLeftGraceMs {
					legs++
				}
			}
		}
	}
	return exchanges, legs
}

// Excuse records that a sidecar need not answer exchanges that are in progress within a period.
func (b *Book) Excuse(sidecar int, from, to float64, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excuses[sidecar] = append(b.excuses[sidecar], span{from, to, why})
}

// RecordDrain records that a sidecar was notified to send nothing new to an endpoint. The earliest notification of a
// drain counts, and RecordUndrain ends it.
func (b *Book) RecordDrain(sidecar, endpoint int, at float64, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := [2]int{sidecar, endpoint}
	if list := b.drains[key]; len(list) > 0 && math.IsInf(list[len(list)-1].to, 1) {
		if last := &list[len(list)-1]; at < last.from {
			last.from, last.reason = at, source
		}
		return
	}
	b.drains[key] = append(b.drains[key], span{at, math.Inf(1), source})
}

// RecordUndrain records that a sidecar may send to an endpoint again.
func (b *Book) RecordUndrain(sidecar, endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.drains[[2]int{sidecar, endpoint}]; len(list) > 0 {
		list[len(list)-1].to = min(list[len(list)-1].to, at)
	}
}

// RecordCollapse records that a cold endpoint failed under overload.
func (b *Book) RecordCollapse(endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collapses = append(b.collapses, collapse{endpoint, at})
}

// Violation is a broken rule, with the events of the exchange leg by leg.
type Violation struct{ Rule, Exchange, Details string }

// Names of the rules.
const (
	RuleNoExchangeLost         = "no exchange lost"
	RuleNoDuplicateEffect      = "no effect twice"
	RuleDrainsKept             = "drains kept"
	RuleNoColdCollapse         = "no cold endpoint pushed over"
	RuleLegBudget              = "budget of legs"
	RuleNoLegAfterClientLeft   = "nothing sent on for a client that left"
	RuleDeadlineWithinTimeLeft = "no deadline passed on beyond what the client has left"
	RuleServedInTime           = "served in time while all is sound"
)

// deadlineSlackMs is by how much a deadline that is passed on to an endpoint may exceed the time that the client has
// left.
const deadlineSlackMs = 150

// clientLeftGraceMs is the time within which a sidecar must notice that a client has left.
const clientLeftGraceMs = 100

// Check checks the records against the rules. It must be called after all exchanges and legs have ended.
func (b *Book) Check() (violations []Violation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.exchangesInOrder {
		b.applyExcuses(x)
		if reason := b.lossReason(x); reason != "" && x.ExcuseReason == "" {
			violations = append(violations, Violation{RuleNoExchangeLost, x.ID, reason + "\n" + b.history(x)})
		}
		for _, l := range x.legs {
			if x.ClientLeftAt > 0 && b.delayAfterClientLeft(x, l) > clientLeftGraceMs {
				violations = append(violations, Violation{RuleNoLegAfterClientLeft, x.ID, fmt.Sprintf("client left at %.0f ms, a leg came %.0f ms later\n%s", x.ClientLeftAt, l.ArrivedAt-x.ClientLeftAt, b.history(x))})
				break
			}
		}
		if reason := b.overstatedDeadline(x); reason != "" {
			violations = append(violations, Violation{RuleDeadlineWithinTimeLeft, x.ID, reason + "\n" + b.history(x)})
		}
		if reason := b.duplicateReason(x); reason != "" {
			violations = append(violations, Violation{RuleNoDuplicateEffect, x.ID, reason + "\n" + b.history(x)})
		}
	}
	for _, l := range b.legs {
		if l.exchange == nil {
			violations = append(violations, Violation{RuleNoExchangeLost, l.Exchange, "a leg came for an exchange that no client requested"})
			continue
		}
		for _, d := range b.drains[[2]int{l.exchange.Sidecar, l.Endpoint}] {
			late := l.ArrivedAt - d.from - b.DrainGraceMs - b.LinkSlackMs(l.exchange.Sidecar, l.Endpoint, l.ArrivedAt)
			if late > 0 && l.ArrivedAt < d.to {
				violations = append(violations, Violation{RuleDrainsKept, l.Exchange, fmt.Sprintf("s%d was notified of the drain of %s at %.0f ms (%s); a leg came %.0f ms after the grace period\n%s",
					l.exchange.Sidecar, b.EndpointNames[l.Endpoint], d.from, d.reason, late, b.history(l.exchange))})
			}
		}
	}
	for _, f := range b.collapses {
		text := fmt.Sprintf("%s was overloaded while cold and failed at %.0f ms; its last legs:", b.EndpointNames[f.endpoint], f.at)
		last := []*Leg{}
		for _, l := range b.legs {
			if l.Endpoint == f.endpoint && l.ArrivedAt <= f.at {
				last = append(last, l)
			}
		}
		for _, l := range last[max(0, len(last)-20):] {
			text += fmt.Sprintf("\n  %.0f ms %s from s%d, work %.1f ms", l.ArrivedAt, l.Exchange, l.exchange.Sidecar, l.Work)
		}
		violations = append(violations, Violation{RuleNoColdCollapse, "", text})
	}
	violations = append(violations, b.checkLegBudget()...)
	return append(violations, b.checkServedShare()...)
}

// applyExcuses sets the reason why the sidecar need not answer x, if there is one.
func (b *Book) applyExcuses(x *Exchange) {
	until := x.DueAt + b.Products[x.Product].AbandonMs + b.AnswerGraceMs
	for _, s := range b.excuses[x.Sidecar] {
		if x.ExcuseReason == "" && x.DueAt < s.to && until > s.from {
			x.ExcuseReason = s.reason
		}
	}
}

// lossReason returns why x counts as lost, or an empty string if it does not.
func (b *Book) lossReason(x *Exchange) string {
	late := x.EndedAt - max(x.DueAt, x.SentAt) - b.Products[x.Product].AbandonMs - b.AnswerGraceMs // a late client is not the sidecar's fault
	switch {
	case x.SentAt == 0 || x.ClientLeftAt > 0:
		return "" // not sent to a sidecar, or the client no longer waits
	case x.Status == 0:
		return "no answer: " + x.AnswerFault
	case x.Status == 409:
		return "accepted, connection ended without an answer, then refused as a duplicate when it was sent again"
	case x.AnswerFault != "":
		return "wrong answer: " + x.AnswerFault
	case late > 0:
		return fmt.Sprintf("answer came %.0f ms after the grace period", late)
	}
	return ""
}

// duplicateReason returns how x may have taken effect twice, or an empty string if it can't have.
func (b *Book) duplicateReason(x *Exchange) string {
	p, ran := b.Products[x.Product], 0
	for _, l := range x.legs {
		if l.mayHaveRun() {
			ran++
		}
		if p.Referenced && !l.KeyIntact {
			return "a leg came without the key by which endpoints drop duplicates"
		}
	}
	if p.SingleUse && ran > 1 {
		return fmt.Sprintf("single-use, and %d legs may have run", ran)
	}
	return ""
}

// overstatedDeadline looks for a leg that announced more time to its endpoint than its client had left. The client may
// send a request after it was due, and only the sidecar knows when it came, so the time counts from when its last byte
// was sent.
func (b *Book) overstatedDeadline(x *Exchange) string {
	for _, l := range x.legs {
		sent := max(x.DueAt, x.SentAt)
		left := sent + b.Products[x.Product].AbandonMs - l.ArrivedAt + b.harnessDelayBetween(sent, l.ArrivedAt)
		if x.SentAt > 0 && l.DeadlineMs > left+deadlineSlackMs+b.LinkSlackMs(x.Sidecar, l.Endpoint, l.ArrivedAt) {
			return fmt.Sprintf("a leg at %.0f ms announced a deadline of %.0f ms, its client had %.0f ms left", l.ArrivedAt, l.DeadlineMs, left)
		}
	}
	return ""
}

// history returns the events of an exchange and its legs, in order.
func (b *Book) history(x *Exchange) string {
	lines := []string{fmt.Sprintf("%s to s%d (%s): due at %.0f, sent %.0f, ended %.0f ms, status %d %s",
		x.ID, x.Sidecar, b.Products[x.Product].Name, x.DueAt, x.SentAt, x.EndedAt, x.Status, x.AnswerFault)}
	for _, l := range x.legs {
		lines = append(lines, fmt.Sprintf("  leg at %s: came %.0f, ended %.0f ms, %s", b.EndpointNames[l.Endpoint], l.ArrivedAt, l.EndedAt, cmp.Or(l.Outcome, "never ended")))
	}
	return strings.Join(lines, "\n")
}

// windowSlackMs is by how much a sidecar's budget window may be offset from the window seen at the endpoints.
const windowSlackMs = 250

// checkLegBudget compares, at each leg beyond the first of its exchange, the number of such legs in the window that
// ends there with the number that the exchanges of the same window allow.
func (b *Book) checkLegBudget() (violations []Violation) {
	if b.BudgetWindowMs <= 0 {
		return nil
	}
	exchangeTimes, extraLegs := map[int][]float64{}, map[int][]*Leg{}
	for _, x := range b.exchangesInOrder {
		exchangeTimes[x.Sidecar] = append(exchangeTimes[x.Sidecar], x.DueAt)
		slices.SortFunc(x.legs, func(a, o *Leg) int { return cmp.Compare(a.ArrivedAt, o.ArrivedAt) })
		for n, l := range x.legs {
			if n > 0 {
				extraLegs[x.Sidecar] = append(extraLegs[x.Sidecar], l)
			}
		}
	}
	for s, legs := range extraLegs {
		slices.SortFunc(legs, func(a, o *Leg) int { return cmp.Compare(a.ArrivedAt, o.ArrivedAt) })
		for n, l := range legs {
			used, exchangeCount := 0, 0
			for k := n; k >= 0 && legs[k].ArrivedAt > l.ArrivedAt-b.BudgetWindowMs+windowSlackMs; k-- {
				used++
			}
			for _, at := range exchangeTimes[s] {
				if at > l.ArrivedAt-b.BudgetWindowMs-windowSlackMs && at <= l.ArrivedAt {
					exchangeCount++
				}
			}
			if allowed := b.FreeExtraLegs + b.ExtraLegRatio*float64(exchangeCount); float64(used) > math.Ceil(allowed) {
				violations = append(violations, Violation{RuleLegBudget, l.Exchange, fmt.Sprintf("s%d: %d legs beyond the first within %.0f ms, %d exchanges, so %.1f are allowed\n%s",
					s, used, b.BudgetWindowMs, exchangeCount, allowed, b.history(l.exchange))})
				break // further violations of this sidecar follow from the first
			}
		}
	}
	return violations
}
