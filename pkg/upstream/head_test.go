package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEndlessTarget starts a target that responds to the first request of each
// connection with start, and then sends part again and again until the client closes
// the connection. closed receives a value then.
func startEndlessTarget(t *testing.T, start, part string) (addr string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				chunk := []byte(strings.Repeat(part, 1+8192/len(part)))
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = c.Write(chunk)
				}
				ended <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), ended
}

// endless lists answers whose bytes never end, before the body of the response to the
// request begins.
var endless = map[string]struct{ start, part string }{
	"no line end":              {"", "x"},
	"status line":              {"HTTP/1.1 200 ", "O"},
	"header line":              {"HTTP/1.1 200 OK\r\nX-Id: ", "a"},
	"headers":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"continued header":         {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
	"informational responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"responses to others":      {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
	"body of another response": {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
	"chunk size":               {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
	"chunk extension":          {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e"},
	"trailers":                 {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// An answer without end is given up after a bounded number of bytes, long before the
// time that the request has, and its connection is closed.
func TestEndlessAnswerIsBoundedAndClosed(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessTarget(t, e.start, e.part)
			p := NewPool(NewDialer(time.Second).DialContext)
			begin := time.Now()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := send(t, p, addr)
			runtime.ReadMemStats(&after)
			var sendErr *SendError
			require.ErrorAs(t, err, &sendErr)
			assert.True(t, sendErr.Sent, "the request may have run")
			assert.Less(t, time.Since(begin), 2*skippedResponseTimeout)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20))
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was not closed")
			}
			assert.Empty(t, p.idle[addr])
		})
	}
}

// The bytes of the head do not count against the body.
func TestLargeBodyAfterHeadIsRead(t *testing.T) {
	body := strings.Repeat("x", 4*maxHeadBytes)
	addr, _ := startScriptedTarget(t, "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"+body)
	got, err := send(t, NewPool(NewDialer(time.Second).DialContext), addr)
	require.NoError(t, err)
	assert.Equal(t, len(body), len(got))
}

func TestHeadLimiterFailsBeyondItsLimitOnly(t *testing.T) {
	l := &headLimiter{in: bytes.NewReader(make([]byte, 3*maxHeadBytes))}
	l.begin()
	n, err := io.Copy(io.Discard, l)
	assert.True(t, errors.Is(err, ErrHeadTooLarge))
	assert.LessOrEqual(t, n, int64(maxHeadBytes+32<<10), "one read beyond the limit")
	l.end()
	_, err = io.Copy(io.Discard, l)
	require.NoError(t, err)
}

// A target sends a copy of an answer again after its connection was pooled, with the
// request ID or without; the next request never gets it.
func TestLateCopyOnReusedConnectionIsNotTheNextAnswer(t *testing.T) {
	for name, copied := range map[string]string{
		"with its ID": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nold",
		"after 204":   "HTTP/1.1 204 No Content\r\nX-Id: other\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nold",
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := startScriptedTarget(t, okResponse, copied+okResponse)
			p := NewPool(NewDialer(time.Second).DialContext)
			for range 2 {
				got, err := send(t, p, addr)
				require.NoError(t, err)
				assert.Equal(t, "ok", got)
			}
			assert.EqualValues(t, 2, requests.Load())
			assert.EqualValues(t, 1, p.Dialed.Load(), "the connection was reused")
		})
	}
	t.Run("reported as reused", func(t *testing.T) {
		addr, _ := startScriptedTarget(t, okResponse, okResponse)
		p := NewPool(NewDialer(time.Second).DialContext)
		for _, reused := range []bool{false, true} {
			resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: "/", Host: "h", MaxIdle: time.Minute})
			require.NoError(t, err)
			assert.Equal(t, reused, resp.Reused())
			_, _ = io.Copy(io.Discard, resp)
			resp.Close()
		}
	})
}
