package jobowner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// reportWait is how long a worker may hold a report back while no run ends.
	reportWait = time.Second
	// reportSlack is added to the wait of a report. After that the answer is treated as lost and
	// the report is requested again, without a wait.
	reportSlack = 250 * time.Millisecond
	// maxFailedReports is how many reports in a row fail before the worker counts as unresponsive.
	maxFailedReports = 2
	// immediateReportTimeout is the timeout of a report that the worker is to send at once.
	immediateReportTimeout = 700 * time.Millisecond
	// reportRetryDelay is the delay after a failed report of an unresponsive worker.
	reportRetryDelay = 250 * time.Millisecond
	// endStoreWait is how long the next report is delayed until the reported ends are stored.
	endStoreWait = time.Second
	// epochBits is how many of the low bits of a fencing token hold the epoch of the worker.
	epochBits = 20
	// unresponsiveAvoidance is how long an unresponsive worker gets no new work.
	unresponsiveAvoidance = 1500 * time.Millisecond
)

// agent renews the lease of one incarnation of a worker and collects its reports.
type agent struct {
	t      *Term
	worker *jobstate.Worker
	wake   chan struct{}
	cancel context.CancelFunc
	silent atomic.Bool // a call has had no answer in time since the last answer

	// Guarded by the term's lock.
	appliedEnd  int64               // sequence number of the newest end applied to the state
	storedEnd   int64               // sequence number of the newest end whose effect is in the store
	ackedEnd    int64               // sequence number of the newest end that an answered request has acknowledged
	ends        []unacknowledgedEnd // of known runs, those after storedEnd, in ascending order
	clockMs     int64               // the worker's clock in its newest answer, received at clockAt
	clockAt     time.Time
	clockBound  clockBound
	failures    int
	lastAnswer  time.Time
	refusedAt   time.Time // when the worker's machine last refused a connection
	asking      bool      // askIncarnation is running
	throttledAt time.Time // when the fillers on the worker were last adjusted
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

func (a *agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// acknowledge lets the worker discard its ends up to n. The caller holds the term's lock.
func (a *agent) acknowledge(n int64) {
	a.storedEnd = max(a.storedEnd, n)
	a.signal()
}

// run requests reports until ctx ends, and pauses while none is needed. The first reports of
// workers without runs are limited by firstReports.
func (a *agent) run(ctx context.Context) {
	if !a.hasRuns() {
		leave, ok := a.t.firstReports.enter(ctx)
		if !ok {
			return
		}
		fault := a.t.opts.Guard.Do("report of "+a.worker.ID, func() {
			if err := a.requestReport(ctx); err != nil && ctx.Err() == nil {
				a.t.opts.Log.Debug("first report failed", zap.String("worker", a.worker.ID), zap.Error(err))
			}
		})
		leave()
		if fault != nil {
			a.sleep(ctx, reportWait)
		}
	}
	for ctx.Err() == nil {
		if !a.needsReport() {
			a.sleep(ctx, time.Hour)
			continue
		}
		a.awaitEndsStored(ctx)
		var err error
		if fault := a.t.opts.Guard.Do("report of "+a.worker.ID, func() { err = a.requestReport(ctx) }); fault != nil {
			a.sleep(ctx, reportWait)
			continue
		}
		if err != nil && ctx.Err() == nil && a.isUnresponsive() {
			a.sleep(ctx, reportRetryDelay)
		}
		if pause := min(a.t.lagAllowance(), maxReportPause); pause > 0 {
			wait.For(ctx, pause) // reports of all workers together take most of the CPU
		}
	}
}

// sleep waits for a signal, but no longer than limit.
func (a *agent) sleep(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// awaitEndsStored waits until the reported ends are in the store, so that the next report need
// not repeat them.
func (a *agent) awaitEndsStored(ctx context.Context) {
	deadline := time.Now().Add(endStoreWait)
	for ctx.Err() == nil {
		a.t.mu.Lock()
		behind := a.appliedEnd > a.storedEnd
		a.t.mu.Unlock()
		left := time.Until(deadline)
		if !behind || left <= 0 {
			return
		}
		a.sleep(ctx, left)
	}
}

func (a *agent) hasRuns() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return len(a.worker.Runs) > 0
}

// isUnresponsive reports whether the newest reports failed, at least maxFailedReports of them.
func (a *agent) isUnresponsive() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.failures >= maxFailedReports
}

// needsReport reports whether the worker has not answered yet, has runs, or has ends to be
// acknowledged.
func (a *agent) needsReport() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	w := a.worker
	return !w.Answered || len(w.Runs) > 0 || len(w.Untracked) > 0 || a.appliedEnd > a.ackedEnd
}

// workerClock estimates the worker's clock, in milliseconds. The caller holds the lock.
func (a *agent) workerClock(now time.Time) int64 {
	return a.clockMs + now.Sub(a.clockAt).Milliseconds()
}

// extendLease returns the end, on the worker's clock, of a lease granted now. It moves
// Worker.LeaseEnds to the time after which that lease has expired by this process's clock even if
// the worker's clock is slow. The caller holds the lock.
func (a *agent) extendLease(now time.Time) int64 {
	drift := time.Duration(clockDrift * float64(now.Sub(a.clockAt)))
	a.worker.LeaseEnds = later(a.worker.LeaseEnds, now.Add(drift+a.t.maxLeaseDuration()))
	return a.workerClock(now) + a.t.opts.MaxLease.Milliseconds()
}

func (a *agent) target() workerapi.Target {
	return workerapi.Target{ID: a.worker.ID, Address: a.worker.Address}
}

// ackSequence returns the sequence number up to which the next request lets the worker discard ends, or 0. A request
// without an answer may be carried out late by the next incarnation, which numbers its ends anew and has perhaps not
// seen a higher token yet. So ends are acknowledged only in answer to a report, and once if that request is
// answered. The caller holds the lock.
func (a *agent) ackSequence() int64 {
	if a.failures > 0 || a.storedEnd <= a.ackedEnd {
		return 0
	}
	return a.storedEnd
}

// requestReport renews the lease, requests a report and applies it.
func (a *agent) requestReport(ctx context.Context) error {
	t := a.t
	t.mu.Lock()
	now := time.Now()
	asked := suspend.NewStamp(now, t.opts.Suspended())
	order := workerapi.Renew{Token: a.token(), AckSequence: a.ackSequence()}
	bound := immediateReportTimeout
	// A renewal without an answer may have taken effect. Repeating it would move LeaseEnds on
	// for as long as the worker is unreachable, and its runs would never be started elsewhere.
	if !a.clockAt.IsZero() && a.failures == 0 && !a.worker.Leaving && !a.worker.UnresponsiveStored && t.opts.OwnershipConfirmed() {
		order.LeaseUntil = a.extendLease(now)
	}
	if a.worker.Answered && a.appliedEnd == a.storedEnd && a.failures == 0 {
		order.Wait = reportWait
		bound = order.Wait + reportSlack
	}
	target := a.target()
	t.mu.Unlock()

	call, cancel := context.WithTimeout(ctx, bound+t.lagAllowance())
	report, err := t.opts.Workers.Renew(call, target, order)
	cancel()
	if err != nil {
		a.reportFailed(err)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] == a {
		a.boundClock(report, asked, now)
		a.ackedEnd = max(a.ackedEnd, order.AckSequence)
		a.apply(report, now)
	}
	return nil
}

// token returns the fencing token of requests to the worker. It is higher than that of requests to former
// incarnations: once the worker has seen it, it does not carry out such a request late. A late request to
// discard ends would discard ends that no report has listed, because each incarnation numbers its ends anew.
func (a *agent) token() uint64 {
	return a.t.opts.Token<<epochBits | min(a.worker.Epoch, 1<<epochBits-1)
}

// tokenRefused ends the term, because the worker has seen a higher token than that of a request, unless this is
// the token of its next incarnation.
func (a *agent) tokenRefused() {
	a.t.mu.Lock()
	current := a.t.agents[a.worker.ID] == a
	a.t.mu.Unlock()
	if current {
		a.t.terminate("worker " + a.worker.ID + " has seen a higher token")
	}
}

// reportFailed counts a failed report and, after maxFailedReports in a row, excludes the worker
// from new work for a while.
func (a *agent) reportFailed(err error) {
	t := a.t
	if errors.Is(err, workerapi.ErrStaleToken) {
		a.tokenRefused()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] != a || errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	if errors.Is(err, workerapi.ErrNoListener) {
		a.refusedAt = now
	}
	if a.failures++; a.failures == maxFailedReports {
		events.Warn(t.opts.Log, events.WorkerUnresponsive, zap.String("worker", a.worker.ID), zap.Int("runs", len(a.worker.Runs)), zap.Error(err))
	}
	if a.failures >= maxFailedReports {
		a.worker.BlockedUntil = later(a.worker.BlockedUntil, now.Add(unresponsiveAvoidance))
	}
	if errors.Is(err, workerapi.ErrWorkerRestarted) {
		t.dropWorker(a.worker, "another incarnation of the worker answered at its address", now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
