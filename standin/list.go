package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// List is the platform's list of instances and workers, with a lag. It implements
// remote.InstanceList.
type List struct {
	mu        sync.Mutex
	lag       time.Duration
	down      bool
	snapshots []listSnapshot // oldest first
}

type listSnapshot struct {
	at        time.Time
	instances []structs.Instance
	workers   []structs.Worker
}

// NewList returns an empty list whose changes become visible after the lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag}
}

// SetDown starts or ends an outage, in which reads of the list fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetInstances replaces the instances.
func (l *List) SetInstances(instances []structs.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.copyLatest()
	v.instances = append([]structs.Instance(nil), instances...)
	l.snapshots = append(l.snapshots, v)
}

// SetWorkers replaces the workers.
func (l *List) SetWorkers(workers []structs.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.copyLatest()
	v.workers = append([]structs.Worker(nil), workers...)
	l.snapshots = append(l.snapshots, v)
}

// copyLatest returns a new snapshot with the contents of the latest one.
func (l *List) copyLatest() listSnapshot {
	v := listSnapshot{at: time.Now()}
	if n := len(l.snapshots); n > 0 {
		v.instances, v.workers = l.snapshots[n-1].instances, l.snapshots[n-1].workers
	}
	return v
}

// visibleSnapshot returns the newest snapshot that is at least as old as the lag, and removes
// those before it.
func (l *List) visibleSnapshot() (listSnapshot, error) {
	if l.down {
		return listSnapshot{}, errNoAnswer
	}
	limit := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].at.After(limit) {
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) == 0 || l.snapshots[0].at.After(limit) {
		return listSnapshot{}, nil
	}
	return l.snapshots[0], nil
}

// Instances implements remote.InstanceList.
func (l *List) Instances(context.Context) ([]structs.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := l.visibleSnapshot()
	return v.instances, err
}

// Workers implements remote.InstanceList.
func (l *List) Workers(context.Context) ([]structs.Worker, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := l.visibleSnapshot()
	return v.workers, err
}
