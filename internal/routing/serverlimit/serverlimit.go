// Package serverlimit holds the limits that servers name: how many requests a second a server
// takes from all instances together, for as long as it says so.
package serverlimit

// This file defines Statement.

import "time"

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
