package gateway

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/slots"
)

// strideUnit divided by a workspace's weight is what one dispatch costs it.
const strideUnit = 1 << 20

// waiter is one queued request.
type waiter struct {
	call   *call
	queue  *workspaceQueue
	elem   *list.Element // nil once it has left the queue
	urgent bool
	ready  chan grantOrError
}

// grantOrError is what the dispatcher hands to a waiter.
type grantOrError struct {
	slot *slots.Slot
	err  error
}

// workspaceQueue holds the waiting requests of one workspace, urgent ones first.
type workspaceQueue struct {
	ws     *workspaceLimits
	urgent list.List
	normal list.List
	pass   int64 // dispatches so far, each divided by the weight
	index  int   // in the heap; -1 when nothing waits
}

func (q *workspaceQueue) len() int { return q.urgent.Len() + q.normal.Len() }

func (q *workspaceQueue) list(urgent bool) *list.List {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

// fairQueue shares a service's slots between workspaces in proportion to their weights
// by stride scheduling.
type fairQueue struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceQueue
	heap       passHeap
	now        int64 // pass of the last dispatch
	n          int
	running    bool   // a dispatcher serves the queue
	stopWait   func() // ends the dispatcher's wait for a slot
	interval   time.Duration
	last       time.Time // of the last dispatch
}

func newFairQueue() *fairQueue {
	return &fairQueue{workspaces: map[string]*workspaceQueue{}}
}

// push adds a waiter and returns the number of waiters and whether the caller must start
// the dispatcher.
func (f *fairQueue) push(w *waiter) (n int, start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.workspaces[w.call.workspace]
	if q == nil {
		q = &workspaceQueue{ws: w.call.ws, index: -1}
		f.workspaces[w.call.workspace] = q
	}
	w.queue, w.urgent = q, w.call.urgent
	w.elem = q.list(w.urgent).PushBack(w)
	f.n++
	if q.index < 0 {
		// A workspace that was idle does not save up turns.
		q.pass = max(q.pass, f.now)
		heap.Push(&f.heap, q)
	}
	start = !f.running
	f.running = true
	return f.n, start
}

// remove takes a waiter out in constant time, but for the heap when its workspace has
// nothing else waiting. It returns false when the waiter has already left.
func (f *fairQueue) remove(w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.elem == nil {
		return false
	}
	f.unlink(w)
	return true
}

func (f *fairQueue) unlink(w *waiter) {
	q := w.queue
	q.list(w.urgent).Remove(w.elem)
	w.elem = nil
	f.n--
	if f.n == 0 && f.stopWait != nil {
		f.stopWait()
	}
	if q.len() == 0 {
		heap.Remove(&f.heap, q.index)
		q.index = -1
	}
}

// pop takes the next waiter of the workspace that is furthest behind its share. A
// dropped waiter is not charged.
func (f *fairQueue) pop(drop func(*waiter) bool) *waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.n > 0 {
		q := f.heap[0]
		front := q.urgent.Front()
		if front == nil {
			front = q.normal.Front()
		}
		w := front.Value.(*waiter)
		f.unlink(w)
		if drop(w) {
			continue
		}
		f.now = q.pass
		q.pass += strideUnit / q.ws.weight.Load()
		if q.index >= 0 {
			heap.Fix(&f.heap, q.index)
		}
		f.dispatched(time.Now())
		return w
	}
	return nil
}

// dispatched follows the time between dispatches of a busy queue. The lock is held.
func (f *fairQueue) dispatched(now time.Time) {
	if !f.last.IsZero() {
		gap := min(now.Sub(f.last), time.Second)
		if f.interval == 0 {
			f.interval = gap
		}
		f.interval += (gap - f.interval) / 8
	}
	f.last = now
}

// size returns the number of waiters.
func (f *fairQueue) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// stopIfEmpty ends the dispatcher's turn when nothing waits. Otherwise stopWait will be
// called when the last waiter leaves.
func (f *fairQueue) stopIfEmpty(stopWait func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopWait = stopWait
	if f.n > 0 {
		return false
	}
	f.running = false
	f.last = time.Time{} // an idle time is no interval between dispatches
	return true
}

// wait estimates how long a new request of the workspace would wait: the workspace gets
// its weight's share of the dispatches.
func (f *fairQueue) wait(ws *workspaceLimits) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, weights := 1, ws.weight.Load()
	for _, q := range f.heap {
		if q.ws == ws {
			own += q.len()
		} else {
			weights += q.ws.weight.Load()
		}
	}
	turns := min(int64(own)*weights/ws.weight.Load(), int64(f.n)+1)
	return time.Duration(turns) * f.interval
}

// retryAfter estimates when a refused request would find room.
func (f *fairQueue) retryAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(max(time.Duration(f.n)*f.interval/2, minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// passHeap orders workspaces with waiting requests by pass, then by name.
type passHeap []*workspaceQueue

func (h passHeap) Len() int { return len(h) }
func (h passHeap) Less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	return h[i].ws.name < h[j].ws.name
}
func (h passHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *passHeap) Push(x any) {
	q := x.(*workspaceQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *passHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	return q
}
