package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"almondturn/pkg/buffers"
	"almondturn/pkg/event"
	"almondturn/pkg/intake"
	"almondturn/pkg/upstream"
)

// cutBy is who ended an answer before it was complete.
type cutBy uint8

const (
	// cutByClient: the client disconnected or accepts no more bytes.
	cutByClient cutBy = iota
	// cutByTarget: the target broke off, failed, or sent a response that can't be used.
	cutByTarget
	// cutByNode: the node ended the attempt, or the client's connection, by its own
	// decision. In a sound deployment there are none.
	cutByNode
	// cutByDeadline: the deadline of the request passed.
	cutByDeadline
	// cutByStop: the node stopped and had no time left.
	cutByStop
	// cutByCount is the number of values.
	cutByCount
)

// String returns the name as it appears in the log and in the metrics.
func (c cutBy) String() string {
	return [cutByCount]string{"client", "target", "node", "deadline", "stop"}[c]
}

// nodeDecisions are the causes with which the node itself ends an attempt that the client,
// the target and the deadline have not ended.
var nodeDecisions = []error{
	errStalled, errSuspended, intake.ErrSlowReader, errEventTooLong, buffers.ErrHeldMost,
	upstream.ErrHeadTooLarge, upstream.ErrTooManySkippedBytes, upstream.ErrTooManySkippedResponses,
}

// endedByDecision reports whether the node has ended the attempt with the result by its own
// decision.
func (r sendResult) endedByDecision() bool {
	return slices.ContainsFunc(nodeDecisions, func(cause error) bool { return errors.Is(r.err, cause) })
}

// cutBy returns who ended the answer to a request, which is not complete. ctx is the context
// of the request, last the result of its last attempt.
func (j *job) cutBy(ctx context.Context, cr *clientResponse, last sendResult) cutBy {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping) && last.kind != outcomeUnknown:
		return cutByStop
	case errors.Is(last.err, intake.ErrSlowReader):
		return cutByNode
	case last.kind == clientGone || cr.clientDisconnected():
		if cr.connectionTimedOut() {
			return cutByNode
		}
		return cutByClient
	case j.givenUp:
		return cutByNode
	case last.kind == expired:
		return cutByDeadline
	default:
		return cutByTarget
	}
}

// connectionTimedOut reports whether a read of the client's connection has ended at a
// deadline that the node had set, which the HTTP server takes for a disconnected client.
func (cr *clientResponse) connectionTimedOut() bool {
	c := clientConn(cr.r.Context())
	return c != nil && c.readTimedOut.Load()
}

// logCut adds to a log line who ended the answer, and the configuration in force and its
// age, and counts the answer.
func (n *Node) logCut(e *zerolog.Event, route string, by cutBy) *zerolog.Event {
	n.metrics.countCut(route, by)
	return e.Stringer("cut_by", by).Int64("in_force", n.version()).Dur("in_force_ms", n.configurationAge())
}

// bodyCut logs and counts a request whose body is incomplete because its connection has
// ended.
func (n *Node) bodyCut(r *http.Request, j *job, cause error) {
	by := cutByClient
	if c := clientConn(r.Context()); c != nil && c.readTimedOut.Load() || errors.Is(cause, intake.ErrEvicted) {
		by = cutByNode
	}
	e := event.RequestGone.Log(n.log).Str("request", j.ID).Str("route", j.Route.Name).
		Dur("total_ms", time.Since(j.arrived)).Int64("version", j.table.Version).AnErr("cause", cause)
	n.logCut(e, j.Route.Name, by).Send()
}

// countPanic is to be deferred for each request. A panic other than http.ErrAbortHandler is
// a fault of the node, whose client gets no answer; it is counted and goes on.
func (n *Node) countPanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, _ := p.(error); !errors.Is(err, http.ErrAbortHandler) {
		n.logCut(event.RequestPanicked.Log(n.log), "", cutByNode).Str("cause", fmt.Sprint(p)).Send()
	}
	panic(p)
}
