package jobowner_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobservice"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// admissionAction is a step of a session: an action at one of two instances.
type admissionAction struct {
	Name     string
	Instance int
	Count    int
}

func drawAdmission(t *rapid.T) []admissionAction {
	action := rapid.Custom(func(t *rapid.T) admissionAction {
		return admissionAction{Name: rapid.SampledFrom([]string{"hot", "hot", "hot", "hot", "calm", "repeat", "repeat", "twice", "twice", "twice", "kill", "lose", "late", "hang", "recover", "recover", "cap"}).Draw(t, "name"),
			Instance: rapid.IntRange(0, 1).Draw(t, "instance"), Count: rapid.IntRange(1, 40).Draw(t, "count")}
	})
	return rapid.SliceOfN(action, 20, 40).Draw(t, "actions")
}

// admissionSession has two instances that serve submissions, one of them as the owner.
type admissionSession struct {
	*system
	ctx       context.Context
	instances [2]*testInstance
	services  [2]atomic.Pointer[jobservice.Service] // calls to a peer read them while instances restart
	fronts    [2]http.Handler

	mu      sync.Mutex
	ids     []string
	answers map[string][]admissionAnswer // by id
	twice   map[string]bool              // ids of which the first two calls were at once
	refused int
}

type admissionAnswer struct {
	code int
	from *testInstance
}

// untrue reports whether a call was refused with "not run" although the instance could know that the job has been
// stored, or may still be, by an earlier call or one at the same time.
func untrue(answers []admissionAnswer, atOnce, stored bool) bool {
	for n, a := range answers {
		if a.code != http.StatusTooManyRequests {
			continue
		}
		before := n
		if atOnce && n < 2 {
			before = 2
		}
		for _, b := range answers[:before] {
			if b.code == http.StatusOK || b.code == http.StatusGatewayTimeout && b.from == a.from && stored {
				return true
			}
		}
	}
	return false
}

func (d *admissionSession) startInstance(n int) {
	name := fmt.Sprint("i", n)
	i := d.start(name)
	store := metastore.NewMonitor(i.client)
	d.instances[n] = i
	service := jobservice.New(jobservice.Options{Store: store, StoreHealthy: store.Healthy, CheckStore: store.Check, WriteTimeout: store.CallTimeout, Elector: i.elector,
		Instance: name, Log: d.log, Metrics: i.metrics, OwnershipValid: func() bool { return true },
		Term: func() jobservice.Term {
			if t := d.currentTerm(i); t != nil {
				return t
			}
			return nil
		},
		PeerClient: func(string) relay.DRPCRelayClient {
			if other := d.services[1-n].Load(); other != nil {
				return directPeer{service: other}
			}
			return deadPeer{}
		}})
	d.services[n].Store(service)
	d.fronts[n] = d.newFront(i, service)
	go store.Run(d.ctx)
}

func (d *admissionSession) submit(n int, workspace, id string) {
	steps := []workload.Step{{Tasks: 4, Demand: workload.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: 1}, Estimate: time.Second}}
	d.fleet.RecordSubmission(&workload.Submission{ID: id, Queue: *d.config.Load().Route("batch"), Workspace: workspace, Payload: workspace, Steps: steps})
	body := fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":4,"Cpu":100,"MemMb":100,"Gpu":1,"EstimateMs":1000}]}`, workspace)
	r := httptest.NewRequest(http.MethodPost, "http://host/batch/"+id, strings.NewReader(body))
	r.Header.Set("X-Api-Key", workspace)
	answer, from := httptest.NewRecorder(), d.instances[n]
	d.fronts[n].ServeHTTP(answer, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[id] = append(d.answers[id], admissionAnswer{answer.Code, from})
	if answer.Code == http.StatusTooManyRequests {
		d.refused++
	}
}

func (d *admissionSession) newID() string {
	d.ids = append(d.ids, fmt.Sprintf("%016x", len(d.ids)+1))
	return d.ids[len(d.ids)-1]
}

func (d *admissionSession) apply(a admissionAction) {
	i := d.instances[a.Instance]
	fault := func(f testplatform.Fault) {
		i.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" || f == testplatform.Silent {
				return f
			}
			return testplatform.None
		})
	}
	switch a.Name {
	case "hot":
		for range a.Count {
			d.submit(a.Instance, "hot", d.newID())
		}
	case "calm":
		d.submit(a.Instance, "calm", "c"+d.newID()[1:])
	case "repeat":
		for n := range min(a.Count, len(d.ids)) {
			if id := d.ids[len(d.ids)-1-n]; len(d.answers[id]) > 0 {
				d.submit(a.Instance, "hot", id)
			}
		}
	case "twice":
		var calls sync.WaitGroup
		id := d.newID()
		d.twice[id] = true
		for range 2 {
			calls.Go(func() { d.submit(a.Instance, "hot", id) })
		}
		calls.Wait()
	case "kill":
		d.services[a.Instance].Store(nil)
		d.kill(fmt.Sprint("i", a.Instance))
		d.startInstance(a.Instance)
	case "lose":
		fault(testplatform.AnswerLost)
	case "late":
		fault(testplatform.Late)
	case "hang":
		fault(testplatform.Silent)
	case "recover":
		fault(testplatform.None)
	case "cap":
		d.configure(workload.Workspace{Name: "hot", Keys: []string{"hot"}, Weight: 2, Cap: workload.Resources{Accelerators: 4 + a.Count%12}})
	}
	time.Sleep(time.Duration(a.Count) * 20 * time.Millisecond)
}

// finish returns the jobs that were accepted and lost, or refused and stored or started.
func (d *admissionSession) finish(t *testing.T) (failures []string) {
	for n := range d.instances {
		d.apply(admissionAction{Name: "recover", Instance: n})
	}
	time.Sleep(5 * time.Second) // late writes and starts take 3 s
	for id, answers := range d.answers {
		accepted, refused := false, true
		var codes []int
		for _, a := range answers {
			codes = append(codes, a.code)
			accepted = accepted || a.code == http.StatusOK
			refused = refused && (a.code == http.StatusTooManyRequests || a.code == http.StatusServiceUnavailable)
		}
		_, stored := d.store.Value(jobowner.JobKey(id))
		if refused && (stored || d.fleet.Started(id)) || untrue(answers, d.twice[id], stored) {
			failures = append(failures, fmt.Sprintf("UNTRUE: %s was refused and is stored: %v", id, codes))
		}
		if accepted {
			if state := d.waitForEnd(t, id, 5*time.Minute); state != workload.Completed {
				failures = append(failures, fmt.Sprintf("LOST: %s was accepted and is %s: %v", id, state, codes))
			}
		}
	}
	return append(failures, d.fleet.Violations()...)
}

// deadPeer is the client of an instance that is down.
type deadPeer struct{ relay.DRPCRelayClient }

var errDown = errors.New("down")

func (deadPeer) Admission(context.Context, *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	return nil, errDown
}
func (deadPeer) Announce(context.Context, *relay.AnnounceRequest) (*relay.AnnounceReply, error) {
	return nil, errDown
}
func (deadPeer) Submit(context.Context, *relay.SubmitRequest) (*relay.OutcomeReply, error) {
	return nil, errDown
}
func (deadPeer) Query(context.Context, *relay.QueryRequest) (*relay.QueryReply, error) {
	return nil, errDown
}

func (p directPeer) Submit(ctx context.Context, r *relay.SubmitRequest) (*relay.OutcomeReply, error) {
	return p.service.HandleSubmit(ctx, r)
}

func (p directPeer) Query(ctx context.Context, r *relay.QueryRequest) (*relay.QueryReply, error) {
	return p.service.HandleQuery(ctx, r)
}

// Load: a workspace sends more than its weight and its cap allow, beside a calm one, while its cap changes, calls are
// repeated, one id is sent twice at once, the store fails for an instance, and instances die, also the owner. Guards
// against an accepted job that is lost, a refused one that is stored or runs, and use above the cap.
func TestFuzzAdmission(t *testing.T) {
	refused := 0
	for seed := range 25 {
		actions := rapid.Custom(drawAdmission).Example(seed)
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := &admissionSession{ctx: ctx, answers: map[string][]admissionAnswer{}, twice: map[string]bool{}, system: newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}}, workload.Workspace{Name: "calm", Weight: 2})}
			defer d.stop()
			d.retention = time.Hour // the states are read at the end
			for n := range 2 {
				d.addWorker(fmt.Sprint("w", n), n)
			}
			for n := range d.instances {
				d.startInstance(n)
			}
			time.Sleep(2 * time.Second)
			for _, a := range actions {
				d.apply(a)
			}
			if failures := d.finish(t); len(failures) > 0 {
				t.Errorf("seed %d: %v\nactions: %+v", seed, failures, actions)
			}
			refused += d.refused
		})
	}
	t.Logf("%d refusals", refused)
	if refused < 100 {
		t.Errorf("%d refusals; the sessions must have many", refused)
	}
}
