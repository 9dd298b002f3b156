package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startScriptedTarget starts a target that responds to the requests of each
// connection with the given texts in turn, and closes the connection after the
// last one. It returns its address and the number of requests received.
func startScriptedTarget(t *testing.T, responses ...string) (addr string, requests *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for _, response := range responses {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					text, keepsOpen := strings.CutSuffix(response, keepOpen)
					_, _ = io.WriteString(c, text)
					if keepsOpen {
						_, _ = io.Copy(io.Discard, in) // until the client closes
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// keepOpen at the end of a scripted response makes the target keep the
// connection open and send nothing more.
const keepOpen = "\x00"

// okResponse is a response that belongs to the request of send.
const okResponse = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"

// send sends a POST request and returns the body of the response with the
// header X-Id: mine.
func send(t *testing.T, p *Pool, addr string) (string, error) {
	resp, err := p.Do(t.Context(), addr, &Request{
		Method: http.MethodPost, Path: "/x?y=1", Host: "h", Body: []byte("body"), MaxIdle: time.Minute,
		MatchesResponse: func(h http.Header) bool { return h.Get("X-Id") == "mine" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, okResponse, okResponse, okResponse)
	for range 3 {
		body, err := send(t, p, addr)
		require.NoError(t, err)
		assert.Equal(t, "ok", body)
	}
	assert.Equal(t, uint64(1), p.Dialed.Load())
}

func TestConnectionClosedByTargetIsNotReused(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, requests := startScriptedTarget(t, okResponse)
	for range 3 {
		_, err := send(t, p, addr)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond) // the close is received
	}
	assert.Equal(t, int32(3), requests.Load(), "each request is sent once")
	assert.Equal(t, uint64(3), p.Dialed.Load())
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
	addr, _ := startScriptedTarget(t, mismatched+okResponse)
	body, err := send(t, p, addr)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
}

// TestExchangeFailsIfAllResponsesAreMismatched checks that an exchange fails if the
// target responds to another request only.
func TestExchangeFailsIfAllResponsesAreMismatched(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"+keepOpen)
	_, err := send(t, p, addr)
	var e *SendError
	require.ErrorAs(t, err, &e)
	assert.True(t, e.Sent)
}

// TestMissingResponseTimesOut checks that an exchange with a target that accepts
// the request and sends nothing fails after the response header timeout.
func TestMissingResponseTimesOut(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, keepOpen)
	_, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: "/", Host: "h", ResponseHeaderTimeout: 20 * time.Millisecond})
	var e *SendError
	require.ErrorAs(t, err, &e)
	assert.True(t, e.Sent)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestConnectionWithUnsolicitedBytesIsClosed(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, okResponse+"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nbad", okResponse)
	for range 2 {
		body, err := send(t, p, addr)
		require.NoError(t, err)
		assert.Equal(t, "ok", body)
	}
	assert.Equal(t, uint64(2), p.Dialed.Load())
}

func TestSendErrorReportsWhetherTheRequestWasSent(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	malformed, _ := startScriptedTarget(t, "this is no answer\r\n\r\n")
	closes, _ := startScriptedTarget(t, "")
	for addr, sent := range map[string]bool{closed: false, malformed: true, closes: true} {
		_, err := send(t, p, addr)
		var e *SendError
		require.ErrorAs(t, err, &e)
		assert.Equal(t, sent, e.Sent, err)
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort",
	} {
		addr, _ := startScriptedTarget(t, response)
		_, err := send(t, p, addr)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

func TestCanceledContextClosesTheConnection(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	cause := errors.New("the client left")
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { cancel(cause) })
	_, err = p.Do(ctx, l.Addr().String(), &Request{Method: http.MethodGet, Path: "/", Host: "h"})
	require.ErrorIs(t, err, cause)
	<-closed
}

func TestRequestIsEncodedUnchanged(t *testing.T) {
	text := string(encodeRequest(&Request{Method: "POST", Path: "/a//b/%2f?x=%20", Host: "h:1", Header: http.Header{"X-Odd": {"1", "2"}}, Body: []byte("abc")}))
	requestLine, headersAndBody, _ := strings.Cut(text, "\r\n")
	assert.Equal(t, "POST /a//b/%2f?x=%20 HTTP/1.1", requestLine)
	for _, want := range []string{"Host: h:1\r\n", "X-Odd: 1\r\n", "X-Odd: 2\r\n", "Content-Length: 3\r\n"} {
		assert.Contains(t, headersAndBody, want)
	}
	assert.True(t, strings.HasSuffix(text, "\r\n\r\nabc"))
	assert.NotContains(t, string(encodeRequest(&Request{Method: "GET", Path: "/", Host: "h"})), "Content-Length")
}

func TestParseIdleTimeoutSubtractsTheMarginOrReturnsTheDefault(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=5":         5*time.Second - idleTimeoutMargin,
		"max=3, timeout=2":  2*time.Second - idleTimeoutMargin,
		"timeout=1":         400 * time.Millisecond,
		"timeout=0":         0,
		"timeout=never":     defaultIdleTimeout,
		"Timeout=4, max=10": 4*time.Second - idleTimeoutMargin,
	} {
		assert.Equal(t, want, parseIdleTimeout(header), header)
	}
}

// A timeout of more than 292 years overflowed, so that no connection to the target was
// reused.
func TestLongIdleTimeoutIsBounded(t *testing.T) {
	for _, seconds := range []string{"3601", "9223372037", "9999999999", "9223372036854775807"} {
		assert.Equal(t, maxIdleTimeout-idleTimeoutMargin, parseIdleTimeout("timeout="+seconds), seconds)
	}
	for _, invalid := range []string{"9223372036854775808", "1e3", "-1", "1.5", ""} {
		assert.Equal(t, defaultIdleTimeout, parseIdleTimeout("timeout="+invalid), invalid)
	}
	assert.Equal(t, time.Hour-idleTimeoutMargin, parseIdleTimeout("timeout=3600"))
}

func TestCloseExpiredClosesExpiredConnections(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, strings.Replace(okResponse, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1), okResponse)
	_, err := send(t, p, addr)
	require.NoError(t, err)
	p.CloseExpired()
	assert.Empty(t, p.idle)
}

func FuzzParseIdleTimeout(f *testing.F) {
	f.Add("timeout=5, max=100")
	f.Fuzz(func(t *testing.T, header string) {
		assert.GreaterOrEqual(t, parseIdleTimeout(header), time.Duration(0), fmt.Sprintf("%q", header))
	})
}

// The connection of a request that was not sent was closed, or taken for one that carried
// a request.
func TestWithheldRequestLeavesItsConnection(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer s.Close()
	addr := s.Listener.Addr().String()
	p := NewPool(NewDialer(time.Second).DialContext)
	refused := errors.New("not now")
	r := &Request{Method: http.MethodGet, Path: "/", Host: addr, MaxIdle: time.Minute, BeforeSend: func() error { return refused }}
	for range 2 {
		_, err := p.Do(t.Context(), addr, r)
		var sendErr *SendError
		require.ErrorAs(t, err, &sendErr)
		assert.False(t, sendErr.Sent)
		require.ErrorIs(t, err, refused)
	}
	assert.Zero(t, requests)
	r.BeforeSend = nil
	resp, err := p.Do(t.Context(), addr, r)
	require.NoError(t, err)
	resp.Close()
	assert.Equal(t, 1, requests)
	assert.EqualValues(t, 1, p.Dialed.Load(), "the connection is used again")
}

// A response that is skipped as another request's was not looked at, though it comes from
// the same target.
func TestHeadOfSkippedResponseIsObserved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\nX-Id: 0\r\n\r\nHTTP/1.1 503 Refused\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n")
	}()
	var heads []string
	p := NewPool(NewDialer(time.Second).DialContext)
	resp, err := p.Do(t.Context(), l.Addr().String(), &Request{
		Method: http.MethodGet, Path: "/", Host: "h",
		MatchesResponse: func(h http.Header) bool { return h.Get("X-Id") == "2" },
		OnHead:          func(status int, h http.Header) { heads = append(heads, fmt.Sprint(status, " ", h.Get("X-Id"))) },
	})
	require.NoError(t, err)
	resp.Close()
	assert.Equal(t, []string{"503 1", "200 2"}, heads)
}

// A request that was given up was still sent: the kernel goes on with what was written
// after an ordinary close.
func TestConnectionOfAGivenUpRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	p := NewPool(NewDialer(time.Second).DialContext)
	done := make(chan error)
	go func() {
		// More than the buffers of both ends hold.
		_, err := p.Do(ctx, l.Addr().String(), &Request{Method: http.MethodPost, Path: "/", Host: "h", Body: make([]byte, 16<<20)})
		done <- err
	}()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1<<10))
	require.NoError(t, err)
	giveUp()
	require.ErrorIs(t, <-done, context.Canceled)
	_, err = io.Copy(io.Discard, c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
