package loglimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A target that writes copies without end does not fill the log.
func TestSkippedResponsesAreLoggedWithinBounds(t *testing.T) {
	var l Lines
	now := time.Unix(1000, 0)
	for range MaxLines {
		_, ok := l.Admit(now)
		assert.True(t, ok)
	}
	for range 3 {
		_, ok := l.Admit(now.Add(Window - 1))
		assert.False(t, ok)
	}
	suppressed, ok := l.Admit(now.Add(Window))
	assert.True(t, ok)
	assert.Equal(t, 3, suppressed)
}
