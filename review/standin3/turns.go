package main

import (
	"fmt"
	"time"
)

func init() { cases["turns"] = turns }

const (
	leaseTime  = 3 * time.Second // LeaseMs
	yieldCheck = 3 * time.Second // how often a weak owner looks for a strong instance to hand over to
)

// turns plays a wave of upkeep during which a stronger instance is added, to which the elected one hands over. The first
// order for each machine is carried out and gets no answer.
func turns(s *system, trouble bool) bool {
	elected := time.Now()
	ordered := map[string]bool{}
	s.cloud.silent = func(machine string) bool {
		first := !ordered[machine]
		ordered[machine] = true
		return trouble && first
	}
	s.begin(12, 3, 0.192)
	first := s.owner()
	names := []string{}
	for _, m := range s.cloud.machines {
		names = append(names, m.name)
	}
	s.rec.say("an upkeep of %d machines is requested; %s is elected", len(names), first.name)
	s.store.write("op/wave/1", map[string]any{"Wave": 1, "Machines": names, "DurationS": 40, "Cap": 4})
	time.Sleep(2*time.Second + time.Until(time.Now().Add(yieldCheck-time.Since(elected)%yieldCheck)))
	added := s.addInstance(zoneOf(3), 0.8)
	s.rec.say("%s is added", added.name)
	added.start()
	if !waitFor(20*time.Second, func() bool { return s.owner() == added }) {
		s.rec.fail("%s did not hand over", first.name)
	}
	s.rec.say("%s is elected", added.name)
	waitFor(50*time.Second, func() bool { return s.store.value("status/wave/1") == `{"State":"completed"}` })
	s.rec.say("status of the wave: %s", s.store.value("status/wave/1"))
	return s.countTurns() > 0
}

// countTurns counts the orders for a machine that follow one of another holder within LeaseMs, both in touch.
func (s *system) countTurns() (n int) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	last := map[string]order{}
	for _, o := range s.cloud.orders {
		former, known := last[o.machine]
		last[o.machine] = o
		if !known || former.holder == o.holder || o.at.Sub(former.at) >= leaseTime || !s.inTouch(former) || !s.inTouch(o) {
			continue
		}
		n++
		s.rec.say("ONE: %s was ordered by %s with token %d and %d ms later by %s with token %d, both in touch", o.machine,
			former.holder, former.token, o.at.Sub(former.at).Milliseconds(), o.holder, o.token)
	}
	return n
}

// inTouch reports whether the holder's process had run for ContactMs when it sent the order. Nothing else disturbs.
func (s *system) inTouch(o order) bool {
	for _, i := range s.instances {
		if i.name == o.holder {
			return o.at.Sub(i.startedAt) >= contact
		}
	}
	panic(fmt.Sprintf("holder %q is no instance", o.holder))
}
