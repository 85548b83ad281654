// Package remote holds the interfaces of the platform's services: the key-value
// store, the list of instances and the workers, with clients over HTTP/JSON.
package remote

import (
	"context"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// KV is one entry of the store. Revision is the store revision of its last write.
// Created is the store revision of its creation.
type KV struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// LeaseID names a lease of the store.
type LeaseID uint64

// Store is the platform's key-value service. Errors are *StoreError or context errors.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns up to limit entries with the prefix and a key above after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]KV, error)
	// CompareAndSwap writes value if the entry's revision is expect; 0 expects no entry.
	// It returns the new revision, or ErrConflict. A lease other than 0 deletes the
	// entry when the lease ends. Any other error leaves the outcome unknown, unless
	// NotSent reports true for it.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the entry if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch returns the entries with the prefix that changed after the revision and the
	// store's revision. It waits up to wait for a change; an empty answer is sent no
	// earlier than wait after the call arrived. A deleted entry has a nil Value.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KV, uint64, error)
	// GrantLease returns a new lease that ends ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews the lease, or returns ErrLeaseEnded.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its entries.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]structs.Instance, error)
	Workers(ctx context.Context) ([]structs.Worker, error)
}

// Worker is the control interface of one worker. A call whose token is below the
// highest that the worker has seen for its data centre gets ErrStaleToken.
type Worker interface {
	// Reserve holds resources for one task until the TTL ends. It is idempotent by
	// reservation id.
	Reserve(ctx context.Context, r ReserveRequest) error
	// Start starts the task of a reservation under a lease. The worker refuses it when
	// the reservation has expired.
	Start(ctx context.Context, r StartRequest) error
	// Renew renews the leases of the named tasks in one call.
	Renew(ctx context.Context, r RenewRequest) (RenewReply, error)
	// Release drops a reservation that has not been started.
	Release(ctx context.Context, r TaskRequest) error
	// Checkpoint asks the task to save its state; Status reports when it is done.
	Checkpoint(ctx context.Context, r TaskRequest) error
	// Throttle limits the task to a percentage of its processors.
	Throttle(ctx context.Context, r ThrottleRequest) error
	// Stop ends the task. It is idempotent.
	Stop(ctx context.Context, r TaskRequest) error
	// Status returns tasks, reservations and lagging usage. It registers the token.
	Status(ctx context.Context, token uint64) (WorkerStatus, error)
}

// TaskID names one task of one attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Task    int    `json:"task"`
}

// ReserveRequest asks for room for one task.
type ReserveRequest struct {
	Token     uint64            `json:"token"`
	Task      TaskID            `json:"task"`
	Resources structs.Resources `json:"resources"`
	TTLMillis int64             `json:"ttl_ms"`
}

// StartRequest starts a reserved task. LeaseMillis is the lease's length.
type StartRequest struct {
	Token       uint64 `json:"token"`
	Task        TaskID `json:"task"`
	LeaseMillis int64  `json:"lease_ms"`
	Resume      bool   `json:"resume"` // continue from the last checkpoint
	Payload     []byte `json:"payload"`
}

// RenewRequest renews leases in one call per worker.
type RenewRequest struct {
	Token       uint64   `json:"token"`
	Tasks       []TaskID `json:"tasks"`
	LeaseMillis int64    `json:"lease_ms"`
}

// RenewReply names the tasks that the worker does not run any more, with their results,
// and whether the worker is leaving.
type RenewReply struct {
	Ended   []TaskStatus `json:"ended"`
	Leaving bool         `json:"leaving"`
}

// TaskRequest names a task under a token.
type TaskRequest struct {
	Token uint64 `json:"token"`
	Task  TaskID `json:"task"`
}

// ThrottleRequest limits a task.
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
	TaskCheckpointed TaskState = "checkpointed" // still running, its state is saved
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskUnknown      TaskState = "unknown" // the worker has no record of the task
)

// TaskStatus is what a worker says of one task.
type TaskStatus struct {
	Task      TaskID            `json:"task"`
	State     TaskState         `json:"state"`
	Resources structs.Resources `json:"resources"`
	Answer    []byte            `json:"answer,omitempty"`
	Message   string            `json:"message,omitempty"`
}

// WorkerStatus is a worker's whole state. Ended tasks stay listed for ten minutes.
type WorkerStatus struct {
	Worker  string            `json:"worker"`
	Leaving bool              `json:"leaving"`
	Token   uint64            `json:"token"` // highest token seen
	Tasks   []TaskStatus      `json:"tasks"`
	Usage   structs.Resources `json:"usage"` // lags
	// SlotsUsed counts running short requests.
	SlotsUsed int `json:"slots_used"`
}

// Upstream runs short requests on a worker.
type Upstream interface {
	// Run sends one attempt. The error tells by its kind whether the attempt may have
	// reached the worker.
	Run(ctx context.Context, address string, r RunRequest) (RunReply, error)
}

// RunRequest is one attempt of a short request.
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

// RunReply is a verified answer to one attempt.
type RunReply struct {
	Body []byte
}
