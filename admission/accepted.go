package admission

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// owedWindow is the time over which the accepted jobs are compared with the weight.
	owedWindow = time.Second
	// maxOwed bounds the memory for the times of accepted jobs of a workspace. A workspace that is owed more is never
	// refused.
	maxOwed = 1024
)

// accepted has, by workspace, the times of acceptance of the newest jobs in ascending order, as many as it is owed. It
// has a lock of its own, so that the answers to instances do not wait for an assessment.
type accepted struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func newAccepted() *accepted { return &accepted{times: map[string][]time.Time{}} }

// owed returns how many jobs within which time are never refused. A workspace that is owed less than one job in
// owedWindow is owed one in a longer time.
func owed(weight float64) (jobs int, window time.Duration) {
	if weight <= 0 {
		return 0, 0
	}
	jobs = int(min(math.Ceil(weight), maxOwed+1))
	return jobs, time.Duration(min(float64(jobs)/weight*float64(owedWindow), float64(maxWait)))
}

// Accepted records that a job of a workspace with the given weight was accepted. Jobs may arrive in any order.
func (m *Monitor) Accepted(name string, weight float64, at time.Time) {
	a := m.accepted
	a.mu.Lock()
	defer a.mu.Unlock()
	jobs, _ := owed(weight)
	if jobs == 0 || jobs > maxOwed {
		delete(a.times, name)
		return
	}
	list := a.times[name]
	n, _ := slices.BinarySearchFunc(list, at, time.Time.Compare)
	list = slices.Insert(list, n, at)
	if excess := len(list) - jobs; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	a.times[name] = list
}

func (a *accepted) forget(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.times, name)
}

// refuseFor returns how long from now at least as many jobs as owed have been accepted within the window.
func (a *accepted) refuseFor(name string, weight float64, now time.Time) time.Duration {
	jobs, window := owed(weight)
	if jobs == 0 {
		return maxWait
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.times[name]
	if jobs > maxOwed || len(list) < jobs {
		return 0
	}
	return max(0, window-now.Sub(list[len(list)-jobs]))
}
