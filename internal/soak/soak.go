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
const playsToReduce = 20

// Player plays drawn rehearsals with one program.
type Player struct {
	Program string
	Env     []string // more, for the program
	Large   bool     // fleets of up to 100
	Profile string   // of Profiles; General if left out
	Say     func(text string)
}

// Verdict is what the play of one seed showed. A seed that could not be played has Err, and is no pass.
type Verdict struct {
	Seed     uint64
	Broken   []records.Broken
	Asked    int
	Err      error
	Scenario *scenario.Scenario
	dir      string // start files and logs
	events   []rig.Event
}

// Rules are the names of the rules that were broken, each once.
func (v *Verdict) Rules() (names []string) {
	for _, b := range v.Broken {
		if !slices.Contains(names, b.Rule) {
			names = append(names, b.Rule)
		}
	}
	return names
}

// Failed tells that a rule was broken or the seed could not be played.
func (v *Verdict) Failed() bool { return v.Err != nil || len(v.Broken) > 0 }

// Close removes start files and logs.
func (v *Verdict) Close() { os.RemoveAll(v.dir) }

// PlaySeed draws a seed's rehearsal and plays it.
func (p *Player) PlaySeed(ctx context.Context, seed uint64) *Verdict {
	s, err := DrawProfile(p.Profile, seed, p.Large)
	if err != nil {
		return &Verdict{Seed: seed, Err: fmt.Errorf("seed %d draws no rehearsal: %w", seed, err)}
	}
	return p.Play(ctx, s)
}

// Play plays a rehearsal.
func (p *Player) Play(ctx context.Context, s *scenario.Scenario) *Verdict {
	v := &Verdict{Seed: s.Seed, Scenario: s}
	if v.dir, v.Err = os.MkdirTemp("", "soak-"); v.Err != nil {
		return v
	}
	r := &rig.Rig{Program: p.Program, Dir: v.dir, Env: p.Env}
	result, err := r.Run(ctx, s)
	v.Err = err
	if result != nil {
		v.Broken, v.events = result.Broken, result.Events
		v.Asked = result.Book.Service(0, s.Length*1000, -1).Asked
	}
	return v
}

// Reduce drops faults one by one while the same rule is still broken, and returns the last play that broke it. What breaks in some
// plays only keeps more faults than it needs.
func (p *Player) Reduce(ctx context.Context, v *Verdict) *Verdict {
	if len(v.Broken) == 0 {
		return v
	}
	rule, best := v.Broken[0].Rule, v
	for n, plays := len(v.Scenario.Faults)-1, 0; n >= 0 && plays < playsToReduce && ctx.Err() == nil; n, plays = n-1, plays+1 {
		less := *best.Scenario
		less.Faults = slices.Delete(slices.Clone(best.Scenario.Faults), n, n+1)
		next := p.Play(ctx, &less)
		if next.Err == nil && slices.Contains(next.Rules(), rule) {
			best.Close()
			best = next
			p.say(fmt.Sprintf("seed %d breaks %q without %s too", v.Seed, rule, v.Scenario.Faults[n].Kind))
		} else {
			next.Close()
		}
	}
	return best
}

func (p *Player) say(text string) {
	if p.Say != nil {
		p.Say(text)
	}
}

// Write keeps the schedule, what was done and what broke in one order of time, and the logs.
func (v *Verdict) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := Text(v.Scenario)
	if err != nil {
		return err
	}
	var told strings.Builder
	for _, e := range v.events {
		fmt.Fprintf(&told, "%9.0f ms  %s\n", e.At, e.Text)
	}
	for _, b := range v.Broken {
		fmt.Fprintf(&told, "\n%s\n%s\n", b.Rule, b.Story)
	}
	if v.Err != nil {
		fmt.Fprintln(&told, v.Err)
	}
	errs := []error{
		os.WriteFile(filepath.Join(dir, "schedule.toml"), text, 0o644),
		os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(told.String()), 0o644),
	}
	logs, _ := filepath.Glob(filepath.Join(v.dir, "*", "*.log"))
	for _, log := range logs {
		text, err := os.ReadFile(log)
		errs = append(errs, err, os.WriteFile(filepath.Join(dir, filepath.Base(log)), text, 0o644))
	}
	return errors.Join(errs...)
}
