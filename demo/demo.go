package demo

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/instance"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	commitTimeout     = 8 * time.Second
	ownersTimeout     = 8 * time.Second
	jobsTimeout       = 15 * time.Second
	baselineRequests  = 60
	requestsPerChange = 40
	concurrentCallers = 6
	outageDuration    = 1500 * time.Millisecond
	jobRunTime        = 1500 * time.Millisecond
)

// Options configures a demo.
type Options struct {
	Manifest structs.Manifest
	Out      io.Writer
	Log      *zap.Logger // nil for no log
}

// session is a run of the demo with the replies that its callers received.
type session struct {
	*system
	out         io.Writer
	manifest    structs.Manifest
	mu          sync.Mutex
	sent        []sentRequest
	jobs        []sentJob
	withdrawals []withdrawal
}

type sentRequest struct {
	request
	reply reply
}

type sentJob struct {
	id     string
	tasks  int
	reply  reply
	record structs.JobRecord
}

// withdrawal is a time in which a data centre was out of service.
type withdrawal struct {
	dataCentre  string
	withdrawnAt time.Time // the withdrawal is in force at all instances
	returnStart time.Time // start of the commit that opens the data centre again
}

// Run runs the demo. It returns an error for the first check that fails.
func Run(o Options) error {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	started := time.Now()
	sys, err := start(o.Manifest, o.Log)
	if err != nil {
		return err
	}
	s := &session{system: sys, out: o.Out, manifest: o.Manifest}
	err = s.runScenario()
	s.printf("stopping: every instance finishes its requests and hands its data centres over\n")
	err = errors.Join(err, s.close())
	if err == nil {
		err = s.check()
	}
	s.report()
	if err != nil {
		s.printf("FAILED after %v: %v\n", time.Since(started).Round(time.Millisecond), err)
		return err
	}
	s.printf("ok after %v\n", time.Since(started).Round(time.Millisecond))
	return nil
}

func (s *session) printf(format string, args ...any) {
	// A failed write does not end the demo, as the exit code reports the outcome.
	_, _ = fmt.Fprintf(s.out, format, args...)
}

// runScenario sends the commits and requests of the demo and waits for the jobs.
func (s *session) runScenario() error {
	s.printf("%d instances and %d workers in %d data centres run on loopback\n", len(s.instances), len(s.fleet.Workers), len(s.manifest.DataCentres))
	if err := s.commit(s.manifest); err != nil {
		return err
	}
	if err := s.waitOwners(); err != nil {
		return err
	}
	s.printf("\n%d rota requests from %d callers, among them one sent twice and one that is invalid\n", baselineRequests, concurrentCallers)
	s.sendRequests("before", baselineRequests)
	s.sendRefusedRequests()
	s.printf("\ngang jobs: three that fit, one that no data centre could ever hold\n")
	s.submitJobs()
	out := s.manifest.DataCentres[0].Name
	if err := s.withdraw(out); err != nil {
		return err
	}
	s.sendRequests("while-out", requestsPerChange)
	time.Sleep(outageDuration) // long enough for a gang to restart in another data centre
	if err := s.returnToService(out); err != nil {
		return err
	}
	s.sendRequests("returned", requestsPerChange)
	return s.waitJobs()
}

// commit applies a manifest and waits until it is in force at all instances.
func (s *session) commit(m structs.Manifest) error {
	started := time.Now()
	var err error
	// An instance refuses commits until it has been on the platform's list for some time.
	if pollErr := poll(commitTimeout, "a commit is accepted", func() bool {
		err = apply(s.infos[0].AdminAddr, m)
		return err == nil
	}); pollErr != nil {
		return errors.Join(pollErr, err)
	}
	accepted := time.Since(started)
	number := s.instances[0].Status().Revision
	if err := poll(commitTimeout, "the manifest is in force at every instance", func() bool {
		return !slices.ContainsFunc(s.instances, func(i *instance.Instance) bool { return i.Revision() < number })
	}); err != nil {
		return err
	}
	s.printf("manifest revision %d: committed after %v, in force everywhere after %v\n", number,
		accepted.Round(time.Millisecond), time.Since(started).Round(time.Millisecond))
	return nil
}

// waitOwners waits until all data centres have an owner that places work.
func (s *session) waitOwners() error {
	err := poll(ownersTimeout, "every data centre has an owner", func() bool {
		return len(s.instances[0].Status().DataCentresWithOwner()) == len(s.manifest.DataCentres)
	})
	for _, d := range s.instances[0].Status().DataCentres {
		s.printf("  %s: stage %s, owner %s\n", d.Name, d.Stage, d.Owner)
	}
	return err
}

// sendRequests sends n short requests to all instances in turn from concurrent callers.
func (s *session) sendRequests(phase string, n int) {
	var callers sync.WaitGroup
	for c := range concurrentCallers {
		callers.Go(func() {
			for i := c; i < n; i += concurrentCallers {
				ws := s.manifest.Workspaces[i%len(s.manifest.Workspaces)].Name
				s.request(i, request{
					Workspace: ws, Service: s.firstService(structs.KindRequest), ID: fmt.Sprintf("%s-%d", phase, i),
					Idempotent: i%2 == 0, Body: fmt.Sprintf("shift %s %d", phase, i),
				})
			}
		})
	}
	callers.Wait()
}

// request sends a request to instance n modulo the number of instances and records the reply.
func (s *session) request(n int, q request) reply {
	r := q.send(s.infos[n%len(s.infos)].CallerAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sentRequest{q, r})
	return r
}

// sendRefusedRequests sends a non-idempotent request twice, to different instances, and a request of
// an unknown workspace. Instances must refuse the second and the third.
func (s *session) sendRefusedRequests() {
	q := request{Workspace: s.manifest.Workspaces[0].Name, Service: s.firstService(structs.KindRequest), ID: "sent-twice", Body: "plough 7"}
	first, second := s.request(0, q), s.request(1, q)
	s.printf("  sent-twice: first answered %d, second %d %s (%s)\n", first.Status, second.Status, second.Kind, second.RunState)
	q.Workspace, q.ID = "nobody", "unknown-workspace"
	r := s.request(2, q)
	s.printf("  unknown-workspace: %d %s (%s): %s\n", r.Status, r.Kind, r.RunState, r.Message)
}

// firstService returns the name of the manifest's first service of a kind.
func (s *session) firstService(kind structs.ServiceKind) string {
	for _, svc := range s.manifest.Services {
		if svc.Kind == kind {
			return svc.Name
		}
	}
	return ""
}

// submitJobs submits three adjacent gangs of whole workers, and a job whose task needs more
// accelerators than a worker has.
func (s *session) submitJobs() {
	whole := s.manifest.DataCentres[0].Fleet.Capacity
	task := structs.Resources{Slots: whole.Slots, Processors: whole.Processors / 2, MemoryMB: whole.MemoryMB / 2, Accelerators: whole.Accelerators}
	for n, tasks := range []int{4, 2, 3} {
		s.submit(n, fmt.Sprintf("gang-%d", n+1), structs.Shape{Tasks: tasks, Task: task, Adjacent: true})
	}
	task.Accelerators *= 2
	s.submit(0, "too-large", structs.Shape{Tasks: 1, Task: task})
}

func (s *session) submit(n int, name string, shape structs.Shape) {
	ws := s.manifest.Workspaces[0].Name
	r := submitJob(s.infos[n%len(s.infos)].CallerAddr, gateway.JobRequest{
		Workspace: ws, Service: s.firstService(structs.KindJob), RequestID: name, Shape: shape,
		Checkpoint: true, DeclaredMS: jobRunTime.Milliseconds(), Payload: fmt.Appendf(nil, `{"run_ms": %d, "answer": "plan of %s"}`, jobRunTime.Milliseconds(), name),
	})
	s.jobs = append(s.jobs, sentJob{id: ws + "/" + name, tasks: shape.Tasks, reply: r})
	if r.ok() {
		s.printf("  %s (%s): accepted\n", name, shape)
	} else {
		s.printf("  %s (%s): refused %d %s (%s): %s\n", name, shape, r.Status, r.Kind, r.RunState, r.Message)
	}
}

func (s *session) withdraw(dc string) error {
	s.printf("\noperators take %s out\n", dc)
	if err := s.commit(withStage(s.manifest, dc, structs.StageOut)); err != nil {
		return err
	}
	s.withdrawals = append(s.withdrawals, withdrawal{dataCentre: dc, withdrawnAt: time.Now()})
	return nil
}

func (s *session) returnToService(dc string) error {
	s.printf("\noperators bring %s back\n", dc)
	s.withdrawals[len(s.withdrawals)-1].returnStart = time.Now()
	return s.commit(withStage(s.manifest, dc, structs.StageOpen))
}

func withStage(m structs.Manifest, dc string, stage structs.Stage) structs.Manifest {
	m.DataCentres = slices.Clone(m.DataCentres)
	m.DataCentre(dc).Stage = stage
	return m
}

// waitJobs waits until all accepted jobs have ended.
func (s *session) waitJobs() error {
	end := time.Now().Add(jobsTimeout)
	for i := range s.jobs {
		j := &s.jobs[i]
		if !j.reply.ok() {
			continue
		}
		var err error
		for time.Now().Before(end) && j.record.Phase != structs.PhaseEnded {
			if j.record, err = jobRecord(s.infos[i%len(s.infos)].CallerAddr, j.id, time.Second); err != nil {
				time.Sleep(pollInterval)
			}
		}
		if j.record.Phase != structs.PhaseEnded {
			s.explain(j.id)
			return errors.Join(fmt.Errorf("job %s has not ended: %s %s", j.id, j.record.Phase, j.record.Reason), err)
		}
	}
	return nil
}

// explain prints the recorded decisions about a job.
func (s *session) explain(id string) {
	r := send(http.MethodGet, "http://"+s.infos[0].AdminAddr+"/v1/explain?id="+id, nil, nil)
	s.printf("  decisions about %s: %s\n", id, r.Body)
}
