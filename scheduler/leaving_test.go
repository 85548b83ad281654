package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Guards against slot grants that stay valid on a worker that is leaving.
func TestGrantsOnLeavingWorkerAreRevoked(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := state.New("a")
	apply := func(e state.Event) { require.NoError(t, d.Apply(e)) }
	slot := structs.Resources{Slots: 1, Processors: 1, MemoryMB: 1}
	apply(state.Configured{Revision: 1, Stage: structs.StageOpen, Services: []structs.Service{{Name: "rota", Kind: structs.KindRequest, SlotShape: slot}}, Now: now})
	apply(state.WorkerJoined{Worker: structs.Worker{ID: "w1", DataCentre: "a", Capacity: slot.Mul(8)}})
	apply(state.SlotsRequested{Instance: "i1", Service: "rota", Wanted: 2, Expires: now.Add(state.GrantTTL)})
	s := New(Options{})
	apply(state.PlanAccepted{Plan: s.Decide(d, now), Now: now})
	require.NotEmpty(t, d.Grants)

	apply(state.WorkerHealth{Worker: "w1", Leaving: true})
	revoked := 0
	for _, a := range s.Decide(d, now).Actions {
		require.Equal(t, structs.ActionRevoke, a.Kind)
		revoked++
	}
	require.Equal(t, len(d.Grants), revoked)
}
