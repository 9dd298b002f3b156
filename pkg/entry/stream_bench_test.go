package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/buffers"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
)

// benchStreams returns the bodies of streams: one of ordinary events, and ones with a
// single long event.
func benchStreams() map[string]string {
	var events strings.Builder
	for i := 1; i <= 256; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"token %d \"}}]}\n\n", i, i)
	}
	long := func(size int) string { return "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n" }
	return map[string]string{"256 events": events.String(), "event of 64 KB": long(64 << 10), "event of 1000 KB": long(1000 << 10)}
}

// Each read of a long event searched all of it again: events without end took the
// processor from other clients. The cost grew with the square of the size. Before each read, the
// test puts the end of an event where the splitter has searched already: it must not find it.
func TestLongEventIsSearchedOnce(t *testing.T) {
	piece := []byte(strings.Repeat("x", streamBufferBytes))
	s := new(eventSplitter)
	for range maxEventBytes / streamBufferBytes {
		searched := max(len(s.partial)-len(eventEnd), 0)
		for at := 0; at+len(eventEnd) <= searched; at += streamBufferBytes {
			copy(s.partial[at:], eventEnd)
		}
		events, err := s.add(piece)
		require.NoError(t, err)
		require.Nil(t, events, "with %d bytes searched before", searched)
	}
	events, err := s.add(eventEnd)
	require.NoError(t, err)
	assert.Len(t, events, len(s.partial)+maxEventBytes/streamBufferBytes*streamBufferBytes+len(eventEnd), "the end is found")
}

// BenchmarkEventSplitter splits streams that arrive in pieces of one read.
func BenchmarkEventSplitter(b *testing.B) {
	for name, text := range benchStreams() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			buf := make([]byte, streamBufferBytes)
			for b.Loop() {
				s, in := new(eventSplitter), strings.NewReader(text)
				for {
					n, err := in.Read(buf)
					if err != nil {
						break
					}
					if _, err := s.add(buf[:n]); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// discardingWriter is a client's connection that accepts everything.
type discardingWriter struct{ header http.Header }

func (w discardingWriter) Header() http.Header         { return w.header }
func (w discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardingWriter) WriteHeader(int)             {}
func (w discardingWriter) Flush()                      {}

// copyingProtocol copies no headers. It implements no other method.
type copyingProtocol struct{ ClientProtocol }

func (copyingProtocol) CopyResponseHeader(string, http.Header, http.Header) {}

// BenchmarkRelay forwards streams from a target on the loopback interface.
func BenchmarkRelay(b *testing.B) {
	for name, text := range benchStreams() {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, text)
			}))
			defer server.Close()
			n := new(Node)
			equipNode(n)
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				resp, err := n.pool.Do(b.Context(), server.Listener.Addr().String(), &upstream.Request{Method: http.MethodGet, Path: "/", Host: "h", MaxIdle: time.Minute})
				require.NoError(b, err)
				j := &job{Request: &Request{Route: &route.Route{Kind: route.Stream}}, arrived: time.Now(), held: new(buffers.Limit).NewHolder(func() {})}
				w := discardingWriter{http.Header{}}
				cr := &clientResponse{w: w, rc: http.NewResponseController(w), protocol: copyingProtocol{}, request: j.Request, untilStop: b.Context()}
				r := n.forwardStream(b.Context(), j, resp, cr, sendResult{}, nil)
				require.Equal(b, completed, r.kind, r.err)
				resp.Close()
			}
		})
	}
}
