// Package pushback records for how long a caller is asked to send nothing, in the
// manner of the Retry-After header.
//
// Load pattern: a server that is overloaded for some callers, or for all of them, turns
// their requests away and names the time after which it takes some again. Requests that
// are sent earlier are turned away too: each costs its own caller an attempt, and the
// server work that it has no room for.
package pushback

// This file defines Tracker.

import (
	"maps"
	"time"
)

// MaxPause is the longest pause that is kept. A longer one counts as this long, so that
// a wrong value does not exclude a server for good.
const MaxPause = 10 * time.Minute

// Tracker holds the pauses in force by key; the zero value has none. The key is the
// server that asked for a pause, or the instance that was asked. It is not safe for
// concurrent use.
type Tracker struct {
	// until holds, by key, the time at which the pause ends.
	until map[string]time.Duration
	// latest is the time at which the last pause ends.
	latest time.Duration
}

// Record records that a pause was asked for. It does not shorten one in force.
func (t *Tracker) Record(now time.Duration, key string, pause time.Duration) {
	if pause <= 0 {
		return
	}
	if t.until == nil {
		t.until = make(map[string]time.Duration)
	}
	maps.DeleteFunc(t.until, func(_ string, until time.Duration) bool { return until <= now })
	end := now + min(pause, MaxPause)
	t.until[key] = max(t.until[key], end)
	t.latest = max(t.latest, end)
}

// Left returns how much of the pause of a key is left, zero if there is none.
func (t *Tracker) Left(now time.Duration, key string) time.Duration {
	if !t.Any(now) {
		return 0
	}
	return max(t.until[key]-now, 0)
}

// Any reports whether any pause is in force.
func (t *Tracker) Any(now time.Duration) bool { return now < t.latest }
