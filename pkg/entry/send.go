package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"almondturn/pkg/upstream"
)

// send makes one attempt: it sends the request to the assigned target and
// forwards the response to the client.
func (n *Node) send(ctx context.Context, j *job, a assignment, cr *clientResponse) sendResult {
	t := a.target
	j.lastTarget, j.assignment, j.startReported = t.ID, a, false
	j.responseBegun, j.survived = time.Time{}, false
	j.sends++
	maxIdle := j.maxIdle(t.ID)
	j.sentTo = append(j.sentTo, t.ID)
	attemptCtx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	c := n.watchSilence(attemptCtx, giveUp, j, a, cr.started)
	defer func() { j.secured = c.stop() }()
	if len(j.parts) > 0 && len(a.trials) == 0 {
		n.guard.unbegun.add(j, giveUp)
		defer n.guard.unbegun.remove(j)
	}
	resp, err := n.pool.Do(attemptCtx, t.Addr, &upstream.Request{
		Method: j.Method, Path: j.URI, Host: j.Host, Body: j.body, MaxIdle: maxIdle,
		Header:          n.targetProtocol.RequestHeader(j.Header, TargetRequestInfo{Target: t.ID, TimeLeft: time.Until(j.deadline), LastEventID: j.resumeAfter}),
		MatchesResponse: n.matchesResponse(j),
	})
	if isTimeout(err) {
		n.pool.CloseIdle(t.Addr) // other connections to it may be stalled, too
	}
	if err != nil {
		return n.classifySendError(ctx, j, t.ID, err)
	}
	defer resp.Close()
	c.headReceived()
	n.guard.unbegun.remove(j)
	r := n.receiveResponse(ctx, j, a, resp, cr, c)
	if r.kind == outcomeUnknown && errors.Is(context.Cause(attemptCtx), errStalled) {
		r.err = errStalled
	}
	if r.kind == outcomeUnknown || r.kind == failedRun {
		j.excluded = append(j.excluded, t.ID)
	}
	return r
}

// maxIdle returns the longest idle time of a pooled connection that may carry the next
// attempt to a target. It is 0, so that only a new connection may, if the target was sent
// an earlier attempt: its response to that one has the same identifier.
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
// response headers arrived, and excludes the target. If the target may have
// received the request, it also counts a possible run. The result is expired or
// clientGone if ctx ended, and otherwise depends on whether the target may have
// received the request.
func (n *Node) classifySendError(ctx context.Context, j *job, target string, err error) sendResult {
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
