package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// maxBody is the largest body that the stand-ins read, in bytes. A store value in base64 fits.
const maxBody = 4 << 20

// route registers a handler that decodes a JSON body, calls f and encodes its result. If f reports
// that there is no reply, the handler closes the connection.
func route[In, Out any](mux *http.ServeMux, path string, f func(context.Context, In) (Out, error)) {
	mux.HandleFunc("POST /v1/"+path, func(rw http.ResponseWriter, req *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBody)).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(req.Context(), in)
		if errors.Is(err, errNoAnswer) || errors.Is(err, errWorkerNoAnswer) {
			panic(http.ErrAbortHandler)
		}
		writeReply(rw, out, err)
	})
}

func writeReply(rw http.ResponseWriter, out any, err error) {
	rw.Header().Set("Content-Type", "application/json")
	if err != nil {
		rw.WriteHeader(http.StatusConflict)
		out = remote.ErrorReply{Code: remote.ErrorCode(err), Message: err.Error()}
	}
	// Encode fails if the caller closed the connection.
	_ = json.NewEncoder(rw).Encode(out)
}

type empty struct{}

// PlatformHandler serves the store and the list as JSON over HTTP.
func PlatformHandler(s *Store, l *List) http.Handler {
	mux := http.NewServeMux()
	route(mux, "store/get", func(ctx context.Context, b remote.GetBody) (remote.KV, error) { return s.Get(ctx, b.Key) })
	route(mux, "store/list", func(ctx context.Context, b remote.ListBody) ([]remote.KV, error) {
		return s.List(ctx, b.Prefix, b.After, b.Limit)
	})
	route(mux, "store/swap", func(ctx context.Context, b remote.SwapBody) (remote.KV, error) {
		rev, err := s.CompareAndSwap(ctx, b.Key, b.Expect, b.Value, b.Lease)
		return remote.KV{Key: b.Key, Revision: rev}, err
	})
	route(mux, "store/delete", func(ctx context.Context, b remote.SwapBody) (empty, error) {
		return empty{}, s.Delete(ctx, b.Key, b.Expect)
	})
	route(mux, "store/watch", func(ctx context.Context, b remote.WatchBody) (remote.WatchReply, error) {
		kvs, rev, err := s.Watch(ctx, b.Prefix, b.After, time.Duration(b.WaitMillis)*time.Millisecond)
		return remote.WatchReply{Entries: kvs, Revision: rev}, err
	})
	route(mux, "store/lease/grant", func(ctx context.Context, b remote.LeaseBody) (remote.LeaseBody, error) {
		id, err := s.GrantLease(ctx, time.Duration(b.TTLMillis)*time.Millisecond)
		return remote.LeaseBody{ID: id}, err
	})
	route(mux, "store/lease/renew", func(ctx context.Context, b remote.LeaseBody) (empty, error) {
		return empty{}, s.RenewLease(ctx, b.ID)
	})
	route(mux, "store/lease/revoke", func(ctx context.Context, b remote.LeaseBody) (empty, error) {
		return empty{}, s.RevokeLease(ctx, b.ID)
	})
	route(mux, "list/instances", func(ctx context.Context, _ empty) ([]structs.Instance, error) { return l.Instances(ctx) })
	route(mux, "list/workers", func(ctx context.Context, _ empty) ([]structs.Worker, error) { return l.Workers(ctx) })
	return mux
}

// WorkerHandler serves the control interface of a worker and the run protocol for short requests.
func WorkerHandler(w *Worker) http.Handler {
	mux := http.NewServeMux()
	routeEmpty(mux, "task/reserve", w.Reserve)
	routeEmpty(mux, "task/start", w.Start)
	route(mux, "task/renew", w.Renew)
	routeEmpty(mux, "task/release", w.Release)
	routeEmpty(mux, "task/checkpoint", w.Checkpoint)
	routeEmpty(mux, "task/throttle", w.Throttle)
	routeEmpty(mux, "task/stop", w.Stop)
	route(mux, "task/status", func(ctx context.Context, r remote.TaskRequest) (remote.WorkerStatus, error) {
		return w.Status(ctx, r.Token)
	})
	mux.HandleFunc("POST /v1/run", w.serveRun)
	return mux
}

func routeEmpty[In any](mux *http.ServeMux, path string, f func(context.Context, In) error) {
	route(mux, path, func(ctx context.Context, in In) (empty, error) { return empty{}, f(ctx, in) })
}

// serveRun runs a short request and injects the faults of its reply.
func (w *Worker) serveRun(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxBody))
	if err != nil {
		return
	}
	h := req.Header
	attempt := h.Get(remote.HeaderAttempt)
	token, _ := strconv.ParseUint(h.Get(remote.HeaderToken), 10, 64)
	rw.Header().Set(remote.HeaderAttempt, attempt)
	if err := w.admitRun(token); err != nil {
		if errors.Is(err, errWorkerNoAnswer) {
			panic(http.ErrAbortHandler)
		}
		writeReply(rw, nil, err)
		return
	}
	answer, err := w.execute(h.Get(remote.HeaderWorkspace), h.Get(remote.HeaderRequest), body)
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	if f.ReplyDelay > 0 {
		if !wait.For(req.Context(), f.ReplyDelay) {
			return
		}
	}
	if f.CloseBeforeReply {
		panic(http.ErrAbortHandler)
	}
	if f.WrongAttemptID {
		rw.Header().Set(remote.HeaderAttempt, attempt+"-other")
	}
	if err != nil {
		writeReply(rw, nil, err)
		return
	}
	rw.Header().Set(remote.HeaderHash, remote.BodyHash(answer))
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if f.TruncateReplies {
		answer = answer[:len(answer)/2]
	}
	_, _ = rw.Write(answer)
	if f.TruncateReplies {
		_ = http.NewResponseController(rw).Flush() // the caller receives the header and half of the body
		panic(http.ErrAbortHandler)
	}
}
