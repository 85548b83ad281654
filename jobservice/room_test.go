package jobservice_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/jobservice"
	"github.com/cyclamenyard/cyclamenyard/metastore"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/relay"
)

// fillingTerm is a term whose memory fills with the accepted jobs.
type fillingTerm struct {
	term
	accepted atomic.Int64
	limit    int64
}

func (t *fillingTerm) Room() (int64, bool) { return max(0, t.limit-t.accepted.Load()), true }

// roomPeer is the owner as another instance reaches it.
type roomPeer struct {
	relay.DRPCRelayClient
	owner *jobservice.Service
	hangs bool
}

func (p *roomPeer) Admission(ctx context.Context, r *relay.AdmissionRequest) (*relay.AdmissionReply, error) {
	if p.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.owner.HandleAdmission(ctx, r)
}

const maxBacklog = 40 << 20

// newRoomSystem returns the owner's term, the other instances, and the owner as they reach it.
func newRoomSystem(instances int) (*fillingTerm, []*jobservice.Service, *roomPeer) {
	owner := &fillingTerm{limit: maxBacklog}
	newService := func(name string, t jobservice.Term, p relay.DRPCRelayClient) *jobservice.Service {
		elector := ownership.New(ownership.Options{Self: ownership.Instance{Name: name}, Log: zap.NewNop()})
		for n := range instances {
			key := fmt.Sprint(ownership.InstancesPrefix, "i", n)
			elector.Apply(metastore.Change{Item: metastore.Item{Key: key, Value: fmt.Appendf(nil, `{"name":"i%d","address":"i%d"}`, n, n)}})
		}
		elector.Apply(metastore.Change{Item: metastore.Item{Key: ownership.OwnerPrefix, Value: []byte(`{"name":"i0","address":"i0"}`), Created: 1}})
		return jobservice.New(jobservice.Options{Elector: elector, Instance: name, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), MaxBacklog: maxBacklog,
			Term: func() jobservice.Term { return t }, OwnershipValid: func() bool { return true },
			PeerClient: func(string) relay.DRPCRelayClient { return p }, Suspended: func() time.Duration { return 0 }})
	}
	peer := &roomPeer{owner: newService("i0", owner, nil)}
	var others []*jobservice.Service
	for n := 1; n < instances; n++ {
		others = append(others, newService(fmt.Sprint("i", n), nil, peer))
	}
	return owner, others, peer
}

// Wide and small jobs arrive at all instances, far more than the owner can hold. Guards against an owner that exceeds its
// memory by what others accept, and against refusals while there is room for the job twice over.
func TestInstancesAcceptNoMoreThanTheOwnerHolds(t *testing.T) {
	for _, footprint := range []int64{2 << 10, 300 << 10, 3 << 20} {
		t.Run(fmt.Sprint(footprint), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner, instances, _ := newRoomSystem(8)
				refused := 0
				for n := int64(0); n < 3*maxBacklog/footprint; n++ {
					free := owner.limit - owner.accepted.Load()
					if instances[n%7].BacklogFull(context.Background(), footprint) {
						assert.Less(t, free, 2*footprint+maxBacklog/8, "refused although there is room")
						refused++
						continue
					}
					owner.accepted.Add(footprint)
					time.Sleep(time.Millisecond)
				}
				assert.Positive(t, refused)
				assert.LessOrEqual(t, owner.accepted.Load(), int64(maxBacklog+maxBacklog/8+7*(256<<10)))
				assert.GreaterOrEqual(t, owner.accepted.Load(), int64(maxBacklog/2))
				owner.accepted.Store(0) // all jobs have ended
				time.Sleep(10 * time.Second)
				assert.False(t, instances[0].BacklogFull(context.Background(), footprint))
			})
		})
	}
}

// Guards against ordinary jobs that are refused or delayed while the owner does not answer, and against wide ones that are
// accepted without limit meanwhile.
func TestSmallJobsNeedNoAnswerOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, instances, peer := newRoomSystem(8)
		peer.hangs = true
		began := time.Now()
		for range 20 {
			assert.False(t, instances[0].BacklogFull(context.Background(), 8<<10))
		}
		assert.Zero(t, time.Since(began))
		assert.True(t, instances[0].BacklogFull(context.Background(), 3<<20))
		accepted := int64(0)
		for range 1000 {
			if !instances[0].BacklogFull(context.Background(), 8<<10) {
				accepted += 8 << 10
			}
		}
		assert.LessOrEqual(t, accepted, int64(maxBacklog/8/8))
		synctest.Wait()
		time.Sleep(time.Second)
	})
}
