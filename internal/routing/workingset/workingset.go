// Package workingset chooses how many instances of a failure domain serve its callers.
//
// Load pattern: waves of load and sudden surges. With requests spread over all
// instances, an instance seldom meets a backend server twice while a connection to it is
// kept; with too few, a surge exceeds what they can take until callers have asked for
// new addresses. The set is sized by the rate of requests with a reserve, grows at once
// and shrinks late.
package workingset

// This file defines Sizer.

import (
	"math"
	"time"
)

const (
	// requestsPerInstance is the rate for which an instance of the working set is
	// planned, in requests per second. It leaves an instance most of its processor for
	// a surge that lasts until callers have asked for new addresses.
	requestsPerInstance = 25
	// reserveShare is the share by which the working set is larger than the present
	// rate needs.
	reserveShare = 0.25
	// MinSize is the smallest working set, so that the loss of some instances leaves
	// callers a choice.
	MinSize = 8
	// shrinkAfter is how long a working set keeps its size after the load has fallen.
	shrinkAfter = 20 * time.Second
)

// Sizer chooses the size of the working set of one failure domain. The zero value is
// ready to use.
type Sizer struct {
	size int
	// neededAt is when the present size was last needed.
	neededAt time.Duration
}

// Size returns the number of instances for the given rate, in requests per second. It
// grows at once, and shrinks only after the load has been lower for a while.
func (s *Sizer) Size(now time.Duration, rate float64) int {
	needed := max(int(math.Ceil((1+reserveShare)*rate/requestsPerInstance)), MinSize)
	if needed >= s.size || now-s.neededAt >= shrinkAfter {
		s.size, s.neededAt = needed, now
	}
	return s.size
}
