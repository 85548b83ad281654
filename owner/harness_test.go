package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const dcA = "a"

var workerCapacity = structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}

// site is a data centre with stand-ins for store, platform and workers, and the manifest in force.
// It implements StartGate and Destinations for all instances.
type site struct {
	store   *standin.Store
	list    *standin.List
	workers []*standin.Worker
	byID    map[string]*standin.Worker
	policy  scheduler.Policy

	mu             sync.Mutex
	stage          structs.Stage
	rev            uint64
	onGateCall     func(n int)
	gateCalls      int
	hasDataCentreB bool // the manifest has a second, open data centre, b
}

func newSite(n int) *site {
	s := &site{store: standin.NewStore(), list: standin.NewList(0), byID: map[string]*standin.Worker{}, policy: scheduler.FirstFit{}, stage: structs.StageOpen, rev: 1}
	var infos []structs.Worker
	for i := range n {
		info := structs.Worker{ID: fmt.Sprintf("w%d", i+1), Address: fmt.Sprintf("w%d", i+1), DataCentre: dcA, Rack: i / 2, Capacity: workerCapacity}
		w := standin.NewWorker(info, 0)
		s.workers, s.byID[info.ID], infos = append(s.workers, w), w, append(infos, info)
	}
	s.list.SetWorkers(infos)
	return s
}

// addDataCentreB adds a second data centre, b, with n workers. It is always open.
func (s *site) addDataCentreB(n int) {
	s.hasDataCentreB = true
	var infos []structs.Worker
	for i := range n {
		info := structs.Worker{ID: fmt.Sprintf("b%d", i+1), Address: fmt.Sprintf("b%d", i+1), DataCentre: "b", Capacity: workerCapacity}
		w := standin.NewWorker(info, 0)
		s.workers, s.byID[info.ID] = append(s.workers, w), w
	}
	for _, w := range s.workers {
		infos = append(infos, w.Info())
	}
	s.list.SetWorkers(infos)
}

// MayStart implements StartGate.
func (s *site) MayStart(dataCentre string) error {
	if dataCentre != dcA {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateCalls++
	if s.onGateCall != nil {
		s.onGateCall(s.gateCalls)
	}
	if !s.stage.AllowsStarts() {
		return errors.New("stage " + string(s.stage))
	}
	return nil
}

// Summaries implements Destinations. It describes no data centre.
func (s *site) Summaries() []scheduler.Summary { return nil }

// Destination implements Destinations.
func (s *site) Destination(*structs.Job, string) (string, bool) { return "b", s.hasDataCentreB }

// commitStage commits a manifest revision with the stage and configures the instances with it.
func (s *site) commitStage(stage structs.Stage, instances ...*instance) {
	s.mu.Lock()
	s.stage = stage
	s.rev++
	rev := s.revision()
	s.mu.Unlock()
	for _, in := range instances {
		in.c.Configure(rev, nil)
	}
}

func (s *site) revision() structs.Revision {
	m := structs.Manifest{DataCentres: []structs.DataCentre{{Name: dcA, Stage: s.stage}}}
	if s.hasDataCentreB {
		m.DataCentres = append(m.DataCentres, structs.DataCentre{Name: "b", Stage: structs.StageOpen})
	}
	return structs.Revision{Number: s.rev, Manifest: m}
}

// instance is one controller, whose calls can be frozen separately from those of other instances.
type instance struct {
	name   string
	c      *Controller
	logs   *observer.ObservedLogs
	cancel context.CancelFunc
	done   chan struct{}
	gate   *callGate
}

// callGate blocks an instance's calls while it is frozen, like a paused process.
type callGate struct {
	mu     sync.Mutex
	wait   chan struct{}
	killed bool
}

func (g *callGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait == nil {
		g.wait = make(chan struct{})
	}
}

func (g *callGate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait != nil {
		close(g.wait)
		g.wait = nil
	}
}

var errKilled = errors.New("instance was killed")

func (g *callGate) enter() error {
	g.mu.Lock()
	wait := g.wait
	g.mu.Unlock()
	if wait != nil {
		<-wait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return errKilled
	}
	return nil
}

type gatedStore struct {
	*standin.Store
	g *callGate
}

func (s gatedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.g.enter(); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

type gatedWorker struct {
	*standin.Worker
	g *callGate
}

func (w gatedWorker) Reserve(ctx context.Context, r remote.ReserveRequest) error {
	if err := w.g.enter(); err != nil {
		return err
	}
	return w.Worker.Reserve(ctx, r)
}

func (w gatedWorker) Start(ctx context.Context, r remote.StartRequest) error {
	if err := w.g.enter(); err != nil {
		return err
	}
	return w.Worker.Start(ctx, r)
}

func (w gatedWorker) Renew(ctx context.Context, r remote.RenewRequest) (remote.RenewReply, error) {
	if err := w.g.enter(); err != nil {
		return remote.RenewReply{}, err
	}
	return w.Worker.Renew(ctx, r)
}

func (w gatedWorker) Stop(ctx context.Context, r remote.TaskRequest) error {
	if err := w.g.enter(); err != nil {
		return err
	}
	return w.Worker.Stop(ctx, r)
}

// startInstance starts an instance on the site.
func (s *site) startInstance(name string) *instance {
	core, logs := observer.New(zapcore.InfoLevel)
	in := &instance{name: name, logs: logs, gate: &callGate{}, done: make(chan struct{})}
	in.c = New(Options{
		Instance: name, Store: gatedStore{s.store, in.gate}, List: s.list, Policy: s.policy, Gate: s, Destinations: s,
		Dial:    func(w structs.Worker) remote.Worker { return gatedWorker{s.byID[w.ID], in.gate} },
		Log:     zap.New(core),
		Metrics: metrics.NewRegistry(),
	})
	s.mu.Lock()
	in.c.Configure(s.revision(), nil)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	go func() {
		defer close(in.done)
		in.c.Run(ctx)
	}()
	return in
}

// stop shuts an instance down gracefully.
func (in *instance) stop() {
	in.gate.thaw()
	in.cancel()
	<-in.done
}

// kill stops an instance abruptly, like a crash of its process.
func (in *instance) kill() {
	in.c.cancel()
	in.gate.mu.Lock()
	in.gate.killed = true
	in.gate.mu.Unlock()
	in.gate.thaw()
	in.c.mu.Lock()
	owners := in.c.owners
	in.c.owners = map[string]*DataCentreOwner{}
	in.c.mu.Unlock()
	for _, owner := range owners {
		owner.halt()
	}
	in.stop()
}

// gangJob describes a gang whose tasks occupy a whole worker each.
func gangJob(id string, tasks int, run time.Duration) structs.Job {
	payload, _ := json.Marshal(standin.TaskPayload{RunMillis: run.Milliseconds(), Answer: "answer of " + id})
	return structs.Job{
		ID: "x/" + id, Workspace: "x", Service: "s", Shape: structs.Shape{Tasks: tasks, Task: workerCapacity},
		Declared: run, Submitted: time.Now(), Grace: 2 * time.Second, Payload: payload,
	}
}

func (in *instance) submit(j structs.Job) string {
	raw, _ := json.Marshal(j)
	r, _ := in.c.SubmitJob(context.Background(), &peer.SubmitJobRequest{DataCentre: dcA, Job: raw})
	return r.ErrorKind
}

func (in *instance) cancelJob(id string) string {
	r, _ := in.c.CancelJob(context.Background(), &peer.CancelJobRequest{DataCentre: dcA, Job: id})
	return r.ErrorKind
}

// status returns a job's record. It waits for the end of the job for up to wait.
func (in *instance) status(t require.TestingT, id string, wait time.Duration) structs.JobRecord {
	r, err := in.c.JobStatus(context.Background(), &peer.JobStatusRequest{DataCentre: dcA, Job: id, WaitMs: wait.Milliseconds()})
	require.NoError(t, err)
	require.Empty(t, r.ErrorKind, r.Message)
	var rec structs.JobRecord
	require.NoError(t, json.Unmarshal(r.Record, &rec))
	return rec
}

// starts returns the task starts of a job on all workers.
func (s *site) starts(id string) []standin.StartRecord {
	var list []standin.StartRecord
	for _, w := range s.workers {
		for _, r := range w.Starts() {
			if r.Task.Job == id {
				list = append(list, r)
			}
		}
	}
	return list
}

// runningTasks returns the number of a job's running tasks.
func (s *site) runningTasks(id string) int {
	n := 0
	for _, r := range s.starts(id) {
		if r.EndedAt.IsZero() {
			n++
		}
	}
	return n
}

// advance advances the virtual time and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a gang that is not started as a whole, not renewed beyond its first lease or
// not ended as a whole, and against a job that needs more than four record writes.
func TestGangRunsToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(3)
		in := s.startInstance("i1")
		defer in.stop()
		in.c.Elected(dcA, 1)
		advance(100 * time.Millisecond)
		require.Empty(t, in.submit(gangJob("1", 3, 35*time.Second)))
		require.Equal(t, "duplicate_request", in.submit(gangJob("1", 3, 35*time.Second)))
		advance(30 * time.Second)
		require.Equal(t, 3, s.runningTasks("x/1"))
		require.Equal(t, structs.PhaseRunning, in.status(t, "x/1", 0).Phase)
		rec := in.status(t, "x/1", time.Minute)
		require.Equal(t, structs.OutcomeSucceeded, rec.Outcome)
		require.Equal(t, "answer of 1", string(rec.Answer))
		require.Len(t, s.starts("x/1"), 3)
		advance(time.Second)
		require.Equal(t, 4, s.store.Calls()["swap"])
	})
}
