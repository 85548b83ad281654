package standin

import (
	"cmp"
	"context"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
)

func compareTaskID(a, b remote.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Task, b.Task))
}

// admitRun takes a slot for a short request, or returns the reason for refusing it.
func (w *Worker) admitRun(token uint64) error {
	if err := w.beginCall(); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if err := w.checkToken(token); err != nil {
		w.refusals++
		return err
	}
	if w.leaving {
		return remote.ErrLeaving
	}
	if w.used().Slots+w.requestSlots >= w.info.Capacity.Slots {
		w.refusals++
		return remote.ErrNoCapacity
	}
	w.requestSlots++
	w.maxRequestSlots = max(w.maxRequestSlots, w.requestSlots)
	return nil
}

// execute runs an admitted short request and releases its slot.
func (w *Worker) execute(workspace, requestID string, body []byte) ([]byte, error) {
	w.mu.Lock()
	w.runs[workspace+"/"+requestID]++
	run, fail := w.runTime, w.faults.FailAll
	w.mu.Unlock()
	if run > 0 && !fail {
		time.Sleep(run)
	}
	w.mu.Lock()
	w.requestSlots--
	w.mu.Unlock()
	if fail {
		return nil, remote.ErrTaskFailed
	}
	return append([]byte("done:"), body...), nil
}

// Upstream calls stand-in workers directly, without sockets. The keys are their addresses. It
// implements remote.Upstream.
type Upstream map[string]*Worker

// Run implements remote.Upstream.
func (u Upstream) Run(ctx context.Context, address string, r remote.RunRequest) (remote.RunReply, error) {
	w := u[address]
	if w == nil {
		return remote.RunReply{}, errkind.New(errkind.UpstreamRefused, "worker %s: no connection", address)
	}
	if err := w.admitRun(r.Token); err != nil {
		if remote.NotExecuted(err) {
			return remote.RunReply{}, errkind.Wrap(errkind.UpstreamRefused, err, "worker %s", address)
		}
		return remote.RunReply{}, errkind.Wrap(errkind.UpstreamUncertain, err, "worker %s", address)
	}
	answer, err := w.execute(r.Workspace, r.RequestID, r.Body)
	if err != nil {
		return remote.RunReply{}, errkind.Wrap(errkind.UpstreamFailed, err, "worker %s", address)
	}
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	if f.ReplyDelay > 0 {
		if !wait.For(ctx, f.ReplyDelay) {
			return remote.RunReply{}, errkind.Wrap(errkind.UpstreamUncertain, ctx.Err(), "worker %s", address)
		}
	}
	if f.CloseBeforeReply {
		return remote.RunReply{}, errkind.New(errkind.UpstreamUncertain, "worker %s: connection closed", address)
	}
	if f.TruncateReplies || f.WrongAttemptID {
		return remote.RunReply{}, errkind.New(errkind.AnswerInvalid, "worker %s: answer does not match", address)
	}
	if int64(len(answer)) > r.MaxAnswer {
		return remote.RunReply{}, errkind.New(errkind.AnswerTooLarge, "worker %s: answer above %d bytes", address, r.MaxAnswer)
	}
	return remote.RunReply{Body: answer}, nil
}
