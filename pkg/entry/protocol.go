package entry

import (
	"net/http"
	"time"

	"almondturn/pkg/fault"
	"almondturn/pkg/route"
)

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	ID                           string
	Model, Adapter               string
	InputTokens, MaxOutputTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Timeout is how long the client waits; 0 when it does not say.
	Timeout time.Duration
	// LastEventID is the event after which a stream goes on, empty for a new one.
	LastEventID string
}

// Request is a client's request, as the protocol of the client reads it.
type Request struct {
	RequestInfo
	Route *route.Route
	// Priority is the rank, 0 is the most urgent.
	Priority     int
	Method, Host string
	// URI is the path and query for the target.
	URI string
	// Header is what the target gets, with what TargetProtocol.RequestHeader adds.
	Header http.Header
	// NonStreaming tells that an engine answers with one body and not with events.
	NonStreaming bool
	// ReadBody reads what the body says of the request; nil when the head
	// says all. It may return another body for the target.
	ReadBody func(r *Request, body []byte) ([]byte, *fault.Error)
}

// Refusal is an error answer to a client.
type Refusal struct {
	*fault.Error
	// RetryAfter is when the client may come back; 0 when it need not.
	RetryAfter time.Duration
}

// ClientProtocol is what the node's clients speak.
type ClientProtocol interface {
	// Accept reads the head of a request and finds its route. The request has
	// an identifier.
	Accept(r *http.Request, t *route.Table) (*Request, *fault.Error)
	// CopyResponseHeader copies a target's header into the answer to a request.
	CopyResponseHeader(id string, in, out http.Header)
	// WriteError answers a request of which nothing has been answered yet, and
	// returns the status. The identifier is empty for one that was not read.
	WriteError(w http.ResponseWriter, id string, e *Refusal) int
	// EndBrokenResponse ends an answer that broke off, so that it is not taken for the
	// whole. It returns false when the connection has to be cut.
	EndBrokenResponse(w http.ResponseWriter, r *Request, err *fault.Error) bool
}

// OutgoingInfo is what the node adds to a request to a target.
type OutgoingInfo struct {
	Target      string
	TimeLeft    time.Duration
	LastEventID string
}

// ResponseInfo is what a target says of its answer.
type ResponseInfo struct {
	RequestID string
	// Signed tells that the answer bears a target's signature.
	Signed bool
	// NotExecuted tells that the target did not run the request.
	NotExecuted             bool
	Running, Waiting, Slots int
}

// TargetProtocol reads and writes the headers that targets understand.
type TargetProtocol interface {
	// RequestHeader returns the header of a request to a target: what the request
	// has, without what only the system sets.
	RequestHeader(in http.Header, o OutgoingInfo) http.Header
	ParseResponse(h http.Header) ResponseInfo
}
