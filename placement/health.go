package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// failureAvoidance is how long a worker gets no work after a run failed there. It doubles with each
	// failure that follows such a time, up to maxFailureAvoidance.
	failureAvoidance    = 2 * time.Second
	maxFailureAvoidance = 16 * time.Second
	// probation is how long after a time without work, for a failure or a straggler, a worker gets neither
	// urgent work nor gangs. A run that ends as done there ends the probation early.
	probation = 6 * time.Second
)

// RecordEnd updates the failure count of the run's worker after the run has ended. It returns how long
// the worker gets no work, or 0. Even a single failure has this effect: it says little about the task,
// and most failures occur on workers that fail everything they start.
func RecordEnd(run *jobstate.Run, outcome jobstate.End, now time.Time) time.Duration {
	w := run.Worker
	switch outcome {
	case jobstate.EndDone:
		if run.PlannedAt.After(w.AvoidUntil) || run.OnAvoided { // an earlier run says nothing about new ones
			w.FailStreak, w.StragglerStreak = 0, 0
		}
	case jobstate.EndFailed:
		if now.Before(w.AvoidUntil) && w.FailStreak > 0 && !run.OnAvoided {
			return 0 // the run started before AvoidUntil was set
		}
		avoidance := min(failureAvoidance<<min(w.FailStreak, 8), maxFailureAvoidance)
		w.FailStreak++
		w.AvoidUntil = maxTime(w.AvoidUntil, now.Add(avoidance))
		return avoidance
	}
	return 0
}

// onProbation reports whether a run failed or was a straggler on the worker recently and none has ended
// as done there since.
func onProbation(w *jobstate.Worker, now time.Time) bool {
	return (w.FailStreak > 0 || w.StragglerStreak > 0) && now.Before(w.AvoidUntil.Add(probation))
}
