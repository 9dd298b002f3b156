package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"almondturn/pkg/buffers"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/upstream"
)

// maxOverlap is the longest time for which a second target may have the request of a
// stream while the first is still at work on it: less than the 400 ms after which two
// targets at work on one request count as a fault, by the time that an ended request takes
// to reach its target.
const maxOverlap = 250 * time.Millisecond

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
	// prefixErr is the error of the response that is to continue a stream, up to the
	// first event; nil if it has continued it.
	prefixErr error
}

// newExchange returns the exchange of the next attempt, of which nothing is sent yet. ctx
// is that of the request. The caller has to call giveUp in the end.
func (n *Node) newExchange(ctx context.Context, j *job, a assignment) *exchange {
	x := &exchange{node: n, assignment: a, requestID: j.ID, parts: j.parts}
	x.ctx, x.giveUp = context.WithCancelCause(ctx)
	x.request = upstream.Request{
		Method: j.Method, Path: j.URI, Host: j.Host, Body: j.body, ID: j.ID, MaxIdle: j.maxIdle(a.target.ID),
		Header:          n.targetProtocol.RequestHeader(j.Header, TargetRequestInfo{Target: a.target.ID, TimeLeft: time.Until(j.deadline), LastEventID: j.resumeAfter}),
		MatchesResponse: n.matchesResponse(j),
	}
	x.request.BeforeSend = func() error {
		x.sentAt = n.notices.Now()
		return cmp.Or(n.mayStillSend(a.target), n.guard.mayStillSend(x))
	}
	x.request.OnHead = func(status int, h http.Header) {
		n.observeRequestHead(a.target, x.requestID, x.sentAt, status, h)
	}
	x.request.OnSkipped = func(status int, h http.Header, reused bool) {
		connection := connectionNew
		if reused {
			connection = connectionKept
		}
		n.observeSkipped(a.target, noticeFromRequest, x.requestID, connection, status, h)
	}
	return x
}

// begin sends the request in the background.
func (x *exchange) begin() { x.beginThen(func() {}) }

// beginContinuation is begin for a request that continues the stream of j. The exchange has
// ended when the event has arrived that continues it. started is true if a part of the
// stream was written to the client.
func (x *exchange) beginContinuation(j *job, started bool) {
	if !j.engine {
		x.begin() // the response is not a stream of events
		return
	}
	s := &eventSplitter{lastID: j.resumeAfter, resumed: started}
	x.beginThen(func() {
		if !x.failedHead() {
			x.prefixErr = x.readFirstEvent(s)
		}
	})
}

// beginThen sends the request in the background, and calls then before it has ended.
func (x *exchange) beginThen(then func()) {
	x.sent, x.ended = make(chan struct{}), make(chan struct{})
	x.request.OnSent = func() { close(x.sent) }
	go func() {
		defer close(x.ended)
		x.resp, x.err = x.roundTrip()
		then()
	}()
}

// readFirstEvent reads the body up to its first event other than comments, which s follows.
// It returns nil if the event continues the stream, or the body is complete without one.
func (x *exchange) readFirstEvent(s *eventSplitter) error {
	held, read := x.node.pool.Buffered.NewHolder(func() { x.giveUp(buffers.ErrHeldMost) }), 0
	defer held.Release()
	err := x.resp.ReadPrefix(maxEventBytes, func(part []byte) (bool, error) {
		if _, err := s.add(part); err != nil || s.eventCount > 0 {
			return s.eventCount > 0, err
		}
		read += len(part)
		return false, held.HoldEvent(read + cap(s.partial))
	})
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case len(s.partial) > 0:
		return errIncompleteEvent
	case x.resp.EndsWithConnection():
		return errNoEvent
	default:
		return nil
	}
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
	if len(x.assignment.trials) == 0 {
		x.node.guard.unbegun.add(x)
		defer x.node.guard.unbegun.remove(x)
	}
	addr := x.assignment.target.Addr
	resp, err := x.node.pool.Do(x.ctx, addr, &x.request)
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent && errors.Is(context.Cause(x.ctx), errSuspended) {
		return nil, errWithheldSuspect
	}
	if isTimeout(err) {
		x.node.pool.CloseIdle(addr) // other connections to it may be stalled, too
	}
	return resp, err
}

// awaitContinuation waits until an exchange that has begun has ended, or ctx ends. It returns
// errOverlap when limit has passed since the target has had the request, or since the call.
func (x *exchange) awaitContinuation(ctx context.Context, limit time.Duration) error {
	select {
	case <-x.sent:
	case <-x.ended:
	case <-ctx.Done():
	}
	overlap := time.NewTimer(limit)
	defer overlap.Stop()
	select {
	case <-x.ended:
	case <-overlap.C:
		return errOverlap
	case <-ctx.Done():
	}
	return nil
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

// failedToContinue reports whether the exchange has ended without a response that continues
// a stream.
func (x *exchange) failedToContinue() bool {
	return x.hasEnded() && (x.failedHead() || x.prefixErr != nil)
}

// failedHead reports whether there is no response, or one that cannot continue a stream by
// its head.
func (x *exchange) failedHead() bool {
	if x.err != nil {
		return true
	}
	r, usable := x.node.classifyHead(x.resp)
	return !usable || !isSuccess(r.status) || !r.info.Signed || !mayBeEventStream(x.resp.Header)
}

// received returns what has arrived of the response, as the log names it.
func (x *exchange) received() string {
	switch {
	case !x.hasEnded():
		return "nothing usable yet"
	case x.err != nil:
		return x.err.Error()
	case x.prefixErr != nil:
		return x.prefixErr.Error()
	case x.failedHead():
		return errUnusableResponse.Error()
	default:
		return "event"
	}
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
		r.kind, r.err = outcomeUnknown, cmp.Or(x.prefixErr, errUnusableResponse)
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
		n.refundRetry(j, x.assignment)
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
