package manifest

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	maxEntries   = 1000    // of each list
	maxCount     = 100_000 // of workers, connections, minimum slots and shapes of a guarantee
	maxGang      = 4096    // tasks of a gang
	maxShapes    = 10_000  // guaranteed shapes in total, because CheckFleet packs each one
	maxBodyBytes = 64 << 20
)

// namePattern keeps names usable in store keys, metric names and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Violation is one broken rule of a manifest.
type Violation struct {
	Field string // path of the field, such as data_centres[muc].stage
	Value string
	Rule  string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: value %q: %s", v.Field, v.Value, v.Rule)
}

// Violations holds all broken rules of a manifest.
type Violations []Violation

// Error implements error, with one line for each violation.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.Error()
	}
	return strings.Join(lines, "\n")
}

// checker collects violations.
type checker struct{ violations Violations }

// require adds a violation unless ok.
func (c *checker) require(ok bool, field string, value any, rule string) {
	if !ok {
		c.violations = append(c.violations, Violation{Field: field, Value: fmt.Sprint(value), Rule: rule})
	}
}

// between checks that value is from low to high, both included.
func (c *checker) between(value, low, high int, field string) {
	c.require(value >= low && value <= high, field, value, fmt.Sprintf("must be between %d and %d", low, high))
}

// name checks the syntax of a name and that seen does not contain it, and adds it to seen.
func (c *checker) name(name, field string, seen map[string]bool) {
	c.require(namePattern.MatchString(name), field, name,
		"must be 1 to 63 lower-case letters, digits and inner hyphens")
	c.require(!seen[name], field, name, "must be unique in its list")
	seen[name] = true
}

// Check validates m. It returns nil, or all broken rules as Violations.
func Check(m structs.Manifest) error {
	c := &checker{}
	c.between(len(m.DataCentres), 1, maxEntries, "data_centres")
	c.between(len(m.Workspaces), 0, maxEntries, "workspaces")
	c.between(len(m.Services), 0, maxEntries, "services")
	seen := map[string]bool{}
	for i, dc := range m.DataCentres {
		c.name(dc.Name, fmt.Sprintf("data_centres[%d].name", i), seen)
		c.dataCentre(dc)
	}
	seen = map[string]bool{}
	for i, w := range m.Workspaces {
		c.name(w.Name, fmt.Sprintf("workspaces[%d].name", i), seen)
		c.workspace(w)
	}
	shapes := 0
	for _, w := range m.Workspaces {
		for _, g := range w.Guarantees {
			shapes += g.Count
		}
	}
	c.require(shapes <= maxShapes, "workspaces", fmt.Sprintf("%d guaranteed shapes", shapes),
		fmt.Sprintf("must be at most %d in total", maxShapes))
	seen = map[string]bool{}
	for i, s := range m.Services {
		c.name(s.Name, fmt.Sprintf("services[%d].name", i), seen)
		c.service(s)
	}
	if len(c.violations) == 0 {
		return nil
	}
	return c.violations
}

func (c *checker) dataCentre(dc structs.DataCentre) {
	at := "data_centres[" + dc.Name + "]"
	c.require(dc.Region != "", at+".region", dc.Region, "must be set")
	switch dc.Stage {
	case structs.StageOpen, structs.StageDraining, structs.StageOut, structs.StageReturning:
	default:
		c.require(false, at+".stage", dc.Stage, "must be open, draining, out or returning")
	}
	c.require(dc.DrainBy.IsZero() || dc.Stage == structs.StageDraining, at+".drain_by", dc.DrainBy,
		"must be set only at stage draining")
	c.between(dc.Fleet.Workers, 0, maxCount, at+".fleet.workers")
	c.between(dc.Fleet.WorkersPerRack, 1, maxCount, at+".fleet.workers_per_rack")
	c.between(dc.Fleet.Connections, 1, maxCount, at+".fleet.connections")
	c.resources(dc.Fleet.Capacity, at+".fleet.capacity")
}

// resources checks the resources of a worker, a task or a service slot. Each needs at least one
// slot.
func (c *checker) resources(r structs.Resources, at string) {
	c.require(r.Slots >= 1, at+".slots", r.Slots, "must be at least 1")
	c.require(r.Processors >= 0, at+".processors", r.Processors, "must not be negative")
	c.require(r.MemoryMB >= 0, at+".memory_mb", r.MemoryMB, "must not be negative")
	c.require(r.Accelerators >= 0, at+".accelerators", r.Accelerators, "must not be negative")
}

func (c *checker) workspace(w structs.Workspace) {
	at := "workspaces[" + w.Name + "]"
	c.require(w.Weight >= 1, at+".weight", w.Weight, "must be at least 1")
	c.require(w.MaxQueued >= 1, at+".max_queued", w.MaxQueued, "must be at least 1")
	c.require(w.RatePerSec > 0, at+".rate_per_sec", w.RatePerSec, "must be above 0")
	c.between(len(w.Guarantees), 0, maxEntries, at+".guarantees")
	seen := map[string]bool{}
	for i, g := range w.Guarantees {
		c.name(g.Name, fmt.Sprintf("%s.guarantees[%d].name", at, i), seen)
		field := at + ".guarantees[" + g.Name + "]"
		c.between(g.Count, 1, maxCount, field+".count")
		c.between(g.Shape.Tasks, 1, maxGang, field+".shape.tasks")
		c.resources(g.Shape.Task, field+".shape.task")
	}
}

func (c *checker) service(s structs.Service) {
	at := "services[" + s.Name + "]"
	c.between(int(s.Class), int(structs.ClassInteractive), int(structs.ClassArchive), at+".class")
	c.require(s.MaxBody >= 1 && s.MaxBody <= maxBodyBytes, at+".max_body", s.MaxBody,
		fmt.Sprintf("must be between 1 and %d", maxBodyBytes))
	c.require(s.MaxAnswer >= 1 && s.MaxAnswer <= maxBodyBytes, at+".max_answer", s.MaxAnswer,
		fmt.Sprintf("must be between 1 and %d", maxBodyBytes))
	switch s.Kind {
	case structs.KindRequest:
		c.resources(s.SlotShape, at+".slot_shape")
		c.between(s.MinSlots, 0, maxCount, at+".min_slots")
		c.require(s.Timeout > 0, at+".timeout", durationText(s.Timeout), "must be above 0 for a request service")
		c.require(s.MaxTasks == 0, at+".max_tasks", s.MaxTasks, "must not be set for a request service")
	case structs.KindJob:
		c.between(s.MaxTasks, 1, maxGang, at+".max_tasks")
		c.require(s.Timeout >= 0, at+".timeout", durationText(s.Timeout), "must not be negative")
		c.require(s.MinSlots == 0, at+".min_slots", s.MinSlots, "must not be set for a job service")
		c.require(s.SlotShape.IsZero(), at+".slot_shape", s.SlotShape, "must not be set for a job service")
	default:
		c.require(false, at+".kind", s.Kind, "must be request or job")
	}
	c.require(s.Grace >= 0, at+".grace", durationText(s.Grace), "must not be negative")
}

func durationText(d structs.Duration) string {
	t, _ := d.MarshalText()
	return string(t)
}
