package claims

import (
	"context"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

// forward sends operations to the shard's soft owner and returns those that this instance
// must write itself.
func (s *shard) forward(ctx context.Context, batch []*op) (rest []*op) {
	var forwarded []*op
	client := s.ownerClient(ctx)
	for _, o := range batch {
		if client == nil || o.direct {
			rest = append(rest, o)
		} else {
			forwarded = append(forwarded, o)
		}
	}
	if len(forwarded) == 0 {
		return rest
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.l.forwarded.Inc(int64(len(forwarded)))
	s.forwardClaims(call, client, ofKind(forwarded, claimOp))
	s.forwardReleases(call, client, ofKind(forwarded, releaseOp))
	return append(rest, unfinished(forwarded)...)
}

// ownerClient returns a client for the shard's soft owner, or nil if this instance is the
// owner or the owner cannot be reached.
func (s *shard) ownerClient(ctx context.Context) peer.DRPCPeerClient {
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

// forwardClaims finishes the claims that the owner has decided. If the answer is lost, the
// owner may still write the claims, so they must not end with a result of "no effect".
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
			o.finish(applied)
		case peer.ClaimResult_CLAIM_DUPLICATE:
			o.finish(duplicate)
		case peer.ClaimResult_CLAIM_UNAVAILABLE:
			// This instance may still reach the store: it writes the claim itself.
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
		o.finish(applied)
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
