package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one event a line.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		start: time.Now(),
		file:  f,
		w:     bufio.NewWriter(f),
	}, nil
}

// Now returns the time since the start of the run.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Log writes one event with its fields, which are given as names and values in turn.
func (r *Record) Log(event string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", r.Now().Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%q", fields[i], fmt.Sprint(fields[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w != nil {
		fmt.Fprintln(r.w, b.String())
		r.w.Flush()
	}
}

// Close ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w != nil {
		r.w.Flush()
		r.file.Close()
		r.w = nil
	}
}
