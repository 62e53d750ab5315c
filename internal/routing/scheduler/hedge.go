package scheduler

// This file defines the decision on hedges: copies of requests that are still in progress at
// the servers in Request.Tried.
//
// Load pattern: a few servers are slow or hang, while the others have free slots. A copy uses
// one of these slots at once or is not sent: a queued copy, or one on a busy server, would
// delay other requests and respond no sooner than the first server. While the service as a
// whole is loaded, its slow responses come from the load, and copies would add to it. If
// copies answer the requests of a server again and again, it is ejected like one that breaks
// off responses: otherwise its low load would attract further requests.

import "time"

const (
	// maxHedgeOccupancy is the fraction of the service's slots in use from which on no hedge
	// is granted.
	maxHedgeOccupancy = 0.7
	// maxHedgeFailureRate is the failure rate from which on a server gets no hedge.
	maxHedgeFailureRate = 0.2
	// maxHedgeSlowness is by how much longer than usual work may take on a server that gets a
	// hedge.
	maxHedgeSlowness = 1.3
	// silentAfter is how long a request may be without a response before it counts as a
	// sign of a slow server, and maxSilentShare the fraction of the requests of a server that
	// may be.
	silentAfter    = 500 * time.Millisecond
	maxSilentShare = 0.5
)

// scheduleHedge grants a hedge a free slot at once or refuses it. A hedge spends the hedge
// budget and the retry budget.
func (s *Scheduler) scheduleHedge(now time.Duration, req Request) Decision {
	req.Retry, req.MayTry = true, false
	if d, refused := s.refuseQuarantined(now, req); refused {
		return d
	}
	if req.Alone || s.isBrittle || len(s.queue) > 0 || s.svc.HedgeShare <= 0 {
		return refuse(req, Hedge, 0)
	}
	sv := s.hedgeServer(now, req)
	if sv == nil || !s.hedges.TrySpend(now) || !s.withinBudget(now, req) {
		return refuse(req, Hedge, 0)
	}
	return s.grant(now, req, sv)
}

// hedgeServer returns the cheapest server that may run a hedge, or nil if there is none or
// the service is too loaded.
func (s *Scheduler) hedgeServer(now time.Duration, req Request) *server {
	load, slots, n := 0, 0, 0
	for _, sv := range s.listedServers {
		if sv.accepting && !sv.ejected(now) {
			load += sv.load(now)
			slots += sv.slots
			n++
		}
	}
	if n == 0 || float64(load+1) > maxHedgeOccupancy*float64(slots) {
		return nil
	}
	var best *server
	bestCost := 0.0
	for _, sv := range s.listedServers {
		if !sv.mayHedge(now, req) || sv.load(now)*n > load || s.slowness(now, sv) > maxHedgeSlowness || !s.hasMemory(sv, req) {
			continue
		}
		if c := s.cost(now, sv, req); best == nil || c < bestCost {
			best, bestCost = sv, c
		}
	}
	return best
}

// mayHedge reports whether a server has a free slot and no sign of being slow or failing.
func (sv *server) mayHedge(now time.Duration, req Request) bool {
	return sv.eligible(now, req) && !sv.ejected(now) && !sv.cold.period.Cold(now) && !sv.serverLimit.Named() &&
		sv.load(now) < sv.slots &&
		sv.failureRate(now) < maxHedgeFailureRate &&
		float64(sv.unstartedBefore(now-silentAfter)) <= maxSilentShare*float64(sv.running)
}

// recordHedgeWon counts a copy that has a response as a failure of the server that the request
// was sent to before, and ejects that one after several in a row.
func (s *Scheduler) recordHedgeWon(now time.Duration, g *grant, r Report) {
	if !r.HedgeWon || !g.request.Hedge || len(g.request.Tried) == 0 {
		return
	}
	if late := s.servers[g.request.Tried[len(g.request.Tried)-1]]; late != nil {
		late.recordBreak(now)
	}
}
