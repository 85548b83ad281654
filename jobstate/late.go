package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// CompleteLate completes a task of which a worker lists a run as done that is not tracked any more, for example because the
// worker was cut off for longer than its lease. It returns the newer runs of the task, or of its gang, which have to be
// stopped, and whether the task was not done before.
func (c *Cluster) CompleteLate(name workload.TaskName, number int, now time.Time) (newer []*Run, completed bool) {
	t := c.task(name)
	if t == nil || t.Done || number > t.LastRun || t.Step.Spec.LongRunning || t.Step.Occurrence.Job.State.Ended() {
		return nil, false
	}
	tasks := []*Task{t}
	if t.Step.Spec.Gang {
		tasks = t.Step.Tasks
	}
	for _, member := range tasks {
		switch r := member.Run; {
		case r == nil:
		case r.Phase == Planned:
			c.End(r, EndNeverStarted, "", now)
		default:
			newer = append(newer, r)
		}
	}
	j := t.Step.Occurrence.Job
	j.Dirty = true
	t.Step.completeTask(t, now)
	j.completeIfDone(now)
	return newer, true
}

// task returns the task with the name, or nil.
func (c *Cluster) task(name workload.TaskName) *Task {
	j := c.Jobs[name.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(name.Occurrence)
	if o == nil || name.Step >= len(o.Steps) {
		return nil
	}
	s := o.Steps[name.Step]
	if name.Index >= len(s.Tasks) {
		return nil
	}
	return s.Tasks[name.Index]
}

// WorkspaceOf returns the workspace of the job of the task with the given name, or "" if the job is not known.
func (c *Cluster) WorkspaceOf(task string) string {
	name, err := workload.ParseTaskName(task)
	if err != nil {
		return ""
	}
	if j := c.Jobs[name.Job]; j != nil {
		return j.Submission.Workspace
	}
	return ""
}
