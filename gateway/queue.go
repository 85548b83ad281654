package gateway

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/slots"
)

// strideUnit divided by a workspace's weight is its stride: the amount by which one dispatch increases
// its pass.
const strideUnit = 1 << 20

// waiter is one queued request.
type waiter struct {
	call   *call
	queue  *workspaceQueue
	elem   *list.Element // nil after removal from the queue
	urgent bool
	ready  chan slotOrError
}

// slotOrError is the result that the dispatcher sends to a waiter.
type slotOrError struct {
	slot *slots.Slot
	err  error
}

// workspaceQueue holds the queued requests of one workspace. Urgent ones are dispatched first.
type workspaceQueue struct {
	ws     *workspaceLimits
	urgent list.List
	normal list.List
	pass   int64 // sum of the strides of all dispatches
	index  int   // in the heap; -1 if the queue is empty
}

func (q *workspaceQueue) len() int { return q.urgent.Len() + q.normal.Len() }

func (q *workspaceQueue) list(urgent bool) *list.List {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

// fairQueue divides a service's slots between workspaces in proportion to their weights, by stride
// scheduling.
type fairQueue struct {
	mu               sync.Mutex
	workspaces       map[string]*workspaceQueue
	heap             passHeap
	currentPass      int64         // pass of the most recently dispatched workspace, before that dispatch
	length           int           // number of waiters
	running          bool          // a dispatcher goroutine is active
	cancelAcquire    func()        // cancels the dispatcher's wait for a slot
	dispatchInterval time.Duration // moving average of the time between dispatches
	lastDispatch     time.Time     // zero if the queue has been empty since
}

func newFairQueue() *fairQueue {
	return &fairQueue{workspaces: map[string]*workspaceQueue{}}
}

// push adds a waiter. It returns the number of waiters and whether the caller must start the dispatcher.
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
	f.length++
	if q.index < 0 {
		// An idle workspace does not accumulate credit for dispatches.
		q.pass = max(q.pass, f.currentPass)
		heap.Push(&f.heap, q)
	}
	start = !f.running
	f.running = true
	return f.length, start
}

// remove removes a waiter. It returns false if the waiter is no longer queued. It takes constant time,
// except that removing the last waiter of a workspace also removes the workspace from the heap.
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
	f.length--
	if f.length == 0 && f.cancelAcquire != nil {
		f.cancelAcquire()
	}
	if q.len() == 0 {
		heap.Remove(&f.heap, q.index)
		q.index = -1
	}
}

// pop removes and returns the next waiter of the workspace with the lowest pass, or nil if there is
// none. Waiters for which drop returns true are removed without a charge to the workspace.
func (f *fairQueue) pop(drop func(*waiter) bool) *waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.length > 0 {
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
		f.currentPass = q.pass
		q.pass += strideUnit / q.ws.weight.Load()
		if q.index >= 0 {
			heap.Fix(&f.heap, q.index)
		}
		f.updateInterval(time.Now())
		return w
	}
	return nil
}

// updateInterval updates the moving average of the time between dispatches. The caller must hold the
// lock.
func (f *fairQueue) updateInterval(now time.Time) {
	if !f.lastDispatch.IsZero() {
		gap := min(now.Sub(f.lastDispatch), time.Second)
		if f.dispatchInterval == 0 {
			f.dispatchInterval = gap
		}
		f.dispatchInterval += (gap - f.dispatchInterval) / 8
	}
	f.lastDispatch = now
}

func (f *fairQueue) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.length
}

// stopIfEmpty marks the dispatcher as stopped and returns true if the queue is empty. Otherwise
// cancelAcquire is called when the last waiter is removed.
func (f *fairQueue) stopIfEmpty(cancelAcquire func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelAcquire = cancelAcquire
	if f.length > 0 {
		return false
	}
	f.running = false
	f.lastDispatch = time.Time{} // idle time does not count as an interval between dispatches
	return true
}

// estimateWait estimates the time in the queue for a new request of the workspace, given that the
// workspace gets a share of the dispatches in proportion to its weight.
func (f *fairQueue) estimateWait(ws *workspaceLimits) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	requests, weights := 1, ws.weight.Load()
	for _, q := range f.heap {
		if q.ws == ws {
			requests += q.len()
		} else {
			weights += q.ws.weight.Load()
		}
	}
	dispatches := min(int64(requests)*weights/ws.weight.Load(), int64(f.length)+1)
	return time.Duration(dispatches) * f.dispatchInterval
}

// retryAfter returns the delay after which a refused request should be retried: the time in which half
// of the queue is dispatched, within limits.
func (f *fairQueue) retryAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(max(time.Duration(f.length)*f.dispatchInterval/2, minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// passHeap is a min-heap of the workspaces with queued requests, ordered by pass, then by name.
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
