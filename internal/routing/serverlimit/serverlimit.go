// Package serverlimit holds the limits that servers name: how many requests a second a server
// takes from all instances together, for as long as it says so.
//
// Load pattern: a server that runs part of what it usually does stays one of the emptiest of its
// service while it refuses or delays what it gets. Any number of instances may decide while the
// decider is lost, and each has to keep to a share of the limit of which the sum is allowed.
//
// A Limit keeps the newest statement of one server. A DelayedShare holds the share of an
// instance, from which the allowance of a ratelimit.Limiter follows.
package serverlimit

// This file defines Statement.

import (
	"math"
	"time"
)

// Statement is what a response says of the limit of its server. The zero value says nothing.
type Statement struct {
	// Known is true if the response names a limit, or if the server would have named one there.
	Known bool
	// Named is true if the server names a limit: PerSecond requests a second from all instances.
	Named     bool
	PerSecond float64
	// Age is how long ago the response was received.
	Age time.Duration
}

// valid reports whether the statement says something that can be. A limit that is no number or
// below zero says nothing.
func (s Statement) valid() bool {
	return s.Known && (!s.Named || s.PerSecond >= 0 && !math.IsInf(s.PerSecond, 1))
}
