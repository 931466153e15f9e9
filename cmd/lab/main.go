// Command lab runs fault-injection scenarios, either with real lynxjunction processes on loopback or with the decision
// logic alone in virtual time. It reports whether the rules were kept and how the load was distributed.
package main

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/report"
	"github.com/lynxjunction/lynxjunction/internal/rig"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
	"github.com/lynxjunction/lynxjunction/internal/virtual"
)

//go:embed rehearsals/*.toml
var scenarioFiles embed.FS

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		var usage usageError
		if errors.As(err, &usage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// runOptions holds the flags of one run, and where its files were kept. Field policy applies to virtual time only, program
// and upgradeProgram to runs with processes only. A seed of 0 stands for the scenario's own.
type runOptions struct {
	program, upgradeProgram, outDir, policy string
	virtual                                 bool
	seed                                    uint64
	keepOnViolation                         bool   // keep start files and logs when a rule is broken
	keepAlways                              bool   // keep start files and logs after every run
	keptDir                                 string // folder of the start files and logs that were kept; empty for none
}

func root() *cobra.Command {
	options := &runOptions{}
	rootCmd := &cobra.Command{Use: "lab", Short: "Rehearse fleets of sidecars with faults between them", SilenceUsage: true, SilenceErrors: true}
	withRunFlags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&options.program, "program", siblingProgram("lynxjunction"), "the program that is played with")
		c.Flags().StringVar(&options.upgradeProgram, "other", "", "the build that an upgrade starts; the same if left out")
		c.Flags().StringVar(&options.outDir, "out", "", "folder for the report; found/NAME-TIME if left out")
		c.Flags().Uint64Var(&options.seed, "seed", 0, "in place of the scenario's")
		c.Flags().BoolVar(&options.virtual, "virtual", false, "the decisions in virtual time, without processes")
		c.Flags().BoolVar(&options.keepAlways, "keep", false, "keep start files and logs when all went well too")
		c.Flags().StringVar(&options.policy, "policy", "lynxjunction", "in virtual time: "+policies())
		return c
	}
	runCmd := withRunFlags(&cobra.Command{
		Use: "run FILE", Short: "Play a scenario; exit 1 if a rule is broken or a process fails", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, text, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			return options.run(c, s, text, strings.TrimSuffix(filepath.Base(args[0]), ".toml"))
		},
	})
	demoCmd := withRunFlags(&cobra.Command{
		Use: "demo", Short: "Twenty seconds with a slow endpoint, a cut link and a killed sidecar", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, text, err := loadDemo()
			if err != nil {
				return err
			}
			return options.run(c, s, text, "demo")
		},
	})
	configCmd := &cobra.Command{
		Use: "config", Short: "Print a commented start file, which lynxjunction check accepts", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return writeSampleConfig(c.OutOrStdout()) },
	}
	reportCmd := &cobra.Command{
		Use: "report DIR", Short: "Print the tables of a report", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return printReport(c.OutOrStdout(), args[0]) },
	}
	rootCmd.AddCommand(runCmd, demoCmd, configCmd, reportCmd, compareCommand(), soakCommand())
	return rootCmd
}

// policies returns the names of the policies that are available in virtual time.
func policies() string {
	names := []string{}
	for name := range virtual.Baselines {
		names = append(names, name)
	}
	return strings.Join(sorted(names), ", ")
}

// siblingProgram returns the path of a program in the same directory as this one.
func siblingProgram(name string) string {
	own, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(own), name)
}

// loadScenario reads a scenario file and returns the scenario and its source text.
func loadScenario(path string) (*scenario.Scenario, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := scenario.Parse(path, text)
	return s, text, err
}

// loadDemo returns the scenario of the demo and its source text.
func loadDemo() (*scenario.Scenario, []byte, error) {
	text, err := scenarioFiles.ReadFile("rehearsals/demo.toml")
	if err != nil {
		return nil, nil, err
	}
	s, err := scenario.Parse("demo.toml", text)
	return s, text, err
}

var errRuleViolated = errors.New("a rule was broken")

// run executes one scenario, prints its results and writes the report.
func (opts *runOptions) run(c *cobra.Command, s *scenario.Scenario, text []byte, name string) error {
	if opts.seed > 0 {
		s.Seed = opts.seed
	}
	out := opts.outDir
	if out == "" {
		out = filepath.Join("found", name+"-"+time.Now().Format("20060102T150405"))
	}
	logProgress := newProgressLogger(c.ErrOrStderr())
	opts.keepOnViolation = true
	book, result, err := opts.execute(c.Context(), s, logProgress)
	defer func() {
		if opts.keptDir != "" {
			fmt.Fprintln(c.OutOrStdout(), "start files and logs:", opts.keptDir)
		}
	}()
	if book == nil {
		return err
	}
	r := buildReport(s, book, result)
	r.Scenario = string(text)
	if opts.keptDir != "" {
		r.Facts = append(r.Facts, [2]string{"start files and logs", opts.keptDir})
	}
	r.Facts = append([][2]string{{"seed", fmt.Sprint(s.Seed)}, {"revision", revision()}, {"program", opts.targetLabel()}}, r.Facts...)
	if err != nil {
		r.Verdict = "FAILED: " + strings.SplitN(err.Error(), "\n", 2)[0]
	}
	for _, t := range r.Tables {
		if t.Name != "windows" && t.Name != "endpoints" {
			fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", t.Title, t.Text())
		}
	}
	fmt.Fprint(c.OutOrStdout(), endpointBars(s, book))
	for n, b := range r.Broken {
		if n == 5 {
			fmt.Fprintf(c.OutOrStdout(), "and %d more, in the report\n", len(r.Broken)-n)
			break
		}
		fmt.Fprintln(c.OutOrStdout(), b)
	}
	fmt.Fprintln(c.OutOrStdout(), r.Verdict)
	if writeErr := r.Write(out); writeErr != nil {
		return errors.Join(err, writeErr)
	}
	fmt.Fprintln(c.OutOrStdout(), "report:", filepath.Join(out, "index.html"))
	if err == nil && len(r.Broken) > 0 {
		err = errRuleViolated
	}
	return err
}

// targetLabel describes what was run, for the report.
func (opts *runOptions) targetLabel() string {
	if opts.virtual {
		return opts.policy + ", virtual time"
	}
	return filepath.Base(opts.program) + ", processes on loopback"
}

// execute runs a scenario and returns its records. A run with processes writes start files and logs to a temporary
// folder. The folder is removed after a successful run, and in a comparison (where keepOnViolation is not set) also
// when rules were broken.
func (opts *runOptions) execute(ctx context.Context, s *scenario.Scenario, logProgress func(float64, string)) (*records.Book, *rig.Result, error) {
	if opts.virtual {
		newPolicy := virtual.Baselines[opts.policy]
		if newPolicy == nil {
			return nil, nil, fmt.Errorf("--policy: %q is none of %s", opts.policy, policies())
		}
		startedAt := time.Now()
		book, err := virtual.Run(s, newPolicy)
		if err == nil {
			logProgress(s.Length*1000, fmt.Sprintf("%.0f times faster than real time", s.Length/time.Since(startedAt).Seconds()))
		}
		return book, nil, err
	}
	if _, err := os.Stat(opts.program); err != nil {
		return nil, nil, fmt.Errorf("--program: %w (build it first: go build -o bin/ ./cmd/...)", err)
	}
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return nil, nil, err
	}
	r := &rig.Rig{Program: opts.program, UpgradeProgram: opts.upgradeProgram, Dir: dir, OnEvent: logProgress}
	result, err := r.Run(ctx, s)
	if err != nil || opts.keepAlways || opts.keepOnViolation && len(result.Broken) > 0 {
		opts.keptDir = dir
		logProgress(0, "start files and logs: "+dir)
	} else {
		os.RemoveAll(dir)
	}
	if result == nil {
		return nil, nil, err
	}
	return result.Book, result, err
}

// newProgressLogger returns a function that prints progress messages with their time if w is a terminal, and does
// nothing otherwise.
func newProgressLogger(w io.Writer) func(float64, string) {
	f, ok := w.(*os.File)
	if !ok {
		return func(float64, string) {}
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(float64, string) {}
	}
	var mu sync.Mutex
	return func(at float64, text string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(f, "%7.1f s  %s\n", at/1000, text)
	}
}

// writeSampleConfig writes a start file with a comment for each section. JSON has no comments, so they are keys that
// the program ignores.
func writeSampleConfig(w io.Writer) error {
	s, _, err := loadDemo()
	if err != nil {
		return err
	}
	known := map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "e0", "addr": "127.0.0.1:9000", "zone": "a",
		"cell": 1, "state": "in_service", "weight": 1.0, "started_ms": 0}}}
	file := scenario.StartFile(s, 0, "a", "127.0.0.1:8080", "127.0.0.1:8081", known)
	file["console"] = "127.0.0.1:8082"
	for key, comment := range map[string]string{
		"name": "of this sidecar, for logs", "listen": "where the calling process finds it", "discovery": "where the list of endpoints is asked for",
		"console": "operators' own address; may be left out", "seed": "hex; all chance follows from it",
		"limits": "cores, memory in MB and descriptors that the process may have", "known": "the list as last held, or null",
		"settings": "products, permissions and the figures of the rules; times in ms, locality is our zone",
	} {
		file["// "+key] = comment
	}
	out, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(out))
	return err
}

// printReport prints the tables of a report folder.
func printReport(w io.Writer, dir string) error {
	tables, err := filepath.Glob(filepath.Join(dir, "*.csv"))
	if err != nil {
		return err
	}
	if len(tables) == 0 {
		return fmt.Errorf("%s holds no report", dir)
	}
	for _, path := range tables {
		t, err := report.ReadTable(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\n%s\n", t.Name, t.Text())
	}
	return nil
}
