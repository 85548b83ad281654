package lag

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a lag that is visible only after the process has run again, or that is never forgotten.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		assert.Zero(t, m.Lag())
		m.record(tolerance, time.Now())
		assert.Zero(t, m.Lag(), "within the tolerance")
		m.record(400*time.Millisecond, time.Now())
		m.record(20*time.Millisecond, time.Now())
		assert.Equal(t, 400*time.Millisecond, m.Lag(), "the peak counts")
		time.Sleep(halfLife)
		assert.Equal(t, 200*time.Millisecond, m.Lag())
		time.Sleep(10 * halfLife)
		assert.Zero(t, m.Lag())
		m.expect(time.Now().Add(-time.Second))
		assert.Equal(t, time.Second, m.Lag(), "a measurement that is overdue counts")
	})
}

// Guards against a meter that reports a lag in a process that runs in time, or after it has stopped.
func TestMeterOfAnIdleProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		go m.Run(t.Context())
		time.Sleep(time.Second)
		assert.Zero(t, m.Lag())
	})
}
