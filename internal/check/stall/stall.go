// Package stall notices when the machine is so busy that this process is not run in time.
// A check whose bound is a fraction of a second then says nothing about the programs that
// it checks, which are not run in time either.
package stall

// This file defines Monitor.

import (
	"sync"
	"time"
)

const (
	// interval is the time between two looks at the clock, and limit how much later than
	// that one may come before it counts as a stall.
	interval = 10 * time.Millisecond
	limit    = 50 * time.Millisecond
)

// Monitor records stalls; New returns a running one.
type Monitor struct {
	report func(from, until time.Time)

	mu     sync.Mutex
	stalls []span
	done   chan struct{}
}

// span is the time from one look at the clock to the next.
type span struct {
	from, until time.Time
}

// New starts a monitor that passes each stall to report, unless that is nil. The returned
// function stops it.
func New(report func(from, until time.Time)) (*Monitor, func()) {
	m := &Monitor{
		report: report,
		done:   make(chan struct{}),
	}
	go m.run()
	return m, sync.OnceFunc(func() { close(m.done) })
}

func (m *Monitor) run() {
	last := time.Now()
	for {
		select {
		case <-m.done:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		if now.Sub(last) > interval+limit {
			m.record(last, now)
		}
		last = now
	}
}

func (m *Monitor) record(from, until time.Time) {
	if m.report != nil {
		m.report(from, until)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, span{
		from:  from,
		until: until,
	})
}

// Stalled reports whether there was a stall at any time between from and until.
func (m *Monitor) Stalled(from, until time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.from.Before(until) && s.until.After(from) {
			return true
		}
	}
	return false
}
