package upkeep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/metastore"
)

// RecordPrefix is the key prefix under which the progress of waves is stored.
const RecordPrefix = "cy/wave/"

const (
	// pollInterval is the time between two reads of the list of machines while a wave is open. The
	// cloud charges for each read.
	pollInterval = time.Second
	// callTimeout applies to one call to the cloud or the store.
	callTimeout = time.Second
)

// Options configures a Controller.
type Options struct {
	Cloud     Cloud
	Store     metastore.Store
	Workers   Workers
	Holder    string
	Token     uint64
	Fence     metastore.Condition // holds until the owner's term ends
	WallClock func() time.Time
	// Status returns the store entry that shows operators the state of a wave.
	Status func(number int64, completed bool) metastore.Put
	// OwnershipConfirmed reports whether the store has confirmed the ownership recently; nil means
	// always. Without confirmation, no order is sent, since a platform that does not check fences would carry
	// out the order of a former owner.
	OwnershipConfirmed func() bool
	// OnOwnershipLost is called when another owner has a higher fencing token.
	OnOwnershipLost func(reason string)
	Log             *zap.Logger
}

// Controller carries out waves during one term of ownership.
type Controller struct {
	opts Options

	mu        sync.Mutex
	requested map[int64]Wave // by number
	wake      chan struct{}

	waves map[int64]*wave // by number; accessed only by Run
}

func New(o Options) *Controller {
	return &Controller{opts: o, requested: map[int64]Wave{}, wake: make(chan struct{}, 1), waves: map[int64]*wave{}}
}

// SetWave adds or replaces a requested wave.
func (c *Controller) SetWave(w Wave) {
	c.mu.Lock()
	c.requested[w.Number] = w
	c.mu.Unlock()
	c.wakeLoop()
}

// RemoveWave removes a wave that the operators have withdrawn.
func (c *Controller) RemoveWave(number int64) {
	c.mu.Lock()
	delete(c.requested, number)
	c.mu.Unlock()
	c.wakeLoop()
}

func (c *Controller) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run carries out waves until ctx ends. While no wave is open, it makes no calls.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		open := c.openWaves(ctx)
		if len(open) == 0 {
			select {
			case <-ctx.Done():
			case <-c.wake:
			}
			continue
		}
		c.poll(ctx, open)
		wait.For(ctx, pollInterval)
	}
}

// openWaves returns the waves that are not completed, lowest number first, and drops those that
// were withdrawn.
func (c *Controller) openWaves(ctx context.Context) []*wave {
	c.mu.Lock()
	requested := maps.Clone(c.requested)
	c.mu.Unlock()
	for number, w := range c.waves {
		if _, ok := requested[number]; !ok {
			c.releaseReservations(w)
			delete(c.waves, number)
		}
	}
	var open []*wave
	for _, number := range slices.Sorted(maps.Keys(requested)) {
		w := c.waves[number]
		if w == nil {
			var err error
			if w, err = c.loadWave(ctx, requested[number]); err != nil {
				c.opts.Log.Warn("cannot load record of wave; will retry", zap.Int64("wave", number), zap.Error(err))
				c.wakeLoop() // retry after the next poll
				wait.For(ctx, pollInterval)
				continue
			}
			c.waves[number] = w
		}
		w.Wave = requested[number] // operators may have changed it
		if w.record.Completed && !w.record.covers(w.Machines) {
			if err := c.reopen(ctx, w); err != nil {
				c.opts.Log.Warn("cannot store record of extended wave; will retry", zap.Int64("wave", number), zap.Error(err))
				c.wakeLoop() // retry after the next poll
				wait.For(ctx, pollInterval)
				continue
			}
		}
		if !w.record.Completed {
			open = append(open, w)
		}
	}
	return open
}

// reopen continues a completed wave to which operators have added machines. Its duration starts anew.
func (c *Controller) reopen(ctx context.Context, w *wave) error {
	former := w.record
	w.record.Completed, w.record.StartedAt = false, c.opts.WallClock().UnixMilli()
	err := c.save(ctx, w)
	if err != nil {
		w.record = former
	}
	return err
}

// requestedNow reports whether the wave is still requested with the same machines.
func (c *Controller) requestedNow(w *wave) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Equal(c.requested[w.Number].Machines, w.Machines)
}

func recordKey(number int64) string { return RecordPrefix + strconv.FormatInt(number, 10) }

// loadWave reads the stored progress of the wave, or stores a first record.
func (c *Controller) loadWave(ctx context.Context, requested Wave) (*wave, error) {
	w := &wave{Wave: requested, returned: map[string]bool{}, reserved: map[string]reservation{}, confirmedAt: map[string]time.Time{}}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := c.opts.Store.Get(call, recordKey(requested.Number))
	if errors.Is(err, metastore.ErrNotFound) {
		w.record.StartedAt = c.opts.WallClock().UnixMilli()
		return w, c.save(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(item.Value, &w.record); err != nil {
		return nil, fmt.Errorf("decode record of wave %d: %w", requested.Number, err)
	}
	w.revision = item.Revision
	events.Info(c.opts.Log, events.WaveAccepted, zap.Int64("wave", requested.Number), zap.Int("machines", len(requested.Machines)),
		zap.Int("begun", len(w.record.Started)), zap.Bool("completed", w.record.Completed))
	return w, nil
}

// save stores the progress and the status of the wave. After a lost answer, the next save fails with
// a conflict and takes the revision from it: no other process writes the record while the fence holds.
func (c *Controller) save(ctx context.Context, w *wave) error {
	raw, err := json.Marshal(w.record)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recordKey(w.Number)
	revision, err := c.opts.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{c.opts.Fence, {Key: key, Revision: w.revision}},
		Puts: []metastore.Put{{Key: key, Value: raw}, c.opts.Status(w.Number, w.record.Completed)},
	})
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		if owner, ok := conflict.Find(c.opts.Fence.Key); !ok || owner.Revision != c.opts.Fence.Revision {
			c.opts.OnOwnershipLost("the store has another owner")
			return err
		}
		if item, ok := conflict.Find(key); ok {
			w.revision = item.Revision
		}
		return err
	}
	if err == nil {
		w.revision = revision
	}
	return err
}

// poll reads the list of machines and takes the next steps of all open waves.
func (c *Controller) poll(ctx context.Context, open []*wave) {
	requestedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	machines, err := c.opts.Cloud.Machines(call)
	cancel()
	if err != nil {
		c.opts.Log.Warn("cannot list machines", zap.Error(err))
		return
	}
	for _, w := range open {
		c.advance(ctx, w, machines, requestedAt)
	}
}

func (c *Controller) advance(ctx context.Context, w *wave, machines []Machine, requestedAt time.Time) {
	timeLeft := w.Duration - time.Duration(c.opts.WallClock().UnixMilli()-w.record.StartedAt)*time.Millisecond
	before := maps.Clone(w.reserved)
	d := w.plan(machines, requestedAt, time.Now(), timeLeft, c.opts.Workers.Load)
	c.updateReservations(before, w.reserved)
	for _, m := range d.stop {
		if !c.opts.Workers.Load(m.Worker).Blocked { // a stop earlier in this loop may have blocked it
			c.opts.Workers.StopRuns(m.Worker)
		}
	}
	for _, m := range d.resend {
		c.sendOrder(ctx, w, m, true)
	}
	for _, m := range d.send {
		w.record.addOrdered(m.Name, WorkerIncarnation{m.Worker, c.opts.Workers.Load(m.Worker).Incarnation})
	}
	if len(d.send) > 0 {
		if err := c.save(ctx, w); err != nil {
			c.opts.Log.Warn("cannot store record of wave", zap.Int64("wave", w.Number), zap.Error(err))
			for _, m := range d.send {
				w.record.removeOrdered(m.Name)
			}
			return
		}
	}
	for _, m := range d.send {
		c.sendOrder(ctx, w, m, false)
	}
	if d.completed && !w.record.Completed && c.requestedNow(w) {
		c.complete(ctx, w)
	}
}

// updateReservations reserves the workers in after and releases those that are only in before.
func (c *Controller) updateReservations(before, after map[string]reservation) {
	for name, r := range before {
		if after[name].worker != r.worker {
			c.opts.Workers.Reserve(r.worker, false)
		}
	}
	for _, r := range after {
		c.opts.Workers.Reserve(r.worker, true)
	}
}

// releaseReservations releases the reservations of a withdrawn wave. Orders that were sent remain in
// force.
func (c *Controller) releaseReservations(w *wave) {
	events.Info(c.opts.Log, events.WaveAccepted, zap.Int64("wave", w.Number), zap.Bool("withdrawn", true))
	c.updateReservations(w.reserved, nil)
	clear(w.reserved)
}

// sendOrder sends one order and records its answer. A refusal of a resent order does not show the
// outcome of the first one, which may have taken the machine down.
func (c *Controller) sendOrder(ctx context.Context, w *wave, m Machine, resent bool) {
	if c.opts.OwnershipConfirmed != nil && !c.opts.OwnershipConfirmed() {
		return // the order is in the record: whichever instance is the owner later resends it
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	err := c.opts.Cloud.Upkeep(call, Order{Machine: m.Name, Wave: w.Number, Holder: c.opts.Holder, Token: c.opts.Token})
	cancel()
	events.Info(c.opts.Log, events.UpkeepOrdered, zap.Int64("wave", w.Number), zap.String("machine", m.Name), zap.String("worker", m.Worker), zap.Error(err))
	switch {
	case err == nil:
		w.confirmedAt[m.Name] = time.Now()
		w.record.Started = append(w.record.Started, m.Name)
		// The answer to a repeated order may come when the machine has a new worker already.
		if former, ok := w.record.Workers[m.Name]; ok {
			c.opts.Workers.WorkerEnded(former)
		}
	case errors.Is(err, ErrNotInWave), errors.Is(err, ErrUnknownMachine):
		w.returned[m.Name] = true
		w.record.Started = append(w.record.Started, m.Name) // no order for this machine can succeed
	case errors.Is(err, ErrStaleToken):
		c.opts.OnOwnershipLost("machine " + m.Name + " has a holder with a higher token")
		return
	case !resent && (errors.Is(err, ErrBusy) || errors.Is(err, ErrRefused)):
		// not carried out: the machine is selected again later
	default:
		return // may have been carried out: the order is resent
	}
	w.record.removeOrdered(m.Name)
	delete(w.reserved, m.Name)
	c.opts.Workers.Reserve(m.Worker, false)
	if err := c.save(ctx, w); err != nil {
		c.opts.Log.Warn("cannot store record of wave", zap.Int64("wave", w.Number), zap.Error(err))
	}
}

func (c *Controller) complete(ctx context.Context, w *wave) {
	former := w.record
	w.record.Completed, w.record.Machines = true, slices.Clone(w.Machines)
	if err := c.save(ctx, w); err != nil {
		w.record = former
		c.opts.Log.Warn("cannot store record of wave", zap.Int64("wave", w.Number), zap.Error(err))
		return
	}
	events.Info(c.opts.Log, events.WaveCompleted, zap.Int64("wave", w.Number), zap.Int("machines", len(w.record.Started)))
}
