package gateway

import "sync"

const maxLocations = 8192

// locationCache caches the data centre in which a job was last found. An entry may be outdated, since
// jobs can be transferred between data centres.
type locationCache struct {
	mu    sync.Mutex
	byJob map[string]string
	order [maxLocations]string // ring of job ids; the oldest entry is evicted
	next  int
}

func (l *locationCache) get(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byJob[id]
}

func (l *locationCache) put(id, dataCentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byJob == nil {
		l.byJob = map[string]string{}
	}
	if _, ok := l.byJob[id]; !ok {
		oldest := &l.order[l.next%maxLocations]
		delete(l.byJob, *oldest)
		*oldest = id
		l.next++
	}
	l.byJob[id] = dataCentre
}
