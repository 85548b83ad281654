package jobowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a large summary that takes more of the owner's link than its control traffic may.
func TestPauseAfterSummary(t *testing.T) {
	assert.Equal(t, 5*time.Second, pauseAfterSummary(0))
	assert.Equal(t, 5*time.Second, pauseAfterSummary(4<<10))
	assert.Equal(t, 15*time.Second, pauseAfterSummary(15<<10))
}
