package workload

import (
	"math"
	"time"
)

// LateFactor is the multiple of its objective up to which a late job is still of some use.
const LateFactor = 3

// CriticalPath returns the estimated run time of the longest chain of steps. ok is false if the estimate of a step is
// missing, or a step runs until its job is cancelled.
func (s *Submission) CriticalPath() (path time.Duration, ok bool) {
	var few [8]float64
	ends := append(few[:0], make([]float64, len(s.Steps))...) // seconds, because a sum of the longest estimates exceeds a Duration
	longest := 0.0
	for n := range s.Steps {
		step := &s.Steps[n]
		if step.Estimate == 0 || step.LongRunning {
			return 0, false
		}
		for _, a := range step.After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += step.Estimate.Seconds()
		longest = max(longest, ends[n])
	}
	return seconds(longest), true
}

// UsefulFor returns how long after its acceptance the end of the job is still of some use on the route. ok is false if
// that is unknown: the job has no critical path, or runs at times of its own.
func (s *Submission) UsefulFor(route *Route) (limit time.Duration, ok bool) {
	path, ok := s.CriticalPath()
	if !ok || s.Schedule.Occurrences > 0 {
		return 0, false
	}
	return seconds(LateFactor * (path.Seconds()*max(1, route.Stretch) + route.TargetLatency.Seconds())), true
}

// Objective returns the time within which a step of the run time is to end after it has become ready.
func (r *Route) Objective(runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime)*max(1, r.Stretch)) + r.TargetLatency
}

// seconds returns the time, limited to the longest Duration.
func seconds(s float64) time.Duration {
	if s >= float64(math.MaxInt64)/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
