package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Event is one change of a data centre's state.
type Event interface {
	apply(d *DataCentre) error
}

// Configured puts a manifest revision in force for the data centre. Guarantees are the
// parts apportioned to it.
type Configured struct {
	Revision   uint64
	Stage      structs.Stage
	DrainBy    time.Time
	Fleet      structs.FleetSpec
	Guarantees []Guarantee
	Workspaces []structs.Workspace
	Services   []structs.Service
	Now        time.Time
}

func (e Configured) apply(d *DataCentre) error {
	if e.Revision < d.Revision {
		return fmt.Errorf("data centre %s: revision %d is older than %d", d.Name, e.Revision, d.Revision)
	}
	if e.Stage != d.Stage {
		d.StageSince = e.Now
	}
	d.Revision, d.Stage, d.DrainBy, d.Fleet = e.Revision, e.Stage, e.DrainBy, e.Fleet
	d.Guarantees = slices.Clone(e.Guarantees)
	clear(d.Workspaces)
	for _, w := range e.Workspaces {
		d.Workspaces[w.Name] = w
	}
	clear(d.Services)
	for _, s := range e.Services {
		d.Services[s.Name] = s
	}
	return nil
}

// WorkerJoined adds a worker, or changes its description.
type WorkerJoined struct {
	Worker structs.Worker
}

func (e WorkerJoined) apply(d *DataCentre) error {
	w := d.Workers[e.Worker.ID]
	if w == nil {
		w = &Worker{Worker: e.Worker, Free: e.Worker.Capacity}
		d.Workers[e.Worker.ID] = w
	} else {
		w.Free = w.Free.Add(e.Worker.Capacity.Sub(w.Worker.Capacity))
		w.Worker = e.Worker
	}
	d.sortWorkers()
	return nil
}

// WorkerHealth marks a worker as fit or unfit for new work.
type WorkerHealth struct {
	Worker    string
	Unhealthy bool
	Leaving   bool
}

func (e WorkerHealth) apply(d *DataCentre) error {
	w := d.Workers[e.Worker]
	if w == nil {
		return fmt.Errorf("data centre %s: no worker %s", d.Name, e.Worker)
	}
	w.Unhealthy, w.Leaving = e.Unhealthy, e.Leaving
	d.sortWorkers()
	return nil
}

// WorkerLost removes a worker whose leases have run out. The owner reports the jobs that
// had tasks on it by JobStopped or JobEnded first; a grant on it ends.
type WorkerLost struct {
	Worker string
}

func (e WorkerLost) apply(d *DataCentre) error {
	w := d.Workers[e.Worker]
	if w == nil {
		return fmt.Errorf("data centre %s: no worker %s", d.Name, e.Worker)
	}
	delete(d.Workers, e.Worker)
	for id, g := range d.Grants {
		if g.Worker == e.Worker {
			delete(d.Grants, id)
		}
	}
	d.sortWorkers()
	return nil
}

// JobSubmitted queues a job. Progress is run time saved by checkpoints elsewhere.
type JobSubmitted struct {
	Job      structs.Job
	Attempt  int // attempts made before, by earlier owners or data centres
	Progress time.Duration
	Now      time.Time
}

func (e JobSubmitted) apply(d *DataCentre) error {
	if d.Jobs[e.Job.ID] != nil {
		return fmt.Errorf("data centre %s: job %s exists", d.Name, e.Job.ID)
	}
	j := &Job{Job: e.Job, Attempt: e.Attempt, Progress: e.Progress, QueuedAt: e.Now}
	d.Jobs[j.ID] = j
	d.enqueue(j)
	return nil
}

// JobAdopted adds a job that an earlier owner started and that runs.
type JobAdopted struct {
	Job        structs.Job
	Attempt    int
	Placements []structs.Placement
	Guaranteed bool
	StartedAt  time.Time
}

func (e JobAdopted) apply(d *DataCentre) error {
	if d.Jobs[e.Job.ID] != nil {
		return fmt.Errorf("data centre %s: job %s exists", d.Name, e.Job.ID)
	}
	j := &Job{
		Job: e.Job, Status: Running, Attempt: e.Attempt, Placements: slices.Clone(e.Placements),
		Guaranteed: e.Guaranteed, QueuedAt: e.Job.Submitted, StartedAt: e.StartedAt, CheckpointAt: e.StartedAt,
	}
	d.Jobs[j.ID] = j
	d.book(j)
	return nil
}

// JobCancelled marks a job as cancelled. A queued job ends at once; a running one ends
// with JobStopped.
type JobCancelled struct {
	Job string
	Now time.Time
}

func (e JobCancelled) apply(d *DataCentre) error {
	j := d.Jobs[e.Job]
	if j == nil {
		return fmt.Errorf("data centre %s: no job %s", d.Name, e.Job)
	}
	j.Cancelled = true
	if j.Status == Queued {
		d.dequeue(j)
		d.end(j)
	}
	return nil
}

// PlanAccepted books the actions of a plan before they are carried out.
type PlanAccepted struct {
	Plan structs.Plan
	Now  time.Time
}

func (e PlanAccepted) apply(d *DataCentre) error {
	reservations := d.Reservations[:0:0]
	for i := range e.Plan.Actions {
		a := &e.Plan.Actions[i]
		switch a.Kind {
		case structs.ActionStart:
			d.start(a, e.Now)
		case structs.ActionPreempt:
			d.preempt(a, e.Now)
		case structs.ActionReserve:
			reservations = append(reservations, d.reserve(a, e.Now))
		case structs.ActionRefuse, structs.ActionTransfer:
			d.drop(a.Job)
		case structs.ActionGrant:
			d.grant(a, e.Now)
		case structs.ActionRevoke:
			if g := d.Grants[a.GrantID]; g != nil {
				g.Revoking = true
			}
		case structs.ActionUncharge:
			d.uncharge(a.Job)
		}
	}
	// A job that the same plan hands to another data centre needs no room here.
	d.Reservations = slices.DeleteFunc(reservations, func(r Reservation) bool { return d.Jobs[r.Job] == nil })
	return nil
}

func (d *DataCentre) reserve(a *structs.Action, now time.Time) Reservation {
	r := Reservation{Job: a.Job, Placements: a.Placements, StartAt: a.StartAt, Since: now, Guaranteed: a.Guaranteed}
	for i := range d.Reservations {
		if o := &d.Reservations[i]; o.Job == r.Job && o.Guaranteed == r.Guaranteed {
			r.Since = o.Since
		}
	}
	return r
}

func (d *DataCentre) start(a *structs.Action, now time.Time) {
	j := d.Jobs[a.Job]
	if j == nil || j.Status != Queued {
		return
	}
	d.dequeue(j)
	j.Status = Starting
	j.Attempt++
	j.Placements = slices.Clone(a.Placements)
	j.Guaranteed = a.Guaranteed
	j.StartedAt, j.CheckpointAt = now, now
	d.book(j)
}

func (d *DataCentre) preempt(a *structs.Action, now time.Time) {
	j := d.Jobs[a.Job]
	if j == nil || j.Status != Running {
		return
	}
	j.Status = Preempting
	j.StopBy = now.Add(a.Grace)
	j.PreemptedFor = a.PreemptedFor
}

func (d *DataCentre) uncharge(id string) {
	j := d.Jobs[id]
	if j == nil || !j.Guaranteed {
		return
	}
	j.Guaranteed = false
	d.GuaranteedUsed[j.Workspace] = d.GuaranteedUsed[j.Workspace].Sub(j.Shape.Total())
}

func (d *DataCentre) drop(id string) {
	j := d.Jobs[id]
	if j == nil || j.Status != Queued {
		return
	}
	d.dequeue(j)
	d.end(j)
}

func (d *DataCentre) end(j *Job) {
	j.Status = Ended
	delete(d.Jobs, j.ID)
}

// StartConfirmed reports that every task of the attempt runs.
type StartConfirmed struct {
	Job     string
	Attempt int
	Now     time.Time
}

func (e StartConfirmed) apply(d *DataCentre) error {
	j, err := d.attempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	if j.Status == Starting {
		j.Status = Running
		j.StartedAt, j.CheckpointAt = e.Now, e.Now
	}
	return nil
}

// StartFailed reports that no task of the attempt runs, and queues the job again. HoldWorkers
// names workers whose room stays out of use until HoldUntil, because their answer is unknown.
type StartFailed struct {
	Job         string
	Attempt     int
	HoldWorkers []string
	HoldUntil   time.Time
	Now         time.Time
}

func (e StartFailed) apply(d *DataCentre) error {
	j, err := d.attempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	d.hold(j, e.HoldWorkers, e.HoldUntil)
	d.unbook(j)
	d.requeueOrEnd(j, e.Now)
	return nil
}

// JobCheckpointed reports that the running attempt's state is saved up to now.
type JobCheckpointed struct {
	Job     string
	Attempt int
	Now     time.Time
}

func (e JobCheckpointed) apply(d *DataCentre) error {
	j, err := d.attempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	j.Progress += e.Now.Sub(j.CheckpointAt)
	j.CheckpointAt = e.Now
	return nil
}

// JobStopped reports that no task of the attempt runs any more and the job is to be queued
// again, unless it was cancelled. Failed counts the attempt against the job.
type JobStopped struct {
	Job         string
	Attempt     int
	HoldWorkers []string
	HoldUntil   time.Time
	Failed      bool
	// Cooldown protects the next attempt from preemption for this long.
	Cooldown time.Duration
	Now      time.Time
}

func (e JobStopped) apply(d *DataCentre) error {
	j, err := d.attempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	if j.Status == Preempting {
		j.Preemptions++
	}
	if e.Failed {
		j.Failures++
	}
	j.NoPreemptBefore = e.Now.Add(e.Cooldown)
	d.hold(j, e.HoldWorkers, e.HoldUntil)
	d.unbook(j)
	d.requeueOrEnd(j, e.Now)
	return nil
}

// JobEnded removes a job for good. RunTime is its whole run time if it succeeded, else 0.
type JobEnded struct {
	Job         string
	HoldWorkers []string
	HoldUntil   time.Time
	RunTime     time.Duration
}

func (e JobEnded) apply(d *DataCentre) error {
	j := d.Jobs[e.Job]
	if j == nil {
		return fmt.Errorf("data centre %s: no job %s", d.Name, e.Job)
	}
	if e.RunTime > 0 {
		d.RunTimes.Observe(j.Service, j.Workspace, j.Declared, e.RunTime)
	}
	if j.Status == Queued {
		d.dequeue(j)
	} else {
		d.hold(j, e.HoldWorkers, e.HoldUntil)
		d.unbook(j)
	}
	d.end(j)
	return nil
}

// HoldsExpired frees room whose hold has ended and drops expired grants.
type HoldsExpired struct {
	Now time.Time
}

func (e HoldsExpired) apply(d *DataCentre) error {
	for _, w := range d.SortedWorkers {
		w.Holds = slices.DeleteFunc(w.Holds, func(h Hold) bool {
			if h.Until.After(e.Now) {
				return false
			}
			w.Free = w.Free.Add(h.Resources)
			return true
		})
	}
	for id, g := range d.Grants {
		if !g.Expires.After(e.Now) {
			d.dropGrant(id)
		}
	}
	return nil
}

// SlotsRequested states how many slots of a service an instance could use, and renews
// its grants.
type SlotsRequested struct {
	Instance string
	Service  string
	Wanted   int
	Keep     []string
	Expires  time.Time
}

func (e SlotsRequested) apply(d *DataCentre) error {
	d.setDemand(Demand{Instance: e.Instance, Service: e.Service, Wanted: e.Wanted})
	for _, id := range e.Keep {
		if g := d.Grants[id]; g != nil && g.Instance == e.Instance {
			g.Expires = e.Expires
		}
	}
	return nil
}

// SlotsReleased ends grants that their holder has given back.
type SlotsReleased struct {
	Instance string
	Grants   []string
}

func (e SlotsReleased) apply(d *DataCentre) error {
	for _, id := range e.Grants {
		if g := d.Grants[id]; g != nil && g.Instance == e.Instance {
			d.dropGrant(id)
		}
	}
	return nil
}

func (d *DataCentre) setDemand(n Demand) {
	i, ok := slices.BinarySearchFunc(d.Demands, n, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	switch {
	case ok && n.Wanted == 0:
		d.Demands = slices.Delete(d.Demands, i, i+1)
	case ok:
		d.Demands[i] = n
	case n.Wanted > 0:
		d.Demands = slices.Insert(d.Demands, i, n)
	}
}

// GrantTTL is how long a slot grant lasts from the request that made or renewed it.
const GrantTTL = 3 * time.Second

func (d *DataCentre) grant(a *structs.Action, now time.Time) {
	w := d.Workers[a.Worker]
	s, known := d.Services[a.Service]
	if w == nil || !known || a.Slots <= 0 {
		return
	}
	d.lastGrant++
	g := &Grant{PerSlot: s.SlotShape, Expires: now.Add(GrantTTL)}
	g.SlotGrant = structs.SlotGrant{
		ID: fmt.Sprintf("%s-%d", d.Name, d.lastGrant), Instance: a.Instance, Service: a.Service,
		Worker: w.ID, Address: w.Address, DataCentre: d.Name, Slots: a.Slots,
	}
	d.Grants[g.ID] = g
	w.Free = w.Free.Sub(g.PerSlot.Mul(g.Slots))
}

func (d *DataCentre) dropGrant(id string) {
	g := d.Grants[id]
	delete(d.Grants, id)
	if w := d.Workers[g.Worker]; w != nil {
		w.Free = w.Free.Add(g.PerSlot.Mul(g.Slots))
	}
}

func (d *DataCentre) attempt(job string, attempt int) (*Job, error) {
	j := d.Jobs[job]
	if j == nil {
		return nil, fmt.Errorf("data centre %s: no job %s", d.Name, job)
	}
	if j.Attempt != attempt || j.Status == Queued {
		return nil, fmt.Errorf("data centre %s: job %s is at attempt %d (%s), not %d", d.Name, job, j.Attempt, j.Status, attempt)
	}
	return j, nil
}

func (d *DataCentre) hold(j *Job, workers []string, until time.Time) {
	for _, p := range j.Placements {
		w := d.Workers[p.Worker]
		if w == nil || !slices.Contains(workers, p.Worker) {
			continue
		}
		w.Free = w.Free.Sub(j.Shape.Task)
		w.Holds = append(w.Holds, Hold{Resources: j.Shape.Task, Until: until})
	}
}

func (d *DataCentre) requeueOrEnd(j *Job, now time.Time) {
	if j.Cancelled {
		d.end(j)
		return
	}
	j.QueuedAt = now
	d.enqueue(j)
}
