// Package retrybudget limits the number of retries of a service.
//
// When servers fail under load, retries multiply the load that made them fail.
// In each sliding window, a service gets at most Ratio retries for each request,
// plus Slack. Time is divided into buckets, so that the window slides by one bucket at a time. Of
// the oldest bucket a part has left the window: its retries are still counted, its requests no
// longer, so that no window of any position gets more.
package retrybudget

// This file defines Budget.

import "time"

const (
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
	// keptBuckets also includes the one of which a part has left the window.
	keptBuckets = bucketCount + 1
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
	requests, retries := 0, 0
	for i := range b.retries {
		retries += b.retries[i]
		requests += b.requests[i]
	}
	// The oldest bucket follows the current one.
	requests -= b.requests[(b.current+1)%keptBuckets]
	if float64(retries+1) > b.Ratio*float64(requests)+b.Slack {
		return false
	}
	b.retries[b.current%keptBuckets]++
	return true
}
