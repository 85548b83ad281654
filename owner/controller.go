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
	opts    Options
	limiter *rate.Limiter // for delayed record writes, shared by all owners of the instance

	mu         sync.Mutex
	owners     map[string]*DataCentreOwner
	ctx        context.Context // cancelled at the end of Run
	cancel     context.CancelFunc
	wg         sync.WaitGroup // owners that are being stopped
	revision   structs.Revision
	guarantees map[string][]state.Guarantee
}

// New returns a controller that owns no data centre yet.
func New(o Options) *Controller {
	o.setDefaults()
	c := &Controller{opts: o, limiter: rate.NewLimiter(backlogRate, 1), owners: map[string]*DataCentreOwner{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run waits until ctx is done, then stands down all owners and waits until they have stopped.
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
	owner := newOwner(c.ctx, &c.opts, c.limiter, dataCentre, token)
	c.owners[dataCentre] = owner
	if c.revision.Number > 0 {
		owner.configure(c.revision, c.guarantees[dataCentre]) // its event loop does not run yet
	}
	owner.run()
}

// StoodDown stops the owner of a data centre. It returns at once; running jobs are left to the
// successor.
func (c *Controller) StoodDown(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[dataCentre]; owner != nil {
		delete(c.owners, dataCentre)
		c.retire(owner, (*DataCentreOwner).standDown)
	}
}

func (c *Controller) retire(owner *DataCentreOwner, end func(*DataCentreOwner)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		end(owner)
	}()
}

// Configure puts a manifest revision in force, with the guarantees assigned to each data centre.
func (c *Controller) Configure(rev structs.Revision, guarantees map[string][]state.Guarantee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev.Number < c.revision.Number {
		return
	}
	c.revision, c.guarantees = rev, guarantees
	for _, dc := range sortedKeys(c.owners) {
		owner := c.owners[dc]
		// Posted from a goroutine, so that a busy event loop does not block the other owners.
		owner.goRun(func() { owner.post(func() { owner.configure(rev, guarantees[dc]) }) })
	}
}

// Owns returns the fencing token under which this instance owns the data centre.
func (c *Controller) Owns(dataCentre string) (token uint64, ok bool) {
	owner, err := c.owner(dataCentre)
	if err != nil {
		return 0, false
	}
	return owner.token, true
}

func (c *Controller) owner(dataCentre string) (*DataCentreOwner, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[dataCentre]; owner != nil {
		return owner, nil
	}
	return nil, errkind.New(errkind.OwnerUnavailable, "this instance does not own data centre %s", dataCentre)
}

// JobTransferred notifies the owner of a data centre that a job was transferred to it.
func (c *Controller) JobTransferred(ctx context.Context, dataCentre, job string) error {
	owner, err := c.owner(dataCentre)
	if err == nil {
		owner.loadTransferred(ctx, job)
	}
	return err
}

// SubmitJob accepts a job. Errors are returned in the reply, with their kind.
func (c *Controller) SubmitJob(ctx context.Context, r *peer.SubmitJobRequest) (*peer.SubmitJobReply, error) {
	err := c.submitJob(ctx, r)
	kind, message := replyError(err)
	return &peer.SubmitJobReply{ErrorKind: kind, Message: message}, nil
}

func (c *Controller) submitJob(ctx context.Context, r *peer.SubmitJobRequest) error {
	owner, err := c.owner(r.DataCentre)
	if err != nil {
		return err
	}
	var spec structs.Job
	if err := json.Unmarshal(r.Job, &spec); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "job")
	}
	return owner.submit(ctx, spec)
}

// CancelJob cancels a job.
func (c *Controller) CancelJob(ctx context.Context, r *peer.CancelJobRequest) (*peer.CancelJobReply, error) {
	owner, err := c.owner(r.DataCentre)
	if err == nil {
		if callErr := owner.call(ctx, func() { err = owner.cancelJob(r.Job) }); callErr != nil {
			err = callErr
		}
	}
	kind, message := replyError(err)
	return &peer.CancelJobReply{ErrorKind: kind, Message: message}, nil
}

// JobStatus returns a job's record. It waits for the end of the job for up to the time in the
// request. The record of a job that is no longer in memory is read from the store.
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
	owner, err := c.owner(r.DataCentre)
	if err != nil {
		return structs.JobRecord{}, err
	}
	var rec structs.JobRecord
	var done chan struct{}
	var known bool
	readStatus := func() { rec, done, known = owner.jobStatus(r.Job) }
	if err := owner.call(ctx, readStatus); err != nil {
		return rec, err
	}
	if !known {
		return owner.storedRecord(ctx, r.Job)
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
	case <-owner.ctx.Done():
	}
	if owner.call(context.WithoutCancel(ctx), readStatus) == nil && !known {
		return owner.storedRecord(ctx, r.Job)
	}
	return rec, nil
}

// Explain returns the decision record of a job.
func (c *Controller) Explain(ctx context.Context, r *peer.ExplainRequest) (*peer.ExplainReply, error) {
	owner, err := c.owner(r.DataCentre)
	if err != nil {
		return nil, err
	}
	decisions := []Decision{}
	err = owner.call(ctx, func() {
		if j := owner.jobs[r.Id]; j != nil {
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
