// Package inflight counts the requests in flight of an instance, and closes the instance
// to new ones at a moment when there are none.
//
// An instance that stops waits until no request is in flight. A request that arrives
// between that observation and the end of the process would be passed on and cut off.
// Both are therefore decided under one lock: a request enters before the gate closes, and
// is waited for, or after it, and is refused.
package inflight

// This file defines Gate.

import "sync"

// Gate counts requests. The zero value is open and ready to use, also concurrently.
type Gate struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// Enter counts a request, and returns false if the gate is closed. Each call that returned
// true must be followed by one of Leave.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// Leave records that a request has ended.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
}

// CloseIfIdle closes the gate if no request is in flight, and reports whether it is closed.
func (g *Gate) CloseIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || g.count == 0
	return g.closed
}

// Close closes the gate, also with requests in flight.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Count returns the number of requests in flight.
func (g *Gate) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
