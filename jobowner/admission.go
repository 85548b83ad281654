package jobowner

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
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
