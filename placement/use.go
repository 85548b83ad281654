package placement

import (
	"math"
	"time"

	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// CapUse is what a workspace has running, against its cap and its weight.
type CapUse struct {
	Workspace *workload.Workspace
	Used      workload.Resources
	Percent   int     // of the cap, of the resource of which the largest part is used; 0 without a cap
	Share     float64 // largest fraction of a resource of all listed workers, divided by the weight if there is one
	Recent    float64 // recent mean of that fraction, divided likewise
}

// Above reports whether the use exceeds the cap.
func (u CapUse) Above() bool {
	return u.Used.Exceeds(u.Workspace.Cap)
}

// Use returns the use of each workspace with a weight or a cap that has a job, by name, and records it as its recent use
// from now on. It returns nil if there is none.
func (p *Policy) Use(c *jobstate.Cluster, workspace func(string) *workload.Workspace, now time.Time) map[string]CapUse {
	r := &round{Policy: p, c: c, now: now}
	r.openAccountsOfJobs(workspace)
	if len(r.accounts) == 0 {
		return nil
	}
	r.fillAccounts()
	r.countCapacity()
	r.recordUse()
	use := map[string]CapUse{}
	for name, a := range r.accounts {
		weight := a.config.Weight
		if weight <= 0 {
			weight = 1
		}
		use[name] = CapUse{Workspace: a.config, Used: a.used, Percent: int(math.Round(100 * dominant(a.used, a.config.Cap))),
			Share: dominant(a.used, r.capacity) / weight, Recent: p.recentOf(name) / weight}
	}
	return use
}
