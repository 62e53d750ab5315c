// Package retrybudget bounds how often requests are sent once more.
//
// Load pattern: servers fail while all callers repeat; sending again would
// multiply the load that broke them. In each window, a service gets at most
// Ratio repeats a request and Slack more. The window slides in buckets.
package retrybudget

// This file defines Budget.

import "time"

const buckets = 20

// Budget counts the requests and repeats of one service.
type Budget struct {
	// Window is the span over which the bound holds.
	Window time.Duration
	Ratio  float64
	// Slack is allowed whatever the number of requests.
	Slack float64

	requests [buckets]int
	repeats  [buckets]int
	at       int64
}

// advance drops the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	at := int64(now / (b.Window / buckets))
	if at-b.at >= buckets {
		b.requests, b.repeats = [buckets]int{}, [buckets]int{}
	} else {
		for i := b.at + 1; i <= at; i++ {
			b.requests[i%buckets], b.repeats[i%buckets] = 0, 0
		}
	}
	b.at = max(at, b.at)
}

// Request notes a request of a caller.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.at%buckets]++
}

// Spend takes one repeat; false when none is left.
func (b *Budget) Spend(now time.Duration) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+b.Slack {
		return false
	}
	b.repeats[b.at%buckets]++
	return true
}
