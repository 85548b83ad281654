package jobowner

import (
	"cmp"
	"context"
	"errors"
	"slices"
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

const (
	// maxWrites limits the transactions that are in progress at the same time. They hold records of
	// different jobs, so that a start need not wait for the write of another job in a slow store.
	maxWrites = 6
	// maxBatchWrites limits the transactions in progress that hold records of less urgent jobs only. While
	// they are slow, further changes are collected, which saves writes and leaves writes to urgent jobs.
	maxBatchWrites = 2
	// lessUrgentDelay and progressDelay are how much later than an urgent start the record of a less urgent job
	// and one that neither starts a run nor ends its job are due. When the store takes fewer records than change,
	// they are written in the order in which they are due, so that each is written.
	lessUrgentDelay = time.Second
	progressDelay   = 2 * time.Second
)

// batch holds the job records that one transaction writes.
type batch struct {
	jobs   []*jobstate.Job
	states []workload.State
	puts   []metastore.Put
	starts []*jobstate.Run // planned runs in the records, which may start once these are stored
	size   int             // bytes of all values
}

func (b *batch) full() bool { return len(b.jobs) == maxBatch || b.size > maxBatchBytes }

// ackPoint holds the ends that workers may discard, and the records that must be stored before.
type ackPoint struct {
	unstored  map[*jobstate.Job]uint64 // sequence number that the stored record must have
	ends      map[*agent]int64         // sequence number of the newest end, by worker
	recovered []*jobstate.Worker       // workers that no record marks as unresponsive any more
}

// nextBatches collects changed records for new transactions, in the order in which they are due. A job whose
// record is being written waits for the result, because its next write is conditional on it.
func (t *Term) nextBatches() []*batch {
	t.prepareAcknowledgement()
	now := time.Now()
	var list []*batch
	b := &batch{}
	for _, u := range t.unwrittenRecords(now) {
		if b.full() {
			list = append(list, b)
			b = &batch{}
		}
		if len(b.jobs) == 0 && t.writes+len(list) >= u.maxWrites(now) {
			continue
		}
		if err := t.addRecord(b, u.job); err != nil {
			t.opts.Log.Error("cannot encode job record", zap.String("job", u.job.Submission.ID), zap.Error(err))
		}
	}
	if len(b.jobs) > 0 {
		list = append(list, b)
	}
	t.writes += len(list)
	return list
}

// unwrittenRecord is a changed record that is not being written.
type unwrittenRecord struct {
	job *jobstate.Job
	due time.Time
}

// maxWrites returns the number of transactions in progress below which the record may begin another one.
func (u unwrittenRecord) maxWrites(now time.Time) int {
	if u.job.Route.Priority == 0 || now.After(u.due) {
		return maxWrites
	}
	return maxBatchWrites
}

// unwrittenRecords returns the changed records that are not being written, in the order in which they are due.
func (t *Term) unwrittenRecords(now time.Time) []unwrittenRecord {
	var list []unwrittenRecord
	for _, j := range t.cluster.Jobs {
		if !j.Dirty {
			continue
		}
		if j.UnwrittenSince.IsZero() {
			j.UnwrittenSince = now
		}
		if !j.Writing && !now.Before(j.RejectedUntil) {
			list = append(list, unwrittenRecord{j, recordDue(j)})
		}
	}
	slices.SortFunc(list, func(a, b unwrittenRecord) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.job.Sequence, b.job.Sequence), cmp.Compare(a.job.Submission.ID, b.job.Submission.ID))
	})
	return list
}

func recordDue(j *jobstate.Job) time.Time {
	delay := time.Duration(0)
	if j.Route.Priority > 0 {
		delay += lessUrgentDelay
	}
	if !j.State.Ended() && !j.HasPlannedRun() {
		delay += progressDelay
	}
	return j.UnwrittenSince.Add(delay)
}

func (t *Term) addRecord(b *batch, j *jobstate.Job) error {
	raw, err := j.Record(t.opts.Token, t.opts.WallClock().UnixMilli(), time.Now()).Encode()
	if err != nil {
		return err
	}
	j.Recorded(len(raw))
	j.Dirty, j.Writing, j.WritingFrom = false, true, time.Now()
	j.UnwrittenSince = time.Time{}
	j.WritingUnresponsive = j.UnresponsiveWorkers()
	b.size += len(raw)
	b.jobs = append(b.jobs, j)
	b.states = append(b.states, j.State)
	b.puts = append(b.puts, metastore.Put{Key: RecordKey(j.Submission.ID), Value: raw})
	for _, r := range j.Runs() {
		if r.Phase == jobstate.Planned {
			b.starts = append(b.starts, r)
		}
	}
	return nil
}

// prepareAcknowledgement notes which records must be stored before the workers may discard the ends
// applied so far, unless an earlier acknowledgement is still pending. The caller holds the lock.
func (t *Term) prepareAcknowledgement() {
	if t.pendingAck != nil {
		return
	}
	p := &ackPoint{unstored: map[*jobstate.Job]uint64{}, ends: t.unacknowledged(), recovered: t.recoveredWorkers()}
	t.withoutRejected(p.ends)
	if len(p.ends) == 0 && len(p.recovered) == 0 {
		return
	}
	for _, j := range t.cluster.Jobs {
		if !j.RejectedUntil.IsZero() {
			continue
		}
		sequence := j.Sequence
		if j.Writing {
			sequence++
		}
		if j.Dirty {
			sequence++
		}
		if sequence > j.Sequence {
			p.unstored[j] = sequence
		}
	}
	t.pendingAck = p
	t.acknowledgeStored(nil)
}

// acknowledgeStored lets workers discard the ends of the pending acknowledgement once all its records are
// stored, of which stored are new. The caller holds the lock.
func (t *Term) acknowledgeStored(stored []*jobstate.Job) {
	p := t.pendingAck
	if p == nil {
		return
	}
	for _, j := range stored {
		if needed, ok := p.unstored[j]; ok && j.Sequence >= needed {
			delete(p.unstored, j)
		}
	}
	if len(p.unstored) > 0 {
		return
	}
	t.pendingAck = nil
	for a, n := range p.ends {
		a.acknowledge(n)
	}
	for _, w := range p.recovered {
		w.UnresponsiveStored = w.LeaseIsFinal() // it may have become unresponsive again during the write
	}
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

// recoveredWorkers returns the workers whose leases are to be renewed although a stored record may show the end of
// one.
func (t *Term) recoveredWorkers() []*jobstate.Worker {
	var list []*jobstate.Worker
	for _, w := range t.cluster.Workers {
		if w.UnresponsiveStored && !w.LeaseIsFinal() && !t.mayBeMarked(w) {
			list = append(list, w)
		}
	}
	return list
}

// write writes the batch and carries out what its records allow.
func (t *Term) write(ctx context.Context, b *batch) {
	revision, stored, err := t.commit(ctx, b)
	switch {
	case stored:
		t.applyCommitted(ctx, b, revision)
	case err != nil:
		t.isolateRejected(ctx, b, err)
	}
}

// commit writes the batch and returns its revision and whether it is in the store. It retries until the
// store confirms the write, the term ends or ctx ends, or returns an error if the store does not accept it.
func (t *Term) commit(ctx context.Context, b *batch) (revision uint64, stored bool, rejected error) {
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
			return revision, true, nil
		}
		if errors.Is(err, metastore.ErrRejected) {
			return 0, false, err
		}
		var conflict *metastore.ConflictError
		if errors.As(err, &conflict) {
			if revision, stored := t.resolveConflict(b, conflict); stored {
				return revision, true, nil
			}
			continue
		}
		if attempt == 1 {
			events.Warn(t.opts.Log, events.RecordWriteDelayed, zap.Int("jobs", len(b.jobs)), zap.Error(err))
		}
		// A single lost answer is looked up at once. Further calls that fail before their timeout wait.
		if errors.Is(err, metastore.ErrRefused) || attempt > 1 && !errors.Is(err, context.DeadlineExceeded) {
			wait.For(ctx, retryDelay)
		}
	}
	return 0, false, nil
}

// resolveConflict handles a failed condition: either the term has ended, or an earlier attempt took
// effect although its answer was lost. It returns the revision of the batch and whether it is stored.
func (t *Term) resolveConflict(b *batch, conflict *metastore.ConflictError) (revision uint64, stored bool) {
	owner, ok := conflict.Find(t.opts.Fence.Key)
	if !ok || owner.Revision != t.opts.Fence.Revision {
		t.terminate("the store has another owner")
		return 0, false
	}
	first, ok := conflict.Find(b.puts[0].Key)
	if !ok {
		t.terminate("a job record is missing in the store")
		return 0, false
	}
	if string(first.Value) == string(b.puts[0].Value) {
		events.Info(t.opts.Log, events.RecordAnswerLost, zap.Int("jobs", len(b.jobs)), zap.Uint64("revision", first.Revision))
		return first.Revision, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, j := range b.jobs {
		if item, ok := conflict.Find(b.puts[n].Key); ok {
			j.Revision = item.Revision
		}
	}
	return 0, false
}

// applyCommitted publishes the stored states, sends the starts of the batch and acknowledges ends.
func (t *Term) applyCommitted(ctx context.Context, b *batch, revision uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkListAge(now) // the write may have taken a long time
	t.followCaps(now)   // withdrawAboveCap needs the present ones
	t.writes--
	ended := false
	for n, j := range b.jobs {
		j.Revision = revision
		j.Sequence++
		t.removeStoredEnds(j)
		j.Writing = false
		j.StoredUnresponsive = j.WritingUnresponsive
		t.endRejection(j)
		if j.StoredState != b.states[n] && b.states[n].Ended() {
			ended = true
			events.Info(t.opts.Log, events.JobEndRecorded, zap.String("job", j.Submission.ID), zap.String("state", string(b.states[n])),
				zap.Duration("after", now.Sub(j.ArrivedAt)))
		}
		j.StoredState = b.states[n]
	}
	t.withdrawAboveCap(b.starts, now)
	for _, r := range b.starts {
		if r.Phase == jobstate.Planned && r.Task.Run == r {
			t.orderStart(ctx, r, now)
		}
	}
	if ended {
		t.notifyStateWaiters()
	}
	t.acknowledgeStored(b.jobs)
	t.wakeLoop() // for records that waited for this write
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
