package runtimes_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// Jobs like those of a customer with high load, whose declared run times are off by up to 0.9 of themselves. Guards
// against a model that learns nothing of the run times, or that longer tasks and the many tasks of one job distort.
func TestLearnedIsBetterThanAPoorDeclaredRunTime(t *testing.T) {
	for seed := range uint64(5) {
		r := newLoad(seed, 0.9).run(runtimes.NewModel(), 600, 8)
		t.Log(r)
		assert.Less(t, r.learned.quantile(0.5), 0.85*r.declared.quantile(0.5), "seed %d", seed)
		assert.Less(t, r.learned.quantile(0.9), 0.7*r.declared.quantile(0.9), "seed %d", seed)
		assert.InDelta(t, 0.1, r.beyondHigh, 0.06, "seed %d", seed)
	}
}

// The same jobs with declared run times that are right up to the differences of tasks. Guards against a model that
// replaces a good declared run time by a worse one.
func TestLearnedIsNoWorseThanAGoodDeclaredRunTime(t *testing.T) {
	for seed := range uint64(5) {
		r := newLoad(seed, 0).run(runtimes.NewModel(), 600, 8)
		t.Log(r)
		assert.LessOrEqual(t, r.learned.quantile(0.5), 1.02*r.declared.quantile(0.5), "seed %d", seed)
		assert.LessOrEqual(t, r.learned.quantile(0.9), 1.02*r.declared.quantile(0.9), "seed %d", seed)
	}
}
