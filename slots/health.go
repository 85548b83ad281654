package slots

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	// healthHalfLife is the half-life of the decaying counts of attempts and failures.
	healthHalfLife = 10 * time.Second
	// ejectMinFailures is the minimum decayed count of failures of an ejected worker.
	ejectMinFailures = 3
	// ejectMinRatio is the minimum failure ratio of an ejected worker.
	ejectMinRatio = 0.5
	// ejectRatioFactor is how many times higher than on the other workers the failure ratio must be.
	// Otherwise requests fail on all workers, so the cause is not the worker.
	ejectRatioFactor = 2
	// maxEjectedShare is the maximum fraction of workers that may be ejected.
	maxEjectedShare = 0.3
	// leavingReportTTL is how long a worker counts as leaving after it refused an attempt as leaving.
	leavingReportTTL = 30 * time.Second
	minProbeBackoff  = time.Second
	maxProbeBackoff  = time.Minute
	// unusedWorkerRetention is how long the health of a worker without grants or attempts is kept.
	unusedWorkerRetention = 10 * time.Minute
)

// The health states of a worker.
const (
	healthy int32 = iota
	ejected
	probing
)

// workerHealth is the health of one worker. The atomics are read without the pool's lock.
type workerHealth struct {
	id                string
	leavingReportedAt atomic.Int64 // when the worker last refused an attempt as leaving, Unix nanoseconds
	state             atomic.Int32
	recentFailures    atomic.Int64 // decayed count of failures, rounded up with a tolerance
	probeAt           atomic.Int64 // time of the next probe, Unix nanoseconds
	probeBackoff      atomic.Int64 // nanoseconds, from ejection or the last failed probe
	failures          float64
	attempts          float64
	updated           time.Time
	lastUsed          time.Time
}

// leaving reports whether the worker recently refused an attempt as leaving and must get no new
// attempts. The report expires, because by then the owner has revoked the worker's grants or the
// worker has returned.
func (w *workerHealth) leaving(now time.Time) bool {
	return now.UnixNano()-w.leavingReportedAt.Load() < int64(leavingReportTTL)
}

// score returns the worker's rank for choose, lower first, and whether it may be chosen. Idempotent
// requests may probe an ejected worker as soon as the probe is due, others one backoff later.
func (w *workerHealth) score(now time.Time, idempotent bool) (int, bool) {
	switch w.state.Load() {
	case probing:
		return 0, false
	case ejected:
		due := w.probeAt.Load()
		if !idempotent {
			due += w.probeBackoff.Load()
		}
		return -1, now.UnixNano() >= due
	}
	return int(w.recentFailures.Load()), true
}

// healthOf returns the health of a worker and marks the worker as in use.
func (p *Pool) healthOf(id string) *workerHealth {
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	w := p.workers[id]
	if w == nil {
		w = &workerHealth{id: id}
		p.workers[id] = w
	}
	w.lastUsed = time.Now()
	return w
}

// recordOutcome counts the outcome of an attempt, and ejects or readmits the worker if needed.
func (p *Pool) recordOutcome(w *workerHealth, o Outcome, probe bool, now time.Time) {
	switch o.Result {
	case Unused, Refused, Leaving:
		if probe {
			w.state.CompareAndSwap(probing, ejected)
		}
		return
	}
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	w.lastUsed = now
	w.decayTo(now)
	w.attempts++
	if o.Result == Succeeded {
		w.updateRecentFailures()
		if probe {
			p.readmit(w)
		}
		return
	}
	if earlier := p.workers[o.FailedOn]; o.Result == Failed && earlier != nil && earlier != w {
		earlier.failures = max(0, earlier.failures-1)
		earlier.updateRecentFailures()
		if probe {
			w.state.CompareAndSwap(probing, ejected)
		}
		return
	}
	w.failures++
	w.updateRecentFailures()
	switch {
	case probe:
		w.state.CompareAndSwap(probing, ejected)
		w.scheduleProbe(now)
	case w.state.Load() == healthy:
		p.eject(w, now)
	}
}

// decayTo decays the counts up to now.
func (w *workerHealth) decayTo(now time.Time) {
	if !w.updated.IsZero() {
		f := math.Exp2(-float64(now.Sub(w.updated)) / float64(healthHalfLife))
		w.failures *= f
		w.attempts *= f
	}
	w.updated = now
}

func (w *workerHealth) updateRecentFailures() {
	w.recentFailures.Store(int64(math.Ceil(w.failures - 0.1)))
}

// readmit ends an ejection after a successful probe. The lock is held.
func (p *Pool) readmit(w *workerHealth) {
	if w.state.Swap(healthy) == healthy {
		return
	}
	p.ejected--
	w.failures, w.attempts = 0, 0
	w.updateRecentFailures()
	w.probeBackoff.Store(0)
	events.Info(p.opts.Log, events.WorkerReadmitted, zap.String("worker", w.id))
}

// eject ejects a worker if its failure ratio is high in itself and compared with the other workers.
// The lock is held.
func (p *Pool) eject(w *workerHealth, now time.Time) {
	ratio := w.failures / w.attempts
	if w.failures < ejectMinFailures || ratio < ejectMinRatio {
		return
	}
	if float64(p.ejected+1) > maxEjectedShare*float64(len(p.workers)) {
		return
	}
	othersRatio, ok := p.failureRatioOfOthers(w, now)
	if !ok || othersRatio*ejectRatioFactor > ratio {
		return
	}
	p.ejected++
	w.state.Store(ejected)
	w.scheduleProbe(now)
	events.Warn(p.opts.Log, events.WorkerEjected, zap.String("worker", w.id), zap.Float64("failures", w.failures),
		zap.Float64("attempts", w.attempts), zap.Float64("ratio_elsewhere", othersRatio), zap.Int("ejected", p.ejected))
}

// scheduleProbe doubles the backoff and sets the time of the next probe.
func (w *workerHealth) scheduleProbe(now time.Time) {
	backoff := min(max(2*time.Duration(w.probeBackoff.Load()), minProbeBackoff), maxProbeBackoff)
	w.probeBackoff.Store(int64(backoff))
	w.probeAt.Store(now.Add(backoff).UnixNano())
}

// failureRatioOfOthers returns the failure ratio of the other healthy workers; ok is false if they had
// less than one attempt.
func (p *Pool) failureRatioOfOthers(w *workerHealth, now time.Time) (ratio float64, ok bool) {
	var failures, attempts float64
	for _, o := range p.workers {
		if o != w && o.state.Load() == healthy {
			o.decayTo(now)
			failures += o.failures
			attempts += o.attempts
		}
	}
	if attempts < 1 {
		return 0, false
	}
	return failures / attempts, true
}

// decayAndExpireWorkers decays the counts of all workers and removes those that have been unused for
// unusedWorkerRetention.
func (p *Pool) decayAndExpireWorkers(now time.Time) {
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	for id, w := range p.workers {
		w.decayTo(now)
		w.updateRecentFailures()
		if now.Sub(w.lastUsed) <= unusedWorkerRetention {
			continue
		}
		if w.state.Load() != healthy {
			p.ejected--
		}
		delete(p.workers, id)
	}
}
