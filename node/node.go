// Package node implements an instance that schedules jobs with the platform's store: it serves
// callers, watches the operator's configuration, takes part in the election of the owner and,
// when elected, manages the jobs.
package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/ingress"
	"github.com/cyclamenyard/cyclamenyard/internal/lag"
	"github.com/cyclamenyard/cyclamenyard/internal/link"
	"github.com/cyclamenyard/cyclamenyard/jobfront"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobservice"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Adapter gives a node access to the platform: its services, store keys and encodings.
type Adapter struct {
	Store   metastore.Store
	Workers workerapi.Client
	Advisor workerapi.Advisor
	Cloud   upkeep.Cloud // nil if the platform has no service that runs the machines
	Codec   jobfront.Codec

	OperatorPrefix      string // of the keys that the operator writes
	WorkersPrefix       string // of the keys that workers write
	IsConfig            func(key string) bool
	DecodeConfig        func(value []byte) (*workload.Config, error)
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
	DecodeWorker        func(key string, value []byte) (workerapi.Entry, error)
	WorkerID            func(key string) string
	WaveNumber          func(key string) (int64, bool)
	DecodeWave          func(value []byte) (upkeep.Wave, error)
	WaveStatus          func(number int64, completed bool) metastore.Put
	ReadyPath           string
}

// Options configures a Node.
type Options struct {
	Adapter  Adapter
	Instance string
	CPUShare float64     // cores
	Link     *link.Meter // of this machine; nil if its speed is not known

	Callers, Ready, Peers, Admin net.Listener

	MaxLease   time.Duration // maximum length of a worker's lease
	MaxListAge time.Duration // maximum age of the list of workers for new orders
	// HeartbeatGap is how long after a worker's last heartbeat the removal of its entry shows that it
	// has left. A later removal may mean that the entry expired without heartbeats.
	HeartbeatGap   time.Duration
	GracePeriod    time.Duration // from the signal to stop until the process is killed
	EndedRetention time.Duration // retention of ended jobs
	MaxBacklog     int64         // memory of the owner for accepted jobs, in bytes
	Revocations    float64       // per second: cancellations of unknown jobs that all instances together store
	Placement      placement.Options
	Ingress        ingress.Settings // bounds of what clients of the listeners can hold

	Log     *zap.Logger
	Metrics metrics.Registry
}

// Timing of an instance.
const (
	// watchWait is the maximum wait of a watch for changes. A dead connection is detected after it,
	// well within the time in which a new configuration must take effect.
	watchWait = 2 * time.Second
	// workersPause is the minimum time between two reads of the workers' entries, each of which
	// changes with every heartbeat. It is short compared with the time that a worker takes to drain.
	workersPause = 300 * time.Millisecond
	// workersWait is the maximum wait of a watch of these entries. Even a few workers write more often
	// than this, so it limits the age of the list when no change arrives.
	workersWait = 300 * time.Millisecond
	// workersSlack is how much longer than its wait such a watch may take at first. It is short, so
	// that a dead connection is detected before the list becomes too old.
	workersSlack = 300 * time.Millisecond
	// instancesPause is the minimum time between two reads of the instances' entries, which are used
	// to find peers.
	instancesPause = 3 * time.Second
	// operatorPause is the minimum time between two reads of the operator's keys. It batches changes
	// made in quick succession, because each instance of a large fleet reads them.
	operatorPause = 150 * time.Millisecond
	// storeStableAfter is how long the store must have answered all calls to rule out that an entry
	// expired because of an outage. It is longer than a worker's entry lasts without a heartbeat.
	storeStableAfter = 10 * time.Second
	// storeTimeout is the timeout of one call of the owner to the store.
	storeTimeout = 700 * time.Millisecond
	// peerTimeout is the timeout of a call to a peer during a change of owner.
	peerTimeout = 150 * time.Millisecond
)

// Node is one instance.
type Node struct {
	opts           Options
	log            *zap.Logger
	store          *metastore.Monitor
	operatorData   *operatorData
	elector        *ownership.Elector
	ownerMirror    *metastore.Mirror
	instanceMirror *metastore.Mirror
	jobs           *jobservice.Service
	front          *jobfront.Server
	gates          gates
	clients        *peer.Clients
	term           atomic.Pointer[jobowner.Term]
	previousTerm   atomic.Pointer[jobowner.Term] // the last term of this instance that has ended
	draining       atomic.Bool
	lag            lag.Meter // measures during a term
	guard          *contain.Guard
}

// New returns a node. Run starts it.
func New(o Options) *Node {
	n := &Node{opts: o, log: o.Log, gates: newGates(o), guard: contain.New(o.Log, o.Metrics), clients: peer.NewClients(peer.ClientOptions{Metrics: o.Metrics})}
	n.store = metastore.NewMonitor(o.Adapter.Store)
	n.store.AllowFor(n.callDelay)
	n.operatorData = newOperatorData(n)
	n.elector = ownership.New(ownership.Options{
		Store: n.store, Self: ownership.Instance{Name: o.Instance, Address: o.Peers.Addr().String(), CPUShare: o.CPUShare},
		Log: o.Log, RunTerm: n.runTerm,
		CallTimeout: n.store.CallTimeout, Partitioned: n.operatorData.partitioned.Load, DeposeViaPeer: n.deposeViaPeer,
	})
	n.ownerMirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: ownership.OwnerPrefix, Wait: watchWait, Log: o.Log, Guard: n.guard, StoreHealthy: n.store.Healthy,
		Apply: n.elector.Apply, Synced: n.elector.OwnerSynced,
	})
	n.instanceMirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: ownership.InstancesPrefix, Wait: watchWait, Pause: instancesPause, Log: o.Log, Guard: n.guard, StoreHealthy: n.store.Healthy,
		Apply: n.elector.Apply, Synced: n.elector.InstancesSynced,
	})
	n.jobs = jobservice.New(jobservice.Options{
		Store: n.store, StoreHealthy: n.store.Healthy, CheckStore: n.store.Check, WriteTimeout: n.store.CallTimeout, Elector: n.elector, Instance: o.Instance, MaxBacklog: o.MaxBacklog, Revocations: o.Revocations, Log: o.Log, Metrics: o.Metrics,
		Term: n.currentTerm,
		OwnershipValid: func() bool {
			return n.elector.ConfirmedWithin(ownership.OwnerTTL) || n.operatorData.outage.keepsOwnership(time.Now())
		},
		PeerClient: func(address string) relay.DRPCRelayClient { return relay.NewDRPCRelayClient(n.clients.Conn(address)) },
	})
	n.front = jobfront.New(jobfront.Options{Codec: o.Adapter.Codec, Jobs: n.jobs, Config: n.operatorData.confirmedConfig, StoreOutage: n.store.FailingFor, Ingress: n.gates.callers, Guard: n.guard, Log: o.Log, Metrics: o.Metrics})
	return n
}

// callDelay returns how long calls of this process wait for its own CPU and its own link.
func (n *Node) callDelay() time.Duration { return n.lag.Lag() + n.opts.Link.Queue() }

func (n *Node) currentTerm() jobservice.Term {
	if t := n.term.Load(); t != nil {
		return t
	}
	return nil
}

// Run runs the node until ctx ends and then stops it gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	run := func(f func(context.Context), ctx context.Context) {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			n.guard.Loop(ctx, "background loop", f)
		}()
	}
	run(n.store.Run, background)
	run(n.operatorData.run, background)
	run(n.ownerMirror.Run, background)
	run(n.instanceMirror.Run, background)
	run(n.elector.Announce, background)
	run(n.elector.Run, ctx) // hands over the ownership as soon as the node is asked to stop
	run(n.servePeers, background)
	err := n.serve(ctx)
	stopBackground()
	tasks.Wait()
	if closeErr := n.clients.Close(); closeErr != nil {
		n.log.Debug("closing connections to peers failed", zap.Error(closeErr))
	}
	return err
}

// runTerm runs one term of ownership. It returns when the term has ended.
func (n *Node) runTerm(ctx context.Context, token uint64, fence metastore.Condition) {
	a := n.opts.Adapter
	term := jobowner.New(jobowner.Options{
		Store: n.store, Workers: a.Workers, Advisor: a.Advisor, Log: n.log, Metrics: n.opts.Metrics, Guard: n.guard, Token: token, Fence: fence,
		Config: n.operatorData.config, WallClock: time.Now, MaxLease: n.opts.MaxLease, Placement: n.opts.Placement,
		OwnershipConfirmed: func() bool { return n.elector.ConfirmedWithin(jobowner.MaxUnconfirmedRenewal) },
		EndedRetention:     n.opts.EndedRetention, StoreTimeout: storeTimeout, MaxListAge: n.opts.MaxListAge, HeartbeatGap: n.opts.HeartbeatGap, Lag: n.callDelay, Link: n.opts.Link, MaxBacklog: n.opts.MaxBacklog,
		StoreStable:  func() bool { return n.store.SinceFailure() > storeStableAfter },
		WriteTimeout: n.store.CallTimeout, Unstored: n.collectUnstored,
	})
	waves := upkeep.New(upkeep.Options{
		Cloud: a.Cloud, Store: n.store, Workers: term, Holder: n.opts.Instance, Token: token, Fence: fence,
		WallClock: time.Now, Status: a.WaveStatus, OnOwnershipLost: term.Terminate, Log: n.log,
		OwnershipConfirmed: func() bool { return n.elector.ConfirmedWithin(ownership.OwnerTTL) },
	})
	n.operatorData.attach(term, waves)
	n.term.Store(term)
	measuring, stopMeasuring := context.WithCancel(ctx)
	defer stopMeasuring()
	go n.guard.Loop(measuring, "lag meter", n.lag.Run)
	defer func() {
		n.previousTerm.Store(term)
		n.term.Store(nil)
		n.operatorData.attach(nil, nil)
	}()
	intake := metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: jobowner.IntakePrefix, Wait: watchWait, Lag: n.lag.Lag, Log: n.log, Guard: n.guard, StoreHealthy: n.store.Healthy,
		Apply: term.OnIntake, Synced: term.Loaded,
	})
	workers := metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: a.WorkersPrefix, Wait: workersWait, Pause: workersPause, ReloadOnFailure: true, Slack: workersSlack, Lag: n.lag.Lag, Log: n.log, Guard: n.guard,
		Synced: term.WorkersSynced,
		Apply:  func(change metastore.Change) { n.onWorker(term, change) },
	})
	manage := func(ctx context.Context) {
		var waveLoop sync.WaitGroup
		if a.Cloud != nil {
			waveLoop.Go(func() { n.guard.Loop(ctx, "upkeep waves", waves.Run) })
		}
		workers.Run(ctx)
		waveLoop.Wait()
	}
	term.Run(ctx, intake.Run, manage)
}

// deposeViaPeer asks the peers in turn to remove the ownership with the token from the store, until
// one has done so.
func (n *Node) deposeViaPeer(ctx context.Context, token uint64) error {
	err := errors.New("no peer is listed")
	for _, p := range n.elector.Peers() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply *relay.OutcomeReply
		reply, err = relay.NewDRPCRelayClient(n.clients.Conn(p.Address)).Depose(call, &relay.DeposeRequest{Token: token})
		cancel()
		if err == nil && reply.Outcome == relay.OutcomeReply_STORED {
			return nil
		}
	}
	return err
}

func (n *Node) onWorker(term *jobowner.Term, change metastore.Change) {
	id := n.opts.Adapter.WorkerID(change.Key)
	if change.Removed {
		term.OnWorkerRemoved(id)
		return
	}
	entry, err := n.opts.Adapter.DecodeWorker(change.Key, change.Value)
	if err != nil {
		n.log.Warn("worker entry not decoded; the worker gets no new work", zap.Error(err))
		term.OnWorkerUnreadable(id)
		return
	}
	term.OnWorker(entry)
}
