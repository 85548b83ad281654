package placement

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// avoidPause is how long a worker gets no work after a run failed there; it doubles with each
	// failure after a pause.
	avoidPause = 2 * time.Second
	// maxAvoidPause bounds the pause.
	maxAvoidPause = 16 * time.Second
	// probation is how long after a pause, for a failure or a lag, a worker gets only work that is
	// neither urgent nor a gang, unless a run ends as done there.
	probation = 6 * time.Second
)

// RecordEnd keeps count of the failures on the run's worker, where the run has ended. It returns how
// long the worker gets no work after a failure: one tells little of the task, but most failures
// happen on workers that fail everything they start.
func RecordEnd(run *jobstate.Run, how jobstate.End, now time.Time) time.Duration {
	w := run.Worker
	switch how {
	case jobstate.EndDone:
		w.FailStreak, w.StragglerStreak = 0, 0
	case jobstate.EndFailed:
		if now.Before(w.AvoidUntil) && w.FailStreak > 0 {
			return 0 // of a run that began before the pause
		}
		pause := min(avoidPause<<min(w.FailStreak, 8), maxAvoidPause)
		w.FailStreak++
		w.AvoidUntil = maxTime(w.AvoidUntil, now.Add(pause))
		return pause
	}
	return 0
}

// onProbation reports whether a run failed or lagged on the worker lately and it has ended none as
// done since.
func onProbation(w *jobstate.Worker, now time.Time) bool {
	return (w.FailStreak > 0 || w.StragglerStreak > 0) && now.Before(w.AvoidUntil.Add(probation))
}
