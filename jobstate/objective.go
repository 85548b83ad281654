package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// TooLate is the lateness of a step that could no longer end while its end is of use.
const TooLate = 2

// Objective returns the deadline of a step of the job that became ready at readyAt, and its lateness if it started now:
// 0 if it can meet the deadline, 1 if it is late but still of some use, or TooLate.
func (j *Job) Objective(readyAt time.Time, runTime time.Duration, now time.Time) (deadline time.Time, lateness int) {
	length := j.Route.Objective(runTime)
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
