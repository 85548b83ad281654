package jobowner

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Keys of jobs in the store.
const (
	IntakePrefix = "cy/in/"  // submissions and cancellations, written by any instance
	RecordPrefix = "cy/run/" // records, written by the owner

	jobSuffix    = "/j"
	cancelSuffix = "/c"
)

// JobKey is the key of the job's submission.
func JobKey(id string) string { return IntakePrefix + id + jobSuffix }

// CancelKey is the key of the job's cancellation.
func CancelKey(id string) string { return IntakePrefix + id + cancelSuffix }

// RecordKey is the key of the job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// OnAnnounced applies a change under IntakePrefix that an instance has announced directly. It ignores
// the announcement until all jobs are loaded, because a job whose record has not been read would be
// started anew. The change then arrives through the store.
func (t *Term) OnAnnounced(change metastore.Change) {
	select {
	case <-t.loaded:
		t.applyIntake(change, sourceAnnouncement)
	default:
		t.announcementsIgnored.Inc(1)
		t.opts.Log.Debug("announcement ignored because the jobs are not loaded", zap.String("key", change.Key))
	}
}

// OnIntake applies a change under IntakePrefix that was read from the store.
func (t *Term) OnIntake(change metastore.Change) {
	select {
	case <-t.loaded:
		t.applyIntake(change, sourceWatch)
	default:
		t.applyIntake(change, sourceLoad)
	}
}

// intakeSource is how a submission reached the owner.
type intakeSource string

const (
	sourceLoad         intakeSource = "load"  // the read at the start of the term
	sourceWatch        intakeSource = "watch" // a later read or watch
	sourceAnnouncement intakeSource = "announcement"
)

func (t *Term) applyIntake(change metastore.Change, source intakeSource) {
	rest := strings.TrimPrefix(change.Key, IntakePrefix)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case change.Removed: // only the owner removes jobs, after their retention time
		delete(t.revoked, strings.TrimSuffix(rest, jobSuffix))
		return
	case strings.HasSuffix(rest, jobSuffix) && workload.IsRevocation(change.Value):
		t.noteRevocation(strings.TrimSuffix(rest, jobSuffix), change.Revision, now)
		return
	case strings.HasSuffix(rest, jobSuffix):
		t.addJob(strings.TrimSuffix(rest, jobSuffix), change, source, now)
	case strings.HasSuffix(rest, cancelSuffix):
		t.cancelJob(strings.TrimSuffix(rest, cancelSuffix), now)
	}
	t.wakeLoop()
}

func (t *Term) addJob(id string, change metastore.Change, source intakeSource, now time.Time) {
	if t.cluster.Jobs[id] != nil {
		return
	}
	s, err := workload.DecodeSubmission(change.Value)
	if err != nil {
		t.opts.Log.Error("cannot decode submission", zap.String("job", id), zap.Error(err))
		return
	}
	j := t.cluster.AddJob(s, now)
	t.addToBacklog(j)
	complete := false
	defer func() {
		if !complete { // a panic; the mirror applies the change again
			t.cluster.DiscardJob(j)
			t.shrinkInBacklog(j, 0)
			delete(t.unstoredEnds, j)
			delete(t.scheduled, j)
		}
	}()
	t.refreshRoute(j)
	t.services[j.Route.Service] = true
	if stored, ok := t.records[id]; ok {
		record, err := workload.DecodeRecord(stored.value)
		if err != nil {
			t.opts.Log.Error("cannot decode job record", zap.String("job", id), zap.Error(err))
			return // the job is discarded
		}
		t.cluster.Restore(j, record, stored.revision, now)
		j.Recorded(len(stored.value))
	}
	t.applyFormerEnds(j, now)
	if t.formerCompleted[id] {
		j.Complete(now)
	}
	events.Info(t.opts.Log, events.JobTakenOver, zap.String("job", id), zap.String("route", s.Queue.Name),
		zap.Stringers("steps", stepsOf(s)), zap.Int("step_count", len(s.Steps)), zap.String("state", string(j.State)), zap.Uint64("revision", change.Revision),
		zap.String("source", string(source)), zap.Duration("accepted_ago", time.Duration(t.opts.WallClock().UnixMilli()-s.AcceptedAt)*time.Millisecond))
	if t.pendingCancels[id] {
		t.cancelJob(id, now)
	}
	if j.Submission.OccurrenceCount() > 1 || j.Submission.Due(0) > 0 {
		t.scheduled[j] = struct{}{}
		t.noteDue(j.Submission.Due(j.NextOccurrence)) // opened by a decision
	} else {
		j.OpenNext(t.opts.WallClock().UnixMilli(), now)
	}
	t.countAccepted(j, source, now)
	delete(t.records, id)
	delete(t.formerEnds, id)
	delete(t.pendingCancels, id)
	complete = true
}

// maxLoggedSteps limits the steps of a job in a log line.
const maxLoggedSteps = 8

func stepsOf(s *workload.Submission) []*workload.Step {
	steps := make([]*workload.Step, min(len(s.Steps), maxLoggedSteps))
	for n := range steps {
		steps[n] = &s.Steps[n]
	}
	return steps
}

// refreshRoute applies the current configuration of the job's route. A removed route stays as it was.
func (t *Term) refreshRoute(j *jobstate.Job) {
	if config := t.opts.Config(); config != nil {
		if route := config.Route(j.Queue()); route != nil {
			j.Route = *route
		}
	}
}

func (t *Term) cancelJob(id string, now time.Time) {
	j := t.cluster.Jobs[id]
	if j == nil {
		t.pendingCancels[id] = true
		return
	}
	if j.State.Ended() {
		return
	}
	j.Cancel(now)
	events.Info(t.opts.Log, events.JobCancelAccepted, zap.String("job", id))
}

// OnConfig applies a new configuration to the jobs.
func (t *Term) OnConfig() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.cluster.Jobs {
		if !j.State.Ended() {
			t.refreshRoute(j)
			t.services[j.Route.Service] = true
		}
	}
	t.applyParkedEntries(time.Now())
	t.wakeLoop()
}
