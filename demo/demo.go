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
	commitTimeout = 8 * time.Second
	ownersTimeout = 8 * time.Second
	jobsTimeout   = 15 * time.Second
	rotaRequests  = 60
	duringChange  = 40
	callersAtOnce = 6
	outFor        = 1500 * time.Millisecond
	jobRun        = 1500 * time.Millisecond
)

// Options configures a demo.
type Options struct {
	Manifest structs.Manifest
	Out      io.Writer
	Log      *zap.Logger // nil for no log
}

// session is one run of the demo and what its callers got.
type session struct {
	*system
	out      io.Writer
	manifest structs.Manifest
	mu       sync.Mutex
	sent     []sentRequest
	jobs     []sentJob
	outages  []outage
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

// outage is the time in which a data centre was out.
type outage struct {
	dataCentre string
	committed  time.Time
	returned   time.Time // start of the return's commit
}

// Run runs the demo. The error names the first check that failed.
func Run(o Options) error {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	began := time.Now()
	sys, err := start(o.Manifest, o.Log)
	if err != nil {
		return err
	}
	s := &session{system: sys, out: o.Out, manifest: o.Manifest}
	err = s.play()
	s.printf("stopping: every instance finishes its requests and hands its data centres over\n")
	err = errors.Join(err, s.close())
	if err == nil {
		err = s.check()
	}
	s.report()
	if err != nil {
		s.printf("FAILED after %v: %v\n", time.Since(began).Round(time.Millisecond), err)
		return err
	}
	s.printf("ok after %v\n", time.Since(began).Round(time.Millisecond))
	return nil
}

func (s *session) printf(format string, args ...any) {
	// The demo goes on when its output is closed; its exit code tells the outcome.
	_, _ = fmt.Fprintf(s.out, format, args...)
}

// play drives operators and callers.
func (s *session) play() error {
	s.printf("%d instances and %d workers in %d data centres run on loopback\n", len(s.instances), len(s.fleet.Workers), len(s.manifest.DataCentres))
	if err := s.commit(s.manifest); err != nil {
		return err
	}
	if err := s.waitOwners(); err != nil {
		return err
	}
	s.printf("\n%d rota requests from %d callers, among them one sent twice and one that is invalid\n", rotaRequests, callersAtOnce)
	s.rota("before", rotaRequests)
	s.special()
	s.printf("\ngang jobs: three that fit, one that no data centre could ever hold\n")
	s.submitJobs()
	out := s.manifest.DataCentres[0].Name
	if err := s.withdraw(out); err != nil {
		return err
	}
	s.rota("while-out", duringChange)
	time.Sleep(outFor) // long enough for the gang there to move
	if err := s.bringBack(out); err != nil {
		return err
	}
	s.rota("returned", duringChange)
	return s.awaitJobs()
}

// commit applies a manifest and waits until every instance has it in force.
func (s *session) commit(m structs.Manifest) error {
	began := time.Now()
	var err error
	// An instance accepts commits once it has been on the platform's list for a while.
	if perr := poll(commitTimeout, "a commit is accepted", func() bool {
		err = apply(s.infos[0].AdminAddr, m)
		return err == nil
	}); perr != nil {
		return errors.Join(perr, err)
	}
	accepted := time.Since(began)
	number := s.instances[0].Status().Revision
	if err := poll(commitTimeout, "the manifest is in force at every instance", func() bool {
		return !slices.ContainsFunc(s.instances, func(i *instance.Instance) bool { return i.Revision() < number })
	}); err != nil {
		return err
	}
	s.printf("manifest revision %d: committed after %v, in force everywhere after %v\n", number,
		accepted.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	return nil
}

// waitOwners waits until every data centre has an owner that places work.
func (s *session) waitOwners() error {
	err := poll(ownersTimeout, "every data centre has an owner", func() bool {
		return len(s.instances[0].Status().DataCentresWithOwner()) == len(s.manifest.DataCentres)
	})
	for _, d := range s.instances[0].Status().DataCentres {
		s.printf("  %s: stage %s, owner %s\n", d.Name, d.Stage, d.Owner)
	}
	return err
}

// rota sends short requests through all instances from several callers at once.
func (s *session) rota(phase string, n int) {
	var callers sync.WaitGroup
	for c := range callersAtOnce {
		callers.Go(func() {
			for i := c; i < n; i += callersAtOnce {
				ws := s.manifest.Workspaces[i%len(s.manifest.Workspaces)].Name
				s.request(i, request{
					Workspace: ws, Service: s.service(structs.KindRequest), ID: fmt.Sprintf("%s-%d", phase, i),
					Idempotent: i%2 == 0, Body: fmt.Sprintf("shift %s %d", phase, i),
				})
			}
		})
	}
	callers.Wait()
}

// request sends one request through instance n modulo their number.
func (s *session) request(n int, q request) reply {
	r := q.send(s.infos[n%len(s.infos)].CallerAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sentRequest{q, r})
	return r
}

// special sends a non-idempotent request twice through different instances, and one of an
// unknown workspace.
func (s *session) special() {
	q := request{Workspace: s.manifest.Workspaces[0].Name, Service: s.service(structs.KindRequest), ID: "sent-twice", Body: "plough 7"}
	first, second := s.request(0, q), s.request(1, q)
	s.printf("  sent-twice: first answered %d, second %d %s (%s)\n", first.Status, second.Status, second.Kind, second.RunState)
	q.Workspace, q.ID = "nobody", "unknown-workspace"
	r := s.request(2, q)
	s.printf("  unknown-workspace: %d %s (%s): %s\n", r.Status, r.Kind, r.RunState, r.Message)
}

func (s *session) service(kind structs.ServiceKind) string {
	for _, svc := range s.manifest.Services {
		if svc.Kind == kind {
			return svc.Name
		}
	}
	return ""
}

// submitJobs submits gangs of whole workers, adjacent, and one that can never run.
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
		Workspace: ws, Service: s.service(structs.KindJob), RequestID: name, Shape: shape,
		Checkpoint: true, DeclaredMS: jobRun.Milliseconds(), Payload: fmt.Appendf(nil, `{"run_ms": %d, "answer": "plan of %s"}`, jobRun.Milliseconds(), name),
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
	s.outages = append(s.outages, outage{dataCentre: dc, committed: time.Now()})
	return nil
}

func (s *session) bringBack(dc string) error {
	s.printf("\noperators bring %s back\n", dc)
	s.outages[len(s.outages)-1].returned = time.Now()
	return s.commit(withStage(s.manifest, dc, structs.StageOpen))
}

func withStage(m structs.Manifest, dc string, stage structs.Stage) structs.Manifest {
	m.DataCentres = slices.Clone(m.DataCentres)
	m.DataCentre(dc).Stage = stage
	return m
}

// awaitJobs waits for the end of every accepted job.
func (s *session) awaitJobs() error {
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

// explain prints the decisions about a job.
func (s *session) explain(id string) {
	r := send(http.MethodGet, "http://"+s.infos[0].AdminAddr+"/v1/explain?id="+id, nil, nil)
	s.printf("  decisions about %s: %s\n", id, r.Body)
}
