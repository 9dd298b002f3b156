package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/platform"
	"almondturn/pkg/target"
)

// quickEngine answers at once: a short stream, or one document.
func quickEngine(tb testing.TB) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		_, _ = io.WriteString(w, `{"object":"chat.completion"}`)
	}))
	tb.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

type discardSink struct{}

func (discardSink) Start(int, http.Header) {}

func (discardSink) Write([]byte) error { return nil }

func warmNode(tb testing.TB, addr string, places int) *testNode {
	m, dir := newMesh(), newFakeDirectory()
	c := candidate("t1", "a", places)
	c.Target.Addr = addr
	dir.add(c, testKey)
	streams := target.NewStreams(target.DefaultStreamOptions(), platform.SystemClock{}, zerolog.Nop())
	tb.Cleanup(streams.Close)
	return m.start(tb, "n1", "a", testOptions(), dir, streams, nil)
}

// BenchmarkWarm compares a warm request through the dispatcher with the
// same request sent to the target by net/http, half of the machine's
// processors sending. It reports percentiles of the latency.
func BenchmarkWarm(b *testing.B) {
	addr := quickEngine(b)
	b.Run("direct", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		measure(b, func() error {
			req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader("{}"))
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return err
		})
	})
	b.Run("dispatcher", func(b *testing.B) {
		n := warmNode(b, addr, 1000)
		measure(b, func() error {
			r := modelRequest(testTimeout)
			r.Body = []byte("{}")
			return n.Do(context.Background(), r, discardSink{})
		})
	})
}

// measure runs f by half of the processors and reports latencies.
func measure(b *testing.B, f func() error) {
	b.ReportAllocs()
	workers := max(1, runtime.GOMAXPROCS(0)/2)
	times := make([][]time.Duration, workers)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for range b.N/workers + 1 {
				began := time.Now()
				if err := f(); err != nil {
					b.Error(err)
					return
				}
				times[w] = append(times[w], time.Since(began))
			}
		})
	}
	wg.Wait()
	var all []time.Duration
	for _, t := range times {
		all = append(all, t...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// BenchmarkOwnCost is the dispatcher's cost without the target.
func BenchmarkOwnCost(b *testing.B) {
	m, dir := newMesh(), newFakeDirectory()
	dir.add(candidate("t1", "a", 1000), testKey)
	n := m.start(b, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	b.ReportAllocs()
	for b.Loop() {
		if err := n.Do(context.Background(), modelRequest(testTimeout), discardSink{}); err != nil {
			b.Fatal(err)
		}
	}
}

// heapPer returns the heap and stacks that n things take, per thing.
func heapPer(n int, hold func() (release func())) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	release := hold()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc+after.StackInuse) - int64(before.HeapAlloc+before.StackInuse)
	release()
	return float64(used) / float64(n)
}

// memoryPlanBytes is the plan for a waiting request and for an open stream.
const memoryPlanBytes = 24 << 10

// TestMemoryPerWaitingRequest holds requests at a home; node and home are
// one process here, so that both ends are counted.
func TestMemoryPerWaitingRequest(t *testing.T) {
	const waiting = 1000
	m, dir := newMesh(), newFakeDirectory()
	o := testOptions()
	o.AcquireSlice = time.Minute
	n := m.start(t, "n1", "a", o, dir, &fakeSender{send: answerOK}, nil)
	loading := make(chan struct{})
	n.loader.load = func(ctx context.Context, _ fleet.ReplicaKey) (fleet.TargetID, error) {
		<-loading
		dir.add(candidate("t1", "a", 2*waiting), testKey)
		return "t1", nil
	}
	var wg sync.WaitGroup
	per := heapPer(waiting, func() func() {
		for range waiting {
			wg.Go(func() { _ = n.Do(context.Background(), modelRequest(time.Minute), discardSink{}) })
		}
		require.Eventually(t, func() bool { return n.home.Waiting() == waiting }, time.Minute, time.Millisecond)
		return func() {
			close(loading)
			wg.Wait()
		}
	})
	t.Logf("%.0f bytes per waiting request", per)
	require.Less(t, per, float64(memoryPlanBytes))
}

// streamHolder is a target that holds streams open after the first event.
type streamHolder struct {
	gate  chan struct{}
	begun atomic.Int64
}

func (h *streamHolder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == target.PathState {
		return
	}
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	w.(http.Flusher).Flush()
	h.begun.Add(1)
	<-h.gate
	_, _ = io.WriteString(w, "id: 2\ndata: [DONE]\n\n")
}

// holdStreams returns the memory per stream that open starts, with the
// target's own share.
func holdStreams(t *testing.T, n int, open func(addr string)) float64 {
	h := &streamHolder{gate: make(chan struct{})}
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	var wg sync.WaitGroup
	return heapPer(n, func() func() {
		for range n {
			wg.Go(func() { open(srv.Listener.Addr().String()) })
		}
		require.Eventually(t, func() bool { return h.begun.Load() == int64(n) }, time.Minute, time.Millisecond)
		return func() {
			close(h.gate)
			wg.Wait()
		}
	})
}

// TestMemoryPerOpenStream holds streams open towards a target in the same
// process. The target's share is measured with bare connections.
func TestMemoryPerOpenStream(t *testing.T) {
	const open = 500
	bare := holdStreams(t, open, func(addr string) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	var once sync.Once
	var n *testNode
	total := holdStreams(t, open, func(addr string) {
		once.Do(func() { n = warmNode(t, addr, 2*open) })
		r := modelRequest(time.Minute)
		r.Stream = true
		if err := n.Do(context.Background(), r, discardSink{}); err != nil {
			t.Error(err)
		}
	})
	t.Logf("%.0f bytes per open stream, of which the target's end %.0f", total, bare)
	require.Less(t, total-bare, float64(memoryPlanBytes))
}
