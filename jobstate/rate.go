package jobstate

import "time"

const (
	// minRateInterval is the least time over which a rate of work is measured.
	minRateInterval = 400 * time.Millisecond
	// rateShare is the least share of a task's estimate over which its rate is measured: a task
	// that takes ten times its estimate does a percent of its work meanwhile.
	rateShare = 0.1
	// stalledGain is the gain in percent below which a run stands still.
	stalledGain = 0.5
)

// Observe takes in how much of its work the run has done, as reported at now.
func (r *Run) Observe(percent float64, now time.Time) {
	r.Percent = percent
	if r.rateSince.IsZero() {
		r.rateFrom, r.rateSince = percent, now
		return
	}
	interval := now.Sub(r.rateSince)
	if interval < max(minRateInterval, time.Duration(rateShare*float64(r.Task.Step.Spec.Estimate))) {
		return
	}
	r.Rate = (percent - r.rateFrom) / interval.Seconds()
	r.Stalled = percent-r.rateFrom < stalledGain
	r.HasRate = true
	r.Task.Step.RateCheckDue = true
	r.rateFrom, r.rateSince = percent, now
}

// Remaining returns how long the run will work on if it keeps its rate. ok is false if that is not known.
func (r *Run) Remaining(now time.Time) (left time.Duration, ok bool) {
	if !r.HasRate || r.Rate <= 0 {
		return 0, false
	}
	seconds := (100 - r.rateFrom) / r.Rate
	return max(0, time.Duration(seconds*float64(time.Second))-now.Sub(r.rateSince)), true
}
