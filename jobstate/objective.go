package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// TooLate is the lateness of a step that could no longer end while its end is of use.
const TooLate = 2

// overduePriority is lower than that of any route.
const overduePriority = 1 << 20

// Priority returns the priority of the occurrence, 0 being the highest: that of its job's route, or the lowest if it is overdue.
// A schedule that lies in the past has many such occurrences, for which no other work waits or is stopped.
func (o *Occurrence) Priority() int {
	if o.Overdue {
		return overduePriority
	}
	return o.Job.Route.Priority
}

// isOverdue reports whether occurrence k, which has been due for late, could no longer end while its end is of use. The
// first one of a job counts from the job's acceptance.
func (j *Job) isOverdue(k int, late time.Duration) bool {
	if k == 0 || late == 0 {
		return false
	}
	path, _ := j.Submission.CriticalPath() // 0 if it is not known
	return late > workload.LateFactor*j.Route.Objective(path)
}

// Objective returns the deadline of a step of the occurrence that became ready at readyAt, and its lateness if it started now:
// 0 if it can meet the deadline, 1 if it is late but still of some use, or TooLate. An occurrence that was opened after it was
// due is as late as if it had been opened then.
func (o *Occurrence) Objective(readyAt time.Time, runTime time.Duration, now time.Time) (deadline time.Time, lateness int) {
	readyAt = readyAt.Add(-o.Late)
	length := o.Job.Route.Objective(runTime)
	deadline = readyAt.Add(length)
	end := now.Add(runTime)
	switch {
	case !end.After(deadline):
		return deadline, 0
	case !end.After(readyAt.Add(workload.LateFactor * length)):
		return deadline, 1
	}
	return deadline, TooLate
}
