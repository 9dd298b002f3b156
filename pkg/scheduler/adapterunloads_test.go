package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

// adapterRequest returns a request for an adapter of m0.
func (z *testZone) adapterRequest(adapter string) Request {
	r := z.request("m0")
	r.Adapter = adapter
	return r
}

// adapters returns a report of a target that has m0 with these adapters.
func adapters(sequence uint64, names ...string) inventory.Report {
	return inventory.Report{Models: []inventory.LoadedModel{{Name: "m0", Adapters: names}}, Sequence: sequence}
}

// Guards against a sequence that runs ahead of the target's, so that a delayed order waits for
// its number and overfills the target: a response of 200 to the unload of an adapter that was
// gone was counted as an accepted order. It was gone because an earlier unload, for which the
// target had left the response out, had waited for the end of a run.
func TestUnloadOfAnAdapterThatWasGoneIsNotCounted(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.ReportReceived(z.now, "a", adapters(0, "x", "y")) // both adapter slots
	first := only[SendOrder](t, z.submitAndStep(z.adapterRequest("w"))).Order
	require.Equal(t, "x", first.Adapter)
	z.OrderResultReceived(z.now, first, OrderUnknown)
	z.now = z.now.Add(unconfirmedWait)
	z.ReportReceived(z.now, "a", adapters(1, "x", "y")) // accepted, while a run uses x
	second := only[SendOrder](t, z.Step(z.now)).Order
	require.Equal(t, Order{Target: "a", Operation: Unload, Model: "m0", Adapter: "x", Sequence: 1}, second)
	z.OrderResultReceived(z.now, second, OrderDone) // the run has ended
	assertNone[SendOrder](t, z.Step(z.now))
	only[RequestReport](t, z.stepAfter(reportLag))
	z.now = z.now.Add(unconfirmedWait)
	z.ReportReceived(z.now, "a", adapters(1, "y"))
	load := only[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, Order{Target: "a", Operation: Load, Model: "m0", Adapter: "w", Sequence: 1}, load)
}

// The price of the guard above: a report after the unload of an adapter that this owner
// neither loaded nor knows to be free of earlier unloads, and none otherwise.
func TestUnloadOfAnAdapterNeedsAReportOnlyIfItMayHaveBeenGone(t *testing.T) {
	for name, c := range map[string]struct {
		prepare    func(z *testZone)
		needReport bool
	}{
		"the target has accepted no order": {func(z *testZone) { z.ReportReceived(z.now, "a", adapters(0, "x", "y")) }, false},
		"another owner may have unloaded":  {func(z *testZone) { z.ReportReceived(z.now, "a", adapters(3, "x", "y")) }, true},
		"loaded by this owner": {func(z *testZone) {
			z.ReportReceived(z.now, "a", adapters(3))
			for _, name := range []string{"x", "y"} {
				z.OrderResultReceived(z.now, only[SendOrder](z.t, z.submitAndStep(z.adapterRequest(name))).Order, OrderAccepted)
				for _, action := range z.stepAfter(adapterLoadTime) {
					z.RunEnded(z.now, action.(Grant).Run, Completed)
				}
			}
		}, false},
		"an order without a response was accepted": {func(z *testZone) {
			z.ReportReceived(z.now, "a", adapters(0, "x", "y"))
			z.Scheduler.targets["a"].phase = stateUnknown
			z.ReportReceived(z.now, "a", adapters(1, "x", "y"))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
			c.prepare(z)
			unload := only[SendOrder](t, z.submitAndStep(z.adapterRequest("w"))).Order
			require.Equal(t, Unload, unload.Operation)
			z.OrderResultReceived(z.now, unload, OrderDone)
			actions := z.stepAfter(reportLag)
			if c.needReport {
				only[RequestReport](t, actions)
				assertNone[SendOrder](t, actions)
				return
			}
			load := only[SendOrder](t, actions).Order
			assert.Equal(t, unload.Sequence+1, load.Sequence)
		})
	}
}

// Guards against an adapter slot that is taken for free while the adapter still occupies it: a
// target may answer 200 to the repeated unload of an adapter that waits for the end of a run.
func TestAdapterThatWaitsForItsRunKeepsItsSlotAfterASecondUnload(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.ReportReceived(z.now, "a", adapters(1, "x", "y"))
	unload := only[SendOrder](t, z.submitAndStep(z.adapterRequest("w"))).Order
	z.OrderResultReceived(z.now, unload, OrderDone)
	for range 10 {
		for _, action := range z.stepAfter(reportInterval) {
			if _, ok := action.(RequestReport); ok {
				z.ReportReceived(z.now, "a", adapters(1, "x", "y"))
			}
			if sent, ok := action.(SendOrder); ok {
				require.Equal(t, Unload, sent.Order.Operation, "both slots are in use")
				z.OrderResultReceived(z.now, sent.Order, OrderDone)
			}
		}
	}
	assert.Equal(t, 2, z.Scheduler.targets["a"].adapterCount())
}

// A load that was not needed leaves open whether the adapter is being unloaded.
func TestAdapterThatWasThereBeforeItsLoadMayBeUnloading(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	load := only[SendOrder](t, z.submitAndStep(z.adapterRequest("x"))).Order
	z.OrderResultReceived(z.now.Add(time.Millisecond), load, OrderDone)
	tgt := z.Scheduler.targets["a"]
	assert.Equal(t, uint64(0), tgt.sequence)
	assert.True(t, tgt.replicas["m0"].adapters["x"].mayBeUnloading)
}
