package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Exchanges that are queued for the concurrency limit when an endpoint starts to drain, or that were tried there before, are not
// sent to it when it has capacity again.
func TestQueuedExchangesAreNotSentToADrainingEndpoint(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, Full, Reset} {
		b, r := newTestBalancer("ab")
		inFlight := map[EndpointID][]ExchangeID{}
		for n := 0; len(b.queue) < 20 && n < 500; n++ {
			x := ExchangeID(fmt.Sprint(n))
			if to := arrive(b, r, x, retryable); to != "" {
				inFlight[to] = append(inFlight[to], x)
			}
		}
		require.NotEmpty(t, b.queue)
		require.NotEmpty(t, inFlight["a"])
		b.Listed("a", NotRunning, 0, 0, 0, 1, 0)
		b.ListEnds(false)
		for _, line := range r.take("send") {
			assert.NotRegexp(t, " a$", line, "when the drain is announced")
		}
		sent := 0
		for _, from := range []EndpointID{"a", "b"} {
			for _, x := range inFlight[from] {
				b.SetNow(b.now + 5)
				b.LegEnded(x, 0, outcome, 5, true)
				for _, line := range r.take("send") {
					sent++
					assert.NotRegexp(t, " a$", line, "outcome %d", outcome)
				}
			}
		}
		runUpkeep(b, 5)
		for _, line := range r.take("send") {
			assert.NotRegexp(t, " a$", line, "outcome %d", outcome)
		}
		if outcome == Succeeded {
			assert.NotZero(t, sent, "free capacity of the other endpoint is used")
		}
	}
}
