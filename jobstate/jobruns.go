package jobstate

import "slices"

// Runs returns the current runs of the job's tasks.
func (j *Job) Runs() []*Run {
	var runs []*Run
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				if t.Run != nil {
					runs = append(runs, t.Run)
				}
			}
		}
	}
	return runs
}

// HasPlannedRun reports whether a run waits for the job's record to be stored.
func (j *Job) HasPlannedRun() bool {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if s.Active > 0 && slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Run != nil && t.Run.Phase == Planned }) {
				return true
			}
		}
	}
	return false
}

// MayBeRunning reports whether a task of the job has a run on a worker that responds.
func (j *Job) MayBeRunning() bool {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if s.Active > 0 && slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Run != nil && !t.Run.Worker.Unresponsive }) {
				return true
			}
		}
	}
	return false
}

// Queue returns the name of the queue to which the job was submitted.
func (j *Job) Queue() string { return j.Submission.Queue.Name }
