package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConcurrentResponsesAreBounded(t *testing.T) {
	l := New(func() time.Time { return time.Unix(1, 0) })
	var releases []func(int)
	for range maxConcurrent {
		release, ok := l.TryAcquire()
		require.True(t, ok)
		releases = append(releases, release)
	}
	_, ok := l.TryAcquire()
	assert.False(t, ok)
	releases[0](10)
	_, ok = l.TryAcquire()
	assert.True(t, ok, "one slot was released")
}

// TestBytesPerSecondAreBounded has 300 nodes request a response of 1 MiB each
// within one second. At most one burst, one second's rate and one response are
// admitted.
func TestBytesPerSecondAreBounded(t *testing.T) {
	now := time.Unix(1, 0)
	l := New(func() time.Time { return now })
	const size, nodes = 1 << 20, 300
	bytes := 0
	for range nodes {
		if release, ok := l.TryAcquire(); ok {
			release(size)
			bytes += size
		}
		now = now.Add(time.Second / nodes)
	}
	assert.LessOrEqual(t, bytes, burstBytes+bytesPerSecond+size)
	assert.Greater(t, bytes, bytesPerSecond)
}

func TestResponseAboveTheBurstIsChargedAsOneBurst(t *testing.T) {
	now := time.Unix(1, 0)
	l := New(func() time.Time { return now })
	release, ok := l.TryAcquire()
	require.True(t, ok)
	release(3 * burstBytes)
	_, ok = l.TryAcquire()
	assert.False(t, ok)
	now = now.Add(time.Second)
	_, ok = l.TryAcquire()
	assert.True(t, ok)
}
