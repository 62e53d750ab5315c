// Package durations estimates how long requests of each route take, so that an
// instance that is about to stop accepts only requests that it can finish.
package durations

// This file defines Book.

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
func (b *Estimator) Observe(route string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.longest == nil {
		b.longest = make(map[string]time.Duration)
	}
	old := b.longest[route]
	b.longest[route] = max(d, old-old/decayDivisor)
}

// Fits reports whether a request of a route is likely to end within remaining.
// For a route without recorded requests it assumes the full timeout.
func (b *Estimator) Fits(route string, timeout, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	need, known := b.longest[route]
	if !known {
		return timeout <= remaining
	}
	return need+time.Duration(marginFraction*float64(need)) <= remaining
}
