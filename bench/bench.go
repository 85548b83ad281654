// Package bench measures placement policies. It runs packages state and scheduler in virtual time on
// generated workloads, and compares the policies with each other and with the project's targets.
package bench

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenyard/cyclamenyard/scheduler"
)

// Options choose what Run measures. A zero field selects its default.
type Options struct {
	Seeds       int      // run seeds 1 to Seeds; default 10
	Parallel    int      // simulations at the same time; default 4
	Workloads   []string // names; default all
	WorkerSizes []int    // numbers of workers for the time per decision; default 50, 630 and 5000
}

const (
	firstFitName  = "first-fit"
	bestFitName   = "best-fit"
	schedulerName = "scheduler"
)

// candidate is a policy to compare.
type candidate struct {
	name     string
	policy   scheduler.Policy
	baseline bool // ignores guarantees and plans no transfers; decide transfers the queue of a data centre that allows no starts
}

func candidates() []candidate {
	return []candidate{
		{firstFitName, scheduler.FirstFit{}, true},
		{bestFitName, scheduler.BestFit{}, true},
		{schedulerName, scheduler.New(scheduler.Options{}), false},
	}
}

// Run measures every policy on every workload with every seed.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Seeds <= 0 {
		o.Seeds = 10
	}
	if o.Parallel <= 0 {
		o.Parallel = 4
	}
	if o.WorkerSizes == nil {
		o.WorkerSizes = []int{50, 630, 5000}
	}
	var report Report
	for _, s := range specs() {
		if len(o.Workloads) > 0 && !slices.Contains(o.Workloads, s.name) {
			continue
		}
		w, err := measure(ctx, s, o)
		if err != nil {
			return Report{}, fmt.Errorf("workload %s: %w", s.name, err)
		}
		report.Workloads = append(report.Workloads, w)
	}
	if len(report.Workloads) == 0 {
		return Report{}, fmt.Errorf("unknown workloads: %v", o.Workloads)
	}
	for _, n := range o.WorkerSizes {
		for _, p := range candidates() {
			d, err := decisionTime(ctx, p, n)
			if err != nil {
				return Report{}, err
			}
			report.Decisions = append(report.Decisions, d)
		}
	}
	report.checkTargets()
	return report, nil
}

func measure(ctx context.Context, s *spec, o Options) (WorkloadReport, error) {
	policies := candidates()
	measured := make([][][]measurement, len(policies)) // by policy and seed
	offered := make([]float64, o.Seeds)
	jobs := make([]float64, o.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.Parallel)
	for i, p := range policies {
		measured[i] = make([][]measurement, o.Seeds)
		for k := range o.Seeds {
			group.Go(func() error {
				w := generate(s, uint64(k+1))
				r := newSimulation(w, p, uint64(k+1))
				err := r.runAll(ctx)
				measured[i][k] = r.stats.measurements()
				if i == 0 {
					offered[k], jobs[k] = w.offeredLoad, float64(len(w.jobs))
				}
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return WorkloadReport{}, err
	}
	report := WorkloadReport{Name: s.name, Seeds: o.Seeds, Grace: s.grace.Seconds(), Offered: newMetric("offered load", offered), Jobs: newMetric("jobs", jobs)}
	for i, p := range policies {
		pr := PolicyReport{Policy: p.name}
		for f := range measured[i][0] {
			values := make([]float64, o.Seeds)
			for k := range values {
				values[k] = measured[i][k][f].value
			}
			pr.Metrics = append(pr.Metrics, newMetric(measured[i][0][f].name, values))
		}
		report.Policies = append(report.Policies, pr)
	}
	return report, nil
}
