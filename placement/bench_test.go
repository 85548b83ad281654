package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// BenchmarkDecide measures one decision with a fifth of the accelerators free, a number of running tasks
// in proportion to the workers, and some steps that cannot start.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{48, 350, 630} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			w := newFixture(workers/8, 8)
			for range workers / 4 {
				w.submit(batch, "b", step(14, 1, time.Hour))
				w.submit(draft, "b", gang(3, 4, time.Hour))
			}
			w.advance(time.Second)
			for range 10 {
				w.submit(draft, "c", gang(64, 8, time.Hour))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.decide()
			}
		})
	}
}

// BenchmarkDecideWithOverdueGangs measures one decision with many gangs that cannot start and have waited for long.
func BenchmarkDecideWithOverdueGangs(b *testing.B) {
	w := newFixture(45, 12)
	for range 135 {
		w.submit(batch, "b", step(14, 1, time.Hour))
		w.submit(draft, "b", gang(3, 4, time.Hour))
	}
	w.advance(time.Second)
	for range 100 {
		w.submit(draft, "c", gang(64, 8, time.Hour))
	}
	w.now = w.now.Add(3 * time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		w.decide()
	}
}

// BenchmarkDecideWithRunTimes measures the decision of BenchmarkDecide with learned run times in all uses.
func BenchmarkDecideWithRunTimes(b *testing.B) {
	for _, workers := range []int{48, 350, 630} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			w := newFixture(workers/8, 8)
			w.use(trained(), "order,loss,leave,straggler,rack")
			for range workers / 4 {
				w.submit(batch, "b", step(14, 1, time.Hour))
				w.submit(draft, "b", gang(3, 4, time.Hour))
			}
			w.advance(time.Second)
			for range 10 {
				w.submit(draft, "c", gang(64, 8, time.Hour))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.decide()
			}
		})
	}
}

// trainedModel is a model with a speed of 1 for each worker.
type trainedModel struct{ *runtimes.Model }

func (trainedModel) Speed(string) float64 { return 1 }

// trained returns a model that has seen jobs like those of BenchmarkDecide.
func trained() trainedModel {
	m := runtimes.NewModel()
	for n := range 40 {
		for _, s := range []workload.Step{step(14, 1, time.Hour), gang(3, 4, time.Hour), gang(64, 8, time.Hour)} {
			for route, workspace := range map[string]string{"p1": "b", "p2": "c"} {
				m.Observe(runtimes.Sample{Weight: 1, Actual: time.Hour + time.Duration(n%10)*5*time.Minute, Query: runtimes.Query{Route: route, Workspace: workspace,
					Declared: time.Hour, Shape: runtimes.Shape{Tasks: s.Tasks, Demand: s.Demand, Gang: s.Gang}}})
			}
		}
	}
	return trainedModel{m}
}

// BenchmarkDecideWithCaps is BenchmarkDecide with 98 workspaces that have a weight and a cap.
func BenchmarkDecideWithCaps(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			const workers = 630
			w := newFixture(workers/8, 8)
			name := func(n int) string { return fmt.Sprint("w", n%98) }
			for n := range 98 {
				if limited {
					w.configure(name(n), float64(1+n%7), 60)
				}
			}
			for n := range workers / 4 {
				w.submit(batch, name(n), step(14, 1, time.Hour))
				w.submit(draft, name(n+1), gang(3, 4, time.Hour))
			}
			w.advance(time.Second)
			for n := range 10 {
				w.submit(draft, name(n), gang(64, 8, time.Hour))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.decide()
			}
		})
	}
}
