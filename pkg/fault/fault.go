// Package fault defines the closed list of error kinds that callers and
// operators can receive, and the HTTP response that belongs to each kind.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Kind identifies an error kind. Its zero value is Internal.
type Kind uint8

// The error kinds: when each is returned, and whether the request or change was run.
// Append new kinds before kindEnd, which counts them, and add the response of the new
// kind to responses.
const (
	// Internal: any error without a kind. The request may have run.
	Internal Kind = iota
	// BadRequest: the request is malformed. Not run.
	BadRequest
	// BodyTooLarge: the body, or the encoded settings of a team, exceed a limit; or the
	// body of a request with an idempotency key was not received completely. Not run.
	BodyTooLarge
	// Unauthenticated: the API key or token is missing or unknown. Not run.
	Unauthenticated
	// NotAllowed: the API key or token does not give access to what is requested. Not run.
	NotAllowed
	// UnknownModel: the service does not declare the model. Not run.
	UnknownModel
	// UnknownService: the service does not exist, or a call names one that is not plain. Not
	// run.
	UnknownService
	// UnknownPath: the path, route, team, revision or target does not exist. Not run.
	UnknownPath
	// DeadlineExceeded: the timeout that the caller sent is 0 or less. Not run.
	DeadlineExceeded
	// Overloaded: an owner refused a slot; the model cannot be served in time. Not run.
	Overloaded
	// NoCapacity: no owner decided on a slot in time, or the replica limit is 0. Not run.
	NoCapacity
	// NoReplica: a plain service has no target, or no target took the request. Not run.
	NoReplica
	// PlatformUnavailable: settings could not be read or committed. Reported as not run,
	// although a change that was not settled in several attempts may have been applied.
	PlatformUnavailable
	// ClaimUnsettled: the key-value service failed while the key was claimed. Not run.
	ClaimUnsettled
	// KeyInProgress: the first request with the key has no outcome yet. It may have run.
	KeyInProgress
	// KeyMismatch: the key was used for a different request. This one is not run.
	KeyMismatch
	// RevisionConflict: a change of settings is based on an old revision. Not applied.
	RevisionConflict
	// InvalidCatalog: a team's settings are invalid or use a taken name. Not applied.
	InvalidCatalog
	// ShuttingDown: the node is stopping. Not run.
	ShuttingDown
	// OutcomeUnknown: the outcome of a request or of a change is unknown. It may have run.
	OutcomeUnknown
	// StreamBroken: the response was truncated after its start was sent. It ran.
	StreamBroken
	// NotReady: the node has not loaded the settings or the list of targets. Not run.
	NotReady
	// TimeOver: the deadline passed after the request was sent. It may have run.
	TimeOver
	// HeaderTooLarge: the request headers exceed the limit. Not run.
	HeaderTooLarge
	// PromptSuspended: a part of the prompt may crash targets. Not run.
	PromptSuspended
	// RequestSuspended: the same request may have crashed targets before. Not run.
	RequestSuspended
	// QuotaExceeded: the customer has used up its quota. Not run.
	QuotaExceeded
	// BodiesFull: the bodies of requests hold as much memory as they may. Not run.
	BodiesFull
	// BodyStalled: the body has stood still or taken too long. Not run.
	BodyStalled
	kindEnd
)

// RunStatus reports whether a target ran the request, in any of its attempts. For a
// change by an operator, it reports whether the change was applied.
type RunStatus string

// The values of RunStatus. Callers must be able to distinguish all three.
const (
	RunNo      RunStatus = "no"
	RunUnknown RunStatus = "unknown"
	RunYes     RunStatus = "yes"
)

// Response describes how an error kind is reported to a caller.
type Response struct {
	Kind   Kind
	Status int    // HTTP status
	Code   string // machine-readable name of the kind in the error body
	Run    RunStatus
	// Retry is true if the caller may repeat the same request.
	Retry bool
	// RetryAfter is the minimum time to wait before a retry; 0 if Retry is false.
	RetryAfter time.Duration
}

// responses holds the response of each kind. It is indexed by kind, so the order of
// the lines has no effect.
var responses = [kindEnd]Response{
	Internal:            {Status: http.StatusInternalServerError, Code: "internal", Run: RunUnknown},
	BadRequest:          {Status: http.StatusBadRequest, Code: "bad_request", Run: RunNo},
	BodyTooLarge:        {Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Run: RunNo},
	Unauthenticated:     {Status: http.StatusUnauthorized, Code: "unauthenticated", Run: RunNo},
	NotAllowed:          {Status: http.StatusForbidden, Code: "not_allowed", Run: RunNo},
	UnknownModel:        {Status: http.StatusNotFound, Code: "unknown_model", Run: RunNo},
	UnknownService:      {Status: http.StatusNotFound, Code: "unknown_service", Run: RunNo},
	UnknownPath:         {Status: http.StatusNotFound, Code: "unknown_path", Run: RunNo},
	DeadlineExceeded:    {Status: http.StatusGatewayTimeout, Code: "deadline_exceeded", Run: RunNo, Retry: true, RetryAfter: time.Second},
	Overloaded:          {Status: http.StatusTooManyRequests, Code: "overloaded", Run: RunNo, Retry: true, RetryAfter: 2 * time.Second},
	NoCapacity:          {Status: http.StatusServiceUnavailable, Code: "no_capacity", Run: RunNo, Retry: true, RetryAfter: 5 * time.Second},
	NoReplica:           {Status: http.StatusServiceUnavailable, Code: "no_replica", Run: RunNo, Retry: true, RetryAfter: 5 * time.Second},
	PlatformUnavailable: {Status: http.StatusServiceUnavailable, Code: "platform_unavailable", Run: RunNo, Retry: true, RetryAfter: 5 * time.Second},
	ClaimUnsettled:      {Status: http.StatusServiceUnavailable, Code: "claim_unsettled", Run: RunNo, Retry: true, RetryAfter: 5 * time.Second},
	KeyInProgress:       {Status: http.StatusConflict, Code: "key_in_progress", Run: RunUnknown, Retry: true, RetryAfter: time.Second},
	KeyMismatch:         {Status: http.StatusUnprocessableEntity, Code: "key_mismatch", Run: RunNo},
	RevisionConflict:    {Status: http.StatusConflict, Code: "revision_conflict", Run: RunNo},
	InvalidCatalog:      {Status: http.StatusUnprocessableEntity, Code: "invalid_catalog", Run: RunNo},
	ShuttingDown:        {Status: http.StatusServiceUnavailable, Code: "shutting_down", Run: RunNo, Retry: true, RetryAfter: time.Second},
	OutcomeUnknown:      {Status: http.StatusBadGateway, Code: "outcome_unknown", Run: RunUnknown},
	StreamBroken:        {Status: http.StatusBadGateway, Code: "stream_broken", Run: RunYes},
	HeaderTooLarge:      {Status: http.StatusRequestHeaderFieldsTooLarge, Code: "header_too_large", Run: RunNo},
	TimeOver:            {Status: http.StatusGatewayTimeout, Code: "time_over", Run: RunUnknown},
	PromptSuspended:     {Status: http.StatusServiceUnavailable, Code: "prompt_suspended", Run: RunNo, Retry: true, RetryAfter: time.Second},
	RequestSuspended:    {Status: http.StatusServiceUnavailable, Code: "request_suspended", Run: RunNo, Retry: true, RetryAfter: time.Second},
	QuotaExceeded:       {Status: http.StatusTooManyRequests, Code: "quota_exceeded", Run: RunNo, Retry: true, RetryAfter: time.Second},
	BodiesFull:          {Status: http.StatusServiceUnavailable, Code: "bodies_full", Run: RunNo, Retry: true, RetryAfter: time.Second},
	BodyStalled:         {Status: http.StatusRequestTimeout, Code: "body_stalled", Run: RunNo, Retry: true, RetryAfter: time.Second},
	NotReady:            {Status: http.StatusServiceUnavailable, Code: "not_ready", Run: RunNo, Retry: true, RetryAfter: time.Second},
}

func init() {
	for k := range responses {
		responses[k].Kind = Kind(k)
	}
}

// Kinds returns all kinds in numeric order.
func Kinds() []Kind {
	out := make([]Kind, kindEnd)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

// Response returns the response of the kind; for a number that is no kind, that
// of Internal.
func (k Kind) Response() Response {
	if k >= kindEnd {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the kind's code.
func (k Kind) String() string { return k.Response().Code }

// Error is an error with one of the kinds of this package.
type Error struct {
	Kind Kind
	// Message is shown to the caller.
	Message string
	// Err is the cause. It is logged and not shown to the caller. May be nil.
	Err error
}

// New returns an error of the given kind, whose message is built as by
// fmt.Errorf. A format that ends with ": %w" sets Err, whose text is not part of the
// message that the caller sees.
func New(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	cause := errors.Unwrap(err)
	message := err.Error()
	if cause != nil {
		message = strings.TrimSuffix(message, ": "+cause.Error())
	}
	return &Error{Kind: kind, Message: message, Err: cause}
}

// Error returns the code, the message and the cause, for logs; it implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Public()
	}
	return e.Public() + ": " + e.Err.Error()
}

// Public returns the code and the message, which callers may see.
func (e *Error) Public() string { return e.Kind.String() + ": " + e.Message }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// FromError returns the first *Error in the chain of err. If there is none, it returns
// an error of kind Internal with err as its cause, so that the caller does not
// see the text of err.
func FromError(err error) *Error {
	var fe *Error
	if errors.As(err, &fe) {
		return fe
	}
	return &Error{Kind: Internal, Message: "internal error", Err: err}
}

// KindOf returns the kind of err, Internal if it has none.
func KindOf(err error) Kind { return FromError(err).Kind }
