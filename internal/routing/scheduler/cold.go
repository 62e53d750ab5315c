package scheduler

// This file defines how servers that have started recently get requests at a limited rate;
// see packages coldstart and ratelimit.
//
// Load pattern: a third of the servers of a service comes back at a time, empty. They are
// the cheapest choice for every request, and crash above a rate far below their usual one.
// Each gets no more than its rate; other requests go to the other servers, or wait and are
// granted as the rate allows.

import (
	"time"

	"camphorspoke/internal/routing/coldstart"
	"camphorspoke/internal/routing/ratelimit"
)

// coldRates holds the rates of all cold servers of a service. The zero value limits none.
type coldRates struct {
	// period is Service.ColdTime; if zero, no server is cold.
	period time.Duration
	// decider and alone are the rates that follow from the settings, deciderShare and
	// aloneShare those in use.
	decider, alone           float64
	deciderShare, aloneShare ratelimit.Share
	// until is the time until which any server may be cold, and changed is true if a
	// change of the settings or of the list was not applied yet.
	until   time.Duration
	changed bool
}

// allowance returns how many requests like req a cold server may get.
func (c *coldRates) allowance(now time.Duration, req Request) ratelimit.Allowance {
	if req.Alone {
		return coldstart.Allowance(c.aloneShare.Rate(now))
	}
	return coldstart.Allowance(c.deciderShare.Rate(now))
}

// any reports whether any server may be cold.
func (c *coldRates) any(now time.Duration) bool { return c.period > 0 && now < c.until }

// coldness holds whether a server is cold.
type coldness struct {
	rates  *coldRates
	period coldstart.Period
	// pending is for how long the server is cold from the time of the next UpdateCold on.
	pending time.Duration
	// index is that of the last announcement in the list, and evacuated whether the failure
	// domain of the server was evacuated there.
	index     uint64
	evacuated bool
	// mayHaveRestarted is true from a failure with which the server may have stopped, at
	// failedAt, until it answers a request that was granted after that.
	mayHaveRestarted bool
	failedAt         time.Duration
	// logged is true while ColdChange has reported the server as cold.
	logged bool
}

// ColdChange is the beginning or the end of the cold period of a server.
type ColdChange struct {
	Server string
	// Left is how long the server stays cold; zero if it is warm.
	Left time.Duration
}

// UpdateCold begins the cold periods that follow from the last list, applies the rates of
// the last settings, and returns the servers that have become cold or warm since the last
// call. The caller calls it after SetService and SetServers, and now and then.
func (s *Scheduler) UpdateCold(now time.Duration) []ColdChange {
	s.applySettings(now)
	if s.cold.until == 0 {
		return nil
	}
	var out []ColdChange
	for _, sv := range s.listedServers {
		c := &sv.cold
		if isCold := s.cold.period > 0 && c.period.Cold(now); isCold != c.logged {
			c.logged = isCold
			out = append(out, ColdChange{
				Server: sv.name,
				Left:   c.period.Left(now),
			})
		}
	}
	if !s.cold.any(now) {
		s.cold.until = 0
	}
	return out
}

// ColdServers returns the number of cold servers.
func (s *Scheduler) ColdServers(now time.Duration) int {
	n := 0
	for _, sv := range s.listedServers {
		if s.cold.any(now) && sv.cold.period.Cold(now) {
			n++
		}
	}
	return n
}

// setColdRates takes the rates from the settings.
func (s *Scheduler) setColdRates() {
	s.cold.period, s.cold.decider, s.cold.alone = s.svc.ColdTime, s.svc.ColdRate, s.svc.AloneColdRate
	s.cold.changed = true
}

// recordColdListing takes from the list whether a server becomes cold: it was not known, its failure
// domain is no longer evacuated, or the list announces it. Those of the first list that is not empty
// are not new.
func (s *Scheduler) recordColdListing(sv *server, l Server, known bool) {
	c := &sv.cold
	if s.hasListed && !known {
		c.pending = max(c.pending, s.svc.ColdTime)
	}
	c.rates = &s.cold
	if c.evacuated && !l.Evacuated {
		c.pending = max(c.pending, s.svc.ColdTime)
	}
	if l.ColdIndex != c.index {
		c.pending = max(c.pending, l.ColdFor)
	}
	c.index, c.evacuated = l.ColdIndex, l.Evacuated
	s.cold.changed = s.cold.changed || c.pending > 0
}

// applyCold applies what the last settings and the last list have changed.
func (s *Scheduler) applyCold(now time.Duration) {
	if !s.cold.changed {
		return
	}
	s.cold.changed = false
	s.cold.deciderShare.Set(now, s.cold.decider)
	s.cold.aloneShare.Set(now, s.cold.alone)
	for _, sv := range s.listedServers {
		period := sv.cold.pending
		sv.cold.pending = 0
		s.beginCold(now, sv, period)
	}
}

// beginCold begins a cold period of a server, or extends it.
func (s *Scheduler) beginCold(now time.Duration, sv *server, period time.Duration) {
	if s.cold.period == 0 || period <= 0 {
		return
	}
	sv.cold.period.Begin(now, period)
	s.cold.until = max(s.cold.until, now+sv.cold.period.Left(now))
}

// recordColdReport takes from a report whether the server is cold: it says so, or answers
// for the first time after it may have restarted. While responses are in progress there, a
// server that could not be reached has not restarted, as that would have broken them.
func (s *Scheduler) recordColdReport(now time.Duration, g *grant, r Report) {
	c := &g.server.cold
	s.beginCold(now, g.server, r.ColdFor)
	switch r.Event {
	case Down:
		c.mayHaveRestarted, c.failedAt = true, now
	case Unreachable:
		if !g.server.responding() {
			c.mayHaveRestarted, c.failedAt = true, now
		}
	case Started, Done, Rejected, Failed:
		if c.mayHaveRestarted && g.grantedAt >= c.failedAt {
			c.mayHaveRestarted = false
			s.beginCold(now, g.server, s.svc.ColdTime)
		}
	}
}

// coldAllows reports whether the rate of a cold server allows req. A server that may have
// restarted gets no more either. An instance whose rate allows nothing sends such a server
// one request at a time, as it would never find it answering otherwise.
func (sv *server) coldAllows(now time.Duration, req Request) bool {
	c := &sv.cold
	if c.rates == nil || c.rates.period == 0 {
		return true
	}
	if c.period.Cold(now) {
		return sv.grants.Places(now, c.rates.allowance(now, req)) > 0
	}
	if !c.mayHaveRestarted {
		return true
	}
	if a := c.rates.allowance(now, req); a.Grants > 0 {
		return sv.grants.Places(now, a) > 0
	}
	return !sv.probed(now)
}
