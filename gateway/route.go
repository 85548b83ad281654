package gateway

import (
	"cmp"
	"slices"

	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Route is one data centre that could run a job, with the inputs of its rank.
type Route struct {
	DataCentre string        `json:"data_centre"`
	Stage      structs.Stage `json:"stage"`
	Open       bool          `json:"open"`     // the stage allows starts
	Owned      bool          `json:"owned"`    // an owner is known
	FitsNow    bool          `json:"fits_now"` // by the owner's last summary
	Queued     int32         `json:"queued"`
	Free       int32         `json:"free_accelerators"`
	Home       bool          `json:"home"`
}

// RouteJob returns the data centres whose fleet could run the shape, the best one first:
// open ones before others, then those with a known owner, those where the gang fits now,
// the shorter queue, the instance's own, and the most free accelerators.
func RouteJob(m *structs.Manifest, summaries []*peer.Summary, shape structs.Shape, home string) []Route {
	known := make(map[string]*peer.Summary, len(summaries))
	for _, sum := range summaries {
		if old := known[sum.DataCentre]; old == nil || newer(sum, old) {
			known[sum.DataCentre] = sum
		}
	}
	var routes []Route
	for i := range m.DataCentres {
		dc := &m.DataCentres[i]
		if tooLarge(dc, shape) == "" {
			routes = append(routes, routeTo(dc, known[dc.Name], shape, home))
		}
	}
	slices.SortFunc(routes, compareRoutes)
	return routes
}

func newer(a, b *peer.Summary) bool {
	return a.Token > b.Token || a.Token == b.Token && a.Version > b.Version
}

func routeTo(dc *structs.DataCentre, sum *peer.Summary, shape structs.Shape, home string) Route {
	r := Route{DataCentre: dc.Name, Stage: dc.Stage, Open: dc.Stage.AllowsStarts(), Home: dc.Name == home}
	if sum == nil {
		return r
	}
	total := shape.Total()
	r.Owned = sum.Owner != ""
	r.Queued, r.Free = sum.Queued, sum.FreeAccelerators
	r.FitsNow = int(sum.FreeAccelerators) >= total.Accelerators
	if total.Accelerators > 0 && shape.Adjacent {
		r.FitsNow = r.FitsNow && int(sum.LargestGang) >= shape.Tasks
	}
	return r
}

func compareRoutes(a, b Route) int {
	return cmp.Or(
		trueFirst(a.Open, b.Open), trueFirst(a.Owned, b.Owned), trueFirst(a.FitsNow, b.FitsNow),
		cmp.Compare(a.Queued, b.Queued), trueFirst(a.Home, b.Home), cmp.Compare(b.Free, a.Free),
		cmp.Compare(a.DataCentre, b.DataCentre),
	)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
