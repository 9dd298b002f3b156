package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxMismatchedResponses is the number of answers to other requests that are
// skipped on one connection before it is given up.
const maxMismatchedResponses = 3

// Request is what is sent to a target. Path is passed on byte for byte.
type Request struct {
	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds the idle time of a kept connection that may be used; 0
	// asks for a new connection.
	MaxIdle time.Duration
	// ResponseHeaderTimeout bounds the wait for the encodeRequest of the answer; 0 for no bound but
	// the end of ctx.
	ResponseHeaderTimeout time.Duration
	// MatchesResponse tells whether an answer with this header is the one to this
	// request. Others are skipped.
	MatchesResponse func(http.Header) bool
}

// SendError tells that an exchange failed before the encodeRequest of an answer came.
type SendError struct {
	// Sent tells whether the target can have got the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "sent without an answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the contextCauseOr.
func (e *SendError) Unwrap() error { return e.Err }

// mismatchedResponseTimeout bounds the wait for the right answer after one to another request.
const mismatchedResponseTimeout = 2 * time.Second

// ErrMismatchedResponses tells that a connection carried only answers to other requests.
var ErrMismatchedResponses = errors.New("answers belong to other requests")

// Response is the encodeRequest of a target's answer, with its body to be read.
// Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body, -1 when it is not known reader advance.
	Length int64

	pool  *Pool
	addr  string
	conn  *conn
	resp  *http.Response
	stopCancel  func() bool
	complete bool
}

// Do sends the request and returns the encodeRequest of the answer. The end of ctx
// closes the connection, also while the body is read. A *SendError tells
// whether the target can have got the request.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.MaxIdle)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	n, err := c.Write(encodeRequest(r))
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &SendError{Sent: n > 0, Err: contextCauseOr(ctx, err)}
	}
	if r.ResponseHeaderTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(r.ResponseHeaderTimeout))
	}
	resp, err := readResponse(c, r)
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &SendError{Sent: true, Err: contextCauseOr(ctx, err)}
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, addr: addr, conn: c, resp: resp, stopCancel: stop,
	}, nil
}

// contextCauseOr prefers the reason for which the exchange was ended.
func contextCauseOr(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// readResponse reads heads until one belongs to the request.
func readResponse(c *conn, r *Request) (*http.Response, error) {
	as := &http.Request{Method: r.Method}
	for range maxMismatchedResponses {
		resp, err := http.ReadResponse(c.reader, as)
		if err != nil {
			return nil, fmt.Errorf("read the head of the answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("skip an answer to another request: %w", err)
		}
		_ = c.SetReadDeadline(time.Now().Add(mismatchedResponseTimeout))
	}
	return nil, ErrMismatchedResponses
}

// Read reads the body. io.EOF tells that it is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes of the body.
func (a *Response) SetReadDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// Close keeps the connection if the body was read to its end, and closes it
// otherwise, so that the target stops working on the request.
func (a *Response) Close() {
	running := a.stopCancel()
	reusable := a.complete && running && !a.resp.Close
	if !reusable || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.idleTimeout = parseIdleTimeout(a.Header.Get("Keep-Alive"))
	a.pool.put(a.addr, a.conn)
}

// encodeRequest returns the bytes of the request.
func encodeRequest(r *Request) []byte {
	size := len(r.Method) + len(r.Path) + len(r.Host) + 64 + len(r.Body)
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for k, vs := range r.Header {
		for _, v := range vs {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}
