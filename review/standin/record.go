package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a run writes what was sent, answered and run, one event a line.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// now returns the seconds since the start of the run.
func (r *record) now() float64 { return time.Since(r.started).Seconds() }

// line writes an event with its time.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{r.now()}, args...)...)
}

// say writes an event and prints it.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%9.4f "+format+"\n", append([]any{r.now()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
