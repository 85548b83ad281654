package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Guards against jobs that stay queued although another data centre has free capacity, and against
// transfers without a minimum wait, of several jobs to the same free capacity, or repeated for one job.
func TestOffload(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	whole := structs.Resources{Slots: 8, Processors: 8, MemoryMB: 8, Accelerators: 8}
	d := state.New("a")
	for _, id := range []string{"x/1", "x/2"} {
		job := structs.Job{ID: id, Workspace: "x", Shape: structs.Shape{Tasks: 1, Task: whole}, Submitted: now}
		require.NoError(t, d.Apply(state.JobSubmitted{Job: job, Now: now}))
	}
	others := []Summary{
		{DataCentre: "a", Stage: structs.StageOpen, Capacity: whole, Free: whole, LargestWorker: whole, IdleWorkers: 1},
		{DataCentre: "b", Stage: structs.StageOut, Capacity: whole, Free: whole, LargestWorker: whole, IdleWorkers: 1},
		{DataCentre: "c", Stage: structs.StageOpen, Capacity: whole, Free: whole, LargestWorker: whole, IdleWorkers: 1},
	}
	require.Empty(t, Offload(d, &structs.Plan{}, others, now.Add(time.Second)), "the job has waited less than minOffloadWait")
	actions := Offload(d, &structs.Plan{}, others, now.Add(time.Minute))
	require.Len(t, actions, 1, "the free capacity of c holds one of the two jobs")
	require.Equal(t, "x/1", actions[0].Job)
	require.Equal(t, "c", actions[0].DataCentre)
	require.Equal(t, whole, others[2].Free, "Offload must not modify the caller's summaries")

	plan := structs.Plan{Actions: []structs.Action{{Kind: structs.ActionStart, Job: "x/1"}}}
	actions = Offload(d, &plan, others, now.Add(time.Minute))
	require.Len(t, actions, 1)
	require.Equal(t, "x/2", actions[0].Job, "the plan starts x/1 here")

	reserve := structs.Action{Kind: structs.ActionReserve, Job: "x/1", StartAt: now.Add(90 * time.Second)}
	require.NoError(t, d.Apply(state.PlanAccepted{Plan: structs.Plan{Actions: []structs.Action{reserve}}, Now: now}))
	actions = Offload(d, &structs.Plan{Actions: []structs.Action{reserve}}, others, now.Add(time.Minute))
	require.Equal(t, "x/2", actions[0].Job, "the reservation of x/1 starts within minReservationLead")
	reserve.StartAt = now.Add(time.Hour)
	require.NoError(t, d.Apply(state.PlanAccepted{Plan: structs.Plan{Actions: []structs.Action{reserve}}, Now: now}))
	actions = Offload(d, &structs.Plan{Actions: []structs.Action{reserve}}, others, now.Add(time.Minute))
	require.Equal(t, "x/1", actions[0].Job, "another data centre has free capacity long before its reservation")

	late := state.New("a")
	job := structs.Job{ID: "x/1", Workspace: "x", Shape: structs.Shape{Tasks: 1, Task: whole}, Submitted: now}
	require.NoError(t, late.Apply(state.JobSubmitted{Job: job, Now: now.Add(time.Hour)}))
	require.Empty(t, Offload(late, &structs.Plan{}, others, now.Add(time.Hour+time.Minute)), "the job was transferred before and has to wait longer")
}
