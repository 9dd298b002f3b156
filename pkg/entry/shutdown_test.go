package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequestDuringIdleCloseGetsResponse guards against a lost response: a
// request arrives at the moment at which its idle connection is closed. If it
// is handled, the client must get the response.
func TestRequestDuringIdleCloseGetsResponse(t *testing.T) {
	var handled atomic.Int32
	idle := newIdleConns()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = idle.track
	s.Config.ReadHeaderTimeout = headerTimeout
	s.Start()
	defer s.Close()
	const rounds = 1000
	responses := int32(0)
	for range rounds {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		reader := bufio.NewReader(c)
		request := func() bool {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err == nil
		}
		require.True(t, request())
		var wg sync.WaitGroup
		wg.Go(func() { idle.closeOlder(0) })
		if request() {
			responses++
		}
		wg.Wait()
		_ = c.Close()
	}
	assert.Equal(t, rounds+responses, handled.Load(), "every handled request has a response")
}
