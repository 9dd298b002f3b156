package entry

import (
	"context"
	"net/http"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/buffers"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/intake"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/quota"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// job is one client request while the node processes it, over all its attempts.
// An attempt is one call of Node.send. A job is used by the goroutine of the
// request only.
type job struct {
	*Request
	// table is the configuration that was in force when the request arrived.
	table   *route.Table
	service string
	// engine is true if the service runs models, so that the owner of a zone
	// grants a slot for each attempt, unless no owner responds.
	engine bool
	body   []byte
	// bodyRead is true once the whole body was read.
	bodyRead bool
	// head counts what the node holds of the head, received what it holds of the body, nil
	// without one.
	head     *intake.Head
	received *intake.Body
	arrived  time.Time
	deadline time.Time
	// parts are the parts of the request that may be suspects: the whole request first.
	parts []quarantine.Part
	// assignment is that of the current attempt.
	assignment assignment
	// charge is the charge to the customer's quota, nil without one.
	charge *quota.Charge
	// held counts what the current attempt holds of an unfinished response.
	held *buffers.Holder
	// startReported is true once the start of the response of the current
	// attempt was reported to the owner.
	startReported bool
	// responseBegun is when the headers of the current attempt's response were
	// received, zero before. survived is true once it has survived, as package
	// quarantine defines it.
	responseBegun time.Time
	survived      bool

	// excluded lists the targets that failed this request, those that refused
	// it without asking for a pause and were chosen without an owner, and those that
	// this node does not know. They are skipped, except that choosePlainTarget falls
	// back to them for an idempotent request.
	excluded []string
	// possibleRuns counts the attempts that a target may have run. sends counts
	// attempts; prepareRetry subtracts one that reached no target.
	possibleRuns, sends int
	// withheldSends counts the attempts with the result withheld.
	withheldSends int
	// resumeAfter is the ID of the last event that was written to the client;
	// the next target continues the stream after it.
	resumeAfter string
	// endsWithoutID is true if the last event that was written has no ID, so that no
	// target can continue after it.
	endsWithoutID bool
	// version is the software version at which the stream goes on.
	version softwareVersion
	// sentTo lists the targets of all attempts.
	sentTo []string
	// lastTarget is the ID of the target of the last attempt.
	lastTarget string
	// slotWait is the time spent waiting for slots, over all attempts.
	slotWait time.Duration
	// firstByteAfter is the time from the arrival of the request to the first
	// bytes of the response, 0 before and for a body that forwardUnbuffered
	// copies.
	firstByteAfter time.Duration
	// lastEventAt is when events were last written to the client,
	// longestInterval the longest time between two such writes.
	lastEventAt     time.Time
	longestInterval time.Duration
	// next is the exchange of the next attempt that the continuation of the last one
	// secured, nil if there is none.
	next *exchange
	// obstacle is why the request was not sent again after the last attempt, empty
	// if it was.
	obstacle string
	// givenUp is true if the node has ended an attempt by its own decision, and nothing
	// was written to the client since.
	givenUp bool
}

// Limits of the attempts of one request.
const (
	// maxSends is the maximum of job.sends, which includes attempts that a
	// target refused without running the request.
	maxSends = 5
	// ownerTimeoutShare is the share of a request's time, from its arrival to
	// its deadline, that it waits for an owner to grant or refuse a slot for one
	// attempt.
	ownerTimeoutShare = 0.4
	// maxIdleUnsafe is the longest idle time of a pooled connection that may
	// carry a request which must not be repeated: the target may have closed a
	// connection that was idle for longer.
	maxIdleUnsafe = 700 * time.Millisecond
	// maxIdleSafe is the same for requests that may be repeated.
	maxIdleSafe = 20 * time.Second
)

// idempotent reports whether the request may run more than once.
func (j *job) idempotent() bool { return j.Route.Idempotent() }

// ownerTimeout returns how long a request waits for a slot for one attempt while no
// owner of a zone grants or refuses one.
func (j *job) ownerTimeout() time.Duration {
	return time.Duration(ownerTimeoutShare * float64(j.deadline.Sub(j.arrived)))
}

// waitingSince returns since when the client has been waiting for the next event: the
// last event, or before any the arrival of the request.
func (j *job) waitingSince() time.Time {
	if j.lastEventAt.IsZero() {
		return j.arrived
	}
	return j.lastEventAt
}

// startDeadline returns the time by which the response of the next attempt has to
// start, since the client stops waiting then: the first-event timeout of the route, if
// it has one, counted by waitingSince, and at most the deadline.
func (j *job) startDeadline() time.Time {
	if j.Route.FirstEventTimeout <= 0 {
		return j.deadline
	}
	if firstEvent := j.waitingSince().Add(j.Route.FirstEventTimeout); firstEvent.Before(j.deadline) {
		return firstEvent
	}
	return j.deadline
}

// resultKind classifies the end of one attempt.
type resultKind uint8

const (
	// completed: the target's complete response was written to the client. The
	// log has "answered" for it.
	completed resultKind = iota
	// unreachable: no connection was established.
	unreachable
	// notRun: the target reported that it did not run the request.
	notRun
	// notLoaded: the same, because the model is not loaded there.
	notLoaded
	// failedRun: the target ran the request and responded with a server error,
	// which has not been written to the client. The log has "failed" for it.
	failedRun
	// outcomeUnknown: the target may have run the request, but no complete
	// response was received. The log has "unknown" for it.
	outcomeUnknown
	// clientGone: the client disconnected or accepts no more bytes.
	clientGone
	// expired: the deadline has passed, or the stopping node has no time left.
	expired
	// withheld: the request was not sent to the target that had been chosen, for a reason
	// that says nothing about the target's connections.
	withheld
)

// String returns the name of the kind as it appears in the log.
func (k resultKind) String() string {
	return [...]string{"answered", "unreachable", "not_run", "not_loaded", "failed", "unknown", "client_gone", "expired", "withheld"}[k]
}

// sendResult is the result of one attempt.
type sendResult struct {
	kind resultKind
	// info is what the target's response headers declare.
	info ResponseInfo
	// status is the status of the target's response, 0 without one.
	status int
	// endsWithConnection is true for a complete stream of which only the end of the
	// connection showed the end, so that the target may have crashed.
	endsWithConnection bool
	// paused is true if the target refused the request and has asked for a pause, which
	// keeps further requests from it.
	paused bool
	// err is the cause of an attempt without a complete response.
	err error
}

// countsAsFailure reports whether the result counts as a failure of the target.
func (r sendResult) countsAsFailure() bool {
	if r.paused {
		return false
	}
	return r.kind == unreachable || r.kind == outcomeUnknown || r.kind == failedRun || r.status >= http.StatusInternalServerError
}

// runOutcome returns the result as it is reported to the owner that granted the
// run. For the owner, a server error (failedRun) and a client that is gone
// (clientGone) are completed runs, and an unknown outcome is a failed one.
// releaseAssignment reports expired itself.
func (r sendResult) runOutcome() wire.RunOutcome {
	switch r.kind {
	case unreachable:
		return wire.RunUnreachable
	case notRun:
		return wire.RunBusy
	case notLoaded:
		return wire.RunNotLoaded
	case outcomeUnknown:
		return wire.RunFailed
	case withheld:
		return wire.RunNotSent
	default:
		return wire.RunCompleted
	}
}

// serveJob finds a target for the request and sends it, and repeats both until
// the request has a response or may not be sent again.
func (n *Node) serveJob(ctx context.Context, j *job, cr *clientResponse) {
	n.budgets.forService(j.service).recordRequest(time.Now(), n.retryLimits())
	var last sendResult
	for {
		x, refusal, ok := n.nextExchange(ctx, j)
		if !ok {
			n.finish(ctx, j, cr, last, refusal)
			return
		}
		sentAt := time.Now()
		x = n.hedge(ctx, j, x)
		last = n.send(ctx, j, x, cr)
		j.givenUp = j.givenUp || last.endedByDecision()
		n.recordRunTime(j, last, time.Since(sentAt))
		n.guard.attemptEnded(j, x.assignment, last)
		n.releaseAssignment(x.assignment, last)
		if last.kind == withheld {
			n.refundRetry(j, x.assignment)
		}
		if !n.prepareRetry(ctx, j, cr, last) {
			if j.next != nil {
				j.addUnused(n.abandon(j, j.next))
			}
			n.finish(ctx, j, cr, last, nil)
			return
		}
		withDigest(event.RequestRetried.Log(n.log).Str("request", j.ID).Str("target", j.lastTarget), j, last).
			Stringer("cause", last.kind).Int("status", last.status).AnErr("error", last.err).Send()
	}
}

// nextExchange returns the exchange of the next attempt, which may have begun during the
// last one. ok is false if there is none; refusal is then the error for the client, nil if
// the retry budget is exhausted.
func (n *Node) nextExchange(ctx context.Context, j *job) (x *exchange, refusal *ErrorResponse, ok bool) {
	if j.next != nil {
		x, j.next = j.next, nil
		n.logResumed(j, x.assignment)
		return x, nil, true
	}
	waitStart := time.Now()
	a, refusal := n.searchTarget(ctx, j)
	j.slotWait += time.Since(waitStart)
	if refusal != nil {
		j.obstacle = obstacleRefused
		return nil, refusal, false
	}
	if j.sends > 0 {
		if a.retry, ok = n.budgets.forService(j.service).spend(time.Now(), n.retryLimits()); !ok {
			event.BudgetExhausted.Log(n.log).Str("request", j.ID).Str("service", j.service).Send()
			n.releaseAssignment(a, sendResult{kind: withheld})
			j.obstacle = obstacleBudget
			return nil, nil, false
		}
	}
	n.logResumed(j, a)
	return n.newExchange(ctx, j, a), nil, true
}

// logResumed logs that an attempt continues a stream, if it does.
func (n *Node) logResumed(j *job, a assignment) {
	if j.resumeAfter == "" {
		return
	}
	by, resumes := "node", j.ID
	if j.sends == 0 {
		by, resumes = "client", j.Resumes
	}
	event.StreamResumed.Log(n.log).Str("request", j.ID).Str("resumes", resumes).Str("after", j.resumeAfter).Str("by", by).
		Str("target", a.target.ID).Str("version", a.target.SoftwareVersion).Str("source", j.version.source).Send()
}

// findTarget returns the assignment for the next attempt of a request that may be sent, or
// the error for the client.
func (n *Node) findTarget(ctx context.Context, j *job) (assignment, *ErrorResponse) {
	verdict := n.guard.newVerdict(j)
	for {
		if refusal := verdict.await(ctx); refusal != nil {
			return assignment{}, refusal
		}
		if refusal := n.resolveVersion(ctx, j); refusal != nil {
			return assignment{}, refusal
		}
		a, refusal := n.chooseTarget(ctx, j)
		if refusal != nil {
			return a, refusal
		}
		// Crashes may have happened during the wait for the target.
		trials, refusal := n.guard.admit(j, a.target.ID)
		if refusal == nil {
			a.trials, a.admittedAt = trials, time.Now()
			return a, nil
		}
		n.releaseAssignment(a, sendResult{kind: withheld})
		if !verdict.mayWait() {
			return assignment{}, refusal
		}
	}
}

// chooseTarget returns the assignment for the next attempt, or the error for the client.
func (n *Node) chooseTarget(ctx context.Context, j *job) (assignment, *ErrorResponse) {
	if j.engine {
		return n.acquireEngineSlot(ctx, j)
	}
	return n.choosePlainTarget(ctx, j)
}

// releaseAssignment ends an assignment with the result of its attempt: it ends
// the run that an owner granted, or updates the usage of a target that was
// chosen without an owner. A trial that is still awaited ends without a result.
// The result expired, of an attempt that ended at the deadline or at the stop of the
// node, is reported to the owner as unused.
func (n *Node) releaseAssignment(a assignment, r sendResult) {
	n.guard.trialEnded(a, r)
	if a.runID != 0 {
		outcome := r.runOutcome()
		if r.kind == expired {
			outcome = wire.RunUnused
		}
		n.endRun(a, outcome, r.info.PacePercent)
		return
	}
	n.usages.release(time.Now(), a.target.ID, r)
}

// finish writes an error to the client unless a response was written, logs the
// outcome and counts it. last is the result of the last attempt, the zero value
// without one. refusal is the error that ended the search for a target, nil if
// there was none. ctx is the context of the request.
func (n *Node) finish(ctx context.Context, j *job, cr *clientResponse, last sendResult, refusal *ErrorResponse) {
	n.refundQuota(j)
	outcome, truncated := event.RequestServed, false
	switch {
	case cr.complete:
	case last.kind == clientGone || cr.clientDisconnected():
		outcome, truncated = event.RequestGone, true
	case cr.started:
		outcome, truncated = event.RequestBroken, true
	case j.possibleRuns == 0:
		outcome = event.RequestRefused
		if refusal == nil {
			refusal = newErrorResponse(fault.NoReplica, defaultRetryAfter, "no target took the request")
		}
		cr.writeError(refusal)
	default:
		outcome = event.RequestBroken
		cr.writeFailure(last)
	}
	e := outcome.Log(n.log).Str("request", j.ID).Str("route", j.Route.Name).Str("model", j.Model).
		Str("target", j.lastTarget).Int("status", cr.status).Int("sends", j.sends).Int("runs", j.possibleRuns).
		Dur("waited_ms", j.slotWait).Dur("first_ms", j.firstByteAfter).Dur("pause_ms", j.longestInterval).Dur("total_ms", time.Since(j.arrived)).Int64("version", j.table.Version)
	if refusal != nil {
		e = e.Str("reason", refusal.Message)
	}
	if j.LastEventID != "" {
		e = e.Str("resumes", j.Resumes).Str("after", j.LastEventID)
	}
	if outcome == event.RequestBroken {
		e = withDigest(e.Str("not_retried", j.obstacle), j, last)
	}
	if last.err != nil {
		e = e.Stringer("result", last.kind).AnErr("cause", last.err)
	}
	if outcome == event.RequestBroken || outcome == event.RequestGone {
		e = n.logCut(e, j.Route.Name, j.cutBy(ctx, cr, last))
	}
	e.Send()
	n.metrics.observeRequest(j, cr, outcome.Name)
	if truncated {
		cr.abort()
	}
}

// serviceHash returns the hash by which requests are spread over the services
// of a route.
func serviceHash(id string) uint64 { return fleet.RendezvousWeight("", id) }

// isEngineService reports whether a service runs models.
func isEngineService(t *route.Table, service string) bool {
	s := t.Services[service]
	return s != nil && s.Engine != nil
}

// budgetAllowsRetry reports whether the retry budget of the service allows
// another attempt.
func (n *Node) budgetAllowsRetry(j *job) bool {
	return n.budgets.forService(j.service).allowsRetry(time.Now(), n.retryLimits())
}
