package guarantee

// This file checks that backend servers of an evacuated failure domain get no requests.

import "time"

// Located records the failure domain of a backend server.
func (c *Checker) Located(server, domain string) {
	defer c.lock()()
	c.domains[server] = domain
}

// Evacuated records that the start of an evacuation was acknowledged.
func (c *Checker) Evacuated(domain string, at time.Time) {
	defer c.lock()()
	c.counts["evacuations"]++
	c.evacuated[domain] = at
}

// Opened records that the operator is about to finish an evacuation: from then on requests
// may reach the failure domain.
func (c *Checker) Opened(domain string) {
	defer c.lock()()
	delete(c.evacuated, domain)
}

// checkEvacuation records a violation if a request reaches a server of an evacuated failure
// domain later than Bounds.Evacuate after the acknowledgement, unless the daemon was
// disturbed in that time before the arrival: it may have had no contact with the control
// group, or have sent the request earlier.
func (c *Checker) checkEvacuation(id, server string, at time.Time) {
	acknowledged, ok := c.evacuated[c.domains[server]]
	if !ok {
		return
	}
	c.counts["arrivals at evacuated servers"]++
	daemon := c.attempts[id].Address
	if !at.After(acknowledged.Add(c.Bounds.Evacuate)) || c.pushback.disturbed(daemon, at.Add(-c.Bounds.Evacuate), at) {
		return
	}
	c.addViolationf("no request reaches a server of an evacuated failure domain", "%s of %s reached %s %v after the evacuation was acknowledged", id, daemon, server, at.Sub(acknowledged))
}
