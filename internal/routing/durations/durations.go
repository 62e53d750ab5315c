// Package durations remembers how long the requests of each route take, so that
// an instance which is about to stop takes only those that it can finish.
package durations

// This file defines Book.

import (
	"sync"
	"time"
)

const (
	// fade is how fast the longest request is forgotten: by one in so many of its
	// duration with each request that was shorter.
	fade = 256
	// marginShare is added to the longest duration that was seen.
	marginShare = 0.25
)

// Book holds the longest recent duration of each route. The zero value is empty.
type Book struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// Note counts a request that took d.
func (b *Book) Note(route string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.longest == nil {
		b.longest = make(map[string]time.Duration)
	}
	old := b.longest[route]
	b.longest[route] = max(d, old-old/fade)
}

// Fits reports whether a request of a route is likely to end within left. Where
// nothing is known of the route, it may take as long as it is allowed to.
func (b *Book) Fits(route string, timeout, left time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	need, known := b.longest[route]
	if !known {
		return timeout <= left
	}
	return need+time.Duration(marginShare*float64(need)) <= left
}
