// Package abandonment finds requests whose callers leave again and again before any response.
//
// Load pattern: callers with a short timeout send one request that crashes each server which
// runs it. Each of them has left when its server crashes, so that the crash is counted for
// nobody.
package abandonment

// This file defines Tracker.

import "sync"

const (
	// repeats is the number of callers in a row that have to leave.
	repeats = 2
	// maxRequests bounds the memory, as callers may invent requests.
	maxRequests = 4096
)

// Tracker counts the callers in a row that have left, by the fingerprint of their request. Its
// zero value is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	left map[uint64]int
}

// Left records that the caller of a request has left before any response. It returns true if
// others with the same request have left before it.
func (t *Tracker) Left(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == nil || len(t.left) >= maxRequests && t.left[fingerprint] == 0 {
		t.left = make(map[uint64]int)
	}
	t.left[fingerprint]++
	return t.left[fingerprint] >= repeats
}

// Answered records that a server has responded to a request.
func (t *Tracker) Answered(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.left, fingerprint)
}
