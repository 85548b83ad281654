package slots

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
)

// ask requests slots for an unmet demand.
func (p *Pool) ask(s *service) {
	p.askAll(s, false)
}

// askAll spreads the demand over the data centres in their order: each is asked for what
// those before it cannot give. A renewal also keeps existing grants alive.
func (p *Pool) askAll(s *service, renewal bool) {
	now := time.Now()
	names := p.opts.DataCentres()
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.demand()
	for _, dc := range names {
		l := s.leases[dc]
		if l == nil {
			l = &lease{spacing: askSpacing}
			s.leases[dc] = l
		}
		want := rest
		if p.opts.MayStart(dc) != nil {
			want = 0
		}
		have := s.granted(dc, now)
		expected := have
		if want > have && (!l.short || l.asking) {
			expected = want
		}
		rest = max(0, rest-expected)
		if l.asking || p.ctx.Err() != nil {
			continue
		}
		holds := s.holds(dc)
		due := renewal && (want > 0 || holds)
		miss := want > have && now.Sub(l.asked) >= l.spacing
		if due || miss {
			p.startAsk(s, dc, l, want, now)
		}
	}
}

func (s *service) holds(dataCentre string) bool {
	for _, g := range s.grants {
		if g.dataCentre == dataCentre && !g.returned {
			return true
		}
	}
	return false
}

// startAsk starts one lease call. The service's lock is held.
func (p *Pool) startAsk(s *service, dc string, l *lease, want int, now time.Time) {
	l.asking, l.asked = true, now
	r := s.request(p.opts.Instance, dc, want, now)
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		p.call(s, dc, l, r, want)
	}()
}

func (p *Pool) call(s *service, dc string, l *lease, r *peer.LeaseSlotsRequest, want int) {
	ctx, cancel := context.WithTimeout(p.ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	p.leaseCalls.Inc(1)
	reply, err := p.opts.Leaser.LeaseSlots(ctx, r)
	failed := err != nil || reply.ErrorKind != ""
	if failed {
		p.leaseErrors.Inc(1)
	} else {
		s.replace(dc, sent, reply, p.ranks(), p.worker)
	}
	s.mu.Lock()
	l.asking = false
	have := s.granted(dc, time.Now())
	l.short = failed || have < want
	if l.short {
		l.spacing = min(2*l.spacing, renewEvery)
	} else {
		l.spacing = askSpacing
	}
	more := l.short && s.queued+s.blocked > 0
	s.mu.Unlock()
	if !failed && len(r.GiveBack) > 0 || !failed && have != want {
		events.Info(p.opts.Log, events.SlotsLeased, zap.String("data_centre", dc), zap.String("service", s.name),
			zap.Int("wanted", want), zap.Int("granted", have), zap.Int("given_back", len(r.GiveBack)))
	}
	if more {
		p.ask(s)
	}
}

// returnAll gives idle grants back, so that others need not wait for their end.
func (p *Pool) returnAll() {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	p.services.Range(func(_, v any) bool {
		s := v.(*service)
		for _, dc := range p.opts.DataCentres() {
			s.mu.Lock()
			r := s.request(p.opts.Instance, dc, 0, time.Now())
			s.mu.Unlock()
			if len(r.GiveBack) == 0 {
				continue
			}
			calls.Go(func() {
				// Grants that are not given back end by themselves.
				_, _ = p.opts.Leaser.LeaseSlots(ctx, r)
			})
		}
		return true
	})
	calls.Wait()
}

func (p *Pool) ranks() map[string]int {
	names := p.opts.DataCentres()
	rank := make(map[string]int, len(names))
	for i, dc := range names {
		rank[dc] = i - len(names)
	}
	return rank
}
