package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// runKey identifies a run in a worker's reports.
type runKey struct {
	task   string
	number int
}

// apply updates the state from a report that was requested at sent. The caller holds the lock.
func (a *agent) apply(report workerapi.Report, sent time.Time) {
	t, w, now := a.t, a.worker, time.Now()
	if w.Confirmed && report.Incarnation != 0 && w.Incarnation != 0 && report.Incarnation != w.Incarnation {
		t.replaceIncarnation(w, report.Incarnation, w.Address, now)
		return
	}
	a.confirmIncarnation(report.Incarnation)
	changed := !w.Answered || w.Unresponsive || len(w.Untracked) > 0
	if !a.recordAnswer(report.Clock, sent, now) {
		return
	}
	w.ReportedAt = later(w.ReportedAt, sent)
	runs := make(map[runKey]*jobstate.Run, len(w.Runs))
	for r := range w.Runs {
		runs[runKey{r.Task.Name().String(), r.Number}] = r
	}
	present := make(map[*jobstate.Run]bool, len(report.Running))
	unexpected := map[string]bool{}
	for n := range report.Running {
		row := &report.Running[n]
		if r := runs[runKey{row.Task, row.Run}]; r != nil {
			present[r] = true
			changed = changed || r.StartedAt.IsZero()
			t.recordRunning(r, row, report.Clock, now)
			continue
		}
		changed = true
		unexpected[row.Task] = true
		t.stopUnexpectedRun(a, row.Task, row.Run)
	}
	for _, e := range report.Ended {
		if e.Sequence <= a.appliedEnd {
			continue
		}
		a.appliedEnd = e.Sequence
		changed = true
		if r := runs[runKey{e.Task, e.Run}]; r != nil {
			a.ends = append(endsAfter(a.ends, a.storedEnd), unacknowledgedEnd{e.Sequence, r.Task.Step.Occurrence.Job})
			t.recordEnd(r, e, report.Clock, now)
			continue
		}
		t.recordLateEnd(a, e, now)
	}
	for task := range w.Untracked {
		if !unexpected[task] {
			w.RemoveUntracked(task)
		}
	}
	// A run that is in neither list of a truncated report may have ended as done.
	absent := !report.EndsTruncated && t.endAbsentRuns(w, present, sent, now)
	t.throttleFillers(a, now)
	if changed || absent {
		t.wakeLoop() // progress alone waits for the next decision
	}
}

// confirmIncarnation records which incarnation answers at the worker's address. If its entry names another one, that is
// not the worker's own, and the worker gets no new work until it writes one. The caller holds the lock.
func (a *agent) confirmIncarnation(incarnation int64) {
	w := a.worker
	if !w.Confirmed && w.Incarnation != 0 && incarnation != w.Incarnation {
		a.t.excludeUntilListed(w.ID)
		delete(a.t.entries, w.ID)
		w.Incarnation = incarnation
	}
	if w.Incarnation == 0 {
		w.Incarnation = incarnation
	}
}

// replaceIncarnation replaces a worker after a report of another incarnation at the address. Requests to it are made only
// after the former one has answered for the last time, so that the number of the answering one need not be higher. It gets
// no new work until it is listed. The caller holds the lock.
func (t *Term) replaceIncarnation(w *jobstate.Worker, incarnation int64, address string, now time.Time) {
	t.learner.observeLost(w, now)
	events.Info(t.opts.Log, events.WorkerIncarnationEnded, zap.String("worker", w.ID), zap.Int64("life", w.Incarnation), zap.Int("runs", len(w.Runs)),
		zap.String("reason", "report of another incarnation"), zap.Int64("new_life", incarnation))
	next := t.cluster.ReplaceWorker(w, w.ID, incarnation, now)
	next.Address, next.Service, next.DataCentre, next.Rack = address, w.Service, w.DataCentre, w.Rack
	next.Labels, next.Capacity, next.Confirmed = w.Labels, w.Capacity, true
	delete(t.unlistedSince, w)
	delete(t.entries, w.ID)
	t.ensureAgent(next)
	if e := t.disputed[w.ID]; e != nil && t.describes(next, e) {
		delete(t.disputed, w.ID)
		t.list(next, *e, now)
	}
	t.wakeLoop()
}

// recordAnswer updates the worker's liveness and clock after an answer to a request that was sent at sent. It returns false
// if the worker is another one under a second ID. The caller holds the lock.
func (a *agent) recordAnswer(clock int64, sent, now time.Time) bool {
	if !a.worker.Answered {
		if !a.t.takeAddress(a.worker, now) {
			return false
		}
		a.worker.Answered, a.worker.Confirmed = true, true
		a.worker.LeaseEnds = now.Add(a.t.maxLeaseDuration()) // after this answer no former owner can renew it
		events.Info(a.t.opts.Log, events.WorkerAnswered, zap.String("worker", a.worker.ID), zap.Int64("life", a.worker.Incarnation))
	}
	a.failures = 0
	a.silent.Store(false)
	a.lastAnswer = now
	if a.worker.Unresponsive {
		a.worker.Unresponsive, a.worker.RecordedLeaseEnds, a.worker.RecordedLeaseClock = false, 0, nil
		a.worker.MarkJobsDirty()
	}
	if a.clockAt.IsZero() || clock > a.clockMs {
		a.clockMs, a.clockAt = clock, now
	}
	return true
}

// recordRunning applies a row of a report that its worker made at the time clock, in milliseconds.
func (t *Term) recordRunning(r *jobstate.Run, row *workerapi.RunStatus, clock int64, now time.Time) {
	if r.StartedAt.IsZero() {
		t.confirm(r, now)
	}
	r.Observe(row.Percent, clock, now)
	r.Load = row.Load
	r.Task.SetCheckpoint(row.Checkpoint)
}

// confirm records that the worker has started the run.
func (t *Term) confirm(r *jobstate.Run, now time.Time) {
	r.Confirm(now)
	t.started.Inc(1)
	t.startWait.Update(now.Sub(r.Task.Step.ReadyAt).Microseconds())
}

// recordEnd applies an end in a report that its worker made at the time clock, in milliseconds.
func (t *Term) recordEnd(r *jobstate.Run, e workerapi.EndedRun, clock int64, now time.Time) {
	if r.StartedAt.IsZero() {
		t.confirm(r, now)
	}
	events.Info(t.opts.Log, events.RunEnded, zap.String("task", e.Task), zap.Int("run", e.Run), zap.String("worker", r.Worker.ID),
		zap.String("how", string(e.Outcome)), zap.Duration("after", now.Sub(r.StartedAt)))
	if avoidance := placement.RecordEnd(r, e.Outcome, now); avoidance > 0 {
		events.Warn(t.opts.Log, events.WorkerAvoided, zap.String("worker", r.Worker.ID), zap.Int("failures", r.Worker.FailStreak), zap.Duration("for", avoidance))
	}
	t.learner.observe(r, e.Outcome, clock, now, t.opts.Log)
	t.addUnstoredEnd(r.Task.Step.Occurrence.Job, e)
	t.observeRunTime(r, e.Outcome, now)
	t.cluster.End(r, e.Outcome, e.Checkpoint, now)
}

// recordLateEnd applies an end as done of a run that is not tracked any more. The worker may have been cut off for longer than
// its lease, so that the run counted as lost. The task has run whole: it must not start again, and newer runs are stopped.
func (t *Term) recordLateEnd(a *agent, e workerapi.EndedRun, now time.Time) {
	if e.Outcome != jobstate.EndDone {
		return
	}
	name, err := workload.ParseTaskName(e.Task)
	if err != nil {
		t.opts.Log.Warn("end of a run ignored", zap.String("task", e.Task), zap.String("worker", a.worker.ID), zap.Error(err))
		return
	}
	newer, completed := t.cluster.CompleteLate(name, e.Run, now)
	if !completed {
		return
	}
	a.ends = append(endsAfter(a.ends, a.storedEnd), unacknowledgedEnd{e.Sequence, t.cluster.Jobs[name.Job]})
	events.Info(t.opts.Log, events.RunEnded, zap.String("task", e.Task), zap.Int("run", e.Run), zap.String("worker", a.worker.ID),
		zap.String("how", string(e.Outcome)), zap.Bool("late", true), zap.Int("newer_runs", len(newer)))
	for _, r := range newer {
		r.RequestStop("another run of its task has ended as done", now)
	}
}

// endAbsentRuns ends runs that are missing in the worker's report. A run that this owner ordered is
// ended only if its start was confirmed or stopped before the report was requested, because answers can
// arrive out of order. It returns whether it ended any.
func (t *Term) endAbsentRuns(w *jobstate.Worker, present map[*jobstate.Run]bool, sent, now time.Time) bool {
	before := len(w.Runs)
	for r := range w.Runs {
		if present[r] || r.Phase == jobstate.Planned {
			continue
		}
		switch {
		case !r.CannotStartSince.IsZero() && r.CannotStartSince.Before(sent):
			t.endAbsent(r, jobstate.EndNeverStarted, now)
		case !r.StartSent && r.StartedAt.IsZero():
			// Ordered by a former owner, whose token the worker no longer accepts.
			t.endAbsent(r, jobstate.EndNeverStarted, now)
		case !r.StartedAt.IsZero() && r.StartedAt.Before(sent):
			t.endAbsent(r, jobstate.EndLeaseExpired, now)
		case r.StartUncertain && r.Phase == jobstate.Ordered:
			r.RequestStop("not running on the restarted worker", now) // the stop also keeps it from starting there later
		}
	}
	return len(w.Runs) < before
}

func (t *Term) endAbsent(r *jobstate.Run, outcome jobstate.End, now time.Time) {
	events.Info(t.opts.Log, events.RunAbsent, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
		zap.String("worker", r.Worker.ID), zap.String("taken_for", string(outcome)))
	t.learner.observe(r, outcome, 0, now, t.opts.Log)
	t.cluster.End(r, outcome, "", now)
}

// stopUnexpectedRun stops a reported run that is not in the state, and reserves its resources on the
// worker until it is no longer reported. The caller holds the lock.
func (t *Term) stopUnexpectedRun(a *agent, task string, number int) {
	var allocation workload.Resources
	if name, err := workload.ParseTaskName(task); err == nil {
		if j := t.cluster.Jobs[name.Job]; j != nil && name.Step < len(j.Submission.Steps) {
			allocation = j.Submission.Steps[name.Step].Allocation()
		}
	}
	a.worker.AddUntracked(task, allocation)
	events.Warn(t.opts.Log, events.UnexpectedRun, zap.String("task", task), zap.Int("run", number), zap.String("worker", a.worker.ID))
	order := workerapi.Stop{Task: task, Run: number, Token: a.token()}
	target := a.target()
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), maxOrderTimeout)
		defer cancel()
		if _, err := t.opts.Workers.Stop(ctx, target, order); err != nil {
			t.opts.Log.Debug("unexpected run not stopped", zap.String("task", task), zap.Error(err))
		}
	}()
}
