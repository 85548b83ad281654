package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

// rejectedRecordPause is the time after which a record that the store did not accept is written again. The job may
// have changed by then, or the limits of the store.
const rejectedRecordPause = 5 * time.Second

// unacknowledgedEnd is an end of a run that its worker must keep until the record of the job is stored.
type unacknowledgedEnd struct {
	sequence int64
	job      *jobstate.Job
}

// isolateRejected writes the records of a batch that the store does not accept in smaller batches, so that only the
// record that causes this is left out. It takes the place of the batch among the writes in progress.
func (t *Term) isolateRejected(ctx context.Context, b *batch, err error) {
	if len(b.jobs) == 1 {
		t.rejectRecord(b, err)
		return
	}
	t.mu.Lock()
	t.writes++ // two in place of one
	t.mu.Unlock()
	first, second := b.split()
	t.write(ctx, first)
	t.write(ctx, second)
}

// split returns the halves of a batch of several records.
func (b *batch) split() (first, second *batch) {
	middle := len(b.jobs) / 2
	first = &batch{jobs: b.jobs[:middle], states: b.states[:middle], puts: b.puts[:middle]}
	second = &batch{jobs: b.jobs[middle:], states: b.states[middle:], puts: b.puts[middle:]}
	inFirst := map[*jobstate.Job]bool{}
	for _, j := range first.jobs {
		inFirst[j] = true
	}
	for _, r := range b.starts {
		half := second
		if inFirst[r.Task.Step.Occurrence.Job] {
			half = first
		}
		half.starts = append(half.starts, r)
	}
	return first, second
}

// rejectRecord gives up the write of a record until rejectedRecordPause has passed. Its job starts nothing meanwhile,
// and workers keep the ends that it would have recorded.
func (t *Term) rejectRecord(b *batch, err error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes--
	j := b.jobs[0]
	events.Warn(t.opts.Log, events.RecordRejected, zap.String("job", j.Submission.ID), zap.Int("bytes", len(b.puts[0].Value)),
		zap.Int("starts", len(b.starts)), zap.Duration("retried_after", rejectedRecordPause), zap.Error(err))
	j.Writing, j.Dirty = false, true
	j.RejectedUntil = now.Add(rejectedRecordPause)
	for _, r := range j.Runs() {
		if r.Phase == jobstate.Planned {
			t.cluster.End(r, jobstate.EndNeverStarted, "", now)
		}
	}
	// The record is tried again without new starts, for which other runs might be stopped.
	delayStarts(j, j.RejectedUntil.Add(rejectedRecordPause))
	t.pendingAck = nil // prepared again without this record
	t.wakeLoop()
}

// endRejection lets the job start again after its record has been stored.
func (t *Term) endRejection(j *jobstate.Job) {
	if j.RejectedUntil.IsZero() {
		return
	}
	j.RejectedUntil = time.Time{}
	delayStarts(j, time.Time{})
}

// delayStarts sets the time before which no task of the job starts.
func delayStarts(j *jobstate.Job, until time.Time) {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			s.NotBefore = until
		}
	}
}

// withoutRejected lowers the ends that may be acknowledged to those before the first one of a job whose record the
// store does not accept.
func (t *Term) withoutRejected(ends map[*agent]int64) {
	for a, n := range ends {
		a.ends = endsAfter(a.ends, a.storedEnd)
		for _, e := range a.ends {
			if !e.job.RejectedUntil.IsZero() {
				n = min(n, e.sequence-1)
			}
		}
		ends[a] = n
		if n <= a.storedEnd {
			delete(ends, a)
		}
	}
}

// endsAfter returns the ends with a higher sequence number. list is in ascending order.
func endsAfter(list []unacknowledgedEnd, sequence int64) []unacknowledgedEnd {
	for len(list) > 0 && list[0].sequence <= sequence {
		list = list[1:]
	}
	return list
}

// mayBeMarked reports whether the stored record of a job that the store does not accept may still show the worker as
// unresponsive.
func (t *Term) mayBeMarked(w *jobstate.Worker) bool {
	for _, j := range t.cluster.Jobs {
		if !j.RejectedUntil.IsZero() && (j.StoredUnresponsive[w] || j.WritingUnresponsive[w]) {
			return true
		}
	}
	return false
}
