package scenario

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validScenario = `title = "t"
seed = 3
length_s = 10
[fleet]
sidecars = 20
rate = 5
heavy = 0.1
heavy_times = 4
zones = ["a", "b"]
[[endpoints]]
name = "e"
count = 4
speeds = [1.0, 2.0]
[[endpoints]]
name = "f"
count = 1
[[products]]
name = "look"
effect = "replayable"
expected_ms = 100
abandon_ms = 400
work_ms = 5
[[faults]]
at_s = 2
for_s = 3
what = "slow"
who = ["e1", "zone:b"]
size = 4.0
[[faults]]
at_s = 2
what = "reset"
over = "upstream"
who = ["s*"]
to = ["f0"]
share = 0.1
`

func TestWrongFilesAreRefusedWithFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ old, new, wantError string }{
		{"seed = 3", "seeds = 3", `t.toml:2: seeds: no such key`}, {"size = 4.0", "sise = 4", "t.toml:28: faults.sise: no such key"},
		{"size = 4.0", "size = 0.5", "t.toml:28: faults[0].size: 0.5 is not from 1.01 to 1000 (times slower)"},
		{"size = 4.0\n", "", "t.toml:23: faults[0].size: 0 is not"}, {`"slow"`, `"slower"`, `t.toml:26: faults[0].what: there is no "slower"`},
		{"at_s = 2\nfor_s", "at_s = 9\nfor_s", "t.toml:25: faults[0].for_s: it would end at 12 s, after the end at 10 s"},
		{"at_s = 2\nfor_s", "at_s = 11\nfor_s", "t.toml:24: faults[0].at_s: 11 is not from 0 to 10"},
		{`["e1", "zone:b"]`, `["e9"]`, `t.toml:27: faults[0].who: "e9" names none of the endpoints`},
		{`["f0"]`, `["f1"]`, `t.toml:34: faults[1].to: "f1" names none of the endpoints`}, {`["s*"]`, `["e*"]`, `t.toml:33: faults[1].who: "e*" names none of the sidecars`},
		{`"upstream"`, `"sideways"`, `faults[1].over: "sideways" is none of`}, {"sidecars = 20", "sidecars = -1", "t.toml:5: fleet.sidecars: -1 is not from 1 to 2000"},
		{"abandon_ms = 400", "abandon_ms = 40", "products[0].abandon_ms: 40 is not from 100"}, {"count = 4", `count = "four"`, "t.toml:12"},
		{`"replayable"`, `"often"`, "products[0].effect"}, {`name = "f"`, `name = "e"`, "endpoints[1].name"}, {"rate = 5", "rate = nan", "fleet.rate: NaN"},
		{"[fleet]", "[fleet", "t.toml:4"}, {`what = "reset"`, "what = \"reset\"\nfor_s = 1", "faults[1].for_s: reset is done once"},
		{"size = 4.0", "size = 4.0\n[[faults]]\nat_s = 1\nfor_s = 2\nwhat = \"list-mute\"\nsize = 2", "faults[1].size: 2 is not from 0.01 to 1 (share of watches)"},
		{"size = 4.0", "size = 4.0\n[[faults]]\nat_s = 1\nfor_s = 2\nwhat = \"list-ends\"", "faults[1].size: 0 is not from 0.001 to 60"},
		{"rate = 5", "rate = 5\ndrain_grace_ms = -1", "fleet.drain_grace_ms: -1 is not from 1 to 60000"},
	} {
		text := strings.Replace(validScenario, c.old, c.new, 1)
		require.NotEqual(t, validScenario, text, c.old)
		s, err := Parse("t.toml", []byte(text))
		assert.Nil(t, s)
		assert.ErrorContains(t, err, c.wantError)
		if err != nil {
			assert.NotContains(t, err.Error(), "\n", "the error is a single line")
		}
	}
}

func TestTargetsAndArrivalsFollowTheSeed(t *testing.T) {
	s, err := Parse("t.toml", []byte(validScenario))
	require.NoError(t, err)
	targets, _ := s.FaultTargets(0)
	assert.Equal(t, []string{"e1", "e3"}, []string{targets[0].Name, targets[1].Name}, "a target that two patterns match is chosen once")
	targets, remote := s.FaultTargets(1)
	assert.Equal(t, []int{2, 1}, []int{len(targets), len(remote)})
	assert.Equal(t, []float64{2}, s.EmulatorKind(s.EndpointNodes()[1]).CoreSpeeds)
	arrivals := s.Arrivals()
	assert.Equal(t, arrivals, s.Arrivals(), "the same seed gives the same arrivals")
	assert.InDelta(t, 1000, len(arrivals), 200)
	count := map[int]int{}
	for n, a := range arrivals {
		count[a.Sidecar]++
		assert.False(t, n > 0 && a.At < arrivals[n-1].At)
	}
	assert.Greater(t, count[0]+count[1], 3*(count[2]+count[3]+count[4]+count[5])/4, "a tenth of the sidecars has four times the load")
	s.Seed = 4
	assert.NotEqual(t, arrivals[0], s.Arrivals()[0])
}
