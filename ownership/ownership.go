// Package ownership elects one instance as owner of the domain. The owner holds a key in
// the platform's store under a lease; the revision at which the key was created is its
// fencing token. Safety does not depend on any timer: workers refuse older tokens, and each
// write of an owner has the condition that its key is still there.
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

// Keys of the members.
const (
	OwnerPrefix     = "cy/owner"     // the owner's key alone: every instance waits for its changes
	InstancesPrefix = "cy/instance/" // changes often in a large fleet and is read now and then

	ownerKey = OwnerPrefix
)

// Timing of elections.
const (
	// OwnerTTL bounds how long a dead owner blocks its successor.
	OwnerTTL = 1500 * time.Millisecond
	// renewInterval leaves several further tries before the lease ends.
	renewInterval = 300 * time.Millisecond
	// renewRetryPause is the pause after a renewal without an answer.
	renewRetryPause = 50 * time.Millisecond
	// callBound is the longest wait for one answer of the store.
	callBound = 600 * time.Millisecond
	// cutOffInterval is how often an owner checks whether the store turns only it away.
	cutOffInterval = 100 * time.Millisecond
	// retryPause is the pause after a failed try.
	retryPause = 200 * time.Millisecond
	// instanceTTL bounds how long a dead instance is listed.
	instanceTTL = 10 * time.Second
	// instanceInterval is the time between renewals of an instance's own entry.
	instanceInterval = 3 * time.Second
	// strongShare is the share of the strongest instance's processor from which an instance
	// counts as strong: a weak one spends all that it has on the jobs of a large fleet.
	strongShare = 0.6
	// weakDelay is how long weak instances leave the election to strong ones. It covers the time
	// in which the news of a vacancy reaches all and the spread of the candidates.
	weakDelay = 400 * time.Millisecond
	// yieldAfter is how long a weak owner serves before it hands over to a strong instance,
	// and yieldInterval the least time between two such hand-overs: a strong one that is listed
	// may not be able to serve.
	yieldAfter    = 3 * time.Second
	yieldInterval = 30 * time.Second
	// handicap delays the candidacy of an instance, divided by its share of a core, so that
	// instances on strong machines win; firstHandicap does where no other instance is listed, as
	// when all start at once.
	handicap      = 8 * time.Millisecond
	firstHandicap = 20 * time.Millisecond
	// membersBound is how long a candidate waits for the list of instances.
	membersBound = 500 * time.Millisecond
	// jitterPerPeer spreads candidates of equal strength over the time in which the news of a
	// winner reaches the others, so that a large fleet does not stand all at once.
	jitterPerPeer = 2 * time.Millisecond
	// minJitter is the least time over which candidates are spread.
	minJitter = 15 * time.Millisecond
	// firstAnnouncement spreads the entries of instances that start together.
	firstAnnouncement = 1500 * time.Millisecond
)

// Instance is a member of the system.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"` // for calls of other instances
	// CPUShare is the cores that the instance may use; 0 if it is not known.
	CPUShare float64 `json:"cpu,omitempty"`
}

func (i Instance) same(o Instance) bool { return i.Name == o.Name && i.Address == o.Address }

// Owner is the elected instance.
type Owner struct {
	Instance
	Token uint64 `json:"-"` // fencing token
}

type ownerValue struct {
	Instance
	Nonce uint64 `json:"nonce"` // tells a lost answer from another candidate's success
}

// Options configures an Elector.
type Options struct {
	Store metastore.Store
	Self  Instance
	Log   *zap.Logger
	// Bound returns how long to wait for the answer to a call that is tried for the nth time.
	Bound func(attempt int) time.Duration
	// CutOff reports whether the store answers a peer and does not answer this instance.
	CutOff func() bool
	// DeposeElsewhere asks a peer to end the ownership with the token in the store.
	DeposeElsewhere func(ctx context.Context, token uint64) error
	// Suspended returns for how long the machine has been suspended; nil to ask the machine.
	Suspended func() time.Duration
	// Lead runs one term. It returns when its context ends or the term is over.
	Lead func(ctx context.Context, token uint64, fence metastore.Condition)
}

// Elector follows the members and stands for election whenever there is no owner.
type Elector struct {
	o Options

	listed   chan struct{} // closed when the other instances have been read
	listOnce sync.Once

	mu        sync.Mutex
	known     bool // the owner was read at least once
	owner     Owner
	instances map[string]Instance
	left      string        // the last owner, unless it has announced itself since
	confirmed suspend.Stamp // when the newest successful renewal was sent
	yieldedAt time.Time     // when this instance last gave the ownership to a stronger one
	wake      chan struct{}
}

// New returns an elector. Its mirror feeds Apply.
func New(o Options) *Elector {
	if o.Suspended == nil {
		o.Suspended = suspend.Total
	}
	return &Elector{o: o, instances: map[string]Instance{}, listed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Apply takes in a change of the owner or of an instance.
func (e *Elector) Apply(change metastore.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Key == ownerKey {
		e.applyOwner(change)
		e.kick()
		return
	}
	if change.Removed {
		delete(e.instances, change.Key)
		return
	}
	var i Instance
	if err := json.Unmarshal(change.Value, &i); err != nil {
		e.o.Log.Warn("entry of an instance unreadable", zap.String("key", change.Key), zap.Error(err))
		return
	}
	e.instances[change.Key] = i
	if i.Name == e.left {
		e.left = ""
	}
}

func (e *Elector) applyOwner(change metastore.Change) {
	if change.Removed {
		if e.owner.Token != 0 {
			e.left = e.owner.Name
		}
		e.owner = Owner{}
		return
	}
	var v ownerValue
	if err := json.Unmarshal(change.Value, &v); err != nil {
		e.o.Log.Warn("entry of the owner unreadable", zap.Error(err))
		return
	}
	e.owner = Owner{Instance: v.Instance, Token: change.Created}
	events.Info(e.o.Log, events.OwnerSeen, zap.String("owner", v.Name), zap.Uint64("token", change.Created))
}

// Synced notes that the owner has been read.
func (e *Elector) Synced(time.Time) {
	e.mu.Lock()
	first := !e.known
	e.known = true
	e.mu.Unlock()
	if first {
		e.kick()
	}
}

func (e *Elector) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Owner returns the owner as far as it is known.
func (e *Elector) Owner() (Owner, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner, e.owner.Token != 0
}

func (e *Elector) stamp() suspend.Stamp { return suspend.NewStamp(time.Now(), e.o.Suspended()) }

// ConfirmedWithin reports whether the store confirmed the ownership within d.
func (e *Elector) ConfirmedWithin(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed.Age(time.Now(), e.o.Suspended()) < d
}

// Run stands for election until ctx ends. A term in progress is handed over then.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if token, ok := e.leftBehind(); ok {
			e.endLeftBehind(ctx, token)
			continue
		}
		if !e.vacant() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		e.awaitMembers(ctx)
		wait.For(ctx, e.delay())
		if ctx.Err() == nil && e.vacant() {
			e.stand(ctx)
		}
	}
}

func (e *Elector) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known && e.owner.Token == 0 && !e.o.CutOff()
}

// leftBehind returns the token of an ownership that an earlier process of this instance left
// behind. It has ended: this process listens at its address. Run calls it between terms.
func (e *Elector) leftBehind() (token uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Token, e.owner.Token != 0 && e.owner.same(e.o.Self)
}

// endLeftBehind ends an ownership that nobody exercises, so that nobody waits for its lease.
func (e *Elector) endLeftBehind(ctx context.Context, token uint64) {
	call, cancel := context.WithTimeout(ctx, callBound)
	err := e.Depose(call, token)
	cancel()
	events.Info(e.o.Log, events.PreviousOwnershipEnded, zap.Uint64("token", token), zap.Error(err))
	var conflict *metastore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		wait.For(ctx, retryPause)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner.Token == token {
		e.owner = Owner{}
	}
}

// stand tries to become the owner and serves the term.
func (e *Elector) stand(ctx context.Context) {
	sent := e.stamp()
	lease, token, err := e.win(ctx)
	if err != nil {
		events.Info(e.o.Log, events.OwnershipNotWon, zap.Error(err))
		wait.For(ctx, retryPause)
		return
	}
	e.mu.Lock()
	e.confirmed = sent
	e.owner = Owner{Instance: e.o.Self, Token: token}
	e.mu.Unlock()
	e.serve(ctx, lease, token)
}

var errLost = errors.New("another instance won")

// win writes the owner's key. A lost answer is resolved by reading the key back.
func (e *Elector) win(ctx context.Context) (lease int64, token uint64, err error) {
	call, cancel := context.WithTimeout(ctx, callBound)
	lease, err = e.o.Store.Grant(call, OwnerTTL)
	cancel()
	if err != nil {
		return 0, 0, err
	}
	mine := ownerValue{Instance: e.o.Self, Nonce: rand.Uint64()}
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, 0, err
	}
	call, cancel = context.WithTimeout(ctx, callBound)
	token, err = e.o.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{{Key: ownerKey}},
		Puts: []metastore.Put{{Key: ownerKey, Value: value, Lease: lease}},
	})
	cancel()
	if err == nil {
		return lease, token, nil
	}
	if errors.Is(err, metastore.ErrRefused) || errors.Is(err, metastore.ErrNoLease) {
		return 0, 0, err
	}
	token, readErr := e.readBack(ctx, mine.Nonce)
	if readErr != nil {
		e.endLease(lease)
		return 0, 0, errors.Join(err, readErr)
	}
	return lease, token, nil
}

func (e *Elector) readBack(ctx context.Context, nonce uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	item, err := e.o.Store.Get(call, ownerKey)
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

// serve runs a term and renews its lease meanwhile.
func (e *Elector) serve(ctx context.Context, lease int64, token uint64) {
	events.Info(e.o.Log, events.TermStarted, zap.Uint64("token", token))
	term, stop := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { e.renew(term, stop, lease, token) })
	renewing.Go(func() { e.stopWhenCutOff(term, stop, token) })
	renewing.Go(func() { e.yieldWhenWeak(term, stop, token) })
	e.o.Lead(term, token, metastore.Condition{Key: ownerKey, Revision: token})
	stop()
	renewing.Wait()
	e.resign(lease, token)
}

// renew keeps the lease until the term ends, and ends the term when the store has another
// owner or none.
func (e *Elector) renew(ctx context.Context, stop context.CancelFunc, lease int64, token uint64) {
	failures := 0
	for ctx.Err() == nil {
		if failures == 0 {
			wait.For(ctx, renewInterval)
		} else {
			wait.For(ctx, renewRetryPause)
		}
		if owner, ok := e.Owner(); ctx.Err() == nil && (!ok || owner.Token != token) {
			events.Warn(e.o.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "the store shows another owner or none"))
			stop()
			return
		}
		sent := e.stamp()
		call, cancel := context.WithTimeout(ctx, e.o.Bound(failures+1))
		err := e.o.Store.KeepAlive(call, lease)
		cancel()
		if errors.Is(err, metastore.ErrNoLease) {
			events.Warn(e.o.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "lease ended"))
			e.mu.Lock()
			if e.owner.Token == token {
				e.owner = Owner{}
			}
			e.mu.Unlock()
			stop()
			return
		}
		if err == nil {
			e.mu.Lock()
			e.confirmed = sent
			e.mu.Unlock()
			failures = 0
			continue
		}
		if failures++; failures == 1 && ctx.Err() == nil {
			events.Warn(e.o.Log, events.OwnershipUnconfirmed, zap.Uint64("token", token), zap.Error(err))
		}
	}
}

// stopWhenCutOff ends the term when the store turns only this instance away: a peer can do
// what this instance cannot.
func (e *Elector) stopWhenCutOff(ctx context.Context, stop context.CancelFunc, token uint64) {
	for wait.For(ctx, cutOffInterval) {
		if e.o.CutOff() {
			events.Warn(e.o.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "the store turns only this instance away"))
			stop()
			return
		}
	}
}

// Depose ends the ownership with the token, on behalf of its holder, which has stopped.
func (e *Elector) Depose(ctx context.Context, token uint64) error {
	_, err := e.o.Store.Commit(ctx, metastore.Txn{
		If:     []metastore.Condition{{Key: ownerKey, Revision: token}},
		Remove: []string{ownerKey},
	})
	return err
}

// resign gives the ownership up so that a successor need not wait for the lease to end.
func (e *Elector) resign(lease int64, token uint64) {
	if e.o.CutOff() {
		ctx, cancel := context.WithTimeout(context.Background(), callBound)
		if err := e.o.DeposeElsewhere(ctx, token); err != nil {
			e.o.Log.Warn("no peer could end the ownership; its lease will", zap.Error(err))
		}
		cancel()
	} else {
		e.endLease(lease)
	}
	e.mu.Lock()
	if e.owner.Token == token {
		e.owner = Owner{}
	}
	e.mu.Unlock()
	e.kick()
}

func (e *Elector) endLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	if err := e.o.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, metastore.ErrNoLease) {
		e.o.Log.Warn("lease not ended", zap.Int64("lease", lease), zap.Error(err))
	}
}
