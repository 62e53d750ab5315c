// Package coldstart holds for how long servers that have started recently are cold, and at
// which rate cold servers get requests.
//
// Load pattern: a server that has just started, or has been without work, runs far fewer
// requests a second than usual and crashes when it gets more. It is also the emptiest
// server of its service, so placement by load sends it a burst. Instances that decide
// without contact with one another would each send it one. Package ratelimit counts the
// requests and divides the rate among the instances.
package coldstart

// This file defines Period.

import (
	"time"

	"camphorspoke/internal/routing/ratelimit"
)

const (
	// Window is the length of the sliding window in which grants are counted. It is longer
	// than the second to which the limit applies, since the time from a grant to the
	// arrival at the server differs between requests.
	Window = 1100 * time.Millisecond
	// MaxPeriod is the longest cold period. A longer one counts as this long, so that a
	// wrong value does not slow a server down for good.
	MaxPeriod = 10 * time.Minute
)

// Allowance returns what a cold server gets at a rate, in requests a second. A rate below one
// allows none.
func Allowance(perSecond float64) ratelimit.Allowance {
	return ratelimit.PerWindow(perSecond, Window)
}

// Period is the cold period of one server. The zero value is that of a warm server. It is not
// safe for concurrent use.
type Period struct {
	until time.Duration
}

// Begin records that the server is cold for a time from now on. It does not shorten a
// period in force. It reports whether the server was warm before.
func (p *Period) Begin(now, period time.Duration) bool {
	if period <= 0 {
		return false
	}
	warm := !p.Cold(now)
	p.until = max(p.until, now+min(period, MaxPeriod))
	return warm
}

// Cold reports whether the server is cold.
func (p *Period) Cold(now time.Duration) bool { return now < p.until }

// Left returns how much is left of the cold period; zero if the server is warm.
func (p *Period) Left(now time.Duration) time.Duration { return max(p.until-now, 0) }
