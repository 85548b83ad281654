// Package lag measures how late the goroutines of this process run: because others are queued before them, or
// because the machine gives the process too little CPU time. A call that passes its timeout while the lag is
// large says little about the party that was called.
package lag

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
)

const (
	// interval is the time between two measurements.
	interval = 25 * time.Millisecond
	// halfLife is the time after which a measured lag counts half.
	halfLife = 250 * time.Millisecond
	// tolerance is the lag up to which a process counts as running in time. Timers fire late by some
	// milliseconds on a small share of a core.
	tolerance = 10 * time.Millisecond
)

// Meter measures the lag while Run runs.
type Meter struct {
	mu       sync.Mutex
	peak     time.Duration // decaying peak of the measured lag
	measured time.Time     // when peak was updated
	due      time.Time     // when the measurement in progress should end; zero if Run does not run
}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	defer m.expect(time.Time{})
	for {
		due := time.Now().Add(interval)
		m.expect(due)
		if !wait.For(ctx, interval) {
			return
		}
		runtime.Gosched() // a woken goroutine runs before those that are queued
		now := time.Now()
		m.record(now.Sub(due), now)
	}
}

func (m *Meter) expect(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

func (m *Meter) record(late time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak = max(late, m.decayed(now))
	m.measured = now
}

// decayed returns the decaying peak. The caller holds the lock.
func (m *Meter) decayed(now time.Time) time.Duration {
	halves := int(now.Sub(m.measured) / halfLife)
	if halves > 30 {
		return 0
	}
	peak := m.peak >> halves
	rest := float64(now.Sub(m.measured)%halfLife) / float64(halfLife)
	return time.Duration(float64(peak) * (1 - rest/2))
}

// Lag returns the recent lag: a decaying peak, or how late the measurement in progress is if that is more. It
// is 0 up to the tolerance.
func (m *Meter) Lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	lag := m.decayed(now)
	if !m.due.IsZero() {
		lag = max(lag, now.Sub(m.due))
	}
	if lag <= tolerance {
		return 0
	}
	return lag
}
