// Package state holds the state of one data centre: its workers, jobs, grants and
// guarantees. Apply is the only way to change it and is deterministic; a DataCentre is
// not safe for concurrent use.
package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// JobStatus is the scheduling status of a job at its owner.
type JobStatus string

// The values of JobStatus.
const (
	Queued     JobStatus = "queued"
	Starting   JobStatus = "starting"
	Running    JobStatus = "running"
	Preempting JobStatus = "preempting" // a checkpoint or stop is in progress
	Ended      JobStatus = "ended"
)

// Job is a job with its scheduling state at the owner.
type Job struct {
	structs.Job
	Status     JobStatus
	Attempt    int // number of the latest start, from 1
	Placements []structs.Placement
	Guaranteed bool // the running attempt is charged to the workspace's guarantee
	QueuedAt   time.Time
	StartedAt  time.Time
	// Progress is the run time saved by checkpoints.
	Progress time.Duration
	// CheckpointAt is the time of the attempt's latest checkpoint, or StartedAt if there is none.
	CheckpointAt time.Time
	StopBy       time.Time // preempting: end of the grace period
	PreemptedFor string    // preempting: the job that needs the resources
	Preemptions  int
	// NoPreemptBefore keeps a job that was preempted from being preempted again right after
	// its next start.
	NoPreemptBefore time.Time
	Cancelled       bool
	Failures        int // attempts that failed on their workers
}

// WorkerTasks is the number of tasks of one job on a worker.
type WorkerTasks struct {
	Job   string
	Tasks int
}

// Hold blocks resources of a worker until a given time, for example until the lease of a task that
// did not stop when asked has expired.
type Hold struct {
	Resources structs.Resources
	Until     time.Time
}

// Worker is a worker with its allocations, as recorded by the owner of its data centre.
type Worker struct {
	structs.Worker
	Free      structs.Resources // capacity minus tasks, grants and holds
	Unhealthy bool              // gets no new work
	Tasks     []WorkerTasks     // ordered by job
	Holds     []Hold
}

// Usable reports whether new work may be placed on the worker.
func (w *Worker) Usable() bool {
	return !w.Unhealthy && !w.Leaving
}

// Grant is a slot grant and the resources that it reserves.
type Grant struct {
	structs.SlotGrant
	PerSlot  structs.Resources
	Expires  time.Time
	Revoking bool
}

// Guarantee is the share of a workspace's guarantee that this data centre must provide.
type Guarantee struct {
	Workspace string
	structs.Guarantee
}

// Demand is the number of slots of a service that an instance can use.
type Demand struct {
	Instance string
	Service  string
	Wanted   int // total, including the slots already granted
}

// Reservation reserves resources from StartAt for a queued job that cannot start yet.
type Reservation struct {
	Job        string
	Placements []structs.Placement
	StartAt    time.Time
	Since      time.Time // when the job first got a reservation
	// Guaranteed marks resources within the workspace's guarantee that preempted jobs and revoked
	// grants still hold.
	Guaranteed bool
}

// DataCentre is the state of one data centre. Readers must not change it.
type DataCentre struct {
	Name       string
	Stage      structs.Stage
	StageSince time.Time
	DrainBy    time.Time
	Revision   uint64 // manifest revision
	// Fleet is the fleet stated by the manifest, or zero if unknown.
	Fleet         structs.FleetSpec
	Workers       map[string]*Worker
	SortedWorkers []*Worker // by rack, then id
	Jobs          map[string]*Job
	Queue         []*Job // queued jobs by time of submission, then id
	Active        []*Job // starting, running and preempting jobs by id
	Grants        map[string]*Grant
	Demands       []Demand // by service, then instance
	Guarantees    []Guarantee
	Workspaces    map[string]structs.Workspace
	Services      map[string]structs.Service
	Reservations  []Reservation
	RunTimes      *runtimes.Ratios
	Capacity      structs.Resources // of usable workers
	// Used is the resources of each workspace's active jobs. GuaranteedUsed is the part charged
	// to the workspace's guarantees.
	Used            map[string]structs.Resources
	GuaranteedUsed  map[string]structs.Resources
	lastGrantNumber uint64
}

// New returns the state of an open data centre without workers.
func New(name string) *DataCentre {
	return &DataCentre{
		Name:           name,
		Stage:          structs.StageOpen,
		Workers:        map[string]*Worker{},
		Jobs:           map[string]*Job{},
		Grants:         map[string]*Grant{},
		Workspaces:     map[string]structs.Workspace{},
		Services:       map[string]structs.Service{},
		RunTimes:       runtimes.NewRatios(),
		Used:           map[string]structs.Resources{},
		GuaranteedUsed: map[string]structs.Resources{},
	}
}

// Apply applies one event. On an error the state is unchanged.
func (d *DataCentre) Apply(e Event) error {
	return e.apply(d)
}

// Job returns the job with the given id, or nil.
func (d *DataCentre) Job(id string) *Job {
	return d.Jobs[id]
}

func (d *DataCentre) sortWorkers() {
	d.SortedWorkers = d.SortedWorkers[:0]
	d.Capacity = structs.Resources{}
	for _, w := range d.Workers {
		d.SortedWorkers = append(d.SortedWorkers, w)
		if w.Usable() {
			d.Capacity = d.Capacity.Add(w.Worker.Capacity)
		}
	}
	slices.SortFunc(d.SortedWorkers, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
}

func compareQueued(a, b *Job) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

func (d *DataCentre) enqueue(j *Job) {
	j.Status = Queued
	i, _ := slices.BinarySearchFunc(d.Queue, j, compareQueued)
	d.Queue = slices.Insert(d.Queue, i, j)
}

func (d *DataCentre) dequeue(j *Job) {
	if i, ok := slices.BinarySearchFunc(d.Queue, j, compareQueued); ok {
		d.Queue = slices.Delete(d.Queue, i, i+1)
	}
}

func compareID(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }

func (d *DataCentre) activate(j *Job) {
	i, ok := slices.BinarySearchFunc(d.Active, j, compareID)
	if !ok {
		d.Active = slices.Insert(d.Active, i, j)
	}
}

func (d *DataCentre) deactivate(j *Job) {
	if i, ok := slices.BinarySearchFunc(d.Active, j, compareID); ok {
		d.Active = slices.Delete(d.Active, i, i+1)
	}
}

// allocate charges the resources of a placed job to its workers and workspace.
func (d *DataCentre) allocate(j *Job) {
	for _, p := range j.Placements {
		w := d.Workers[p.Worker]
		if w == nil {
			continue
		}
		w.Free = w.Free.Sub(j.Shape.Task)
		w.addTask(j.ID)
	}
	total := j.Shape.Total()
	d.Used[j.Workspace] = d.Used[j.Workspace].Add(total)
	if j.Guaranteed {
		d.GuaranteedUsed[j.Workspace] = d.GuaranteedUsed[j.Workspace].Add(total)
	}
	d.activate(j)
}

// deallocate returns the resources of a placed job to its workers and workspace.
func (d *DataCentre) deallocate(j *Job) {
	for _, p := range j.Placements {
		w := d.Workers[p.Worker]
		if w == nil || !w.removeTask(j.ID) {
			continue
		}
		w.Free = w.Free.Add(j.Shape.Task)
	}
	total := j.Shape.Total()
	d.Used[j.Workspace] = d.Used[j.Workspace].Sub(total)
	if j.Guaranteed {
		d.GuaranteedUsed[j.Workspace] = d.GuaranteedUsed[j.Workspace].Sub(total)
	}
	j.Placements = nil
	j.Guaranteed = false
	j.PreemptedFor = ""
	d.deactivate(j)
}

func (w *Worker) addTask(job string) {
	i, ok := slices.BinarySearchFunc(w.Tasks, job, func(t WorkerTasks, id string) int { return cmp.Compare(t.Job, id) })
	if ok {
		w.Tasks[i].Tasks++
		return
	}
	w.Tasks = slices.Insert(w.Tasks, i, WorkerTasks{Job: job, Tasks: 1})
}

func (w *Worker) removeTask(job string) bool {
	i, ok := slices.BinarySearchFunc(w.Tasks, job, func(t WorkerTasks, id string) int { return cmp.Compare(t.Job, id) })
	if !ok {
		return false
	}
	if w.Tasks[i].Tasks--; w.Tasks[i].Tasks == 0 {
		w.Tasks = slices.Delete(w.Tasks, i, i+1)
	}
	return true
}
