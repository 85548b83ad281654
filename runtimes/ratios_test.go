package runtimes_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// Guards against other run times in the scheduler after the move from package state: declared below five samples, then
// the quantile of the latest 64 ratios.
func TestRatiosKeepTheirResults(t *testing.T) {
	r := runtimes.NewRatios()
	for n := range 4 {
		r.Observe("s", "w", time.Second, time.Duration(n+2)*time.Second)
	}
	assert.Equal(t, 10*time.Second, r.Quantile("s", "w", 10*time.Second, 0.5))
	r.Observe("s", "w", time.Second, 6*time.Second)
	assert.Equal(t, 40*time.Second, r.Quantile("s", "w", 10*time.Second, 0.5))
	assert.Equal(t, 60*time.Second, r.Quantile("s", "w", 10*time.Second, 0.9))
	for range 64 {
		r.Observe("s", "w", 2*time.Second, time.Second)
	}
	assert.Equal(t, 5*time.Second, r.Quantile("s", "w", 10*time.Second, 0.9))
	assert.Equal(t, 10*time.Second, r.Quantile("s", "other", 10*time.Second, 0.9))
}
