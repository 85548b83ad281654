package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// machineDownTime is the expected time for which a machine is down for upkeep.
	machineDownTime = 4 * time.Second
	// maxRunWait is the longest wait for the runs on a reserved machine before they are stopped.
	maxRunWait = 10 * time.Second
	// timeMargin is a factor on the estimated time for the machines that remain. If less time than
	// that is left for the wave, runs are stopped without waiting for them.
	timeMargin = 1.5
)

// Record is the stored progress of a wave. A machine is recorded before its order is sent.
type Record struct {
	StartedAt int64    `json:"b"`           // Unix milliseconds, by the clock of the first owner
	Ordered   []string `json:"o,omitempty"` // machines whose order may have been carried out
	Started   []string `json:"g,omitempty"` // machines that are confirmed to have begun their upkeep, or are gone
	Completed bool     `json:"c,omitempty"`
	Machines  []string `json:"m,omitempty"` // of the wave when it was completed; records of earlier versions lack it
	// Workers holds the worker that was on each machine in Ordered when its order was first sent. Records of
	// earlier versions lack it.
	Workers map[string]WorkerIncarnation `json:"w,omitempty"`
}

// covers reports whether a completed wave included the machines.
func (r *Record) covers(machines []string) bool {
	return !slices.ContainsFunc(machines, func(name string) bool {
		return !slices.Contains(r.Machines, name) && !slices.Contains(r.Started, name)
	})
}

// addOrdered records the machine and its worker before its order is first sent.
func (r *Record) addOrdered(machine string, worker WorkerIncarnation) {
	r.Ordered = append(r.Ordered, machine)
	if r.Workers == nil {
		r.Workers = map[string]WorkerIncarnation{}
	}
	r.Workers[machine] = worker
}

// removeOrdered removes a machine whose order has a definite answer, or was not sent.
func (r *Record) removeOrdered(machine string) {
	r.Ordered = slices.DeleteFunc(slices.Clone(r.Ordered), func(name string) bool { return name == machine })
	delete(r.Workers, machine)
}

// wave is a requested wave and its progress.
type wave struct {
	Wave
	record   Record
	revision uint64                 // revision of the stored record; 0 before the first write
	returned map[string]bool        // machines that were listed as up again after their upkeep
	reserved map[string]reservation // machines that go down next, by name
	// confirmedAt is when the cloud confirmed each machine's order. A list requested earlier may
	// still show the machine as up.
	confirmedAt map[string]time.Time
}

// reservation is a worker that gets no new work because its machine goes down next.
type reservation struct {
	worker string
	since  time.Time
}

// decision holds the next steps of a wave.
type decision struct {
	resend    []Machine // already ordered, without a definite answer: the order can be repeated
	send      []Machine // idle: the order can be sent
	stop      []Machine // their runs must be stopped
	completed bool
}

// plan decides the next steps of the wave from a list of machines that was requested at
// requestedAt.
func (w *wave) plan(machines []Machine, requestedAt, now time.Time, timeLeft time.Duration, load func(worker string) Load) decision {
	var d decision
	byName := map[string]Machine{}
	for _, m := range machines {
		byName[m.Name] = m
	}
	maps.DeleteFunc(w.reserved, func(name string, _ reservation) bool { return !slices.Contains(w.Machines, name) })
	down := 0
	var pending, ordered []Machine
	for _, name := range w.Machines {
		m, found := byName[name]
		switch {
		case slices.Contains(w.record.Started, name):
			if !w.returned[name] && (!found || m.Up && requestedAt.After(w.confirmedAt[name])) {
				w.returned[name] = true
			}
			if !w.returned[name] {
				down++
			}
		case slices.Contains(w.record.Ordered, name):
			down++
			ordered = append(ordered, Machine{Name: name, Worker: m.Worker, Up: m.Up})
		case found:
			pending = append(pending, m)
		}
	}
	d.completed = len(pending) == 0 && len(ordered) == 0
	late := timeLeft < w.timeNeeded(len(pending))
	for _, m := range ordered {
		w.planRepeat(&d, m, now, late, load(m.Worker))
	}
	w.selectMachines(&d, pending, w.Cap-down, now, late, load)
	return d
}

// timeNeeded estimates how long the wave takes for the machines that remain.
func (w *wave) timeNeeded(remaining int) time.Duration {
	return time.Duration(float64(machineDownTime) * float64(remaining) / float64(max(1, w.Cap)) * timeMargin)
}

// planRepeat plans the next step for a machine whose order may have been carried out. If it is up with the worker that the
// order was sent for, the order probably was not: a new owner, which has not reserved the worker, may find new runs there.
func (w *wave) planRepeat(d *decision, m Machine, now time.Time, late bool, l Load) {
	former := w.record.Workers[m.Name]
	switch {
	case !m.Up, m.Worker != former.ID, l.Incarnation > former.Number:
		d.resend = append(d.resend, m)
	case l.Blocked:
		delete(w.reserved, m.Name)
	case l.Idle:
		w.reserve(m, now)
		d.resend = append(d.resend, m)
	default:
		w.reserve(m, now)
		w.awaitRuns(d, m, now, late)
	}
}

// reserve reserves the machine's worker unless it is reserved already.
func (w *wave) reserve(m Machine, now time.Time) {
	if r, reserved := w.reserved[m.Name]; !reserved || r.worker != m.Worker {
		w.reserved[m.Name] = reservation{m.Worker, now}
	}
}

// awaitRuns has the runs on a reserved machine stopped if the wave is late or they have been waited for long enough.
func (w *wave) awaitRuns(d *decision, m Machine, now time.Time, late bool) {
	if late || now.Sub(w.reserved[m.Name].since) > maxRunWait {
		d.stop = append(d.stop, m)
	}
}

// selectMachines selects at most limit machines to go down next: idle ones first, then reserved
// ones, then those on which a stop loses the least work. Machines that are not selected lose
// their reservation.
func (w *wave) selectMachines(d *decision, pending []Machine, limit int, now time.Time, late bool, load func(worker string) Load) {
	type candidate struct {
		Machine
		Load
		reserved bool
	}
	var list []candidate
	for _, m := range pending {
		l := load(m.Worker)
		if !m.Up || l.Blocked || l.Draining {
			delete(w.reserved, m.Name)
			continue
		}
		_, reserved := w.reserved[m.Name]
		list = append(list, candidate{m, l, reserved})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(compareTrue(a.Idle, b.Idle), compareTrue(a.reserved, b.reserved), cmp.Compare(a.UnsavedCoreSeconds, b.UnsavedCoreSeconds))
	})
	for n, c := range list {
		if n >= limit {
			delete(w.reserved, c.Name)
			continue
		}
		w.reserve(c.Machine, now)
		if c.Idle {
			d.send = append(d.send, c.Machine)
			continue
		}
		w.awaitRuns(d, c.Machine, now, late)
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
