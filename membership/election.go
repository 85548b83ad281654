package membership

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

const (
	// OwnerKeyPrefix is the prefix of owner keys in the store.
	OwnerKeyPrefix = "owner/"
	// ownerTTL is the duration of an owner's store lease.
	ownerTTL = 10 * time.Second
	// renewInterval leaves time for two more renewals before the lease expires.
	renewInterval = 3 * time.Second
	// storeTimeout limits one store call.
	storeTimeout = 1500 * time.Millisecond
	// holderCheckInterval is how often an instance checks, without a store call, that the holder is
	// alive or, if it is the holder, that no newer token exists.
	holderCheckInterval = 500 * time.Millisecond
	// storeReadInterval is the time between store reads while no live holder is known.
	storeReadInterval = time.Second
	// liveHolderReadInterval is the time between store reads while the holder is alive.
	liveHolderReadInterval = time.Minute
	// remoteCandidateDelay is the additional delay of candidates from other data centres, so that an
	// instance of the data centre itself becomes owner if there is one.
	remoteCandidateDelay = 2 * time.Second
	// candidateJitter is the maximum random delay of a candidate.
	candidateJitter = 400 * time.Millisecond
)

// ElectionOptions holds the dependencies of an Election.
type ElectionOptions struct {
	DataCentre  string
	Store       remote.Store
	Members     *Controller
	Log         *zap.Logger
	Metrics     metrics.Registry
	OnElected   func(token uint64) // called by Run; must not block, or the lease expires
	OnStoodDown func()             // called by Run, once after each OnElected
}

// Election elects the owner of one data centre.
type Election struct {
	opts      ElectionOptions
	key       string
	elections metrics.Counter

	mu          sync.Mutex
	token       uint64 // 0 while this instance is not the holder
	lease       remote.LeaseID
	holder      holderRecord // as last read from the store
	holderToken uint64       // token of holder
}

// holderRecord is the value of an owner key.
type holderRecord struct {
	Instance string `json:"instance"`
}

// NewElection returns an election in which this instance is not the holder.
func NewElection(o ElectionOptions) *Election {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	return &Election{opts: o, key: OwnerKeyPrefix + o.DataCentre,
		elections: metrics.GetOrRegisterCounter("membership.elections.won", o.Metrics)}
}

// Run takes part in the election until ctx ends, and then releases the ownership.
func (e *Election) Run(ctx context.Context) {
	defer e.release()
	for ctx.Err() == nil {
		if e.Token() != 0 {
			e.hold(ctx)
		} else {
			e.follow(ctx)
		}
	}
}

// Token returns this instance's fencing token, or 0 while it is not the holder.
func (e *Election) Token() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token
}

// Holder returns the holder with the highest token that was received in heartbeats or read from the
// store.
func (e *Election) Holder() (instance string, token uint64, ok bool) {
	e.mu.Lock()
	instance, token = e.holder.Instance, e.holderToken
	if e.token > token {
		instance, token = e.opts.Members.Self().ID, e.token
	}
	e.mu.Unlock()
	if owner, seen := e.opts.Members.holder(e.opts.DataCentre); seen > token || (seen == token && owner == "") {
		instance, token = owner, seen
	}
	return instance, token, instance != ""
}

// follow campaigns whenever the owner key is absent, until this instance is elected or ctx ends. While
// a live holder is known, it reads the store only every liveHolderReadInterval.
func (e *Election) follow(ctx context.Context) {
	checked := time.Now()
	for wait.For(ctx, e.opts.Members.jitter(holderCheckInterval)) {
		holder, _, known := e.Holder()
		alive := known && holder != e.opts.Members.Self().ID && e.opts.Members.Alive(holder)
		if alive && time.Since(checked) < liveHolderReadInterval {
			continue
		}
		checked = time.Now()
		vacant, err := e.readHolder(ctx)
		if err == nil && vacant && e.eligible() && e.delayCandidacy(ctx) && e.campaign(ctx) {
			return
		}
		if !wait.For(ctx, e.opts.Members.jitter(storeReadInterval)) {
			return
		}
	}
}

// eligible reports whether this instance is listed and not leaving, so that peers can call it as owner.
func (e *Election) eligible() bool {
	since, _ := e.opts.Members.ListedSince()
	return !since.IsZero()
}

// delayCandidacy waits so that instances of the data centre campaign first. It reports whether the
// owner key is still absent.
func (e *Election) delayCandidacy(ctx context.Context) bool {
	delay := e.opts.Members.opts.Jitter(candidateJitter)
	if e.opts.Members.Self().DataCentre != e.opts.DataCentre {
		delay += remoteCandidateDelay
	}
	if !wait.For(ctx, delay) {
		return false
	}
	vacant, err := e.readHolder(ctx)
	return err == nil && vacant
}

// readHolder reads the owner key and reports whether it is absent.
func (e *Election) readHolder(ctx context.Context) (vacant bool, err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := e.opts.Store.Get(call, e.key)
	if errors.Is(err, remote.ErrNotFound) {
		e.mu.Lock()
		e.holder = holderRecord{}
		e.mu.Unlock()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	var record holderRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return false, err
	}
	e.mu.Lock()
	if kv.Created >= e.holderToken {
		e.holder, e.holderToken = record, kv.Created
	}
	e.mu.Unlock()
	e.observeToken(kv.Created)
	return false, nil
}

func (e *Election) observeToken(token uint64) {
	e.opts.Members.ObserveTokens([]*peer.OwnerToken{{DataCentre: e.opts.DataCentre, Token: token}})
}

// campaign tries once to create the owner key under a new lease. If the response is lost, it revokes
// the lease, which removes the key if it was created.
func (e *Election) campaign(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := e.opts.Store.GrantLease(call, ownerTTL)
	if err != nil {
		return false
	}
	record := holderRecord{Instance: e.opts.Members.Self().ID}
	value, err := json.Marshal(record)
	if err != nil {
		return false
	}
	token, err := e.opts.Store.CompareAndSwap(call, e.key, 0, value, lease)
	if err != nil {
		e.revoke(lease)
		return false
	}
	e.mu.Lock()
	e.token, e.lease, e.holder, e.holderToken = token, lease, record, token
	e.mu.Unlock()
	e.observeToken(token)
	e.opts.Members.SetSummary(&peer.Summary{DataCentre: e.opts.DataCentre, Token: token})
	e.elections.Inc(1)
	events.Info(e.opts.Log, events.OwnerElected, zap.String("data_centre", e.opts.DataCentre), zap.Uint64("token", token))
	e.opts.OnElected(token)
	return true
}

// hold renews the lease until a newer token of another instance is known or the store reports that the
// lease has ended. The instance stays owner while the store does not respond, because workers reject
// older tokens and jobs need an owner during an outage.
func (e *Election) hold(ctx context.Context) {
	renewed := time.Now()
	next := e.opts.Members.jitter(renewInterval)
	for wait.For(ctx, min(holderCheckInterval, next)) {
		if newest := e.opts.Members.Token(e.opts.DataCentre); newest > e.Token() {
			e.standDown("a newer token exists", newest)
			return
		}
		if time.Since(renewed) < next {
			continue
		}
		renewed, next = time.Now(), e.opts.Members.jitter(renewInterval)
		if err := e.renew(ctx); errors.Is(err, remote.ErrLeaseEnded) {
			e.standDown("the lease has ended", 0)
			// This instance has the most recent state, so it campaigns again at once.
			e.campaign(ctx)
			return
		}
	}
}

func (e *Election) renew(ctx context.Context) error {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.opts.Store.RenewLease(call, lease)
}

// standDown ends the ownership of this instance and calls OnStoodDown.
func (e *Election) standDown(reason string, newest uint64) {
	e.mu.Lock()
	token := e.token
	e.token, e.lease = 0, 0
	e.mu.Unlock()
	e.opts.Members.retractSummary(e.opts.DataCentre)
	events.Info(e.opts.Log, events.OwnerStoodDown, zap.String("data_centre", e.opts.DataCentre),
		zap.Uint64("token", token), zap.String("reason", reason), zap.Uint64("newest", newest))
	e.opts.OnStoodDown()
}

// release stands down and revokes the lease, so that a successor need not wait for it to expire.
func (e *Election) release() {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if e.Token() == 0 {
		return
	}
	e.standDown("stopping", 0)
	e.revoke(lease)
}

// revoke revokes a lease. If the call fails, the lease expires by itself.
func (e *Election) revoke(lease remote.LeaseID) {
	call, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = e.opts.Store.RevokeLease(call, lease)
}
