package slots

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenyard/cyclamenyard/peer"
)

// service holds the grants of one service.
type service struct {
	name string

	mu          sync.Mutex
	grants      []*grant
	inUse       int
	queued      int                        // requests in the gateway's queue
	waiters     int                        // callers of Acquire
	decayedPeak float64                    // peak demand of earlier renewal periods, decayed
	recentPeak  int                        // highest demand since the last renewal
	changed     chan struct{}              // closed when a waiter should retry
	leaseCalls  map[string]*leaseCallState // by data centre
}

// leaseCallState is the state of the lease calls of a service to one data centre.
type leaseCallState struct {
	inFlight     bool
	lastStart    time.Time     // start of the last call
	shortfall    bool          // the last call failed or granted fewer slots than wanted
	missInterval time.Duration // minimum time from lastStart to a call caused by a miss
}

// grant is one grant of slots on a worker.
type grant struct {
	id         string
	worker     *workerHealth
	address    string
	dataCentre string
	token      uint64
	slots      int
	used       int
	expires    time.Time
	paused     bool // the worker refused it; usable again after the next renewal
	revoked    bool
	returned   bool // returned to the owner, or missing from its last reply
}

func newService(name string) *service {
	return &service{name: name, changed: make(chan struct{}), leaseCalls: map[string]*leaseCallState{}}
}

func (g *grant) valid(now time.Time) bool {
	return !g.returned && g.expires.Sub(now) > expiryMargin
}

// assignable reports whether new attempts may use the grant.
func (g *grant) assignable(now time.Time) bool {
	return g.valid(now) && !g.paused && !g.revoked && !g.worker.leaving(now)
}

// choose returns the best grant with a free slot and the number of usable free slots.
// Workers due for a probe come first, then those with the fewest recent failures, then those with
// the most free slots, then those in the preferred data centre.
func (s *service) choose(now time.Time, req Requirements, stages *stageCache) (best *grant, free int) {
	bestScore := math.MaxInt
	for rank, g := range s.grants {
		if g.used >= g.slots || !g.assignable(now) || slices.Contains(req.ExcludedWorkers, g.worker.id) || stages.check(g.dataCentre) != nil {
			continue
		}
		health, ok := g.worker.score(now, req.Idempotent)
		if !ok {
			continue
		}
		free += g.slots - g.used
		// Grants are sorted by data centre preference, so a lower rank is a preferred data centre.
		if score := health<<20 - (g.slots-g.used)<<10 + rank; score < bestScore {
			best, bestScore = g, score
		}
	}
	return best, free
}

// chooseWithProbe is like choose, but marks an ejected worker as probing when it chooses one, so
// that only one attempt probes it.
func (s *service) chooseWithProbe(now time.Time, req Requirements, stages *stageCache) (best *grant, probe bool, free int) {
	for {
		best, free = s.choose(now, req, stages)
		if best == nil || best.worker.state.Load() == healthy {
			return best, false, free
		}
		if best.worker.state.CompareAndSwap(ejected, probing) {
			return best, true, free
		}
	}
}

// updateRecentPeak raises recentPeak to the current demand. The lock is held.
func (s *service) updateRecentPeak() {
	s.recentPeak = max(s.recentPeak, s.inUse+s.queued+s.waiters)
}

// decay starts a new period of the peak demand and removes idle grants that have ended.
func (s *service) decay(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decayedPeak = max(s.decayedPeak*demandDecayFactor, float64(s.recentPeak))
	s.recentPeak = s.inUse + s.queued + s.waiters
	s.grants = slices.DeleteFunc(s.grants, func(g *grant) bool {
		return g.used == 0 && (g.returned || !g.expires.After(now))
	})
}

// demand returns the number of slots that the instance wants over all data centres. The lock is held.
func (s *service) demand() int {
	peak := max(s.decayedPeak, float64(s.recentPeak))
	if peak < minDemand {
		return 0
	}
	return int(math.Ceil(peak)) + max(1, int(math.Ceil(peak*headroomShare)))
}

func (s *service) addWaiters(n int) {
	s.mu.Lock()
	s.waiters += n
	s.updateRecentPeak()
	s.mu.Unlock()
}

func (s *service) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// signalChange wakes the callers of Acquire. The lock is held.
func (s *service) signalChange() {
	if s.waiters == 0 {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) release(g *grant, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.used--
	s.inUse--
	switch r {
	case Refused:
		g.paused = true
	case Leaving:
		g.worker.leavingReportedAt.Store(time.Now().UnixNano())
	}
	s.signalChange()
}

// coversDemand reports whether the slots of the grant count towards the demand. Those of ejected
// workers do not.
func (g *grant) coversDemand(now time.Time) bool {
	return g.assignable(now) && g.worker.state.Load() == healthy
}

// usableSlots counts the usable slots of a data centre. The lock is held.
func (s *service) usableSlots(dataCentre string, now time.Time) int {
	n := 0
	for _, g := range s.grants {
		if g.dataCentre == dataCentre && g.coversDemand(now) {
			n += g.slots
		}
	}
	return n
}

// prepareRequest prepares a lease call to a data centre: it lists the grants to renew and returns idle
// grants that exceed the wanted slots. The slots of renewed grants that do not count towards the demand
// are added to the wanted slots. The lock is held.
func (s *service) prepareRequest(instance, dataCentre string, wanted int, now time.Time) *peer.LeaseSlotsRequest {
	r := &peer.LeaseSlotsRequest{Instance: instance, DataCentre: dataCentre, Service: s.name, Wanted: int32(wanted)}
	usable := s.usableSlots(dataCentre, now)
	for _, g := range slices.Backward(s.grants) {
		if g.dataCentre != dataCentre || g.returned {
			continue
		}
		covers := g.coversDemand(now)
		ending := g.revoked || g.worker.leaving(now)
		if g.used == 0 && (wanted == 0 || ending || covers && usable-g.slots >= wanted) {
			if covers {
				usable -= g.slots
			}
			g.returned = true
			r.GiveBack = append(r.GiveBack, g.id)
			continue
		}
		if !covers && wanted > 0 {
			r.Wanted += int32(g.slots)
		}
		r.Keep = append(r.Keep, g.id)
	}
	return r
}

// applyReply updates the grants from the owner's reply to a call that was sent at the given time.
// The reply lists all grants in force, so grants that it does not list have ended.
func (s *service) applyReply(dataCentre string, sent time.Time, r *peer.LeaseSlotsReply, rank map[string]int, healthOf func(string) *workerHealth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]*peer.Grant, len(r.Grants))
	for _, pg := range r.Grants {
		listed[pg.Id] = pg
	}
	for _, g := range s.grants {
		if g.dataCentre != dataCentre {
			continue
		}
		pg := listed[g.id]
		delete(listed, g.id)
		if pg == nil {
			g.returned = true
		} else if !g.returned {
			g.renew(sent, pg, r.Token)
		}
	}
	for _, pg := range r.Grants {
		if listed[pg.Id] == nil {
			continue
		}
		g := &grant{id: pg.Id, worker: healthOf(pg.Worker), dataCentre: dataCentre}
		g.renew(sent, pg, r.Token)
		s.grants = append(s.grants, g)
	}
	slices.SortStableFunc(s.grants, func(a, b *grant) int { return rank[a.dataCentre] - rank[b.dataCentre] })
	s.signalChange()
}

// renew updates the grant from the owner's reply. The validity counts from the time the request was
// sent, so that the grant expires here before it expires at the owner.
func (g *grant) renew(sent time.Time, pg *peer.Grant, token uint64) {
	g.address, g.slots, g.token = pg.Address, int(pg.Slots), token
	g.expires = sent.Add(time.Duration(pg.TtlMs) * time.Millisecond)
	g.paused, g.revoked = false, pg.Revoked
}

func (s *service) status(now time.Time) ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ServiceStatus{Service: s.name, InUse: s.inUse, Waiting: s.queued, Demand: s.demand()}
	for _, g := range s.grants {
		if g.returned && g.used == 0 {
			continue
		}
		st.Grants = append(st.Grants, GrantStatus{
			ID: g.id, Worker: g.worker.id, DataCentre: g.dataCentre, Slots: g.slots, Used: g.used,
			ExpiresIn: g.expires.Sub(now), Revoked: g.revoked,
		})
	}
	return st
}
