package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

const headerTimeout = 5 * time.Second

// Server is the HTTP server of a stand-in.
type Server struct {
	Address string
	http    *http.Server
	done    chan struct{}
}

// Serve starts serving the handler on the address. With port 0 the kernel chooses the port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		Address: l.Addr().String(),
		http:    &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		// Serve returns after Close or a failure of the listener.
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

// Fleet is a set of workers, each with its own listener.
type Fleet struct {
	Workers []*Worker
	servers []*Server
}

// StartFleet starts the workers of the manifest's data centres on loopback ports chosen by the
// kernel. A short request takes runTime.
func StartFleet(m structs.Manifest, runTime time.Duration) (*Fleet, error) {
	f := &Fleet{}
	for _, dc := range m.DataCentres {
		for i := range dc.Fleet.Workers {
			if err := f.start(workerSpec(dc, i), runTime); err != nil {
				return nil, errors.Join(err, f.Close())
			}
		}
	}
	return f, nil
}

// workerSpec returns the listing of worker i of a data centre.
func workerSpec(dc structs.DataCentre, i int) structs.Worker {
	return structs.Worker{
		ID:          fmt.Sprintf("%s-w%03d", dc.Name, i),
		DataCentre:  dc.Name,
		Rack:        i / max(dc.Fleet.WorkersPerRack, 1),
		Capacity:    dc.Fleet.Capacity,
		Connections: dc.Fleet.Connections,
	}
}

func (f *Fleet) start(info structs.Worker, runTime time.Duration) error {
	w := NewWorker(info, runTime)
	s, err := Serve("127.0.0.1:0", WorkerHandler(w))
	if err != nil {
		return err
	}
	w.SetAddress(s.Address)
	f.Workers = append(f.Workers, w)
	f.servers = append(f.servers, s)
	return nil
}

// WorkerInfos returns all workers as the platform lists them.
func (f *Fleet) WorkerInfos() []structs.Worker {
	infos := make([]structs.Worker, len(f.Workers))
	for i, w := range f.Workers {
		infos[i] = w.Info()
	}
	return infos
}

// Close stops all workers.
func (f *Fleet) Close() error {
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// Prober updates the instances of a List by health checks of their admin listeners, as a platform
// does. An instance that is not ready is listed as leaving; one that fails the liveness check is
// not listed.
type Prober struct {
	List      *List
	Instances []structs.Instance
	Interval  time.Duration
	client    http.Client
}

// Run probes the instances at each interval until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.client.Timeout = p.Interval
	t := time.NewTicker(p.Interval)
	defer t.Stop()
	for {
		p.List.SetInstances(p.probe(ctx))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context) []structs.Instance {
	found := make([]*structs.Instance, len(p.Instances))
	var wg sync.WaitGroup
	for i, instance := range p.Instances {
		wg.Go(func() {
			alive, ready := p.probeInstance(ctx, instance.AdminAddr)
			instance.Leaving = !ready
			if alive {
				found[i] = &instance
			}
		})
	}
	wg.Wait()
	var listed []structs.Instance
	for _, instance := range found {
		if instance != nil {
			listed = append(listed, *instance)
		}
	}
	return listed
}

func (p *Prober) probeInstance(ctx context.Context, admin string) (alive, ready bool) {
	status := func(path string) int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
		if err != nil {
			return 0
		}
		resp, err := p.client.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	alive = status("/healthz") == http.StatusOK
	return alive, alive && status("/readyz") == http.StatusOK
}
