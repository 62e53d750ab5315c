// Package invariant checks invariants at run time and counts their violations.
//
// A violation doesn't stop a daemon: it is logged and counted. Tests set
// Checker.Report to fail at the first violation. The zero Checker only counts.
package invariant

// This file defines Checker.

import (
	"fmt"
	"sync"
)

// Checker counts violations by the name of the invariant. It is safe for
// concurrent use.
type Checker struct {
	// Report is called for each violation; nil means that violations are only
	// counted.
	Report func(name, detail string)

	mu     sync.Mutex
	counts map[string]uint64
}

// Check records a violation of the named invariant unless ok is true; format
// and args describe the violation. On a nil Checker it does nothing.
func (c *Checker) Check(ok bool, name, format string, args ...any) {
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

// Counts returns the number of violations of each violated invariant.
func (c *Checker) Counts() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.counts))
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}
