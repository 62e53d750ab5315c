// Package boottime reads the boot-time clock of Linux (CLOCK_BOOTTIME), which
// also advances while the machine is suspended.
//
// Go's monotonic clock stops during a suspend, so a lease or a freshness check
// measured by it could still seem valid after a machine resumes, although it
// has expired. Everything that expires merely because time passes is measured with
// this clock.
package boottime

// This file defines Clock.

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its start. The zero value measures the time
// since the machine booted.
type Clock struct {
	start time.Duration
}

// New returns a clock that starts at zero.
func New() Clock {
	return Clock{
		start: sinceBoot(),
	}
}

// Now returns the time since the clock's start, including time in suspend.
func (c Clock) Now() time.Duration { return sinceBoot() - c.start }

// sinceBoot returns the time since the machine booted. It panics if the kernel
// lacks the clock; every Linux version in use has it.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
