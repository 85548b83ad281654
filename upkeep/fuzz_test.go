package upkeep_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/upkeep"
)

const fuzzChecks = 200

// fuzzEvent is a fault of a generated scenario.
type fuzzEvent struct {
	after  time.Duration
	action string
	length time.Duration
}

func drawFuzzEvents(t *rapid.T) []fuzzEvent {
	events := make([]fuzzEvent, rapid.IntRange(1, 8).Draw(t, "events"))
	for n := range events {
		events[n] = fuzzEvent{
			after:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "after_ms")) * time.Millisecond,
			action: rapid.SampledFrom([]string{"lose answer", "unavailable", "refuse", "new owner", "extend"}).Draw(t, "action"),
			length: time.Duration(rapid.IntRange(100, 6000).Draw(t, "length_ms")) * time.Millisecond,
		}
	}
	return events
}

// Guards against waves that never complete or complete without an added machine, that take too many machines down at once,
// that lose work, or that record a live worker as ended, under lost answers, outages of the cloud, refusals, extended waves
// and owner changes in series.
func TestFuzzWaves(t *testing.T) {
	for seed := range fuzzChecks {
		events := rapid.Custom(drawFuzzEvents).Example(seed)
		synctest.Test(t, func(t *testing.T) {
			s, f := testplatform.NewStore(), newFakeCloud(2)
			f.keepID = seed%2 == 1
			wave := upkeep.Wave{Number: 1, Machines: f.names(4), Duration: time.Minute, Cap: 2}
			owners := []*owner{f.newOwner(s, 1)}
			owners[0].controller.SetWave(wave)
			for _, e := range events {
				time.Sleep(e.after)
				f.apply(e)
				switch e.action {
				case "new owner":
					owners = append(owners, f.newOwner(s, uint64(len(owners)+1)))
				case "extend":
					wave.Machines = f.names(6)
				}
				owners[len(owners)-1].controller.SetWave(wave)
			}
			time.Sleep(2 * time.Minute)
			for _, o := range owners {
				o.stop()
			}
			assert.Equal(t, "true", status(s), "seed %d", seed)
			assert.Empty(t, f.violations, "seed %d: %s", seed, fmt.Sprint(events))
			assert.Len(t, f.begun, len(wave.Machines), "seed %d", seed)
		})
	}
}

// apply injects a fault of the cloud.
func (f *fakeCloud) apply(e fuzzEvent) {
	switch e.action {
	case "lose answer":
		f.mu.Lock()
		f.lost = 1
		f.mu.Unlock()
	case "refuse":
		f.mu.Lock()
		f.refused = 2
		f.mu.Unlock()
	case "unavailable":
		f.setUnavailable(true)
		time.Sleep(e.length)
		f.setUnavailable(false)
	}
}
