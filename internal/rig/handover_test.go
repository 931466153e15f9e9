package rig

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// Guards against requests to draining endpoints during an upgrade, when a sidecar has two processes and only one is
// notified of a drain. The connection between them carried counts but no list. The old process was notified of drains in
// versions 8 and 9 at 4.3 and 4.8 s. The new one had started at 1.3 s and its calls to discovery were refused (calls 8,
// refused 7); it took over the clients at 6.3 s with the list of 1.28 s, and sent legs to all three draining endpoints
// until it got its own list at 8.3 s: 38 and more legs past the grace. The same must hold where discovery is slow without
// another fault, where it is down during the upgrade, where a second upgrade follows soon, and where the new process is
// notified first and dies.
func TestHandoverProcessesShareListUpdates(t *testing.T) {
	drain := func(at float64, who ...string) scenario.Fault {
		return scenario.Fault{Kind: "drain", At: at, Targets: who}
	}
	for name, faults := range map[string][]scenario.Fault{
		"faulty answers": {
			{Kind: "list-off", At: 0.9, Duration: 2.41}, {Kind: "list-spoil", At: 3.8, Size: 5}, drain(4.3, "e0"), drain(4.57, "e2"),
		},
		"slow discovery": {{Kind: "list-busy", At: 0.5, Duration: 9, Size: 12}, drain(2, "e0", "e4"), drain(3, "e2")},
		"discovery down": {
			{Kind: "list-off", At: 1.2, Duration: 5.3}, {Kind: "list-busy", At: 6.4, Duration: 5, Size: 3.6}, drain(6.75, "e0", "e2"), drain(7, "e4"),
		},
		"second upgrade": {
			{Kind: "list-off", At: 0.9, Duration: 0.6}, {Kind: "upgrade", At: 4.5, Targets: []string{"s0"}}, {Kind: "list-busy", At: 4.4, Duration: 7, Size: 12},
			drain(5, "e0"), drain(6, "e2"),
		},
		"new process dies": {{Kind: "upgrade-fails", At: 4, Duration: 3, Targets: []string{"s1"}}, {Kind: "list-late", At: 3, Duration: 8, Size: 1.5}, drain(4.5, "e0", "e2")},
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
