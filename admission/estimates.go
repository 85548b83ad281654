package admission

import "time"

const (
	// minEnded is the number of ended runs from which on the declared estimates of a workspace are corrected.
	minEnded = 8
	// pastEnded is the share with which the runs before the newest one count. About the last 50 runs count.
	pastEnded = 0.98
	// maxCorrection limits the correction in both directions.
	maxCorrection = 20
)

// estimates compares the declared run times of a workspace with those of its runs that ended as done.
type estimates struct {
	declared, actual float64 // seconds
	ended            int
}

// Ended records the run time of a task that has run whole.
func (m *Monitor) Ended(name string, declared, actual time.Duration) {
	if declared <= 0 || actual < 0 {
		return
	}
	e := &m.workspace(name).estimates
	e.declared = pastEnded*e.declared + declared.Seconds()
	e.actual = pastEnded*e.actual + actual.Seconds()
	e.ended = min(e.ended+1, minEnded)
}

// Expected returns the expected run time of a task of the workspace with a declared estimate.
func (m *Monitor) Expected(name string, declared time.Duration) time.Duration {
	w := m.workspaces[name]
	if w == nil || w.estimates.ended < minEnded || w.estimates.declared <= 0 {
		return declared
	}
	factor := min(max(w.estimates.actual/w.estimates.declared, 1.0/maxCorrection), maxCorrection)
	return time.Duration(min(factor*declared.Seconds(), maxExpected.Seconds()) * float64(time.Second))
}

// maxExpected limits a corrected estimate.
const maxExpected = 365 * 24 * time.Hour
