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

// Guards against an event that operators cannot look up, and against a page that names
// events the code does not have.
func TestCatalogueMatchesPage(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	require.NoError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)
	onPage := map[ID]Entry{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		_, twice := onPage[ID(n)]
		assert.False(t, twice, fmt.Sprintf("event %d stands twice", n))
		onPage[ID(n)] = Entry{Name: m[2], Message: m[3]}
	}
	assert.Equal(t, Catalogue(), onPage)
}
