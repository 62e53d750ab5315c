// Package durations estimates how long requests of each route take, so that an
// instance that is about to stop accepts only requests that it can finish.
package durations

// This file defines Estimator.

import (
	"sync"
	"time"
)

const (
	// decayDivisor sets the decay of the maximum: each shorter request reduces
	// it by 1/decayDivisor, so that one long request does not count for ever.
	decayDivisor = 256
	// marginFraction is the safety margin on top of the longest recorded
	// duration, as a fraction of it.
	marginFraction = 0.25
)

// Estimator holds a decaying maximum of the request durations of each route. The
// zero value is empty and ready to use.
type Estimator struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// Observe records a request that took d.
func (e *Estimator) Observe(route string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.longest == nil {
		e.longest = make(map[string]time.Duration)
	}
	old := e.longest[route]
	e.longest[route] = max(d, old-old/decayDivisor)
}

// Fits reports whether a request of a route is likely to end within remaining.
// For a route without recorded requests it assumes the full timeout.
func (e *Estimator) Fits(route string, timeout, remaining time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	need, known := e.longest[route]
	if !known {
		return timeout <= remaining
	}
	return need+time.Duration(marginFraction*float64(need)) <= remaining
}
