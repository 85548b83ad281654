package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time of an answer of the platform's store.
const storeLatency = 4 * time.Millisecond

// item is an entry of the store, as it is sent.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreatedAt uint64 `json:",omitempty"`
	Lease     int64
	Removed   bool `json:",omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// run ends expired leases.
func (s *store) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

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
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreatedAt = old.CreatedAt
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write puts a key as the operator and the workers do.
func (s *store) write(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, raw, 0)
}

// delete removes a key as the operator and the workers do.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// value returns the value of a key, or "".
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"AsOf": asOf})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Key": i.Key, "Value": i.Value, "Revision": i.Revision, "CreatedAt": i.CreatedAt, "Lease": i.Lease, "AsOf": asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		if len(items) == 500 || size > 1<<20 {
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": len(items) < len(keys), "AsOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || err2 != nil || wait > 30_000 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("PathPrefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, met := []item{}, true
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var g struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&g) != nil || g.TtlMs < 1000 || g.TtlMs > 600_000 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(g.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": g.TtlMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // an id that is no number names no lease
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // an id that is no number names no lease
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

// answer writes a JSON answer. It fails only if the caller has closed the connection.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body == nil {
		body = map[string]any{}
	}
	_ = json.NewEncoder(w).Encode(body)
}

func mustJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
