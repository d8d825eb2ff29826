package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	writer  *bufio.Writer
	broken  []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// log writes one line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.started).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// breach records that the rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close ends the record and returns the number of breaches.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "breaches: %d\n", len(r.broken))
	_ = r.writer.Flush()
	_ = r.file.Close()
	return len(r.broken)
}
