package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
	"github.com/lynxjunction/lynxjunction/internal/sidecar"
)

// runLab runs the command with the given arguments and returns its output.
func runLab(args ...string) (string, error) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// The sidecar accepts the sample start file.
func TestSampleStartFile(t *testing.T) {
	text, err := runLab("config")
	require.NoError(t, err)
	s, err := sidecar.Decode([]byte(text))
	require.NoError(t, err)
	assert.Contains(t, s.String(), "2 products, 1 endpoints known")
}

func TestRepositoryScenariosAreValid(t *testing.T) {
	all, err := filepath.Glob("rehearsals/*.toml")
	require.NoError(t, err)
	assert.NotEmpty(t, all)
	for _, path := range all {
		_, err := scenario.Read(path)
		assert.NoError(t, err)
	}
}

// In virtual time: a run writes a report that can be printed, a second run into the same folder is refused, and so are
// a folder without a report, an unknown policy and a missing program.
func TestRunAndReport(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "r")
	out, err := runLab("run", "rehearsals/demo.toml", "--virtual", "--out", dir)
	require.NoError(t, err, out)
	assert.Contains(t, out, "kept: no exchange lost")
	text, err := runLab("report", dir)
	require.NoError(t, err)
	assert.Contains(t, text, "4-9 s, look")
	_, err = runLab("run", "rehearsals/demo.toml", "--virtual", "--out", dir)
	assert.ErrorContains(t, err, "there already")
	_, err = runLab("report", t.TempDir())
	assert.ErrorContains(t, err, "holds no report")
	_, err = runLab("run", "rehearsals/demo.toml", "--virtual", "--policy", "luck")
	assert.ErrorContains(t, err, `"luck" is none of`)
	_, err = runLab("run", "rehearsals/demo.toml", "--program", "/nowhere")
	assert.ErrorContains(t, err, "build it first")
}

// Comparing a policy with itself shows no difference; comparing it with random choice does.
func TestCompare(t *testing.T) {
	out, err := runLab("compare", "rehearsals/demo.toml", "--virtual", "--seeds", "3", "--workers", "3")
	require.NoError(t, err)
	assert.Equal(t, 7, strings.Count(out, "no difference shown"), out)
	out, err = runLab("compare", "rehearsals/demo.toml", "--virtual", "--seeds", "4", "--workers", "4", "--policy-b", "random")
	require.NoError(t, err)
	assert.Regexp(t, `legs each .* differs`, out)
}

// An invalid scenario file gives one line with file, line and key and exit status 1, and nothing is run.
func TestInvalidScenarioFile(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "lab")
	text, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(t, err, string(text))
	path := filepath.Join(t.TempDir(), "s.toml")
	require.NoError(t, os.WriteFile(path, []byte("length_s = 5\nfleeet = 3\n"), 0o600))
	text, err = exec.Command(bin, "run", path).CombinedOutput()
	assert.ErrorContains(t, err, "exit status 1")
	assert.Equal(t, "lab: "+path+":2: fleeet: no such key\n", string(text))
}

func TestSoakFlags(t *testing.T) {
	for _, args := range [][]string{{"soak", "--seeds", "0"}, {"soak", "--parallel", "0"}, {"soak", "--sead", "1"}, {"soak", "--seeds", "x"}, {"soak", "--profile", "none"}} {
		all := root()
		all.SetArgs(args)
		var usage usageError
		err := all.Execute()
		assert.ErrorAs(t, err, &usage, args)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// runWithDrainDefect runs a scenario of three seconds with a program that continues to send to draining endpoints.
func runWithDrainDefect(t *testing.T) (out string, err error) {
	program := filepath.Join(t.TempDir(), "lynxjunction")
	text, err := exec.Command("go", "build", "-tags", "seeded", "-o", program, "../lynxjunction").CombinedOutput()
	require.NoError(t, err, string(text))
	path := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(path, []byte(`length_s = 3
[fleet]
sidecars = 1
rate = 50
[[endpoints]]
name = "e"
count = 2
[[products]]
name = "look"
effect = "replayable"
expected_ms = 100
abandon_ms = 400
work_ms = 1
[[faults]]
at_s = 0.5
what = "drain"
who = ["e0"]
`), 0o600))
	t.Setenv("LYNXJUNCTION_DEFECT", "drains")
	t.Setenv("TMPDIR", t.TempDir())
	return runLab("run", path, "--program", program, "--out", filepath.Join(t.TempDir(), "r"))
}

func TestLogsAreKeptOnRuleViolation(t *testing.T) {
	out, err := runWithDrainDefect(t)
	require.ErrorIs(t, err, errRuleViolated, out)
	_, dir, named := strings.Cut(strings.TrimSpace(out), "start files and logs: ")
	require.True(t, named, out)
	for _, name := range []string{"s0.log", "start.json"} {
		text, err := os.ReadFile(filepath.Join(dir, "s0", name))
		require.NoError(t, err)
		assert.NotEmpty(t, text, name)
	}
}
