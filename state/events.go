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

// Configured applies a manifest revision to the data centre. Guarantees holds the share of each
// guarantee that is apportioned to this data centre.
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

// WorkerJoined adds a worker or updates its description.
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

// WorkerHealth sets whether a worker is unhealthy or leaving. Such a worker gets no new work.
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

// WorkerLost removes a worker whose leases have expired, along with the grants on it. The owner
// first applies JobStopped or JobEnded for each job that had tasks on it.
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

// JobSubmitted queues a job. Progress is the run time already saved by checkpoints of earlier
// attempts.
type JobSubmitted struct {
	Job      structs.Job
	Attempt  int // number of earlier attempts, under any owner or data centre
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

// JobAdopted adds a running job that was started by an earlier owner.
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
	d.allocate(j)
	return nil
}

// JobCancelled marks a job as cancelled. A queued job is removed at once, a placed one with the
// event that ends its attempt.
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
		d.remove(j)
	}
	return nil
}

// PlanAccepted applies the actions of a plan to the state before the owner carries them out.
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
			d.removeQueued(a.Job)
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
	// A job that this plan transfers to another data centre needs no reservation here.
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
	d.allocate(j)
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

func (d *DataCentre) removeQueued(id string) {
	j := d.Jobs[id]
	if j == nil || j.Status != Queued {
		return
	}
	d.dequeue(j)
	d.remove(j)
}

func (d *DataCentre) remove(j *Job) {
	j.Status = Ended
	delete(d.Jobs, j.ID)
}

// StartConfirmed reports that every task of the attempt is running.
type StartConfirmed struct {
	Job     string
	Attempt int
	Now     time.Time
}

func (e StartConfirmed) apply(d *DataCentre) error {
	j, err := d.jobAtAttempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	if j.Status == Starting {
		j.Status = Running
		j.StartedAt, j.CheckpointAt = e.Now, e.Now
	}
	return nil
}

// StartFailed ends a failed start and queues the job again, or removes it if it was cancelled. On
// HoldWorkers, which did not answer, a task may still run: its resources stay blocked until HoldUntil.
type StartFailed struct {
	Job         string
	Attempt     int
	HoldWorkers []string
	HoldUntil   time.Time
	Now         time.Time
}

func (e StartFailed) apply(d *DataCentre) error {
	j, err := d.jobAtAttempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	d.addHolds(j, e.HoldWorkers, e.HoldUntil)
	d.deallocate(j)
	d.requeueOrRemove(j, e.Now)
	return nil
}

// JobCheckpointed reports that a checkpoint has saved the attempt's progress up to Now.
type JobCheckpointed struct {
	Job     string
	Attempt int
	Now     time.Time
}

func (e JobCheckpointed) apply(d *DataCentre) error {
	j, err := d.jobAtAttempt(e.Job, e.Attempt)
	if err != nil {
		return err
	}
	j.Progress += e.Now.Sub(j.CheckpointAt)
	j.CheckpointAt = e.Now
	return nil
}

// JobStopped ends an attempt and queues the job again, or removes it if it was cancelled. Failed
// adds the attempt to the job's failures.
type JobStopped struct {
	Job         string
	Attempt     int
	HoldWorkers []string
	HoldUntil   time.Time
	Failed      bool
	// Cooldown is how long after Now the job may not be preempted.
	Cooldown time.Duration
	Now      time.Time
}

func (e JobStopped) apply(d *DataCentre) error {
	j, err := d.jobAtAttempt(e.Job, e.Attempt)
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
	d.addHolds(j, e.HoldWorkers, e.HoldUntil)
	d.deallocate(j)
	d.requeueOrRemove(j, e.Now)
	return nil
}

// JobEnded removes a job. RunTime is its total run time if it succeeded, otherwise 0.
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
		d.addHolds(j, e.HoldWorkers, e.HoldUntil)
		d.deallocate(j)
	}
	d.remove(j)
	return nil
}

// HoldsExpired releases the resources of expired holds and grants.
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
			d.removeGrant(id)
		}
	}
	return nil
}

// SlotsRequested sets how many slots of a service an instance can use, and extends the grants
// in Keep to Expires.
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

// SlotsReleased removes grants that their holder has returned.
type SlotsReleased struct {
	Instance string
	Grants   []string
}

func (e SlotsReleased) apply(d *DataCentre) error {
	for _, id := range e.Grants {
		if g := d.Grants[id]; g != nil && g.Instance == e.Instance {
			d.removeGrant(id)
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

// GrantTTL is how long a slot grant is valid after the request that created or renewed it.
const GrantTTL = 3 * time.Second

func (d *DataCentre) grant(a *structs.Action, now time.Time) {
	w := d.Workers[a.Worker]
	s, known := d.Services[a.Service]
	if w == nil || !known || a.Slots <= 0 {
		return
	}
	d.lastGrantNumber++
	g := &Grant{PerSlot: s.SlotShape, Expires: now.Add(GrantTTL)}
	g.SlotGrant = structs.SlotGrant{
		ID: fmt.Sprintf("%s-%d", d.Name, d.lastGrantNumber), Instance: a.Instance, Service: a.Service,
		Worker: w.ID, Address: w.Address, DataCentre: d.Name, Slots: a.Slots,
	}
	d.Grants[g.ID] = g
	w.Free = w.Free.Sub(g.PerSlot.Mul(g.Slots))
}

func (d *DataCentre) removeGrant(id string) {
	g := d.Grants[id]
	delete(d.Grants, id)
	if w := d.Workers[g.Worker]; w != nil {
		w.Free = w.Free.Add(g.PerSlot.Mul(g.Slots))
	}
}

func (d *DataCentre) jobAtAttempt(job string, attempt int) (*Job, error) {
	j := d.Jobs[job]
	if j == nil {
		return nil, fmt.Errorf("data centre %s: no job %s", d.Name, job)
	}
	if j.Attempt != attempt || j.Status == Queued {
		return nil, fmt.Errorf("data centre %s: job %s is at attempt %d (%s), not %d", d.Name, job, j.Attempt, j.Status, attempt)
	}
	return j, nil
}

func (d *DataCentre) addHolds(j *Job, workers []string, until time.Time) {
	for _, p := range j.Placements {
		w := d.Workers[p.Worker]
		if w == nil || !slices.Contains(workers, p.Worker) {
			continue
		}
		w.Free = w.Free.Sub(j.Shape.Task)
		w.Holds = append(w.Holds, Hold{Resources: j.Shape.Task, Until: until})
	}
}

func (d *DataCentre) requeueOrRemove(j *Job, now time.Time) {
	if j.Cancelled {
		d.remove(j)
		return
	}
	j.QueuedAt = now
	d.enqueue(j)
}
