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

	mu      sync.Mutex
	grants  []*grant
	inUse   int
	queued  int // requests in the gateway's queue
	blocked int // callers of Acquire
	peak    float64
	burst   int // highest demand since the last decay
	changed chan struct{}
	leases  map[string]*lease // by data centre
}

// lease is the state of the lease calls to one data centre.
type lease struct {
	asking  bool
	asked   time.Time     // start of the last call
	short   bool          // the last reply gave fewer slots than wanted, or failed
	spacing time.Duration // least time until the next call on a miss
}

// grant is one grant of slots on a worker.
type grant struct {
	id         string
	worker     *worker
	address    string
	dataCentre string
	token      uint64
	slots      int
	used       int
	expires    time.Time
	paused     bool // the worker refused it; usable again after the next renewal
	revoked    bool
	returned   bool // given back, or not in the owner's last reply
}

func newService(name string) *service {
	return &service{name: name, changed: make(chan struct{}), leases: map[string]*lease{}}
}

func (g *grant) valid(now time.Time) bool {
	return !g.returned && g.expires.Sub(now) > expiryMargin
}

func (g *grant) open(now time.Time) bool {
	return g.valid(now) && !g.paused && !g.revoked && !g.worker.leaving(now)
}

// choose returns the best grant with a free slot and the number of usable free slots.
// Probes that are due come first, then workers by recent failures, then by the order of
// the data centres, then by free slots.
func (s *service) choose(now time.Time, w Requirements, stages *stageCheck) (best *grant, free int) {
	bestScore := math.MaxInt
	for rank, g := range s.grants {
		if g.used >= g.slots || !g.open(now) || slices.Contains(w.ExcludedWorkers, g.worker.id) || stages.check(g.dataCentre) != nil {
			continue
		}
		health, ok := g.worker.score(now, w.Idempotent)
		if !ok {
			continue
		}
		free += g.slots - g.used
		// Grants are kept in the order of the data centres, so the rank orders by locality.
		if score := health<<20 - (g.slots-g.used)<<10 + rank; score < bestScore {
			best, bestScore = g, score
		}
	}
	return best, free
}

// chooseProbing is choose for a caller that starts the probe of an ejected worker. Only
// one caller gets each probe.
func (s *service) chooseProbing(now time.Time, w Requirements, stages *stageCheck) (best *grant, probe bool, free int) {
	for {
		best, free = s.choose(now, w, stages)
		if best == nil || best.worker.state.Load() == healthy {
			return best, false, free
		}
		if best.worker.state.CompareAndSwap(ejected, probing) {
			return best, true, free
		}
	}
}

// notePeak keeps the highest demand between two decays. The lock is held.
func (s *service) notePeak() {
	s.burst = max(s.burst, s.inUse+s.queued+s.blocked)
}

func (s *service) decay(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak = max(s.peak*demandDecay, float64(s.burst))
	s.burst = s.inUse + s.queued + s.blocked
	s.grants = slices.DeleteFunc(s.grants, func(g *grant) bool {
		return g.used == 0 && (g.returned || !g.expires.After(now))
	})
}

// demand returns the slots that the instance wants in all data centres. The lock is held.
func (s *service) demand() int {
	peak := max(s.peak, float64(s.burst))
	if peak < demandFloor {
		return 0
	}
	return int(math.Ceil(peak)) + max(1, int(math.Ceil(peak*reserveShare)))
}

func (s *service) addBlocked(n int) {
	s.mu.Lock()
	s.blocked += n
	s.notePeak()
	s.mu.Unlock()
}

func (s *service) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// announce wakes the callers of Acquire. The lock is held.
func (s *service) announce() {
	if s.blocked == 0 {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) giveBack(g *grant, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.used--
	s.inUse--
	switch r {
	case Refused:
		g.paused = true
	case Leaving:
		g.worker.saidAt.Store(time.Now().UnixNano())
	}
	s.announce()
}

// counts reports whether the grant meets demand: the slots of ejected workers do not.
func (g *grant) counts(now time.Time) bool {
	return g.open(now) && g.worker.state.Load() == healthy
}

// granted counts the usable slots of a data centre. The lock is held.
func (s *service) granted(dataCentre string, now time.Time) int {
	n := 0
	for _, g := range s.grants {
		if g.dataCentre == dataCentre && g.counts(now) {
			n += g.slots
		}
	}
	return n
}

// request prepares the next lease call to a data centre: grants to keep, and idle grants
// above the wanted slots to return. Kept grants that meet no demand are asked for on top.
// The lock is held.
func (s *service) request(instance, dataCentre string, want int, now time.Time) *peer.LeaseSlotsRequest {
	r := &peer.LeaseSlotsRequest{Instance: instance, DataCentre: dataCentre, Service: s.name, Wanted: int32(want)}
	have := s.granted(dataCentre, now)
	for _, g := range slices.Backward(s.grants) {
		if g.dataCentre != dataCentre || g.returned {
			continue
		}
		counts := g.counts(now)
		ending := g.revoked || g.worker.leaving(now)
		if g.used == 0 && (want == 0 || ending || counts && have-g.slots >= want) {
			if counts {
				have -= g.slots
			}
			g.returned = true
			r.GiveBack = append(r.GiveBack, g.id)
			continue
		}
		if !counts && want > 0 {
			r.Wanted += int32(g.slots)
		}
		r.Keep = append(r.Keep, g.id)
	}
	return r
}

// replace takes over the owner's reply to a call that was sent at the given time. The
// reply lists every grant in force, so that others end.
func (s *service) replace(dataCentre string, sent time.Time, r *peer.LeaseSlotsReply, rank map[string]int, workerOf func(string) *worker) {
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
		g := &grant{id: pg.Id, worker: workerOf(pg.Worker), dataCentre: dataCentre}
		g.renew(sent, pg, r.Token)
		s.grants = append(s.grants, g)
	}
	slices.SortStableFunc(s.grants, func(a, b *grant) int { return rank[a.dataCentre] - rank[b.dataCentre] })
	s.announce()
}

// renew counts the validity from the time the request was sent, so that the grant ends
// here before it ends at the owner.
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
