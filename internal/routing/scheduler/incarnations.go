package scheduler

// This file defines how all that is kept of a server ends with its incarnation; see package
// incarnation. A new incarnation gets a record of its own in the place of the one before, so that
// what is added to the record later ends with it too. What it takes over is in replace.

import (
	"cmp"
	"slices"
	"time"

	"camphorspoke/internal/routing/incarnation"
)

// Restart is a new incarnation of a listed server.
type Restart struct {
	Server   string
	Evidence incarnation.Evidence
	// Leaving is true if an announcement that the server leaves may be that of the new incarnation, which
	// is asked.
	Leaving bool
}

// TakeRestarts returns the new incarnations since the last call.
func (s *Scheduler) TakeRestarts() []Restart {
	out := s.restarts
	s.restarts = nil
	return out
}

// TakeDepartures returns the servers that have announced since the last call that they leave.
func (s *Scheduler) TakeDepartures() []string {
	out := s.departures
	s.departures = nil
	return out
}

// HealthCheck is a server that is to be asked for its health, because it has announced that it leaves
// and nothing confirms that.
type HealthCheck struct {
	Server  string
	Address string
}

// TakeHealthChecks returns the servers that are due to be asked since delay ago, at most limit of them.
// A server that has asked the instance for a pause is not asked, nor one that is evacuated.
func (s *Scheduler) TakeHealthChecks(now, delay time.Duration, instance string, limit int) []HealthCheck {
	if s.leaving == 0 {
		return nil
	}
	var out []HealthCheck
	for _, sv := range s.listedServers {
		if len(out) >= limit {
			return out
		}
		if !sv.incarnation.AskDue(now-delay) || sv.cold.evacuated || sv.pauses.Left(now, instance) > 0 {
			continue
		}
		sv.incarnation.Ask(now)
		out = append(out, HealthCheck{
			Server:  sv.name,
			Address: sv.incarnation.Listing().Address,
		})
	}
	return out
}

// LeavingSince returns when the present incarnation of a server announced that it leaves, the last time;
// false if it has not.
func (s *Scheduler) LeavingSince(name string) (time.Duration, bool) {
	sv := s.servers[name]
	if sv == nil || !sv.incarnation.Leaving() {
		return 0, false
	}
	return sv.incarnation.LeavingSince(), true
}

// RecordLeaving records that the server at an address has announced at a time that it leaves, and reports
// whether that is new. It is ignored if that is of an incarnation that has ended.
func (s *Scheduler) RecordLeaving(name, address string, at time.Duration) bool {
	sv := s.listedAt(name, address)
	if sv == nil || !sv.incarnation.Announce(at) {
		return false
	}
	s.departures = append(s.departures, name)
	s.updateAccepting(sv)
	return true
}

// RecordServing records that the server at an address has answered without announcing that it leaves, on
// a connection that was opened at a time. It reports whether that shows a new incarnation.
func (s *Scheduler) RecordServing(now time.Duration, name, address string, opened time.Duration) bool {
	sv := s.listedAt(name, address)
	if sv == nil {
		return false
	}
	e := sv.incarnation.Answer(opened)
	s.applyEvidence(now, sv, e)
	return e != incarnation.None
}

// RecordBirth records the time of its start that the server at an address has stated.
func (s *Scheduler) RecordBirth(now time.Duration, name, address string, bornMs int64) {
	if sv := s.listedAt(name, address); sv != nil {
		s.applyEvidence(now, sv, sv.incarnation.Birth(now, bornMs))
	}
}

// listedAt returns the listed server of a name if it is listed at an address, else nil.
func (s *Scheduler) listedAt(name, address string) *server {
	sv := s.servers[name]
	if sv == nil || !sv.listed || sv.incarnation.Listing().Address != address {
		return nil
	}
	return sv
}

// recordIncarnation takes from a report what it says of the incarnation of its server. The request may
// have been granted to an earlier one and answered by the present one, at the same address.
func (s *Scheduler) recordIncarnation(now time.Duration, g *grant, r Report) {
	if r.Leaving {
		at := r.LeavingAt
		if at == 0 {
			at = now
		}
		s.RecordLeaving(g.server.name, g.listing.Address, at)
		return
	}
	if r.Opened > 0 && s.RecordServing(now, g.server.name, g.listing.Address, r.Opened) {
		// The request was granted before the connection was opened on which it was answered.
		if present := s.present(g); g.server != present {
			g.moveTo(present)
		}
	}
}

// withoutOutdated returns a report without what it says of its server if the instance has no response
// to the request, but passes on what it knew, and has not heard of the present incarnation.
func (s *Scheduler) withoutOutdated(g *grant, r Report) Report {
	if r.Event != Cancelled || r.JoinedMs == 0 || r.JoinedMs >= s.present(g).incarnation.Listing().JoinedMs {
		return r
	}
	return Report{
		Event: Cancelled,
	}
}

// present returns the record of the present incarnation of the server of a grant, if it is at the same
// address, else that of the grant.
func (s *Scheduler) present(g *grant) *server {
	if sv := s.listedAt(g.server.name, g.listing.Address); sv != nil {
		return sv
	}
	return g.server
}

// applyEvidence replaces a server of which there is evidence that a new incarnation has begun.
func (s *Scheduler) applyEvidence(now time.Duration, sv *server, e incarnation.Evidence) {
	if e == incarnation.None {
		return
	}
	next := s.replace(now, sv, e)
	if i := slices.Index(s.listedServers, sv); i >= 0 {
		s.listedServers[i] = next
	}
	s.updateAccepting(next)
	s.updateIndex()
	s.countLimited()
	s.limitAt = -maxLimitAge
}

// replace puts a new record in the place of that of a server, whose new incarnation has begun by the
// evidence e, and returns it. It takes over:
//
//   - What the list shows, and whether an announcement is that of the new incarnation.
//   - The limit, until the new incarnation confirms it, and the grants that count against it and against
//     the rate of a cold server: a limit may be that of the machine.
//   - The requests in flight that may be at the new incarnation. Those of a server that joined again
//     all may be, as it may have been missing from the list only; it keeps its pauses for the same reason.
//
// The requests that stay behind count for the record before until they end.
func (s *Scheduler) replace(now time.Duration, old *server, e incarnation.Evidence) *server {
	next := newServer(old.name)
	next.incarnation = old.incarnation
	next.applyEntry(old.entry)
	next.setService(s.svc)
	next.cold.rates, next.cold.index, next.cold.evacuated, next.cold.logged = old.cold.rates, old.cold.index, old.cold.evacuated, old.cold.logged
	next.cold.pending = max(old.cold.pending, s.svc.ColdTime)
	s.cold.changed = true
	next.serverLimit = old.serverLimit
	next.serverLimit.Limit = old.serverLimit.Limit.Unconfirmed()
	next.grants = old.grants.Clone()
	next.window.Reset(now)
	if e == incarnation.Answered || e == incarnation.BornAgain {
		// The list has not shown it yet.
		s.doubtVersion(now, next)
		next.doubt.back, next.doubt.backAt = true, now
	} else {
		// The list may have been read before the server went down.
		next.doubt = old.doubt
	}
	if e == incarnation.JoinedAgain {
		next.pauses = old.pauses
	}
	s.moveGrants(old, next, e)
	s.forget(old)
	s.servers[next.name] = next
	s.full = false
	s.restarts = append(s.restarts, Restart{
		Server:   next.name,
		Evidence: e,
		Leaving:  next.incarnation.Leaving(),
	})
	return next
}

// moveGrants moves the requests in flight that may be at the new incarnation of a server to its record.
func (s *Scheduler) moveGrants(old, next *server, e incarnation.Evidence) {
	if e == incarnation.NewAddress || old.running == 0 {
		return
	}
	since, served := next.incarnation.ServedAt()
	var moved []*grant
	for _, g := range s.granted {
		if g.server == old && (e == incarnation.JoinedAgain || served && g.grantedAt >= since) {
			moved = append(moved, g)
		}
	}
	slices.SortFunc(moved, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.grantedAt, b.grantedAt), cmp.Compare(a.request.ID, b.request.ID))
	})
	for _, g := range moved {
		g.moveTo(next)
	}
}

// moveTo makes a request in flight count for another record of its server.
func (g *grant) moveTo(next *server) {
	old := g.server
	old.running--
	old.memory.Remove(g.request.ID)
	next.memory.Add(g.request.ID, g.request.Parts, ownTokens(g.request))
	if g.started {
		next.running++
	} else {
		old.recordStart(g)
		old.pendingTokens -= g.missTokens
		g.endRead()
		next.recordGrant(g)
		next.pendingTokens += g.missTokens
	}
	g.server = next
	if len(g.request.Parts) > 0 {
		if !g.started {
			g.beginRead()
		}
		next.cache.Use(g.request.Parts)
	}
}

// updateAccepting sets whether a server takes new requests.
func (s *Scheduler) updateAccepting(sv *server) {
	sv.accepting = sv.listed && sv.entry.Accepting && !sv.incarnation.Leaving()
	s.countLeaving()
}

// countLeaving counts the listed servers that have announced that they leave.
func (s *Scheduler) countLeaving() {
	s.leaving = 0
	for _, sv := range s.listedServers {
		if sv.incarnation.Leaving() {
			s.leaving++
		}
	}
}
