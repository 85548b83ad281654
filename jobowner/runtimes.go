package jobowner

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// RunTimesKey is the key of the summary of learned run times.
const RunTimesKey = "cy/runtimes"

const (
	// runTimesInterval is the least time between two writes of the summary. A new owner lacks what was learned in this
	// time.
	runTimesInterval = 5 * time.Second
	// runTimesRate is the most that the summary takes of the owner's link, in bytes a second: half of the control
	// overhead that a node may cause. A summary of 15 KB is written each 15 s.
	runTimesRate = 1 << 10
	// runTimeLogs is how many ended runs a second are logged with what was expected of them.
	runTimeLogs = 2
	// failureLogInterval is the least time between two log lines about a summary that cannot be read or stored.
	failureLogInterval = time.Minute
	// maxErrorPercent bounds the values of the histograms of errors.
	maxErrorPercent = 10_000
)

// learner learns run times and the speed of workers from ended runs. Its methods need the lock of the term.
type learner struct {
	model       *runtimes.Model
	speeds      *runtimes.Speeds
	farFactor   float64
	inUse       bool // a decision relies on learned run times
	logs        *rate.Limiter
	failureLogs *rate.Limiter
	stored      uint64 // Changes of the model in the newest summary that was stored

	declaredError metrics.Histogram // percent of the actual run time
	learnedError  metrics.Histogram
	samples       metrics.Counter
	censored      metrics.Counter
}

func newLearner(farFactor float64, inUse bool, registry metrics.Registry) *learner {
	return &learner{model: runtimes.NewModel(), speeds: runtimes.NewSpeeds(), farFactor: max(1, farFactor), inUse: inUse,
		logs: rate.NewLimiter(runTimeLogs, runTimeLogs), failureLogs: rate.NewLimiter(rate.Every(failureLogInterval), 1),
		declaredError: histogram("owner.run_time_declared_error_percent", registry),
		learnedError:  histogram("owner.run_time_learned_error_percent", registry),
		samples:       metrics.GetOrRegisterCounter("owner.run_time_samples", registry),
		censored:      metrics.GetOrRegisterCounter("owner.run_time_censored", registry),
	}
}

// Expect implements placement.RunTimes.
func (l *learner) Expect(q runtimes.Query) runtimes.Expectation { return l.model.Expect(q) }

// Speed implements placement.RunTimes.
func (l *learner) Speed(worker string) float64 { return l.speeds.Of(worker) }

// observe learns from a run that ended before the report that its worker made at the time clock, in milliseconds. It is
// called before the end is applied to the state.
func (l *learner) observe(r *jobstate.Run, outcome jobstate.End, clock int64, now time.Time, log *zap.Logger) {
	s := r.Task.Step
	if s.Spec.LongRunning || s.Spec.Filler || s.Done() { // the members of a gang end together, and count once
		return
	}
	slowness, ok := l.slowness(r)
	if !ok {
		return
	}
	q := placement.RunTimeQuery(s)
	switch outcome {
	case jobstate.EndDone:
		if work, ok := r.WorkTime(clock); ok {
			l.observeDone(r, q, work, time.Duration(float64(work)/slowness), now, log)
		}
	case jobstate.EndStopped, jobstate.EndLeaseExpired, jobstate.EndGangBroken:
		if work, ok := r.WorkedAtLeast(); ok {
			l.censored.Inc(1)
			l.model.Observe(runtimes.Sample{Query: q, Actual: time.Duration(float64(work) / slowness), Weight: weightOf(s), Censored: true})
		}
	}
}

// observeLost learns from the runs of a worker that are about to end with its lease: they have worked at least until its
// newest report. It is called before their end is applied to the state.
func (l *learner) observeLost(w *jobstate.Worker, now time.Time) {
	gangs := map[*jobstate.Step]bool{}
	for r := range w.Runs {
		s := r.Task.Step
		if r.Phase == jobstate.Planned || gangs[s] {
			continue
		}
		gangs[s] = s.Spec.Gang // counts once
		l.observe(r, jobstate.EndLeaseExpired, 0, now, zap.NewNop())
	}
}

// ensureWorker returns the newest incarnation of the worker, and learns from the runs that end with an older one.
func (t *Term) ensureWorker(id string, incarnation int64, now time.Time) *jobstate.Worker {
	if w := t.cluster.Workers[id]; w != nil && incarnation > w.Incarnation {
		t.learner.observeLost(w, now)
	}
	return t.cluster.EnsureWorker(id, incarnation, now)
}

func (l *learner) observeDone(r *jobstate.Run, q runtimes.Query, work, nominal time.Duration, now time.Time, log *zap.Logger) {
	s := r.Task.Step
	e := l.model.Expect(q)
	l.samples.Inc(1)
	if q.Declared > 0 {
		l.declaredError.Update(errorPercent(q.Declared, nominal))
	}
	if e.Median > 0 {
		l.learnedError.Update(errorPercent(e.Median, nominal))
	}
	if l.inUse && l.logs.AllowN(now, 1) {
		events.Info(log, events.RunTimeObserved, zap.Stringer("task", r.Task.Name()), zap.Int("run", r.Number), zap.String("worker", r.Worker.ID),
			zap.Float64("speed", l.speeds.Of(r.Worker.ID)), zap.Duration("declared", q.Declared), zap.Duration("expected", e.Median), zap.Duration("high", e.High),
			zap.Duration("actual", nominal), zap.Float64("samples", e.Samples), zap.Bool("learned", e.Learned))
	}
	l.observeSpeed(r, e, work)
	l.model.Observe(runtimes.Sample{Query: q, Actual: nominal, Weight: weightOf(s)})
}

// observeSpeed learns the speed of the run's worker. Gangs are left out, because the progress of each member is that of the
// slowest one, and runs outside the rack of their data, because FarFactor is only an estimate of what they lose.
func (l *learner) observeSpeed(r *jobstate.Run, e runtimes.Expectation, work time.Duration) {
	s := r.Task.Step
	if s.Spec.Gang || s.Spec.DataRack != "" && r.Worker.Rack != s.Spec.DataRack {
		return
	}
	expected := time.Duration(0)
	if e.Learned {
		expected = e.Median
	}
	l.speeds.Observe(r.Worker.ID, s.Name(), len(s.Tasks) == 1, expected, work)
}

func errorPercent(estimate, actual time.Duration) int64 {
	return int64(min(math.Abs(float64(estimate-actual))/float64(actual)*100, maxErrorPercent))
}

// slowness returns how many times longer the run takes than one on a worker of nominal speed in its preferred rack. ok
// is false for a gang that is spread over several racks: how much it loses depends on the exchange between its members.
func (l *learner) slowness(r *jobstate.Run) (factor float64, ok bool) {
	s := r.Task.Step
	if !s.Spec.Gang {
		return l.farness(r) / l.speeds.Of(r.Worker.ID), true
	}
	for _, t := range s.Tasks { // a gang works at the pace of its slowest member
		if t.Run == nil || s.Spec.SameRack && t.Run.Worker.Rack != r.Worker.Rack {
			return 0, false
		}
		factor = max(factor, l.farness(t.Run)/l.speeds.Of(t.Run.Worker.ID))
	}
	return factor, true
}

// farness returns how many times longer the run takes because it is not in the rack of its data.
func (l *learner) farness(r *jobstate.Run) float64 {
	if rack := r.Task.Step.Spec.DataRack; rack != "" && r.Worker.Rack != rack {
		return l.farFactor
	}
	return 1
}

// weightOf returns the weight of a run of the step, so that all runs of its job with the same shape weigh 1.
func weightOf(s *jobstate.Step) float64 {
	alike := 0
	for n := range s.Occurrence.Job.Submission.Steps {
		spec := &s.Occurrence.Job.Submission.Steps[n]
		if spec.Gang == s.Spec.Gang && spec.Tasks == s.Spec.Tasks && spec.Demand == s.Spec.Demand {
			alike++
		}
	}
	weight := 1 / float64(max(alike, 1))
	if !s.Spec.Gang {
		weight /= float64(len(s.Tasks))
	}
	return weight
}

// keepRunTimes reads the summary of a former owner and then stores a summary of this owner's model, at most once in
// runTimesInterval and only if the model has changed. A write that fails is not repeated: the next one holds more.
func (t *Term) keepRunTimes(ctx context.Context) {
	restored := false
	pause := runTimesInterval
	for {
		if !restored {
			restored = t.restoreRunTimes(ctx)
		}
		if !wait.For(ctx, pause) {
			return
		}
		if restored {
			pause = pauseAfterSummary(t.storeRunTimes(ctx))
		}
	}
}

// pauseAfterSummary returns the time between a write of the given number of bytes and the next one.
func pauseAfterSummary(bytes int) time.Duration {
	return max(runTimesInterval, time.Duration(bytes)*time.Second/runTimesRate)
}

// restoreRunTimes reads the summary, and returns false if the store did not answer. Without a readable summary the
// model starts from nothing.
func (t *Term) restoreRunTimes(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, t.opts.StoreTimeout)
	defer cancel()
	item, err := t.opts.Store.Get(call, RunTimesKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return true
	}
	if err != nil {
		t.logSummaryFailure("not read", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.learner.model.Restore(item.Value); err != nil {
		events.Warn(t.opts.Log, events.RunTimesNotKept, zap.String("what", "not readable"), zap.Int("bytes", len(item.Value)), zap.Error(err))
	} else if n := t.learner.model.Skipped(); n > 0 {
		events.Warn(t.opts.Log, events.RunTimesNotKept, zap.String("what", "implausible keys left out"), zap.Int("keys", n))
	}
	return true
}

// storeRunTimes stores the summary if it has changed, and returns how many bytes it has sent.
func (t *Term) storeRunTimes(ctx context.Context) int {
	raw, changes, err := t.runTimesSummary()
	if err != nil {
		t.logSummaryFailure("not encoded", err)
		return 0
	}
	if raw == nil {
		return 0
	}
	call, cancel := context.WithTimeout(ctx, t.opts.StoreTimeout)
	defer cancel()
	_, err = t.opts.Store.Commit(call, metastore.Txn{If: []metastore.Condition{t.opts.Fence}, Puts: []metastore.Put{{Key: RunTimesKey, Value: raw}}})
	if err != nil {
		t.logSummaryFailure("not stored", err)
		return len(raw)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learner.stored = changes
	return len(raw)
}

// logSummaryFailure logs a failure that may recur each runTimesInterval while the store does not answer.
func (t *Term) logSummaryFailure(what string, err error) {
	if t.learner.failureLogs.AllowN(time.Now(), 1) {
		events.Warn(t.opts.Log, events.RunTimesNotKept, zap.String("what", what), zap.Error(err))
	}
}

// runTimesSummary returns the summary, or nil if the stored one is up to date. Only the copy of the model is made under
// the lock: encoding takes milliseconds.
func (t *Term) runTimesSummary() (raw []byte, changes uint64, err error) {
	summary, changes, changed := t.copyRunTimes()
	if !changed {
		return nil, changes, nil
	}
	raw, err = summary.Encode()
	return raw, changes, err
}

func (t *Term) copyRunTimes() (summary runtimes.Summary, changes uint64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes = t.learner.model.Changes()
	if changes == t.learner.stored {
		return runtimes.Summary{}, changes, false
	}
	return t.learner.model.Summary(), changes, true
}
