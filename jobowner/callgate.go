package jobowner

import (
	"context"
	"sync"
	"time"
)

const (
	// maxFirstReports limits the first reports in progress of workers without recorded runs, so that workers with
	// runs report first in a large fleet. firstReportSlotTime is how long one without an answer counts.
	maxFirstReports     = 48
	firstReportSlotTime = 100 * time.Millisecond
)

// callGate limits the calls in progress. A call without an answer gives its slot away after a while.
type callGate struct {
	slots    chan struct{}
	slotTime func() time.Duration
}

func newCallGate(slots int, slotTime func() time.Duration) *callGate {
	return &callGate{slots: make(chan struct{}, slots), slotTime: slotTime}
}

// enter waits until a call may be made, and reports whether ctx still runs. The caller calls leave when the call
// has its answer.
func (g *callGate) enter(ctx context.Context) (leave func(), ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case g.slots <- struct{}{}:
	}
	free := sync.OnceFunc(func() { <-g.slots })
	timer := time.AfterFunc(g.slotTime(), free)
	return func() {
		timer.Stop()
		free()
	}, true
}
