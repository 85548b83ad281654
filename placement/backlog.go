package placement

import (
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxWaitingAlike is how many units that are alike a decision tries to place without success. Those behind them in the
// scheduling order lack room too, since it only becomes less, and trying each of them would let the time of a decision
// grow with the accepted work.
const maxWaitingAlike = 64

// unitShape is what decides whether a unit finds room.
type unitShape struct {
	service, workspace, label, dataRack string
	priority, gangTasks, maxPerWorker   int
	allocation                          workload.Resources
	sameRack, longRunning, advised      bool
	checkpointing, guaranteed           bool
}

func (u *unit) shape() unitShape {
	spec := u.step.Spec
	s := unitShape{service: u.job.Route.Service, workspace: u.job.Submission.Workspace, label: spec.Label, dataRack: spec.DataRack,
		priority: u.priority, maxPerWorker: spec.MaxPerWorker, allocation: spec.Allocation(),
		sameRack: spec.SameRack, longRunning: spec.LongRunning, advised: u.job.Route.Advice != nil, checkpointing: spec.Checkpointing, guaranteed: u.guaranteed}
	if spec.Gang {
		s.gangTasks = len(u.step.Tasks)
	}
	return s
}

// followsBacklog reports whether enough units like this one were found to lack room in this decision. Units of workspaces
// with a weight or a cap, whose backlog is limited when jobs are accepted, are always tried.
func (r *round) followsBacklog(u *unit) bool {
	if u.account != nil || len(r.backlog) == 0 || r.backlog[u.shape()] < maxWaitingAlike {
		return false
	}
	u.step.WaitReason = jobstate.WaitNoRoom
	return true
}

// noteBacklog counts a unit that has been tried if it lacks room.
func (r *round) noteBacklog(u *unit) {
	if u.account != nil || u.step.Waiting() == 0 || !u.step.WaitReason.Scarcity() {
		return
	}
	if r.backlog == nil {
		r.backlog = map[unitShape]int{}
	}
	r.backlog[u.shape()]++
}
