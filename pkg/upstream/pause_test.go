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

// longBodyBytes is more than the buffers of a loopback connection hold.
const longBodyBytes = 16 << 20

// Guards against a request that is broken off because its target does not read a long body
// for longer than userTimeout, though its machine acknowledges that it is there.
func TestTargetMayPauseWhileItReadsALongBody(t *testing.T) {
	t.Parallel()
	addr := startTarget(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		time.Sleep(2 * userTimeout)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if n, _ := io.Copy(io.Discard, r.Body); n == longBodyBytes {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	resp, err := NewPool(NewDialer(time.Second).DialContext).Do(t.Context(), addr, &Request{Method: http.MethodPost, Path: "/", Host: "h", Body: make([]byte, longBodyBytes)})
	require.NoError(t, err)
	defer resp.Close()
	got, err := io.ReadAll(resp)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(got))
}

// Guards against an answer that is cut because its client does not read for longer than
// userTimeout.
func TestClientMayPauseWhileItReadsALongAnswer(t *testing.T) {
	t.Parallel()
	lc := ListenConfig()
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	written := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			written <- err
			return
		}
		_, err = c.Write(make([]byte, longBodyBytes))
		_ = c.Close()
		written <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(2 * userTimeout)
	n, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	assert.EqualValues(t, longBodyBytes, n)
	require.NoError(t, <-written)
}
