package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	// loadReportAfter is how long the jobs are not loaded before it is logged. It is logged again each time
	// this time has doubled.
	loadReportAfter = 2 * time.Second
	// maxIntakeAge is the age from which the jobs read from the store count as stale. A watch of the intake
	// answers within two seconds, and may take one more.
	maxIntakeAge = 4 * time.Second
	// maxLoadTime is how long a term may take to read its jobs while its ownership is confirmed. Then another
	// instance may have better access to the store.
	maxLoadTime = 15 * time.Second
	// loadCheckInterval is the time between two checks of maxLoadTime.
	loadCheckInterval = time.Second
)

// loadReport describes the read of the job records at the start of a term.
type loadReport struct {
	records       int
	completed     int // jobs that former owners have seen completed and could not store
	ends          int // the same for ends of runs
	recordsTook   time.Duration
	completedTook time.Duration
}

// awaitLoaded waits until all jobs are loaded and reports whether they are.
func (t *Term) awaitLoaded(ctx context.Context) bool {
	began := time.Now()
	timer := time.NewTimer(loadReportAfter)
	defer timer.Stop()
	for reported := loadReportAfter; ; reported *= 2 {
		select {
		case <-ctx.Done():
			return false
		case <-t.loaded:
			t.logLoaded(time.Since(began))
			return true
		case <-timer.C:
			t.mu.Lock()
			jobs := len(t.cluster.Jobs)
			t.mu.Unlock()
			events.Warn(t.opts.Log, events.TermNotLoaded, zap.Uint64("token", t.opts.Token), zap.Duration("after", time.Since(t.startedAt)), zap.Int("jobs", jobs))
			timer.Reset(reported)
		}
	}
}

// limitLoadTime ends the term if its jobs are not loaded after maxLoadTime of confirmed ownership. Time without
// confirmation does not count: in an outage of the store no other instance could read them either.
func (t *Term) limitLoadTime(ctx context.Context) {
	confirmed := time.Duration(0)
	for confirmed < maxLoadTime {
		select {
		case <-ctx.Done():
			return
		case <-t.loaded:
			return
		case <-time.After(loadCheckInterval):
		}
		confirmed += loadCheckInterval
		if !t.opts.OwnershipConfirmed() {
			confirmed = 0
		}
	}
	t.terminate("the jobs could not be read in time")
}

func (t *Term) logLoaded(intakeTook time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open, runs := 0, 0
	for _, j := range t.cluster.Jobs {
		if !j.State.Ended() {
			open++
		}
	}
	for _, w := range t.cluster.Workers {
		runs += len(w.Runs)
	}
	l := t.loading
	events.Info(t.opts.Log, events.TermLoaded, zap.Uint64("token", t.opts.Token),
		zap.Int("jobs", len(t.cluster.Jobs)), zap.Int("open", open), zap.Int("runs", runs),
		zap.Int("records", l.records), zap.Int("records_left", len(t.records)), zap.Int("completed", l.completed), zap.Int("ends", l.ends),
		zap.Duration("records_took", l.recordsTook), zap.Duration("completed_took", l.completedTook), zap.Duration("intake_took", intakeTook))
}

// checkIntakeAge logs when the accepted jobs become stale and when they are current again. The caller holds
// the lock.
func (t *Term) checkIntakeAge(now time.Time) {
	age := now.Sub(t.intakeAsOf)
	stale := age > maxIntakeAge
	if stale == t.intakeStale {
		return
	}
	t.intakeStale = stale
	events.Info(t.opts.Log, events.IntakeStale, zap.Bool("stale", stale), zap.Duration("age", age), zap.Duration("limit", maxIntakeAge))
}

// resetGauges sets the gauges of the owner to 0 at the end of the term.
func (t *Term) resetGauges() {
	t.waitGauges.update(&waitSearch{})
	t.intakeAge.Update(0)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caps.reset()
	for _, g := range t.admission.waits {
		g.Update(0)
	}
}
