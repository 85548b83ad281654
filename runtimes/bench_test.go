package runtimes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenyard/cyclamenyard/runtimes"
)

// Compares the copy of a full model, which is made under the owner's lock, with its encoding.
func BenchmarkSummary(b *testing.B) {
	m := runtimes.NewModel()
	for n := range 2000 {
		observe(m, query(kinds[n%3], fmt.Sprint("w", n), 6), 12*time.Second, 1)
	}
	b.Run("copy", func(b *testing.B) {
		for b.Loop() {
			m.Summary()
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := m.Summary().Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Measures the end of a run of a step with 230 tasks, all of which are compared again.
func BenchmarkSpeedsObserve(b *testing.B) {
	s, workers := runtimes.NewSpeeds(), fleet(230, 1)
	n := 0
	for b.Loop() {
		s.Observe(workers[n%len(workers)].id, fmt.Sprint(n/len(workers)), false, 0, time.Duration(n%97+300)*time.Millisecond)
		n++
	}
}
