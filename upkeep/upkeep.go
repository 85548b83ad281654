// Package upkeep takes machines down for maintenance in waves that operators request. Every
// machine should begin its upkeep within the duration of the wave. The number of machines that are
// down at once is limited, idle machines go first, and a machine stays up while one of its
// long-running tasks must not be interrupted.
package upkeep

import (
	"context"
	"errors"
	"time"
)

// Wave is an operator's request to take a set of machines down for upkeep.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // every machine should begin its upkeep within this time
	Cap      int           // maximum number of machines that are down at once
}

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	Name   string
	Worker string // id of the worker that currently runs on it; may be empty
	Up     bool   // not moving, in upkeep, or down
}

// Order is an order to take a machine down.
type Order struct {
	Machine string
	Wave    int64
	Holder  string // holder of the machine's fence: the instance that sends the order
	Token   uint64
}

// Errors by which the cloud reports that it has not carried out the order. After any other error,
// the order may have been carried out.
var (
	ErrStaleToken     = errors.New("cloud has seen a higher fencing token for the machine")
	ErrBusy           = errors.New("machine is not up or is leaving")
	ErrNotInWave      = errors.New("machine does not belong to the wave")
	ErrUnknownMachine = errors.New("no such machine")
	ErrRefused        = errors.New("cloud refused the order without effect")
)

// Cloud is the API of the service that runs the machines.
type Cloud interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down. It also returns nil if the machine has already been taken down
	// for the wave, and may be up again with a new worker. After nil, the worker that was on the machine
	// when an order of the wave was first sent has ended, with all its runs.
	Upkeep(ctx context.Context, o Order) error
}

// Load describes what a worker runs, for the decision whether to take its machine down.
type Load struct {
	Incarnation        int64   // of the worker; 0 if it is not known
	Idle               bool    // no runs on the worker
	Blocked            bool    // a long-running task on the worker must not be interrupted now
	UnsavedCoreSeconds float64 // work that a stop would lose
	Draining           bool
}

// WorkerIncarnation identifies one incarnation of a worker, which a restart ends.
type WorkerIncarnation struct {
	ID     string `json:"i"`
	Number int64  `json:"l,omitempty"` // increases with each restart; 0 if it was not known
}

// Workers gives access to the workers through the owner of the jobs.
type Workers interface {
	Load(worker string) Load
	// Reserve sets whether the worker gets no new work because its machine goes down next.
	Reserve(worker string, reserved bool)
	// StopRuns stops all runs on the worker.
	StopRuns(worker string)
	// WorkerEnded records that the incarnation of the worker and all its runs have ended. It has no effect on
	// later incarnations.
	WorkerEnded(worker WorkerIncarnation)
}
