package events

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an event that is missing from docs/events.md, and against one on the page that the
// code does not define.
func TestCatalogueMatchesPage(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	require.NoError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)
	onPage := map[ID]Entry{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		_, duplicate := onPage[ID(n)]
		assert.False(t, duplicate, fmt.Sprintf("event %d is listed twice", n))
		onPage[ID(n)] = Entry{Name: m[2], Message: m[3]}
	}
	assert.Equal(t, Catalogue(), onPage)
}
