package gateway

import "sync"

// locationsKept bounds the remembered data centres of jobs.
const locationsKept = 8192

// locations remembers where jobs were last seen. It is a hint: a job may be transferred.
type locations struct {
	mu    sync.Mutex
	byJob map[string]string
	order [locationsKept]string // ring of ids, the oldest is replaced
	next  int
}

func (l *locations) get(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byJob[id]
}

func (l *locations) put(id, dataCentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byJob == nil {
		l.byJob = map[string]string{}
	}
	if _, ok := l.byJob[id]; !ok {
		slot := &l.order[l.next%locationsKept]
		delete(l.byJob, *slot)
		*slot = id
		l.next++
	}
	l.byJob[id] = dataCentre
}
