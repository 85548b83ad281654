package bench

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// specs returns the workloads: two of today's size and one of the size expected within two years.
func specs() []*spec {
	smallShapes := []structs.Shape{acc(1, 1), acc(1, 1), acc(1, 2), acc(2, 2)}
	gangShapes := []structs.Shape{acc(1, 8), acc(2, 8), acc(2, 8), acc(4, 8)}
	fewWeights := []int{6, 4, 2, 2}
	manyWeights := make([]int, 98)
	for i := range manyWeights {
		manyWeights[i] = 1 + i%3
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
			// A night with a snow warning at 03:30. Times are since 20:00.
			name: "verband", dataCentres: 4, workers: 50, workersPerRack: 6, weights: fewWeights,
			guarantees: guarantees(acc(1, 1), acc(2, 8), 8), arrivalSpan: 14 * h, grace: 10 * time.Second,
			withdrawAt: 9 * h, returnAt: 10*h + 30*time.Minute, cancellations: []time.Duration{6 * h, 11 * h},
			streams: []stream{
				{service: "rota", class: structs.ClassInteractive, load: 0.03, from: 7*h + 30*time.Minute, to: 11 * h, burstPeriod: 15 * time.Minute,
					shapes: []structs.Shape{acc(1, 1)}, medianRunTime: time.Minute, sigma: 0.6, maxRunTime: 15 * time.Minute, slack: 30 * time.Second, idempotent: 0.5},
				{service: "coverage", class: structs.ClassStandard, load: 0.15, to: 14 * h,
					shapes: smallShapes, medianRunTime: 10 * time.Minute, sigma: 1, maxRunTime: 2 * h, slack: 20 * time.Minute, idempotent: 0.8},
				{service: "simulation", class: structs.ClassArchive, load: 0.2, to: 14 * h,
					shapes: smallShapes, medianRunTime: 30 * time.Minute, sigma: 1, maxRunTime: 4 * h, slack: 4 * h, idempotent: 1},
				{service: "routes", class: structs.ClassArchive, load: 0.85, to: 6 * h, quietLoad: 0.4,
					shapes: gangShapes, medianRunTime: 50 * time.Minute, sigma: 0.9, maxRunTime: 6 * h, slack: 4 * h, checkpoint: true, idempotent: 1},
			},
		},
		{
			// A day with meetings from 18:00 to 23:00. Times are since 12:00.
			name: "brazos", dataCentres: 3, workers: 50, workersPerRack: 8, weights: fewWeights,
			guarantees: guarantees(acc(1, 1), acc(2, 8), 7), arrivalSpan: 14 * h, grace: 10 * time.Second,
			withdrawAt: 7*h + 30*time.Minute, returnAt: 9 * h, cancellations: []time.Duration{5 * h, 10 * h},
			streams: []stream{
				{service: "motion", class: structs.ClassInteractive, load: 0.03, from: 6 * h, to: 11 * h, burstPeriod: 10 * time.Minute,
					shapes: []structs.Shape{acc(1, 1)}, medianRunTime: 45 * time.Second, sigma: 0.6, maxRunTime: 10 * time.Minute, slack: 30 * time.Second, idempotent: 0.5},
				{service: "draft", class: structs.ClassStandard, load: 0.2, from: 1 * h, to: 14 * h,
					shapes: smallShapes, medianRunTime: 15 * time.Minute, sigma: 1, maxRunTime: 3 * h, slack: 30 * time.Minute, idempotent: 0.9},
				{service: "archive", class: structs.ClassArchive, load: 0.15, to: 14 * h,
					shapes: smallShapes, medianRunTime: 40 * time.Minute, sigma: 1, maxRunTime: 5 * h, slack: 8 * h, idempotent: 1},
				{service: "rebuild", class: structs.ClassArchive, load: 0.85, from: 2 * h, to: 8 * h, quietLoad: 0.4,
					shapes: gangShapes, medianRunTime: 50 * time.Minute, sigma: 0.9, maxRunTime: 6 * h, slack: 8 * h, checkpoint: true, idempotent: 1},
			},
		},
		{
			name: "two-year", dataCentres: 7, workers: 630, workersPerRack: 8, weights: manyWeights,
			guarantees: guarantees(acc(2, 2), acc(8, 2), 1), arrivalSpan: 48 * h, grace: 30 * time.Second,
			withdrawAt: 30 * h, returnAt: 34 * h, cancellations: []time.Duration{20 * h, 32 * h},
			streams: []stream{
				{service: "urgent", class: structs.ClassInteractive, load: 0.004, to: 24 * h,
					shapes: []structs.Shape{acc(2, 2)}, medianRunTime: 20 * time.Minute, sigma: 0.8, maxRunTime: 4 * h, slack: time.Minute, idempotent: 0.5},
				{service: "batch", class: structs.ClassStandard, load: 0.1, to: 24 * h,
					shapes: []structs.Shape{acc(1, 2), acc(2, 2), acc(4, 2), acc(8, 2)}, medianRunTime: 2 * h, sigma: 1, maxRunTime: 16 * h, slack: 2 * h, idempotent: 0.8},
				{service: "training", class: structs.ClassArchive, load: 1.3, from: 8 * h, to: 18 * h, quietLoad: 0.6,
					shapes:        []structs.Shape{acc(8, 2), acc(16, 2), acc(32, 2), acc(64, 2), acc(64, 1), acc(32, 1), acc(4, 8), acc(8, 8)},
					medianRunTime: 4 * h, sigma: 1, maxRunTime: 24 * h, slack: 12 * h, checkpoint: true, idempotent: 1},
			},
		},
	}
}
