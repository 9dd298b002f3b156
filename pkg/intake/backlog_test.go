package intake

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endlessSource returns bytes without end until it is interrupted.
type endlessSource struct{ interrupted atomic.Bool }

// Read implements io.Reader.
func (s *endlessSource) Read(p []byte) (int, error) {
	if s.interrupted.Load() {
		return 0, errInterrupted
	}
	return len(p), nil
}

// newSlowReader returns the reader of a response without end of a target, whose client does
// not read, and reports whether it was ended.
func newSlowReader(l *Backlogs, target string) (a *ReadAhead, ended *bool) {
	s, ended := &endlessSource{}, new(bool)
	a = l.NewReadAhead(s, target, func() { s.interrupted.Store(true) }, func() { *ended = true })
	a.WriteBegins()
	return a, ended
}

// Guards against bytes that are lost, repeated or reordered when a response was read ahead.
func TestResponseThatWasReadAheadIsWhole(t *testing.T) {
	l := NewBacklogs(1 << 20)
	want := bytes.Repeat([]byte("0123456789abcdefghijklmn"), 8<<10)
	a := l.NewReadAhead(bytes.NewReader(want), "e1", func() {}, func() {})
	defer a.Close()
	var got []byte
	buf := make([]byte, 1000)
	for {
		n, err := a.Read(buf)
		got = append(got, buf[:n]...)
		a.WriteBegins()
		if len(got) == 5000 {
			require.Eventually(t, func() bool { return l.Held() == int64(len(want)-5000) }, 5*time.Second, time.Millisecond, "the rest is read during the write")
		}
		require.NoError(t, a.WriteEnds())
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
	}
	assert.Equal(t, want, got)
	assert.Zero(t, l.Held())
}

// Guards against responses that hold more than the bound of their client, target or node, and
// against ending one at the bound of the other target.
func TestSlowestReaderOfTheTargetIsEndedAtItsBound(t *testing.T) {
	const max = 512 << 10
	l := NewBacklogs(max)
	other, otherEnded := newSlowReader(l, "e2")
	slowest, slowestEnded := newSlowReader(l, "e1")
	second, _ := newSlowReader(l, "e1")
	held := func(target string) func() bool {
		return func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.byTarget[target] == int64(max/4)*map[string]int64{"e1": 2, "e2": 1}[target]
		}
	}
	require.Eventually(t, held("e1"), 5*time.Second, time.Millisecond)
	require.Eventually(t, held("e2"), 5*time.Second, time.Millisecond)
	l.mu.Lock()
	other.writingSince = other.writingSince.Add(-3 * time.Second)
	slowest.writingSince = slowest.writingSince.Add(-2 * time.Second)
	l.mu.Unlock()
	third, _ := newSlowReader(l, "e1")
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return *slowestEnded
	}, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, slowest.WriteEnds(), ErrSlowReader)
	slowest.Close()
	require.Eventually(t, held("e1"), 5*time.Second, time.Millisecond, "the third has its room")
	assert.LessOrEqual(t, l.Held(), int64(max))
	for _, a := range []*ReadAhead{other, second, third} {
		require.NoError(t, a.WriteEnds())
		a.Close()
	}
	assert.False(t, *otherEnded)
	assert.Zero(t, l.Held())
}
