package link_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/link"
)

// Guards against a queue that is not emptied at the link's speed, and against bytes of headers that do not count.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := link.New(2) // 250,000 bytes a second
		assert.Zero(t, m.Queue())
		m.Sent(1000)
		assert.Zero(t, m.Queue(), "within the tolerance")
		for range 100 {
			m.Sent(1000)
		}
		assert.InDelta(t, 430*time.Millisecond, m.Queue(), float64(5*time.Millisecond), "101 packets with headers")
		time.Sleep(400 * time.Millisecond)
		assert.InDelta(t, 30*time.Millisecond, m.Queue(), float64(5*time.Millisecond))
		time.Sleep(time.Minute)
		m.Sent(5000)
		assert.InDelta(t, 21*time.Millisecond, m.Queue(), float64(time.Millisecond), "idle time is not saved up")
		assert.Equal(t, 25_000, m.BytesIn(100*time.Millisecond, 1<<20))
		assert.Equal(t, 1<<10, m.BytesIn(time.Hour, 1<<10))
	})
}

// Guards against settings without the speed of the link that stop or delay an instance.
func TestLinkOfUnknownSpeed(t *testing.T) {
	for _, m := range []*link.Meter{nil, link.New(0), link.New(-1)} {
		m.Sent(1 << 30)
		assert.Zero(t, m.Queue())
		assert.Zero(t, m.TimeOf(1<<30))
		assert.Equal(t, 7, m.BytesIn(0, 7))
	}
}
