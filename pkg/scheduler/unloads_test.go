package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
)

// Times of orderedTarget: a message takes networkDelay, a report shows the state of
// testReportAge before.
const (
	networkDelay  = time.Millisecond
	testReportAge = 50 * time.Millisecond
)

// orderedTarget is a target that carries out one order at a time and rejects others.
type orderedTarget struct {
	z          *testZone
	unloadTime func(i int) time.Duration
	// unknownRuns is the number of runs in reports that the owner does not know of.
	unknownRuns int

	models     map[string]bool
	sequence   uint64
	active     *Order
	activeEnds time.Time
	events     map[time.Time][]func()
	states     map[time.Time]inventory.Report

	unloads, orders, rejected int
	unloadedAt                time.Time
	waits                     []time.Duration // from the response to an unload to that of the next accepted order
}

// newOrderedTarget returns a target with models m0 and m1 and with copies of m0 to m3.
func newOrderedTarget(t *testing.T, unloadTime func(i int) time.Duration) *orderedTarget {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m0", "m1", "m2", "m3"}))
	return &orderedTarget{z: z, unloadTime: unloadTime, models: map[string]bool{"m0": true, "m1": true}, events: map[time.Time][]func(){}, states: map[time.Time]inventory.Report{}}
}

func (e *orderedTarget) after(d time.Duration, f func()) {
	at := e.z.now.Add(d)
	e.events[at] = append(e.events[at], f)
}

// receive begins an order or rejects it, and responds.
func (e *orderedTarget) receive(o Order) {
	result := OrderRejected
	if e.active == nil && o.Sequence == e.sequence {
		result = OrderAccepted
		e.sequence++
		e.active, e.activeEnds = &o, e.z.now.Add(300*time.Millisecond)
		if o.Operation == Unload {
			e.activeEnds = e.z.now.Add(e.unloadTime(e.unloads))
			e.unloads++
		}
	}
	e.after(networkDelay, func() {
		e.orders++
		switch {
		case result == OrderRejected:
			e.rejected++
		case o.Operation == Unload:
			e.unloadedAt = e.z.now
		default:
			e.waits = append(e.waits, e.z.now.Sub(e.unloadedAt))
		}
		e.z.OrderResultReceived(e.z.now, o, result)
	})
}

// run makes the target load n models, each in the place of another one.
func (e *orderedTarget) run(n int) {
	for next := 2; len(e.waits) < n; {
		e.z.now = e.z.now.Add(time.Millisecond)
		if o := e.active; o != nil && !e.z.now.Before(e.activeEnds) {
			e.active = nil
			if o.Operation == Unload {
				delete(e.models, o.Model)
			} else {
				e.models[o.Model] = true
			}
		}
		report := inventory.Report{Sequence: e.sequence, OrderInProgress: e.active != nil, OnDisk: []string{"m0", "m1", "m2", "m3"}, Running: e.unknownRuns}
		for name := range e.models {
			report.Models = append(report.Models, inventory.LoadedModel{Name: name})
		}
		e.states[e.z.now] = report
		for _, f := range e.events[e.z.now] {
			f()
		}
		if e.z.Waiting() == 0 && e.active == nil {
			for e.models[fmt.Sprint("m", next%4)] {
				next++
			}
			e.z.Submit(e.z.now, e.z.request(fmt.Sprint("m", next%4)))
		}
		for _, a := range e.z.Step(e.z.now) {
			switch a := a.(type) {
			case SendOrder:
				e.after(networkDelay, func() { e.receive(a.Order) })
			case RequestReport:
				e.after(2*networkDelay, func() { e.z.ReportReceived(e.z.now, "a", e.states[e.z.now.Add(-testReportAge)]) })
			case Grant:
				e.z.RunStarted(e.z.now, a.Run)
				e.z.RunEnded(e.z.now, a.Run, Completed)
			}
		}
	}
}

func meanDuration(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// Guards against orders that a target rejects because it still carries out an unload. With
// a constant delay of 45 ms and retries each 15 ms, each of 200 unloads of 48 to 60 ms cost one
// rejected order, and each of 200 ms nine; the mean waits were 64 and 309 ms.
func TestOrdersAfterUnloadsAreSeldomRejected(t *testing.T) {
	for _, c := range []struct {
		unload, jitter, mean time.Duration
		rejected             int
	}{
		{unload: 30 * time.Millisecond, mean: 47 * time.Millisecond, rejected: 0},
		{unload: 48 * time.Millisecond, jitter: 6 * time.Millisecond, mean: 64 * time.Millisecond, rejected: 20},
		{unload: 60 * time.Millisecond, mean: 64 * time.Millisecond, rejected: 20},
		{unload: 200 * time.Millisecond, mean: 300 * time.Millisecond, rejected: 30},
	} {
		e := newOrderedTarget(t, func(i int) time.Duration {
			return c.unload + c.jitter*time.Duration(i*7%13)/13
		})
		e.run(200)
		t.Logf("unload of %v: %d of %d orders rejected, mean wait %v, first wait %v", c.unload, e.rejected, e.orders, meanDuration(e.waits), e.waits[0])
		assert.LessOrEqual(t, e.rejected, c.rejected, c.unload)
		assert.LessOrEqual(t, meanDuration(e.waits), c.mean, c.unload)
	}
}

// Guards against a delay that grows by unloads that wait for runs of which the owner does
// not know, as after a change of the owner.
func TestUnloadThatWaitsForUnknownRunsDoesNotRaiseDelay(t *testing.T) {
	e := newOrderedTarget(t, func(int) time.Duration { return 2 * time.Second })
	e.unknownRuns = 1
	e.run(8)
	assert.Equal(t, unloadDelay, e.z.unloadEstimate(testService).delay)
	assert.LessOrEqual(t, e.rejected, 8*(maxRejections+1))
}

// Guards against orders repeated many times to a target without a connection, and against one failed
// connection that takes a sound target from all requests.
func TestTargetWithoutConnectionGetsNoOrdersForAWhile(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderNotSent)
	assert.True(t, z.Scheduler.targets["a"].healthy(z.now))
	assertNone[SendOrder](t, z.stepAfter(unsentOrderDelay-time.Millisecond))
	assert.Equal(t, o, only[SendOrder](t, z.stepAfter(time.Millisecond)).Order)
	z.OrderResultReceived(z.now, o, OrderNotSent)
	assert.False(t, z.Scheduler.targets["a"].healthy(z.now))
	assertNone[SendOrder](t, z.stepAfter(suspectTime-time.Millisecond))
	assert.Equal(t, o, only[SendOrder](t, z.stepAfter(time.Millisecond)).Order)
}

// Guards against a delay that grows without end when orders are rejected for other reasons.
func TestLearnedUnloadDelayIsBounded(t *testing.T) {
	e := &unloadEstimate{delay: unloadDelay}
	for range 100 {
		e.orderRejected(e.delay + 50*time.Millisecond)
	}
	assert.Equal(t, maxUnloadDelay, e.delay)
}
