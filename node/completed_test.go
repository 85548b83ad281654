package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/ownership"
)

// Guards against a new owner that misses, because of its own lag, which jobs a former owner has shown as completed, and
// runs their tasks again.
func TestCompletedJobsAreCollectedInSpiteOfLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []ownership.Instance{{Name: "answers", Address: "a"}, {Name: "is gone", Address: "b"}}
		query := completedQuery{
			peers: func() []ownership.Instance { return peers },
			call: func(ctx context.Context, address string) ([]string, error) {
				if address == "b" {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				if !wait.For(ctx, 300*time.Millisecond) { // the lag, when the request is sent and when it is answered
					return nil, ctx.Err()
				}
				return []string{"job"}, nil
			},
			lag: func() time.Duration { return 100 * time.Millisecond },
			log: zap.NewNop(),
		}
		began := time.Now()
		assert.Equal(t, []string{"job"}, query.jobs(context.Background()))
		assert.Less(t, time.Since(began), 2*time.Second)
	})
}
