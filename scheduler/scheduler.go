// Package scheduler holds the placement policies. A policy reads the state of one
// data centre and plans actions; it does no input or output and reads no clock.
package scheduler

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Policy plans the next actions for a data centre.
type Policy interface {
	// Decide returns a plan for the state at now. It does not change the state.
	Decide(d *state.DataCentre, now time.Time) structs.Plan
}
