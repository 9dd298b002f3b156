package entry

import (
	"testing"
	"time"

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

// Guards against a request being sent whose target was chosen before the evidence against it
// arrived, as while a probe or a connection takes its time.
func TestRequestIsWithheldIfItBecomesASuspectWhileItConnects(t *testing.T) {
	n, _ := newIdleNode(t)
	equipNode(n)
	h := newHeldTarget(t, n)
	j := newIdleJob()
	j.parts = j.suspectParts()
	x := n.newExchange(t.Context(), j, assignment{target: h.target, zone: "z"})
	crashTargets(n, time.Now().Add(-time.Minute), j.parts[0], 2)
	x.begin()
	<-h.dialing
	h.release()
	<-x.ended
	require.ErrorIs(t, x.err, errWithheld)
	assert.Zero(t, h.requests.Load())
	trial := n.newExchange(t.Context(), j, assignment{target: h.target, zone: "z", trials: j.parts[:1]})
	trial.begin()
	<-trial.ended
	require.NoError(t, trial.err, "a trial is sent")
	trial.resp.Close()
}
