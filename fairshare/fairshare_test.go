package fairshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/fairshare"
)

// Guards against a share that follows a resource other than the scarcest one, or one that no worker has.
func TestDominant(t *testing.T) {
	for _, c := range []struct {
		amounts []fairshare.Amount
		want    float64
	}{
		{nil, 0},
		{[]fairshare.Amount{{Used: 1, Total: 4}, {Used: 3, Total: 4}, {Used: 1, Total: 2}}, 0.75},
		{[]fairshare.Amount{{Used: 5, Total: 0}, {Used: 1, Total: 10}}, 0.1},
		{[]fairshare.Amount{{Used: -5, Total: 10}}, 0},
		{[]fairshare.Amount{{Used: 15, Total: 10}}, 1.5},
	} {
		assert.Equal(t, c.want, fairshare.Dominant(c.amounts...))
	}
	assert.Equal(t, 2, fairshare.Step(0.75, 3, 0.1))
}

// Guards against recent use that ends with the runs, that depends on how often it is observed, or that is kept for
// each name that was ever seen.
func TestRecentDecays(t *testing.T) {
	start := time.Unix(1000, 0)
	r, often := fairshare.NewRecent(10*time.Second), fairshare.NewRecent(10*time.Second)
	r.Observe("a", 0.8, start)
	for ms := range 10_000 {
		often.Observe("a", 0.8, start.Add(time.Duration(ms)*time.Millisecond))
	}
	at := start.Add(10 * time.Second)
	assert.InDelta(t, 0.4, r.Observe("a", 0, at), 1e-9)
	assert.InDelta(t, 0.4, often.Observe("a", 0, at), 1e-9)
	assert.InDelta(t, 0.4, r.Observe("a", 0, at.Add(-time.Second)), 1e-9, "the clock goes back")
	assert.InDelta(t, 0.2, r.Observe("a", 0, at.Add(10*time.Second)), 1e-9)
	assert.Zero(t, r.Observe("a", 0, at.Add(time.Hour)))
	assert.Zero(t, r.Observe("idle", 0, at))
	assert.Zero(t, r.Len())
	r.Observe("b", 1, at)
	r.Retain(func(string) bool { return false })
	assert.Zero(t, r.Len())
}
