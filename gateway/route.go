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

// RouteJob returns the data centres whose fleet is large enough for the job, in the order of
// scheduler.CompareRanks, best first. The ranks are based on the manifest and on the newest summary from
// each data centre's owner. home is the data centre of the instance that received the job.
func RouteJob(r *structs.Revision, summaries []*peer.Summary, j *structs.Job, home string) []scheduler.Rank {
	m := &r.Manifest
	latestByDC := latestSummaries(summaries)
	var shares map[string][]manifest.Share
	var ranks []scheduler.Rank
	for i := range m.DataCentres {
		dc := &m.DataCentres[i]
		if tooLargeReason(dc, j.Shape) != "" {
			continue
		}
		sum := latestByDC[dc.Name]
		if shares == nil && hasUnusedGuarantee(r, sum, j.Workspace) {
			shares = manifest.Apportion(*m)
		}
		rank := scheduler.RankOf(j, completeSummary(r, dc, sum, shares[dc.Name], j.Workspace))
		rank.Owned = sum != nil && sum.Owner != ""
		rank.Home = dc.Name == home
		ranks = append(ranks, rank)
	}
	slices.SortStableFunc(ranks, func(a, b scheduler.Rank) int {
		return cmp.Or(scheduler.CompareRanks(a, b), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return ranks
}

// DataCentreSummaries returns the summaries of the data centres whose owners have sent one, without
// guarantees.
func DataCentreSummaries(r *structs.Revision, summaries []*peer.Summary) []scheduler.Summary {
	latestByDC := latestSummaries(summaries)
	var result []scheduler.Summary
	for i := range r.Manifest.DataCentres {
		dc := &r.Manifest.DataCentres[i]
		if sum := latestByDC[dc.Name]; sum != nil && sum.Owner != "" {
			result = append(result, *completeSummary(r, dc, sum, nil, ""))
		}
	}
	return result
}

// latestSummaries returns the newest summary of each data centre.
func latestSummaries(summaries []*peer.Summary) map[string]*peer.Summary {
	latestByDC := make(map[string]*peer.Summary, len(summaries))
	for _, sum := range summaries {
		if old := latestByDC[sum.DataCentre]; old == nil || isNewer(sum, old) {
			latestByDC[sum.DataCentre] = sum
		}
	}
	return latestByDC
}

func isNewer(a, b *peer.Summary) bool {
	return a.Token > b.Token || a.Token == b.Token && a.Version > b.Version
}

// completeSummary combines an owner's summary with the fleet in the manifest. Owners report slots and
// accelerators only; all other resources are taken as free.
func completeSummary(r *structs.Revision, dc *structs.DataCentre, sum *peer.Summary, shares []manifest.Share, workspace string) *scheduler.Summary {
	total := dc.Fleet.Capacity.Mul(dc.Fleet.Workers)
	s := &scheduler.Summary{DataCentre: dc.Name, Stage: dc.Stage, Capacity: total, LargestWorker: dc.Fleet.Capacity}
	if sum == nil {
		return s // without a summary, nothing is counted as free
	}
	s.Free = total
	s.Free.Slots, s.Free.Accelerators = int(sum.FreeSlots), int(sum.FreeAccelerators)
	s.Queued = structs.Resources{Slots: int(sum.QueuedSlots), Accelerators: int(sum.QueuedAccelerators)}
	s.IdleWorkers = int(sum.LargestGang)
	if hasUnusedGuarantee(r, sum, workspace) {
		for _, share := range shares {
			if share.Workspace == workspace {
				s.UnusedGuarantees = append(s.UnusedGuarantees, state.Guarantee(share))
			}
		}
	}
	return s
}

// hasUnusedGuarantee reports whether the summary shows an unused guarantee of the workspace. The bits of
// a summary for another manifest revision are ignored, because they are indexed by that revision's list
// of workspaces.
func hasUnusedGuarantee(r *structs.Revision, sum *peer.Summary, workspace string) bool {
	if sum == nil || sum.Revision != r.Number {
		return false
	}
	i := slices.IndexFunc(r.Manifest.Workspaces, func(w structs.Workspace) bool { return w.Name == workspace })
	return i >= 0 && i/8 < len(sum.UnusedGuarantees) && sum.UnusedGuarantees[i/8]&(1<<(i%8)) != 0
}
