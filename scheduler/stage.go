package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// planDrain plans for a data centre that is draining or out: nothing starts, slot grants are revoked,
// queued jobs are transferred, and running jobs are preempted in order of priority.
func (c *cycle) planDrain() {
	for _, g := range c.grants {
		if !g.Revoking {
			c.addAction(structs.Action{
				Kind: structs.ActionRevoke, GrantID: g.ID, Instance: g.Instance, Worker: g.Worker, Service: g.Service, Slots: g.Slots,
				Reason: "data centre is " + string(c.d.Stage),
			})
		}
	}
	queued := slices.Clone(c.d.Queue)
	slices.SortStableFunc(queued, c.compareDrainOrder)
	for _, j := range queued {
		// The owner chooses the destination, because a policy reads only its own data centre.
		c.addAction(structs.Action{Kind: structs.ActionTransfer, Job: j.ID, Reason: fmt.Sprintf("data centre is %s: class %d waits for another", c.d.Stage, j.Class)})
	}
	c.preemptForDrain()
}

// compareDrainOrder orders jobs by the priority with which they are transferred or preempted.
func (c *cycle) compareDrainOrder(a, b *state.Job) int {
	return cmp.Or(
		compareBool(b.Urgent, a.Urgent),
		cmp.Compare(c.effectiveClass(a), c.effectiveClass(b)),
		a.Submitted.Compare(b.Submitted),
		cmp.Compare(a.ID, b.ID),
	)
}

// preemptForDrain preempts running jobs that are not expected to end before DrainBy. Jobs without
// checkpoints, whose further work would be lost, and urgent jobs are preempted at once. The others run
// until the latest time at which their checkpoint can begin.
func (c *cycle) preemptForDrain() {
	out := c.d.Stage == structs.StageOut
	if !out && c.d.DrainBy.IsZero() {
		return
	}
	var preempted []*state.Job
	for _, j := range c.d.Active {
		if j.Status == state.Running && !j.Cancelled && j.Reclaimable() {
			if end := c.expectedEnd(j, medianQuantile); out || end.After(c.d.DrainBy) {
				preempted = append(preempted, j)
			} else {
				c.wakeBy(end)
			}
		}
	}
	slices.SortStableFunc(preempted, c.compareDrainOrder)
	for k, j := range preempted {
		at := c.checkpointDeadline(j, len(preempted)-1-k)
		if !out && j.Checkpoint && !j.Urgent && at.After(c.now) {
			c.wakeBy(at)
			continue
		}
		var grace time.Duration
		if j.Checkpoint {
			grace = j.Grace
		}
		c.addAction(structs.Action{
			Kind: structs.ActionPreempt, Job: j.ID, Checkpoint: j.Checkpoint, Grace: grace,
			Reason: fmt.Sprintf("data centre is %s: would not end before %s", c.d.Stage, c.d.DrainBy.UTC().Format(time.RFC3339)),
		})
	}
}

// checkpointDeadline returns the latest time to begin the job's checkpoint. following is the number of
// jobs that begin theirs after it, at DrainCheckpointsPerSecond.
func (c *cycle) checkpointDeadline(j *state.Job, following int) time.Time {
	spread := time.Duration(following) * time.Second / time.Duration(c.opts.DrainCheckpointsPerSecond)
	return c.d.DrainBy.Add(-c.opts.DrainMargin - j.Grace - spread)
}

// rampSteps is the number of equal steps in which the capacity of a returning data centre is released.
const rampSteps = 10

// startRamp computes the resources that a returning data centre may still allocate in the present step.
func (c *cycle) startRamp() {
	if c.d.Stage != structs.StageReturning {
		return
	}
	step := c.opts.RampTime / rampSteps
	since := int(c.now.Sub(c.d.StageSince) / step)
	if since+1 >= rampSteps {
		return
	}
	c.ramping = true
	allowed := c.d.Capacity.Mul(since + 1)
	c.rampLeft = structs.Resources{
		Slots: allowed.Slots / rampSteps, Processors: allowed.Processors / rampSteps,
		MemoryMB: allowed.MemoryMB / rampSteps, Accelerators: allowed.Accelerators / rampSteps,
	}
	for _, j := range c.d.Active {
		c.rampLeft = c.rampLeft.Sub(j.Shape.Total())
	}
	for _, g := range c.grants {
		c.rampLeft = c.rampLeft.Sub(g.PerSlot.Mul(g.Slots))
	}
	if len(c.d.Queue) > 0 || len(c.d.Demands) > 0 {
		c.wakeBy(c.d.StageSince.Add(time.Duration(since+1) * step))
	}
}

// exceedsRamp reports whether the job must wait for a later step of the ramp.
func (c *cycle) exceedsRamp(j *state.Job) bool {
	return c.ramping && !j.Shape.Total().Fits(c.rampLeft)
}
