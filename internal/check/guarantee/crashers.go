package guarantee

// This file checks that a request which crashes the backend servers that execute it is soon
// sent to no others.

import (
	"fmt"
	"time"
)

const (
	// toleratedCrashes is how many servers such a request may crash without limits, and
	// crashWindow how long after the last of these crashes it may still be sent. It is also the
	// time after a disturbance in which the sends of a daemon do not count.
	toleratedCrashes = 3
	crashWindow      = 3 * time.Second
	// maxLaterArrivals is how often such a request may reach servers after that, under all of
	// its IDs, from all daemons and at any time.
	maxLaterArrivals = 3
	// listedArrivals is how many of these arrivals a violation lists.
	listedArrivals = 12
)

// crasher is a request that crashes the servers that execute it. It comes again and again,
// each time with another ID.
type crasher struct {
	crashes int
	// limitedFrom is when the limit begins; zero before the last tolerated crash.
	limitedFrom time.Time
	later       int
	// listed describes the first arrivals that count.
	listed []string
}

func (c *Checker) crasherOf(content string) *crasher {
	r, ok := c.crashers[content]
	if !ok {
		r = &crasher{}
		c.crashers[content] = r
	}
	return r
}

// Reached records that a request reached a backend server, which may refuse it. It counts if
// requests with the same content crash servers, unless its daemon was disturbed shortly
// before.
func (c *Checker) Reached(id, server string, at time.Time) {
	defer c.lock()()
	a := c.attempts[id]
	if a.Content == "" {
		return
	}
	c.counts["arrivals of requests that crash"]++
	r := c.crasherOf(a.Content)
	if r.limitedFrom.IsZero() || !at.After(r.limitedFrom) || c.pushback.disturbedItself(a.Address, at.Add(-crashWindow), at) {
		return
	}
	r.later++
	if len(r.listed) < listedArrivals {
		r.listed = append(r.listed, fmt.Sprintf("%s from %s at %s %.2f s after the limit began", id, a.Address, server, at.Sub(r.limitedFrom).Seconds()))
	}
}

// Crashed records that a request crashed the backend server that executed it.
func (c *Checker) Crashed(id string, at time.Time) {
	defer c.lock()()
	c.counts["crashes"]++
	r := c.crasherOf(c.attempts[id].Content)
	if r.crashes++; r.crashes == toleratedCrashes {
		r.limitedFrom = at.Add(crashWindow)
	}
}

// CheckCrashers records a violation for each request that was sent again too often after it
// had crashed servers.
func (c *Checker) CheckCrashers() {
	defer c.lock()()
	for content, r := range c.crashers {
		if r.later > maxLaterArrivals {
			c.addViolationf("requests that crash servers are not sent again", "%s reached servers %d times later than %v after it had crashed %d, %d allowed; it crashed %d in all; the first arrivals: %q", content, r.later, crashWindow, toleratedCrashes, maxLaterArrivals, r.crashes, r.listed)
		}
	}
}
