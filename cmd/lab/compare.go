package main

import (
	"fmt"
	"math"
	"strings"
	"sync"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/report"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// metrics lists the figures by which two runs are compared.
var metrics = []struct {
	name  string
	value func(s *scenario.Scenario, b *records.Book) float64
}{
	{"in time, share", func(s *scenario.Scenario, b *records.Book) float64 {
		v := b.Service(0, s.Length*1000+1, -1)
		return float64(v.InTime) / float64(max(v.Requests, 1))
	}},
	{"p50 ms", func(s *scenario.Scenario, b *records.Book) float64 { return b.Service(0, s.Length*1000+1, -1).P50Ms }},
	{"p99 ms", func(s *scenario.Scenario, b *records.Book) float64 { return b.Service(0, s.Length*1000+1, -1).P99Ms }},
	{"legs each", func(s *scenario.Scenario, b *records.Book) float64 {
		v := b.Service(0, s.Length*1000+1, -1)
		return float64(v.Legs) / float64(max(v.Requests, 1))
	}},
	{"most/mean, 5 s", func(s *scenario.Scenario, b *records.Book) float64 {
		return b.Spread(s.Phases[0]*1000, s.Phases[len(s.Phases)-1]*1000, 5000, s.Seed).MaxOverMean
	}},
	{"connections", func(s *scenario.Scenario, b *records.Book) (n float64) {
		for _, d := range b.ConnectionCounts {
			n += float64(d)
		}
		return n
	}},
	{"rules broken", func(_ *scenario.Scenario, b *records.Book) float64 { return float64(len(b.Check())) }},
}

// compareCommand returns the command that runs two variants on the same seeds and compares their metrics.
func compareCommand() *cobra.Command {
	a, b := runOptions{}, runOptions{}
	seeds, workers, isVirtual, file := 5, 1, false, ""
	c := &cobra.Command{
		Use: "compare FILE", Short: "Play two builds, two policies or two scenarios on the same seeds", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if file == "" {
				file = args[0]
			}
			a.virtual, b.virtual = isVirtual, isVirtual
			if seeds < 2 || workers < 1 || workers > 1 && !isVirtual {
				return fmt.Errorf("--seeds must be at least 2; --workers must be at least 1, and 1 without --virtual")
			}
			return compare(c, [2]*runOptions{&a, &b}, [2]string{args[0], file}, seeds, workers)
		},
	}
	c.Flags().StringVar(&a.program, "a", siblingProgram("lynxjunction"), "one program")
	c.Flags().StringVar(&b.program, "b", siblingProgram("lynxjunction"), "the other program")
	c.Flags().StringVar(&a.policy, "policy-a", "lynxjunction", "one policy, in virtual time: "+policies())
	c.Flags().StringVar(&b.policy, "policy-b", "lynxjunction", "the other policy")
	c.Flags().StringVar(&file, "file-b", "", "the other scenario; the same if left out")
	c.Flags().IntVar(&seeds, "seeds", seeds, "from 1 on")
	c.Flags().IntVar(&workers, "workers", workers, "runs at once, in virtual time")
	c.Flags().BoolVar(&isVirtual, "virtual", false, "in virtual time")
	return c
}

// compare runs both sides on each seed and prints, for each metric, the means and the 95% interval of the paired
// differences.
func compare(c *cobra.Command, sides [2]*runOptions, files [2]string, seeds, workers int) error {
	values := make([][2][]float64, seeds)
	errs := make([]error, seeds)
	slots := make(chan bool, workers)
	var running sync.WaitGroup
	for n := range seeds {
		slots <- true
		running.Go(func() {
			defer func() { <-slots }()
			for side, h := range sides {
				s, _, err := loadScenario(files[side])
				if err != nil {
					errs[n] = err
					return
				}
				s.Seed = uint64(n + 1)
				book, _, err := h.execute(c.Context(), s, func(float64, string) {})
				if err != nil {
					errs[n] = fmt.Errorf("seed %d, side %c: %w", n+1, 'a'+side, err)
					return
				}
				for _, f := range metrics {
					values[n][side] = append(values[n][side], f.value(s, book))
				}
			}
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	t := report.Table{Head: []string{fmt.Sprintf("%d seeds", seeds), "a", "b", "b - a", "95% from", "to", ""}}
	for k, f := range metrics {
		var first, second, differences []float64
		for _, run := range values {
			first, second, differences = append(first, run[0][k]), append(second, run[1][k]), append(differences, run[1][k]-run[0][k])
		}
		mean, half := interval(differences)
		verdict := "no difference shown"
		if mean-half > 0 || mean+half < 0 {
			verdict = "differs"
		}
		t.Rows = append(t.Rows, []string{f.name, report.FormatFloat(stat.Mean(first, nil), 3), report.FormatFloat(stat.Mean(second, nil), 3), report.FormatFloat(mean, 3),
			report.FormatFloat(mean-half, 3), report.FormatFloat(mean+half, 3), verdict})
	}
	_, err := fmt.Fprint(c.OutOrStdout(), strings.TrimRight(t.Text(), "\n")+"\n")
	return err
}

// interval returns the mean of paired differences and the half-width of its 95% confidence interval (Student's t).
func interval(differences []float64) (mean, half float64) {
	mean, sd := stat.MeanStdDev(differences, nil)
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}.Quantile(0.975) * sd / math.Sqrt(float64(len(differences)))
}
