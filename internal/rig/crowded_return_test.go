package rig

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests to draining endpoints after an overloaded discovery returns. Discovery answers in milliseconds,
// has an outage and returns with 0.6 s of work for each call. A process whose call waited in discovery's queue made a
// further call after 1.1 s, since it estimated the queue's delay from the shortest latency ever seen, which was from
// before the outage. The further call was refused at once, and with it the waiting call, although that had its place in
// the queue. Log of s6, in seconds after discovery's return at 5.0: call 12 at 0.68 refused at once, call 13 at 1.48
// waits, call 14 at 2.58 refused at once, call 13 ends after 1,100 ms, call 15 at 3.38 waits. Its list arrived about 7 s
// after the return, and requests went to draining endpoints past the grace: 48 and 28 cases in two runs, 35 with the
// version before.
func TestDrainsAreKeptWhenAnOverloadedDiscoveryReturns(t *testing.T) {
	t.Parallel()
	result, err := runScenario(t, &Rig{Program: buildProgram(t, "")}, "crowded-return.toml")
	require.NoError(t, err)
	if brokenCount := len(result.Broken); brokenCount > 0 {
		t.Errorf("%d cases, the first: %s: %s", brokenCount, result.Broken[0].Rule, result.Broken[0].Details)
	}
}
