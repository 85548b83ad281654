package jobservice_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/relay"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// The store executes the first submission of an id late, after the caller was answered that its outcome is uncertain, and
// the caller repeats it. Guards against a refusal with "not run" of a job that is stored afterwards, at the instance
// itself and at one that relayed the write.
func TestUncertainSubmissionIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testplatform.NewStore()
		peer := newInstance(s, nil, nil)
		i := newInstance(s, nil, peer)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		peer.checkedNow()
		reply, err := peer.HandleSubmit(ctx, &relay.SubmitRequest{Job: id, Submission: []byte("{}")})
		assert.NoError(t, err)
		assert.Equal(t, relay.OutcomeReply_UNCERTAIN, reply.Outcome)
		i.checkedNow()
		assert.Equal(t, errkind.SubmitUncertain, errkind.Of(i.Submit(ctx, job())))
		i.fault(testplatform.None)
		peer.fault(testplatform.None)
		for _, at := range []*instance{i, peer} {
			_, err := at.monitor.Get(context.Background(), "any") // the store answers again
			assert.ErrorIs(t, err, metastore.ErrNotFound)
			end := at.Begin(id)
			assert.False(t, at.CertainlyNew(context.Background(), id))
			end()
			end = at.Begin("other")
			assert.True(t, at.CertainlyNew(context.Background(), "other"))
			end()
		}
		time.Sleep(2 * time.Minute)
		assert.True(t, i.CertainlyNew(context.Background(), id), "no write can be in progress any more")
	})
}

// checkedNow makes the store answer once and then hang, so that a write is sent without a read before it.
func (i *instance) checkedNow() {
	i.fault(testplatform.None)
	i.CertainlyNew(context.Background(), "any")
	i.fault(testplatform.Silent)
}

// One id is submitted several times at once. Guards against a refusal with "not run" of one while another is stored,
// before or during the read that precedes the refusal.
func TestConcurrentSubmissionsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstance(testplatform.NewStore(), nil, nil)
		end := i.Begin(id)
		other := i.Begin(id)
		assert.False(t, i.CertainlyNew(context.Background(), id), "another call is in progress")
		other()
		assert.True(t, i.CertainlyNew(context.Background(), id))
		go func() {
			time.Sleep(time.Millisecond) // the read takes 4 ms
			i.Begin(id)()
		}()
		assert.False(t, i.CertainlyNew(context.Background(), id), "another call has begun and ended during the read")
		end()
		end = i.Begin(id)
		assert.True(t, i.CertainlyNew(context.Background(), id))
		end()
	})
}

// Guards against memory for uncertain submissions that grows without bound, and against refusals of those that had no
// room in it.
func TestUncertainSubmissionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstance(testplatform.NewStore(), nil, nil)
		ctx, cancel := context.WithCancel(context.Background())
		i.checkedNow()
		cancel() // the write is sent and has no answer
		for n := range 4097 {
			j := &workload.Submission{ID: fmt.Sprint(n), Steps: []workload.Step{{Tasks: 1}}}
			assert.Equal(t, errkind.SubmitUncertain, errkind.Of(i.Submit(ctx, j)))
		}
		i.fault(testplatform.None)
		assert.False(t, i.CertainlyNew(context.Background(), "4096"))
		assert.False(t, i.CertainlyNew(context.Background(), "new"), "an id is missing")
		time.Sleep(2 * time.Minute)
		assert.True(t, i.CertainlyNew(context.Background(), "new"))
	})
}
