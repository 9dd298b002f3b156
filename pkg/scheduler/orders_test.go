package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

func TestOneLoadForAllRequestsOfAModel(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, []string{"m5"}), engine("b", []string{"m1"}, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	assert.Equal(t, Load, o.Operation)
	assert.Equal(t, FromDisk, o.Source)
	for range 3 {
		none[SendOrder](t, z.submit(z.request("m5")))
	}
	z.OrderAnswered(z.now, o, OrderAccepted)
	probe := one[Grant](t, z.after(800*time.Millisecond+probeMargin))
	assert.True(t, probe.Probe, "one request shows whether the model is there")
	z.RunStarted(z.now, probe.Run)
	assert.Len(t, z.Step(z.now), 3, "the others follow")
}

func TestProbeThatFindsNoModelIsRepeated(t *testing.T) {
	z := newZone(t, engine("a", nil, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderAccepted)
	probe := one[Grant](t, z.after(900*time.Millisecond))
	z.RunEnded(z.now, probe.Run, NotLoaded)
	z.Submit(z.now, z.request("m5"))
	none[Grant](t, z.Step(z.now))
	assert.True(t, one[Grant](t, z.after(probePause)).Probe)
}

func TestMemoryOfAMissingModelStaysCounted(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5", "m6"}))
	run := one[Grant](t, z.submit(z.request("m0"))).Run
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order // unloads m1
	z.RunEnded(z.now, run, NotLoaded)
	z.OrderAnswered(z.now, o, OrderAccepted)
	o = one[SendOrder](t, z.after(unloadTime)).Order
	require.Equal(t, "m5", o.Model)
	z.OrderAnswered(z.now, o, OrderAccepted)
	z.Submit(z.now, z.request("m6"))
	one[RequestReport](t, z.after(time.Second))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 2, Models: []inventory.LoadedModel{{Name: "m0"}, {Name: "m5"}}, OnDisk: []string{"m5", "m6"}})
	for _, a := range z.Step(z.now) {
		if s, ok := a.(SendOrder); ok {
			assert.Equal(t, Unload, s.Order.Operation, "there is no room for a third model")
		}
	}
}

func TestRejectedOrderIsSentAgainSoon(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderRejected)
	none[RequestReport](t, z.Step(z.now))
	assert.Equal(t, o, one[SendOrder](t, z.after(rejectedPause)).Order)
}

func TestReportsOlderThanWhatIsKnownAreIgnored(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderAccepted) // sequence 1: m1 or m0 is unloaded
	for range maxRejections + 1 {
		z.OrderAnswered(z.now, one[SendOrder](t, z.after(unloadTime)).Order, OrderRejected)
	}
	one[RequestReport](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 0, Models: []inventory.LoadedModel{{Name: "m0"}, {Name: "m1"}}, OnDisk: []string{"m5"}})
	none[SendOrder](t, z.Step(z.now))
	z.now = z.now.Add(reportInterval)
	one[RequestReport](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Sequence: 1, Models: []inventory.LoadedModel{{Name: "m0"}}, OnDisk: []string{"m5"}})
	assert.Equal(t, uint64(1), one[SendOrder](t, z.Step(z.now)).Order.Sequence)
}

func TestOrderWithoutAnswerIsSettledByAReport(t *testing.T) {
	z := newZone(t, engine("a", nil, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderUnknown)
	none[SendOrder](t, z.Step(z.now))
	one[RequestReport](t, z.after(unsettledWait))
	z.ReportReceived(z.now, "a", inventory.Report{OnDisk: []string{"m5"}})
	again := one[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, o.Sequence, again.Sequence, "only one of the two can be accepted")
}

func TestNoOrdersWithoutAuthority(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, []string{"m5"}))
	z.SetOrderWindow(z.now.Add(2*time.Second), z.now.Add(time.Hour))
	none[SendOrder](t, z.submit(z.request("m5")))
	one[Grant](t, z.submit(z.request("m0")))
	one[SendOrder](t, z.after(2*time.Second))
	z.SetOrderWindow(start, z.now)
	none[SendOrder](t, z.submit(z.request("m6")))
}

func TestProbeComesInTime(t *testing.T) {
	z := newZone(t, engine("a", nil, []string{"m0"}))
	order := one[SendOrder](t, z.submit(z.request("m0"))).Order
	z.OrderAnswered(z.now, order, OrderAccepted)
	ready := z.now.Add(800*time.Millisecond + probeMargin)
	for z.now.Before(ready) {
		none[Grant](t, z.Step(z.now))
		z.now = z.NextStepAt(z.now)
	}
	assert.Equal(t, ready, z.now)
	assert.True(t, one[Grant](t, z.Step(z.now)).Probe)
}

// TestLongLoadIsProbedOnlyTwice: a failed probe is a send of its request and
// counts against the budget of retries.
func TestLongLoadIsProbedOnlyTwice(t *testing.T) {
	z := newZone(t, engine("a", nil, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderAccepted)
	z.now = z.now.Add(900 * time.Millisecond)
	for range maxProbes {
		probe := one[Grant](t, z.Step(z.now))
		z.RunEnded(z.now, probe.Run, NotLoaded)
		z.Submit(z.now, z.request("m5"))
		z.now = z.now.Add(2 * probePause)
	}
	none[Grant](t, z.Step(z.now))
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m5"}}, Sequence: 1})
	assert.False(t, one[Grant](t, z.Step(z.now)).Probe)
}

// TestReportsOfALargeZoneAreAskedForInTurn: a new owner knows no target's state.
func TestReportsOfALargeZoneAreAskedForInTurn(t *testing.T) {
	const targets = 3*maxReports + 7
	var list []*inventory.Target
	for i := range targets {
		list = append(list, engine(fmt.Sprint("t", i), nil, nil))
	}
	z := newZone(t)
	z.SetTargets(z.now, list)
	asked := map[string]int{}
	waiting := z.Step(z.now)
	for len(waiting) > 0 {
		assert.LessOrEqual(t, len(waiting), maxReports)
		for _, a := range waiting {
			id := a.(RequestReport).Target
			asked[id]++
			z.ReportReceived(z.now, id, inventory.Report{})
		}
		waiting = z.Step(z.now)
	}
	assert.Len(t, asked, targets)
	for id, n := range asked {
		assert.Equal(t, 1, n, id)
	}
}

// TestAdapterThatIsStillInUseKeepsItsSlot: a node has died, and the target goes
// on with its run, so that the unload is accepted but not done.
func TestAdapterThatIsStillInUseKeepsItsSlot(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	held := inventory.LoadedModel{Name: "m0", Adapters: []string{"x", "y"}} // two slots
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{held}})
	z.targets[0].Models = []inventory.LoadedModel{held}
	z.SetTargets(z.now, z.targets)
	z.Scheduler.targets["a"].setModels(z.targets[0].Models)
	r := z.request("m0")
	r.Adapter = "w"
	o := one[SendOrder](t, z.submit(r)).Order
	require.Equal(t, Unload, o.Operation)
	z.OrderAnswered(z.now, o, OrderAccepted)
	for range 5 {
		for _, a := range z.after(reportInterval) {
			if sent, ok := a.(SendOrder); ok {
				assert.Equal(t, Unload, sent.Order.Operation, "both slots are taken")
				z.OrderAnswered(z.now, sent.Order, OrderRejected)
			}
		}
	}
	left := inventory.LoadedModel{Name: "m0", Adapters: []string{"x", "y"}}
	left.Adapters = []string{"y"}
	if o.Adapter == "y" {
		left.Adapters = []string{"x"}
	}
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{left}, Sequence: 1})
	z.now = z.now.Add(rejectedPause)
	load := one[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, Load, load.Operation)
	assert.Equal(t, "w", load.Adapter)
}
