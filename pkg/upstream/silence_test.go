package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startTarget starts a target that handles each connection with serve.
func startTarget(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// A sound target was given up when it took longer than skippedResponseTimeout after a late
// response to another request.
func TestTargetMayTakeItsTimeAfterALateResponse(t *testing.T) {
	t.Parallel()
	addr := startTarget(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for _, response := range []string{okResponse, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"} {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, response)
		}
		time.Sleep(skippedResponseTimeout + 500*time.Millisecond)
		_, _ = io.WriteString(c, okResponse)
	})
	p := NewPool(NewDialer(time.Second).DialContext)
	_, err := send(t, p, addr)
	require.NoError(t, err)
	body, err := send(t, p, addr)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
	assert.EqualValues(t, 1, p.Dialed.Load())
}
