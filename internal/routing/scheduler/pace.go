package scheduler

// This file defines how long requests wait while all servers that may run them are cold or name
// a limit.

import (
	"math"
	"slices"
	"time"

	"camphorspoke/internal/routing/ratelimit"
	"camphorspoke/internal/routing/serverlimit"
)

// pacedCostFactor is multiplied with the cost of placing a request on a server that is cold or
// names a limit, so that the others are preferred until they run some requests more.
const pacedCostFactor = 1.25

// aloneRetryAfter bounds the retry delay, because of cold servers and limits, of a request on which
// an instance decides alone: a decider that did not answer is skipped for about as long.
const aloneRetryAfter = time.Second

// pace is how fast a server gets requests while it is cold or names a limit.
type pace struct {
	// free is the number of requests that may be granted now, next the time until one may be.
	free int
	next time.Duration
	// perSecond is the rate of requests; zero if none may be granted, as far as is known.
	perSecond float64
	// ends is the time until the server is no longer limited; math.MaxInt64 if unknown.
	ends time.Duration
}

// paceOf returns the pace that an allowance gives.
func (sv *server) paceOf(now time.Duration, a ratelimit.Allowance) pace {
	next, _ := sv.grants.Wait(now, a)
	return pace{
		free:      sv.grants.Places(now, a),
		next:      next,
		perSecond: a.PerSecond(),
		ends:      math.MaxInt64,
	}
}

// and returns the pace of a server to which both apply.
func (p pace) and(other pace) pace {
	return pace{
		free:      min(p.free, other.free),
		next:      max(p.next, other.next),
		perSecond: min(p.perSecond, other.perSecond),
		ends:      max(p.ends, other.ends),
	}
}

// coldPace returns the pace of a cold server; false if the server is warm.
func (s *Scheduler) coldPace(now time.Duration, sv *server, req Request) (pace, bool) {
	if !s.cold.any(now) || !sv.cold.period.Cold(now) {
		return pace{}, false
	}
	p := sv.paceOf(now, s.cold.allowance(now, req))
	p.ends = sv.cold.period.Left(now)
	return p, true
}

// limitPace returns the pace of a server that names a limit; false if it names none. If the
// share of the instance allows nothing, it is the pace from the time on at which a larger one
// applies.
func (s *Scheduler) limitPace(now time.Duration, sv *server, req Request) (pace, bool) {
	if !sv.serverLimit.Named() {
		return pace{}, false
	}
	a := sv.limitAllowance(now, req)
	raise := s.limitShares.share(req).RaiseIn(now)
	if a.Grants > 0 || raise == 0 {
		return sv.paceOf(now, a), true
	}
	p := sv.paceOf(now+raise, sv.limitAllowance(now+raise, req))
	p.free, p.next = 0, p.next+raise
	return p, true
}

// pace returns the pace of a server that is cold or names a limit; false if it does neither.
func (s *Scheduler) pace(now time.Duration, sv *server, req Request) (pace, bool) {
	cold, isCold := s.coldPace(now, sv, req)
	limited, isLimited := s.limitPace(now, sv, req)
	switch {
	case isCold && isLimited:
		return cold.and(limited), true
	case isCold:
		return cold, true
	default:
		return limited, isLimited
	}
}

// paced reports whether the server is cold or names a limit.
func (sv *server) paced(now time.Duration) bool {
	c := &sv.cold
	return sv.serverLimit.Named() || c.rates != nil && c.rates.any(now) && c.period.Cold(now)
}

// pacedFactor is multiplied with the cost of placing a request on the server.
func (sv *server) pacedFactor(now time.Duration) float64 {
	if sv.paced(now) {
		return pacedCostFactor
	}
	return 1
}

// anyPaced reports whether any server may be cold or names a limit.
func (s *Scheduler) anyPaced(now time.Duration) bool { return s.cold.any(now) || s.limitedServers > 0 }

// paceWait returns how long req would wait for the rates of cold servers and the limits of
// others; zero unless all servers that it may go to are cold or name a limit. It is the time in
// which these allow the queued requests ahead of it, but no longer than until the first server
// is no longer limited.
func (s *Scheduler) paceWait(now time.Duration, req Request) time.Duration {
	if !s.anyPaced(now) || slices.ContainsFunc(s.listedServers, func(sv *server) bool { return !sv.paced(now) && sv.mayRun(req) }) {
		return 0
	}
	all := pace{
		next: math.MaxInt64,
		ends: math.MaxInt64,
	}
	found := false
	for _, sv := range s.listedServers {
		if !sv.mayRun(req) {
			continue
		}
		found = true
		p, _ := s.pace(now, sv, req)
		all.ends = min(all.ends, p.ends)
		if p.perSecond > 0 {
			all.next = min(all.next, p.next)
			all.free += p.free
			all.perSecond += p.perSecond
		}
	}
	behind := s.queuedAhead(req) + 1 - all.free
	switch {
	case !found || behind <= 0:
		return 0
	case all.perSecond > 0:
		wait := time.Duration(float64(behind-1) / all.perSecond * float64(time.Second))
		return min(all.ends, all.next+wait)
	case all.ends < math.MaxInt64:
		return all.ends
	default:
		// The share of the instance allows nothing until its rank changes.
		return serverlimit.Span
	}
}

// nextPlace returns the time until the rate of a cold or limited server allows a request like
// req that it does not allow now; math.MaxInt64 if there is none.
func (s *Scheduler) nextPlace(now time.Duration, req Request) time.Duration {
	next := time.Duration(math.MaxInt64)
	if !s.anyPaced(now) {
		return next
	}
	for _, sv := range s.listedServers {
		p, paced := s.pace(now, sv, req)
		if !paced || p.free > 0 {
			continue
		}
		next = min(next, p.ends)
		if p.perSecond > 0 {
			next = min(next, p.next)
		}
	}
	return next
}

// refusedByAloneShare reports whether no server was found for req, perhaps, because of the lower
// share of cold and limited servers for requests that an instance decides on alone. Other
// requests may still be granted.
func (s *Scheduler) refusedByAloneShare(now time.Duration, req Request) bool {
	return req.Alone && s.anyPaced(now)
}

// RestartShares lets the instance's shares of the rates of cold servers and of the limits of
// others begin anew: nothing is granted to these servers until the delay of a larger share has
// passed.
func (s *Scheduler) RestartShares() {
	s.cold.deciderShare, s.cold.aloneShare, s.cold.changed = ratelimit.Share{}, ratelimit.Share{}, true
	s.limitShares = limitShares{
		changed: true,
	}
}
