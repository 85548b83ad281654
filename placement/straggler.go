package placement

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// minObservation is how long a run works before it can be judged a straggler. A task of a few seconds
	// does several percent of its work in this time.
	minObservation = 500 * time.Millisecond
	// expectedStall is how much longer a stalled run is expected to stay stalled.
	expectedStall = 5 * time.Second
	// slowFactor is how many times slower than the median of the step's other runs a straggler is. The
	// speed of workers and the length of tasks together account for a factor of up to two.
	slowFactor = 3
	// soundSpeed is the least speed relative to other runs of the step that shows a sound worker.
	soundSpeed = 0.7
	// minRates and minGangRates are the least number of other runs with a rate for a comparison. The members of
	// a gang do the same work, so that one other member is enough.
	minRates     = 2
	minGangRates = 1
	// restartGain is the least ratio between the time that a straggler still needs and that of a restart
	// on another worker, for the straggler to be stopped.
	restartGain = 1.5
	// restartOverhead is the time that a restart takes besides the work: stop, decision and start.
	restartOverhead = 600 * time.Millisecond
	// maxStragglerRuns is the run number from which on runs of a task are not stopped as stragglers.
	maxStragglerRuns = 4
	// stragglerAvoidance is how long a worker gets no work after a straggler was stopped there. It doubles
	// with each further straggler, up to maxStragglerAvoidance.
	stragglerAvoidance = 3 * time.Second
	// stallAvoidance is how long a worker gets no work after a report in which no run made progress. It
	// covers the time to the next report.
	stallAvoidance        = 1500 * time.Millisecond
	maxStragglerAvoidance = 12 * time.Second
)

// stopStragglers stops runs that would end sooner if they started again on another worker. Such a run is
// slow or stalled because of its worker, although the worker reports as usual.
func (r *round) stopStragglers() {
	for _, j := range r.c.Jobs {
		if j.State.Ended() {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.RateCheckDue && s.Active > 0 && !s.Spec.LongRunning {
					r.stopStragglersOf(s)
				}
			}
		}
	}
}

func (r *round) stopStragglersOf(s *jobstate.Step) {
	var stragglers []*jobstate.Run
	rates := ratesOf(s)
	gangComplete := r.gangCompleteSince(s)
	s.RateCheckDue = false
	for _, t := range s.Tasks {
		run := t.Run
		if run == nil || !run.HasRate {
			continue
		}
		if r.now.Sub(maxTime(run.StartedAt, gangComplete)) < minObservation {
			s.RateCheckDue = true // checked again once the run has worked long enough
			continue
		}
		if !hasComparableRate(run) {
			continue
		}
		speed, known := relativeSpeed(run, rates[inDataRack(run)])
		if known {
			r.recordSpeed(run, speed)
		}
		if run.Number < maxStragglerRuns && (run.Stalled || !t.StoppedSlow) && r.isStraggler(run, speed, known) {
			stragglers = append(stragglers, run)
		} else if run.Stalled && allStalled(run.Worker) {
			r.avoidStalled(run.Worker)
		}
	}
	avoided := map[*jobstate.Worker]bool{}
	for _, run := range stragglers {
		w := run.Worker
		if avoided[w] {
			continue
		}
		avoided[w] = true
		avoidance := min(stragglerAvoidance<<min(w.StragglerStreak, 4), maxStragglerAvoidance)
		w.StragglerStreak++
		w.AvoidUntil = maxTime(w.AvoidUntil, r.now.Add(avoidance))
	}
	for _, run := range stragglers {
		run.Task.StoppedSlow = run.Task.StoppedSlow || !run.Stalled
		r.stop(run, "slow or stalled on its worker")
	}
}

// recordSpeed updates the state of the run's worker from the speed of the run relative to the other runs
// of its step. A slow run that works on shows that the worker is still slow. One that started after the
// worker was avoided and keeps up shows that it is sound again.
func (r *round) recordSpeed(run *jobstate.Run, speed float64) {
	w := run.Worker
	switch {
	case speed*slowFactor <= 1:
		w.StragglerStreak = max(w.StragglerStreak, 1)
		w.AvoidUntil = maxTime(w.AvoidUntil, r.now.Add(stallAvoidance))
	case speed >= soundSpeed && run.PlannedAt.After(w.AvoidUntil):
		w.StragglerStreak = 0
	}
}

// gangCompleteSince returns when the last member of a gang started, or now if one has not started yet:
// no member works before that. It returns zero for a step that is not a gang.
func (r *round) gangCompleteSince(s *jobstate.Step) time.Time {
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

// avoidStalled keeps new work from a worker on which no run makes progress, also when its runs have done
// too much work to be stopped.
func (r *round) avoidStalled(w *jobstate.Worker) {
	w.AvoidUntil = maxTime(w.AvoidUntil, r.now.Add(stallAvoidance))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stop plans a stop of the run and, if it belongs to a gang, of all members.
func (r *round) stop(run *jobstate.Run, reason string) {
	for _, member := range gangOf(run) {
		if member.Phase == jobstate.Stopping {
			continue
		}
		member.RequestStop(reason, r.now)
		r.plan.Stops = append(r.plan.Stops, member)
	}
}

// ratesOf returns the measured rates of the step's unfinished runs, in percent a second and in ascending
// order, by whether the run is in the rack of its data.
func ratesOf(s *jobstate.Step) map[bool][]float64 {
	rates := map[bool][]float64{}
	for _, t := range s.Tasks {
		if run := t.Run; run != nil && run.HasRate && run.Percent < 100 {
			rates[inDataRack(run)] = append(rates[inDataRack(run)], run.Rate)
		}
	}
	for _, list := range rates {
		slices.Sort(list)
	}
	return rates
}

// medianOfOthers returns the median of the rates without the run's own, which is one of them. ok is false
// if there are fewer than least others.
func medianOfOthers(run *jobstate.Run, rates []float64, least int) (rate float64, ok bool) {
	others := len(rates) - 1
	if others < least {
		return 0, false
	}
	middle := others / 2
	if own, _ := slices.BinarySearch(rates, run.Rate); own <= middle {
		middle++
	}
	return rates[middle], true
}

// inDataRack reports whether the run is in the rack of its data, or has no such rack.
func inDataRack(run *jobstate.Run) bool {
	rack := run.Task.Step.Spec.DataRack
	return rack == "" || run.Worker.Rack == rack
}

// hasComparableRate reports whether the run's rate shows the speed of its worker. The rate of a filler or
// of a throttled run does not.
func hasComparableRate(run *jobstate.Run) bool {
	if run.Phase != jobstate.Running || !run.HasRate || run.Percent >= 100 {
		return false
	}
	return !run.Task.Step.Spec.Filler && run.SpeedPercent >= 100 && run.Task.Step.Spec.Estimate > 0
}

// relativeSpeed returns the rate of the run, which must be comparable, relative to the median of the other
// rates. rates are those of the step's runs with the same result of inDataRack. ok is false if there are
// too few of them.
func relativeSpeed(run *jobstate.Run, rates []float64) (speed float64, ok bool) {
	least := minRates
	if run.Task.Step.Spec.Gang {
		least = minGangRates
	}
	median, ok := medianOfOthers(run, rates, least)
	if !ok || median <= 0 {
		return 0, false
	}
	return run.Rate / median, true
}

// isStraggler reports whether the run, which must have a comparable rate, would end sooner on another
// worker. speed is its speed relative to the other runs of its step, if known.
func (r *round) isStraggler(run *jobstate.Run, speed float64, known bool) bool {
	if run.Stalled {
		return allStalled(run.Worker) && r.stallCostsMore(run)
	}
	if !known {
		return r.isLongOnSlowWorker(run)
	}
	if speed*slowFactor > 1 {
		return false
	}
	usual := run.Rate / speed
	left := 100 - run.Percent
	return left/run.Rate > restartGain*(restartOverhead.Seconds()+workAfterRestart(run)/usual)
}

// allStalled reports whether all unfinished runs with a rate on the worker are stalled.
func allStalled(w *jobstate.Worker) bool {
	for run := range w.Runs {
		if run.HasRate && !run.Stalled && run.Percent < 100 {
			return false
		}
	}
	return true
}

// stallCostsMore reports whether the expected rest of the stall takes longer than a restart and the
// repetition of the work that it would discard.
func (r *round) stallCostsMore(run *jobstate.Run) bool {
	if run.Task.Step.Spec.Checkpointing {
		return true
	}
	return run.Percent/100*r.runTime(run.Task.Step, r.opts.Uses.Straggler).Seconds()+restartOverhead.Seconds() < expectedStall.Seconds()
}

// workAfterRestart returns the percent of the work that a restarted run has to do.
func workAfterRestart(run *jobstate.Run) float64 {
	if run.Task.Step.Spec.Checkpointing {
		return 100 - run.Percent
	}
	return 100
}
