// Package retrybudget limits the number of retries of a service.
//
// When servers fail under load, retries multiply the load that made them fail.
// In each window, wherever it begins, a service gets at most Ratio retries for each
// request, plus Slack. The requests are those in the window, in the one before it or in
// the one that begins half a window earlier, whichever has most: retries follow the requests
// that failed, which may have been more than there are now.
//
// Requests and retries are counted in buckets. A window may begin anywhere in a bucket, so
// all retries of its first bucket count, and only the requests in whole buckets do.
package retrybudget

// This file defines Budget.

import "time"

const (
	// bucketCount is the number of buckets in a window. A window that begins within a
	// bucket extends over one more.
	bucketCount = 20
	halfCount   = bucketCount / 2
	// keptBuckets is the number of buckets that are kept: a window and the one before it.
	keptBuckets = 2*bucketCount + 1
)

// Budget counts the requests and retries of one service. It is not safe for concurrent
// use.
type Budget struct {
	// Window is the length of a window.
	Window time.Duration
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed regardless of the number of requests.
	Slack float64

	requests [keptBuckets]int
	retries  [keptBuckets]int
	// current is the number of the current bucket, counted from time zero; modulo
	// keptBuckets it is the index.
	current int64
}

// advance clears the buckets that are too old to be kept.
func (b *Budget) advance(now time.Duration) {
	at := int64(now / (b.Window / bucketCount))
	if at-b.current >= keptBuckets {
		b.requests, b.retries = [keptBuckets]int{}, [keptBuckets]int{}
	} else {
		for i := b.current + 1; i <= at; i++ {
			b.requests[i%keptBuckets], b.retries[i%keptBuckets] = 0, 0
		}
	}
	b.current = max(at, b.current)
}

// RecordRequest counts a request that is not a retry.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.current%keptBuckets]++
}

// TrySpend counts a retry if the budget allows it, and returns false otherwise.
func (b *Budget) TrySpend(now time.Duration) bool {
	b.advance(now)
	sums := b.requestSums()
	last := sums.between(bucketCount-1, 0)
	retries := 0
	for age := range bucketCount + 1 {
		retries += b.retries[b.index(age)]
		// At most the requests of the last window: while instances decide in turn, they
		// must not all use those of earlier ones.
		requests := min(sums.ofWindow(age), last)
		if float64(retries+1) > b.Ratio*float64(requests)+b.Slack {
			return false
		}
	}
	b.retries[b.current%keptBuckets]++
	return true
}

// index returns the index of the bucket that is the given number of buckets older than the
// current one.
func (b *Budget) index(age int) int64 {
	return (b.current - int64(age) + keptBuckets) % keptBuckets
}

// requestSums holds, for each age, the number of requests in the buckets up to that age.
type requestSums [keptBuckets]int

func (b *Budget) requestSums() *requestSums {
	var s requestSums
	sum := 0
	for age := range s {
		sum += b.requests[b.index(age)]
		s[age] = sum
	}
	return &s
}

// between returns the number of requests in the buckets from one age to a smaller one, both
// included; zero if there are none.
func (s *requestSums) between(oldest, newest int) int {
	oldest, newest = min(oldest, keptBuckets-1), max(newest, 0)
	switch {
	case oldest < newest:
		return 0
	case newest == 0:
		return s[oldest]
	default:
		return s[oldest] - s[newest-1]
	}
}

// ofWindow returns the number of requests that entitle to retries in a window that begins
// somewhere in the bucket of the given age: the most that are sure to be in it, in the one
// before it or in the one between them.
func (s *requestSums) ofWindow(age int) int {
	within := s.between(age-1, 0)
	before := s.between(age+bucketCount-1, age+1)
	middle := s.between(age+halfCount-1, age-halfCount+1)
	return max(within, before, middle)
}
