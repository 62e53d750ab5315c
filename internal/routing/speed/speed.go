// Package speed estimates how long work takes on a server at this moment, relative to the
// usual time.
//
// Load pattern: servers slow down and recover several times a second, for some hundred
// milliseconds each. They state the time of their work in percent of the usual one, or their
// requests show it. A figure is true when it is made and says little a second later, when
// the server is as likely in either state as on average. So the latest figure counts less
// the older it is, and the mean of the server's own figures takes its place. The mean in
// turn returns to the usual time while there are no figures.
//
// Times of single requests differ also on a server whose speed does not change. They are
// averaged over the last few, and count only as far as that average differs from the usual
// time by more than chance explains, so that equal servers count as equal.
package speed

// This file defines Estimator.

import (
	"math"
	"time"
)

// MinFactor and MaxFactor bound the factor, so that no figure attracts or repels more than a
// few times the usual share of requests.
const (
	MinFactor = 0.5
	MaxFactor = 4.0
)

const (
	// latestHalfLife is the age at which the latest figure counts half.
	latestHalfLife = 250 * time.Millisecond
	// meanHalfLife is the half-life of figures in the mean of the server.
	meanHalfLife = 2 * time.Second
	// maxMeanWeight is the largest weight of one figure in the mean.
	maxMeanWeight = 0.25
	// After meanTTL without figures the mean returns to the usual time, by half in every
	// meanDecay.
	meanTTL   = time.Second
	meanDecay = 2 * time.Second
	// durationWeight is the weight of the latest request's time in the average of the last
	// few.
	durationWeight = 0.25
	// scatterWeight is the weight of the latest request in the scatter, the mean difference
	// between the times of two successive requests. chance is the part of it by which the
	// average of the last few may differ from the usual time by chance.
	scatterWeight = 0.05
	chance        = 0.6
	// figureTTL is for how long times of requests are not used after a server has stated
	// its own figure.
	figureTTL = 10 * time.Second
)

// Estimator estimates the time of work on one server. The zero value has no figures, and
// its factor is 1. It is not safe for concurrent use.
//
// The figures are kept as logarithms, so that twice and half the usual time weigh the same.
type Estimator struct {
	// latest is the latest figure, made at latestAt, and mean the mean as of that time.
	latest   float64
	latestAt time.Duration
	mean     float64
	// statedAt is when the server stated its own figure last, if stated is true.
	stated   bool
	statedAt time.Duration
	// average is the average over the times of the last few requests, previous the time
	// of the last one, and scatter the mean difference between two in succession.
	average  float64
	previous float64
	scatter  float64
	timed    bool
}

// Observe records that the server stated how long work takes, in percent of the usual time.
// A value of zero or less is none.
func (e *Estimator) Observe(now time.Duration, percent int) {
	if percent <= 0 {
		return
	}
	e.stated, e.statedAt = true, now
	e.timed = false
	e.record(now, bounded(math.Log(float64(percent)/100)))
}

// ObserveDuration records the time that a request took, as a multiple of the usual time. It is
// not used while the server states its own figure.
func (e *Estimator) ObserveDuration(now time.Duration, elapsed float64) {
	if !(elapsed > 0) || e.States(now) {
		return
	}
	level := bounded(math.Log(elapsed))
	if !e.timed {
		e.timed, e.previous, e.average = true, level, 0
		// With one time there is no difference yet.
		e.scatter = math.Abs(level)
	}
	e.scatter += (math.Abs(level-e.previous) - e.scatter) * scatterWeight
	e.average += (level - e.average) * durationWeight
	e.previous = level
	excess := max(math.Abs(e.average)-chance*e.scatter, 0)
	e.record(now, math.Copysign(excess, e.average))
}

// States reports whether the server has stated its own figure recently.
func (e *Estimator) States(now time.Duration) bool {
	return e.stated && now-e.statedAt < figureTTL
}

// record makes a figure the latest one.
func (e *Estimator) record(now time.Duration, level float64) {
	weight := min(1-halving(now-e.latestAt, meanHalfLife), maxMeanWeight)
	e.mean = e.meanAt(now)
	e.mean += (level - e.mean) * weight
	e.latest, e.latestAt = level, now
}

// Factor returns by how much longer work is expected to take on the server than usual: 1 is
// the usual time.
func (e *Estimator) Factor(now time.Duration) float64 {
	if e.latest == 0 && e.mean == 0 {
		return 1
	}
	mean := e.meanAt(now)
	level := mean + (e.latest-mean)*halving(now-e.latestAt, latestHalfLife)
	return min(max(math.Exp(level), MinFactor), MaxFactor)
}

// meanAt returns the mean as of a time.
func (e *Estimator) meanAt(now time.Duration) float64 {
	return e.mean * halving(now-e.latestAt-meanTTL, meanDecay)
}

// bounded bounds a logarithm to the range of the factor.
func bounded(level float64) float64 {
	return min(max(level, math.Log(MinFactor)), math.Log(MaxFactor))
}

// halving returns what is left of 1 after an age, at a half-life.
func halving(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
