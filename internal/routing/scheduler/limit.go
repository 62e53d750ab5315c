package scheduler

// This file defines the limit on the load of one server.

import (
	"math"
	"time"
)

const (
	// boundSlack is added to the load bound, in requests, so that a handful of
	// requests on an otherwise idle service does not count as an imbalance.
	boundSlack = 2.3
	// boundFraction is the fraction of Service.LoadBound up to which servers are loaded.
	boundFraction = 0.9
	// maxLimitAge is how long the load limit of a large service is used, and how long
	// its servers count as full if no request ends.
	maxLimitAge = 10 * time.Millisecond
)

// loadLimit is the number of requests that one server may run, and the number of servers
// over which the mean load behind it was taken.
type loadLimit struct {
	requests float64
	servers  int
}

// currentLimit returns the load limit. In a large service it may be maxLimitAge old.
func (s *Scheduler) currentLimit(now time.Duration) loadLimit {
	if s.index == nil {
		return s.newLimit(now)
	}
	if now-s.limitAt >= maxLimitAge {
		s.limit, s.limitAt = s.newLimit(now), now
	}
	return s.limit
}

// limitAmongHealthy returns the load limit that follows from the servers that are not
// ejected.
func (s *Scheduler) limitAmongHealthy(now time.Duration) float64 {
	return s.limitOver(now, func(sv *server) bool { return !sv.ejected(now) }).requests
}

// limitAmongAvailable returns a load limit derived from the mean load of the servers that
// are not ejected and may take req. It keeps their loads even while the others reject
// requests.
func (s *Scheduler) limitAmongAvailable(now time.Duration, req Request) float64 {
	sum, n := 1, 0
	for _, sv := range s.listedServers {
		if sv.eligible(now, req) && !sv.ejected(now) && sv.load(now) < s.maxGrants(sv) && s.hasMemory(sv, req) {
			sum += sv.load(now)
			n++
		}
	}
	return float64(sum)/float64(max(n, 1)) + 1
}

// newLimit returns the load limit, derived from the mean load of the accepting servers
// with the new request included. Ejected servers count: each may be up, and a mean over
// the others would let them take the load of all. Only requests that are known to be on
// a server count.
func (s *Scheduler) newLimit(now time.Duration) loadLimit {
	return s.limitOver(now, func(*server) bool { return true })
}

// limitOver returns the load limit derived from the mean load of the accepting servers
// that are included.
func (s *Scheduler) limitOver(now time.Duration, included func(*server) bool) loadLimit {
	sum, n := 1, 0
	for _, sv := range s.listedServers {
		if sv.accepting && included(sv) {
			sum += sv.knownLoad(now)
			n++
		}
	}
	if n == 0 {
		return loadLimit{}
	}
	return loadLimit{
		requests: math.Max(1, s.svc.LoadBound*boundFraction)*float64(sum)/float64(n) + boundSlack,
		servers:  n,
	}
}
