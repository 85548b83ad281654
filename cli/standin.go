package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/signals"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const probeInterval = time.Second

// standinCommand runs the stand-ins of the platform and of the workers.
type standinCommand struct {
	output
	Manifest  string        `long:"manifest" env:"CYCLAMENYARD_STANDIN_MANIFEST" required:"yes" description:"manifest whose fleet is started"`
	Listen    string        `long:"listen" env:"CYCLAMENYARD_STANDIN_LISTEN" default:"127.0.0.1:7000" description:"IP:port of the platform stand-in"`
	Instances []string      `long:"instance" description:"instance to list, as id,data-centre,peer,callers,admin; may be given several times"`
	ListLag   time.Duration `long:"list-lag" default:"2s" description:"lag of the list"`
	RunTime   time.Duration `long:"run-time" default:"20ms" description:"time that a worker takes for a short request"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	received := signals.Receive()
	instances, err := c.instances()
	if err != nil {
		return usageError(err)
	}
	_, m, _, err := fileArg{File: c.Manifest}.read()
	if err != nil {
		return err
	}
	fleet, err := standin.StartFleet(m, c.RunTime)
	if err != nil {
		return err
	}
	list := standin.NewList(c.ListLag)
	list.SetWorkers(fleet.WorkerInfos())
	server, err := standin.Serve(c.Listen, standin.PlatformHandler(standin.NewStore(), list))
	if err != nil {
		return errors.Join(err, fleet.Close())
	}
	fmt.Fprintf(c.out, "platform stand-in on %s with %d workers\n", server.Address, len(fleet.Workers))
	ctx, stop := context.WithCancel(received.Stopping)
	defer stop()
	go func() {
		<-received.Hangups // the terminal was closed
		stop()
	}()
	prober := standin.Prober{List: list, Instances: instances, Interval: probeInterval}
	prober.Run(ctx)
	return errors.Join(server.Close(), fleet.Close())
}

func (c *standinCommand) instances() ([]structs.Instance, error) {
	const fields = 5
	var list []structs.Instance
	for _, text := range c.Instances {
		f := strings.Split(text, ",")
		if len(f) != fields {
			return nil, fmt.Errorf("--instance %q: must be id,data-centre,peer,callers,admin", text)
		}
		list = append(list, structs.Instance{ID: f[0], DataCentre: f[1], PeerAddr: f[2], CallerAddr: f[3], AdminAddr: f[4]})
	}
	return list, nil
}
