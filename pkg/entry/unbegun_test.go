package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a sound target counting as unreachable, and being avoided, because a request
// that may crash it was suspended while the node connected.
func TestRequestThatIsSuspendedWhileItConnectsIsWithheld(t *testing.T) {
	n, _ := newIdleNode(t)
	equipNode(n)
	h := newHeldTarget(t, n)
	j := newIdleJob()
	x := n.newExchange(t.Context(), j, assignment{target: h.target, zone: "z"})
	x.begin()
	<-h.dialing
	x.giveUp(errSuspended)
	h.release()
	<-x.ended
	require.Error(t, x.err)
	assert.Zero(t, h.requests.Load())
	result := n.classifySendError(t.Context(), j, "t1", x.err)
	assert.Equal(t, withheld, result.kind)
	assert.False(t, result.countsAsFailure())
	assert.Zero(t, j.possibleRuns)
	assert.Empty(t, j.excluded)
}
