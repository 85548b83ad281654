package owner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/state"
)

// LeaseSlots records an instance's demand for slots of a service, renews and releases grants, and
// returns the grants in force after the next decision.
func (c *Controller) LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	reply := &peer.LeaseSlotsReply{}
	owner, err := c.owner(r.DataCentre)
	if err == nil {
		reply.Token = owner.token
		reply.Grants, err = owner.leaseSlots(ctx, r)
	}
	reply.ErrorKind, reply.Message = replyError(err)
	return reply, nil
}

func (o *DataCentreOwner) leaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) ([]*peer.Grant, error) {
	var refused error
	grants := make(chan []*peer.Grant, 1)
	err := o.call(ctx, func() {
		switch {
		case o.fenced.Load():
			refused = errkind.New(errkind.StaleToken, "data centre %s has a newer owner", o.dc)
			return
		case !o.ready || o.stopping:
			refused = errkind.New(errkind.OwnerUnavailable, "the owner of %s recovers or stands down", o.dc)
			return
		}
		now := time.Now()
		if o.holdOrGrantExpired(now) {
			o.apply(state.HoldsExpired{Now: now}) // an expired grant cannot be renewed
		}
		if len(r.GiveBack) > 0 {
			o.apply(state.SlotsReleased{Instance: r.Instance, Grants: o.localGrantIDs(r.GiveBack)})
		}
		o.apply(state.SlotsRequested{
			Instance: r.Instance, Service: r.Service, Wanted: int(r.Wanted), Keep: o.localGrantIDs(r.Keep), Expires: now.Add(state.GrantTTL),
		})
		o.lastDemand[demandKey{r.Instance, r.Service}] = now
		o.afterDecision = append(o.afterDecision, func() { grants <- o.grantsOf(r.Instance, r.Service, now) })
	})
	if err != nil || refused != nil {
		return nil, firstError(err, refused)
	}
	select {
	case g := <-grants:
		return g, nil
	case <-o.ctx.Done():
		return nil, o.notOwnerError()
	}
}

// grantsOf returns the grants of an instance and service. Their TTL is counted from the time of the
// request, so that a grant expires at its holder before it expires here.
func (o *DataCentreOwner) grantsOf(instance, service string, requestedAt time.Time) []*peer.Grant {
	var grants []*peer.Grant
	for _, id := range sortedKeys(o.state.Grants) {
		g := o.state.Grants[id]
		if g.Instance != instance || g.Service != service {
			continue
		}
		grants = append(grants, &peer.Grant{
			Id: o.grantPrefix() + g.ID, Worker: g.Worker, Address: g.Address, Slots: int32(g.Slots),
			TtlMs: g.Expires.Sub(requestedAt).Milliseconds(), Revoked: g.Revoking,
		})
	}
	return grants
}

// demandKey identifies the demand of one instance for one service.
type demandKey struct{ instance, service string }

// grantPrefix makes grant ids differ from those of earlier owners, which also count from 1.
func (o *DataCentreOwner) grantPrefix() string {
	return strconv.FormatUint(o.token, 10) + "/"
}

// localGrantIDs returns the ids, as used in the state, of those grants that this owner has made.
func (o *DataCentreOwner) localGrantIDs(ids []string) []string {
	var own []string
	for _, id := range ids {
		if local, ok := strings.CutPrefix(id, o.grantPrefix()); ok {
			own = append(own, local)
		}
	}
	return own
}

// expireDemands removes demands that were not repeated within the TTL of a grant.
func (o *DataCentreOwner) expireDemands(now time.Time) {
	for key, requested := range o.lastDemand {
		if now.Sub(requested) >= state.GrantTTL {
			delete(o.lastDemand, key)
			o.apply(state.SlotsRequested{Instance: key.instance, Service: key.service})
		}
	}
}
