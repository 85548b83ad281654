package jobservice

import (
	"sync"
	"time"
)

const (
	// uncertainRetention is how long the id of a submission with an uncertain outcome is kept. A write without an answer
	// may take effect seconds after its timeout, also if its connection is closed.
	uncertainRetention = 2 * time.Minute
	// maxUncertain bounds these ids. While one is missing, nothing is refused.
	maxUncertain = 4096
)

// submissions has the ids of submissions for which a read of the store does not tell whether they will be stored: those
// in progress at this instance, as many as calls, and those with an outcome that was recently uncertain.
type submissions struct {
	mu        sync.Mutex
	open      map[string]*openID
	uncertain map[string]time.Time // until when each is kept
	missing   time.Time            // until when an id is missing that had no room
}

type openID struct {
	calls int // in progress
	begun int // since the first of them
}

func newSubmissions() *submissions {
	return &submissions{open: map[string]*openID{}, uncertain: map[string]time.Time{}}
}

// begin records a call with the id, which lasts until end is called.
func (s *submissions) begin(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.open[id]
	if o == nil {
		o = &openID{}
		s.open[id] = o
	}
	o.calls++
	o.begun++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if o.calls--; o.calls == 0 {
			delete(s.open, id)
		}
	}
}

// begun returns how many calls with the id have begun. alone is false if one besides the caller's is in progress, or if
// an earlier one may still be stored.
func (s *submissions) begun(id string) (n int, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.uncertain[id]) || now.Before(s.missing) {
		return 0, false
	}
	o := s.open[id]
	if o == nil {
		return 0, true
	}
	return o.begun, o.calls == 1
}

// mayBeStored reports whether an earlier submission of the id had an uncertain outcome, so that it may still be stored.
func (s *submissions) mayBeStored(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Before(s.uncertain[id]) || now.Before(s.missing)
}

func (s *submissions) markUncertain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	until := now.Add(uncertainRetention)
	if _, known := s.uncertain[id]; !known && len(s.uncertain) >= maxUncertain {
		for old, end := range s.uncertain {
			if !now.Before(end) {
				delete(s.uncertain, old)
			}
		}
		if len(s.uncertain) >= maxUncertain {
			s.missing = until
			return
		}
	}
	s.uncertain[id] = until
}
