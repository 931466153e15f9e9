package rig

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Discovery answered in milliseconds, went away, and came back with 0.6 s of work for each call. A process whose call waited in its queue
// made a further one after 1.1 s, since the queue's time is reckoned from the shortest latency that it ever saw, and that was of before:
// the further call was refused at once, and with it the one that waited, which had its place in the queue. Log of s6, seconds after
// discovery's return at 5.0: call 12 at 0.68 refused at once, call 13 at 1.48 waits, call 14 at 2.58 refused at once, call 13 ends after
// 1,100 ms, call 15 at 3.38 waits; its list comes some 7 s after the return, and requests go to endpoints that drain past the grace: 48
// and 28 cases in two plays, 35 with the version before.
func TestDrainsAreKeptWhenAnOverloadedDiscoveryReturns(t *testing.T) {
	t.Parallel()
	result, err := runScenario(t, &Rig{Program: buildProgram(t, "")}, "crowded-return.toml")
	require.NoError(t, err)
	if brokenCount := len(result.Broken); brokenCount > 0 {
		t.Errorf("%d cases, the first: %s: %s", brokenCount, result.Broken[0].Rule, result.Broken[0].Details)
	}
}
