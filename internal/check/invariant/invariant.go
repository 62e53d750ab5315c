// Package invariant counts violations of what must always hold.
//
// An invariant that fails in a daemon is logged and counted; in tests it is
// fatal. The zero Checker counts and stays silent.
package invariant

// This file defines Checker.

import (
	"fmt"
	"sync"
)

// Checker records violations by name.
type Checker struct {
	// Report is told of each violation; nil counts only.
	Report func(name, detail string)

	mu     sync.Mutex
	counts map[string]uint64
}

// Holds records a violation of the named invariant unless ok.
func (c *Checker) Holds(ok bool, name, format string, args ...any) {
	if ok || c == nil {
		return
	}
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[string]uint64)
	}
	c.counts[name]++
	c.mu.Unlock()
	if c.Report != nil {
		c.Report(name, fmt.Sprintf(format, args...))
	}
}

// Counts returns the violations by name.
func (c *Checker) Counts() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.counts))
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}
