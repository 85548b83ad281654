package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenyard/cyclamenyard/errkind"
)

const (
	adminTimeout  = 15 * time.Second
	maxAdminReply = 16 << 20 // bytes
)

// adminFlags selects the admin listener that a command calls.
type adminFlags struct {
	Admin string `long:"admin" env:"CYCLAMENYARD_ADMIN" default:"127.0.0.1:8082" description:"IP:port of an instance's admin listener"`
}

// outputFlags selects the output format of a command.
type outputFlags struct {
	Output string `long:"output" env:"CYCLAMENYARD_OUTPUT" default:"text" choice:"text" choice:"json" description:"form of the output"`
}

// adminError is an error reply from an admin listener.
type adminError struct {
	Status int             `json:"-"`
	Kind   errkind.Kind    `json:"kind"`
	Text   string          `json:"message"`
	Detail json.RawMessage `json:"detail,omitempty"`
}

// Error implements error.
func (e *adminError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Text) }

// call sends a request to the admin listener and returns the body of the reply.
func (f adminFlags) call(method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError(fmt.Errorf("--admin %q: %w", f.Admin, err))
	}
	// Without GetBody the transport does not resend the body. The instance gives each POST of a manifest
	// a new commit id, so a resent commit would not be recognised as a repetition.
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("admin listener %s: %w", f.Admin, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminReply))
	if err != nil {
		return nil, fmt.Errorf("admin listener %s: %w", f.Admin, err)
	}
	if resp.StatusCode != http.StatusOK {
		e := &adminError{Status: resp.StatusCode}
		if json.Unmarshal(raw, e) != nil || e.Kind == "" {
			return nil, fmt.Errorf("admin listener %s: status %d", f.Admin, resp.StatusCode)
		}
		return nil, e
	}
	return raw, nil
}
