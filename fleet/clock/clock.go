// Package clock provides the two clocks of a host: the lease clock and the wall clock. The lease clock includes the time for
// which the machine or the process was suspended. Wall clocks of different hosts are compared only with an allowance for error.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time.
type Clock interface {
	// Now reads the lease clock. Its values are comparable only with others of the same process.
	Now() time.Time
	// Wall reads the wall clock. The time has no monotonic reading.
	Wall() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock by CLOCK_BOOTTIME, which includes time in suspension; on Linux time.Now does not.
func (System) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix()).UTC()
}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now().Round(0).UTC() }

// Standard reads time.Now for both clocks. In a testing/synctest bubble this is the bubble's fake clock.
type Standard struct{}

// Now implements Clock.
func (Standard) Now() time.Time { return time.Now() }

// Wall implements Clock.
func (Standard) Wall() time.Time { return time.Now().Round(0).UTC() }
