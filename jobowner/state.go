package jobowner

import (
	"context"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// runEndWait is how long a state query waits for the end of a job whose last runs are about to
// end. It covers the report of a worker and a write to the store, so that a caller that polls just
// when a task should have ended need not poll again.
const runEndWait = 80 * time.Millisecond

// MaxStateWait is how long a state query waits when the job has ended and only the write to the
// store is pending. It covers a store that takes 70 times its usual 4 ms.
const MaxStateWait = 400 * time.Millisecond

// State returns the state of the job to answer to callers, and whether the job exists. It waits
// up to MaxStateWait for a job that has ended but is not stored, or that is about to end.
func (t *Term) State(ctx context.Context, id string) (workload.State, bool) {
	began := time.Now()
	for {
		state, found, changed, limit := t.stateNow(id)
		left := limit - time.Since(began)
		if left <= 0 {
			return state, found
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return state, found
		}
	}
}

// stateNow returns the job's state to answer to callers, which is the stored one: an end in memory is lost with this
// process and the workers, and the next owner would run tasks again that callers have seen as completed. If the job's
// end may be stored soon, it also returns a channel that is closed when the end of any job is stored, and how long to
// wait for it.
func (t *Term) stateNow(id string) (state workload.State, found bool, changed <-chan struct{}, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.cluster.Jobs[id]
	if j == nil {
		return "", false, nil, 0
	}
	switch {
	case j.StoredState.Ended():
		return j.StoredState, true, nil, 0
	case j.State.Ended():
		return j.StoredState, true, t.endsStored, MaxStateWait
	case j.AwaitsOnlyRuns():
		return j.StoredState, true, t.endsStored, runEndWait
	}
	return j.StoredState, true, nil, 0
}

// notifyStateWaiters makes state queries that wait for an end read the state again. The caller
// holds the lock.
func (t *Term) notifyStateWaiters() {
	close(t.endsStored)
	t.endsStored = make(chan struct{})
}

// HasJob reports whether the job was accepted, as far as this owner has read the intake.
func (t *Term) HasJob(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cluster.Jobs[id] != nil
}

// Pending returns how many accepted jobs of the route have not started. ok is false until all
// jobs are loaded.
func (t *Term) Pending(route string) (n int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.loaded:
	default:
		return 0, false
	}
	for _, j := range t.cluster.Jobs {
		if j.Queue() == route && !j.Started && !j.State.Ended() {
			n++
		}
	}
	return n, true
}
