package jobstate

import (
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Record returns the record of the job's progress for the store. wall is the wall-clock time at now, in
// Unix milliseconds.
func (j *Job) Record(owner uint64, wall int64, now time.Time) *workload.Record {
	j.ReleaseDone()
	r := &workload.Record{State: j.State, Sequence: j.Sequence + 1, Owner: owner, Finished: j.Finished}
	if j.State.Ended() {
		r.EndedAt = wall
	}
	for _, o := range j.Occurrences {
		r.Occurrences = append(r.Occurrences, o.record(wall, now))
	}
	return r
}

func (o *Occurrence) record(wall int64, now time.Time) workload.OccurrenceRecord {
	r := workload.OccurrenceRecord{Number: o.Number, Done: o.Done(), Overdue: o.Overdue}
	if r.Done {
		return r
	}
	for _, s := range o.Steps {
		r.Steps = append(r.Steps, s.record(wall, now))
	}
	return r
}

func (s *Step) record(wall int64, now time.Time) workload.StepRecord {
	r := workload.StepRecord{Failures: s.Failures, FailedRun: s.failedRun, Checkpoint: s.Checkpoint, Done: s.Done()}
	if r.Done {
		return r
	}
	for _, t := range s.Tasks {
		if t.LastRun == 0 {
			continue
		}
		tr := workload.TaskRecord{Index: t.Index, LastRun: t.LastRun, Failures: t.Failures, Done: t.Done, Checkpoint: t.Checkpoint}
		if t.Run != nil {
			w := t.Run.Worker
			tr.Worker, tr.Incarnation, tr.Address = w.ID, w.Incarnation, w.Address
			tr.LeaseEnds, tr.LeaseClock = w.storeLeaseEnds(wall, now)
		}
		r.Tasks = append(r.Tasks, tr)
	}
	return r
}

// storeLeaseEnds returns the latest possible end of a lease that is not renewed any more, in Unix milliseconds
// and, if set, on the clock of another worker. It sets UnresponsiveStored because the caller stores the result. It
// returns 0 for a lease that is renewed.
func (w *Worker) storeLeaseEnds(wall int64, now time.Time) (int64, *workload.ClockReading) {
	if !w.LeaseIsFinal() {
		return 0, nil
	}
	w.UnresponsiveStored = true
	if w.RecordedLeaseEnds == 0 {
		w.RecordedLeaseEnds = wall + w.LeaseEnds.Sub(now).Milliseconds()
	}
	return w.RecordedLeaseEnds, w.RecordedLeaseClock
}

// UnresponsiveWorkers returns the workers of which the job's record now shows the end of the lease; nil for none.
func (j *Job) UnresponsiveWorkers() map[*Worker]bool {
	var workers map[*Worker]bool
	for _, r := range j.Runs() {
		if r.Worker.LeaseIsFinal() {
			if workers == nil {
				workers = map[*Worker]bool{}
			}
			workers[r.Worker] = true
		}
	}
	return workers
}

// Restore sets the job's progress from its stored record. Runs whose end is not recorded become ordered
// runs on their workers, which are added if they are missing.
func (c *Cluster) Restore(j *Job, r *workload.Record, revision uint64, now time.Time) {
	j.State, j.StoredState = r.State, r.State
	j.Sequence, j.Revision = r.Sequence, revision
	j.Started = r.State != workload.Queued
	if r.State.Ended() {
		j.EndedAt = now
	}
	j.Finished, j.NextOccurrence = slices.Clone(r.Finished), r.Finished.Max()+1
	for _, or := range r.Occurrences {
		if or.Done && j.Submission.OccurrenceCount() > 1 {
			j.restoreFinished(or.Number)
			continue
		}
		next := j.NextOccurrence
		o := j.addOccurrence(or.Number, 0, now)
		o.Overdue = or.Overdue
		j.NextOccurrence = max(next, j.NextOccurrence)
		for n, s := range o.Steps {
			switch {
			case or.Done:
				s.restoreDone()
			case n < len(or.Steps):
				c.restoreStep(s, &or.Steps[n], now)
			}
		}
		o.markReady(now)
	}
	j.Dirty = false
	j.StoredUnresponsive = j.UnresponsiveWorkers()
}

func (s *Step) restoreDone() {
	for _, t := range s.Tasks {
		t.Done = true
	}
	s.DoneTasks = len(s.Tasks)
	s.Occurrence.done++
}

func (c *Cluster) restoreStep(s *Step, r *workload.StepRecord, now time.Time) {
	s.Failures, s.failedRun, s.Checkpoint = r.Failures, r.FailedRun, r.Checkpoint
	if r.Done {
		s.restoreDone()
		return
	}
	for _, tr := range r.Tasks {
		if tr.Index < 0 || tr.Index >= len(s.Tasks) {
			continue
		}
		t := s.Tasks[tr.Index]
		t.LastRun, t.Failures, t.Checkpoint = tr.LastRun, tr.Failures, tr.Checkpoint
		if tr.Done {
			t.Done = true
			s.DoneTasks++
			continue
		}
		if tr.Worker == "" {
			continue
		}
		// A newer incarnation of the worker may have received the start order; its first report shows
		// whether it did.
		w := c.EnsureWorker(tr.Worker, tr.Incarnation, now)
		w.Confirmed = true // starts are ordered only after an answer
		if w.Incarnation == tr.Incarnation && w.Address == "" {
			w.Address = tr.Address
		}
		if w.Incarnation == tr.Incarnation && tr.LeaseEnds != 0 {
			w.Unresponsive, w.UnresponsiveStored = true, true
			if tr.LeaseEnds > w.RecordedLeaseEnds {
				w.RecordedLeaseEnds, w.RecordedLeaseClock = tr.LeaseEnds, tr.LeaseClock
			}
		}
		run := c.Place(t, w, tr.LastRun, now)
		run.Phase = Ordered
		run.Throttle.Inherited = t.Step.Spec.Filler
	}
}
