package fault

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEveryKindHasConsistentResponse checks that each kind has a unique code and
// that no response invites the caller to repeat a request that ran.
func TestEveryKindHasConsistentResponse(t *testing.T) {
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		resp := k.Response()
		require.NotEmpty(t, resp.Code, "kind %d has no response", k)
		require.Equal(t, k, resp.Kind)
		require.GreaterOrEqual(t, resp.Status, 400, resp.Code)
		require.Contains(t, []RunStatus{RunNo, RunUnknown, RunYes}, resp.Run, resp.Code)
		require.NotContains(t, codes, resp.Code)
		codes[resp.Code] = k
		if !resp.Retry {
			assert.Zero(t, resp.RetryAfter, resp.Code)
		}
		if resp.Run == RunYes {
			assert.False(t, resp.Retry, "%s: a request that ran is not repeated", resp.Code)
		}
	}
}

// TestFromErrorPreservesKindAndCause checks that wrapping an Error hides neither its
// kind nor its cause, and that anything else is Internal.
func TestFromErrorPreservesKindAndCause(t *testing.T) {
	cause := errors.New("refused")
	err := fmt.Errorf("dial: %w", New(NoReplica, "target t1: %w", cause))
	assert.Equal(t, NoReplica, KindOf(err))
	assert.ErrorIs(t, err, cause)
	assert.Equal(t, Internal, KindOf(errors.New("other")))
	assert.Equal(t, "internal", Kind(255).String())
}

// The cause may name internal addresses: it belongs into logs alone.
func TestCauseIsLoggedAndNotShownToCallers(t *testing.T) {
	cause := errors.New("dial 10.0.0.1:7001: refused")
	err := New(PlatformUnavailable, "the service %q does not answer: %w", "kv", cause)
	assert.Equal(t, `the service "kv" does not answer`, err.Message)
	assert.NotContains(t, err.Public(), "10.0.0.1")
	assert.Contains(t, err.Error(), "10.0.0.1")
	assert.ErrorIs(t, err, cause)
}
