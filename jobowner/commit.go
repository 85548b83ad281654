package jobowner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// maxBatch is how many job records one transaction holds: each takes a condition and a
	// put, and the condition on the ownership takes one entry.
	maxBatch = (metastore.MaxTxnEntries - 2) / 2
	// maxBatchBytes bounds the values of one transaction.
	maxBatchBytes = 256 << 10
	// retryPause is the pause after a call that the store refused.
	retryPause = 100 * time.Millisecond
)

// batch is what one transaction writes.
type batch struct {
	jobs   []*jobstate.Job
	states []workload.State
	puts   []metastore.Put
	seen   map[*agent]int64   // ends that may be acknowledged once the batch is stored
	heard  []*jobstate.Worker // of which no record says any more that they do not answer
}

func (b *batch) empty() bool { return len(b.jobs) == 0 }

// nextBatch takes the records that differ from the stored ones. It returns whether some are
// left for the next batch.
func (t *Term) nextBatch() (*batch, bool) {
	b := &batch{}
	size := 0
	more := false
	for _, j := range t.cluster.Jobs {
		if !j.Dirty {
			continue
		}
		if len(b.jobs) == maxBatch || size > maxBatchBytes {
			more = true
			break
		}
		raw, err := j.Record(t.o.Token, t.o.Wall().UnixMilli(), time.Now()).Encode()
		if err != nil {
			t.o.Log.Error("job record not encoded", zap.String("job", j.Submission.ID), zap.Error(err))
			continue
		}
		j.Dirty = false
		size += len(raw)
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		b.puts = append(b.puts, metastore.Put{Key: RecordKey(j.Submission.ID), Value: raw})
	}
	if !more {
		b.seen = t.unacknowledged()
		b.heard = t.heardAgain()
	}
	return b, more
}

// unacknowledged returns, by agent, the newest end that has been applied.
func (t *Term) unacknowledged() map[*agent]int64 {
	seen := map[*agent]int64{}
	for _, a := range t.agents {
		if a.applied > a.stored {
			seen[a] = a.applied
		}
	}
	return seen
}

// heardAgain returns the workers that answer again although a record may say that they do not.
func (t *Term) heardAgain() []*jobstate.Worker {
	var list []*jobstate.Worker
	for _, w := range t.cluster.Workers {
		if w.SilentStored && !w.Silent {
			list = append(list, w)
		}
	}
	return list
}

// acknowledge lets workers forget the ends whose effect is stored. The ends were collected
// under the same lock as the batch. The caller holds the lock.
func (b *batch) acknowledge() {
	for a, n := range b.seen {
		a.acknowledge(n)
	}
	for _, w := range b.heard {
		w.SilentStored = w.Silent // it may have fallen silent again meanwhile
	}
}

// commit writes the batch and returns whether it is in the store. It goes on until the
// store confirms it, the term is over or ctx ends.
func (t *Term) commit(ctx context.Context, b *batch) bool {
	start := time.Now()
	defer func() { t.commits.Update(time.Since(start).Microseconds()) }()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		txn := metastore.Txn{If: []metastore.Condition{t.o.Fence}, Puts: b.puts}
		for n, j := range b.jobs {
			txn.If = append(txn.If, metastore.Condition{Key: b.puts[n].Key, Revision: j.Revision})
		}
		call, cancel := context.WithTimeout(ctx, t.o.Bound(attempt))
		revision, err := t.o.Store.Commit(call, txn)
		cancel()
		if err == nil {
			b.stored(revision)
			return true
		}
		var conflict *metastore.ConflictError
		if errors.As(err, &conflict) {
			if t.resolve(b, conflict) {
				return true
			}
			continue
		}
		if attempt == 1 {
			events.Warn(t.o.Log, events.RecordWriteDelayed, zap.Int("jobs", len(b.jobs)), zap.Error(err))
		}
		if errors.Is(err, metastore.ErrRefused) {
			wait.For(ctx, retryPause)
		}
	}
	return false
}

func (b *batch) stored(revision uint64) {
	for _, j := range b.jobs {
		j.Revision = revision
		j.Sequence++
	}
}

// resolve handles a condition that did not hold: the term is over, or an earlier attempt
// whose answer was lost took effect. It returns whether the batch is stored.
func (t *Term) resolve(b *batch, conflict *metastore.ConflictError) bool {
	owner, ok := conflict.Find(t.o.Fence.Key)
	if !ok || owner.Revision != t.o.Fence.Revision {
		t.over("the store has another owner")
		return false
	}
	first, ok := conflict.Find(b.puts[0].Key)
	if !ok {
		t.over("a job record has vanished")
		return false
	}
	if string(first.Value) == string(b.puts[0].Value) {
		events.Info(t.o.Log, events.RecordAnswerLost, zap.Int("jobs", len(b.jobs)), zap.Uint64("revision", first.Revision))
		b.stored(first.Revision)
		return true
	}
	for n, j := range b.jobs {
		if item, ok := conflict.Find(b.puts[n].Key); ok {
			j.Revision = item.Revision
		}
	}
	return false
}

// committed shows the stored states, orders the planned runs and acknowledges the ends.
func (t *Term) committed(ctx context.Context, b *batch) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkList(now) // the write may have taken long
	ended := false
	for n, j := range b.jobs {
		if j.Shown != b.states[n] && b.states[n].Ended() {
			ended = true
			events.Info(t.o.Log, events.JobEndRecorded, zap.String("job", j.Submission.ID), zap.String("state", string(b.states[n])),
				zap.Duration("after", now.Sub(j.ArrivedAt)))
		}
		j.Shown = b.states[n]
		j.Fragile = j.Fragile && j.Dirty
		for _, r := range j.Runs() {
			if r.Phase == jobstate.Planned {
				t.orderStart(ctx, r, now)
			}
		}
	}
	if ended {
		t.showEnds()
	}
	b.acknowledge()
}

// removeJob removes a job that ended long ago from the store.
func (t *Term) removeJob(id string, revision uint64) {
	defer t.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), t.o.StoreBound)
	defer cancel()
	_, err := t.o.Store.Commit(ctx, metastore.Txn{
		If:     []metastore.Condition{t.o.Fence, {Key: RecordKey(id), Revision: revision}},
		Remove: []string{JobKey(id), CancelKey(id), RecordKey(id)},
	})
	if err != nil {
		t.o.Log.Warn("ended job not removed", zap.String("job", id), zap.Error(err))
	}
}
