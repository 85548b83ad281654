package jobstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Cluster is the state of a domain.
type Cluster struct {
	Jobs            map[string]*Job
	Workers         map[string]*Worker
	Evacuated       map[string]bool // data centres
	WorkerListStale bool            // the list of workers is too old to give work to any

	byID []*Worker // nil after a change of Workers
}

// New returns an empty cluster.
func New() *Cluster {
	return &Cluster{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Evacuated: map[string]bool{}}
}

// SortedWorkers returns the workers in the order of their ids. The caller must not change the slice.
func (c *Cluster) SortedWorkers() []*Worker {
	if c.byID == nil {
		c.byID = slices.Collect(maps.Values(c.Workers))
		slices.SortFunc(c.byID, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.byID
}

// Accepts reports whether new work may go to the worker.
func (c *Cluster) Accepts(w *Worker, now time.Time) bool {
	return !c.WorkerListStale && w.Listed && w.Answered && !w.Draining && !w.UpkeepPending && !w.UnresponsiveStored && !c.Evacuated[w.Zone] && !now.Before(w.AvoidUntil)
}

// MayBeLeaving reports whether the worker must get no more work because it leaves, or may have said so.
func (c *Cluster) MayBeLeaving(w *Worker) bool {
	return c.WorkerListStale || !w.Listed || w.Draining || c.Evacuated[w.Zone]
}

// AddJob adds an accepted job. It returns the known job if the id is known.
func (c *Cluster) AddJob(s *workload.Submission, now time.Time) *Job {
	if known := c.Jobs[s.ID]; known != nil {
		return known
	}
	j := &Job{Submission: s, Route: s.Queue, State: workload.Queued, StoredState: workload.Queued, ArrivedAt: now}
	c.Jobs[s.ID] = j
	return j
}
