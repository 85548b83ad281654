package jobowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// capLogInterval is the least time between two lines about one workspace at its cap.
const capLogInterval = 2 * time.Second

// capMonitor holds the metrics of the workspaces with a weight or a cap, and which of them wait for their cap.
type capMonitor struct {
	registry   metrics.Registry
	workspaces map[string]*capState
}

// capState is what the monitor keeps about a workspace while the configuration has it with a weight or a cap.
type capState struct {
	atCap     bool // as logged
	loggedAt  time.Time
	cap       workload.Resources
	loweredAt time.Time // when a decision first saw a lower cap; zero before
}

const (
	capPercentGauge = "owner.workspace_cap_percent." // use of the resource of the cap of which the largest part is used
	shareGauge      = "owner.workspace_share_ppm."   // weighted dominant share, in millionths
	recentGauge     = "owner.workspace_recent_ppm."  // its recent mean
	atCapGauge      = "owner.workspace_steps_at_cap."
)

var workspaceGauges = [...]string{capPercentGauge, shareGauge, recentGauge, atCapGauge}

func newCapMonitor(registry metrics.Registry) *capMonitor {
	return &capMonitor{registry: registry, workspaces: map[string]*capState{}}
}

// followCaps notes the workspaces with a weight or a cap and when caps were lowered. It is called before each decision.
// The caller holds the lock.
func (t *Term) followCaps(now time.Time) {
	config := t.opts.Config()
	if config == nil || config == t.capConfig {
		return
	}
	t.capConfig = config
	m := t.caps
	for n := range config.Workspaces {
		w := &config.Workspaces[n]
		if !w.Limited() {
			continue
		}
		s := m.workspaces[w.Name]
		if s == nil {
			s = &capState{}
			m.workspaces[w.Name] = s
		}
		if lower(w.Cap, s.cap) {
			s.loweredAt = now
		}
		s.cap = w.Cap
	}
	for name := range m.workspaces {
		if w := config.Workspace(name); w == nil || !w.Limited() {
			m.forget(name)
		}
	}
}

// lower reports whether a component of the cap is lower than before. A component of 0 is no limit.
func lower(now, before workload.Resources) bool {
	former := before.Components()
	for k, limit := range now.Components() {
		if limit > 0 && (former[k] == 0 || limit < former[k]) {
			return true
		}
	}
	return false
}

func (m *capMonitor) forget(name string) {
	delete(m.workspaces, name)
	for _, prefix := range workspaceGauges {
		m.registry.Unregister(prefix + name)
	}
}

// reset removes the metrics at the end of the term.
func (m *capMonitor) reset() {
	for name := range m.workspaces {
		m.forget(name)
	}
}

// checkCaps updates the metrics of the workspaces and logs which of them begin or cease to wait for their cap. The caller
// holds the lock.
func (t *Term) checkCaps(now time.Time) {
	if len(t.caps.workspaces) == 0 {
		return
	}
	use := t.policy.Use(t.cluster, t.workspace, now)
	blocked := t.stepsAtCap()
	for name, s := range t.caps.workspaces {
		u := use[name]
		for prefix, value := range map[string]int64{capPercentGauge: int64(u.Percent), shareGauge: int64(1e6 * u.Share),
			recentGauge: int64(1e6 * u.Recent), atCapGauge: int64(blocked[name])} {
			metrics.GetOrRegisterGauge(prefix+name, t.caps.registry).Update(value)
		}
		if atCap := blocked[name] > 0; atCap != s.atCap && now.Sub(s.loggedAt) >= capLogInterval {
			s.atCap, s.loggedAt = atCap, now
			events.Info(t.opts.Log, events.WorkspaceAtCap, zap.String("workspace", name), zap.Bool("waits", atCap), zap.Int("steps", blocked[name]),
				zap.Int("percent", u.Percent), zap.Any("used", u.Used), zap.Any("cap", s.cap), zap.Int64("share_ppm", int64(1e6*u.Share)))
		}
	}
}

// stepsAtCap returns the number of steps that wait for the cap of their workspace, by workspace.
func (t *Term) stepsAtCap() map[string]int {
	blocked := map[string]int{}
	for _, j := range t.cluster.Jobs {
		if t.caps.workspaces[j.Submission.Workspace] == nil || j.State.Ended() {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.WaitReason == jobstate.WaitCap && !s.ReadyAt.IsZero() && s.Waiting() > 0 {
					blocked[j.Submission.Workspace]++
				}
			}
		}
	}
	return blocked
}

// withdrawAboveCap ends planned runs whose records have been stored if their workspace's cap was lowered since they were
// planned, the least urgent first, until its use is within the cap. The write may have taken long. Nothing of them has
// been sent.
func (t *Term) withdrawAboveCap(starts []*jobstate.Run, now time.Time) {
	if len(t.caps.workspaces) == 0 {
		return
	}
	starts = slices.Clone(starts)
	slices.Reverse(starts)
	slices.SortStableFunc(starts, func(a, b *jobstate.Run) int { return cmp.Compare(priorityOf(b), priorityOf(a)) })
	var use map[string]placement.CapUse
	for _, r := range starts {
		name := r.Task.Step.Occurrence.Job.Submission.Workspace
		s := t.caps.workspaces[name]
		if s == nil || r.Phase != jobstate.Planned || r.Task.Run != r || s.loweredAt.Before(r.PlannedAt) {
			continue
		}
		if use == nil {
			use = t.policy.Use(t.cluster, t.workspace, now)
		}
		u, known := use[name]
		if !known || !u.Above() {
			continue
		}
		for _, member := range plannedMembers(r) {
			u.Used = u.Used.Sub(member.Task.Step.Spec.Allocation())
			t.cluster.End(member, jobstate.EndNeverStarted, "", now)
		}
		use[name] = u
	}
}

func priorityOf(r *jobstate.Run) int { return r.Task.Step.Occurrence.Priority() }

// plannedMembers returns the run or, if it belongs to a gang, the members that are planned.
func plannedMembers(r *jobstate.Run) []*jobstate.Run {
	if !r.Task.Step.Spec.Gang {
		return []*jobstate.Run{r}
	}
	var members []*jobstate.Run
	for _, task := range r.Task.Step.Tasks {
		if task.Run != nil && task.Run.Phase == jobstate.Planned {
			members = append(members, task.Run)
		}
	}
	return members
}
