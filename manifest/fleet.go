package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// MissingSlots is the number of a service's minimum slots that do not fit into a data centre.
type MissingSlots struct {
	DataCentre string
	Service    string
	Slots      int
}

// FleetReport lists the guarantees and minimum slots of a manifest that do not fit into its fleets.
type FleetReport struct {
	// Unplaced holds the shapes that do not fit even when every data centre is in service.
	Unplaced []Share
	// MissingSlots holds the minimum slots of services that do not fit into a data centre.
	MissingSlots []MissingSlots
	// Suspended holds the shapes that cannot be placed under the stages of the manifest.
	Suspended []Share
	// Lost holds, by data centre, the shapes that cannot be placed when only that one is out.
	Lost map[string][]Share
}

// CheckFleet returns an error if the guarantees and the minimum slots of services cannot be packed
// together into the fleets of all data centres. The report also lists shapes that cannot be
// placed under the stages of m, and shapes that cannot be placed when one data centre is lost.
// Neither is an error, because operators must be able to take a data centre out. Packing is
// first fit by decreasing size, so a manifest that leaves almost no room can be refused although
// another packing exists.
func CheckFleet(m structs.Manifest) (FleetReport, error) {
	all := inService(m, "")
	r := FleetReport{Unplaced: AssignGuarantees(all).Unplaced, Suspended: AssignGuarantees(m).Unplaced, Lost: map[string][]Share{}}
	for _, f := range newPacking(m).fleets {
		r.MissingSlots = append(r.MissingSlots, f.missing...)
	}
	for _, dc := range m.DataCentres {
		if lost := AssignGuarantees(inService(m, dc.Name)).Unplaced; len(lost) > 0 {
			r.Lost[dc.Name] = lost
		}
	}
	return r, r.violations()
}

// violations returns an error if something does not fit with all data centres in service.
func (r FleetReport) violations() error {
	var violations Violations
	for _, s := range r.Unplaced {
		violations = append(violations, Violation{
			Field: fmt.Sprintf("workspaces[%s].guarantees[%s]", s.Workspace, s.Name),
			Value: fmt.Sprintf("%d of %s", s.Count, s.Shape),
			Rule:  "must fit into the fleets together with all other guarantees and kept slots",
		})
	}
	for _, s := range r.MissingSlots {
		violations = append(violations, Violation{
			Field: fmt.Sprintf("services[%s].min_slots", s.Service),
			Value: fmt.Sprint(s.Slots),
			Rule:  "must fit into the fleet of data centre " + s.DataCentre,
		})
	}
	if len(violations) == 0 {
		return nil
	}
	return violations
}

// String returns the guarantees that cannot be placed, one per line.
func (r FleetReport) String() string {
	var b strings.Builder
	writeLines := func(when string, shares []Share) {
		for _, s := range shares {
			fmt.Fprintf(&b, "%s: workspace %s guarantee %s: %d of %s has no place\n", when, s.Workspace, s.Name, s.Count, s.Shape)
		}
	}
	writeLines("all data centres in service", r.Unplaced)
	writeLines("under the stated stages", r.Suspended)
	names := make([]string, 0, len(r.Lost))
	for name := range r.Lost {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		writeLines("data centre "+name+" out", r.Lost[name])
	}
	return b.String()
}

// inService returns m with all data centres at stage open, except the named one, which is out.
func inService(m structs.Manifest, out string) structs.Manifest {
	m.DataCentres = slices.Clone(m.DataCentres)
	for i := range m.DataCentres {
		m.DataCentres[i].Stage = structs.StageOpen
		if m.DataCentres[i].Name == out {
			m.DataCentres[i].Stage = structs.StageOut
		}
	}
	return m
}
