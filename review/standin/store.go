package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
	valueBytes   = 1 << 20
)

// item is an item of the store in the form of the wire.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreatedAt uint64 `json:",omitempty"`
	Lease     int64  `json:",omitempty"`
	Removed   bool   `json:",omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store. It answers every call, in order.
type store struct {
	outage gate

	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	leases   map[int64]*lease
	history  []item
	changed  chan struct{}
	lastID   int64
}

func newStore() *store {
	return &store{revision: 100, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, raw, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.erase(key)
	s.notify()
}

func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[key]; i != nil {
		return string(i.Value)
	}
	return ""
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.CreatedAt
	}
	i := &item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, *i)
}

func (s *store) erase(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.erase(key)
		}
	}
	s.notify()
}

// run ends leases until stop is closed.
func (s *store) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, f func(r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s.outage.pass(r)
			time.Sleep(storeLatency)
			status, body := f(r)
			s.outage.pass(r)
			answer(w, status, body)
		})
	}
	handle("GET /api/kv-key", func(r *http.Request) (int, any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		i := s.items[r.URL.Query().Get("Key")]
		if i == nil {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, *i
	})
	handle("GET /api/kv-range", s.readRange)
	handle("GET /api/kv-watch", s.watch)
	handle("POST /api/kv-txn", s.commit)
	handle("POST /api/kv-lease", func(r *http.Request) (int, any) {
		var form struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&form) != nil {
			return http.StatusBadRequest, nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		ttl := time.Duration(form.TtlMs) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"Lease": s.lastID, "TtlMs": form.TtlMs}
	})
	handle("POST /api/kv-keep/{id}", func(r *http.Request) (int, any) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, nil
		}
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{}
	})
	handle("DELETE /api/kv-lease-end/{id}", func(r *http.Request) (int, any) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return http.StatusNotFound, nil
		}
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	})
	return mux
}

func (s *store) readRange(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, *s.items[key])
		size += len(s.items[key].Value)
	}
	return http.StatusOK, map[string]any{"items": items, "HasMore": more, "AsOf": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	prefix := r.URL.Query().Get("PathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, revision uint64) int {
			if i.Revision < revision {
				return -1
			}
			return 1
		})
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "AsOf": asOf}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "AsOf": asOf}
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) commit(r *http.Request) (int, any) {
	var form struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&form) != nil || len(form.Expect)+len(form.Puts)+len(form.Remove) > 32 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, met := []item{}, true
	for _, e := range form.Expect {
		revision := uint64(0)
		if i := s.items[e.Key]; i != nil {
			revision = i.Revision
			current = append(current, *i)
		}
		met = met && revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range form.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if len(p.Value) > valueBytes {
			return http.StatusRequestEntityTooLarge, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.revision++
	for _, p := range form.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range form.Remove {
		s.erase(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

// answer writes a response with a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails if the caller has closed the connection
	}
}

// gate makes calls silent while it is closed: they are neither executed nor answered.
type gate struct {
	mu     sync.Mutex
	closed bool
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// pass returns at once if the gate is open. Otherwise it waits until the caller has given up, and drops the
// connection.
func (g *gate) pass(r *http.Request) {
	if !g.isClosed() {
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(20 * time.Second):
	}
	panic(http.ErrAbortHandler)
}
