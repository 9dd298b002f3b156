package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A response that was still being read ended early, because idle connections to its target were
// reset meanwhile.
func TestIdleCloseDoesNotMeetAResponseThatIsRead(t *testing.T) {
	const (
		clients  = 16
		requests = 20
		pieces   = 5
	)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range pieces {
			fmt.Fprintf(w, "%s %d\n", r.URL.Path, i)
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	}))
	defer s.Close()
	addr := s.Listener.Addr().String()
	p := NewPool(NewDialer(time.Second).DialContext)
	done := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond): // some connections are used again
				p.CloseIdle(addr)
				p.CloseExpired()
			}
		}
	})
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", c, i)
				resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: path, Host: "h", MaxIdle: time.Second})
				if !assert.NoError(t, err) {
					return
				}
				var want strings.Builder
				for k := range pieces {
					fmt.Fprintf(&want, "%s %d\n", path, k)
				}
				body, err := io.ReadAll(resp)
				assert.NoError(t, err)
				assert.Equal(t, want.String(), string(body))
				resp.Close()
			}
		})
	}
	wg.Wait()
	close(done)
	closing.Wait()
	assert.Less(t, p.Dialed.Load(), uint64(clients*requests), "connections are used again")
}

// The connection of a response that was given up half-read was used for the next request, of
// which the rest of that response would have been the answer.
func TestConnectionOfAHalfReadResponseIsNotUsedAgain(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234"
	addr, _ := startScriptedTarget(t, half, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	p := NewPool(NewDialer(time.Second).DialContext)
	get := func() *Response {
		resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Path: "/", Host: "h", MaxIdle: time.Second})
		require.NoError(t, err)
		return resp
	}
	first := get()
	_, err := io.ReadFull(first, make([]byte, len("01234")))
	require.NoError(t, err)
	first.Close()
	get().Close()
	assert.EqualValues(t, 2, p.Dialed.Load())
}
