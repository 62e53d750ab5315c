package guarantee

// This file checks that a backend server which announces in its responses that it leaves
// gets no new requests from the daemons that received one.

import "time"

// departure identifies the announcement of a backend server to a daemon.
type departure struct {
	server string
	daemon string
}

// Announced records that a backend server announces its departure in the response to a
// request.
func (c *Checker) Announced(id, server string, at time.Time) {
	defer c.lock()()
	d := departure{
		server: server,
		daemon: c.attempts[id].Address,
	}
	if _, known := c.departures[d]; !known {
		c.departures[d] = at
	}
}

// checkDeparture records a violation if a request that was sent later than Bounds.Drain
// after the announcement reaches the server, unless the daemon was disturbed since.
func (c *Checker) checkDeparture(id, server string, at time.Time) {
	a := c.attempts[id]
	announced, ok := c.departures[departure{
		server: server,
		daemon: a.Address,
	}]
	if !ok || !a.Sent.After(announced.Add(c.Bounds.Drain)) || c.pushback.disturbed(a.Address, announced, at) {
		return
	}
	c.addViolationf("servers that announce their departure get no new requests", "%s of %s reached %s though sent %v after the announcement", id, a.Address, server, a.Sent.Sub(announced))
}
