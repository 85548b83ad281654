// Package scheduler implements the placement policies. A policy reads the state of one data centre and
// plans actions. It performs no I/O and reads no clock, so equal inputs give equal plans.
package scheduler

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Policy plans the next actions of a data centre.
type Policy interface {
	// Decide returns a plan for the state at time now. It does not modify the state.
	Decide(d *state.DataCentre, now time.Time) structs.Plan
}
