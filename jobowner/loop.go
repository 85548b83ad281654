package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
)

// loop decides, writes and gives orders until ctx ends.
func (t *Term) loop(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		again, took := t.cycle(ctx)
		if !again {
			timer.Reset(t.untilNext())
			select {
			case <-ctx.Done():
				return
			case <-t.wake:
			case <-timer.C:
				continue
			}
		}
		timer.Reset(pauseAfter(took))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// pauseAfter returns how long the loop pauses after a decision that took the time given.
func pauseAfter(took time.Duration) time.Duration {
	return min(max(decisionInterval, pauseFactor*took), maxDecisionPause)
}

// untilNext returns how long the loop may rest when nothing wakes it.
func (t *Term) untilNext() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextDue == 0 {
		return idleInterval
	}
	due := time.Duration(t.nextDue-t.o.Wall().UnixMilli()) * time.Millisecond
	return max(time.Millisecond, min(due, idleInterval))
}

// cycle makes one decision and carries it out. It returns whether more is to be written, and how
// long the decision took.
func (t *Term) cycle(ctx context.Context) (again bool, took time.Duration) {
	began := time.Now()
	var batch *batch
	if err := t.o.Guard.Do("decision", func() { batch, again = t.decide(ctx, began) }); err != nil {
		t.over("a decision failed") // what it left half done is read anew from the store
		return false, 0
	}
	took = time.Since(began)
	t.decisions.Update(took.Microseconds())
	if batch.empty() || !t.commit(ctx, batch) {
		return false, took
	}
	t.committed(ctx, batch)
	return again, took
}

// decide brings the state up to date, plans, and gives the orders that need no write first. It
// returns the records to be written, and whether there are more.
func (t *Term) decide(ctx context.Context, now time.Time) (*batch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.housekeep(now)
	t.checkList(now)
	plan := t.policy.Decide(t.cluster, t.guarantee, now)
	stops := t.runsToStop(now)
	batch, more := t.nextBatch()
	t.logPlan(plan)
	t.askAdvice(plan.NeedAdvice)
	for _, run := range stops {
		t.orderStop(ctx, run)
	}
	if batch.empty() {
		batch.acknowledge() // ends that changed nothing that has to be stored
	}
	return batch, more
}

func (t *Term) guarantee(workspace string) int {
	config := t.o.Config()
	if config == nil {
		return 0
	}
	if w := config.Workspace(workspace); w != nil {
		return w.GuaranteedAccelerators
	}
	return 0
}

// housekeep applies what follows from time alone.
func (t *Term) housekeep(now time.Time) {
	if t.nextDue != 0 && t.o.Wall().UnixMilli() >= t.nextDue {
		t.nextDue = 0
		for _, j := range t.cluster.Jobs {
			t.openDue(j, now)
		}
	}
	if now.Sub(t.checkedAt) >= checkInterval {
		t.checkedAt = now
		t.checkWorkers(now)
		t.forgetEnded(now)
	}
}

// runsToStop marks the runs of jobs that have ended, and of gangs that have lost a member,
// to be stopped. It returns all runs whose stop has not been ordered.
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
				r.RequestStop(gangBroken, now)
				stops = append(stops, r)
			}
		}
	}
	return stops
}

// gangBroken is why the members of a gang are stopped that go on without another one.
const gangBroken = "gang member ended"

// stopReason returns why the run must not go on by itself, or "".
func stopReason(r *jobstate.Run) string {
	s := r.Task.Step
	j := s.Occurrence.Job
	if j.State.Ended() {
		return "job " + string(j.State)
	}
	if s.Spec.Gang && !s.Done() && s.Active < len(s.Tasks) {
		return gangBroken
	}
	return ""
}

// forgetEnded drops jobs that ended long ago from memory; removeEnded has removed them from
// the store.
func (t *Term) forgetEnded(now time.Time) {
	for id, j := range t.cluster.Jobs {
		if j.State.Ended() && !j.Dirty && now.Sub(j.EndedAt) > t.o.KeepEnded && len(j.Runs()) == 0 {
			delete(t.cluster.Jobs, id)
			t.tasks.Add(1)
			go t.removeJob(id, j.Revision)
		}
	}
}

// maxBlockLogs bounds the log lines about steps that did not start, per decision.
const maxBlockLogs = 2

func (t *Term) logPlan(plan placement.Plan) {
	for _, r := range plan.Stops {
		events.Info(t.o.Log, events.RunPreempted, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number),
			zap.String("worker", r.Worker.ID), zap.String("reason", r.StopReason))
	}
	for n, b := range plan.Blocks {
		if n == maxBlockLogs {
			return
		}
		if ce := t.o.Log.Check(zap.DebugLevel, events.Message(events.StepBlocked)); ce != nil {
			ce.Write(events.Field(events.StepBlocked), zap.String("job", b.Step.Occurrence.Job.Submission.ID),
				zap.Int("step", b.Step.Number), zap.String("reason", b.Reason))
		}
	}
}
