package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A target that writes copies without end does not fill the log.
func TestSkippedResponsesAreLoggedWithinBounds(t *testing.T) {
	var l skippedLog
	now := time.Unix(1000, 0)
	for range maxSkippedLines {
		_, ok := l.admit(now)
		assert.True(t, ok)
	}
	for range 3 {
		_, ok := l.admit(now.Add(skippedWindow - 1))
		assert.False(t, ok)
	}
	suppressed, ok := l.admit(now.Add(skippedWindow))
	assert.True(t, ok)
	assert.Equal(t, 3, suppressed)
}
