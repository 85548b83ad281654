package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// maxDecisions is how many decisions are kept per job.
const maxDecisions = 64

// jobStatus is the status of a job at its owner.
type jobStatus string

const (
	jobQueued       jobStatus = "queued"
	jobParked       jobStatus = "parked" // waits outside the policy's queue, see park
	jobStarting     jobStatus = "starting"
	jobRunning      jobStatus = "running"
	jobStopping     jobStatus = "stopping"
	jobTransferring jobStatus = "transferring"
	jobEnded        jobStatus = "ended"
	jobGone         jobStatus = "gone" // belongs to another owner
)

// partState is the known state of one task of the current attempt.
type partState int

const (
	partUnknown    partState = iota // its worker has not answered
	partRunning                     // runs, or is being started
	partSucceeded                   // ended by itself
	partFailed                      // ended by itself
	partLost                        // ran and no longer runs; its result is unknown
	partNotStarted                  // its worker has reported that it never ran
)

// part is one task of the current attempt.
type part struct {
	structs.Placement
	state  partState
	answer []byte
	// reserved is set while the worker holds or may hold a reservation.
	reserved bool
	// The lease of the task expires between earliestExpiry and latestExpiry. The first counts from
	// the sending of the start or of the last answered renewal, the second from the return of the
	// last of these calls, which may have taken effect without an answer. For an adopted task, both
	// start at inDoubtTimeout after the adoption.
	earliestExpiry, latestExpiry time.Time
}

// Decision is one entry of a job's decision record.
type Decision struct {
	At     time.Time      `json:"at"`
	Kind   string         `json:"kind"`
	Reason string         `json:"reason"`
	Detail string         `json:"detail,omitempty"`
	Action structs.Action `json:"action"`
}

// job is a job that this owner controls. Only the event loop accesses it.
type job struct {
	rec     structs.JobRecord // newest state, which may not be in the store yet
	rev     uint64            // revision at which rec was read from the store
	status  jobStatus
	parts   []part
	adopted bool // the attempt was started by an earlier owner and is not confirmed yet

	cancelStart       context.CancelFunc // starting: cancels the start
	supersedingRecord *remote.KV         // starting: a late record written by an earlier owner
	renewalStopped    bool               // stopping: leases are no longer renewed
	parkedUntil       time.Time
	parkedForStore    bool          // parked until the store answers too
	progress          time.Duration // saved by checkpoints
	startRetries      int
	failures          []failure // that count against the job
	failedAttempts    int       // failed attempts in total
	startedAt         time.Time
	endedAt           time.Time
	done              chan struct{}      // closed when the job's end is reported or another owner has it
	lastReported      *structs.JobRecord // ended, but not reported yet: the record that callers still get
	decisions         []Decision
}

// failure is one failed attempt and the worker it failed on.
type failure struct {
	worker string
	at     time.Time
}

func newJob(rec structs.JobRecord, rev uint64) *job {
	return &job{rec: rec, rev: rev, done: make(chan struct{})}
}

func (j *job) id() string { return j.rec.Job.ID }

// live reports whether the job has not ended and still belongs to this owner.
func (j *job) live() bool { return j.status != jobEnded && j.status != jobGone }

func (j *job) taskID(task int) remote.TaskID {
	return remote.TaskID{Job: j.id(), Attempt: j.rec.Attempt, Task: task}
}

// partOf returns the part for a task that a worker reports, or nil if the task does not belong to
// the current attempt on that worker.
func (j *job) partOf(worker string, id remote.TaskID) *part {
	if id.Attempt != j.rec.Attempt {
		return nil
	}
	for i := range j.parts {
		if j.parts[i].Task == id.Task && j.parts[i].Worker == worker {
			return &j.parts[i]
		}
	}
	return nil
}

// count returns the number of parts in any of the given states.
func (j *job) count(states ...partState) int {
	n := 0
	for i := range j.parts {
		if slices.Contains(states, j.parts[i].state) {
			n++
		}
	}
	return n
}

func (j *job) addDecision(d Decision) {
	if n := len(j.decisions); n > 0 && j.decisions[n-1].Kind == d.Kind && j.decisions[n-1].Reason == d.Reason && d.Kind == string(structs.ActionReserve) {
		return // the policy repeats a reservation in every plan
	}
	if len(j.decisions) == maxDecisions {
		j.decisions = slices.Delete(j.decisions, 0, 1)
	}
	j.decisions = append(j.decisions, d)
}

func recordKey(id string) string { return "job/" + id }

func decodeRecord(kv remote.KV) (structs.JobRecord, error) {
	var rec structs.JobRecord
	err := json.Unmarshal(kv.Value, &rec)
	return rec, err
}
