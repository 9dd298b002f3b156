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
const maxBuffered = 256 << 10

// copyBytes is the size of the buffer of a stream.
const copyBytes = 4 << 10

// answer is what goes to the client.
type answer struct {
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	protocol ClientProtocol
	// request is nil until its head has been read.
	request  *Request
	started  bool
	complete bool
	status   int
	closing  bool
}

func (a *answer) clientLeft() bool {
	return errors.Is(a.r.Context().Err(), context.Canceled)
}

// abort ends a part of an answer so that it is not taken for the whole.
func (a *answer) abort() {
	err := fault.New(fault.StreamBroken, "the target gave no whole answer")
	if a.clientLeft() || !a.protocol.EndBrokenResponse(a.w, a.request, err) {
		panic(http.ErrAbortHandler)
	}
}

// begin writes the head of a target's answer.
func (a *answer) begin(status int, header http.Header, length int64) {
	h := a.w.Header()
	a.protocol.CopyResponseHeader(a.request.ID, header, h)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // none is made up
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	if a.closing {
		h["Connection"] = []string{"close"}
	}
	a.started = true
	a.status = status
	a.w.WriteHeader(status)
}

// refuse tells the client that the request has not run, and when to come back.
func (a *answer) refuse(r *Refusal) {
	if a.closing {
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
func (a *answer) fail(last result) {
	if last.kind == expired {
		a.refuse(refuse(fault.TimeOver, 0, "the time is over; the request may have run"))
		return
	}
	a.refuse(refuse(fault.OutcomeUnknown, 0, "the target gave no whole answer"))
}

// errUnsigned tells that a success bears no target's signature.
var errUnsigned = errors.New("the answer bears no signature")

// pass passes a target's answer on to the client.
func (n *Node) pass(ctx context.Context, j *job, resp *upstream.Response, info ResponseInfo, a *answer) result {
	out := result{info: info, status: resp.Status}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !info.Signed || a.started && !success {
		out.kind, out.err = unknown, errUnsigned
		return out
	}
	if success && j.engine && !j.NonStreaming {
		return n.passStream(ctx, j, resp, a, out)
	}
	return n.passPlain(ctx, j, resp, a, out)
}

// passPlain reads the body whole before it goes to the client.
func (n *Node) passPlain(ctx context.Context, j *job, resp *upstream.Response, a *answer, out result) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxBuffered+1))
	if err != nil {
		return broken(ctx, out, err)
	}
	if len(body) > maxBuffered {
		return n.passLong(ctx, resp, body, a, out)
	}
	again := j.runs < j.Route.MaxAttempts && j.sends < maxSends && time.Until(j.deadline) > leastRun
	if out.status >= http.StatusInternalServerError && j.idempotent() && again && n.budgetLeft(j) {
		out.kind = failedRun
		return out
	}
	a.begin(out.status, resp.Header, int64(len(body)))
	j.first = time.Since(j.arrived)
	if _, err := a.w.Write(body); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	a.complete = true
	out.kind = answered
	return out
}

// passLong copies a body that is too long to be kept.
func (n *Node) passLong(ctx context.Context, resp *upstream.Response, read []byte, a *answer, out result) result {
	a.begin(out.status, resp.Header, resp.Length)
	if _, err := a.w.Write(read); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	if _, err := io.Copy(a.w, resp); err != nil {
		return broken(ctx, out, err)
	}
	a.complete = true
	out.kind = answered
	return out
}

// broken classifies an answer that did not come whole.
func broken(ctx context.Context, out result, err error) result {
	out.err = err
	switch {
	case timeOver(ctx):
		out.kind = expired
	case ctx.Err() != nil:
		out.kind = clientGone
	default:
		out.kind = unknown
	}
	return out
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func drain(resp *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBuffered)) // what is left closes the connection
}
