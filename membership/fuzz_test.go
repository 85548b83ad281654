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
	// fuzzSeed and fuzzChecks make the runs in CI reproducible. The environment variables fuzzSeedEnv and
	// fuzzChecksEnv override the seed and the number of runs.
	fuzzSeed      = "20261204"
	fuzzChecks    = "150"
	fuzzChecksEnv = "MEMBERSHIP_FUZZ_CHECKS"
	fuzzSeedEnv   = "MEMBERSHIP_FUZZ_SEED"
	// standDownBound is the target time from receipt of a newer token to the end of an ownership.
	standDownBound = 2 * time.Second
	// recoveryTime is the time without faults before the final check.
	recoveryTime = 30 * time.Second
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

// participant is one process of an instance, with an election for each data centre.
type participant struct {
	peer.DRPCPeerUnimplementedServer
	o          *electionOracle
	id         string
	dead       bool // crashed: its store calls fail
	members    *membership.Controller
	elections  map[string]*membership.Election
	cancel     context.CancelFunc
	held       map[string]uint64    // tokens by data centre
	since      map[string]time.Time // when the held token was obtained
	newerToken map[string]observedToken
}

// observedToken is the first token received that is newer than the held one.
type observedToken struct {
	token uint64
	at    time.Time
}

// Heartbeat records the tokens that the instance receives.
func (p *participant) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	reply, err := p.members.HandleHeartbeat(ctx, r)
	for _, s := range r.Summaries {
		p.o.recordToken(p, s.DataCentre, s.Token)
	}
	return reply, err
}

// participantStore is the store as seen by one process of an instance.
type participantStore struct {
	remote.Store
	p *participant
}

func (s participantStore) checkReachable(ctx context.Context) error {
	if err := s.p.o.network.WaitResumed(ctx, s.p.id); err != nil {
		return err
	}
	s.p.o.mu.Lock()
	defer s.p.o.mu.Unlock()
	if s.p.dead {
		return errCut
	}
	return nil
}

func (s participantStore) Get(ctx context.Context, key string) (remote.KV, error) {
	if err := s.checkReachable(ctx); err != nil {
		return remote.KV{}, err
	}
	kv, err := s.Store.Get(ctx, key)
	if err == nil {
		s.p.o.recordToken(s.p, key[len(membership.OwnerKeyPrefix):], kv.Created)
	}
	return kv, err
}

func (s participantStore) GrantLease(ctx context.Context, ttl time.Duration) (remote.LeaseID, error) {
	if err := s.checkReachable(ctx); err != nil {
		return 0, err
	}
	return s.Store.GrantLease(ctx, ttl)
}

func (s participantStore) RenewLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.checkReachable(ctx); err != nil {
		return err
	}
	return s.Store.RenewLease(ctx, id)
}

func (s participantStore) RevokeLease(ctx context.Context, id remote.LeaseID) error {
	if err := s.checkReachable(ctx); err != nil {
		return err
	}
	return s.Store.RevokeLease(ctx, id)
}

// CompareAndSwap delays the response while the instance is paused.
func (s participantStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease remote.LeaseID) (uint64, error) {
	if err := s.checkReachable(ctx); err != nil {
		return 0, err
	}
	token, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if err == nil {
		s.p.o.granted(s.p.id, key[len(membership.OwnerKeyPrefix):], token)
		err = s.checkReachable(ctx)
	}
	return token, err
}

// electionOracle records the tokens that the store granted and the OnElected calls of the instances.
type electionOracle struct {
	store   *standin.Store
	network *standin.Network
	lists   []*standin.List
	running sync.WaitGroup

	mu           sync.Mutex
	participants []*participant // nil while stopped
	unlisted     [fuzzNodes]bool
	grants       map[string][]uint64 // by data centre, in the order of the store
	owners       map[uint64]string   // instance by granted token
	notified     map[uint64]string   // instance by token passed to OnElected
	faults       []string
}

func newElectionOracle(lags []time.Duration) *electionOracle {
	o := &electionOracle{store: standin.NewStore(), network: standin.NewNetwork(time.Millisecond), grants: map[string][]uint64{},
		owners: map[uint64]string{}, notified: map[uint64]string{}, participants: make([]*participant, fuzzNodes)}
	for i := range fuzzNodes {
		o.lists = append(o.lists, standin.NewList(lags[i]))
	}
	for i := range fuzzNodes {
		o.start(i)
	}
	o.publishLists()
	return o
}

func (o *electionOracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func (o *electionOracle) start(i int) {
	in := structs.Instance{ID: name(i), DataCentre: fuzzDataCentres[i%2], PeerAddr: name(i)}
	ctx, cancel := context.WithCancel(context.Background())
	p := &participant{o: o, id: in.ID, cancel: cancel, elections: map[string]*membership.Election{}, held: map[string]uint64{},
		since: map[string]time.Time{}, newerToken: map[string]observedToken{}}
	jitter := seededJitter(uint64(i))
	p.members = membership.New(membership.Options{Self: in, List: o.lists[i], Clients: o.network.ClientsFrom(in.PeerAddr),
		Metrics: metrics.NewRegistry(), Jitter: jitter})
	p.members.SetConfig(confirmedConfig{})
	for _, dc := range fuzzDataCentres {
		e := membership.NewElection(membership.ElectionOptions{DataCentre: dc, Store: participantStore{o.store, p}, Members: p.members,
			Metrics: metrics.NewRegistry(), OnElected: func(token uint64) { o.elected(p, dc, token) },
			OnStoodDown: func() { o.stoodDown(p, dc) }})
		p.elections[dc] = e
		o.running.Go(func() { e.Run(ctx) })
	}
	o.running.Go(func() { p.members.Run(ctx) })
	o.network.SetHandler(in.PeerAddr, p)
	o.mu.Lock()
	o.participants[i] = p
	o.mu.Unlock()
}

// publishLists sets the running, listed instances on every list.
func (o *electionOracle) publishLists() {
	var instances []structs.Instance
	for i, p := range o.participants {
		if p != nil && !o.unlisted[i] {
			instances = append(instances, p.members.Self())
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

func (o *electionOracle) elected(p *participant, dc string, token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, ok := o.notified[token]; ok {
		o.fault("token %d: OnElected of %s called after that of %s", token, p.id, other)
	}
	if o.owners[token] != p.id || !slices.Contains(o.grants[dc], token) {
		o.fault("%s: OnElected called with token %d of %s, which the store did not grant it", p.id, token, dc)
	}
	if p.held[dc] != 0 {
		o.fault("%s: OnElected called twice for %s without OnStoodDown", p.id, dc)
	}
	o.notified[token], p.held[dc], p.since[dc] = p.id, token, time.Now()
}

func (o *electionOracle) stoodDown(p *participant, dc string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.held[dc], p.newerToken[dc] = 0, observedToken{}
}

func (o *electionOracle) recordToken(p *participant, dc string, token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := p.held[dc]; held != 0 && token > held && p.newerToken[dc].token == 0 {
		p.newerToken[dc] = observedToken{token, time.Now()}
	}
}

// advance lets d pass and checks that holders of older tokens stand down.
func (o *electionOracle) advance(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		o.mu.Lock()
		for _, p := range o.participants {
			for _, dc := range fuzzDataCentres {
				if p == nil || p.newerToken[dc].token == 0 {
					continue
				}
				if late := time.Since(p.newerToken[dc].at); late > standDownBound {
					o.fault("%s holds %s with token %d, %v after it received %d", p.id, dc, p.held[dc], late, p.newerToken[dc].token)
				}
			}
		}
		o.mu.Unlock()
		if !time.Now().Before(end) {
			return
		}
	}
}

// stop ends an instance. A crash revokes no lease and sends nothing to peers.
func (o *electionOracle) stop(i int, crash bool) {
	p := o.participants[i]
	o.mu.Lock()
	p.dead = crash
	o.participants[i] = nil
	o.mu.Unlock()
	if crash {
		o.network.SetHandler(p.id, nil)
	}
	p.members.SetLeaving()
	p.cancel()
	if !crash {
		o.advance(100 * time.Millisecond)
		o.network.SetHandler(p.id, nil)
	}
	o.publishLists()
}

func (o *electionOracle) applyStep(s electionStep) {
	p := o.participants[s.node]
	live := 0
	for _, p := range o.participants {
		if p != nil {
			live++
		}
	}
	switch s.kind {
	case "store-down", "store-up", "store-slow", "lose-write", "late-write":
		o.store.SetFaults(map[string]standin.StoreFaults{"store-down": {Down: true}, "store-slow": {CallDelay: time.Second},
			"lose-write": {LoseWriteReplies: 2}, "late-write": {DelayedWrites: 1}}[s.kind])
	case "expire":
		o.store.ExpireLeases()
	case "cut":
		o.network.SetPartitioned(name(s.node), name(s.peer), s.node != s.peer)
	case "isolate":
		for i := range fuzzNodes {
			o.network.SetPartitioned(name(s.node), name(i), i != s.node)
		}
	case "heal":
		o.heal()
	case "pause":
		o.network.Pause(name(s.node))
	case "resume":
		o.network.Resume(name(s.node))
	case "stop", "crash":
		if p != nil && live > 1 {
			o.stop(s.node, s.kind == "crash")
		}
	case "restart":
		if p == nil {
			o.start(s.node)
			o.publishLists()
		}
	case "unlist", "list":
		o.unlisted[s.node] = s.kind == "unlist"
		o.publishLists()
	}
}

// heal ends all network cuts and pauses.
func (o *electionOracle) heal() {
	for i := range fuzzNodes {
		o.network.Resume(name(i))
		for j := range i {
			o.network.SetPartitioned(name(i), name(j), false)
		}
	}
}

// checkSingleHolder checks that each data centre has exactly one holder, which every instance reports.
func (o *electionOracle) checkSingleHolder() {
	for _, dc := range fuzzDataCentres {
		var holders []string
		var token uint64
		for _, p := range o.participants {
			if p != nil && p.held[dc] != 0 {
				holders, token = append(holders, p.id), p.held[dc]
			}
		}
		if len(holders) != 1 {
			o.fault("data centre %s has holders %v", dc, holders)
			continue
		}
		for _, p := range o.participants {
			if p == nil {
				continue
			}
			if id, t, ok := p.elections[dc].Holder(); !ok || id != holders[0] || t != token {
				o.fault("%s reports %q with token %d as holder of %s: it is %s with token %d", p.id, id, t, dc, holders[0], token)
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

// Guards against tokens that repeat or do not increase, owners that the store did not elect, owners that
// do not stand down after receiving a newer token, and data centres that do not return to exactly one
// owner known to all instances. Faults are lagging lists, network cuts, pauses, outages and lost
// responses of the store, expired leases, crashes, stops and restarts.
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
				o.applyStep(s)
				o.advance(s.pause)
			}
			o.store.SetFaults(standin.StoreFaults{})
			o.heal()
			o.unlisted = [fuzzNodes]bool{}
			o.publishLists()
			o.advance(recoveryTime)
			o.checkSingleHolder()
			for _, p := range o.participants {
				if p != nil {
					p.cancel()
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
