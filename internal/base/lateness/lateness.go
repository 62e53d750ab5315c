// Package lateness estimates how late this process is run, from periodic wake-ups that come
// later than they were due. A process that waits for its processor receives answers late
// although they were sent in time.
package lateness

// This file defines Tracker.

import (
	"math"
	"time"
)

// halfLife is the time in which a recorded lateness loses half of its weight.
const halfLife = 500 * time.Millisecond

// Tracker keeps the largest recent lateness; older ones count for less. The zero value
// works. It is not safe for concurrent use.
type Tracker struct {
	largest    time.Duration
	recordedAt time.Duration
}

// Record records that a wake-up came late by a time; negative values count as zero.
func (t *Tracker) Record(now, late time.Duration) {
	if late >= t.Current(now) {
		t.largest, t.recordedAt = max(late, 0), now
	}
}

// Current returns the largest recent lateness, decayed by its age.
func (t *Tracker) Current(now time.Duration) time.Duration {
	age := max(now-t.recordedAt, 0)
	return time.Duration(float64(t.largest) * math.Exp2(-float64(age)/float64(halfLife)))
}
