package workload_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Guards against occurrences that count as done, or as not done, because ranges of numbers were joined wrongly.
func TestRangesHoldTheNumbersAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r workload.Ranges
		added := map[int]bool{}
		for _, k := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "numbers") {
			r.Add(k)
			added[k] = true
		}
		assert.Equal(t, len(added), r.Len())
		highest := -1
		for k := range added {
			highest = max(highest, k)
			assert.True(t, slices.ContainsFunc(r, func(x workload.Range) bool { return x[0] <= k && k <= x[1] }), k)
		}
		assert.Equal(t, highest, r.Max())
		for n := 1; n < len(r); n++ {
			assert.Greater(t, r[n][0], r[n-1][1]+1, "a gap between ranges")
		}
	})
}
