package slots

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	// healthHalfLife halves the counts of attempts and failures.
	healthHalfLife = 10 * time.Second
	// ejectFailures is the decayed count of failures from which a worker may be ejected.
	ejectFailures = 3
	// ejectRatio is the least share of failed attempts of an ejected worker.
	ejectRatio = 0.5
	// ejectContrast is how many times higher than on the other workers that share must be.
	// Below it the requests fail everywhere and the worker is not to blame.
	ejectContrast = 2
	// maxEjectedShare bounds the ejected workers.
	maxEjectedShare = 0.3
	// leavingHold is how long a worker's own report that it leaves counts.
	leavingHold   = 30 * time.Second
	probeDelay    = time.Second
	maxProbeDelay = time.Minute
	// forgetAfter drops workers without grants or attempts.
	forgetAfter = 10 * time.Minute
)

// States of a worker.
const (
	healthy int32 = iota
	ejected
	probing
)

// worker is the health of one worker. The atomics are read without the pool's lock.
type worker struct {
	id       string
	saidAt   atomic.Int64 // when the worker last refused because it leaves, Unix nanoseconds
	state    atomic.Int32
	level    atomic.Int64 // recent failures, rounded up
	probeAt  atomic.Int64 // nanoseconds of Unix time
	delay    atomic.Int64 // nanoseconds until the next probe
	failures float64
	attempts float64
	updated  time.Time
	seen     time.Time
}

// leaving reports whether the worker must get nothing new. Its own report counts for a
// while, until the owner has revoked its grants or the worker has come back.
func (w *worker) leaving(now time.Time) bool {
	return now.UnixNano()-w.saidAt.Load() < int64(leavingHold)
}

// score returns the worker's place in the choice, and whether it may be chosen. Only
// idempotent requests probe an ejected worker until the probe is overdue.
func (w *worker) score(now time.Time, idempotent bool) (int, bool) {
	switch w.state.Load() {
	case probing:
		return 0, false
	case ejected:
		due := w.probeAt.Load()
		if !idempotent {
			due += w.delay.Load()
		}
		return -1, now.UnixNano() >= due
	}
	return int(w.level.Load()), true
}

// worker returns the health of a worker, and notes that the worker is in use.
func (p *Pool) worker(id string) *worker {
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	w := p.workers[id]
	if w == nil {
		w = &worker{id: id}
		p.workers[id] = w
	}
	w.seen = time.Now()
	return w
}

// record counts an outcome and ejects or readmits the worker.
func (p *Pool) record(w *worker, o Outcome, probe bool, now time.Time) {
	switch o.Result {
	case Unused, Refused, Leaving:
		if probe {
			w.state.CompareAndSwap(probing, ejected)
		}
		return
	}
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	w.seen = now
	w.decayTo(now)
	w.attempts++
	if o.Result == Succeeded {
		w.setLevel()
		if probe {
			p.readmit(w)
		}
		return
	}
	if first := p.workers[o.FailedOn]; o.Result == Failed && first != nil && first != w {
		first.failures = max(0, first.failures-1)
		first.setLevel()
		if probe {
			w.state.CompareAndSwap(probing, ejected)
		}
		return
	}
	w.failures++
	w.setLevel()
	switch {
	case probe:
		w.state.CompareAndSwap(probing, ejected)
		w.postpone(now)
	case w.state.Load() == healthy:
		p.eject(w, now)
	}
}

func (w *worker) decayTo(now time.Time) {
	if !w.updated.IsZero() {
		f := math.Exp2(-float64(now.Sub(w.updated)) / float64(healthHalfLife))
		w.failures *= f
		w.attempts *= f
	}
	w.updated = now
}

func (w *worker) setLevel() {
	w.level.Store(int64(math.Ceil(w.failures - 0.1)))
}

// readmit ends an ejection after a successful probe. The lock is held.
func (p *Pool) readmit(w *worker) {
	if w.state.Swap(healthy) == healthy {
		return
	}
	p.ejected--
	w.failures, w.attempts = 0, 0
	w.setLevel()
	w.delay.Store(0)
	events.Info(p.opts.Log, events.WorkerReadmitted, zap.String("worker", w.id))
}

// eject takes a worker out of use when its failures stand out from those of the other
// workers. The lock is held.
func (p *Pool) eject(w *worker, now time.Time) {
	ratio := w.failures / w.attempts
	if w.failures < ejectFailures || ratio < ejectRatio {
		return
	}
	if float64(p.ejected+1) > maxEjectedShare*float64(len(p.workers)) {
		return
	}
	others, known := p.ratioWithout(w, now)
	if !known || others*ejectContrast > ratio {
		return
	}
	p.ejected++
	w.state.Store(ejected)
	w.postpone(now)
	events.Warn(p.opts.Log, events.WorkerEjected, zap.String("worker", w.id), zap.Float64("failures", w.failures),
		zap.Float64("attempts", w.attempts), zap.Float64("ratio_elsewhere", others), zap.Int("ejected", p.ejected))
}

// postpone sets the next probe and doubles the delay.
func (w *worker) postpone(now time.Time) {
	delay := min(max(2*time.Duration(w.delay.Load()), probeDelay), maxProbeDelay)
	w.delay.Store(int64(delay))
	w.probeAt.Store(now.Add(delay).UnixNano())
}

// ratioWithout returns the share of failed attempts on the other workers.
func (p *Pool) ratioWithout(w *worker, now time.Time) (ratio float64, known bool) {
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

// refreshWorkers lets the failures of unused workers decay and drops workers that have
// not been seen for long.
func (p *Pool) refreshWorkers(now time.Time) {
	p.healthMu.Lock()
	defer p.healthMu.Unlock()
	for id, w := range p.workers {
		w.decayTo(now)
		w.setLevel()
		if now.Sub(w.seen) <= forgetAfter {
			continue
		}
		if w.state.Load() != healthy {
			p.ejected--
		}
		delete(p.workers, id)
	}
}
