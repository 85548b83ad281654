package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings of a small deployment.
const (
	holdMaxMs = 10_000
	stopTime  = 150 * time.Millisecond // at most StopTimeoutMs, 200 ms
	heartbeat = 1500 * time.Millisecond
)

// taskRun is one run of a task on a worker.
type taskRun struct {
	task    string
	number  int
	worker  *worker
	saved   string
	percent float64
	pace    int
	stopAt  time.Time // when a stop takes effect; zero without one
}

// endedRun is a row of EndedRuns.
type endedRun struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// worker is one life of a machine.
type worker struct {
	fleet   *fleet
	id      string
	machine string
	address string
	rack    string
	zone    string
	born    int64
	started time.Time
	server  *http.Server
	stopped chan struct{}
	token   uint64
	until   int64 // end of the lease on its clock, milliseconds
	runs    map[string]*taskRun
	last    map[string]int // highest run that was stopped or has ended, by task
	ended   []endedRun
	lastEnd int64
	changed chan struct{}
	leaves  time.Time     // earliest time at which it leaves; zero while it does not drain
	report  chan struct{} // has its entry written at once
}

// fleet is a stand-in of all workers. Its behaviour follows the page on running tasks; hooks let a case disturb it.
type fleet struct {
	mu      sync.Mutex
	store   *store
	rec     *record
	workers map[string]*worker
	count   int

	// work returns how long a run works at full speed, and how it ends.
	work func(task string, run int) (time.Duration, string)
	// load returns the fifth entry of a row of Running.
	load func(r *taskRun) float64
	// before is called before an order is carried out. It returns false if the order gets no answer and is not carried out.
	before func(w *worker, call string, body map[string]any) bool
	// gang is how the names of the tasks of a gang begin; empty without one. Its members start together here.
	gang string
	// lasts reports whether a task runs until it is stopped.
	lasts func(task string) bool
}

func newFleet(s *store, rec *record) *fleet {
	f := &fleet{store: s, rec: rec, workers: map[string]*worker{}}
	go f.run()
	return f
}

// addWorker starts a worker on the machine.
func (f *fleet) addWorker(machine, zone, rack string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.rec.fail("worker: %v", err)
	}
	f.mu.Lock()
	f.count++
	now := time.Now()
	w := &worker{fleet: f, id: fmt.Sprintf("i-%04d", f.count), machine: machine, zone: zone, rack: rack, address: l.Addr().String(),
		born: now.UnixMilli(), started: now, stopped: make(chan struct{}), changed: make(chan struct{}), report: make(chan struct{}, 1),
		runs: map[string]*taskRun{}, last: map[string]int{}}
	f.workers[w.id] = w
	f.mu.Unlock()
	mux := http.NewServeMux()
	for path, call := range map[string]func(map[string]any) (int, map[string]any){
		"/api/run-start": w.start, "/api/run-stop": w.stop, "/api/pace": w.setPace,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, path, call) })
	}
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }() // ends when the worker is closed
	go w.beat()
	return w
}

// drain has the worker report that it drains and leave after the time. Its entry is removed then.
func (f *fleet) drain(w *worker, after time.Duration) {
	f.mu.Lock()
	w.leaves = time.Now().Add(after)
	f.mu.Unlock()
	w.report <- struct{}{}
	time.Sleep(after)
	f.rec.printf("worker %s: leaves", w.id)
	f.crash(w)
	f.store.delete("servers/" + w.id)
}

// crash ends the worker and everything that runs on it.
func (f *fleet) crash(w *worker) {
	f.mu.Lock()
	for _, r := range w.runs {
		f.rec.printf("worker %s: %s run %d ends with its worker", w.id, r.task, r.number)
		f.breakGang(r)
	}
	clear(w.runs)
	delete(f.workers, w.id)
	f.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close() // a crashed worker answers nothing
}

// breakGang ends the other members of the run's gang. The caller holds the lock.
func (f *fleet) breakGang(r *taskRun) {
	step := r.task[:strings.LastIndex(r.task, ".")+1]
	if f.gang == "" || !strings.HasPrefix(step, f.gang) {
		return
	}
	for _, w := range f.workers {
		for _, o := range w.runs {
			if w != r.worker && strings.HasPrefix(o.task, step) && o.number == r.number {
				w.end(o, "broken")
			}
		}
	}
}

// entry returns the worker's entry.
func (w *worker) entry(seq int) map[string]any {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	e := map[string]any{"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8,
		"State": "ready", "ColdLeftMs": 0, "Capacity": map[string]int{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Labels": []string{"a", w.rack},
		"ClockMs": w.clock(), "Seq": seq, "born": w.born}
	if !w.leaves.IsZero() {
		e["State"], e["RemainingMs"] = "draining", max(0, time.Until(w.leaves).Milliseconds())
	}
	return e
}

// beat writes the worker's entry.
func (w *worker) beat() {
	for seq := 1; ; seq++ {
		w.fleet.store.write("servers/"+w.id, w.entry(seq))
		select {
		case <-w.report:
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// serve carries out an order and answers it.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, path string, call func(map[string]any) (int, map[string]any)) {
	if r.Header.Get("X-Cyclamenyard-Expect-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var body map[string]any
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	f := w.fleet
	if f.before != nil && !f.before(w, path, body) {
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	status, reply := http.StatusConflict, map[string]any{"Reason": "fence"}
	if token := number(body, "FencingToken"); token >= w.token {
		w.token = token
		status, reply = call(body)
	}
	reply["ClockMs"] = w.clock()
	f.mu.Unlock()
	f.rec.printf("worker %s: %s %s -> %d %s", w.id, path, mustJSON(body), status, mustJSON(reply))
	answer(rw, status, reply)
}

// closed is a channel without a wait.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func number(body map[string]any, name string) uint64 {
	v, _ := body[name].(float64) // a missing value counts as 0
	return uint64(v)
}

func text(body map[string]any, name string) string {
	v, _ := body[name].(string) // a missing value counts as empty
	return v
}

func (w *worker) extend(body map[string]any) {
	until := int64(number(body, "UntilMs"))
	w.until = max(w.until, min(until, w.clock()+holdMaxMs))
}

func (w *worker) start(body map[string]any) (int, map[string]any) {
	task, run := text(body, "Task"), int(number(body, "Run"))
	w.extend(body)
	if r := w.runs[task]; r != nil && r.number == run {
		return http.StatusOK, map[string]any{}
	}
	if r := w.runs[task]; run <= w.last[task] || r != nil && r.number > run {
		return http.StatusConflict, map[string]any{"Reason": "old"}
	}
	if w.until <= w.clock() {
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	r := &taskRun{task: task, number: run, worker: w, saved: text(body, "LastCheckpoint"), pace: 100}
	w.runs[task] = r
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(body map[string]any) (int, map[string]any) {
	task, run := text(body, "Task"), int(number(body, "Run"))
	w.last[task] = max(w.last[task], run)
	if r := w.runs[task]; r != nil && r.number == run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) setPace(body map[string]any) (int, map[string]any) {
	if r := w.runs[text(body, "Task")]; r != nil && r.number == int(number(body, "Run")) {
		r.pace = int(number(body, "Percent"))
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease and answers with the lists, at once or when a run has ended.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Cyclamenyard-Expect-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var body map[string]any
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	f := w.fleet
	if f.before != nil && !f.before(w, "/api/hold", body) {
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	if token := number(body, "FencingToken"); token < w.token {
		reply := map[string]any{"Reason": "fence", "ClockMs": w.clock(), "born": w.born}
		f.mu.Unlock()
		answer(rw, http.StatusConflict, reply)
		return
	}
	w.token = number(body, "FencingToken")
	w.extend(body)
	w.see(int64(number(body, "LastSeen")))
	ended := w.changed
	if len(w.ended) > 0 {
		ended = closed
	}
	f.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(time.Duration(min(number(body, "WaitMs"), 2000)) * time.Millisecond):
	case <-w.stopped:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	f.mu.Lock()
	reply := w.lists()
	f.mu.Unlock()
	answer(rw, http.StatusOK, reply)
}

func (w *worker) see(n int64) {
	for len(w.ended) > 0 && w.ended[0].n <= n {
		w.ended = w.ended[1:]
	}
}

func (w *worker) lists() map[string]any {
	running, ended := []any{}, []any{}
	for _, r := range w.runs {
		load := 0.0
		if w.fleet.load != nil {
			load = w.fleet.load(r)
		}
		running = append(running, []any{r.task, r.number, r.saved, int(r.percent), load})
	}
	for n, e := range w.ended {
		if n == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "EndedRuns": ended}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.last[r.task] = max(w.last[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, r.task, r.number, how, r.saved})
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.rec.printf("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
}

// run lets the runs work, and ends them.
func (f *fleet) run() {
	const step = 20 * time.Millisecond
	for range time.Tick(step) {
		f.mu.Lock()
		for _, w := range f.workers {
			lapsed := len(w.runs) > 0 && w.until < w.clock()
			for _, r := range w.runs {
				f.advance(w, r, step, lapsed)
			}
		}
		f.mu.Unlock()
	}
}

func (f *fleet) advance(w *worker, r *taskRun, step time.Duration, lapsed bool) {
	switch {
	case lapsed:
		w.end(r, "lapsed")
		return
	case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
		w.end(r, "stopped")
		return
	case f.lasts != nil && f.lasts(r.task):
		r.percent = 100
		return
	}
	length, how := f.work(r.task, r.number)
	r.percent += 100 * float64(step) / float64(length) * float64(r.pace) / 100
	if r.percent >= 100 {
		w.end(r, how)
	}
}
