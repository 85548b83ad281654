package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a connection that stays open after a body that was not read: its calls would run with a cancelled context.
func TestConnectionEndsAfterARefusedBody(t *testing.T) {
	_, address := serve(t, testLimits(), time.Second, nil)
	c := dial(t, address)
	_, err := fmt.Fprintf(c, head+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 262_144, strings.Repeat("x", 262_144))
	require.NoError(t, err)
	// The end of the body and the next request arrive together, so that the server has both in its buffer.
	_, err = io.WriteString(c, "1\r\nx\r\n0\r\n\r\n"+head+"Content-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	answer := answerOf(c)
	assert.Contains(t, answer, "Connection: close")
	assert.Equal(t, 1, strings.Count(answer, "HTTP/1.1"), answer)
}
