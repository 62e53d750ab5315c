package membership

// This file defines how an instance reports the rate of its requests, and what the
// leader derives from the rates of all.

import (
	"time"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// minRateSpan is the shortest time over which a rate is measured.
const minRateSpan = 200 * time.Millisecond

// requestRate measures the rate of requests from a running count.
type requestRate struct {
	at    time.Duration
	count uint64
	rate  float64
}

// measure returns the rate in requests per second since the measurement before, or
// that rate again if it is too recent. count is the number of requests so far.
func (r *requestRate) measure(now time.Duration, count uint64) float64 {
	span := now - r.at
	if span < minRateSpan {
		return r.rate
	}
	r.rate = float64(count-r.count) / span.Seconds()
	r.at, r.count = now, count
	return r.rate
}

// setWorkingSets records the sizes from a heartbeat answer. A leader that does not know
// them yet sends none, and the former ones stay. The caller holds mu.
func (a *Agent) setWorkingSets(sets []*pb.WorkingSet) {
	if len(sets) == 0 {
		return
	}
	a.workingSets = make(map[string]int, len(sets))
	for _, s := range sets {
		a.workingSets[s.GetFailureDomain()] = int(s.GetSize())
	}
}

// WorkingSet returns the number of instances that the directory should name to the
// callers of a failure domain; zero if it is unknown.
func (a *Agent) WorkingSet(failureDomain string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.workingSets[failureDomain]
}
