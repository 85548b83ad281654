package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// Peers returns the other instances.
func (e *Elector) Peers() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []Instance
	for _, i := range e.instances {
		if i.Name != e.opts.Self.Name {
			peers = append(peers, i)
		}
	}
	return peers
}

// awaitInstances waits until the instances have been read, for at most instancesTimeout. Without
// them, a weak instance that has just started cannot yield to strong ones.
func (e *Elector) awaitInstances(ctx context.Context) {
	timer := time.NewTimer(instancesTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-e.instancesRead:
	case <-timer.C:
	}
}

// InstancesSynced records that the instances have been read.
func (e *Elector) InstancesSynced(time.Time) {
	e.instancesReadOnce.Do(func() { close(e.instancesRead) })
}

// candidacyDelay returns how long this instance waits before it campaigns.
func (e *Elector) candidacyDelay() time.Duration {
	share := max(e.opts.Self.CPUShare, 0.05)
	e.mu.Lock()
	spread := max(minJitter, jitterPerPeer*time.Duration(len(e.instances)))
	weak, alone := e.isWeak(), len(e.instances) == 0
	failed := !e.termFailedAt.IsZero() && time.Since(e.termFailedAt) < failedTermInterval
	e.mu.Unlock()
	wait := time.Duration(float64(baseDelay)/share) + rand.N(spread)
	if alone {
		wait = time.Duration(float64(firstBaseDelay)/share) + rand.N(spread)
	}
	if weak {
		wait += weakDelay
	}
	if failed {
		wait += weakDelay
	}
	return wait
}

// isWeak reports whether an instance with a much larger CPU share is listed, other than the former
// owner until its entry is written again. The caller holds the lock.
func (e *Elector) isWeak() bool {
	strongest := 0.0
	for _, i := range e.instances {
		if i.Name != e.formerOwner {
			strongest = max(strongest, i.CPUShare)
		}
	}
	return e.opts.Self.CPUShare < strongShare*strongest
}

// yieldWhenWeak ends the term of a weak instance when a strong one is listed.
func (e *Elector) yieldWhenWeak(ctx context.Context, stop context.CancelFunc, token uint64) {
	for wait.For(ctx, yieldAfter) {
		e.mu.Lock()
		yields := e.isWeak() && (e.yieldedAt.IsZero() || time.Since(e.yieldedAt) >= yieldInterval)
		if yields {
			e.yieldedAt = time.Now()
		}
		e.mu.Unlock()
		if yields {
			events.Info(e.opts.Log, events.TermEnded, zap.Uint64("token", token), zap.String("reason", "an instance with a much larger CPU share is listed"))
			stop()
			return
		}
	}
}

// Announce keeps this instance's entry in the store until ctx ends.
func (e *Elector) Announce(ctx context.Context) {
	var lease int64
	value, err := json.Marshal(e.opts.Self)
	if err != nil {
		e.opts.Log.Error("cannot encode own instance entry", zap.Error(err))
		return
	}
	wait.For(ctx, rand.N(announceJitter))
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		if lease == 0 {
			lease, err = e.register(call, value)
		} else if err = e.opts.Store.KeepAlive(call, lease); errors.Is(err, metastore.ErrLeaseEnded) {
			lease = 0
		}
		cancel()
		delay := instanceRenewInterval
		if err != nil {
			delay = instanceRenewInterval/3 + rand.N(instanceRenewInterval/3)
		}
		wait.For(ctx, delay)
	}
	if lease != 0 {
		e.revokeLease(lease)
	}
}

func (e *Elector) register(ctx context.Context, value []byte) (int64, error) {
	lease, err := e.opts.Store.Grant(ctx, instanceTTL)
	if err != nil {
		return 0, err
	}
	_, err = e.opts.Store.Commit(ctx, metastore.Txn{Puts: []metastore.Put{{Key: InstancesPrefix + e.opts.Self.Name, Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}
