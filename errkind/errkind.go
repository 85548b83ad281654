// Package errkind defines the error kinds and the response that callers get for each of them.
package errkind

import (
	"errors"
	"net/http"

	"github.com/samber/oops"
)

// Kind is an error kind. The set of kinds is closed.
type Kind string

// RunState tells a caller whether its request has run.
type RunState string

// The run states in a response.
const (
	NotRun     RunState = "not_run"      // no worker, owner or store has a record of the request
	MayHaveRun RunState = "may_have_run" // the request reached an upstream; its outcome is unknown
	Ran        RunState = "ran"
)

// The error kinds.
const (
	BadRequest        Kind = "bad_request"
	BodyTooLarge      Kind = "body_too_large"
	UnknownWorkspace  Kind = "unknown_workspace"
	UnknownService    Kind = "unknown_service"
	RateLimited       Kind = "rate_limited"
	QueueFull         Kind = "queue_full"
	DeadlineExceeded  Kind = "deadline_exceeded"
	DuplicateRequest  Kind = "duplicate_request"
	NeverRunnable     Kind = "never_runnable"
	NoCapacity        Kind = "no_capacity"
	StaleManifest     Kind = "stale_manifest"
	StoreUnavailable  Kind = "store_unavailable"
	ClaimUncertain    Kind = "claim_uncertain"
	OwnerUnavailable  Kind = "owner_unavailable"
	ShuttingDown      Kind = "shutting_down"
	Cancelled         Kind = "cancelled"
	UpstreamRefused   Kind = "upstream_refused"
	UpstreamFailed    Kind = "upstream_failed"
	UpstreamUncertain Kind = "upstream_uncertain"
	AnswerTooLarge    Kind = "answer_too_large"
	AnswerInvalid     Kind = "answer_invalid"
	JobUnknown        Kind = "job_unknown"
	ManifestInvalid   Kind = "manifest_invalid"
	ManifestConflict  Kind = "manifest_conflict"
	StaleToken        Kind = "stale_token"
	UnknownKey        Kind = "unknown_key"
	UnknownRoute      Kind = "unknown_route"
	SubmitUncertain   Kind = "submit_uncertain"
	StateUnavailable  Kind = "state_unavailable"
	Overloaded        Kind = "overloaded"
	BodyIncomplete    Kind = "body_incomplete"
	BacklogFull       Kind = "backlog_full"
	JobRevoked        Kind = "job_revoked"
	Internal          Kind = "internal"
)

// Answer describes the response to a request that failed with a kind.
type Answer struct {
	Status    int      // HTTP status
	RunState  RunState // of the failed request
	RetrySafe bool     // the caller may resend the request with the same id
	Meaning   string   // as documented in docs/errors.md
}

var answers = map[Kind]Answer{
	BadRequest:        {http.StatusBadRequest, NotRun, false, "a field of the request breaks a rule, which the message names"},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, NotRun, false, "the body is larger than the service allows"},
	UnknownWorkspace:  {http.StatusForbidden, NotRun, false, "the manifest in force has no such workspace"},
	UnknownService:    {http.StatusNotFound, NotRun, false, "the manifest in force has no such service"},
	RateLimited:       {http.StatusTooManyRequests, NotRun, true, "the workspace is above its request rate"},
	QueueFull:         {http.StatusTooManyRequests, NotRun, true, "the workspace's queue is full, or its backlog is too long for the job to be of use"},
	DeadlineExceeded:  {http.StatusGatewayTimeout, NotRun, true, "the deadline passed, or could not be met, before dispatch"},
	DuplicateRequest:  {http.StatusConflict, MayHaveRun, false, "the request id was used before; the first request may have run"},
	NeverRunnable:     {http.StatusUnprocessableEntity, NotRun, false, "no data centre could ever run the shape, or it exceeds its workspace's cap; the message names the limit"},
	NoCapacity:        {http.StatusServiceUnavailable, NotRun, true, "no slot became free in time"},
	StaleManifest:     {http.StatusServiceUnavailable, NotRun, true, "the instance cannot show that its manifest is current"},
	StoreUnavailable:  {http.StatusServiceUnavailable, NotRun, true, "the platform's store does not answer and the request needs it"},
	ClaimUncertain:    {http.StatusServiceUnavailable, MayHaveRun, false, "the store did not confirm whether the request id is claimed"},
	OwnerUnavailable:  {http.StatusServiceUnavailable, NotRun, true, "no owner of a suitable data centre answers"},
	ShuttingDown:      {http.StatusServiceUnavailable, NotRun, true, "the instance is stopping"},
	Cancelled:         {http.StatusRequestTimeout, NotRun, true, "the request was cancelled before dispatch"},
	UpstreamRefused:   {http.StatusServiceUnavailable, NotRun, true, "every worker that was tried refused the request before starting it"},
	UpstreamFailed:    {http.StatusBadGateway, Ran, false, "the request ran and failed"},
	UpstreamUncertain: {http.StatusBadGateway, MayHaveRun, false, "the worker was reached and its answer was lost"},
	AnswerTooLarge:    {http.StatusBadGateway, Ran, false, "the answer is larger than the service allows"},
	AnswerInvalid:     {http.StatusBadGateway, MayHaveRun, false, "the answer was truncated or belongs to another attempt"},
	JobUnknown:        {http.StatusNotFound, NotRun, true, "no record of the job exists"},
	ManifestInvalid:   {http.StatusUnprocessableEntity, NotRun, false, "the manifest breaks a rule, which the message names"},
	ManifestConflict:  {http.StatusConflict, NotRun, false, "another commit came first; the message says what it changed"},
	StaleToken:        {http.StatusConflict, NotRun, true, "a newer owner of the data centre exists"},
	UnknownKey:        {http.StatusUnauthorized, NotRun, false, "the configuration in force has no such key"},
	UnknownRoute:      {http.StatusNotFound, NotRun, false, "the configuration in force has no such route"},
	SubmitUncertain:   {http.StatusGatewayTimeout, MayHaveRun, true, "the store did not confirm the submission; the same id may be sent again"},
	StateUnavailable:  {http.StatusServiceUnavailable, MayHaveRun, true, "neither the owner nor the store could be asked in time"},
	Overloaded:        {http.StatusServiceUnavailable, NotRun, true, "the instance holds as many requests as its memory allows"},
	BodyIncomplete:    {http.StatusServiceUnavailable, NotRun, true, "the body did not arrive within the deadline of the call"},
	BacklogFull:       {http.StatusServiceUnavailable, NotRun, true, "the accepted jobs that have not ended take as much of an owner's memory as they may; the message names the limit"},
	JobRevoked:        {http.StatusConflict, NotRun, false, "the job was cancelled before a submission of it was stored; another id is needed"},
	Internal:          {http.StatusInternalServerError, MayHaveRun, false, "a fault in the system itself"},
}

// Kinds returns all error kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// AnswerOf returns the response for k, or the one for Internal if k is not defined.
func AnswerOf(k Kind) Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// Error is an error with a kind.
type Error struct {
	Kind  Kind
	cause error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, cause: oops.Code(string(k)).Errorf(format, args...)}
}

// Wrap returns err with kind k and a formatted message, or nil when err is nil.
func Wrap(k Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, cause: oops.Code(string(k)).Wrapf(err, format, args...)}
}

// Of returns the outermost kind in the chain of err, or Internal if there is none. oops itself reports
// the innermost code, which would hide the kind that a filter assigns to an upstream's error.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
