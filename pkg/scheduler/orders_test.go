package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

func TestRequestsForOneModelShareOneLoad(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m5"}), newTestTarget("b", []string{"m1"}, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	assert.Equal(t, Load, o.Operation)
	assert.Equal(t, FromDisk, o.Source)
	for range 3 {
		assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
	}
	z.OrderResultReceived(z.now, o, OrderAccepted)
	probe := only[Grant](t, z.stepAfter(800*time.Millisecond+probeMargin))
	assert.True(t, probe.Probe, "one request probes whether the model is loaded")
	z.RunStarted(z.now, probe.Run)
	assert.Len(t, z.Step(z.now), 3, "the other requests follow the probe")
}

func TestFailedProbeIsRepeated(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderAccepted)
	probe := only[Grant](t, z.stepAfter(900*time.Millisecond))
	z.RunEnded(z.now, probe.Run, NotLoaded)
	z.Submit(z.now, z.request("m5"))
	assertNone[Grant](t, z.Step(z.now))
	assert.True(t, only[Grant](t, z.stepAfter(probeRetryDelay)).Probe)
}

// An HTTP 421 response during an order once removed the model and its memory from
// the scheduler's state, and the next load exceeded the target's memory.
func TestMemoryOfUnconfirmedModelCountsAsUsed(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5", "m6"}))
	run := only[Grant](t, z.submitAndStep(z.request("m0"))).Run
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order // unloads m1
	z.RunEnded(z.now, run, NotLoaded)
	z.OrderResultReceived(z.now, o, OrderAccepted)
	o = only[SendOrder](t, z.stepAfter(unloadDelay)).Order
	require.Equal(t, "m5", o.Model)
	z.OrderResultReceived(z.now, o, OrderAccepted)
	z.Submit(z.now, z.request("m6"))
	only[RequestReport](t, z.stepAfter(time.Second))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 2, Models: []inventory.LoadedModel{{Name: "m0"}, {Name: "m5"}}, OnDisk: []string{"m5", "m6"}})
	for _, a := range z.Step(z.now) {
		if s, ok := a.(SendOrder); ok {
			assert.Equal(t, Unload, s.Order.Operation, "there is no memory for a third model")
		}
	}
}

// The only target of a model refuses every request as full. A request is sent there
// less and less often, and soon again after a run has begun.
func TestTargetThatRefusesAsFullIsTriedLessOften(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	sends := 0
	for range 200 { // 2 s
		if z.Waiting() == 0 {
			z.Submit(z.now, z.request("m0"))
		}
		for _, a := range z.stepAfter(10 * time.Millisecond) {
			if g, ok := a.(Grant); ok {
				sends++
				z.RunEnded(z.now, g.Run, Busy)
			}
		}
	}
	assert.LessOrEqual(t, sends, 6)
	for ticket := range z.waiters {
		z.Cancel(ticket)
	}
	z.now = z.now.Add(maxBusyTime)
	g := only[Grant](t, z.submitAndStep(z.request("m0")))
	z.RunStarted(z.now, g.Run)
	z.RunEnded(z.now, g.Run, Completed)
	g = only[Grant](t, z.submitAndStep(z.request("m0")))
	z.RunEnded(z.now, g.Run, Busy)
	z.Submit(z.now, z.request("m0"))
	only[Grant](t, z.stepAfter(busyTime))
}

func TestRejectedOrderIsSentAgainAfterRejectedDelay(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderRejected)
	assertNone[RequestReport](t, z.Step(z.now))
	assert.Equal(t, o, only[SendOrder](t, z.stepAfter(rejectedDelay)).Order)
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderAccepted) // sequence 1: m1 or m0 is unloaded
	for range maxRejections + 1 {
		z.OrderResultReceived(z.now, only[SendOrder](t, z.stepAfter(unloadDelay)).Order, OrderRejected)
	}
	only[RequestReport](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 0, Models: []inventory.LoadedModel{{Name: "m0"}, {Name: "m1"}}, OnDisk: []string{"m5"}})
	assertNone[SendOrder](t, z.Step(z.now))
	z.now = z.now.Add(reportInterval)
	only[RequestReport](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 1, Models: []inventory.LoadedModel{{Name: "m0"}}, OnDisk: []string{"m5"}})
	assert.Equal(t, uint64(1), only[SendOrder](t, z.Step(z.now)).Order.Sequence)
}

func TestUnconfirmedOrderIsResolvedByReport(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderUnknown)
	assertNone[SendOrder](t, z.Step(z.now))
	only[RequestReport](t, z.stepAfter(unconfirmedWait))
	z.ReportReceived(z.now, "a", inventory.Report{OnDisk: []string{"m5"}})
	resent := only[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, o.Sequence, resent.Sequence, "the target can accept only one of the two orders")
}

func TestOrdersAreSentOnlyInOrderWindow(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m5"}))
	z.SetOrderWindow(z.now.Add(2*time.Second), z.now.Add(time.Hour))
	assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
	only[Grant](t, z.submitAndStep(z.request("m0")))
	only[SendOrder](t, z.stepAfter(2*time.Second))
	z.SetOrderWindow(testStart, z.now)
	assertNone[SendOrder](t, z.submitAndStep(z.request("m6")))
}

// Only the passing of time makes a loaded model ready, so that NextStepAt has to
// return the time of the probe.
func TestNextStepAtIncludesProbe(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m0"}))
	order := only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order
	z.OrderResultReceived(z.now, order, OrderAccepted)
	ready := z.now.Add(800*time.Millisecond + probeMargin)
	for z.now.Before(ready) {
		assertNone[Grant](t, z.Step(z.now))
		z.now = z.NextStepAt(z.now)
	}
	assert.Equal(t, ready, z.now)
	assert.True(t, only[Grant](t, z.Step(z.now)).Probe)
}

// Each failed probe is an attempt to send its request and counts against the retry
// budget.
func TestLongLoadIsProbedOnlyTwice(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderAccepted)
	z.now = z.now.Add(900 * time.Millisecond)
	for range maxProbes {
		probe := only[Grant](t, z.Step(z.now))
		z.RunEnded(z.now, probe.Run, NotLoaded)
		z.Submit(z.now, z.request("m5"))
		z.now = z.now.Add(2 * probeRetryDelay)
	}
	assertNone[Grant](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m5"}}, Sequence: 1})
	assert.False(t, only[Grant](t, z.Step(z.now)).Probe)
}

// A new owner does not know the state of any target and requests it from all of
// them.
func TestConcurrentReportRequestsAreLimited(t *testing.T) {
	const targets = 3*maxPendingReports + 7
	var list []*inventory.Target
	for i := range targets {
		list = append(list, newTestTarget(fmt.Sprint("t", i), nil, nil))
	}
	z := newTestZone(t)
	z.SetTargets(z.now, list)
	requests := map[string]int{}
	actions := z.Step(z.now)
	for len(actions) > 0 {
		assert.LessOrEqual(t, len(actions), maxPendingReports)
		for _, a := range actions {
			id := a.(RequestReport).Target
			requests[id]++
			z.ReportReceived(z.now, id, inventory.Report{})
		}
		actions = z.Step(z.now)
	}
	assert.Len(t, requests, targets)
	for id, n := range requests {
		assert.Equal(t, 1, n, id)
	}
}

// After a node has failed, its run may continue at the target. The unload of the
// run's adapter is then accepted but not yet carried out.
func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	loaded := inventory.LoadedModel{Name: "m0", Adapters: []string{"x", "y"}} // uses both adapter slots
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{loaded}})
	z.targets[0].Models = []inventory.LoadedModel{loaded}
	z.SetTargets(z.now, z.targets)
	z.Scheduler.targets["a"].setModels(z.targets[0].Models)
	r := z.request("m0")
	r.Adapter = "w"
	o := only[SendOrder](t, z.submitAndStep(r)).Order
	require.Equal(t, Unload, o.Operation)
	z.OrderResultReceived(z.now, o, OrderAccepted)
	for range 5 {
		for _, a := range z.stepAfter(reportInterval) {
			if sent, ok := a.(SendOrder); ok {
				assert.Equal(t, Unload, sent.Order.Operation, "both slots are in use")
				z.OrderResultReceived(z.now, sent.Order, OrderRejected)
			}
		}
	}
	remaining := inventory.LoadedModel{Name: "m0", Adapters: []string{"x", "y"}}
	remaining.Adapters = []string{"y"}
	if o.Adapter == "y" {
		remaining.Adapters = []string{"x"}
	}
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{remaining}, Sequence: 1})
	z.now = z.now.Add(rejectedDelay)
	load := only[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, Load, load.Operation)
	assert.Equal(t, "w", load.Adapter)
}

// Guards against one adapter too many at a target that is still loading another one: a
// report lists that one apart from the loaded ones, and its slot was counted as free.
func TestAdapterThatIsLoadingKeepsItsSlot(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	loaded := []inventory.LoadedModel{{Name: "m0", Adapters: []string{"x"}}}
	// The second of both adapter slots is that of y, ordered by the owner before.
	z.ReportReceived(z.now, "a", inventory.Report{Models: loaded, AdaptersLoading: []string{"m0/y@1"}, Sequence: 1})
	r := z.request("m0")
	r.Adapter = "w"
	first := only[SendOrder](t, z.submitAndStep(r)).Order
	assert.Equal(t, Order{Target: "a", Operation: Unload, Model: "m0", Adapter: "x", Sequence: 1}, first)
	z.OrderResultReceived(z.now, first, OrderDone)
	assertNone[SendOrder](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0"}}, AdaptersLoading: []string{"m0/y@1"}, Sequence: 2})
	assert.Equal(t, Load, only[SendOrder](t, z.Step(z.now)).Order.Operation, "into the slot of x")
}

// Guards against requests for an adapter that is still being loaded, and against a second
// order for it.
func TestAdapterThatIsLoadingServesWhenAReportListsIt(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0"}}, AdaptersLoading: []string{"m0/y@1", "unreadable"}, Sequence: 1})
	r := z.request("m0")
	r.Adapter = "y"
	assert.Empty(t, z.submitAndStep(r), "neither a grant nor an order")
	only[RequestReport](t, z.stepAfter(reportInterval))
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0", Adapters: []string{"y"}}}, AdaptersLoading: []string{"m0/y@2"}, Sequence: 1})
	only[Grant](t, z.Step(z.now)) // also while a newer version is loaded
}
