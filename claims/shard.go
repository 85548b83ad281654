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

// write brings a batch into the store: it applies the batch to the shard as last known
// and writes it by compare-and-swap, until every operation has a result.
func (s *shard) write(ctx context.Context, batch []*op) {
	s.confirmed = false
	for {
		batch = unfinished(batch)
		if len(batch) == 0 {
			return
		}
		if !s.current() && !s.read(ctx, batch) {
			if !s.retry(ctx, batch) {
				return
			}
			continue
		}
		writes := s.apply(batch)
		if len(writes) == 0 { // all have a result, or the shard must be read first
			continue
		}
		if !s.swap(ctx, writes) && !s.retry(ctx, batch) {
			return
		}
	}
}

// current reports whether the shard is known since the store last failed to answer. A
// read then comes before the next write: it has no effect, so that an outage is found
// without leaving the outcome of a claim unknown.
func (s *shard) current() bool {
	return s.known && s.l.failedAt.Load() < s.verified.UnixNano()
}

func (l *Ledger) noteFailure() {
	l.failedAt.Store(time.Now().UnixNano())
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

// retry waits before the next call for what is still undecided. When the time is over
// it ends all operations and returns false.
func (s *shard) retry(ctx context.Context, batch []*op) bool {
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

// failCertain ends the operations that certainly have no effect in the store.
func failCertain(batch []*op, r result) {
	for _, o := range batch {
		if !o.maybe && !o.forwarded {
			o.finish(r)
		}
	}
}

// read reads the shard. When the store does not answer, operations without an effect
// end at once, and only those that may have one are tried again.
func (s *shard) read(ctx context.Context, batch []*op) bool {
	if now := time.Now(); now.UnixNano() < s.l.downUntil.Load() {
		failCertain(batch, unavailable)
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
		s.l.noteFailure()
		s.l.downUntil.Store(time.Now().Add(downPause).UnixNano())
		failCertain(batch, unavailable)
		return false
	}
	s.l.downUntil.Store(0)
	records, err := decode(kv.Value)
	if err != nil {
		failCertain(batch, unavailable)
		return false
	}
	s.confirmed = true
	s.known, s.verified, s.revision, s.records = true, time.Now(), kv.Revision, records
	s.settle(batch)
	return true
}

// settle decides, after a read, what became of writes whose answers were lost. A shard
// beyond the expected revision that lacks the effect shows that the write did not and
// cannot take effect. At the expected revision the write may still arrive, and is
// decided by the next compare-and-swap. An older revision is a stale read.
func (s *shard) settle(batch []*op) {
	for _, o := range batch {
		if !o.maybe || o.finished {
			continue
		}
		held := s.records.claims[o.key()].token == o.Token
		released := !held && s.revision > o.expect && (!o.forwarded || s.records.released[o.Token] != 0)
		switch {
		case o.kind == claimOp && held, o.kind == releaseOp && released:
			s.resolved(o)
			o.finish(granted)
		case s.revision > o.expect:
			s.resolved(o)
			o.maybe = false
		}
	}
}

func (s *shard) resolved(o *op) {
	s.l.lost.Inc(1)
	events.Info(s.l.log, events.ClaimAnswerLost, zap.Uint32("shard", s.index), zap.Uint64("expected", o.expect),
		zap.Uint64("revision", s.revision), zap.Bool("claimed", s.records.claims[o.key()].token == o.Token))
}

// apply applies the batch to the records and returns the operations that the next write
// decides. A release is always written, since the read that lacks the claim may be
// stale. A duplicate is found only in a shard that the store has confirmed during this
// batch: another instance may have released the id.
func (s *shard) apply(batch []*op) (writes []*op) {
	now := time.Now()
	added := map[uint64]bool{} // tokens of this write
	expires := uint32(now.Add(Expiry).Unix())
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
			o.finish(withdrawn) // the peer that made the claim has released it
		case held && r.token != o.Token:
			if added[r.token] {
				continue // decided after the write
			}
			if !s.confirmed {
				s.known = false
				return nil
			}
			o.finish(duplicate)
		case s.full(now):
			o.fail(full)
		default:
			s.records.claims[o.key()] = record{token: o.Token, expires: expires}
			added[o.Token] = true
			writes = append(writes, o)
		}
	}
	return writes
}

// full reports whether the shard has no room, also after dropping expired records.
func (s *shard) full(now time.Time) bool {
	if s.records.size() < maxEntries {
		return false
	}
	s.records.purge(now)
	return s.records.size() >= maxEntries
}

// swap writes the records. It returns true when the write took effect.
func (s *shard) swap(ctx context.Context, writes []*op) bool {
	if s.l.allowance(ctx) != nil {
		s.known = false
		failAll(writes, unavailable)
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.l.writes.Inc(1)
	s.wrote = time.Now()
	s.records.purge(s.wrote)
	revision, err := s.l.opts.Store.CompareAndSwap(call, s.key, s.revision, s.records.encode(), 0)
	if err == nil {
		s.confirmed = true
		s.revision, s.verified = revision, time.Now()
		for _, o := range writes {
			o.finish(granted)
		}
		return true
	}
	s.known = false
	switch {
	case errors.Is(err, remote.ErrConflict):
		s.l.conflicts.Inc(1)
		events.Info(s.l.log, events.ClaimConflict, zap.Uint32("shard", s.index), zap.Uint64("expected", s.revision))
	case remote.NotExecuted(err):
		failCertain(writes, unavailable)
	default:
		s.l.noteFailure()
		for _, o := range writes {
			o.maybe, o.expect = true, s.revision
		}
	}
	return false
}
