package main

import (
	"fmt"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/report"
	"github.com/lynxjunction/lynxjunction/internal/rig"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

func sorted(names []string) []string { slices.Sort(names); return names }

// revision is what the build knows of its source.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text
}

// summary is the report of one rehearsal, from its accounts.
func summary(s *scenario.Scenario, book *records.Book, result *rig.Result) *report.Report {
	r := &report.Report{Title: s.Title}
	if r.Title == "" {
		r.Title = "Rehearsal"
	}
	broken := book.Check()
	for _, b := range broken {
		r.Broken = append(r.Broken, "BROKEN: "+b.Rule+": "+b.Story)
	}
	r.Verdict = "kept: no exchange lost, no effect twice, drains, cold endpoints, budget of legs"
	if len(broken) > 0 {
		r.Verdict = fmt.Sprintf("BROKEN: %d times, first: %s", len(broken), broken[0].Rule)
	}
	late, most := book.OwnLateness(99), book.OwnLateness(100)
	if late > lateMost || most > 20*lateMost {
		r.Verdict += fmt.Sprintf("; the machine was too busy: clients were late by %.0f ms (p99), %.0f at most, so believe no wait", late, most)
	}
	all := book.Service(0, s.Length*1000+1, -1)
	r.Facts = [][2]string{{"sidecars, endpoints", fmt.Sprintf("%d, %d", s.Fleet.Sidecars, len(s.EndpointNodes()))}, {"length", fmt.Sprintf("%g s", s.Length)},
		{"exchanges", fmt.Sprint(all.Asked)}, {"the rehearsal's own lateness", fmt.Sprintf("%.1f ms (p99), %.0f ms at most", late, most)}}
	r.Tables = append(r.Tables, services(s, book), spreads(s, book))
	if out := book.Outages(); len(out) > 0 {
		t := report.Table{Name: "out", Title: "Endpoints that sidecars were told to leave alone", Head: []string{"endpoint", "how", "told", "first s", "last s", "still sending", "legs"}}
		for _, o := range out {
			t.Rows = append(t.Rows, []string{o.Endpoint, o.How, fmt.Sprint(o.Told), report.F(o.First/1000, 1), report.F(o.Last/1000, 1), fmt.Sprint(o.Senders), fmt.Sprint(o.Legs)})
		}
		r.Tables = append(r.Tables, t)
	}
	if result != nil {
		r.Facts = append(r.Facts, [2]string{"all up after", result.UpTook.String()})
		peak, cpu, most := 0, 0.0, 0
		for _, u := range result.Usage {
			peak, cpu, most = max(peak, u.PeakKB), cpu+u.CPUms, max(most, u.Descriptors)
		}
		r.Facts = append(r.Facts, [2]string{"processes started", fmt.Sprint(len(result.Usage))}, [2]string{"memory of the largest", fmt.Sprintf("%d MB", peak>>10)},
			[2]string{"processor time of all", fmt.Sprintf("%.1f s", cpu/1000)}, [2]string{"most descriptors of one", fmt.Sprint(most)})
		for _, e := range result.Events {
			r.Events = append(r.Events, fmt.Sprintf("%.1f s: %s", e.At/1000, e.Text))
		}
	}
	lines(s, book, r)
	return r
}

func services(s *scenario.Scenario, book *records.Book) report.Table {
	t := report.Table{Name: "service", Title: "Service, by phase and product", Head: []string{"phase", "asked", "in time", "late", "dismissed", "failed",
		"excused", "not taken", "p50 ms", "p99 ms", "legs each", "connections"}}
	for n := range s.Phases[1:] {
		from, to := s.Phases[n]*1000, s.Phases[n+1]*1000
		for p := -1; p < len(s.Products); p++ {
			if p == 0 && len(s.Products) == 1 {
				break
			}
			name := "all"
			if p >= 0 {
				name = s.Products[p].Name
			}
			v := book.Service(from, to, p)
			t.Rows = append(t.Rows, []string{fmt.Sprintf("%g-%g s, %s", from/1000, to/1000, name), fmt.Sprint(v.Asked), fmt.Sprint(v.InTime), fmt.Sprint(v.Satisfied - v.InTime),
				fmt.Sprint(v.Dismissed), fmt.Sprint(v.Failed), fmt.Sprint(v.Excused), fmt.Sprint(v.NotTaken), report.F(v.P50, 1), report.F(v.P99, 1),
				report.F(float64(v.Legs)/float64(max(v.Asked, 1)), 3), fmt.Sprint(v.Fresh)})
		}
	}
	return t
}

func spreads(s *scenario.Scenario, book *records.Book) report.Table {
	t := report.Table{Name: "spread", Title: "Spread over the endpoints that are in service all the phase, beside random choice of the same arrivals",
		Head: []string{"phase, window", "most/mean", "random's", "worst", "idle", "random's", "Jain", "random's", "least", "mean", "most", "held"}}
	for n := range s.Phases[1:] {
		from, to := s.Phases[n]*1000, s.Phases[n+1]*1000
		for _, window := range []float64{250, 1000, 5000, 60000} {
			if window > to-from {
				continue
			}
			v := book.Spread(from, to, window, s.Seed)
			t.Rows = append(t.Rows, []string{fmt.Sprintf("%g-%g s, %g s", from/1000, to/1000, window/1000), report.F(v.MostOverMean, 2), report.F(v.RandomMost, 2),
				report.F(v.MostEver, 2), report.F(v.Idle, 3), report.F(v.RandomIdle, 3), report.F(v.Jain, 3), report.F(v.RandomJain, 3),
				report.F(v.Least, 0), report.F(v.Mean, 0), report.F(v.Most, 0), fmt.Sprint(book.MostHeld(from, to))})
		}
	}
	return t
}

const lateMost = 50.0 // ms at the 99th percentile that the clients may send late

const barsMost, barWide = 24, 40 // endpoints that a terminal has room for; letters of the longest bar

// bars draw each endpoint's arrivals by phase; beyond what a terminal has room for the report's charts have them.
func bars(s *scenario.Scenario, book *records.Book) string {
	if len(book.Names) > barsMost {
		return ""
	}
	b := strings.Builder{}
	for n := range s.Phases[1:] {
		from, to := s.Phases[n]*1000, s.Phases[n+1]*1000
		counts := book.Counts(from, to)
		most := max(1, slices.Max(counts))
		fmt.Fprintf(&b, "Arrivals at each endpoint, %g-%g s\n", from/1000, to/1000)
		for e, c := range counts {
			fmt.Fprintf(&b, "%6s %5.0f %s\n", book.Names[e], c, strings.Repeat("#", int(c/most*barWide+0.5)))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// lines are the windows of a second, as a table and as charts.
func lines(s *scenario.Scenario, book *records.Book, r *report.Report) {
	w := report.Table{Name: "windows", Title: "Each second", Head: []string{"from s", "asked", "in time", "dismissed", "failed", "p50 ms", "p99 ms"}}
	e := report.Table{Name: "endpoints", Title: "Arrivals at each endpoint, by second", Head: append([]string{"from s"}, book.Names...)}
	service := report.Chart{Name: "service", Title: "Exchanges a second", X: "s", Y: "exchanges",
		Lines: []report.Line{{Name: "asked"}, {Name: "in time"}, {Name: "dismissed"}, {Name: "failed"}}}
	waits := report.Chart{Name: "waits", Title: "Waits of the satisfied", X: "s", Y: "ms", Lines: []report.Line{{Name: "p50"}, {Name: "p99"}}}
	arrivals := report.Chart{Name: "arrivals", Title: "Arrivals at each endpoint", X: "s", Y: "a second"}
	for _, name := range book.Names {
		if len(book.Names) > 12 {
			name = "" // a legend of many tells nothing
		}
		arrivals.Lines = append(arrivals.Lines, report.Line{Name: name})
	}
	add := func(c *report.Chart, n int, x, y float64) {
		c.Lines[n].X, c.Lines[n].Y = append(c.Lines[n].X, x), append(c.Lines[n].Y, y)
	}
	for _, l := range book.Lines(s.Length*1000, 1000) {
		at := l.From / 1000
		w.Rows = append(w.Rows, []string{fmt.Sprint(at), fmt.Sprint(l.Asked), fmt.Sprint(l.InTime), fmt.Sprint(l.Dismissed), fmt.Sprint(l.Failed), report.F(l.P50, 1), report.F(l.P99, 1)})
		row := []string{fmt.Sprint(at)}
		for n, c := range l.Counts {
			row = append(row, report.F(c, 0))
			add(&arrivals, n, at, c)
		}
		e.Rows = append(e.Rows, row)
		for n, v := range []int{l.Asked, l.InTime, l.Dismissed, l.Failed + l.Excused} {
			add(&service, n, at, float64(v))
		}
		add(&waits, 0, at, l.P50)
		add(&waits, 1, at, l.P99)
	}
	r.Tables = append(r.Tables, w, e)
	r.Charts = append(r.Charts, service, waits, arrivals)
}
