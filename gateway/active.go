package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const activeShards = 16

// activeIDs is the set of ids of the non-idempotent requests in flight, sharded to reduce lock
// contention.
type activeIDs struct {
	shards [activeShards]struct {
		mu  sync.Mutex
		ids map[string]struct{}
	}
}

func (a *activeIDs) init() {
	for i := range a.shards {
		a.shards[i].ids = map[string]struct{}{}
	}
}

// add returns false if the id is already in flight.
func (a *activeIDs) add(key string) bool {
	s := &a.shards[xxhash.Sum64String(key)%activeShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ids[key]; ok {
		return false
	}
	s.ids[key] = struct{}{}
	return true
}

func (a *activeIDs) remove(key string) {
	s := &a.shards[xxhash.Sum64String(key)%activeShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, key)
}
