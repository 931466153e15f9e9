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
	Products              []Product
	Grace                 float64 // past the abandon time in which an answer still counts
	Drain                 float64 // after the telling of a drain in which something new may still come
	Free, Ratio, LookBack float64 // budget of legs beyond the first; LookBack 0 for none
	SoundShare            float64 // of requests that is served in time while all that a sidecar depends on is sound; 0 for none
}

// Product is what the rules need of one.
type Product struct {
	Name       string
	Expected   float64
	Abandon    float64
	SingleUse  bool
	Referenced bool
}

// Exchange is one as its client saw it. Times are ms from the start.
type Exchange struct {
	ID             string
	Sidecar        int
	Product        int
	Work           float64
	At             float64 // when it was due: waits count from here
	Sent           float64 // its last byte; 0 if it never was
	Ended          float64
	Status         int     // 0 for no answer
	Wrong          string  // what was wrong with the answer
	Left           float64 // when its client closed its connection without an answer; 0 if it did not
	Excused        string  // why the sidecar owes no answer
	legs           []*Leg
	satisfiedAtAll bool
}

// Leg is one as its endpoint saw it.
type Leg struct {
	Exchange string
	Endpoint int
	At       float64 // its first bytes
	Ended    float64
	Outcome  string  // satisfied, errored, full, failed, left, cut
	Fresh    bool    // the first one on its connection
	Keyed    bool    // carried its mark unchanged
	Deadline float64 // ms that it told its endpoint; 0 for none
	Work     float64
	exchange *Exchange
}

// ran tells whether an effect may have come of it.
func (l *Leg) ran() bool { return l.Outcome != "full" }

// span is a time in which something holds.
type span struct {
	from, to float64
	why      string
}

// Book holds all accounts. It may be used from any goroutine.
type Book struct {
	Terms
	mu        sync.Mutex
	exchanges map[string]*Exchange
	order     []*Exchange
	legs      []*Leg
	drains    map[[2]int][]span // sidecar, endpoint: told to send nothing new there
	excuses   map[int][]span    // sidecar
	falls     []fall
	Names     []string // of the endpoints
	Alive     []span   // of each endpoint: listed as in service
	Dialled   []int    // connections that each endpoint took
	Slack     func(sidecar, endpoint int, at float64) float64
	Sound     func(sidecar int, from, to float64) bool // endpoints, links and cores of a sidecar are sound all that time
	late      []span                                   // when the rehearsal itself stood still or had no core: what came then is booked too late
}

type fall struct {
	endpoint int
	at       float64
}

// New is an empty book.
func New(t Terms) *Book {
	return &Book{Terms: t, exchanges: map[string]*Exchange{}, drains: map[[2]int][]span{}, excuses: map[int][]span{},
		Slack: func(int, int, float64) float64 { return 0 }, Sound: func(int, float64, float64) bool { return true }}
}

// Endpoint enters one more and returns its number.
func (b *Book) Endpoint(name string, at float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Names, b.Alive, b.Dialled = append(b.Names, name), append(b.Alive, span{from: at, to: math.Inf(1)}), append(b.Dialled, 0)
	return len(b.Names) - 1
}

// Began says since when an endpoint is in service.
func (b *Book) Began(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Alive[e].from = at
}

// Out says that an endpoint takes no part from a time on.
func (b *Book) Out(e int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Alive[e].to = min(b.Alive[e].to, at)
}

// Dial counts a connection that an endpoint took.
func (b *Book) Dial(e int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Dialled[e]++
}

// Ask enters an exchange that a client is about to ask for.
func (b *Book) Ask(x *Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges[x.ID] = x
	b.order = append(b.order, x)
}

// Find returns what an exchange is about; nil for one that no client asked for.
func (b *Book) Find(id string) *Exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exchanges[id]
}

// Arrive enters a leg at an endpoint.
func (b *Book) Arrive(l *Leg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.exchange = b.exchanges[l.Exchange]
	b.legs = append(b.legs, l)
	if l.exchange != nil {
		l.exchange.legs = append(l.exchange.legs, l)
	}
}

// End says what became of a leg.
func (b *Book) End(l *Leg, outcome string, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Outcome, l.Ended = outcome, at
}

// Answered says how an exchange ended for its client.
func (b *Book) Answered(x *Exchange, status int, wrong string, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.Status, x.Wrong, x.Sent, x.Ended = status, wrong, sent, at
	x.satisfiedAtAll = status == 200 && wrong == ""
}

// Leaves says that a client has closed its connection before its answer came.
func (b *Book) Leaves(x *Exchange, sent, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.Sent, x.Ended, x.Left = sent, at, at
}

// Late says that the rehearsal itself was late between two times. What overlaps counts once; times come in the order of their ends.
func (b *Book) Late(from, to float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := len(b.late); n > 0 && b.late[n-1].to >= from; n-- {
		from, to = min(from, b.late[n-1].from), max(to, b.late[n-1].to)
		b.late = b.late[:n-1]
	}
	b.late = append(b.late, span{from: from, to: to})
}

// deserted is by how much a leg came after its client had left, without what the rehearsal's own lateness and the faults of its
// link may add: on a silent link a request that was sent before comes when the link is back.
func (b *Book) deserted(x *Exchange, l *Leg) float64 {
	return l.At - x.Left - b.lateBetween(x.Left, l.At) - b.Slack(x.Sidecar, l.Endpoint, l.At)
}

// lateBetween is for how long between two times the rehearsal itself had no core: then the sidecars may have had none either, and
// what came is booked late.
func (b *Book) lateBetween(from, to float64) (ms float64) {
	for _, s := range b.late {
		ms += max(min(s.to, to)-max(s.from, from), 0)
	}
	return ms
}

// Left counts exchanges whose clients left, and legs that came for these later than the rule allows.
func (b *Book) Left() (exchanges, legs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.order {
		if x.Left > 0 {
			exchanges++
			for _, l := range x.legs {
				if b.deserted(x, l) > leftGrace {
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
func (b *Book) Told(sidecar, endpoint int, at float64, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := [2]int{sidecar, endpoint}
	if list := b.drains[key]; len(list) > 0 && math.IsInf(list[len(list)-1].to, 1) {
		if last := &list[len(list)-1]; at < last.from {
			last.from, last.why = at, how
		}
		return
	}
	b.drains[key] = append(b.drains[key], span{at, math.Inf(1), how})
}

func (b *Book) Back(sidecar, endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list := b.drains[[2]int{sidecar, endpoint}]; len(list) > 0 {
		list[len(list)-1].to = min(list[len(list)-1].to, at)
	}
}

// Fell says that a cold endpoint was pushed over.
func (b *Book) Fell(endpoint int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.falls = append(b.falls, fall{endpoint, at})
}

// Broken is a rule that was broken, with what happened leg by leg.
type Broken struct{ Rule, Exchange, Story string }

// The rules' names.
const (
	Lost, Twice, Drains, Cold, Budget = "no exchange lost", "no effect twice", "drains kept", "no cold endpoint pushed over", "budget of legs"
	Deserted                          = "nothing sent on for a client that left"
	Deadlines                         = "no deadline passed on beyond what the client has left"
	Served                            = "served in time while all is sound"
)

// deadlineSlack is by how many ms a deadline that is passed on may lie beyond what the client has left.
const deadlineSlack = 150

// leftGrace is the time, in ms, in which a client's leaving must be known.
const leftGrace = 100

// Check holds the accounts against the rules. Call it when all has ended.
func (b *Book) Check() (broken []Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.order {
		b.excuse(x)
		if why := b.lost(x); why != "" && x.Excused == "" {
			broken = append(broken, Broken{Lost, x.ID, why + "\n" + b.story(x)})
		}
		for _, l := range x.legs {
			if x.Left > 0 && b.deserted(x, l) > leftGrace {
				broken = append(broken, Broken{Deserted, x.ID, fmt.Sprintf("its client left at %.0f ms, a leg came %.0f ms later\n%s", x.Left, l.At-x.Left, b.story(x))})
				break
			}
		}
		if why := b.overstated(x); why != "" {
			broken = append(broken, Broken{Deadlines, x.ID, why + "\n" + b.story(x)})
		}
		if why := b.twice(x); why != "" {
			broken = append(broken, Broken{Twice, x.ID, why + "\n" + b.story(x)})
		}
	}
	for _, l := range b.legs {
		if l.exchange == nil {
			broken = append(broken, Broken{Lost, l.Exchange, "a leg for an exchange that no client asked for"})
			continue
		}
		for _, d := range b.drains[[2]int{l.exchange.Sidecar, l.Endpoint}] {
			late := l.At - d.from - b.Drain - b.Slack(l.exchange.Sidecar, l.Endpoint, l.At)
			if late > 0 && l.At < d.to {
				broken = append(broken, Broken{Drains, l.Exchange, fmt.Sprintf("s%d was told of %s at %.0f ms (%s); a leg came %.0f ms past the grace\n%s",
					l.exchange.Sidecar, b.Names[l.Endpoint], d.from, d.why, late, b.story(l.exchange))})
			}
		}
	}
	for _, f := range b.falls {
		text := fmt.Sprintf("%s was pushed over at %.0f ms; its last legs:", b.Names[f.endpoint], f.at)
		last := []*Leg{}
		for _, l := range b.legs {
			if l.Endpoint == f.endpoint && l.At <= f.at {
				last = append(last, l)
			}
		}
		for _, l := range last[max(0, len(last)-20):] {
			text += fmt.Sprintf("\n  %.0f ms %s from s%d, work %.1f ms", l.At, l.Exchange, l.exchange.Sidecar, l.Work)
		}
		broken = append(broken, Broken{Cold, "", text})
	}
	broken = append(broken, b.budget()...)
	return append(broken, b.unserved()...)
}

func (b *Book) excuse(x *Exchange) {
	until := x.At + b.Products[x.Product].Abandon + b.Grace
	for _, s := range b.excuses[x.Sidecar] {
		if x.Excused == "" && x.At < s.to && until > s.from {
			x.Excused = s.why
		}
	}
}

func (b *Book) lost(x *Exchange) string {
	late := x.Ended - max(x.At, x.Sent) - b.Products[x.Product].Abandon - b.Grace // the client's own lateness is not the sidecar's
	switch {
	case x.Sent == 0 || x.Left > 0:
		return "" // no sidecar took it, or nobody waits
	case x.Status == 0:
		return "no answer: " + x.Wrong
	case x.Status == 409:
		return "taken, its connection ended with no answer, and refused as a repeat when it was sent once more"
	case x.Wrong != "":
		return "a wrong answer: " + x.Wrong
	case late > 0:
		return fmt.Sprintf("its answer came %.0f ms past the grace", late)
	}
	return ""
}

func (b *Book) twice(x *Exchange) string {
	p, ran := b.Products[x.Product], 0
	for _, l := range x.legs {
		if l.ran() {
			ran++
		}
		if p.Referenced && !l.Keyed {
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
func (b *Book) overstated(x *Exchange) string {
	for _, l := range x.legs {
		sent := max(x.At, x.Sent)
		left := sent + b.Products[x.Product].Abandon - l.At + b.lateBetween(sent, l.At)
		if x.Sent > 0 && l.Deadline > left+deadlineSlack+b.Slack(x.Sidecar, l.Endpoint, l.At) {
			return fmt.Sprintf("an attempt at %.0f ms told its endpoint %.0f ms, where its client had %.0f left", l.At, l.Deadline, left)
		}
	}
	return ""
}

// story is what happened to an exchange, in order.
func (b *Book) story(x *Exchange) string {
	lines := []string{fmt.Sprintf("%s to s%d (%s): due at %.0f, sent %.0f, ended %.0f ms, status %d %s",
		x.ID, x.Sidecar, b.Products[x.Product].Name, x.At, x.Sent, x.Ended, x.Status, x.Wrong)}
	for _, l := range x.legs {
		lines = append(lines, fmt.Sprintf("  leg at %s: came %.0f, ended %.0f ms, %s", b.Names[l.Endpoint], l.At, l.Ended, cmp.Or(l.Outcome, "never ended")))
	}
	return strings.Join(lines, "\n")
}

// edge is by how much a sidecar's window may lie off from what endpoints see of it.
const edge = 250

// budget looks at each further leg: those within the window before it against the exchanges taken in it.
func (b *Book) budget() (broken []Broken) {
	if b.LookBack <= 0 {
		return nil
	}
	taken, extra := map[int][]float64{}, map[int][]*Leg{}
	for _, x := range b.order {
		taken[x.Sidecar] = append(taken[x.Sidecar], x.At)
		slices.SortFunc(x.legs, func(a, o *Leg) int { return cmp.Compare(a.At, o.At) })
		for n, l := range x.legs {
			if n > 0 {
				extra[x.Sidecar] = append(extra[x.Sidecar], l)
			}
		}
	}
	for s, legs := range extra {
		slices.SortFunc(legs, func(a, o *Leg) int { return cmp.Compare(a.At, o.At) })
		for n, l := range legs {
			used, base := 0, 0
			for k := n; k >= 0 && legs[k].At > l.At-b.LookBack+edge; k-- {
				used++
			}
			for _, at := range taken[s] {
				if at > l.At-b.LookBack-edge && at <= l.At {
					base++
				}
			}
			if may := b.Free + b.Ratio*float64(base); float64(used) > math.Ceil(may) {
				broken = append(broken, Broken{Budget, l.Exchange, fmt.Sprintf("s%d: %d further legs within %.0f ms, %d exchanges, so %.1f are allowed\n%s",
					s, used, b.LookBack, base, may, b.story(l.exchange))})
				break // the others of this sidecar follow from it
			}
		}
	}
	return broken
}
