package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"almondturn/pkg/fault"
	"almondturn/pkg/upstream"
)

// maxBuffered is the largest body of a plain answer that is read whole before
// any of it goes to the client, so that a broken one can be replaced.
const maxBufferedBytes = 256 << 10

// copyBytes is the size of the buffer of a stream.
const streamBufferBytes = 4 << 10

// answer is what goes to the client.
type clientResponse struct {
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	protocol ClientProtocol
	// request is nil until its head has been read.
	request   *Request
	started   bool
	complete  bool
	status    int
	closeConn bool
}

func (a *clientResponse) clientDisconnected() bool {
	return errors.Is(a.r.Context().Err(), context.Canceled)
}

// abort ends a part of an answer so that it is not taken for the whole.
func (a *clientResponse) abort() {
	err := fault.New(fault.StreamBroken, "the target gave no whole answer")
	if a.clientDisconnected() || !a.protocol.EndBrokenResponse(a.w, a.request, err) {
		panic(http.ErrAbortHandler)
	}
}

// begin writes the head of a target's answer.
func (a *clientResponse) writeHeader(status int, header http.Header, length int64) {
	h := a.w.Header()
	a.protocol.CopyResponseHeader(a.request.ID, header, h)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // none is made up
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	if a.closeConn {
		h["Connection"] = []string{"close"}
	}
	a.started = true
	a.status = status
	a.w.WriteHeader(status)
}

// refuse tells the client that the request has not run, and when to come back.
func (a *clientResponse) writeRefusal(r *Refusal) {
	if a.closeConn {
		a.w.Header()["Connection"] = []string{"close"}
	}
	id := ""
	if a.request != nil {
		id = a.request.ID
	}
	a.complete = true
	a.status = a.protocol.WriteError(a.w, id, r)
}

// fail tells the client that the request may have run.
func (a *clientResponse) writeFailure(last sendResult) {
	if last.kind == expired {
		a.writeRefusal(newRefusal(fault.TimeOver, 0, "the time is over; the request may have run"))
		return
	}
	a.writeRefusal(newRefusal(fault.OutcomeUnknown, 0, "the target gave no whole answer"))
}

// errUnsigned tells that a success bears no target's signature.
var errUnsigned = errors.New("the answer bears no signature")

// pass passes a target's answer on to the client.
func (n *Node) forwardResponse(ctx context.Context, j *job, resp *upstream.Response, info ResponseInfo, a *clientResponse) sendResult {
	out := sendResult{info: info, status: resp.Status}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !info.Signed || a.started && !success {
		out.kind, out.err = outcomeUnknown, errUnsigned
		return out
	}
	if success && j.engine && !j.NonStreaming {
		return n.forwardStream(ctx, j, resp, a, out)
	}
	return n.forwardBuffered(ctx, j, resp, a, out)
}

// passPlain reads the body whole before it goes to the client.
func (n *Node) forwardBuffered(ctx context.Context, j *job, resp *upstream.Response, a *clientResponse, out sendResult) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes+1))
	if err != nil {
		return incompleteResult(ctx, out, err)
	}
	if len(body) > maxBufferedBytes {
		return n.forwardUnbuffered(ctx, resp, body, a, out)
	}
	again := j.runs < j.Route.MaxAttempts && j.sends < maxSends && time.Until(j.deadline) > minRunTime
	if out.status >= http.StatusInternalServerError && j.idempotent() && again && n.hasRetryBudget(j) {
		out.kind = failedRun
		return out
	}
	a.writeHeader(out.status, resp.Header, int64(len(body)))
	j.firstByteAfter = time.Since(j.arrived)
	if _, err := a.w.Write(body); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	a.complete = true
	out.kind = answered
	return out
}

// passLong copies a body that is too long to be kept.
func (n *Node) forwardUnbuffered(ctx context.Context, resp *upstream.Response, read []byte, a *clientResponse, out sendResult) sendResult {
	a.writeHeader(out.status, resp.Header, resp.Length)
	if _, err := a.w.Write(read); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	if _, err := io.Copy(a.w, resp); err != nil {
		return incompleteResult(ctx, out, err)
	}
	a.complete = true
	out.kind = answered
	return out
}

// broken classifies an answer that did not come whole.
func incompleteResult(ctx context.Context, out sendResult, err error) sendResult {
	out.err = err
	switch {
	case timedOut(ctx):
		out.kind = expired
	case ctx.Err() != nil:
		out.kind = clientGone
	default:
		out.kind = outcomeUnknown
	}
	return out
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func drainBody(resp *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes)) // what is left closes the connection
}
