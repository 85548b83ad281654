package metastore

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// probeInterval is the pause between two reads that find out whether the store is back.
	probeInterval = 200 * time.Millisecond
	// askInterval is the least time between two reads on behalf of callers while the store does not
	// answer, and askBound the longest wait for one: the caller waits for it.
	askInterval = 50 * time.Millisecond
	askBound    = 25 * time.Millisecond
	// boundFactor and boundSlack make the bound of a call from the usual time of an answer.
	boundFactor = 4
	boundSlack  = 80 * time.Millisecond
	// freshFactor is how many times the usual time of an answer old a proof may be that the store
	// answers. A slow store would otherwise be asked before each write.
	freshFactor = 3
	// MinCallTimeout and MaxCallTimeout limit the time-out of a call.
	MinCallTimeout = 120 * time.Millisecond
	MaxCallTimeout = 500 * time.Millisecond // a store that answers 60 times slower than its 4 ms is still of use
	// boundMargin allows for timers that fire early by the clock of another goroutine.
	boundMargin = 50 * time.Millisecond
	// usualWeight is the weight of a new answer in the usual time of an answer.
	usualWeight = 0.2
	// probeKey is a key that need not exist.
	probeKey = "cy/probe"
)

// Monitor is a Store that knows whether the store answers this instance. While it does not,
// Run probes it, so that callers need not find out with calls of their own, whose outcome
// would be unknown.
type Monitor struct {
	Store

	mu       sync.Mutex
	failing  bool
	silent   bool          // the newest of the failed calls had no answer at all
	since    time.Time     // start of the first of the failed calls in a row
	failedAt time.Time     // when the newest failed call had been sent
	usual    time.Duration // moving average of the time of an answer
	answered time.Time     // when the newest answered call had been sent
	askedAt  time.Time     // when the store was asked last although it did not answer
	troubled time.Time     // when the newest call that was not answered ended
	wake     chan struct{}
	asks     chan struct{} // a caller wants to know
}

// NewMonitor returns a monitor that takes the store for healthy.
func NewMonitor(store Store) *Monitor {
	return &Monitor{Store: store, wake: make(chan struct{}, 1), asks: make(chan struct{}, 1)}
}

// Healthy reports whether the newest outcome of a call was an answer.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.failing
}

// SinceFailure returns for how long all calls have been answered.
func (m *Monitor) SinceFailure() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.troubled)
}

// FailingFor returns for how long the store has not answered; 0 if it does.
func (m *Monitor) FailingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		return 0
	}
	return time.Since(m.since)
}

// Check reports whether the store answers, and asks it unless it has answered a call that was
// sent within fresh, or within a few times the usual time of an answer. A read that is not
// answered leaves no doubt, as a write would.
func (m *Monitor) Check(ctx context.Context, fresh time.Duration) bool {
	m.mu.Lock()
	failing, recent := m.failing, time.Since(m.answered) < max(fresh, freshFactor*m.usual)
	m.mu.Unlock()
	if failing {
		return m.askAgain(ctx)
	}
	if recent {
		return true
	}
	for _, bound := range []time.Duration{m.CallTimeout(1), MaxCallTimeout} {
		call, cancel := context.WithTimeout(ctx, bound)
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

// askAgain asks the store on behalf of a caller although the newest call was not answered, so that a
// caller who comes just after an outage need not come again. Callers who come together do not wait,
// and nobody waits for a store that was silent: the answer helps those who come next.
func (m *Monitor) askAgain(ctx context.Context) bool {
	m.mu.Lock()
	soon, silent := time.Since(m.askedAt) < askInterval, m.silent
	if !soon {
		m.askedAt = time.Now()
	}
	m.mu.Unlock()
	if soon {
		return m.Healthy()
	}
	if silent {
		select {
		case m.asks <- struct{}{}:
		default:
		}
		return false
	}
	return m.ask(ctx, askBound)
}

// ask reports whether the store answers within the bound.
func (m *Monitor) ask(ctx context.Context, bound time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := m.Get(call, probeKey)
	return err == nil || errors.Is(err, ErrNotFound)
}

// ProbeNow asks the store, whatever is known of it, and reports whether it answers within the
// usual bound.
func (m *Monitor) ProbeNow(ctx context.Context) bool {
	return m.ask(ctx, m.CallTimeout(1))
}

// CallTimeout returns how long to wait for the answer of a call that is tried for the attempt'th
// time, from 1. An answer that is lost is noticed soon; a store that became slow is given
// longer with each attempt.
func (m *Monitor) CallTimeout(attempt int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	bound := max(boundFactor*m.usual+boundSlack, MinCallTimeout)
	return min(bound<<min(attempt-1, 4), MaxCallTimeout)
}

// Run probes the store while it does not answer, until ctx ends. A probe does not wait for the one
// before it: an answer that was lost in the outage never comes.
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
		probes.Go(func() { m.ask(ctx, MaxCallTimeout) })
		select {
		case <-ctx.Done():
		case <-m.asks:
		case <-time.After(probeInterval):
		}
	}
}

// note takes in the outcome of a call. long marks calls that wait for changes.
func (m *Monitor) note(ctx context.Context, sent time.Time, err error, long bool) {
	var conflict *ConflictError
	answered := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrNoLease) || errors.Is(err, ErrCompacted)
	if !answered && errors.Is(ctx.Err(), context.Canceled) {
		return // given up by its caller, which says nothing of the store
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !answered {
		m.troubled = time.Now()
	}
	waited := time.Since(sent)
	if !long && !answered && errors.Is(err, context.DeadlineExceeded) && waited < MaxCallTimeout-boundMargin {
		// Not proof of an outage: the store may be slow. The next call waits longer.
		m.usual = max(m.usual, waited/2)
		return
	}
	switch {
	case answered:
		if sent.After(m.answered) {
			m.answered = sent
		}
		if !long {
			m.usual += time.Duration(usualWeight * float64(waited-m.usual))
		}
		m.failing = m.failing && m.failedAt.After(sent)
	case !m.failing || sent.After(m.failedAt):
		if !m.failing {
			m.since = sent
		}
		m.failing, m.failedAt = true, sent
		m.silent = errors.Is(err, context.DeadlineExceeded)
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
	m.note(ctx, sent, err, false)
	return item, err
}

// Range implements Store.
func (m *Monitor) Range(ctx context.Context, prefix, after string) (Page, error) {
	sent := time.Now()
	page, err := m.Store.Range(ctx, prefix, after)
	m.note(ctx, sent, err, false)
	return page, err
}

// Watch implements Store. An answer shows that the store answered when it came.
func (m *Monitor) Watch(ctx context.Context, prefix string, after uint64, waitFor time.Duration) ([]Change, uint64, error) {
	changes, asOf, err := m.Store.Watch(ctx, prefix, after, waitFor)
	m.note(ctx, time.Now(), err, true)
	return changes, asOf, err
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, txn Txn) (uint64, error) {
	sent := time.Now()
	revision, err := m.Store.Commit(ctx, txn)
	m.note(ctx, sent, err, false)
	return revision, err
}

// KeepAlive implements Store.
func (m *Monitor) KeepAlive(ctx context.Context, lease int64) error {
	sent := time.Now()
	err := m.Store.KeepAlive(ctx, lease)
	m.note(ctx, sent, err, false)
	return err
}
