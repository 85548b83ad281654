package jobowner

import (
	"sync/atomic"
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
	// admissionFactor times the duration of an assessment is also its interval, so that assessments hold the lock for at
	// most 2% of the time. An assessment of 1,000 waiting jobs and 2,200 runs takes about 2 ms of a core, of which the
	// smallest owners have 0.2.
	admissionFactor = 50
	// minAdmissionAge and maxAdmissionAge limit the age up to which an assessment is answered, which is twice its interval.
	// An older one is not: decisions have stalled, or assessments take so long that their result no longer holds.
	minAdmissionAge = time.Second
	maxAdmissionAge = 5 * time.Second
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

// admissionState belongs to Term and is guarded by its lock, except published.
type admissionState struct {
	monitor   *admission.Monitor
	updatedAt suspend.Stamp
	interval  time.Duration               // until the next assessment
	published *atomic.Pointer[assessment] // nil if this term has not assessed the workspaces, or has ended
	waits     map[string]metrics.Gauge    // expected wait of a new job in milliseconds, by workspace
	loads     *loads                      // of the last assessment; its memory is used again
}

// assessment is the result of an assessment. It does not change.
type assessment struct {
	*admission.Snapshot
	asOf   time.Time
	at     suspend.Stamp
	maxAge time.Duration
}

func newAdmissionState() admissionState {
	return admissionState{monitor: admission.NewMonitor(), published: &atomic.Pointer[assessment]{}, waits: map[string]metrics.Gauge{}}
}

// Admission returns the overloaded workspaces, without the lock that decisions hold. ok is false if this term has not assessed them, or not recently.
func (t *Term) Admission() (a Admission, ok bool) {
	s := t.admission.published.Load()
	if s == nil {
		return Admission{}, false
	}
	age := s.at.Age(time.Now(), t.opts.Suspended())
	if age > s.maxAge {
		return Admission{}, false
	}
	return Admission{Token: t.opts.Token, Overloads: s.Overloads(s.asOf.Add(age))}, true
}

// updateAdmission assesses the workspaces with a weight or a cap. Before the workers are listed, the drain rates are
// unknown. The caller holds the lock.
func (t *Term) updateAdmission(now time.Time) {
	s := &t.admission
	config := t.opts.Config()
	suspended := t.opts.Suspended()
	if s.updatedAt.Age(now, suspended) < s.interval || config == nil || t.listAsOf == (suspend.Stamp{}) || t.ended {
		return
	}
	s.updatedAt = suspend.NewStamp(now, suspended)
	began := time.Now()
	changes := s.monitor.Update(t.serviceLoad(config, now), now)
	snapshot := s.monitor.Snapshot()
	t.logOverloads(changes)
	t.updateWaitGauges()
	s.interval = assessmentInterval(time.Since(began))
	s.published.Store(&assessment{Snapshot: snapshot, asOf: now, at: s.updatedAt, maxAge: assessmentAge(s.interval)})
}

// assessmentInterval returns the time from the begin of an assessment that took as long to that of the next one.
func assessmentInterval(took time.Duration) time.Duration {
	return max(admissionInterval, admissionFactor*took)
}

// assessmentAge returns the age up to which an assessment is answered.
func assessmentAge(interval time.Duration) time.Duration {
	return min(max(minAdmissionAge, 2*interval), maxAdmissionAge)
}

func (t *Term) logOverloads(changes []admission.Change) {
	for n, c := range changes[:min(len(changes), maxOverloadLogs)] {
		suppressed := 0
		if n == maxOverloadLogs-1 {
			suppressed = len(changes) - maxOverloadLogs
		}
		events.Info(t.opts.Log, events.WorkspaceOverloaded, zap.String("workspace", c.Workspace), zap.Int("priority", c.Priority), zap.Bool("overloaded", c.Begins),
			zap.Duration("wait", c.Wait), zap.Any("backlog", c.Backlog), zap.Any("rate", c.Rate), zap.Any("cap", c.Cap), zap.Float64("weight", c.Weight),
			zap.Int("suppressed", suppressed))
	}
}

// waitGauge is the prefix of the gauges of workspaces.
const waitGauge = "owner.workspace_wait_ms."

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
			g = metrics.GetOrRegisterGauge(waitGauge+workspace, t.opts.Metrics)
			s.waits[workspace] = g
		}
		g.Update(wait.Milliseconds())
	})
	for workspace, g := range s.waits {
		if !limited[workspace] {
			g.Update(0)
			t.opts.Metrics.Unregister(waitGauge + workspace)
			delete(s.waits, workspace)
		}
	}
}

// countAccepted counts an accepted job towards what its workspace is owed. When the jobs read at the start of a term
// were accepted is not known. Others count from their acceptance: a watch may deliver jobs late and all at once, and a
// repetition announces a job that was accepted earlier. The caller holds the lock.
func (t *Term) countAccepted(j *jobstate.Job, source intakeSource, now time.Time) {
	w := t.workspace(j.Submission.Workspace)
	if w == nil || !w.Limited() || source == sourceLoad {
		return
	}
	late := time.Duration(t.opts.WallClock().UnixMilli()-j.Submission.AcceptedAt) * time.Millisecond
	t.admission.monitor.Accepted(w.Name, w.Weight, now.Add(-max(0, late)))
}

// observeRunTime compares the run time of a task that has run whole with its estimate. The caller holds the lock.
func (t *Term) observeRunTime(r *jobstate.Run, outcome jobstate.End, now time.Time) {
	if outcome != jobstate.EndDone || r.Resumed || !r.StartAnswered || !r.FullSpeed() {
		return
	}
	if w := t.workspace(r.Task.Step.Occurrence.Job.Submission.Workspace); w != nil && w.Limited() {
		t.admission.monitor.Ended(w.Name, r.Task.Step.Spec.Estimate, now.Sub(r.StartedAt))
	}
}
