package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/internal/wait"
	"github.com/cyclamenyard/cyclamenyard/jobowner"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/ownership"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
)

// Guards against a new owner that misses, because of its own lag, which jobs a former owner has seen completed and which
// runs it has seen end, and runs their tasks again.
func TestUnstoredEndsAreCollectedInSpiteOfLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []ownership.Instance{{Name: "answers", Address: "a"}, {Name: "is gone", Address: "b"}}
		unstored := jobowner.Unstored{Completed: []string{"job"}, Ends: []workerapi.EndedRun{{Task: "other.0.0.0", Run: 1, Outcome: jobstate.EndDone}}}
		query := unstoredQuery{
			peers: func() []ownership.Instance { return peers },
			call: func(ctx context.Context, address string) (jobowner.Unstored, error) {
				if address == "b" {
					<-ctx.Done()
					return jobowner.Unstored{}, ctx.Err()
				}
				if !wait.For(ctx, 300*time.Millisecond) { // the lag, when the request is sent and when it is answered
					return jobowner.Unstored{}, ctx.Err()
				}
				return unstored, nil
			},
			lag: func() time.Duration { return 100 * time.Millisecond },
			log: zap.NewNop(),
		}
		began := time.Now()
		assert.Equal(t, unstored, query.collect(context.Background()))
		assert.Less(t, time.Since(began), 2*time.Second)
	})
}
