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
	// summaryInterval is the shortest time between two summaries of a data centre to the
	// same peer, unless its owner changes or another summary is due. It keeps an owner within the traffic limit.
	summaryInterval = 4 * time.Second
	// outageSummaryInterval takes its place while confirmation calls replace heartbeats:
	// a summary then needs a heartbeat of its own, and at 24 instances one per peer every
	// 4 s raises an owner above 2 KB/s.
	outageSummaryInterval = 20 * time.Second
	// summaryRefresh sends an unchanged summary again, for a peer that lost its memory.
	summaryRefresh = 30 * time.Second
	// maxSummaries bounds the summaries that a heartbeat may carry.
	maxSummaries = 64
)

// sentSummary is the last summary of a data centre that a peer acknowledged.
type sentSummary struct {
	token, version uint64
	owner          string
	at             time.Time
}

// poll reads the platform's list.
func (c *Controller) poll(ctx context.Context) {
	for {
		asOf := time.Now()
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		instances, err := c.o.List.Instances(call)
		cancel()
		if err == nil {
			c.setList(instances, asOf)
		}
		if !wait.For(ctx, c.jitter(pollInterval)) {
			return
		}
	}
}

// setList takes the list as it was asked for at a time.
func (c *Controller) setList(instances []structs.Instance, asOf time.Time) {
	listed := slices.Clone(instances)
	slices.SortFunc(listed, func(a, b structs.Instance) int { return strings.Compare(a.ID, b.ID) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed, c.listAsOf = listed, asOf
	self, seen := false, map[string]bool{}
	for _, in := range listed {
		if in.ID == c.o.Self.ID {
			self = !in.Leaving && !c.leaving
			continue
		}
		seen[in.ID] = true
		p := c.peers[in.ID]
		if p == nil || p.instance.PeerAddr != in.PeerAddr {
			p = &peerState{summaries: map[string]sentSummary{}}
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
		if asOf.Sub(p.unlisted) > keepUnlisted {
			delete(c.peers, id)
		}
	}
}

// beat sends heartbeats to the listed peers.
func (c *Controller) beat(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c.noteLost()
		for _, id := range c.due() {
			wg.Go(func() { c.beatOne(ctx, id) })
		}
		if !wait.For(ctx, c.jitter(heartbeatInterval)) {
			return
		}
	}
}

// due returns the peers that need a heartbeat from here, and marks them as being called.
func (c *Controller) due() []string {
	needs := c.configuration().NeedsPeerConfirmation()
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids, others []string
	for id, p := range c.peers {
		switch {
		case !p.listed || p.beating:
		case time.Since(p.received) > suppressFor || len(c.pendingSummaries(p)) > 0:
			ids = append(ids, id)
		default:
			others = append(others, id)
		}
	}
	for range askedPeers {
		if needs && len(others) > 0 {
			i := int(c.o.Jitter(time.Duration(len(others))))
			ids = append(ids, others[i])
			others = slices.Delete(others, i, i+1)
		}
	}
	for _, id := range ids {
		c.peers[id].beating = true
	}
	return ids
}

func (c *Controller) configuration() Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// beatOne sends one heartbeat.
func (c *Controller) beatOne(ctx context.Context, id string) {
	config := c.configuration()
	revision, age := config.Heartbeat()
	c.mu.Lock()
	p := c.peers[id]
	if p == nil {
		c.mu.Unlock()
		return
	}
	request := &peer.HeartbeatRequest{
		Instance: c.o.Self.ID, Revision: revision, ConfirmedAgeMs: millis(age),
		Summaries: c.pendingSummaries(p), Leaving: c.leaving,
	}
	address := p.instance.PeerAddr
	c.mu.Unlock()
	c.sent.Inc(1)
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.o.Clients.Client(address).Heartbeat(call, request)
	c.mu.Lock()
	p.beating = false
	if err != nil {
		clear(p.summaries) // the peer may have lost its memory
		c.mu.Unlock()
		return
	}
	c.hear(p)
	p.leaving, p.ready = reply.Leaving, reply.Ready
	for _, s := range request.Summaries {
		p.summaries[s.DataCentre] = sentSummary{token: s.Token, version: s.Version, owner: s.Owner, at: sent}
	}
	c.mu.Unlock()
	config.RecordPeerRevision(id, reply.Revision, sent, duration(reply.ConfirmedAgeMs))
}

// HandleHeartbeat serves the Heartbeat call of a peer.
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
		c.hear(p)
		p.received, p.leaving = time.Now(), r.Leaving
	}
	for _, s := range r.Summaries {
		c.learn(s)
	}
	return &peer.HeartbeatReply{Revision: revision, ConfirmedAgeMs: millis(age), Leaving: c.leaving, Ready: ready}, nil
}

// hear notes a sign of life.
func (c *Controller) hear(p *peerState) {
	if p.heard.IsZero() || p.lost {
		events.Info(c.o.Log, events.PeerJoined, zap.String("peer", p.instance.ID))
	}
	p.heard, p.lost = time.Now(), false
}

// noteLost logs peers that have fallen silent.
func (c *Controller) noteLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if !p.lost && !p.heard.IsZero() && !c.isHeard(p) {
			p.lost = true
			events.Warn(c.o.Log, events.PeerLost, zap.String("peer", id), zap.Time("heard", p.heard))
		}
	}
}

// SetSummary publishes the state of a data centre that this instance owns. A summary
// with a lower token than the one published before is ignored; the version is set here.
func (c *Controller) SetSummary(s *peer.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := proto.CloneOf(s)
	next.Owner = c.o.Self.ID
	if old := c.own[s.DataCentre]; old != nil {
		if old.Token > next.Token || (old.Token == next.Token && old.Owner == "") {
			return
		}
		next.Version = old.Version
		if proto.Equal(old, next) {
			return
		}
	}
	next.Version++
	c.own[s.DataCentre] = next
	c.tokens[s.DataCentre] = max(c.tokens[s.DataCentre], s.Token)
}

// retractSummary tells peers that a data centre is not owned here any more, by a summary
// without an owner.
func (c *Controller) retractSummary(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.own[dataCentre]; old != nil && old.Owner != "" {
		c.own[dataCentre] = &peer.Summary{DataCentre: dataCentre, Token: old.Token, Version: old.Version + 1}
	}
}

// learn takes a peer's summary if its owner is newer, or the same with a newer version.
func (c *Controller) learn(s *peer.Summary) {
	c.tokens[s.DataCentre] = max(c.tokens[s.DataCentre], s.Token)
	old := c.learned[s.DataCentre]
	if old == nil || s.Token > old.Token || (s.Token == old.Token && s.Version > old.Version) {
		c.learned[s.DataCentre] = s
	}
}

// Summaries returns the newest summary of each data centre that has an owner, ordered by
// data centre.
func (c *Controller) Summaries() []*peer.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := maps.Clone(c.learned)
	for dc, s := range c.own {
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

// holder returns the owner and token of the newest summary of a data centre. The owner
// is empty when it has stood down.
func (c *Controller) holder(dataCentre string) (owner string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range []*peer.Summary{c.learned[dataCentre], c.own[dataCentre]} {
		if s.GetToken() > token {
			owner, token = s.Owner, s.Token
		}
	}
	return owner, token
}

// pendingSummaries returns the summaries that a peer lacks when at least one is due. The
// others that have changed go with it, because a heartbeat costs more than a summary.
func (c *Controller) pendingSummaries(p *peerState) []*peer.Summary {
	interval := summaryInterval
	if !p.confirmed.IsZero() && time.Since(p.confirmed) <= lostAfter {
		interval = outageSummaryInterval
	}
	var pending []*peer.Summary
	due := false
	for dc, s := range c.own {
		if s.Token < c.tokens[dc] {
			continue // another instance owns the data centre
		}
		sent := p.summaries[dc]
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

// millis rounds an age up to milliseconds, so that it is never understated.
func millis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
