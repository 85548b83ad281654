package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// step is one event of a random run, followed by a pause.
type step struct {
	kind       string
	node, peer int
	dataCentre string
	stage      structs.Stage
	pause      time.Duration
}

const fuzzNodes = 4

var stepKinds = []string{"commit", "commit", "commit", "race", "lost-commit", "store-down", "store-up", "all-down", "all-up",
	"stale", "current", "no-watch", "cut", "isolate", "split", "split", "heal", "heal", "pause", "resume", "resume", "late announcement"}

// pauses is a list because rapid draws mostly small numbers from a range.
var pauses = []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, time.Second,
	2200 * time.Millisecond, 3 * time.Second}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:       rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			node:       rapid.IntRange(0, fuzzNodes-1).Draw(t, "node"),
			peer:       rapid.IntRange(0, fuzzNodes-1).Draw(t, "peer"),
			dataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre"),
			stage: rapid.SampledFrom([]structs.Stage{structs.StageOut, structs.StageOpen, structs.StageDraining,
				structs.StageReturning}).Draw(t, "stage"),
			pause: rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	}), 10, 40).Draw(t, "steps")
}

// Guards against revisions that decrease, starts after a withdrawal, and commits that are lost or
// applied twice, under store outages, lost answers, stale reads, network cuts, pauses and
// concurrent operators.
func TestFuzzControllers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			o := &oracle{cluster: newCluster(t, fuzzNodes), last: map[string]uint64{}, paused: map[string]bool{}}
			for _, s := range steps {
				o.apply(s)
				o.watch(s.pause, 50*time.Millisecond)
			}
			o.heal()
			o.watch(30*time.Second, time.Second)
			o.operators.Wait()
			o.checkConverged()
			violations = o.violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// oracle drives a run, checks its invariants and collects violations.
type oracle struct {
	cluster   *cluster
	operators sync.WaitGroup
	last      map[string]uint64 // highest revision seen at each instance
	paused    map[string]bool

	mu         sync.Mutex
	accepted   []string // commit ids that were reported as committed
	refused    []string // commit ids that were reported as failed
	violations []string
}

func (o *oracle) violate(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) apply(s step) {
	n, p := o.cluster.nodes[s.node], o.cluster.nodes[s.peer]
	switch s.kind {
	case "commit":
		o.commit(n, s.dataCentre, s.stage)
	case "race":
		o.commit(n, s.dataCentre, s.stage)
		o.commit(p, s.dataCentre, structs.StageOpen)
	case "store-down", "store-up":
		n.store.set(func(st *nodeStore) { st.down, st.noWatch = s.kind == "store-down", false })
	case "all-down", "all-up":
		o.cluster.forEachNode(func(n *node) { n.store.set(func(st *nodeStore) { st.down, st.noWatch = s.kind == "all-down", false }) })
	case "lost-commit":
		n.store.set(func(st *nodeStore) { st.loseAnswers, st.staleReads, st.noWatch = 1, s.peer > 0, s.peer > 1 })
		o.commit(n, s.dataCentre, s.stage)
	case "stale", "current":
		n.store.set(func(st *nodeStore) { st.staleReads = s.kind == "stale" })
	case "cut":
		if n != p {
			o.cluster.network.SetPartitioned(n.id, p.id, true)
		}
	case "no-watch":
		n.store.set(func(st *nodeStore) { st.noWatch = true })
	case "split": // two instances reach only each other; a third commits a withdrawal
		for _, a := range []*node{n, p} {
			a.store.set(func(st *nodeStore) { st.down = true })
			for _, b := range o.cluster.nodes {
				o.cluster.network.SetPartitioned(a.id, b.id, b != n && b != p)
			}
		}
		for _, b := range o.cluster.nodes {
			if b != n && b != p {
				o.commit(b, s.dataCentre, structs.StageOut)
				break
			}
		}
	case "isolate", "heal":
		n.store.set(func(st *nodeStore) { st.down = s.kind == "isolate" })
		for _, p := range o.cluster.nodes {
			o.cluster.network.SetPartitioned(n.id, p.id, n != p && s.kind == "isolate")
		}
	case "late announcement":
		history := o.cluster.written()
		w := history[len(history)*s.peer/fuzzNodes].revision
		document, _ := json.Marshal(w)
		_, _ = n.config.HandleAnnounce(context.Background(), &peer.AnnounceRequest{
			Instance: p.id, Revision: w.Number, CommitId: w.CommitID, Document: document})
	case "pause":
		o.cluster.network.Pause(n.id)
		o.paused[n.id] = true
	case "resume":
		o.cluster.network.Resume(n.id)
		delete(o.paused, n.id)
	}
}

// commit starts a commit as an operator and records its result.
func (o *oracle) commit(n *node, dataCentre string, stage structs.Stage) {
	o.operators.Go(func() {
		result, err := n.commit(dataCentre, stage)
		o.mu.Lock()
		defer o.mu.Unlock()
		switch {
		case err == nil:
			o.accepted = append(o.accepted, result.CommitID)
		case errkind.Of(err) != errkind.Internal && result.CommitID != "":
			o.refused = append(o.refused, result.CommitID)
		}
	})
}

func (o *oracle) heal() {
	for _, n := range o.cluster.nodes {
		n.store.set(func(st *nodeStore) { st.down, st.noWatch, st.loseAnswers, st.staleReads = false, false, 0, false })
		o.cluster.network.Resume(n.id)
		for _, p := range o.cluster.nodes {
			if n != p {
				o.cluster.network.SetPartitioned(n.id, p.id, false)
			}
		}
	}
	clear(o.paused)
}

// watch checks every instance once per sample interval for the duration d.
func (o *oracle) watch(d, sample time.Duration) {
	for end := time.Now().Add(d); !time.Now().After(end); time.Sleep(sample) {
		for _, n := range o.cluster.nodes {
			o.checkNode(n)
		}
	}
}

// checkNode checks that the revision has not decreased, and that no start is allowed more than
// FreshnessBound after the commit that withdrew the data centre.
func (o *oracle) checkNode(n *node) {
	r, _ := n.config.Current()
	if r.Number < o.last[n.id] {
		o.violate("%s returned from revision %d to %d", n.id, o.last[n.id], r.Number)
	}
	o.last[n.id] = r.Number
	if o.paused[n.id] {
		return // a paused instance starts nothing
	}
	for _, dc := range []string{"a", "b"} {
		if n.config.MayStart(dc) != nil {
			continue
		}
		// The history is read after MayStart. In the other order, a return that commits between
		// the two reads would count as a start after the withdrawal.
		since, withdrawn := o.cluster.withdrawn(dc)
		if late := time.Since(since); withdrawn && late > config.FreshnessBound {
			o.violate("%s allows starts in %s %s after its withdrawal: %+v", n.id, dc, late, n.config.Status())
		}
	}
}

// withdrawn reports whether the data centre is withdrawn, and when the withdrawal took effect.
func (c *cluster) withdrawn(dataCentre string) (since time.Time, withdrawn bool) {
	for _, w := range slices.Backward(c.written()) {
		if w.revision.Manifest.DataCentre(dataCentre).Stage.AllowsStarts() {
			break
		}
		since, withdrawn = w.at, true
	}
	return since, withdrawn
}

// checkConverged checks the history, and that all instances agree on it after all faults ended.
func (o *oracle) checkConverged() {
	count := map[string]int{}
	for i, w := range o.cluster.written() {
		count[w.revision.CommitID]++
		if w.revision.Number != uint64(i+1) {
			o.violate("revision %d is entry %d of the history", w.revision.Number, i+1)
		}
	}
	for _, id := range o.accepted {
		if count[id] != 1 {
			o.violate("accepted commit %s is %d times in the history", id, count[id])
		}
	}
	for _, id := range o.refused {
		if count[id] != 0 {
			o.violate("refused commit %s is in the history", id)
		}
	}
	for _, n := range o.cluster.nodes {
		s := n.config.Status()
		if s.Revision != uint64(len(o.cluster.written())) || !s.Fresh || len(s.Intents) > 0 || s.Unresolved != "" {
			o.violate("%s has not converged to revision %d: %+v", n.id, len(o.cluster.written()), s)
		}
	}
}
