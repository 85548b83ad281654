package jobowner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// maxOrderTimeout limits the timeout of one attempt of an order.
	maxOrderTimeout = 600 * time.Millisecond
	// firstOrderTimeout is the timeout of the first attempt, which usually takes a few milliseconds.
	// Each further attempt waits twice as long. Orders are idempotent.
	firstOrderTimeout = 150 * time.Millisecond
	// maxStartAttempts is how often a start without an answer is sent before the run is stopped.
	maxStartAttempts = 4
	// orderRetryDelay is the first delay before an order is sent again.
	orderRetryDelay = 20 * time.Millisecond
	// maxOrderRetryDelay limits the delay between attempts of a stop, which doubles each time.
	maxOrderRetryDelay = time.Second
	// runLookupTimeout is the timeout of a report that is requested to find a run.
	runLookupTimeout = 300 * time.Millisecond
	// refusedStartBlock is how long a worker must get no new work after it refused a start.
	refusedStartBlock = time.Second
	// refusedStartAvoidance is how long a worker is avoided after it was unhealthy or not reached. It doubles
	// each time, up to maxRefusedStartAvoidance: the members of a gang take about a second to stop, and would
	// otherwise be sent to the same worker again.
	refusedStartAvoidance    = time.Second
	maxRefusedStartAvoidance = 8 * time.Second
	// startRetryDelay is how long a step waits after a refused start.
	startRetryDelay = 100 * time.Millisecond
)

// orderTimeout returns the timeout of the nth attempt of an order, from 1.
func (t *Term) orderTimeout(attempt int) time.Duration {
	return min(firstOrderTimeout<<min(attempt-1, 8), maxOrderTimeout) + t.lagAllowance()
}

// errWorkerLeaving is the reason for which a start without an answer is not sent again.
var errWorkerLeaving = errors.New("start not repeated: worker is draining, unlisted or evacuated, or the list of workers is stale")

// orderStart sends the start of a run whose record is stored. The caller holds the lock.
func (t *Term) orderStart(ctx context.Context, r *jobstate.Run, now time.Time) {
	w := r.Worker
	a := t.agents[w.ID]
	if a == nil || a.worker != w || !t.mayStart(r, now) || t.ended {
		t.cluster.End(r, jobstate.EndNeverStarted, "", now)
		return
	}
	r.Phase = jobstate.Ordered
	r.StartSent, r.StartWaits = true, true
	a.extendLease(now) // the start grants a lease
	s := r.Task.Step
	events.Info(t.opts.Log, events.RunOrdered, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", w.ID), zap.String("zone", w.DataCentre), zap.String("rack", w.Rack),
		zap.Duration("waited", now.Sub(s.ReadyAt)), zap.Duration("worker_heard_ago", now.Sub(a.lastAnswer)))
	order := workerapi.Start{
		Task: r.Task.Name().String(), Run: r.Number, Payload: s.Occurrence.Job.Submission.Payload,
		Token: a.token(), Checkpoint: s.StartCheckpoint(r.Task), Ticket: s.Tickets[w.ID].Value,
	}
	a.signal()
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		if err := t.opts.Guard.Do("start of "+order.Task, func() { t.start(ctx, a, r, order) }); err != nil {
			t.startUncertain(ctx, a, r, err)
		}
	}()
}

// mayStart reports whether the worker is still available and is not avoided since the run was decided.
func (t *Term) mayStart(r *jobstate.Run, now time.Time) bool {
	return t.cluster.Accepts(r.Worker, now) || r.OnAvoided && t.cluster.Available(r.Worker, now)
}

// start sends the order until its outcome is known, or stops the run.
func (t *Term) start(ctx context.Context, a *agent, r *jobstate.Run, order workerapi.Start) {
	uncertain := false
	for attempt := 1; ctx.Err() == nil; attempt++ {
		leave, ok := a.enterOrder(ctx, len(order.Payload), r.Task.Step.Occurrence.Priority() == 0)
		if !ok {
			return
		}
		target, timeout, next := t.prepareStart(a, r, &order, attempt)
		if next != sendStart {
			leave()
			if next == abandonStart {
				t.abandonStart(ctx, a, r, attempt > 1)
			}
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, timeout)
		clock, err := t.opts.Workers.Start(call, target, order)
		cancel()
		leave()
		if err == nil {
			t.startConfirmed(a, r, clock, sent, !uncertain)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, workerapi.ErrStaleToken) {
			a.tokenRefused()
			return
		}
		if workerapi.NotExecuted(err) && !uncertain {
			t.startRefused(a, r, err)
			return
		}
		uncertain = true
		if errors.Is(err, workerapi.ErrRunEnded) || attempt == maxStartAttempts || workerapi.NotExecuted(err) {
			t.lookUpRun(ctx, a, r)
			t.startUncertain(ctx, a, r, err)
			return
		}
		wait.For(ctx, orderRetryDelay)
	}
}

// startStep is what follows a check of a start before it is sent.
type startStep int

const (
	sendStart    startStep = iota
	dropStart              // the run is confirmed, is being stopped, or has ended with its worker
	abandonStart           // the worker may be leaving, or became unresponsive while the start waited
)

// prepareStart checks whether the start may still be sent, and returns its target and timeout. The first attempt sets the
// lease: all attempts grant the same one, so that an unreachable worker does not get a longer one.
func (t *Term) prepareStart(a *agent, r *jobstate.Run, order *workerapi.Start, attempt int) (target workerapi.Target, timeout time.Duration, next startStep) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	_, present := a.worker.Runs[r]
	if !present || r.Phase == jobstate.Stopping || !r.StartedAt.IsZero() || t.agents[a.worker.ID] != a {
		return target, 0, dropStart
	}
	t.checkListAge(now) // this process may have been paused since the decision
	if t.cluster.MayBeLeaving(a.worker) {
		return target, 0, abandonStart
	}
	if attempt == 1 {
		if a.worker.Unresponsive || a.worker.UnresponsiveStored {
			return target, 0, abandonStart // its records show the end of the lease, which must remain valid
		}
		order.LeaseUntil = a.extendLease(now)
	}
	r.StartWaits = false
	return a.target(), min(t.orderTimeout(attempt), t.untilListExpires(now)), sendStart
}

// untilListExpires returns how long a start may take from now. Workers that have begun to drain since the list of
// workers was read may get work for a third longer than MaxListAge.
func (t *Term) untilListExpires(now time.Time) time.Duration {
	if t.opts.MaxListAge == 0 {
		return maxOrderTimeout + maxLagAllowance
	}
	return t.opts.MaxListAge + t.opts.MaxListAge/3 - t.listAsOf.Age(now, t.opts.Suspended())
}

// abandonStart ends the attempts to start a run on a worker that is leaving. sent is whether an order
// may have reached the worker.
func (t *Term) abandonStart(ctx context.Context, a *agent, r *jobstate.Run, sent bool) {
	if sent {
		t.lookUpRun(ctx, a, r)
		t.startUncertain(ctx, a, r, errWorkerLeaving)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, present := a.worker.Runs[r]; present && r.Phase == jobstate.Ordered {
		t.cluster.End(r, jobstate.EndNeverStarted, "", time.Now())
		t.wakeLoop()
	}
}

// lookUpRun requests a report to find out whether the worker has the run, so that a started run is not
// stopped only because the answer to its start was lost. For a long-running task it repeats the
// request until the worker answers or the run's outcome is known.
func (t *Term) lookUpRun(ctx context.Context, a *agent, r *jobstate.Run) {
	for ctx.Err() == nil {
		t.mu.Lock()
		_, present := a.worker.Runs[r]
		settled := !present || !r.StartedAt.IsZero() || r.Phase == jobstate.Stopping
		if settled {
			t.mu.Unlock()
			return
		}
		sent := time.Now()
		order := workerapi.Renew{Token: a.token()}
		target := a.target()
		t.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, runLookupTimeout+t.lagAllowance())
		report, err := t.opts.Workers.Renew(call, target, order)
		cancel()
		if err == nil {
			t.applyReport(a, report, sent)
			return
		}
		if !r.Task.Step.Spec.LongRunning {
			return
		}
		wait.For(ctx, reportRetryDelay)
	}
}

// applyReport applies a report unless the agent has been replaced.
func (t *Term) applyReport(a *agent, report workerapi.Report, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.worker.ID] == a {
		a.apply(report, sent)
	}
}

// startConfirmed applies the answer to a start order that was sent at sent. The run started then only if no order was
// sent before.
func (t *Term) startConfirmed(a *agent, r *jobstate.Run, clock int64, sent time.Time, onlyOrder bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if a.recordAnswer(clock, sent, now) && r.Worker == a.worker && r.StartedAt.IsZero() {
		if _, present := a.worker.Runs[r]; present {
			r.StartAnswered, r.StartSentAt, r.StartClock = onlyOrder, sent, clock
			a.worker.RefusalStreak = 0
			t.confirm(r, now)
			t.wakeLoop()
		}
	}
}

// startRefused ends a run that has not started and will not, because its only attempt was refused.
func (t *Term) startRefused(a *agent, r *jobstate.Run, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, present := a.worker.Runs[r]; !present {
		return
	}
	now := time.Now()
	events.Warn(t.opts.Log, events.StartRefused, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", a.worker.ID), zap.Error(err))
	avoidAfterRefusal(a.worker, err, now)
	a.worker.BlockedUntil = later(a.worker.BlockedUntil, now.Add(refusedStartBlock))
	r.Task.Step.NotBefore = now.Add(startRetryDelay)
	if errors.Is(err, workerapi.ErrWorkerRestarted) {
		t.dropWorker(a.worker, "another incarnation of the worker answered at its address", now)
		t.wakeLoop()
		return
	}
	if errors.Is(err, workerapi.ErrInvalidTicket) {
		delete(r.Task.Step.Tickets, a.worker.ID)
	}
	t.cluster.End(r, jobstate.EndNeverStarted, "", now)
	t.wakeLoop()
}

// avoidAfterRefusal updates how long the worker is avoided. Starts that it refuses at about the same time count
// once.
func avoidAfterRefusal(w *jobstate.Worker, err error, now time.Time) {
	if now.Before(w.BlockedUntil) || !errors.Is(err, workerapi.ErrUnhealthy) && !errors.Is(err, workerapi.ErrNotReached) {
		return
	}
	w.AvoidUntil = later(w.AvoidUntil, now.Add(min(refusedStartAvoidance<<min(w.RefusalStreak, 8), maxRefusedStartAvoidance)))
	w.RefusalStreak++
}

// startUncertain stops a run that may have started, or may still start.
func (t *Term) startUncertain(ctx context.Context, a *agent, r *jobstate.Run, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, present := a.worker.Runs[r]; !present || r.Phase == jobstate.Stopping || !r.StartedAt.IsZero() {
		return
	}
	now := time.Now()
	events.Warn(t.opts.Log, events.StartUncertain, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", a.worker.ID), zap.Error(err))
	a.worker.BlockedUntil = later(a.worker.BlockedUntil, now.Add(unresponsiveAvoidance))
	r.RequestStop("start not confirmed by the worker", now)
	t.orderStop(ctx, r)
	t.wakeLoop()
}

// orderStop sends a stop until the worker answers or the run has ended. A run whose start still waits ends at
// once. The caller holds the lock and has set the phase of the run to Stopping.
func (t *Term) orderStop(ctx context.Context, r *jobstate.Run) {
	w := r.Worker
	a := t.agents[w.ID]
	if a == nil || a.worker != w {
		return
	}
	if r.StartWaits {
		t.cluster.End(r, jobstate.EndNeverStarted, "", time.Now())
		t.wakeLoop()
		return
	}
	r.StopSent = true
	t.stopped.Inc(1)
	order := workerapi.Stop{Task: r.Task.Name().String(), Run: r.Number, Token: a.token()}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		t.opts.Guard.Loop(ctx, "stop of "+order.Task, func(ctx context.Context) { t.stop(ctx, a, r, order) })
	}()
}

func (t *Term) stop(ctx context.Context, a *agent, r *jobstate.Run, order workerapi.Stop) {
	delay := orderRetryDelay
	for attempt := 1; ctx.Err() == nil; attempt++ {
		t.mu.Lock()
		_, present := a.worker.Runs[r]
		target := a.target()
		t.mu.Unlock()
		if !present {
			return
		}
		leave, ok := a.enterOrder(ctx, 0, true)
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, t.orderTimeout(attempt))
		_, err := t.opts.Workers.Stop(call, target, order)
		cancel()
		leave()
		if err == nil {
			t.mu.Lock()
			r.CannotStartSince = time.Now()
			a.signal()
			t.mu.Unlock()
			return
		}
		if errors.Is(err, workerapi.ErrStaleToken) {
			a.tokenRefused()
			return
		}
		wait.For(ctx, delay)
		delay = min(2*delay, maxOrderRetryDelay)
	}
}
