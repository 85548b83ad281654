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

// endedRetention is how long a worker reports ended tasks.
const endedRetention = 10 * time.Minute

var errWorkerNoAnswer = errors.New("worker does not answer")

// WorkerFaults selects the faults that a Worker injects.
type WorkerFaults struct {
	Down             bool          // calls fail and have no effect
	FailAll          bool          // tasks and short requests fail immediately
	RefuseStart      bool          // reservations succeed, starts fail and release them
	ReplyDelay       time.Duration // delay of replies to short requests
	TruncateReplies  bool          // replies to short requests are cut off in the body
	CloseBeforeReply bool          // connections close after a short request ran
	WrongAttemptID   bool          // replies to short requests carry the id of another attempt
	IgnoreStop       bool          // stops are acknowledged, but the task runs until its lease expires
	LoseReplies      int           // number of further control calls that take effect but whose reply is lost
}

// TaskPayload is the payload format of a stand-in task.
type TaskPayload struct {
	RunMillis int64  `json:"run_ms"`
	Fail      bool   `json:"fail"`
	Answer    string `json:"answer"`
}

// StartRecord records a start of a task, for checks in tests and the demo.
type StartRecord struct {
	Task      remote.TaskID
	Token     uint64
	StartedAt time.Time
	EndedAt   time.Time // zero while the task runs
}

// Worker is an in-memory worker. It implements remote.Worker and, over HTTP, the run
// protocol for short requests.
type Worker struct {
	info structs.Worker

	mu              sync.Mutex
	faults          WorkerFaults
	token           uint64
	tasks           map[remote.TaskID]*task
	requestSlots    int           // held by running short requests
	runTime         time.Duration // of a short request
	starts          []StartRecord
	runs            map[string]int // number of executions, by workspace/request-id
	refusals        int
	maxRequestSlots int
	leaving         bool
	usage           structs.Resources
	usageAt         time.Time
	checkpointedRun map[string]time.Duration // run time up to the last checkpoint, by job and task
}

type task struct {
	status         remote.TaskStatus
	expiresAt      time.Time // end of the reservation or lease
	finishesAt     time.Time // scheduled end of the work
	checkpointedAt time.Time // last checkpoint, or the start
	payload        TaskPayload
	startIndex     int // index in starts
	endedAt        time.Time
}

// NewWorker returns an idle worker whose short requests take runTime.
func NewWorker(info structs.Worker, runTime time.Duration) *Worker {
	return &Worker{
		info: info, runTime: runTime,
		tasks:           map[remote.TaskID]*task{},
		runs:            map[string]int{},
		checkpointedRun: map[string]time.Duration{},
	}
}

// Info returns the worker as the platform lists it.
func (w *Worker) Info() structs.Worker { return w.info }

// SetAddress sets the address of the worker's listener.
func (w *Worker) SetAddress(address string) { w.info.Address = address }

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLeaving sets whether the worker reports that it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Starts returns all task starts so far.
func (w *Worker) Starts() []StartRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTasks(time.Now())
	return slices.Clone(w.starts)
}

// Runs returns the number of executions of each short request, by "workspace/request-id".
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// Refusals returns the number of short requests refused because of missing slots or a stale token.
func (w *Worker) Refusals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals
}

// beginCall fails during an injected outage; otherwise it updates the tasks and returns with w.mu held.
func (w *Worker) beginCall() error {
	w.mu.Lock()
	if w.faults.Down {
		w.mu.Unlock()
		return errWorkerNoAnswer
	}
	w.advanceTasks(time.Now())
	return nil
}

func (w *Worker) checkToken(token uint64) error {
	if token < w.token {
		return fmt.Errorf("%w: %d is below %d", remote.ErrStaleToken, token, w.token)
	}
	w.token = token
	return nil
}

// replyError returns an error if the reply to this call is to be lost.
func (w *Worker) replyError() error {
	if w.faults.LoseReplies > 0 {
		w.faults.LoseReplies--
		return errWorkerNoAnswer
	}
	return nil
}

// advanceTasks updates the states of all tasks to now.
func (w *Worker) advanceTasks(now time.Time) {
	for id, t := range w.tasks {
		switch t.status.State {
		case remote.TaskReserved:
			if !t.expiresAt.After(now) {
				delete(w.tasks, id)
			}
		case remote.TaskRunning, remote.TaskCheckpointed:
			w.advanceRunningTask(t, now)
		default:
			if now.Sub(t.endedAt) > endedRetention {
				delete(w.tasks, id)
			}
		}
	}
	if now.Sub(w.usageAt) >= time.Second {
		w.usage, w.usageAt = w.used(), now
	}
}

func (w *Worker) advanceRunningTask(t *task, now time.Time) {
	done := !t.finishesAt.After(now)
	expired := !t.expiresAt.After(now)
	switch {
	case done && (!expired || t.finishesAt.Before(t.expiresAt)):
		state := remote.TaskSucceeded
		if t.payload.Fail || w.faults.FailAll {
			state = remote.TaskFailed
		}
		t.status.Answer = []byte(t.payload.Answer)
		w.finish(t, state, t.finishesAt)
	case expired:
		w.finish(t, remote.TaskStopped, t.expiresAt)
	}
}

func (w *Worker) finish(t *task, state remote.TaskState, at time.Time) {
	t.status.State = state
	t.endedAt = at
	w.starts[t.startIndex].EndedAt = at
}

// used returns the resources held by reservations and running tasks. Slots of short requests are
// counted apart.
func (w *Worker) used() structs.Resources {
	var used structs.Resources
	for _, t := range w.tasks {
		if t.holdsResources() {
			used = used.Add(t.status.Resources)
		}
	}
	return used
}

func (t *task) holdsResources() bool {
	switch t.status.State {
	case remote.TaskReserved, remote.TaskRunning, remote.TaskCheckpointed:
		return true
	}
	return false
}

// Reserve implements remote.Worker.
func (w *Worker) Reserve(_ context.Context, r remote.ReserveRequest) error {
	if err := w.beginCall(); err != nil {
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
			return remote.ErrNoCapacity
		}
		return w.replyError()
	}
	free := w.info.Capacity.Sub(w.used())
	free.Slots -= w.requestSlots
	if !r.Resources.Fits(free) {
		return remote.ErrNoCapacity
	}
	w.tasks[r.Task] = &task{
		status:    remote.TaskStatus{Task: r.Task, State: remote.TaskReserved, Resources: r.Resources},
		expiresAt: time.Now().Add(time.Duration(r.TTLMillis) * time.Millisecond),
	}
	return w.replyError()
}

// Start implements remote.Worker.
func (w *Worker) Start(_ context.Context, r remote.StartRequest) error {
	if err := w.beginCall(); err != nil {
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
		return w.replyError()
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
		run -= w.checkpointedRun[checkpointKey(r.Task)]
	}
	if w.faults.FailAll {
		run = 0
	}
	t.status.State = remote.TaskRunning
	t.checkpointedAt = now
	t.finishesAt = now.Add(run)
	t.expiresAt = now.Add(time.Duration(r.LeaseMillis) * time.Millisecond)
	t.startIndex = len(w.starts)
	w.starts = append(w.starts, StartRecord{Task: r.Task, Token: r.Token, StartedAt: now})
	return w.replyError()
}

func checkpointKey(id remote.TaskID) string {
	return fmt.Sprintf("%s/%d", id.Job, id.Task)
}

// Renew implements remote.Worker.
func (w *Worker) Renew(_ context.Context, r remote.RenewRequest) (remote.RenewReply, error) {
	if err := w.beginCall(); err != nil {
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
		if !t.holdsResources() {
			reply.Ended = append(reply.Ended, t.status)
			continue
		}
		t.expiresAt = time.Now().Add(time.Duration(r.LeaseMillis) * time.Millisecond)
	}
	return reply, w.replyError()
}

// Release implements remote.Worker.
func (w *Worker) Release(_ context.Context, r remote.TaskRequest) error {
	if err := w.beginCall(); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	if t := w.tasks[r.Task]; t != nil && t.status.State == remote.TaskReserved {
		delete(w.tasks, r.Task)
	}
	return w.replyError()
}

// Checkpoint implements remote.Worker.
func (w *Worker) Checkpoint(_ context.Context, r remote.TaskRequest) error {
	t, unlock, err := w.lockTask(r)
	if err != nil {
		return err
	}
	defer unlock()
	if t.holdsResources() && t.status.State != remote.TaskReserved {
		w.checkpointedRun[checkpointKey(r.Task)] += time.Since(t.checkpointedAt)
		t.checkpointedAt = time.Now()
		t.status.State = remote.TaskCheckpointed
	}
	return w.replyError()
}

// Throttle implements remote.Worker.
func (w *Worker) Throttle(_ context.Context, r remote.ThrottleRequest) error {
	_, unlock, err := w.lockTask(remote.TaskRequest{Token: r.Token, Task: r.Task})
	if err != nil {
		return err
	}
	defer unlock()
	return w.replyError()
}

// Stop implements remote.Worker. It succeeds for an unknown task.
func (w *Worker) Stop(_ context.Context, r remote.TaskRequest) error {
	t, unlock, err := w.lockTask(r)
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
	case w.faults.IgnoreStop || !t.holdsResources():
	default:
		w.finish(t, remote.TaskStopped, time.Now())
	}
	return w.replyError()
}

// lockTask returns the task with w.mu held, and the function that releases w.mu.
func (w *Worker) lockTask(r remote.TaskRequest) (*task, func(), error) {
	if err := w.beginCall(); err != nil {
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
	if err := w.beginCall(); err != nil {
		return remote.WorkerStatus{}, err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(token); err != nil {
		return remote.WorkerStatus{}, err
	}
	s := remote.WorkerStatus{Worker: w.info.ID, Leaving: w.leaving, Token: w.token, Usage: w.usage, SlotsUsed: w.requestSlots}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.status)
	}
	slices.SortFunc(s.Tasks, func(a, b remote.TaskStatus) int {
		return compareTaskID(a.Task, b.Task)
	})
	return s, w.replyError()
}
