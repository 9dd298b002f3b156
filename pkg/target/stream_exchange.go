package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
)

// Errors of one attempt of an exchange.
var (
	errCrossed  = errors.New("answer carries another request's identifier")
	errSilent   = errors.New("connection went silent while a new one works")
	errReceiver = errors.New("receiver does not take the answer")
	errForgot   = errors.New("target does not know the stream any more")

	// ErrInvalid tells that the exchange cannot be sent to any target.
	ErrInvalid = errors.New("request cannot be sent")
)

// copyBytes is the size of the buffers between a target and a caller.
const copyBytes = 4 << 10

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, copyBytes) }}
	buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}
)

// exchange is the state of one Do over its attempts.
type exchange struct {
	streams *Streams
	target  fleet.Target
	pool    *pool
	spec    *Exchange
	to      Receiver

	sent    bool // a byte of the request may have reached the target
	resent  bool // an earlier attempt was sent
	started bool // Start was called
	bytes   int64
	events  eventStream
	silence time.Duration
	// continuable is true while a silent attempt may be given up for another.
	continuable atomic.Bool
	// continuations counts the attempts after the first without progress.
	continuations int
}

func (e *exchange) do(ctx context.Context) error {
	for {
		// The last attempt is not given up for silence: the target may be slow.
		e.continuable.Store((e.spec.Idempotent && !e.started || e.resumable()) && e.continuations < e.streams.opts.MaxContinuations)
		progress := e.bytes
		err := e.attempt(ctx)
		if err == nil {
			return nil
		}
		if e.bytes > progress {
			e.continuations = 0
			e.silence = e.streams.opts.SilenceTimeout
		}
		if !e.mayContinue(ctx, err) {
			return e.fail(ctx, err)
		}
		e.continuations++
		e.streams.resumes.Inc()
		if errors.Is(err, errSilent) {
			e.silence *= 2
			continue
		}
		if !sleep(ctx, e.streams.opts.ContinuationDelay<<(e.continuations-1)) {
			return e.fail(ctx, err)
		}
	}
}

// mayContinue tells whether the exchange may go on with another attempt at
// the same target.
func (e *exchange) mayContinue(ctx context.Context, err error) bool {
	var refused *SendError
	if ctx.Err() != nil || errors.Is(err, errReceiver) || errors.As(err, &refused) {
		return false
	}
	if e.continuations >= e.streams.opts.MaxContinuations {
		return false
	}
	for _, final := range []error{errEventGap, errEventTooBig, errForgot} {
		if errors.Is(err, final) {
			return false
		}
	}
	if !e.sent {
		// Nothing has left: a stale pooled connection gets one more try,
		// a target that cannot be reached is left to the caller.
		return e.continuations == 0 && !isDialError(err) && !errors.Is(err, ErrInvalid)
	}
	if e.resumable() {
		return true
	}
	// An answer without event identifiers can only be asked for again.
	return e.spec.Idempotent && !e.started
}

// resumable tells whether the target can continue the answer behind the
// events that were delivered.
func (e *exchange) resumable() bool {
	if !e.spec.Stream || e.target.Kind != fleet.TargetEngine {
		return false
	}
	return e.spec.Idempotent || e.events.delivered > 0
}

// fail turns the last attempt's error into the exchange's result.
func (e *exchange) fail(ctx context.Context, err error) error {
	var refused *SendError
	if errors.As(err, &refused) {
		return refused
	}
	out := &SendError{Started: e.started, Err: err}
	out.CallerGone = errors.Is(err, errReceiver) || errors.Is(context.Cause(ctx), context.Canceled)
	switch {
	case !e.sent:
		out.Run = fault.RunNo
	case e.started:
		out.Run = fault.RunYes
	default:
		out.Run = fault.RunUnknown
	}
	if e.sent {
		e.streams.cancelAtTarget(e.target, e.spec.RequestID)
	}
	return out
}

// attempt sends the request once and transfers the answer.
func (e *exchange) attempt(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	gen := e.pool.current.Load()
	transport := gen.transport
	if !e.spec.Idempotent || e.continuations > 0 {
		// A connection that may have gone stale must not decide whether a
		// request that cannot be repeated was run.
		transport = e.streams.fresh
	}
	var conn *countedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			conn, before = c, c.written.Load()
		}
	}}
	req, err := e.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return err
	}
	watch := e.watch(gen, cancel)
	defer watch.stop()
	e.resent = e.sent
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if conn != nil {
			_ = conn.Close() // no byte leaves after the count is read
			e.sent = e.sent || conn.written.Load() > before
		}
		return attemptError(ctx, err)
	}
	e.sent = true
	err = e.receive(resp, watch)
	if err != nil && conn != nil {
		// The rest of the answer must not reach another exchange.
		_ = conn.Close()
	}
	_ = resp.Body.Close()
	return attemptError(ctx, err)
}

// attemptError prefers the reason for which the attempt was cancelled.
func attemptError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// ownHeaders is the number of headers that an exchange adds.
const ownHeaders = 4

// request builds the request of one attempt. Without GetBody the transport
// cannot send it again by itself.
func (e *exchange) request(ctx context.Context) (*http.Request, error) {
	u, err := url.ParseRequestURI(e.spec.Path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	u.Scheme, u.Host = "http", e.target.Addr
	req := &http.Request{
		Method:     e.spec.Method,
		URL:        u,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     make(http.Header, len(e.spec.Header)+ownHeaders),
		Host:       e.target.Addr,
	}
	if len(e.spec.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(e.spec.Body))
		req.ContentLength = int64(len(e.spec.Body))
	}
	for k, v := range e.spec.Header {
		if !isOwnHeader(k) {
			req.Header[k] = v
		}
	}
	e.setHeaders(req.Header)
	return req.WithContext(ctx), nil
}

// setHeaders adds the exchange's own headers. Their names are in canonical
// form, and their values share one array.
func (e *exchange) setHeaders(h http.Header) {
	values := make([]string, 0, ownHeaders)
	set := func(name, value string) {
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(HeaderRequestID, e.spec.RequestID)
	if e.spec.Replica.Model != "" {
		set(HeaderReplica, e.spec.Replica.String())
		set(HeaderPriority, strconv.Itoa(e.spec.Priority))
	}
	if e.sent && e.resumable() {
		set(http.CanonicalHeaderKey(HeaderResume), strconv.FormatUint(e.events.delivered, 10))
	}
}

// isOwnHeader tells whether a caller's header concerns its own connection
// or almondturn only, so that targets do not get it.
func isOwnHeader(name string) bool {
	switch name {
	case "Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Expect", "Host",
		HeaderRequestID, HeaderReplica, HeaderPriority, HeaderRun, "Last-Event-Id":
		return true
	default:
		return false
	}
}

// receive checks the answer and transfers its body.
func (e *exchange) receive(resp *http.Response, watch *silenceWatch) error {
	if got := resp.Header.Get(HeaderRequestID); got != e.spec.RequestID {
		e.streams.crossed.Inc()
		event.TargetAnswerCrossed.Log(&e.streams.logger).Str("target", string(e.target.ID)).
			Str("request", e.spec.RequestID).Str("answer", got).Send()
		return fmt.Errorf("answer of %q for %q: %w", got, e.spec.RequestID, errCrossed)
	}
	if resp.Header.Get(HeaderRun) == string(fault.RunNo) {
		if refused := e.refusal(resp); refused != nil {
			return refused
		}
	}
	body := &watchedBody{in: resp.Body, watch: watch}
	if e.spec.Stream && resp.StatusCode == http.StatusOK {
		return e.receiveEvents(resp, body)
	}
	if e.started {
		return fmt.Errorf("status %d: %w", resp.StatusCode, errForgot)
	}
	return e.receiveBody(resp, body)
}

// refusal returns the error of an answer by which the target declares that
// it did not run the request; nil for an answer that the caller shall see.
func (e *exchange) refusal(resp *http.Response) error {
	if e.started {
		return fmt.Errorf("status %d: %w", resp.StatusCode, errForgot)
	}
	overloaded := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusConflict
	if resp.StatusCode < http.StatusInternalServerError && !overloaded {
		return nil
	}
	run := fault.RunNo
	if e.resent {
		run = fault.RunUnknown // the earlier attempt may have been run
	}
	return &SendError{
		Run:     run,
		Refused: true,
		Status:  resp.StatusCode,
		Err:     fmt.Errorf("target %s refused the request with status %d", e.target.ID, resp.StatusCode),
	}
}

func (e *exchange) receiveEvents(resp *http.Response, body io.Reader) error {
	in := readers.Get().(*bufio.Reader)
	in.Reset(body)
	defer func() {
		in.Reset(nil)
		readers.Put(in)
	}()
	e.events.in = in
	return e.events.copy(func(p []byte) error { return e.write(resp, p) })
}

func (e *exchange) receiveBody(resp *http.Response, body io.Reader) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if werr := e.write(resp, (*buf)[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			e.start(resp)
			return nil
		}
		if err != nil {
			return fmt.Errorf("answer of target %s: %w", e.target.ID, err)
		}
	}
}

func (e *exchange) start(resp *http.Response) {
	if !e.started {
		e.started = true
		e.to.Start(resp.StatusCode, resp.Header)
	}
}

func (e *exchange) write(resp *http.Response, p []byte) error {
	e.start(resp)
	e.bytes += int64(len(p))
	e.continuable.Store(e.resumable())
	if err := e.to.Write(p); err != nil {
		return fmt.Errorf("%w: %w", errReceiver, err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
