package jobowner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/admission"
	"github.com/cyclamenyard/cyclamenyard/jobfront"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobservice"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/platform"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// newLimitedSystem returns a system with the given workspaces, whose callers have keys of the same names.
func newLimitedSystem(workspaces ...workload.Workspace) *system {
	s := newSystem()
	for n := range workspaces {
		workspaces[n].Keys = []string{workspaces[n].Name}
		s.fleet.SetCap(workspaces[n].Name, workspaces[n].Cap)
	}
	config := workload.Config{Version: 1, Routes: slices.Clone(s.config.Load().Routes), Workspaces: workspaces}
	for n := range config.Routes {
		config.Routes[n].Host, config.Routes[n].PathPrefix = "host", "/"+config.Routes[n].Name+"/"
	}
	s.config.Store(workload.NewConfig(config))
	s.fleet.Guarantees = map[string]int{}
	return s
}

// overloaded returns the overloads of the workspace as the term answers them.
func overloaded(term *jobowner.Term, workspace string) (list admission.Overloads, ok bool) {
	a, ok := term.Admission()
	for _, o := range a.Overloads {
		if o.Workspace == workspace {
			list = append(list, o)
		}
	}
	return list, ok
}

// submitAs stores and announces a job of the workspace.
func (s *system) submitAs(i *testInstance, workspace, id string, steps ...workload.Step) {
	s.submitJob(&workload.Submission{ID: id, Queue: *s.config.Load().Route("urgent"), Workspace: workspace, Steps: steps, AcceptedAt: time.Now().UnixMilli()})
	s.announce(i, id)
}

// The owner of an overloaded workspace dies, and another instance takes over. Guards against a new owner that answers
// before it knows the workers, that takes the jobs which it has read for jobs that were just accepted, and so refuses
// what the workspace is owed, and against a former owner whose answer lasts.
func TestOwnerChangesDuringOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}}, workload.Workspace{Name: "calm", Weight: 2})
		defer s.stop()
		s.addWorker("w0", 0)
		s.addWorker("w1", 1)
		a := s.start("a")
		time.Sleep(time.Second)
		list, ok := overloaded(s.currentTerm(a), "hot")
		assert.True(t, ok)
		assert.Empty(t, list)
		for n := range 40 {
			s.submitAs(a, "hot", fmt.Sprint("hot", n), tasks(4, 1))
		}
		s.submitAs(a, "calm", "calm", tasks(4, 1))
		time.Sleep(600 * time.Millisecond) // covers an assessment and an idle loop
		former := s.currentTerm(a)
		list, _ = overloaded(former, "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].Wait, 15*time.Second, "160 tasks of 1 s, 8 at a time")
			assert.Greater(t, list[0].RefuseFor, time.Duration(0))
		}
		list, _ = overloaded(former, "calm")
		assert.Empty(t, list)
		assert.Positive(t, metrics.GetOrRegisterGauge("owner.workspace_wait_ms.hot", a.metrics).Value())

		s.kill("a")
		b := s.start("b")
		for s.currentTerm(b) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		for _, ok = s.currentTerm(b).Admission(); !ok; _, ok = s.currentTerm(b).Admission() {
			time.Sleep(10 * time.Millisecond)
		}
		_, ok = overloaded(former, "hot")
		assert.False(t, ok, "the former term has ended")
		assert.Zero(t, metrics.GetOrRegisterGauge("owner.workspace_wait_ms.hot", a.metrics).Value())
		list, _ = overloaded(s.currentTerm(b), "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].Wait, 8*time.Second)
			assert.Zero(t, list[0].RefuseFor, "it has accepted no job yet")
		}
		s.submitAs(b, "hot", "hot40", tasks(4, 1))
		s.submitAs(b, "hot", "hot41", tasks(4, 1))
		list, _ = overloaded(s.currentTerm(b), "hot")
		if assert.Len(t, list, 1) {
			assert.Greater(t, list[0].RefuseFor, time.Duration(0))
		}
		assert.Equal(t, workload.Completed, s.waitForEnd(t, "hot41", time.Minute))
		time.Sleep(500 * time.Millisecond)
		list, ok = overloaded(s.currentTerm(b), "hot")
		assert.True(t, ok)
		assert.Empty(t, list, "the backlog has drained")
		s.requireNoViolations(t)
	})
}

// The store's watch hangs and then delivers ten jobs, accepted 3 s apart, at once. Guards against taking them for more
// than the workspace is owed in a second.
func TestLateJobsAreNotTakenForABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}})
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		term := s.currentTerm(a)
		job := &workload.Submission{Queue: *s.config.Load().Route("urgent"), Workspace: "hot", Steps: []workload.Step{tasks(100, 1)}}
		for n := range 10 {
			job.ID, job.AcceptedAt = fmt.Sprint("late", n), time.Now().Add(-time.Duration(10-n)*3*time.Second).UnixMilli()
			raw, err := json.Marshal(job)
			assert.NoError(t, err)
			term.OnIntake(metastore.Change{Item: metastore.Item{Key: jobowner.JobKey(job.ID), Value: raw, Revision: 1}})
		}
		time.Sleep(600 * time.Millisecond) // covers an assessment and an idle loop
		list, _ := overloaded(term, "hot")
		if assert.Len(t, list, 1) {
			assert.Zero(t, list[0].RefuseFor)
		}
	})
}

// Callers repeat ten jobs of the last minute, which the owner did not know, and each is announced. Guards against taking
// them for more than the workspace is owed in a second.
func TestAnnouncedJobsCountFromTheirAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}})
		defer s.stop()
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		job := &workload.Submission{Queue: *s.config.Load().Route("urgent"), Workspace: "hot", Steps: []workload.Step{tasks(100, 1)}}
		for n := range 10 {
			job.ID, job.AcceptedAt = fmt.Sprint("repeated", n), time.Now().Add(-time.Minute).UnixMilli()
			raw, err := json.Marshal(job)
			assert.NoError(t, err)
			s.currentTerm(a).OnAnnounced(metastore.Change{Item: metastore.Item{Key: jobowner.JobKey(job.ID), Value: raw, Revision: 1}})
		}
		time.Sleep(600 * time.Millisecond) // covers an assessment and an idle loop
		list, _ := overloaded(s.currentTerm(a), "hot")
		if assert.Len(t, list, 1) {
			assert.Zero(t, list[0].RefuseFor)
		}
	})
}

// Callers of a workspace declare ten times the real run times. Guards against refusals of jobs that would be in time.
func TestBacklogIsMeasuredByRealRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedSystem(workload.Workspace{Name: "hot", Weight: 2, Cap: workload.Resources{Accelerators: 8}})
		defer s.stop()
		s.fleet.Outcome = func(workload.TaskName, int) (time.Duration, jobstate.End) {
			return 100 * time.Millisecond, jobstate.EndDone
		}
		s.addWorker("w0", 0)
		a := s.start("a")
		time.Sleep(time.Second)
		s.submitAs(a, "hot", "first", tasks(20, 1))
		time.Sleep(3 * time.Second)
		for n := range 60 {
			s.submitAs(a, "hot", fmt.Sprint("next", n), tasks(4, 1))
		}
		time.Sleep(600 * time.Millisecond) // covers an assessment and an idle loop
		list, ok := overloaded(s.currentTerm(a), "hot")
		assert.True(t, ok)
		assert.Empty(t, list, "240 tasks of 0.1 s, 8 at a time")
	})
}

// directPeer calls another instance's service directly. It implements only the calls in use.
type directPeer struct {
	relay.DRPCRelayClient
	service *jobservice.Service
}

func (p directPeer) Admission(ctx context.Context, r *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	return p.service.HandleAdmission(ctx, r)
}

func (p directPeer) Announce(ctx context.Context, r *relay.AnnounceRequest) (*relay.AnnounceReply, error) {
	return p.service.HandleAnnounce(ctx, r)
}

// newService returns the job service of the instance. owner is that of the owner; nil if it is the instance itself.
func (s *system) newService(i *testInstance, name string, owner *jobservice.Service) *jobservice.Service {
	store := metastore.NewMonitor(i.client)
	return jobservice.New(jobservice.Options{Store: store, StoreHealthy: store.Healthy, CheckStore: store.Check, WriteTimeout: store.CallTimeout, Elector: i.elector,
		Instance: name, Log: s.log, Metrics: i.metrics, OwnershipValid: func() bool { return true },
		Term: func() jobservice.Term {
			if owner != nil {
				return nil
			}
			return s.currentTerm(i)
		},
		PeerClient: func(string) relay.DRPCRelayClient { return directPeer{service: owner} }})
}

// A workspace sends 7 times its usual 2 jobs a second for 8 s beside nine calm ones, through the owner and through
// another instance. Its cap is 15 of 24 accelerators; a job takes 4 for 1 s. Guards against refused jobs of the calm
// ones, against refusals before the hot one has got its weight in jobs a second, against refused jobs in the store, and
// against a Retry-After that is shorter than its backlog takes to drain, or more than twice as long, and against use above
// the caps.
func TestHotWorkspaceBesideCalmOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workspaces := []workload.Workspace{{Name: "hot", Weight: 3, Cap: workload.Resources{Accelerators: 15}}}
		for n := range 9 {
			workspaces = append(workspaces, workload.Workspace{Name: fmt.Sprint("calm", n), Weight: 3, Cap: workload.Resources{Accelerators: 8}})
		}
		s := newLimitedSystem(workspaces...)
		defer s.stop()
		for n := range 3 {
			s.addWorker(fmt.Sprint("w", n), n)
		}
		a := s.start("a")
		time.Sleep(time.Second)
		b := s.start("b")
		time.Sleep(time.Second)
		ownService := s.newService(a, "a", nil)
		fronts := []http.Handler{s.newFront(a, ownService), s.newFront(b, s.newService(b, "b", ownService))}
		sent := 0
		submit := func(workspace, spec string, tasks int) (id string, answer *httptest.ResponseRecorder) {
			sent++
			id = fmt.Sprintf("%016x", sent)
			s.fleet.RecordSubmission(&workload.Submission{ID: id, Queue: *s.config.Load().Route("urgent"), Workspace: workspace, Payload: spec, Steps: []workload.Step{
				{Tasks: tasks, Demand: workload.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: 1}, Estimate: time.Second}}})
			body := fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":%d,"Cpu":100,"MemMb":100,"Gpu":1,"EstimateMs":1000}]}`, spec, tasks)
			r := httptest.NewRequest(http.MethodPost, "http://host/urgent/"+id, strings.NewReader(body))
			r.Header.Set("X-Api-Key", workspace)
			answer = httptest.NewRecorder()
			fronts[sent%2].ServeHTTP(answer, r)
			return id, answer
		}
		var accepted []time.Time // of the hot workspace
		var lastAccepted string
		refused, turn := 0, 0
		for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(time.Second / 14) {
			if calm := turn % 14; calm < 9 {
				_, answer := submit(fmt.Sprint("calm", calm), "calm", 1)
				assert.Equal(t, http.StatusOK, answer.Code)
			}
			turn++
			id, answer := submit("hot", "hot", 4)
			_, stored := s.store.Value(jobowner.JobKey(id))
			assert.Equal(t, answer.Code == http.StatusOK, stored)
			if stored {
				accepted, lastAccepted = append(accepted, time.Now()), id
				continue
			}
			refused++
			assert.Equal(t, http.StatusTooManyRequests, answer.Code)
			after, err := strconv.Atoi(answer.Header().Get("Retry-After"))
			assert.NoError(t, err)
			drain := s.openTasks(a, "hot")/15 - 7.5 // until a new job can begin 3 x (1.5 x 1 s + 1 s) after its acceptance
			assert.GreaterOrEqual(t, float64(after), max(1, drain))
			assert.LessOrEqual(t, float64(after), 2*(max(0, drain)+3)+1, "the random part doubles it; the wait may be a task and 0.75 s too long, and is rounded up")
			assert.LessOrEqual(t, s.fleet.Used("hot").Accelerators, 15)
			recent := slices.DeleteFunc(slices.Clone(accepted), func(at time.Time) bool { return time.Since(at) > time.Second })
			assert.GreaterOrEqual(t, len(recent), 3, "accepted in the second before a refusal")
		}
		assert.Greater(t, refused, 20)
		assert.EqualValues(t, refused, refusals(a)+refusals(b))
		assert.Equal(t, workload.Completed, s.waitForEnd(t, lastAccepted, time.Minute))
		time.Sleep(time.Second)
		for range 4 {
			_, answer := submit("hot", "hot", 4)
			assert.Equal(t, http.StatusOK, answer.Code, "the backlog has drained")
		}
		time.Sleep(3 * time.Second)
		s.requireNoViolations(t)
	})
}

func refusals(i *testInstance) int64 {
	return metrics.GetOrRegisterCounter("front.refused.queue_full.hot", i.metrics).Count()
}

func (s *system) newFront(i *testInstance, jobs *jobservice.Service) http.Handler {
	return jobfront.New(jobfront.Options{Codec: platform.JobCodec{}, Jobs: jobs, Log: s.log, Metrics: i.metrics, StoreOutage: func() time.Duration { return 0 },
		Config: func() (*workload.Config, time.Time) { return s.config.Load(), time.Now() }})
}

// openTasks returns the number of tasks of the workspace that run or wait, each of 1 s, less half of the running ones.
func (s *system) openTasks(i *testInstance, workspace string) (n float64) {
	s.currentTerm(i).WithCluster(func(c *jobstate.Cluster) {
		for _, j := range c.Jobs {
			if j.Submission.Workspace == workspace && !j.State.Ended() {
				step := j.Occurrences[0].Steps[0]
				n += float64(step.Waiting()) + float64(step.Active)/2
			}
		}
	})
	return n
}
