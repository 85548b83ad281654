package bench

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

func specs() []*spec {
	small := []structs.Shape{acc(1, 1), acc(1, 1), acc(1, 2), acc(2, 2)}
	gangs := []structs.Shape{acc(1, 8), acc(2, 8), acc(2, 8), acc(4, 8)}
	few := []int{6, 4, 2, 2}
	teams := make([]int, 98)
	for i := range teams {
		teams[i] = 1 + i%3
	}
	guarantees := func(urgent, long structs.Shape, perWeight int) func(int) []structs.Guarantee {
		return func(weight int) []structs.Guarantee {
			return []structs.Guarantee{
				{Name: "urgent", Shape: urgent, Count: perWeight * weight},
				{Name: "long", Shape: long, Count: max(1, weight/2)},
			}
		}
	}
	const h = time.Hour
	return []*spec{
		{
			// A night with a snow warning at 03:30; times count from 20:00.
			name: "verband", dataCentres: 4, workers: 50, rack: 6, weights: few,
			guarantees: guarantees(acc(1, 1), acc(2, 8), 8), span: 14 * h, grace: 10 * time.Second,
			leaves: 9 * h, returns: 10*h + 30*time.Minute, waves: []time.Duration{6 * h, 11 * h},
			streams: []stream{
				{service: "rota", class: structs.ClassInteractive, load: 0.03, from: 7*h + 30*time.Minute, to: 11 * h, burst: 15 * time.Minute,
					shapes: []structs.Shape{acc(1, 1)}, median: time.Minute, sigma: 0.6, longest: 15 * time.Minute, slack: 30 * time.Second, idempotent: 0.5},
				{service: "coverage", class: structs.ClassStandard, load: 0.15, to: 14 * h,
					shapes: small, median: 10 * time.Minute, sigma: 1, longest: 2 * h, slack: 20 * time.Minute, idempotent: 0.8},
				{service: "simulation", class: structs.ClassArchive, load: 0.2, to: 14 * h,
					shapes: small, median: 30 * time.Minute, sigma: 1, longest: 4 * h, slack: 4 * h, idempotent: 1},
				{service: "routes", class: structs.ClassArchive, load: 0.85, to: 6 * h, quiet: 0.4,
					shapes: gangs, median: 50 * time.Minute, sigma: 0.9, longest: 6 * h, slack: 4 * h, checkpoint: true, idempotent: 1},
			},
		},
		{
			// A day with meetings from 18:00 to 23:00; times count from 12:00.
			name: "brazos", dataCentres: 3, workers: 50, rack: 8, weights: few,
			guarantees: guarantees(acc(1, 1), acc(2, 8), 7), span: 14 * h, grace: 10 * time.Second,
			leaves: 7*h + 30*time.Minute, returns: 9 * h, waves: []time.Duration{5 * h, 10 * h},
			streams: []stream{
				{service: "motion", class: structs.ClassInteractive, load: 0.03, from: 6 * h, to: 11 * h, burst: 10 * time.Minute,
					shapes: []structs.Shape{acc(1, 1)}, median: 45 * time.Second, sigma: 0.6, longest: 10 * time.Minute, slack: 30 * time.Second, idempotent: 0.5},
				{service: "draft", class: structs.ClassStandard, load: 0.2, from: 1 * h, to: 14 * h,
					shapes: small, median: 15 * time.Minute, sigma: 1, longest: 3 * h, slack: 30 * time.Minute, idempotent: 0.9},
				{service: "archive", class: structs.ClassArchive, load: 0.15, to: 14 * h,
					shapes: small, median: 40 * time.Minute, sigma: 1, longest: 5 * h, slack: 8 * h, idempotent: 1},
				{service: "rebuild", class: structs.ClassArchive, load: 0.85, from: 2 * h, to: 8 * h, quiet: 0.4,
					shapes: gangs, median: 50 * time.Minute, sigma: 0.9, longest: 6 * h, slack: 8 * h, checkpoint: true, idempotent: 1},
			},
		},
		{
			name: "two-year", dataCentres: 7, workers: 630, rack: 8, weights: teams,
			guarantees: guarantees(acc(2, 2), acc(8, 2), 1), span: 48 * h, grace: 30 * time.Second,
			leaves: 30 * h, returns: 34 * h, waves: []time.Duration{20 * h, 32 * h},
			streams: []stream{
				{service: "urgent", class: structs.ClassInteractive, load: 0.004, to: 24 * h,
					shapes: []structs.Shape{acc(2, 2)}, median: 20 * time.Minute, sigma: 0.8, longest: 4 * h, slack: time.Minute, idempotent: 0.5},
				{service: "batch", class: structs.ClassStandard, load: 0.1, to: 24 * h,
					shapes: []structs.Shape{acc(1, 2), acc(2, 2), acc(4, 2), acc(8, 2)}, median: 2 * h, sigma: 1, longest: 16 * h, slack: 2 * h, idempotent: 0.8},
				{service: "training", class: structs.ClassArchive, load: 1.3, from: 8 * h, to: 18 * h, quiet: 0.6,
					shapes: []structs.Shape{acc(8, 2), acc(16, 2), acc(32, 2), acc(64, 2), acc(64, 1), acc(32, 1), acc(4, 8), acc(8, 8)},
					median: 4 * h, sigma: 1, longest: 24 * h, slack: 12 * h, checkpoint: true, idempotent: 1},
			},
		},
	}
}
