package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"almondturn/pkg/fault"
)

// defaultBodyBytes bounds a body while no configuration is known.
const defaultMaxBodyBytes = 4 << 20

// stopRetry is when a client that reached a stopping node may come back.
const stopRetryAfter = 200 * time.Millisecond

// writeGrace is the time after its deadline that an answer, or the error that
// ends it, may take to reach the client.
const writeGrace = time.Second

// maxDiscarded bounds what is read of a body that is too large.
const maxDiscardedBytes = 16 << 20

// errStopping ends the requests that a stopping node has no time left for.
var errStopping = errors.New("the node is stopping")

// timeOver tells whether a request was ended by its deadline or by the stop of
// the node, and not by its client.
func timedOut(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errStopping)
}

// ServeHTTP takes a request of a client.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	a := &clientResponse{w: w, r: r, rc: http.NewResponseController(w), protocol: n.clientProtocol, closeConn: n.stopping.Load()}
	j, ref := n.acceptRequest(r)
	if ref == nil {
		a.request = j.Request
		ref = n.readBody(r, j)
	}
	if ref == nil {
		ref = j.prepare()
	}
	if ref != nil {
		a.writeRefusal(ref)
		n.metrics.countRefusal(ref.Kind)
		return
	}
	// A client that takes no bytes ends with its deadline too.
	_ = a.rc.SetWriteDeadline(j.deadline.Add(writeGrace))
	defer func() { _ = a.rc.SetWriteDeadline(time.Time{}) }()
	timed, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(timed)
	defer end(nil)
	stop := context.AfterFunc(n.requestsCtx, func() { end(errStopping) })
	defer stop()
	n.serveJob(ctx, j, a)
}

// accepted finds the route of a request and reads what it says of itself.
func (n *Node) acceptRequest(r *http.Request) (*job, *Refusal) {
	if at := n.stoppingSince.Load(); at != 0 && time.Since(time.Unix(0, at)) > maxStopNotice {
		return nil, newRefusal(fault.ShuttingDown, stopRetryAfter, "the node is stopping")
	}
	table := n.table.Load()
	if table == nil || n.view.Load() == nil {
		return nil, newRefusal(fault.NotReady, defaultRetryAfter, "the configuration is not known yet")
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, newRefusal(fault.HeaderTooLarge, 0, "the head of the request is larger than %d bytes", limit)
	}
	req, err := n.clientProtocol.Accept(r, table)
	if err != nil {
		return nil, &Refusal{Error: err}
	}
	return &job{Request: req, table: table, arrived: time.Now()}, nil
}

// headerBytes returns the size of the head of a request as it was sent, but for
// spaces around values.
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

// admit completes a request whose body has been read.
func (j *job) prepare() *Refusal {
	if j.ReadBody != nil {
		body, err := j.ReadBody(j.Request, j.body)
		if err != nil {
			return &Refusal{Error: err}
		}
		j.body = body
	}
	j.service = j.Route.Service(backendHash(j.ID))
	j.engine = isEngineService(j.table, j.service)
	j.resumeAfter = j.LastEventID
	j.deadline = j.arrived.Add(j.effectiveTimeout())
	return nil
}

// timeout is the time that the client waits, or the route allows.
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

// readBody reads the whole body, so that a send does not depend on the client.
func (n *Node) readBody(r *http.Request, j *job) *Refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := j.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		// A client that still writes would not see the answer.
		_, _ = io.CopyN(io.Discard, r.Body, min(r.ContentLength, maxDiscardedBytes))
		return newRefusal(fault.BodyTooLarge, 0, "the body is larger than %d bytes", limit)
	}
	if r.ContentLength > 0 {
		j.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, j.body); err != nil {
			panic(http.ErrAbortHandler) // the client broke off
		}
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(fault.BodyTooLarge, 0, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	j.body = body
	return nil
}
