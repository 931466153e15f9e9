// Package report writes the results of a scenario run as tables (CSV), charts (SVG) and one HTML page with all of them.
// The folder is written under a temporary name and renamed when it is complete, so an incomplete report is never taken
// for a report.
package report

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Table is a table with a header row; the first column names each row. Name is the name of its file without extension.
type Table struct {
	Name, Title string
	Head        []string
	Rows        [][]string
}

// Text formats the table for a terminal, with aligned columns.
func (t Table) Text() string {
	widths := make([]int, len(t.Head))
	all := append([][]string{t.Head}, t.Rows...)
	for _, row := range all {
		for n, cell := range row {
			widths[n] = max(widths[n], len([]rune(cell)))
		}
	}
	var b strings.Builder
	for _, row := range all {
		for n, cell := range row {
			if n == 0 {
				fmt.Fprintf(&b, "%-*s", widths[n], cell)
			} else {
				fmt.Fprintf(&b, "  %*s", widths[n], cell)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Chart is a set of lines over a common x axis. Name is the name of its file without extension, X and Y are the labels of
// the axes.
type Chart struct {
	Name, Title, X, Y string
	Lines             []Line
}

// Line is one line of a Chart. A line without a name is left out of the legend.
type Line struct {
	Name string
	X, Y []float64
}

// SVG renders the chart.
func (c Chart) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for n, l := range c.Lines {
		points := make(plotter.XYs, len(l.X))
		for k := range l.X {
			points[k].X, points[k].Y = l.X[k], l.Y[k]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(n)
		line.Dashes = plotutil.Dashes(n / 7)
		p.Add(line)
		if l.Name != "" {
			p.Legend.Add(l.Name, line)
		}
	}
	p.Legend.Top = true
	canvas := vgsvg.New(18*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	_, err := canvas.WriteTo(&b)
	return b.Bytes(), err
}

// Report is the content of a report.
type Report struct {
	Title    string
	Verdict  string // one line
	Facts    [][2]string
	Tables   []Table
	Charts   []Chart
	Events   []string
	Broken   []string
	Scenario string // text of the scenario file
}

var writeFile = os.WriteFile // replaced in tests

// Write writes the report to the folder dir, which must not exist.
func (r *Report) Write(dir string) (err error) {
	if _, err := os.Stat(dir); err == nil {
		return fmt.Errorf("%s is there already", dir)
	}
	if err := os.MkdirAll(filepath.Dir(dir), 0o755); err != nil {
		return err
	}
	tempDir, err := os.MkdirTemp(filepath.Dir(dir), ".unfinished-")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.RemoveAll(tempDir)
			err = fmt.Errorf("no report was written: %w", err)
		}
	}()
	svg := []template.HTML{}
	for _, c := range r.Charts {
		text, err := c.SVG()
		if err != nil {
			return err
		}
		if err := writeFile(filepath.Join(tempDir, c.Name+".svg"), text, 0o644); err != nil {
			return err
		}
		svg = append(svg, template.HTML(text[bytes.Index(text, []byte("<svg")):]))
	}
	for _, t := range r.Tables {
		var b bytes.Buffer
		out := csv.NewWriter(&b)
		out.Write(t.Head)
		out.WriteAll(t.Rows)
		if err := writeFile(filepath.Join(tempDir, t.Name+".csv"), b.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if err := writeFile(filepath.Join(tempDir, "scenario.toml"), []byte(r.Scenario), 0o644); err != nil {
		return err
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, map[string]any{"R": r, "SVG": svg}); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(tempDir, "index.html"), b.Bytes(), 0o644); err != nil {
		return err
	}
	if err := os.Chmod(tempDir, 0o755); err != nil {
		return err
	}
	return os.Rename(tempDir, dir)
}

var pageTemplate = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}
pre{background:#f4f4f4;padding:.7em;overflow:auto}svg{max-width:100%;height:auto}.v{font-weight:bold}</style>
<h1>{{.R.Title}}</h1><p class="v">{{.R.Verdict}}</p>
<table>{{range .R.Facts}}<tr><td>{{index . 0}}<td>{{index . 1}}{{end}}</table>
{{range .R.Broken}}<pre>{{.}}</pre>{{end}}
{{range .R.Tables}}<h2>{{.Title}}</h2><table><tr>{{range .Head}}<th>{{.}}{{end}}{{range .Rows}}<tr>{{range .}}<td>{{.}}{{end}}{{end}}</table>{{end}}
{{range .SVG}}<div>{{.}}</div>{{end}}
<h2>Events</h2><ul>{{range .R.Events}}<li>{{.}}{{end}}</ul>
<h2>Scenario</h2><pre>{{.R.Scenario}}</pre></html>
`))

// FormatFloat formats v with the given number of decimals.
func FormatFloat(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// ReadTable reads a table that Write has written.
func ReadTable(path string) (t Table, err error) {
	f, err := os.Open(path)
	if err != nil {
		return t, err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) == 0 {
		return t, fmt.Errorf("%s: not a CSV table: %w", path, err)
	}
	name := strings.TrimSuffix(filepath.Base(path), ".csv")
	return Table{Name: name, Title: name, Head: rows[0], Rows: rows[1:]}, nil
}
