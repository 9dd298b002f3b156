package fault

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryKindHasConsistentResponse(t *testing.T) {
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Response()
		require.NotEmpty(t, a.Code, "kind %d has no row", k)
		require.Equal(t, k, a.Kind)
		require.GreaterOrEqual(t, a.Status, 400, a.Code)
		require.Contains(t, []Run{RunNo, RunUnknown, RunYes}, a.Run, a.Code)
		require.NotContains(t, codes, a.Code)
		codes[a.Code] = k
		if !a.Retry {
			assert.Zero(t, a.RetryAfter, a.Code)
		}
		if a.Run == RunYes {
			assert.False(t, a.Retry, "%s: a request that ran is not repeated", a.Code)
		}
	}
}

func TestAsPreservesKindAndCause(t *testing.T) {
	cause := errors.New("refused")
	err := fmt.Errorf("dial: %w", New(NoReplica, "target t1: %w", cause))
	assert.Equal(t, NoReplica, KindOf(err))
	assert.ErrorIs(t, err, cause)
	assert.Equal(t, Internal, KindOf(errors.New("other")))
	assert.Equal(t, "internal", Kind(255).String())
}
