package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 10 * time.Second
	stopTimeout = 200 * time.Millisecond
)

// fleet holds the workers and checks the rules on what they run.
type fleet struct {
	rec *record
	st  *store

	mu        sync.Mutex
	workers   map[string]*worker   // by address
	active    map[string][]*run    // by task, on all workers that are up
	starts    map[string]int       // by task
	lastStart map[string]time.Time // by task
	awaySince map[string]time.Time // since when each task that lasts is not at work; zero while it is
	done      map[string]bool      // tasks with a run that has ended as done and was taken note of
}

func newFleet(rec *record, st *store) *fleet {
	return &fleet{rec: rec, st: st, workers: map[string]*worker{}, active: map[string][]*run{}, starts: map[string]int{}, lastStart: map[string]time.Time{}, awaySince: map[string]time.Time{}, done: map[string]bool{}}
}

type run struct {
	task    string
	number  int
	worker  *worker
	began   time.Time
	ends    time.Time // when its work is done
	stopped time.Time // when a stop was ordered; zero before
	lasts   bool      // until it is stopped
}

type ended struct {
	n      int64
	task   string
	number int
	how    string
	saved  string
	valid  bool // the lease has not lapsed since
}

// worker is one life of a worker.
type worker struct {
	f       *fleet
	id      string
	zone    string
	rack    string
	address string
	server  *http.Server
	done    chan struct{}

	// Guarded by fleet.mu.
	born    int64
	started time.Time
	up      bool
	seq     int
	token   uint64
	until   time.Time // end of the lease
	runs    map[string]*run
	closed  map[string]int // highest run that was stopped or has ended, by task
	list    []ended
	lastEnd int64
	changed chan struct{}
}

// start starts a worker at the address, or at a free one if it is empty.
func (f *fleet) start(id, zone, rack, address string, born int64) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{f: f, id: id, zone: zone, rack: rack, address: l.Addr().String(), done: make(chan struct{}), born: born, started: time.Now(), up: true,
		runs: map[string]*run{}, closed: map[string]int{}, changed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	f.mu.Lock()
	f.workers[w.address] = w
	f.mu.Unlock()
	f.rec.line("worker %s at %s starts, born %d", id, w.address, born)
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.advance()
	return w, nil
}

func (f *fleet) drop(r *run) {
	if r.lasts {
		f.awaySince[r.task] = time.Now()
	}
	list := f.active[r.task]
	for n, other := range list {
		if other == r {
			f.active[r.task] = append(list[:n:n], list[n+1:]...)
			return
		}
	}
}

// entry is what a worker writes about itself.
func (w *worker) entry() map[string]any {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.seq++
	return map[string]any{"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Labels": []string{"a", w.rack}, "ClockMs": w.clock(), "Seq": w.seq, "born": w.born}
}

func (w *worker) beat() {
	w.f.st.put("servers/"+w.id, w.entry())
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			w.f.st.put("servers/"+w.id, w.entry())
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// advance ends runs whose work is done, whose stop is due or whose lease has lapsed.
func (w *worker) advance() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
		}
		w.f.mu.Lock()
		now := time.Now()
		lapsed := now.After(w.until)
		if lapsed {
			for n := range w.list {
				w.list[n].valid = false
			}
		}
		for _, r := range w.runs {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case !r.stopped.IsZero() && now.Sub(r.stopped) > stopTimeout/2:
				w.end(r, "stopped")
			case now.After(r.ends):
				w.end(r, "done")
			}
		}
		w.f.mu.Unlock()
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.f.drop(r)
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.lastEnd++
	w.list = append(w.list, ended{w.lastEnd, r.task, r.number, how, "", how != "lapsed"})
	w.f.rec.line("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task           string
	Run            int
	Spec           string
	UntilMs        int64
	FencingToken   uint64
	LastCheckpoint string
	LastSeen       int64
	WaitMs         int64
	Percent        int
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Cyclamenyard-Expect-Instance"); want != "" && want != w.id {
		w.f.rec.line("worker %s: %s for %s refused: another incarnation", w.id, r.URL.Path, want)
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(rw, http.StatusBadRequest, nil)
			return
		}
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up {
		return
	}
	if o.FencingToken < w.token {
		reply(rw, http.StatusConflict, w.answer(map[string]any{"Reason": "fence"}))
		return
	}
	w.token = o.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		w.startRun(rw, o)
	case "/api/run-stop":
		w.closed[o.Task] = max(w.closed[o.Task], o.Run)
		if run := w.runs[o.Task]; run != nil && run.number == o.Run && run.stopped.IsZero() {
			w.f.checkStop(run)
			run.stopped = time.Now()
		}
		w.f.rec.line("worker %s: stop of %s run %d", w.id, o.Task, o.Run)
		reply(rw, http.StatusOK, w.answer(nil))
	case "/api/pace":
		reply(rw, http.StatusOK, w.answer(nil))
	case "/api/hold":
		w.hold(rw, r, o)
	default:
		reply(rw, http.StatusNotFound, nil)
	}
}

func (w *worker) answer(more map[string]any) map[string]any {
	a := map[string]any{"ClockMs": w.clock(), "born": w.born}
	for key, value := range more {
		a[key] = value
	}
	return a
}

func (w *worker) extend(untilMs int64) {
	left := min(time.Duration(untilMs-w.clock())*time.Millisecond, holdMax)
	if until := time.Now().Add(left); until.After(w.until) {
		w.until = until
	}
}

func (w *worker) startRun(rw http.ResponseWriter, o order) {
	if o.UntilMs <= w.clock() {
		reply(rw, http.StatusConflict, w.answer(map[string]any{"Reason": "late"}))
		return
	}
	w.extend(o.UntilMs)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		reply(rw, http.StatusOK, w.answer(nil))
		return
	}
	if o.Run <= w.closed[o.Task] {
		reply(rw, http.StatusConflict, w.answer(map[string]any{"Reason": "old"}))
		return
	}
	work := 5 * time.Second
	if ms, ok := strings.CutPrefix(o.Spec, "work_ms="); ok {
		n, _ := strconv.Atoi(ms)
		work = time.Duration(n) * time.Millisecond
	}
	r := &run{task: o.Task, number: o.Run, worker: w, began: time.Now(), ends: time.Now().Add(work)}
	if r.lasts = o.Spec == "lasts"; r.lasts {
		r.ends = time.Now().Add(24 * time.Hour)
		time.AfterFunc(startup, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.runs[o.Task] == r {
				w.f.awaySince[o.Task] = time.Time{}
			}
		})
	}
	w.runs[o.Task] = r
	w.f.starts[o.Task]++
	w.f.lastStart[o.Task] = r.began
	w.f.rec.line("worker %s: %s run %d starts", w.id, o.Task, o.Run)
	for _, other := range w.f.active[o.Task] {
		w.f.rec.broken("TWICE", "%s: run %d on %s starts while run %d is at work on %s, which is up", o.Task, o.Run, w.id, other.number, other.worker.id)
	}
	if w.f.done[o.Task] {
		w.f.rec.broken("TWICE", "%s: run %d starts on %s after an end as done was taken note of", o.Task, o.Run, w.id)
	}
	w.f.active[o.Task] = append(w.f.active[o.Task], r)
	reply(rw, http.StatusOK, w.answer(nil))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.UntilMs != 0 {
		w.extend(o.UntilMs)
	}
	kept := w.list[:0:0]
	for _, e := range w.list {
		if e.n > o.LastSeen {
			kept = append(kept, e)
		} else if e.how == "done" && e.valid {
			w.f.done[e.task] = true
		}
	}
	w.list = kept
	deadline := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.list) == 0 && w.up; {
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-w.done:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.f.mu.Lock()
	}
	if !w.up {
		return
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		if r.lasts {
			running = append(running, []any{r.task, r.number, "", int(min(100, 100*time.Since(r.began)/startup))})
			continue
		}
		percent := 100 * float64(time.Since(r.began)) / float64(r.ends.Sub(r.began))
		running = append(running, []any{r.task, r.number, "", int(percent)})
	}
	for _, e := range w.list {
		if len(ends) == 500 {
			break
		}
		ends = append(ends, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	reply(rw, http.StatusOK, w.answer(map[string]any{"Running": running, "EndedRuns": ends}))
}

// running returns the number of runs on all workers.
func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, list := range f.active {
		n += len(list)
	}
	return n
}

// runningOn returns the number of runs on the worker.
func (f *fleet) runningOn(w *worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(w.runs)
}

// newFleetOf starts n workers in four zones, four a rack.
func newFleetOf(rec *record, st *store, n int) (*fleet, []*worker, error) {
	f := newFleet(rec, st)
	var list []*worker
	for k := range n {
		w, err := f.start(fmt.Sprintf("i-%08x", 0x7f3a91c2+k*7919), zones[k%len(zones)], fmt.Sprintf("r%d", k/4), "", time.Now().UnixMilli())
		if err != nil {
			return nil, nil, err
		}
		list = append(list, w)
	}
	return f, list, nil
}

// crash ends the worker without a word. Its entry stays.
func (w *worker) crash() {
	w.f.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		w.f.drop(r)
	}
	w.runs = map[string]*run{}
	w.f.mu.Unlock()
	close(w.done)
	_ = w.server.Close()
	w.f.rec.line("worker %s is gone", w.id)
}
