// Package state holds the state of one data centre: its workers, jobs, grants and
// guarantees. Apply is the only way to change it and is deterministic; a DataCentre is
// not safe for concurrent use.
package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// JobStatus is where a job stands at its owner.
type JobStatus string

// The statuses of a job.
const (
	Queued     JobStatus = "queued"
	Starting   JobStatus = "starting"
	Running    JobStatus = "running"
	Preempting JobStatus = "preempting" // checkpoint or stop under way
	Ended      JobStatus = "ended"
)

// Job is a job at its owner.
type Job struct {
	structs.Job
	Status     JobStatus
	Attempt    int // counts starts from 1
	Placements []structs.Placement
	Guaranteed bool // the running attempt is charged to the workspace's guarantee
	QueuedAt   time.Time
	StartedAt  time.Time
	// Progress is run time that a checkpoint has saved.
	Progress time.Duration
	// CheckpointAt is when the running attempt was last checkpointed; StartedAt before that.
	CheckpointAt time.Time
	StopBy       time.Time // preempting: when the grace ends
	PreemptedFor string    // preempting: the job that claims the room
	Preemptions  int
	// NoPreemptBefore protects a job that was preempted and started again from being
	// preempted at once.
	NoPreemptBefore time.Time
	Cancelled       bool
	Failures        int // attempts that failed on their workers
}

// WorkerTasks counts the tasks of one job on a worker.
type WorkerTasks struct {
	Job   string
	Tasks int
}

// Hold keeps room on a worker out of use until a time, for example until the lease of
// a task that ignored its stop has run out.
type Hold struct {
	Resources structs.Resources
	Until     time.Time
}

// Worker is a worker as its data centre's owner sees it.
type Worker struct {
	structs.Worker
	Free      structs.Resources // capacity less tasks, grants and holds
	Unhealthy bool              // gets no new work
	Tasks     []WorkerTasks     // ordered by job
	Holds     []Hold
}

// Usable reports whether new work may be placed on the worker.
func (w *Worker) Usable() bool {
	return !w.Unhealthy && !w.Leaving
}

// Grant is a slot grant and the room that it takes.
type Grant struct {
	structs.SlotGrant
	PerSlot  structs.Resources
	Expires  time.Time
	Revoking bool
}

// Guarantee is the part of a workspace's guarantee that this data centre must honour.
type Guarantee struct {
	Workspace string
	structs.Guarantee
}

// Demand is what an entry instance could use of a service's slots.
type Demand struct {
	Instance string
	Service  string
	Wanted   int // slots in total
}

// Reservation keeps room for a blocked job from StartAt.
type Reservation struct {
	Job        string
	Placements []structs.Placement
	StartAt    time.Time
	Since      time.Time // when the job was given a reservation first
	// Guaranteed marks room inside the job's guarantee that victims are leaving.
	Guaranteed bool
}

// DataCentre is the state of one data centre. Readers must not change it.
type DataCentre struct {
	Name       string
	Stage      structs.Stage
	StageSince time.Time
	DrainBy    time.Time
	Revision   uint64 // manifest revision
	// Fleet is the fleet that the manifest expects; zero if unknown.
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
	RunTimes      *RunTimes
	Capacity      structs.Resources // of usable workers
	// Used is what each workspace's active jobs take; GuaranteedUsed is the part that
	// is charged to its guarantees.
	Used           map[string]structs.Resources
	GuaranteedUsed map[string]structs.Resources
	lastGrant      uint64
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
		RunTimes:       NewRunTimes(),
		Used:           map[string]structs.Resources{},
		GuaranteedUsed: map[string]structs.Resources{},
	}
}

// Apply changes the state by one event. A refused event leaves the state as it was.
func (d *DataCentre) Apply(e Event) error {
	return e.apply(d)
}

// Job returns the job, or nil.
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

// book takes the room of a placed job from its workers.
func (d *DataCentre) book(j *Job) {
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

// unbook gives the room of a placed job back to its workers.
func (d *DataCentre) unbook(j *Job) {
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
