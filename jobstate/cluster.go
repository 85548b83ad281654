package jobstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Cluster is the state of the jobs and workers of a domain.
type Cluster struct {
	Jobs            map[string]*Job
	Workers         map[string]*Worker
	Evacuated       map[string]bool // by data centre
	WorkerListStale bool            // the list of workers is too old to start work on any of them

	incarnations map[string]uint64 // number of incarnations that have been added, by worker id

	sorted []*Worker // cache of SortedWorkers; nil after a change of Workers
}

func New() *Cluster {
	return &Cluster{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Evacuated: map[string]bool{}, incarnations: map[string]uint64{}}
}

// SortedWorkers returns the workers ordered by id. The caller must not change the slice.
func (c *Cluster) SortedWorkers() []*Worker {
	if c.sorted == nil {
		c.sorted = slices.Collect(maps.Values(c.Workers))
		slices.SortFunc(c.sorted, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sorted
}

// Available reports whether the worker may be given new work, if need be although it is avoided.
func (c *Cluster) Available(w *Worker, now time.Time) bool {
	excluded := c.Exclusion(w, now)
	return !c.WorkerListStale && (excluded == NotExcluded || excluded == ExcludeAvoided)
}

// Accepts reports whether the worker is available and not avoided.
func (c *Cluster) Accepts(w *Worker, now time.Time) bool {
	return !c.WorkerListStale && c.Exclusion(w, now) == NotExcluded
}

// MayBeLeaving reports whether the worker must get no new work because it leaves or may have announced
// that it leaves.
func (c *Cluster) MayBeLeaving(w *Worker) bool {
	return c.WorkerListStale || !w.Listed || w.Draining || c.Evacuated[w.DataCentre]
}

// AddJob adds an accepted job and returns it. If there is a job with the id, it returns that one.
func (c *Cluster) AddJob(s *workload.Submission, now time.Time) *Job {
	if known := c.Jobs[s.ID]; known != nil {
		return known
	}
	j := &Job{Submission: s, Route: s.Queue, State: workload.Queued, StoredState: workload.Queued, ArrivedAt: now}
	c.Jobs[s.ID] = j
	return j
}

// DiscardJob removes a job whose addition failed, with the runs that were restored for it.
func (c *Cluster) DiscardJob(j *Job) {
	for _, r := range j.Runs() {
		c.release(r)
	}
	delete(c.Jobs, j.Submission.ID)
}
