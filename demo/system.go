// Package demo runs a whole system on loopback in one process: stand-ins of the platform
// and of the workers, three instances, operators and callers. It checks the outcome
// against what the stand-in workers saw.
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
	instances     = 3
	listLag       = 200 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	drainTimeout  = 8 * time.Second
	requestTime   = 5 * time.Millisecond // of a short request on a worker
	readyTimeout  = 5 * time.Second
	storeRate     = 200 // calls a second for each instance
)

// system is everything that the demo runs.
type system struct {
	store     *standin.Store
	list      *standin.List
	platform  *standin.Server
	fleet     *standin.Fleet
	instances []*instance.Instance
	infos     []structs.Instance
	stop      context.CancelFunc
	running   sync.WaitGroup
	failures  chan error
	prober    context.CancelFunc
	probing   sync.WaitGroup
}

// start starts the stand-ins for the manifest's fleet and the instances.
func start(m structs.Manifest, log *zap.Logger) (*system, error) {
	s := &system{store: standin.NewStore(), list: standin.NewList(listLag), failures: make(chan error, instances)}
	var err error
	if s.fleet, err = standin.StartFleet(m, requestTime); err != nil {
		return nil, err
	}
	s.list.SetWorkers(s.fleet.WorkerInfos())
	if s.platform, err = standin.Serve("127.0.0.1:0", standin.PlatformHandler(s.store, s.list)); err != nil {
		return nil, errors.Join(err, s.fleet.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for n := range instances {
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
	s.running.Go(func() {
		if err := i.Run(ctx); err != nil {
			s.failures <- fmt.Errorf("%s: %w", id, err)
		}
	})
	return nil
}

func (s *system) startProber() {
	ctx, cancel := context.WithCancel(context.Background())
	s.prober = cancel
	p := &standin.Prober{List: s.list, Instances: s.infos, Interval: probeInterval}
	s.probing.Go(func() { p.Run(ctx) })
}

// waitReady waits until every instance reports ready.
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
	s.stop()
	s.running.Wait()
	if s.prober != nil {
		s.prober()
		s.probing.Wait()
	}
	close(s.failures)
	var errs []error
	for err := range s.failures {
		errs = append(errs, err)
	}
	return errors.Join(append(errs, s.platform.Close(), s.fleet.Close())...)
}

const pollInterval = 20 * time.Millisecond

// poll waits until f holds.
func poll(limit time.Duration, what string, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}
