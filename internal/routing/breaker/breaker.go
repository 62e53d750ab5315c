// Package breaker holds back work from backend servers that fail.
//
// Failures in a row open the breaker for a while that doubles each time; then
// one request at a time is let through as a probe, and a success closes it. A
// server that flaps is held back longer each time and is not chased.
package breaker

// This file defines Breaker.

import (
	"sync"
	"time"
)

const (
	threshold = 3
	openFirst = 500 * time.Millisecond
	openMax   = 30 * time.Second
	// calmAfter is the quiet time after which earlier trips are forgotten.
	calmAfter = time.Minute
)

// Breaker holds the state of each server; the zero value works.
type Breaker struct {
	mu   sync.Mutex
	rows map[string]*row
}

type row struct {
	failures  int
	trips     int
	openUntil time.Duration
	probing   bool
	lastTrip  time.Duration
}

// Allow reports whether work may be sent to a server now. A true answer for a
// server whose breaker was open makes the request its probe.
func (b *Breaker) Allow(now time.Duration, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rows[server]
	if r == nil || r.openUntil == 0 {
		return true
	}
	if now < r.openUntil || r.probing {
		return false
	}
	r.probing = true
	return true
}

// Open reports whether the breaker of a server is open, without probing.
func (b *Breaker) Open(now time.Duration, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rows[server]
	return r != nil && r.openUntil != 0 && now < r.openUntil
}

// Success notes that a server has answered.
func (b *Breaker) Success(now time.Duration, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rows[server]
	if r == nil {
		return
	}
	r.failures, r.openUntil, r.probing = 0, 0, false
	if now-r.lastTrip > calmAfter {
		delete(b.rows, server)
	}
}

// Failure notes that a server could not be reached or broke off.
func (b *Breaker) Failure(now time.Duration, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = make(map[string]*row)
	}
	r := b.rows[server]
	if r == nil {
		r = &row{}
		b.rows[server] = r
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
