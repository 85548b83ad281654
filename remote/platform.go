// Package remote defines the interfaces of the platform's services, which are the key-value store, the
// list of instances and the workers, and implements clients for them over HTTP/JSON.
package remote

import (
	"context"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// KV is an entry of the store. Revision and Created are the store revisions at which the entry was
// last written and created.
type KV struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// LeaseID identifies a lease of the store.
type LeaseID uint64

// Store is the platform's key-value store.
type Store interface {
	// Get returns the entry of the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns up to limit entries with the prefix whose keys are greater than after, in key
	// order.
	List(ctx context.Context, prefix, after string, limit int) ([]KV, error)
	// CompareAndSwap writes value if the entry's revision is expect; 0 expects that there is no
	// entry. It returns the new revision, or ErrConflict. An entry with a lease other than 0 is
	// deleted when the lease ends. After any other error the outcome is unknown, unless
	// NotExecuted returns true for the error.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the entry if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch returns the entries with the prefix that changed after the given revision, and the
	// store's current revision. If there is none, it waits for one for the time wait, measured
	// from the arrival of the call, and then returns no entries. An answer without entries is never
	// sent earlier: it shows that nothing had changed by then. A deleted entry has a nil Value.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KV, uint64, error)
	// GrantLease returns a new lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews the lease, or returns ErrLeaseEnded.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its entries.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// InstanceList is the platform's list of live and leaving instances and workers. It lags behind the
// actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]structs.Instance, error)
	Workers(ctx context.Context) ([]structs.Worker, error)
}

// Worker is the control interface of a worker. A call whose fencing token is lower than the highest
// one that the worker has received for its data centre returns ErrStaleToken.
type Worker interface {
	// Reserve reserves resources for a task until the TTL expires. It is idempotent by task.
	Reserve(ctx context.Context, r ReserveRequest) error
	// Start starts a reserved task under a lease. The worker refuses it if the reservation has
	// expired.
	Start(ctx context.Context, r StartRequest) error
	// Renew renews the leases of the given tasks.
	Renew(ctx context.Context, r RenewRequest) (RenewReply, error)
	// Release cancels the reservation of a task that has not been started.
	Release(ctx context.Context, r TaskRequest) error
	// Checkpoint asks the task to save its state. Status reports TaskCheckpointed when it has.
	Checkpoint(ctx context.Context, r TaskRequest) error
	// Throttle limits the task to a percentage of its CPU time.
	Throttle(ctx context.Context, r ThrottleRequest) error
	// Stop ends the task. It is idempotent.
	Stop(ctx context.Context, r TaskRequest) error
	// Status returns the worker's tasks, reservations and recent usage. The worker records the
	// token as with every other call.
	Status(ctx context.Context, token uint64) (WorkerStatus, error)
}

// TaskID identifies a task of an attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Task    int    `json:"task"`
}

// ReserveRequest reserves resources for a task.
type ReserveRequest struct {
	Token     uint64            `json:"token"`
	Task      TaskID            `json:"task"`
	Resources structs.Resources `json:"resources"`
	TTLMillis int64             `json:"ttl_ms"`
}

// StartRequest starts a reserved task. LeaseMillis is the duration of its lease.
type StartRequest struct {
	Token       uint64 `json:"token"`
	Task        TaskID `json:"task"`
	LeaseMillis int64  `json:"lease_ms"`
	Resume      bool   `json:"resume"` // continue from the last checkpoint
	Payload     []byte `json:"payload"`
}

// RenewRequest renews the leases of tasks on a worker.
type RenewRequest struct {
	Token       uint64   `json:"token"`
	Tasks       []TaskID `json:"tasks"`
	LeaseMillis int64    `json:"lease_ms"`
}

// RenewReply contains the requested tasks that no longer run on the worker, with their results, and
// reports whether the worker is leaving.
type RenewReply struct {
	Ended   []TaskStatus `json:"ended"`
	Leaving bool         `json:"leaving"`
}

// TaskRequest identifies a task, for calls without further parameters.
type TaskRequest struct {
	Token uint64 `json:"token"`
	Task  TaskID `json:"task"`
}

// ThrottleRequest limits the CPU time of a task.
type ThrottleRequest struct {
	Token   uint64 `json:"token"`
	Task    TaskID `json:"task"`
	Percent int    `json:"percent"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task on its worker.
const (
	TaskReserved     TaskState = "reserved"
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed" // still running; its state has been saved
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskUnknown      TaskState = "unknown" // the worker has no record of the task
)

// TaskStatus is the status of a task as its worker reports it.
type TaskStatus struct {
	Task      TaskID            `json:"task"`
	State     TaskState         `json:"state"`
	Resources structs.Resources `json:"resources"`
	Answer    []byte            `json:"answer,omitempty"`
	Message   string            `json:"message,omitempty"`
}

// WorkerStatus is the status of a worker. It includes ended tasks for ten minutes.
type WorkerStatus struct {
	Worker  string            `json:"worker"`
	Leaving bool              `json:"leaving"`
	Token   uint64            `json:"token"` // highest fencing token received
	Tasks   []TaskStatus      `json:"tasks"`
	Usage   structs.Resources `json:"usage"` // lags behind the actual usage
	// SlotsUsed is the number of short requests that are running.
	SlotsUsed int `json:"slots_used"`
}

// Upstream runs short requests on a worker.
type Upstream interface {
	// Run sends an attempt. The kind of the error shows whether the attempt may have reached the
	// worker.
	Run(ctx context.Context, address string, r RunRequest) (RunReply, error)
}

// RunRequest is an attempt of a short request.
type RunRequest struct {
	AttemptID  string
	RequestID  string
	Token      uint64
	GrantID    string
	Service    string
	Workspace  string
	Idempotent bool
	Body       []byte
	MaxAnswer  int64 // bytes
}

// RunReply is the verified response to an attempt.
type RunReply struct {
	Body []byte
}
