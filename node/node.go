// Package node is one instance that schedules jobs over the platform's store: it serves
// callers, follows the operator's configuration, takes part in the election of the owner
// and, when elected, runs the jobs.
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

// Adapter is the platform as the product sees it.
type Adapter struct {
	Store   metastore.Store
	Workers workerapi.Client
	Advisor workerapi.Advisor
	Cloud   upkeep.Cloud // nil without a service that runs the machines
	Wire    jobfront.Codec

	OperatorPrefix string // keys that the operator writes
	WorkersPrefix  string // keys that workers write
	IsConfig       func(key string) bool
	DecodeConfig   func(value []byte) (*workload.Config, error)
	Evacuated      func(key string) (dataCentre string, ok bool)
	DecodeWorker   func(key string, value []byte) (workerapi.Entry, error)
	WorkerID       func(key string) string
	WaveNumber     func(key string) (int64, bool)
	DecodeWave     func(value []byte) (upkeep.Wave, error)
	WaveStatus     func(number int64, completed bool) metastore.Put
	ReadyPath      string
}

// Options configures a Node.
type Options struct {
	Adapter  Adapter
	Instance string
	CPUShare float64 // cores

	Callers, Ready, Peers, Admin net.Listener

	MaxLease   time.Duration // longest lease of a worker
	MaxListAge time.Duration // how old the list of workers may be when work is given to them
	// HeartbeatGap is how long after its last heartbeat the removal of a worker's entry shows that it
	// has left.
	HeartbeatGap time.Duration
	Grace        time.Duration // between the order to stop and the end of the process
	KeepEnded    time.Duration // how long an ended job stays known
	Placement    placement.Options

	Log     *zap.Logger
	Metrics metrics.Registry
}

// Timing of an instance.
const (
	// watchWait is how long a watch may wait. A connection that went silent is noticed after
	// that, well within the time in which a configuration must be in force.
	watchWait = 2 * time.Second
	// workersPause is the least time between two reads of the workers' entries, each of which
	// changes with every heartbeat. It is short beside the time that a worker drains.
	workersPause = 300 * time.Millisecond
	// workersWait is how long a watch of these entries may wait. A fleet of some workers writes
	// more often, so that it bounds the age of what is known when nothing is heard.
	workersWait = 300 * time.Millisecond
	// workersSlack is how much longer such a watch may take at first: its connection may have gone
	// silent, and the age of what is known matters.
	workersSlack = 300 * time.Millisecond
	// membersPause is the least time between two reads of the instances' entries, which serve
	// to find peers.
	membersPause = 3 * time.Second
	// operatorPause is the least time between two reads of what the operator wrote: changes in
	// quick succession are read together by each instance of a large fleet.
	operatorPause = 150 * time.Millisecond
	// calmStore is for how long the store must have answered all calls for it to be sure that no
	// entry lapsed in an outage. It is longer than a worker's entry lasts without a heartbeat.
	calmStore = 10 * time.Second
	// storeBound is the longest wait of the owner for one answer of the store.
	storeBound = 700 * time.Millisecond
	// handOverBound is the longest wait of a new owner for its peers.
	handOverBound = 150 * time.Millisecond
)

// Node is one instance.
type Node struct {
	o        Options
	log      *zap.Logger
	store    *metastore.Monitor
	operator *operator
	elector  *ownership.Elector
	owner    *metastore.Mirror
	members  *metastore.Mirror
	jobs     *jobservice.Service
	front    *jobfront.Server
	clients  *peer.Clients
	term     atomic.Pointer[jobowner.Term]
	former   atomic.Pointer[jobowner.Term] // the newest term that has ended here
	draining atomic.Bool
	guard    *contain.Guard
}

// New returns a node that Run starts.
func New(o Options) *Node {
	n := &Node{o: o, log: o.Log, guard: contain.New(o.Log, o.Metrics), clients: peer.NewClients(peer.ClientOptions{Metrics: o.Metrics})}
	n.store = metastore.NewMonitor(o.Adapter.Store)
	n.operator = newOperator(n)
	n.elector = ownership.New(ownership.Options{
		Store: n.store, Self: ownership.Instance{Name: o.Instance, Address: o.Peers.Addr().String(), CPUShare: o.CPUShare},
		Log: o.Log, RunTerm: n.lead,
		CallTimeout: n.store.CallTimeout, Partitioned: n.operator.elsewhere.Load, DeposeViaPeer: n.deposeElsewhere,
	})
	n.owner = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: ownership.OwnerPrefix, Wait: watchWait, Log: o.Log, Guard: n.guard,
		Apply: n.elector.Apply, Synced: n.elector.OwnerSynced,
	})
	n.members = metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: ownership.InstancesPrefix, Wait: watchWait, Pause: membersPause, Log: o.Log, Guard: n.guard,
		Apply: n.elector.Apply, Synced: n.elector.InstancesSynced,
	})
	n.jobs = jobservice.New(jobservice.Options{
		Store: n.store, StoreHealthy: n.store.Healthy, CheckStore: n.store.Check, WriteTimeout: n.store.CallTimeout, Elector: n.elector, Self: o.Instance, Log: o.Log, Metrics: o.Metrics,
		Term:       n.currentTerm,
		PeerClient: func(address string) relay.DRPCRelayClient { return relay.NewDRPCRelayClient(n.clients.Conn(address)) },
	})
	n.front = jobfront.New(jobfront.Options{Codec: o.Adapter.Wire, Jobs: n.jobs, Config: n.operator.current, StoreOutage: n.store.FailingFor, Guard: n.guard, Log: o.Log, Metrics: o.Metrics})
	return n
}

func (n *Node) currentTerm() jobservice.Term {
	if t := n.term.Load(); t != nil {
		return t
	}
	return nil
}

// Run serves until ctx ends and then stops gracefully.
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
	run(n.operator.run, background)
	run(n.owner.Run, background)
	run(n.members.Run, background)
	run(n.elector.Announce, background)
	run(n.elector.Run, ctx) // hands the ownership over as soon as the node is to stop
	run(n.servePeers, background)
	err := n.serve(ctx)
	stopBackground()
	tasks.Wait()
	if closeErr := n.clients.Close(); closeErr != nil {
		n.log.Debug("connections to peers not closed", zap.Error(closeErr))
	}
	return err
}

// lead runs one term of ownership.
func (n *Node) lead(ctx context.Context, token uint64, fence metastore.Condition) {
	a := n.o.Adapter
	term := jobowner.New(jobowner.Options{
		Store: n.store, Workers: a.Workers, Advisor: a.Advisor, Log: n.log, Metrics: n.o.Metrics, Guard: n.guard, Token: token, Fence: fence,
		Config: n.operator.config, WallClock: time.Now, MaxLease: n.o.MaxLease, Placement: n.o.Placement,
		OwnershipConfirmed: func() bool { return n.elector.ConfirmedWithin(jobowner.MaxUnconfirmedRenewal) },
		KeepEnded:          n.o.KeepEnded, StoreTimeout: storeBound, MaxListAge: n.o.MaxListAge, HeartbeatGap: n.o.HeartbeatGap,
		StoreStable:  func() bool { return n.store.SinceFailure() > calmStore },
		WriteTimeout: n.store.CallTimeout, StoreOutage: n.operator.shared.Load, Completed: n.completedElsewhere,
	})
	waves := upkeep.New(upkeep.Options{
		Cloud: a.Cloud, Store: n.store, Workers: term, Holder: n.o.Instance, Token: token, Fence: fence,
		WallClock: time.Now, Status: a.WaveStatus, OnOwnershipLost: term.Terminate, Log: n.log,
		OwnershipConfirmed: func() bool { return n.elector.ConfirmedWithin(ownership.OwnerTTL) },
	})
	n.operator.attach(term, waves)
	n.term.Store(term)
	defer func() {
		n.former.Store(term)
		n.term.Store(nil)
		n.operator.attach(nil, nil)
	}()
	intake := metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: jobowner.IntakePrefix, Wait: watchWait, Log: n.log, Guard: n.guard, Apply: term.OnIntake, Synced: term.Loaded,
	})
	workers := metastore.NewMirror(metastore.MirrorOptions{
		Store: n.store, Prefix: a.WorkersPrefix, Wait: workersWait, Pause: workersPause, ReloadOnFailure: true, Slack: workersSlack, Log: n.log, Guard: n.guard,
		Synced: term.WorkersSynced,
		Apply:  func(change metastore.Change) { n.onWorker(term, change) },
	})
	manage := func(ctx context.Context) {
		var upkeeping sync.WaitGroup
		if a.Cloud != nil {
			upkeeping.Go(func() { n.guard.Loop(ctx, "waves of upkeep", waves.Run) })
		}
		workers.Run(ctx)
		upkeeping.Wait()
	}
	if err := term.Run(ctx, intake.Run, manage); err != nil && ctx.Err() == nil {
		n.log.Error("term ended", zap.Error(err))
	}
}

// deposeElsewhere asks peers, one after the other, to end the ownership with the token.
func (n *Node) deposeElsewhere(ctx context.Context, token uint64) error {
	err := errors.New("no peer is known")
	for _, p := range n.elector.Peers() {
		call, cancel := context.WithTimeout(ctx, handOverBound)
		var reply *relay.OutcomeReply
		reply, err = relay.NewDRPCRelayClient(n.clients.Conn(p.Address)).Depose(call, &relay.DeposeRequest{Token: token})
		cancel()
		if err == nil && reply.Outcome == relay.OutcomeReply_STORED {
			return nil
		}
	}
	return err
}

// completedElsewhere asks the peers for jobs that a former owner has shown as completed and
// could not store.
func (n *Node) completedElsewhere(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, handOverBound)
	defer cancel()
	var (
		mu   sync.Mutex
		jobs []string
		asks sync.WaitGroup
	)
	for _, p := range n.elector.Peers() {
		asks.Go(func() {
			reply, err := relay.NewDRPCRelayClient(n.clients.Conn(p.Address)).Completed(ctx, &relay.CompletedRequest{})
			if err != nil {
				n.log.Debug("peer not asked for completed jobs", zap.String("peer", p.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			jobs = append(jobs, reply.Jobs...)
		})
	}
	asks.Wait()
	if own := n.former.Load(); own != nil {
		jobs = append(jobs, own.UnstoredCompletions()...)
	}
	return jobs
}

func (n *Node) onWorker(term *jobowner.Term, change metastore.Change) {
	id := n.o.Adapter.WorkerID(change.Key)
	if change.Removed {
		term.OnWorkerRemoved(id)
		return
	}
	entry, err := n.o.Adapter.DecodeWorker(change.Key, change.Value)
	if err != nil {
		n.log.Warn("entry names no worker to use", zap.Error(err))
		term.OnWorkerRemoved(id)
		return
	}
	term.OnWorker(entry)
}
