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
		again := t.cycle(ctx)
		pause := decisionInterval
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
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
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

// cycle makes one decision and carries it out. It returns whether more is to be written.
func (t *Term) cycle(ctx context.Context) bool {
	now := time.Now()
	t.mu.Lock()
	t.housekeep(now)
	plan := t.policy.Decide(t.cluster, t.guarantee, now)
	stops := t.runsToStop(now)
	batch, more := t.nextBatch()
	t.decisions.Update(time.Since(now).Microseconds())
	t.logPlan(plan)
	t.askAdvice(plan.Asks)
	for _, run := range stops {
		t.orderStop(ctx, run)
	}
	if batch.empty() {
		batch.acknowledge() // ends that changed nothing that has to be stored
	}
	t.mu.Unlock()
	if batch.empty() {
		return false
	}
	if !t.commit(ctx, batch) {
		return false
	}
	t.committed(ctx, batch)
	return more
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
	t.checkWorkers(now)
	t.forgetEnded(now)
}

// runsToStop marks the runs of jobs that have ended, and of gangs that have lost a member,
// to be stopped. It returns all runs whose stop has not been ordered.
func (t *Term) runsToStop(now time.Time) []*jobstate.Run {
	var stops []*jobstate.Run
	broken := t.brokenGangs()
	for _, w := range t.cluster.Workers {
		for r := range w.Runs {
			if r.Phase == jobstate.Stopping && !r.StopSent {
				stops = append(stops, r) // its worker was not known before
			}
			if r.Phase == jobstate.Stopping || r.Task.Run != r {
				continue
			}
			reason := stopReason(r, broken)
			if reason == "" {
				continue
			}
			r.Stop(reason, now)
			stops = append(stops, r)
		}
	}
	return stops
}

// brokenGangs returns the gangs of which a member is being stopped.
func (t *Term) brokenGangs() map[*jobstate.Step]bool {
	broken := map[*jobstate.Step]bool{}
	for _, w := range t.cluster.Workers {
		for r := range w.Runs {
			if r.Phase == jobstate.Stopping && r.Task.Run == r && r.Task.Step.Spec.Gang {
				broken[r.Task.Step] = true
			}
		}
	}
	return broken
}

// stopReason returns why the run must not go on, or "".
func stopReason(r *jobstate.Run, broken map[*jobstate.Step]bool) string {
	s := r.Task.Step
	j := s.Occurrence.Job
	if j.State.Ended() {
		return "job " + string(j.State)
	}
	if s.Spec.Gang && !s.Done() && (s.Active < len(s.Tasks) || broken[s]) {
		return "gang member ended"
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
