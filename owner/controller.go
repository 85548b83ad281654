package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Controller manages the owners of the data centres that this instance owns.
type Controller struct {
	o       Options
	limiter *rate.Limiter // of delayed record writes, for the whole instance

	mu         sync.Mutex
	owners     map[string]*DataCentreOwner
	ctx        context.Context // of Run
	cancel     context.CancelFunc
	wg         sync.WaitGroup // owners that stand down
	revision   structs.Revision
	guarantees map[string][]state.Guarantee
}

// New returns a controller that owns nothing.
func New(o Options) *Controller {
	o.setDefaults()
	c := &Controller{o: o, limiter: rate.NewLimiter(backlogRate, 1), owners: map[string]*DataCentreOwner{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run waits for the end of ctx, then stands every owner down and waits for their end.
func (c *Controller) Run(ctx context.Context) {
	<-ctx.Done()
	c.mu.Lock()
	names := sortedKeys(c.owners)
	c.mu.Unlock()
	for _, dc := range names {
		c.StoodDown(dc)
	}
	c.wg.Wait()
	c.cancel()
}

// Elected starts the owner of a data centre under a new fencing token.
func (c *Controller) Elected(dataCentre string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.owners[dataCentre]; old != nil {
		if old.token >= token {
			return
		}
		c.retire(old, (*DataCentreOwner).halt)
	}
	w := newOwner(c.ctx, &c.o, c.limiter, dataCentre, token)
	c.owners[dataCentre] = w
	if c.revision.Number > 0 {
		w.configure(c.revision, c.guarantees[dataCentre]) // its applier does not run yet
	}
	w.run()
}

// StoodDown ends the owner of a data centre. It returns at once; running work is left to
// the successor.
func (c *Controller) StoodDown(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.owners[dataCentre]; w != nil {
		delete(c.owners, dataCentre)
		c.retire(w, (*DataCentreOwner).standDown)
	}
}

func (c *Controller) retire(w *DataCentreOwner, end func(*DataCentreOwner)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		end(w)
	}()
}

// Configure puts a manifest revision in force, with the guarantees apportioned to each
// data centre.
func (c *Controller) Configure(rev structs.Revision, guarantees map[string][]state.Guarantee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev.Number < c.revision.Number {
		return
	}
	c.revision, c.guarantees = rev, guarantees
	for _, dc := range sortedKeys(c.owners) {
		w := c.owners[dc]
		// A new goroutine, because a busy applier must not block the others.
		w.goRun(func() { w.post(func() { w.configure(rev, guarantees[dc]) }) })
	}
}

// Owns returns the token under which this instance owns the data centre.
func (c *Controller) Owns(dataCentre string) (token uint64, ok bool) {
	w, err := c.owner(dataCentre)
	if err != nil {
		return 0, false
	}
	return w.token, true
}

func (c *Controller) owner(dataCentre string) (*DataCentreOwner, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.owners[dataCentre]; w != nil {
		return w, nil
	}
	return nil, errkind.New(errkind.OwnerUnavailable, "this instance does not own data centre %s", dataCentre)
}

// JobTransferred tells the owner of a data centre that a job now belongs to it.
func (c *Controller) JobTransferred(ctx context.Context, dataCentre, job string) error {
	w, err := c.owner(dataCentre)
	if err == nil {
		w.fetch(ctx, job)
	}
	return err
}

// SubmitJob accepts a job. The reply carries the error's kind.
func (c *Controller) SubmitJob(ctx context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	err := c.submitJob(ctx, r)
	kind, message := replyError(err)
	return &peer.SubmitJobReply{ErrorKind: kind, Message: message}, nil
}

func (c *Controller) submitJob(ctx context.Context, r *peer.SubmitJobRequest) error {
	w, err := c.owner(r.DataCentre)
	if err != nil {
		return err
	}
	var spec structs.Job
	if err := json.Unmarshal(r.Job, &spec); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "job")
	}
	return w.submit(ctx, spec)
}

// CancelJob cancels a job.
func (c *Controller) CancelJob(ctx context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	w, err := c.owner(r.DataCentre)
	if err == nil {
		if askErr := w.ask(ctx, func() { err = w.cancelJob(r.Job) }); askErr != nil {
			err = askErr
		}
	}
	kind, message := replyError(err)
	return &peer.CancelJobReply{ErrorKind: kind, Message: message}, nil
}

// JobStatus returns a job's record. It waits for the job's end for as long as the request
// says. A job that has left memory is read from the store.
func (c *Controller) JobStatus(ctx context.Context, r *peer.JobStatusRequest) (*peer.JobStatusReply, error) {
	rec, err := c.jobRecord(ctx, r)
	reply := &peer.JobStatusReply{}
	if err == nil {
		rec.Job.Payload = nil
		reply.Record, err = json.Marshal(rec)
	}
	reply.ErrorKind, reply.Message = replyError(err)
	return reply, nil
}

func (c *Controller) jobRecord(ctx context.Context, r *peer.JobStatusRequest) (structs.JobRecord, error) {
	w, err := c.owner(r.DataCentre)
	if err != nil {
		return structs.JobRecord{}, err
	}
	var rec structs.JobRecord
	var done chan struct{}
	var known bool
	look := func() { rec, done, known = w.jobStatus(r.Job) }
	if err := w.ask(ctx, look); err != nil {
		return rec, err
	}
	if !known {
		return w.storedRecord(ctx, r.Job)
	}
	if r.WaitMs <= 0 {
		return rec, nil
	}
	timer := time.NewTimer(time.Duration(r.WaitMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	if w.ask(context.WithoutCancel(ctx), look) == nil && !known {
		return w.storedRecord(ctx, r.Job)
	}
	return rec, nil
}

// Explain returns the decision record of a job.
func (c *Controller) Explain(ctx context.Context, r *peer.ExplainRequest) (*peer.ExplainReply, error) {
	w, err := c.owner(r.DataCentre)
	if err != nil {
		return nil, err
	}
	decisions := []Decision{}
	err = w.ask(ctx, func() {
		if j := w.jobs[r.Id]; j != nil {
			decisions = append(decisions, j.decisions...)
		}
	})
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(decisions)
	return &peer.ExplainReply{Decisions: raw}, err
}

func replyError(err error) (kind, message string) {
	if err == nil {
		return "", ""
	}
	return string(errkind.Of(err)), err.Error()
}
