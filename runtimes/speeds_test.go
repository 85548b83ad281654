package runtimes_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// workerOf is a worker with its actual speed.
type workerOf struct {
	id    string
	speed float64
}

// fleet returns n workers of each of the given speeds.
func fleet(n int, speeds ...float64) []workerOf {
	var list []workerOf
	for i := range n {
		for _, speed := range speeds {
			list = append(list, workerOf{fmt.Sprintf("w%d-%v", i, speed), speed})
		}
	}
	return list
}

// runSteps observes steps with a task on each worker, in the order in which the runs end.
func runSteps(s *runtimes.Speeds, l *load, workers []workerOf, first, steps int) {
	type end struct {
		worker string
		took   float64
	}
	for n := range steps {
		var ends []end
		for _, w := range workers {
			took := 6 * l.uniform(l.tasksOff) / w.speed
			if l.rng.Float64() < l.tail {
				took *= 7
			}
			ends = append(ends, end{w.id, took})
		}
		slices.SortFunc(ends, func(a, b end) int { return int(math.Copysign(1, a.took-b.took)) })
		for _, e := range ends {
			s.Observe(e.worker, fmt.Sprint("step", first+n), false, 0, seconds(e.took))
		}
	}
}

// meanSpeed returns the mean of the estimates of the workers of the given speed, and their standard deviation.
func meanSpeed(s *runtimes.Speeds, workers []workerOf, speed float64) (mean, deviation float64) {
	n, sum, squares := 0.0, 0.0, 0.0
	for _, w := range workers {
		if w.speed == speed {
			v := s.Of(w.id)
			n, sum, squares = n+1, sum+v, squares+v*v
		}
	}
	return sum / n, math.Sqrt(max(0, squares/n-sum*sum/n/n))
}

// Runs of a step end in the order of the speed of their workers. Guards against comparisons with the runs that ended
// before only: speeds of 0.8 and 1.25 were estimated as 0.91 and 1.10, whatever the number of runs.
func TestSpeedsOfRunsThatEndInOrder(t *testing.T) {
	for _, runs := range []int{10, 50} {
		for seed := range uint64(5) {
			s, workers := runtimes.NewSpeeds(), fleet(10, 0.8, 1, 1.25)
			runSteps(s, newLoad(seed, 0), workers, 0, runs)
			for _, speed := range []float64{0.8, 1, 1.25} {
				mean, deviation := meanSpeed(s, workers, speed)
				t.Logf("%d runs, speed %v: %.3f, deviation %.3f", runs, speed, mean, deviation)
				assert.InDelta(t, speed, mean, 0.07, "seed %d, %d runs", seed, runs)
				assert.Less(t, deviation, 0.1, "seed %d, %d runs", seed, runs)
			}
		}
	}
}

// Guards against the speed of a worker that is confirmed by its own runs, and against steps with few tasks that say
// nothing.
func TestSpeedsOfSmallSteps(t *testing.T) {
	s := runtimes.NewSpeeds()
	for range 20 {
		s.Observe("alone", "own", false, 0, time.Second)
	}
	assert.InDelta(t, 1, s.Of("alone"), 1e-9)
	for n := range 20 {
		for _, w := range fleet(1, 0.8, 1, 1.25) {
			s.Observe(w.id, fmt.Sprint(n), false, 0, seconds(1/w.speed))
		}
	}
	assert.Less(t, s.Of("w0-0.8"), 0.9)
	assert.Greater(t, s.Of("w0-1.25"), 1.1)
}

// Guards against a single-task step that is compared with a declared run time, and against expectations that outweigh
// comparisons with runs of the same step.
func TestSingleTasksWeighLittle(t *testing.T) {
	s := runtimes.NewSpeeds()
	workers := fleet(10, 0.8, 1, 1.25)
	runSteps(s, newLoad(1, 0), workers, 0, 30)
	before, _ := meanSpeed(s, workers, 0.8)
	for range 200 {
		s.Observe("w0-1", "single", true, 6*time.Second, 6*time.Second)
		s.Observe("w0-0.8", "single", true, 6*time.Second, 3*time.Second)
		s.Observe("unknown", "single", true, 0, 3*time.Second)
	}
	assert.InDelta(t, before, s.Of("w0-0.8"), 0.15)
	assert.InDelta(t, 1, s.Of("unknown"), 0)
}

// Guards against a worker whose runs take no time or a thousand times as long spoiling the estimates: its own speed stays
// within bounds, and those of the other workers stay at what their runs show.
func TestWorkerOfAbsurdSpeed(t *testing.T) {
	for seed := range uint64(20) {
		s, l := runtimes.NewSpeeds(), newLoad(seed, 0)
		l.tail = 0
		workers := []workerOf{{"slow", 0.8}, {"usual", 1}, {"fast", 1.25}, {"usual2", 1}, {"absurdly-fast", 1000}, {"absurdly-slow", 0.3}}
		runSteps(s, l, workers, 0, 400)
		assert.InDelta(t, 0.8, s.Of("slow"), 0.15)
		assert.InDelta(t, 1, s.Of("usual"), 0.15)
		assert.InDelta(t, 1.25, s.Of("fast"), 0.2)
		assert.Less(t, s.Of("slow"), s.Of("usual"))
		assert.Less(t, s.Of("usual"), s.Of("fast"))
		for _, w := range workers {
			assert.GreaterOrEqual(t, s.Of(w.id), 0.5)
			assert.LessOrEqual(t, s.Of(w.id), 2.0)
		}
	}
	assert.InDelta(t, 1.0, runtimes.NewSpeeds().Of("unknown"), 0)
}

// Guards against memory that grows with the number of workers, of steps and of their runs, and against differences that are
// lost because a step has many tasks.
func TestSpeedsOfManyWorkersAndRuns(t *testing.T) {
	s := runtimes.NewSpeeds()
	for n := range 5000 {
		s.Observe(fmt.Sprint("w", n%3000), fmt.Sprint("small", n), false, 0, time.Second)
	}
	assert.LessOrEqual(t, s.Workers(), 1300)
	assert.LessOrEqual(t, s.Runs(), 512)
	for n := range 40_000 {
		s.Observe("w1", fmt.Sprint("large", n/100), false, 0, time.Second)
	}
	assert.LessOrEqual(t, s.Runs(), 1<<15)
	workers := fleet(200, 0.8, 1, 1.25)
	runSteps(s, newLoad(1, 0), workers, 0, 10)
	slow, _ := meanSpeed(s, workers, 0.8)
	fast, _ := meanSpeed(s, workers, 1.25)
	t.Logf("%.3f, %.3f", slow, fast)
	assert.InDelta(t, 0.8, slow, 0.07)
	assert.InDelta(t, 1.25, fast, 0.07)
}
