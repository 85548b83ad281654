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

// RecordPrefix is where the progress of waves is stored.
const RecordPrefix = "cy/wave/"

const (
	// interval is the time between two looks at the machines while a wave is open. Each look is
	// a priced reading of the cloud's list.
	interval = time.Second
	// callBound is the longest wait for one answer of the cloud or the store.
	callBound = time.Second
)

// Options configures a Controller.
type Options struct {
	Cloud   Cloud
	Store   metastore.Store
	Workers Workers
	Holder  string
	Token   uint64
	Fence   metastore.Condition // holds as long as the owner's term is not over
	Wall    func() time.Time
	// Status returns the entry in which operators read the state of a wave.
	Status func(number int64, completed bool) metastore.Put
	// Confirmed reports whether the store has confirmed the ownership lately; nil for always. An
	// order is not sent without: a platform that does not check fences would carry it out.
	Confirmed func() bool
	// Over is called when another owner has a higher token.
	Over func(reason string)
	Log  *zap.Logger
}

// Controller carries out waves during one term of ownership.
type Controller struct {
	o Options

	mu      sync.Mutex
	asked   map[int64]Wave // by number, as the operators wrote them
	changed chan struct{}

	waves map[int64]*wave // of Run alone
}

// New returns a controller that Run starts.
func New(o Options) *Controller {
	return &Controller{o: o, asked: map[int64]Wave{}, changed: make(chan struct{}, 1), waves: map[int64]*wave{}}
}

// OnWave takes in a wave.
func (c *Controller) OnWave(w Wave) {
	c.mu.Lock()
	c.asked[w.Number] = w
	c.mu.Unlock()
	c.kick()
}

// OnWaveGone notes that the operators have withdrawn a wave.
func (c *Controller) OnWaveGone(number int64) {
	c.mu.Lock()
	delete(c.asked, number)
	c.mu.Unlock()
	c.kick()
}

func (c *Controller) kick() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run carries waves out until ctx ends. Without an open wave it makes no calls.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		open := c.open(ctx)
		if len(open) == 0 {
			select {
			case <-ctx.Done():
			case <-c.changed:
			}
			continue
		}
		c.look(ctx, open)
		wait.For(ctx, interval)
	}
}

// open returns the waves that are not completed, lowest number first, and forgets those that were
// withdrawn.
func (c *Controller) open(ctx context.Context) []*wave {
	c.mu.Lock()
	asked := maps.Clone(c.asked)
	c.mu.Unlock()
	for number, w := range c.waves {
		if _, ok := asked[number]; !ok {
			c.release(w)
			delete(c.waves, number)
		}
	}
	var open []*wave
	for _, number := range slices.Sorted(maps.Keys(asked)) {
		w := c.waves[number]
		if w == nil {
			var err error
			if w, err = c.take(ctx, asked[number]); err != nil {
				c.o.Log.Warn("wave not taken", zap.Int64("wave", number), zap.Error(err))
				c.kick() // tried again after the next look
				wait.For(ctx, interval)
				continue
			}
			c.waves[number] = w
		}
		if !w.record.Completed {
			open = append(open, w)
		}
	}
	return open
}

func recordKey(number int64) string { return RecordPrefix + strconv.FormatInt(number, 10) }

// take reads the progress of the wave, or begins it.
func (c *Controller) take(ctx context.Context, asked Wave) (*wave, error) {
	w := &wave{Wave: asked, back: map[string]bool{}, next: map[string]reservation{}, confirmed: map[string]time.Time{}}
	call, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	item, err := c.o.Store.Get(call, recordKey(asked.Number))
	if errors.Is(err, metastore.ErrNotFound) {
		w.record.Began = c.o.Wall().UnixMilli()
		return w, c.save(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(item.Value, &w.record); err != nil {
		return nil, fmt.Errorf("record of wave %d: %w", asked.Number, err)
	}
	w.revision = item.Revision
	events.Info(c.o.Log, events.WaveAccepted, zap.Int64("wave", asked.Number), zap.Int("machines", len(asked.Machines)),
		zap.Int("begun", len(w.record.Begun)), zap.Bool("completed", w.record.Completed))
	return w, nil
}

// save stores the progress and the status of the wave. After a lost answer the next save finds a
// conflict and takes the revision from there: nobody else writes the record while the fence holds.
func (c *Controller) save(ctx context.Context, w *wave) error {
	raw, err := json.Marshal(w.record)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	key := recordKey(w.Number)
	revision, err := c.o.Store.Commit(call, metastore.Txn{
		If:   []metastore.Condition{c.o.Fence, {Key: key, Revision: w.revision}},
		Puts: []metastore.Put{{Key: key, Value: raw}, c.o.Status(w.Number, w.record.Completed)},
	})
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		if owner, ok := conflict.Find(c.o.Fence.Key); !ok || owner.Revision != c.o.Fence.Revision {
			c.o.Over("the store has another owner")
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

// look reads the list of machines and takes the next steps of all open waves.
func (c *Controller) look(ctx context.Context, open []*wave) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, callBound)
	machines, err := c.o.Cloud.Machines(call)
	cancel()
	if err != nil {
		c.o.Log.Warn("machines not listed", zap.Error(err))
		return
	}
	for _, w := range open {
		c.step(ctx, w, machines, asked)
	}
}

func (c *Controller) step(ctx context.Context, w *wave, machines []Machine, asked time.Time) {
	left := w.Duration - time.Duration(c.o.Wall().UnixMilli()-w.record.Began)*time.Millisecond
	before := maps.Clone(w.next)
	d := w.plan(machines, asked, time.Now(), left, c.o.Workers.Load)
	c.reserve(before, w.next)
	for _, m := range d.vacate {
		if !c.o.Workers.Load(m.Worker).Blocked { // also by what was vacated a moment ago
			c.o.Workers.Vacate(m.Worker)
		}
	}
	for _, m := range d.repeat {
		c.order(ctx, w, m, true)
	}
	for _, m := range d.order {
		w.record.Ordered = append(w.record.Ordered, m.Name)
	}
	if len(d.order) > 0 {
		if err := c.save(ctx, w); err != nil {
			c.o.Log.Warn("wave not stored", zap.Int64("wave", w.Number), zap.Error(err))
			w.record.Ordered = w.record.Ordered[:len(w.record.Ordered)-len(d.order)]
			return
		}
	}
	for _, m := range d.order {
		c.order(ctx, w, m, false)
	}
	if d.completed && !w.record.Completed {
		c.complete(ctx, w)
	}
}

// reserve keeps new work from the machines that are next, and gives those back that are no more.
func (c *Controller) reserve(before, next map[string]reservation) {
	for name, r := range before {
		if next[name].worker != r.worker {
			c.o.Workers.Reserve(r.worker, false)
		}
	}
	for _, r := range next {
		c.o.Workers.Reserve(r.worker, true)
	}
}

// release gives up what is reserved for a wave that was withdrawn. Orders that were given stand.
func (c *Controller) release(w *wave) {
	events.Info(c.o.Log, events.WaveAccepted, zap.Int64("wave", w.Number), zap.Bool("withdrawn", true))
	c.reserve(w.next, nil)
	clear(w.next)
}

// order gives one order and takes its answer in. A refusal of a repeated order says nothing of
// the first one, which may have taken the machine down.
func (c *Controller) order(ctx context.Context, w *wave, m Machine, repeated bool) {
	if c.o.Confirmed != nil && !c.o.Confirmed() {
		return // it stands in the record and is sent later, by whoever is the owner then
	}
	call, cancel := context.WithTimeout(ctx, callBound)
	err := c.o.Cloud.Upkeep(call, Order{Machine: m.Name, Wave: w.Number, Holder: c.o.Holder, Token: c.o.Token})
	cancel()
	events.Info(c.o.Log, events.UpkeepOrdered, zap.Int64("wave", w.Number), zap.String("machine", m.Name), zap.String("worker", m.Worker), zap.Error(err))
	ordered := slices.DeleteFunc(slices.Clone(w.record.Ordered), func(name string) bool { return name == m.Name })
	switch {
	case err == nil:
		w.confirmed[m.Name] = time.Now()
		w.record.Begun = append(w.record.Begun, m.Name)
		c.o.Workers.Ended(m.Worker)
	case errors.Is(err, ErrNotOfWave), errors.Is(err, ErrUnknown):
		w.back[m.Name] = true
		w.record.Begun = append(w.record.Begun, m.Name) // nothing can be done for it
	case errors.Is(err, ErrFenced):
		c.o.Over("machine " + m.Name + " has a holder with a higher token")
		return
	case !repeated && (errors.Is(err, ErrBusy) || errors.Is(err, ErrRefused)):
		// not carried out: it is chosen again later
	default:
		return // it may have been carried out: the order is repeated
	}
	w.record.Ordered = ordered
	delete(w.next, m.Name)
	c.o.Workers.Reserve(m.Worker, false)
	if err := c.save(ctx, w); err != nil {
		c.o.Log.Warn("wave not stored", zap.Int64("wave", w.Number), zap.Error(err))
	}
}

func (c *Controller) complete(ctx context.Context, w *wave) {
	w.record.Completed = true
	if err := c.save(ctx, w); err != nil {
		w.record.Completed = false
		c.o.Log.Warn("wave not stored", zap.Int64("wave", w.Number), zap.Error(err))
		return
	}
	events.Info(c.o.Log, events.WaveCompleted, zap.Int64("wave", w.Number), zap.Int("machines", len(w.record.Begun)))
}
