package cli

import (
	"context"
	"errors"
	"os"
	"os/signal"

	"github.com/cyclamenyard/cyclamenyard/bench"
)

// benchPolicyCommand runs the policy benchmark.
type benchPolicyCommand struct {
	output
	outputFlags
	Seeds     int      `long:"seeds" default:"10" description:"number of seeds, from 1 upwards"`
	Parallel  int      `long:"parallel" default:"4" description:"runs at the same time"`
	Workloads []string `long:"workload" description:"workload to run; may be given several times; default: all"`
}

// Execute implements flags.Commander.
func (c *benchPolicyCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Parallel < 1 {
		return usageError(errors.New("--seeds and --parallel: must be at least 1"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := bench.Run(ctx, bench.Options{Seeds: c.Seeds, Parallel: c.Parallel, Workloads: c.Workloads})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return report.WriteJSON(c.out)
	}
	return report.WriteText(c.out)
}
