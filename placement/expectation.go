package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// farBeyond is the multiple of the high quantile from which on a run is too long for its task alone to be the cause: one
// in ten tasks reaches the quantile itself.
const farBeyond = 1.5

// RunTimes tells how long tasks run, as learned from runs that have ended.
type RunTimes interface {
	// Expect returns what to expect of a task on a worker of nominal speed.
	Expect(runtimes.Query) runtimes.Expectation
	// Speed returns the speed of the worker relative to others.
	Speed(worker string) float64
}

// Uses selects the decisions that rely on learned run times instead of declared ones.
type Uses struct {
	Order     bool // deadline of a step, and whether it can still meet it
	Loss      bool // which runs are preempted, and how much work may be discarded for a step
	Leave     bool // which runs end before their worker leaves
	Straggler bool // which runs are slow or stalled
	Rack      bool // how long a step waits for its preferred rack
}

// Any reports whether any decision relies on learned run times.
func (u Uses) Any() bool { return u != Uses{} }

// ParseUses returns the uses in a list separated by commas.
func ParseUses(list string) (Uses, error) {
	var u Uses
	switches := map[string]*bool{"order": &u.Order, "loss": &u.Loss, "leave": &u.Leave, "straggler": &u.Straggler, "rack": &u.Rack}
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		use, known := switches[name]
		if !known {
			return Uses{}, fmt.Errorf("use of run times %q: must be order, loss, leave, straggler or rack", name)
		}
		*use = true
	}
	return u, nil
}

// RunTimeQuery returns the query for the run time of the step's tasks.
func RunTimeQuery(s *jobstate.Step) runtimes.Query {
	j := s.Occurrence.Job
	return runtimes.Query{Route: j.Queue(), Workspace: j.Submission.Workspace, Declared: s.Spec.Estimate,
		Shape: runtimes.Shape{Tasks: len(s.Tasks), Demand: s.Spec.Demand, Gang: s.Spec.Gang}}
}

// expectation is the run time of a task at nominal speed in its preferred rack.
type expectation struct {
	median, high time.Duration
	learned      bool // the median is not the declared run time
}

// expected returns what to expect of the step's tasks: the declared run time if nothing else is known.
func (r *round) expected(s *jobstate.Step) expectation {
	if r.opts.RunTimes == nil || s.Spec.LongRunning {
		return expectation{median: s.Spec.Estimate, high: s.Spec.Estimate}
	}
	if e, known := r.expectations[s]; known {
		return e
	}
	learned := r.opts.RunTimes.Expect(RunTimeQuery(s))
	e := expectation{learned.Median, learned.High, learned.Learned}
	if r.expectations == nil {
		r.expectations = map[*jobstate.Step]expectation{}
	}
	r.expectations[s] = e
	return e
}

// runTime returns the run time of the step's tasks: the learned one if use is set, else the declared one.
func (r *round) runTime(s *jobstate.Step, use bool) time.Duration {
	if !use || r.opts.RunTimes == nil {
		return s.Spec.Estimate
	}
	return r.expected(s).median
}

// setRateBasis sets the run time of which a share is the least interval for rates of the step's runs.
func (r *round) setRateBasis(s *jobstate.Step) {
	if r.opts.Uses.Straggler && r.opts.RunTimes != nil {
		s.Expected = r.expected(s).median
	}
}

// learned reports whether a run time other than the declared one is known for the step's tasks and use is set. Decisions
// stay as they are with declared run times otherwise.
func (r *round) learned(s *jobstate.Step, use bool) bool {
	return use && r.opts.RunTimes != nil && r.expected(s).learned
}

// remainingByExpectation returns the expected time to the end of a run whose rate is not known, from learned run times. A
// run beyond the median is expected to end half-way to the high quantile, one beyond that to take half as long again.
func (r *round) remainingByExpectation(run *jobstate.Run, elapsed time.Duration) time.Duration {
	e := r.expected(run.Task.Step)
	slowness := 1 / r.opts.RunTimes.Speed(run.Worker.ID)
	if !inDataRack(run) {
		slowness *= max(1, r.opts.FarFactor)
	}
	median, high := time.Duration(float64(e.median)*slowness), time.Duration(float64(e.high)*slowness)
	if run.Resumed && run.Percent > 0 {
		return time.Duration(max(0, 100-run.Percent) / 100 * float64(median))
	}
	switch {
	case elapsed < median:
		return median - elapsed
	case elapsed < high:
		return (high - elapsed) / 2
	default:
		return elapsed / 2
	}
}

// endsBeforeStop reports whether the run is expected to end before a stop of it would have to be complete, so that
// stopping it may gain no time and discards nearly all of its work.
func (r *round) endsBeforeStop(run *jobstate.Run) bool {
	if !r.learned(run.Task.Step, r.opts.Uses.Loss) || run.Phase != jobstate.Running || run.Task.Step.Spec.Checkpointing {
		return false
	}
	left, ok := run.Remaining(r.now)
	if !ok {
		left = r.remainingByExpectation(run, r.now.Sub(run.StartedAt))
	}
	return left > 0 && left < r.opts.StopTimeout
}

// isLongOnSlowWorker reports whether the run, of which no other run of its step tells the usual speed, would end sooner
// on another worker: it is far beyond the high quantile, and its worker is slow for other steps too.
func (r *round) isLongOnSlowWorker(run *jobstate.Run) bool {
	if !r.learned(run.Task.Step, r.opts.Uses.Straggler) || run.Task.Step.Spec.Gang || run.Rate <= 0 || !inDataRack(run) {
		return false
	}
	e := r.expected(run.Task.Step)
	if e.high <= 0 || r.now.Sub(run.StartedAt) < time.Duration(farBeyond*float64(e.high)) || r.opts.RunTimes.Speed(run.Worker.ID) > soundSpeed {
		return false
	}
	restart := restartOverhead.Seconds() + workAfterRestart(run)/100*e.median.Seconds()
	return (100-run.Percent)/run.Rate > restartGain*restart
}
