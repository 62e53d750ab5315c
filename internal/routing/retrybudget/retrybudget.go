// Package retrybudget limits the number of retries of a service.
//
// When servers fail under load, retries multiply the load that made them fail.
// In each sliding window, a service gets at most Ratio retries for each request,
// plus Slack. The requests of a window are those in it, in the window before it or in the one half a
// window before it, whichever are most, and never more than those in the last window. Time is
// divided into buckets. Where a window begins within a bucket, the retries of that bucket are
// counted and its requests are not, so that no window of any position gets more.
package retrybudget

// This file defines Budget.

import "time"

const (
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
	// keptBuckets are those of a window that has begun in the bucket before the last bucketCount
	// ones, and of the window before it.
	keptBuckets = 2*bucketCount + 1
)

// Budget counts the requests and retries of one service. It is not safe for concurrent
// use.
type Budget struct {
	// Window is the length of the sliding window.
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

// advance clears the buckets that have left the window.
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
	// requests[i] and retries[i] are the sums before the i-th kept bucket, the oldest first.
	var requests, retries [keptBuckets + 1]int
	for i := range keptBuckets {
		at := (b.current + 1 + int64(i)) % keptBuckets
		requests[i+1] = requests[i] + b.requests[at]
		retries[i+1] = retries[i] + b.retries[at]
	}
	const half = bucketCount / 2
	last := requests[keptBuckets] - requests[keptBuckets-bucketCount]
	for begin := bucketCount; begin < keptBuckets; begin++ {
		within := requests[keptBuckets] - requests[begin+1]
		before := requests[begin] - requests[begin+1-bucketCount]
		halfBefore := requests[min(begin+half, keptBuckets)] - requests[begin+1-half]
		counted := min(max(within, before, halfBefore), last)
		if float64(retries[keptBuckets]-retries[begin]+1) > b.Ratio*float64(counted)+b.Slack {
			return false
		}
	}
	b.retries[b.current%keptBuckets]++
	return true
}
