// Package hedge decides whether and when a copy of a request is sent to another server while
// the first one has not begun its response.
//
// Load patterns that it handles:
//
//   - A server that hangs or stalls, or that is slow for a while: a request that has waited
//     longer than nearly all recent ones gets a copy, and the first response is used.
//   - Times that vary a little, or that are long for many requests: a copy would respond no
//     sooner than the first server. The delay is then beyond the longest usual time, so that
//     copies are sent for unusual requests only.
//   - A service whose times rise as a whole: the delay follows them. The times of requests
//     that were answered by their copy are recorded too, as far as they are known.
//
// The scheduler grants copies only while slots are free, keeps the budgets of hedges and
// retries, and ejects servers whose requests are answered by copies.
package hedge

// This file defines Policy and its decisions.

import "time"

// minDelay is the least delay of a copy. Below it, copies would be sent for delays of the
// network and of this process.
const minDelay = 5 * time.Millisecond

// Policy limits the hedged requests of a service. The zero value allows none.
type Policy struct {
	// Share is the largest share of requests that may get a copy, from 0 to 1.
	Share float64
}

// Enabled reports whether any request may get a copy.
func (p Policy) Enabled() bool { return p.Share > 0 }

// Delay returns how long a request waits for a response before a copy pays. It is the time
// that a share of the requests exceeds which is as large as the budget, so that the budget is
// spent on the latest of them. If a copy sent then would, at the usual time, respond later
// than the longest usual time, only a request that exceeds the latter gets one.
func (p Policy) Delay(t Times) time.Duration {
	if t.Longest <= t.Late+t.Median {
		return max(t.Longest, minDelay)
	}
	return max(t.Late, minDelay)
}

// Verdict is the decision on a copy of one request.
type Verdict int

const (
	// Send means that the copy may be sent.
	Send Verdict = iota
	// Disabled means that the service has no hedging.
	Disabled
	// NotRepeatable means that the request may run once only.
	NotRepeatable
	// NoAttempts means that the copy would exceed the attempts of the route.
	NoAttempts
	// ResponseBegun means that the caller has a part of a response.
	ResponseBegun
	// CallerGone means that nobody waits for the response.
	CallerGone
	// DeadlineNear means that the copy is not likely to respond before the deadline.
	DeadlineNear
)

// Request is the state of a request that has no response yet.
type Request struct {
	// Repeatable is true if the request may run more than once, by the rules in force.
	Repeatable bool
	// Runs counts the servers at which the request may have run, the attempt in progress
	// included. Attempts is the most that are allowed.
	Runs     int
	Attempts int
	// ResponseBegun is true once the caller has received a part of a response.
	ResponseBegun bool
	CallerGone    bool
	// Left is the time until the deadline.
	Left time.Duration
}

// Decide decides on a copy that would take the usual time.
func (p Policy) Decide(r Request, t Times) Verdict {
	switch {
	case !p.Enabled():
		return Disabled
	case !r.Repeatable:
		return NotRepeatable
	case r.Runs >= r.Attempts:
		return NoAttempts
	case r.ResponseBegun:
		return ResponseBegun
	case r.CallerGone:
		return CallerGone
	case r.Left <= t.Median:
		return DeadlineNear
	default:
		return Send
	}
}
