package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// leaseMargin is added to the end of a lease before its room counts as free: a renewal
// that was sent last may reach the worker later than its caller gave up.
const leaseMargin = time.Second

// errWithdrawn is the cause of a start that was given up by this owner.
var errWithdrawn = errors.New("start given up")

// member is one task of a gang during a start or a stop, with its worker.
type member struct {
	part
	client   remote.Worker
	sent     bool // a start was sent
	asked    bool // a checkpoint was asked for
	err      error
	startErr error
}

// gang carries out the start or the stop of one attempt. It works on copies: the applier
// gets the result when it is done.
type gang struct {
	o       *DataCentreOwner
	rec     structs.JobRecord
	members []member
	reached bool // every checkpoint is taken
}

func (g *gang) task(m *member) remote.TaskID {
	return remote.TaskID{Job: g.rec.Job.ID, Attempt: g.rec.Attempt, Task: m.Task}
}

func (g *gang) request(m *member) remote.TaskRequest {
	return remote.TaskRequest{Token: g.o.token, Task: g.task(m)}
}

// each runs f for all members at the same time, each with its own timeout.
func (g *gang) each(ctx context.Context, f func(ctx context.Context, m *member) error) error {
	var wg sync.WaitGroup
	for i := range g.members {
		m := &g.members[i]
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if m.err = f(callCtx, m); m.err != nil {
				g.o.workerRefused(m.Worker, m.err)
			}
		}()
	}
	wg.Wait()
	for i := range g.members {
		if err := g.members[i].err; err != nil {
			return fmt.Errorf("worker %s: %w", g.members[i].Worker, err)
		}
	}
	return nil
}

// start runs the steps of a start. Intent is the pending write of the intent record.
func (g *gang) start(ctx context.Context, intent <-chan error) error {
	if err := g.awaitIntent(ctx, intent); err != nil {
		return err
	}
	if err := g.allowed(ctx); err != nil {
		return err
	}
	reservedAt := time.Now()
	if err := g.each(ctx, g.reserve); err != nil {
		return fmt.Errorf("reserve: %w", err)
	}
	if err := g.allowed(ctx); err != nil {
		return err
	}
	if time.Since(reservedAt) >= ReservationTTL {
		return fmt.Errorf("reservations expired: %w", errWithdrawn)
	}
	// From here on a withdrawal does not interrupt the calls: their answers tell what runs.
	if err := g.each(context.WithoutCancel(ctx), g.startOne); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return nil
}

// awaitIntent waits for the intent record. An idempotent job may start without it,
// because a second run does no harm.
func (g *gang) awaitIntent(ctx context.Context, intent <-chan error) error {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-ctx.Done():
		return errWithdrawn
	case <-timer.C:
		err = errkind.New(errkind.StoreUnavailable, "the store does not answer in time")
	case err = <-intent:
	}
	// A refused write shows that the record is another one than this owner knows.
	refused := errors.Is(err, errRecordTaken) || errors.Is(err, remote.ErrConflict)
	if err != nil && (!g.rec.Job.Idempotent || refused) {
		return fmt.Errorf("intent: %w", err)
	}
	return nil
}

// allowed checks freshness and stage.
func (g *gang) allowed(ctx context.Context) error {
	if ctx.Err() != nil || g.o.fenced.Load() {
		return errWithdrawn
	}
	if err := g.o.o.Gate.MayStart(g.o.dc); err != nil {
		return fmt.Errorf("no start allowed: %w: %w", errWithdrawn, err)
	}
	return nil
}

func (g *gang) reserve(ctx context.Context, m *member) error {
	err := m.client.Reserve(ctx, remote.ReserveRequest{
		Token: g.o.token, Task: g.task(m), Resources: g.rec.Job.Shape.Task, TTLMillis: ReservationTTL.Milliseconds(),
	})
	m.reserved = err == nil || !remote.NotExecuted(err)
	m.leaseMax = time.Now().Add(ReservationTTL)
	return err
}

func (g *gang) startOne(ctx context.Context, m *member) error {
	m.sent = true
	m.leaseMin = time.Now().Add(WorkerLease)
	err := m.client.Start(ctx, remote.StartRequest{
		Token: g.o.token, Task: g.task(m), LeaseMillis: WorkerLease.Milliseconds(),
		Resume: g.rec.Checkpoints > 0, Payload: g.rec.Job.Payload,
	})
	m.startErr = err
	switch {
	case err == nil:
		m.state, m.reserved = partRunning, false
		m.leaseMax = time.Now().Add(WorkerLease)
	case remote.NotExecuted(err):
		m.state = partNotStarted
	default:
		m.state = partUnknown
		m.leaseMax = time.Now().Add(WorkerLease)
	}
	return err
}

// undo takes a failed start back. Reservations are released; once starts were sent, every
// part is stopped and its worker is asked what became of it.
func (g *gang) undo(ctx context.Context) {
	sent := false
	for i := range g.members {
		sent = sent || g.members[i].sent
	}
	if sent {
		wait := stopWait
		if !g.rec.Job.Idempotent && !g.ran() {
			// Whether the job ran decides its outcome: ask until no lease is left.
			wait = WorkerLease + leaseMargin
		}
		g.settle(ctx, time.Now().Add(wait))
		return
	}
	_ = g.each(ctx, func(ctx context.Context, m *member) error {
		if !m.reserved {
			return nil
		}
		err := m.client.Release(ctx, g.request(m))
		m.reserved = err != nil
		return err
	})
}

// ran reports whether some part surely ran.
func (g *gang) ran() bool {
	for i := range g.members {
		switch g.members[i].state {
		case partRunning, partSucceeded, partFailed, partGone:
			return true
		}
	}
	return false
}

// unsettled returns the workers on which a part may still run or hold room, and until when.
func (g *gang) unsettled() (workers []string, until time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.state == partRunning || m.state == partUnknown || (m.reserved && m.state == partNotStarted) {
			workers = append(workers, m.Worker)
			until = later(until, m.leaseMax.Add(leaseMargin))
		}
	}
	return workers, until
}

// settle stops every part and asks its worker what became of it, until all workers have
// answered or the deadline has passed.
func (g *gang) settle(ctx context.Context, deadline time.Time) {
	for {
		_ = g.each(ctx, g.stopOne)
		left := 0
		for i := range g.members {
			if s := g.members[i].state; s == partRunning || s == partUnknown {
				left++
			}
		}
		if left == 0 || !time.Now().Before(deadline) || g.o.fenced.Load() || !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// stopOne stops one part. A worker may acknowledge a stop and not obey it, so that only
// its status counts.
func (g *gang) stopOne(ctx context.Context, m *member) error {
	if m.state == partNotStarted && m.reserved {
		err := m.client.Release(ctx, g.request(m))
		m.reserved = err != nil
		return err
	}
	if m.state != partRunning && m.state != partUnknown {
		return nil
	}
	if err := m.client.Stop(ctx, g.request(m)); err != nil {
		return err
	}
	status, err := m.client.Status(ctx, g.o.token)
	if err != nil {
		return err
	}
	s := taskIn(status, g.task(m))
	switch s.State {
	case remote.TaskRunning, remote.TaskCheckpointed:
		m.state = partRunning // it ignored the stop
	case remote.TaskReserved:
		return m.client.Release(ctx, g.request(m))
	case remote.TaskSucceeded:
		m.state, m.answer = partSucceeded, s.Answer
	case remote.TaskUnknown:
		if m.state == partUnknown && g.rec.Phase == structs.PhaseStarting {
			m.state = partNotStarted // its start had no answer, and never took effect
		} else {
			m.state = partGone
		}
	case remote.TaskFailed:
		m.state = partFailed
	default:
		m.state = partGone
	}
	return nil
}

// taskIn returns what a worker's status says of a task.
func taskIn(status remote.WorkerStatus, id remote.TaskID) remote.TaskStatus {
	for _, s := range status.Tasks {
		if s.Task == id {
			return s
		}
	}
	return remote.TaskStatus{Task: id, State: remote.TaskUnknown}
}

// checkpoint asks every part to save its state and waits until all have, or the grace ends.
func (g *gang) checkpoint(ctx context.Context, grace time.Duration) {
	deadline := time.Now().Add(grace)
	for {
		err := g.each(ctx, func(ctx context.Context, m *member) error {
			status, err := m.client.Status(ctx, g.o.token)
			if err != nil {
				return err
			}
			switch taskIn(status, g.task(m)).State {
			case remote.TaskRunning:
				if !m.asked {
					err = m.client.Checkpoint(ctx, g.request(m))
					m.asked = err == nil
				}
				return cmp.Or(err, errNotSaved)
			case remote.TaskCheckpointed, remote.TaskSucceeded:
				return nil
			}
			return errNotSaved
		})
		if g.reached = err == nil; g.reached {
			return
		}
		if !time.Now().Add(pollInterval).Before(deadline) || g.o.fenced.Load() || !wait.For(ctx, pollInterval) {
			return
		}
	}
}

var errNotSaved = errors.New("checkpoint not taken yet")
