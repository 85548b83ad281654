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

// LeaseSlots takes an instance's demand for slots of a service, renews and takes back
// grants, and returns the grants in force after the next decision.
func (c *Controller) LeaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) (*peer.LeaseSlotsReply, error) {
	reply := &peer.LeaseSlotsReply{}
	w, err := c.owner(r.DataCentre)
	if err == nil {
		reply.Token = w.token
		reply.Grants, err = w.leaseSlots(ctx, r)
	}
	reply.ErrorKind, reply.Message = replyError(err)
	return reply, nil
}

func (o *DataCentreOwner) leaseSlots(ctx context.Context, r *peer.LeaseSlotsRequest) ([]*peer.Grant, error) {
	var refused error
	grants := make(chan []*peer.Grant, 1)
	err := o.ask(ctx, func() {
		switch {
		case o.fenced.Load():
			refused = errkind.New(errkind.StaleToken, "data centre %s has a newer owner", o.dc)
			return
		case !o.ready || o.stopping:
			refused = errkind.New(errkind.OwnerUnavailable, "the owner of %s recovers or stands down", o.dc)
			return
		}
		now := time.Now()
		if o.holdsDue(now) {
			o.apply(state.HoldsExpired{Now: now}) // an expired grant cannot be renewed
		}
		if len(r.GiveBack) > 0 {
			o.apply(state.SlotsReleased{Instance: r.Instance, Grants: o.ownGrants(r.GiveBack)})
		}
		o.apply(state.SlotsRequested{
			Instance: r.Instance, Service: r.Service, Wanted: int(r.Wanted), Keep: o.ownGrants(r.Keep), Expires: now.Add(state.GrantTTL),
		})
		o.demandSeen[demandKey{r.Instance, r.Service}] = now
		o.after = append(o.after, func() { grants <- o.grantsOf(r.Instance, r.Service, now) })
	})
	if err != nil || refused != nil {
		return nil, cmpErr(err, refused)
	}
	select {
	case g := <-grants:
		return g, nil
	case <-o.ctx.Done():
		return nil, o.gone()
	}
}

// grantsOf returns the grants of an instance and service. Their lifetime counts from the
// request, so that the holder lets go before the owner does.
func (o *DataCentreOwner) grantsOf(instance, service string, asked time.Time) []*peer.Grant {
	var grants []*peer.Grant
	for _, id := range sortedKeys(o.d.Grants) {
		g := o.d.Grants[id]
		if g.Instance != instance || g.Service != service {
			continue
		}
		grants = append(grants, &peer.Grant{
			Id: o.grantPrefix() + g.ID, Worker: g.Worker, Address: g.Address, Slots: int32(g.Slots),
			TtlMs: g.Expires.Sub(asked).Milliseconds(), Revoked: g.Revoking,
		})
	}
	return grants
}

// demandKey names what one instance asks for.
type demandKey struct{ instance, service string }

// grantPrefix makes grant ids differ from those of earlier owners, which count from 1 too.
func (o *DataCentreOwner) grantPrefix() string {
	return strconv.FormatUint(o.token, 10) + "/"
}

// ownGrants returns the ids of the grants that this owner has made, as the state has them.
func (o *DataCentreOwner) ownGrants(ids []string) []string {
	var own []string
	for _, id := range ids {
		if local, ok := strings.CutPrefix(id, o.grantPrefix()); ok {
			own = append(own, local)
		}
	}
	return own
}

// dropDemands ends the demands of instances that have not repeated them in time.
func (o *DataCentreOwner) dropDemands(now time.Time) {
	for key, seen := range o.demandSeen {
		if now.Sub(seen) >= state.GrantTTL {
			delete(o.demandSeen, key)
			o.apply(state.SlotsRequested{Instance: key.instance, Service: key.service})
		}
	}
}
