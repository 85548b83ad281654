package scheduler

import (
	"fmt"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// OffloadInterval is the least time between two rounds of Offload for a data centre.
	OffloadInterval = 30 * time.Second
	// offloadAfter is how long a job waits before it may be handed to another data centre,
	// so that summaries show the effect of earlier transfers.
	minOffloadWait = 30 * time.Second
	// offloadMost bounds the transfers of one round, each of which is a write to the store.
	maxOffloads = 8
	// nearReservation is the time before the start of a reservation from which its holder
	// stays. Room that is free elsewhere now is worth more than room expected in an hour.
	minReservationLead = time.Minute
)

// Offload plans the transfer of jobs that wait in one data centre and seem to fit into the
// free room of another one now. Jobs whose reservation is near, or for which their workspace
// has an unused guarantee here, stay, and so do those that the plan starts or refuses. It does not
// change d.
func Offload(d *state.DataCentre, plan *structs.Plan, others []Summary, now time.Time) []structs.Action {
	if !d.Stage.AllowsStarts() {
		return nil // the policy itself transfers the whole queue
	}
	own, planned := Summarize(d), map[string]bool{}
	for i := range plan.Actions {
		if plan.Actions[i].Kind != structs.ActionReserve {
			planned[plan.Actions[i].Job] = true
		}
	}
	free := make([]Summary, len(others))
	copy(free, others)
	var actions []structs.Action
	for _, j := range d.Queue {
		if len(actions) == maxOffloads {
			break
		}
		if j.Cancelled || planned[j.ID] || now.Sub(j.QueuedAt) < offloadWait(j) || startsSoon(d, j, now) || RankOf(&j.Job, &own).Guaranteed {
			continue
		}
		to := bestOffloadTarget(&j.Job, d.Name, free)
		if to == nil {
			continue
		}
		to.Free = to.Free.Sub(j.Shape.Total())
		actions = append(actions, structs.Action{
			Kind: structs.ActionTransfer, Job: j.ID, DataCentre: to.DataCentre,
			Reason: fmt.Sprintf("waited %s here, and %s fits into the free room of %s", now.Sub(j.QueuedAt).Round(time.Second), j.Shape, to.DataCentre),
		})
	}
	return actions
}

// waitBeforeOffload grows with the time that the job had waited before it was queued here, so
// that a job that fits nowhere is handed on ever more rarely.
func offloadWait(j *state.Job) time.Duration {
	return max(minOffloadWait, j.QueuedAt.Sub(j.Submitted)/2)
}

func startsSoon(d *state.DataCentre, j *state.Job, now time.Time) bool {
	for i := range d.Reservations {
		if r := &d.Reservations[i]; r.Job == j.ID {
			return r.StartAt.Sub(now) < minReservationLead
		}
	}
	return false
}

// roomiest returns the best data centre other than the job's own in which it fits now.
func bestOffloadTarget(j *structs.Job, from string, summaries []Summary) *Summary {
	var best *Summary
	var bestRank Rank
	for i := range summaries {
		s := &summaries[i]
		if s.DataCentre == from || !j.Shape.Task.Fits(s.LargestWorker) {
			continue
		}
		r := RankOf(j, s)
		if r.Open && r.FitsNow && (best == nil || CompareRanks(r, bestRank) < 0) {
			best, bestRank = s, r
		}
	}
	return best
}
