// Package durations decides which requests an instance that shuts down still accepts.
//
// Load pattern: callers keep using an instance for some seconds after it has begun to shut
// down, since they hold an older list of addresses and open connections. A request that
// the instance refuses is sent to another one within milliseconds; one that it accepts and
// can't finish is lost, and may not be repeated. At first most callers don't know of the
// shutdown, and a request is accepted if requests of its route have lately been short
// enough. Later the few that come are accepted only if they must end in time, however long
// they turn out to take.
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
	// estimateWindow is the time from the begin of a shutdown in which past durations
	// decide. It leaves half a second of the 3 s in which a request may be sent that is cut
	// off at the end: the signal may be noticed late.
	estimateWindow = 2500 * time.Millisecond
)

// Shutdown is the state of an instance that shuts down.
type Shutdown struct {
	// Since is the time since the shutdown began, Left the time until the instance stops.
	Since time.Duration
	Left  time.Duration
}

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

// Fits reports whether an instance that shuts down accepts a request of a route, which ends
// after timeout at the latest.
func (e *Estimator) Fits(route string, timeout time.Duration, s Shutdown) bool {
	if timeout <= s.Left {
		return true
	}
	if s.Since > estimateWindow {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	need, known := e.longest[route]
	return known && need+time.Duration(marginFraction*float64(need)) <= s.Left
}
