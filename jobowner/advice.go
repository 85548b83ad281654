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
	// maxAdviceWorkers is how many workers one call may name.
	maxAdviceWorkers = 100
	// usualAdviceWorkers is how many workers a call names for a small step: each one takes
	// time, and the policies of queues exclude many.
	usualAdviceWorkers = 30
	// adviceSlack is how much longer than stated a call may take.
	adviceSlack = time.Second
	// maxAdviceQueue bounds the steps that wait for advice; others are asked for later.
	maxAdviceQueue = 64
	// adviceRetryPause is the pause after a call that failed.
	adviceRetryPause = 300 * time.Millisecond
)

// askAdvice queues the steps for the advice service. The caller holds the lock.
func (t *Term) askAdvice(steps []*jobstate.Step) {
	for _, s := range steps {
		if s.Asking {
			continue
		}
		select {
		case t.asks <- s:
			s.Asking = true
		default:
			return
		}
	}
}

// advise asks for one step at a time, as the service serves one call of an instance at a
// time, until ctx ends.
func (t *Term) advise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-t.asks:
			t.adviseStep(ctx, s)
		}
	}
}

func (t *Term) adviseStep(ctx context.Context, s *jobstate.Step) {
	t.mu.Lock()
	advice := s.Occurrence.Job.Route.Advice
	ids, lives := t.adviceCandidates(s)
	if advice == nil || len(ids) == 0 || s.Occurrence.Job.State.Ended() {
		s.Asking = false
		t.mu.Unlock()
		return
	}
	bound := advice.Decision + time.Duration(len(ids))*advice.PerWorker + adviceSlack
	name := s.Name()
	t.mu.Unlock()

	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, bound)
	good, valid, err := t.o.Advisor.Advise(call, name, ids)
	cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Asking = false
	events.Info(t.o.Log, events.AdviceReceived, zap.String("step", name), zap.Int("named", len(ids)), zap.Int("good", len(good)),
		zap.Duration("valid", valid), zap.Duration("taken", time.Since(sent)), zap.Error(err))
	if err != nil {
		s.NotBefore = time.Now().Add(adviceRetryPause)
		return
	}
	for _, id := range ids {
		value, ok := good[id]
		s.Tickets[id] = jobstate.Ticket{Value: value, Good: ok, Life: lives[id], Expires: sent.Add(valid)}
	}
	t.kick()
}

// adviceCandidates returns the workers to name for the step: those with the most room of
// which it is not known that they are excluded. The caller holds the lock.
func (t *Term) adviceCandidates(s *jobstate.Step) ([]string, map[string]int64) {
	now := time.Now()
	var list []*jobstate.Worker
	for _, w := range t.cluster.Workers {
		if w.Service != s.Occurrence.Job.Route.Service || !t.cluster.Accepts(w, now) || !w.HasLabel(s.Spec.Label) || !s.Spec.Allocation().Fits(w.Capacity) {
			continue
		}
		if ticket, known := s.Tickets[w.ID]; known && ticket.Life == w.Life && !ticket.Good {
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *jobstate.Worker) int {
		return cmp.Or(cmp.Compare(b.Free().Accelerators, a.Free().Accelerators), cmp.Compare(b.Free().MilliCPU, a.Free().MilliCPU), cmp.Compare(a.ID, b.ID))
	})
	limit := min(maxAdviceWorkers, max(usualAdviceWorkers, 2*s.Waiting()), len(list))
	ids := make([]string, limit)
	lives := make(map[string]int64, limit)
	for n := range ids {
		ids[n] = list[n].ID
		lives[list[n].ID] = list[n].Life
	}
	return ids, lives
}
