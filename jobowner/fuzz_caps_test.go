package jobowner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// cappedGuarantee is how many accelerators belong to the urgent jobs of the workspace "capped". Its cap is never lower.
	cappedGuarantee = 8
	// maxGangOfCapped is the largest gang that the workspace sends: at a lower cap it waits.
	maxGangOfCapped = 18
)

// cappedActions are the actions of TestFuzzCaps.
var cappedActions = append([]string{"capped", "capped", "capped", "capped", "capped", "capped", "capped_gang", "capped_gang", "capped_gang", "capped_gang", "cap", "cap",
	"cap", "outage"}, standingActions...)

// Load: a workspace sends more than its cap, which is changed, beside another one. Guards against starts above the cap
// (QUOTA), and against jobs at the cap that are lost or stand, under all faults of the other scenarios.
func TestFuzzCaps(t *testing.T) {
	fuzzScenarios(t, drawCapped, fuzzOptions{capped: true})
}

func (d *scenario) setCap(accelerators int) {
	d.configure(workload.Workspace{Name: "capped", GuaranteedAccelerators: cappedGuarantee, Weight: 2, Cap: workload.Resources{Accelerators: accelerators}})
}

// reclaimGuaranteeAtCap fills the cap of the workspace with work that is not urgent, and then submits a job for its
// guarantee. The oracle checks that the guarantee is met in time.
func (d *scenario) reclaimGuaranteeAtCap(t *testing.T) {
	d.submitFor("capped", "fill-cap", "batch", tasks(3*maxGangOfCapped, 1))
	time.Sleep(time.Second)
	d.submitFor("capped", "owed-at-cap", "urgent", gang(2, cappedGuarantee/2))
	d.waitForEnd(t, "owed-at-cap", time.Minute)
	d.waitForEnd(t, "fill-cap", time.Minute)
}

func drawCapped(t *rapid.T) []event { return drawFrom(t, cappedActions) }
