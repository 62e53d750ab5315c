package guarantee

// This file checks that backend servers which ask a daemon for a pause get none of its
// requests until the pause ends.

import (
	"slices"
	"time"
)

const (
	// pauseGrace is how long after a refusal requests may still be in transit, and
	// maxInPause how many may arrive between that time and the end of the pause.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// pushbacks holds what backend servers have asked daemons for.
type pushbacks struct {
	pauses []*pause
	// disturbances holds the intervals in which a daemon, or the links of all of them, was
	// disturbed.
	disturbances []*disturbance
}

// pause is a refusal with which a server asked a daemon to send it nothing.
type pause struct {
	server  string
	daemon  string
	from    time.Time
	until   time.Time
	arrived int
}

// disturbance is an interval in which a daemon was stopped or frozen; daemon is empty if it
// concerns all of them, and until is zero while it lasts.
type disturbance struct {
	daemon      string
	from, until time.Time
	// linksOnly is true if only links to backend servers were disturbed.
	linksOnly bool
}

// Disturb records that a daemon is stopped or frozen, or that links are disturbed if the
// address is empty, until the returned function is called.
func (c *Checker) Disturb(address string) func() {
	defer c.lock()()
	d := &disturbance{
		daemon:    address,
		from:      time.Now(),
		linksOnly: address == "",
	}
	c.pushback.disturbances = append(c.pushback.disturbances, d)
	return func() {
		defer c.lock()()
		d.until = time.Now()
	}
}

// DisturbedBetween records that all daemons were disturbed in a span of time.
func (c *Checker) DisturbedBetween(from, until time.Time) {
	defer c.lock()()
	c.pushback.disturbances = append(c.pushback.disturbances, &disturbance{
		from:  from,
		until: until,
	})
}

// PushedBack records that a backend server refused a request and asked its daemon for a
// pause. It does not count if the caller leaves early: the daemon then closes the connection to the
// server, perhaps before the refusal arrives.
func (c *Checker) PushedBack(id, server string, at time.Time, length time.Duration) {
	defer c.lock()()
	c.counts["pushed back"]++
	if c.attempts[id].LeavesEarly {
		return
	}
	c.pushback.pauses = append(c.pushback.pauses, &pause{
		server: server,
		daemon: c.attempts[id].Address,
		from:   at,
		until:  at.Add(length),
	})
}

// Arrived records that a request reached a backend server.
func (c *Checker) Arrived(id, server string, at time.Time) {
	defer c.lock()()
	c.recordArrival(id, at)
	c.checkDeparture(id, server, at)
	c.checkEvacuation(id, server, at)
	daemon := c.attempts[id].Address
	for _, p := range c.pushback.pauses {
		if p.server != server || p.daemon != daemon || at.Before(p.from.Add(pauseGrace)) || !at.Before(p.until) {
			continue
		}
		if c.pushback.disturbed(daemon, p.from, at) {
			continue
		}
		if p.arrived++; p.arrived == maxInPause+1 {
			c.addViolationf("servers that ask for a pause get none of the daemon's requests", "%s of %s reached %s %v after a refusal with a pause of %v", id, daemon, server, at.Sub(p.from), p.until.Sub(p.from))
		}
	}
}

// disturbed reports whether the daemon, or all links, were disturbed at any time between
// from and until.
func (p *pushbacks) disturbed(daemon string, from, until time.Time) bool {
	return slices.ContainsFunc(p.disturbances, func(d *disturbance) bool { return d.concerns(daemon, from, until) })
}

// disturbedItself is disturbed without the disturbances of links alone.
func (p *pushbacks) disturbedItself(daemon string, from, until time.Time) bool {
	return slices.ContainsFunc(p.disturbances, func(d *disturbance) bool { return !d.linksOnly && d.concerns(daemon, from, until) })
}

func (d *disturbance) concerns(daemon string, from, until time.Time) bool {
	return (d.daemon == daemon || d.daemon == "") && d.from.Before(until) && (d.until.IsZero() || d.until.After(from))
}
