package jobowner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/contain"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/placement"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const workersPrefix = "workers/"

var workerCapacity = workload.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}

// guarantee is how many accelerators belong to the urgent jobs of the workspace "team".
const guarantee = 16

// maxListAge is three quarters of the time after which a draining worker must get no work. The rest is
// left for the order.
const maxListAge = 1500 * time.Millisecond

// system is a store, a fleet of workers and some instances that take part in the owner election.
type system struct {
	store  *testplatform.Store
	fleet  *testplatform.Fleet
	config atomic.Pointer[workload.Config]
	log    *zap.Logger

	uses               placement.Uses // of learned run times
	rejected           rejectedKeys
	advisor            workerapi.Advisor                       // nil if no queue needs advice
	callCost           time.Duration                           // CPU time of a call; 0 for instances whose CPU is not modelled
	ownLag             time.Duration                           // lag of instances whose CPU is not modelled
	wrapWorkers        func(workerapi.Client) workerapi.Client // changes the client of the workers; nil for none
	configPanics       atomic.Bool                             // reading the configuration panics
	storeStable        atomic.Bool                             // the store has recently answered all calls
	suspendedFor       atomic.Int64                            // total suspension of all machines, nanoseconds
	retention          time.Duration                           // of ended jobs
	linkBytesPerSecond int                                     // over which an instance sends; 0 for instances whose link is not modelled
	links              []*uplink                               // of all instances that were started, if they are modelled

	mu        sync.Mutex
	evacuated map[string]bool // data centres
	instances map[string]*testInstance
	terms     []*jobowner.Term // all terms, in the order of their start
}

type testInstance struct {
	client  *testplatform.Client
	cpu     *processor // nil if it is not modelled
	ownLag  time.Duration
	link    *uplink // nil if it is not modelled
	metrics metrics.Registry
	term    *jobowner.Term
	terms   []*jobowner.Term // all of its terms
	elector *ownership.Elector
	cancel  context.CancelFunc
	done    chan struct{}
}

func newSystem() *system {
	s := &system{retention: time.Minute, store: testplatform.NewStore(), fleet: testplatform.NewFleet(), log: testLog(), instances: map[string]*testInstance{}, evacuated: map[string]bool{}}
	s.config.Store(workload.NewConfig(workload.Config{Version: 1, Routes: []workload.Route{
		{Name: "urgent", Service: "service", Priority: 0, MaxAttempts: 3, Stretch: 1.5, TargetLatency: time.Second},
		{Name: "batch", Service: "service", Priority: 1, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Second},
	}, Workspaces: []workload.Workspace{{Name: "team", GuaranteedAccelerators: guarantee}}}))
	s.fleet.Guarantees = map[string]int{"team": guarantee}
	return s
}

// addWorker starts a worker, or a new incarnation of it, and lists it.
func (s *system) addWorker(id string, rack int) {
	s.list(s.fleet.Add(id, fmt.Sprint("zone-", rack%2), fmt.Sprint("rack-", rack), workerCapacity))
}

func (s *system) list(entry workerapi.Entry) {
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.Put(workersPrefix+entry.Worker.ID, raw)
}

// start starts an instance.
func (s *system) start(name string) *testInstance {
	ctx, cancel := context.WithCancel(context.Background())
	c := &testInstance{ownLag: s.ownLag, client: s.store.NewClient(), metrics: metrics.NewRegistry(), cancel: cancel, done: make(chan struct{})}
	store, orders := s.clients(c)
	if s.wrapWorkers != nil {
		orders = s.wrapWorkers(orders)
	}
	log := s.log
	guard := contain.New(log, metrics.NewRegistry())
	var elector *ownership.Elector
	lead := func(ctx context.Context, token uint64, fence metastore.Condition) {
		term := jobowner.New(jobowner.Options{
			Store: store, Workers: orders, Advisor: s.advisor, Log: log, Metrics: c.metrics, Token: token, Fence: fence,
			Config: s.readConfig, Guard: guard, WallClock: time.Now, MaxLease: testplatform.MaxLease,
			OwnershipConfirmed: func() bool { return elector.ConfirmedWithin(jobowner.MaxUnconfirmedRenewal) },
			Placement:          placement.Options{FarFactor: 3, StopTimeout: 200 * time.Millisecond, Uses: s.uses},
			EndedRetention:     s.retention, MaxBacklog: 1 << 30, StoreTimeout: 500 * time.Millisecond, MaxListAge: maxListAge, HeartbeatGap: 3750 * time.Millisecond, StoreStable: func() bool { return s.storeStable.Load() },
			Suspended: s.suspended, Lag: c.lag, Link: c.link.meterOrNil(),
			WriteTimeout: func(int) time.Duration { return 500*time.Millisecond + 4*c.lag() },
			Unstored:     func(context.Context) jobowner.Unstored { return s.unstored() },
		})
		s.mu.Lock()
		c.term = term
		c.terms = append(c.terms, term)
		s.terms = append(s.terms, term)
		for dataCentre := range s.evacuated {
			term.Evacuate(dataCentre, true)
		}
		s.mu.Unlock()
		mirror := func(prefix string, apply func(metastore.Change), synced func(time.Time)) func(context.Context) {
			return metastore.NewMirror(metastore.MirrorOptions{Store: store, Prefix: prefix, Wait: 2 * time.Second, Log: log, Guard: guard, Apply: apply, Synced: synced}).Run
		}
		workers := metastore.NewMirror(metastore.MirrorOptions{Store: store, Prefix: workersPrefix, Wait: 300 * time.Millisecond, Pause: 300 * time.Millisecond, Slack: 300 * time.Millisecond, ReloadOnFailure: true, Log: log, Synced: term.WorkersSynced, Apply: func(change metastore.Change) {
			id := change.Key[len(workersPrefix):]
			var entry workerapi.Entry
			switch {
			case change.Removed:
				term.OnWorkerRemoved(id)
			case json.Unmarshal(change.Value, &entry) != nil:
				term.OnWorkerUnreadable(id)
			default:
				term.OnWorker(entry)
			}
		}})
		term.Run(ctx, mirror(jobowner.IntakePrefix, term.OnIntake, term.Loaded), workers.Run)
	}
	elector = ownership.New(ownership.Options{Store: store, Self: ownership.Instance{Name: name, CPUShare: 1}, Suspended: s.suspended, Log: log, RunTerm: lead,
		CallTimeout: func(int) time.Duration { return 120*time.Millisecond + 4*c.lag() }, Partitioned: func() bool { return false }})
	c.elector = elector
	elector.InstancesSynced(time.Now()) // the instances have equal strength
	members := metastore.NewMirror(metastore.MirrorOptions{Store: store, Prefix: ownership.OwnerPrefix, Wait: 2 * time.Second, Log: log, Apply: elector.Apply, Synced: elector.OwnerSynced})
	s.mu.Lock()
	s.instances[name] = c
	s.mu.Unlock()
	go func() {
		defer close(c.done)
		var running sync.WaitGroup
		running.Go(func() { members.Run(ctx) })
		elector.Run(ctx)
		running.Wait()
	}()
	return c
}

func (s *system) suspended() time.Duration { return time.Duration(s.suspendedFor.Load()) }

func (s *system) readConfig() *workload.Config {
	if s.configPanics.Load() {
		panic("malformed configuration")
	}
	return s.config.Load()
}

// configure puts a new configuration of the workspace into force at all instances.
func (s *system) configure(w workload.Workspace) {
	next := *s.config.Load()
	next.Version++
	next.Workspaces = append(slices.DeleteFunc(slices.Clone(next.Workspaces), func(o workload.Workspace) bool { return o.Name == w.Name }), w)
	s.fleet.SetCap(w.Name, w.Cap)
	s.config.Store(workload.NewConfig(next))
}

// isolateWorker makes the worker answer no orders.
func (s *system) isolateWorker(id string) {
	s.fleet.SetFault(func(worker, _ string) testplatform.Fault {
		if worker == id {
			return testplatform.Silent
		}
		return testplatform.None
	})
}

// hangCalls makes the store leave the given kinds of calls unanswered, and answer all others.
func (c *testInstance) hangCalls(calls ...string) {
	c.client.SetFault(func(call string) testplatform.Fault {
		if slices.Contains(calls, call) {
			return testplatform.Silent
		}
		return testplatform.None
	})
}

// kill stops an instance at once. The store and the workers get no further calls from it.
func (s *system) kill(name string) {
	s.mu.Lock()
	c := s.instances[name]
	delete(s.instances, name)
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.client.SetFault(func(string) testplatform.Fault { return testplatform.Silent })
	c.cancel()
	<-c.done
}

// stop ends all instances.
func (s *system) stop() {
	for name := range s.instances {
		s.kill(name)
	}
	for _, l := range s.links {
		time.Sleep(l.queue(0) + maxCallTime) // what was sent is still carried out
	}
}

// unstored returns what the terms of all running instances have observed and not stored.
func (s *system) unstored() (u jobowner.Unstored) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.instances {
		for _, term := range c.terms {
			u.Add(term.Unstored())
		}
	}
	return u
}

// submit stores a job as the accepting instance does.
func (s *system) submit(id, route string, steps ...workload.Step) *workload.Submission {
	return s.submitFor("team", id, route, steps...)
}

// submitFor is submit for another workspace.
func (s *system) submitFor(workspace, id, route string, steps ...workload.Step) *workload.Submission {
	job := &workload.Submission{ID: id, Queue: *s.config.Load().Route(route), Workspace: workspace, Payload: "payload of " + id, Steps: steps, AcceptedAt: time.Now().UnixMilli()}
	return s.submitJob(job)
}

func (s *system) submitJob(job *workload.Submission) *workload.Submission {
	raw, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	s.fleet.RecordSubmission(job)
	s.store.Put(jobowner.JobKey(job.ID), raw)
	return job
}

func (s *system) cancelJob(id string) {
	s.store.Put(jobowner.CancelKey(id), []byte("{}"))
	s.fleet.RecordCancellation(id)
}

// evacuate takes the data centre out of service, or back.
func (s *system) evacuate(dataCentre string, out bool) {
	s.fleet.SetEvacuated(dataCentre, out)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuated, dataCentre)
	if out {
		s.evacuated[dataCentre] = true
	}
	for _, term := range s.terms {
		term.Evacuate(dataCentre, out)
	}
}

// state returns the job's state in the store.
func (s *system) state(id string) workload.State {
	raw, ok := s.store.Value(jobowner.RecordKey(id))
	if !ok {
		return workload.Queued
	}
	record, err := workload.DecodeRecord(raw)
	if err != nil {
		panic(err)
	}
	return record.State
}

// waitForEnd waits until the job has ended or limit has passed, and returns its state.
func (s *system) waitForEnd(t *testing.T, id string, limit time.Duration) workload.State {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if state := s.state(id); state.Ended() {
			return state
		}
	}
	return s.state(id)
}

func (s *system) requireNoViolations(t *testing.T) {
	t.Helper()
	require.Empty(t, s.fleet.Violations())
}

func tasks(n, accelerators int) workload.Step {
	return workload.Step{Tasks: n, Demand: workload.Resources{MilliCPU: 1000 * accelerators, MemoryMB: 100, Accelerators: accelerators}, Estimate: time.Second}
}

func gang(n, accelerators int) workload.Step {
	s := tasks(n, accelerators)
	s.Gang = true
	return s
}

// testLog returns a log that writes to the terminal when JOBOWNER_TEST_LOG is set.
func testLog() *zap.Logger {
	if os.Getenv("JOBOWNER_TEST_LOG") == "" {
		return zap.NewNop()
	}
	log, err := zap.NewDevelopment(zap.AddStacktrace(zap.FatalLevel))
	if err != nil {
		panic(err)
	}
	return log
}
