// Command standin3 plays the cases of the third review: it starts the system's processes among stand-ins of the users'
// platform, disturbs them and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 112 * time.Second

// cases maps the name of a case to its play, which reports whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD REPOSITORY")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[3])
	if err != nil {
		rec.fail("%v", err)
	}
	s := newSystem(rec, root)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			rec.fail("stopped by a signal")
		case <-time.After(longest):
			rec.fail("the case took too long")
		}
	}()
	broken := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	for _, i := range s.instances {
		i.mu.Lock()
		i.restarts = false
		i.mu.Unlock()
	}
	endProcesses()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	} else {
		fmt.Println("logs:", s.dir)
	}
	if broken {
		rec.say("the rule was broken")
		os.Exit(1)
	}
	rec.say("the rule held")
}
