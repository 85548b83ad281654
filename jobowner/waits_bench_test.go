package jobowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// BenchmarkCheckWaits measures one search among 1,000 waiting jobs of 8 tasks on 600 workers, without a line that
// is due and with as many as one search logs.
func BenchmarkCheckWaits(b *testing.B) {
	for _, due := range []bool{false, true} {
		b.Run(fmt.Sprint("due=", due), func(b *testing.B) {
			t := waitingTerm()
			now := time.Now().Add(3 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				for _, j := range t.cluster.Jobs {
					j.Occurrences[0].Steps[0].WaitReports = 1
					if due {
						j.Occurrences[0].Steps[0].WaitReports = 0
					}
				}
				t.waitsCheckedAt = time.Time{}
				t.checkWaits(now)
			}
		})
	}
}

func waitingTerm() *Term {
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), discard{}, zap.InfoLevel))
	t := New(Options{Log: log, Metrics: metrics.NewRegistry(), Placement: placement.Options{FarFactor: 3}})
	now := time.Now()
	for n := range 600 {
		w := t.cluster.EnsureWorker(fmt.Sprint("w", n), 1, now)
		w.Service, w.Listed, w.Answered, w.Confirmed = "service", true, true, true
	}
	for n := range 1000 {
		j := t.cluster.AddJob(&workload.Submission{ID: fmt.Sprint("job", n), Queue: workload.Route{Service: "service"},
			Steps: []workload.Step{{Tasks: 8, Demand: workload.Resources{Accelerators: 1}, Estimate: time.Second}}}, now)
		j.OpenNext(now.UnixMilli(), now)
	}
	return t
}

// discard drops log lines after they have been encoded.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) Sync() error                 { return nil }
