package instance

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/owner"
	"github.com/cyclamenyard/cyclamenyard/peer"
)

// adminHandler serves operators: health, metrics, profiles, status and the manifest.
func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(i.metrics, w)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, i.Status(), nil) })
	mux.HandleFunc("GET /v1/explain", i.serveExplain)
	mux.HandleFunc("GET /v1/manifest", i.serveManifest)
	mux.HandleFunc("POST /v1/manifest", i.serveCommit)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// adminError is the body of an error answer to an operator.
type adminError struct {
	Kind    errkind.Kind      `json:"kind"`
	Message string            `json:"message"`
	Detail  []manifest.Change `json:"detail,omitempty"` // of a conflict: what changed
}

func reply(w http.ResponseWriter, answer any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		kind := errkind.Of(err)
		body := adminError{Kind: kind, Message: err.Error()}
		var conflict *config.ConflictError
		if errors.As(err, &conflict) {
			body.Detail = conflict.Changes
		}
		w.WriteHeader(errkind.AnswerOf(kind).Status)
		answer = body
	}
	// An error here means that the operator is gone.
	_ = json.NewEncoder(w).Encode(answer)
}

func (i *Instance) serveManifest(w http.ResponseWriter, _ *http.Request) {
	r, ok := i.config.Current()
	if !ok {
		reply(w, nil, errkind.New(errkind.StaleManifest, "no revision is known yet"))
		return
	}
	reply(w, r, nil)
}

// serveCommit commits a manifest. Without a stated base it is based on the revision in
// force here.
func (i *Instance) serveCommit(w http.ResponseWriter, r *http.Request) {
	expect := i.Revision()
	if text := r.URL.Query().Get("expect"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			reply(w, nil, errkind.New(errkind.BadRequest, "expect %q: must be a revision number", text))
			return
		}
		expect = n
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminBodyLimit))
	if err != nil {
		reply(w, nil, errkind.Wrap(errkind.BodyTooLarge, err, "manifest"))
		return
	}
	m, err := manifest.Parse(text)
	if err != nil {
		reply(w, nil, errkind.Wrap(errkind.ManifestInvalid, err, "manifest"))
		return
	}
	result, err := i.config.Commit(r.Context(), m, expect)
	reply(w, result, err)
}

// serveExplain returns the decision records of a request or job, from this instance and
// from the owners of all data centres.
func (i *Instance) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" {
		reply(w, nil, errkind.New(errkind.BadRequest, "id must be workspace/request-id"))
		return
	}
	e := Explanation{ID: id, Requests: i.gateway.Explain(id)}
	current, _ := i.config.Current()
	for _, dc := range current.Manifest.DataCentres {
		decisions, err := i.decisions(r.Context(), dc.Name, id)
		switch {
		case err != nil:
			e.Unreachable = append(e.Unreachable, dc.Name)
		case len(decisions) > 0:
			e.Owners = append(e.Owners, OwnerDecisions{DataCentre: dc.Name, Decisions: decisions})
		}
	}
	if len(e.Owners) == 0 && len(e.Requests) == 0 && len(e.Unreachable) == 0 {
		reply(w, nil, errkind.New(errkind.JobUnknown, "no decision about %s is kept", id))
		return
	}
	reply(w, e, nil)
}

// decisions asks the owner of a data centre for its decisions about a job.
func (i *Instance) decisions(ctx context.Context, dataCentre, id string) ([]owner.Decision, error) {
	o, err := i.router.ownerOf(ctx, dataCentre)
	if err != nil {
		return nil, err
	}
	answer, err := o.Explain(ctx, &peer.ExplainRequest{DataCentre: dataCentre, Id: id})
	if err != nil {
		return nil, err
	}
	var decisions []owner.Decision
	err = json.Unmarshal(answer.Decisions, &decisions)
	return decisions, err
}
