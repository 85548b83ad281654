package jobowner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxValueBytes is the largest value that the users' store accepts.
const maxValueBytes = 1 << 20

// rejectedKeys holds the keys that the store does not accept, as if their values were over its limit.
type rejectedKeys struct {
	mu       sync.Mutex
	keys     map[string]bool
	attempts int // transactions that were rejected
}

func (r *rejectedKeys) set(keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = map[string]bool{}
	for _, key := range keys {
		r.keys[key] = true
	}
}

func (r *rejectedKeys) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

func (r *rejectedKeys) rejects(txn metastore.Txn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range txn.Puts {
		if r.keys[p.Key] || len(p.Value) > maxValueBytes {
			r.attempts++
			return true
		}
	}
	return false
}

// rejectingStore rejects transactions that put one of the keys.
type rejectingStore struct {
	metastore.Store
	rejected *rejectedKeys
}

func (s rejectingStore) Commit(ctx context.Context, txn metastore.Txn) (uint64, error) {
	if s.rejected.rejects(txn) {
		return 0, fmt.Errorf("%w: status 413", metastore.ErrRejected)
	}
	return s.Store.Commit(ctx, txn)
}

// The store rejects the first record of one job. Guards against a record that keeps those of other jobs, and the
// acknowledgement of their ends, waiting, and against writes that are repeated without a pause.
func TestRejectedRecordDelaysOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		for n := range 4 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		s.rejected.set(jobowner.RecordKey("bad"))
		s.start("a")
		time.Sleep(2 * time.Second)
		s.submit("bad", "batch", tasks(2, 1))
		for n := range 8 {
			s.submit(fmt.Sprint("job-", n), "batch", tasks(3, 1))
		}
		for n := range 8 {
			assert.Equal(t, workload.Completed, s.waitForEnd(t, fmt.Sprint("job-", n), 4*time.Second))
		}
		time.Sleep(time.Second)
		for n := range 4 {
			assert.Zero(t, s.fleet.UnacknowledgedEnds(fmt.Sprint("w", n)))
		}
		time.Sleep(10 * time.Second)
		assert.False(t, s.fleet.Started("bad"))
		assert.Less(t, s.rejected.count(), 20)
		s.rejected.set()
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "bad", 10*time.Second))
		s.requireNoViolations(t)
	})
}

// The store rejects the record of one job from when its tasks run, and the owner is lost after they have ended. Guards
// against ends that the workers discard although no record holds them: the successor would run the tasks again.
func TestEndsOfARejectedRecordAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		defer s.stop()
		s.fleet.Outcome = func(name workload.TaskName, _ int) (time.Duration, jobstate.End) {
			if name.Job == "bad" && name.Index == 2 {
				return 12 * time.Second, jobstate.EndDone // the job is not completed before
			}
			return time.Second + time.Duration(name.Index)*300*time.Millisecond, jobstate.EndDone
		}
		for n := range 2 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		s.start("a")
		time.Sleep(2 * time.Second)
		s.submit("bad", "batch", tasks(3, 4))
		time.Sleep(300 * time.Millisecond)
		s.rejected.set(jobowner.RecordKey("bad"))
		s.submit("other", "batch", tasks(4, 1))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "other", 4*time.Second))
		time.Sleep(4 * time.Second)
		s.kill("a")
		s.rejected.set()
		s.start("b")
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "bad", 20*time.Second))
		assert.Equal(t, 7, s.fleet.StartCount())
		s.requireNoViolations(t)
	})
}
