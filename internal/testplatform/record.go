package testplatform

import "github.com/cyclamenyard/cyclamenyard/workload"

// RecordedWorker returns the worker on which the job record under the key shows a run of the task, or "".
func (s *Store) RecordedWorker(recordKey string, task workload.TaskName) string {
	raw, ok := s.Value(recordKey)
	if !ok {
		return ""
	}
	record, err := workload.DecodeRecord(raw)
	if err != nil {
		panic(err)
	}
	for _, o := range record.Occurrences {
		if o.Number != task.Occurrence || task.Step >= len(o.Steps) {
			continue
		}
		for _, t := range o.Steps[task.Step].Tasks {
			if t.Index == task.Index {
				return t.Worker
			}
		}
	}
	return ""
}
