package records

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A sidecar must serve a share of its requests in time. Requests that came while one of its dependencies was not
// healthy do not count, and a sidecar with too few requests is not judged.
func TestServedShareWhileDependenciesAreHealthy(t *testing.T) {
	for _, c := range []struct {
		name   string
		asked  int
		missed int
		change func(b *Book)
		broken bool
	}{
		{"all in time", 100, 0, nil, false},
		{"five of a hundred late", 100, 5, nil, false},
		{"six of a hundred late", 100, 6, nil, true},
		{"too few requests", minRequestsForShare - 1, 20, nil, false},
		{"no share configured", 100, 50, func(b *Book) { b.MinServedShare = 0 }, false},
		{"endpoints were not healthy", 100, 50, func(b *Book) { b.Healthy = func(int, float64, float64) bool { return false } }, false},
		{"the test harness had no core", 100, 50, func(b *Book) { b.RecordHarnessDelay(0, 1e9) }, false},
		{"six of a hundred refused", 100, 6, func(b *Book) { refuseFirst(b, 6) }, true},
	} {
		b := newTestBook()
		b.MinServedShare, b.BudgetWindowMs = 0.95, 0
		for n := range c.asked {
			ended := float64(n)*10 + 50
			if n < c.missed {
				ended += 100
			}
			addAnsweredExchange(b, fmt.Sprint("x", n), 0, float64(n)*10, 200, ended, "satisfied")
		}
		if c.change != nil {
			c.change(b)
		}
		broken := b.Check()
		if assert.Equal(t, c.broken, len(broken) == 1, "%s: %v", c.name, broken) && c.broken {
			assert.Equal(t, RuleServedInTime, broken[0].Rule)
			assert.Contains(t, broken[0].Details, "s0 served 94 of 100 in time")
		}
	}
}

// refuseFirst turns the first count exchanges into ones that were refused at once.
func refuseFirst(b *Book, count int) {
	for _, x := range b.exchangesInOrder[:count] {
		x.Status, x.succeeded, x.EndedAt = 503, false, x.DueAt+1
	}
}

// Periods in which the test harness was delayed count once where they overlap.
func TestOverlappingHarnessDelaysCountOnce(t *testing.T) {
	b := newTestBook()
	for _, s := range [][2]float64{{10, 30}, {40, 60}, {25, 45}, {50, 65}, {100, 120}} {
		b.RecordHarnessDelay(s[0], s[1])
	}
	assert.Equal(t, 55.0, b.harnessDelayBetween(0, 90))
	assert.Equal(t, 75.0, b.harnessDelayBetween(0, 200))
	assert.Equal(t, 5.0, b.harnessDelayBetween(115, 200))
}
