package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondturn/pkg/quarantine"
	"almondturn/pkg/upstream"
)

// maxOverlap is the longest time for which a second target may have the request of a
// stream while the first is still at work on it: much less than the 400 ms after which
// two targets at work on one request count as a fault.
const maxOverlap = 150 * time.Millisecond

// exchange is the request of one attempt and the head of its response. It is used by one
// goroutine at a time, apart from the one that begin starts.
type exchange struct {
	node       *Node
	assignment assignment
	request    upstream.Request
	requestID  string
	parts      []quarantine.Part
	// ctx is that of the attempt, giveUp ends it.
	ctx    context.Context
	giveUp context.CancelCauseFunc
	// sentAt is just before the first byte was written, on the clock of the notices.
	sentAt time.Time

	// sent and ended are nil unless begin was called. sent is closed when the whole
	// request was written, ended when resp and err are set.
	sent, ended chan struct{}
	resp        *upstream.Response
	err         error
}

// newExchange returns the exchange of the next attempt, of which nothing is sent yet. ctx
// is that of the request. The caller has to call giveUp in the end.
func (n *Node) newExchange(ctx context.Context, j *job, a assignment) *exchange {
	x := &exchange{node: n, assignment: a, requestID: j.ID, parts: j.parts}
	x.ctx, x.giveUp = context.WithCancelCause(ctx)
	x.request = upstream.Request{
		Method: j.Method, Path: j.URI, Host: j.Host, Body: j.body, MaxIdle: j.maxIdle(a.target.ID),
		Header:          n.targetProtocol.RequestHeader(j.Header, TargetRequestInfo{Target: a.target.ID, TimeLeft: time.Until(j.deadline), LastEventID: j.resumeAfter}),
		MatchesResponse: n.matchesResponse(j),
	}
	x.request.BeforeSend = func() error {
		x.sentAt = n.notices.Now()
		return n.mayStillSend(a.target)
	}
	x.request.OnHead = func(status int, h http.Header) {
		n.observeRequestHead(a.target, x.requestID, x.sentAt, status, h)
	}
	return x
}

// begin sends the request in the background.
func (x *exchange) begin() {
	x.sent, x.ended = make(chan struct{}), make(chan struct{})
	x.request.OnSent = func() { close(x.sent) }
	go func() {
		defer close(x.ended)
		x.resp, x.err = x.roundTrip()
	}()
}

// response returns the response, for which it sends the request unless begin did. Errors
// are those of upstream.Pool.Do.
func (x *exchange) response() (*upstream.Response, error) {
	if x.ended == nil {
		return x.roundTrip()
	}
	<-x.ended
	return x.resp, x.err
}

// roundTrip sends the request and returns the response.
func (x *exchange) roundTrip() (*upstream.Response, error) {
	if len(x.parts) > 0 && len(x.assignment.trials) == 0 {
		x.node.guard.unbegun.add(x)
		defer x.node.guard.unbegun.remove(x)
	}
	addr := x.assignment.target.Addr
	resp, err := x.node.pool.Do(x.ctx, addr, &x.request)
	if isTimeout(err) {
		x.node.pool.CloseIdle(addr) // other connections to it may be stalled, too
	}
	return resp, err
}

// awaitAcceptance waits for the response after begin, and returns early when the target
// has had the request for maxOverlap or ctx ends.
func (x *exchange) awaitAcceptance(ctx context.Context) {
	select {
	case <-x.sent:
	case <-x.ended:
	case <-ctx.Done():
	}
	overlap := time.NewTimer(maxOverlap)
	defer overlap.Stop()
	select {
	case <-x.ended:
	case <-overlap.C:
	case <-ctx.Done():
	}
}

// hasEnded reports whether begin was called and the response or an error is there.
func (x *exchange) hasEnded() bool {
	select {
	case <-x.ended: // blocks for ever if it is nil
		return true
	default:
		return false
	}
}

// failedToContinue reports whether the exchange has ended without a response that may
// continue a stream.
func (x *exchange) failedToContinue() bool {
	if !x.hasEnded() {
		return false
	}
	if x.err != nil {
		return true
	}
	r, usable := x.node.classifyHead(x.resp)
	return !usable || !isSuccess(r.status) || !r.info.Signed || !mayBeEventStream(x.resp.Header)
}

// Causes of an exchange that was abandoned.
var (
	errNextRefused = errors.New("the next target refused the stream")
	errNotNeeded   = errors.New("the response of the next target is not needed")
)

// abandon ends an exchange whose response is not forwarded, and returns its result. The
// kind is unreachable or withheld if nothing was sent, and outcomeUnknown if the request
// may have run. The cause is errNotNeeded unless the target has failed to continue the stream.
func (x *exchange) abandon() sendResult {
	failed := x.ctx.Err() == nil && x.failedToContinue()
	x.giveUp(errNotNeeded)
	r := sendResult{kind: unreachable}
	if x.ended != nil {
		<-x.ended
		r = x.result()
	}
	if !failed {
		r.err = errNotNeeded
	}
	return r
}

// result returns the result of an exchange that has ended and whose response is not
// forwarded.
func (x *exchange) result() sendResult {
	if x.err != nil {
		var sendErr *upstream.SendError
		switch {
		case errors.Is(x.err, errWithheld):
			return sendResult{kind: withheld, err: x.err}
		case errors.As(x.err, &sendErr) && !sendErr.Sent:
			return sendResult{kind: unreachable, err: x.err}
		}
		return sendResult{kind: outcomeUnknown, err: x.err}
	}
	x.resp.Close()
	r, usable := x.node.classifyHead(x.resp)
	switch {
	case usable:
		r.kind, r.err = outcomeUnknown, errUnusableResponse
	case r.kind != outcomeUnknown:
		r.err = errNextRefused
	}
	return r
}

// unusedAttempt is an attempt that was abandoned.
type unusedAttempt struct {
	assignment assignment
	result     sendResult
}

// abandon abandons an exchange, releases its assignment, and returns the attempt, which
// the caller has to add to the job. If nothing was sent, the retry is refunded.
func (n *Node) abandon(j *job, x *exchange) unusedAttempt {
	r := x.abandon()
	released := r
	if errors.Is(r.err, errNotNeeded) {
		released = sendResult{kind: expired}
		if r.sentNothing() {
			released.kind = withheld
		}
	}
	n.releaseAssignment(x.assignment, released)
	if r.sentNothing() {
		n.refundRetry(j)
	}
	return unusedAttempt{x.assignment, r}
}

// addUnused adds an abandoned attempt to the attempts of the job.
func (j *job) addUnused(u unusedAttempt) {
	target := u.assignment.target.ID
	if !u.result.sentNothing() {
		j.sends++
		j.sentTo = append(j.sentTo, target)
	}
	if u.result.kind == outcomeUnknown {
		j.possibleRuns++
	}
	refusedOwner := u.assignment.runID != 0 && (u.result.kind == notRun || u.result.kind == notLoaded)
	if u.result.kind != withheld && !refusedOwner && !errors.Is(u.result.err, errNotNeeded) {
		j.excluded = append(j.excluded, target)
	}
}

// isSuccess reports whether a status is that of a success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
