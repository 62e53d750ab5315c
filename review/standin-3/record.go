package main

// This file writes the record of a run.

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, a line each, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken holds the rules that were broken.
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		file:  f,
		start: time.Now(),
	}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (r *recorder) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	n := len(r.broken)
	r.mu.Unlock()
	if n <= 20 {
		fmt.Println("BROKEN", text)
	}
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
