package jobowner

import (
	"context"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// endWait is how long a question for the state of a job waits for its end when only the ends of
// its runs are missing. It covers the report of a worker and a write to the store, so that
// callers that ask when a task should have ended need not come back for the answer.
const endWait = 80 * time.Millisecond

// StoreWait is how long such a question waits when the end is known and only its write to the
// store is missing. It covers a store that answers 70 times slower than its 4 ms.
const StoreWait = 400 * time.Millisecond

// State returns what callers may be told of the job. It waits a moment for the end of a job
// that may end any moment.
func (t *Term) State(ctx context.Context, id string) (workload.State, bool) {
	began := time.Now()
	for {
		state, known, changed, limit := t.look(id)
		left := limit - time.Since(began)
		if left <= 0 {
			return state, known
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return state, known
		}
	}
}

// look returns the state of the job and, if it may end any moment, a channel that is closed
// when the end of a job is shown, and how long that is worth waiting for.
func (t *Term) look(id string) (state workload.State, known bool, changed <-chan struct{}, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.cluster.Jobs[id]
	if j == nil {
		return "", false, nil, 0
	}
	if j.State == workload.Completed && !j.Fragile && t.o.Outage() {
		return j.State, true, nil, 0 // its ends are at the workers until the store is back
	}
	switch {
	case j.Shown.Ended():
		return j.Shown, true, nil, 0
	case j.State.Ended():
		return j.Shown, true, t.shown, StoreWait
	case j.MayEnd():
		return j.Shown, true, t.shown, endWait
	}
	return j.Shown, true, nil, 0
}

// showEnds lets questions that wait for the end of a job look again. The caller holds the lock.
func (t *Term) showEnds() {
	close(t.shown)
	t.shown = make(chan struct{})
}

// HasJob reports whether the job was accepted, as far as the owner has read the intake.
func (t *Term) HasJob(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cluster.Jobs[id] != nil
}

// Unsaved returns the jobs that are completed and not in the store as such.
func (t *Term) Unsaved() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, j := range t.cluster.Jobs {
		if j.State == workload.Completed && j.Shown != workload.Completed {
			ids = append(ids, id)
		}
	}
	return ids
}

// Pending returns how many accepted jobs of the route have not begun. ok is false until
// the term knows all jobs.
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
