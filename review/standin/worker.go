package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	maxEnds   = 500 // ends in one response
	service   = "raeumdienst"
)

// run is a run of a task on a worker.
type run struct {
	task   string
	number int
	begun  time.Time
	finish time.Time
	how    string // how it ends if nothing stops it
	start  *start
}

// ended is a row of EndedRuns.
type ended struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
	void   bool // the worker's lease lapsed before the end was taken note of
	start  *start
}

// worker is one life of a machine. It follows PROTOCOL.md, "Running tasks".
type worker struct {
	fleet   *fleet
	machine *machine
	id      string
	address string
	born    time.Time
	server  *http.Server
	cut     gate // closed: partitioned from the instances, not from the store

	mu       sync.Mutex
	up       bool
	draining bool
	leavesAt time.Time // at the earliest; valid while it drains
	token    uint64
	lease    time.Time
	running  map[string]*run
	closed   map[string]int // highest run stopped or ended, by task
	ends     []ended
	lastEnd  int64
	changed  chan struct{}
	seq      int
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// entry returns the worker's report about itself.
func (w *worker) entry() map[string]any {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	e := map[string]any{
		"Service": service, "Address": w.address, "Zone": w.machine.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": map[string]any{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Labels": w.machine.labels,
		"ClockMs": w.clock(), "Seq": w.seq, "born": w.born.UnixMilli(),
	}
	if w.draining {
		e["RemainingMs"] = max(0, time.Until(w.leavesAt).Milliseconds())
	}
	return e
}

// drain makes the worker report that it drains, and that it stays for the time at least.
func (w *worker) drain(remaining time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.leavesAt = time.Now().Add(remaining)
	w.mu.Unlock()
	w.fleet.record.line("worker %s drains and stays for %v at least", w.id, remaining)
	w.report()
}

// report writes the worker's entry.
func (w *worker) report() {
	w.mu.Lock()
	up := w.up
	w.seq++
	e := w.entry()
	w.mu.Unlock()
	if up {
		w.fleet.store.put("servers/"+w.id, e)
	}
}

// advance ends what is over. The caller holds the lock.
func (w *worker) advance() {
	now := time.Now()
	if !w.lease.IsZero() && now.After(w.lease) {
		for _, r := range w.sorted() {
			if r.finish.After(w.lease) {
				w.end(r, "lapsed", w.lease)
			}
		}
	}
	for _, r := range w.sorted() {
		if !now.Before(r.finish) {
			w.end(r, r.how, r.finish)
		}
	}
	if !w.lease.IsZero() && now.After(w.lease) {
		for n := range w.ends {
			if !w.ends[n].at.After(w.lease) {
				w.ends[n].void = true
				w.fleet.ledger.void(w.ends[n].start)
			}
		}
	}
}

func (w *worker) sorted() []*run {
	var list []*run
	for _, r := range w.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return a.finish.Compare(b.finish) })
	return list
}

func (w *worker) end(r *run, how string, at time.Time) {
	delete(w.running, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.number, how, at, false, r.start})
	w.fleet.ledger.ended(r.start, how, at)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task           string
	Run            int
	Spec           string
	UntilMs        int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       int64
	WaitMs         int64
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(o order) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				answer(rw, http.StatusBadRequest, nil)
				return
			}
			w.cut.pass(r)
			if r.Header.Get("X-Cyclamenyard-Expect-Instance") != w.id {
				answer(rw, http.StatusMisdirectedRequest, nil)
				return
			}
			status, body := w.fenced(o, f)
			if path == "/api/hold" && status == http.StatusOK {
				w.waitForEnd(r, o)
				body = w.lists()
			}
			w.cut.pass(r)
			answer(rw, status, body)
		})
	}
	handle("/api/run-start", w.runStart)
	handle("/api/run-stop", w.runStop)
	handle("/api/hold", w.hold)
	handle("/api/pace", func(order) (int, map[string]any) { return http.StatusOK, map[string]any{"ClockMs": w.clock()} })
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	return mux
}

// fenced executes an order unless the worker has seen a higher fencing token.
func (w *worker) fenced(o order, f func(order) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	w.advance()
	if o.FencingToken < w.token {
		return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence"}
	}
	w.token = o.FencingToken
	return f(o)
}

func (w *worker) extend(until int64) {
	end := w.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(holdMax); end.After(limit) {
		end = limit
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

func (w *worker) runStart(o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason}
	}
	if o.UntilMs <= w.clock() {
		return refuse("late")
	}
	w.extend(o.UntilMs)
	if r := w.running[o.Task]; r != nil {
		if r.number == o.Run {
			return http.StatusOK, map[string]any{"ClockMs": w.clock()}
		}
		return refuse("old")
	}
	if o.Run <= w.closed[o.Task] {
		return refuse("old")
	}
	length, how := w.fleet.outcome(o.Task, o.Run)
	now := time.Now()
	w.running[o.Task] = &run{o.Task, o.Run, now, now.Add(length), how, w.fleet.ledger.started(w, o)}
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

func (w *worker) runStop(o order) (int, map[string]any) {
	if r := w.running[o.Task]; r != nil && r.number <= o.Run {
		w.end(r, "stopped", time.Now())
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

func (w *worker) hold(o order) (int, map[string]any) {
	if o.UntilMs != 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		if !w.ends[0].void {
			w.fleet.ledger.noted(w.ends[0].start)
		}
		w.ends = w.ends[1:]
	}
	return http.StatusOK, nil
}

// waitForEnd waits up to WaitMs for an end that can be listed.
func (w *worker) waitForEnd(r *http.Request, o order) {
	deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for {
		w.mu.Lock()
		w.advance()
		next := deadline
		for _, r := range w.running {
			if r.finish.Before(next) {
				next = r.finish
			}
		}
		ready, changed := len(w.ends) > 0 || !w.up, w.changed
		w.mu.Unlock()
		if ready || !time.Now().Before(deadline) {
			return
		}
		select {
		case <-changed:
		case <-time.After(max(time.Millisecond, time.Until(next))):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	w.advance()
	running, ends := []any{}, []any{}
	for _, r := range w.running {
		percent := 100 * float64(time.Since(r.begun)) / float64(r.finish.Sub(r.begun))
		running = append(running, []any{r.task, r.number, "", int(min(percent, 99)), 1})
	}
	for n, e := range w.ends {
		if n == maxEnds {
			break
		}
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "EndedRuns": ends}
}

// machine holds one worker at a time.
type machine struct {
	name   string
	ip     string
	zone   string
	labels []string

	mu     sync.Mutex
	worker *worker
	lives  int
	state  string
}

func (m *machine) current() *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// fleet is the set of machines.
type fleet struct {
	store    *store
	record   *record
	ledger   *ledger
	machines []*machine
	// outcome returns how long a run works and how it ends.
	outcome func(task string, run int) (time.Duration, string)
	stop    chan struct{}
}

// run ends what is over on all workers until stop is closed.
func (f *fleet) run() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, m := range f.machines {
			if w := m.current(); w != nil {
				w.mu.Lock()
				if w.up {
					w.advance()
				}
				w.mu.Unlock()
			}
		}
	}
}

// boot starts a worker on the machine.
func (f *fleet) boot(m *machine) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, "0"))
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lives++
	m.state = "up"
	w := &worker{fleet: f, machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), address: listener.Addr().String(), born: time.Now(),
		up: true, running: map[string]*run{}, closed: map[string]int{}, changed: make(chan struct{})}
	m.worker = w
	m.mu.Unlock()
	w.server = &http.Server{Handler: w.handler()}
	go func() { _ = w.server.Serve(listener) }()
	f.record.line("worker %s is up on machine %s (%s)", w.id, m.name, m.zone)
	w.report()
	go w.beat()
	return nil
}

func (w *worker) beat() {
	for {
		select {
		case <-w.fleet.stop:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		up := w.up
		w.mu.Unlock()
		if !up {
			return
		}
		w.report()
	}
}

// kill ends the worker and everything on it at once. entry is whether its entry is removed at once.
func (f *fleet) kill(m *machine, why string, entry bool) {
	w := m.current()
	if w == nil {
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.advance()
	w.up = false
	for _, r := range w.running {
		f.ledger.ended(r.start, "gone", time.Now())
	}
	f.record.line("worker %s is gone: %s; runs lost: %d", w.id, why, len(w.running))
	w.running = map[string]*run{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = w.server.Close()
	if entry {
		f.store.remove("servers/" + w.id)
		return
	}
	go func() {
		select {
		case <-f.stop:
		case <-time.After(3 * heartbeat):
			f.store.remove("servers/" + w.id)
		}
	}()
}
