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

// adminHandler returns the operators' API: health, metrics, profiles, status, decisions and the
// manifest.
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

// adminError is the body of an error response to an operator.
type adminError struct {
	Kind    errkind.Kind      `json:"kind"`
	Message string            `json:"message"`
	Detail  []manifest.Change `json:"detail,omitempty"` // the changes, for a conflict
}

// reply writes the answer as JSON or, if err is not nil, an adminError.
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
	// An error here means that the operator closed the connection.
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

// serveCommit commits a manifest. The query parameter expect states the revision that it replaces; the
// default is the revision in force at this instance.
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
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
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

// serveExplain returns the decisions about a request or job, as recorded by this instance and by the
// owners of all data centres.
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

// decisions requests the decisions about a job from the owner of a data centre.
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
