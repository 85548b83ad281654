package gateway

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// RouteJob returns the data centres whose fleet could run the job, the best one first in the
// order of scheduler.CompareRanks. It knows the data centres by the manifest and by the
// latest summaries of their owners.
func RouteJob(r *structs.Revision, summaries []*peer.Summary, j *structs.Job, home string) []scheduler.Rank {
	m := &r.Manifest
	known := latest(summaries)
	var shares map[string][]manifest.Share
	var ranks []scheduler.Rank
	for i := range m.DataCentres {
		dc := &m.DataCentres[i]
		if tooLarge(dc, j.Shape) != "" {
			continue
		}
		sum := known[dc.Name]
		if shares == nil && hasUnused(r, sum, j.Workspace) {
			shares = manifest.Apportion(*m)
		}
		rank := scheduler.RankOf(j, summaryOf(r, dc, sum, shares[dc.Name], j.Workspace))
		rank.Owned = sum != nil && sum.Owner != ""
		rank.Home = dc.Name == home
		ranks = append(ranks, rank)
	}
	slices.SortStableFunc(ranks, func(a, b scheduler.Rank) int {
		return cmp.Or(scheduler.CompareRanks(a, b), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return ranks
}

// Rooms describes the data centres whose owners have sent a summary, without guarantees.
func Rooms(r *structs.Revision, summaries []*peer.Summary) []scheduler.Summary {
	known := latest(summaries)
	var rooms []scheduler.Summary
	for i := range r.Manifest.DataCentres {
		dc := &r.Manifest.DataCentres[i]
		if sum := known[dc.Name]; sum != nil && sum.Owner != "" {
			rooms = append(rooms, *summaryOf(r, dc, sum, nil, ""))
		}
	}
	return rooms
}

// latest returns the newest summary of each data centre.
func latest(summaries []*peer.Summary) map[string]*peer.Summary {
	known := make(map[string]*peer.Summary, len(summaries))
	for _, sum := range summaries {
		if old := known[sum.DataCentre]; old == nil || newer(sum, old) {
			known[sum.DataCentre] = sum
		}
	}
	return known
}

func newer(a, b *peer.Summary) bool {
	return a.Token > b.Token || a.Token == b.Token && a.Version > b.Version
}

// summaryOf completes an owner's summary with the manifest's fleet. Summaries carry slots and
// accelerators only; the other resources count as free.
func summaryOf(r *structs.Revision, dc *structs.DataCentre, sum *peer.Summary, shares []manifest.Share, workspace string) *scheduler.Summary {
	total := dc.Fleet.Capacity.Mul(dc.Fleet.Workers)
	s := &scheduler.Summary{DataCentre: dc.Name, Stage: dc.Stage, Capacity: total, LargestWorker: dc.Fleet.Capacity}
	if sum == nil {
		return s // nothing is known to be free
	}
	s.Free = total
	s.Free.Slots, s.Free.Accelerators = int(sum.FreeSlots), int(sum.FreeAccelerators)
	s.Queued = structs.Resources{Slots: int(sum.QueuedSlots), Accelerators: int(sum.QueuedAccelerators)}
	s.IdleWorkers = int(sum.LargestGang)
	if hasUnused(r, sum, workspace) {
		for _, share := range shares {
			if share.Workspace == workspace {
				s.UnusedGuarantees = append(s.UnusedGuarantees, state.Guarantee(share))
			}
		}
	}
	return s
}

// hasUnused reports whether the summary shows an unused guarantee of the workspace. A summary
// of another revision shows none, because its bits count that revision's workspaces.
func hasUnused(r *structs.Revision, sum *peer.Summary, workspace string) bool {
	if sum == nil || sum.Revision != r.Number {
		return false
	}
	i := slices.IndexFunc(r.Manifest.Workspaces, func(w structs.Workspace) bool { return w.Name == workspace })
	return i >= 0 && i/8 < len(sum.UnusedGuarantees) && sum.UnusedGuarantees[i/8]&(1<<(i%8)) != 0
}
