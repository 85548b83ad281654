// Package suspend measures how long this machine has been suspended. The monotonic clock that time.Since
// uses stops during a suspension, so a lease whose age is taken from it alone seems younger than it is.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since boot. Only the difference between two
// calls is meaningful; it is accurate to a few microseconds. Total returns 0 if the clocks cannot be read.
func Total() time.Duration {
	var monotonic, boottime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil {
		return 0
	}
	return time.Duration(boottime.Nano() - monotonic.Nano())
}

// Stamp is a moment whose age includes the time that the machine was suspended since.
type Stamp struct {
	at        time.Time
	suspended time.Duration
}

// NewStamp returns the stamp of a moment. suspended is the value of Total at that moment.
func NewStamp(at time.Time, suspended time.Duration) Stamp { return Stamp{at, suspended} }

// Age returns the time since the stamp, suspended time included. The zero Stamp has the largest age.
func (s Stamp) Age(now time.Time, suspended time.Duration) time.Duration {
	if s.at.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(s.at) + max(0, suspended-s.suspended)
}
