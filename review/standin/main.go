// Command standin plays the cases of an independent review. It starts the processes of the system with the command of
// deploy/system.toml, and plays the platform, the workers and the clients for them on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	cannotPlay = 2
)

// limit is the longest play.
const limit = 112 * time.Second

// cases holds the plays by name. Each returns an error if it could not be played.
var cases = map[string]func(s *system, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		return cannotPlay
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotPlay
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotPlay
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSystem(r, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotPlay
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- cases[os.Args[1]](s, trouble) }()
	select {
	case err = <-played:
	case <-time.After(limit):
		err = fmt.Errorf("longer than %v", limit)
	case sig := <-stop:
		err = fmt.Errorf("stopped: %v", sig)
	}
	s.close()
	s.ledger.checkStartsAfterDone()
	switch {
	case err != nil:
		r.line("not played: %v", err)
		fmt.Println(filepath.Base(os.Args[1]), "not played:", err)
		return cannotPlay
	case r.broken() > 0:
		r.line("broken: %d breaches", r.broken())
		fmt.Println("broken:", r.broken(), "breaches")
		return broken
	}
	r.line("held")
	fmt.Println("held")
	return held
}

// await polls the condition until it holds or the time is over.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
