package upstream

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// getScripted returns the response of a scripted target.
func getScripted(t *testing.T, p *Pool, text string) *Response {
	addr, _ := startScriptedTarget(t, text)
	resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: "/", Host: "h", MaxIdle: time.Minute})
	require.NoError(t, err)
	t.Cleanup(resp.Close)
	return resp
}

// never is an enough of ReadPrefix that is never true.
func never([]byte) (bool, error) { return false, nil }

// Guards against bytes that are lost or read twice between a prefix and the rest.
func TestReadReturnsThePrefixAndThenTheRest(t *testing.T) {
	const body = "first\n\nsecond"
	for name, c := range map[string]struct {
		text   string
		ending error // of ReadPrefix
	}{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + body, io.EOF},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + body + "\r\n0\r\n\r\n", io.EOF},
		"connection": {"HTTP/1.1 200 OK\r\n\r\n" + body, io.EOF},
		"truncated":  {"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + body, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			resp := getScripted(t, NewPool(NewDialer(time.Second).DialContext), c.text)
			require.ErrorIs(t, resp.ReadPrefix(1<<10, never), c.ending)
			got, err := io.ReadAll(resp)
			assert.Equal(t, body, string(got))
			if errors.Is(c.ending, io.EOF) {
				assert.NoError(t, err)
				return
			}
			assert.ErrorIs(t, err, c.ending)
		})
	}
}

// The prefix ends where it is enough, and the rest is read from the connection.
func TestPrefixEndsWhereItIsEnough(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
	resp := getScripted(t, NewPool(NewDialer(time.Second).DialContext), head+"abc"+keepOpen)
	var seen strings.Builder
	require.NoError(t, resp.ReadPrefix(1<<10, func(part []byte) (bool, error) {
		seen.Write(part)
		return seen.Len() >= 3, nil
	}))
	assert.Equal(t, "abc", seen.String())
	buf := make([]byte, 2)
	n, err := io.ReadFull(resp, buf)
	require.NoError(t, err)
	assert.Equal(t, "ab", string(buf[:n]))
	n, err = resp.Read(buf)
	require.NoError(t, err)
	assert.Equal(t, "c", string(buf[:n]))
}

// Guards against a target that sends a beginning without end.
func TestPrefixIsBounded(t *testing.T) {
	resp := getScripted(t, NewPool(NewDialer(time.Second).DialContext), "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1<<20))
	require.ErrorIs(t, resp.ReadPrefix(64<<10, never), ErrPrefixTooLong)
	assert.Less(t, len(resp.prefix), 64<<10+prefixBufferBytes)
	errOwn := errors.New("own")
	require.ErrorIs(t, getScripted(t, resp.pool, okResponse).ReadPrefix(1<<10, func([]byte) (bool, error) { return false, errOwn }), errOwn)
}

// A connection whose body was read to its end as a prefix serves further requests.
func TestConnectionOfAPrefixIsUsedAgain(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, okResponse, okResponse)
	for range 2 {
		resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: "/", Host: "h", MaxIdle: time.Minute})
		require.NoError(t, err)
		require.ErrorIs(t, resp.ReadPrefix(1<<10, never), io.EOF)
		_, err = io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close()
	}
	assert.EqualValues(t, 1, p.Dialed.Load())
}
