package instance

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/scheduler"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// router sends calls to the owner of a data centre, which is this instance's own controller or a peer.
type router struct {
	instance *Instance
}

// ownerAPI is the API of an owner, local or remote.
type ownerAPI interface {
	LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error)
	SubmitJob(ctx context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error)
	CancelJob(ctx context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error)
	JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error)
	Explain(ctx context.Context, r *peer.ExplainRequest) (*peer.ExplainReply, error)
}

// ownerOf returns the owner of a data centre, or an error of kind OwnerUnavailable.
func (r *router) ownerOf(ctx context.Context, dataCentre string) (ownerAPI, error) {
	if _, ok := r.instance.owners.Owns(dataCentre); ok {
		return r.instance.owners, nil
	}
	holder, ok := r.instance.elections.holder(dataCentre)
	if !ok || holder == r.instance.info.ID {
		return nil, errkind.New(errkind.OwnerUnavailable, "data centre %s has no owner", dataCentre)
	}
	client, err := r.instance.members.Client(ctx, holder)
	if err != nil {
		return nil, errkind.Wrap(errkind.OwnerUnavailable, err, "owner %s of data centre %s", holder, dataCentre)
	}
	return client, nil
}

// LeaseSlots implements slots.Leaser.
func (r *router) LeaseSlots(ctx context.Context, q *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	o, err := r.ownerOf(ctx, q.DataCentre)
	if err != nil {
		return nil, err
	}
	return o.LeaseSlots(ctx, q)
}

// SubmitJob implements gateway.Jobs.
func (r *router) SubmitJob(ctx context.Context, q *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	o, err := r.ownerOf(ctx, q.DataCentre)
	if err != nil {
		return nil, err
	}
	return o.SubmitJob(ctx, q)
}

// CancelJob implements gateway.Jobs.
func (r *router) CancelJob(ctx context.Context, q *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	o, err := r.ownerOf(ctx, q.DataCentre)
	if err != nil {
		return nil, err
	}
	return o.CancelJob(ctx, q)
}

// JobStatus implements gateway.Jobs.
func (r *router) JobStatus(ctx context.Context, q *peer.JobStatusRequest) (*peer.JobStatusReply, error) {
	o, err := r.ownerOf(ctx, q.DataCentre)
	if err != nil {
		return nil, err
	}
	return o.JobStatus(ctx, q)
}

// JobTransferred implements owner.Notifier. If the notification is lost, the owner finds the job in its
// periodic listing.
func (r *router) JobTransferred(dataCentre, job string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var err error
	if _, ok := r.instance.owners.Owns(dataCentre); ok {
		err = r.instance.owners.JobTransferred(ctx, dataCentre, job)
	} else if holder, ok := r.instance.elections.holder(dataCentre); ok {
		var client peer.DRPCPeerClient
		if client, err = r.instance.members.Client(ctx, holder); err == nil {
			_, err = client.NotifyTransfer(ctx, &peer.NotifyTransferRequest{DataCentre: dataCentre, Job: job})
		}
	} else {
		err = errors.New("data centre has no known owner")
	}
	if err != nil {
		events.Warn(r.instance.log, events.TransferNotNotified, zap.String("data_centre", dataCentre), zap.String("job", job), zap.Error(err))
	}
}

// Destination implements owner.Destinations. It returns the open data centre, other than from, that
// ranks highest for a new job.
func (r *router) Destination(j *structs.Job, from string) (string, bool) {
	current, _ := r.instance.config.Current()
	for _, route := range gateway.RouteJob(&current, r.instance.members.Summaries(), j, r.instance.info.DataCentre) {
		if route.Open && route.DataCentre != from {
			return route.DataCentre, true
		}
	}
	return "", false
}

// Summaries implements owner.Destinations.
func (r *router) Summaries() []scheduler.Summary {
	current, _ := r.instance.config.Current()
	return gateway.DataCentreSummaries(&current, r.instance.members.Summaries())
}
