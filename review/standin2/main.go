// Command standin2 plays the cases of the second review: it starts stand-ins of the platform and of the
// workers, the system's own processes, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scene is the stand-ins and the processes of a case.
type scene struct {
	rec     *record
	st      *store
	fleet   *fleet
	workers []*worker
	cloud   *cloud
	sys     *system
	trouble bool // whether the disruption is played
}

// cases holds the cases by name.
var cases = map[string]func(*scene) error{
	"foreign-entry":     foreignEntry,
	"vanished":          vanished,
	"lost-replica":      lostReplica,
	"cancelled-unknown": cancelledUnknown,
	"overdue-runs":      overdueRuns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIR")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// longest is how long a case may take.
const longest = 115 * time.Second

func play(c func(*scene) error, dir string) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = rec.close() }()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	s := &scene{rec: rec, st: newStore(rec), trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("trouble: %v", s.trouble)
	s.sys = &system{rec: rec, dir: temp}
	defer s.sys.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
			rec.line("the case takes longer than %v", longest)
		}
		s.sys.stop()
		_ = os.RemoveAll(temp)
		os.Exit(2)
	}()
	if err := c(s); err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if bad := rec.violations(); len(bad) > 0 {
		fmt.Printf("broken %d times; first: %s\n", len(bad), bad[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// begin starts the workers and the given number of instances, and waits until these are ready and have had time to
// elect an owner.
func (s *scene) begin(workers, instances int) error {
	var err error
	if s.fleet, s.workers, err = newFleetOf(s.rec, s.st, workers); err != nil {
		return err
	}
	s.cloud = newCloud(s.rec, s.fleet, s.workers)
	if s.sys.cloud, err = serve(s.cloud); err != nil {
		return err
	}
	s.st.put("op/config", config(7))
	if s.sys.store == "" {
		if s.sys.store, err = serve(s.st); err != nil {
			return err
		}
	}
	for range instances {
		i, err := s.sys.add(s.sys.store, s.sys.cloud)
		if err != nil {
			return err
		}
		if err := s.sys.start(i); err != nil {
			return err
		}
	}
	if err := s.sys.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// await polls until f reports true, and returns an error after the limit.
func await(limit time.Duration, what string, f func() bool) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
}
