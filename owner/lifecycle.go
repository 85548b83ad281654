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
	// maxFailures is how many attempts may fail before the job counts as the cause. When
	// all of them failed on one worker, that worker is ejected and the job tried elsewhere,
	// up to maxFailedAttempts in all.
	maxFailures       = 3
	maxFailedAttempts = 6
	// retryDelay is the pause after a failed start; it doubles up to maxRetryDelay.
	retryDelay    = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// newGang returns the gang of the job's current attempt.
func (o *DataCentreOwner) newGang(j *job) *gang {
	g := &gang{o: o, rec: j.rec, members: make([]member, len(j.parts))}
	for i, p := range j.parts {
		g.members[i] = member{part: p, client: o.clientOf(p.Worker)}
	}
	return g
}

// clientOf returns the client of a worker, or one that never answers.
func (o *DataCentreOwner) clientOf(id string) remote.Worker {
	if w := o.workers[id]; w != nil {
		return w.client
	}
	return absentWorker{}
}

// start carries out a start that the state has booked.
func (o *DataCentreOwner) start(j *job, placements []structs.Placement, now time.Time) {
	j.status = jobStarting
	j.rec.Attempt = o.d.Job(j.id()).Attempt
	j.rec.Phase = structs.PhaseStarting
	j.rec.Placements, j.rec.Guaranteed = placements, o.d.Job(j.id()).Guaranteed
	j.parts = make([]part, len(placements))
	for i, p := range placements {
		j.parts[i] = part{Placement: p, state: partNotStarted}
	}
	j.noRenew, j.adopted = false, false
	intent := o.records.put(j.rec)
	ctx, cancel := context.WithCancel(o.ctx)
	j.cancelStart = cancel
	g := o.newGang(j)
	o.starts.Add(1)
	o.goRun(func() {
		defer o.starts.Done()
		defer cancel()
		err := g.start(ctx, intent)
		if err != nil {
			g.undo(o.ctx)
		}
		o.post(func() { o.started(j, g, err, time.Now()) })
	})
}

// started takes the result of a start.
func (o *DataCentreOwner) started(j *job, g *gang, err error, now time.Time) {
	if j.status != jobStarting || j.rec.Attempt != g.rec.Attempt || o.fenced.Load() {
		return // the job, or the whole data centre, has another owner now
	}
	for i := range j.parts {
		j.parts[i] = g.members[i].part
	}
	if err != nil {
		o.startFailed(j, g, err, now)
		return
	}
	if j.overtakenBy != nil {
		// An idempotent job was started before the answer to its intent came.
		o.records.track(j.id(), j.overtakenBy.Revision)
		j.overtakenBy = nil
	}
	o.apply(state.StartConfirmed{Job: j.id(), Attempt: j.rec.Attempt, Now: now})
	j.status, j.startedAt, j.startRetries = jobRunning, now, 0
	j.rec.Phase, j.rec.Started = structs.PhaseRunning, now
	o.records.put(j.rec)
	events.Info(o.log, events.JobStarted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt), zap.Any("placements", j.rec.Placements))
	o.note(j, "started", "every task runs", structs.Action{}, now)
	for _, p := range j.parts {
		if w := o.workers[p.Worker]; w != nil {
			select {
			case w.started <- struct{}{}:
			default:
			}
		}
	}
	switch {
	case j.rec.Cancel:
		o.stop(j, stopOrder{reason: "cancelled"}, now)
	case o.d.Stage == structs.StageOut:
		o.evacuate(now)
	}
}

// startFailed takes the result of a start that was undone.
func (o *DataCentreOwner) startFailed(j *job, g *gang, err error, now time.Time) {
	held, until := g.unsettled()
	mayHaveRun := g.ran() || j.count(partUnknown) > 0
	events.Info(o.log, events.JobStartFailed, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.Strings("held", held), zap.Bool("may_have_run", mayHaveRun), zap.Error(err))
	o.note(j, "start failed", err.Error(), structs.Action{}, now)
	o.blameStart(j, g, now)
	switch {
	case j.overtakenBy != nil:
		kv := *j.overtakenBy
		j.overtakenBy = nil
		o.apply(state.StartFailed{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Now: now})
		o.reload(j, kv)
	case mayHaveRun && !j.rec.Job.Idempotent:
		o.endHeld(j, structs.OutcomeMayHaveRun, "start failed: "+err.Error(), held, until, now)
	case j.rec.Cancel:
		o.endHeld(j, structs.OutcomeCancelled, "cancelled", held, until, now)
	default:
		o.apply(state.StartFailed{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Now: now})
		o.requeued(j)
		wait := min(retryDelay<<min(j.startRetries, 10), maxRetryDelay)
		j.startRetries++
		if mayHaveRun {
			o.park(j, later(until, now.Add(wait)), false)
		} else {
			o.park(j, now.Add(wait), errkind.Of(err) == errkind.StoreUnavailable)
		}
	}
}

// blameStart counts definite refusals against their workers. A lack of room, a stale token
// and an unanswered call are no fault of the worker's tasks.
func (o *DataCentreOwner) blameStart(j *job, g *gang, now time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.sent && m.state == partNotStarted && errors.Is(m.startErr, remote.ErrUnavailable) {
			o.blame(m.Worker, j, now)
		}
	}
}

// requeued brings the job's control back to the state that its queued job has.
func (o *DataCentreOwner) requeued(j *job) {
	j.status = jobQueued
	j.parts, j.cancelStart, j.adopted = nil, nil, false
	j.rec.Phase, j.rec.Placements, j.rec.Guaranteed, j.rec.Started = structs.PhaseAccepted, nil, false, time.Time{}
	o.records.put(j.rec)
}

// park takes a queued job out of the policy's sight until a time, or until the store
// answers, so that a start that cannot work now does not block the room of others.
func (o *DataCentreOwner) park(j *job, until time.Time, forStore bool) {
	if s := o.d.Job(j.id()); s != nil {
		j.progress = s.Progress
		o.apply(state.JobEnded{Job: j.id()})
	}
	j.status, j.parkedUntil, j.parkedStore = jobParked, until, forStore
}

func (o *DataCentreOwner) parkOver(j *job, now time.Time) bool {
	return !j.parkedUntil.After(now) && !(j.parkedStore && o.records.isDown())
}

func (o *DataCentreOwner) unpark(j *job, now time.Time) {
	j.status, j.parkedStore = jobQueued, false
	o.apply(state.JobSubmitted{Job: j.rec.Job, Attempt: j.rec.Attempt, Progress: j.progress, Now: now})
}

// stopOrder says why a running gang is stopped and what becomes of the job.
type stopOrder struct {
	reason     string
	checkpoint bool
	grace      time.Duration
	failed     bool // a task failed: counts against the job
	cooldown   time.Duration
}

// preempt carries out a preemption that the state has booked.
func (o *DataCentreOwner) preempt(j *job, a *structs.Action, now time.Time) {
	events.Info(o.log, events.JobPreempted, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.String("for", a.PreemptedFor), zap.Bool("checkpoint", a.Checkpoint), zap.Duration("grace", a.Grace), zap.String("reason", a.Reason))
	order := stopOrder{reason: a.Reason, checkpoint: a.Checkpoint && j.rec.Job.Checkpoint, grace: a.Grace}
	if a.PreemptedFor != "" {
		// Only a job that made room for another needs protection from being preempted over
		// and over. During the cooldown it cannot be lent room, so that one that left its
		// data centre would wait for nothing.
		order.cooldown = preemptCooldown
	}
	o.stop(j, order, now)
}

// stop ends the running gang of a job as a whole.
func (o *DataCentreOwner) stop(j *job, order stopOrder, now time.Time) {
	if j.status != jobRunning {
		return
	}
	j.status = jobStopping
	attempt := j.rec.Attempt
	o.note(j, "stop", order.reason, structs.Action{}, now)
	g := o.newGang(j)
	o.goRun(func() {
		if order.checkpoint {
			g.checkpoint(o.ctx, order.grace)
		}
		if o.ask(o.ctx, func() { j.noRenew = true }) != nil {
			return
		}
		g.settle(o.ctx, time.Now().Add(stopWait))
		o.post(func() {
			if j.status == jobStopping && j.rec.Attempt == attempt && !o.fenced.Load() {
				o.stopped(j, g, order, time.Now())
			}
		})
	})
}

// stopped takes the result of a stop and decides what becomes of the job.
func (o *DataCentreOwner) stopped(j *job, g *gang, order stopOrder, now time.Time) {
	for i := range j.parts {
		m, p := &g.members[i], &j.parts[i]
		m.leaseMax = later(m.leaseMax, p.leaseMax) // a renewal may have overlapped the stop
		if p.state == partSucceeded && m.state != partSucceeded {
			m.state, m.answer = p.state, p.answer
		}
		*p = m.part
	}
	held, until := g.unsettled()
	if len(held) > 0 {
		o.note(j, "hold", "room is held until the leases have run out", structs.Action{}, now)
	}
	job := &j.rec.Job
	started := j.count(partNotStarted) < len(j.parts)
	switch {
	case j.count(partSucceeded) == len(j.parts):
		o.succeed(j, now)
	case j.rec.Cancel:
		o.endHeld(j, structs.OutcomeCancelled, "cancelled", held, until, now)
	case order.failed && (!job.Reclaimable() || len(j.failures) >= maxFailures || j.failed >= maxFailedAttempts):
		o.endHeld(j, structs.OutcomeFailed, order.reason, held, until, now)
	case started && !o.mayRunAgain(j):
		o.endHeld(j, structs.OutcomeMayHaveRun, order.reason, held, until, now)
	default:
		if g.reached {
			o.apply(state.JobCheckpointed{Job: j.id(), Attempt: j.rec.Attempt, Now: now})
			j.rec.Checkpoints++
		}
		o.apply(state.JobStopped{Job: j.id(), Attempt: j.rec.Attempt, HoldWorkers: held, HoldUntil: until, Failed: order.failed, Cooldown: order.cooldown, Now: now})
		o.requeued(j)
		if len(held) > 0 {
			o.park(j, until, false)
		}
	}
}

// mayRunAgain reports whether a started attempt may be followed by another one. An adopted
// attempt that never settled is in doubt, where only an idempotent job runs again.
func (o *DataCentreOwner) mayRunAgain(j *job) bool {
	return j.rec.Job.Idempotent || (j.rec.Job.Checkpoint && !j.adopted)
}

// succeed ends a job whose tasks have all succeeded. Its answer is the first task's.
func (o *DataCentreOwner) succeed(j *job, now time.Time) {
	for i := range j.parts {
		o.cleared(j.parts[i].Worker)
		if j.parts[i].Task == 0 {
			j.rec.Answer = j.parts[i].answer
		}
	}
	reason := "every task succeeded"
	if len(j.rec.Answer) > maxAnswer {
		j.rec.Answer, reason = nil, "every task succeeded; the answer is larger than a record allows"
	}
	o.end(j, structs.OutcomeSucceeded, reason, now)
}

func (o *DataCentreOwner) end(j *job, outcome structs.JobOutcome, reason string, now time.Time) {
	o.endHeld(j, outcome, reason, nil, time.Time{}, now)
}

// endHeld ends a job for good. Room on held workers stays out of use until a time.
func (o *DataCentreOwner) endHeld(j *job, outcome structs.JobOutcome, reason string, held []string, until, now time.Time) {
	if s := o.d.Job(j.id()); s != nil {
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
	o.expired = append(o.expired, endedRecord{id: j.id(), ended: now})
	events.Info(o.log, events.JobEnded, zap.String("job", j.id()), zap.Int("attempt", j.rec.Attempt),
		zap.String("outcome", string(outcome)), zap.String("reason", reason), zap.Strings("held", held))
	o.note(j, "ended", string(outcome)+": "+reason, structs.Action{}, now)
	metrics.GetOrRegisterCounter("owner.ended."+string(outcome), o.o.Metrics).Inc(1)
	// An end is reported once the store has it, so that no successor contradicts it.
	j.before = &before
	o.reportSuccess(j)
}

// reportSuccess reports a success during an outage of the store without its record: a
// successor finds it at the workers again. Other outcomes are this owner's decision.
func (o *DataCentreOwner) reportSuccess(j *job) {
	if j.before != nil && j.rec.Outcome == structs.OutcomeSucceeded && o.records.isDown() {
		j.before = nil
		close(j.done)
	}
}

// recordSettled reports the end of a job whose record is in the store.
func (o *DataCentreOwner) recordSettled(id string) {
	if j := o.jobs[id]; j != nil && j.status == jobEnded && j.before != nil {
		j.before = nil
		close(j.done)
	}
}

// dropEnded forgets an ended job once its record is written.
func (o *DataCentreOwner) dropEnded(j *job) {
	if j.status == jobEnded {
		if o.records.revision(j.id()) == 0 {
			return
		}
		h := metrics.GetOrRegisterHistogram("owner.record_writes_per_job", o.o.Metrics, metrics.NewUniformSample(1024))
		h.Update(int64(o.records.writesOf(j.id())))
	}
	delete(o.jobs, j.id())
}

// judge decides what the known parts of a running gang mean for the whole.
func (o *DataCentreOwner) judge(j *job, now time.Time) {
	if j.status != jobRunning {
		return
	}
	n := len(j.parts)
	switch {
	case j.count(partFailed) > 0:
		for i := range j.parts {
			if p := &j.parts[i]; p.state == partFailed {
				j.failures = append(j.failures, failure{worker: p.Worker, at: now})
				j.failed++
				o.blame(p.Worker, j, now)
				o.stop(j, stopOrder{reason: "a task failed on worker " + p.Worker, failed: true}, now)
				return
			}
		}
	case j.count(partSucceeded) == n:
		o.succeed(j, now)
	case j.count(partUnknown) > 0 && j.count(partUnknown, partNotStarted) == n:
		// Nothing shows yet that the attempt was started: wait for the silent workers.
	case j.count(partGone, partNotStarted) > 0:
		o.stop(j, stopOrder{reason: "the gang lost a member"}, now)
	case j.adopted && j.count(partUnknown) == 0:
		o.confirmAdopted(j, now)
	}
}

// checkLeases finds gangs that have a member whose lease has run out.
func (o *DataCentreOwner) checkLeases(j *job, now time.Time) {
	for i := range j.parts {
		p := &j.parts[i]
		if (p.state == partRunning || p.state == partUnknown) && !p.leaseMin.After(now) {
			o.stop(j, stopOrder{reason: "worker " + p.Worker + " has not renewed until the lease ran out"}, now)
			return
		}
	}
}
