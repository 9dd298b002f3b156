// Package dispatch takes a caller's request from its entry node to a target:
// admission, the wait at the model home, the choice of replica, retries and
// the transfer of the answer.
package dispatch

import (
	"net/http"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
)

// Request is one caller's request, read in whole.
type Request struct {
	// ID is unique per request and travels to the target and back.
	ID       string
	Identity catalog.Identity
	Class    catalog.Class
	// Replica is set for requests to a model, zero for plain services.
	Replica catalog.Replica
	Service fleet.Service
	Method  string
	// Path is the path at the target, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// IdempotencyKey is the caller's key; empty for none.
	IdempotencyKey string
	Deadline       time.Time
	// Stream is true when the answer is a server-sent event stream.
	Stream bool
}

// Sink receives the answer. Calls are made by one goroutine at a time.
type Sink interface {
	// Start sends the status and the header, at most once.
	Start(status int, header http.Header)
	// Write sends a part of the body at once.
	Write(p []byte) error
}
