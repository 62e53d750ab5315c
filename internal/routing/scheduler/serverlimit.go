package scheduler

// This file defines how servers that name a limit get requests at no higher rate; see package
// serverlimit.

import (
	"time"

	"camphorspoke/internal/routing/serverlimit"
)

// LearnLimit records what another scheduler knows of the limit of a server.
func (s *Scheduler) LearnLimit(now time.Duration, name string, st serverlimit.Statement) {
	if sv := s.servers[name]; sv != nil {
		s.observeLimit(now, sv, now-st.Age, st)
	}
}

// Limit returns what a server has said of its limit, as far as the scheduler knows.
func (s *Scheduler) Limit(now time.Duration, name string) serverlimit.Statement {
	if sv := s.servers[name]; sv != nil {
		return sv.limit.Statement(now)
	}
	return serverlimit.Statement{}
}

// LimitedServers returns the number of servers that name a limit.
func (s *Scheduler) LimitedServers() int { return s.limited }

// recordLimitReport takes from a report what the server says of its limit. That of an earlier
// incarnation says nothing of this one.
func (s *Scheduler) recordLimitReport(now time.Duration, g *grant, r Report) {
	if g.listing.SameIncarnation(g.server.listing) {
		s.observeLimit(now, g.server, g.grantedAt, r.Limit)
	}
}

// observeLimit records what a response to a request that was granted at a time says of the
// limit of its server.
func (s *Scheduler) observeLimit(now time.Duration, sv *server, grantedAt time.Duration, st serverlimit.Statement) {
	if sv.limit.Observe(now, grantedAt, st) {
		s.countLimited()
	}
}

// recordLimitListing ends the limit of a server of which the list shows another incarnation.
func (sv *server) recordLimitListing(l Server) {
	if !sv.listing.SameIncarnation(l.departureListing()) {
		sv.limit = serverlimit.Limit{}
	}
}

// countLimited counts the listed servers that name a limit.
func (s *Scheduler) countLimited() {
	s.limited = 0
	for _, sv := range s.listedServers {
		if sv.limit.Named() {
			s.limited++
		}
	}
}
