package guarantee

// This file checks that a planned stop of a daemon cuts off no request that it accepted.

import "time"

const (
	// excusedAfterStop is how long after the begin of a stop a request may be sent that
	// the daemon may still cut off at the end of its grace period, and lastPart the part
	// of the grace period that counts as its end.
	excusedAfterStop = 3 * time.Second
	lastPart         = 1.0 / 6
	// afterGrace is how long after the grace period a stop still counts.
	afterGrace = time.Second
	// lossSlack is how long after the last byte of a request was sent the daemon may
	// close the connection without having read the request.
	lossSlack = 200 * time.Millisecond
)

// plannedStop is the stop of a daemon that has the given time to finish its requests.
type plannedStop struct {
	daemon string
	at     time.Time
	grace  time.Duration
}

// Stopping records that the daemon at an address was asked to stop within the grace period.
func (c *Checker) Stopping(address string, grace time.Duration) {
	defer c.lock()()
	c.stops = append(c.stops, plannedStop{
		daemon: address,
		at:     time.Now(),
		grace:  grace,
	})
}

// Ended records that a backend server has stopped to execute a request.
func (c *Checker) Ended(id, server string, at time.Time) {
	defer c.lock()()
	c.executionEnds[id] = at
	c.checkOverlap(id, server, at)
}

// stopBefore returns the latest stop of a daemon that counts at a time.
func (c *Checker) stopBefore(daemon string, at time.Time) (plannedStop, bool) {
	for i := len(c.stops) - 1; i >= 0; i-- {
		s := c.stops[i]
		if s.daemon == daemon && !at.Before(s.at) && at.Before(s.at.Add(s.grace+afterGrace)) {
			return s, true
		}
	}
	return plannedStop{}, false
}

// excused reports whether a stopping daemon may cut off a request now: it was sent early,
// and the backend server was still executing it in the last part of the grace period.
func (c *Checker) excused(a Attempt, s plannedStop, now time.Time) bool {
	lastPartBegins := s.at.Add(s.grace - time.Duration(lastPart*float64(s.grace)))
	end, ended := c.executionEnds[a.ID]
	if !ended {
		end = now
	}
	return a.Long && !a.WholeSent().After(s.at.Add(excusedAfterStop)) && !end.Before(lastPartBegins)
}

// checkUnread records a violation if a stopping daemon closed the connection of a request
// that it did not pass on, though it had the time to read and to refuse it.
func (c *Checker) checkUnread(a Attempt, s plannedStop, now time.Time) {
	if waited := now.Sub(a.WholeSent()); waited > lossSlack {
		c.addViolationf("a stopping daemon answers every request that it has read", "%s at %s, sent %v after the stop began, %v after its last byte", a.ID, a.Address, a.Sent.Sub(s.at), waited)
	}
}
