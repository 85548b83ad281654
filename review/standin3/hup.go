package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup"] = hup }

const (
	lossSlack = 200 * time.Millisecond // LossSlackMs
	rollGap   = time.Second            // gap_s of roll_term
)

// balancer forwards each new connection to an instance in rotation, as the page on ingress says.
type balancer struct {
	sys    *system
	mu     sync.Mutex
	misses map[*instance]int
}

func newBalancer(s *system) *balancer {
	b := &balancer{sys: s, misses: map[*instance]int{}}
	for _, i := range s.instances {
		go b.probe(i)
	}
	return b
}

func (b *balancer) probe(i *instance) {
	c := http.Client{Timeout: time.Second}
	for range time.Tick(time.Second) {
		resp, err := c.Get("http://" + i.ready() + "/api/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // only the status is of interest
		}
		b.mu.Lock()
		if b.misses[i]++; ok {
			b.misses[i] = 0
		}
		b.mu.Unlock()
	}
}

// pick returns the instance for a new connection.
func (b *balancer) pick() *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*instance
	for _, i := range b.sys.instances {
		if b.misses[i] < 2 {
			list = append(list, i)
		}
	}
	if 2*len(list) < len(b.sys.instances) {
		list = b.sys.instances
	}
	return list[rand.IntN(len(list))]
}

// lost counts the requests that were left without an answer.
type lost struct {
	mu sync.Mutex
	n  int
}

// ask sends a request on a connection of its own. It counts one whose connection was accepted and ended without a complete
// answer later than LossSlackMs after the request was sent.
func (s *system) ask(i *instance, path string, l *lost) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r := s.send(c, i, http.MethodGet, path, nil)
	var timeout interface{ Timeout() bool }
	if r.err == nil || errors.As(r.err, &timeout) && timeout.Timeout() || r.took <= lossSlack {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	s.rec.say("no answer from %s: the connection ended %d ms after the request was sent", i.name, r.took.Milliseconds())
}

// hup plays a rolling restart of all instances, while clients ask for the length of a queue. The settings file of the last
// one changes while it stops.
func hup(s *system, trouble bool) bool {
	s.restartDelay = time.Second
	s.begin(12, 4)
	b, l := newBalancer(s), &lost{}
	end := time.Now().Add(20 * time.Second)
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() {
			for time.Now().Before(end) {
				s.ask(b.pick(), "/salt/", l)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	last := s.instances[len(s.instances)-1]
	for _, i := range s.instances {
		i.signal(syscall.SIGTERM)
		if i != last {
			time.Sleep(rollGap)
		}
	}
	time.Sleep(800 * time.Millisecond)
	if trouble {
		s.rec.say("the settings file of %s changes", last.name)
		last.signal(syscall.SIGHUP)
	}
	clients.Wait()
	for _, i := range s.instances {
		s.rec.say("%s: its first process ended with: %s", i.name, i.firstEnd())
	}
	s.rec.say("requests without an answer: %d", l.n)
	return l.n > 0
}
