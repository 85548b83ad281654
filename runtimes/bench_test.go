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
