package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

func limited(t *testing.T, limit int, targets ...*inventory.Target) *zone {
	z := newZone(t, targets...)
	for _, m := range z.services[svc].Engine.Models {
		m.Replicas = route.AtMost(limit)
	}
	return z
}

func TestLimitOfReplicasHolds(t *testing.T) {
	z := limited(t, 1, engine("a", []string{"m0"}, []string{"m0"}), engine("b", nil, []string{"m0"}))
	for range 4 {
		z.submit(z.request("m0"))
	}
	for range 50 { // all slots are taken and more requests wait
		none[SendOrder](t, z.submit(z.request("m0")))
	}
	for _, m := range z.services[svc].Engine.Models {
		m.Replicas = route.AtMost(2)
	}
	assert.Equal(t, "b", one[SendOrder](t, z.after(time.Second)).Order.Target, "a raised limit is used")
}

func TestReplicasOfADepartedTargetCount(t *testing.T) {
	z := limited(t, 1, engine("a", []string{"m0"}, nil), engine("b", nil, []string{"m0"}))
	z.SetTargets(z.now, z.targets[1:])
	none[SendOrder](t, z.submit(z.request("m0")))
	z.now = z.now.Add(departedHold)
	z.SetOrderWindow(start, z.now.Add(time.Hour))
	order := one[SendOrder](t, z.submit(z.request("m0"))).Order
	assert.Equal(t, "b", order.Target)
	assert.Equal(t, Load, order.Operation)
}

func TestDepartedTargetThatIsBackCountsOnce(t *testing.T) {
	z := limited(t, 2, engine("a", []string{"m0"}, nil), engine("b", nil, []string{"m0"}))
	z.SetTargets(z.now, z.targets[1:])
	z.SetTargets(z.now, z.targets)
	z.Step(z.now)
	assert.Equal(t, 1, z.held(modelKey{svc, "m0"}))
}

func TestLoweredLimitUnloadsWithoutCuttingRunsOff(t *testing.T) {
	z := limited(t, 2, engine("a", []string{"m0"}, nil), engine("b", []string{"m0"}, nil))
	run := one[Grant](t, z.submit(z.request("m0")))
	busy := run.Target
	for _, m := range z.services[svc].Engine.Models {
		m.Replicas = route.AtMost(0)
	}
	first := one[SendOrder](t, z.after(time.Millisecond)).Order
	assert.Equal(t, Unload, first.Operation)
	assert.NotEqual(t, busy, first.Target, "the replica with a run stays")
	assert.Equal(t, Overloaded, one[Refusal](t, z.submit(z.request("m0"))).Reason, "no new run begins")
	z.RunEnded(z.now, run.Run, Completed)
	second := one[SendOrder](t, z.after(time.Millisecond)).Order
	assert.Equal(t, Order{Target: busy, Operation: Unload, Model: "m0"}, second)
}

func TestZoneWithoutQuotaSendsElsewhere(t *testing.T) {
	z := limited(t, 1, engine("a", nil, []string{"m0"}))
	others := []fleet.Zone{"z", "y", "x"}
	for _, zone := range others {
		z.SetZones(zone, others)
		quota, _ := z.quota(modelKey{svc, "m0"})
		if quota > 0 {
			continue
		}
		r := z.request("m0")
		r.LastResort = false
		assert.Equal(t, TryOtherZone, one[Refusal](t, z.submit(r)).Reason)
	}
}

func TestModelThatIsNotDeclaredIsUnloaded(t *testing.T) {
	z := newZone(t, engine("a", []string{"old"}, []string{"m0"}))
	assert.Equal(t, Order{Target: "a", Operation: Unload, Model: "old"}, one[SendOrder](t, z.after(time.Millisecond)).Order)
}

func TestAdapterLimitHolds(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil), engine("b", []string{"m0"}, nil))
	z.services[svc].Engine.Models["m0"].AdapterReplicas = map[string]route.Limit{"x": route.AtMost(0)}
	r := z.request("m0")
	r.Adapter = "x"
	none[SendOrder](t, z.submit(r))
}
