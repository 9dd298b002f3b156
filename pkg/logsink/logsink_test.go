package logsink

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// blocked is an output that is not read until it is opened.
type blocked struct {
	entered chan struct{} // closed when the first write has begun
	open    chan struct{}
	begin   sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

// stuckSink returns a Sink whose writer stands in its first write, of one
// line, so that all later lines stay in the queue until the output is opened.
// Without the wait, the writer may take thousands of lines into its first batch.
func stuckSink() (*Sink, *blocked) {
	out := &blocked{entered: make(chan struct{}), open: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("first\n"))
	<-out.entered
	return s, out
}

func (b *blocked) Write(p []byte) (int, error) {
	b.begin.Do(func() { close(b.entered) })
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = s.Write([]byte(l))
	}
	s.Close()
	assert.Equal(t, "a\nb\nc\n", out.String())
}

func TestOutputThatIsNotReadBlocksNobody(t *testing.T) {
	s, out := stuckSink()
	told := make(chan uint64, 1)
	s.OnDrop(func(n uint64) { told <- n })
	const lines = queueLines * 4
	for range lines {
		n, err := s.Write([]byte("x\n"))
		assert.NoError(t, err)
		assert.Equal(t, 2, n)
	}
	dropped := s.Dropped()
	assert.Equal(t, uint64(lines-queueLines), dropped, "the queue is filled to its end")
	close(out.open)
	assert.Equal(t, dropped, <-told)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := bytes.Count(out.text.Bytes(), []byte("x\n"))
	assert.Equal(t, lines, written+int(dropped), "every line is written or counted")
}

// TestRoutineLinesGiveWay: the output stands still, and every tenth line is of
// a failure. No failure is lost while the queue has room for them.
func TestRoutineLinesGiveWay(t *testing.T) {
	s, out := stuckSink()
	const failures = crowdedLines / 2
	for i := range failures * 10 {
		level, text := zerolog.InfoLevel, "served\n"
		if i%10 == 0 {
			level, text = zerolog.WarnLevel, "FAILED\n"
		}
		_, err := s.WriteLevel(level, []byte(text))
		assert.NoError(t, err)
	}
	close(out.open)
	s.Close()
	assert.Equal(t, failures, bytes.Count(out.text.Bytes(), []byte("FAILED")))
	assert.Positive(t, s.Dropped())
}

// BenchmarkLine is the cost of one log line of a request.
func BenchmarkLine(b *testing.B) {
	s := New(io.Discard)
	defer s.Close()
	l := zerolog.New(s).With().Timestamp().Str("node", "front-a-1").Logger()
	for b.Loop() {
		l.Info().Int("event", 740).Str("name", "request_served").Str("request", "1cc86aea2d1f304d").Str("route", "r").Str("model", "m").
			Str("target", "t").Int("status", 200).Int("sends", 1).Dur("waited_ms", 1500).Dur("first_ms", 200).Dur("total_ms", 300).Int64("version", 3).Send()
	}
}

func TestBufferOfTheCallerIsNotKept(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	line := []byte("first\n")
	_, _ = s.Write(line)
	copy(line, "XXXXX")
	s.Close()
	assert.Equal(t, "first\n", out.String())
}
