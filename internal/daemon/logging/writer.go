package logging

// This file defines the writer that never blocks.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered is the most bytes that wait to be written.
	maxBuffered = 1 << 20
	// closeLimit is how long the last lines may take.
	closeLimit = 200 * time.Millisecond
)

// writer hands lines to a goroutine that writes all that wait at once.
type writer struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int
}

func newWriter(out io.Writer) *writer {
	w := &writer{
		out:  out,
		wake: make(chan struct{}, 1),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line, or drops it when too much waits.
func (w *writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	if w.buf.Len()+len(line) > maxBuffered {
		w.dropped++
	} else {
		w.buf.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes what waits. A log that can't be written has nowhere to say so.
func (w *writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warning msg=\"logging: lines were dropped, as the log was not read\" dropped=%d\n", dropped)
	}
	_, _ = w.out.Write(lines)
}

// close writes what waits, if that takes no longer than closeLimit.
func (w *writer) close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeLimit):
	}
}
