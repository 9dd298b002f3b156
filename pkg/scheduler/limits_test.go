package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// newLimitedZone returns a zone in which each model has the given replica limit.
func newLimitedZone(t *testing.T, limit int, targets ...*inventory.Target) *testZone {
	z := newTestZone(t, targets...)
	for _, m := range z.services[testService].Engine.Models {
		m.Replicas = route.AtMost(limit)
	}
	return z
}

func TestReplicaLimitIsNotExceeded(t *testing.T) {
	z := newLimitedZone(t, 1, newTestTarget("a", []string{"m0"}, []string{"m0"}), newTestTarget("b", nil, []string{"m0"}))
	for range 4 {
		z.submitAndStep(z.request("m0"))
	}
	for range 50 { // all slots are in use and more requests wait
		assertNone[SendOrder](t, z.submitAndStep(z.request("m0")))
	}
	for _, m := range z.services[testService].Engine.Models {
		m.Replicas = route.AtMost(2)
	}
	assert.Equal(t, "b", only[SendOrder](t, z.stepAfter(time.Second)).Order.Target, "a raised limit allows another replica")
}

func TestReplicasOfRemovedTargetCountAgainstLimit(t *testing.T) {
	z := newLimitedZone(t, 1, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetTargets(z.now, z.targets[1:])
	assertNone[SendOrder](t, z.submitAndStep(z.request("m0")))
	z.now = z.now.Add(removedTargetHold)
	z.SetOrderWindow(testStart, z.now.Add(time.Hour))
	order := only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order
	assert.Equal(t, "b", order.Target)
	assert.Equal(t, Load, order.Operation)
}

func TestReturnedTargetCountsOnce(t *testing.T) {
	z := newLimitedZone(t, 2, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetTargets(z.now, z.targets[1:])
	z.SetTargets(z.now, z.targets)
	z.Step(z.now)
	assert.Equal(t, 1, z.committedReplicas(modelKey{testService, "m0"}))
}

func TestLoweredLimitUnloadsOnlyReplicasWithoutRuns(t *testing.T) {
	z := newLimitedZone(t, 2, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	run := only[Grant](t, z.submitAndStep(z.request("m0")))
	busy := run.Target
	for _, m := range z.services[testService].Engine.Models {
		m.Replicas = route.AtMost(0)
	}
	first := only[SendOrder](t, z.stepAfter(time.Millisecond)).Order
	assert.Equal(t, Unload, first.Operation)
	assert.NotEqual(t, busy, first.Target, "the replica with a run stays loaded")
	assert.Equal(t, Overloaded, only[Refusal](t, z.submitAndStep(z.request("m0"))).Reason, "no new run starts")
	z.RunEnded(z.now, run.Run, Completed)
	second := only[SendOrder](t, z.stepAfter(time.Millisecond)).Order
	assert.Equal(t, Order{Target: busy, Operation: Unload, Model: "m0"}, second)
}

func TestZoneWithoutQuotaRefusesWithTryOtherZone(t *testing.T) {
	z := newLimitedZone(t, 1, newTestTarget("a", nil, []string{"m0"}))
	zones := []fleet.Zone{"z", "y", "x"}
	for _, zone := range zones {
		z.SetZones(zone, zones)
		quota, _ := z.quota(modelKey{testService, "m0"})
		if quota > 0 {
			continue
		}
		r := z.request("m0")
		r.OtherZonesRefused = false
		assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(r)).Reason)
	}
}

func TestUnconfiguredModelIsUnloaded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"old"}, []string{"m0"}))
	assert.Equal(t, Order{Target: "a", Operation: Unload, Model: "old"}, only[SendOrder](t, z.stepAfter(time.Millisecond)).Order)
}

func TestAdapterLimitIsNotExceeded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	z.services[testService].Engine.Models["m0"].AdapterReplicas = map[string]route.ReplicaLimit{"x": route.AtMost(0)}
	r := z.request("m0")
	r.Adapter = "x"
	assertNone[SendOrder](t, z.submitAndStep(r))
}
