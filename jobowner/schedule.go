package jobowner

import (
	"container/heap"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// idlePerWorker is how many open occurrences of scheduled jobs may have nothing running, for each listed worker. Each
	// decision opens further ones as these start, so that a free fleet fills within a few decisions.
	idlePerWorker = 2
	// minIdleOccurrences is the smallest such limit.
	minIdleOccurrences = 64
	// idleTasksPerOccurrence times the limit is how many tasks these occurrences may have together.
	idleTasksPerOccurrence = 8
)

// dueQueue is a heap of jobs by the time at which their next occurrence is due.
type dueQueue []*dueJob

type dueJob struct {
	job   *jobstate.Job
	due   int64 // Unix milliseconds
	idle  int   // open occurrences with nothing running
	tasks int   // of one occurrence
}

// mustWait reports whether the job opens no further occurrence while the limit is reached: one of its occurrences waits, or those
// that are open are large.
func (d *dueJob) mustWait() bool {
	return d.idle > 0 || len(d.job.Occurrences) > 0 && d.tasks > idleTasksPerOccurrence*minIdleOccurrences
}

func (q dueQueue) Len() int { return len(q) }
func (q dueQueue) Less(a, b int) bool {
	if q[a].due != q[b].due {
		return q[a].due < q[b].due
	}
	return q[a].job.Submission.ID < q[b].job.Submission.ID
}
func (q dueQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *dueQueue) Push(x any)   { *q = append(*q, x.(*dueJob)) }
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// openDue opens occurrences of scheduled jobs in the order in which they were due, as room comes: memory and the time of a
// decision follow what can run and not what has been accepted. A job whose occurrences start at once may open twice as many
// with the next decision. While the limit of the fleet is reached, a job opens one if none of its own waits. It updates nextDue. The caller holds the lock.
func (t *Term) openDue(now time.Time) {
	t.nextDue = 0
	if len(t.scheduled) == 0 {
		return
	}
	wall := t.opts.WallClock().UnixMilli()
	queue := make(dueQueue, 0, len(t.scheduled))
	idle, idleTasks := 0, 0
	for j := range t.scheduled {
		due, ok := j.NextDue()
		if !ok {
			delete(t.scheduled, j)
			continue
		}
		j.ReleaseDone()
		own, tasks := j.Idle(), j.OccurrenceTasks()
		idle += own
		idleTasks += own * tasks
		if due > wall {
			t.noteDue(due)
			continue
		}
		adjustWindow(j, own)
		queue = append(queue, &dueJob{j, due, own, tasks})
	}
	heap.Init(&queue)
	limit := max(minIdleOccurrences, idlePerWorker*len(t.cluster.Workers))
	for len(queue) > 0 {
		d := queue[0]
		full := idle >= limit || idleTasks+d.tasks > limit*idleTasksPerOccurrence
		if d.idle >= d.job.OpenWindow || full && d.mustWait() || !d.job.OpenNext(wall, now) {
			heap.Pop(&queue)
			continue
		}
		d.idle++
		idle++
		idleTasks += d.tasks
		var ok bool
		if d.due, ok = d.job.NextDue(); !ok || d.due > wall {
			if ok {
				t.noteDue(d.due)
			}
			heap.Pop(&queue)
			continue
		}
		heap.Fix(&queue, 0)
	}
	t.idleOccurrences.Update(int64(idle))
}

// minOpenWindow and maxOpenWindow limit how many occurrences of one job with nothing running are open. The smallest window lets
// overlapping occurrences of an ordinary schedule wait for room together.
const (
	minOpenWindow = 8
	maxOpenWindow = 512
)

// adjustWindow doubles the job's window if all its open occurrences have started, and halves it otherwise.
func adjustWindow(j *jobstate.Job, idle int) {
	if idle == 0 {
		j.OpenWindow = min(max(minOpenWindow, 2*j.OpenWindow), maxOpenWindow)
		return
	}
	j.OpenWindow = max(minOpenWindow, j.OpenWindow/2)
}

// noteDue has the next decision made by the time, in Unix milliseconds.
func (t *Term) noteDue(due int64) {
	if t.nextDue == 0 || due < t.nextDue {
		t.nextDue = due
	}
}
