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
	// maxBatch is how many job records fit into one transaction: each takes a condition and a put,
	// and the condition on the ownership takes one entry.
	maxBatch = (metastore.MaxTxnEntries - 2) / 2
	// maxBatchBytes limits the size of the values in one transaction.
	maxBatchBytes = 256 << 10
	// retryDelay is the delay after a failed read or a refused write of the store.
	retryDelay = 100 * time.Millisecond
)

// batch holds the job records that one transaction writes.
type batch struct {
	jobs        []*jobstate.Job
	states      []workload.State
	puts        []metastore.Put
	appliedEnds map[*agent]int64   // sequence numbers of the ends to acknowledge once the batch is stored
	recovered   []*jobstate.Worker // workers that no record marks as unresponsive once the batch is stored
}

func (b *batch) empty() bool { return len(b.jobs) == 0 }

// nextBatch collects changed records up to the limits of a batch. It returns whether some are left
// for the next batch.
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
		raw, err := j.Record(t.opts.Token, t.opts.WallClock().UnixMilli(), time.Now()).Encode()
		if err != nil {
			t.opts.Log.Error("cannot encode job record", zap.String("job", j.Submission.ID), zap.Error(err))
			continue
		}
		j.Dirty = false
		size += len(raw)
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		b.puts = append(b.puts, metastore.Put{Key: RecordKey(j.Submission.ID), Value: raw})
	}
	if !more {
		b.appliedEnds = t.unacknowledged()
		b.recovered = t.recoveredWorkers()
	}
	return b, more
}

// unacknowledged returns the newest applied end of each agent that has unacknowledged ends.
func (t *Term) unacknowledged() map[*agent]int64 {
	ends := map[*agent]int64{}
	for _, a := range t.agents {
		if a.appliedEnd > a.storedEnd {
			ends[a] = a.appliedEnd
		}
	}
	return ends
}

// recoveredWorkers returns the workers that answer again although a stored record may mark them as
// unresponsive.
func (t *Term) recoveredWorkers() []*jobstate.Worker {
	var list []*jobstate.Worker
	for _, w := range t.cluster.Workers {
		if w.UnresponsiveStored && !w.Unresponsive {
			list = append(list, w)
		}
	}
	return list
}

// acknowledge lets workers discard the ends whose effect is stored. The ends were collected under
// the same lock as the batch, so none is missing from its records. The caller holds the lock.
func (b *batch) acknowledge() {
	for a, n := range b.appliedEnds {
		a.acknowledge(n)
	}
	for _, w := range b.recovered {
		w.UnresponsiveStored = w.Unresponsive // it may have become unresponsive again during the write
	}
}

// commit writes the batch and returns whether it is in the store. It retries until the store
// confirms the write, the term ends or ctx ends.
func (t *Term) commit(ctx context.Context, b *batch) bool {
	start := time.Now()
	defer func() { t.commits.Update(time.Since(start).Microseconds()) }()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		txn := metastore.Txn{If: []metastore.Condition{t.opts.Fence}, Puts: b.puts}
		for n, j := range b.jobs {
			txn.If = append(txn.If, metastore.Condition{Key: b.puts[n].Key, Revision: j.Revision})
		}
		call, cancel := context.WithTimeout(ctx, t.opts.WriteTimeout(attempt))
		revision, err := t.opts.Store.Commit(call, txn)
		cancel()
		if err == nil {
			b.markStored(revision)
			return true
		}
		var conflict *metastore.ConflictError
		if errors.As(err, &conflict) {
			if t.resolveConflict(b, conflict) {
				return true
			}
			continue
		}
		if attempt == 1 {
			events.Warn(t.opts.Log, events.RecordWriteDelayed, zap.Int("jobs", len(b.jobs)), zap.Error(err))
		}
		if errors.Is(err, metastore.ErrRefused) {
			wait.For(ctx, retryDelay)
		}
	}
	return false
}

func (b *batch) markStored(revision uint64) {
	for _, j := range b.jobs {
		j.Revision = revision
		j.Sequence++
	}
}

// resolveConflict handles a failed condition: either the term has ended, or an earlier attempt took
// effect although its answer was lost. It returns whether the batch is stored.
func (t *Term) resolveConflict(b *batch, conflict *metastore.ConflictError) bool {
	owner, ok := conflict.Find(t.opts.Fence.Key)
	if !ok || owner.Revision != t.opts.Fence.Revision {
		t.terminate("the store has another owner")
		return false
	}
	first, ok := conflict.Find(b.puts[0].Key)
	if !ok {
		t.terminate("a job record is missing in the store")
		return false
	}
	if string(first.Value) == string(b.puts[0].Value) {
		events.Info(t.opts.Log, events.RecordAnswerLost, zap.Int("jobs", len(b.jobs)), zap.Uint64("revision", first.Revision))
		b.markStored(first.Revision)
		return true
	}
	for n, j := range b.jobs {
		if item, ok := conflict.Find(b.puts[n].Key); ok {
			j.Revision = item.Revision
		}
	}
	return false
}

// applyCommitted publishes the stored states, sends the starts of planned runs and acknowledges the
// ends.
func (t *Term) applyCommitted(ctx context.Context, b *batch) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkListAge(now) // the write may have taken a long time
	ended := false
	for n, j := range b.jobs {
		if j.StoredState != b.states[n] && b.states[n].Ended() {
			ended = true
			events.Info(t.opts.Log, events.JobEndRecorded, zap.String("job", j.Submission.ID), zap.String("state", string(b.states[n])),
				zap.Duration("after", now.Sub(j.ArrivedAt)))
		}
		j.StoredState = b.states[n]
		j.EndsAtRisk = j.EndsAtRisk && j.Dirty
		for _, r := range j.Runs() {
			if r.Phase == jobstate.Planned {
				t.orderStart(ctx, r, now)
			}
		}
	}
	if ended {
		t.notifyStateWaiters()
	}
	b.acknowledge()
}

// removeJob removes an ended job from the store after its retention time.
func (t *Term) removeJob(id string, revision uint64) {
	defer t.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), t.opts.StoreTimeout)
	defer cancel()
	_, err := t.opts.Store.Commit(ctx, metastore.Txn{
		If:     []metastore.Condition{t.opts.Fence, {Key: RecordKey(id), Revision: revision}},
		Remove: []string{JobKey(id), CancelKey(id), RecordKey(id)},
	})
	if err != nil {
		t.opts.Log.Warn("ended job not removed from the store", zap.String("job", id), zap.Error(err))
	}
}
