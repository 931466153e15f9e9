package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"github.com/lynxjunction/lynxjunction/internal/soak"
)

// usageError reports an invalid command line; the command exits with status 2.
type usageError struct{ error }

// soakFlags holds the flags of lab soak.
type soakFlags struct {
	seedCount, parallel int
	firstSeed           uint64
	large, jsonOutput   bool
	reduce              bool
	program, outDir     string
	profile             string
}

// soakCommand returns the command that runs generated scenarios for a series of seeds.
func soakCommand() *cobra.Command {
	f := &soakFlags{}
	c := &cobra.Command{
		Use: "soak", Short: "Play rehearsals drawn from seeds, with overlapping faults; exit 1 if a rule is broken", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().IntVar(&f.seedCount, "seeds", 50, "how many seeds are played")
	c.Flags().Uint64Var(&f.firstSeed, "from", 1, "the first seed")
	c.Flags().IntVar(&f.parallel, "parallel", 2, "how many are played at once")
	c.Flags().BoolVar(&f.large, "large", false, "fleets of up to 100 sidecars")
	c.Flags().BoolVar(&f.reduce, "reduce", true, "reduce what breaks a rule to the faults that it needs (up to 20 more plays)")
	c.Flags().BoolVar(&f.jsonOutput, "json", false, "a JSON object for each seed")
	c.Flags().StringVar(&f.program, "program", siblingProgram("lynxjunction"), "the program that is played with")
	c.Flags().StringVar(&f.profile, "profile", soak.General, "what is drawn: "+strings.Join(soak.Profiles(), ", ")+"; all but the first judge service too")
	c.Flags().StringVar(&f.outDir, "out", "found", "folder for schedules, timelines and logs of what broke")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	return c
}

// soakLine is the printed result of one seed.
type soakLine struct {
	Seed        uint64   `json:"seed"`
	Requests    int      `json:"asked"`
	Faults      int      `json:"faults"`
	BrokenRules []string `json:"broken,omitempty"`
	Error       string   `json:"error,omitempty"`
	Schedule    string   `json:"schedule,omitempty"`
}

func (l soakLine) print(w io.Writer, asJSON bool) {
	if asJSON {
		json.NewEncoder(w).Encode(l)
		return
	}
	verdict := "all rules kept"
	if len(l.BrokenRules) > 0 {
		verdict = "BROKEN: " + strings.Join(l.BrokenRules, ", ")
	}
	if l.Error != "" {
		verdict = "NOT RUN: " + l.Error
	}
	fmt.Fprintf(w, "seed %d: %d requests, %d faults, %s\n", l.Seed, l.Requests, l.Faults, verdict)
	if l.Schedule != "" {
		fmt.Fprintf(w, "  to repeat: bin/lab run %s\n", l.Schedule)
	}
}

func (f *soakFlags) run(c *cobra.Command) error {
	if f.seedCount < 1 {
		return usageError{fmt.Errorf("--seeds: %d is below 1", f.seedCount)}
	}
	if f.parallel < 1 {
		return usageError{fmt.Errorf("--parallel: %d is below 1", f.parallel)}
	}
	if !slices.Contains(soak.Profiles(), f.profile) {
		return usageError{fmt.Errorf("--profile: %q is none of %s", f.profile, strings.Join(soak.Profiles(), ", "))}
	}
	logProgress := newProgressLogger(c.ErrOrStderr())
	runner := &soak.Runner{Program: f.program, Large: f.large, Profile: f.profile, Progress: func(text string) { logProgress(0, text) }}
	seeds, failed := make(chan uint64), 0
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range f.parallel {
		workers.Go(func() {
			for seed := range seeds {
				line := f.runSeed(c.Context(), runner, seed)
				mu.Lock()
				if line.print(c.OutOrStdout(), f.jsonOutput); len(line.BrokenRules) > 0 || line.Error != "" {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for n := range f.seedCount {
		if c.Context().Err() != nil {
			break
		}
		seeds <- f.firstSeed + uint64(n)
	}
	close(seeds)
	workers.Wait()
	if err := c.Context().Err(); err != nil {
		return errors.New("interrupted before all seeds were run")
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, f.seedCount)
	}
	return nil
}

// runSeed runs the scenario of one seed. If it breaks a rule, its schedule is reduced to the faults that are needed, if the
// flags ask for that. The schedule, timeline and logs of a run that broke a rule or failed are written to the output folder.
func (f *soakFlags) runSeed(ctx context.Context, runner *soak.Runner, seed uint64) soakLine {
	result := runner.RunSeed(ctx, seed)
	if f.reduce && result.Failed() && result.Err == nil {
		result = runner.Reduce(ctx, result)
	}
	defer result.Close()
	line := soakLine{Seed: seed, Requests: result.Requests, BrokenRules: result.BrokenRules()}
	if result.Err != nil {
		line.Error = strings.SplitN(result.Err.Error(), "\n", 2)[0]
	}
	if result.Scenario == nil {
		return line
	}
	line.Faults = len(result.Scenario.Faults)
	if result.Failed() {
		dir := filepath.Join(f.outDir, fmt.Sprint("soak-", seed))
		if err := result.Write(dir); err != nil {
			line.Error = strings.TrimSpace(line.Error + " " + err.Error())
		}
		line.Schedule = filepath.Join(dir, "schedule.toml")
	}
	return line
}
