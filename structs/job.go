package structs

import "time"

// Job is a gang or a single task as submitted by a caller.
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

// Reclaimable reports whether the job can be preempted without violating at-most-once execution: it
// can be run again from the start or resumed from a checkpoint.
func (j *Job) Reclaimable() bool {
	return j.Idempotent || j.Checkpoint
}

// JobPhase is the phase of a job's record in the store.
type JobPhase string

// The phases of a job record.
const (
	PhaseAccepted JobPhase = "accepted"
	PhaseStarting JobPhase = "starting" // start intent, written before any worker is asked to reserve
	PhaseRunning  JobPhase = "running"
	PhaseEnded    JobPhase = "ended"
)

// JobOutcome is the final result of a job.
type JobOutcome string

// The outcomes of a job.
const (
	OutcomeSucceeded  JobOutcome = "succeeded"
	OutcomeFailed     JobOutcome = "failed"
	OutcomeCancelled  JobOutcome = "cancelled"
	OutcomeNotRun     JobOutcome = "not_run"
	OutcomeMayHaveRun JobOutcome = "may_have_run"
)

// JobRecord is a job as stored under the key "job/<id>".
type JobRecord struct {
	Job         Job         `json:"job"`
	DataCentre  string      `json:"data_centre"` // the data centre whose owner may place the job
	Phase       JobPhase    `json:"phase"`
	Attempt     int         `json:"attempt"` // number of the latest start, from 1
	Token       uint64      `json:"token"`   // fencing token of the owner that wrote the record
	Placements  []Placement `json:"placements,omitempty"`
	Guaranteed  bool        `json:"guaranteed,omitempty"` // the attempt is charged to the workspace's guarantee
	Started     time.Time   `json:"started,omitzero"`     // start of the running attempt
	Checkpoints int         `json:"checkpoints"`          // number of checkpoints taken
	Cancel      bool        `json:"cancel"`               // cancellation was requested
	Outcome     JobOutcome  `json:"outcome,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	Answer      []byte      `json:"answer,omitempty"`
	Ended       time.Time   `json:"ended,omitzero"`
}

// Placement assigns one task of a gang to a worker.
type Placement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
}
