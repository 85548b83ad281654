package owner

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/remote"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// recordWriters is how many records are written concurrently.
	recordWriters = 4
	// backlogRate bounds the writes per second of records that were delayed by an outage.
	backlogRate = 50
	// probeInterval is the time between two attempts to write during an outage.
	probeInterval = 500 * time.Millisecond
)

var (
	errRecordSuperseded = errors.New("record written by another owner")
	errNoAnswer         = errors.New("the store does not answer")
)

// records writes the job records of one data centre. It keeps only the newest state of each job.
// A write is a compare-and-swap against the last known revision.
type records struct {
	store   remote.Store
	dc      string
	token   uint64
	metrics metrics.Registry
	limiter *rate.Limiter
	fenced  *atomic.Bool
	// onSuperseded is called when another owner has written the record.
	onSuperseded func(id string, kv remote.KV)
	// onStored is called when the newest state of a record is in the store.
	onStored func(id string)
	// onDelayed is called when an outage begins.
	onDelayed func(pending int, err error)

	mu      sync.Mutex
	entries map[string]*entry
	ready   []*entry // to be written without delay
	backlog []*entry // delayed by an outage
	down    bool
	probing bool
	wake    chan struct{}
}

// entry is the record of one job.
type entry struct {
	id           string
	rev          uint64
	value        []byte
	version      int  // of value
	dirty        bool // value is not in the store
	queued       bool
	delayed      bool
	failedWrites uint64 // varies the jitter between probes
	superseded   bool   // another owner has written the record: no write until track is called again
	conflict     error  // the last write conflicted, but reading returned an older value
	writes       int
	waiters      []waiter
}

type waiter struct {
	version int
	done    chan error
}

func newRecords(o *Options, limiter *rate.Limiter, dc string, token uint64) *records {
	return &records{
		store: o.Store, dc: dc, token: token, metrics: o.Metrics, limiter: limiter,
		entries: map[string]*entry{}, wake: make(chan struct{}, recordWriters),
	}
}

// track sets the revision of a record that was read from the store.
func (r *records) track(id string, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		e = &entry{id: id}
		r.entries[id] = e
	}
	e.rev, e.superseded, e.conflict = max(e.rev, rev), false, nil
}

// remove drops a record that this owner no longer writes.
func (r *records) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		e.dirty = false
		e.notify(errRecordSuperseded)
		delete(r.entries, id)
	}
}

// revision returns the revision of a record without pending changes, or 0.
func (r *records) revision(id string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil && !e.dirty && !e.superseded {
		return e.rev
	}
	return 0
}

// isDown reports whether the store did not answer the last write.
func (r *records) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// pending returns the number of records that have unwritten changes.
func (r *records) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.dirty {
			n++
		}
	}
	return n
}

// put sets the newest state of a job's record. The channel receives the result of the first
// attempt to write it. A failed write is retried until it succeeds or a newer state replaces it.
func (r *records) put(rec structs.JobRecord) <-chan error {
	rec.Token = r.token
	done := make(chan error, 1)
	value, err := json.Marshal(rec)
	if err == nil && len(value) > remote.MaxValueBytes {
		rec.Answer, rec.Reason = nil, "the answer does not fit into the job's record"
		value, err = json.Marshal(rec)
	}
	if err != nil {
		done <- err
		return done
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[rec.Job.ID]
	if e == nil {
		e = &entry{id: rec.Job.ID}
		r.entries[e.id] = e
	}
	if e.superseded {
		done <- errRecordSuperseded
		return done
	}
	e.value, e.dirty = value, true
	e.version++
	if r.down || e.conflict != nil {
		// The caller must not wait for the end of the outage. The write stays pending.
		done <- errkind.Wrap(errkind.StoreUnavailable, cmp.Or(e.conflict, errNoAnswer), "record of job %s", rec.Job.ID)
	} else {
		e.waiters = append(e.waiters, waiter{e.version, done})
	}
	r.enqueue(e)
	return done
}

func (r *records) enqueue(e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	if e.delayed = r.down; e.delayed {
		r.backlog = append(r.backlog, e)
	} else {
		r.ready = append(r.ready, e)
	}
	r.wakeWriter()
}

func (r *records) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// next returns an entry to write, or nil if there is none. During an outage only one entry at a
// time is written, as a probe.
func (r *records) next() (e *entry, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down && r.probing {
		return nil, false
	}
	if r.down {
		r.backlog = append(r.backlog, r.ready...)
		r.ready = nil
	}
	switch {
	case len(r.ready) > 0:
		e, r.ready = r.ready[0], r.ready[1:]
	case len(r.backlog) > 0:
		e, r.backlog = r.backlog[0], r.backlog[1:]
	default:
		return nil, false
	}
	if r.down {
		r.probing = true
	}
	return e, r.down
}

// run writes records until ctx is done.
func (r *records) run(ctx context.Context) {
	for {
		e, probe := r.next()
		if e == nil {
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
			continue
		}
		if probe && !wait.For(ctx, probeInterval+jitter(e.id, e.failedWrites, probeInterval)) {
			return
		}
		if !probe && e.delayed && r.limiter.Wait(ctx) != nil {
			return
		}
		r.write(ctx, e, probe)
	}
}

// write writes one entry. It queues the entry again if it changed in the meantime or the write failed.
func (r *records) write(ctx context.Context, e *entry, probe bool) {
	r.mu.Lock()
	if r.fenced.Load() {
		// A fenced owner writes nothing: its state is older than that of its successor.
		e.dirty = false
		e.notify(errRecordSuperseded)
	}
	value, version, expect, dirty := e.value, e.version, e.rev, e.dirty
	r.mu.Unlock()
	var rev uint64
	var err error
	if dirty {
		metrics.GetOrRegisterCounter("owner.record_writes", r.metrics).Inc(1)
		rev, err = r.swap(ctx, e.id, expect, value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.queued = false
	var superseded *supersededError
	switch {
	case !dirty:
	case err == nil:
		r.writeSucceeded(e, rev, version)
	case errors.As(err, &superseded):
		e.dirty, e.superseded = false, true
		e.notify(errRecordSuperseded)
		go r.onSuperseded(e.id, superseded.kv)
	default:
		r.writeFailed(e, err)
	}
	if dirty && (err == nil || superseded != nil || e.conflict != nil) {
		r.endOutage()
	} else if probe {
		r.probing = false
	}
	switch {
	case e.dirty && e.conflict != nil:
		e.queued = true
		time.AfterFunc(probeInterval, func() { r.retry(e) })
	case e.dirty:
		r.enqueue(e)
	}
	r.wakeWriter()
}

// retry queues an entry again whose write conflicted although the store returned an older value.
func (r *records) retry(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.queued = false; e.dirty {
		r.enqueue(e)
	}
}

func (r *records) writeSucceeded(e *entry, rev uint64, version int) {
	e.rev = rev
	e.writes++
	e.delayed, e.conflict = false, nil
	if e.version == version {
		e.dirty, e.value = false, nil
		go r.onStored(e.id)
	}
	kept := e.waiters[:0]
	for _, w := range e.waiters {
		if w.version <= version {
			w.done <- nil
		} else {
			kept = append(kept, w)
		}
	}
	e.waiters = kept
}

func (r *records) writeFailed(e *entry, err error) {
	e.notify(errkind.Wrap(errkind.StoreUnavailable, err, "record of job %s", e.id))
	e.conflict = nil
	e.failedWrites++
	if errors.Is(err, remote.ErrConflict) {
		e.conflict = err // the store answers, with an older value: this is not an outage
	} else if !r.down {
		r.down = true
		metrics.GetOrRegisterCounter("owner.record_outages", r.metrics).Inc(1)
		go r.onDelayed(len(r.ready)+len(r.backlog)+1, err)
	}
}

// endOutage resumes normal writing: all writers continue with the backlog.
func (r *records) endOutage() {
	r.down, r.probing = false, false
	for range recordWriters {
		r.wakeWriter()
	}
}

func (e *entry) notify(err error) {
	for _, w := range e.waiters {
		w.done <- err
	}
	e.waiters = nil
}

// supersededError contains the record that another owner has written.
type supersededError struct{ kv remote.KV }

func (e *supersededError) Error() string { return errRecordSuperseded.Error() }

// swap writes one record. An unknown result or a conflict is resolved by reading the record back:
// this owner recognises its own earlier write by the token.
func (r *records) swap(ctx context.Context, id string, expect uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for {
		rev, err := r.store.CompareAndSwap(ctx, recordKey(id), expect, value, 0)
		if err == nil {
			return rev, nil
		}
		kv, getErr := r.store.Get(ctx, recordKey(id))
		switch {
		case errors.Is(getErr, remote.ErrNotFound) && expect != 0 && errors.Is(err, remote.ErrConflict):
			return 0, &supersededError{kv: remote.KV{Key: recordKey(id), Revision: expect}}
		case getErr != nil:
			return 0, err
		case bytes.Equal(kv.Value, value):
			return kv.Revision, nil
		case kv.Revision <= expect:
			return 0, err // the write had no effect, or the read is stale
		}
		rec, decodeErr := decodeRecord(kv)
		if decodeErr != nil || rec.Token != r.token || rec.DataCentre != r.dc {
			return 0, &supersededError{kv: kv}
		}
		expect = kv.Revision
	}
}

// writeCount returns how often a job's record was written.
func (r *records) writeCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.writes
	}
	return 0
}
