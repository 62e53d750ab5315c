package logging

// This file defines the non-blocking writer.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered is the size of the buffer in bytes.
	maxBuffered = 1 << 20
	// closeTimeout bounds the wait in close for the buffered lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// writer buffers lines for a goroutine that writes the whole buffer at a time.
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

// Write buffers a line, or drops it and counts it when the buffer is full.
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

// flush writes the buffered lines. Write errors are ignored, as there is no other
// place to report them.
func (w *writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warning msg=\"logging: lines were dropped because the log output was blocked\" dropped=%d\n", dropped)
	}
	_, _ = w.out.Write(lines)
}

// close writes the buffered lines and returns after closeTimeout at the latest,
// also when the output is blocked.
func (w *writer) close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
