package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// withdraw plans for a data centre that is draining or out: nothing starts, queued jobs
// and slot grants leave, and running jobs are checkpointed in the order of their priority.
func (c *cycle) withdraw() {
	for _, g := range c.grants {
		if !g.Revoking {
			c.act(structs.Action{
				Kind: structs.ActionRevoke, GrantID: g.ID, Instance: g.Instance, Worker: g.Worker, Service: g.Service, Slots: g.Slots,
				Reason: "data centre is " + string(c.d.Stage),
			})
		}
	}
	queued := slices.Clone(c.d.Queue)
	slices.SortStableFunc(queued, c.compareLeaving)
	for _, j := range queued {
		// The owner chooses the destination: a policy sees only its own data centre.
		c.act(structs.Action{Kind: structs.ActionTransfer, Job: j.ID, Reason: fmt.Sprintf("data centre is %s: class %d waits for another", c.d.Stage, j.Class)})
	}
	c.checkpointAll()
}

// compareLeaving orders jobs by the priority in which they leave.
func (c *cycle) compareLeaving(a, b *state.Job) int {
	return cmp.Or(
		compareBool(b.Urgent, a.Urgent),
		cmp.Compare(c.rank(a), c.rank(b)),
		a.Submitted.Compare(b.Submitted),
		cmp.Compare(a.ID, b.ID),
	)
}

// checkpointAll preempts running jobs that will not end in time. Work that would only be
// lost, and urgent work, leaves at once; the rest runs as long as its checkpoint allows.
func (c *cycle) checkpointAll() {
	out := c.d.Stage == structs.StageOut
	if !out && c.d.DrainBy.IsZero() {
		return
	}
	var leaving []*state.Job
	for _, j := range c.d.Active {
		if j.Status == state.Running && !j.Cancelled && j.Reclaimable() {
			if end := c.endOf(j, medianQuantile); out || end.After(c.d.DrainBy) {
				leaving = append(leaving, j)
			} else {
				c.wake(end)
			}
		}
	}
	slices.SortStableFunc(leaving, c.compareLeaving)
	for k, j := range leaving {
		at := c.leaveAt(j, len(leaving)-1-k)
		if !out && j.Checkpoint && !j.Urgent && at.After(c.now) {
			c.wake(at)
			continue
		}
		var grace time.Duration
		if j.Checkpoint {
			grace = j.Grace
		}
		c.act(structs.Action{
			Kind: structs.ActionPreempt, Job: j.ID, Checkpoint: j.Checkpoint, Grace: grace,
			Reason: fmt.Sprintf("data centre is %s: would not end before %s", c.d.Stage, c.d.DrainBy.UTC().Format(time.RFC3339)),
		})
	}
}

// leaveAt is the latest time to begin the job's checkpoint when behind others follow it.
func (c *cycle) leaveAt(j *state.Job, behind int) time.Time {
	spread := time.Duration(behind) * time.Second / time.Duration(c.opts.DrainCheckpointsPerSecond)
	return c.d.DrainBy.Add(-c.opts.DrainMargin - j.Grace - spread)
}

// rampSteps is the number of steps in which a returning data centre is filled.
const rampSteps = 10

// startRamp sets the room that a returning data centre may have in use.
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
	c.ramp = structs.Resources{
		Slots: allowed.Slots / rampSteps, Processors: allowed.Processors / rampSteps,
		MemoryMB: allowed.MemoryMB / rampSteps, Accelerators: allowed.Accelerators / rampSteps,
	}
	for _, j := range c.d.Active {
		c.ramp = c.ramp.Sub(j.Shape.Total())
	}
	for _, g := range c.grants {
		c.ramp = c.ramp.Sub(g.PerSlot.Mul(g.Slots))
	}
	if len(c.d.Queue) > 0 || len(c.d.Demands) > 0 {
		c.wake(c.d.StageSince.Add(time.Duration(since+1) * step))
	}
}

// overRamp reports whether the start of the job must wait for the next step.
func (c *cycle) overRamp(j *state.Job) bool {
	return c.ramping && !j.Shape.Total().Fits(c.ramp)
}
