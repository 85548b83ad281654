package jobowner

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// admissionInterval is the minimum time between two assessments of the workspaces.
	admissionInterval = 250 * time.Millisecond
	// admissionFactor times the duration of an assessment is also its interval, up to maxAdmissionInterval. An assessment
	// of 1,000 waiting jobs and 2,200 runs takes about 2 ms of a core, of which the smallest owners have 0.2.
	admissionFactor      = 50
	maxAdmissionInterval = 500 * time.Millisecond
	// maxAdmissionAge is the age from which an assessment is not answered any more: decisions have stalled.
	maxAdmissionAge = time.Second
	// maxOverloadLogs limits the log lines of one assessment.
	maxOverloadLogs = 8
	// maxWorkspaceGauges limits the number of gauges of workspaces.
	maxWorkspaceGauges = 128
)

// Admission says which workspaces are overloaded.
type Admission struct {
	Token     uint64 // fencing token of the term
	Overloads []admission.Overload
}

// admissionState belongs to Term and is guarded by its lock.
type admissionState struct {
	monitor   *admission.Monitor
	updatedAt time.Time
	took      time.Duration            // by the last assessment
	waits     map[string]metrics.Gauge // expected wait of a new job in milliseconds, by workspace
	loads     *loads                   // of the last assessment; its memory is used again
}

func newAdmissionState() admissionState {
	return admissionState{monitor: admission.NewMonitor(), waits: map[string]metrics.Gauge{}}
}

// Admission returns the overloaded workspaces. ok is false if this term has not assessed them, or not recently.
func (t *Term) Admission() (a Admission, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.ended || t.admission.updatedAt.IsZero() || now.Sub(t.admission.updatedAt) > maxAdmissionAge {
		return Admission{}, false
	}
	return Admission{Token: t.opts.Token, Overloads: t.admission.monitor.Overloads(now)}, true
}

// updateAdmission assesses the workspaces with a weight or a cap. Before the workers are listed, the drain rates are
// unknown. The caller holds the lock.
func (t *Term) updateAdmission(now time.Time) {
	s := &t.admission
	config := t.opts.Config()
	if now.Sub(s.updatedAt) < min(max(admissionInterval, admissionFactor*s.took), maxAdmissionInterval) || config == nil || t.listAsOf == (suspend.Stamp{}) {
		return
	}
	s.updatedAt = now
	defer func(began time.Time) { s.took = time.Since(began) }(time.Now())
	changes := s.monitor.Update(t.serviceLoad(config, now), now)
	for n, c := range changes {
		if n == maxOverloadLogs {
			break
		}
		events.Info(t.opts.Log, events.WorkspaceOverloaded, zap.String("workspace", c.Workspace), zap.Int("priority", c.Priority), zap.Bool("overloaded", c.Begins),
			zap.Duration("wait", c.Wait), zap.Any("backlog", c.Backlog), zap.Any("rate", c.Rate), zap.Any("cap", c.Cap), zap.Float64("weight", c.Weight))
	}
	t.updateWaitGauges()
}

func (t *Term) updateWaitGauges() {
	s := &t.admission
	limited := map[string]bool{}
	s.monitor.Waits(func(workspace string, wait time.Duration) {
		limited[workspace] = true
		g := s.waits[workspace]
		if g == nil {
			if len(s.waits) == maxWorkspaceGauges {
				return
			}
			g = metrics.GetOrRegisterGauge("owner.workspace_wait_ms."+workspace, t.opts.Metrics)
			s.waits[workspace] = g
		}
		g.Update(wait.Milliseconds())
	})
	for workspace, g := range s.waits {
		if !limited[workspace] {
			g.Update(0)
		}
	}
}

// loads collects the loads of the workspaces.
type loads struct {
	now     time.Time
	config  *workload.Config
	monitor *admission.Monitor
	list    []admission.Load
	index   map[string]int
}

// reset returns loads without work. Those of an earlier assessment by the same configuration are used again.
func (l *loads) reset(config *workload.Config) *loads {
	if l == nil || l.config != config {
		return &loads{config: config, index: map[string]int{}}
	}
	for n := range l.list {
		load := &l.list[n]
		load.Work, load.Use, load.Waits = load.Work[:0], workload.Resources{}, false
		clear(load.Limits)
	}
	return l
}

// serviceLoad returns what the workspaces run and wait for. It is empty if none has a weight or a cap.
func (t *Term) serviceLoad(config *workload.Config, now time.Time) admission.Service {
	l := t.admission.loads.reset(config)
	t.admission.loads = l
	l.now, l.monitor = now, t.admission.monitor
	for n := range config.Workspaces {
		if w := &config.Workspaces[n]; w.Limited() {
			l.of(w.Name)
		}
	}
	var s admission.Service
	if len(l.list) == 0 {
		return s
	}
	for _, j := range t.cluster.Jobs {
		if !j.State.Ended() {
			l.addJob(j)
		}
	}
	for _, w := range t.cluster.Workers {
		for r := range w.Runs {
			l.addRun(r)
		}
		if w.Listed && !w.Draining {
			s.Total = s.Total.Add(w.Capacity)
		}
	}
	s.Loads = l.list
	return s
}

// of returns the load of the workspace. It is valid until the next call.
func (l *loads) of(name string) *admission.Load {
	n, ok := l.index[name]
	if !ok {
		n = len(l.list)
		l.index[name] = n
		load := admission.Load{Name: name, Limits: map[int]time.Duration{}}
		if w := l.config.Workspace(name); w != nil {
			load.Weight, load.Cap, load.Guarantee, load.Limited = w.Weight, w.Cap, w.GuaranteedAccelerators, w.Limited()
		}
		l.list = append(l.list, load)
	}
	return &l.list[n]
}

// addJob adds the waiting tasks of the job. A step that cannot run under the cap delays no other.
func (l *loads) addJob(j *jobstate.Job) {
	load := l.of(j.Submission.Workspace)
	if !load.Limited {
		if len(load.Work) == 0 {
			load.Work = append(load.Work, admission.Work{}) // only that there is some counts
		}
		return
	}
	if limit, ok := j.Submission.UsefulFor(&j.Route); ok {
		if shortest, known := load.Limits[j.Route.Priority]; !known || limit < shortest {
			load.Limits[j.Route.Priority] = limit
		}
	}
	for _, o := range j.Occurrences {
		if o.Done() {
			continue
		}
		for _, s := range o.Steps {
			if n := s.Waiting(); n > 0 && s.Spec.FitsCap(load.Cap) {
				load.Waits = load.Waits || !s.ReadyAt.IsZero()
				l.addWork(load, s, l.waiting(load, s), n)
			}
		}
	}
}

// waiting returns the work of a task of the step that waits. A step that waits for others is ready now at the earliest.
func (l *loads) waiting(load *admission.Load, s *jobstate.Step) admission.Work {
	readyAt, runTime := s.ReadyAt, s.OrderTime
	if readyAt.IsZero() {
		readyAt = l.now
	}
	if runTime == 0 {
		runTime = s.Spec.Estimate
	}
	deadline, lateness := s.Occurrence.Job.Objective(readyAt, runTime, l.now)
	return admission.Work{Time: l.monitor.Expected(load.Name, s.Spec.Estimate), Deadline: deadline.Sub(l.now), TooLate: lateness == jobstate.TooLate}
}

// addRun adds a run. Without a measured rate, its end is expected by its estimate.
func (l *loads) addRun(r *jobstate.Run) {
	s := r.Task.Step
	j := s.Occurrence.Job
	load := l.of(j.Submission.Workspace)
	load.Use = load.Use.Add(s.Spec.Allocation())
	if !load.Limited || j.State.Ended() || r.Task.Done {
		return
	}
	if r.Phase == jobstate.Stopping { // the task runs again
		l.addWork(load, s, l.waiting(load, s), 1)
		return
	}
	left, measured := r.Remaining(l.now)
	if !measured {
		left = l.monitor.Expected(load.Name, s.Spec.Estimate)
		if !r.StartedAt.IsZero() {
			left = max(0, left-l.now.Sub(r.StartedAt))
		}
	}
	l.addWork(load, s, admission.Work{Time: left, Running: true}, 1)
}

// addWork adds tasks of the step. Those that run until they are cancelled have no expected end, and are left out.
func (l *loads) addWork(load *admission.Load, s *jobstate.Step, work admission.Work, tasks int) {
	if s.Spec.LongRunning {
		return
	}
	a := s.Spec.Allocation()
	work.Priority = s.Occurrence.Job.Route.Priority
	work.Demand = workload.Resources{MilliCPU: tasks * a.MilliCPU, MemoryMB: tasks * a.MemoryMB, Accelerators: tasks * a.Accelerators}
	load.Work = append(load.Work, work)
}

// countAccepted counts an accepted job towards what its workspace is owed. When the jobs read at the start of a term
// were accepted is not known. A watch may deliver jobs late and all at once. The caller holds the lock.
func (t *Term) countAccepted(j *jobstate.Job, source intakeSource, now time.Time) {
	w := t.workspace(j.Submission.Workspace)
	if w == nil || !w.Limited() || source == sourceLoad {
		return
	}
	if source == sourceWatch {
		late := time.Duration(t.opts.WallClock().UnixMilli()-j.Submission.AcceptedAt) * time.Millisecond
		now = now.Add(-max(0, late))
	}
	t.admission.monitor.Accepted(w.Name, w.Weight, now)
}

// observeRunTime compares the run time of a task that has run whole with its estimate. The caller holds the lock.
func (t *Term) observeRunTime(r *jobstate.Run, outcome jobstate.End, now time.Time) {
	if outcome != jobstate.EndDone || r.Resumed || !r.StartAnswered || r.SpeedPercent != 100 {
		return
	}
	if w := t.workspace(r.Task.Step.Occurrence.Job.Submission.Workspace); w != nil && w.Limited() {
		t.admission.monitor.Ended(w.Name, r.Task.Step.Spec.Estimate, now.Sub(r.StartedAt))
	}
}
