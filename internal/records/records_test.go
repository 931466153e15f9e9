package records

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

var products = []Product{{Name: "look", ExpectedMs: 100, AbandonMs: 400}, {Name: "buy", ExpectedMs: 100, AbandonMs: 400, SingleUse: true},
	{Name: "save", ExpectedMs: 100, AbandonMs: 400, Referenced: true}}

func newTestBook() *Book {
	b := New(Terms{Products: products, AnswerGraceMs: 50, DrainGraceMs: 100, FreeExtraLegs: 1, ExtraLegRatio: 0.5, BudgetWindowMs: 1000})
	b.AddEndpoint("e0", 0)
	b.AddEndpoint("e1", 0)
	return b
}

// addAnsweredExchange adds an exchange that was answered, with a leg for each outcome, at the two endpoints in turn.
func addAnsweredExchange(b *Book, id string, product int, at float64, status int, ended float64, outcomes ...string) *Exchange {
	x := &Exchange{ID: id, Product: product, DueAt: at}
	b.AddExchange(x)
	for n, o := range outcomes {
		l := &Leg{Exchange: id, Endpoint: n % 2, ArrivedAt: at + float64(n)*10 + 1, KeyIntact: true}
		b.AddLeg(l)
		b.EndLeg(l, o, l.ArrivedAt+5)
	}
	b.RecordAnswer(x, status, "", at, ended)
	return x
}

func TestRules(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *Book)
		want string // rule that is broken; "" for none
	}{
		{"success", func(b *Book) { addAnsweredExchange(b, "x", 0, 0, 200, 20, "satisfied") }, ""},
		{"answer within the grace", func(b *Book) { addAnsweredExchange(b, "x", 0, 0, 504, 449, "left") }, ""},
		{"answer after the grace", func(b *Book) { addAnsweredExchange(b, "x", 0, 1, 200, 452, "satisfied") }, RuleNoExchangeLost},
		{"no answer", func(b *Book) { addAnsweredExchange(b, "x", 0, 1, 0, 20, "cut") }, RuleNoExchangeLost},
		{"refused as a duplicate", func(b *Book) { addAnsweredExchange(b, "x", 0, 1, 409, 20, "satisfied") }, RuleNoExchangeLost},
		{"no answer, but its sidecar was killed", func(b *Book) { addAnsweredExchange(b, "x", 0, 1, 0, 20, "cut"); b.Excuse(0, 10, 11, "killed") }, ""},
		{"no answer, another sidecar was killed", func(b *Book) { addAnsweredExchange(b, "x", 0, 1, 0, 20, "cut"); b.Excuse(1, 10, 11, "killed") }, RuleNoExchangeLost},
		{"no answer, its sidecar was killed long before", func(b *Book) { addAnsweredExchange(b, "x", 0, 901, 0, 920, "cut"); b.Excuse(0, 10, 11, "killed") }, RuleNoExchangeLost},
		{"never sent", func(b *Book) { addAnsweredExchange(b, "x", 0, 0, 0, 20) }, ""},
		{"answer to another exchange", func(b *Book) {
			x := addAnsweredExchange(b, "x", 0, 1, 200, 20, "satisfied")
			x.AnswerFault = "not made for it"
		}, RuleNoExchangeLost},
		{"leg of an unknown exchange", func(b *Book) { b.AddLeg(&Leg{Exchange: "z"}) }, RuleNoExchangeLost},
		{"single-use, run once after an endpoint was full", func(b *Book) { addAnsweredExchange(b, "x", 1, 0, 200, 20, "full", "satisfied") }, ""},
		{"single-use, run twice", func(b *Book) { addAnsweredExchange(b, "x", 1, 0, 200, 20, "errored", "satisfied") }, RuleNoDuplicateEffect},
		{"referenced, run twice with its key", func(b *Book) { addAnsweredExchange(b, "x", 2, 0, 200, 20, "errored", "satisfied") }, ""},
		{"referenced, without its key", func(b *Book) { addAnsweredExchange(b, "x", 2, 0, 200, 20, "satisfied").legs[0].KeyIntact = false }, RuleNoDuplicateEffect},
		{"leg within the grace of a drain", func(b *Book) {
			b.RecordDrain(0, 0, 0, "listed")
			addAnsweredExchange(b, "x", 0, 98, 200, 120, "satisfied")
		}, ""},
		{"leg after the grace of a drain", func(b *Book) {
			b.RecordDrain(0, 0, 0, "listed")
			addAnsweredExchange(b, "x", 0, 102, 200, 120, "satisfied")
		}, RuleDrainsKept},
		{"another sidecar was notified of the drain", func(b *Book) {
			b.RecordDrain(1, 0, 0, "listed")
			addAnsweredExchange(b, "x", 0, 102, 200, 120, "satisfied")
		}, ""},
		{"drain ended before the leg", func(b *Book) {
			b.RecordDrain(0, 0, 0, "hand")
			b.RecordUndrain(0, 0, 100)
			addAnsweredExchange(b, "x", 0, 102, 200, 120, "satisfied")
		}, ""},
		{"leg after the client left", func(b *Book) {
			addAnsweredExchange(b, "x", 0, 300, 200, 120, "satisfied")
			b.exchanges["x"].ClientLeftAt = 150
		}, RuleNoLegAfterClientLeft},
		{"leg sent before the client left, delayed by a silent link", func(b *Book) {
			b.LinkSlackMs = func(int, int, float64) float64 { return 100 }
			addAnsweredExchange(b, "x", 0, 300, 200, 120, "satisfied")
			b.exchanges["x"].ClientLeftAt = 150
		}, ""},
		{"leg sent before the client left, delayed by the test harness", func(b *Book) {
			b.RecordHarnessDelay(160, 250)
			addAnsweredExchange(b, "x", 0, 300, 200, 120, "satisfied")
			b.exchanges["x"].ClientLeftAt = 150
		}, ""},
		{"leg after the grace of a drain, on a slow link", func(b *Book) {
			b.LinkSlackMs = func(int, int, float64) float64 { return 10 }
			b.RecordDrain(0, 0, 0, "listed")
			addAnsweredExchange(b, "x", 0, 102, 200, 120, "satisfied")
		}, ""},
		{"cold endpoint failed under overload", func(b *Book) { addAnsweredExchange(b, "x", 0, 0, 200, 20, "satisfied"); b.RecordCollapse(0, 10) }, RuleNoColdCollapse},
		{"legs within the budget", func(b *Book) { addAnsweredExchange(b, "x", 0, 0, 200, 50, "errored", "errored", "satisfied") }, ""},
		{"legs over the budget", func(b *Book) {
			addAnsweredExchange(b, "x", 0, 0, 200, 50, "errored", "errored", "errored", "satisfied")
		}, RuleLegBudget},
	} {
		b := newTestBook()
		c.do(b)
		broken := b.Check()
		if c.want == "" {
			assert.Empty(t, broken, c.name)
		} else if assert.Len(t, broken, 1, c.name) {
			assert.Equal(t, c.want, broken[0].Rule, c.name)
			assert.NotEmpty(t, broken[0].Details)
		}
	}
}

func TestSpread(t *testing.T) {
	b := newTestBook()
	b.AddEndpoint("e2", 0)
	b.SetInServiceUntil(2, 500) // not in service throughout, so left out
	for n := range 300 {
		l := &Leg{Endpoint: n % 3 % 2, ArrivedAt: float64(n)}
		b.AddLeg(l)
		b.EndLeg(l, "satisfied", l.ArrivedAt+2.5)
	}
	s := b.Spread(0, 1000, 1000, 1)
	assert.InDelta(t, 4.0/3, s.MaxOverMean, 1e-9, "200 and 100")
	assert.InDelta(t, 0.9, s.JainIndex, 1e-9)
	assert.Equal(t, []float64{100, 150, 200}, []float64{s.MinArrivals, s.MeanArrivals, s.MaxArrivals})
	// With 300 arrivals distributed at random over two endpoints, the maximum exceeds the mean by a half-normal amount;
	// relative to the mean of 150 its expectation is sqrt(300)/2 * sqrt(2/pi) / 150.
	assert.InDelta(t, 1+math.Sqrt(300)/2*math.Sqrt(2/math.Pi)/150, s.RandomMaxOverMean, 0.035, "four standard errors of 20 trials")
	assert.Equal(t, 2, b.MaxConcurrentLegs(0, 1000))
}

// A sidecar whose legs arrive later than the last notification of a drain and the grace is counted, whether or not it was
// notified. Legs that arrive after the drain has ended for the first sidecar are not counted.
func TestDrainSummaries(t *testing.T) {
	b := newTestBook()
	for s, at := range []float64{0, 50} {
		b.RecordDrain(s, 0, at, "by hand")
		b.RecordUndrain(s, 0, 1000+at)
	}
	for n, at := range []float64{100, 160, 500, 1010} {
		id := string(rune('a' + n))
		b.AddExchange(&Exchange{ID: id, Sidecar: 2 * (n % 2), DueAt: at})
		b.AddLeg(&Leg{Exchange: id, Endpoint: 0, ArrivedAt: at})
	}
	assert.Equal(t, []DrainSummary{{Endpoint: "e0", Source: "by hand", Notified: 2, FirstNotifiedAt: 0, LastNotifiedAt: 50, LateSenders: 2, LateLegs: 2}}, b.DrainSummaries())
}
