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

// CommitResult states the outcome of a commit.
type CommitResult struct {
	Revision uint64               `json:"revision"`
	CommitID string               `json:"commit_id"`
	Report   manifest.FleetReport `json:"report"`
	Acked    []string             `json:"acked"`   // peers that have the revision
	Missing  []string             `json:"missing"` // listed peers that did not acknowledge it in time
	Lost     bool                 `json:"lost"`    // the store's answer was lost and then resolved
}

// ConflictError states what another operator changed since the expected revision.
type ConflictError struct {
	Expected uint64
	Found    uint64
	Changes  []manifest.Change
	// FromProposal is set when the expected revision is not known here any more; Changes
	// then lists how the revision in force differs from the proposed manifest.
	FromProposal bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Changes))
	for i, change := range e.Changes {
		lines[i] = change.String()
	}
	since := fmt.Sprintf("changed since revision %d", e.Expected)
	if e.FromProposal {
		since = "differs from the proposed manifest"
	}
	return fmt.Sprintf("expected revision %d, but %d is in force; %s: %s", e.Expected, e.Found, since, strings.Join(lines, "; "))
}

// outcome is how a written commit ended.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeCommitted
	outcomeLost // it can never take effect
)

// pendingCommit is a commit whose write was sent.
type pendingCommit struct {
	id        string
	expect    uint64 // store revision that the write expects
	uncertain bool   // its answer was lost
	outcome   outcome
	done      chan struct{} // closed when the outcome is known
}

// errUnresolved reports a commit whose answer was lost and whose outcome is not known.
var errUnresolved = errors.New("the outcome of the commit is not known yet")

// Commit puts m in force if expect is the revision in force. A conflict is a
// ConflictError with kind ManifestConflict. After an error of kind Internal the outcome
// is not known; Status shows the commit id until it is resolved.
func (c *Controller) Commit(ctx context.Context, m structs.Manifest, expect uint64) (CommitResult, error) {
	if err := manifest.Check(m); err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "manifest refused")
	}
	report, err := manifest.CheckFleet(m)
	if err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "guarantees refused")
	}
	select {
	case <-c.commits:
		defer func() { c.commits <- struct{}{} }()
	case <-ctx.Done():
		return CommitResult{}, errkind.Wrap(errkind.Cancelled, ctx.Err(), "another commit is under way at this instance")
	}
	result, err := c.commit(ctx, m, expect)
	result.Report = report
	if errkind.Of(err) == errkind.ManifestConflict && err != nil {
		events.Info(c.o.Log, events.ManifestConflict, zap.Uint64("expected", expect), zap.Error(err))
	}
	return result, err
}

func (c *Controller) commit(ctx context.Context, m structs.Manifest, expect uint64) (CommitResult, error) {
	if err := c.mayCommit(); err != nil {
		return CommitResult{}, err
	}
	base, entry, err := c.base(ctx, m, expect)
	if err != nil {
		return CommitResult{}, err
	}
	next := structs.Revision{Number: base.Number + 1, CommitID: rand.Text(), Manifest: m}
	if base.CommitID != "" {
		next.RecentCommitIDs = append([]string{base.CommitID}, base.RecentCommitIDs[:min(len(base.RecentCommitIDs), maxRecent-1)]...)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return CommitResult{}, errkind.Wrap(errkind.ManifestInvalid, err, "manifest cannot be written as JSON")
	}
	if len(value) > remote.MaxValueBytes {
		return CommitResult{}, errkind.New(errkind.ManifestInvalid, "manifest takes %d bytes as JSON: must be at most %d", len(value), remote.MaxValueBytes)
	}
	peers := c.listedPeers()
	p := c.begin(ctx, next, entry.revision, manifest.Withdrawn(base.Manifest, m), peers)
	sent := time.Now()
	if err := c.mayCommit(); err != nil { // the notices to peers took time
		return CommitResult{}, c.abandon(ctx, p, peers, err)
	}
	end, err := c.write(ctx, p, value)
	result := CommitResult{CommitID: next.CommitID, Lost: p.uncertain}
	switch end {
	case outcomeLost:
		return result, c.abandon(ctx, p, peers, c.whyLost(ctx, m, base.Number, err))
	case outcomeUnknown:
		return result, errkind.Wrap(errkind.Internal, err, "the outcome of commit %s is not known", next.CommitID)
	}
	return c.committed(ctx, next, sent, peers, result), nil
}

// memberFor is how long this instance must have been listed before it accepts commits.
func (c *Controller) memberFor() time.Duration { return c.o.ListLag + memberMargin }

// mayCommit refuses commits at an instance that other instances may not know of.
func (c *Controller) mayCommit() error {
	since, asOf := c.o.Peers.ListedSince()
	now := time.Now()
	switch {
	case since.IsZero():
		return errkind.New(errkind.ShuttingDown, "this instance is not on the platform's list, or is leaving")
	case now.Sub(since) < c.memberFor():
		return errkind.New(errkind.StaleManifest, "this instance accepts commits once it has been listed for %s", c.memberFor())
	case now.Sub(asOf) > maxListAge:
		return errkind.New(errkind.StaleManifest, "the platform's list was last read more than %s ago", maxListAge)
	}
	return nil
}

// base returns the revision in force and its entry in the store, or why m cannot be
// committed on top of it.
func (c *Controller) base(ctx context.Context, m structs.Manifest, expect uint64) (structs.Revision, storeEntry, error) {
	c.mu.Lock()
	known, pending := c.known, c.pending
	behind := c.entry.number != c.current.Number
	c.mu.Unlock()
	if !known {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StaleManifest, "no manifest revision is known yet")
	}
	if pending != nil {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StoreUnavailable, "commit %s is not resolved yet", pending.id)
	}
	if behind {
		if err := c.read(ctx); err != nil {
			return structs.Revision{}, storeEntry{}, errkind.Wrap(errkind.StoreUnavailable, err, "the manifest in force cannot be read")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Number != expect {
		return structs.Revision{}, storeEntry{}, c.conflict(m, expect)
	}
	if c.entry.number != c.current.Number {
		return structs.Revision{}, storeEntry{}, errkind.New(errkind.StoreUnavailable, "the store answers with an older revision")
	}
	return c.current, c.entry, nil
}

// read takes the store's entry. The answer may be stale, so it confirms nothing.
func (c *Controller) read(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := c.o.Store.Get(call, Key)
	if errors.Is(err, remote.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return c.observe(kv, time.Time{})
}

// conflict describes the changes from revision expect to the one in force.
func (c *Controller) conflict(m structs.Manifest, expect uint64) error {
	e := &ConflictError{Expected: expect, Found: c.current.Number}
	at := slices.IndexFunc(c.history, func(r structs.Revision) bool { return r.Number == expect })
	if at < 0 {
		e.FromProposal = true
		e.Changes = manifest.Diff(m, c.current.Manifest)
	} else {
		e.Changes = manifest.Diff(c.history[at].Manifest, c.current.Manifest)
	}
	return errkind.Wrap(errkind.ManifestConflict, e, "commit refused")
}

func (c *Controller) listedPeers() []string {
	var ids []string
	self := c.o.Peers.Self().ID
	for _, in := range c.o.Peers.Listed() {
		if in.ID != self {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// begin records the commit, blocks the data centres that it withdraws, and tells peers.
func (c *Controller) begin(ctx context.Context, next structs.Revision, expect uint64, withdraw, peers []string) *pendingCommit {
	p := &pendingCommit{id: next.CommitID, expect: expect, done: make(chan struct{})}
	c.mu.Lock()
	c.pending = p
	c.mu.Unlock()
	if len(withdraw) == 0 {
		return p
	}
	i := &intent{id: next.CommitID, origin: c.o.Peers.Self().ID, number: next.Number, withdraw: withdraw}
	c.addIntent(i)
	request := i.request()
	c.each(ctx, peers, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
		if _, err := client.Announce(ctx, request); err == nil {
			c.acked(i.id, id)
		}
	})
	return p
}

// write sends the compare-and-swap once. When its answer is lost, it waits until the
// outcome is resolved by reading.
func (c *Controller) write(ctx context.Context, p *pendingCommit, value []byte) (outcome, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := c.o.Store.CompareAndSwap(call, Key, p.expect, value, 0)
	if err == nil {
		return outcomeCommitted, c.observe(remote.KV{Key: Key, Value: value, Revision: written}, time.Time{})
	}
	if remote.NotExecuted(err) {
		return outcomeLost, err
	}
	c.mu.Lock()
	p.uncertain = true
	c.mu.Unlock()
	timer := time.NewTimer(commitWait)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.outcome, err
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcomeUnknown, errors.Join(errUnresolved, err)
}

// resolvePending finds out whether the commit took effect: it reads the entry back, and
// fences the write off when the entry is still the one that the write expects.
func (c *Controller) resolvePending(ctx context.Context, p *pendingCommit) {
	if c.read(ctx) != nil {
		return
	}
	c.mu.Lock()
	unchanged := c.pending == p && c.entry.revision == p.expect
	c.mu.Unlock()
	if unchanged {
		_ = c.fence(ctx) // settles the commit through observe; a failure is tried again
	}
}

// settlePending decides the pending commit by an entry that is newer than the one that
// its write expects.
func (c *Controller) settlePending(revision uint64, r structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	if p == nil || revision <= p.expect {
		return
	}
	p.outcome = outcomeLost
	if r.CommitID == p.id || slices.Contains(r.RecentCommitIDs, p.id) {
		p.outcome = outcomeCommitted
	}
	if p.uncertain {
		events.Info(c.o.Log, events.LostAnswerResolved, zap.String("commit_id", p.id),
			zap.Bool("committed", p.outcome == outcomeCommitted), zap.Uint64("revision", r.Number))
	}
	c.pending = nil
	delete(c.intents, p.id)
	close(p.done)
}

// settleFenced decides the pending commit when a peer has fenced it off. The peer wrote
// after it had received the intent, and the intent is sent after the entry that the commit
// expects was read.
func (c *Controller) settleFenced(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pending; p != nil && p.id == id {
		p.outcome = outcomeLost
		c.pending = nil
		close(p.done)
	}
}

// abandon ends a commit that can never take effect, and tells peers.
func (c *Controller) abandon(ctx context.Context, p *pendingCommit, peers []string, cause error) error {
	c.mu.Lock()
	if c.pending == p {
		c.pending = nil
		close(p.done)
	}
	withdrew := c.intents[p.id] != nil
	c.mu.Unlock()
	c.dropIntent(p.id)
	if withdrew {
		c.announceDrop(context.WithoutCancel(ctx), p.id, peers)
	}
	return cause
}

// whyLost states why a commit had no effect.
func (c *Controller) whyLost(ctx context.Context, m structs.Manifest, base uint64, cause error) error {
	if errors.Is(cause, remote.ErrConflict) {
		if err := c.read(ctx); err != nil {
			cause = errors.Join(cause, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Number != base {
		return c.conflict(m, base)
	}
	return errkind.Wrap(errkind.StoreUnavailable, cause, "nothing was committed; the commit can be repeated")
}

// committed announces the revision to the listed peers.
func (c *Controller) committed(ctx context.Context, next structs.Revision, sent time.Time, peers []string, result CommitResult) CommitResult {
	c.confirmAt(next.Number, sent, SourceStore)
	request := announcement(c.o.Peers.Self().ID, next)
	result.Revision = next.Number
	var mu sync.Mutex
	c.each(context.WithoutCancel(ctx), peers, func(ctx context.Context, id string, client peer.DRPCPeerClient) {
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
	events.Info(c.o.Log, events.ManifestCommitted, zap.Uint64("revision", next.Number), zap.String("commit_id", next.CommitID),
		zap.Strings("acked", result.Acked), zap.Strings("missing", result.Missing))
	return result
}
