package logsink

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// blocked is an output that is not read until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
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
	out := &blocked{open: make(chan struct{})}
	s := New(out)
	told := make(chan uint64, 1)
	s.Report(func(n uint64) { told <- n })
	const lines = queueLines * 4
	for range lines {
		n, err := s.Write([]byte("x\n"))
		assert.NoError(t, err)
		assert.Equal(t, 2, n)
	}
	dropped := s.Dropped()
	assert.Positive(t, dropped)
	close(out.open)
	assert.Equal(t, dropped, <-told)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Equal(t, lines, out.text.Len()/2+int(dropped), "every line is written or counted")
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
