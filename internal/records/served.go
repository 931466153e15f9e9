package records

import (
	"fmt"
	"strings"
)

const (
	minRequestsForShare = 50 // requests to a sidecar below which its share says nothing
	maxExamples         = 5  // that a break tells
)

// unserved looks for sidecars that serve less than the share of their requests in time, of those that came while endpoints, links and
// cores were sound from when they were due until their time was over.
func (b *Book) checkServedShare() (violations []Violation) {
	if b.MinServedShare <= 0 {
		return nil
	}
	requestCounts, missed := map[int]int{}, map[int][]*Exchange{}
	for _, x := range b.exchangesInOrder {
		until := x.DueAt + b.Products[x.Product].AbandonMs
		if x.ClientLeftAt > 0 || x.ExcuseReason != "" || !b.Healthy(x.Sidecar, x.DueAt, until) || b.harnessDelayBetween(x.DueAt, max(until, x.EndedAt)) > 0 {
			continue
		}
		requestCounts[x.Sidecar]++
		if !x.succeeded || x.EndedAt-x.DueAt > b.Products[x.Product].ExpectedMs {
			missed[x.Sidecar] = append(missed[x.Sidecar], x)
		}
	}
	for sidecar, requests := range requestCounts {
		if missedCount := len(missed[sidecar]); requests >= minRequestsForShare && float64(missedCount) > (1-b.MinServedShare)*float64(requests) {
			violations = append(violations, Violation{RuleServedInTime, missed[sidecar][0].ID, fmt.Sprintf("s%d served %d of %d in time, the first that were not:\n%s",
				sidecar, requests-missedCount, requests, b.histories(missed[sidecar]))})
		}
	}
	return violations
}

func (b *Book) histories(all []*Exchange) string {
	var text []string
	for _, x := range all[:min(len(all), maxExamples)] {
		text = append(text, b.history(x))
	}
	return strings.Join(text, "\n")
}
