// Package fault defines the closed list of error kinds that callers and
// operators can receive, and the HTTP response that belongs to each kind.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind identifies an error kind. Its zero value is Internal.
type Kind uint8

// The error kinds. Append new kinds before kindEnd, which counts them, and add
// the response of the new kind to responses.
const (
	Internal Kind = iota
	BadRequest
	BodyTooLarge
	Unauthenticated
	NotAllowed
	UnknownModel
	UnknownService
	UnknownPath
	DeadlineExceeded
	Overloaded
	NoCapacity
	NoReplica
	PlatformUnavailable
	ClaimUnsettled
	KeyInProgress
	KeyMismatch
	RevisionConflict
	InvalidCatalog
	ShuttingDown
	OutcomeUnknown
	StreamBroken
	NotReady
	TimeOver
	HeaderTooLarge
	kindEnd
)

// RunStatus reports whether a target ran the request.
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

// responses holds the response of each kind.
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
	// Err is the cause; it is logged, but not shown to the caller. May be nil.
	Err error
}

// New returns an error of the given kind, whose message is built as by
// fmt.Errorf. A %w verb in format sets Err; the message, which the caller sees,
// then includes the text of that error.
func New(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the code and the message; it implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

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
