package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and counts the runs.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	text  *bufio.Writer
	runs  map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, text: bufio.NewWriter(file), runs: map[string]int{}}, nil
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.text, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) ran(id, runner string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.line("run %s at %s", id, runner)
}

func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
