package main

import (
	"errors"
	"time"
)

func init() { cases["wave-extended"] = waveExtended }

// waveExtended plays a wave of upkeep to which the operator adds two machines while it runs.
func waveExtended(s *system, trouble bool) error {
	if err := s.start(48, func(int) string { return "a" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var names []string
	for _, m := range s.fleet.machines[:6] {
		names = append(names, m.name)
	}
	request := func(names []string) {
		s.store.put("op/wave/1", map[string]any{"Wave": 1, "Machines": names, "DurationS": 40, "Cap": 1})
		s.record.line("wave 1 requested: %v", names)
	}
	requested := names[:4]
	request(requested)
	if trouble {
		if !await(20*time.Second, func() bool { return s.cloud.begun(names[1]) }) {
			return errors.New("the second upkeep did not begin")
		}
		requested = names
		request(requested)
	}
	if !await(50*time.Second, func() bool { return s.store.value("status/wave/1") == `{"State":"completed"}` }) {
		return errors.New("the wave was not completed")
	}
	s.record.line("wave 1 is said to be completed")
	time.Sleep(3 * time.Second) // also of the newest request
	if s.store.value("status/wave/1") != `{"State":"completed"}` {
		return errors.New("the wave is no longer said to be completed")
	}
	for _, name := range requested {
		if !s.cloud.begun(name) {
			s.record.breach("MIXED", "wave 1 is said to be completed, and machine %s, which stays, has not begun its upkeep", name)
		}
	}
	return nil
}
