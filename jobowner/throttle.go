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
	// Fillers are slowed down if the tail latency of a serving task beside them is above slowDownRatio
	// of its target, and sped up if it is below speedUpRatio.
	slowDownRatio = 0.8
	speedUpRatio  = 0.5
	// speedUpPercent is added to Run.SpeedPercent when fillers are sped up. A slow-down halves SpeedPercent,
	// so that a missed target is met again within a few reports.
	speedUpPercent = 10
	// throttleInterval is the minimum time between two changes on a worker, because the reported tail
	// latency covers the last half second.
	throttleInterval = 600 * time.Millisecond
	// lateThrottleTime is how long after an order without an answer the worker may still execute it. The speed is ordered again
	// every throttleRepeat until then.
	lateThrottleTime = 15 * time.Second
	throttleRepeat   = 2 * time.Second
)

// throttleFillers sets the speed of the fillers on the worker according to the tail latency of the serving
// tasks beside them. The caller holds the lock.
func (t *Term) throttleFillers(a *agent, now time.Time) {
	if now.Sub(a.throttledAt) < throttleInterval {
		return
	}
	tailRatio := 0.0 // highest ratio of tail latency to target among the serving tasks
	serving := false
	var fillers []*jobstate.Run
	for r := range a.worker.Runs {
		spec := r.Task.Step.Spec
		switch {
		case spec.TailTarget > 0:
			serving = true
			tailRatio = max(tailRatio, r.Load/float64(spec.TailTarget.Milliseconds()))
		case spec.Filler && r.Phase == jobstate.Running && !r.Throttle.InProgress:
			fillers = append(fillers, r)
		}
	}
	if len(fillers) == 0 {
		return
	}
	a.throttledAt = now
	for _, r := range fillers {
		percent := nextSpeed(r, serving, tailRatio)
		repeat := r.Throttle.Unconfirmed || r.Throttle.Uncertain() && now.Sub(r.Throttle.ConfirmedAt) >= throttleRepeat
		if percent != r.SpeedPercent || repeat {
			r.SpeedPercent = percent
			t.orderThrottle(a, r, tailRatio, now)
		}
	}
}

// nextSpeed returns the speed to order for a filler, in percent. One that a former owner may have slowed down starts at the
// lowest step, since its full speed may be too much for a serving task.
func nextSpeed(r *jobstate.Run, serving bool, tailRatio float64) int {
	speed := r.SpeedPercent
	if serving && r.Throttle.Inherited {
		speed = min(speed, speedUpPercent)
	}
	switch {
	case serving && tailRatio > slowDownRatio:
		return speed / 2
	case r.Throttle.Unconfirmed || r.Throttle.Inherited || serving && tailRatio >= speedUpRatio:
		return speed
	}
	return min(100, speed+speedUpPercent)
}

// orderThrottle orders the run's speed. Until an answer confirms it, the speed is unknown and ordered again. The caller holds the
// lock.
func (t *Term) orderThrottle(a *agent, r *jobstate.Run, tailRatio float64, now time.Time) {
	order := workerapi.Throttle{Task: r.Task.Name().String(), Run: r.Number, Percent: r.SpeedPercent, Token: a.token()}
	target := a.target()
	events.Info(t.opts.Log, events.FillerThrottled, zap.String("task", order.Task), zap.Int("run", order.Run), zap.String("worker", a.worker.ID),
		zap.Int("percent", order.Percent), zap.Float64("strain", tailRatio), zap.Bool("unconfirmed", r.Throttle.Unconfirmed))
	r.Throttle.InProgress, r.Throttle.Unconfirmed = true, true
	t.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, maxOrderTimeout)
		defer cancel()
		err := t.opts.Workers.Throttle(ctx, target, order)
		t.mu.Lock()
		defer t.mu.Unlock()
		r.Throttle.InProgress = false
		if err != nil {
			r.Throttle.LateUntil = time.Now().Add(lateThrottleTime)
			t.opts.Log.Warn("throttle order not confirmed by the worker", zap.String("task", order.Task), zap.Error(err))
			return
		}
		r.Throttle.Unconfirmed, r.Throttle.Inherited, r.Throttle.ConfirmedAt = false, false, now
	})
}
