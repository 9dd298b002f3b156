package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// collector is a Receiver that keeps the answer.
type collector struct {
	status int
	body   []byte
	fail   bool
	onData func()
}

func (c *collector) Start(status int, _ http.Header) { c.status = status }

func (c *collector) Write(p []byte) error {
	if c.fail {
		return errors.New("caller gone")
	}
	c.body = append(c.body, p...)
	if c.onData != nil {
		c.onData()
	}
	return nil
}

func testOptions() StreamOptions {
	o := DefaultStreamOptions()
	o.SilenceTimeout = 30 * time.Millisecond
	o.ContinuationDelay = time.Millisecond
	return o
}

func newClient(t *testing.T, o StreamOptions) *Streams {
	s := NewStreams(o, platform.SystemClock{}, zerolog.Nop())
	t.Cleanup(s.Close)
	return s
}

func serve(t *testing.T, h http.HandlerFunc) fleet.Target {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return fleet.Target{ID: "t1", Addr: srv.Listener.Addr().String(), Kind: fleet.TargetEngine}
}

func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
}

// events writes the events from+1 to last, and the end event when last is total.
func events(w http.ResponseWriter, r *http.Request, last, total int) {
	echoID(w, r)
	from, _ := strconv.Atoi(r.Header.Get(HeaderResume))
	for i := from + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
	}
	if last == total {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", total+1)
	}
	w.(http.Flusher).Flush()
}

func wholeStream(total int) string {
	out := ""
	for i := 1; i <= total; i++ {
		out += fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
	}
	return out + fmt.Sprintf("id: %d\ndata: [DONE]\n\n", total+1)
}

func streamRequest() *Exchange {
	return &Exchange{RequestID: "r1", Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Idempotent: true, Stream: true}
}

func booking() *Exchange {
	return &Exchange{RequestID: "r1", Method: http.MethodPost, Path: "/seats", Body: []byte("{}")}
}

func sendError(t *testing.T, err error) *SendError {
	var se *SendError
	require.ErrorAs(t, err, &se)
	return se
}

func TestStreamCutTwiceIsResumedWithoutRepeats(t *testing.T) {
	var calls atomic.Int32
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			events(w, r, 3, 6)
			_, _ = io.WriteString(w, "id: 4\ndata: ha") // cut within an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		case 2: // repeats two events, and ends without the end event
			r.Header.Set(HeaderResume, "1")
			events(w, r, 5, 6)
		default:
			events(w, r, 6, 6)
		}
	})
	var got collector
	require.NoError(t, newClient(t, testOptions()).Do(context.Background(), target, streamRequest(), &got))
	require.Equal(t, wholeStream(6), string(got.body))
	require.EqualValues(t, 3, calls.Load())
}

func TestStreamThatCannotBeResumedBreaksOff(t *testing.T) {
	var calls atomic.Int32
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		if calls.Add(1) > 1 { // the engine was restarted
			w.Header().Set(HeaderRun, "no")
			echoID(w, r)
			w.WriteHeader(http.StatusGone)
			return
		}
		events(w, r, 2, 6)
		panic(http.ErrAbortHandler)
	})
	var got collector
	se := sendError(t, newClient(t, testOptions()).Do(context.Background(), target, streamRequest(), &got))
	require.True(t, se.Started)
	require.Equal(t, fault.RunYes, se.Run)
	require.EqualValues(t, 2, calls.Load())
}

func TestCrossedAnswerIsNeverDelivered(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "another")
		w.Header().Set(HeaderRun, "no") // of the other request
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var got collector
	se := sendError(t, newClient(t, testOptions()).Do(context.Background(), target, booking(), &got))
	require.Equal(t, fault.RunUnknown, se.Run)
	require.False(t, se.Refused)
	require.Empty(t, got.body)
}

func TestOutcomeOfNonIdempotentRequest(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		run     fault.Run
		refused bool
	}{
		"cut before the answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.RunUnknown, false},
		"refused by the target": {func(w http.ResponseWriter, r *http.Request) {
			echoID(w, r)
			w.Header().Set(HeaderRun, "no")
			w.WriteHeader(503)
		}, fault.RunNo, true},
		"cut in mid-answer": {func(w http.ResponseWriter, r *http.Request) {
			echoID(w, r)
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "abc")
		}, fault.RunYes, false},
		"cut before the first byte": {func(w http.ResponseWriter, r *http.Request) {
			echoID(w, r)
			w.Header().Set("Content-Length", "9")
			w.WriteHeader(200)
		}, fault.RunUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			target := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					calls.Add(1)
					c.handler(w, r)
				}
			})
			var got collector
			se := sendError(t, newClient(t, testOptions()).Do(context.Background(), target, booking(), &got))
			require.Equal(t, c.run, se.Run)
			require.Equal(t, c.refused, se.Refused)
			require.EqualValues(t, 1, calls.Load(), "sent once")
		})
	}
}

func TestTargetThatCannotBeDialledDidNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	target := fleet.Target{ID: "t1", Addr: ln.Addr().String(), Kind: fleet.TargetPlain}
	var got collector
	se := sendError(t, newClient(t, testOptions()).Do(context.Background(), target, booking(), &got))
	require.Equal(t, fault.RunNo, se.Run)
	require.False(t, se.Refused)
}

// TestRefusalAfterLostAttemptIsUnknown: the second attempt's refusal says
// nothing about the first.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	var calls atomic.Int32
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		echoID(w, r)
		w.Header().Set(HeaderRun, "no")
		w.WriteHeader(http.StatusConflict)
	})
	var got collector
	x := streamRequest()
	x.Stream = false
	se := sendError(t, newClient(t, testOptions()).Do(context.Background(), target, x, &got))
	require.Equal(t, fault.RunUnknown, se.Run)
}

// TestSilentConnection covers a connection on which nothing arrives any
// more while the target answers on new ones.
func TestSilentConnection(t *testing.T) {
	var calls atomic.Int32
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathState {
			return
		}
		if calls.Add(1) == 1 {
			events(w, r, 2, 4)
			<-r.Context().Done() // silent from here
			return
		}
		events(w, r, 4, 4)
	})
	client := newClient(t, testOptions())
	old := client.pool(target).current.Load()
	var got collector
	require.NoError(t, client.Do(context.Background(), target, streamRequest(), &got))
	require.Equal(t, wholeStream(4), string(got.body))
	require.NotSame(t, old, client.pool(target).current.Load(), "old connections are retired")
}

// TestStaleConnectionDoesNotCostTheTruth: all pooled connections go silent;
// a request that must not be repeated is not sent on one of them.
func TestStaleConnectionDoesNotCostTheTruth(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{} // connections that carried a request
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		used := seen[r.RemoteAddr]
		seen[r.RemoteAddr] = true
		mu.Unlock()
		if used {
			<-r.Context().Done()
			return
		}
		echoID(w, r)
		_, _ = io.WriteString(w, "ok")
	})
	client := newClient(t, testOptions())
	x := streamRequest()
	x.Stream = false
	require.NoError(t, client.Do(context.Background(), target, x, &collector{}))
	var got collector
	require.NoError(t, client.Do(context.Background(), target, booking(), &got))
	require.Equal(t, "ok", string(got.body))
}

// TestSilentBookingWaits: nothing tells whether a silent booking ran, and
// it is not sent again.
func TestSilentBookingWaits(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	var probed sync.Once
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathState {
			probed.Do(func() { close(release) }) // a probe has found the target alive
			return
		}
		calls.Add(1)
		<-release
		echoID(w, r)
		_, _ = io.WriteString(w, "ok")
	})
	o := testOptions()
	client := newClient(t, o)
	var got collector
	require.NoError(t, client.Do(context.Background(), target, booking(), &got))
	require.EqualValues(t, 1, calls.Load())
}

// TestSlowCallerIsNotSilence: a receiver that takes its time does not make
// the connection suspect.
func TestSlowCallerIsNotSilence(t *testing.T) {
	var probes, calls atomic.Int32
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathState {
			probes.Add(1)
			return
		}
		calls.Add(1)
		events(w, r, 4, 4)
	})
	o := testOptions()
	got := collector{onData: func() { time.Sleep(4 * o.SilenceTimeout) }}
	require.NoError(t, newClient(t, o).Do(context.Background(), target, streamRequest(), &got))
	require.Zero(t, probes.Load())
	require.EqualValues(t, 1, calls.Load())
}

// TestSlowTargetIsWaitedFor: a target that is silent for long on every
// connection is slow, and the last attempt waits for it.
func TestSlowTargetIsWaitedFor(t *testing.T) {
	var calls atomic.Int32
	o := testOptions()
	o.MaxContinuations = 1
	probed := make(chan struct{}, 100)
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathState {
			probed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // so that the server notices the end of the connection
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		for range 4 {
			<-probed // it stays silent through several probes
		}
		events(w, r, 4, 4)
	})
	var got collector
	require.NoError(t, newClient(t, o).Do(context.Background(), target, streamRequest(), &got))
	require.EqualValues(t, 2, calls.Load())
}

func TestCallerGoneCancelsAtEngine(t *testing.T) {
	cancelled := make(chan string, 1)
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		events(w, r, 2, 4)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	got := collector{onData: cancel}
	se := sendError(t, newClient(t, testOptions()).Do(ctx, target, streamRequest(), &got))
	require.True(t, se.CallerGone)
	require.Equal(t, PathRequests+"/r1", <-cancelled)
}

// TestCallersHeadersAreFiltered: the API key and headers of the caller's
// own connection do not reach a target.
func TestCallersHeadersAreFiltered(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		_, _ = io.WriteString(w, r.Header.Get("Authorization")+r.Header.Get(HeaderRun)+r.Header.Get("Accept"))
	})
	x := booking()
	x.Header = http.Header{"Authorization": {"Bearer secret"}, "X-Run": {"no"}, "Accept": {"a/b"}, "X-Request-Id": {"forged"}}
	var got collector
	require.NoError(t, newClient(t, testOptions()).Do(context.Background(), target, x, &got))
	require.Equal(t, "a/b", string(got.body))
}

func TestLongLinesDoNotLookLikeFields(t *testing.T) {
	pad := make([]byte, copyBytes-len("data: "))
	for i := range pad {
		pad[i] = 'x'
	}
	text := "data: " + string(pad) + "id: 99\n\nid: 1\ndata: " + string(pad[:len(pad)-6]) + "\n\ndata: [DONE]\n\n"
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		_, _ = io.WriteString(w, text)
	})
	var got collector
	require.NoError(t, newClient(t, testOptions()).Do(context.Background(), target, streamRequest(), &got))
	require.Equal(t, text, string(got.body))
}

// BenchmarkEvents passes on a stream of a thousand small events that arrive
// as fast as they are taken.
func BenchmarkEvents(b *testing.B) {
	var text bytes.Buffer
	for i := 1; i <= 1000; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":\"r1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token\"}}]}\n\n", i)
	}
	text.WriteString("data: [DONE]\n\n")
	in := bufio.NewReaderSize(nil, copyBytes)
	b.ReportAllocs()
	for b.Loop() {
		in.Reset(bytes.NewReader(text.Bytes()))
		e := eventStream{in: in}
		if err := e.copy(func([]byte) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)*1000/b.Elapsed().Seconds(), "events/s")
}
