package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/fault"
	"almondturn/pkg/quarantine"
)

// Targets that crashed together made a part of all prompts a suspect for the time of a trial, and
// the streams that broke off, which were taken up just then, were refused.
func TestStreamThatGoesOnWaitsForTheResultOfATrial(t *testing.T) {
	shared := []quarantine.Part{{Service: "llm", ID: "system"}}
	crashed := func(t *testing.T, crashes int) *Node {
		n, _ := newIdleNode(t)
		n.guard.ledger.RunSurvived(time.Now().Add(-time.Minute), shared)
		for i := range crashes {
			n.guard.ledger.RunCrashed(time.Now(), quarantine.Crash{Target: fmt.Sprint("t", i)}, "r", shared)
		}
		require.Equal(t, shared, n.guard.ledger.Admit(time.Now(), shared).Trials)
		return n
	}
	newJob := func(after string) *job {
		j := newIdleJob()
		j.parts, j.resumeAfter = shared, after
		return j
	}
	t.Run("it survives", func(t *testing.T) {
		n := crashed(t, 3)
		begun := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { n.guard.ledger.RunSurvived(time.Now(), shared) })
		assert.Nil(t, n.guard.newVerdict(newJob("4")).await(t.Context()))
		assert.GreaterOrEqual(t, time.Since(begun), 200*time.Millisecond)
	})
	t.Run("it takes too long", func(t *testing.T) {
		n := crashed(t, 3)
		begun := time.Now()
		refusal := n.guard.newVerdict(newJob("4")).await(t.Context())
		require.NotNil(t, refusal)
		assert.Equal(t, fault.PromptSuspended, refusal.Kind)
		assert.GreaterOrEqual(t, time.Since(begun), maxVerdictWait)
	})
	t.Run("it crashes its target", func(t *testing.T) {
		n := crashed(t, 3)
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			for i := range 3 { // a second and a third round
				n.guard.ledger.RunCrashed(time.Now().Add(time.Duration(i)*3*time.Second), quarantine.Crash{Target: fmt.Sprint("u", i)}, "r", shared)
			}
		})
		require.NotNil(t, n.guard.newVerdict(newJob("4")).await(t.Context()))
		assert.Less(t, time.Since(begun), maxVerdictWait)
	})
	t.Run("a new stream", func(t *testing.T) {
		n := crashed(t, 3)
		begun := time.Now()
		require.NotNil(t, n.guard.newVerdict(newJob("")).await(t.Context()))
		assert.Less(t, time.Since(begun), verdictInterval, "it is told at once to come back")
	})
}
