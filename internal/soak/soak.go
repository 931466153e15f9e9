package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/rig"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// maxReductionRuns bounds the runs that search for the smallest schedule that still breaks a rule.
const maxReductionRuns = 20

// Runner runs generated scenarios with one program.
type Runner struct {
	Program  string
	Env      []string          // additional environment variables of the program
	Large    bool              // fleets of up to 100 sidecars
	Profile  string            // one of Profiles; General if empty
	Progress func(text string) // called for each fault that Reduce removes; may be nil
}

// Result is the result of the run of one seed. If the scenario could not be run, Err is set and the result is not a
// pass.
type Result struct {
	Seed       uint64
	Violations []records.Violation
	Requests   int
	Err        error
	Scenario   *scenario.Scenario
	dir        string // start files and logs
	events     []rig.Event
}

// BrokenRules returns the names of the rules that were broken, each once.
func (r *Result) BrokenRules() (names []string) {
	for _, b := range r.Violations {
		if !slices.Contains(names, b.Rule) {
			names = append(names, b.Rule)
		}
	}
	return names
}

// Failed reports whether a rule was broken or the scenario could not be run.
func (r *Result) Failed() bool { return r.Err != nil || len(r.Violations) > 0 }

// Close removes the start files and logs of the run.
func (r *Result) Close() { os.RemoveAll(r.dir) }

// RunSeed generates the scenario of a seed and runs it.
func (r *Runner) RunSeed(ctx context.Context, seed uint64) *Result {
	s, err := DrawProfile(r.Profile, seed, r.Large)
	if err != nil {
		return &Result{Seed: seed, Err: fmt.Errorf("seed %d: generated scenario is invalid: %w", seed, err)}
	}
	return r.Run(ctx, s)
}

// Run runs a scenario and checks the rules.
func (r *Runner) Run(ctx context.Context, s *scenario.Scenario) *Result {
	result := &Result{Seed: s.Seed, Scenario: s}
	if result.dir, result.Err = os.MkdirTemp("", "soak-"); result.Err != nil {
		return result
	}
	rigRun := &rig.Rig{Program: r.Program, Dir: result.dir, Env: r.Env}
	rigResult, err := rigRun.Run(ctx, s)
	result.Err = err
	if rigResult != nil {
		result.Violations, result.events = rigResult.Broken, rigResult.Events
		result.Requests = rigResult.Book.Service(0, s.Length*1000, -1).Requests
	}
	return result
}

// Reduce removes faults one at a time as long as the same rule is still broken, and returns the last run that broke it.
// If the rule is broken in some runs only, more faults may remain than are needed.
func (r *Runner) Reduce(ctx context.Context, original *Result) *Result {
	if len(original.Violations) == 0 {
		return original
	}
	rule, reduced := original.Violations[0].Rule, original
	for n, runs := len(original.Scenario.Faults)-1, 0; n >= 0 && runs < maxReductionRuns && ctx.Err() == nil; n, runs = n-1, runs+1 {
		candidate := *reduced.Scenario
		candidate.Faults = slices.Delete(slices.Clone(reduced.Scenario.Faults), n, n+1)
		result := r.Run(ctx, &candidate)
		if result.Err == nil && slices.Contains(result.BrokenRules(), rule) {
			reduced.Close()
			reduced = result
			r.reportProgress(fmt.Sprintf("seed %d still breaks %q without %s", original.Seed, rule, original.Scenario.Faults[n].Kind))
		} else {
			result.Close()
		}
	}
	return reduced
}

func (r *Runner) reportProgress(text string) {
	if r.Progress != nil {
		r.Progress(text)
	}
}

// Write writes the schedule, a timeline of the run's events followed by the violations, and the logs to a folder.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := Text(r.Scenario)
	if err != nil {
		return err
	}
	var timeline strings.Builder
	for _, e := range r.events {
		fmt.Fprintf(&timeline, "%9.0f ms  %s\n", e.At, e.Text)
	}
	for _, b := range r.Violations {
		fmt.Fprintf(&timeline, "\n%s\n%s\n", b.Rule, b.Details)
	}
	if r.Err != nil {
		fmt.Fprintln(&timeline, r.Err)
	}
	errs := []error{
		os.WriteFile(filepath.Join(dir, "schedule.toml"), text, 0o644),
		os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(timeline.String()), 0o644),
	}
	logs, _ := filepath.Glob(filepath.Join(r.dir, "*", "*.log"))
	for _, log := range logs {
		text, err := os.ReadFile(log)
		errs = append(errs, err, os.WriteFile(filepath.Join(dir, filepath.Base(log)), text, 0o644))
	}
	return errors.Join(errs...)
}
