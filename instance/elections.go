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
	i  *Instance
	mu sync.Mutex
	// running holds the elections by data centre; ctx is that of run, nil before it.
	running map[string]*runningElection
	ctx     context.Context
	names   []string
	wg      sync.WaitGroup
}

type runningElection struct {
	*membership.Election
	stop context.CancelFunc
}

func (e *elections) init(i *Instance) {
	e.i = i
	e.running = map[string]*runningElection{}
}

// run takes part in the elections until ctx ends, releases what this instance owns and
// waits until its owners have stood down.
func (e *elections) run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	names := e.names
	e.mu.Unlock()
	e.update(names)
	<-ctx.Done()
	e.wg.Wait()
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	e.i.owners.Run(stopped) // returns once every owner has stood down
}

// update starts and ends elections so that there is one for each named data centre.
func (e *elections) update(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.names = names
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

// holder returns the instance that owns the data centre, as far as is known.
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

// configure puts a revision in force at the owners and elections.
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
