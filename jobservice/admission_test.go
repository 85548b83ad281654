package jobservice_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobservice"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// admissionPeer is the owner as an instance reaches it. It answers after the delay.
type admissionPeer struct {
	relay.DRPCRelayClient
	calls atomic.Int64
	delay time.Duration
	reply *relay.AdmissionReply
	err   error
}

func (p *admissionPeer) Admission(ctx context.Context, _ *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	p.calls.Add(1)
	select {
	case <-time.After(p.delay):
		return p.reply, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// asker is an instance that is not the owner.
type asker struct {
	*jobservice.Service
	elector   *ownership.Elector
	suspended time.Duration
}

func newAsker(p relay.DRPCRelayClient, term jobservice.Term) *asker {
	elector := ownership.New(ownership.Options{Self: ownership.Instance{Name: "self"}, Log: zap.NewNop()})
	a := &asker{elector: elector}
	a.Service = jobservice.New(jobservice.Options{Elector: elector, Instance: "self", Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Term: func() jobservice.Term { return term }, OwnershipValid: func() bool { return true },
		PeerClient: func(string) relay.DRPCRelayClient { return p }, Suspended: func() time.Duration { return a.suspended }})
	return a
}

func (a *asker) elect(token uint64) {
	value := fmt.Sprintf(`{"name":"owner%d","address":"owner"}`, token)
	a.elector.Apply(metastore.Change{Item: metastore.Item{Key: ownership.OwnerPrefix, Value: []byte(value), Created: token}})
}

func (a *asker) refuses(workspace string) bool {
	job := &workload.Submission{Workspace: workspace, Queue: workload.Route{TargetLatency: time.Second}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
	after, refuse := a.Overloaded(context.Background(), job)
	return refuse && after >= time.Second
}

// reply says that the workspace "hot" is overloaded for a minute and has got what it is owed.
func reply(token uint64) *relay.AdmissionReply {
	return &relay.AdmissionReply{Owner: true, Token: token, Overloads: []*relay.Overload{{Workspace: "hot", WaitMs: 60_000, RefuseForMs: 1000}}}
}

// Submissions of an overloaded and of a calm workspace arrive. Guards against refusals of the calm one, against a call
// to the owner for each submission, and against a copy that is used for longer than half a second.
func TestOwnerIsAskedOnceInHalfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &admissionPeer{reply: reply(7), delay: time.Millisecond}
		a := newAsker(p, nil)
		a.elect(7)
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() { assert.True(t, a.refuses("hot")) })
			callers.Go(func() { assert.False(t, a.refuses("calm")) })
		}
		callers.Wait()
		time.Sleep(400 * time.Millisecond)
		assert.True(t, a.refuses("hot"))
		assert.EqualValues(t, 1, p.calls.Load())
		time.Sleep(100 * time.Millisecond)
		p.reply = &relay.AdmissionReply{Owner: true, Token: 7}
		assert.False(t, a.refuses("hot"), "the backlog has drained")
		assert.EqualValues(t, 2, p.calls.Load())
	})
}

// An overloaded workspace has not got the jobs that it is owed. Guards against a copy by which an instance accepts all
// jobs of half a second instead of those that are owed.
func TestOwnerIsAskedSoonWhileJobsAreOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &admissionPeer{reply: reply(7)}
		p.reply.Overloads[0].RefuseForMs = 0
		a := newAsker(p, nil)
		a.elect(7)
		assert.False(t, a.refuses("hot"))
		p.reply = reply(7)
		assert.False(t, a.refuses("hot"))
		time.Sleep(60 * time.Millisecond)
		assert.False(t, a.refuses("calm"))
		assert.EqualValues(t, 1, p.calls.Load(), "not asked for a workspace that is not overloaded")
		assert.True(t, a.refuses("hot"))
	})
}

// Guards against refusals without an answer of the current owner, and against submissions that wait for one for longer
// than 100 ms, or each of them anew.
func TestNoAnswerOfTheOwnerAccepts(t *testing.T) {
	for name, c := range map[string]struct {
		token uint64 // of the owner; 0 for none
		peer  *admissionPeer
		calls int64
	}{
		"no owner":                           {0, &admissionPeer{reply: reply(0)}, 0},
		"owner that hangs":                   {7, &admissionPeer{reply: reply(7), delay: time.Hour}, 1},
		"owner that answers late":            {7, &admissionPeer{reply: reply(7), delay: 101 * time.Millisecond}, 1},
		"process without the call":           {7, &admissionPeer{err: fmt.Errorf("unknown rpc")}, 1},
		"instance that is no longer owner":   {7, &admissionPeer{reply: &relay.AdmissionReply{Token: 7, Overloads: reply(7).Overloads}}, 1},
		"former owner before it is told":     {7, &admissionPeer{reply: reply(6)}, 1},
		"later owner before this is told":    {7, &admissionPeer{reply: reply(8)}, 1},
		"owner without a current assessment": {7, &admissionPeer{reply: &relay.AdmissionReply{Token: 7}}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			a := newAsker(c.peer, nil)
			if c.token > 0 {
				a.elect(c.token)
			}
			began := time.Now()
			for range 10 {
				assert.False(t, a.refuses("hot"), name)
			}
			assert.LessOrEqual(t, time.Since(began), 100*time.Millisecond, name)
			assert.Equal(t, c.calls, c.peer.calls.Load(), name)
			time.Sleep(100 * time.Millisecond) // the call ends
		})
	}
}

// deafPeer is an owner that hangs; calls to it ignore their context.
type deafPeer struct {
	admissionPeer
	calls   atomic.Int64
	answers chan struct{} // closed when it answers again
}

func (p *deafPeer) Admission(context.Context, *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	p.calls.Add(1)
	<-p.answers
	return p.reply, nil
}

// The owner hangs for 10 s while 1,000 submissions arrive, one each 10 ms. Guards against more than one submission that
// waits for it, for at most 100 ms, also if the call ignores its context, and against an owner that is not asked any more
// after it has recovered.
func TestHangingOwnerDelaysOneSubmission(t *testing.T) {
	for name, deaf := range map[string]bool{"call ends in time": false, "call ignores its context": true} {
		synctest.Test(t, func(t *testing.T) {
			p := &admissionPeer{reply: reply(7), delay: time.Hour}
			d := &deafPeer{admissionPeer: admissionPeer{reply: reply(7)}, answers: make(chan struct{})}
			peer := relay.DRPCRelayClient(p)
			if deaf {
				peer = d
			}
			a := newAsker(peer, nil)
			a.elect(7)
			delayed := 0
			for range 1000 {
				began := time.Now()
				assert.False(t, a.refuses("hot"))
				if took := time.Since(began); took > 0 {
					delayed++
					assert.LessOrEqual(t, took, 100*time.Millisecond, name)
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, 1, delayed, name)
			assert.LessOrEqual(t, p.calls.Load()+d.calls.Load(), int64(20), name)
			p.delay = time.Millisecond
			close(d.answers)
			time.Sleep(time.Second)
			a.refuses("hot")
			time.Sleep(10 * time.Millisecond)
			assert.True(t, a.refuses("hot"), name)
		})
	}
}

// 40 instances have submissions of an overloaded workspace that is owed jobs. Guards against 800 calls a second to an
// owner with a fifth of a core.
func TestManyInstancesAskTheOwnerLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &admissionPeer{reply: reply(7)}
		p.reply.Overloads[0].RefuseForMs = 0
		a := newAsker(p, nil)
		a.elect(7)
		for n := range 39 {
			a.elector.Apply(metastore.Change{Item: metastore.Item{Key: ownership.InstancesPrefix + fmt.Sprint(n), Value: fmt.Appendf(nil, `{"name":"i%d","address":"a"}`, n)}})
		}
		for range 1000 {
			a.refuses("hot")
			time.Sleep(10 * time.Millisecond)
		}
		assert.LessOrEqual(t, p.calls.Load(), int64(10_000/195))
		assert.GreaterOrEqual(t, p.calls.Load(), int64(10_000/220))
	})
}

// The machine of an instance is suspended. Guards against refusals by an answer from before.
func TestAnswerFromBeforeASuspensionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &admissionPeer{reply: reply(7)}
		a := newAsker(p, nil)
		a.elect(7)
		assert.True(t, a.refuses("hot"))
		p.reply = &relay.AdmissionReply{Owner: true, Token: 7}
		a.suspended = time.Second
		assert.False(t, a.refuses("hot"))
	})
}

// The owner changes after it has answered, or while it does. Guards against refusals by the answer of a former owner.
func TestAnswerOfFormerOwnerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &admissionPeer{reply: reply(7), delay: 50 * time.Millisecond}
		a := newAsker(p, nil)
		a.elect(7)
		assert.True(t, a.refuses("hot"))
		a.elect(8)
		assert.False(t, a.refuses("hot"), "the copy is of the former owner, and the new one has not answered")
		time.Sleep(time.Second)
		p.reply = reply(8)
		assert.False(t, a.refuses("hot"), "does not wait after a call without an answer")
		time.Sleep(100 * time.Millisecond)
		assert.True(t, a.refuses("hot"), "it has answered in the background")
		time.Sleep(time.Second)
		go func() {
			time.Sleep(20 * time.Millisecond)
			a.elect(9)
		}()
		assert.False(t, a.refuses("hot"), "the owner changed while it was asked")
		p.reply = reply(9)
		assert.True(t, a.refuses("hot"))
	})
}

// limitedTerm is a term that has found the workspace "hot" overloaded.
type limitedTerm struct{ jobservice.Term }

func (limitedTerm) Admission() (jobowner.Admission, bool) {
	return jobowner.Admission{Token: 7, Overloads: []admission.Overload{{Workspace: "hot", Wait: time.Minute, RefuseFor: time.Second}}}, true
}

func (limitedTerm) Token() uint64       { return 7 }
func (limitedTerm) Room() (int64, bool) { return 0, false }

// Guards against an owner that does not refuse itself, or that answers peers otherwise, and against one that still
// refuses when another instance may have become the owner.
func TestOwnerAnswersItselfAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newInstance(testplatform.NewStore(), limitedTerm{}, nil)
		a := &asker{Service: owner.Service}
		assert.True(t, a.refuses("hot"))
		assert.False(t, a.refuses("calm"))
		got, err := owner.HandleAdmission(context.Background(), &relay.AdmissionRequest{})
		assert.NoError(t, err)
		assert.Equal(t, reply(7).String(), got.String())
		owner.deposed = true
		assert.False(t, a.refuses("hot"))
		got, err = owner.HandleAdmission(context.Background(), &relay.AdmissionRequest{})
		assert.NoError(t, err)
		assert.False(t, got.Owner)
	})
}
