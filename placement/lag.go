package placement

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// lagObserved is how long a run works before it can lag. A task of some seconds does several
	// percent of its work meanwhile.
	lagObserved = 500 * time.Millisecond
	// expectedStall is how much longer a run that stands still is expected to do so.
	expectedStall = 5 * time.Second
	// slowFactor is how many times slower than the usual rate a run must be. Workers differ in
	// speed, and tasks of a step in length, by up to two times together.
	slowFactor = 3
	// lagFactor is how many times longer a run must take to end here than anew elsewhere
	// before it is taken away.
	lagFactor = 1.5
	// restartCost is what a restart takes besides the work: stop, decision and start.
	restartCost = 600 * time.Millisecond
	// maxLagRuns bounds the runs of a task that are taken away because they lag.
	maxLagRuns = 4
	// lagPause is how long a worker gets no work after a run lagged there; it doubles.
	lagPause = 3 * time.Second
	// stallPause is how long a worker gets no work after a report in which nothing moved. It
	// covers the time to the next report.
	stallPause = 1500 * time.Millisecond
	// maxLagPause bounds the pause.
	maxLagPause = 12 * time.Second
)

// takeLaggards stops runs that would end sooner if they started again on another worker:
// their worker is slow, or its tasks stand still, while its reports look healthy.
func (r *round) takeLaggards() {
	for _, j := range r.c.Jobs {
		if j.State.Ended() {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.RateCheckDue && s.Active > 0 && !s.Spec.LongRunning {
					r.takeLaggardsOf(s)
				}
			}
		}
	}
}

func (r *round) takeLaggardsOf(s *jobstate.Step) {
	var laggards []*jobstate.Run
	rates := ratesOf(s)
	together := r.gangSince(s)
	s.RateCheckDue = false
	for _, t := range s.Tasks {
		run := t.Run
		if run == nil || !run.HasRate {
			continue
		}
		if r.now.Sub(maxTime(run.StartedAt, together)) < lagObserved {
			s.RateCheckDue = true // to be compared when it has worked long enough
			continue
		}
		if !measured(run) {
			continue
		}
		if run.Number < maxLagRuns && (run.Stalled || !t.StoppedSlow) && r.lags(run, rates[near(run)]) {
			laggards = append(laggards, run)
		} else if run.Stalled && stalled(run.Worker) {
			r.avoidStalled(run.Worker)
		}
	}
	for _, run := range laggards {
		w := run.Worker
		pause := min(lagPause<<min(w.StragglerStreak, 4), maxLagPause)
		w.StragglerStreak++
		w.AvoidUntil = maxTime(w.AvoidUntil, r.now.Add(pause))
	}
	for _, run := range laggards {
		run.Task.StoppedSlow = run.Task.StoppedSlow || !run.Stalled
		r.stop(run, "lags on its worker")
	}
}

// gangSince returns since when the members of a gang are all there, before which none of them works;
// zero for a step that is no gang.
func (r *round) gangSince(s *jobstate.Step) time.Time {
	var since time.Time
	if !s.Spec.Gang {
		return since
	}
	for _, t := range s.Tasks {
		if t.Run == nil {
			continue
		}
		if t.Run.StartedAt.IsZero() {
			return r.now
		}
		since = maxTime(since, t.Run.StartedAt)
	}
	return since
}

// avoidStalled keeps new work from a worker on which nothing moves, also when its runs have
// done too much to be taken away.
func (r *round) avoidStalled(w *jobstate.Worker) {
	w.AvoidUntil = maxTime(w.AvoidUntil, r.now.Add(stallPause))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stop stops the run, and the whole gang if it belongs to one.
func (r *round) stop(run *jobstate.Run, reason string) {
	for _, member := range gangOf(run) {
		if member.Phase == jobstate.Stopping {
			continue
		}
		member.RequestStop(reason, r.now)
		r.plan.Stops = append(r.plan.Stops, member)
	}
}

// minRates is how many others must have been measured before a run is compared with them.
const minRates = 2

// ratesOf returns the rates, in percent a second and in ascending order, of the step's runs that
// have been measured, by whether their data is near.
func ratesOf(s *jobstate.Step) map[bool][]float64 {
	rates := map[bool][]float64{}
	for _, t := range s.Tasks {
		if run := t.Run; run != nil && run.HasRate && run.Percent < 100 {
			rates[near(run)] = append(rates[near(run)], run.Rate)
		}
	}
	for _, list := range rates {
		slices.Sort(list)
	}
	return rates
}

// usualRate returns the median of the rates without the run's own, which is one of them. ok is
// false with fewer than minRates others.
func usualRate(run *jobstate.Run, rates []float64) (rate float64, ok bool) {
	others := len(rates) - 1
	if others < minRates {
		return 0, false
	}
	middle := others / 2
	if own, _ := slices.BinarySearch(rates, run.Rate); own <= middle {
		middle++
	}
	return rates[middle], true
}

// near reports whether the run is in the rack of its data.
func near(run *jobstate.Run) bool {
	rack := run.Task.Step.Spec.DataRack
	return rack == "" || run.Worker.Rack == rack
}

// measured reports whether the rate of the run is known and its own.
func measured(run *jobstate.Run) bool {
	if run.Phase != jobstate.Running || !run.HasRate || run.Percent >= 100 {
		return false
	}
	return !run.Task.Step.Spec.Filler && run.Pace >= 100 && run.Task.Step.Spec.Estimate > 0
}

// lags reports whether the run, which has been measured, would end sooner elsewhere. rates are
// those of the step's runs that have their data as near.
func (r *round) lags(run *jobstate.Run, rates []float64) bool {
	if run.Stalled {
		return stalled(run.Worker) && r.stallCostsMore(run)
	}
	usual, ok := usualRate(run, rates)
	if !ok || run.Rate*slowFactor > usual {
		return false
	}
	left := 100 - run.Percent
	return left/run.Rate > lagFactor*(restartCost.Seconds()+redo(run)/usual)
}

// stalled reports whether nothing that was measured on the worker moves.
func stalled(w *jobstate.Worker) bool {
	for run := range w.Runs {
		if run.HasRate && !run.Stalled && run.Percent < 100 {
			return false
		}
	}
	return true
}

// stallCostsMore reports whether waiting for the end of the stall is expected to cost more
// than what the run has done so far.
func (r *round) stallCostsMore(run *jobstate.Run) bool {
	if run.Task.Step.Spec.Checkpointing {
		return true
	}
	return run.Percent/100*run.Task.Step.Spec.Estimate.Seconds()+restartCost.Seconds() < expectedStall.Seconds()
}

// redo returns the percent that a restart has to do.
func redo(run *jobstate.Run) float64 {
	if run.Task.Step.Spec.Checkpointing {
		return 100 - run.Percent
	}
	return 100
}
