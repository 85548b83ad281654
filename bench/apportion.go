package bench

import (
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// apportion splits each guarantee among the data centres that allow starts. Each unit of its count goes
// to the data centre with the least guaranteed work per worker.
func apportion(m *structs.Manifest) map[string][]state.Guarantee {
	byDataCentre := map[string][]state.Guarantee{}
	load := make([]float64, len(m.DataCentres))
	for _, ws := range m.Workspaces {
		for _, g := range ws.Guarantees {
			counts := make([]int, len(m.DataCentres))
			for range g.Count {
				best := -1
				for i, dc := range m.DataCentres {
					if dc.Stage.AllowsStarts() && (best < 0 || load[i] < load[best]) {
						best = i
					}
				}
				if best < 0 {
					return byDataCentre
				}
				counts[best]++
				load[best] += g.Shape.Total().DominantShare(m.DataCentres[best].Fleet.Capacity) / float64(m.DataCentres[best].Fleet.Workers)
			}
			for i, dc := range m.DataCentres {
				if counts[i] > 0 {
					part := state.Guarantee{Workspace: ws.Name, Guarantee: g}
					part.Count = counts[i]
					byDataCentre[dc.Name] = append(byDataCentre[dc.Name], part)
				}
			}
		}
	}
	return byDataCentre
}
