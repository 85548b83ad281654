package metastore

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes while the store does not respond.
	probeInterval = 200 * time.Millisecond
	// callerProbeInterval is the minimum time between two probes on behalf of callers while the store
	// does not respond. callerProbeTimeout limits one such probe, because the caller waits for it.
	callerProbeInterval = 50 * time.Millisecond
	callerProbeTimeout  = 25 * time.Millisecond
	// timeoutFactor and timeoutSlack derive the timeout of a call from the mean latency.
	timeoutFactor = 4
	timeoutSlack  = 80 * time.Millisecond
	// freshFactor, times the mean latency, is the age up to which an answered call shows that the store
	// responds. Without it, a slow store would be probed before each write.
	freshFactor = 3
	// MinCallTimeout and MaxCallTimeout limit the timeout of a call.
	MinCallTimeout = 120 * time.Millisecond
	MaxCallTimeout = 500 * time.Millisecond // a store 60 times slower than its usual 4 ms is still usable
	// timeoutMargin allows for timers that fire slightly early as measured by another goroutine.
	timeoutMargin = 50 * time.Millisecond
	// lagFactor is how often a call waits for the CPU of this instance, from the request until its answer is
	// processed. maxLagAllowance limits what that adds to a timeout.
	lagFactor       = 4
	maxLagAllowance = time.Second
	// latencyWeight is the weight of a new sample in the mean latency.
	latencyWeight = 0.2
	// probeKey is a key that need not exist.
	probeKey = "cy/probe"
)

// Monitor is a Store that records whether the store responds to this instance. While it does not, Run
// probes it, so that callers need not try calls whose outcome would be unknown.
type Monitor struct {
	Store
	lag func() time.Duration // how late the goroutines of this process run

	mu               sync.Mutex
	failing          bool
	timedOut         bool          // the newest failed call timed out, rather than being refused
	failingSince     time.Time     // when the first failed call in a row was sent
	lastFailedSent   time.Time     // when the newest failed call was sent
	meanLatency      time.Duration // moving average
	lastAnsweredSent time.Time     // when the newest answered call was sent
	lastAnswerAt     time.Time     // when an answer, also an incomplete one, last ended
	callerProbedAt   time.Time     // when the last probe on behalf of a caller was started
	lastFailure      time.Time     // when the last refused or unanswered call ended
	unansweredSent   time.Time     // when the newest call that timed out early was sent; zero after a later answer
	wake             chan struct{}
	probeRequests    chan struct{} // requests of callers for an immediate probe
}

// NewMonitor returns a monitor that initially reports the store as healthy.
func NewMonitor(store Store) *Monitor {
	return &Monitor{Store: store, lag: func() time.Duration { return 0 }, wake: make(chan struct{}, 1), probeRequests: make(chan struct{}, 1)}
}

// AllowFor makes all timeouts longer by what the lag of this process may add to a call: answers that come late for
// this reason do not show that the store is slow or unreachable. It is called before the first call.
func (m *Monitor) AllowFor(lag func() time.Duration) { m.lag = lag }

// Healthy reports whether the store responds, as far as the calls so far show.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.failing
}

// Suspect reports whether a call timed out and none that was sent later has been answered. The store may be
// slow, or unreachable from this instance: Healthy becomes false only after a longer timeout.
func (m *Monitor) Suspect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.unansweredSent.IsZero()
}

// SinceFailure returns the time since the last call that was refused or not answered.
func (m *Monitor) SinceFailure() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastFailure)
}

// FailingFor returns for how long the store has not responded, or 0 if it responds.
func (m *Monitor) FailingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		return 0
	}
	return time.Since(m.failingSince)
}

// Check reports whether the store responds. It probes the store unless a call sent within maxAge, or
// within freshFactor times the mean latency, was answered. Unlike a write, an unanswered read leaves no
// unknown outcome.
func (m *Monitor) Check(ctx context.Context, maxAge time.Duration) bool {
	m.mu.Lock()
	failing, recent := m.failing, time.Since(m.lastAnsweredSent) < max(maxAge, freshFactor*m.meanLatency)
	m.mu.Unlock()
	if failing {
		return m.probeForCaller(ctx)
	}
	if recent {
		return true
	}
	for _, timeout := range []time.Duration{m.CallTimeout(1), m.maxCallTimeout()} {
		call, cancel := context.WithTimeout(ctx, timeout)
		_, err := m.Get(call, probeKey)
		cancel()
		if err == nil || errors.Is(err, ErrNotFound) {
			return true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return false
		}
	}
	return false
}

// probeForCaller probes the store on behalf of a caller although the newest call was not answered, so
// that a call just after an outage need not be repeated. It probes at most once per
// callerProbeInterval. If the newest failed call timed out, it only requests a probe from Run and does
// not wait, and the result serves later callers.
func (m *Monitor) probeForCaller(ctx context.Context) bool {
	m.mu.Lock()
	tooSoon, timedOut := time.Since(m.callerProbedAt) < callerProbeInterval, m.timedOut
	if !tooSoon {
		m.callerProbedAt = time.Now()
	}
	m.mu.Unlock()
	if tooSoon {
		return m.Healthy()
	}
	if timedOut {
		select {
		case m.probeRequests <- struct{}{}:
		default:
		}
		return false
	}
	return m.probe(ctx, callerProbeTimeout)
}

// probe reports whether the store answers within the timeout.
func (m *Monitor) probe(ctx context.Context, timeout time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := m.Get(call, probeKey)
	return err == nil || errors.Is(err, ErrNotFound)
}

// ProbeNow probes the store regardless of its recorded state and reports whether it answers within the
// timeout of a first attempt, or of a slow call if the store is only suspected to be unreachable. An answer to
// another call meanwhile also shows that the store can be reached: the link may be busy.
func (m *Monitor) ProbeNow(ctx context.Context) bool {
	timeout := m.CallTimeout(1)
	if m.Healthy() {
		timeout = m.maxCallTimeout() - timeoutMargin
	}
	began := time.Now()
	if m.probe(ctx, timeout) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswerAt.After(began)
}

// CallTimeout returns the timeout of a call for the attempt, counted from 1. It starts short, so that a
// lost response is detected soon, and doubles with each attempt, in case the store has become slow.
func (m *Monitor) CallTimeout(attempt int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := max(timeoutFactor*m.meanLatency+timeoutSlack, MinCallTimeout)
	return min(timeout<<min(attempt-1, 4), MaxCallTimeout) + m.lagAllowance()
}

// maxCallTimeout returns the time after which a call without an answer shows that the store does not respond.
func (m *Monitor) maxCallTimeout() time.Duration { return MaxCallTimeout + m.lagAllowance() }

func (m *Monitor) lagAllowance() time.Duration { return lagAllowance(m.lag()) }

// lagAllowance returns what the lag of this process may add to a call.
func lagAllowance(lag time.Duration) time.Duration { return min(lagFactor*lag, maxLagAllowance) }

// Run probes the store while it does not respond, until ctx ends. Probes overlap, because the response
// to an earlier probe may have been lost in the outage.
func (m *Monitor) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for ctx.Err() == nil {
		if m.Healthy() {
			select {
			case <-ctx.Done():
			case <-m.wake:
			}
			continue
		}
		probes.Go(func() { m.probe(ctx, m.maxCallTimeout()) })
		select {
		case <-ctx.Done():
		case <-m.probeRequests:
		case <-time.After(probeInterval):
		}
	}
}

// record records the outcome of a call. longPoll marks calls that wait for changes.
func (m *Monitor) record(ctx context.Context, sent time.Time, err error, longPoll bool) {
	var conflict *ConflictError
	answered := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrLeaseEnded) || errors.Is(err, ErrCompacted) || errors.Is(err, ErrRejected)
	if !answered && errors.Is(ctx.Err(), context.Canceled) {
		return // cancelled by its caller, which is no evidence about the store
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !answered {
		m.lastFailure = time.Now()
	}
	if answered || errors.Is(err, ErrIncomplete) {
		m.lastAnswerAt = time.Now()
	}
	if errors.Is(err, ErrIncomplete) {
		return // the store responds over a slow link
	}
	waited := time.Since(sent)
	if !longPoll && !answered && errors.Is(err, context.DeadlineExceeded) && waited < m.maxCallTimeout()-timeoutMargin {
		// This is no proof of an outage, because the store may be slow. The next call waits longer.
		m.meanLatency = max(m.meanLatency, waited/2)
		if sent.After(m.lastAnsweredSent) {
			m.unansweredSent = sent
		}
		return
	}
	switch {
	case answered:
		if sent.After(m.lastAnsweredSent) {
			m.lastAnsweredSent = sent
		}
		if !longPoll {
			m.meanLatency += time.Duration(latencyWeight * float64(waited-m.meanLatency))
		}
		m.failing = m.failing && m.lastFailedSent.After(sent)
		if sent.After(m.unansweredSent) {
			m.unansweredSent = time.Time{}
		}
	case !m.failing || sent.After(m.lastFailedSent):
		if !m.failing {
			m.failingSince = sent
		}
		m.failing, m.lastFailedSent = true, sent
		m.timedOut = errors.Is(err, context.DeadlineExceeded)
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// Get implements Store.
func (m *Monitor) Get(ctx context.Context, key string) (Item, error) {
	sent := time.Now()
	item, err := m.Store.Get(ctx, key)
	m.record(ctx, sent, err, false)
	return item, err
}

// Range implements Store.
func (m *Monitor) Range(ctx context.Context, prefix, after string) (Page, error) {
	sent := time.Now()
	page, err := m.Store.Range(ctx, prefix, after)
	m.record(ctx, sent, err, false)
	return page, err
}

// Watch implements Store. Its outcome is recorded as of the time of the response, not of the call.
func (m *Monitor) Watch(ctx context.Context, prefix string, after uint64, waitFor time.Duration) ([]Change, uint64, error) {
	changes, asOf, err := m.Store.Watch(ctx, prefix, after, waitFor)
	m.record(ctx, time.Now(), err, true)
	return changes, asOf, err
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, txn Txn) (uint64, error) {
	sent := time.Now()
	revision, err := m.Store.Commit(ctx, txn)
	m.record(ctx, sent, err, false)
	return revision, err
}

// KeepAlive implements Store.
func (m *Monitor) KeepAlive(ctx context.Context, lease int64) error {
	sent := time.Now()
	err := m.Store.KeepAlive(ctx, lease)
	m.record(ctx, sent, err, false)
	return err
}
