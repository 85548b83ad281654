package main

import (
	"fmt"
	"time"
)

// begin starts machines, instances and the first configuration, and waits until the system serves. Traffic starts 10 s after the
// machines do; here a few seconds are enough.
func (s *system) begin(machines, instances int) {
	s.store.write("op/config", configuration(1))
	for n := range machines {
		s.cloud.add(fmt.Sprintf("m-%02d", n+1), zoneOf(n), fmt.Sprintf("r1-%d", n/6+1))
	}
	for n := range instances {
		s.addInstance(zoneOf(n)).start()
	}
	s.awaitReady()
	time.Sleep(3500 * time.Millisecond) // more than ContactMs, so that all are in touch
}

func zoneOf(n int) string { return []string{"oberbayern", "niederbayern"}[n%2] }
