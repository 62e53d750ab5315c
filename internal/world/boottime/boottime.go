// Package boottime reads the clock that goes on while the machine is
// suspended.
//
// Go's monotonic clock stands still during a suspension, so a lease or a proof
// of freshness measured by it would still count on a machine that has slept
// through its end. Everything that must run out by itself is timed here.
package boottime

// This file defines Clock.

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from its start. The zero value counts from the machine's boot.
type Clock struct {
	start time.Duration
}

// New returns a clock that starts at zero.
func New() Clock {
	return Clock{
		start: sinceBoot(),
	}
}

// Now returns the time since the start, suspensions counted.
func (c Clock) Now() time.Duration { return sinceBoot() - c.start }

// sinceBoot returns the time since the machine's boot; it does not fail on
// Linux, whose every version in use has this clock.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the system has no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
