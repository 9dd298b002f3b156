package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request that a node had read was cut without an answer, because its connection
// still counted as idle when idle connections were closed.
func TestReadRequestIsServedWhileIdleConnectionsAreClosed(t *testing.T) {
	for name, text := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"with a body":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + string(make([]byte, 5000)),
	} {
		t.Run(name, func(t *testing.T) {
			idle := newIdleConns()
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				select {
				case <-r.Context().Done(): // as if the client had disconnected
					err = r.Context().Err()
				case <-time.After(50 * time.Millisecond):
				}
				if err != nil {
					panic(http.ErrAbortHandler)
				}
			}))
			s.Listener = idle.listen(s.Listener)
			s.Config.ReadHeaderTimeout = headerTimeout
			s.Config.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateActive { // the head has been read
					idle.closeOlder(0)
				}
				idle.track(c, state)
			}
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			reader := bufio.NewReader(c)
			for range 3 {
				_, _ = io.WriteString(c, text)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, resp.StatusCode)
				_ = resp.Body.Close()
			}
			assert.Eventually(t, func() bool {
				idle.closeOlder(0)
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
				_, err := reader.ReadByte()
				return errors.Is(err, io.EOF)
			}, 5*time.Second, time.Millisecond, "an idle connection is closed")
			assert.Eventually(t, idle.empty, 5*time.Second, time.Millisecond)
		})
	}
}

// A response was reset because the connection could no longer be closed one side first.
func TestIdleConnCanCloseItsSendingSide(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l = newIdleConns().listen(l)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	w, ok := c.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, w.CloseWrite())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// A request that had arrived when its idle connection was closed, but that the server had
// not read, was reset.
func TestArrivedRequestIsServedWhenIdleConnectionsAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	idle := newIdleConns()
	l = idle.listen(l)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	for _, text := range []string{"first", "second"} {
		idle.track(c, http.StateIdle)
		_, err = io.WriteString(client, text)
		require.NoError(t, err)
		idle.closeOlder(0) // before the server reads
		got := make([]byte, len(text))
		_, err = io.ReadFull(c, got)
		require.NoError(t, err)
		assert.Equal(t, text, string(got))
		assert.True(t, idle.empty())
	}
	idle.track(c, http.StateIdle)
	idle.closeOlder(0)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "without a request the connection is closed")
	idle.track(c, http.StateActive)
	_ = c.SetReadDeadline(time.Now())
	_, err = io.WriteString(client, "body")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the end of other reads stays in force")
}

// TestRequestsThatArriveBeforeIdleConnectionsAreClosed is the same with a server that waits
// for the next request.
func TestRequestsThatArriveBeforeIdleConnectionsAreClosed(t *testing.T) {
	idle := newIdleConns()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Listener = idle.listen(s.Listener)
	s.Config.ConnState = idle.track
	s.Start()
	defer s.Close()
	const conns = 50
	for range 20 {
		var clients []net.Conn
		for range conns {
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			clients = append(clients, c)
		}
		for round := range 2 {
			for _, c := range clients {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			}
			if round > 0 {
				idle.closeOlder(0)
			}
			for _, c := range clients {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				_ = resp.Body.Close()
			}
		}
		idle.closeOlder(0)
	}
}
