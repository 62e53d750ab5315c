// Package ratelimit limits the rate of requests to one server over all instances, without
// contact between them.
//
// Load patterns: a server that has just started crashes above a rate far below its usual one
// (package coldstart), and an overloaded server names the rate that it takes from all instances
// together (package serverlimit). Requests are granted by the decider of a service, but while
// it is lost or the order of deciders changes, any number of instances may grant some.
//
// A Limiter counts the requests granted to one server in a sliding window. A Division gives
// each instance its share of the rate, so that the sum over all instances stays within the
// limit. A Share delays the use of a larger share.
package ratelimit

// This file defines Limiter.

import (
	"slices"
	"time"
)

const (
	// MaxWindow is the longest window of an Allowance.
	MaxWindow = 5 * time.Second
	// maxGrants is the number of grants that a Limiter holds.
	maxGrants = 1000
)

// Allowance is the largest number of grants in a sliding window; PerWindow returns one. The
// zero value allows none.
type Allowance struct {
	Grants int
	Window time.Duration
}

// PerWindow returns an allowance of grants, rounded down, in each window. More than maxGrants
// are counted in a window that is shorter by as much.
func PerWindow(grants float64, window time.Duration) Allowance {
	if grants > maxGrants {
		window = time.Duration(float64(window) * maxGrants / grants)
	}
	return Allowance{
		Grants: int(max(min(grants, maxGrants), 0)),
		Window: window,
	}
}

// PerSecond returns the rate of the allowance, in grants a second.
func (a Allowance) PerSecond() float64 {
	if a.Grants == 0 {
		return 0
	}
	return float64(a.Grants) / a.Window.Seconds()
}

// Limiter holds the latest grants of one server. The zero value has none. It is not safe for
// concurrent use.
type Limiter struct {
	// grants holds the times of the grants that may lie in a window, the earliest first.
	grants []time.Duration
}

// Record counts a grant. Grants to a server without a limit are counted too, as one may apply
// shortly after them.
func (l *Limiter) Record(now time.Duration) {
	out := max(l.before(now, MaxWindow), len(l.grants)-maxGrants+1)
	l.grants = append(slices.Delete(l.grants, 0, out), now)
}

// Clone returns a limiter with the same grants.
func (l *Limiter) Clone() Limiter {
	return Limiter{
		grants: slices.Clone(l.grants),
	}
}

// before returns the number of grants that have left the window.
func (l *Limiter) before(now, window time.Duration) int {
	n, _ := slices.BinarySearch(l.grants, now-window+1)
	return n
}

// Places returns how many more grants are allowed now.
func (l *Limiter) Places(now time.Duration, a Allowance) int {
	return max(a.Grants-(len(l.grants)-l.before(now, a.Window)), 0)
}

// Wait returns the time until one more grant is allowed; false if none ever is.
func (l *Limiter) Wait(now time.Duration, a Allowance) (time.Duration, bool) {
	if a.Grants == 0 {
		return 0, false
	}
	if a.Grants > len(l.grants) {
		return 0, true
	}
	return max(l.grants[len(l.grants)-a.Grants]+a.Window-now, 0), true
}
