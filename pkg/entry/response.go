package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"almondturn/pkg/buffers"
	"almondturn/pkg/fault"
	"almondturn/pkg/intake"
	"almondturn/pkg/upstream"
)

// maxBufferedBytes is the largest non-streaming response body that is read
// completely before any of it is written to the client, so that a truncated
// response can be replaced by that of another attempt.
const maxBufferedBytes = 256 << 10

// copyBufferBytes is the size of the buffer through which a longer body is copied.
const copyBufferBytes = 32 << 10

// streamBufferBytes is the size of the read buffer of an event stream.
const streamBufferBytes = 4 << 10

// clientResponse writes the response to one client request and records how much
// of it has been written. It is used by the goroutine of the request only.
type clientResponse struct {
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	protocol ClientProtocol
	// request is nil until the headers of the request have been accepted.
	request *Request
	// started is set when a target's response headers were written; they can no
	// longer be replaced by an error.
	started bool
	// streaming is set when the events of a stream are written: another target may
	// continue them, and the protocol may signal an error among them.
	streaming bool
	// complete is set when a complete response, or an error, was written.
	complete bool
	// status is the HTTP status that was written, 0 before.
	status int
	// untilStop ends when the node begins to stop; from then on, responses close the
	// client's connection. A response that began earlier does not announce it.
	untilStop context.Context
}

// clientDisconnected reports whether the client closed its connection.
func (cr *clientResponse) clientDisconnected() bool {
	return errors.Is(cr.r.Context().Err(), context.Canceled)
}

// abort ends a response of which only a part was written, so that the client
// does not take it for complete. If the protocol cannot signal the error
// inside the response, abort panics with http.ErrAbortHandler, which closes the
// connection.
func (cr *clientResponse) abort() {
	err := fault.New(fault.StreamBroken, "the target gave no whole answer")
	if cr.clientDisconnected() || !cr.streaming || !cr.protocol.EndTruncatedResponse(cr.w, cr.request, err) {
		panic(http.ErrAbortHandler)
	}
}

// writeHeader writes the status and headers of a target's response. length is
// the size of the body in bytes, negative if it is unknown.
func (cr *clientResponse) writeHeader(status int, header http.Header, length int64) {
	h := cr.w.Header()
	cr.protocol.CopyResponseHeader(cr.request.ID, header, h)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from guessing one
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	cr.announceClose()
	cr.started = true
	cr.status = status
	cr.w.WriteHeader(status)
}

// announceClose makes the response close the connection if the node is stopping.
func (cr *clientResponse) announceClose() {
	if cr.untilStop.Err() != nil {
		cr.w.Header()["Connection"] = []string{"close"}
	}
}

// writeError writes a refusal or another error as the complete response. Nothing
// must have been written before.
func (cr *clientResponse) writeError(r *ErrorResponse) {
	cr.announceClose()
	id := ""
	if cr.request != nil {
		id = cr.request.ID
	}
	cr.complete = true
	cr.status = cr.protocol.WriteError(cr.w, id, r)
}

// writeFailure writes the error for a request that a target may have run. last
// is the result of the last attempt.
func (cr *clientResponse) writeFailure(last sendResult) {
	if last.kind == expired {
		cr.writeError(newErrorResponse(fault.TimeOver, 0, "the time is over; the request may have run"))
		return
	}
	cr.writeError(newErrorResponse(fault.OutcomeUnknown, 0, "the target gave no whole answer"))
}

var (
	// errUnusableResponse is the cause of a result whose response cannot be used: a
	// success without a target's signature, or any other status or a body other than an
	// event stream while the response of an earlier target is being continued.
	errUnusableResponse = errors.New("response is not signed by a target, or cannot continue the stream")
	// errUnprovenRefusal is the cause of a result whose status would tell the client that
	// the request did not run, although the target does not say so.
	errUnprovenRefusal = errors.New("response has the status of a refusal, but is none")
	// errUnidentifiedResponse is the cause of a result whose response has no request ID
	// and came on a connection that had carried another request: it may be a late copy
	// of that one's response, also if it is a refusal.
	errUnidentifiedResponse = errors.New("response without an identifier may belong to another request")
)

// receiveResponse returns the result of an attempt whose response headers have arrived.
// It forwards the response to the client unless it is a refusal, or may belong to another
// request. c is the continuation of the attempt, nil if there is none.
func (n *Node) receiveResponse(ctx context.Context, j *job, a assignment, resp *upstream.Response, cr *clientResponse, c *continuation) sendResult {
	r, usable := n.classifyHead(resp)
	if !usable && r.kind != outcomeUnknown {
		r.paused = n.notices.PauseLeft(a.target.ID) > 0
		if a.runID == 0 && !r.paused {
			j.excluded = append(j.excluded, a.target.ID) // an owner is sent the result instead
		}
		discardBody(resp)
		return r
	}
	j.possibleRuns++
	if !usable {
		return r
	}
	j.responseBegun = time.Now()
	return n.forwardResponse(ctx, j, resp, r.info, cr, c)
}

// classifyHead returns the result of an attempt by the head of its response. usable is
// false if the response may belong to another request, or says that the request did not
// run; the kind is of meaning only then.
func (n *Node) classifyHead(resp *upstream.Response) (r sendResult, usable bool) {
	r.info, r.status = n.targetProtocol.ParseResponse(resp.Header), resp.Status
	switch {
	case r.info.RequestID == "" && resp.Reused():
		r.kind, r.err = outcomeUnknown, errUnidentifiedResponse
	case resp.Status == http.StatusMisdirectedRequest:
		r.kind = notLoaded
	case r.info.NotExecuted:
		r.kind = notRun
	default:
		return r, true
	}
	return r, false
}

// forwardResponse forwards a target's response to the client and returns the
// result of the attempt. c is the continuation of the attempt, nil if there is none.
func (n *Node) forwardResponse(ctx context.Context, j *job, resp *upstream.Response, info ResponseInfo, cr *clientResponse, c *continuation) sendResult {
	out := sendResult{info: info, status: resp.Status}
	success := isSuccess(resp.Status)
	if success && !info.Signed || cr.started && !(success && mayBeEventStream(resp.Header)) {
		out.kind, out.err = outcomeUnknown, errUnusableResponse
		return out
	}
	if !j.idempotent() && cr.protocol.DeniesRun(resp.Status) {
		out.kind, out.err = outcomeUnknown, errUnprovenRefusal
		return out
	}
	if success && j.engine && !j.NonStreaming {
		return n.forwardStream(ctx, j, resp, cr, out, c)
	}
	return n.forwardBuffered(ctx, j, resp, cr, out)
}

// mayBeEventStream reports whether a response with the headers may have an event stream
// as its body.
func mayBeEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// forwardBuffered reads the body completely before it writes to the client, unless it is
// longer than maxBufferedBytes or such bodies hold too much memory together. A
// server error of an idempotent request is not written if the request may be
// sent again; the result is then failedRun.
func (n *Node) forwardBuffered(ctx context.Context, j *job, resp *upstream.Response, cr *clientResponse, out sendResult) sendResult {
	body, err := j.held.ReadAll(resp, maxBufferedBytes+1)
	if errors.Is(err, buffers.ErrFull) || err == nil && len(body) > maxBufferedBytes {
		return n.forwardUnbuffered(ctx, j, resp, body, cr, out)
	}
	if err != nil {
		return incompleteResult(ctx, out, err)
	}
	mayRetry := j.possibleRuns < j.Route.MaxAttempts && j.sends < maxSends && time.Until(j.deadline) > minRunTime
	if out.status >= http.StatusInternalServerError && j.idempotent() && mayRetry && n.budgetAllowsRetry(j) {
		out.kind = failedRun
		return out
	}
	cr.writeHeader(out.status, resp.Header, int64(len(body)))
	j.firstByteAfter = time.Since(j.arrived)
	if _, err := cr.w.Write(body); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	cr.complete = true
	out.kind = completed
	return out
}

// forwardUnbuffered copies a body that can't be held until it is complete, through a buffer
// of fixed size. read is the part that has already been read. The body may be of any size:
// it ends with its declared length, with the deadline of the request, or when the client
// accepts no more bytes.
func (n *Node) forwardUnbuffered(ctx context.Context, j *job, resp *upstream.Response, read []byte, cr *clientResponse, out sendResult) sendResult {
	body := n.readAhead(j, resp, cr)
	defer body.Close()
	cr.writeHeader(out.status, resp.Header, resp.Length)
	if err := n.write(j, cr, body, func(w io.Writer) error { _, err := w.Write(read); return err }); err != nil {
		out.kind, out.err = clientGone, err
		return out
	}
	j.held.Release()
	buf := make([]byte, copyBufferBytes)
	for {
		size, readErr := body.Read(buf)
		if size > 0 {
			err := n.write(j, cr, body, func(w io.Writer) error { _, err := w.Write(buf[:size]); return err })
			if errors.Is(err, intake.ErrSlowReader) {
				out.kind, out.err = clientGone, err
				return out
			}
			if err != nil {
				return incompleteResult(ctx, out, err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			cr.complete = true
			out.kind = completed
			return out
		}
		if readErr != nil {
			return incompleteResult(ctx, out, readErr)
		}
	}
}

// readAhead returns the reader of a response, which is also read, within the bounds of package
// intake, while a write to the client waits.
func (n *Node) readAhead(j *job, resp *upstream.Response, cr *clientResponse) *intake.ReadAhead {
	return n.intake.NewReadAhead(resp, j.lastTarget,
		func() { resp.SetReadDeadline(time.Now()) },
		func() { _ = cr.rc.SetWriteDeadline(time.Now()) }) // an error leaves the response to its deadline
}

// pieceWriter writes to a client in pieces, each of which may wait for intake.MaxWriteStall.
type pieceWriter struct {
	cr   *clientResponse
	body *intake.ReadAhead
	// end is the write deadline of the response.
	end time.Time
}

// Write implements io.Writer.
func (w pieceWriter) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		w.begin()
		n, err := w.cr.w.Write(b[:min(len(b), intake.WritePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// begin begins a piece.
func (w pieceWriter) begin() {
	if latest := time.Now().Add(intake.MaxWriteStall); latest.Before(w.end) {
		_ = w.cr.rc.SetWriteDeadline(latest) // an error leaves the response to its deadline
	}
	w.body.WriteBegins()
}

// write calls f, which writes a part of the response to the client. It returns
// intake.ErrSlowReader if the client does not read for too long, or is the slowest of too many.
func (n *Node) write(j *job, cr *clientResponse, body *intake.ReadAhead, f func(w io.Writer) error) error {
	end := j.deadline.Add(writeGrace)
	w := pieceWriter{cr, body, end}
	w.begin()
	err := f(w)
	slow := body.WriteEnds()
	if isTimeout(err) && time.Now().Before(j.deadline) {
		slow = intake.ErrSlowReader
	}
	if slow != nil {
		n.clientLimited(intake.SlowReader, cr.r.RemoteAddr)
		return slow
	}
	_ = cr.rc.SetWriteDeadline(end) // for what is written without this function, such as errors
	return err
}

// incompleteResult completes out for a response that was not read to its end,
// with the kind that follows from the reason for which ctx ended, and with
// outcomeUnknown if ctx has not ended.
func incompleteResult(ctx context.Context, out sendResult, err error) sendResult {
	out.err = err
	switch {
	case endedByNode(ctx):
		out.kind = expired
	case ctx.Err() != nil:
		out.kind = clientGone
	default:
		out.kind = outcomeUnknown
	}
	return out
}

// isTimeout reports whether err comes from a read or write deadline of a
// connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// discardTimeout bounds the wait for the rest of a refusal, which holds up the next attempt.
const discardTimeout = 50 * time.Millisecond

// discardBody reads and discards the rest of a short body, so that the
// connection can be used again. A body longer than maxBufferedBytes, or one that takes
// longer than discardTimeout, makes Close close the connection.
func discardBody(resp *upstream.Response) {
	resp.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes)) // an error closes the connection, too
}
