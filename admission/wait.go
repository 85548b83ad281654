package admission

import (
	"math"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// vector is an amount of each resource.
type vector [3]float64

func vectorOf(a workload.Resources) vector {
	return vector{float64(a.MilliCPU), float64(a.MemoryMB), float64(a.Accelerators)}
}

func (v vector) resources() workload.Resources {
	return workload.Resources{MilliCPU: int(v[0]), MemoryMB: int(v[1]), Accelerators: int(v[2])}
}

func (v vector) plus(other vector) vector {
	for r := range v {
		v[r] += other[r]
	}
	return v
}

func (v vector) least(other vector) vector {
	for r := range v {
		v[r] = min(v[r], other[r])
	}
	return v
}

// exceeds reports whether the amount of a resource exceeds the other one by more than the factor.
func (v vector) exceeds(other vector, factor float64) bool {
	for r := range v {
		if v[r] > factor*other[r] {
			return true
		}
	}
	return false
}

// follow updates a decaying peak with the newest value.
func (v *vector) follow(newest vector, elapsed time.Duration) {
	past := math.Exp2(-max(0, elapsed.Seconds()) / useHalfLife.Seconds())
	for r := range v {
		v[r] = max(past*v[r], newest[r])
	}
}

// expectedWait returns the time until the tasks up to the priority, of which the workspace uses at most rate at a time,
// leave room. The work is in ascending order of its times. The result exceeds the real wait by at most the run time of a
// task that ends within it. A refusal makes up for that: it compares the wait with the latest useful end of a job, and
// not with its latest start.
func expectedWait(work []Work, priority int, rate vector) time.Duration {
	longest := 0.0
	for r := range rate {
		if rate[r] > 0 { // otherwise no worker has any, and when one will is unknown
			longest = max(longest, fullFor(work, priority, r, rate[r]))
		}
	}
	return time.Duration(min(longest, maxWait.Seconds()) * float64(time.Second))
}

// fullFor returns for how many seconds the tasks up to the priority use the whole rate of resource r. Tasks that end by
// then have done all their work. Of the longer ones, those that run have used their demand all the time, and those that
// wait need only room to begin; so a long task delays others only by what it uses, however long it runs. Running tasks
// may use more than the rate, after the cap was lowered: they end by themselves all the same.
func fullFor(work []Work, priority, r int, rate float64) float64 {
	running, open := 0.0, 0.0 // demand of the tasks that are not counted in done; running ones are part of both
	for n := range work {
		if work[n].Priority <= priority {
			demand := vectorOf(work[n].Demand)[r]
			open += demand
			if work[n].Running {
				running += demand
			}
		}
	}
	done := 0.0  // work of the shorter ones, in units of the resource times seconds
	above := 0.0 // the part of it that running tasks do above the rate
	last := 0.0
	for n := range work {
		if work[n].Priority > priority {
			continue
		}
		t := work[n].Time.Seconds()
		above += max(0, running-rate) * (t - last)
		last = t
		if open <= rate && done+running*t <= rate*t+above {
			break
		}
		demand := vectorOf(work[n].Demand)[r]
		done += demand * work[n].Time.Seconds()
		open = max(0, open-demand)
		if work[n].Running {
			running = max(0, running-demand)
		}
	}
	if done == 0 || running >= rate {
		return 0
	}
	return max(0, done-above) / (rate - running)
}
