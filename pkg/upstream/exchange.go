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

// maxSkippedResponses is the number of responses that are skipped before the
// exchange fails: informational responses and responses to other requests.
const maxSkippedResponses = 3

// Request is a request to a target or to the key-value service.
type Request struct {
	Method string
	// Path is the request URI with its query, sent byte for byte.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that a response to the request bears, empty if it bears none. A
	// connection never carries two requests with the same one: the target may write a response
	// once more, late, and that of the first could not be told from that of the second.
	ID string
	// OwnConnection makes the request the only one on its connection, whatever MaxIdle is. It
	// is for requests whose responses bear no identifier: a late copy of one could be taken
	// for the response to another.
	OwnConnection bool
	// MaxIdle bounds how long a pooled connection may have been idle to be
	// used; 0 requires a new connection.
	MaxIdle time.Duration
	// ResponseHeaderTimeout bounds the wait for the response headers; with 0
	// only the end of ctx does. After a response to another request was skipped on a new
	// connection, skippedResponseTimeout applies instead.
	ResponseHeaderTimeout time.Duration
	// MatchesResponse reports whether a response with this header belongs to
	// this request; other responses are skipped. If it is nil, every response
	// does.
	MatchesResponse func(http.Header) bool
	// BeforeSend is called when there is a connection, immediately before the first byte
	// is written. Its error ends the exchange, and nothing is sent. nil for no call.
	BeforeSend func() error
	// OnHead is called with the status and header of each final response that is read,
	// including those that are skipped because they belong to other requests; nil for no
	// calls.
	OnHead func(status int, h http.Header)
	// OnSkipped is called with the status and header of each final response that is skipped
	// because it belongs to another request. reused reports whether the connection had
	// carried other requests. nil for no calls.
	OnSkipped func(status int, h http.Header, reused bool)
	// OnSent is called when the whole request has been written; nil for no call.
	OnSent func()
}

// SendError is the error of an exchange that failed before the response was
// complete. Do returns it for failures up to the response headers; callers may
// also return it, with Sent set, for a body that they could not read.
type SendError struct {
	// Sent reports whether the target may have received the request.
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

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// skippedResponseTimeout bounds the time to skip a response to another request. On a
// connection that had carried no other request, it also bounds the wait for the next
// response then: the one that was skipped can only be a faulty response to this request.
const skippedResponseTimeout = 2 * time.Second

// maxSkippedBytes is the maximum size of the body of a skipped response.
const maxSkippedBytes = 1 << 20

// ErrTooManySkippedBytes means that the body of a response to another request was
// longer than maxSkippedBytes.
var ErrTooManySkippedBytes = errors.New("an answer to another request exceeds the size limit")

// ErrTooManySkippedResponses means that maxSkippedResponses responses to a
// request were informational or belonged to other requests.
var ErrTooManySkippedResponses = errors.New("answers belong to other requests")

// Response holds the status and headers of a target's response, and reads its
// body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, -1 if it is not known in advance.
	Length int64

	pool *Pool
	addr string
	conn *conn
	resp *http.Response
	// stopCloseOnDone cancels the closing of conn at the end of the context. It
	// returns false if the context has ended already.
	stopCloseOnDone func() bool
	// mayKeep reports whether the connection may carry more requests.
	mayKeep bool
	// complete reports whether the body was read to its end.
	complete bool
	// prefix is what ReadPrefix has read and Read has not returned yet, prefixErr the
	// error of the read after it.
	prefix    []byte
	prefixErr error
}

// Do sends the request to addr and returns the response headers. The end of ctx
// closes the connection, also while the body is being read. Errors are of type
// *SendError, which reports whether the target may have received the request.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	hash := hashID(r.ID)
	maxIdle := r.MaxIdle
	if r.OwnConnection {
		maxIdle = 0
	}
	c, err := p.get(ctx, addr, maxIdle, hash)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.putUnused(addr, c)
			return nil, &SendError{Err: err}
		}
	}
	c.carried.add(hash)
	stopCloseOnDone := context.AfterFunc(ctx, func() { _ = c.Close() })
	n, err := c.Write(encodeRequest(r))
	if err != nil {
		stopCloseOnDone()
		_ = c.Close()
		return nil, &SendError{Sent: n > 0, Err: contextCauseOr(ctx, err)}
	}
	if r.OnSent != nil {
		r.OnSent()
	}
	resp, err := readResponse(c, r)
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		stopCloseOnDone()
		_ = c.Close()
		return nil, &SendError{Sent: true, Err: contextCauseOr(ctx, err)}
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, addr: addr, conn: c, resp: resp, stopCloseOnDone: stopCloseOnDone,
		mayKeep: !resp.Close && !r.OwnConnection && !c.carried.full(),
	}, nil
}

// contextCauseOr returns the cause of the end of ctx, or err if ctx hasn't
// ended. The closing of the connection, which err reports, follows from the
// cause.
func contextCauseOr(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// readResponse reads response headers until those of r. It skips informational
// responses, and responses to other requests with their bodies. It returns
// ErrTooManySkippedResponses after it has skipped maxSkippedResponses of them, and
// ErrInvalidStatus after a response that is neither informational nor final.
func readResponse(c *conn, r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	var headDeadline time.Time // none
	if r.ResponseHeaderTimeout > 0 {
		headDeadline = time.Now().Add(r.ResponseHeaderTimeout)
	}
	_ = c.SetReadDeadline(headDeadline)
	for range maxSkippedResponses {
		c.head.begin()
		resp, err := http.ReadResponse(c.reader, req)
		c.head.end()
		if err != nil {
			return nil, fmt.Errorf("read the head of the answer: %w", err)
		}
		if isInformational(resp) {
			continue
		}
		if !isFinal(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %03d", ErrInvalidStatus, resp.StatusCode)
		}
		if r.OnHead != nil {
			r.OnHead(resp.StatusCode, resp.Header)
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp.Header) {
			return resp, nil
		}
		if r.OnSkipped != nil {
			r.OnSkipped(resp.StatusCode, resp.Header, c.reused)
		}
		_ = c.SetReadDeadline(time.Now().Add(skippedResponseTimeout))
		if err := skipBody(resp.Body); err != nil {
			return nil, fmt.Errorf("skip an answer to another request: %w", err)
		}
		if !c.reused {
			headDeadline = time.Now().Add(skippedResponseTimeout)
		}
		_ = c.SetReadDeadline(headDeadline)
	}
	return nil, ErrTooManySkippedResponses
}

// skipBody reads the body of a response that is skipped. It returns
// ErrTooManySkippedBytes if the body is longer than maxSkippedBytes.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		return ErrTooManySkippedBytes
	}
	return err
}

// Reused reports whether the connection of the response had carried other requests
// before, so that the response may be a late copy of one to them.
func (r *Response) Reused() bool { return r.conn.reused }

// EndsWithConnection reports whether the body has neither a length nor chunks, so that
// only the end of the connection shows its end.
func (r *Response) EndsWithConnection() bool {
	return r.Length < 0 && len(r.resp.TransferEncoding) == 0
}

// Read implements io.Reader. It returns io.EOF after a complete body, and
// io.ErrUnexpectedEOF after a truncated one.
func (r *Response) Read(b []byte) (int, error) {
	if n, ok, err := r.readPrefix(b); ok {
		return n, err
	}
	return r.readBody(b)
}

// readBody is Read for what ReadPrefix has not read.
func (r *Response) readBody(b []byte) (int, error) {
	n, err := r.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes of the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close returns the connection to the pool if the body was read to its end and the
// connection may carry more requests, and closes it otherwise, so that the target stops
// processing the request.
func (r *Response) Close() {
	contextActive := r.stopCloseOnDone()
	reusable := r.complete && contextActive && r.mayKeep
	if !reusable || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.idleTimeout = parseIdleTimeout(r.Header.Get("Keep-Alive"))
	r.pool.put(r.addr, r.conn)
}

// encodeRequest returns the request line, headers and body of r as sent. A
// Content-Length is left out only if the body is empty and the method is GET,
// HEAD or DELETE.
func encodeRequest(r *Request) []byte {
	// The size is estimated so that the buffer is allocated once: 64 bytes hold
	// the fixed parts of the request line, Host and Content-Length, and 4 the
	// separators of a header.
	size := len(r.Method) + len(r.Path) + len(r.Host) + 64 + len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
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
