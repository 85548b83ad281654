package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// kind is one of the kinds of jobs of a customer with high load.
type kind struct {
	name         string
	tasks        int
	length       float64 // seconds
	spread       float64 // relative spread of the lengths of jobs
	cores        int
	accelerators int
	gang         bool
}

var kinds = []kind{
	{"a", 5, 2.5, 0.4, 15, 4, true},
	{"b", 13, 6.8, 0.4, 52, 8, true},
	{"c", 39, 6.1, 0.4, 11, 1, false},
}

// load generates jobs as of a customer with high load.
type load struct {
	rng      *rand.Rand
	off      float64 // declared run times are off by up to this share of the actual one
	tail     float64 // share of the tasks that take seven times as long
	tasksOff float64 // tasks of one step differ by up to this share
}

func newLoad(seed uint64, off float64) *load {
	return &load{rng: rand.New(rand.NewPCG(seed, 1)), off: off, tail: 0.03, tasksOff: 0.3}
}

func (l *load) uniform(off float64) float64 { return 1 + off*(2*l.rng.Float64()-1) }

// step returns the declared run time and those of the tasks, in seconds.
func (l *load) step(k kind) (declared float64, tasks []float64) {
	s := math.Sqrt(math.Log(1 + k.spread*k.spread))
	length := k.length * math.Exp(s*l.rng.NormFloat64()-s*s/2)
	n := k.tasks
	if k.gang {
		n = 1 // its run counts once
	}
	for range n {
		t := length * l.uniform(l.tasksOff)
		if l.rng.Float64() < l.tail {
			t *= 7
		}
		tasks = append(tasks, t)
	}
	return length * l.uniform(l.off), tasks
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func query(k kind, workspace string, declared float64) runtimes.Query {
	return runtimes.Query{Route: k.name, Workspace: workspace, Declared: seconds(declared), Shape: runtimes.Shape{
		Tasks: k.tasks, Gang: k.gang, Demand: workload.Resources{MilliCPU: k.cores * 1000, MemoryMB: 39_000, Accelerators: k.accelerators}}}
}

// errors holds absolute logarithms of the ratio of an estimate to the actual run time.
type errorList []float64

func (e *errorList) add(estimate time.Duration, actual float64) {
	*e = append(*e, math.Abs(math.Log(estimate.Seconds()/actual)))
}

func (e errorList) quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(e))
	return sorted[int(q*float64(len(sorted)-1))]
}

// result is what was measured over a number of jobs.
type result struct {
	declared, learned errorList
	beyondHigh        float64 // share of the tasks that took longer than the high quantile
}

func (r result) String() string {
	return fmt.Sprintf("declared %.3f/%.3f, learned %.3f/%.3f, beyond high %.3f", r.declared.quantile(0.5), r.declared.quantile(0.9),
		r.learned.quantile(0.5), r.learned.quantile(0.9), r.beyondHigh)
}

// run has the model expect and then observe the given number of jobs of each kind, and measures the second half.
func (l *load) run(m *runtimes.Model, jobs int, workspaces int) result {
	var r result
	beyond, n := 0, 0
	for j := range jobs {
		for _, k := range kinds {
			declared, tasks := l.step(k)
			q := query(k, fmt.Sprint("w", l.rng.IntN(workspaces)), declared)
			e := m.Expect(q)
			for _, t := range tasks {
				if j >= jobs/2 {
					r.declared.add(q.Declared, t)
					r.learned.add(e.Median, t)
					n++
					if seconds(t) > e.High {
						beyond++
					}
				}
				m.Observe(runtimes.Sample{Query: q, Actual: seconds(t), Weight: 1 / float64(len(tasks))})
			}
		}
	}
	r.beyondHigh = float64(beyond) / float64(n)
	return r
}
