package structs

import "time"

// Job is one gang job or a single task, as a caller submitted it.
type Job struct {
	ID         string        `json:"id"` // the caller's request id, unique in its workspace: "workspace/request-id"
	Workspace  string        `json:"workspace"`
	Service    string        `json:"service"`
	Class      Class         `json:"class"`
	Urgent     bool          `json:"urgent"`
	Shape      Shape         `json:"shape"`
	Idempotent bool          `json:"idempotent"` // safe to stop and run again from the start
	Checkpoint bool          `json:"checkpoint"` // can be checkpointed and resumed
	Declared   time.Duration `json:"declared"`   // declared run time
	Deadline   time.Time     `json:"deadline,omitzero"`
	Submitted  time.Time     `json:"submitted"`
	Grace      time.Duration `json:"grace"` // time a checkpoint may take
	Payload    []byte        `json:"payload,omitempty"`
}

// Reclaimable reports whether the job's room can be taken back without breaking
// the at-most-once rule.
func (j *Job) Reclaimable() bool {
	return j.Idempotent || j.Checkpoint
}

// JobPhase is the phase of a job's record in the store.
type JobPhase string

// The phases of a job record.
const (
	PhaseAccepted JobPhase = "accepted"
	PhaseStarting JobPhase = "starting" // intent to start, written before any reservation
	PhaseRunning  JobPhase = "running"
	PhaseEnded    JobPhase = "ended"
)

// JobOutcome tells how a job ended.
type JobOutcome string

// The outcomes of a job.
const (
	OutcomeSucceeded  JobOutcome = "succeeded"
	OutcomeFailed     JobOutcome = "failed"
	OutcomeCancelled  JobOutcome = "cancelled"
	OutcomeNotRun     JobOutcome = "not_run"
	OutcomeMayHaveRun JobOutcome = "may_have_run"
)

// JobRecord is what the store keeps of a job under the key "job/<id>".
type JobRecord struct {
	Job         Job         `json:"job"`
	DataCentre  string      `json:"data_centre"` // the data centre whose owner may place the job
	Phase       JobPhase    `json:"phase"`
	Attempt     int         `json:"attempt"` // counts starts from 1
	Token       uint64      `json:"token"`   // fencing token of the owner that wrote the record
	Placements  []Placement `json:"placements,omitempty"`
	Guaranteed  bool        `json:"guaranteed,omitempty"` // the attempt is charged to the workspace's guarantee
	Started     time.Time   `json:"started,omitzero"`     // of the running attempt
	Checkpoints int         `json:"checkpoints"`          // checkpoints taken so far
	Cancel      bool        `json:"cancel"`
	Outcome     JobOutcome  `json:"outcome,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	Answer      []byte      `json:"answer,omitempty"`
	Ended       time.Time   `json:"ended,omitzero"`
}

// Placement puts one task of a gang on a worker.
type Placement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
}
