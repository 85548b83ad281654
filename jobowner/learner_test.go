package jobowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Four workers run steps of four tasks; one takes twice as long, in another rack. Guards against the speed of a worker that follows
// from the distance to its data, from the pace of the slowest member of a gang, or from a declared run time.
func TestRunsThatSayNothingAboutTheirWorker(t *testing.T) {
	for name, c := range map[string]struct {
		step    workload.Step
		learned bool
		slow    bool
	}{
		"far from its data":            {workload.Step{Tasks: 4, DataRack: "r0"}, true, false},
		"gang":                         {workload.Step{Tasks: 4, Gang: true}, true, false},
		"single task, declared":        {workload.Step{Tasks: 1}, false, false},
		"tasks of a step":              {workload.Step{Tasks: 4}, false, true},
		"tasks beside each other, far": {workload.Step{Tasks: 4, DataRack: "r1"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := newLearner(3, true, metrics.NewRegistry())
			cluster := jobstate.New()
			for i := range 20 {
				c.step.Estimate = time.Second
				j := cluster.AddJob(&workload.Submission{ID: fmt.Sprint("j", i), Steps: []workload.Step{c.step}}, now)
				j.OpenNext(now.UnixMilli(), now)
				for n, task := range j.Occurrences[0].Steps[0].Tasks {
					w := cluster.EnsureWorker(fmt.Sprint("w", n), 1, now)
					took := time.Second
					if w.Rack = "r0"; n == 0 {
						w.Rack, took = "far", 2*time.Second
					}
					l.observeSpeed(cluster.Place(task, w, 1, now), runtimes.Expectation{Median: time.Second, Learned: c.learned}, took)
				}
			}
			if c.slow {
				assert.Less(t, l.Speed("w0"), 0.7)
			} else {
				assert.InDelta(t, 1, l.Speed("w0"), 0)
			}
		})
	}
}
