package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	benchWorkersPerRack = 8
	benchWarmup         = 30
	benchInterval       = time.Minute
)

var benchWorker = structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}

func benchTask(acc int) structs.Resources {
	return structs.Resources{Slots: acc, Processors: 16 * acc, MemoryMB: 32768 * acc, Accelerators: acc}
}

// benchShapes is a mix of small jobs and gangs of up to 64 accelerators.
var benchShapes = []structs.Shape{
	{Tasks: 1, Task: benchTask(1)}, {Tasks: 1, Task: benchTask(1)}, {Tasks: 1, Task: benchTask(2)}, {Tasks: 1, Task: benchTask(4)},
	{Tasks: 2, Task: benchTask(2)}, {Tasks: 1, Task: benchTask(8)}, {Tasks: 2, Task: benchTask(8), Adjacent: true},
	{Tasks: 4, Task: benchTask(8), Adjacent: true}, {Tasks: 8, Task: benchTask(8), Adjacent: true}, {Tasks: 16, Task: benchTask(4)},
}

// benchState returns a data centre after benchWarmup decisions under load. It has workspaces with
// guarantees for half of the workers, a request service, and a queue of one job per two workers.
func benchState(b *testing.B, workers int) (*state.DataCentre, time.Time) {
	d, now := state.New("a"), epoch
	rng := rand.New(rand.NewPCG(1, uint64(workers)))
	apply := func(e state.Event) {
		if err := d.Apply(e); err != nil {
			b.Fatal(err)
		}
	}
	for i := range workers {
		apply(state.WorkerJoined{Worker: structs.Worker{ID: fmt.Sprintf("w%04d", i), Rack: i / benchWorkersPerRack, Capacity: benchWorker}})
	}
	configured := state.Configured{
		Revision: 1, Stage: structs.StageOpen, Now: now,
		Fleet:    structs.FleetSpec{Workers: workers, WorkersPerRack: benchWorkersPerRack, Capacity: benchWorker},
		Services: []structs.Service{{Name: "gang", Kind: structs.KindJob}, {Name: "ask", Kind: structs.KindRequest, SlotShape: benchTask(1), MinSlots: 8}},
	}
	workspaces := 4 + min(workers/10, 94)
	for i := range workspaces {
		ws := fmt.Sprintf("ws%02d", i)
		configured.Workspaces = append(configured.Workspaces, structs.Workspace{Name: ws, Weight: 1 + i%3})
		shape := structs.Shape{Tasks: 1, Task: benchTask(8)}
		if i%4 == 0 {
			shape = structs.Shape{Tasks: 4, Task: benchTask(8), Adjacent: true}
		}
		count := max(workers/2/workspaces/shape.Tasks, 1)
		configured.Guarantees = append(configured.Guarantees, state.Guarantee{Workspace: ws, Guarantee: structs.Guarantee{Name: "g", Shape: shape, Count: count}})
	}
	apply(configured)
	for i := range 8 {
		apply(state.SlotsRequested{Instance: fmt.Sprintf("i%d", i), Service: "ask", Wanted: 4, Expires: now.Add(time.Hour)})
	}
	s, next := New(Options{}), 0
	for step := range benchWarmup {
		for len(d.Queue) < workers/2 {
			next++
			ws := fmt.Sprintf("ws%02d", rng.IntN(workspaces))
			run := time.Duration(1+rng.IntN(240)) * time.Minute
			apply(state.JobSubmitted{Now: now, Job: structs.Job{
				ID: fmt.Sprintf("%s/%06d", ws, next), Workspace: ws, Service: "gang", Class: structs.Class(rng.IntN(3)), Urgent: rng.IntN(20) == 0,
				Shape: benchShapes[rng.IntN(len(benchShapes))], Idempotent: rng.IntN(4) == 0, Checkpoint: rng.IntN(3) > 0,
				Declared: run, Submitted: now, Grace: 5 * time.Second,
			}})
		}
		apply(state.PlanAccepted{Plan: s.Decide(d, now), Now: now})
		now = now.Add(benchInterval)
		if step == benchWarmup-1 {
			break
		}
		for _, j := range append([]*state.Job(nil), d.Active...) {
			switch {
			case j.Status == state.Preempting:
				apply(state.JobStopped{Job: j.ID, Attempt: j.Attempt, Cooldown: 5 * time.Minute, Now: now})
			case j.Status == state.Starting:
				apply(state.StartConfirmed{Job: j.ID, Attempt: j.Attempt, Now: now})
			case now.Sub(j.StartedAt) > j.Declared/4:
				apply(state.JobEnded{Job: j.ID, RunTime: now.Sub(j.StartedAt)})
			}
		}
	}
	for _, j := range append([]*state.Job(nil), d.Active...) {
		if j.Status == state.Starting {
			apply(state.StartConfirmed{Job: j.ID, Attempt: j.Attempt, Now: now})
		}
	}
	return d, now
}

// BenchmarkDecide measures decisions in one data centre under load: "blocked" without any change of
// the free resources, "events" after two jobs have ended and an urgent one has arrived. 90 workers
// is the size of one of 7 data centres with 630 workers in total.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 90, 630, 5000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchSize(b, workers) })
	}
}

func benchSize(b *testing.B, workers int) {
	d, now := benchState(b, workers)
	s := New(Options{})
	run := func(b *testing.B) {
		b.ReportAllocs()
		actions := 0
		for b.Loop() {
			actions = len(s.Decide(d, now).Actions)
		}
		b.ReportMetric(float64(actions), "actions")
		b.ReportMetric(float64(len(d.Queue)), "queued")
		b.ReportMetric(float64(len(d.Active)), "active")
	}
	b.Run("blocked", run)
	for range 2 {
		if err := d.Apply(state.JobEnded{Job: d.Active[len(d.Active)/2].ID}); err != nil {
			b.Fatal(err)
		}
	}
	urgent := structs.Job{
		ID: "ws01/urgent", Workspace: "ws01", Service: "gang", Urgent: true, Checkpoint: true,
		Shape: structs.Shape{Tasks: 1, Task: benchTask(8)}, Declared: time.Minute, Submitted: now,
	}
	if err := d.Apply(state.JobSubmitted{Job: urgent, Now: now}); err != nil {
		b.Fatal(err)
	}
	b.Run("events", run)
}
