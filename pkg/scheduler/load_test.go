package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

// floodFor submits requests for a model at a rate for a time, steps every 10 ms, and
// ends each run after runTime. It returns the orders that loaded models.
func (z *testZone) floodFor(d time.Duration, model string, perSecond int, runTime time.Duration) []Order {
	type running struct {
		id   RunID
		ends time.Time
	}
	const tick = 10 * time.Millisecond
	var loads []Order
	var runs []running
	due := 0.0
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(tick) {
		for due += float64(perSecond) * tick.Seconds(); due >= 1; due-- {
			z.Submit(z.now, z.request(model))
		}
		for len(runs) > 0 && !z.now.Before(runs[0].ends) {
			z.RunEnded(z.now, runs[0].id, Completed)
			runs = runs[1:]
		}
		for _, a := range z.Step(z.now) {
			switch a := a.(type) {
			case Grant:
				z.RunStarted(z.now, a.Run)
				runs = append(runs, running{a.Run, z.now.Add(runTime)})
			case SendOrder:
				z.OrderResultReceived(z.now, a.Order, OrderAccepted)
				if a.Order.Operation == Load {
					loads = append(loads, a.Order)
				}
			}
		}
	}
	return loads
}

// withIdleTargets adds targets without models and copies, of which a load from the
// weight store may occupy two.
func withIdleTargets(targets ...*inventory.Target) []*inventory.Target {
	for i := range 20 {
		targets = append(targets, newTestTarget(fmt.Sprintf("idle%02d", i), nil, nil))
	}
	return targets
}

// Demand moves to a model that is on the disks of those targets alone that have it
// loaded, while other targets are idle.
func TestModelInDemandIsLoadedFromStoreIfAllCopiesAreLoaded(t *testing.T) {
	z := newTestZone(t, withIdleTargets(newTestTarget("a", []string{"m0"}, []string{"m0"}), newTestTarget("b", nil, []string{"m1"}))...)
	loads := z.floodFor(3*time.Second, "m0", 20, 500*time.Millisecond)
	if assert.Len(t, loads, 1) {
		assert.Equal(t, "b", loads[0].Target)
		assert.Equal(t, FromWeightStore, loads[0].Source)
	}
}

// While a target without the model has a copy of it, the store is not used.
func TestModelInDemandIsLoadedFromUnloadedCopyFirst(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m0"}), newTestTarget("b", nil, nil), newTestTarget("c", nil, []string{"m0"}))
	loads := z.floodFor(time.Second, "m0", 20, 500*time.Millisecond)
	if assert.NotEmpty(t, loads) {
		assert.Equal(t, "c", loads[0].Target)
		assert.Equal(t, FromDisk, loads[0].Source)
	}
}

// The weight store may start one load. A model whose requests are refused at once,
// because its replica is full, has few waiting ones; it comes before a model with
// more waiting requests but less demand.
func TestStoreLoadsModelWithMostUnservedRequestsFirst(t *testing.T) {
	z := newTestZone(t, withIdleTargets(newTestTarget("b", []string{"m5"}, []string{"m5"}))...)
	z.weightStore.limit, z.weightStore.otherZoneLoads = 1, 1
	z.floodFor(3*time.Second, "m5", 40, 500*time.Millisecond)
	z.weightStore.otherZoneLoads = 0
	for ticket := range z.waiters {
		z.Cancel(ticket)
	}
	z.now = z.now.Add(scaleInterval)
	for range 8 {
		r := z.request("m7")
		r.ObjectiveAt, r.Deadline = z.now.Add(10*time.Second), z.now.Add(20*time.Second)
		z.Submit(z.now, r)
	}
	assert.Equal(t, "m5", only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order.Model)
}

// The only other target with a copy of the model in demand loads another model from
// the weight store, which takes as long as a load of this one.
func TestModelInDemandIsLoadedFromStoreIfItsCopyIsAtAnOccupiedTarget(t *testing.T) {
	z := newTestZone(t, withIdleTargets(newTestTarget("b", nil, []string{"m0"}), newTestTarget("c", []string{"m0"}, []string{"m0"}), newTestTarget("d", nil, nil))...)
	r := z.request("m5")
	r.Deadline = z.now.Add(20 * time.Second)
	occupying := only[SendOrder](t, z.submitAndStep(r)).Order
	require.Equal(t, "b", occupying.Target)
	z.OrderResultReceived(z.now, occupying, OrderAccepted)
	z.weightStore.limit = 2
	loads := z.floodFor(3*time.Second, "m0", 20, 500*time.Millisecond)
	if assert.NotEmpty(t, loads) {
		assert.Equal(t, "d", loads[0].Target)
		assert.Equal(t, FromWeightStore, loads[0].Source)
	}
}

// A few requests at the start are no reason to occupy the weight store for a further
// replica.
func TestShortDemandIsNoReasonForFurtherReplicaFromStore(t *testing.T) {
	z := newTestZone(t, withIdleTargets(newTestTarget("a", []string{"m0"}, []string{"m0"}))...)
	assert.Empty(t, z.floodFor(overloadAge/2, "m0", 20, 500*time.Millisecond))
}

// In a zone with few targets, a load from the weight store would occupy too large a part
// of those that change their models for cold requests.
func TestFewTargetsAreNotOccupiedForFurtherReplica(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m0"}), newTestTarget("b", nil, nil), newTestTarget("c", nil, nil))
	assert.Empty(t, z.floodFor(5*time.Second, "m0", 40, 500*time.Millisecond))
}

// The only copy of a model is at the target that is unloading the model for another
// one. A request for it does not make the store load it elsewhere.
func TestModelBeingUnloadedIsNotLoadedFromStore(t *testing.T) {
	z := newTestZone(t, withIdleTargets(newTestTarget("a", []string{"m0", "m1"}, []string{"m0", "m1", "m5"}))...)
	run := only[Grant](t, z.submitAndStep(z.request("m0"))).Run
	z.submitAndStep(z.request("m5")) // m1 is unloaded for it
	z.targetsByModel[modelKey{testService, "m0"}][0].replicas["m0"].closing = true
	z.RunEnded(z.now, run, Completed)
	r := z.request("m0")
	r.Deadline = z.now.Add(time.Minute)
	assertNone[SendOrder](t, z.submitAndStep(r))
}
