package guarantee

// This file checks that a request is executed at one backend server at a time.

import (
	"slices"
	"time"
)

// maxOverlap is how long a backend server may still work on a request after another one has
// begun to.
const maxOverlap = 400 * time.Millisecond

// checkOverlap records the end of an execution, and a violation if another server had begun
// to execute the request long before.
func (c *Checker) checkOverlap(id, server string, at time.Time) {
	runs := c.executions[id]
	i := slices.IndexFunc(runs, func(e execution) bool { return e.server == server && e.ended.IsZero() })
	if i < 0 {
		return
	}
	runs[i].ended = at
	for _, later := range runs[i+1:] {
		overlap := at.Sub(later.at)
		if later.server == server || overlap <= maxOverlap || c.pushback.disturbed(c.attempts[id].Address, runs[i].at, at) {
			continue
		}
		c.addViolationf("a request is executed at one server at a time", "%s was still executed at %s %v after %s had begun to", id, server, overlap, later.server)
	}
}
