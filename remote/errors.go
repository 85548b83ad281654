package remote

import (
	"errors"
	"fmt"
	"net"
)

// Errors that the store and worker clients return when the service answered with an error code.
var (
	ErrNotFound     = errors.New("not found")
	ErrConflict     = errors.New("revision conflict")
	ErrLeaseEnded   = errors.New("lease ended")
	ErrStaleToken   = errors.New("stale fencing token")
	ErrNoCapacity   = errors.New("no room on the worker")
	ErrNoSuchTask   = errors.New("no such task or reservation")
	ErrLeaving      = errors.New("worker is leaving")
	ErrUnavailable  = errors.New("service unavailable") // refused without any effect
	ErrTooLarge     = errors.New("value too large")
	ErrRateLimited  = errors.New("rate limited") // refused without any effect
	ErrTaskFailed   = errors.New("task failed")
	ErrBadAnswer    = errors.New("answer does not match its attempt")
	ErrAnswerTooBig = errors.New("answer too large")
)

// codes maps error codes on the wire to errors.
var codes = map[string]error{
	"not_found": ErrNotFound, "conflict": ErrConflict, "lease_ended": ErrLeaseEnded,
	"stale_token": ErrStaleToken, "no_room": ErrNoCapacity, "no_such_task": ErrNoSuchTask,
	"leaving": ErrLeaving, "unavailable": ErrUnavailable, "too_large": ErrTooLarge,
	"rate_limited": ErrRateLimited, "task_failed": ErrTaskFailed,
}

// ErrorCode returns the wire code of err, or "internal".
func ErrorCode(err error) string {
	for code, known := range codes {
		if errors.Is(err, known) {
			return code
		}
	}
	return "internal"
}

// ErrorOf returns the error for a wire code.
func ErrorOf(code string) error {
	if err, ok := codes[code]; ok {
		return err
	}
	return fmt.Errorf("platform answered with error code %q", code)
}

// NotExecuted reports whether err means that the call had no effect: the service refused it, or no
// connection to the service could be opened.
func NotExecuted(err error) bool {
	for _, refusal := range codes {
		if errors.Is(err, refusal) && !errors.Is(err, ErrTaskFailed) {
			return true
		}
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
