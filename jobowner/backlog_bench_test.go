package jobowner

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	benchWorkers = 630
	fleetTasks   = 8 * benchWorkers // as many tasks of one accelerator as the fleet runs
)

// backlogs returns jobs of the given number of tasks of one accelerator, by their shape.
var backlogs = map[string]func(tasks int) []workload.Submission{
	"occurrences": func(tasks int) (list []workload.Submission) { // of scheduled jobs, all due
		for n := range 20 {
			s := benchJob(n, 1)
			s.Schedule = workload.Schedule{Occurrences: tasks / 20, First: 1, Interval: time.Second}
			list = append(list, s)
		}
		return list
	},
	"jobs": func(tasks int) (list []workload.Submission) {
		for n := range tasks / 8 {
			list = append(list, benchJob(n, 8))
		}
		return list
	},
	"wide_steps": func(tasks int) (list []workload.Submission) {
		for n := range max(1, tasks/workload.MaxTasks) {
			list = append(list, benchJob(n, min(tasks, workload.MaxTasks)))
		}
		return list
	},
}

func benchJob(n, tasks int) workload.Submission {
	return workload.Submission{ID: fmt.Sprintf("%016x", n), Workspace: fmt.Sprint("team", n%4), Payload: "payload",
		Queue: workload.Route{Name: "batch", Service: "service", Priority: 2, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second},
		Steps: []workload.Step{{Tasks: tasks, Demand: workload.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}, Estimate: 10 * time.Second}}}
}

// BenchmarkBacklog measures a decision and the memory of a full fleet of 630 workers, with accepted work of 1, 10 and 100
// times what it runs.
func BenchmarkBacklog(b *testing.B) {
	for _, shape := range []string{"occurrences", "jobs", "wide_steps"} {
		for _, factor := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/x%d", shape, factor), func(b *testing.B) {
				before := heapBytes()
				t := backlogTerm(backlogs[shape](factor * fleetTasks))
				now := time.Now()
				for range 20 { // until the fleet is full
					t.openDue(now)
					t.policy.Decide(t.cluster, t.workspace, now)
				}
				after := heapBytes()
				b.ReportAllocs()
				for b.Loop() {
					t.openDue(now)
					t.policy.Decide(t.cluster, t.workspace, now)
				}
				b.ReportMetric(float64(after-before)/(1<<20), "live_MB")
				runtime.KeepAlive(t)
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func backlogTerm(jobs []workload.Submission) *Term {
	config := workload.NewConfig(workload.Config{Routes: []workload.Route{{Name: "batch", Service: "service", Priority: 2}}})
	t := New(Options{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Placement: placement.Options{FarFactor: 3}, WallClock: time.Now,
		Config: func() *workload.Config { return config }})
	close(t.loaded)
	now := time.Now()
	for n := range benchWorkers {
		w := t.cluster.EnsureWorker(fmt.Sprint("w", n), 1, now)
		w.Service, w.Listed, w.Answered, w.Confirmed = "service", true, true, true
		w.Capacity = workload.Resources{MilliCPU: 128_000, MemoryMB: 262_144, Accelerators: 8}
	}
	for n := range jobs {
		raw, err := json.Marshal(jobs[n])
		if err != nil {
			panic(err)
		}
		t.addJob(jobs[n].ID, metastore.Change{Item: metastore.Item{Value: raw}}, sourceWatch, now)
	}
	return t
}
