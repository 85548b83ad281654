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

// leaseMargin is added to the expiry of a lease before its capacity counts as free, because the
// last renewal may reach the worker after the call has timed out here.
const leaseMargin = time.Second

// errStartCancelled is the cause when this owner cancels a start.
var errStartCancelled = errors.New("start given up")

// member is one task of a gang during a start or a stop, with the client of its worker.
type member struct {
	part
	client         remote.Worker
	startSent      bool
	checkpointSent bool
	err            error
	startErr       error
}

// gang executes the start or the stop of one attempt. It works on copies, and the event loop
// receives the result at the end.
type gang struct {
	owner        *DataCentreOwner
	rec          structs.JobRecord
	members      []member
	checkpointed bool // all parts have taken their checkpoint or succeeded
}

func (g *gang) task(m *member) remote.TaskID {
	return remote.TaskID{Job: g.rec.Job.ID, Attempt: g.rec.Attempt, Task: m.Task}
}

func (g *gang) request(m *member) remote.TaskRequest {
	return remote.TaskRequest{Token: g.owner.token, Task: g.task(m)}
}

// forEachMember runs f for all members concurrently, each call with its own timeout.
func (g *gang) forEachMember(ctx context.Context, f func(ctx context.Context, m *member) error) error {
	var wg sync.WaitGroup
	for i := range g.members {
		m := &g.members[i]
		wg.Add(1)
		go func() {
			defer wg.Done()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if m.err = f(callCtx, m); m.err != nil {
				g.owner.checkStaleToken(m.Worker, m.err)
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

// start executes the steps of a start. intent receives the result of writing the intent record.
func (g *gang) start(ctx context.Context, intent <-chan error) error {
	if err := g.awaitIntent(ctx, intent); err != nil {
		return err
	}
	if err := g.checkStartAllowed(ctx); err != nil {
		return err
	}
	reservedAt := time.Now()
	if err := g.forEachMember(ctx, g.reserve); err != nil {
		return fmt.Errorf("reserve: %w", err)
	}
	if err := g.checkStartAllowed(ctx); err != nil {
		return err
	}
	if time.Since(reservedAt) >= ReservationTTL {
		return fmt.Errorf("reservations expired: %w", errStartCancelled)
	}
	// From here on a cancellation does not interrupt the calls: their answers show what runs.
	if err := g.forEachMember(context.WithoutCancel(ctx), g.startTask); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return nil
}

// awaitIntent waits until the intent record is written. An idempotent job may start without it,
// because running it twice is safe.
func (g *gang) awaitIntent(ctx context.Context, intent <-chan error) error {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-ctx.Done():
		return errStartCancelled
	case <-timer.C:
		err = errkind.New(errkind.StoreUnavailable, "the store does not answer in time")
	case err = <-intent:
	}
	// A conflict shows that the record in the store differs from the one this owner last read.
	refused := errors.Is(err, errRecordSuperseded) || errors.Is(err, remote.ErrConflict)
	if err != nil && (!g.rec.Job.Idempotent || refused) {
		return fmt.Errorf("intent: %w", err)
	}
	return nil
}

// checkStartAllowed returns an error if the start was cancelled, this owner is fenced, or the start
// gate refuses.
func (g *gang) checkStartAllowed(ctx context.Context) error {
	if ctx.Err() != nil || g.owner.fenced.Load() {
		return errStartCancelled
	}
	if err := g.owner.opts.Gate.MayStart(g.owner.dc); err != nil {
		return fmt.Errorf("no start allowed: %w: %w", errStartCancelled, err)
	}
	return nil
}

func (g *gang) reserve(ctx context.Context, m *member) error {
	err := m.client.Reserve(ctx, remote.ReserveRequest{
		Token: g.owner.token, Task: g.task(m), Resources: g.rec.Job.Shape.Task, TTLMillis: ReservationTTL.Milliseconds(),
	})
	m.reserved = err == nil || !remote.NotExecuted(err)
	m.latestExpiry = time.Now().Add(ReservationTTL)
	return err
}

func (g *gang) startTask(ctx context.Context, m *member) error {
	m.startSent = true
	m.earliestExpiry = time.Now().Add(WorkerLease)
	err := m.client.Start(ctx, remote.StartRequest{
		Token: g.owner.token, Task: g.task(m), LeaseMillis: WorkerLease.Milliseconds(),
		Resume: g.rec.Checkpoints > 0, Payload: g.rec.Job.Payload,
	})
	m.startErr = err
	switch {
	case err == nil:
		m.state, m.reserved = partRunning, false
		m.latestExpiry = time.Now().Add(WorkerLease)
	case remote.NotExecuted(err):
		m.state = partNotStarted
	default:
		m.state = partUnknown
		m.latestExpiry = time.Now().Add(WorkerLease)
	}
	return err
}

// rollBack undoes a failed start. If no start was sent, the reservations are released. Otherwise
// every part is stopped and its worker is queried for the result.
func (g *gang) rollBack(ctx context.Context) {
	sent := false
	for i := range g.members {
		sent = sent || g.members[i].startSent
	}
	if sent {
		wait := stopTimeout
		if !g.rec.Job.Idempotent && !g.hasRun() {
			// The outcome depends on whether the job ran: query until all leases have expired.
			wait = WorkerLease + leaseMargin
		}
		g.stopAll(ctx, time.Now().Add(wait))
		return
	}
	_ = g.forEachMember(ctx, func(ctx context.Context, m *member) error {
		if !m.reserved {
			return nil
		}
		err := m.client.Release(ctx, g.request(m))
		m.reserved = err != nil
		return err
	})
}

// hasRun reports whether at least one part is known to have run.
func (g *gang) hasRun() bool {
	for i := range g.members {
		switch g.members[i].state {
		case partRunning, partSucceeded, partFailed, partLost:
			return true
		}
	}
	return false
}

// unresolved returns the workers on which a part may still run or hold a reservation, and until when.
func (g *gang) unresolved() (workers []string, until time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.state == partRunning || m.state == partUnknown || (m.reserved && m.state == partNotStarted) {
			workers = append(workers, m.Worker)
			until = later(until, m.latestExpiry.Add(leaseMargin))
		}
	}
	return workers, until
}

// stopAll stops every part and queries its worker for the result. It retries until the result of
// every part is known or the deadline has passed.
func (g *gang) stopAll(ctx context.Context, deadline time.Time) {
	for {
		_ = g.forEachMember(ctx, g.stopTask)
		remaining := 0
		for i := range g.members {
			if s := g.members[i].state; s == partRunning || s == partUnknown {
				remaining++
			}
		}
		if remaining == 0 || !time.Now().Before(deadline) || g.owner.fenced.Load() || !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// stopTask stops one part. A worker may acknowledge a stop without executing it, so the result is
// taken from its status only.
func (g *gang) stopTask(ctx context.Context, m *member) error {
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
	status, err := m.client.Status(ctx, g.owner.token)
	if err != nil {
		return err
	}
	s := taskStatusOf(status, g.task(m))
	switch s.State {
	case remote.TaskRunning, remote.TaskCheckpointed:
		m.state = partRunning // the stop was not executed
	case remote.TaskReserved:
		return m.client.Release(ctx, g.request(m))
	case remote.TaskSucceeded:
		m.state, m.answer = partSucceeded, s.Answer
	case remote.TaskUnknown:
		if m.state == partUnknown && g.rec.Phase == structs.PhaseStarting {
			m.state = partNotStarted // its start was not answered and did not take effect
		} else {
			m.state = partLost
		}
	case remote.TaskFailed:
		m.state = partFailed
	default:
		m.state = partLost
	}
	return nil
}

// taskStatusOf returns the status of a task from the status of its worker.
func taskStatusOf(status remote.WorkerStatus, id remote.TaskID) remote.TaskStatus {
	for _, s := range status.Tasks {
		if s.Task == id {
			return s
		}
	}
	return remote.TaskStatus{Task: id, State: remote.TaskUnknown}
}

// checkpoint requests a checkpoint from every part and waits until all have taken it or the grace
// period ends.
func (g *gang) checkpoint(ctx context.Context, grace time.Duration) {
	deadline := time.Now().Add(grace)
	for {
		err := g.forEachMember(ctx, func(ctx context.Context, m *member) error {
			status, err := m.client.Status(ctx, g.owner.token)
			if err != nil {
				return err
			}
			switch taskStatusOf(status, g.task(m)).State {
			case remote.TaskRunning:
				if !m.checkpointSent {
					err = m.client.Checkpoint(ctx, g.request(m))
					m.checkpointSent = err == nil
				}
				return cmp.Or(err, errCheckpointPending)
			case remote.TaskCheckpointed, remote.TaskSucceeded:
				return nil
			}
			return errCheckpointPending
		})
		if g.checkpointed = err == nil; g.checkpointed {
			return
		}
		if !time.Now().Add(pollInterval).Before(deadline) || g.owner.fenced.Load() || !wait.For(ctx, pollInterval) {
			return
		}
	}
}

var errCheckpointPending = errors.New("checkpoint not taken yet")
