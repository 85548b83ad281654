package jobowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

const (
	// paceDownAt and paceUpAt are the shares of its target at which a serving task's tail makes
	// the fillers beside it slower or faster.
	paceDownAt = 0.8
	paceUpAt   = 0.5
	// paceStep is by how many percent fillers become faster at a time; slower they become by
	// half, so that a target that is missed is met again within a few reports.
	paceStep = 10
	// paceInterval is the least time between two changes for a worker: the tail is a figure of
	// the last half second.
	paceInterval = 600 * time.Millisecond
)

// pace adjusts the fillers on the worker to the tails of the serving tasks beside them. The
// caller holds the lock.
func (t *Term) pace(a *agent, now time.Time) {
	if now.Sub(a.pacedAt) < paceInterval {
		return
	}
	strain := 0.0 // tail as a share of its target, of the worst serving task
	serving := false
	var fillers []*jobstate.Run
	for r := range a.worker.Runs {
		spec := r.Task.Step.Spec
		switch {
		case spec.TailTarget > 0:
			serving = true
			strain = max(strain, r.Load/float64(spec.TailTarget.Milliseconds()))
		case spec.Filler && r.Phase == jobstate.Running:
			fillers = append(fillers, r)
		}
	}
	if len(fillers) == 0 {
		return
	}
	a.pacedAt = now
	for _, r := range fillers {
		percent := r.Pace
		switch {
		case !serving || strain < paceUpAt:
			percent = min(100, r.Pace+paceStep)
		case strain > paceDownAt:
			percent = r.Pace / 2
		}
		if percent != r.Pace {
			r.Pace = percent
			t.orderPace(a, r, strain)
		}
	}
}

func (t *Term) orderPace(a *agent, r *jobstate.Run, strain float64) {
	order := workerapi.Throttle{Task: r.Task.Name().String(), Run: r.Number, Percent: r.Pace, Token: t.o.Token}
	target := a.target()
	events.Info(t.o.Log, events.FillerThrottled, zap.String("task", order.Task), zap.Int("run", order.Run), zap.String("worker", a.worker.ID),
		zap.Int("percent", order.Percent), zap.Float64("strain", strain))
	t.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, orderBound)
		defer cancel()
		if err := t.o.Workers.Throttle(ctx, target, order); err != nil {
			t.mu.Lock()
			defer t.mu.Unlock()
			r.Pace = 100 // the next report orders it again
			t.o.Log.Warn("pace not ordered", zap.String("task", order.Task), zap.Error(err))
		}
	})
}
