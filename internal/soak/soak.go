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

// playsToReduce bounds the plays that look for the least schedule of one break.
const maxReductionRuns = 20

// Player plays drawn rehearsals with one program.
type Runner struct {
	Program  string
	Env      []string // more, for the program
	Large    bool     // fleets of up to 100
	Profile  string   // of Profiles; General if left out
	Progress func(text string)
}

// Verdict is what the play of one seed showed. A seed that could not be played has Err, and is no pass.
type Result struct {
	Seed       uint64
	Violations []records.Violation
	Requests   int
	Err        error
	Scenario   *scenario.Scenario
	dir        string // start files and logs
	events     []rig.Event
}

// Rules are the names of the rules that were broken, each once.
func (v *Result) BrokenRules() (names []string) {
	for _, b := range v.Violations {
		if !slices.Contains(names, b.Rule) {
			names = append(names, b.Rule)
		}
	}
	return names
}

// Failed tells that a rule was broken or the seed could not be played.
func (v *Result) Failed() bool { return v.Err != nil || len(v.Violations) > 0 }

// Close removes start files and logs.
func (v *Result) Close() { os.RemoveAll(v.dir) }

// PlaySeed draws a seed's rehearsal and plays it.
func (p *Runner) RunSeed(ctx context.Context, seed uint64) *Result {
	s, err := DrawProfile(p.Profile, seed, p.Large)
	if err != nil {
		return &Result{Seed: seed, Err: fmt.Errorf("seed %d draws no rehearsal: %w", seed, err)}
	}
	return p.Run(ctx, s)
}

// Play plays a rehearsal.
func (p *Runner) Run(ctx context.Context, s *scenario.Scenario) *Result {
	v := &Result{Seed: s.Seed, Scenario: s}
	if v.dir, v.Err = os.MkdirTemp("", "soak-"); v.Err != nil {
		return v
	}
	r := &rig.Rig{Program: p.Program, Dir: v.dir, Env: p.Env}
	result, err := r.Run(ctx, s)
	v.Err = err
	if result != nil {
		v.Violations, v.events = result.Broken, result.Events
		v.Requests = result.Book.Service(0, s.Length*1000, -1).Requests
	}
	return v
}

// Reduce drops faults one by one while the same rule is still broken, and returns the last play that broke it. What breaks in some
// plays only keeps more faults than it needs.
func (p *Runner) Reduce(ctx context.Context, v *Result) *Result {
	if len(v.Violations) == 0 {
		return v
	}
	rule, reduced := v.Violations[0].Rule, v
	for n, runs := len(v.Scenario.Faults)-1, 0; n >= 0 && runs < maxReductionRuns && ctx.Err() == nil; n, runs = n-1, runs+1 {
		candidate := *reduced.Scenario
		candidate.Faults = slices.Delete(slices.Clone(reduced.Scenario.Faults), n, n+1)
		result := p.Run(ctx, &candidate)
		if result.Err == nil && slices.Contains(result.BrokenRules(), rule) {
			reduced.Close()
			reduced = result
			p.reportProgress(fmt.Sprintf("seed %d breaks %q without %s too", v.Seed, rule, v.Scenario.Faults[n].Kind))
		} else {
			result.Close()
		}
	}
	return reduced
}

func (p *Runner) reportProgress(text string) {
	if p.Progress != nil {
		p.Progress(text)
	}
}

// Write keeps the schedule, what was done and what broke in one order of time, and the logs.
func (v *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := Text(v.Scenario)
	if err != nil {
		return err
	}
	var timeline strings.Builder
	for _, e := range v.events {
		fmt.Fprintf(&timeline, "%9.0f ms  %s\n", e.At, e.Text)
	}
	for _, b := range v.Violations {
		fmt.Fprintf(&timeline, "\n%s\n%s\n", b.Rule, b.Details)
	}
	if v.Err != nil {
		fmt.Fprintln(&timeline, v.Err)
	}
	errs := []error{
		os.WriteFile(filepath.Join(dir, "schedule.toml"), text, 0o644),
		os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(timeline.String()), 0o644),
	}
	logs, _ := filepath.Glob(filepath.Join(v.dir, "*", "*.log"))
	for _, log := range logs {
		text, err := os.ReadFile(log)
		errs = append(errs, err, os.WriteFile(filepath.Join(dir, filepath.Base(log)), text, 0o644))
	}
	return errors.Join(errs...)
}
