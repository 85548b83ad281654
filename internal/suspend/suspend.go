// Package suspend measures for how long this machine has been suspended. The clock behind time.Since
// stands still meanwhile, so that a permission that is dated by it seems younger than it is.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it was started. Only differences
// between two calls mean something; they are exact to some microseconds. It is 0 where the clocks
// cannot be read.
func Total() time.Duration {
	var running, booted unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &booted) != nil {
		return 0
	}
	return time.Duration(booted.Nano() - running.Nano())
}

// Stamp dates a permission.
type Stamp struct {
	at        time.Time
	suspended time.Duration
}

// NewStamp returns the stamp of a moment, when the machine had been suspended for the time given.
func NewStamp(at time.Time, suspended time.Duration) Stamp { return Stamp{at, suspended} }

// Age returns how old the stamp is, suspended time included. A stamp that was never set is very old.
func (s Stamp) Age(now time.Time, suspended time.Duration) time.Duration {
	if s.at.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(s.at) + max(0, suspended-s.suspended)
}
