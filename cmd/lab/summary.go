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

// revision returns the Go version and VCS revision recorded in the binary.
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

// buildReport makes the report of one run from its records. Parameter result is nil for runs in virtual time.
func buildReport(s *scenario.Scenario, book *records.Book, result *rig.Result) *report.Report {
	r := &report.Report{Title: s.Title}
	if r.Title == "" {
		r.Title = "Rehearsal"
	}
	violations := book.Check()
	for _, b := range violations {
		r.Broken = append(r.Broken, "BROKEN: "+b.Rule+": "+b.Details)
	}
	r.Verdict = "kept: no exchange lost, no effect twice, drains, cold endpoints, budget of legs"
	if len(violations) > 0 {
		r.Verdict = fmt.Sprintf("BROKEN: %d times, first: %s", len(violations), violations[0].Rule)
	}
	sendDelayP99, maxSendDelay := book.HarnessSendDelay(99), book.HarnessSendDelay(100)
	if sendDelayP99 > maxSendDelayMs || maxSendDelay > 20*maxSendDelayMs {
		r.Verdict += fmt.Sprintf("; the machine was too busy: clients sent late by %.0f ms (p99), %.0f ms at most, so the wait times are not reliable", sendDelayP99, maxSendDelay)
	}
	all := book.Service(0, s.Length*1000+1, -1)
	r.Facts = [][2]string{{"sidecars, endpoints", fmt.Sprintf("%d, %d", s.Fleet.Sidecars, len(s.EndpointNodes()))}, {"length", fmt.Sprintf("%g s", s.Length)},
		{"exchanges", fmt.Sprint(all.Requests)}, {"delay of the clients' sending", fmt.Sprintf("%.1f ms (p99), %.0f ms at most", sendDelayP99, maxSendDelay)}}
	r.Tables = append(r.Tables, serviceTable(s, book), spreadTable(s, book))
	if drains := book.DrainSummaries(); len(drains) > 0 {
		t := report.Table{Name: "out", Title: "Endpoints that sidecars were told to drain", Head: []string{"endpoint", "how", "told", "first s", "last s", "still sending", "legs"}}
		for _, o := range drains {
			t.Rows = append(t.Rows, []string{o.Endpoint, o.Source, fmt.Sprint(o.Notified), report.FormatFloat(o.FirstNotifiedAt/1000, 1), report.FormatFloat(o.LastNotifiedAt/1000, 1), fmt.Sprint(o.LateSenders), fmt.Sprint(o.LateLegs)})
		}
		r.Tables = append(r.Tables, t)
	}
	if result != nil {
		r.Facts = append(r.Facts, [2]string{"all processes ready after", result.StartDuration.String()})
		peak, cpu, maxDescriptors := 0, 0.0, 0
		for _, u := range result.Usage {
			peak, cpu, maxDescriptors = max(peak, u.PeakKB), cpu+u.CPUms, max(maxDescriptors, u.Descriptors)
		}
		r.Facts = append(r.Facts, [2]string{"processes started", fmt.Sprint(len(result.Usage))}, [2]string{"largest memory of a process", fmt.Sprintf("%d MB", peak>>10)},
			[2]string{"CPU time of all processes", fmt.Sprintf("%.1f s", cpu/1000)}, [2]string{"most descriptors of a process", fmt.Sprint(maxDescriptors)})
		for _, e := range result.Events {
			r.Events = append(r.Events, fmt.Sprintf("%.1f s: %s", e.At/1000, e.Text))
		}
	}
	addWindows(s, book, r)
	return r
}

// serviceTable counts the outcomes of exchanges by phase and product.
func serviceTable(s *scenario.Scenario, book *records.Book) report.Table {
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
			t.Rows = append(t.Rows, []string{fmt.Sprintf("%g-%g s, %s", from/1000, to/1000, name), fmt.Sprint(v.Requests), fmt.Sprint(v.InTime), fmt.Sprint(v.Succeeded - v.InTime),
				fmt.Sprint(v.Shed), fmt.Sprint(v.Failed), fmt.Sprint(v.Excused), fmt.Sprint(v.NotSent), report.FormatFloat(v.P50Ms, 1), report.FormatFloat(v.P99Ms, 1),
				report.FormatFloat(float64(v.Legs)/float64(max(v.Requests, 1)), 3), fmt.Sprint(v.NewConnections)})
		}
	}
	return t
}

// spreadTable compares the distribution of arrivals over the endpoints with random choice, by phase and window length.
func spreadTable(s *scenario.Scenario, book *records.Book) report.Table {
	t := report.Table{Name: "spread", Title: "Distribution over the endpoints in service during the whole phase, compared with random choice for the same arrivals",
		Head: []string{"phase, window", "most/mean", "random's", "worst", "idle", "random's", "Jain", "random's", "least", "mean", "most", "held"}}
	for n := range s.Phases[1:] {
		from, to := s.Phases[n]*1000, s.Phases[n+1]*1000
		for _, window := range []float64{250, 1000, 5000, 60000} {
			if window > to-from {
				continue
			}
			v := book.Spread(from, to, window, s.Seed)
			t.Rows = append(t.Rows, []string{fmt.Sprintf("%g-%g s, %g s", from/1000, to/1000, window/1000), report.FormatFloat(v.MaxOverMean, 2), report.FormatFloat(v.RandomMaxOverMean, 2),
				report.FormatFloat(v.WorstMaxOverMean, 2), report.FormatFloat(v.IdleShare, 3), report.FormatFloat(v.RandomIdleShare, 3), report.FormatFloat(v.JainIndex, 3), report.FormatFloat(v.RandomJainIndex, 3),
				report.FormatFloat(v.MinArrivals, 0), report.FormatFloat(v.MeanArrivals, 0), report.FormatFloat(v.MaxArrivals, 0), fmt.Sprint(book.MaxConcurrentLegs(from, to))})
		}
	}
	return t
}

// maxSendDelayMs is the limit of the delay with which clients send, at the 99th percentile. The largest delay of a run may
// be 20 times as long. Above either limit the wait times are not reliable.
const maxSendDelayMs = 50.0

const (
	maxBars     = 24 // endpoints that fit on a terminal
	maxBarWidth = 40 // characters
)

// endpointBars draws the arrivals at each endpoint by phase as text bars. With more than maxBars endpoints it returns
// an empty string: the report's charts show them.
func endpointBars(s *scenario.Scenario, book *records.Book) string {
	if len(book.EndpointNames) > maxBars {
		return ""
	}
	b := strings.Builder{}
	for n := range s.Phases[1:] {
		from, to := s.Phases[n]*1000, s.Phases[n+1]*1000
		counts := book.ArrivalCounts(from, to)
		most := max(1, slices.Max(counts))
		fmt.Fprintf(&b, "Arrivals at each endpoint, %g-%g s\n", from/1000, to/1000)
		for e, c := range counts {
			fmt.Fprintf(&b, "%6s %5.0f %s\n", book.EndpointNames[e], c, strings.Repeat("#", int(c/most*maxBarWidth+0.5)))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// addWindows adds the figures of each second to the report, as tables and as charts.
func addWindows(s *scenario.Scenario, book *records.Book, r *report.Report) {
	windowTable := report.Table{Name: "windows", Title: "Figures by second", Head: []string{"from s", "asked", "in time", "dismissed", "failed", "p50 ms", "p99 ms"}}
	endpointTable := report.Table{Name: "endpoints", Title: "Arrivals at each endpoint, by second", Head: append([]string{"from s"}, book.EndpointNames...)}
	service := report.Chart{Name: "service", Title: "Exchanges per second", X: "s", Y: "exchanges",
		Lines: []report.Line{{Name: "asked"}, {Name: "in time"}, {Name: "dismissed"}, {Name: "failed"}}}
	latencies := report.Chart{Name: "waits", Title: "Latency of successful exchanges", X: "s", Y: "ms", Lines: []report.Line{{Name: "p50"}, {Name: "p99"}}}
	arrivals := report.Chart{Name: "arrivals", Title: "Arrivals at each endpoint", X: "s", Y: "per second"}
	for _, name := range book.EndpointNames {
		if len(book.EndpointNames) > 12 {
			name = "" // a legend with more than 12 entries is unreadable
		}
		arrivals.Lines = append(arrivals.Lines, report.Line{Name: name})
	}
	add := func(c *report.Chart, n int, x, y float64) {
		c.Lines[n].X, c.Lines[n].Y = append(c.Lines[n].X, x), append(c.Lines[n].Y, y)
	}
	for _, l := range book.FiguresByWindow(s.Length*1000, 1000) {
		at := l.From / 1000
		windowTable.Rows = append(windowTable.Rows, []string{fmt.Sprint(at), fmt.Sprint(l.Requests), fmt.Sprint(l.InTime), fmt.Sprint(l.Shed), fmt.Sprint(l.Failed), report.FormatFloat(l.P50Ms, 1), report.FormatFloat(l.P99Ms, 1)})
		row := []string{fmt.Sprint(at)}
		for n, c := range l.ArrivalCounts {
			row = append(row, report.FormatFloat(c, 0))
			add(&arrivals, n, at, c)
		}
		endpointTable.Rows = append(endpointTable.Rows, row)
		for n, v := range []int{l.Requests, l.InTime, l.Shed, l.Failed + l.Excused} {
			add(&service, n, at, float64(v))
		}
		add(&latencies, 0, at, l.P50Ms)
		add(&latencies, 1, at, l.P99Ms)
	}
	r.Tables = append(r.Tables, windowTable, endpointTable)
	r.Charts = append(r.Charts, service, latencies, arrivals)
}
