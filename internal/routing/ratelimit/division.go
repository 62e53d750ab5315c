package ratelimit

// This file defines Division and Share.

import (
	"cmp"
	"time"
)

const (
	// secondShare is the fraction that the second instance in the order of deciders uses
	// of what the limit leaves above the rate.
	secondShare = 0.5
	// othersShare is the fraction of the rest that the other instances divide among
	// themselves as deciders, and again the fraction that all instances divide for the
	// requests on which each decides alone.
	othersShare = 0.4
	// defaultDelay is the time until an instance uses a larger share. Instances see a change
	// of the order of deciders up to about a second after one another, and the grants of
	// the instance that had the share before stay in a window of a second for another one.
	defaultDelay = 2 * time.Second
)

// Division divides the rate of a server among the instances that may decide.
type Division struct {
	// Rate is the number of requests that the server can take in a unit of time.
	Rate float64
	// Overage and Slack give the limit over all instances in any such time: Overage times
	// Rate, plus Slack. An Overage below one counts as one.
	Overage float64
	Slack   float64
}

// above returns what the limit leaves above the rate.
func (d Division) above() float64 {
	return max(d.Overage-1, 0)*d.Rate + max(d.Slack, 0)
}

// Decider returns the rate of an instance that decides for all instances, by its position
// in the order of deciders, counted from zero.
func (d Division) Decider(rank, instances int) float64 {
	switch rank {
	case 0:
		return d.Rate
	case 1:
		return secondShare * d.above()
	default:
		return d.Alone(instances)
	}
}

// Alone returns the rate of an instance that decides for its own requests only.
func (d Division) Alone(instances int) float64 {
	return othersShare * (1 - secondShare) * d.above() / float64(max(instances, 1))
}

// Share holds the rate that an instance uses. A lower rate applies at once, a higher one
// after Delay. The zero value allows nothing.
type Share struct {
	// Delay is the time until a higher rate applies; zero is 2 s.
	Delay time.Duration

	rate float64
	next float64
	// raiseAt is when next applies, if it is higher than rate.
	raiseAt time.Duration
}

// Set sets the rate.
func (s *Share) Set(now time.Duration, rate float64) {
	current := s.Rate(now)
	switch {
	case rate <= current:
		s.rate, s.next = rate, rate
	case rate != s.next:
		s.rate, s.next, s.raiseAt = current, rate, now+cmp.Or(s.Delay, defaultDelay)
	}
}

// Rate returns the rate that applies now.
func (s *Share) Rate(now time.Duration) float64 {
	if s.next > s.rate && now >= s.raiseAt {
		return s.next
	}
	return s.rate
}

// RaiseIn returns the time until a higher rate applies; zero if none was set.
func (s *Share) RaiseIn(now time.Duration) time.Duration {
	if s.next <= s.rate {
		return 0
	}
	return max(s.raiseAt-now, 0)
}
