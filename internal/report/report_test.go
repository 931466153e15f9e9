package report

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var sample = Report{Title: "A <b>", Verdict: "kept", Facts: [][2]string{{"seed", "1"}}, Broken: []string{"x < y"}, Scenario: "seed = 1\n",
	Tables: []Table{{Name: "t", Title: "T", Head: []string{"a", "b"}, Rows: [][]string{{"1", "2,3"}}}},
	Charts: []Chart{{Name: "c", Title: "C", Lines: []Line{{Name: "l", X: []float64{0, 1}, Y: []float64{1, 2}}, {}}}}}

func TestReport(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "r")
	require.NoError(t, sample.Write(dir))
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	require.NoError(t, err)
	for _, part := range []string{"A &lt;b&gt;", "<svg", "x &lt; y", "2,3", "seed = 1"} {
		assert.Contains(t, string(page), part)
	}
	assert.NotRegexp(t, `(src|href)=`, string(page), "self-contained")
	table, err := ReadTable(filepath.Join(dir, "t.csv"))
	require.NoError(t, err)
	assert.Equal(t, sample.Tables[0].Rows, table.Rows)
	assert.ErrorContains(t, sample.Write(dir), "there already", "an existing report is not overwritten")
}

// If the disk is full while any of the files is written, no incomplete report is left behind.
func TestFullDisk(t *testing.T) {
	defer func() { writeFile = os.WriteFile }()
	for last := range 4 {
		parent, n := t.TempDir(), 0
		writeFile = func(name string, data []byte, mode fs.FileMode) error {
			if n++; n > last {
				os.WriteFile(name, data[:len(data)/2], mode)
				return syscall.ENOSPC
			}
			return os.WriteFile(name, data, mode)
		}
		err := sample.Write(filepath.Join(parent, "r"))
		assert.ErrorContains(t, err, "no report was written")
		left, _ := os.ReadDir(parent)
		assert.Empty(t, left, "after file %d", last)
	}
}

func TestTextIsAligned(t *testing.T) {
	lines := strings.Split(Table{Head: []string{"name", "n"}, Rows: [][]string{{"é", "10"}, {"longer", "2"}}}.Text(), "\n")
	assert.Equal(t, []string{"name     n", "é       10", "longer   2", ""}, lines)
}
