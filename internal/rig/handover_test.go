package rig

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// One sidecar is two processes during a hand-over, and what one of them was told the other did not know. Its line carried counts and never
// a list: the old process heard of drains in versions 8 and 9 at 4.3 and 4.8 s, the new one, which had started at 1.3 s and whose calls
// were refused (calls 8, refused 7), took the clients at 6.3 s with the list of 1.28 s and sent to all three endpoints that drained until
// it heard its own list at 8.3 s: 38 and more attempts past the grace. The same where discovery is slow and no other fault, where it is
// away over the hand-over, where a second hand-over follows soon, and where it is the new process that hears first and dies.
func TestHandoverProcessesShareListUpdates(t *testing.T) {
	drain := func(at float64, who ...string) scenario.Fault {
		return scenario.Fault{Kind: "drain", At: at, Targets: who}
	}
	for name, faults := range map[string][]scenario.Fault{
		"spoilt answers": {
			{Kind: "list-off", At: 0.9, Duration: 2.41}, {Kind: "list-spoil", At: 3.8, Size: 5}, drain(4.3, "e0"), drain(4.57, "e2"),
		},
		"a slow discovery": {{Kind: "list-busy", At: 0.5, Duration: 9, Size: 12}, drain(2, "e0", "e4"), drain(3, "e2")},
		"discovery away": {
			{Kind: "list-off", At: 1.2, Duration: 5.3}, {Kind: "list-busy", At: 6.4, Duration: 5, Size: 3.6}, drain(6.75, "e0", "e2"), drain(7, "e4"),
		},
		"a second hand-over": {
			{Kind: "list-off", At: 0.9, Duration: 0.6}, {Kind: "upgrade", At: 4.5, Targets: []string{"s0"}}, {Kind: "list-busy", At: 4.4, Duration: 7, Size: 12},
			drain(5, "e0"), drain(6, "e2"),
		},
		"a new process that dies": {{Kind: "upgrade-fails", At: 4, Duration: 3, Targets: []string{"s1"}}, {Kind: "list-late", At: 3, Duration: 8, Size: 1.5}, drain(4.5, "e0", "e2")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Read("testdata/handover.toml")
			require.NoError(t, err)
			s.Faults = append(s.Faults, faults...)
			text, err := toml.Marshal(s)
			require.NoError(t, err)
			s, err = scenario.Parse(name, text)
			require.NoError(t, err)
			result, err := (&Rig{Program: buildProgram(t, ""), Dir: t.TempDir()}).Run(t.Context(), s)
			require.NoError(t, err)
			if brokenCount := len(result.Broken); brokenCount > 0 {
				t.Errorf("%d cases, the first: %s: %s", brokenCount, result.Broken[0].Rule, result.Broken[0].Details)
			}
		})
	}
}
