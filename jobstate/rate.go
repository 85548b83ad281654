package jobstate

import "time"

// The intervals over which rates are measured are differences of the worker's clock: the owner may process a report
// or the answer to a start late.

const (
	// startTolerance is the longest time between the start order to a member of a gang and its answer that leaves the
	// beginning of the gang's work certain enough for a rate.
	startTolerance = 50 * time.Millisecond
	// minRateInterval is the least time over which the rate of a run is measured.
	minRateInterval = 400 * time.Millisecond
	// rateShare is the least share of a task's expected run time over which its rate is measured. Even a task that
	// takes ten times as long does one percent of its work in this time.
	rateShare = 0.1
	// stalledGain is the progress per interval, in percent, below which a run counts as stalled.
	stalledGain = 0.5
)

// Observe records the share of its work that the run had done at the time clock of its worker, in milliseconds, and
// updates its rate. The report is processed at now.
func (r *Run) Observe(percent float64, clock int64, now time.Time) {
	r.Percent = percent
	r.lastClock = clock
	if !r.intervalBegun && !r.beginInterval(clock, now) {
		return
	}
	interval := time.Duration(clock-r.intervalClock) * time.Millisecond
	if interval < max(minRateInterval, time.Duration(rateShare*float64(r.Task.Step.rateBasis()))) {
		return
	}
	r.Rate = (percent - r.intervalPercent) / interval.Seconds()
	r.Stalled = percent-r.intervalPercent < stalledGain
	r.HasRate = true
	r.Task.Step.RateCheckDue = true
	r.intervalPercent, r.intervalClock, r.intervalStart = percent, clock, now
}

// rateBasis returns the run time of which rateShare is the least interval for a rate.
func (s *Step) rateBasis() time.Duration {
	if s.Expected > 0 {
		return s.Expected
	}
	return s.Spec.Estimate
}

// beginInterval starts the first interval of the run and reports whether it may already have ended. The
// interval begins with the work itself if that began at a known time and from nothing, otherwise at clock.
func (r *Run) beginInterval(clock int64, now time.Time) bool {
	r.intervalBegun = true
	if since, ok := r.workingSince(); ok && !r.Resumed {
		r.intervalPercent, r.intervalClock, r.intervalStart = 0, since, now
		return true
	}
	r.intervalPercent, r.intervalClock, r.intervalStart = r.Percent, clock, now
	return false
}

// workingSince returns the time on the worker's clock at which the run began to work: when its worker received the
// start or, in a gang, when the last of the workers did. ok is false if such a time is missing or uncertain: the run
// was started by a former owner, the answer to its start was lost, or an answer to a member of its gang came late.
func (r *Run) workingSince() (since int64, ok bool) {
	if !r.StartAnswered {
		return 0, false
	}
	s := r.Task.Step
	if !s.Spec.Gang {
		return r.StartClock, true
	}
	last := r.StartedAt
	for _, t := range s.Tasks {
		if t.Run == nil || !t.Run.StartAnswered || t.Run.StartedAt.Sub(t.Run.StartSentAt) > startTolerance {
			return 0, false
		}
		if t.Run.StartedAt.After(last) {
			last = t.Run.StartedAt
		}
	}
	return r.StartClock + last.Sub(r.StartedAt).Milliseconds(), true
}

// resetRate discards what was measured on the clock of an earlier incarnation of the worker.
func (r *Run) resetRate() {
	r.HasRate, r.Stalled, r.StartAnswered, r.intervalBegun = false, false, false, false
	r.lastClock = 0
}

// Remaining returns the time to the end of the run at its current rate. ok is false without a usable rate.
func (r *Run) Remaining(now time.Time) (left time.Duration, ok bool) {
	if !r.HasRate || r.Rate <= 0 {
		return 0, false
	}
	seconds := (100 - r.intervalPercent) / r.Rate
	return max(0, time.Duration(seconds*float64(time.Second))-now.Sub(r.intervalStart)), true
}
