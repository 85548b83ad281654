package suspend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
)

// Guards against a lease that seems valid after a suspension of the machine in which it expired.
func TestAgeIncludesSuspendedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	s := suspend.NewStamp(now, 7*time.Second)
	assert.Equal(t, time.Second, s.Age(now.Add(time.Second), 7*time.Second))
	assert.Equal(t, 6*time.Second, s.Age(now.Add(time.Second), 12*time.Second))
	assert.Greater(t, suspend.Stamp{}.Age(now, 0), 24*time.Hour)
	first := suspend.Total()
	assert.Less(t, suspend.Total()-first, time.Second, "the machine is not suspended during the test")
}
