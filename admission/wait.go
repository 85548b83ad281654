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

// approach moves the decayed average towards the newest value.
func (v *vector) approach(newest vector, elapsed, halfLife time.Duration) {
	past := math.Exp2(-max(0, elapsed.Seconds()) / halfLife.Seconds())
	for r := range v {
		v[r] = past*v[r] + (1-past)*newest[r]
	}
}

// expectedWait returns a lower bound of the time until the tasks up to the priority, of which the workspace uses at most
// rate at a time, leave room. The work is in ascending order of its times.
func expectedWait(work []Work, priority int, rate vector) time.Duration {
	longest := 0.0
	for r := range rate {
		if rate[r] > 0 { // otherwise no worker has any, and when one will is unknown
			longest = max(longest, fullFor(work, priority, r, rate[r]))
		}
	}
	return time.Duration(min(longest, maxWait.Seconds()) * float64(time.Second))
}

// fullFor returns for how many seconds the tasks up to the priority can use the whole rate of resource r. In the first t
// seconds, a task uses its demand for at most t and for at most its time. So a task that runs for long delays others
// only by what it uses, however long it runs.
func fullFor(work []Work, priority, r int, rate float64) float64 {
	open := 0.0 // demand of the tasks that are longer than t
	for n := range work {
		if work[n].Priority <= priority {
			open += vectorOf(work[n].Demand)[r]
		}
	}
	done := 0.0 // use of the shorter ones, in units of the resource times seconds
	for n := range work {
		if work[n].Priority > priority {
			continue
		}
		if open <= rate {
			if t := work[n].Time.Seconds(); done+open*t <= rate*t {
				break
			}
		}
		demand := vectorOf(work[n].Demand)[r]
		done += demand * work[n].Time.Seconds()
		open = max(0, open-demand)
	}
	if done == 0 || open >= rate {
		return 0
	}
	return done / (rate - open)
}
