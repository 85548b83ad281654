// Package demo runs a whole system on loopback in one process: stand-ins for the platform and the
// workers, three instances, operators and callers. It checks the callers' replies against the runs
// recorded by the stand-in workers.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/instance"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	instanceCount = 3
	listLag       = 200 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	drainTimeout  = 8 * time.Second
	requestTime   = 5 * time.Millisecond // run time of a short request
	readyTimeout  = 5 * time.Second
	storeRate     = 200 // calls per second and instance
)

// system holds the instances and stand-ins of the demo.
type system struct {
	store         *standin.Store
	list          *standin.List
	platform      *standin.Server
	fleet         *standin.Fleet
	instances     []*instance.Instance
	infos         []structs.Instance
	stopInstances context.CancelFunc
	instancesDone sync.WaitGroup
	failures      chan error
	stopProber    context.CancelFunc
	proberDone    sync.WaitGroup
}

// start starts the stand-ins for the manifest's fleet and the instances.
func start(m structs.Manifest, log *zap.Logger) (*system, error) {
	s := &system{store: standin.NewStore(), list: standin.NewList(listLag), failures: make(chan error, instanceCount)}
	var err error
	if s.fleet, err = standin.StartFleet(m, requestTime); err != nil {
		return nil, err
	}
	s.list.SetWorkers(s.fleet.WorkerInfos())
	if s.platform, err = standin.Serve("127.0.0.1:0", standin.PlatformHandler(s.store, s.list)); err != nil {
		return nil, errors.Join(err, s.fleet.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stopInstances = stop
	for n := range instanceCount {
		if err := s.startInstance(ctx, n, m, log); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	s.startProber()
	return s, s.waitReady()
}

func (s *system) startInstance(ctx context.Context, n int, m structs.Manifest, log *zap.Logger) error {
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners[i] = l
	}
	id := fmt.Sprintf("entry-%d", n+1)
	i, err := instance.New(instance.Options{
		ID: id, DataCentre: m.DataCentres[n%len(m.DataCentres)].Name, Platform: s.platform.Address,
		Callers: listeners[0], Peers: listeners[1], Admin: listeners[2],
		ListLag: listLag, DrainTimeout: drainTimeout, StoreCallsPerSec: storeRate,
		Log: log.With(zap.String("instance", id)), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	s.infos = append(s.infos, i.Info())
	s.instancesDone.Go(func() {
		if err := i.Run(ctx); err != nil {
			s.failures <- fmt.Errorf("%s: %w", id, err)
		}
	})
	return nil
}

func (s *system) startProber() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopProber = cancel
	p := &standin.Prober{List: s.list, Instances: s.infos, Interval: probeInterval}
	s.proberDone.Go(func() { p.Run(ctx) })
}

// waitReady waits until all instances are ready.
func (s *system) waitReady() error {
	return poll(readyTimeout, "every instance is ready", func() bool {
		for _, i := range s.infos {
			resp, err := http.Get("http://" + i.AdminAddr + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// close stops the instances gracefully, then the stand-ins.
func (s *system) close() error {
	s.stopInstances()
	s.instancesDone.Wait()
	if s.stopProber != nil {
		s.stopProber()
		s.proberDone.Wait()
	}
	close(s.failures)
	var errs []error
	for err := range s.failures {
		errs = append(errs, err)
	}
	return errors.Join(append(errs, s.platform.Close(), s.fleet.Close())...)
}

const pollInterval = 20 * time.Millisecond

// poll calls f until it returns true, at most for limit.
func poll(limit time.Duration, what string, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("timed out after %v waiting until %s", limit, what)
}
