package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// endedKept is how long a worker lists ended tasks.
const endedKept = 10 * time.Minute

var errWorkerSilent = errors.New("worker does not answer")

// WorkerFaults are the fault switches of a Worker.
type WorkerFaults struct {
	Down             bool          // no call is answered
	FailAll          bool          // every task and request fails at once
	RefuseStart      bool          // reservations succeed, starts fail
	ReplyDelay       time.Duration // answers of short requests come this much later
	TruncateReplies  bool          // answers of short requests end early
	CloseBeforeReply bool          // connections close after the request was read and run
	WrongAttemptID   bool          // answers carry another attempt's id
	IgnoreStop       bool          // stops and lease ends are acknowledged but not obeyed until the lease ends
	LoseReplies      int           // answers of the next control calls are lost after the effect
}

// TaskPayload is the payload that the stand-in understands.
type TaskPayload struct {
	RunMillis int64  `json:"run_ms"`
	Fail      bool   `json:"fail"`
	Answer    string `json:"answer"`
}

// StartRecord notes one start of a task, for the checks of tests and the demo.
type StartRecord struct {
	Task      remote.TaskID
	Token     uint64
	StartedAt time.Time
	EndedAt   time.Time // zero while it runs
}

// Worker is an in-memory worker. It implements remote.Worker and, over HTTP, the run
// protocol for short requests.
type Worker struct {
	info structs.Worker

	mu     sync.Mutex
	faults WorkerFaults
	token  uint64
	tasks  map[remote.TaskID]*task
	slots  int // of short requests that run
	// RunTime is how long a short request takes.
	runTime  time.Duration
	starts   []StartRecord
	runs     map[string]int // executions by workspace/request id
	refusals int
	maxSlots int
	leaving  bool
	usage    structs.Resources
	usageAt  time.Time
	saved    map[string]time.Duration // checkpointed run time by job and task
}

type task struct {
	status  remote.TaskStatus
	expires time.Time // of the reservation or the lease
	ends    time.Time // when the work is done
	started time.Time
	payload TaskPayload
	record  int // index in starts
	ended   time.Time
}

// NewWorker returns an idle worker. A short request takes runTime.
func NewWorker(info structs.Worker, runTime time.Duration) *Worker {
	return &Worker{
		info: info, runTime: runTime,
		tasks: map[remote.TaskID]*task{},
		runs:  map[string]int{},
		saved: map[string]time.Duration{},
	}
}

// Info returns the worker's description.
func (w *Worker) Info() structs.Worker { return w.info }

// SetAddress sets the address of the worker's listener.
func (w *Worker) SetAddress(address string) { w.info.Address = address }

// SetFaults replaces the fault switches.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLeaving makes the worker say that it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Starts returns every task start so far.
func (w *Worker) Starts() []StartRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return slices.Clone(w.starts)
}

// Runs returns how often each short request ran, by "workspace/request id".
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// Refusals returns how many short requests were refused for lack of slots or a stale token.
func (w *Worker) Refusals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals
}

// begin plays an outage and returns with the lock held and time advanced.
func (w *Worker) begin() error {
	w.mu.Lock()
	if w.faults.Down {
		w.mu.Unlock()
		return errWorkerSilent
	}
	w.advance(time.Now())
	return nil
}

func (w *Worker) checkToken(token uint64) error {
	if token < w.token {
		return fmt.Errorf("%w: %d is below %d", remote.ErrStaleToken, token, w.token)
	}
	w.token = token
	return nil
}

// answer plays a lost answer.
func (w *Worker) answer() error {
	if w.faults.LoseReplies > 0 {
		w.faults.LoseReplies--
		return errWorkerSilent
	}
	return nil
}

// advance brings tasks to their state at now.
func (w *Worker) advance(now time.Time) {
	for id, t := range w.tasks {
		switch t.status.State {
		case remote.TaskReserved:
			if !t.expires.After(now) {
				delete(w.tasks, id)
			}
		case remote.TaskRunning, remote.TaskCheckpointed:
			w.advanceRunning(t, now)
		default:
			if now.Sub(t.ended) > endedKept {
				delete(w.tasks, id)
			}
		}
	}
	if now.Sub(w.usageAt) >= time.Second {
		w.usage, w.usageAt = w.used(), now
	}
}

func (w *Worker) advanceRunning(t *task, now time.Time) {
	done := !t.ends.After(now)
	lapsed := !t.expires.After(now)
	switch {
	case done && (!lapsed || t.ends.Before(t.expires)):
		state := remote.TaskSucceeded
		if t.payload.Fail || w.faults.FailAll {
			state = remote.TaskFailed
		}
		t.status.Answer = []byte(t.payload.Answer)
		w.finish(t, state, t.ends)
	case lapsed:
		w.finish(t, remote.TaskStopped, t.expires)
	}
}

func (w *Worker) finish(t *task, state remote.TaskState, at time.Time) {
	t.status.State = state
	t.ended = at
	w.starts[t.record].EndedAt = at
}

// used returns the room that reservations, tasks and short requests take.
func (w *Worker) used() structs.Resources {
	var used structs.Resources
	for _, t := range w.tasks {
		if t.holdsRoom() {
			used = used.Add(t.status.Resources)
		}
	}
	return used
}

func (t *task) holdsRoom() bool {
	switch t.status.State {
	case remote.TaskReserved, remote.TaskRunning, remote.TaskCheckpointed:
		return true
	}
	return false
}

// Reserve implements remote.Worker.
func (w *Worker) Reserve(_ context.Context, r remote.ReserveRequest) error {
	if err := w.begin(); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	if w.leaving {
		return remote.ErrLeaving
	}
	if t := w.tasks[r.Task]; t != nil {
		if t.status.State != remote.TaskReserved {
			return remote.ErrNoRoom
		}
		return w.answer()
	}
	free := w.info.Capacity.Sub(w.used())
	free.Slots -= w.slots
	if !r.Resources.Fits(free) {
		return remote.ErrNoRoom
	}
	w.tasks[r.Task] = &task{
		status:  remote.TaskStatus{Task: r.Task, State: remote.TaskReserved, Resources: r.Resources},
		expires: time.Now().Add(time.Duration(r.TTLMillis) * time.Millisecond),
	}
	return w.answer()
}

// Start implements remote.Worker.
func (w *Worker) Start(_ context.Context, r remote.StartRequest) error {
	if err := w.begin(); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	t := w.tasks[r.Task]
	if t == nil {
		return remote.ErrNoSuchTask
	}
	if t.status.State != remote.TaskReserved {
		return w.answer()
	}
	if w.faults.RefuseStart {
		delete(w.tasks, r.Task)
		return remote.ErrUnavailable
	}
	if len(r.Payload) > 0 {
		if err := json.Unmarshal(r.Payload, &t.payload); err != nil {
			t.payload = TaskPayload{}
		}
	}
	now := time.Now()
	run := time.Duration(t.payload.RunMillis) * time.Millisecond
	if r.Resume {
		run -= w.saved[savedKey(r.Task)]
	}
	if w.faults.FailAll {
		run = 0
	}
	t.status.State = remote.TaskRunning
	t.started = now
	t.ends = now.Add(run)
	t.expires = now.Add(time.Duration(r.LeaseMillis) * time.Millisecond)
	t.record = len(w.starts)
	w.starts = append(w.starts, StartRecord{Task: r.Task, Token: r.Token, StartedAt: now})
	return w.answer()
}

func savedKey(id remote.TaskID) string {
	return fmt.Sprintf("%s/%d", id.Job, id.Task)
}

// Renew implements remote.Worker.
func (w *Worker) Renew(_ context.Context, r remote.RenewRequest) (remote.RenewReply, error) {
	if err := w.begin(); err != nil {
		return remote.RenewReply{}, err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return remote.RenewReply{}, err
	}
	reply := remote.RenewReply{Leaving: w.leaving}
	for _, id := range r.Tasks {
		t := w.tasks[id]
		if t == nil {
			reply.Ended = append(reply.Ended, remote.TaskStatus{Task: id, State: remote.TaskUnknown})
			continue
		}
		if !t.holdsRoom() {
			reply.Ended = append(reply.Ended, t.status)
			continue
		}
		t.expires = time.Now().Add(time.Duration(r.LeaseMillis) * time.Millisecond)
	}
	return reply, w.answer()
}

// Release implements remote.Worker.
func (w *Worker) Release(_ context.Context, r remote.TaskRequest) error {
	if err := w.begin(); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	if t := w.tasks[r.Task]; t != nil && t.status.State == remote.TaskReserved {
		delete(w.tasks, r.Task)
	}
	return w.answer()
}

// Checkpoint implements remote.Worker.
func (w *Worker) Checkpoint(_ context.Context, r remote.TaskRequest) error {
	t, unlock, err := w.taskOf(r)
	if err != nil {
		return err
	}
	defer unlock()
	if t.holdsRoom() && t.status.State != remote.TaskReserved {
		w.saved[savedKey(r.Task)] += time.Since(t.started)
		t.started = time.Now()
		t.status.State = remote.TaskCheckpointed
	}
	return w.answer()
}

// Throttle implements remote.Worker.
func (w *Worker) Throttle(_ context.Context, r remote.ThrottleRequest) error {
	_, unlock, err := w.taskOf(remote.TaskRequest{Token: r.Token, Task: r.Task})
	if err != nil {
		return err
	}
	defer unlock()
	return w.answer()
}

// Stop implements remote.Worker. Stopping an unknown task succeeds.
func (w *Worker) Stop(_ context.Context, r remote.TaskRequest) error {
	t, unlock, err := w.taskOf(r)
	if errors.Is(err, remote.ErrNoSuchTask) {
		return nil
	}
	if err != nil {
		return err
	}
	defer unlock()
	switch {
	case t.status.State == remote.TaskReserved:
		delete(w.tasks, r.Task)
	case w.faults.IgnoreStop || !t.holdsRoom():
	default:
		w.finish(t, remote.TaskStopped, time.Now())
	}
	return w.answer()
}

// taskOf returns the task with the lock held, and how to release it.
func (w *Worker) taskOf(r remote.TaskRequest) (*task, func(), error) {
	if err := w.begin(); err != nil {
		return nil, nil, err
	}
	if err := w.checkToken(r.Token); err != nil {
		w.mu.Unlock()
		return nil, nil, err
	}
	t := w.tasks[r.Task]
	if t == nil {
		w.mu.Unlock()
		return nil, nil, remote.ErrNoSuchTask
	}
	return t, w.mu.Unlock, nil
}

// Status implements remote.Worker.
func (w *Worker) Status(_ context.Context, token uint64) (remote.WorkerStatus, error) {
	if err := w.begin(); err != nil {
		return remote.WorkerStatus{}, err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(token); err != nil {
		return remote.WorkerStatus{}, err
	}
	s := remote.WorkerStatus{Worker: w.info.ID, Leaving: w.leaving, Token: w.token, Usage: w.usage, SlotsUsed: w.slots}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.status)
	}
	slices.SortFunc(s.Tasks, func(a, b remote.TaskStatus) int {
		return compareTaskID(a.Task, b.Task)
	})
	return s, w.answer()
}
