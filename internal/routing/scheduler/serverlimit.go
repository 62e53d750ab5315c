package scheduler

// This file defines how servers that name a limit get requests at no higher rate; see packages
// serverlimit and ratelimit.
//
// Load pattern: most servers of a service run half of what they usually do, and say so. The
// requests above their limits go to the other servers, or wait, or are refused with the time
// in which the limits allow them. Without the limits they would be the emptiest servers, as
// they refuse what they get above it.

import (
	"slices"
	"time"

	"camphorspoke/internal/routing/ratelimit"
	"camphorspoke/internal/routing/serverlimit"
)

// limitShares holds the shares of the limits of all servers of a service. The zero value
// allows nothing to servers that name one.
type limitShares struct {
	decider, alone serverlimit.DelayedShare
	// changed is true if the shares of the settings were not applied yet.
	changed bool
}

// share returns the share that applies to requests like req.
func (l *limitShares) share(req Request) *serverlimit.DelayedShare {
	if req.Alone {
		return &l.alone
	}
	return &l.decider
}

// limitState holds what a server has said of its limit.
type limitState struct {
	serverlimit.Limit

	shares *limitShares
	// logged is what LimitChange has reported last.
	logged serverlimit.Statement
}

// LimitChange is a limit that a server has named, changed or ended.
type LimitChange struct {
	Server string
	// Before and Now are the limits; one that is not Named has not been or is over.
	Before serverlimit.Statement
	Now    serverlimit.Statement
}

// minLimitChange is the smallest change of a limit that TakeLimitChanges returns, as a fraction
// of the limit before.
const minLimitChange = 0.1

// TakeLimitChanges returns the limits of listed servers that were named, changed or ended since
// the last call. Small changes are left out.
func (s *Scheduler) TakeLimitChanges() []LimitChange {
	if !s.limitsObserved {
		return nil
	}
	s.limitsObserved = false
	var out []LimitChange
	for _, sv := range s.listedServers {
		before, now := sv.serverLimit.logged, sv.serverLimit.Statement(0)
		diff := max(now.PerSecond-before.PerSecond, before.PerSecond-now.PerSecond)
		if now.Named == before.Named && diff <= minLimitChange*before.PerSecond {
			continue
		}
		sv.serverLimit.logged = now
		out = append(out, LimitChange{
			Server: sv.name,
			Before: before,
			Now:    now,
		})
	}
	return out
}

// RecordLimit records what another scheduler has received of the limit of a server.
func (s *Scheduler) RecordLimit(now time.Duration, name string, st serverlimit.Statement) {
	if sv := s.servers[name]; sv != nil {
		s.observeLimit(now, sv, now-st.Age, st)
	}
}

// Limit returns what a server has stated of its limit, as far as the scheduler has received it.
func (s *Scheduler) Limit(now time.Duration, name string) serverlimit.Statement {
	if sv := s.servers[name]; sv != nil {
		return sv.serverLimit.Statement(now)
	}
	return serverlimit.Statement{}
}

// LimitedServers returns the number of servers that name a limit.
func (s *Scheduler) LimitedServers() int { return s.limitedServers }

// recordLimitReport takes from a report what the server says of its limit. That of an earlier
// incarnation says nothing of this one.
func (s *Scheduler) recordLimitReport(now time.Duration, g *grant, r Report) {
	if g.listing.Same(g.server.incarnation.Listing()) {
		s.observeLimit(now, g.server, g.grantedAt, r.Limit)
	}
}

// observeLimit records what a response to a request that was granted at a time says of the
// limit of its server.
func (s *Scheduler) observeLimit(now time.Duration, sv *server, grantedAt time.Duration, st serverlimit.Statement) {
	if sv.serverLimit.Observe(now, grantedAt, st) {
		s.countLimited()
	}
}

// inheritLimit gives a server that is new in the list the limit and the grants of the one that
// was listed at its address before under another name.
func (s *Scheduler) inheritLimit(sv *server, l Server) {
	for _, o := range s.listedServers {
		if l.Address != "" && o.entry.Address == l.Address && o.name != l.Name {
			sv.serverLimit.Limit, sv.grants = o.serverLimit.Limit.Unconfirmed(), o.grants.Clone()
			return
		}
	}
}

// countLimited counts the listed servers that name a limit, after a change.
func (s *Scheduler) countLimited() {
	s.limitedServers, s.limitsObserved, s.full = 0, true, false
	for _, sv := range s.listedServers {
		if sv.serverLimit.Named() {
			s.limitedServers++
		}
	}
}

// applyLimitShares applies the shares of the last settings.
func (s *Scheduler) applyLimitShares(now time.Duration) {
	if !s.limitShares.changed {
		return
	}
	s.limitShares.changed = false
	s.limitShares.decider.Set(now, s.svc.LimitShare)
	s.limitShares.alone.Set(now, s.svc.AloneLimitShare)
}

// limitAllowance returns how many requests like req a server that names a limit may get.
func (sv *server) limitAllowance(now time.Duration, req Request) ratelimit.Allowance {
	return sv.serverLimit.shares.share(req).Allowance(now, sv.serverLimit.PerSecond())
}

// limitAllows reports whether the limit of a server, if it names one, allows req.
func (sv *server) limitAllows(now time.Duration, req Request) bool {
	return !sv.serverLimit.Named() || sv.grants.Places(now, sv.limitAllowance(now, req)) > 0
}

// overtakes reports whether req would be granted a limited server ahead of queued requests of
// its rank or a higher one that may go there too. A limit allows the next request after some
// time, and not at the end of a request, when the queue is processed.
func (s *Scheduler) overtakes(now time.Duration, sv *server, req Request) bool {
	return sv.serverLimit.Named() && slices.ContainsFunc(s.queue, func(w *queuedRequest) bool {
		return compareRanks(w.request, req) <= 0 && sv.eligible(now, w.request)
	})
}
