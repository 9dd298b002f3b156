package logsink

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	writing chan struct{} // closed when the first write has begun
	unblock chan struct{}
	once    sync.Once  // closes writing
	mu      sync.Mutex // guards text
	text    bytes.Buffer
}

// newBlockedSink returns a Sink whose goroutine is blocked in its first write, of
// one line, so that all later lines stay in the queue until the output is
// unblocked. Without waiting for that write, the goroutine could move thousands
// of lines from the queue into its first batch.
func newBlockedSink() (*Sink, *blockedWriter) {
	out := &blockedWriter{writing: make(chan struct{}), unblock: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("first\n"))
	<-out.writing
	return s, out
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.writing) })
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = s.Write([]byte(l))
	}
	s.Close()
	assert.Equal(t, "a\nb\nc\n", out.String())
}

// TestBlockedOutputDropsLinesWithoutBlockingWriters fills the queue while the
// output is blocked, and then unblocks it.
func TestBlockedOutputDropsLinesWithoutBlockingWriters(t *testing.T) {
	s, out := newBlockedSink()
	reported := make(chan uint64, 1)
	s.OnDrop(func(n uint64) { reported <- n })
	const lines = queueLines * 4
	for range lines {
		n, err := s.Write([]byte("x\n"))
		assert.NoError(t, err)
		assert.Equal(t, 2, n)
	}
	dropped := s.Dropped()
	assert.Equal(t, uint64(lines-queueLines), dropped, "the queue is filled completely")
	close(out.unblock)
	assert.Equal(t, dropped, <-reported)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := bytes.Count(out.text.Bytes(), []byte("x\n"))
	assert.Equal(t, lines, written+int(dropped), "every line is written or counted")
}

// TestSamplingKeepsAllWarnings blocks the output while every tenth line is a warning.
// All of these are kept, since the queue has space for them.
func TestSamplingKeepsAllWarnings(t *testing.T) {
	s, out := newBlockedSink()
	const failures = samplingThreshold / 2
	for i := range failures * 10 {
		level, text := zerolog.InfoLevel, "served\n"
		if i%10 == 0 {
			level, text = zerolog.WarnLevel, "FAILED\n"
		}
		_, err := s.WriteLevel(level, []byte(text))
		assert.NoError(t, err)
	}
	close(out.unblock)
	s.Close()
	assert.Equal(t, failures, bytes.Count(out.text.Bytes(), []byte("FAILED")))
	assert.Positive(t, s.Dropped())
}

// BenchmarkLine measures the cost of one log line of a request.
func BenchmarkLine(b *testing.B) {
	s := New(io.Discard)
	defer s.Close()
	l := zerolog.New(s).With().Timestamp().Str("node", "entry-a-1").Logger()
	for b.Loop() {
		l.Info().Int("event", 740).Str("name", "request_served").Str("request", "1cc86aea2d1f304d").Str("route", "r").Str("model", "m").
			Str("target", "t").Int("status", 200).Int("sends", 1).Dur("waited_ms", 1500).Dur("first_ms", 200).Dur("total_ms", 300).Int64("version", 3).Send()
	}
}

func TestWriteCopiesTheBufferOfTheCaller(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	line := []byte("first\n")
	_, _ = s.Write(line)
	copy(line, "XXXXX")
	s.Close()
	assert.Equal(t, "first\n", out.String())
}

// An empty line must not end the writing goroutine, as Close does.
func TestEmptyLineIsIgnored(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for _, line := range []string{"a\n", "", "b\n"} {
		_, err := s.Write([]byte(line))
		assert.NoError(t, err)
	}
	s.Close()
	assert.Equal(t, "a\nb\n", out.String())
}
