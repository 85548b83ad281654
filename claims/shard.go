package claims

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

func (s *shard) init(l *Ledger, index uint32) {
	s.l, s.index, s.key = l, index, "claim/"+strconv.FormatUint(uint64(index), 10)
}

// writeBatch applies a batch to the last known contents of the shard and writes them by
// compare-and-swap, until every operation has a result.
func (s *shard) writeBatch(ctx context.Context, batch []*op) {
	s.confirmedInBatch = false
	for {
		batch = unfinished(batch)
		if len(batch) == 0 {
			return
		}
		if !s.upToDate() && !s.read(ctx, batch) {
			if !s.waitForRetry(ctx, batch) {
				return
			}
			continue
		}
		writes := s.apply(batch)
		if len(writes) == 0 { // all operations have a result, or the shard must be read first
			continue
		}
		if !s.swap(ctx, writes) && !s.waitForRetry(ctx, batch) {
			return
		}
	}
}

// upToDate reports whether the shard was read or written after the last store call without
// an answer. If not, a read precedes the next write: a read has no effect, so an outage is
// detected without making the outcome of a claim uncertain.
func (s *shard) upToDate() bool {
	return s.loaded && s.l.storeFailedAt.Load() < s.answeredAt.UnixNano()
}

func (l *Ledger) recordFailure() {
	l.storeFailedAt.Store(time.Now().UnixNano())
}

func unfinished(batch []*op) []*op {
	rest := batch[:0:0]
	for _, o := range batch {
		if !o.finished {
			rest = append(rest, o)
		}
	}
	return rest
}

// waitForRetry waits for retryDelay if any operation is unfinished. When ctx ends, it fails
// all operations and returns false.
func (s *shard) waitForRetry(ctx context.Context, batch []*op) bool {
	if len(unfinished(batch)) == 0 {
		return true
	}
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	}
	failAll(batch, unavailable)
	return false
}

func failAll(batch []*op, r result) {
	for _, o := range batch {
		o.fail(r)
	}
}

// failWithoutEffect finishes the operations that cannot have an effect in the store.
func failWithoutEffect(batch []*op, r result) {
	for _, o := range batch {
		if !o.uncertain && !o.forwarded {
			o.finish(r)
		}
	}
}

// read reads the shard. If the store does not answer, operations without an effect fail at
// once, and only those that may have had an effect are retried.
func (s *shard) read(ctx context.Context, batch []*op) bool {
	if now := time.Now(); now.UnixNano() < s.l.refuseUntil.Load() {
		failWithoutEffect(batch, unavailable)
	}
	if len(unfinished(batch)) == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := s.l.opts.Store.Get(call, s.key)
	switch {
	case errors.Is(err, remote.ErrNotFound):
		kv = remote.KV{}
	case err != nil:
		s.l.recordFailure()
		s.l.refuseUntil.Store(time.Now().Add(storeDownPause).UnixNano())
		failWithoutEffect(batch, unavailable)
		return false
	}
	s.l.refuseUntil.Store(0)
	records, err := decode(kv.Value)
	if err != nil {
		failWithoutEffect(batch, unavailable)
		return false
	}
	s.confirmedInBatch = true
	s.loaded, s.answeredAt, s.revision, s.records = true, time.Now(), kv.Revision, records
	s.resolveLostAnswers(batch)
	return true
}

// resolveLostAnswers determines, after a read, the outcome of writes whose answers were lost.
// If the shard's revision is newer than the expected one and the effect is missing, the write
// did not and cannot take effect. At the expected revision, the write may still arrive; the
// next compare-and-swap decides. An older revision is a stale read.
func (s *shard) resolveLostAnswers(batch []*op) {
	for _, o := range batch {
		if !o.uncertain || o.finished {
			continue
		}
		held := s.records.claims[o.key()].token == o.Token
		released := !held && s.revision > o.expectedRevision && (!o.forwarded || s.records.released[o.Token] != 0)
		switch {
		case o.kind == claimOp && held, o.kind == releaseOp && released:
			s.countResolved(o)
			o.finish(applied)
		case s.revision > o.expectedRevision:
			s.countResolved(o)
			o.uncertain = false
		}
	}
}

func (s *shard) countResolved(o *op) {
	s.l.lostAnswers.Inc(1)
	events.Info(s.l.log, events.ClaimAnswerLost, zap.Uint32("shard", s.index), zap.Uint64("expected", o.expectedRevision),
		zap.Uint64("revision", s.revision), zap.Bool("claimed", s.records.claims[o.key()].token == o.Token))
}

// apply applies the batch to the records and returns the operations that the next write
// decides. A release is always written, since a read that does not show the claim may be
// stale. A duplicate is reported only if the store has confirmed the contents during this
// batch, since another instance may have released the id.
func (s *shard) apply(batch []*op) (writes []*op) {
	now := time.Now()
	added := map[uint64]bool{} // tokens of claims added by this write
	expires := uint32(now.Add(ClaimTTL).Unix())
	for _, o := range batch {
		if o.finished {
			continue
		}
		r, held := s.records.claims[o.key()]
		held = held && !r.expired(now)
		switch {
		case o.kind == releaseOp:
			if held && r.token == o.Token {
				delete(s.records.claims, o.key())
			}
			if o.forwarded {
				s.records.released[o.Token] = expires
			}
			writes = append(writes, o)
		case s.records.released[o.Token] != 0:
			o.finish(cancelled) // the peer that made the claim has released it
		case held && r.token != o.Token:
			if added[r.token] {
				continue // decided after this write
			}
			if !s.confirmedInBatch {
				s.loaded = false
				return nil
			}
			o.finish(duplicate)
		case s.isFull(now):
			o.fail(shardFull)
		default:
			s.records.claims[o.key()] = record{token: o.Token, expires: expires}
			added[o.Token] = true
			writes = append(writes, o)
		}
	}
	return writes
}

// isFull reports whether the shard is full even after expired records are deleted.
func (s *shard) isFull(now time.Time) bool {
	if s.records.size() < maxEntries {
		return false
	}
	s.records.purge(now)
	return s.records.size() >= maxEntries
}

// swap writes the records by compare-and-swap. It returns true if the write took effect.
func (s *shard) swap(ctx context.Context, writes []*op) bool {
	if s.l.waitForWrite(ctx) != nil {
		s.loaded = false
		failAll(writes, unavailable)
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.l.writes.Inc(1)
	s.lastWrite = time.Now()
	s.records.purge(s.lastWrite)
	revision, err := s.l.opts.Store.CompareAndSwap(call, s.key, s.revision, s.records.encode(), 0)
	if err == nil {
		s.confirmedInBatch = true
		s.revision, s.answeredAt = revision, time.Now()
		for _, o := range writes {
			o.finish(applied)
		}
		return true
	}
	s.loaded = false
	switch {
	case errors.Is(err, remote.ErrConflict):
		s.l.conflicts.Inc(1)
		events.Info(s.l.log, events.ClaimConflict, zap.Uint32("shard", s.index), zap.Uint64("expected", s.revision))
	case remote.NotExecuted(err):
		failWithoutEffect(writes, unavailable)
	default:
		s.l.recordFailure()
		for _, o := range writes {
			o.uncertain, o.expectedRevision = true, s.revision
		}
	}
	return false
}
