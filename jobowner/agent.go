package jobowner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// holdWait is how long a worker may wait for an end before it reports.
	holdWait = time.Second
	// urgentHoldWait is the same for workers with runs of urgent jobs: runs that lag are
	// noticed while their jobs can still meet their objective.
	urgentHoldWait = 400 * time.Millisecond
	// holdSlack is how much longer a report may take before its answer is taken for lost and
	// asked for again, without a wait.
	holdSlack = 250 * time.Millisecond
	// silentAfter is how many reports in a row must fail before the worker counts as silent.
	silentAfter = 2
	// maxFirstLooks is how many workers without recorded runs are asked for their first report
	// at a time, so that those with runs are heard first in a large fleet.
	maxFirstLooks = 48
	// firstHoldBound is the longest wait for a report of a worker that is asked not to wait.
	firstHoldBound = 700 * time.Millisecond
	// holdRetryPause is the pause after a report of a silent worker that failed.
	holdRetryPause = 250 * time.Millisecond
	// ackWait is how long reports pause for the store to take note of ends.
	ackWait = time.Second
	// suspectAfterSilence is how long a worker that did not answer gets no new work.
	suspectAfterSilence = 1500 * time.Millisecond
)

// agent keeps the lease of one life of a worker and collects its reports.
type agent struct {
	t      *Term
	worker *jobstate.Worker
	wake   chan struct{}
	cancel context.CancelFunc

	// Guarded by the term's lock.
	applied   int64 // newest end that the state has taken in
	stored    int64 // newest end whose effect is in the store
	clock     int64 // of the worker, milliseconds, when it was last heard
	clockAt   time.Time
	failures  int
	lastHeard time.Time
	pacedAt   time.Time // when fillers on the worker were paced last
}

// ensureAgent starts an agent for the worker unless it has one.
func (t *Term) ensureAgent(w *jobstate.Worker) *agent {
	if a := t.agents[w.ID]; a != nil {
		if a.worker == w {
			return a
		}
		a.cancel()
	}
	a := &agent{t: t, worker: w, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.ctx)
	a.cancel = cancel
	t.agents[w.ID] = a
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		a.run(ctx)
	}()
	return a
}

func (a *agent) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// acknowledge lets the worker forget its ends up to n. The caller holds the term's lock.
func (a *agent) acknowledge(n int64) {
	a.stored = max(a.stored, n)
	a.nudge()
}

// run asks for reports as long as the worker has runs or has not been heard.
func (a *agent) run(ctx context.Context) {
	if !a.busy() {
		select {
		case <-ctx.Done():
			return
		case a.t.looks <- struct{}{}:
		}
		fault := a.t.o.Guard.Do("report of "+a.worker.ID, func() {
			if err := a.hold(ctx); err != nil && ctx.Err() == nil {
				a.t.o.Log.Debug("first look failed", zap.String("worker", a.worker.ID), zap.Error(err))
			}
		})
		<-a.t.looks
		if fault != nil {
			a.rest(ctx, holdWait)
		}
	}
	for ctx.Err() == nil {
		if !a.wanted() {
			a.rest(ctx, time.Hour)
			continue
		}
		a.awaitStored(ctx)
		var err error
		if fault := a.t.o.Guard.Do("report of "+a.worker.ID, func() { err = a.hold(ctx) }); fault != nil {
			a.rest(ctx, holdWait)
			continue
		}
		if err != nil && ctx.Err() == nil && a.isSilent() {
			a.rest(ctx, holdRetryPause)
		}
	}
}

// rest waits for a nudge.
func (a *agent) rest(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// awaitStored waits until the ends that were reported are in the store, so that the next
// report need not repeat them.
func (a *agent) awaitStored(ctx context.Context) {
	deadline := time.Now().Add(ackWait)
	for ctx.Err() == nil {
		a.t.mu.Lock()
		behind := a.applied > a.stored
		a.t.mu.Unlock()
		left := time.Until(deadline)
		if !behind || left <= 0 {
			return
		}
		a.rest(ctx, left)
	}
}

// busy reports whether the worker may have runs.
func (a *agent) busy() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return len(a.worker.Runs) > 0
}

// isSilent reports whether the newest reports failed.
func (a *agent) isSilent() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.failures >= silentAfter
}

func (a *agent) wanted() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	w := a.worker
	return !w.Heard || len(w.Runs) > 0 || len(w.Strays) > 0 || a.applied > a.stored
}

// workerClock estimates the worker's clock, in milliseconds. The caller holds the lock.
func (a *agent) workerClock(now time.Time) int64 {
	return a.clock + now.Sub(a.clockAt).Milliseconds()
}

// leaseUntil returns the end of a lease that is ordered now, on the worker's clock, and
// notes when it will surely have run out. The caller holds the lock.
func (a *agent) leaseUntil(now time.Time) int64 {
	drift := time.Duration(clockDrift * float64(now.Sub(a.clockAt)))
	a.worker.LeaseEnds = later(a.worker.LeaseEnds, now.Add(drift+a.t.longestLease()))
	return a.workerClock(now) + a.t.o.MaxLease.Milliseconds()
}

func (a *agent) target() workerapi.Target {
	return workerapi.Target{ID: a.worker.ID, Address: a.worker.Address}
}

// hold renews the lease and applies the report.
func (a *agent) hold(ctx context.Context) error {
	t := a.t
	t.mu.Lock()
	now := time.Now()
	order := workerapi.Renew{Token: t.o.Token, AckSequence: a.stored}
	bound := firstHoldBound
	// A renewal without an answer may have taken effect. Repeating it would keep the lease
	// of a worker that is cut off from ever being known to have run out.
	if !a.clockAt.IsZero() && a.failures == 0 && !a.worker.SilentStored && t.o.InTouch() {
		order.LeaseUntil = a.leaseUntil(now)
	}
	if a.worker.Heard && a.applied == a.stored && a.failures == 0 {
		order.Wait = a.reportInterval()
		bound = order.Wait + holdSlack
	}
	target := a.target()
	t.mu.Unlock()

	call, cancel := context.WithTimeout(ctx, bound)
	report, err := t.o.Workers.Renew(call, target, order)
	cancel()
	if err != nil {
		a.silent(err)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] == a {
		a.apply(report, now)
	}
	return nil
}

// reportInterval returns how long the worker may wait with its next report. The caller holds
// the lock.
func (a *agent) reportInterval() time.Duration {
	for r := range a.worker.Runs {
		if r.Task.Step.Occurrence.Job.Route.Priority == 0 {
			return urgentHoldWait
		}
	}
	return holdWait
}

// silent notes a report that failed.
func (a *agent) silent(err error) {
	t := a.t
	if errors.Is(err, workerapi.ErrFenced) {
		t.over("worker " + a.worker.ID + " has seen a higher token")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] != a || errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	if a.failures++; a.failures == silentAfter {
		events.Warn(t.o.Log, events.WorkerUnresponsive, zap.String("worker", a.worker.ID), zap.Int("runs", len(a.worker.Runs)), zap.Error(err))
	}
	if a.failures >= silentAfter {
		a.worker.Suspect = later(a.worker.Suspect, now.Add(suspectAfterSilence))
	}
	if errors.Is(err, workerapi.ErrWorkerRestarted) {
		t.dropWorker(a.worker, "another life answers at its address", now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
