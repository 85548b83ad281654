// Package ownership elects one instance as owner of the domain. The owner holds a key in the
// platform's store under a lease; the revision at which the key was created is its fencing token.
// Safety does not depend on timers: workers reject older tokens, and each write of an owner is
// conditional on its key still existing.
package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// Store keys.
const (
	OwnerPrefix     = "cy/owner"     // the owner's key only: every instance watches it
	InstancesPrefix = "cy/instance/" // changes often in a large fleet: watched with a pause between calls

	ownerKey = OwnerPrefix
)

// Timing of elections.
const (
	// OwnerTTL bounds how long a dead owner blocks its successor.
	OwnerTTL = 1500 * time.Millisecond
	// renewInterval leaves time for several retries before the lease expires.
	renewInterval = 300 * time.Millisecond
	// maxRenewWait is how long a renewal without an answer is waited for before another one is sent beside it, so
	// that a lost answer does not use up the lease although answers take long.
	maxRenewWait = 400 * time.Millisecond
	// renewRetryDelay is the delay after a renewal that got no response.
	renewRetryDelay = 50 * time.Millisecond
	// callTimeout limits one store call, except renewals of the owner's lease (Options.CallTimeout).
	callTimeout = 600 * time.Millisecond
	// partitionCheckInterval is how often an owner, or an instance that would campaign, checks whether it
	// alone cannot reach the store.
	partitionCheckInterval = 100 * time.Millisecond
	// retryDelay is the delay after a failed attempt.
	retryDelay = 200 * time.Millisecond
	// instanceTTL bounds how long a dead instance stays listed.
	instanceTTL = 10 * time.Second
	// instanceRenewInterval is the time between lease renewals of an instance's own entry.
	instanceRenewInterval = 3 * time.Second
	// strongShare is the fraction of the largest listed CPU share from which an instance counts as
	// strong. The jobs of a large fleet use up the whole CPU share of a weak owner.
	strongShare = 0.6
	// weakDelay is the additional delay of weak instances, so that strong ones are elected first. It
	// covers the propagation of the vacancy to all instances and the jitter of the candidates.
	weakDelay = 400 * time.Millisecond
	// yieldAfter is how often a weak owner checks for a strong instance to hand over to, first this
	// long after its election. yieldInterval is the minimum time between two such handovers, because
	// a listed strong instance may be unable to serve.
	yieldAfter    = 3 * time.Second
	yieldInterval = 30 * time.Second
	// baseDelay, divided by the CPU share of an instance, delays its candidacy, so that instances with
	// more CPU win. firstBaseDelay replaces it while no instance is listed, as when all start at once.
	baseDelay      = 8 * time.Millisecond
	firstBaseDelay = 20 * time.Millisecond
	// failedTermInterval is how long after a term ended by itself, because it could not go on, its instance
	// campaigns weakDelay later, so that another one is elected if there is one.
	failedTermInterval = 30 * time.Second
	// instancesTimeout limits how long a candidate waits for the list of instances.
	instancesTimeout = 500 * time.Millisecond
	// jitterPerPeer spreads candidates of equal CPU share over the time that the result of an election
	// takes to reach the others, so that the instances of a large fleet do not all campaign at once.
	jitterPerPeer = 2 * time.Millisecond
	// minJitter is the minimum time over which candidates are spread.
	minJitter = 15 * time.Millisecond
	// announceJitter spreads the first writes of instances that start together.
	announceJitter = 1500 * time.Millisecond
)

// Instance is a member of the system.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // for calls from other instances
	// CPUShare is the number of cores that the instance may use; 0 if unknown.
	CPUShare float64 `json:"cpu,omitempty"`
}

func (i Instance) sameInstance(o Instance) bool { return i.Name == o.Name && i.Address == o.Address }

// Owner is the elected instance.
type Owner struct {
	Instance
	Token uint64 `json:"-"` // fencing token
}

type ownerValue struct {
	Instance
	Nonce uint64 `json:"nonce"` // distinguishes a lost response from another candidate's success
}

// Options configures an Elector.
type Options struct {
	Store metastore.Store
	Self  Instance
	Log   *zap.Logger
	// CallTimeout returns the timeout of a renewal of the owner's lease for the attempt, counted from 1.
	CallTimeout func(attempt int) time.Duration
	// Partitioned reports whether the store responds to a peer but not to this instance.
	Partitioned func() bool
	// DeposeViaPeer asks a peer to remove the ownership with the token from the store.
	DeposeViaPeer func(ctx context.Context, token uint64) error
	// Suspended returns the total time that the machine has been suspended; nil for the system's value.
	Suspended func() time.Duration
	// RunTerm runs one term as owner. It returns when its context ends or the term is over.
	RunTerm func(ctx context.Context, token uint64, fence metastore.Condition)
}

// Elector tracks the owner and the instances, and campaigns whenever there is no owner.
type Elector struct {
	opts Options

	instancesRead     chan struct{} // closed after the first read of the instances
	instancesReadOnce sync.Once

	mu            sync.Mutex
	ownerRead     bool // the owner key was read at least once
	owner         Owner
	instances     map[string]Instance
	formerOwner   string        // last owner, cleared when its entry is written again
	lastConfirmed suspend.Stamp // when the last successful renewal was sent
	yieldedAt     time.Time     // when this instance last handed over to a stronger one
	termFailedAt  time.Time     // when a term of this instance last ended by itself
	wake          chan struct{}
}

// New returns an elector. The caller feeds Apply from mirrors of both key prefixes.
func New(o Options) *Elector {
	if o.Suspended == nil {
		o.Suspended = suspend.Total
	}
	return &Elector{opts: o, instances: map[string]Instance{}, instancesRead: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Apply applies a change of the owner key or of an instance's entry.
func (e *Elector) Apply(change metastore.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Key == ownerKey {
		e.applyOwner(change)
		e.wakeRun()
		return
	}
	if change.Removed {
		delete(e.instances, change.Key)
		return
	}
	var i Instance
	if err := json.Unmarshal(change.Value, &i); err != nil {
		e.opts.Log.Warn("cannot decode instance entry", zap.String("key", change.Key), zap.Error(err))
		return
	}
	e.instances[change.Key] = i
	if i.Name == e.formerOwner {
		e.formerOwner = ""
	}
}

func (e *Elector) applyOwner(change metastore.Change) {
	if change.Removed {
		if e.owner.Token != 0 {
			e.formerOwner = e.owner.Name
		}
		e.owner = Owner{}
		return
	}
	var v ownerValue
	if err := json.Unmarshal(change.Value, &v); err != nil {
		e.opts.Log.Warn("cannot decode owner entry", zap.Error(err))
		return
	}
	e.owner = Owner{Instance: v.Instance, Token: change.Created}
	events.Info(e.opts.Log, events.OwnerSeen, zap.String("owner", v.Name), zap.Uint64("token", change.Created))
}

// OwnerSynced records that the owner key has been read.
func (e *Elector) OwnerSynced(time.Time) {
	e.mu.Lock()
	first := !e.ownerRead
	e.ownerRead = true
	e.mu.Unlock()
	if first {
		e.wakeRun()
	}
}

func (e *Elector) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Owner returns the owner according to the last change applied, if there is one.
func (e *Elector) Owner() (Owner, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner, e.owner.Token != 0
}

func (e *Elector) stamp() suspend.Stamp { return suspend.NewStamp(time.Now(), e.opts.Suspended()) }

// ConfirmedWithin reports whether the last renewal that the store confirmed was sent within d.
func (e *Elector) ConfirmedWithin(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastConfirmed.Age(time.Now(), e.opts.Suspended()) < d
}

// Run takes part in elections until ctx ends. It then gives up a term in progress.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if token, ok := e.staleOwnership(); ok {
			e.endStaleOwnership(ctx, token)
			continue
		}
		if !e.vacant() {
			e.awaitVacancy(ctx)
			continue
		}
		e.awaitInstances(ctx)
		wait.For(ctx, e.candidacyDelay())
		if ctx.Err() == nil && e.vacant() {
			e.campaign(ctx)
		}
	}
}

func (e *Elector) vacant() bool { return e.ownerMissing() && !e.opts.Partitioned() }

func (e *Elector) ownerMissing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownerRead && e.owner.Token == 0
}

// awaitVacancy waits for a change of the owner. While there is no owner, it returns after
// partitionCheckInterval, because the end of a partition changes nothing in the store.
func (e *Elector) awaitVacancy(ctx context.Context) {
	var check <-chan time.Time
	if e.ownerMissing() {
		check = time.After(partitionCheckInterval)
	}
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-check:
	}
}

// staleOwnership returns the token of an ownership that an earlier process of this instance still
// holds in the store. That process has ended, because this one listens at its address. Run calls
// staleOwnership only between terms.
func (e *Elector) staleOwnership() (token uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Token, e.owner.Token != 0 && e.owner.sameInstance(e.opts.Self)
}

// endStaleOwnership removes an ownership that no process exercises, so that its lease need not expire.
func (e *Elector) endStaleOwnership(ctx context.Context, token uint64) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	err := e.Depose(call, token)
	cancel()
	events.Info(e.opts.Log, events.PreviousOwnershipEnded, zap.Uint64("token", token), zap.Error(err))
	var conflict *metastore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		wait.For(ctx, retryDelay)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Token == token {
		e.owner = Owner{}
	}
}

// campaign tries to become the owner and, if elected, serves the term.
func (e *Elector) campaign(ctx context.Context) {
	sent := e.stamp()
	lease, token, err := e.acquire(ctx)
	if err != nil {
		events.Info(e.opts.Log, events.OwnershipNotWon, zap.Error(err))
		wait.For(ctx, retryDelay)
		return
	}
	e.mu.Lock()
	e.lastConfirmed = sent
	e.owner = Owner{Instance: e.opts.Self, Token: token}
	e.mu.Unlock()
	e.serve(ctx, lease, token)
}

var errLost = errors.New("another instance won")

// acquire creates the owner key. If the response is lost, it reads the key back to find the outcome.
func (e *Elector) acquire(ctx context.Context) (lease int64, token uint64, err error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err = e.opts.Store.Grant(call, OwnerTTL)
	cancel()
	if err != nil {
		return 0, 0, err
	}
	mine := ownerValue{Instance: e.opts.Self, Nonce: rand.Uint64()}
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, 0, err
	}
	call, cancel = context.WithTimeout(ctx, callTimeout)
	token, err = e.opts.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{{Key: ownerKey}},
		Puts: []metastore.Put{{Key: ownerKey, Value: value, Lease: lease}},
	})
	cancel()
	if err == nil {
		return lease, token, nil
	}
	if errors.Is(err, metastore.ErrRefused) || errors.Is(err, metastore.ErrLeaseEnded) {
		return 0, 0, err
	}
	token, readErr := e.readBack(ctx, mine.Nonce)
	if readErr != nil {
		e.revokeLease(lease)
		return 0, 0, errors.Join(err, readErr)
	}
	return lease, token, nil
}

func (e *Elector) readBack(ctx context.Context, nonce uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := e.opts.Store.Get(call, ownerKey)
	if err != nil {
		return 0, err
	}
	var v ownerValue
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return 0, err
	}
	if v.Nonce != nonce {
		return 0, errLost
	}
	return item.Created, nil
}

// serve runs a term and renews its lease in the background.
func (e *Elector) serve(ctx context.Context, lease int64, token uint64) {
	events.Info(e.opts.Log, events.TermStarted, zap.Uint64("token", token))
	term, stop := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { e.renew(term, stop, lease, token) })
	renewing.Go(func() { e.stopWhenPartitioned(term, stop, token) })
	renewing.Go(func() { e.yieldWhenWeak(term, stop, token) })
	e.opts.RunTerm(term, token, metastore.Condition{Key: ownerKey, Revision: token})
	if term.Err() == nil {
		e.mu.Lock()
		e.termFailedAt = time.Now()
		e.mu.Unlock()
	}
	stop()
	renewing.Wait()
	e.resign(lease, token)
}

// renewal is the outcome of a renewal of the owner's lease.
type renewal struct {
	sent suspend.Stamp
	err  error
}

// renew renews the lease until the term ends, and ends the term when the store has another owner
// or none.
func (e *Elector) renew(ctx context.Context, stop context.CancelFunc, lease int64, token uint64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	answers := make(chan renewal)
	failures := 0
	for ctx.Err() == nil {
		if failures == 0 {
			wait.For(ctx, renewInterval)
		} else {
			wait.For(ctx, renewRetryDelay)
		}
		if owner, ok := e.Owner(); ctx.Err() == nil && (!ok || owner.Token != token) {
			events.Warn(e.opts.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "the store shows another owner or none"))
			stop()
			return
		}
		timeout := e.opts.CallTimeout(failures + 1)
		calls.Go(func() { e.sendRenewal(ctx, lease, timeout, answers) })
		err := e.awaitRenewal(ctx, min(timeout, maxRenewWait), answers)
		if errors.Is(err, metastore.ErrLeaseEnded) {
			events.Warn(e.opts.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "lease ended"))
			e.mu.Lock()
			if e.owner.Token == token {
				e.owner = Owner{}
			}
			e.mu.Unlock()
			stop()
			return
		}
		if err == nil {
			failures = 0
			continue
		}
		if failures++; failures == 1 && ctx.Err() == nil {
			events.Warn(e.opts.Log, events.OwnershipUnconfirmed, zap.Uint64("token", token), zap.Error(err))
		}
	}
}

func (e *Elector) sendRenewal(ctx context.Context, lease int64, timeout time.Duration, answers chan<- renewal) {
	sent := e.stamp()
	call, cancel := context.WithTimeout(ctx, timeout)
	err := e.opts.Store.KeepAlive(call, lease)
	cancel()
	select {
	case answers <- renewal{sent, err}:
	case <-ctx.Done():
	}
}

// awaitRenewal waits for the answer to any renewal in progress, and returns its error or that of the wait.
func (e *Elector) awaitRenewal(ctx context.Context, limit time.Duration, answers <-chan renewal) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return context.DeadlineExceeded
	case r := <-answers:
		if r.err == nil {
			e.mu.Lock()
			e.lastConfirmed = r.sent
			e.mu.Unlock()
		}
		return r.err
	}
}

// stopWhenPartitioned ends the term when only this instance cannot reach the store, because a peer
// that reaches it can serve as owner.
func (e *Elector) stopWhenPartitioned(ctx context.Context, stop context.CancelFunc, token uint64) {
	for wait.For(ctx, partitionCheckInterval) {
		if e.opts.Partitioned() {
			events.Warn(e.opts.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "only this instance cannot reach the store"))
			stop()
			return
		}
	}
}

// Depose removes the ownership with the token on behalf of its holder, which has stopped serving.
func (e *Elector) Depose(ctx context.Context, token uint64) error {
	_, err := e.opts.Store.Commit(ctx, metastore.Txn{
		If:     []metastore.Condition{{Key: ownerKey, Revision: token}},
		Remove: []string{ownerKey},
	})
	return err
}

// resign gives up the ownership, so that a successor need not wait for the lease to expire.
func (e *Elector) resign(lease int64, token uint64) {
	if e.opts.Partitioned() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		if err := e.opts.DeposeViaPeer(ctx, token); err != nil {
			e.opts.Log.Warn("no peer could remove the ownership; it ends when its lease expires", zap.Error(err))
		}
		cancel()
	} else {
		e.revokeLease(lease)
	}
	e.mu.Lock()
	if e.owner.Token == token {
		e.owner = Owner{}
	}
	e.mu.Unlock()
	e.wakeRun()
}

func (e *Elector) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, metastore.ErrLeaseEnded) {
		e.opts.Log.Warn("lease not revoked; it expires by itself", zap.Int64("lease", lease), zap.Error(err))
	}
}
