package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.True(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		assert.False(t, Sleep(ctx, time.Hour))
		assert.Equal(t, time.Second, time.Since(began))
	})
}
