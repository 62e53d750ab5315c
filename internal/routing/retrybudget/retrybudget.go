// Package retrybudget limits the number of retries of a service.
//
// When servers fail under load, retries multiply the load that made them fail.
// In each sliding window, a service gets at most Ratio retries for each request,
// plus Slack. The window is divided into buckets and slides by one bucket at a time.
package retrybudget

// This file defines Budget.

import "time"

// bucketCount is the number of buckets in a window.
const bucketCount = 20

// Budget counts the requests and retries of one service. It is not safe for concurrent
// use.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed regardless of the number of requests.
	Slack float64

	requests [bucketCount]int
	retries  [bucketCount]int
	// current is the number of the current bucket, counted from time zero; modulo
	// bucketCount it is the index.
	current int64
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	at := int64(now / (b.Window / bucketCount))
	if at-b.current >= bucketCount {
		b.requests, b.retries = [bucketCount]int{}, [bucketCount]int{}
	} else {
		for i := b.current + 1; i <= at; i++ {
			b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0
		}
	}
	b.current = max(at, b.current)
}

// RecordRequest counts a request that is not a retry.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.current%bucketCount]++
}

// TrySpend counts a retry if the budget allows it, and returns false otherwise.
func (b *Budget) TrySpend(now time.Duration) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.Ratio*float64(requests)+b.Slack {
		return false
	}
	b.retries[b.current%bucketCount]++
	return true
}
