package jobowner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
)

const (
	// maxAdviceWorkers is the most workers that one call may name.
	maxAdviceWorkers = 100
	// minAdviceWorkers is how many workers a call names for a small step, if there are so many. The
	// policies of queues exclude many workers, but each named one adds to the time of the call.
	minAdviceWorkers = 30
	// adviceSlack is added to the stated duration of a call for its timeout.
	adviceSlack = time.Second
	// maxAdviceQueue limits the steps that wait for advice; others are queued by a later decision.
	maxAdviceQueue = 64
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 300 * time.Millisecond
)

// queueAdvice queues the steps for the advice service. The caller holds the lock.
func (t *Term) queueAdvice(steps []*jobstate.Step) {
	for _, s := range steps {
		if s.AdvicePending {
			continue
		}
		select {
		case t.adviceQueue <- s:
			s.AdvicePending = true
		default:
			return
		}
	}
}

// advise makes the queued calls one after the other, because the service serves one call of an
// instance at a time, until ctx ends.
func (t *Term) advise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-t.adviceQueue:
			t.adviseStep(ctx, s)
		}
	}
}

// adviseStep requests tickets for the step and records the answer.
func (t *Term) adviseStep(ctx context.Context, s *jobstate.Step) {
	t.mu.Lock()
	advice := s.Occurrence.Job.Route.Advice
	ids, incarnations := t.adviceCandidates(s)
	if advice == nil || len(ids) == 0 || s.Occurrence.Job.State.Ended() {
		s.AdvicePending = false
		t.mu.Unlock()
		return
	}
	bound := advice.Decision + time.Duration(len(ids))*advice.PerWorker + adviceSlack
	name := s.Name()
	t.mu.Unlock()

	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, bound)
	tickets, valid, err := t.opts.Advisor.Advise(call, name, ids)
	cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.AdvicePending = false
	events.Info(t.opts.Log, events.AdviceReceived, zap.String("step", name), zap.Int("named", len(ids)), zap.Int("good", len(tickets)),
		zap.Duration("valid", valid), zap.Duration("taken", time.Since(sent)), zap.Error(err))
	if err != nil {
		s.NotBefore = time.Now().Add(adviceRetryDelay)
		return
	}
	for _, id := range ids {
		value, ok := tickets[id]
		s.Tickets[id] = jobstate.Ticket{Value: value, Allowed: ok, Incarnation: incarnations[id], Expires: sent.Add(valid)}
	}
	t.wakeLoop()
}

// adviceCandidates returns the workers to name for the step, avoided ones last and those with the most free capacity
// first, without workers that are known to be excluded or have a valid ticket. The caller holds the lock.
func (t *Term) adviceCandidates(s *jobstate.Step) ([]string, map[string]int64) {
	now := time.Now()
	var list []*jobstate.Worker
	for _, w := range t.cluster.Workers {
		if w.Service != s.Occurrence.Job.Route.Service || !t.cluster.Available(w, now) || !w.HasLabel(s.Spec.Label) || !s.Spec.Allocation().Fits(w.Capacity) {
			continue
		}
		if ticket, ok := s.Tickets[w.ID]; ok && ticket.Incarnation == w.Incarnation && !ticket.Allowed {
			continue
		}
		if s.Admits(w, now) {
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *jobstate.Worker) int {
		return cmp.Or(compareBool(t.cluster.Accepts(a, now), t.cluster.Accepts(b, now)), cmp.Compare(b.Free().Accelerators, a.Free().Accelerators), cmp.Compare(b.Free().MilliCPU, a.Free().MilliCPU), cmp.Compare(a.ID, b.ID))
	})
	limit := min(maxAdviceWorkers, max(minAdviceWorkers, 2*s.Waiting()), len(list))
	ids := make([]string, limit)
	incarnations := make(map[string]int64, limit)
	for n := range ids {
		ids[n] = list[n].ID
		incarnations[list[n].ID] = list[n].Incarnation
	}
	return ids, incarnations
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
