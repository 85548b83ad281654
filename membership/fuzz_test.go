package membership_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	fuzzNodes = 4
	// fuzzSeed and fuzzChecks make CI repeat the same runs. fuzzChecksEnv asks for another
	// number of runs, and fuzzSeedEnv for another seed.
	fuzzSeed      = "20261204"
	fuzzChecks    = "150"
	fuzzChecksEnv = "MEMBERSHIP_FUZZ_CHECKS"
	fuzzSeedEnv   = "MEMBERSHIP_FUZZ_SEED"
	// standDownBound is the target for the end of an ownership after a newer token is heard.
	standDownBound = 2 * time.Second
	// quietTime is how long all faults are off before the final check.
	quietTime = 30 * time.Second
)

var (
	fuzzDataCentres = []string{"a", "b"}
	electionSteps   = []string{"store-down", "store-up", "store-slow", "lose-write", "lose-write", "late-write", "expire",
		"expire", "cut", "cut", "isolate", "heal", "pause", "pause", "resume", "stop", "crash", "restart", "restart", "unlist", "list"}
	electionPauses = []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond,
		4 * time.Second, 11 * time.Second}
	listLags = []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second}
	errCut   = errors.New("store cannot be reached")
)

// voter is one run of an instance, with an election for each data centre.
type voter struct {
	peer.DRPCPeerUnimplementedServer
	o         *electionOracle
	id        string
	dead      bool // its calls have no effect any more
	members   *membership.Controller
	elections map[string]*membership.Election
	cancel    context.CancelFunc
	held      map[string]uint64    // tokens by data centre
	since     map[string]time.Time // of held
	heard     map[string]heardToken
}

// heardToken is the first token heard that is newer than the held one.
type heardToken struct {
	token uint64
	at    time.Time
}

// Heartbeat notes the tokens that reach the instance.
func (v *voter) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	reply, err := v.members.HandleHeartbeat(ctx, r)
	for _, s := range r.Summaries {
		v.o.hear(v, s.DataCentre, s.Token)
	}
	return reply, err
}

// voterStore is the store as one run of an instance reaches it.
type voterStore struct {
	remote.Store
	v *voter
}

func (s voterStore) reach(ctx context.Context) error {
	if err := s.v.o.network.Wait(ctx, s.v.id); err != nil {
		return err
	}
	s.v.o.mu.Lock()
	defer s.v.o.mu.Unlock()
	if s.v.dead {
		return errCut
	}
	return nil
}

func (s voterStore) Get(ctx context.Context, key string) (remote.KV, error) {
	if err := s.reach(ctx); err != nil {
		return remote.KV{}, err
	}
	kv, err := s.Store.Get(ctx, key)
	if err == nil {
		s.v.o.hear(s.v, key[len(membership.OwnerKeyPrefix):], kv.Created)
	}
	return kv, err
}

func (s voterStore) GrantLease(ctx context.Context, ttl time.Duration) (remote.LeaseID, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	return s.Store.GrantLease(ctx, ttl)
}

func (s voterStore) RenewLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	return s.Store.RenewLease(ctx, id)
}

func (s voterStore) RevokeLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	return s.Store.RevokeLease(ctx, id)
}

// CompareAndSwap holds back the answer of a paused instance.
func (s voterStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	token, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if err == nil {
		s.v.o.granted(s.v.id, key[len(membership.OwnerKeyPrefix):], token)
		err = s.reach(ctx)
	}
	return token, err
}

// electionOracle knows what the store granted and what the instances were told.
type electionOracle struct {
	store   *standin.Store
	network *standin.Network
	lists   []*standin.List
	running sync.WaitGroup

	mu       sync.Mutex
	voters   []*voter // nil while stopped
	unlisted [fuzzNodes]bool
	grants   map[string][]uint64 // by data centre, in the order of the store
	owners   map[uint64]string   // instance by granted token
	told     map[uint64]string   // instance by token that it was told
	faults   []string
}

func newElectionOracle(lags []time.Duration) *electionOracle {
	o := &electionOracle{store: standin.NewStore(), network: standin.NewNetwork(time.Millisecond), grants: map[string][]uint64{},
		owners: map[uint64]string{}, told: map[uint64]string{}, voters: make([]*voter, fuzzNodes)}
	for i := range fuzzNodes {
		o.lists = append(o.lists, standin.NewList(lags[i]))
	}
	for i := range fuzzNodes {
		o.start(i)
	}
	o.publish()
	return o
}

func (o *electionOracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func (o *electionOracle) start(i int) {
	in := structs.Instance{ID: name(i), DataCentre: fuzzDataCentres[i%2], PeerAddr: name(i)}
	ctx, cancel := context.WithCancel(context.Background())
	v := &voter{o: o, id: in.ID, cancel: cancel, elections: map[string]*membership.Election{}, held: map[string]uint64{},
		since: map[string]time.Time{}, heard: map[string]heardToken{}}
	jitter := seeded(uint64(i))
	v.members = membership.New(membership.Options{Self: in, List: o.lists[i], Clients: o.network.From(in.PeerAddr),
		Metrics: metrics.NewRegistry(), Jitter: jitter})
	v.members.SetConfig(calm{})
	for _, dc := range fuzzDataCentres {
		e := membership.NewElection(membership.ElectionOptions{DataCentre: dc, Store: voterStore{o.store, v}, Members: v.members,
			Metrics: metrics.NewRegistry(), OnElected: func(token uint64) { o.elected(v, dc, token) },
			OnStoodDown: func() { o.stoodDown(v, dc) }})
		v.elections[dc] = e
		o.running.Go(func() { e.Run(ctx) })
	}
	o.running.Go(func() { v.members.Run(ctx) })
	o.network.Serve(in.PeerAddr, v)
	o.mu.Lock()
	o.voters[i] = v
	o.mu.Unlock()
}

// publish gives every list the present instances.
func (o *electionOracle) publish() {
	var instances []structs.Instance
	for i, v := range o.voters {
		if v != nil && !o.unlisted[i] {
			instances = append(instances, v.members.Self())
		}
	}
	for _, l := range o.lists {
		l.SetInstances(instances)
	}
}

func (o *electionOracle) granted(id, dc string, token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.grants[dc]; len(g) > 0 && g[len(g)-1] >= token {
		o.fault("data centre %s: token %d was granted after %d", dc, token, g[len(g)-1])
	}
	o.grants[dc], o.owners[token] = append(o.grants[dc], token), id
}

func (o *electionOracle) elected(v *voter, dc string, token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, ok := o.told[token]; ok {
		o.fault("token %d was told to %s after %s", token, v.id, other)
	}
	if o.owners[token] != v.id || !slices.Contains(o.grants[dc], token) {
		o.fault("%s was told token %d of %s, which the store did not grant it", v.id, token, dc)
	}
	if v.held[dc] != 0 {
		o.fault("%s was elected twice for %s without standing down", v.id, dc)
	}
	o.told[token], v.held[dc], v.since[dc] = v.id, token, time.Now()
}

func (o *electionOracle) stoodDown(v *voter, dc string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v.held[dc], v.heard[dc] = 0, heardToken{}
}

func (o *electionOracle) hear(v *voter, dc string, token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := v.held[dc]; held != 0 && token > held && v.heard[dc].token == 0 {
		v.heard[dc] = heardToken{token, time.Now()}
	}
}

// watch lets time pass and checks that holders of older tokens stand down.
func (o *electionOracle) watch(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		o.mu.Lock()
		for _, v := range o.voters {
			for _, dc := range fuzzDataCentres {
				if v == nil || v.heard[dc].token == 0 {
					continue
				}
				if late := time.Since(v.heard[dc].at); late > standDownBound {
					o.fault("%s holds %s with token %d, %v after it heard %d", v.id, dc, v.held[dc], late, v.heard[dc].token)
				}
			}
		}
		o.mu.Unlock()
		if !time.Now().Before(end) {
			return
		}
	}
}

// stop ends an instance; a crash revokes nothing and says nothing.
func (o *electionOracle) stop(i int, crash bool) {
	v := o.voters[i]
	o.mu.Lock()
	v.dead = crash
	o.voters[i] = nil
	o.mu.Unlock()
	if crash {
		o.network.Serve(v.id, nil)
	}
	v.members.SetLeaving()
	v.cancel()
	if !crash {
		o.watch(100 * time.Millisecond)
		o.network.Serve(v.id, nil)
	}
	o.publish()
}

func (o *electionOracle) play(s electionStep) {
	v := o.voters[s.node]
	live := 0
	for _, v := range o.voters {
		if v != nil {
			live++
		}
	}
	switch s.kind {
	case "store-down", "store-up", "store-slow", "lose-write", "late-write":
		o.store.SetFaults(map[string]standin.StoreFaults{"store-down": {Down: true}, "store-slow": {Slow: time.Second},
			"lose-write": {LoseWrites: 2}, "late-write": {LateWrites: 1}}[s.kind])
	case "expire":
		o.store.ExpireLeases()
	case "cut":
		o.network.Cut(name(s.node), name(s.peer), s.node != s.peer)
	case "isolate":
		for i := range fuzzNodes {
			o.network.Cut(name(s.node), name(i), i != s.node)
		}
	case "heal":
		o.heal()
	case "pause":
		o.network.Pause(name(s.node))
	case "resume":
		o.network.Resume(name(s.node))
	case "stop", "crash":
		if v != nil && live > 1 {
			o.stop(s.node, s.kind == "crash")
		}
	case "restart":
		if v == nil {
			o.start(s.node)
			o.publish()
		}
	case "unlist", "list":
		o.unlisted[s.node] = s.kind == "unlist"
		o.publish()
	}
}

// heal ends the cuts and pauses.
func (o *electionOracle) heal() {
	for i := range fuzzNodes {
		o.network.Resume(name(i))
		for j := range i {
			o.network.Cut(name(i), name(j), false)
		}
	}
}

// atRest checks that each data centre has one holder that every instance names.
func (o *electionOracle) atRest() {
	for _, dc := range fuzzDataCentres {
		var holders []string
		var token uint64
		for _, v := range o.voters {
			if v != nil && v.held[dc] != 0 {
				holders, token = append(holders, v.id), v.held[dc]
			}
		}
		if len(holders) != 1 {
			o.fault("data centre %s has holders %v", dc, holders)
			continue
		}
		for _, v := range o.voters {
			if v == nil {
				continue
			}
			if id, t, ok := v.elections[dc].Holder(); !ok || id != holders[0] || t != token {
				o.fault("%s names %q with token %d as holder of %s: it is %s with token %d", v.id, id, t, dc, holders[0], token)
			}
		}
	}
}

type electionStep struct {
	kind       string
	node, peer int
	pause      time.Duration
}

func drawElectionSteps(t *rapid.T) []electionStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) electionStep {
		return electionStep{
			kind:  rapid.SampledFrom(electionSteps).Draw(t, "kind"),
			node:  rapid.IntRange(0, fuzzNodes-1).Draw(t, "node"),
			peer:  rapid.IntRange(0, fuzzNodes-1).Draw(t, "peer"),
			pause: rapid.SampledFrom(electionPauses).Draw(t, "pause"),
		}
	}), 10, 40).Draw(t, "steps")
}

func setFuzzFlag(t *testing.T, flagName, env, value string) {
	if v := os.Getenv(env); v != "" {
		value = v
	}
	require.NoError(t, flag.Set(flagName, value))
}

// Guards against tokens that repeat or do not grow, owners that the store did not elect,
// owners that go on after hearing a newer token, and data centres that stay without
// exactly one known owner, under lagging lists, cuts, pauses, outages and lost answers
// of the store, ended leases, crashes, stops and restarts.
func TestFuzzElections(t *testing.T) {
	setFuzzFlag(t, "rapid.seed", fuzzSeedEnv, fuzzSeed)
	setFuzzFlag(t, "rapid.checks", fuzzChecksEnv, fuzzChecks)
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		lags := rapid.SliceOfN(rapid.SampledFrom(listLags), fuzzNodes, fuzzNodes).Draw(rt, "lags")
		steps := drawElectionSteps(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) {
			o := newElectionOracle(lags)
			for _, s := range steps {
				o.play(s)
				o.watch(s.pause)
			}
			o.store.SetFaults(standin.StoreFaults{})
			o.heal()
			o.unlisted = [fuzzNodes]bool{}
			o.publish()
			o.watch(quietTime)
			o.atRest()
			for _, v := range o.voters {
				if v != nil {
					v.cancel()
				}
			}
			o.running.Wait()
			faults = o.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}
