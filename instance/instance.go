package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenyard/cyclamenyard/claims"
	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/owner"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/slots"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Instance is one instance with all its roles: gateway for callers, owner of data centres, and member of
// the group of instances.
type Instance struct {
	opts    Options
	info    structs.Instance
	log     *zap.Logger
	metrics metrics.Registry

	platform  *remote.Client
	transport *http.Transport // to workers
	clients   *peer.Clients
	members   *membership.Controller
	config    *config.Controller
	owners    *owner.Controller
	claims    *claims.Ledger
	pool      *slots.Pool
	gateway   *gateway.Server
	router    *router
	elections elections

	liveCount atomic.Int64 // listed instances that are not leaving
	stopping  atomic.Bool
	killed    chan struct{} // closed by Kill
	killOnce  sync.Once
}

// answerTimeout limits how long the end of a drain waits for callers that do not read their answers.
const answerTimeout = 2 * time.Second

var errNotDrained = errors.New("stopped without draining")

// New returns an instance. Run starts it.
func New(o Options) (*Instance, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Policy == nil {
		o.Policy = scheduler.New(scheduler.Options{})
	}
	i := &Instance{
		opts: o, info: o.info(), log: o.Log, metrics: o.Metrics,
		transport: remote.NewTransport(0), killed: make(chan struct{}),
	}
	i.platform = remote.NewClient(remote.ClientOptions{Address: o.Platform, CallsPerSec: o.StoreCallsPerSec, Metrics: o.Metrics})
	i.clients = peer.NewClients(peer.ClientOptions{Metrics: o.Metrics})
	i.members = membership.New(membership.Options{Self: i.info, List: i.platform, Clients: i.clients, Log: o.Log, Metrics: o.Metrics})
	i.config = config.New(config.Options{Store: i.platform, Peers: i.members, ListLag: o.ListLag, Log: o.Log, Metrics: o.Metrics})
	i.members.SetConfig(i.config)
	i.wireOwners()
	i.wireGateway()
	return i, nil
}

func (i *Instance) wireOwners() {
	i.router = &router{instance: i}
	i.owners = owner.New(owner.Options{
		Instance: i.info.ID, Store: i.platform, List: i.platform, Dial: i.dial, Policy: i.opts.Policy,
		Gate: i.config, Notifier: i.router, Destinations: i.router, Log: i.log, Metrics: i.metrics,
	})
	i.elections.init(i)
	i.config.Subscribe(i.configure)
}

func (i *Instance) wireGateway() {
	i.claims = claims.New(claims.Options{
		Instance: i.info.ID, Store: i.platform, Peers: i.members, Instances: i.liveInstances, Log: i.log, Metrics: i.metrics,
	})
	i.pool = slots.New(slots.Options{
		Instance: i.info.ID, Leaser: i.router, DataCentres: i.startableDataCentres, MayStart: i.config.MayStart, Log: i.log, Metrics: i.metrics,
	})
	i.gateway = gateway.New(gateway.Options{
		Instance: i.info.ID, DataCentre: i.info.DataCentre, Manifest: i.config, Slots: i.pool, Claims: i.claims,
		Upstream: remote.NewUpstreamClient(i.transport), Jobs: i.router, Summaries: i.members.Summaries,
		Instances: i.liveInstances, Log: i.log, Metrics: i.metrics,
	})
}

// dial returns a client for a worker's control API. All clients share one transport.
func (i *Instance) dial(w structs.Worker) remote.Worker {
	return remote.NewWorkerClient(remote.ClientOptions{Address: w.Address, Transport: i.transport, Metrics: i.metrics})
}

// Info returns the instance's entry on the platform's list.
func (i *Instance) Info() structs.Instance { return i.info }

// Run runs the instance until ctx ends, and then stops it gracefully. It returns early if Kill is called
// or a listener fails.
func (i *Instance) Run(ctx context.Context) error {
	startedAt := time.Now()
	events.Info(i.log, events.ProcessStarted, zap.Any("instance", i.info))
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	background, stopBackground := context.WithCancel(servingCtx)
	defer stopBackground()
	callers, admin, err := i.serve(servingCtx, group)
	if err != nil {
		return err
	}
	for _, loop := range i.loops() {
		group.Go(func() error {
			loop(background)
			return nil
		})
	}
	var stopErr error
	select {
	case <-ctx.Done():
		stopErr = i.stop(callers, stopBackground)
	case <-i.killed:
		stopErr = errNotDrained
	case <-servingCtx.Done():
	}
	stopServing()
	_ = callers.Close()
	_ = admin.Close()
	err = errors.Join(stopErr, group.Wait(), i.clients.Close())
	i.transport.CloseIdleConnections()
	if err != nil {
		events.Warn(i.log, events.ProcessFailed, zap.Error(err), zap.Duration("after", time.Since(startedAt)))
		return fmt.Errorf("instance %s: %w", i.info.ID, err)
	}
	events.Info(i.log, events.ProcessStopped, zap.Duration("after", time.Since(startedAt)))
	return nil
}

// loops returns the background loops of all roles. Each returns when its context ends.
func (i *Instance) loops() []func(context.Context) {
	return []func(context.Context){
		i.members.Run,
		i.config.Run,
		i.elections.run, // also stops the owners, after the ownership has been released
		func(ctx context.Context) { _ = i.pool.Run(ctx) },
		i.publishSummaries,
	}
}

// Kill stops the instance without draining it, as a second signal does. Open requests are aborted.
func (i *Instance) Kill() {
	i.killOnce.Do(func() { close(i.killed) })
}

// stop stops the instance gracefully. It first reports the instance as not ready and keeps accepting
// requests for ListLag, until the platform's list shows it. Then it refuses new requests and waits for
// the open ones and their answers. It hands over the data centres last, because requests need their owners.
func (i *Instance) stop(callers *http.Server, stopBackground func()) error {
	events.Info(i.log, events.ProcessStopping, zap.Duration("list_lag", i.opts.ListLag))
	i.stopping.Store(true)
	i.members.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), i.opts.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-i.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	if !wait.For(ctx, i.opts.ListLag) {
		return errNotDrained
	}
	err := i.gateway.Drain(ctx)
	select {
	case <-i.killed:
		return errNotDrained
	default:
	}
	i.awaitAnswers(ctx, callers)
	stopBackground()
	return err
}

// awaitAnswers waits until the answers of handlers that have returned are written, for at most answerTimeout.
func (i *Instance) awaitAnswers(ctx context.Context, callers *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.log.Warn("answers aborted at the end of the drain", zap.Error(err), zap.Duration("timeout", answerTimeout))
	}
}

// Ready reports whether the instance accepts callers: it has received a manifest and is not stopping.
func (i *Instance) Ready() bool {
	return i.config.Ready() && !i.stopping.Load()
}

// Revision returns the number of the manifest revision in force at this instance.
func (i *Instance) Revision() uint64 {
	r, _ := i.config.Current()
	return r.Number
}

// liveInstances returns the number of instances that share the workspaces' rates. It is called for each
// request and therefore returns a cached count.
func (i *Instance) liveInstances() int {
	return max(int(i.liveCount.Load()), 1)
}

// countInstances updates the cached number of live instances.
func (i *Instance) countInstances() {
	n := int64(0)
	for _, p := range i.members.Listed() {
		if !p.Leaving {
			n++
		}
	}
	i.liveCount.Store(n)
}

// startableDataCentres returns the data centres whose stage allows work to start, this instance's
// own first.
func (i *Instance) startableDataCentres() []string {
	r, _ := i.config.Current()
	var names []string
	for _, dc := range r.Manifest.DataCentres {
		if !dc.Stage.AllowsStarts() {
			continue
		}
		if dc.Name == i.info.DataCentre {
			names = append([]string{dc.Name}, names...)
		} else {
			names = append(names, dc.Name)
		}
	}
	return names
}
