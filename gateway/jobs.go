package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// JobRequest is the JSON body of a job submission.
type JobRequest struct {
	Workspace  string        `json:"workspace"`
	Service    string        `json:"service"`
	RequestID  string        `json:"request_id"`
	Shape      structs.Shape `json:"shape"`
	Idempotent bool          `json:"idempotent"`
	Checkpoint bool          `json:"checkpoint"`
	Urgent     bool          `json:"urgent"`
	DeadlineMS int64         `json:"deadline_ms"` // counted from arrival; 0 for none
	DeclaredMS int64         `json:"declared_ms"` // declared run time
	Payload    []byte        `json:"payload"`
}

// JobAccepted is the response to an accepted job submission.
type JobAccepted struct {
	ID         string        `json:"id"` // "workspace/request id"
	DataCentre string        `json:"data_centre"`
	Stage      structs.Stage `json:"stage"` // if it allows no starts, the job waits until the data centre does again
}

// JobCancelled is the response to a cancellation that the owner accepted.
type JobCancelled struct {
	ID string `json:"id"`
}

type jobCall struct {
	JobRequest
	arrived time.Time
	limits  *limits
}

// decodeJob reads a job submission. The rate limit can be applied only afterwards, since the workspace
// is in the body.
func (s *Server) decodeJob(_ context.Context, r *http.Request) (any, error) {
	c := &jobCall{arrived: time.Now()}
	if c.limits = s.limits.get(s); c.limits == nil {
		return nil, refuse(errkind.StaleManifest, "the instance does not know the manifest yet")
	}
	raw, err := r.Body.(*boundedBody).read(r.ContentLength, c.limits.maxJobBody)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &c.JobRequest); err != nil {
		return c, refuse(errkind.BadRequest, "the body is not a job: %v", err)
	}
	return c, c.check()
}

func (c *jobCall) check() error {
	switch {
	case !validName(c.Workspace), !validName(c.Service), !validName(c.RequestID):
		return refuse(errkind.BadRequest, "workspace, service and request_id must hold %s", nameRule)
	case c.Shape.Tasks < 1:
		return refuse(errkind.BadRequest, "shape.tasks must be at least 1")
	case hasNegative(c.Shape.Task):
		return refuse(errkind.BadRequest, "shape.task must not have negative parts")
	case c.DeadlineMS < 0 || c.DeadlineMS > maxJobMillis, c.DeclaredMS < 0 || c.DeclaredMS > maxJobMillis:
		return refuse(errkind.BadRequest, "deadline_ms and declared_ms must be between 0 and %d", int64(maxJobMillis))
	}
	return nil
}

// maxJobMillis prevents an overflow of time.Duration.
const maxJobMillis = 365 * 24 * 3600 * 1000

func hasNegative(r structs.Resources) bool {
	return r.Slots < 0 || r.Processors < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// job checks the limits of the workspace and the service and returns the job.
func (c *jobCall) job() (*structs.Job, error) {
	ws, svc := c.limits.workspaces[c.Workspace], c.limits.services[c.Service]
	switch {
	case ws == nil:
		return nil, refuse(errkind.UnknownWorkspace, "no workspace %q", c.Workspace)
	case svc == nil:
		return nil, refuse(errkind.UnknownService, "no service %q", c.Service)
	case svc.Kind == structs.KindRequest:
		return nil, refuse(errkind.BadRequest, "service %q takes short requests; send it to /v1/requests", c.Service)
	case svc.MaxTasks > 0 && c.Shape.Tasks > svc.MaxTasks:
		return nil, refuse(errkind.NeverRunnable, "service %s allows at most %d tasks", c.Service, svc.MaxTasks)
	case int64(len(c.Payload)) > svc.maxBody:
		return nil, refuse(errkind.BodyTooLarge, "the payload has %d bytes, the limit is %d", len(c.Payload), svc.maxBody)
	}
	if err := ws.allow(c.arrived); err != nil {
		return nil, err
	}
	shape := c.Shape
	shape.Task.Slots = max(1, shape.Task.Slots) // every task occupies at least one slot
	if reason := neverRunnableReason(&c.limits.revision.Manifest, shape); reason != "" {
		return nil, refuse(errkind.NeverRunnable, "%s", reason)
	}
	j := &structs.Job{
		ID: c.Workspace + "/" + c.RequestID, Workspace: c.Workspace, Service: c.Service, Class: svc.Class, Urgent: c.Urgent,
		Shape: shape, Idempotent: c.Idempotent, Checkpoint: c.Checkpoint, Declared: time.Duration(c.DeclaredMS) * time.Millisecond,
		Submitted: c.arrived, Grace: time.Duration(svc.Grace), Payload: c.Payload,
	}
	if c.DeadlineMS > 0 {
		j.Deadline = c.arrived.Add(time.Duration(c.DeadlineMS) * time.Millisecond)
	}
	return j, nil
}

// submitJob submits the job to the owners of the data centres in the order of RouteJob until one accepts
// it. It tries the next owner only if the last one certainly did not accept it and the error is safe
// to retry. Otherwise the job could be accepted in two data centres.
func (s *Server) submitJob(ctx context.Context, request any) (any, error) {
	c := request.(*jobCall)
	j, err := c.job()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(j)
	if err != nil {
		return nil, refuse(errkind.BadRequest, "the job cannot be encoded: %v", err)
	}
	routes := RouteJob(&c.limits.revision, s.opts.Summaries(), j, s.opts.DataCentre)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	var lastErr error
	for _, route := range routes {
		reply, err := s.opts.Jobs.SubmitJob(ctx, &peer.SubmitJobRequest{DataCentre: route.DataCentre, Job: raw})
		if err == nil {
			err = replyError(reply.ErrorKind, reply.Message)
		} else {
			err = callError(err, route.DataCentre)
		}
		if err == nil {
			s.jobLocations.put(j.ID, route.DataCentre)
			events.Info(s.log, events.JobRouted, zap.String("job", j.ID), zap.Stringer("shape", j.Shape), zap.Any("routes", routes),
				zap.String("data_centre", route.DataCentre))
			return &JobAccepted{ID: j.ID, DataCentre: route.DataCentre, Stage: route.Stage}, nil
		}
		lastErr = err
		if row := errkind.AnswerOf(kindOf(err)); row.RunState != errkind.NotRun || !row.RetrySafe {
			return nil, err
		}
	}
	return nil, lastErr
}

// callError returns the error for a call to an owner that failed without a reply. If the call was sent,
// its effect is unknown.
func callError(err error, dc string) error {
	if kindOf(err) == errkind.OwnerUnavailable {
		return err
	}
	return errkind.Wrap(errkind.UpstreamUncertain, err, "the owner of %s was reached and its answer was lost", dc)
}

// ownerTimeout limits calls to owners. It includes the time in which the owner writes the job's record
// to the store.
const ownerTimeout = 5 * time.Second

// replyError returns the error contained in an owner's reply, or nil.
func replyError(kind, message string) error {
	if kind == "" {
		return nil
	}
	return &refusal{kind: errkind.Kind(kind), message: message}
}

func encodeJobAccepted(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header()["Content-Type"] = contentTypeJSON
	w.WriteHeader(http.StatusAccepted)
	return json.NewEncoder(w).Encode(response)
}

// jobRef identifies a job. wait is how long a status request waits for the job to end.
type jobRef struct {
	id   string
	wait time.Duration
}

// maxStatusWait is the longest time for which a status request waits for the job to end.
const maxStatusWait = time.Minute

func decodeJobRef(_ context.Context, r *http.Request) (any, error) {
	workspace, id := r.PathValue("workspace"), r.PathValue("id")
	if !validName(workspace) || !validName(id) {
		return nil, refuse(errkind.BadRequest, "workspace and id must hold %s", nameRule)
	}
	ref := &jobRef{id: workspace + "/" + id}
	if text := r.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return nil, refuse(errkind.BadRequest, `wait must be a duration such as "10s"`)
		}
		ref.wait = min(wait, maxStatusWait)
	}
	return ref, nil
}

// jobStatus gets the job's record from its owner. If the instance starts to drain, a waiting request
// returns early with the record read first.
func (s *Server) jobStatus(ctx context.Context, request any) (any, error) {
	ref := request.(*jobRef)
	dc, record, err := s.locateJob(ctx, ref.id)
	if err != nil || ref.wait == 0 || hasEnded(record) {
		return record, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, ref.wait+ownerTimeout)
	defer cancel()
	go func() {
		select {
		case <-s.inflight.drainStarted:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	latest, err := s.fetchStatus(waitCtx, dc, ref.id, ref.wait)
	if err != nil {
		return record, nil
	}
	return latest, nil
}

func hasEnded(record json.RawMessage) bool {
	var r struct {
		Phase structs.JobPhase `json:"phase"`
	}
	return json.Unmarshal(record, &r) == nil && r.Phase == structs.PhaseEnded
}

func (s *Server) fetchStatus(ctx context.Context, dc, id string, wait time.Duration) (json.RawMessage, error) {
	reply, err := s.opts.Jobs.JobStatus(ctx, &peer.JobStatusRequest{DataCentre: dc, Job: id, WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, errkind.Wrap(errkind.OwnerUnavailable, err, "the owner of %s does not answer", dc)
	}
	if err := replyError(reply.ErrorKind, reply.Message); err != nil {
		return nil, err
	}
	return reply.Record, nil
}

// locateJob finds the data centre that holds the job. It queries the cached location first, then every
// owner. It returns JobUnknown only if every owner does.
func (s *Server) locateJob(ctx context.Context, id string) (dc string, record json.RawMessage, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	l := s.limits.get(s)
	if l == nil {
		return "", nil, refuse(errkind.StaleManifest, "the instance does not know the manifest yet")
	}
	cached := s.jobLocations.get(id)
	if cached != "" {
		if record, err = s.fetchStatus(ctx, cached, id, 0); err == nil {
			return cached, record, nil
		}
	}
	result := refuse(errkind.JobUnknown, "no data centre knows job %s", id)
	for i := range l.revision.Manifest.DataCentres {
		dc = l.revision.Manifest.DataCentres[i].Name
		record, err = s.fetchStatus(ctx, dc, id, 0)
		if err == nil {
			s.jobLocations.put(id, dc)
			return dc, record, nil
		}
		if kindOf(err) != errkind.JobUnknown {
			result = err
		}
	}
	return "", nil, result
}

func (s *Server) cancelJob(ctx context.Context, request any) (any, error) {
	ref := request.(*jobRef)
	dc, _, err := s.locateJob(ctx, ref.id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	reply, err := s.opts.Jobs.CancelJob(ctx, &peer.CancelJobRequest{DataCentre: dc, Job: ref.id})
	if err != nil {
		return nil, callError(err, dc)
	}
	if err := replyError(reply.ErrorKind, reply.Message); err != nil {
		return nil, err
	}
	return &JobCancelled{ID: ref.id}, nil
}
