// Package breaker implements a circuit breaker for each server that requests
// are sent to, a backend server or a peer router.
//
// A number of consecutive failures opens the breaker of a server, and no
// requests are sent there. When the open time has passed, the breaker is
// half-open: one request at a time is sent as a probe. A success closes the
// breaker, a failure opens it again for twice as long, up to a maximum. A
// server that flaps, alternating between success and failure, therefore gets no
// requests for longer each time it fails.
package breaker

// This file defines Breaker.

import (
	"sync"
	"time"
)

const (
	// threshold is the number of consecutive failures that opens a breaker.
	threshold = 3
	// openFirst and openMax are the first and the longest open time.
	openFirst = 500 * time.Millisecond
	openMax   = 30 * time.Second
	// resetAfter is the time since the last trip after which a success resets
	// the open time to openFirst.
	resetAfter = time.Minute
)

// Breaker holds the circuit breaker of each server. The zero value is ready to
// use, with all breakers closed.
type Breaker struct {
	mu     sync.Mutex
	states map[string]*state
}

// state is the breaker of one server. Times are on the caller's clock.
type state struct {
	// failures counts consecutive failures since the last success or trip.
	failures int
	// trips counts how often the breaker has opened since its last reset.
	trips int
	// openUntil is when the open time ends; zero if the breaker is closed.
	openUntil time.Duration
	// probing is true while a probe is in flight.
	probing  bool
	lastTrip time.Duration
}

// Allow reports whether a request may be sent to a server now. If it returns
// true for a server whose breaker is half-open, that request is the probe and
// the caller has to report its outcome with Success or Failure.
func (b *Breaker) Allow(now time.Duration, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.states[server]
	if r == nil || r.openUntil == 0 {
		return true
	}
	if now < r.openUntil || r.probing {
		return false
	}
	r.probing = true
	return true
}

// Open reports whether the breaker of a server is open. Unlike Allow, it does
// not start a probe.
func (b *Breaker) Open(now time.Duration, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.states[server]
	return r != nil && r.openUntil != 0 && now < r.openUntil
}

// Success records that a server responded to a request.
func (b *Breaker) Success(now time.Duration, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.states[server]
	if r == nil {
		return
	}
	r.failures, r.openUntil, r.probing = 0, 0, false
	if now-r.lastTrip > resetAfter {
		delete(b.states, server)
	}
}

// Failure records that a server could not be reached or that its response ended
// early.
func (b *Breaker) Failure(now time.Duration, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states == nil {
		b.states = make(map[string]*state)
	}
	r := b.states[server]
	if r == nil {
		r = &state{}
		b.states[server] = r
	}
	r.failures++
	if r.failures < threshold && !r.probing {
		return
	}
	r.openUntil = now + min(openFirst<<min(r.trips, 10), openMax)
	r.trips++
	r.lastTrip = now
	r.failures, r.probing = 0, false
}
