package records

import (
	"fmt"
	"strings"
)

const (
	minRequestsForShare = 50 // with fewer requests to a sidecar, its share is not significant
	maxExamples         = 5  // exchanges that a violation describes
)

// checkServedShare looks for sidecars that served less than MinServedShare of their requests in time. Only requests
// count for which endpoints, links and cores were healthy from when they were due until their abandon time. Exchanges whose
// client left, that are excused or during which the test harness was delayed do not count.
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

// histories returns the events of the first maxExamples exchanges.
func (b *Book) histories(all []*Exchange) string {
	var text []string
	for _, x := range all[:min(len(all), maxExamples)] {
		text = append(text, b.history(x))
	}
	return strings.Join(text, "\n")
}
