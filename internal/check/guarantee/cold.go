package guarantee

// This file checks that a backend server which has started recently gets no more requests
// in any second than its limit.

import (
	"slices"
	"time"
)

// ColdArrival records that a request that counts reached a backend server which is cold. At
// most limit of them may arrive in any second, unless all daemons were disturbed. Each time
// that this is exceeded gives one violation.
func (c *Checker) ColdArrival(id, server string, at time.Time, limit float64) {
	defer c.lock()()
	c.counts["requests to cold servers"]++
	second := at.Add(-time.Second)
	arrivals := slices.DeleteFunc(c.coldArrivals[server], func(t time.Time) bool { return !t.After(second) })
	arrivals = append(arrivals, at)
	c.coldArrivals[server] = arrivals
	if len(arrivals) != int(limit)+1 || c.pushback.disturbed("", second, at) {
		return
	}
	c.addViolationf("a cold server gets no more requests than its limit", "%s is number %d in the second before it at %s, %.0f allowed", id, len(arrivals), server, limit)
}
