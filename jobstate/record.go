package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Record returns the progress of the job for the store.
func (j *Job) Record(owner uint64, wall int64) *workload.Record {
	r := &workload.Record{State: j.State, Sequence: j.Sequence + 1, Owner: owner}
	if j.State.Ended() {
		r.EndedAt = wall
	}
	for _, o := range j.Occurrences {
		r.Occurrences = append(r.Occurrences, o.record())
	}
	return r
}

func (o *Occurrence) record() workload.OccurrenceRecord {
	r := workload.OccurrenceRecord{Number: o.Number, Done: o.Done()}
	if r.Done {
		return r
	}
	for _, s := range o.Steps {
		r.Steps = append(r.Steps, s.record())
	}
	return r
}

func (s *Step) record() workload.StepRecord {
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
			tr.Worker, tr.Life, tr.Address = t.Run.Worker.ID, t.Run.Worker.Life, t.Run.Worker.Address
		}
		r.Tasks = append(r.Tasks, tr)
	}
	return r
}

// Restore brings the job to the progress of its stored record. Runs that are not known to
// have ended are ordered runs on their workers, which are created if they are not known.
func (c *Cluster) Restore(j *Job, r *workload.Record, revision uint64, now time.Time) {
	j.State, j.Shown = r.State, r.State
	j.Sequence, j.Revision = r.Sequence, revision
	j.Started = r.State != workload.Queued
	if r.State.Ended() {
		j.EndedAt = now
	}
	for _, or := range r.Occurrences {
		o := j.Open(len(j.Occurrences), now)
		for n, s := range o.Steps {
			switch {
			case or.Done:
				s.restoreDone()
			case n < len(or.Steps):
				c.restoreStep(s, &or.Steps[n], now)
			}
		}
		o.refresh(now)
	}
	j.Dirty = false
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
		if tr.Index >= len(s.Tasks) {
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
		// A newer life of the worker may have got the order: its first report tells.
		w := c.Worker(tr.Worker, tr.Life, now)
		if w.Life == tr.Life && w.Address == "" {
			w.Address = tr.Address
		}
		run := c.Place(t, w, tr.LastRun, now)
		run.Phase = Ordered
	}
}
