// Package clock provides the two clocks of a host: one for leases, which counts the time that the machine or process was
// suspended, and the wall clock, which is compared between hosts only with an allowance for error.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time.
type Clock interface {
	// Now is the lease clock. Values from one process are comparable with each other only.
	Now() time.Time
	// Wall is the wall clock without a monotonic reading.
	Wall() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now implements Clock by CLOCK_BOOTTIME, which counts suspension; time.Now does not on Linux.
func (System) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix()).UTC()
}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now().Round(0).UTC() }

// Standard reads time.Now for both clocks. Within a testing/synctest bubble it is the bubble's fake clock.
type Standard struct{}

// Now implements Clock.
func (Standard) Now() time.Time { return time.Now() }

// Wall implements Clock.
func (Standard) Wall() time.Time { return time.Now().Round(0).UTC() }
