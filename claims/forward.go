package claims

import (
	"context"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

// forward hands operations to the shard's soft owner and returns those that this
// instance must write itself.
func (s *shard) forward(ctx context.Context, batch []*op) (rest []*op) {
	var remote []*op
	client := s.owner(ctx)
	for _, o := range batch {
		if client == nil || o.direct {
			rest = append(rest, o)
		} else {
			remote = append(remote, o)
		}
	}
	if len(remote) == 0 {
		return rest
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.l.forwarded.Inc(int64(len(remote)))
	s.forwardClaims(call, client, ofKind(remote, claimOp))
	s.forwardReleases(call, client, ofKind(remote, releaseOp))
	return append(rest, unfinished(remote)...)
}

// owner returns a client of the shard's soft owner, or nil when this instance owns the
// shard or the owner cannot be reached.
func (s *shard) owner(ctx context.Context) peer.DRPCPeerClient {
	peers := s.l.opts.Peers
	if peers == nil {
		return nil
	}
	name := peers.ShardOwner(s.index)
	if name == "" || name == s.l.opts.Instance {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := peers.Client(call, name)
	if err != nil {
		return nil
	}
	return client
}

// forwardClaims finishes the claims that the owner has decided. After a lost answer the
// owner may still write a claim, so that such a claim never ends as "no effect".
func (s *shard) forwardClaims(ctx context.Context, client peer.DRPCPeerClient, ops []*op) {
	if len(ops) == 0 {
		return
	}
	reply, err := client.Claim(ctx, &peer.ClaimRequest{Shard: s.index, Entries: entriesOf(ops)})
	if err != nil || len(reply.Results) != len(ops) {
		for _, o := range ops {
			o.forwarded = true
		}
		return
	}
	for i, o := range ops {
		switch reply.Results[i] {
		case peer.ClaimResult_CLAIM_GRANTED:
			o.finish(granted)
		case peer.ClaimResult_CLAIM_DUPLICATE:
			o.finish(duplicate)
		case peer.ClaimResult_CLAIM_UNAVAILABLE:
			// The owner may be cut off from the store while this instance is not.
		default:
			o.forwarded = true
		}
	}
}

func (s *shard) forwardReleases(ctx context.Context, client peer.DRPCPeerClient, ops []*op) {
	if len(ops) == 0 {
		return
	}
	if _, err := client.Release(ctx, &peer.ReleaseRequest{Shard: s.index, Entries: entriesOf(ops)}); err != nil {
		return
	}
	for _, o := range ops {
		o.finish(granted)
	}
}

func ofKind(ops []*op, kind opKind) (found []*op) {
	for _, o := range ops {
		if o.kind == kind {
			found = append(found, o)
		}
	}
	return found
}

func entriesOf(ops []*op) []*peer.ClaimEntry {
	entries := make([]*peer.ClaimEntry, len(ops))
	for i, o := range ops {
		entries[i] = &peer.ClaimEntry{IdHashHigh: o.High, IdHashLow: o.Low, ClaimToken: o.Token}
	}
	return entries
}
