package admission

import (
	"math"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	minRetryAfter = time.Second
	// maxRetryAfter limits a Retry-After. The backlog may drain faster than its estimates say.
	maxRetryAfter = 10 * time.Minute
	// acceptedSince is the time that the jobs take which were accepted since the assessment and are not part of it.
	acceptedSince = time.Second
)

// Overloads of one workspace, in ascending order of their priority.
type Overloads []Overload

// find returns the one that holds for the priority: the least urgent one that is not less urgent than it.
func (l Overloads) find(priority int) (o Overload, ok bool) {
	for _, candidate := range l {
		if candidate.Priority <= priority {
			o, ok = candidate, true
		}
	}
	return o, ok
}

// Owes reports whether the workspace is overloaded for the priority and is still owed jobs, at the given age of the
// overloads.
func (l Overloads) Owes(priority int, age time.Duration) bool {
	o, ok := l.find(priority)
	return ok && age >= o.RefuseFor
}

// Refusal reports whether the job is surely too late to be of use, and must be refused, at the given age of the
// overloads. retryAfter is in whole seconds, and not before a new job can be in time. random is from 0 to 1; it spreads
// the returns of the callers over as long again, because a backlog would form anew if they all returned at once.
func (l Overloads) Refusal(job *workload.Submission, age time.Duration, random float64) (retryAfter time.Duration, refuse bool) {
	o, ok := l.find(job.Queue.Priority)
	if !ok || age >= o.RefuseFor {
		return 0, false
	}
	limit, known := job.UsefulFor(&job.Queue)
	excess := o.Wait - age - limit
	if !known || excess <= 0 {
		return 0, false
	}
	drain := (o.Wait - limit + acceptedSince).Seconds()
	seconds := math.Ceil(drain + random*drain)
	return min(max(time.Duration(seconds)*time.Second, minRetryAfter), maxRetryAfter), true
}
