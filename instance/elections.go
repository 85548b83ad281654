package instance

import (
	"context"
	"sync"

	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// elections runs one election for each data centre of the manifest in force.
type elections struct {
	i           *Instance
	mu          sync.Mutex
	running     map[string]*runningElection // by data centre
	ctx         context.Context             // of run; nil before run is called
	dataCentres []string                    // data centres of the manifest in force
	wg          sync.WaitGroup
}

type runningElection struct {
	*membership.Election
	stop context.CancelFunc
}

func (e *elections) init(i *Instance) {
	e.i = i
	e.running = map[string]*runningElection{}
}

// run takes part in the elections until ctx ends. It then releases the ownership of this instance's data
// centres and waits until their owners have stopped.
func (e *elections) run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	names := e.dataCentres
	e.mu.Unlock()
	e.update(names)
	<-ctx.Done()
	e.wg.Wait()
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	e.i.owners.Run(stopped) // returns when every owner has stopped
}

// update starts and stops elections so that one runs for each of the data centres.
func (e *elections) update(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dataCentres = names
	if e.ctx == nil || e.ctx.Err() != nil {
		return
	}
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
		if e.running[name] == nil {
			e.start(name)
		}
	}
	for name, r := range e.running {
		if !wanted[name] {
			r.stop()
			delete(e.running, name)
		}
	}
}

func (e *elections) start(name string) {
	ctx, stop := context.WithCancel(e.ctx)
	r := &runningElection{stop: stop}
	r.Election = membership.NewElection(membership.ElectionOptions{
		DataCentre: name, Store: e.i.platform, Members: e.i.members, Log: e.i.log, Metrics: e.i.metrics,
		OnElected:   func(token uint64) { e.i.owners.Elected(name, token) },
		OnStoodDown: func() { e.i.owners.StoodDown(name) },
	})
	e.running[name] = r
	e.wg.Go(func() { r.Run(ctx) })
}

// holder returns the newest owner of the data centre that this instance has seen in the store or in an
// owner's summary. It returns false if there is none.
func (e *elections) holder(dataCentre string) (string, bool) {
	e.mu.Lock()
	r := e.running[dataCentre]
	e.mu.Unlock()
	if r == nil {
		return "", false
	}
	holder, _, ok := r.Holder()
	return holder, ok
}

// configure applies a revision of the manifest to the owners and elections.
func (i *Instance) configure(r structs.Revision) {
	names := make([]string, 0, len(r.Manifest.DataCentres))
	for _, dc := range r.Manifest.DataCentres {
		names = append(names, dc.Name)
	}
	guarantees := map[string][]state.Guarantee{}
	for dc, shares := range manifest.Apportion(r.Manifest) {
		for _, s := range shares {
			guarantees[dc] = append(guarantees[dc], state.Guarantee{Workspace: s.Workspace, Guarantee: s.Guarantee})
		}
	}
	i.owners.Configure(r, guarantees)
	i.elections.update(names)
}
