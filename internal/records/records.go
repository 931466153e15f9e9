// Package records keeps what clients and endpoints of a rehearsal saw, and holds it against the rules. It never reads the
// program's own counters: a rule that is kept by the program's word alone is not kept. It has no I/O and no clock.
package records

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
)

// Terms are the figures of the rules. Times are in ms.
type Terms struct {
	Products                                     []Product
	AnswerGraceMs                                float64 // past the abandon time in which an answer still counts
	DrainGraceMs                                 float64 // after the telling of a drain in which something new may still come
	FreeExtraLegs, ExtraLegRatio, BudgetWindowMs float64 // budget of legs beyond the first; LookBack 0 for none
	MinServedShare                               float64 // of requests that is served in time while all that a sidecar depends on is sound; 0 for none
}

// Product is what the rules need of one.
type Product struct {
	Name       string
	ExpectedMs float64
	AbandonMs  float64
	SingleUse  bool
	Referenced bool
}

// Exchange is one as its client saw it. Times are ms from the start.
type Exchange struct {
	ID           string
	Sidecar      int
	Product      int
	Work         float64
	DueAt        float64 // when it was due: waits count from here
	SentAt       float64 // its last byte; 0 if it never was
	EndedAt      float64
	Status       int     // 0 for no answer
	AnswerFault  string  // what was wrong with the answer
	ClientLeftAt float64 // when its client closed its connection without an answer; 0 if it did not
	ExcuseReason string  // why the sidecar owes no answer
	legs         []*Leg
	succeeded    bool
}

// Leg is one as its endpoint saw it.
type Leg struct {
	Exchange      string
	Endpoint      int
	ArrivedAt     float64 // its first bytes
	EndedAt       float64
	Outcome       string  // satisfied, errored, full, failed, left, cut
	NewConnection bool    // the first one on its connection
	KeyIntact     bool    // carried its mark unchanged
	DeadlineMs    float64 // ms that it told its endpoint; 0 for none
	Work          float64
	exchange      *Exchange
}

// ran tells whether an effect may have come of it.
func (l *Leg) mayHaveRun() bool { return l.Outcome != "full" }

// span is a time in which something holds.
type span struct {
	from, to float64
	reason   string
}

// Book holds all accounts. It may be used from any goroutine.
type Book struct {
	Terms
	mu               sync.Mutex
	exchanges        map[string]*Exchange
	exchangesInOrder []*Exchange
	legs             []*Leg
	drains           map[[2]int][]span // sidecar, endpoint: told to send nothing new there
	excuses          map[int][]span    // sidecar
	collapses        []collapse
	EndpointNames    []string // of the endpoints
	InService        []span   // of each endpoint: listed as in service
	ConnectionCounts []int    // connections that each endpoint took
	LinkSlackMs      func(sidecar, endpoint int, at float64) float64
	Healthy          func(sidecar int, from, to float64) bool // endpoints, links and cores of a sidecar are sound all that time
	harnessDelays    []span                                   // when the rehearsal itself stood still or had no core: what came then is booked too late
}

type collapse struct {
	endpoint int
	at       float64
}

// New is an empty book.
func New(t Terms) *Book {
	return &Book{Terms: t, exchanges: map[string]*Exchange{}, drains: map[[2]int][]span{}, excuses: map[int][]span{},
		LinkSlackMs: func(int, int, float64) float64 { return 0 }, Healthy: func(int, float64, float64) bool { return true }}
}

// Endpoint enters one more and returns its number.
func (b *Book) AddEndpoint(name string, at float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.EndpointNames, b.InService, b.ConnectionCounts = append(b.EndpointNames, name), append(b.InService, span{from: at, to: math.Inf(1)}), append(b.ConnectionCounts, 0)
	return len(b.EndpointNames) - 1
}

// Began says since when an endpoint is in service.
func (b *Book) SetInServiceFrom(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.InService[e].from = at
}

// Out says that an endpoint takes no part from a time on.
func (b *Book) SetInServiceUntil(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.InService[e].to = min(b.InService[e].to, at)
}

// Dial counts a connection that an endpoint took.
func (b *Book) CountConnection(e int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ConnectionCounts[e]++
}

// Ask enters an exchange that a client is about to ask for.
func (b *Book) AddExchange(x *Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges[x.ID] = x
	b.exchangesInOrder = append(b.exchangesInOrder, x)
}

// Find returns what an exchange is about; nil for one that no client asked for.
func (b *Book) FindExchange(id string) *Exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchanges[id]
}

// Arrive enters a leg at an endpoint.
func (b *Book) AddLeg(l *Leg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.exchange = b.exchanges[l.Exchange]
	b.legs = append(b.legs, l)
	if l.exchange != nil {
		l.exchange.legs = append(l.exchange.legs, l)
	}
}

// End says what became of a leg.
func (b *Book) EndLeg(l *Leg, outcome string, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Outcome, l.EndedAt = outcome, at
}

// Answered says how an exchange ended for its client.
func (b *Book) RecordAnswer(x *Exchange, status int, wrong string, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.Status, x.AnswerFault, x.SentAt, x.EndedAt = status, wrong, sent, at
	x.succeeded = status == 200 && wrong == ""
}

// Leaves says that a client has closed its connection before its answer came.
func (b *Book) RecordClientLeft(x *Exchange, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.SentAt, x.EndedAt, x.ClientLeftAt = sent, at, at
}

// Late says that the rehearsal itself was late between two times. What overlaps counts once; times come in the order of their ends.
func (b *Book) RecordHarnessDelay(from, to float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := len(b.harnessDelays); n > 0 && b.harnessDelays[n-1].to >= from; n-- {
		from, to = min(from, b.harnessDelays[n-1].from), max(to, b.harnessDelays[n-1].to)
		b.harnessDelays = b.harnessDelays[:n-1]
	}
	b.harnessDelays = append(b.harnessDelays, span{from: from, to: to})
}

// deserted is by how much a leg came after its client had left, without what the rehearsal's own lateness and the faults of its
// link may add: on a silent link a request that was sent before comes when the link is back.
func (b *Book) delayAfterClientLeft(x *Exchange, l *Leg) float64 {
	return l.ArrivedAt - x.ClientLeftAt - b.harnessDelayBetween(x.ClientLeftAt, l.ArrivedAt) - b.LinkSlackMs(x.Sidecar, l.Endpoint, l.ArrivedAt)
}

// lateBetween is for how long between two times the rehearsal itself had no core: then the sidecars may have had none either, and
// what came is booked late.
func (b *Book) harnessDelayBetween(from, to float64) (ms float64) {
	for _, s := range b.harnessDelays {
		ms += max(min(s.to, to)-max(s.from, from), 0)
	}
	return ms
}

// Left counts exchanges whose clients left, and legs that came for these later than the rule allows.
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

// Excuse says that a sidecar owes no answers for exchanges in hand within a time.
func (b *Book) Excuse(sidecar int, from, to float64, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excuses[sidecar] = append(b.excuses[sidecar], span{from, to, why})
}

// Told says that a sidecar was told to send nothing new to an endpoint. Back ends it.
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

func (b *Book) RecordUndrain(sidecar, endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.drains[[2]int{sidecar, endpoint}]; len(list) > 0 {
		list[len(list)-1].to = min(list[len(list)-1].to, at)
	}
}

// Fell says that a cold endpoint was pushed over.
func (b *Book) RecordCollapse(endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collapses = append(b.collapses, collapse{endpoint, at})
}

// Broken is a rule that was broken, with what happened leg by leg.
type Violation struct{ Rule, Exchange, Details string }

// The rules' names.
const (
	RuleNoExchangeLost, RuleNoDuplicateEffect, RuleDrainsKept, RuleNoColdCollapse, RuleLegBudget = "no exchange lost", "no effect twice", "drains kept", "no cold endpoint pushed over", "budget of legs"
	RuleNoLegAfterClientLeft                                                                     = "nothing sent on for a client that left"
	RuleDeadlineWithinTimeLeft                                                                   = "no deadline passed on beyond what the client has left"
	RuleServedInTime                                                                             = "served in time while all is sound"
)

// deadlineSlack is by how many ms a deadline that is passed on may lie beyond what the client has left.
const deadlineSlackMs = 150

// leftGrace is the time, in ms, in which a client's leaving must be known.
const clientLeftGraceMs = 100

// Check holds the accounts against the rules. Call it when all has ended.
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
				violations = append(violations, Violation{RuleNoLegAfterClientLeft, x.ID, fmt.Sprintf("its client left at %.0f ms, a leg came %.0f ms later\n%s", x.ClientLeftAt, l.ArrivedAt-x.ClientLeftAt, b.history(x))})
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
			violations = append(violations, Violation{RuleNoExchangeLost, l.Exchange, "a leg for an exchange that no client asked for"})
			continue
		}
		for _, d := range b.drains[[2]int{l.exchange.Sidecar, l.Endpoint}] {
			late := l.ArrivedAt - d.from - b.DrainGraceMs - b.LinkSlackMs(l.exchange.Sidecar, l.Endpoint, l.ArrivedAt)
			if late > 0 && l.ArrivedAt < d.to {
				violations = append(violations, Violation{RuleDrainsKept, l.Exchange, fmt.Sprintf("s%d was told of %s at %.0f ms (%s); a leg came %.0f ms past the grace\n%s",
					l.exchange.Sidecar, b.EndpointNames[l.Endpoint], d.from, d.reason, late, b.history(l.exchange))})
			}
		}
	}
	for _, f := range b.collapses {
		text := fmt.Sprintf("%s was pushed over at %.0f ms; its last legs:", b.EndpointNames[f.endpoint], f.at)
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

func (b *Book) applyExcuses(x *Exchange) {
	until := x.DueAt + b.Products[x.Product].AbandonMs + b.AnswerGraceMs
	for _, s := range b.excuses[x.Sidecar] {
		if x.ExcuseReason == "" && x.DueAt < s.to && until > s.from {
			x.ExcuseReason = s.reason
		}
	}
}

func (b *Book) lossReason(x *Exchange) string {
	late := x.EndedAt - max(x.DueAt, x.SentAt) - b.Products[x.Product].AbandonMs - b.AnswerGraceMs // the client's own lateness is not the sidecar's
	switch {
	case x.SentAt == 0 || x.ClientLeftAt > 0:
		return "" // no sidecar took it, or nobody waits
	case x.Status == 0:
		return "no answer: " + x.AnswerFault
	case x.Status == 409:
		return "taken, its connection ended with no answer, and refused as a repeat when it was sent once more"
	case x.AnswerFault != "":
		return "a wrong answer: " + x.AnswerFault
	case late > 0:
		return fmt.Sprintf("its answer came %.0f ms past the grace", late)
	}
	return ""
}

func (b *Book) duplicateReason(x *Exchange) string {
	p, ran := b.Products[x.Product], 0
	for _, l := range x.legs {
		if l.mayHaveRun() {
			ran++
		}
		if p.Referenced && !l.KeyIntact {
			return "a leg came without the mark that lets endpoints drop repeats"
		}
	}
	if p.SingleUse && ran > 1 {
		return fmt.Sprintf("single-use, and %d legs may have run", ran)
	}
	return ""
}

// overstated looks for an attempt that told its endpoint more time than its client had left. The client sends a request after it
// was due, and only the sidecar knows when it came: the time counts from when its last byte was sent.
func (b *Book) overstatedDeadline(x *Exchange) string {
	for _, l := range x.legs {
		sent := max(x.DueAt, x.SentAt)
		left := sent + b.Products[x.Product].AbandonMs - l.ArrivedAt + b.harnessDelayBetween(sent, l.ArrivedAt)
		if x.SentAt > 0 && l.DeadlineMs > left+deadlineSlackMs+b.LinkSlackMs(x.Sidecar, l.Endpoint, l.ArrivedAt) {
			return fmt.Sprintf("an attempt at %.0f ms told its endpoint %.0f ms, where its client had %.0f left", l.ArrivedAt, l.DeadlineMs, left)
		}
	}
	return ""
}

// story is what happened to an exchange, in order.
func (b *Book) history(x *Exchange) string {
	lines := []string{fmt.Sprintf("%s to s%d (%s): due at %.0f, sent %.0f, ended %.0f ms, status %d %s",
		x.ID, x.Sidecar, b.Products[x.Product].Name, x.DueAt, x.SentAt, x.EndedAt, x.Status, x.AnswerFault)}
	for _, l := range x.legs {
		lines = append(lines, fmt.Sprintf("  leg at %s: came %.0f, ended %.0f ms, %s", b.EndpointNames[l.Endpoint], l.ArrivedAt, l.EndedAt, cmp.Or(l.Outcome, "never ended")))
	}
	return strings.Join(lines, "\n")
}

// edge is by how much a sidecar's window may lie off from what endpoints see of it.
const windowSlackMs = 250

// budget looks at each further leg: those within the window before it against the exchanges taken in it.
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
				violations = append(violations, Violation{RuleLegBudget, l.Exchange, fmt.Sprintf("s%d: %d further legs within %.0f ms, %d exchanges, so %.1f are allowed\n%s",
					s, used, b.BudgetWindowMs, exchangeCount, allowed, b.history(l.exchange))})
				break // the others of this sidecar follow from it
			}
		}
	}
	return violations
}
