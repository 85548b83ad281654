package slots

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
)

// requestSlots requests more slots if the demand exceeds the granted slots.
func (p *Pool) requestSlots(s *service) {
	p.requestFromDataCentres(s, false)
}

// requestFromDataCentres distributes the demand over the data centres in order of preference: each
// is asked for the part that the earlier ones cannot provide. A renewal also extends existing grants.
func (p *Pool) requestFromDataCentres(s *service, renewal bool) {
	now := time.Now()
	names := p.opts.DataCentres()
	s.mu.Lock()
	defer s.mu.Unlock()
	unmet := s.demand()
	for _, dc := range names {
		call := s.leaseCalls[dc]
		if call == nil {
			call = &leaseCallState{missInterval: minMissInterval}
			s.leaseCalls[dc] = call
		}
		wanted := unmet
		if p.opts.MayStart(dc) != nil {
			wanted = 0
		}
		usable := s.usableSlots(dc, now)
		expected := usable
		if wanted > usable && (!call.shortfall || call.inFlight) {
			expected = wanted
		}
		unmet = max(0, unmet-expected)
		if call.inFlight || p.ctx.Err() != nil {
			continue
		}
		hasGrants := s.hasGrants(dc)
		renewDue := renewal && (wanted > 0 || hasGrants)
		missDue := wanted > usable && now.Sub(call.lastStart) >= call.missInterval
		if renewDue || missDue {
			p.startLeaseCall(s, dc, call, wanted, now)
		}
	}
}

func (s *service) hasGrants(dataCentre string) bool {
	for _, g := range s.grants {
		if g.dataCentre == dataCentre && !g.returned {
			return true
		}
	}
	return false
}

// startLeaseCall starts a lease call in the background. The service's lock is held.
func (p *Pool) startLeaseCall(s *service, dc string, call *leaseCallState, wanted int, now time.Time) {
	call.inFlight, call.lastStart = true, now
	r := s.prepareRequest(p.opts.Instance, dc, wanted, now)
	p.pendingCalls.Add(1)
	go func() {
		defer p.pendingCalls.Done()
		p.leaseCall(s, dc, call, r, wanted)
	}()
}

func (p *Pool) leaseCall(s *service, dc string, call *leaseCallState, r *peer.LeaseSlotsRequest, wanted int) {
	ctx, cancel := context.WithTimeout(p.ctx, leaseCallTimeout)
	defer cancel()
	sent := time.Now()
	p.leaseCalls.Inc(1)
	reply, err := p.opts.Leaser.LeaseSlots(ctx, r)
	failed := err != nil || reply.ErrorKind != ""
	if failed {
		p.leaseErrors.Inc(1)
	} else {
		s.applyReply(dc, sent, reply, p.dataCentreRanks(), p.healthOf)
	}
	s.mu.Lock()
	call.inFlight = false
	usable := s.usableSlots(dc, time.Now())
	call.shortfall = failed || usable < wanted
	if call.shortfall {
		call.missInterval = min(2*call.missInterval, renewInterval)
	} else {
		call.missInterval = minMissInterval
	}
	retry := call.shortfall && s.queued+s.waiters > 0
	s.mu.Unlock()
	if !failed && len(r.GiveBack) > 0 || !failed && usable != wanted {
		events.Info(p.opts.Log, events.SlotsLeased, zap.String("data_centre", dc), zap.String("service", s.name),
			zap.Int("wanted", wanted), zap.Int("granted", usable), zap.Int("given_back", len(r.GiveBack)))
	}
	if retry {
		p.requestSlots(s)
	}
}

// returnIdleGrants returns idle grants, so that their slots are available before the grants expire.
func (p *Pool) returnIdleGrants() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	p.services.Range(func(_, v any) bool {
		s := v.(*service)
		for _, dc := range p.opts.DataCentres() {
			s.mu.Lock()
			r := s.prepareRequest(p.opts.Instance, dc, 0, time.Now())
			s.mu.Unlock()
			if len(r.GiveBack) == 0 {
				continue
			}
			calls.Go(func() {
				// A failed call is ignored: grants that are not returned expire.
				_, _ = p.opts.Leaser.LeaseSlots(ctx, r)
			})
		}
		return true
	})
	calls.Wait()
}

// dataCentreRanks maps each data centre to its rank. Ranks are negative, so that a data centre that is
// no longer listed has rank 0 and sorts last.
func (p *Pool) dataCentreRanks() map[string]int {
	names := p.opts.DataCentres()
	rank := make(map[string]int, len(names))
	for i, dc := range names {
		rank[dc] = i - len(names)
	}
	return rank
}
