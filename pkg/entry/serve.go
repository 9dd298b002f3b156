package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/intake"
)

// defaultMaxBodyBytes bounds the body of a request if the configuration has no
// limit.
const defaultMaxBodyBytes = 4 << 20

// stopRetryAfter is how long after its response a client that reached a stopping
// node may retry.
const stopRetryAfter = 200 * time.Millisecond

// writeGrace is how long after its deadline a response, or the error that ends
// it, may be written to the client.
const writeGrace = time.Second

// maxDiscardedBytes bounds how much of a body that exceeds the limit is read
// and discarded.
const maxDiscardedBytes = 16 << 20

// ErrStopping is the cause with which a stopping node ends the requests that are still in
// progress, and the error of reads of a body that takes too long.
var ErrStopping = errors.New("the node is stopping")

// endedByNode reports whether a request was ended by its deadline or by the stop
// of the node, and not by its client. ctx is the context of the request.
func endedByNode(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrStopping)
}

// serveClient serves one request on the clients' listener and counts it as in progress,
// also while a handler around the node works on it. Reads of its body return ErrStopping
// if the node stops and the body takes too long.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer n.countPanic()
	if c := clientConn(r.Context()); c != nil {
		c.readTimedOut.Store(false) // the server ends its last read after each request
		c.bounded().BeginRequest()
	}
	if r.ContentLength != 0 {
		body := n.limitBody(r.Body, http.NewResponseController(w))
		defer body.inTime()
		r.Body = body
	}
	n.handler.ServeHTTP(w, r)
}

// ServeHTTP serves one request of a client. It panics with http.ErrAbortHandler
// if the connection of the client has to be closed.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cr := &clientResponse{w: w, r: r, rc: http.NewResponseController(w), protocol: n.clientProtocol, untilStop: n.untilStop}
	head := n.intake.HoldHead(headMemory(r), time.Now)
	defer head.Release()
	if head == nil {
		n.clientLimited(intake.HeadMemory, r.RemoteAddr)
		cr.writeError(cr.refuseBody(fault.BodiesFull, "the node holds too much of requests"))
		n.metrics.countRefusal(fault.BodiesFull)
		r.Header = nil // the HTTP server keeps the request for a while after it closes the connection
		return
	}
	j, refusal := n.acceptRequest(r)
	if refusal == nil {
		cr.request, j.head = j.Request, head
		refusal = n.readBody(cr, j)
		defer j.received.Release()
	}
	if refusal == nil {
		refusal = j.prepare()
	}
	if refusal == nil {
		refusal = n.refuseLateArrival(j)
	}
	if refusal == nil {
		refusal = n.chargeQuota(j)
	}
	if refusal != nil {
		cr.endUnreadBody(j)
		cr.writeError(refusal)
		n.metrics.countRefusal(refusal.Kind)
		r.Header = nil // the HTTP server keeps the request until it has read or closed the rest
		return
	}
	// The deadline also ends a response that the client does not read.
	_ = cr.rc.SetWriteDeadline(j.deadline.Add(writeGrace))
	defer func() { _ = cr.rc.SetWriteDeadline(time.Time{}) }()
	timed, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	ctx, endRequest := context.WithCancelCause(timed)
	defer endRequest(nil)
	stop := context.AfterFunc(n.requestsCtx, func() { endRequest(ErrStopping) })
	defer stop()
	n.serveJob(ctx, j, cr)
}

// unreadBodyTime bounds how long the rest of a body is read after a refusal.
const unreadBodyTime = time.Second

// endUnreadBody bounds the time for which the HTTP server reads the rest of the body of a refused request
// before it writes the response. A client that waits with its body for the response gets it at
// once.
func (cr *clientResponse) endUnreadBody(j *job) {
	if cr.r.ContentLength == 0 || j != nil && j.bodyRead {
		return
	}
	if cr.r.Header.Get("Expect") != "" {
		cr.w.Header()["Connection"] = []string{"close"}
	}
	_ = cr.rc.SetReadDeadline(time.Now().Add(unreadBodyTime)) // an error leaves the body to the limits of its connection
}

// fieldMemory is what a field of a head holds beside its bytes: its slice, strings and place in a map.
const fieldMemory = 100

// headMemory returns an estimate of what the parsed head of a request holds.
func headMemory(r *http.Request) int64 {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		size += fieldMemory + len(name)
		for _, v := range values {
			size += fieldMemory + len(v)
		}
	}
	return int64(size)
}

// acceptRequest finds the route of a request and parses its headers. It refuses
// the request if the node is not ready, or has been stopping for longer than
// maxAcceptAfterStop.
func (n *Node) acceptRequest(r *http.Request) (*job, *ErrorResponse) {
	if s := n.stopTimes.Load(); s != nil && time.Since(s.begun) > maxAcceptAfterStop {
		return nil, newErrorResponse(fault.ShuttingDown, stopRetryAfter, "the node is stopping")
	}
	table := n.table.Load()
	if table == nil || n.targetSet.Load() == nil {
		return nil, newErrorResponse(fault.NotReady, defaultRetryAfter, "the configuration is not known yet")
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, newErrorResponse(fault.HeaderTooLarge, 0, "the head of the request is larger than %d bytes", limit)
	}
	req, err := n.clientProtocol.ParseRequest(r, table)
	if err != nil {
		return nil, &ErrorResponse{Error: err}
	}
	return &job{Request: req, table: table, arrived: time.Now()}, nil
}

// headerBytes returns the size of the method, the request URI, the host and the
// header fields of a request, with the separators of the fields. It is slightly
// less than the size of what was sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// prepare completes a job whose body has been read: it parses the body, chooses
// the service and sets the deadline.
func (j *job) prepare() *ErrorResponse {
	if j.ReadBody != nil {
		body, err := j.ReadBody(j.Request, j.body)
		if err != nil {
			return &ErrorResponse{Error: err}
		}
		j.body = body
	}
	j.service = j.Route.ChooseService(serviceHash(j.streamID()))
	j.engine = isEngineService(j.table, j.service)
	j.parts = j.suspectParts()
	j.resumeAfter = j.LastEventID
	j.deadline = j.arrived.Add(j.effectiveTimeout())
	return nil
}

// streamID returns the identifier of the request that brought the first event of the stream, which
// is another one if a client takes the stream up.
func (j *job) streamID() string {
	if j.Resumes != "" {
		return j.Resumes
	}
	return j.ID
}

// effectiveTimeout returns the timeout of the client or that of the route,
// whichever is shorter. 0 or less means none; if both are none, the result is 0
// or less.
func (j *job) effectiveTimeout() time.Duration {
	switch {
	case j.Timeout <= 0:
		return j.Route.Timeout
	case j.Route.Timeout <= 0:
		return j.Timeout
	default:
		return min(j.Timeout, j.Route.Timeout)
	}
}

// readBody reads the complete body, so that sending it to a target does not
// depend on the client. It panics with http.ErrAbortHandler if the client
// disconnects. A stopping node refuses the request if the body takes too long.
func (n *Node) readBody(cr *clientResponse, j *job) *ErrorResponse {
	r := cr.r
	if r.ContentLength == 0 {
		return nil
	}
	refusal, err := n.receiveBody(cr, j)
	switch {
	case errors.Is(err, ErrStopping):
		return newErrorResponse(fault.ShuttingDown, stopRetryAfter, "the node is stopping and has not received the whole body")
	case err != nil:
		n.bodyCut(r, j, err)
		panic(http.ErrAbortHandler) // the client disconnected
	}
	return refusal
}

// receiveBody reads the body into j. An error means that the body is incomplete. A body that
// may not be received is refused.
func (n *Node) receiveBody(cr *clientResponse, j *job) (*ErrorResponse, error) {
	limit := j.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if largest := n.intake.Largest(); largest > 0 {
		limit = min(limit, largest)
	}
	conn := clientConn(cr.r.Context()).bounded()
	conn.SetBodyIncomplete(true)
	defer conn.SetBodyIncomplete(false)
	interrupt := func() { _ = cr.rc.SetReadDeadline(time.Now()) } // an error leaves the body to the limits of its connection
	j.received = n.intake.Receive(j.head, cr.r.Body, interrupt, time.Now)
	body, err := j.received.ReadAll(cr.r.ContentLength, limit, maxDiscardedBytes)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return newErrorResponse(fault.BodyTooLarge, 0, "the body is larger than %d bytes", limit), nil
	case errors.Is(err, intake.ErrFull):
		n.clientLimited(intake.BodyMemory, cr.r.RemoteAddr)
		return cr.refuseBody(fault.BodiesFull, "the node holds too much of the bodies of requests"), nil
	case errors.Is(err, intake.ErrStalled):
		n.clientLimited(intake.BodyStalled, cr.r.RemoteAddr)
		return cr.refuseBody(fault.BodyStalled, "the body has not arrived in time"), nil
	}
	j.body, j.bodyRead = body, err == nil
	return nil, err
}

// refuseBody returns the refusal of a request whose body was not received. The connection
// is closed after it, since its reads may have been ended.
func (cr *clientResponse) refuseBody(kind fault.Kind, message string) *ErrorResponse {
	cr.w.Header()["Connection"] = []string{"close"}
	return newErrorResponse(kind, kind.Response().RetryAfter, "%s", message)
}

// headLimits returns the limits of heads of the configuration in force.
func (n *Node) headLimits() intake.HeadLimits {
	t := n.table.Load()
	if t == nil {
		return intake.HeadLimits{}
	}
	return intake.HeadLimits{Bytes: t.Limits.MaxHeaderBytes, Time: t.Limits.HeaderTimeout}
}

// clientLimited counts and logs a client that was refused, or whose connection was closed, at
// a limit.
func (n *Node) clientLimited(reason intake.Reason, address string) {
	n.metrics.countLimitedClient(string(reason))
	if suppressed, ok := n.intakeLog.Admit(time.Now()); ok {
		event.ClientLimited.Log(n.log).Str("limit", string(reason)).Str("address", address).Int("suppressed", suppressed).Send()
	}
}
