package owner

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// maxFailures is how many attempts may fail before the job is considered the cause. If
	// all of them failed on one worker, that worker is ejected and the job is retried on
	// others, up to maxFailedAttempts failures in total.
	maxFailures       = 3
	maxFailedAttempts = 6
	// retryDelay is the delay after a failed start. It doubles with each retry, up to maxRetryDelay.
	retryDelay    = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// newGang returns a gang for the job's current attempt.
func (o *DataCentreOwner) newGang(j *job) *gang {
	g := &gang{owner: o, rec: j.rec, members: make([]member, len(j.parts))}
	for i, p := range j.parts {
		g.members[i] = member{part: p, client: o.clientOf(p.Worker)}
	}
	return g
}

// clientOf returns the client of a worker, or one whose calls all fail if it is not listed.
func (o *DataCentreOwner) clientOf(id string) remote.Worker {
	if w := o.workers[id]; w != nil {
		return w.client
	}
	return unlistedWorker{}
}

// start executes a start for which the state has already allocated the capacity.
func (o *DataCentreOwner) start(j *job, placements []structs.Placement, now time.Time) {
	j.status = jobStarting
	j.rec.Attempt = o.state.Job(j.id()).Attempt
	j.rec.Phase = structs.PhaseStarting
	j.rec.Placements, j.rec.Guaranteed = placements, o.state.Job(j.id()).Guaranteed
	j.parts = make([]part, len(placements))
	for i, p := range placements {
		j.parts[i] = part{Placement: p, state: partNotStarted}
	}
	j.renewalStopped, j.adopted = false, false
	intent := o.records.put(j.rec)
	ctx, cancel := context.WithCancel(o.ctx)
	j.cancelStart = cancel
	g := o.newGang(j)
	o.pendingStarts.Add(1)
	o.goRun(func() {
		defer o.pendingStarts.Done()
		defer cancel()
		err := g.start(ctx, intent)
		if err != nil {
			g.rollBack(o.ctx)
		}
		o.post(func() { o.applyStartResult(j, g, err, time.Now()) })
	})
}

// applyStartResult processes the result of a start.
func (o *DataCentreOwner) applyStartResult(j *job, g *gang, err error, now time.Time) {
	if j.status != jobStarting || j.rec.Attempt != g.rec.Attempt || o.fenced.Load() {
		return // the job, or the whole data centre, now has another owner
	}
	for i := range j.parts {
		j.parts[i] = g.members[i].part
	}
	if err != nil {
		o.applyStartFailure(j, g, err, now)
		return
	}
	if j.supersedingRecord != nil {
		// An idempotent job was started before the write of its intent was answered.
		o.records.track(j.id(), j.supersedingRecord.Revision)
		j.supersedingRecord = nil
	}
	o.apply(state.StartConfirmed{Job: j.id(), Attempt: j.rec.Attempt, Now: now})
	j.status, j.startedAt, j.startRetries = jobRunning, now, 0
	j.rec.Phase, j.rec.Started = structs.PhaseRunning, now
	o.records.put(j.rec)
	events.Info(o.log, events.JobStarted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt), zap.Any("placements", j.rec.Placements))
	o.recordDecision(j, "started", "every task runs", structs.Action{}, now)
	for _, p := range j.parts {
		if w := o.workers[p.Worker]; w != nil {
			select {
			case w.jobStarted <- struct{}{}:
			default:
			}
		}
	}
	switch {
	case j.rec.Cancel:
		o.stop(j, stopOrder{reason: "cancelled"}, now)
	case o.state.Stage == structs.StageOut:
		o.evacuate(now)
	}
}

// applyStartFailure processes the result of a start that was rolled back.
func (o *DataCentreOwner) applyStartFailure(j *job, g *gang, err error, now time.Time) {
	held, until := g.unresolved()
	mayHaveRun := g.hasRun() || j.count(partUnknown) > 0
	events.Info(o.log, events.JobStartFailed, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.Strings("held", held), zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	o.recordDecision(j, "start failed", err.Error(), structs.Action{}, now)
	o.recordRefusedStarts(j, g, now)
	switch {
	case j.supersedingRecord != nil:
		kv := *j.supersedingRecord
		j.supersedingRecord = nil
		o.apply(state.StartFailed{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Now: now})
		o.reload(j, kv)
	case mayHaveRun && !j.rec.Job.Idempotent:
		o.endWithHolds(j, structs.OutcomeMayHaveRun, "start failed: "+err.Error(), held, until, now)
	case j.rec.Cancel:
		o.endWithHolds(j, structs.OutcomeCancelled, "cancelled", held, until, now)
	default:
		o.apply(state.StartFailed{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Now: now})
		o.resetToQueued(j)
		wait := min(retryDelay<<min(j.startRetries, 10), maxRetryDelay)
		j.startRetries++
		if mayHaveRun {
			o.park(j, later(until, now.Add(wait)), false)
		} else {
			o.park(j, now.Add(wait), errkind.Of(err) == errkind.StoreUnavailable)
		}
	}
}

// recordRefusedStarts records a failure for each worker that definitely refused the start as
// unavailable. Lack of capacity, a stale token and a call without an answer do not count.
func (o *DataCentreOwner) recordRefusedStarts(j *job, g *gang, now time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.startSent && m.state == partNotStarted && errors.Is(m.startErr, remote.ErrUnavailable) {
			o.recordJobFailure(m.Worker, j, now)
		}
	}
}

// resetToQueued resets the job's control data and record to those of a queued job.
func (o *DataCentreOwner) resetToQueued(j *job) {
	j.status = jobQueued
	j.parts, j.cancelStart, j.adopted = nil, nil, false
	j.rec.Phase, j.rec.Placements, j.rec.Guaranteed, j.rec.Started = structs.PhaseAccepted, nil, false, time.Time{}
	o.records.put(j.rec)
}

// park removes a queued job from the policy's queue until the given time and, with forStore,
// until the store answers. A start that cannot succeed yet then blocks no capacity for other jobs.
func (o *DataCentreOwner) park(j *job, until time.Time, forStore bool) {
	if s := o.state.Job(j.id()); s != nil {
		j.progress = s.Progress
		o.apply(state.JobEnded{Job: j.id()})
	}
	j.status, j.parkedUntil, j.parkedForStore = jobParked, until, forStore
}

func (o *DataCentreOwner) parkExpired(j *job, now time.Time) bool {
	return !j.parkedUntil.After(now) && !(j.parkedForStore && o.records.isDown())
}

func (o *DataCentreOwner) enqueue(j *job, now time.Time) {
	j.status, j.parkedForStore = jobQueued, false
	o.apply(state.JobSubmitted{Job: j.rec.Job, Attempt: j.rec.Attempt, Progress: j.progress, Now: now})
}

// stopOrder describes why and how a running gang is stopped, and how the job continues.
type stopOrder struct {
	reason     string
	checkpoint bool
	grace      time.Duration
	failed     bool // a task failed, which counts against the job
	cooldown   time.Duration
}

// preempt executes a preemption that the state has accepted.
func (o *DataCentreOwner) preempt(j *job, a *structs.Action, now time.Time) {
	events.Info(o.log, events.JobPreempted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.String("for", a.PreemptedFor), zap.Bool("checkpoint", a.Checkpoint), zap.Duration("grace", a.Grace), zap.String("reason", a.Reason))
	order := stopOrder{reason: a.Reason, checkpoint: a.Checkpoint && j.rec.Job.Checkpoint, grace: a.Grace}
	if a.PreemptedFor != "" {
		// The cooldown protects a job that was preempted in favour of another one from repeated
		// preemption. A job that is stopped because its data centre drains or is out gets none: during
		// a cooldown it cannot start on capacity that a guarantee may reclaim, so it would wait needlessly.
		order.cooldown = preemptCooldown
	}
	o.stop(j, order, now)
}

// stop stops all tasks of a running job.
func (o *DataCentreOwner) stop(j *job, order stopOrder, now time.Time) {
	if j.status != jobRunning {
		return
	}
	j.status = jobStopping
	attempt := j.rec.Attempt
	o.recordDecision(j, "stop", order.reason, structs.Action{}, now)
	g := o.newGang(j)
	o.goRun(func() {
		if order.checkpoint {
			g.checkpoint(o.ctx, order.grace)
		}
		if o.call(o.ctx, func() { j.renewalStopped = true }) != nil {
			return
		}
		g.stopAll(o.ctx, time.Now().Add(stopTimeout))
		o.post(func() {
			if j.status == jobStopping && j.rec.Attempt == attempt && !o.fenced.Load() {
				o.applyStopResult(j, g, order, time.Now())
			}
		})
	})
}

// applyStopResult processes the result of a stop and decides how the job continues.
func (o *DataCentreOwner) applyStopResult(j *job, g *gang, order stopOrder, now time.Time) {
	for i := range j.parts {
		m, p := &g.members[i], &j.parts[i]
		m.latestExpiry = later(m.latestExpiry, p.latestExpiry) // a renewal may have overlapped the stop
		if p.state == partSucceeded && m.state != partSucceeded {
			m.state, m.answer = p.state, p.answer
		}
		*p = m.part
	}
	held, until := g.unresolved()
	if len(held) > 0 {
		o.recordDecision(j, "hold", "room is held until the leases have run out", structs.Action{}, now)
	}
	job := &j.rec.Job
	started := j.count(partNotStarted) < len(j.parts)
	switch {
	case j.count(partSucceeded) == len(j.parts):
		o.succeed(j, now)
	case j.rec.Cancel:
		o.endWithHolds(j, structs.OutcomeCancelled, "cancelled", held, until, now)
	case order.failed && (!job.Reclaimable() || len(j.failures) >= maxFailures || j.failedAttempts >= maxFailedAttempts):
		o.endWithHolds(j, structs.OutcomeFailed, order.reason, held, until, now)
	case started && !o.mayRunAgain(j):
		o.endWithHolds(j, structs.OutcomeMayHaveRun, order.reason, held, until, now)
	default:
		if g.checkpointed {
			o.apply(state.JobCheckpointed{Job: j.id(), Attempt: j.rec.Attempt, Now: now})
			j.rec.Checkpoints++
		}
		o.apply(state.JobStopped{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Failed: order.failed, Cooldown: order.cooldown, Now: now})
		o.resetToQueued(j)
		if len(held) > 0 {
			o.park(j, until, false)
		}
	}
}

// mayRunAgain reports whether a started attempt may be followed by another one. While an adopted
// attempt is not confirmed, its result is in doubt, and only an idempotent job may run again.
func (o *DataCentreOwner) mayRunAgain(j *job) bool {
	return j.rec.Job.Idempotent || (j.rec.Job.Checkpoint && !j.adopted)
}

// succeed ends a job whose tasks have all succeeded. The answer of the job is that of task 0.
func (o *DataCentreOwner) succeed(j *job, now time.Time) {
	for i := range j.parts {
		o.recordJobSuccess(j.parts[i].Worker)
		if j.parts[i].Task == 0 {
			j.rec.Answer = j.parts[i].answer
		}
	}
	reason := "every task succeeded"
	if len(j.rec.Answer) > maxAnswerBytes {
		j.rec.Answer, reason = nil, "every task succeeded; the answer is larger than a record allows"
	}
	o.end(j, structs.OutcomeSucceeded, reason, now)
}

func (o *DataCentreOwner) end(j *job, outcome structs.JobOutcome, reason string, now time.Time) {
	o.endWithHolds(j, outcome, reason, nil, time.Time{}, now)
}

// endWithHolds ends a job. Its capacity on the held workers stays unavailable until the given time.
func (o *DataCentreOwner) endWithHolds(j *job, outcome structs.JobOutcome, reason string, held []string, until, now time.Time) {
	if s := o.state.Job(j.id()); s != nil {
		var run time.Duration
		if outcome == structs.OutcomeSucceeded {
			run = s.Progress + now.Sub(s.CheckpointAt)
		}
		o.apply(state.JobEnded{Job: j.id(), HoldWorkers: held, HoldUntil: until, RunTime: run})
	}
	before := j.rec
	j.rec.Phase, j.rec.Outcome, j.rec.Reason, j.rec.Ended = structs.PhaseEnded, outcome, reason, now
	j.rec.Placements = nil
	j.status, j.endedAt, j.parts = jobEnded, now, nil
	o.records.put(j.rec)
	o.endedRecords = append(o.endedRecords, endedRecord{id: j.id(), ended: now})
	events.Info(o.log, events.JobEnded, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.String("outcome", string(outcome)), zap.String("reason", reason), zap.Strings("held", held))
	o.recordDecision(j, "ended", string(outcome)+": "+reason, structs.Action{}, now)
	metrics.GetOrRegisterCounter("owner.ended."+string(outcome), o.opts.Metrics).Inc(1)
	// The end is reported once its record is in the store, so that no later owner contradicts it.
	j.lastReported = &before
	o.reportSuccess(j)
}

// reportSuccess reports a success during a store outage before its record is written. This is
// safe because a successor can read the success from the workers; the other outcomes are
// decisions of this owner, which only its record shows.
func (o *DataCentreOwner) reportSuccess(j *job) {
	if j.lastReported != nil && j.rec.Outcome == structs.OutcomeSucceeded && o.records.isDown() {
		j.lastReported = nil
		close(j.done)
	}
}

// recordStored reports the end of a job once its record is in the store.
func (o *DataCentreOwner) recordStored(id string) {
	if j := o.jobs[id]; j != nil && j.status == jobEnded && j.lastReported != nil {
		j.lastReported = nil
		close(j.done)
	}
}

// dropEnded removes an ended job from memory once its record is written.
func (o *DataCentreOwner) dropEnded(j *job) {
	if j.status == jobEnded {
		if o.records.revision(j.id()) == 0 {
			return
		}
		h := metrics.GetOrRegisterHistogram("owner.record_writes_per_job", o.opts.Metrics, metrics.NewUniformSample(1024))
		h.Update(int64(o.records.writeCount(j.id())))
	}
	delete(o.jobs, j.id())
}

// evaluate derives the state of a running gang from the known states of its parts.
func (o *DataCentreOwner) evaluate(j *job, now time.Time) {
	if j.status != jobRunning {
		return
	}
	n := len(j.parts)
	switch {
	case j.count(partFailed) > 0:
		for i := range j.parts {
			if p := &j.parts[i]; p.state == partFailed {
				j.failures = append(j.failures, failure{worker: p.Worker, at: now})
				j.failedAttempts++
				o.recordJobFailure(p.Worker, j, now)
				o.stop(j, stopOrder{reason: "a task failed on worker " + p.Worker, failed: true}, now)
				return
			}
		}
	case j.count(partSucceeded) == n:
		o.succeed(j, now)
	case j.count(partUnknown) > 0 && j.count(partUnknown, partNotStarted) == n:
		// Nothing shows yet that the attempt was started: wait for the workers without an answer.
	case j.count(partLost, partNotStarted) > 0:
		o.stop(j, stopOrder{reason: "the gang lost a member"}, now)
	case j.adopted && j.count(partUnknown) == 0:
		o.confirmAdopted(j, now)
	}
}

// checkLeases stops a gang if the lease of one of its tasks may have expired.
func (o *DataCentreOwner) checkLeases(j *job, now time.Time) {
	for i := range j.parts {
		p := &j.parts[i]
		if (p.state == partRunning || p.state == partUnknown) && !p.earliestExpiry.After(now) {
			o.stop(j, stopOrder{reason: "worker " + p.Worker + " has not renewed until the lease ran out"}, now)
			return
		}
	}
}
