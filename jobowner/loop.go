package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// loop makes decisions, writes them and sends the orders until ctx ends. It does not wait for the writes:
// decisions go on while the store is slow.
func (t *Term) loop(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		took := t.cycle(ctx)
		timer.Reset(t.idleTime())
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
			continue
		}
		timer.Reset(pauseAfter(took))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// pauseAfter returns the pause of the loop after a decision of the given duration.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(decisionInterval, pauseFactor*took), maxDecisionPause)
}

// idleTime returns how long the loop may wait when nothing wakes it.
func (t *Term) idleTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextDue == 0 {
		return idleInterval
	}
	due := time.Duration(t.nextDue-t.opts.WallClock().UnixMilli()) * time.Millisecond
	return max(time.Millisecond, min(due, idleInterval))
}

// cycle makes one decision and starts to carry it out. It returns how long the decision took.
func (t *Term) cycle(ctx context.Context) (took time.Duration) {
	began := time.Now()
	var batches []*batch
	if err := t.opts.Guard.Do("decision", func() { batches = t.decide(ctx, began) }); err != nil {
		t.terminate("a decision failed") // the state may be inconsistent; the next term reads it from the store
		return 0
	}
	took = time.Since(began)
	t.decisions.Update(took.Microseconds())
	for _, b := range batches {
		t.tasks.Add(1)
		go func() {
			defer t.tasks.Done()
			if err := t.opts.Guard.Do("write of records", func() { t.write(ctx, b) }); err != nil {
				t.terminate("a write failed")
			}
		}()
	}
	return took
}

// decide updates the state, plans, and sends the orders that need no prior write. It returns the
// records to be written.
func (t *Term) decide(ctx context.Context, now time.Time) []*batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyTimers(now)
	t.checkListAge(now)
	t.checkIntakeAge(now)
	t.followCaps(now)
	var plan placement.Plan
	if t.opts.Config() != nil { // without it no cap is known, as after a restart of this process
		plan = t.policy.Decide(t.cluster, t.workspace, now)
	}
	stops := t.runsToStop(now)
	batches := t.nextBatches()
	t.logPlan(plan)
	t.checkWaits(now)
	t.updateAdmission(now)
	t.queueAdvice(plan.NeedAdvice)
	for _, run := range stops {
		t.orderStop(ctx, run)
	}
	return batches
}

// workspace returns the configuration of the workspace, or nil if it has none.
func (t *Term) workspace(name string) *workload.Workspace {
	config := t.opts.Config()
	if config == nil {
		return nil
	}
	return config.Workspace(name)
}

// applyTimers makes the transitions that depend only on the time.
func (t *Term) applyTimers(now time.Time) {
	t.openDue(now)
	if now.Sub(t.checkedAt) >= checkInterval {
		t.checkedAt = now
		t.checkWorkers(now)
		t.evictEnded(now)
		t.evictRevocations(now)
		t.backlogGauge.Update(t.backlog.Load())
	}
}

// runsToStop marks the runs of ended jobs, and of gangs that have lost a member, as stopping. It
// returns all runs whose stop has not been sent.
func (t *Term) runsToStop(now time.Time) []*jobstate.Run {
	var stops []*jobstate.Run
	broken := map[*jobstate.Step]bool{} // gangs of which a member is being stopped
	for _, w := range t.cluster.Workers {
		for r := range w.Runs {
			if r.Phase != jobstate.Stopping && r.Task.Run == r {
				if reason := stopReason(r); reason != "" {
					r.RequestStop(reason, now)
				}
			}
			if r.Phase != jobstate.Stopping {
				continue
			}
			if !r.StopSent {
				stops = append(stops, r)
			}
			if s := r.Task.Step; r.Task.Run == r && s.Spec.Gang && !s.Done() {
				broken[s] = true
			}
		}
	}
	for s := range broken {
		for _, task := range s.Tasks {
			if r := task.Run; r != nil && r.Phase != jobstate.Stopping {
				r.RequestStop(gangMemberEnded, now)
				stops = append(stops, r)
			}
		}
	}
	return stops
}

// gangMemberEnded is the stop reason of the remaining members of a gang.
const gangMemberEnded = "gang member ended"

// stopReason returns why the run must be stopped, or "" if it may continue.
func stopReason(r *jobstate.Run) string {
	s := r.Task.Step
	j := s.Occurrence.Job
	if j.State.Ended() {
		return "job " + string(j.State)
	}
	if s.Spec.Gang && !s.Done() && s.Active < len(s.Tasks) {
		return gangMemberEnded
	}
	return ""
}

// evictEnded releases the tasks of ended jobs, removes jobs that ended more than EndedRetention ago from memory, and starts
// their removal from the store.
func (t *Term) evictEnded(now time.Time) {
	for id, j := range t.cluster.Jobs {
		if j.State.Ended() && !j.Released && !j.Dirty && !j.Writing && len(j.Runs()) == 0 {
			t.releaseJob(j)
		}
		if j.State.Ended() && !j.Dirty && !j.Writing && now.Sub(j.EndedAt) > t.opts.EndedRetention && len(j.Runs()) == 0 {
			delete(t.cluster.Jobs, id)
			t.shrinkInBacklog(j, 0)
			t.tasks.Add(1)
			go t.removeJob(id, j.Revision)
		}
	}
}

// maxBlockLogs limits the log lines about blocked steps per decision.
const maxBlockLogs = 2

func (t *Term) logPlan(plan placement.Plan) {
	for _, r := range plan.Stops {
		events.Info(t.opts.Log, events.RunPreempted, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
			zap.String("worker", r.Worker.ID), zap.String("reason", r.StopReason))
	}
	for _, p := range plan.Reclaims {
		t.preempted.Inc(int64(p.Runs))
		t.discarded.Inc(int64(p.Discarded))
		events.Info(t.opts.Log, events.RoomReclaimed, zap.String("job", p.Step.Occurrence.Job.Submission.ID), zap.Int("step", p.Step.Number),
			zap.Duration("waited", p.Waited), zap.Int("runs", p.Runs), zap.Float64("discarded_core_s", p.Discarded), zap.Float64("limit_core_s", p.Limit),
			zap.Bool("for_cap", p.ForCap))
	}
	for n, b := range plan.Blocks {
		if n == maxBlockLogs {
			return
		}
		if ce := t.opts.Log.Check(zap.DebugLevel, events.Message(events.StepBlocked)); ce != nil {
			ce.Write(events.Field(events.StepBlocked), zap.String("job", b.Step.Occurrence.Job.Submission.ID),
				zap.Int("step", b.Step.Number), zap.String("reason", b.Reason))
		}
	}
}
