package upkeep

import (
	"cmp"
	"slices"
	"time"
)

const (
	// downTime is how long a machine is expected to be away for its upkeep.
	downTime = 4 * time.Second
	// patience is how long a machine with work may wait for its end before it is stopped.
	patience = 10 * time.Second
	// hurryFactor is by how much the time that a wave has left must exceed the time that it
	// needs for runs to be waited for.
	hurryFactor = 1.5
)

// Record is the stored progress of a wave. A machine stands in it before its order is sent.
type Record struct {
	StartedAt int64    `json:"b"`           // Unix milliseconds by the clock of the owner that took it
	Ordered   []string `json:"o,omitempty"` // machines whose order may have been carried out
	Started   []string `json:"g,omitempty"` // machines that have surely begun their upkeep, or are gone
	Completed bool     `json:"c,omitempty"`
}

// wave is a wave with its progress.
type wave struct {
	Wave
	record   Record
	revision uint64                 // of the stored record; 0 before the first write
	back     map[string]bool        // machines that were seen up after their upkeep
	next     map[string]reservation // machines that are next, by name
	// confirmed is when each machine's order was answered, to tell older lists from newer ones.
	confirmed map[string]time.Time
}

// reservation is a worker that gets no new work because its machine is next.
type reservation struct {
	worker string
	since  time.Time
}

// decision is what a wave does now.
type decision struct {
	repeat    []Machine // ordered, without an answer so far
	order     []Machine // idle: the order can be given
	vacate    []Machine // their runs are to be stopped
	completed bool
}

// plan decides the next steps of the wave from a list of machines that was asked for at asked.
func (w *wave) plan(machines []Machine, asked, now time.Time, left time.Duration, load func(worker string) Load) decision {
	var d decision
	listed := map[string]Machine{}
	for _, m := range machines {
		listed[m.Name] = m
	}
	down := 0
	var pending []Machine
	for _, name := range w.Machines {
		m, there := listed[name]
		switch {
		case slices.Contains(w.record.Started, name):
			if !w.back[name] && (!there || m.Up && asked.After(w.confirmed[name])) {
				w.back[name] = true
			}
			if !w.back[name] {
				down++
			}
		case slices.Contains(w.record.Ordered, name):
			down++
			d.repeat = append(d.repeat, Machine{Name: name, Worker: m.Worker})
		case there:
			pending = append(pending, m)
		}
	}
	d.completed = len(pending) == 0 && len(d.repeat) == 0
	w.choose(&d, pending, w.Cap-down, now, left, load)
	return d
}

// choose picks the machines that are next, at most room of them: idle ones first, then those on
// which a stop costs least. What was chosen before goes on unless it has become blocked.
func (w *wave) choose(d *decision, pending []Machine, room int, now time.Time, left time.Duration, load func(worker string) Load) {
	type candidate struct {
		Machine
		Load
		chosen bool
	}
	var list []candidate
	for _, m := range pending {
		l := load(m.Worker)
		if !m.Up || l.Blocked || l.Draining {
			delete(w.next, m.Name)
			continue
		}
		_, chosen := w.next[m.Name]
		list = append(list, candidate{m, l, chosen})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(compareTrue(a.Idle, b.Idle), compareTrue(a.chosen, b.chosen), cmp.Compare(a.UnsavedCoreSeconds, b.UnsavedCoreSeconds))
	})
	needed := time.Duration(float64(downTime) * float64(len(pending)) / float64(max(1, w.Cap)) * hurryFactor)
	for n, c := range list {
		if n >= room {
			delete(w.next, c.Name)
			continue
		}
		if !c.chosen {
			w.next[c.Name] = reservation{c.Worker, now}
		}
		switch {
		case c.Idle:
			d.order = append(d.order, c.Machine)
		case left < needed || now.Sub(w.next[c.Name].since) > patience:
			d.vacate = append(d.vacate, c.Machine)
		}
	}
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
