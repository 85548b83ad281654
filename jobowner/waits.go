package jobowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// waitReportAfter is how long a step has nothing running before it is logged. It is logged again each
	// time this time has doubled.
	waitReportAfter = 2 * time.Second
	// waitCheckInterval is the minimum time between two searches for such steps.
	waitCheckInterval = 250 * time.Millisecond
	// maxWaitReports limits the log lines of one search.
	maxWaitReports = 2
)

// idleStep is a step that could run and has nothing running.
type idleStep struct {
	step   *jobstate.Step
	since  time.Time
	reason jobstate.WaitReason
	run    *jobstate.Run // the oldest of its runs, none of which works; nil if it has none
}

// waitSearch holds the results of one search for idle steps that have waited for waitReportAfter.
type waitSearch struct {
	due     []idleStep // steps to be logged, at most maxWaitReports
	counts  [jobstate.WaitReasonCount]int64
	longest time.Duration
}

// waitGauges are the metrics of such steps.
type waitGauges struct {
	counts  [jobstate.WaitReasonCount]metrics.Gauge // steps by reason
	longest metrics.Gauge                           // milliseconds
}

func newWaitGauges(registry metrics.Registry) waitGauges {
	g := waitGauges{longest: metrics.GetOrRegisterGauge("owner.longest_wait_ms", registry)}
	for n := range g.counts {
		g.counts[n] = metrics.GetOrRegisterGauge("owner.steps_waiting."+jobstate.WaitReason(n).String(), registry)
	}
	return g
}

func (g *waitGauges) update(s *waitSearch) {
	for n, count := range s.counts {
		g.counts[n].Update(count)
	}
	g.longest.Update(s.longest.Milliseconds())
}

// checkWaits counts the steps that could run and have had nothing running for long, and logs some of them.
// It is called after a decision, which sets the reasons. The caller holds the lock.
func (t *Term) checkWaits(now time.Time) {
	if now.Sub(t.waitsCheckedAt) < waitCheckInterval {
		return
	}
	t.waitsCheckedAt = now
	var search waitSearch
	for _, j := range t.cluster.Jobs {
		if j.State.Ended() {
			continue
		}
		for _, o := range j.Occurrences {
			if !o.Done() {
				t.searchOccurrence(&search, o, now)
			}
		}
	}
	t.waitGauges.update(&search)
	t.intakeAge.Update(now.Sub(t.intakeAsOf).Milliseconds())
	t.checkLag()
	t.checkCaps(now)
	for _, i := range search.due {
		for now.Sub(i.since) >= waitReportAfter<<i.step.WaitReports {
			i.step.WaitReports++
		}
		t.logWait(i, now)
	}
}

// addDue adds a step and drops the last one in the order of compareWaits if there are too many.
func (s *waitSearch) addDue(i idleStep) {
	n, _ := slices.BinarySearchFunc(s.due, i, compareWaits)
	if n == maxWaitReports {
		return
	}
	s.due = slices.Insert(s.due, n, i)
	s.due = s.due[:min(len(s.due), maxWaitReports)]
}

// compareWaits orders steps that wait for their workspace's cap, of which a workspace that sends too much has many, behind
// others, and those that lack resources, of which a full service has many, behind all. Otherwise those come first that
// have waited longest.
func compareWaits(a, b idleStep) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.since.Compare(b.since), cmp.Compare(a.step.Occurrence.Job.Submission.ID, b.step.Occurrence.Job.Submission.ID),
		cmp.Compare(a.step.Occurrence.Number, b.step.Occurrence.Number), cmp.Compare(a.step.Number, b.step.Number))
}

// rank returns 0 for steps that are logged before others, and 2 for those that are logged last.
func (i *idleStep) rank() int {
	switch {
	case i.reason.Scarcity():
		return 2
	case i.reason == jobstate.WaitCap:
		return 1
	}
	return 0
}

func (t *Term) searchOccurrence(search *waitSearch, o *jobstate.Occurrence, now time.Time) {
	for _, s := range o.Steps {
		if s.ReadyAt.IsZero() || s.Done() || now.Sub(s.ReadyAt) < waitReportAfter {
			continue
		}
		i, idle := t.idle(s)
		waited := now.Sub(i.since)
		if !idle || waited < waitReportAfter {
			s.WaitReports = 0
			continue
		}
		search.counts[i.reason]++
		search.longest = max(search.longest, waited)
		if waited >= waitReportAfter<<s.WaitReports {
			search.addDue(i)
		}
	}
}

// idle reports whether a step that could run has nothing running, or lacks one of its tasks if these serve
// users of their own, and since when.
func (t *Term) idle(s *jobstate.Step) (idleStep, bool) {
	i := idleStep{step: s, reason: s.WaitReason}
	for _, task := range s.Tasks {
		if task.Done {
			continue
		}
		r := task.Run
		if r != nil && works(r) {
			if s.Spec.LongRunning {
				continue
			}
			return idleStep{}, false
		}
		since := later(s.ReadyAt, t.idleSince(task))
		switch {
		case !s.Spec.LongRunning:
			i.since = later(i.since, since)
		case i.since.IsZero() || since.Before(i.since):
			i.since = since
		}
		if r != nil && (i.run == nil || r.PlannedAt.Before(i.run.PlannedAt)) {
			i.run = r
		}
	}
	if s.Waiting() == 0 && i.run != nil {
		i.reason = runWaitReason(i.run)
	}
	return i, !i.since.IsZero()
}

// works reports whether the run has started and nothing shows that it does not continue.
func works(r *jobstate.Run) bool {
	return r.Phase == jobstate.Running && !r.Worker.Unresponsive
}

// idleSince returns since when the task, of which no run works, has had none; zero if it never had.
func (t *Term) idleSince(task *jobstate.Task) time.Time {
	r := task.Run
	if r == nil || r.StartedAt.IsZero() {
		return task.RanUntil
	}
	if r.Phase == jobstate.Stopping {
		return r.StopRequestedAt
	}
	if a := t.agents[r.Worker.ID]; a != nil && a.worker == r.Worker {
		return a.lastAnswer
	}
	return r.StartedAt
}

// runWaitReason returns why a run does not work.
func runWaitReason(r *jobstate.Run) jobstate.WaitReason {
	switch {
	case r.Phase == jobstate.Planned:
		return jobstate.WaitRecordWrite
	case r.Phase == jobstate.Stopping:
		return jobstate.WaitStop
	case r.Phase == jobstate.Running:
		return jobstate.WaitUnresponsiveWorker
	case r.StartWaits:
		return jobstate.WaitStartOrder
	case r.StartSent:
		return jobstate.WaitStartAnswer
	}
	return jobstate.WaitFormerRun
}

func (t *Term) logWait(i idleStep, now time.Time) {
	s := i.step
	lastRun := 0
	for _, task := range s.Tasks {
		lastRun = max(lastRun, task.LastRun)
	}
	fields := []zap.Field{
		zap.String("job", s.Occurrence.Job.Submission.ID), zap.String("step", s.Name()),
		zap.Stringer("reason", i.reason), zap.Duration("waited", now.Sub(i.since)),
		zap.Int("waiting", s.Waiting()), zap.Int("tasks", len(s.Tasks)), zap.Int("last_run", lastRun),
	}
	fields = append(fields, t.waitDetails(i, now)...)
	if i.run != nil {
		fields = append(fields, zap.Dict("oldest_run", t.runDetails(i.run, now)...))
	}
	if s.Waiting() > 0 {
		fields = append(fields, t.placementDetails(s, now)...)
	}
	events.Info(t.opts.Log, events.StepWaiting, fields...)
}

// waitDetails returns the fields that only one reason has.
func (t *Term) waitDetails(i idleStep, now time.Time) []zap.Field {
	s := i.step
	j := s.Occurrence.Job
	switch i.reason {
	case jobstate.WaitWorkerListStale:
		return []zap.Field{zap.Duration("list_age", t.listAsOf.Age(now, t.opts.Suspended()))}
	case jobstate.WaitAdvice:
		return []zap.Field{zap.Bool("advice_pending", s.AdvicePending), zap.Int("advice_queue", len(t.adviceQueue))}
	case jobstate.WaitReclaim:
		return []zap.Field{zap.Duration("reclaimed_ago", now.Sub(s.ReclaimedAt))}
	case jobstate.WaitRetryDelay:
		return []zap.Field{zap.Duration("retry_in", s.NotBefore.Sub(now))}
	case jobstate.WaitRecordWrite:
		fields := []zap.Field{zap.Bool("record_changed", j.Dirty), zap.Int("writes", t.writes)}
		if j.Writing {
			fields = append(fields, zap.Duration("writing_for", now.Sub(j.WritingFrom)))
		}
		return fields
	}
	return nil
}

// runDetails returns the fields about a run that does not work.
func (t *Term) runDetails(r *jobstate.Run, now time.Time) []zap.Field {
	w := r.Worker
	fields := []zap.Field{
		zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number), zap.Stringer("phase", r.Phase), zap.Duration("age", now.Sub(r.PlannedAt)),
		zap.Bool("start_sent", r.StartSent), zap.String("worker", w.ID), zap.Bool("listed", w.Listed), zap.Bool("answered", w.Answered),
		zap.Bool("unresponsive", w.Unresponsive), zap.Duration("lease_left", w.LeaseEnds.Sub(now)),
	}
	if a := t.agents[w.ID]; a != nil && a.worker == w {
		fields = append(fields, zap.Int("failed_reports", a.failures))
		if !a.lastAnswer.IsZero() {
			fields = append(fields, zap.Duration("heard_ago", now.Sub(a.lastAnswer)))
		}
	}
	if r.Phase == jobstate.Stopping {
		fields = append(fields, zap.String("stop_reason", r.StopReason), zap.Duration("stop_age", now.Sub(r.StopRequestedAt)),
			zap.Bool("stop_sent", r.StopSent), zap.Bool("stop_answered", !r.CannotStartSince.IsZero()))
	}
	return fields
}

// placementDetails returns the fields about the workers that a waiting task could use.
func (t *Term) placementDetails(s *jobstate.Step, now time.Time) []zap.Field {
	e := t.policy.Explain(t.cluster, s, t.workspace, now)
	var excluded []zap.Field
	for n, count := range e.Excluded {
		if count > 0 {
			excluded = append(excluded, zap.Int(jobstate.Exclusion(n).String(), count))
		}
	}
	fields := []zap.Field{
		zap.Int("workers", e.Workers), zap.Int("eligible", e.Eligible), zap.Dict("excluded", excluded...), zap.Int("room", e.Room),
		zap.Int("free_accelerators", e.FreeAccelerators), zap.Float64("headroom", e.Headroom),
	}
	if k := e.Cap; k != nil {
		fields = append(fields, zap.String("workspace", k.Workspace), zap.Any("used", k.Used), zap.Any("cap", k.Cap), zap.Any("need", k.Need),
			zap.Bool("cap_too_small", k.TooSmall))
	}
	if k := e.Rack; k != nil {
		fields = append(fields, zap.Int("rack_room", k.Room), zap.Int("rack_capacity", k.Capacity),
			zap.Duration("rack_wait", k.Wait), zap.Duration("rack_waited", now.Sub(s.WaitingSince)))
	}
	return fields
}
