package hedge

// This file defines Estimator.

import (
	"math"
	"sync"
	"time"
)

const (
	// shortest is the upper bound of the first bucket of a histogram. Each further bucket
	// is wider than the one before by the factor 2^(1/bucketsPerDoubling).
	shortest           = time.Millisecond
	bucketsPerDoubling = 6
	// bucketCount buckets reach up to 65 s.
	bucketCount = 16*bucketsPerDoubling + 1
	// halvingCount is the number of recorded times after which all counts are halved, so
	// that older times count less.
	halvingCount = 512
	// minTimes is the number of recorded times below which nothing is estimated.
	minTimes = 30
)

// Estimator holds the distribution of the recent times until a response began (its header, or
// the first event of a stream) by route. The zero value is empty and ready to use.
type Estimator struct {
	mu         sync.Mutex
	histograms map[string]*histogram
}

// histogram counts recent times in buckets of exponentially growing width.
type histogram struct {
	counts [bucketCount]float64
	total  float64
	// sinceHalving is the number of times recorded since the counts were halved.
	sinceHalving int
}

// Times describes the distribution of recent times by three of its quantiles.
type Times struct {
	// Median is a usual time. Late is exceeded by the given share of the times, Longest by
	// next to none.
	Median  time.Duration
	Late    time.Duration
	Longest time.Duration
}

// longestQuantile is the quantile that counts as the longest usual time.
const longestQuantile = 0.995

// Observe records a time. A response that was not waited for is recorded with the time for
// which it was: leaving it out would make the times appear shorter than they are.
func (e *Estimator) Observe(key string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.histograms == nil {
		e.histograms = make(map[string]*histogram)
	}
	h := e.histograms[key]
	if h == nil {
		h = &histogram{}
		e.histograms[key] = h
	}
	h.observe(d)
}

// Times returns the distribution of recent times, Late being exceeded by a share of them. It
// returns false while too few are known.
func (e *Estimator) Times(key string, share float64) (Times, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.histograms[key]
	if h == nil || h.total < minTimes {
		return Times{}, false
	}
	return Times{
		Median:  h.quantile(0.5),
		Late:    h.quantile(1 - share),
		Longest: h.quantile(longestQuantile),
	}, true
}

func (h *histogram) observe(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	h.sinceHalving++
	if h.sinceHalving < halvingCount {
		return
	}
	h.sinceHalving, h.total = 0, h.total/2
	for i := range h.counts {
		h.counts[i] /= 2
	}
}

// quantile returns the upper bound of the bucket that holds a quantile.
func (h *histogram) quantile(q float64) time.Duration {
	sum := 0.0
	for i, n := range h.counts {
		sum += n
		if sum >= q*h.total && n > 0 {
			return bucketBound(i)
		}
	}
	return bucketBound(bucketCount - 1)
}

// bucketOf returns the index of the bucket of a time.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(shortest))))
	return min(i, bucketCount-1)
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(i)/bucketsPerDoubling))
}
