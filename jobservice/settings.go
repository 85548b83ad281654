package jobservice

import (
	"cmp"
	"errors"
	"fmt"
)

// Settings holds the limits of what is accepted. Those that are 0 follow from the limits of the process and of the store.
type Settings struct {
	BacklogMB       int     `yaml:"BacklogMb"`       // memory of an owner for accepted jobs
	RevocationsPerS float64 `yaml:"RevocationsPerS"` // cancellations of unknown jobs that all instances together store

	MemoryMB   int     `yaml:"-"` // of the process; 0 if not known
	WritesPerS float64 `yaml:"-"` // that the store takes from all instances; 0 if not known
}

// Defaults, and what they are taken from if that is not known.
const (
	backlogShare      = 0.25 // of the memory of the process
	maxBacklogShare   = 0.5
	defaultMemoryMB   = 512
	revocationShare   = 0.1 // of the store's writes
	defaultWritesPerS = 400
	bytesPerMB        = 1 << 20
)

func (s Settings) memoryMB() float64 { return float64(cmp.Or(s.MemoryMB, defaultMemoryMB)) }

// Check returns an error that names the settings that are out of range.
func (s Settings) Check() error {
	var errs []error
	if limit := maxBacklogShare * s.memoryMB(); s.BacklogMB < 0 || float64(s.BacklogMB) > limit {
		errs = append(errs, fmt.Errorf("Jobs.BacklogMb: %d; must be from 0 to %.0f, half of the memory of the process", s.BacklogMB, limit))
	}
	if s.RevocationsPerS < 0 {
		errs = append(errs, fmt.Errorf("Jobs.RevocationsPerS: %v; must not be negative", s.RevocationsPerS))
	}
	return errors.Join(errs...)
}

// MaxBacklog returns the memory of an owner for accepted jobs, in bytes.
func (s Settings) MaxBacklog() int64 {
	return int64(bytesPerMB * cmp.Or(float64(s.BacklogMB), backlogShare*s.memoryMB()))
}

// Revocations returns how many cancellations of unknown jobs all instances together store, per second.
func (s Settings) Revocations() float64 {
	return cmp.Or(s.RevocationsPerS, revocationShare*cmp.Or(s.WritesPerS, defaultWritesPerS))
}
