package instance

import (
	"context"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

// peerServer passes the calls of other instances to the parts that handle them.
type peerServer struct {
	i *Instance
}

var _ peer.DRPCPeerServer = peerServer{}

// Heartbeat implements peer.DRPCPeerServer.
func (s peerServer) Heartbeat(ctx context.Context, r *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return s.i.members.HandleHeartbeat(ctx, r)
}

// Confirm implements peer.DRPCPeerServer.
func (s peerServer) Confirm(ctx context.Context, r *peer.ConfirmRequest) (*peer.ConfirmReply, error) {
	return s.i.config.HandleConfirm(ctx, r)
}

// Announce implements peer.DRPCPeerServer.
func (s peerServer) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return s.i.config.HandleAnnounce(ctx, r)
}

// Claim implements peer.DRPCPeerServer.
func (s peerServer) Claim(ctx context.Context, r *peer.ClaimRequest) (*peer.ClaimReply, error) {
	return s.i.claims.HandleClaim(ctx, r)
}

// Release implements peer.DRPCPeerServer.
func (s peerServer) Release(ctx context.Context, r *peer.ReleaseRequest) (*peer.ReleaseReply, error) {
	return s.i.claims.HandleRelease(ctx, r)
}

// LeaseSlots implements peer.DRPCPeerServer.
func (s peerServer) LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	return s.i.owners.LeaseSlots(ctx, r)
}

// SubmitJob implements peer.DRPCPeerServer.
func (s peerServer) SubmitJob(ctx context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	return s.i.owners.SubmitJob(ctx, r)
}

// CancelJob implements peer.DRPCPeerServer.
func (s peerServer) CancelJob(ctx context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	return s.i.owners.CancelJob(ctx, r)
}

// JobStatus implements peer.DRPCPeerServer.
func (s peerServer) JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error) {
	return s.i.owners.JobStatus(ctx, r)
}

// Explain implements peer.DRPCPeerServer.
func (s peerServer) Explain(ctx context.Context, r *peer.ExplainRequest) (*peer.ExplainReply, error) {
	return s.i.owners.Explain(ctx, r)
}

// NotifyTransfer implements peer.DRPCPeerServer.
func (s peerServer) NotifyTransfer(ctx context.Context, r *peer.NotifyTransferRequest) (*peer.NotifyTransferReply, error) {
	return &peer.NotifyTransferReply{}, s.i.owners.JobTransferred(ctx, r.DataCentre, r.Job)
}
