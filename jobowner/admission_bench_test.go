package jobowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// BenchmarkUpdateAdmission measures one assessment of 98 workspaces with 1,000 waiting jobs of 8 tasks and 2,200 running
// tasks on 600 workers, and one without weights and caps.
func BenchmarkUpdateAdmission(b *testing.B) {
	for _, weight := range []float64{0, 3} {
		b.Run(fmt.Sprint("weight=", weight), func(b *testing.B) {
			t := waitingTerm()
			t.opts.Suspended = func() time.Duration { return 0 }
			config := workload.Config{}
			for n := range 98 {
				config.Workspaces = append(config.Workspaces, workload.Workspace{Name: fmt.Sprint("w", n), Weight: weight, Cap: workload.Resources{Accelerators: int(weight) * 8}})
			}
			limits := workload.NewConfig(config)
			t.opts.Config = func() *workload.Config { return limits }
			now := time.Now()
			for _, w := range t.cluster.Workers {
				w.Capacity = workload.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
			}
			t.listAsOf = suspend.NewStamp(now, 0)
			n, workers := 0, t.cluster.SortedWorkers()
			var running []*jobstate.Task
			for _, j := range t.cluster.Jobs {
				n++
				j.Submission.Workspace = fmt.Sprint("w", n%98)
				running = append(running, j.Occurrences[0].Steps[0].Tasks[:3]...)
			}
			for n, task := range running[:2200] {
				t.cluster.Place(task, workers[n%len(workers)], 1, now).Confirm(now)
			}
			b.ReportAllocs()
			for b.Loop() {
				t.admission.updatedAt = suspend.Stamp{}
				t.updateAdmission(now)
			}
		})
	}
}
