package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// List is a lagging list of instances and workers. It implements remote.InstanceList.
type List struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	views []listView // oldest first
}

type listView struct {
	at        time.Time
	instances []structs.Instance
	workers   []structs.Worker
}

// NewList returns an empty list that shows changes after the lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag}
}

// SetDown starts or ends an outage of the list.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetInstances replaces the instances.
func (l *List) SetInstances(instances []structs.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.latest()
	v.instances = append([]structs.Instance(nil), instances...)
	l.views = append(l.views, v)
}

// SetWorkers replaces the workers.
func (l *List) SetWorkers(workers []structs.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.latest()
	v.workers = append([]structs.Worker(nil), workers...)
	l.views = append(l.views, v)
}

func (l *List) latest() listView {
	v := listView{at: time.Now()}
	if n := len(l.views); n > 0 {
		v.instances, v.workers = l.views[n-1].instances, l.views[n-1].workers
	}
	return v
}

// visible returns the newest view that is older than the lag and drops those before it.
func (l *List) visible() (listView, error) {
	if l.down {
		return listView{}, errNoAnswer
	}
	limit := time.Now().Add(-l.lag)
	for len(l.views) > 1 && !l.views[1].at.After(limit) {
		l.views = l.views[1:]
	}
	if len(l.views) == 0 || l.views[0].at.After(limit) {
		return listView{}, nil
	}
	return l.views[0], nil
}

// Instances implements remote.InstanceList.
func (l *List) Instances(context.Context) ([]structs.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := l.visible()
	return v.instances, err
}

// Workers implements remote.InstanceList.
func (l *List) Workers(context.Context) ([]structs.Worker, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := l.visible()
	return v.workers, err
}
