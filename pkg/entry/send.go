package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"almondturn/pkg/buffers"
	"almondturn/pkg/upstream"
)

// send makes one attempt: it sends the request to the target of x, unless that was done
// already, and forwards the response to the client.
//
// Only the attempt of a stream that can be resumed is watched for silence. Any other waits
// for its response until the deadline, the stop of the node or the close of the client's
// connection, unless the connection to the target fails, as TCP keep-alive shows if the path
// is dead. An idempotent request is then sent again within the limits of its route.
func (n *Node) send(ctx context.Context, j *job, x *exchange, cr *clientResponse) (r sendResult) {
	t := x.assignment.target
	j.lastTarget, j.assignment, j.startReported = t.ID, x.assignment, false
	j.responseBegun, j.survived = time.Time{}, false
	j.sends++
	j.sentTo = append(j.sentTo, t.ID)
	defer x.giveUp(nil)
	j.held = n.pool.Buffered.NewHolder(func() { x.giveUp(buffers.ErrHeldMost) })
	defer j.held.Release()
	c := n.watchSilence(ctx, x, j, cr.started)
	defer func() { j.next = c.stop(j, r) }()
	resp, err := x.response()
	if err != nil {
		n.observeExceeded(j, t.ID, err)
		return n.classifySendError(ctx, j, t.ID, err)
	}
	defer resp.Close()
	c.headReceived(j)
	r = n.receiveResponse(ctx, j, x.assignment, resp, cr, c)
	if cause := context.Cause(x.ctx); r.kind == outcomeUnknown && (errors.Is(cause, errStalled) || errors.Is(cause, buffers.ErrHeldMost)) {
		r.err = cause
	}
	n.observeExceeded(j, t.ID, r.err)
	if r.kind == outcomeUnknown || r.kind == failedRun {
		j.excluded = append(j.excluded, t.ID)
	}
	return r
}

// maxIdle returns the longest idle time of a pooled connection that may carry the next
// attempt to a target. It is 0, so that only a new connection may, if the target was sent
// an earlier attempt: whatever ended that one may have ended kept connections, too.
func (j *job) maxIdle(target string) time.Duration {
	switch {
	case slices.Contains(j.sentTo, target):
		return 0
	case j.idempotent():
		return maxIdleSafe
	default:
		return maxIdleUnsafe
	}
}

// matchesResponse returns a function that reports whether response headers
// belong to the request of j. Headers without a request ID match every request.
func (n *Node) matchesResponse(j *job) func(http.Header) bool {
	return func(h http.Header) bool {
		id := n.targetProtocol.ParseResponse(h).RequestID
		return id == "" || id == j.ID
	}
}

// classifySendError returns the result of an attempt that failed before the
// response headers arrived, and excludes the target unless the attempt was withheld. If
// the target may have received the request, it also counts a possible run. The result is
// expired or clientGone if ctx ended, and otherwise depends on whether the target may have
// received the request.
func (n *Node) classifySendError(ctx context.Context, j *job, target string, err error) sendResult {
	if errors.Is(err, errWithheld) {
		return sendResult{kind: withheld, err: err}
	}
	j.excluded = append(j.excluded, target)
	var sendErr *upstream.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent {
		j.possibleRuns++
	}
	switch {
	case endedByNode(ctx):
		return sendResult{kind: expired, err: err}
	case ctx.Err() != nil:
		return sendResult{kind: clientGone, err: err}
	case sent:
		return sendResult{kind: outcomeUnknown, err: err}
	default:
		return sendResult{kind: unreachable, err: err}
	}
}
