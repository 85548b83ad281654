package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// MissingSlots are slots that a service keeps in a data centre but that do not fit there.
type MissingSlots struct {
	DataCentre string
	Service    string
	Slots      int
}

// FleetReport states how the guarantees of a manifest fit into its fleets.
type FleetReport struct {
	// Unplaced shapes do not fit even when every data centre is in service.
	Unplaced []Share
	// MissingSlots are service slots that do not fit into their data centre.
	MissingSlots []MissingSlots
	// Suspended shapes have no place under the stages of the manifest.
	Suspended []Share
	// Lost names, for each data centre, the shapes that have no place when it alone is out.
	Lost map[string][]Share
}

// CheckFleet refuses guarantees and service slots that cannot be packed together into
// the fleets of all data centres. It reports shapes that have no place under the
// stages of m, and those that would not survive the loss of any one data centre;
// neither is an error, because operators must be able to take a data centre out.
// Packing is first fit by size, so a set that leaves almost no room can be refused
// although another packing exists.
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
	return r, r.fault()
}

// fault returns the error for what does not fit with all data centres in service.
func (r FleetReport) fault() error {
	var faults Violations
	for _, s := range r.Unplaced {
		faults = append(faults, Violation{
			Field: fmt.Sprintf("workspaces[%s].guarantees[%s]", s.Workspace, s.Name),
			Value: fmt.Sprintf("%d of %s", s.Count, s.Shape),
			Rule:  "must fit into the fleets together with all other guarantees and kept slots",
		})
	}
	for _, s := range r.MissingSlots {
		faults = append(faults, Violation{
			Field: fmt.Sprintf("services[%s].min_slots", s.Service),
			Value: fmt.Sprint(s.Slots),
			Rule:  "must fit into the fleet of data centre " + s.DataCentre,
		})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// String states which guarantees have no place, one per line.
func (r FleetReport) String() string {
	var b strings.Builder
	line := func(when string, shares []Share) {
		for _, s := range shares {
			fmt.Fprintf(&b, "%s: workspace %s guarantee %s: %d of %s has no place\n", when, s.Workspace, s.Name, s.Count, s.Shape)
		}
	}
	line("all data centres in service", r.Unplaced)
	line("under the stated stages", r.Suspended)
	names := make([]string, 0, len(r.Lost))
	for name := range r.Lost {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line("data centre "+name+" out", r.Lost[name])
	}
	return b.String()
}

// inService returns m with every data centre open but the one named out.
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
