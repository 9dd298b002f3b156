package entry

import (
	"net/http"
	"time"

	"almondturn/pkg/customers"
	"almondturn/pkg/fault"
	"almondturn/pkg/notices"
	"almondturn/pkg/route"
)

// RequestInfo is what a request declares about itself.
type RequestInfo struct {
	ID                           string
	Model, Adapter               string
	InputTokens, MaxOutputTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// SharedParts are the identifiers of the parts of the prompt that other requests
	// may have in common with it, in order: all but the last part, which belongs to
	// the request itself or to its session.
	SharedParts []string
	// Prompt is the declaration of all parts of the prompt, empty without one.
	Prompt string
	// Timeout is how long the client waits, 0 if it does not declare it.
	Timeout time.Duration
	// LastEventID is the ID of the event after which a stream continues, empty
	// for a new stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that
	// continues after LastEventID, empty if the client does not name it.
	Resumes string
}

// Request is a client's request as parsed by a ClientProtocol.
type Request struct {
	RequestInfo
	Route *route.Route
	// Customer is the customer that sent the request, nil if it is not known or the
	// configuration has none.
	Customer *customers.Customer
	// Priority is the rank of the request; 0 is the most urgent.
	Priority     int
	Method, Host string
	// URI is the path and query that are sent to the target.
	URI string
	// Header holds the headers for the target, before
	// TargetProtocol.RequestHeader adds its own.
	Header http.Header
	// NonStreaming is true if an engine responds with a single body instead of
	// events.
	NonStreaming bool
	// ReadBody parses the body, and returns the body for the target, which may
	// differ from the client's body. It is nil if the headers declare everything.
	ReadBody func(r *Request, body []byte) ([]byte, *fault.Error)
}

// ErrorResponse is an error response to a client: a refusal, or the error of a
// request that a target may have run.
type ErrorResponse struct {
	*fault.Error
	// RetryAfter is how long after the response the client may retry; 0 means
	// that the node proposes no time.
	RetryAfter time.Duration
}

// ClientProtocol reads requests of clients and writes the responses. Its
// methods must be safe for concurrent use.
type ClientProtocol interface {
	// ParseRequest parses the headers of a request and finds its route. The
	// returned request has an ID.
	ParseRequest(r *http.Request, t *route.Table) (*Request, *fault.Error)
	// CopyResponseHeader copies a target's response headers into those of the
	// response to the request with an ID.
	CopyResponseHeader(id string, in, out http.Header)
	// WriteError writes an error as the complete response, and returns its
	// status. id is empty for a request that was not parsed.
	WriteError(w http.ResponseWriter, id string, e *ErrorResponse) int
	// DeniesRun reports whether a status tells the client that the request did not run
	// and will not, whoever responds with it.
	DeniesRun(status int) bool
	// EndTruncatedResponse ends a response that was truncated, so that the
	// client does not take it for complete. It returns false if the connection
	// has to be closed instead.
	EndTruncatedResponse(w http.ResponseWriter, r *Request, err *fault.Error) bool
}

// TargetRequestInfo is what the node adds to the headers of a request to a
// target.
type TargetRequestInfo struct {
	// Target is the ID of the target.
	Target string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which to continue a stream, empty
	// for a new stream.
	LastEventID string
}

// ResponseInfo is what the headers of a target's response declare.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to; it may be
	// empty.
	RequestID string
	// Signed is true if the response carries a target's signature; the node
	// does not verify it.
	Signed bool
	// NotExecuted is true if the target did not run the request.
	NotExecuted bool
	// Running and Waiting are the numbers of requests at the target, Slots the
	// number that it runs concurrently. Slots is 0 if the target reports none.
	Running, Waiting, Slots int
	// PacePercent is how long work takes at the target at this moment, in percent of the
	// usual; 0 if the target does not report it.
	PacePercent int
}

// TargetProtocol writes and parses the headers that are exchanged with targets.
// Its methods must be safe for concurrent use.
type TargetProtocol interface {
	// RequestHeader returns the headers of a request to a target: those of the
	// client's request without the ones that only the system may set, and those
	// for info.
	RequestHeader(in http.Header, info TargetRequestInfo) http.Header
	// ParseResponse returns what the headers of a response declare.
	ParseResponse(h http.Header) ResponseInfo
	// ParseNotice returns what a response with a status says about its target.
	ParseNotice(status int, h http.Header) notices.Notice
}
