package jobservice

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

const (
	// maxAdmissionAge is the age from which the owner is asked again which workspaces are overloaded.
	maxAdmissionAge = 500 * time.Millisecond
	// minOwedAge is the same while an overloaded workspace has not got the jobs that it is owed, but at least owedAgePerPeer
	// for each other instance, so that the owner gets at most 200 such calls a second. Without it each instance would accept
	// without limit until it asks again.
	minOwedAge     = 50 * time.Millisecond
	owedAgePerPeer = 5 * time.Millisecond
	// admissionTimeout limits how long a submission waits for the owner's answer.
	admissionTimeout = 100 * time.Millisecond
)

// overloads is the last answer of an owner. It is empty if the owner did not answer.
type overloads struct {
	token      uint64 // of the owner that was asked
	asOf       suspend.Stamp
	unanswered bool
	of         map[string]admission.Overloads // by workspace
}

// overloadCache holds the last answer.
type overloadCache struct {
	calls      singleflight.Group // by token of the owner
	unanswered metrics.Counter

	mu   sync.Mutex
	last overloads
}

func newOverloadCache(registry metrics.Registry) *overloadCache {
	return &overloadCache{unanswered: metrics.GetOrRegisterCounter("jobs.admission_unanswered", registry)}
}

// Overloaded reports whether the job, of a workspace with a weight or a cap, must be refused because it could not be
// done in time, and when to retry. Without an answer of the current owner, the job is accepted.
func (s *Service) Overloaded(ctx context.Context, job *workload.Submission) (retryAfter time.Duration, refuse bool) {
	o, ok := s.overloadsFor(ctx, job)
	if !ok {
		return 0, false
	}
	return o.of[job.Workspace].Refusal(job, s.age(o), rand.Float64())
}

func (s *Service) overloadsFor(ctx context.Context, job *workload.Submission) (overloads, bool) {
	if s.opts.Term() != nil {
		return s.ownOverloads()
	}
	owner, ok := s.opts.Elector.Owner()
	if !ok || owner.Name == s.opts.Instance {
		return overloads{}, false
	}
	o := s.overloadCache.get()
	if o.token == owner.Token && !s.outdated(o, job) {
		return o, true
	}
	answer := s.overloadCache.calls.DoChan(strconv.FormatUint(owner.Token, 10), func() (any, error) {
		o := s.askOverloads(owner.Address, owner.Token)
		s.overloadCache.set(o)
		return o, nil
	})
	if o.token == owner.Token && o.unanswered {
		return overloads{}, false // the owner may still hang; the answer serves later submissions
	}
	timer := time.NewTimer(admissionTimeout)
	defer timer.Stop()
	select {
	case r := <-answer:
		o = r.Val.(overloads)
	case <-timer.C:
		s.overloadCache.setUnanswered(o, owner.Token, s.stamp())
		return overloads{}, false
	case <-ctx.Done():
		return overloads{}, false
	}
	current, ok := s.opts.Elector.Owner()
	return o, ok && current.Token == o.token
}

// ownOverloads returns what this instance has found out as the owner.
func (s *Service) ownOverloads() (overloads, bool) {
	term := s.currentTerm()
	if term == nil {
		return overloads{}, false
	}
	asOf := s.stamp()
	a, ok := term.Admission()
	return newOverloads(a, asOf), ok
}

func newOverloads(a jobowner.Admission, asOf suspend.Stamp) overloads {
	o := overloads{token: a.Token, asOf: asOf, of: map[string]admission.Overloads{}}
	for _, w := range a.Overloads {
		o.of[w.Workspace] = append(o.of[w.Workspace], w)
	}
	return o
}

func (s *Service) stamp() suspend.Stamp { return suspend.NewStamp(time.Now(), s.opts.Suspended()) }

func (s *Service) age(o overloads) time.Duration {
	return o.asOf.Age(time.Now(), s.opts.Suspended())
}

// outdated reports whether the owner must be asked again before the job is decided.
func (s *Service) outdated(o overloads, job *workload.Submission) bool {
	age := s.age(o)
	if age >= maxAdmissionAge {
		return true
	}
	if age < minOwedAge || !o.of[job.Workspace].Owes(job.Queue.Priority, age) {
		return false
	}
	return age >= owedAgePerPeer*time.Duration(len(s.opts.Elector.Peers()))
}

// askOverloads asks the owner with the token. An answer of another term is not used. If there is none, the owner is
// asked again after maxAdmissionAge, and no submission waits for it until it has answered.
func (s *Service) askOverloads(address string, token uint64) overloads {
	asked := s.stamp()
	ctx, cancel := context.WithTimeout(context.Background(), admissionTimeout)
	defer cancel()
	reply, err := s.opts.PeerClient(address).Admission(ctx, &relay.AdmissionRequest{})
	if err != nil || !reply.Owner || reply.Token != token {
		s.overloadCache.unanswered.Inc(1)
		s.opts.Log.Debug("the owner did not say which workspaces are overloaded", zap.Uint64("token", token), zap.Error(err))
		return overloads{token: token, asOf: s.stamp(), unanswered: true}
	}
	a := jobowner.Admission{Token: token}
	for _, o := range reply.Overloads {
		a.Overloads = append(a.Overloads, admission.Overload{Workspace: o.Workspace, Priority: int(o.Priority),
			Wait: time.Duration(o.WaitMs) * time.Millisecond, RefuseFor: time.Duration(o.RefuseForMs) * time.Millisecond})
	}
	return newOverloads(a, asked)
}

// HandleAdmission answers a peer which workspaces are overloaded, and how much room it may use. If this instance is not the
// owner, the reply is empty.
func (s *Service) HandleAdmission(_ context.Context, r *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	term := s.currentTerm()
	if term == nil {
		return &relay.AdmissionReply{}, nil
	}
	a, ok := term.Admission()
	reply := &relay.AdmissionReply{Owner: ok, Token: term.Token()}
	if room, known := term.Room(); known {
		reply.RoomKnown, reply.Room = true, roomFor(room, r.Bytes, len(s.opts.Elector.Peers())+1)
	}
	for _, o := range a.Overloads {
		reply.Overloads = append(reply.Overloads, &relay.Overload{Workspace: o.Workspace, Priority: int64(o.Priority),
			WaitMs: o.Wait.Milliseconds(), RefuseForMs: o.RefuseFor.Milliseconds()})
	}
	return reply, nil
}

func (c *overloadCache) get() overloads {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *overloadCache) set(o overloads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = o
}

// setUnanswered records that the owner has not answered in time, unless the entry has changed since it was last.
func (c *overloadCache) setUnanswered(last overloads, token uint64, now suspend.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.token == last.token && c.last.asOf == last.asOf {
		c.last = overloads{token: token, asOf: now, unanswered: true}
	}
}
