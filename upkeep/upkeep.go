// Package upkeep takes machines down for their upkeep in waves that operators ask for: each
// machine in time, never more at once than allowed, idle machines first, and none while the
// long-running tasks on it may not be missed.
package upkeep

import (
	"context"
	"errors"
	"time"
)

// Wave is what the operators ask for.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // within which each machine is to have begun its upkeep
	Cap      int           // machines that may be down at once
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	Name   string
	Worker string // id of the worker that is its present life; may be empty
	Up     bool   // neither moving, nor in upkeep, nor down
}

// Order takes a machine down.
type Order struct {
	Machine string
	Wave    int64
	Holder  string // of the machine's fence: the instance that gives the order
	Token   uint64
}

// Definite answers of the cloud. After every other error the order may have been carried out.
var (
	ErrFenced         = errors.New("cloud has seen a higher fencing token for the machine")
	ErrBusy           = errors.New("machine is not up or is leaving")
	ErrNotInWave      = errors.New("machine does not belong to the wave")
	ErrUnknownMachine = errors.New("no such machine")
	ErrRefused        = errors.New("cloud did nothing")
)

// Cloud runs the machines.
type Cloud interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep returns nil also if the machine has had the upkeep of the wave. Everything that
	// ran on the machine has ended then.
	Upkeep(ctx context.Context, o Order) error
}

// Load is what a worker runs, as far as taking its machine down is concerned.
type Load struct {
	Idle               bool    // nothing runs there
	Blocked            bool    // a long-running task there may not be missed now
	UnsavedCoreSeconds float64 // core-seconds that a stop would throw away
	Draining           bool
}

// Workers is the owner of the jobs.
type Workers interface {
	Load(worker string) Load
	// Reserve sets whether the worker gets no new work, because its machine is next.
	Reserve(worker string, reserved bool)
	// StopRuns stops what runs on the worker.
	StopRuns(worker string)
	// WorkerEnded notes that the worker and everything on it have ended.
	WorkerEnded(worker string)
}
