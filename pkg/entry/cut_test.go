package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/buffers"
	"almondturn/pkg/upstream"
)

// A stream that the node gave up, and that nothing continued, was counted as the fault of
// its next target or of its deadline.
func TestCutAfterADecisionOfTheNodeIsTheNodes(t *testing.T) {
	broken := sendResult{kind: outcomeUnknown, err: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		givenUp bool
		stopped bool
		last    sendResult
		want    cutBy
	}{
		"target broke off":                  {false, false, broken, cutByTarget},
		"next target broke off":             {true, false, broken, cutByNode},
		"next target took until the end":    {true, false, sendResult{kind: expired, err: context.DeadlineExceeded}, cutByNode},
		"deadline":                          {false, false, sendResult{kind: expired, err: context.DeadlineExceeded}, cutByDeadline},
		"stop":                              {false, true, sendResult{kind: expired, err: ErrStopping}, cutByStop},
		"target broke off, the node stops":  {false, true, broken, cutByTarget},
		"given up, then the client left":    {true, false, sendResult{kind: clientGone}, cutByClient},
		"target answered with server error": {false, false, sendResult{kind: failedRun, status: http.StatusInternalServerError}, cutByTarget},
	} {
		ctx, end := context.WithCancelCause(t.Context())
		if c.stopped {
			end(ErrStopping)
		}
		j, cr := &job{givenUp: c.givenUp}, &clientResponse{r: httptest.NewRequest(http.MethodGet, "/", nil)}
		assert.Equal(t, c.want, j.cutBy(ctx, cr, c.last), name)
		end(nil)
	}
}

// Each cause with which the node ends an attempt is told from the target's failures, also
// when an error of the exchange wraps it.
func TestDecisionsOfTheNodeAreToldFromFailures(t *testing.T) {
	for _, cause := range []error{errStalled, errSuspended, errEventTooLong, buffers.ErrHeldMost, upstream.ErrHeadTooLarge, upstream.ErrTooManySkippedBytes, upstream.ErrTooManySkippedResponses} {
		assert.True(t, sendResult{err: cause}.endedByDecision(), cause)
		assert.True(t, sendResult{err: &upstream.SendError{Sent: true, Err: fmt.Errorf("read: %w", cause)}}.endedByDecision(), cause)
	}
	for _, cause := range []error{nil, io.ErrUnexpectedEOF, context.Canceled, context.DeadlineExceeded, errNotNeeded, errEventOrder, errors.New("other")} {
		assert.False(t, sendResult{err: cause}.endedByDecision(), cause)
	}
}

// A client's connection that the node itself had ended, by a read deadline during a request,
// was taken for one that the client had closed.
func TestReadDeadlineDuringARequestIsTheNodes(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(client net.Conn, server *idleConn)
		want cutBy
	}{
		"read deadline": {func(_ net.Conn, server *idleConn) { _ = server.SetReadDeadline(time.Now()) }, cutByNode},
		"disconnected":  {func(client net.Conn, _ *idleConn) { _ = client.Close() }, cutByClient},
	} {
		t.Run(name, func(t *testing.T) {
			by := make(chan cutBy, 1)
			n := new(Node)
			second := false
			n.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !second {
					second = true
					return // after it, the server ends its read of the connection
				}
				<-r.Context().Done()
				by <- new(job).cutBy(r.Context(), &clientResponse{r: r}, sendResult{kind: clientGone})
			})
			s := httptest.NewUnstartedServer(http.HandlerFunc(n.serveClient))
			listener := &lastConnListener{Listener: newIdleConns().listen(s.Listener)}
			s.Listener, s.Config.ConnContext = listener, withClientConn
			s.Start()
			defer s.Close()
			client, err := net.Dial("tcp", s.Listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			_, err = client.Read(make([]byte, 4096))
			require.NoError(t, err)
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.inFlight.Load() == 1 }, 5*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // the server begins to read the connection
			c.end(client, listener.last.Load())
			assert.Equal(t, c.want, <-by)
		})
	}
}

// lastConnListener remembers the connection that it accepted last.
type lastConnListener struct {
	net.Listener
	last atomic.Pointer[idleConn]
}

// Accept implements net.Listener.
func (l *lastConnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.last.Store(c.(*idleConn))
	}
	return c, err
}

// A handler's panic, by which a client gets no answer, was in no metric.
func TestPanicIsCountedAsCutByTheNode(t *testing.T) {
	log := zerolog.Nop()
	n := &Node{log: &log, metrics: newMetrics()}
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)
	n.handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { n.serveClient(w, r) })
	assert.Zero(t, n.metrics.cutCounter("", cutByNode).Get(), "the response was ended on purpose")
	n.handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("fault") })
	assert.PanicsWithValue(t, "fault", func() { n.serveClient(w, r) })
	assert.EqualValues(t, 1, n.metrics.cutCounter("", cutByNode).Get())
}

// The break of a target that had continued a given up stream was counted as the node's.
func TestContinuedStreamIsNoLongerGivenUp(t *testing.T) {
	w := httptest.NewRecorder()
	cr := &clientResponse{w: w, rc: http.NewResponseController(w), started: true}
	j := &job{givenUp: true, version: softwareVersion{known: true}}
	require.NoError(t, new(Node).writeEvents(j, nil, cr, cr.w, http.StatusOK, []byte("id: 3\n\n")))
	assert.False(t, j.givenUp)
}
