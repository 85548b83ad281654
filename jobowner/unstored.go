package jobowner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Unstored is what an owner has observed and could not store. Callers and workers have been told nothing of it: the next
// owner that receives it need not run the tasks again, and one that does not, loses work only.
type Unstored struct {
	Completed []string // jobs
	Ends      []workerapi.EndedRun
}

// Add appends what another owner has observed.
func (u *Unstored) Add(other Unstored) {
	u.Completed = append(u.Completed, other.Completed...)
	u.Ends = append(u.Ends, other.Ends...)
}

// unstoredEnd is an end of a run that no stored record of its job includes.
type unstoredEnd struct {
	workerapi.EndedRun
	sequence uint64 // of the first record that includes it
}

// Unstored returns what this term has observed and not stored, including what it took over from former owners.
func (t *Term) Unstored() Unstored {
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Unstored
	for id, j := range t.cluster.Jobs {
		if j.State == workload.Completed && j.StoredState != workload.Completed {
			u.Completed = append(u.Completed, id)
		}
	}
	for _, ends := range t.unstoredEnds {
		for _, e := range ends {
			u.Ends = append(u.Ends, e.EndedRun)
		}
	}
	return u
}

// addUnstoredEnd records an end that a worker has listed, before it is applied to the job.
func (t *Term) addUnstoredEnd(j *jobstate.Job, e workerapi.EndedRun) {
	sequence := j.Sequence + 1
	if j.Writing {
		sequence++ // the record that is being written does not include it
	}
	t.unstoredEnds[j] = append(t.unstoredEnds[j], unstoredEnd{e, sequence})
}

// removeStoredEnds removes the ends that the job's stored record includes.
func (t *Term) removeStoredEnds(j *jobstate.Job) {
	ends := t.unstoredEnds[j]
	for len(ends) > 0 && ends[0].sequence <= j.Sequence {
		ends = ends[1:]
	}
	if len(ends) == 0 {
		delete(t.unstoredEnds, j)
		return
	}
	t.unstoredEnds[j] = ends
}

// indexFormerEnds indexes the ends that former owners have observed by job.
func (t *Term) indexFormerEnds(ends []workerapi.EndedRun) {
	for _, e := range ends {
		name, err := workload.ParseTaskName(e.Task)
		if err != nil {
			t.opts.Log.Warn("end of a run ignored that a former owner has observed", zap.String("task", e.Task), zap.Error(err))
			continue
		}
		t.formerEnds[name.Job] = append(t.formerEnds[name.Job], e)
	}
}

// applyFormerEnds ends the runs of a restored job whose ends a former owner has observed. Their workers may have left since.
// A run has one number and one end, whichever owner receives it; an end that is known already matches no run.
func (t *Term) applyFormerEnds(j *jobstate.Job, now time.Time) {
	ends := t.formerEnds[j.Submission.ID]
	if len(ends) == 0 {
		return
	}
	runs := map[runKey]*jobstate.Run{}
	for _, r := range j.Runs() {
		runs[runKey{r.Task.Name().String(), r.Number}] = r
	}
	for _, e := range ends {
		r := runs[runKey{e.Task, e.Run}]
		if r == nil {
			continue
		}
		delete(runs, runKey{e.Task, e.Run})
		events.Info(t.opts.Log, events.RunEnded, zap.String("task", e.Task), zap.Int("run", e.Run), zap.String("worker", r.Worker.ID),
			zap.String("how", string(e.Outcome)), zap.Bool("former_owner", true))
		t.addUnstoredEnd(j, e)
		t.cluster.End(r, e.Outcome, e.Checkpoint, now)
	}
}
