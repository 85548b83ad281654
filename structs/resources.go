// Package structs defines the types shared by several packages: resources and shapes, workers, the
// manifest, jobs and their records, and the actions of a plan.
package structs

import (
	"fmt"

	"github.com/cyclamenyard/cyclamenyard/fairshare"
)

// Resources is an amount of a worker's capacity. Every task takes at least one slot.
type Resources struct {
	Slots        int `json:"slots" yaml:"slots"`
	Processors   int `json:"processors" yaml:"processors"`     // cores
	MemoryMB     int `json:"memory_mb" yaml:"memory_mb"`       // mebibytes
	Accelerators int `json:"accelerators" yaml:"accelerators"` // devices
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Slots:        r.Slots + o.Slots,
		Processors:   r.Processors + o.Processors,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Slots:        r.Slots - o.Slots,
		Processors:   r.Processors - o.Processors,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Mul returns r multiplied by n.
func (r Resources) Mul(n int) Resources {
	return Resources{
		Slots:        r.Slots * n,
		Processors:   r.Processors * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether r fits into free in every component.
func (r Resources) Fits(free Resources) bool {
	return r.Slots <= free.Slots && r.Processors <= free.Processors &&
		r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// CountIn returns how many times r fits into free, or 0 if r is zero.
func (r Resources) CountIn(free Resources) int {
	n := -1
	limit := func(need, available int) {
		if need <= 0 {
			return
		}
		if c := max(available, 0) / need; n < 0 || c < n {
			n = c
		}
	}
	limit(r.Slots, free.Slots)
	limit(r.Processors, free.Processors)
	limit(r.MemoryMB, free.MemoryMB)
	limit(r.Accelerators, free.Accelerators)
	return max(n, 0)
}

// DominantShare returns the largest fraction of any component of total that r uses, as in dominant
// resource fairness.
func (r Resources) DominantShare(total Resources) float64 {
	return fairshare.Dominant(
		fairshare.Amount{Used: r.Slots, Total: total.Slots},
		fairshare.Amount{Used: r.Processors, Total: total.Processors},
		fairshare.Amount{Used: r.MemoryMB, Total: total.MemoryMB},
		fairshare.Amount{Used: r.Accelerators, Total: total.Accelerators},
	)
}

// Shape is the resource request of a job or a guarantee: a gang of identical tasks.
type Shape struct {
	Tasks int       `json:"tasks" yaml:"tasks"`
	Task  Resources `json:"task" yaml:"task"` // of each task
	// Adjacent requires the smallest domain that can hold the gang: one worker, one rack, two
	// neighbouring racks or the data centre.
	Adjacent bool `json:"adjacent" yaml:"adjacent"`
}

// Total returns the resources of all tasks of the shape.
func (s Shape) Total() Resources {
	return s.Task.Mul(s.Tasks)
}

// String formats the shape, for example "4x1slot/8cpu/1024MB/8acc adjacent".
func (s Shape) String() string {
	text := fmt.Sprintf("%dx%dslot/%dcpu/%dMB/%dacc", s.Tasks, s.Task.Slots, s.Task.Processors, s.Task.MemoryMB, s.Task.Accelerators)
	if s.Adjacent {
		text += " adjacent"
	}
	return text
}
