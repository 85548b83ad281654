package jobstate

const (
	// maxRecordBytes is the size that a job's record is planned for. The store takes values of up to 1 MiB.
	maxRecordBytes = 750_000
	// startBytes is what a started task adds to the record of its job, and occurrenceBytes what its occurrence adds.
	startBytes      = 130
	occurrenceBytes = 50
)

// StartRoom returns how many more tasks of the job may be planned before its record is stored again, so that the store
// accepts it.
func (j *Job) StartRoom() int {
	size := startBytes
	if j.Submission.OccurrenceCount() > 1 {
		size += occurrenceBytes
	}
	return max(0, (maxRecordBytes-j.RecordBytes)/size-j.unrecordedStarts)
}

// Recorded sets the size of the newest record, which has all planned runs.
func (j *Job) Recorded(bytes int) {
	j.RecordBytes, j.unrecordedStarts = bytes, 0
}
