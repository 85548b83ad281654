package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// A gang needs more workers than a rack has, on an idle service. Guards against waiting for a rack that can
// never hold it.
func TestGangLargerThanARackStartsAtOnce(t *testing.T) {
	w := newFixture(4, 12)
	w.submit(draft, "a", gang(13, 8, 11*time.Second))
	assert.Len(t, w.advance(0).Starts, 13)
}

// The rack of a job's data has no workers: they are draining, not listed, or without the label. Guards against
// waiting for that rack while others are idle.
func TestJobWhoseRackIsAwayStartsAtOnce(t *testing.T) {
	for name, remove := range map[string]func(*fixture, *jobstate.Worker){
		"draining":   func(_ *fixture, worker *jobstate.Worker) { worker.Draining = true },
		"unlisted":   func(w *fixture, worker *jobstate.Worker) { worker.Listed = false },
		"evacuated":  func(w *fixture, worker *jobstate.Worker) { w.c.Evacuated[worker.DataCentre] = true },
		"no label":   func(_ *fixture, worker *jobstate.Worker) { worker.Labels = nil },
		"no workers": func(w *fixture, worker *jobstate.Worker) { w.c.RemoveWorker(worker, w.now) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(3, 4)
			for _, worker := range w.c.Workers {
				worker.Labels = []string{"x"}
			}
			for _, worker := range w.c.SortedWorkers() {
				if worker.Rack == "r1" {
					remove(w, worker)
				}
			}
			tasks, wide := step(4, 1, 10*time.Second), gang(4, 8, 10*time.Second)
			tasks.DataRack, tasks.Label, wide.DataRack, wide.Label = "r1", "x", "r1", "x"
			w.submit(batch, "a", tasks)
			w.submit(draft, "a", wide)
			assert.Len(t, w.advance(0).Starts, 8)
		})
	}
}

// The record of each start is stored too late, and the worker has become unavailable by then. Guards against
// waits that begin anew with each start that is not carried out.
func TestStartsThatAreNotCarriedOutDoNotRestartTheWait(t *testing.T) {
	w := newFixture(2, 4)
	spec := gang(2, 8, 10*time.Second)
	spec.DataRack = "r1"
	j := w.submit(draft, "a", spec)
	for n := range 6 {
		for _, r := range w.decide().Starts {
			w.c.End(r, jobstate.EndNeverStarted, "", w.now)
		}
		w.now = w.now.Add(250 * time.Millisecond)
		require.Equal(t, time.Duration(n+1)*250*time.Millisecond, w.now.Sub(j.Occurrences[0].Steps[0].WaitingSince))
	}
}
