package jobstate

import "time"

// maxWorkTimeError is the share of a run's time of work by which its end may be uncertain. The end lies between two
// reports of the worker.
const maxWorkTimeError = 0.25

// WorkTime returns how long the run worked, on its worker's clock, if it ended before the report that the worker made
// at the time clock, in milliseconds. ok is false if that is not known well: the beginning is uncertain, reports are far
// apart, or the run was slowed by order or resumed from a checkpoint, so that it did not do all of the work.
func (r *Run) WorkTime(clock int64) (work time.Duration, ok bool) {
	since, ok := r.workingSince()
	if !ok || r.Resumed || !r.FullSpeed() {
		return 0, false
	}
	last := max(since, r.lastClock)
	if clock < last {
		return 0, false
	}
	end, uncertain := last+(clock-last)/2, (clock-last)/2
	if r.HasRate && r.Rate > 0 && !r.Stalled {
		left := (100 - r.intervalPercent) / r.Rate * 1000
		end = min(max(last, r.intervalClock+int64(min(max(left, 0), 1e15))), clock)
		uncertain = 0
	}
	if end <= since || float64(uncertain) > maxWorkTimeError*float64(end-since) {
		return 0, false
	}
	return time.Duration(end-since) * time.Millisecond, true
}

// WorkedAtLeast returns how long the run has worked until its newest report, on its worker's clock. ok is false if that
// is not known.
func (r *Run) WorkedAtLeast() (work time.Duration, ok bool) {
	since, ok := r.workingSince()
	if !ok || r.Resumed || !r.FullSpeed() || r.lastClock <= since {
		return 0, false
	}
	return time.Duration(r.lastClock-since) * time.Millisecond, true
}
