package jobstate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against progress that is missing after a later owner has restored the record: attempts,
// checkpoints, run numbers, the worker of a run and the end of its lease.
func TestRecordIsRestored(t *testing.T) {
	now := time.Unix(1000, 0)
	submission := &workload.Submission{ID: "job", Queue: workload.Route{MaxAttempts: 3}, Steps: []workload.Step{{Tasks: 3}, {Tasks: 2, After: []int{0}}}}
	c := jobstate.New()
	j := c.AddJob(submission, now)
	j.OpenNext(now.UnixMilli(), now)
	w := c.EnsureWorker("w0", 7, now)
	w.Address, w.LeaseEnds = "10.0.0.1:80", now.Add(9*time.Second)
	tasks := j.Occurrences[0].Steps[0].Tasks
	for _, task := range tasks {
		c.Place(task, w, 1, now).Confirm(now)
	}
	c.End(tasks[0].Run, jobstate.EndDone, "", now)
	c.End(tasks[1].Run, jobstate.EndFailed, "cp", now)
	w.Unresponsive, w.RecordedLeaseClock = true, &workload.ClockReading{Worker: "w1", Incarnation: 8, Clock: 70_000}
	record := j.Record(5, 50_000, now)

	nextOwner := jobstate.New()
	restored := nextOwner.AddJob(submission, now)
	nextOwner.Restore(restored, record, 12, now)
	assert.Equal(t, workload.Running, restored.State)
	step := restored.Occurrences[0].Steps[0]
	assert.Equal(t, 1, step.DoneTasks)
	assert.Equal(t, 1, step.Waiting())
	assert.Equal(t, 1, step.Tasks[1].Failures)
	assert.Equal(t, "cp", step.Tasks[1].Checkpoint)
	assert.Equal(t, 2, step.NextRunNumber(step.Tasks[1]))
	run := step.Tasks[2].Run
	assert.Equal(t, jobstate.Ordered, run.Phase)
	assert.Equal(t, "10.0.0.1:80", run.Worker.Address)
	assert.EqualValues(t, 59_000, run.Worker.RecordedLeaseEnds)
	assert.Equal(t, w.RecordedLeaseClock, run.Worker.RecordedLeaseClock)
	assert.False(t, nextOwner.Accepts(run.Worker, now))
	assert.Equal(t, record.Occurrences, restored.Record(5, 80_000, now.Add(30*time.Second)).Occurrences, "a later owner keeps the recorded end of the lease")
}
