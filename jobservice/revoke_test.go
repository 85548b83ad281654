package jobservice_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// lateWrites is longer than a write without an answer may take until it is executed.
const lateWrites = 10 * time.Second

// submissionStored reports whether a submission of the job is stored that nothing cancels.
func submissionStored(s *testplatform.Store, id string) bool {
	raw, ok := s.Value(jobowner.JobKey(id))
	_, cancelled := s.Value(jobowner.CancelKey(id))
	return ok && !workload.IsRevocation(raw) && !cancelled
}

// submitAndLeave submits the job at the instance for a caller who leaves early. The store leaves the write unanswered and executes it late.
func (i *instance) submitAndLeave() {
	_, _ = i.State(context.Background(), "0000000000000000") // a recent answer makes Submit write without a read
	i.fault(testplatform.Late)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_ = i.Submit(ctx, job()) // its caller has left
}

// The store leaves a submission unanswered, its caller leaves and cancels the job, and the store executes the write seconds later.
// Guards against a job that runs after its cancelling was answered with "no record, not run" (UNASKED).
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	for name, cancelAt := range map[string]func(s *testplatform.Store, submitter *instance) *instance{
		"another instance": func(s *testplatform.Store, _ *instance) *instance { return newInstance(s, nil, nil) },
		"the same instance": func(_ *testplatform.Store, submitter *instance) *instance {
			submitter.fault(testplatform.None)
			return submitter
		},
		"an instance that the store turns away": func(s *testplatform.Store, _ *instance) *instance {
			i := newInstance(s, nil, newInstance(s, nil, nil))
			i.fault(testplatform.Refused)
			return i
		},
		"an instance that gets no answers": func(s *testplatform.Store, _ *instance) *instance {
			i := newInstance(s, nil, newInstance(s, nil, nil))
			i.fault(testplatform.AnswerLost)
			return i
		},
		"an instance whose answer to the write is lost": func(s *testplatform.Store, _ *instance) *instance {
			i := newInstance(s, nil, nil)
			commits := 0
			i.client.SetFault(func(call string) testplatform.Fault {
				if call == "commit" {
					commits++
				}
				if call == "commit" && commits == 1 {
					return testplatform.AnswerLost
				}
				return testplatform.None
			})
			return i
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testplatform.NewStore()
				submitter := newInstance(s, nil, nil)
				submitter.submitAndLeave()
				time.Sleep(100 * time.Millisecond)
				ctx, cancel := deadline()
				defer cancel()
				err := cancelAt(s, submitter).Cancel(ctx, id)
				assert.Equal(t, errkind.JobUnknown, errkind.Of(err))
				time.Sleep(lateWrites)
				assert.False(t, submissionStored(s, id))
				_, err = newInstance(s, nil, nil).State(context.Background(), id)
				assert.Equal(t, errkind.JobUnknown, errkind.Of(err))
			})
		})
	}
}

// Guards against a repetition of a cancelled submission that is accepted, or whose refusal leaves open whether it runs, and
// against a second cancelling that is answered otherwise.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		ctx, cancel := deadline()
		defer cancel()
		assert.Equal(t, errkind.JobUnknown, errkind.Of(newInstance(s, nil, nil).Cancel(ctx, id)))
		i := newInstance(s, nil, newInstance(s, nil, nil))
		for _, f := range []testplatform.Fault{testplatform.None, testplatform.Refused} { // the second is relayed
			i.fault(f)
			err := i.Submit(ctx, job())
			assert.Equal(t, errkind.JobRevoked, errkind.Of(err))
			assert.Equal(t, errkind.NotRun, errkind.AnswerOf(errkind.Of(err)).RunState)
			assert.Equal(t, errkind.JobUnknown, errkind.Of(i.Cancel(ctx, id)))
		}
		assert.False(t, submissionStored(s, id))
	})
}

// The submission is stored between the two calls of a cancelling. Guards against an answer that there is no such job.
func TestJobStoredDuringItsCancellingIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		submitter := newInstance(s, nil, nil)
		i := newInstance(s, nil, nil)
		i.client.SetFault(func(call string) testplatform.Fault {
			if call == "commit" && !stored(s) {
				assert.NoError(t, submitter.Submit(context.Background(), job()))
			}
			return testplatform.None
		})
		assert.NoError(t, i.Cancel(context.Background(), id))
		_, cancelled := s.Value(jobowner.CancelKey(id))
		assert.True(t, cancelled)
	})
}

// Guards against a refusal that says "not run" of a submission whose earlier attempt at the same instance may still be stored.
func TestRefusalAfterAnUncertainSubmissionIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		i := newInstance(s, nil, nil)
		i.submitAndLeave()
		i.fault(testplatform.Refused)
		err := i.Submit(context.Background(), job())
		time.Sleep(lateWrites)
		assert.True(t, stored(s))
		assert.Equal(t, errkind.SubmitUncertain, errkind.Of(err))
	})
}

// A crowd cancels jobs that do not exist. Guards against cancellings that take the store's writes from submissions, and against an
// answer that promises what is not stored.
func TestCrowdOfCancellingsIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		i := newInstance(s, nil, newInstance(s, nil, nil))
		acknowledged := 0
		for n := range 400 {
			unknown := fmt.Sprintf("%016x", n)
			err := i.Cancel(context.Background(), unknown)
			if errkind.Of(err) == errkind.JobUnknown {
				acknowledged++
				raw, _ := s.Value(jobowner.JobKey(unknown))
				assert.True(t, workload.IsRevocation(raw))
				continue
			}
			assert.Equal(t, errkind.StateUnavailable, errkind.Of(err))
		}
		assert.Less(t, acknowledged, 250, "of two instances with a burst of 50 each")
		assert.Positive(t, i.count("jobs.revocations_limited"))
		assert.NoError(t, i.Submit(context.Background(), job()))
	})
}

// Guards against a job that runs after its cancelling was answered with "no record", against a cancelling that is answered as
// stored and is not, and against submissions that are refused and stored, under lost, late and refused writes at all instances.
func TestFuzzCancellations(t *testing.T) {
	checks := 300
	if n, err := strconv.Atoi(os.Getenv("JOBSERVICE_FUZZ_CHECKS")); err == nil {
		checks = n
	}
	for seed := range checks {
		steps := rapid.Custom(drawCancelSteps).Example(seed)
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = playCancelSteps(steps) })
		if len(failures) > 0 {
			t.Errorf("seed %d: %v after %+v", seed, failures, steps)
		}
	}
}

// cancelStep is a submission or a cancelling of one of two jobs by a caller who leaves after a while.
type cancelStep struct {
	instance, job   int
	fault           testplatform.Fault // of the instance's calls of the store from now on
	cancel          bool
	patience, pause time.Duration
}

func drawCancelSteps(t *rapid.T) []cancelStep {
	steps := make([]cancelStep, rapid.IntRange(3, 14).Draw(t, "steps"))
	faults := []testplatform.Fault{testplatform.None, testplatform.None, testplatform.None, testplatform.Late, testplatform.Late, testplatform.AnswerLost, testplatform.Refused, testplatform.Silent}
	for n := range steps {
		steps[n] = cancelStep{rapid.IntRange(0, 2).Draw(t, "instance"), rapid.IntRange(0, 1).Draw(t, "job"), rapid.SampledFrom(faults).Draw(t, "fault"), rapid.Bool().Draw(t, "cancel"),
			time.Duration(rapid.SampledFrom([]int{30, 60, 200, 700, 3000}).Draw(t, "patience_ms")) * time.Millisecond, time.Duration(rapid.IntRange(0, 900).Draw(t, "pause_ms")) * time.Millisecond}
	}
	return steps
}

// playCancelSteps returns the promises that were broken.
func playCancelSteps(steps []cancelStep) (failures []string) {
	s := testplatform.NewStore()
	last := newInstance(s, nil, nil)
	instances := []*instance{newInstance(s, nil, last), newInstance(s, nil, nil), last}
	revoked, cancelled := map[string]bool{}, map[string]bool{}
	for _, x := range steps {
		i, id := instances[x.instance], fmt.Sprintf("%016x", x.job)
		i.fault(x.fault)
		ctx, cancel := context.WithTimeout(context.Background(), x.patience)
		if x.cancel {
			err := i.Cancel(ctx, id)
			cancelled[id] = cancelled[id] || err == nil
			revoked[id] = revoked[id] || err != nil && errkind.Of(err) == errkind.JobUnknown
		} else {
			submitted := job()
			submitted.ID = id
			if err := i.Submit(ctx, submitted); err == nil && revoked[id] {
				failures = append(failures, id+" was accepted after it was revoked")
			}
		}
		cancel()
		time.Sleep(x.pause)
	}
	time.Sleep(lateWrites)
	for n := range 2 {
		id := fmt.Sprintf("%016x", n)
		if (revoked[id] || cancelled[id]) && submissionStored(s, id) {
			failures = append(failures, "UNASKED: "+id+" is stored although its cancelling was acknowledged")
		}
	}
	return failures
}
