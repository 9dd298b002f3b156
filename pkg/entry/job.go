package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
	"almondturn/wire"
)

// job is one request of a client on its way through the node.
type job struct {
	*Request
	table    *route.Table
	service  string
	engine   bool
	body     []byte
	arrived  time.Time
	deadline time.Time
	// place is where the request is being sent.
	slot slot
	// begun is set once the owner was told of the first event from there.
	startReported bool

	excluded []string
	// runs counts the sends that a target may have run, sends all of them.
	runs, sends int
	// lastEvent is the event after which the next target goes on.
	resumeAfter string
	// target is the last one that the request was sent to.
	lastTarget     string
	slotWait       time.Duration
	firstByteAfter time.Duration
	// lastAt is when the last events were passed on, pause the longest time
	// between two such moments.
	lastEventAt     time.Time
	longestInterval time.Duration
}

// Bounds of the attempts for one request.
const (
	// maxSends bounds the sends of one request, with those that were refused.
	maxSends = 5
	// patienceShare is the part of its time that a request waits for an owner.
	ownerTimeoutShare = 0.4
	// unsafeIdle is the longest idle time of a kept connection that carries a
	// request which must not be repeated: the target may have closed it.
	maxIdleUnsafe = 700 * time.Millisecond
	// safeIdle is the same for requests that may be repeated.
	maxIdleSafe = 20 * time.Second
)

func (j *job) idempotent() bool { return j.Route.Idempotent() }

// patience is how long the request waits for a place while no owner of a zone
// answers.
func (j *job) ownerTimeout() time.Duration {
	return time.Duration(ownerTimeoutShare * float64(j.deadline.Sub(j.arrived)))
}

// startBy is when the answer has to begin for the client to be there still.
func (j *job) startDeadline() time.Time {
	if j.Route.FirstEventTimeout <= 0 {
		return j.deadline
	}
	if left := j.arrived.Add(j.Route.FirstEventTimeout); left.Before(j.deadline) {
		return left
	}
	return j.deadline
}

// resultKind tells how one send ended.
type resultKind uint8

const (
	// answered: the target's answer went to the client, whole.
	answered resultKind = iota
	// unreachable: no connection was established.
	unreachable
	// notRun: the target said that it did not run the request.
	notRun
	// notLoaded: the same, because the model is not loaded there.
	notLoaded
	// failedRun: the target ran the request and answered with an error of
	// its own, which has not gone to the client.
	failedRun
	// unknown: the target may have run the request, without a whole answer.
	outcomeUnknown
	// clientGone: the client has left or takes no more bytes.
	clientGone
	// expired: the time is over.
	expired
)

// String returns the kind's name.
func (k resultKind) String() string {
	return [...]string{"answered", "unreachable", "not_run", "not_loaded", "failed", "unknown", "client_gone", "expired"}[k]
}

// result is how one send ended.
type sendResult struct {
	kind   resultKind
	info   ResponseInfo
	status int
	err    error
}

// failed tells whether the result speaks against the target.
func (r sendResult) countsAsFailure() bool {
	return r.kind == unreachable || r.kind == outcomeUnknown || r.kind == failedRun || r.status >= http.StatusInternalServerError
}

// outcome translates the result for the owner that granted the run.
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
	default:
		return wire.RunCompleted
	}
}

// do finds places for the request and sends it until it is answered, or may
// not be sent again.
func (n *Node) serveJob(ctx context.Context, j *job, a *clientResponse) {
	b := n.budgets.forService(j.service)
	b.recordRequest(time.Now(), n.retryLimits())
	var last sendResult
	for {
		began := time.Now()
		p, ref := n.findSlot(ctx, j)
		j.slotWait += time.Since(began)
		if ref != nil {
			n.finish(j, a, last, ref)
			return
		}
		if j.sends > 0 && !b.spend(time.Now(), n.retryLimits()) {
			event.BudgetExhausted.Log(n.log).Str("request", j.ID).Str("service", j.service).Send()
			n.releaseSlot(p, sendResult{kind: expired})
			n.finish(j, a, last, nil)
			return
		}
		last = n.send(ctx, j, p, a)
		n.releaseSlot(p, last)
		if !n.mayRetry(ctx, j, a, last) {
			n.finish(j, a, last, nil)
			return
		}
		event.RequestRetried.Log(n.log).Str("request", j.ID).Str("target", j.lastTarget).
			Stringer("cause", last.kind).Int("status", last.status).AnErr("error", last.err).Send()
	}
}

// place returns where to send the request next.
func (n *Node) findSlot(ctx context.Context, j *job) (slot, *Refusal) {
	if j.engine {
		return n.acquireEngineSlot(ctx, j)
	}
	return n.choosePlainTarget(j)
}

// giveBack ends the use of a place.
func (n *Node) releaseSlot(p slot, r sendResult) {
	if p.run != 0 {
		outcome := r.runOutcome()
		if r.kind == expired {
			outcome = wire.RunUnused
		}
		n.releaseRun(p, outcome)
		return
	}
	n.loads.release(time.Now(), p.target.ID, r)
}

// mayRepeat tells whether the request may be sent once more after a result.
func (n *Node) mayRetry(ctx context.Context, j *job, a *clientResponse, r sendResult) bool {
	if ctx.Err() != nil || j.sends >= maxSends || time.Until(j.deadline) < minRunTime {
		return false
	}
	switch r.kind {
	case unreachable:
		j.sends-- // nothing has reached a target
		return len(j.excluded) < maxSends
	case notRun, notLoaded:
		return true
	case failedRun:
		return true // only chosen where another run is allowed
	case outcomeUnknown:
		return j.idempotent() && j.runs < j.Route.MaxAttempts && (!a.started || j.Route.Resumable)
	default:
		return false
	}
}

// send sends the request to one target and passes the answer on.
func (n *Node) send(ctx context.Context, j *job, p slot, a *clientResponse) sendResult {
	t := p.target
	j.lastTarget, j.slot, j.startReported = t.ID, p, false
	j.sends++
	maxIdle := maxIdleUnsafe
	if j.idempotent() {
		maxIdle = maxIdleSafe
	}
	resp, err := n.pool.Do(ctx, t.Addr, &upstream.Request{
		Method: j.Method, Path: j.URI, Host: j.Host, Body: j.body, MaxIdle: maxIdle,
		Header:          n.targetProtocol.RequestHeader(j.Header, OutgoingInfo{Target: t.ID, TimeLeft: time.Until(j.deadline), LastEventID: j.resumeAfter}),
		MatchesResponse: n.matchesResponse(j), ResponseHeaderTimeout: j.responseHeaderTimeout(a.started),
	})
	if isTimeout(err) {
		n.pool.CloseIdle(t.Addr) // the connections kept with it may be silent too
	}
	if err != nil {
		return n.classifySendError(ctx, j, t.ID, err)
	}
	defer resp.Close()
	info := n.targetProtocol.ParseResponse(resp.Header)
	if info.NotExecuted || resp.Status == http.StatusMisdirectedRequest {
		if p.run == 0 {
			j.excluded = append(j.excluded, t.ID) // an owner learns it from the result
		}
		kind := notRun
		if resp.Status == http.StatusMisdirectedRequest {
			kind = notLoaded
		}
		drainBody(resp)
		return sendResult{kind: kind, info: info, status: resp.Status}
	}
	j.runs++
	r := n.forwardResponse(ctx, j, resp, info, a)
	if r.kind == outcomeUnknown || r.kind == failedRun {
		j.excluded = append(j.excluded, t.ID)
	}
	return r
}

// headWait bounds the wait for the head of an answer. A request that must not
// be repeated waits until its deadline.
func (j *job) responseHeaderTimeout(running bool) time.Duration {
	if !j.Route.Resumable || j.NonStreaming {
		return 0
	}
	return j.eventTimeout(running)
}

// belongs returns whether an answer is the one to the request.
func (n *Node) matchesResponse(j *job) func(http.Header) bool {
	return func(h http.Header) bool {
		id := n.targetProtocol.ParseResponse(h).RequestID
		return id == "" || id == j.ID
	}
}

func (n *Node) classifySendError(ctx context.Context, j *job, target string, err error) sendResult {
	j.excluded = append(j.excluded, target)
	var send *upstream.SendError
	sent := !errors.As(err, &send) || send.Sent
	if sent {
		j.runs++
	}
	switch {
	case timedOut(ctx):
		return sendResult{kind: expired, err: err}
	case ctx.Err() != nil:
		return sendResult{kind: clientGone, err: err}
	case sent:
		return sendResult{kind: outcomeUnknown, err: err}
	default:
		return sendResult{kind: unreachable, err: err}
	}
}

// finish answers the client after the last send, unless the answer has gone
// out already, and logs the outcome. last is the zero result without a send.
func (n *Node) finish(j *job, a *clientResponse, last sendResult, ref *Refusal) {
	line, cut := event.RequestServed, false
	switch {
	case a.complete:
	case last.kind == clientGone || a.clientDisconnected():
		line, cut = event.RequestGone, true
	case a.started:
		line, cut = event.RequestBroken, true
	case j.runs == 0:
		line = event.RequestRefused
		if ref == nil {
			ref = newRefusal(fault.NoReplica, defaultRetryAfter, "no target took the request")
		}
		a.writeRefusal(ref)
	default:
		line = event.RequestBroken
		a.writeFailure(last)
	}
	e := line.Log(n.log).Str("request", j.ID).Str("route", j.Route.Name).Str("model", j.Model).
		Str("target", j.lastTarget).Int("status", a.status).Int("sends", j.sends).Int("runs", j.runs).
		Dur("waited_ms", j.slotWait).Dur("first_ms", j.firstByteAfter).Dur("pause_ms", j.longestInterval).Dur("total_ms", time.Since(j.arrived)).Int64("version", j.table.Version)
	if ref != nil {
		e = e.Str("reason", ref.Message)
	}
	if last.err != nil {
		e = e.Stringer("result", last.kind).AnErr("cause", last.err)
	}
	e.Send()
	n.metrics.observeRequest(j, a, line.Name)
	if cut {
		a.abort()
	}
}

// hashOf spreads requests over the backends of a route.
func backendHash(id string) uint64 { return fleet.RendezvousWeight("", id) }

// isEngine tells whether a service runs models.
func isEngineService(t *route.Table, service string) bool {
	s := t.Services[service]
	return s != nil && s.Engine != nil
}

// budgetLeft tells whether the request could be sent once more.
func (n *Node) hasRetryBudget(j *job) bool {
	return n.budgets.forService(j.service).canSpend(time.Now(), n.retryLimits())
}
