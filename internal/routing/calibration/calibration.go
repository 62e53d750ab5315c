// Package calibration measures how far figures that are stated in advance agree with what is
// observed afterwards.
//
// Load pattern: servers state how long work takes on them. Figures that arrive seconds late,
// or that mean something else than expected, are no better than chance. Requests that are
// placed by them move load to and fro and end up slower than without any figures.
package calibration

// This file defines Calibration.

const (
	// weight is the weight of the latest observation, so that about the last 1/weight count.
	weight = 1.0 / 300
	// prior is what both sums start from: figures are trusted until observations
	// show otherwise.
	prior = 0.02
	// floor is added to both sums: while all figures are equal they show nothing, and
	// are trusted.
	floor = 0.002
)

// Calibration measures the slope of what is observed over what was stated; the zero value
// trusts the figures. It is not safe for concurrent use.
type Calibration struct {
	observed bool
	// covariance is the mean of the product of a figure and what is observed, variance that
	// of the square of the figure, both around the means.
	covariance, variance   float64
	meanStated, meanActual float64
}

// Observe records a figure and the value that turned out, both as logarithms.
func (c *Calibration) Observe(stated, actual float64) {
	if !c.observed {
		c.observed = true
		c.covariance, c.variance = prior, prior
		c.meanActual = actual
	}
	c.meanStated += (stated - c.meanStated) * weight
	c.meanActual += (actual - c.meanActual) * weight
	stated -= c.meanStated
	c.covariance += (stated*(actual-c.meanActual) - c.covariance) * weight
	c.variance += (stated*stated - c.variance) * weight
}

// Trust returns how much of a figure is to be used, from 0 to 1.
func (c *Calibration) Trust() float64 {
	return min(max((c.covariance+floor)/(c.variance+floor), 0), 1)
}
