package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// restartAndCancel restarts the target a, and cancels all requests that wait.
func (z *testZone) restartAndCancel() {
	z.restartEmpty("a")
	for ticket := range z.waiters {
		z.Cancel(ticket)
	}
}

// load requests a model and returns the orders until none follows, each of which is accepted and
// carried out.
func (z *testZone) load(model string) []Order {
	ticket := z.Submit(z.now, z.request(model))
	var out []Order
	for range 20 {
		for _, a := range z.stepAfter(reportInterval) {
			switch a := a.(type) {
			case SendOrder:
				out = append(out, a.Order)
				z.OrderResultReceived(z.now, a.Order, OrderAccepted)
			case Grant:
				z.RunStarted(z.now, a.Run)
				z.RunEnded(z.now, a.Run, Completed)
			}
		}
	}
	z.Cancel(ticket)
	return out
}

// Guards against an order of a former incarnation that overfills the target: the target started
// again under its identifier, and was filled up to the number that a delayed order expects.
func TestRoomIsKeptForTheLateOrderOfAFormerIncarnation(t *testing.T) {
	disk := []string{"m0", "m1", "m2", "m3"}
	for name, answered := range map[string]bool{"without a response": true, "whose response is awaited": false} {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", nil, disk)) // has room for two models
			require.Len(t, z.load("m0"), 1)
			late := only[SendOrder](t, z.submitAndStep(z.request("m2"))).Order
			require.Equal(t, uint64(1), late.Sequence)
			if answered {
				z.OrderResultReceived(z.now, late, OrderUnknown)
			}
			z.restartAndCancel()
			require.Equal(t, []Order{{Target: "a", Operation: Load, Model: "m0", Source: FromDisk}}, z.load("m0"))
			// The late order may now be carried out beside m0.
			orders := z.load("m1")
			require.NotEmpty(t, orders)
			assert.Equal(t, Order{Target: "a", Operation: Load, Model: "m1", Sequence: 1, Source: FromDisk}, orders[0], "or this one")
		})
	}
}

// Guards against a target that is filled up before it reaches the number of a late order, and
// against room that is kept for good.
func TestRoomForALateOrderIsKeptUntilItsNumberOrItsTimeHasPassed(t *testing.T) {
	begin := func() *testZone {
		z := newTestZone(t, newTestTarget("a", nil, []string{"m0", "m1", "m2"}))
		z.load("m0")
		z.load("m1")
		first := only[SendOrder](t, z.submitAndStep(z.request("m2"))).Order // an unload
		z.OrderResultReceived(z.now, first, OrderAccepted)
		late := only[SendOrder](t, z.stepAfter(unloadDelay)).Order
		require.Equal(t, Order{Target: "a", Operation: Load, Model: "m2", Sequence: 3, Source: FromDisk}, late)
		z.OrderResultReceived(z.now, late, OrderUnknown)
		z.restartAndCancel()
		return z
	}
	used := func(z *testZone) float64 { return z.Scheduler.targets["a"].usedMB(z.services[testService].Engine) }
	z := begin()
	assert.Equal(t, 40.0, used(z), "the room for m2")
	z.load("m0")
	assert.Equal(t, 80.0, used(z))
	for _, o := range z.load("m1") {
		assert.Equal(t, Unload, o.Operation, "m0 has to leave first")
		break
	}
	z = begin()
	z.now = z.now.Add(lateOrderTime)
	z.Step(z.now)
	assert.Zero(t, used(z))
}

// Guards against a target that left the list and comes back under its identifier.
func TestRoomIsKeptForTheLateOrderOfATargetThatWasGone(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m0", "m1", "m2"}))
	z.load("m0")
	late := only[SendOrder](t, z.submitAndStep(z.request("m2"))).Order
	z.OrderResultReceived(z.now, late, OrderUnknown)
	z.SetTargets(z.now, nil)
	z.now = z.now.Add(2 * time.Second)
	z.restartAndCancel()
	assert.Equal(t, room{mb: 40}, z.Scheduler.targets["a"].roomForLateOrders(z.services[testService].Engine))
}

// Guards against adapter slots that are taken for free, and against orders of one number that
// are counted twice.
func TestRoomForLateOrdersIsThatOfOneOrderForEachNumber(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	tgt := z.Scheduler.targets["a"]
	for _, o := range []Order{
		{Operation: Load, Model: "m0", Adapter: "x", Sequence: 1},
		{Operation: Load, Model: "m1", Sequence: 1},
		{Operation: Load, Model: "m0", Adapter: "y", Sequence: 2},
		{Operation: Unload, Model: "m0", Sequence: 2},
		{Operation: Load, Model: "m1", Sequence: 0},
		{Operation: Load, Model: "m0", Sequence: 3},
	} {
		tgt.recordLateOrder(z.now, &o)
	}
	assert.Equal(t, room{41, 2}, tgt.roomForLateOrders(z.services[testService].Engine))
	assert.Equal(t, 81.0, tgt.usedMB(z.services[testService].Engine))
	assertNone[SendOrder](t, z.submitAndStep(z.adapterRequest("w")))
	assert.Equal(t, room{mb: 100}, roomForLoad(z.services[testService].Engine, Order{Operation: Load, Model: "unknown"}))
}
