package membership

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// summaryInterval is the minimum time between two summaries of a data centre to the same peer,
	// unless its owner changes or another summary is due. It keeps an owner within the traffic limit.
	summaryInterval = 4 * time.Second
	// outageSummaryInterval replaces summaryInterval while confirmation calls replace heartbeats. Each
	// summary then needs an additional heartbeat, and at 24 instances one per peer every 4 s takes the
	// traffic of an owner above 2 KB/s.
	outageSummaryInterval = 20 * time.Second
	// summaryRefresh is the interval at which an unchanged summary is sent again, in case the peer has
	// restarted.
	summaryRefresh = 30 * time.Second
	// maxSummaries is the maximum number of summaries in a heartbeat.
	maxSummaries = 64
)

// sentSummary identifies the last summary of a data centre that a peer acknowledged.
type sentSummary struct {
	token, version uint64
	owner          string
	at             time.Time
}

// poll reads the platform's list periodically.
func (c *Controller) poll(ctx context.Context) {
	for {
		asOf := time.Now()
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		instances, err := c.opts.List.Instances(call)
		cancel()
		if err == nil {
			c.setList(instances, asOf)
		}
		if !wait.For(ctx, c.jitter(pollInterval)) {
			return
		}
	}
}

// setList applies a list that was requested at asOf.
func (c *Controller) setList(instances []structs.Instance, asOf time.Time) {
	listed := slices.Clone(instances)
	slices.SortFunc(listed, func(a, b structs.Instance) int { return strings.Compare(a.ID, b.ID) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed, c.listAsOf = listed, asOf
	self, seen := false, map[string]bool{}
	for _, in := range listed {
		if in.ID == c.opts.Self.ID {
			self = !in.Leaving && !c.leaving
			continue
		}
		seen[in.ID] = true
		p := c.peers[in.ID]
		if p == nil || p.instance.PeerAddr != in.PeerAddr {
			p = &peerState{ackedSummaries: map[string]sentSummary{}}
			c.peers[in.ID] = p
		}
		p.instance, p.listed, p.unlisted = in, true, time.Time{}
	}
	switch {
	case !self:
		c.listedSince = time.Time{}
	case c.listedSince.IsZero():
		c.listedSince = asOf
	}
	for id, p := range c.peers {
		if seen[id] {
			continue
		}
		if p.listed {
			p.listed, p.unlisted = false, asOf
		}
		if asOf.Sub(p.unlisted) > unlistedRetention {
			delete(c.peers, id)
		}
	}
}

// sendHeartbeats sends heartbeats to listed peers periodically.
func (c *Controller) sendHeartbeats(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c.markLostPeers()
		for _, id := range c.selectPeers() {
			wg.Go(func() { c.sendHeartbeat(ctx, id) })
		}
		if !wait.For(ctx, c.jitter(heartbeatInterval)) {
			return
		}
	}
}

// selectPeers returns the peers to send a heartbeat to, and marks their heartbeats as pending.
func (c *Controller) selectPeers() []string {
	needs := c.configuration().NeedsPeerConfirmation()
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids, others []string
	for id, p := range c.peers {
		switch {
		case !p.listed || p.heartbeatPending:
		case time.Since(p.lastReceived) > suppressInterval || len(c.pendingSummaries(p)) > 0:
			ids = append(ids, id)
		default:
			others = append(others, id)
		}
	}
	for range confirmationPeers {
		if needs && len(others) > 0 {
			i := int(c.opts.Jitter(time.Duration(len(others))))
			ids = append(ids, others[i])
			others = slices.Delete(others, i, i+1)
		}
	}
	for _, id := range ids {
		c.peers[id].heartbeatPending = true
	}
	return ids
}

func (c *Controller) configuration() Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// sendHeartbeat sends one heartbeat and records the reply.
func (c *Controller) sendHeartbeat(ctx context.Context, id string) {
	config := c.configuration()
	revision, age := config.Heartbeat()
	c.mu.Lock()
	p := c.peers[id]
	if p == nil {
		c.mu.Unlock()
		return
	}
	request := &peer.HeartbeatRequest{
		Instance: c.opts.Self.ID, Revision: revision, ConfirmedAgeMs: millis(age),
		Summaries: c.pendingSummaries(p), Leaving: c.leaving,
	}
	address := p.instance.PeerAddr
	c.mu.Unlock()
	c.sent.Inc(1)
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.opts.Clients.Client(address).Heartbeat(call, request)
	c.mu.Lock()
	p.heartbeatPending = false
	if err != nil {
		clear(p.ackedSummaries) // the peer may have restarted
		c.mu.Unlock()
		return
	}
	c.recordContact(p)
	p.leaving, p.ready = reply.Leaving, reply.Ready
	for _, s := range request.Summaries {
		p.ackedSummaries[s.DataCentre] = sentSummary{token: s.Token, version: s.Version, owner: s.Owner, at: sent}
	}
	c.mu.Unlock()
	config.RecordPeerRevision(id, reply.Revision, sent, duration(reply.ConfirmedAgeMs))
}

// HandleHeartbeat handles a peer's Heartbeat call.
func (c *Controller) HandleHeartbeat(_ context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	if len(r.Summaries) > maxSummaries {
		return nil, errkind.New(errkind.BadRequest, "%d summaries: must be at most %d", len(r.Summaries), maxSummaries)
	}
	config := c.configuration()
	config.RecordPeerRevision(r.Instance, r.Revision, time.Time{}, -1)
	revision, age := config.Heartbeat()
	ready := config.Ready()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[r.Instance]; p != nil {
		c.recordContact(p)
		p.lastReceived, p.leaving = time.Now(), r.Leaving
	}
	for _, s := range r.Summaries {
		c.mergeSummary(s)
	}
	return &peer.HeartbeatReply{Revision: revision, ConfirmedAgeMs: millis(age), Leaving: c.leaving, Ready: ready}, nil
}

// recordContact records a contact with a peer. The caller holds the lock.
func (c *Controller) recordContact(p *peerState) {
	if p.lastContact.IsZero() || p.lost {
		events.Info(c.opts.Log, events.PeerJoined, zap.String("peer", p.instance.ID))
	}
	p.lastContact, p.lost = time.Now(), false
}

// markLostPeers marks and logs peers that had no contact within lostAfter.
func (c *Controller) markLostPeers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if !p.lost && !p.lastContact.IsZero() && !c.hasRecentContact(p) {
			p.lost = true
			events.Warn(c.opts.Log, events.PeerLost, zap.String("peer", id), zap.Time("heard", p.lastContact))
		}
	}
}

// SetSummary publishes the state of a data centre that this instance owns. It sets the version and
// ignores a summary with a lower token than the last one, or with the token of a retracted one.
func (c *Controller) SetSummary(s *peer.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := proto.CloneOf(s)
	next.Owner = c.opts.Self.ID
	if old := c.ownSummaries[s.DataCentre]; old != nil {
		if old.Token > next.Token || (old.Token == next.Token && old.Owner == "") {
			return
		}
		next.Version = old.Version
		if proto.Equal(old, next) {
			return
		}
	}
	next.Version++
	c.ownSummaries[s.DataCentre] = next
	c.tokens[s.DataCentre] = max(c.tokens[s.DataCentre], s.Token)
}

// retractSummary publishes a summary without an owner, which shows peers that this instance no longer
// owns the data centre.
func (c *Controller) retractSummary(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.ownSummaries[dataCentre]; old != nil && old.Owner != "" {
		c.ownSummaries[dataCentre] = &peer.Summary{DataCentre: dataCentre, Token: old.Token, Version: old.Version + 1}
	}
}

// mergeSummary stores a peer's summary if its token is higher, or is equal and the version is higher.
// The caller holds the lock.
func (c *Controller) mergeSummary(s *peer.Summary) {
	c.tokens[s.DataCentre] = max(c.tokens[s.DataCentre], s.Token)
	old := c.peerSummaries[s.DataCentre]
	if old == nil || s.Token > old.Token || (s.Token == old.Token && s.Version > old.Version) {
		c.peerSummaries[s.DataCentre] = s
	}
}

// Summaries returns the newest summary of each data centre that has an owner, ordered by
// data centre.
func (c *Controller) Summaries() []*peer.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := maps.Clone(c.peerSummaries)
	for dc, s := range c.ownSummaries {
		if other := newest[dc]; other == nil || other.Token <= s.Token {
			newest[dc] = s
		}
	}
	var list []*peer.Summary
	for _, s := range newest {
		if s.Owner != "" {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *peer.Summary) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// holder returns the owner and token of the newest summary of a data centre. The owner is empty if it
// has stood down.
func (c *Controller) holder(dataCentre string) (owner string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range []*peer.Summary{c.peerSummaries[dataCentre], c.ownSummaries[dataCentre]} {
		if s.GetToken() > token {
			owner, token = s.Owner, s.Token
		}
	}
	return owner, token
}

// pendingSummaries returns the summaries to send to a peer, or none if none is due. Changed summaries
// that are not due yet are included, because a heartbeat costs more than a summary. The caller holds
// the lock.
func (c *Controller) pendingSummaries(p *peerState) []*peer.Summary {
	interval := summaryInterval
	if !p.lastConfirmation.IsZero() && time.Since(p.lastConfirmation) <= lostAfter {
		interval = outageSummaryInterval
	}
	var pending []*peer.Summary
	due := false
	for dc, s := range c.ownSummaries {
		if s.Token < c.tokens[dc] {
			continue // another instance owns the data centre
		}
		sent := p.ackedSummaries[dc]
		age := time.Since(sent.at)
		changed := sent.token != s.Token || sent.owner != s.Owner || sent.version != s.Version
		switch {
		case sent.token != s.Token, sent.owner != s.Owner, changed && age >= interval, age >= summaryRefresh:
			due = true
		case !changed:
			continue
		}
		pending = append(pending, s)
	}
	if !due {
		return nil
	}
	return pending
}

// millis rounds an age up to milliseconds, so that it is never understated. A negative age gives -1.
func millis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
