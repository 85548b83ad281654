package jobstate

import "time"

const (
	// minRateInterval is the least time over which the rate of a run is measured.
	minRateInterval = 400 * time.Millisecond
	// rateShare is the least share of a task's estimate over which its rate is measured. Even a task that
	// takes ten times its estimate does one percent of its work in this time.
	rateShare = 0.1
	// stalledGain is the progress per interval, in percent, below which a run counts as stalled.
	stalledGain = 0.5
)

// Observe records the share of its work that the run has done, as reported at now, and updates its rate.
func (r *Run) Observe(percent float64, now time.Time) {
	r.Percent = percent
	if r.intervalStart.IsZero() && !r.beginInterval(now) {
		return
	}
	interval := now.Sub(r.intervalStart)
	if interval < max(minRateInterval, time.Duration(rateShare*float64(r.Task.Step.Spec.Estimate))) {
		return
	}
	r.Rate = (percent - r.intervalPercent) / interval.Seconds()
	r.Stalled = percent-r.intervalPercent < stalledGain
	r.HasRate = true
	r.Task.Step.RateCheckDue = true
	r.intervalPercent, r.intervalStart = percent, now
}

// beginInterval starts the first interval of the run and reports whether it may already have ended. The
// interval begins with the work itself if that began at a known time and from nothing, otherwise now.
func (r *Run) beginInterval(now time.Time) bool {
	if since, ok := r.workingSince(); ok && !r.Resumed {
		r.intervalPercent, r.intervalStart = 0, since
		return true
	}
	r.intervalPercent, r.intervalStart = r.Percent, now
	return false
}

// workingSince returns when the run began to work: when its worker answered the start or, in a gang, when
// the last of the workers did. ok is false if such an answer is missing: the run was started by a former
// owner, or the answer was lost.
func (r *Run) workingSince() (since time.Time, ok bool) {
	s := r.Task.Step
	if !s.Spec.Gang {
		return r.StartedAt, r.StartAnswered
	}
	for _, t := range s.Tasks {
		if t.Run == nil || !t.Run.StartAnswered {
			return time.Time{}, false
		}
		if t.Run.StartedAt.After(since) {
			since = t.Run.StartedAt
		}
	}
	return since, true
}

// Remaining returns the time to the end of the run at its current rate. ok is false without a usable rate.
func (r *Run) Remaining(now time.Time) (left time.Duration, ok bool) {
	if !r.HasRate || r.Rate <= 0 {
		return 0, false
	}
	seconds := (100 - r.intervalPercent) / r.Rate
	return max(0, time.Duration(seconds*float64(time.Second))-now.Sub(r.intervalStart)), true
}
