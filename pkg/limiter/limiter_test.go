package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAnswersAtOnceAreBounded(t *testing.T) {
	g := New(func() time.Time { return time.Unix(1, 0) })
	var leave []func(int)
	for range concurrent {
		l, ok := g.TryAcquire()
		require.True(t, ok)
		leave = append(leave, l)
	}
	_, ok := g.TryAcquire()
	assert.False(t, ok)
	leave[0](10)
	_, ok = g.TryAcquire()
	assert.True(t, ok, "one has left")
}

// TestBytesAreBounded: 300 nodes ask for an answer of 1 MB in one second.
func TestBytesAreBounded(t *testing.T) {
	now := time.Unix(1, 0)
	g := New(func() time.Time { return now })
	const size, callers = 1 << 20, 300
	bytes := 0
	for range callers {
		if leave, ok := g.TryAcquire(); ok {
			leave(size)
			bytes += size
		}
		now = now.Add(time.Second / callers)
	}
	assert.LessOrEqual(t, bytes, burstBytes+bytesPerSecond+size)
	assert.Greater(t, bytes, bytesPerSecond)
}

func TestAnswerAboveTheBurstCountsAsOne(t *testing.T) {
	now := time.Unix(1, 0)
	g := New(func() time.Time { return now })
	leave, ok := g.TryAcquire()
	require.True(t, ok)
	leave(3 * burstBytes)
	_, ok = g.TryAcquire()
	assert.False(t, ok)
	now = now.Add(time.Second)
	_, ok = g.TryAcquire()
	assert.True(t, ok)
}
