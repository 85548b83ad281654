package bench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against results that depend on anything but the seed, and against jobs that the simulation
// loses.
func TestRunIsDeterministic(t *testing.T) {
	s := specs()[0]
	s.arrivalSpan, s.withdrawAt, s.returnAt = 5*time.Hour, 3*time.Hour, 4*time.Hour // shortened
	for _, p := range candidates() {
		var runs [2]*simulation
		for i := range runs {
			runs[i] = newSimulation(generate(s, 1), p, 1)
			require.NoError(t, runs[i].runAll(t.Context()))
			assert.Zero(t, runs[i].unfinished, "%s: jobs not ended", p.name)
			assert.Zero(t, runs[i].stats.wronglyRefused, "%s: jobs refused that can run", p.name)
		}
		assert.Equal(t, runs[0].stats.measurements(), runs[1].stats.measurements(), p.name)
	}
}

// Reports the measurements of one seed as benchmark metrics.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range specs() {
		for _, p := range candidates() {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var m *collector
				for b.Loop() {
					r := newSimulation(generate(s, 1), p, 1)
					require.NoError(b, r.runAll(b.Context()))
					m = r.stats
				}
				for _, f := range m.measurements() {
					b.ReportMetric(f.value, strings.Fields(strings.NewReplacer(" (", "\t", " ", "-").Replace(f.name))[0])
				}
			})
		}
	}
}

// Measures one decision with more jobs than the workers can hold.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 630, 5000} {
		for _, p := range candidates() {
			b.Run(fmt.Sprintf("%s/%d", p.name, n), func(b *testing.B) {
				r, err := newLoadedSimulation(b.Context(), n)
				require.NoError(b, err)
				b.ReportAllocs()
				for b.Loop() {
					p.policy.Decide(r.centres[0].DataCentre, r.now)
				}
			})
		}
	}
}
