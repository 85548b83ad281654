package workload

import (
	"encoding/json"
	"fmt"
)

// State is what callers see of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the job will not run again.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskRecord is the stored progress of a task that was started at least once.
type TaskRecord struct {
	Index       int    `json:"i"`
	LastRun     int    `json:"r"`           // highest run number that was ordered
	Failures    int    `json:"f,omitempty"` // runs that ended as failed
	Done        bool   `json:"d,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
	Worker      string `json:"w,omitempty"` // of the run that is not known to have ended
	Incarnation int64  `json:"l,omitempty"` // of that worker
	Address     string `json:"a,omitempty"` // of that worker; tells a later owner what has replaced it
	LeaseEnds   int64  `json:"u,omitempty"` // of a worker that does not answer, at the latest; Unix milliseconds
}

// StepRecord is the stored progress of a step.
type StepRecord struct {
	Failures   int          `json:"f,omitempty"`  // of a gang: failed runs
	FailedRun  int          `json:"fr,omitempty"` // of a gang: newest run counted in Failures
	Checkpoint string       `json:"c,omitempty"`  // of a gang
	Done       bool         `json:"d,omitempty"`  // the tasks are left out then
	Tasks      []TaskRecord `json:"t,omitempty"`
}

// OccurrenceRecord is the stored progress of one occurrence.
type OccurrenceRecord struct {
	Number int          `json:"k"`
	Done   bool         `json:"d,omitempty"` // the steps are left out then
	Steps  []StepRecord `json:"s,omitempty"`
}

// Record is the stored progress of a job. It is written before any order that it
// describes is sent, and before an end that it describes is acknowledged to a worker.
type Record struct {
	State       State              `json:"s"`
	EndedAt     int64              `json:"e,omitempty"` // Unix milliseconds
	Sequence    uint64             `json:"q"`           // rises with each write
	Owner       uint64             `json:"o"`           // fencing token of the writer
	Occurrences []OccurrenceRecord `json:"k,omitempty"`
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode job record: %w", err)
	}
	return raw, nil
}

// DecodeRecord parses the stored form.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	return &r, nil
}

// DecodeSubmission parses a stored submission.
func DecodeSubmission(raw []byte) (*Submission, error) {
	var s Submission
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("decode submission: %w", err)
	}
	return &s, s.Check()
}
