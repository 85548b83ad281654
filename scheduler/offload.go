package scheduler

import (
	"fmt"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// OffloadInterval is the minimum time between two rounds of Offload for a data centre.
	OffloadInterval = 30 * time.Second
	// minOffloadWait is how long a job waits before it may be transferred to another data centre. By
	// then the summaries include earlier transfers.
	minOffloadWait = 30 * time.Second
	// maxOffloads limits the transfers of one round, because each one is a write to the store.
	maxOffloads = 8
	// minReservationLead is the time to the start of its reservation below which a job is not
	// transferred. With a later start, capacity that is free elsewhere now is worth more than the
	// reserved capacity, whose release is only an estimate.
	minReservationLead = time.Minute
)

// Offload plans the transfer of queued jobs that, by the summaries, fit into the free resources of
// another data centre now. A job stays if its reservation starts within minReservationLead, if its
// workspace has an unused guarantee for it here, or if the plan has an action for it other than a
// reservation. Offload does not modify d.
func Offload(d *state.DataCentre, plan *structs.Plan, others []Summary, now time.Time) []structs.Action {
	if !d.Stage.AllowsStarts() {
		return nil // at these stages the policy plans the transfer of the whole queue
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

// offloadWait returns how long a job waits here before a transfer: half of the time between its
// submission and its arrival in this queue, at least minOffloadWait. The growing wait limits the
// transfers of a job that fits nowhere.
func offloadWait(j *state.Job) time.Duration {
	return max(minOffloadWait, j.QueuedAt.Sub(j.Submitted)/2)
}

// startsSoon reports whether the job's reservation starts within minReservationLead.
func startsSoon(d *state.DataCentre, j *state.Job, now time.Time) bool {
	for i := range d.Reservations {
		if r := &d.Reservations[i]; r.Job == j.ID {
			return r.StartAt.Sub(now) < minReservationLead
		}
	}
	return false
}

// bestOffloadTarget returns the best-ranked data centre other than from in which the job fits now,
// or nil.
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
