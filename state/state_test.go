package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func workerOf(id string, rack int) structs.Worker {
	return structs.Worker{ID: id, DataCentre: "a", Rack: rack, Capacity: structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}}
}

// Guards against resources that are released too early, or never, when a worker does not reply to a
// start: the task may run there until its lease expires.
func TestStartWithUnknownResultHoldsResourcesUntilLeaseExpires(t *testing.T) {
	d := New("a")
	require.NoError(t, d.Apply(WorkerJoined{Worker: workerOf("w1", 0)}))
	task := structs.Resources{Slots: 8, Processors: 8, MemoryMB: 1024, Accelerators: 8}
	job := structs.Job{ID: "x/1", Workspace: "x", Shape: structs.Shape{Tasks: 1, Task: task}, Submitted: epoch}
	require.NoError(t, d.Apply(JobSubmitted{Job: job, Now: epoch}))
	plan := structs.Plan{Actions: []structs.Action{{Kind: structs.ActionStart, Job: "x/1", Placements: []structs.Placement{{Worker: "w1"}}}}}
	require.NoError(t, d.Apply(PlanAccepted{Plan: plan, Now: epoch}))
	assert.Equal(t, 0, d.Workers["w1"].Free.Slots)

	until := epoch.Add(10 * time.Second)
	require.NoError(t, d.Apply(StartFailed{Job: "x/1", Attempt: 1, HoldWorkers: []string{"w1"}, HoldUntil: until, Now: epoch}))
	assert.Equal(t, 0, d.Workers["w1"].Free.Slots, "resources are free before the lease has expired")
	require.NoError(t, d.Apply(HoldsExpired{Now: until}))
	assert.Equal(t, workerOf("w1", 0).Capacity, d.Workers["w1"].Free)
	assert.Len(t, d.Queue, 1)
	assert.Empty(t, d.Active)
}
