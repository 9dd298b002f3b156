package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/ratelimit"
)

// grantsOf submits a request every 20 ms, ends each run at once, and returns the number of
// grants at the target within d.
func (z *testZone) grantsOf(target string, d time.Duration) int {
	n := 0
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(20 * time.Millisecond) {
		ticket := z.Submit(z.now, z.request("m0"))
		actions := []Action{}
		if g, ok := z.TryGrant(z.now, ticket); ok {
			actions = append(actions, g)
		}
		actions = append(actions, z.Step(z.now)...)
		for _, a := range actions {
			if g, ok := a.(Grant); ok {
				z.RunEnded(z.now, g.Run, Completed)
				if g.Target == target {
					n++
				}
			}
		}
	}
	return n
}

// Short requests pass through a free slot many times a second: the owner granted as many as
// came at a target that had named a limit.
func TestGrantsKeepToTheLimitOfATarget(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	assert.Greater(t, z.grantsOf("a", 2*time.Second), 90)
	z.SetTargetLimit(z.now, "a", 0, 4.7)
	assert.InDelta(t, 4.7*20, z.grantsOf("a", 20*time.Second), 3)
	z.RemoveTargetLimit("a", 1)
	assert.InDelta(t, 4.7*2, z.grantsOf("a", 2*time.Second), 2, "that of another incarnation")
	z.RemoveTargetLimit("a", 0)
	assert.Greater(t, z.grantsOf("a", 2*time.Second), 90)
}

// A new owner, and one whose authority has ended, each gave the whole limit at once.
func TestLimitBeginsWithoutPlacesAndIsShared(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.SetTargetLimit(z.now, "a", 0, 2)
	assertNone[Grant](t, z.submitAndStep(z.request("m0")))
	assertNone[Grant](t, z.stepAfter(499*time.Millisecond))
	assert.Equal(t, "a", only[Grant](t, z.stepAfter(time.Millisecond)).Target)
	z.SetLimitShare(z.now, ratelimit.WithoutAuthority)
	assert.InDelta(t, 2*ratelimit.WithoutAuthority*20, z.grantsOf("a", 20*time.Second), 2)
}

// A new incarnation of a target was held to the limit of the former one.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.SetTargetLimit(z.now, "a", 7, 1)
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(z.request("m0"))).Target, "the limit is that of incarnation 7")
}

// A grant with which nothing was sent used up the limit, or one that was sent did not.
func TestLimitCountsWhatWasSent(t *testing.T) {
	for outcome, returned := range map[Outcome]bool{NotSent: true, Unreachable: true, Unused: false, Completed: false, Failed: false, Busy: false, NotLoaded: false} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
		z.SetTargetLimit(z.now, "a", 0, 1)
		z.now = z.now.Add(time.Second)
		g := only[Grant](t, z.submitAndStep(z.request("m0")))
		z.RunEnded(z.now, g.Run, outcome)
		_, ok := z.ReservePermit(z.now, "a", 0, 0)
		assert.Equal(t, returned, ok, "outcome %d", outcome)
	}
}

// Requests for a model waited for the free slots of a target that takes few a second, and
// no other target loaded it.
func TestModelOfALimitedTargetGetsAnotherReplica(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetTargetLimit(z.now, "a", 0, 1)
	loaded := false
	for range 100 {
		z.now = z.now.Add(20 * time.Millisecond)
		for _, a := range z.submitAndStep(z.request("m0")) {
			o, ok := a.(SendOrder)
			loaded = loaded || ok && o.Order.Target == "b"
		}
	}
	assert.True(t, loaded)
}

// Load follows demand: a target whose limit is above it keeps the model alone.
func TestLimitAboveTheDemandNeedsNoReplica(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetTargetLimit(z.now, "a", 0, 1000)
	for range 20 {
		z.now = z.now.Add(5 * time.Second)
		for _, a := range z.submitAndStep(z.request("m0")) {
			_, ok := a.(SendOrder)
			require.False(t, ok, "%#v", a)
			if g, ok := a.(Grant); ok {
				z.RunEnded(z.now, g.Run, Completed)
			}
		}
	}
}

// The expected wait counted the slots of a target that takes one request a second, so that
// requests were held until their deadline.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.SetTargetLimit(z.now, "a", 0, 1)
	refused := 0
	for range 40 {
		for _, a := range z.submitAndStep(z.request("m0")) {
			if r, ok := a.(Refusal); ok {
				assert.Less(t, r.Waited, 300*time.Millisecond)
				assert.Positive(t, r.RetryAfter)
				refused++
			}
		}
		z.now = z.now.Add(10 * time.Millisecond)
	}
	assert.Greater(t, refused, 25, "one a second is served, and 5 s are left")
}

// Requests for an adapter that only a target at its limit has loaded waited there until their
// deadline, though another target has the model.
func TestAdapterOfALimitedTargetIsLoadedElsewhere(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	z.targets[0].Models[0].Adapters = []string{"a1"}
	z.ReportReceived(z.now, "a", inventory.Report{Models: z.targets[0].Models})
	z.SetTargetLimit(z.now, "a", 0, 0)
	r := z.request("m0")
	r.Adapter = "a1"
	order := only[SendOrder](t, z.submitAndStep(r)).Order
	assert.Equal(t, "b", order.Target)
	assert.Equal(t, "a1", order.Adapter)
}
