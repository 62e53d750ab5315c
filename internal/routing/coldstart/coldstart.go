// Package coldstart limits the rate of requests to servers that have started recently.
//
// Load pattern: a server that has just started, or has been without work, runs far fewer
// requests a second than usual and crashes when it gets more. It is also the emptiest
// server of its service, so placement by load sends it a burst. Instances that decide
// without contact with one another would each send it one.
//
// A Limiter counts the requests granted to one server and knows until when the server is
// cold. A Division gives each instance its share of the rate, so that the sum over all
// instances stays within the limit. A Share delays the use of a larger share.
package coldstart

// This file defines Limiter.

import (
	"slices"
	"time"
)

const (
	// Window is the length of the sliding window in which grants are counted. It is longer
	// than the second to which the limit applies, since the time from a grant to the
	// arrival at the server differs between requests.
	Window = 1100 * time.Millisecond
	// MaxPeriod is the longest cold period. A longer one counts as this long, so that a
	// wrong value does not slow a server down for good.
	MaxPeriod = 10 * time.Minute
	// maxRate is the largest rate that is enforced, in grants per Window. It bounds the
	// memory of a Limiter.
	maxRate = 1000
)

// Limiter holds the cold period of one server and its latest grants. The zero value is
// that of a warm server without grants. It is not safe for concurrent use.
type Limiter struct {
	until time.Duration
	// grants holds the times of the grants that may lie in the window, the earliest first.
	grants []time.Duration
}

// Begin records that the server is cold for a time from now on. It does not shorten a
// period in force. It reports whether the server was warm before.
func (l *Limiter) Begin(now, period time.Duration) bool {
	if period <= 0 {
		return false
	}
	warm := !l.Cold(now)
	l.until = max(l.until, now+min(period, MaxPeriod))
	return warm
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold(now time.Duration) bool { return now < l.until }

// Left returns how much is left of the cold period; zero if the server is warm.
func (l *Limiter) Left(now time.Duration) time.Duration { return max(l.until-now, 0) }

// Record counts a grant. Grants to a warm server are counted too, as the server may be
// found to be cold shortly after them.
func (l *Limiter) Record(now time.Duration) {
	out := l.expired(now)
	if len(l.grants)-out >= maxRate {
		out = len(l.grants) - maxRate + 1
	}
	l.grants = append(slices.Delete(l.grants, 0, out), now)
}

// expired returns the number of grants that have left the window.
func (l *Limiter) expired(now time.Duration) int {
	n, _ := slices.BinarySearch(l.grants, now-Window+1)
	return n
}

// Places returns how many more grants a rate allows now. A rate below one allows none.
func (l *Limiter) Places(now time.Duration, rate float64) int {
	return max(places(rate)-(len(l.grants)-l.expired(now)), 0)
}

// Wait returns the time until a rate allows one more grant; false if it allows none.
func (l *Limiter) Wait(now time.Duration, rate float64) (time.Duration, bool) {
	n := places(rate)
	if n == 0 {
		return 0, false
	}
	if n > len(l.grants) {
		return 0, true
	}
	return max(l.grants[len(l.grants)-n]+Window-now, 0), true
}

// places returns the number of grants that a rate allows in a window.
func places(rate float64) int { return int(max(min(rate, maxRate), 0)) }
