package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

// newAdapterZone returns a zone whose targets have model m0 and slots for 8 runs and 8
// adapters.
func newAdapterZone(t *testing.T, ids ...string) *testZone {
	var targets []*inventory.Target
	for _, id := range ids {
		targets = append(targets, newTestTarget(id, []string{"m0"}, nil))
	}
	z := newTestZone(t, targets...)
	e := z.services[testService].Engine
	e.AdapterSlots, e.Slots = 8, 8
	return z
}

// loadOrders submits n requests, each for another adapter, and returns the orders of
// steps in which the targets accept each order at once.
func (z *testZone) loadOrders(n int) []Order {
	for i := range n {
		r := z.request("m0")
		r.Adapter = fmt.Sprint("x", i)
		z.Submit(z.now, r)
	}
	return z.acceptedOrders()
}

// acceptedOrders steps until there are no more orders, accepts each and returns them.
func (z *testZone) acceptedOrders() []Order {
	var out []Order
	for {
		n := len(out)
		for _, a := range z.Step(z.now) {
			if s, ok := a.(SendOrder); ok {
				out = append(out, s.Order)
				z.OrderResultReceived(z.now, s.Order, OrderAccepted)
			}
		}
		if len(out) == n {
			return out
		}
	}
}

// Guards against more than four adapters in transit to one target, and against a load that
// waits for longer than until one of them is there.
func TestAdaptersInTransitToATargetAreBounded(t *testing.T) {
	z := newAdapterZone(t, "a")
	assert.Len(t, z.loadOrders(6), maxAdaptersInTransit)
	next := z.NextStepAt(z.now)
	require.Equal(t, z.now.Add(adapterLoadTime), next)
	z.now = next
	assert.Len(t, z.acceptedOrders(), 2)
}

// Guards against loads that wait for a target at the bound while another one is below it.
func TestAdapterIsLoadedAtATargetBelowTheTransitBound(t *testing.T) {
	z := newAdapterZone(t, "a", "b")
	z.ReportReceived(z.now, "b", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0", Adapters: []string{"y0", "y1", "y2", "y3", "y4"}}}})
	counts := map[string]int{}
	for _, o := range z.loadOrders(7) {
		counts[o.Target]++
	}
	assert.Equal(t, map[string]int{"a": 4, "b": 3}, counts)
}

// Guards against loads beyond those that a former owner has ordered and the target still
// carries out.
func TestAdaptersInAReportCountAsInTransit(t *testing.T) {
	z := newAdapterZone(t, "a")
	coming := []string{"m0/y0@1", "m0/y1@1", "m0/y2@1"}
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0"}}, AdaptersLoading: coming})
	assert.Len(t, z.loadOrders(3), 1)
	listed := []inventory.LoadedModel{{Name: "m0", Adapters: []string{"x0", "y0", "y1", "y2"}}}
	z.ReportReceived(z.now, "a", inventory.Report{Models: listed, Sequence: 1})
	assert.Len(t, z.acceptedOrders(), 2)
}

// Guards against further loads while the loads of four adapters take longer than expected.
func TestAdapterThatARunFoundMissingCountsAsInTransit(t *testing.T) {
	z := newAdapterZone(t, "a")
	require.Len(t, z.loadOrders(maxAdaptersInTransit), maxAdaptersInTransit)
	for _, a := range z.stepAfter(adapterLoadTime) {
		z.RunEnded(z.now, a.(Grant).Run, NotLoaded)
	}
	assert.Empty(t, z.loadOrders(5))
	listed := []inventory.LoadedModel{{Name: "m0", Adapters: []string{"x0", "x1", "x2", "x3"}}}
	z.ReportReceived(z.now, "a", inventory.Report{Models: listed, Sequence: 4})
	assert.Len(t, z.acceptedOrders(), 1)
}
