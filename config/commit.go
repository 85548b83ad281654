package config

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// CommitResult is the result of Commit.
type CommitResult struct {
	Revision uint64               `json:"revision"`
	CommitID string               `json:"commit_id"`
	Report   manifest.FleetReport `json:"report"`
	Acked    []string             `json:"acked"`   // peers that acknowledged the revision
	Missing  []string             `json:"missing"` // listed peers that did not acknowledge it in time
	Lost     bool                 `json:"lost"`    // the store's answer to the write was lost
}

// ConflictError reports that the revision in force is not the expected one, and what changed.
type ConflictError struct {
	Expected uint64
	Found    uint64
	Changes  []manifest.Change
	// ComparedToProposal is set when the expected revision is no longer in this instance's history.
	// Changes then lists how the revision in force differs from the proposed manifest.
	ComparedToProposal bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Changes))
	for i, change := range e.Changes {
		lines[i] = change.String()
	}
	since := fmt.Sprintf("changed since revision %d", e.Expected)
	if e.ComparedToProposal {
		since = "differs from the proposed manifest"
	}
	return fmt.Sprintf("expected revision %d, but %d is in force; %s: %s", e.Expected, e.Found, since, strings.Join(lines, "; "))
}

// outcome is the result of a commit's write.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeCommitted
	outcomeFailed // the write had no effect and cannot take effect later
)

// pendingCommit is a commit of this instance whose outcome is not decided yet.
type pendingCommit struct {
	id        string
	expect    uint64 // store revision that the write expects
	uncertain bool   // the answer to the write was lost
	outcome   outcome
	done      chan struct{} // closed when the outcome is decided
}

// errUnresolved reports that the answer to a commit's write was lost and that the outcome was
// not decided within resolveTimeout.
var errUnresolved = errors.New("the outcome of the commit is not known yet")

// Commit puts m in force if expect is the number of the revision in force; otherwise it returns
// a ConflictError with kind ManifestConflict. After an error of kind Internal the commit may or
// may not take effect; Status.Unresolved holds its id until the outcome is decided.
func (c *Controller) Commit(ctx context.Context, m structs.Manifest, expect uint64) (CommitResult, error) {
	if err := manifest.Check(m); err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "manifest refused")
	}
	report, err := manifest.CheckFleet(m)
	if err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "guarantees refused")
	}
	select {
	case <-c.commitLock:
		defer func() { c.commitLock <- struct{}{} }()
	case <-ctx.Done():
		return CommitResult{}, errkind.Wrap(errkind.Cancelled, ctx.Err(), "another commit is under way at this instance")
	}
	result, err := c.commit(ctx, m, expect)
	result.Report = report
	if errkind.Of(err) == errkind.ManifestConflict && err != nil {
		events.Info(c.opts.Log, events.ManifestConflict, zap.Uint64("expected", expect), zap.Error(err))
	}
	return result, err
}

func (c *Controller) commit(ctx context.Context, m structs.Manifest, expect uint64) (CommitResult, error) {
	if err := c.checkCommitAllowed(); err != nil {
		return CommitResult{}, err
	}
	base, entry, err := c.baseRevision(ctx, m, expect)
	if err != nil {
		return CommitResult{}, err
	}
	next := structs.Revision{Number: base.Number + 1, CommitID: rand.Text(), Manifest: m}
	if base.CommitID != "" {
		next.RecentCommitIDs = append([]string{base.CommitID}, base.RecentCommitIDs[:min(len(base.RecentCommitIDs), maxRecentCommits-1)]...)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "manifest cannot be written as JSON")
	}
	if len(value) > remote.MaxValueBytes {
		return CommitResult{}, errkind.New(errkind.ManifestInvalid, "manifest takes %d bytes as JSON: must be at most %d", len(value), remote.MaxValueBytes)
	}
	peers := c.listedPeers()
	p := c.beginCommit(ctx, next, entry.revision, manifest.Withdrawn(base.Manifest, m), peers)
	sent := time.Now()
	if err := c.checkCommitAllowed(); err != nil { // the list may have aged while peers were called
		return CommitResult{}, c.abortCommit(ctx, p, peers, err)
	}
	end, err := c.writeCommit(ctx, p, value)
	result := CommitResult{CommitID: next.CommitID, Lost: p.uncertain}
	switch end {
	case outcomeFailed:
		return result, c.abortCommit(ctx, p, peers, c.failureCause(ctx, m, base.Number, err))
	case outcomeUnknown:
		return result, errkind.Wrap(errkind.Internal, err, "the outcome of commit %s is not known", next.CommitID)
	}
	return c.announceCommitted(ctx, next, sent, peers, result), nil
}

// minListedTime is MinListedTime at the configured lag of the list.
func (c *Controller) minListedTime() time.Duration { return c.opts.ListLag + listedMargin }

// checkCommitAllowed returns an error if the lists of other instances may not contain this one.
// Their confirmations would then not ask this instance, and could miss its commit.
func (c *Controller) checkCommitAllowed() error {
	since, asOf := c.opts.Peers.ListedSince()
	now := time.Now()
	switch {
	case since.IsZero():
		return errkind.New(errkind.ShuttingDown, "this instance is not on the platform's list, or is leaving")
	case now.Sub(since) < c.minListedTime():
		return errkind.New(errkind.StaleManifest, "this instance accepts commits once it has been listed for %s", c.minListedTime())
	case now.Sub(asOf) > maxListAge:
		return errkind.New(errkind.StaleManifest, "the platform's list was last read more than %s ago", maxListAge)
	}
	return nil
}

// baseRevision returns the revision in force and its entry in the store, or an error if m cannot
// be committed on top of it.
func (c *Controller) baseRevision(ctx context.Context, m structs.Manifest, expect uint64) (structs.Revision, storeEntry, error) {
	c.mu.Lock()
	hasRevision, pending := c.hasRevision, c.pending
	entryOutdated := c.entry.number != c.current.Number
	c.mu.Unlock()
	if !hasRevision {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	}
	if pending != nil {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StoreUnavailable, "commit %s is not resolved yet", pending.id)
	}
	if entryOutdated {
		if err := c.readStore(ctx); err != nil {
			return structs.Revision{}, storeEntry{}, errkind.Wrap(errkind.StoreUnavailable, err, "the manifest in force cannot be read")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Number != expect {
		return structs.Revision{}, storeEntry{}, c.conflictError(m, expect)
	}
	if c.entry.number != c.current.Number {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StoreUnavailable, "the store answers with an older revision")
	}
	return c.current, c.entry, nil
}

// readStore reads the manifest entry from the store. The answer may be stale, so it does not
// confirm that the manifest is current.
func (c *Controller) readStore(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := c.opts.Store.Get(call, Key)
	if errors.Is(err, remote.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return c.observeEntry(kv, time.Time{})
}

// conflictError returns a ConflictError with the changes since revision expect.
func (c *Controller) conflictError(m structs.Manifest, expect uint64) error {
	e := &ConflictError{Expected: expect, Found: c.current.Number}
	at := slices.IndexFunc(c.history, func(r structs.Revision) bool { return r.Number == expect })
	if at < 0 {
		e.ComparedToProposal = true
		e.Changes = manifest.Diff(m, c.current.Manifest)
	} else {
		e.Changes = manifest.Diff(c.history[at].Manifest, c.current.Manifest)
	}
	return errkind.Wrap(errkind.ManifestConflict, e, "commit refused")
}

func (c *Controller) listedPeers() []string {
	var ids []string
	self := c.opts.Peers.Self().ID
	for _, in := range c.opts.Peers.Listed() {
		if in.ID != self {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// beginCommit records the pending commit. If the commit withdraws data centres, it blocks starts
// in them here and announces the intent to peers.
func (c *Controller) beginCommit(ctx context.Context, next structs.Revision, expect uint64, withdraw, peers []string) *pendingCommit {
	p := &pendingCommit{id: next.CommitID, expect: expect, done: make(chan struct{})}
	c.mu.Lock()
	c.pending = p
	c.mu.Unlock()
	if len(withdraw) == 0 {
		return p
	}
	i := &intent{id: next.CommitID, origin: c.opts.Peers.Self().ID, number: next.Number, withdraw: withdraw}
	c.addIntent(i)
	request := i.announcement()
	c.callPeers(ctx, peers, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		if _, err := client.Announce(ctx, request); err == nil {
			c.recordAck(i.id, id)
		}
	})
	return p
}

// writeCommit sends the compare-and-swap once. If the answer is lost, it waits up to
// resolveTimeout for resolveCommits to decide the outcome.
func (c *Controller) writeCommit(ctx context.Context, p *pendingCommit, value []byte) (outcome, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	written, err := c.opts.Store.CompareAndSwap(call, Key, p.expect, value, 0)
	if err == nil {
		return outcomeCommitted, c.observeEntry(remote.KV{Key: Key, Value: value, Revision: written}, time.Time{})
	}
	if remote.NotExecuted(err) {
		return outcomeFailed, err
	}
	c.mu.Lock()
	p.uncertain = true
	c.mu.Unlock()
	timer := time.NewTimer(resolveTimeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.outcome, err
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcomeUnknown, errors.Join(errUnresolved, err)
}

// resolvePending decides whether the commit took effect. It reads the entry, and fences off the
// write if the entry is still the one that the write expects.
func (c *Controller) resolvePending(ctx context.Context, p *pendingCommit) {
	if c.readStore(ctx) != nil {
		return
	}
	c.mu.Lock()
	unchanged := c.pending == p && c.entry.revision == p.expect
	c.mu.Unlock()
	if unchanged {
		_ = c.fence(ctx) // success decides the commit through observeEntry; a failure is retried
	}
}

// decidePending sets the outcome of the pending commit from an entry that is newer than the one
// its write expects.
func (c *Controller) decidePending(revision uint64, r structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	if p == nil || revision <= p.expect {
		return
	}
	p.outcome = outcomeFailed
	if r.CommitID == p.id || slices.Contains(r.RecentCommitIDs, p.id) {
		p.outcome = outcomeCommitted
	}
	if p.uncertain {
		events.Info(c.opts.Log, events.LostAnswerResolved, zap.String("commit_id", p.id),
			zap.Bool("committed", p.outcome == outcomeCommitted), zap.Uint64("revision", r.Number))
	}
	c.pending = nil
	delete(c.intents, p.id)
	close(p.done)
}

// failFencedPending marks the pending commit as failed when a peer has fenced it off. This is
// safe because the peer's write followed the receipt of the intent, and the intent is sent only
// after the entry that the commit expects was read.
func (c *Controller) failFencedPending(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pending; p != nil && p.id == id {
		p.outcome = outcomeFailed
		c.pending = nil
		close(p.done)
	}
}

// abortCommit removes a pending commit that cannot take effect, and announces this to peers if
// the commit had an intent.
func (c *Controller) abortCommit(ctx context.Context, p *pendingCommit, peers []string, cause error) error {
	c.mu.Lock()
	if c.pending == p {
		c.pending = nil
		close(p.done)
	}
	hadIntent := c.intents[p.id] != nil
	c.mu.Unlock()
	c.dropIntent(p.id)
	if hadIntent {
		c.announceDropped(context.WithoutCancel(ctx), p.id, peers)
	}
	return cause
}

// failureCause returns the error for a commit that had no effect.
func (c *Controller) failureCause(ctx context.Context, m structs.Manifest, base uint64, cause error) error {
	if errors.Is(cause, remote.ErrConflict) {
		if err := c.readStore(ctx); err != nil {
			cause = errors.Join(cause, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Number != base {
		return c.conflictError(m, base)
	}
	return errkind.Wrap(errkind.StoreUnavailable, cause, "nothing was committed; the commit can be repeated")
}

// announceCommitted announces the revision to the listed peers and completes the result with the
// peers that acknowledged it.
func (c *Controller) announceCommitted(ctx context.Context, next structs.Revision, sent time.Time, peers []string, result CommitResult) CommitResult {
	c.recordConfirmed(next.Number, sent, SourceStore)
	request := revisionAnnouncement(c.opts.Peers.Self().ID, next)
	result.Revision = next.Number
	var mu sync.Mutex
	c.callPeers(context.WithoutCancel(ctx), peers, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		reply, err := client.Announce(ctx, request)
		if err != nil || reply.Revision < next.Number {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		result.Acked = append(result.Acked, id)
	})
	slices.Sort(result.Acked)
	for _, id := range peers {
		if !slices.Contains(result.Acked, id) {
			result.Missing = append(result.Missing, id)
		}
	}
	events.Info(c.opts.Log, events.ManifestCommitted, zap.Uint64("revision", next.Number), zap.String("commit_id", next.CommitID),
		zap.Strings("acked", result.Acked), zap.Strings("missing", result.Missing))
	return result
}
