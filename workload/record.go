package workload

import (
	"encoding/json"
	"fmt"
)

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskRecord is the stored progress of a task that was started at least once.
type TaskRecord struct {
	Index       int    `json:"i"`
	LastRun     int    `json:"r"`           // highest run number used
	Failures    int    `json:"f,omitempty"` // runs that ended as failed
	Done        bool   `json:"d,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
	Worker      string `json:"w,omitempty"` // of the last run, until its end is known
	Incarnation int64  `json:"l,omitempty"` // of that worker
	Address     string `json:"a,omitempty"` // of that worker; lets a later owner detect that another worker replaced it
	LeaseEnds   int64  `json:"u,omitempty"` // latest end of the lease of an unresponsive worker, Unix milliseconds

	LeaseClock *ClockReading `json:"uc,omitempty"` // latest end of that lease, on the clock of another worker
}

// ClockReading is a time on the clock of an incarnation of a worker.
type ClockReading struct {
	Worker      string `json:"w"`
	Incarnation int64  `json:"l"`
	Clock       int64  `json:"c"` // milliseconds
}

// StepRecord is the stored progress of a step.
type StepRecord struct {
	Failures   int          `json:"f,omitempty"`  // failed runs of a gang
	FailedRun  int          `json:"fr,omitempty"` // newest run of a gang counted in Failures
	Checkpoint string       `json:"c,omitempty"`  // of a gang
	Done       bool         `json:"d,omitempty"`  // Tasks is empty then
	Tasks      []TaskRecord `json:"t,omitempty"`
}

// OccurrenceRecord is the stored progress of one occurrence.
type OccurrenceRecord struct {
	Number int  `json:"k"`
	Done   bool `json:"d,omitempty"` // Steps is empty then
	// Overdue is whether it was of no use in time any more when it was opened.
	Overdue bool         `json:"o,omitempty"`
	Steps   []StepRecord `json:"s,omitempty"`
}

// Record is the stored progress of a job. It is written before a request that it describes is sent
// to a worker, and before the end of a run that it describes is acknowledged to the worker.
type Record struct {
	State       State              `json:"s"`
	EndedAt     int64              `json:"e,omitempty"`  // Unix milliseconds
	Sequence    uint64             `json:"q"`            // increases with each write
	Owner       uint64             `json:"o"`            // fencing token of the writer
	Finished    Ranges             `json:"kd,omitempty"` // numbers of the occurrences that are done, unless Occurrences has them
	Occurrences []OccurrenceRecord `json:"k,omitempty"`
}

// Encode returns the record as JSON for the store.
func (r *Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode job record: %w", err)
	}
	return raw, nil
}

// DecodeRecord parses a record from the store.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	return &r, nil
}

// DecodeSubmission parses and checks a submission from the store.
func DecodeSubmission(raw []byte) (*Submission, error) {
	var s Submission
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("decode submission: %w", err)
	}
	return &s, s.Check()
}
