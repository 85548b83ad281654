package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an owner that answers queries from memory although another one may have been elected: it was paused, or
// turned away by the store while others were not, and finds the store unreachable for all peers afterwards. Callers saw a
// job as completed and then as running.
func TestOwnershipInAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		rounds func(o *outage)
		want   bool
	}{
		"no outage":          {func(*outage) {}, false},
		"owner at its start": {func(o *outage) { o.observe(true, at(0), at(100)) }, true},
		"long outage": {func(o *outage) {
			o.observe(true, at(0), at(100))
			o.observe(false, at(250), at(2250))
			o.observe(false, at(2400), at(2500))
		}, true},
		"paused before the outage": {func(o *outage) { o.observe(false, at(0), at(100)) }, false},
		"paused during the outage": {func(o *outage) {
			o.observe(true, at(0), at(100))
			o.observe(false, at(3000), at(3100))
		}, false},
		"a peer had access meanwhile": {func(o *outage) {
			o.observe(true, at(0), at(100))
			o.end()
			o.observe(false, at(400), at(500))
		}, false},
		"paused during a round, noticed after its end": {func(o *outage) {
			o.noteRunning(at(0))
			o.observe(true, at(0), at(4000))
			o.noteRunning(at(4000))
		}, false},
		"paused during a round, noticed before its end": {func(o *outage) {
			o.noteRunning(at(0))
			o.noteRunning(at(4000))
			o.observe(true, at(0), at(4000))
		}, false},
		"paused during a later round": {func(o *outage) {
			o.noteRunning(at(0))
			o.observe(true, at(0), at(100))
			o.noteRunning(at(200))
			o.noteRunning(at(4000))
			o.observe(false, at(250), at(4000))
		}, false},
		"paused after the newest round": {func(o *outage) {
			o.noteRunning(at(0))
			o.observe(true, at(0), at(100))
			o.noteRunning(at(200))
		}, false},
		"running during a long round": {func(o *outage) {
			o.observe(true, at(0), at(100))
			for ms := 0; ms <= 5000; ms += 100 {
				o.noteRunning(at(ms))
			}
			o.observe(false, at(250), at(5000))
		}, true},
		"confirmed after a pause": {func(o *outage) {
			o.noteRunning(at(0))
			o.noteRunning(at(4000))
			o.observe(true, at(4500), at(4600))
			o.noteRunning(at(4600))
		}, true},
		"confirmed again": {func(o *outage) {
			o.observe(false, at(0), at(100))
			o.observe(true, at(250), at(300))
		}, true},
	} {
		o := &outage{}
		c.rounds(o)
		assert.Equal(t, c.want, o.keepsOwnership(at(5000)), name)
	}
}
