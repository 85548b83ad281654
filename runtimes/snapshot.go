package runtimes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

const (
	// snapshotVersion changes with the meaning of the fields of a snapshot.
	snapshotVersion = 2
	// maxSnapshot bounds a snapshot, in bytes. The store accepts far more; the bound keeps the write small.
	maxSnapshot = 15 << 10
	// maxSummaryKeys is the number of keys of a workspace that precede older ones of other workspaces.
	maxSummaryKeys = 8
	// maxWeight bounds the weights in a snapshot: decay keeps them below 1/(1-keep), with censored runs below
	// twice as much.
	maxWeight = 1000
	// snapshotDigits is the number of decimals that a snapshot keeps.
	snapshotDigits = 1e4
)

// snapshot is the stored form of a model: the keys that were used last, the newest first.
type snapshot struct {
	Version int
	Keys    []json.RawMessage // of keyState
}

// keyState is a key with its fit.
type keyState struct {
	Key   key        `json:"k"`
	Fit   [11]number `json:"f"`           // the values of fit.state
	Owner string     `json:"o,omitempty"` // the workspace that the key counts for, if it is not in the key
	used  uint64
}

// owner returns the workspace that the key counts for.
func (k *keyState) owner() string { return cmp.Or(k.Key.Workspace, k.Owner) }

// number is encoded with a few decimals.
type number float64

// MarshalJSON implements json.Marshaler.
func (n number) MarshalJSON() ([]byte, error) {
	return json.Marshal(math.Round(float64(n)*snapshotDigits) / snapshotDigits)
}

// state returns the values that make up the fit.
func (f *fit) state() [11]*float64 {
	return [11]*float64{&f.Jobs, &f.W, &f.X, &f.Y, &f.XX, &f.XY, &f.Spread, &f.DeclaredError, &f.LearnedError, &f.DeclaredHigh, &f.LearnedHigh}
}

// Summary is a copy of what a model knows.
type Summary struct{ keys []keyState }

// Summary returns a copy of the model, which can be encoded while the model is in use.
func (m *Model) Summary() Summary {
	s := Summary{keys: make([]keyState, 0, len(m.keys))}
	for k, f := range m.keys {
		e := keyState{Key: k, Owner: f.owner, used: f.used}
		if k.Workspace == f.owner {
			e.Owner = ""
		}
		for n, v := range f.state() {
			e.Fit[n] = number(*v)
		}
		s.keys = append(s.keys, e)
	}
	return s
}

// Snapshot returns the encoded summary of the model.
func (m *Model) Snapshot() ([]byte, error) { return m.Summary().Encode() }

// Encode returns the summary in a compact form below 16 KB. If it has more keys than fit, it leaves out those that were
// not used for the longest time; those beyond maxSummaryKeys of a workspace come after all others.
func (s Summary) Encode() ([]byte, error) {
	slices.SortFunc(s.keys, func(a, b keyState) int { return cmp.Compare(b.used, a.used) })
	ofWorkspace := map[string]int{}
	var first, later []*keyState
	for n := range s.keys {
		k := &s.keys[n]
		owner := k.owner()
		if ofWorkspace[owner]++; owner != "" && ofWorkspace[owner] > maxSummaryKeys {
			later = append(later, k)
		} else {
			first = append(first, k)
		}
	}
	encoded := snapshot{Version: snapshotVersion}
	size := 0
	for _, k := range append(first, later...) {
		raw, err := json.Marshal(k)
		if err != nil {
			return nil, fmt.Errorf("run times of route %q: %w", k.Key.Route, err)
		}
		if size += len(raw) + 1; size > maxSnapshot {
			break
		}
		encoded.Keys = append(encoded.Keys, raw)
	}
	return json.Marshal(encoded)
}

// Skipped returns the number of keys that the last Restore left out.
func (m *Model) Skipped() int { return m.skipped }

// Restore replaces the model by the one in the snapshot, and leaves out keys with values that no model has. It changes
// nothing if it returns an error.
func (m *Model) Restore(raw []byte) error {
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("summary of run times: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("summary of run times: version %d; known is %d", s.Version, snapshotVersion)
	}
	if len(s.Keys) > maxKeys {
		return fmt.Errorf("summary of run times: %d keys; at most %d", len(s.Keys), maxKeys)
	}
	restored := NewModel()
	for n := len(s.Keys) - 1; n >= 0; n-- {
		var e keyState
		if err := json.Unmarshal(s.Keys[n], &e); err != nil {
			restored.skipped++
			continue
		}
		f := newFit()
		f.owner = e.owner()
		for i, v := range f.state() {
			*v = float64(e.Fit[i])
		}
		if !f.plausible() {
			restored.skipped++
			continue
		}
		restored.keys[e.Key] = f
		restored.touch(f)
	}
	m.keys, m.use, m.skipped = restored.keys, restored.use, restored.skipped
	return nil
}

// plausible reports whether the values can come from a model.
func (f *fit) plausible() bool {
	logRange := max(math.Abs(logSeconds(minRunTime)), logSeconds(maxRunTime)) + 1
	within := func(v, least, most float64) bool { return v >= least && v <= most }
	square := f.W*logRange*logRange + 1
	return within(f.Jobs, 0, maxWeight) && within(f.W, 0, maxWeight) &&
		within(math.Abs(f.X), 0, f.W*logRange+1) && within(math.Abs(f.Y), 0, f.W*logRange+1) &&
		within(f.XX, 0, square) && within(math.Abs(f.XY), 0, square) && within(f.Spread, 0, 2*maxResidual) &&
		within(f.DeclaredError, 0, maxResidual) && within(f.LearnedError, 0, maxResidual) &&
		within(f.DeclaredHigh, minHigh, maxHigh) && within(f.LearnedHigh, minHigh, maxHigh)
}
