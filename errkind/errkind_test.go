package errkind

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an error table in docs/errors.md that differs from the responses to callers.
func TestTableMatchesPage(t *testing.T) {
	page, err := os.ReadFile("../docs/errors.md")
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| `(\\w+)` \\| (yes|no) \\| ([^|]+) \\|$")
	onPage := map[Kind]string{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		onPage[Kind(m[1])] = fmt.Sprintf("%s %s %s %s", m[2], m[3], m[4], m[5])
	}
	inCode := map[Kind]string{}
	for _, k := range Kinds() {
		a := AnswerOf(k)
		retry := map[bool]string{true: "yes", false: "no"}[a.RetrySafe]
		inCode[k] = fmt.Sprintf("%d %s %s %s", a.Status, a.RunState, retry, a.Meaning)
	}
	assert.Equal(t, inCode, onPage)
}

// Guards against an inner kind that hides the kind that a filter assigned to the error.
func TestOfReturnsOutermostKind(t *testing.T) {
	inner := New(UpstreamRefused, "worker refused")
	outer := Wrap(NoCapacity, fmt.Errorf("attempt 2: %w", inner), "no worker left")
	assert.Equal(t, NoCapacity, Of(outer))
	assert.Equal(t, UpstreamRefused, Of(fmt.Errorf("attempt 1: %w", inner)))
	assert.Equal(t, Internal, Of(fmt.Errorf("plain")))
	assert.NoError(t, Wrap(Internal, nil, "nothing"))
}
