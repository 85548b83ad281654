package scheduler

import (
	"slices"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// revokeUnusable revokes slot grants on workers that are leaving or unhealthy, so that entry instances
// send no new requests to them.
func (c *cycle) revokeUnusable() {
	for _, g := range c.grants {
		w := c.d.Workers[g.Worker]
		if g.Revoking || w == nil || w.Usable() {
			continue
		}
		if h := c.holder(g.Service, g.Instance); h != nil {
			h.held -= g.Slots
			h.grants = slices.DeleteFunc(h.grants, func(held *state.Grant) bool { return held == g })
		}
		c.addAction(structs.Action{
			Kind: structs.ActionRevoke, GrantID: g.ID, Instance: g.Instance, Worker: g.Worker, Service: g.Service, Slots: g.Slots,
			Reason: "worker is leaving or unhealthy",
		})
	}
}
