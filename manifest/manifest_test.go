package manifest_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// The seed is fixed so that every run draws the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20260109"); err != nil {
		panic(err)
	}
}

func example(t require.TestingT, name string) structs.Manifest {
	document, err := os.ReadFile("../examples/" + name + ".yaml")
	require.NoError(t, err)
	m, err := manifest.Parse(document)
	require.NoError(t, err)
	return m
}

// Guards against invalid examples, and against values that are lost between Encode and Parse.
func TestExamplesAreValidAndRoundTrip(t *testing.T) {
	for _, name := range []string{"verband", "brazos"} {
		m := example(t, name)
		require.NoError(t, manifest.Check(m))
		report, err := manifest.CheckFleet(m)
		require.NoError(t, err)
		require.Empty(t, report.String(), "every guarantee survives the loss of any one data centre")
		m.DataCentres[0].Stage = structs.StageDraining
		m.DataCentres[0].DrainBy = time.Date(2026, 1, 9, 4, 30, 0, 0, time.UTC)
		document, err := manifest.Encode(m)
		require.NoError(t, err)
		decoded, err := manifest.Parse(document)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
		require.Empty(t, manifest.Diff(m, decoded))
	}
}

// Guards against documents that are accepted with a misspelt or repeated field or a value of the
// wrong type, and against errors that do not name the position.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ document, want string }{
		{"data_centers: []\n", `line 1, column 1: value "data_centers": unknown field`},
		{"data_centres:\n  - name: a\n    name: b\n", `line 3`},
		{"data_centres:\n  - name: a\n    fleet:\n      workers: many\n", `line 4, column 16: value "many"`},
		{"services:\n  - timeout: 5 parsecs\n", `5 parsecs`},
		{"data_centres: []\n---\ndata_centres: []\n", "single YAML document"},
		{"", "empty"},
	} {
		_, err := manifest.Parse([]byte(c.document))
		require.ErrorContains(t, err, c.want)
	}
}

// Guards against a check that stops at the first violation.
func TestCheckReportsAllViolations(t *testing.T) {
	m := example(t, "verband")
	m.DataCentres[1].Name = m.DataCentres[0].Name
	m.DataCentres[2].Stage = "closed"
	m.Workspaces[0].Weight = 0
	m.Workspaces[1].Guarantees[0].Shape.Task.Slots = 0
	m.Services[0].Kind = "batch"
	var violations manifest.Violations
	require.ErrorAs(t, manifest.Check(m), &violations)
	var fields []string
	for _, f := range violations {
		fields = append(fields, f.Field)
	}
	require.Equal(t, []string{"data_centres[1].name", "data_centres[nuernberg].stage", "workspaces[oberbayern].weight",
		"workspaces[schwaben].guarantees[planning].shape.task.slots", "services[rota].kind"}, fields)
}

// Guards against guarantees and minimum slots that are accepted although the fleet cannot hold
// them, and against a report that lacks the guarantees which the loss of one data centre breaks.
func TestCheckFleet(t *testing.T) {
	m := example(t, "verband")
	m.Workspaces[0].Guarantees[0].Count = 14
	report, err := manifest.CheckFleet(m)
	require.NoError(t, err)
	require.Len(t, report.Lost, 4)
	m.Workspaces[0].Guarantees[0].Count = 40
	_, err = manifest.CheckFleet(m)
	require.ErrorContains(t, err, "workspaces[oberbayern].guarantees[planning]")
	m = example(t, "verband")
	m.Services[0].MinSlots = 97
	_, err = manifest.CheckFleet(m)
	require.ErrorContains(t, err, `services[rota].min_slots: value "1": must fit into the fleet of data centre augsburg`)
}

// Guards against a diff that depends on the order of lists or misses a changed field.
func TestDiff(t *testing.T) {
	a, b := example(t, "brazos"), example(t, "brazos")
	slices.Reverse(b.Workspaces)
	require.Empty(t, manifest.Diff(a, b))
	b.DataCentres[0].Stage = structs.StageOut
	b.Services[1].Timeout = structs.Duration(time.Hour)
	require.Equal(t, []manifest.Change{
		{Field: "data_centres[austin].stage", Before: "open", After: "out"},
		{Field: "services[draft-minutes].timeout", Before: "2h0m0s", After: "1h0m0s"},
	}, manifest.Diff(a, b))
	require.Equal(t, []string{"austin"}, manifest.Withdrawn(a, b))
}

// Guards against shapes that are lost, counted twice or assigned to a data centre that is not in
// service, and against unnecessary moves of shapes between other data centres.
func TestApportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := example(t, rapid.SampledFrom([]string{"verband", "brazos"}).Draw(t, "example"))
		for w := range m.Workspaces {
			m.Workspaces[w].Guarantees[0].Count = rapid.IntRange(1, 12).Draw(t, "count")
		}
		open := manifest.AssignGuarantees(m)
		stages := []structs.Stage{structs.StageOpen, structs.StageDraining, structs.StageOut, structs.StageReturning}
		for i := range m.DataCentres {
			m.DataCentres[i].Stage = rapid.SampledFrom(stages).Draw(t, "stage")
		}
		now := manifest.AssignGuarantees(m)
		require.Equal(t, now.Shares, manifest.Apportion(m), "repeated calls give the same result")
		for _, w := range m.Workspaces {
			total := sum(now.Unplaced, w.Name)
			for name, shares := range now.Shares {
				require.True(t, m.DataCentre(name).Stage.AllowsStarts())
				total += sum(shares, w.Name)
			}
			require.Equal(t, w.Guarantees[0].Count, total)
		}
		lost, moved := 0, 0
		for _, dc := range m.DataCentres {
			var total structs.Resources
			for _, share := range now.Shares[dc.Name] {
				total = total.Add(share.Shape.Total().Mul(share.Count))
			}
			require.True(t, total.Fits(dc.Fleet.Capacity.Mul(dc.Fleet.Workers)), "shares exceed the capacity of %s", dc.Name)
			for _, w := range m.Workspaces {
				if before := sum(open.Shares[dc.Name], w.Name); dc.Stage.AllowsStarts() {
					moved += max(0, before-sum(now.Shares[dc.Name], w.Name))
				} else {
					lost += before
				}
			}
		}
		require.LessOrEqual(t, moved, lost, "at most one other shape moves for each shape that lost its data centre")
	})
}

func sum(shares []manifest.Share, workspace string) int {
	n := 0
	for _, s := range shares {
		if s.Workspace == workspace {
			n += s.Count
		}
	}
	return n
}

// BenchmarkCheckFleet measures the check that a commit performs, at the size expected within two
// years: 98 workspaces and 630 workers in 7 data centres. Nine tenths of the capacity are guaranteed,
// so that some shapes cannot be placed when a data centre is lost.
func BenchmarkCheckFleet(b *testing.B) {
	m := example(b, "brazos")
	dc, ws := m.DataCentres[0], m.Workspaces[0]
	dc.Fleet.Workers = 90
	m.DataCentres, m.Workspaces = nil, nil
	for i := range 7 {
		dc.Name = fmt.Sprintf("dc%d", i)
		m.DataCentres = append(m.DataCentres, dc)
	}
	shape := ws.Guarantees[0].Shape
	for i := range 98 {
		w := ws
		w.Name = fmt.Sprintf("team%d", i)
		w.Guarantees = nil
		for size := 1; size <= 2; size++ {
			shape.Tasks = size
			w.Guarantees = append(w.Guarantees, structs.Guarantee{Name: fmt.Sprintf("g%d", size), Shape: shape, Count: 2})
		}
		m.Workspaces = append(m.Workspaces, w)
	}
	require.NoError(b, manifest.Check(m))
	for b.Loop() {
		_, _ = manifest.CheckFleet(m)
	}
}
