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

// jobStatus is where the owner is with a job.
type jobStatus string

const (
	jobQueued   jobStatus = "queued"
	jobParked   jobStatus = "parked" // waits outside the policy's queue, see park
	jobStarting jobStatus = "starting"
	jobRunning  jobStatus = "running"
	jobStopping jobStatus = "stopping"
	jobLeaving  jobStatus = "transferring"
	jobEnded    jobStatus = "ended"
	jobGone     jobStatus = "gone" // belongs to another owner
)

// partState is what is known of one task of the current attempt.
type partState int

const (
	partUnknown    partState = iota // its worker has not answered
	partRunning                     // runs, or is being started
	partSucceeded                   // ended by itself
	partFailed                      // ended by itself
	partGone                        // ran and runs no more
	partNotStarted                  // its worker shows that it never ran
)

// part is one task of the current attempt.
type part struct {
	structs.Placement
	state  partState
	answer []byte
	// reserved is set while the worker holds, or may hold, a reservation.
	reserved bool
	// leaseMin is until when the task surely has its lease; leaseMax is when the lease
	// has surely run out.
	leaseMin, leaseMax time.Time
}

// Decision is one entry of a job's decision record.
type Decision struct {
	At     time.Time      `json:"at"`
	Kind   string         `json:"kind"`
	Reason string         `json:"reason"`
	Detail string         `json:"detail,omitempty"`
	Action structs.Action `json:"action"`
}

// job is a job under this owner's control. Only the applier touches it.
type job struct {
	rec     structs.JobRecord // newest state, which the store may not have yet
	rev     uint64            // when rec was read from the store: its revision
	status  jobStatus
	parts   []part
	adopted bool // the attempt was started by an earlier owner and is not settled yet

	cancelStart  context.CancelFunc // starting: gives the start up
	overtakenBy  *remote.KV         // starting: a late record of an earlier owner
	noRenew      bool               // stopping: leases may run out
	parkedUntil  time.Time
	parkedStore  bool          // parked until the store answers
	progress     time.Duration // saved by checkpoints
	startRetries int
	failures     []failure // that count against the job
	failed       int       // failed attempts in all
	startedAt    time.Time
	endedAt      time.Time
	done         chan struct{}      // closed when the job's end is reported, or it is gone
	before       *structs.JobRecord // ended, not reported yet: what callers see instead
	decisions    []Decision
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

// live reports whether the job has neither ended nor left this owner.
func (j *job) live() bool { return j.status != jobEnded && j.status != jobGone }

func (j *job) taskID(task int) remote.TaskID {
	return remote.TaskID{Job: j.id(), Attempt: j.rec.Attempt, Task: task}
}

// partOf returns the part that a worker reports on, or nil when the task does not belong
// to the current attempt on that worker.
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

// count returns how many parts are in one of the states.
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
