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

// Guards against one replica too many: the next incarnation of a target has accepted a load
// before the list of targets shows it, and the load was forgotten.
func TestLoadThatTheNextIncarnationMayHaveAcceptedCounts(t *testing.T) {
	for name, result := range map[string]OrderResult{"accepted": OrderAccepted, "no response": OrderUnknown} {
		t.Run(name, func(t *testing.T) {
			z := newLimitedZone(t, 1, newTestTarget("a", nil, []string{"m0"}), newTestTarget("b", nil, []string{"m0"}))
			order := only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order
			z.OrderResultReceived(z.now, order, result)
			z.restart(order.Target)
			assertNone[SendOrder](t, z.submitAndStep(z.request("m0")))
			assert.Equal(t, order.Target, only[RequestReport](t, z.stepAfter(unconfirmedWait)).Target)
			z.ReportReceived(z.now, order.Target, inventory.Report{Incarnation: 2, Sequence: 1, OrderInProgress: true})
			assertNone[SendOrder](t, z.submitAndStep(z.request("m0")))
			z.now = z.now.Add(time.Second)
			z.ReportReceived(z.now, order.Target, inventory.Report{Incarnation: 2, Sequence: 1, Models: []inventory.LoadedModel{{Name: "m0"}}})
			actions := z.submitAndStep(z.request("m0"))
			assertNone[SendOrder](t, actions)
			assert.Equal(t, 4, z.Running(), "the waiting requests run at the next incarnation")
		})
	}
}

// A load that the next incarnation has not accepted, or can't accept, is sent again.
func TestLoadThatWasLostInARestartIsSentAgain(t *testing.T) {
	z := newLimitedZone(t, 1, newTestTarget("a", nil, []string{"m0"}), newTestTarget("b", nil, []string{"m0"}))
	order := only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order
	z.restart(order.Target)
	z.now = z.now.Add(unconfirmedWait)
	z.ReportReceived(z.now, order.Target, inventory.Report{Incarnation: 2})
	assert.Equal(t, Load, only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order.Operation)

	later := newTestZone(t, newTestTarget("a", []string{"m1", "m2"}, []string{"m0", "m1", "m2"}))
	later.ReportReceived(later.now, "a", inventory.Report{Sequence: 5, Models: later.targets[0].Models})
	only[SendOrder](t, later.submitAndStep(later.request("m0")))
	later.restart("a")
	assert.Nil(t, later.Scheduler.targets["a"].order, "the order expects five before it")
}

// restart makes the list of targets show a restart of the target, which holds no models.
func (z *testZone) restart(id string) {
	var list []*inventory.Target
	for _, t := range z.targets {
		if t.ID == id {
			t = newTestTarget(id, nil, t.OnDisk)
			t.Incarnation = 2
		}
		list = append(list, t)
	}
	z.SetTargets(z.now, list)
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
