package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// valueBytes is ValueBytes of the settings: the largest value that the store takes.
const valueBytes = 1 << 20

// pageItems and pageBytes bound a page of kv-range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

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

// store is the platform's key-value store.
type store struct {
	rec *record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	executed int           // transactions
	lateKey  string        // the next transaction that writes the key is not answered; "" for none
	lateBy   time.Duration // and executed this much later, if its conditions still hold then
}

func newStore(rec *record) *store {
	s := &store{rec: rec, revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key without a condition, as the operator and the workers do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot fail: values are plain maps and structs of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, raw, 0)
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.wake()
}

// writes returns the number of transactions that were executed.
func (s *store) writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) set(key string, raw []byte, l int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: raw, Revision: s.revision, CreatedAt: created, Lease: l}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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
			s.unset(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("Key")]
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, i)
	case r.URL.Path == "/api/kv-range":
		s.rangeOf(w, q.Get("PathPrefix"), q.Get("After"))
	case r.URL.Path == "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.watch(w, r, q.Get("PathPrefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/api/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/api/kv-lease":
		var f struct{ TtlMs int64 }
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := time.Duration(f.TtlMs) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]int64{"Lease": s.nextID, "TtlMs": f.TtlMs})
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/api/kv-keep/"), 10, 64)
		s.expire()
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/api/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) rangeOf(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, size, more := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(list) == pageItems || len(list) > 0 && size+len(i.Value) > pageBytes {
			more = true
			break
		}
		size += len(i.Value)
		list = append(list, i)
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "HasMore": more, "AsOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		var list []item
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				list = append(list, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "AsOf": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "AsOf": asOf})
			return
		case <-changed:
		}
	}
}

type txnForm struct {
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

// executeLate leaves the next transaction that writes the key unanswered and executes it later.
func (s *store) executeLate(key string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateKey, s.lateBy = key, by
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var f txnForm
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || len(f.Expect)+len(f.Puts)+len(f.Remove) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, p := range f.Puts {
		if len(p.Key) > 200 || len(p.Value) > valueBytes {
			s.rec.line("store: key %s: value of %d bytes refused: at most %d", p.Key, len(p.Value), valueBytes)
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
	}
	s.mu.Lock()
	by, late := s.lateBy, false
	for _, p := range f.Puts {
		late = late || p.Key == s.lateKey
	}
	if late {
		s.lateKey = ""
	}
	s.mu.Unlock()
	if late {
		s.rec.line("store: the write of %s is not answered and executed %v later", f.Puts[0].Key, by)
		time.AfterFunc(by, func() {
			status, _ := s.execute(&f)
			s.rec.line("store: the write of %s is executed late: %d", f.Puts[0].Key, status)
		})
		<-r.Context().Done()
		return
	}
	status, body := s.execute(&f)
	reply(w, status, body)
}

// execute carries out a transaction and returns its answer.
func (s *store) execute(f *txnForm) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	met, now := true, []item{}
	for _, e := range f.Expect {
		i, ok := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if !ok {
			i = item{Key: e.Key}
		}
		now = append(now, i)
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": now}
	}
	for _, p := range f.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	s.executed++
	for _, p := range f.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range f.Remove {
		s.unset(key)
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"Revision": s.revision}
}
