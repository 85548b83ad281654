package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against closing an ordinary caller while a client that only holds a connection is kept. Each case lists holders
// from the first to be closed to the last; the ones in keep must never be closed for others.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	at := func(ago time.Duration) time.Time { return now.Add(-ago) }
	body := func(still time.Duration, received, bytes int64) holder {
		return holder{phase: phaseBody, accepted: at(2 * time.Second), progressed: at(still), bytes: bytes,
			began: at(time.Second), deadline: at(-2 * time.Second), received: received, announced: 262_144}
	}
	const open = 2 * time.Second
	for name, c := range map[string]struct {
		order, keep []holder
		after, idle time.Duration
	}{
		"longest without progress first": {order: []holder{body(900*time.Millisecond, 200_000, 1), body(600*time.Millisecond, 200_000, 1), body(0, 200_000, 1)}},
		"then most bytes":                {order: []holder{body(0, 200_000, 257<<10), body(0, 200_000, 64<<10), body(0, 200_000, 4<<10)}},
		"slow bodies before others":      {order: []holder{body(0, 1000, 4<<10), body(0, 200_000, 257<<10)}},
		"refused, stalled, idle, active, first request, new": {order: []holder{
			{phase: phaseRefused, accepted: at(open), progressed: now}, {phase: phaseHeader, accepted: at(open), progressed: at(unusedAfter)}, {phase: phaseHeader, accepted: at(open), progressed: at(stalledAfter), requests: 1},
			{phase: phaseIdle, accepted: at(open), progressed: at(time.Minute)}, {phase: phaseHeader, accepted: at(open), progressed: now, requests: 1},
			{phase: phaseHeader, accepted: at(firstDwell), progressed: at(stalledAfter / 2)},
			{phase: phaseNew, accepted: at(firstDwell), progressed: at(minDwell)},
		}},
		"many requests at once": {
			order: []holder{{phase: phaseHeader, accepted: at(open), progressed: now, burst: manyRequests}, {phase: phaseHeader, accepted: at(open), progressed: now, burst: 1}},
			keep:  []holder{{phase: phaseReady, accepted: at(open), progressed: at(time.Second), requests: 2000}},
		},
		"answers that are not read": {
			order: []holder{{phase: phaseServing, writing: true, accepted: at(open), progressed: at(stalledAfter)}, {phase: phaseServing, writing: true, accepted: at(open), progressed: at(unreadAfter), requests: manyRequests}},
			keep:  []holder{{phase: phaseServing, writing: true, accepted: at(open), progressed: at(unreadAfter)}},
		},
		"calls in progress and new connections": {keep: []holder{
			{phase: phaseServing, accepted: at(open), progressed: at(time.Minute)}, {phase: phaseReady, accepted: at(open), progressed: at(time.Second)}, {phase: phaseNew, accepted: now, progressed: now}, {phase: phaseBody, accepted: now, progressed: now},
		}},
		"calls between instances": {
			after: peerEvictAfter, idle: peerKeepIdle,
			order: []holder{{phase: phaseHeader, accepted: at(time.Hour), progressed: at(peerEvictAfter)}, {phase: phaseIdle, accepted: at(time.Hour), progressed: at(peerKeepIdle)}},
			keep:  []holder{{phase: phaseHeader, accepted: at(time.Hour), progressed: at(3 * time.Second)}, {phase: phaseIdle, accepted: at(time.Hour), progressed: at(peerKeepIdle - time.Second)}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(c.order) - 1 {
				a, b := &c.order[n], &c.order[n+1]
				rankA, rankB := a.rank(now, c.after, c.idle), b.rank(now, c.after, c.idle)
				assert.GreaterOrEqual(t, rankB, 0, "holder %d", n+1)
				assert.True(t, rankA > rankB || rankA == rankB && compare(a, b, now) < 0 && compare(b, a, now) > 0, "holders %d (rank %d) and %d (rank %d)", n, rankA, n+1, rankB)
			}
			for n := range c.keep {
				assert.Negative(t, c.keep[n].rank(now, c.after, c.idle), "kept holder %d", n)
			}
		})
	}
}
