package scheduler

// This file defines how the speed of servers enters the cost of placing a request there.
//
// Load pattern: servers are slow for some hundred milliseconds, several times a minute or
// several times a second. A request that is placed on a slow server is late, while the
// others have room. A server states how long work takes with its responses; for a plain
// service whose servers do not, the times of its requests show it.

import (
	"math"
	"time"
)

// usualWeight is the weight of one request in the usual time of a service.
const usualWeight = 0.01

// usualTime is the mean time of the requests of a service. The zero value has none.
type usualTime struct {
	// level is the mean of the logarithm of the times in seconds, over count requests or
	// about the last 1/usualWeight of them.
	level float64
	count int
}

// ratio counts the time of a request and returns it as a multiple of the usual one.
func (u *usualTime) ratio(elapsed time.Duration) float64 {
	level := math.Log(elapsed.Seconds())
	u.count++
	u.level += (level - u.level) * max(usualWeight, 1/float64(u.count))
	return math.Exp(level - u.level)
}

// prediction is what is known at the grant about the time that a request takes.
type prediction struct {
	// stated is the logarithm of the factor of the server, if it states its speed.
	stated float64
	// work is the work ahead of the response: tokens, or requests for each slot.
	work float64
	// valid is true if the server states its speed.
	valid bool
}

// slowness returns by how much longer work is expected to take on a server than usual.
func (s *Scheduler) slowness(now time.Duration, sv *server) float64 {
	factor := sv.speed.Factor(now)
	if factor == 1 || !sv.speed.States(now) {
		return factor
	}
	return math.Pow(factor, s.calibration.Trust())
}

// predict records what is known about the time of a request before it counts as granted.
func (s *Scheduler) predict(now time.Duration, g *grant) {
	sv := g.server
	if !sv.speed.States(now) {
		return
	}
	g.prediction = prediction{
		stated: math.Log(sv.speed.Factor(now)),
		work:   max(float64(sv.load(now)+1)/float64(sv.slots), 1),
		valid:  true,
	}
	if s.svc.Engine {
		g.prediction.work = float64(g.missTokens+max(sv.pendingTokens, 0)) + runningCostTokens*float64(sv.load(now)+1)
	}
}

// recordSpeed takes how long work takes on a server from a report on one of its requests.
func (s *Scheduler) recordSpeed(now time.Duration, g *grant, r Report) {
	g.server.speed.Observe(now, r.WorkPercent)
	ends := r.Event == Done
	if s.svc.Engine {
		ends = r.Event == Started && !g.started && len(g.request.Parts) > 0
	}
	elapsed := now - g.grantedAt
	if !ends || elapsed <= 0 {
		return
	}
	if p := g.prediction; p.valid {
		s.calibration.Observe(p.stated, math.Log(elapsed.Seconds()/p.work))
	}
	if !s.svc.Engine {
		g.server.speed.ObserveDuration(now, s.usualTime.ratio(elapsed))
	}
}
