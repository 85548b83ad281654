package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/metastore"
)

const (
	// revocationsPerRemoval is how many revocations one transaction removes: each takes a condition and a removal, and the
	// condition on the ownership takes one entry.
	revocationsPerRemoval = (metastore.MaxTxnEntries - 2) / 2
	// removalInterval is the minimum time between two searches for revocations whose retention is over.
	removalInterval = time.Second
)

// revocation is stored in place of the submission of a job that was cancelled before it was submitted.
type revocation struct {
	revision uint64
	since    time.Time // when this owner has read it
}

// noteRevocation records a revocation, so that it is removed after the retention time of ended jobs. The caller holds the lock.
func (t *Term) noteRevocation(id string, revision uint64, now time.Time) {
	if known, ok := t.revoked[id]; ok && known.revision == revision {
		return
	}
	t.revoked[id] = revocation{revision, now}
	t.opts.Log.Debug("job was cancelled before it was submitted", zap.String("job", id), zap.Uint64("revision", revision))
}

// evictRevocations starts the removal of the revocations whose retention is over, of as many as one transaction takes. The
// caller holds the lock.
func (t *Term) evictRevocations(now time.Time) {
	if now.Sub(t.revokedCheckedAt) < removalInterval || t.removingRevoked {
		return
	}
	t.revokedCheckedAt = now
	due := map[string]uint64{}
	for id, r := range t.revoked {
		if now.Sub(r.since) > t.opts.EndedRetention {
			due[id] = r.revision
		}
		if len(due) == revocationsPerRemoval {
			t.revokedCheckedAt = time.Time{} // more may be due
			break
		}
	}
	if len(due) == 0 {
		return
	}
	t.removingRevoked = true
	t.tasks.Add(1)
	go t.removeRevocations(due)
}

// removeRevocations removes the revocations with the given revisions from the store.
func (t *Term) removeRevocations(due map[string]uint64) {
	defer t.tasks.Done()
	txn := metastore.Txn{If: []metastore.Condition{t.opts.Fence}}
	for id, revision := range due {
		txn.If = append(txn.If, metastore.Condition{Key: JobKey(id), Revision: revision})
		txn.Remove = append(txn.Remove, JobKey(id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.opts.StoreTimeout)
	defer cancel()
	_, err := t.opts.Store.Commit(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removingRevoked = false
	if err != nil {
		t.opts.Log.Warn("revocations not removed from the store", zap.Int("revocations", len(due)), zap.Error(err))
		now := time.Now()
		for id, revision := range due { // tried again after a while; a removed one is reported by the watch
			if r, ok := t.revoked[id]; ok && r.revision == revision {
				r.since = now.Add(revocationRetryDelay - t.opts.EndedRetention)
				t.revoked[id] = r
			}
		}
		return
	}
	for id := range due {
		delete(t.revoked, id)
	}
}

// revocationRetryDelay is the pause after a removal that failed.
const revocationRetryDelay = 10 * time.Second
