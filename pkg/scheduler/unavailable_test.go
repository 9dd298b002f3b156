package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An owner granted a slot at a target to a node that had heard that the target leaves, got
// it back unused, and granted it again.
func TestTargetThatANodeDoesNotUseIsNotGrantedToIt(t *testing.T) {
	for _, tryGrant := range []bool{true, false} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
		z.Step(z.now)
		r := z.request("m0")
		r.Unavailable = []string{"a"}
		for range 4 {
			if tryGrant {
				g, ok := z.tryGrant(r)
				require.True(t, ok)
				assert.Equal(t, "b", g.Target)
				continue
			}
			assert.Equal(t, "b", only[Grant](t, z.submitAndStep(r)).Target)
		}
	}
}

// A request of a node that can't use the only target of a model kept those of other nodes
// from it, or stayed in this zone although another may have the model.
func TestRequestThatCannotUseATargetDoesNotBlockOthers(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	blocked := z.request("m0")
	blocked.Unavailable = []string{"a"}
	assertNone[Grant](t, z.submitAndStep(blocked))
	z.now = z.now.Add(10 * time.Millisecond)
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(z.request("m0"))).Target)
	blocked.OtherZonesRefused = false
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(blocked)).Reason)
}
