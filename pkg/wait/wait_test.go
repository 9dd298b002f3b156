package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSleepReportsWhetherTheTimeElapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.True(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		assert.False(t, Sleep(ctx, time.Hour))
		assert.Equal(t, time.Second, time.Since(start))
	})
}
