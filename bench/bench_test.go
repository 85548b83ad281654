package bench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against figures that depend on anything but the seed, and against jobs that
// vanish from a run.
func TestRunIsDeterministic(t *testing.T) {
	s := specs()[0]
	s.span, s.leaves, s.returns = 5*time.Hour, 3*time.Hour, 4*time.Hour // a short night
	for _, p := range candidates() {
		var runs [2]*run
		for i := range runs {
			runs[i] = newRun(generate(s, 1), p, 1)
			require.NoError(t, runs[i].loop(t.Context()))
			assert.Zero(t, runs[i].open, "%s: jobs not ended", p.name)
			assert.Zero(t, runs[i].m.refused, "%s: jobs refused that can run", p.name)
		}
		assert.Equal(t, runs[0].m.figures(), runs[1].m.figures(), p.name)
	}
}

// Reports the figures of one seed as metrics.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range specs() {
		for _, p := range candidates() {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var m *measures
				for b.Loop() {
					r := newRun(generate(s, 1), p, 1)
					require.NoError(b, r.loop(b.Context()))
					m = r.m
				}
				for _, f := range m.figures() {
					b.ReportMetric(f.value, strings.Fields(strings.NewReplacer(" (", "\t", " ", "-").Replace(f.name))[0])
				}
			})
		}
	}
}

// Measures one decision under load.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 630, 5000} {
		for _, p := range candidates() {
			b.Run(fmt.Sprintf("%s/%d", p.name, n), func(b *testing.B) {
				r, err := loaded(b.Context(), n)
				require.NoError(b, err)
				b.ReportAllocs()
				for b.Loop() {
					p.policy.Decide(r.centres[0].DataCentre, r.now)
				}
			})
		}
	}
}
