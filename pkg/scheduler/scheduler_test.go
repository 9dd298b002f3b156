package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

const testService = "engine"

var testStart = time.Unix(1_700_000_000, 0)

// testZone is a scheduler whose targets have 100 MB for weights, with models of 40 MB.
type testZone struct {
	t *testing.T
	*Scheduler
	now     time.Time
	targets []*inventory.Target
}

// newTestZone returns a zone with models m0 to m7 whose targets have reported
// their state. Orders may be sent for an hour.
func newTestZone(t *testing.T, targets ...*inventory.Target) *testZone {
	e := &route.Engine{Slots: 4, CacheTokens: 10_000, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1, Models: map[string]*route.Model{}}
	for i := range 8 {
		name := fmt.Sprint("m", i)
		e.Models[name] = &route.Model{Name: name, WeightsMB: 40, AdapterMB: 1, WeightStoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
	}
	z := &testZone{t: t, Scheduler: New(0), now: testStart, targets: targets}
	z.SetServices(map[string]*route.Service{testService: {Name: testService, Engine: e}})
	z.SetOrderWindow(testStart, testStart.Add(time.Hour))
	z.SetTargets(z.now, targets)
	for _, target := range targets {
		z.ReportReceived(z.now, target.ID, inventory.Report{Models: target.Models, OnDisk: target.OnDisk, InMemory: target.InMemory})
	}
	return z
}

// newTestTarget returns an inventory entry with the models that are loaded and those
// with a copy on disk.
func newTestTarget(id string, loaded, onDisk []string) *inventory.Target {
	t := &inventory.Target{ID: id, Service: testService, Zone: "z", Slots: 4, OnDisk: onDisk}
	for _, m := range loaded {
		t.Models = append(t.Models, inventory.LoadedModel{Name: m})
	}
	return t
}

// request returns a request that all other zones have refused, with a latency objective
// of 1 s and a deadline in 5 s.
func (z *testZone) request(model string) Request {
	return Request{Service: testService, Model: model, InputTokens: 100, OutputTokens: 100, LatencyObjective: time.Second, ObjectiveAt: z.now.Add(time.Second), Deadline: z.now.Add(5 * time.Second), OtherZonesRefused: true}
}

// Submit submits a request, and before that records the demand of one that this zone
// has referred to the others.
func (z *testZone) Submit(now time.Time, r Request) Ticket {
	if r.OtherZonesRefused {
		z.recordDemand(now, modelKey{r.Service, r.Model})
	}
	return z.Scheduler.Submit(now, r)
}

// submitAndStep submits a request and returns the actions of the next step.
func (z *testZone) submitAndStep(r Request) []Action {
	z.Submit(z.now, r)
	return z.Step(z.now)
}

// stepAfter advances the time and returns the actions of the next step.
func (z *testZone) stepAfter(d time.Duration) []Action {
	z.now = z.now.Add(d)
	return z.Step(z.now)
}

// only returns the only action of a type and fails if there are none or several.
func only[T any](t *testing.T, actions []Action) T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	require.Len(t, out, 1, "%#v", actions)
	return out[0]
}

// assertNone checks that there is no action of a type.
func assertNone[T any](t *testing.T, actions []Action) {
	for _, a := range actions {
		_, ok := a.(T)
		assert.False(t, ok, "%#v", a)
	}
}

func TestRequestIsGrantedAtTargetWithModel(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m1"}, nil))
	assert.Equal(t, "b", only[Grant](t, z.submitAndStep(z.request("m1"))).Target)
}

func TestTargetWithSmallestWorkloadIsChosen(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	longPrompt := z.request("m0")
	longPrompt.InputTokens = 2000
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(longPrompt)).Target)
	for range 3 {
		assert.Equal(t, "b", only[Grant](t, z.submitAndStep(z.request("m0"))).Target, "the prompt at a waits for prefill")
	}
}

func TestSlotsAreNotExceeded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	for range 4 {
		only[Grant](t, z.submitAndStep(z.request("m0")))
	}
	assertNone[Grant](t, z.submitAndStep(z.request("m0")))
}

func TestLoadPrefersTargetWithLocalCopy(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, nil), newTestTarget("b", []string{"m0"}, []string{"m5"}))
	assert.Equal(t, "b", only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order.Target)
}

func TestIdleModelWithLeastDemandIsUnloaded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	for range 3 {
		z.RunEnded(z.now, only[Grant](t, z.submitAndStep(z.request("m0"))).Run, Completed)
	}
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	assert.Equal(t, Unload, o.Operation)
	assert.Equal(t, "m1", o.Model)
	z.OrderResultReceived(z.now, o, OrderAccepted)
	o = only[SendOrder](t, z.stepAfter(unloadDelay)).Order
	assert.Equal(t, Order{Target: "a", Operation: Load, Model: "m5", Sequence: 1, Source: FromDisk}, o)
}

func TestModelWithRunsIsNotUnloaded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	for _, m := range []string{"m0", "m1"} {
		only[Grant](t, z.submitAndStep(z.request(m)))
	}
	assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
}

func TestPlanBlockedByRunsMovesToFreeTarget(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}), newTestTarget("b", []string{"m2", "m3"}, []string{"m5"}))
	runs := map[string]RunID{}
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		runs[m] = only[Grant](t, z.submitAndStep(z.request(m))).Run
	}
	waiting := z.request("m5")
	assertNone[SendOrder](t, z.submitAndStep(waiting))
	assertNone[SendOrder](t, z.stepAfter(closingDelay)) // a replica is closing and still has a run
	var blocked string
	for name, target := range z.Scheduler.targets {
		if target.plan != nil {
			blocked = name
		}
	}
	require.NotEmpty(t, blocked)
	free := map[string]string{"a": "m2", "b": "m0"}[blocked]
	z.RunEnded(z.now, runs[free], Completed)
	o := only[SendOrder](t, z.Step(z.now)).Order
	assert.NotEqual(t, blocked, o.Target)
	assert.Equal(t, free, o.Model)
	assert.Nil(t, z.Scheduler.targets[blocked].plan)
}

func TestLeastRecentlyUsedAdapterIsUnloaded(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	for i := range 3 {
		r := z.request("m0")
		r.Adapter = fmt.Sprint("a", i)
		o := only[SendOrder](t, z.submitAndStep(r)).Order
		if i == 2 {
			assert.Equal(t, Unload, o.Operation)
			assert.Equal(t, "a0", o.Adapter)
			z.OrderResultReceived(z.now, o, OrderDone)
			o = only[SendOrder](t, z.Step(z.now)).Order
		}
		assert.Equal(t, Load, o.Operation)
		assert.Equal(t, r.Adapter, o.Adapter)
		z.OrderResultReceived(z.now, o, OrderAccepted)
		z.RunEnded(z.now, only[Grant](t, z.stepAfter(adapterLoadTime)).Run, Completed)
		z.now = z.now.Add(time.Second)
	}
}

func TestModelWithoutLocalCopyIsRefusedWithTryOtherZone(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	r := z.request("m5")
	r.OtherZonesRefused = false
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(r)).Reason)
	r.OtherZonesRefused = true
	assert.Equal(t, FromWeightStore, only[SendOrder](t, z.submitAndStep(r)).Order.Source)
}

func TestFullModelIsRefusedWithTryOtherZone(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, nil))
	for range 4 {
		only[Grant](t, z.submitAndStep(z.request("m0")))
	}
	r := z.request("m0")
	r.OtherZonesRefused = false
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(r)).Reason)
	assert.Equal(t, map[string][]string{testService: {"m0", "m1"}}, z.Summary(z.now).Full, "both models share the slots")
}

func TestRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	for range 4 {
		only[Grant](t, z.submitAndStep(z.request("m0")))
	}
	r := z.request("m0")
	r.Deadline = z.now.Add(time.Second)
	assertNone[Refusal](t, z.submitAndStep(r))
	assertNone[Refusal](t, z.stepAfter(700*time.Millisecond))
	assert.Equal(t, Overloaded, only[Refusal](t, z.stepAfter(100*time.Millisecond)).Reason)
}

func TestMoreUrgentPriorityIsGrantedFirst(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	var runs []RunID
	for range 4 {
		runs = append(runs, only[Grant](t, z.submitAndStep(z.request("m0"))).Run)
	}
	low, high := z.request("m0"), z.request("m0")
	low.Priority, high.Priority = 1, 0
	high.ObjectiveAt = high.ObjectiveAt.Add(time.Second)
	z.Submit(z.now, low)
	ticket := z.Submit(z.now, high)
	z.RunEnded(z.now, runs[0], Completed)
	assert.Equal(t, ticket, only[Grant](t, z.Step(z.now)).Ticket)
}

func TestStoreLoadRateIsSharedByZones(t *testing.T) {
	var targets []*inventory.Target
	for i := range 6 {
		targets = append(targets, newTestTarget(fmt.Sprint("t", i), nil, nil))
	}
	z := newTestZone(t, targets...)
	z.SetZones("z", []fleet.Zone{"z", "y", "x"}) // a third of 1 load per second over 5 s
	orders := 0
	for i := range 6 {
		for _, a := range z.submitAndStep(z.request(fmt.Sprint("m", i))) {
			if _, ok := a.(SendOrder); ok {
				orders++
			}
		}
	}
	assert.Equal(t, 1, orders)
}

func TestRestartedTargetHoldsNoModels(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m0"}))
	run := only[Grant](t, z.submitAndStep(z.request("m0"))).Run
	restarted := newTestTarget("a", nil, []string{"m0"})
	restarted.Incarnation = 2
	z.SetTargets(z.now, []*inventory.Target{restarted})
	z.RunEnded(z.now, run, Failed)
	actions := z.submitAndStep(z.request("m0"))
	assertNone[Grant](t, actions)
	only[RequestReport](t, actions)
}

func TestDrainingTargetGetsNoRuns(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	draining := newTestTarget("a", []string{"m0"}, nil)
	draining.Draining = true
	z.SetTargets(z.now, []*inventory.Target{draining})
	assertNone[Grant](t, z.submitAndStep(z.request("m0")))
}

func TestAdoptedRunsOccupyTheirReplicas(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	z.AdoptRuns(z.now, "n1", []AdoptedRun{{ID: 7, Target: "a", Model: "m0"}, {ID: 8, Target: "a", Model: "m1"}})
	assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
	z.RunEnded(z.now, 8, Completed)
	assert.Equal(t, "m1", only[SendOrder](t, z.Step(z.now)).Order.Model)
	z.RemoveRunsOfNode(z.now, "n1")
	assert.Zero(t, z.Running())
}

func BenchmarkStepWithManyWaiting(b *testing.B) {
	var targets []*inventory.Target
	for i := range 20 {
		targets = append(targets, newTestTarget(fmt.Sprintf("t%02d", i), []string{fmt.Sprint("m", i%4), fmt.Sprint("m", 4+i%4)}, []string{"m0", "m1", "m2", "m3"}))
	}
	z := newTestZone(nil, targets...)
	for i := range 120 {
		z.Submit(z.now, z.request(fmt.Sprint("m", i%8)))
	}
	b.ReportAllocs()
	for b.Loop() {
		z.Step(z.now)
	}
}

// The cause of a failure may be a stalled connection and not the target. If no
// other target has the model, the failed one is used again.
func TestOnlyTargetOfModelIsRetriedAfterFailure(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	r := z.request("m0")
	r.Exclude = []string{"a"}
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(r)).Target)
	z = newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	for range 4 {
		assert.Equal(t, "b", only[Grant](t, z.submitAndStep(r)).Target)
	}
	assertNone[Grant](t, z.submitAndStep(r)) // b is full, and the request waits instead of running at a
	r.OtherZonesRefused = false
	z = newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(r)).Reason, "another zone may have the model")
}

// If more requests wait for a model than its replica can start in time, the last
// ones are refused immediately.
func TestRequestsBeyondCapacityAreRefused(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	var last []Action
	// 4 slots with runs of 2 s start 2 runs per second, and 4.75 s are left until the
	// latest start. With refusalWaitRatio, 4.75 s * 2/s * 1.5 = 14 requests may wait.
	for range 30 {
		last = z.submitAndStep(z.request("m0"))
	}
	refusal := only[Refusal](t, last)
	assert.Equal(t, Overloaded, refusal.Reason)
	assert.Zero(t, refusal.Waited)
	assert.GreaterOrEqual(t, refusal.RetryAfter, minRetryAfter)
	assert.Greater(t, refusal.Estimate.ExpectedWait, refusal.Estimate.TimeLeft)
	assert.InDelta(t, 14, z.Waiting(), 2)
}

func TestIdleReplicaIsUnloadedIfIdleWeightIsSet(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m0"}))
	run := only[Grant](t, z.submitAndStep(z.request("m0")))
	z.RunEnded(z.now, run.Run, Completed)
	assertNone[SendOrder](t, z.stepAfter(10*time.Minute))
	z.services[testService].Engine.IdleWeight = 0.2
	assert.Equal(t, Unload, only[SendOrder](t, z.stepAfter(time.Millisecond)).Order.Operation)
}

// A model that is requested every five seconds stays loaded between two requests.
func TestKeepAliveWindowCoversObservedGaps(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m0"}))
	z.services[testService].Engine.IdleWeight = 0.02
	k := modelKey{testService, "m0"}
	for range 20 {
		z.demandOf(k).idleSince = z.now
		z.now = z.now.Add(5 * time.Second)
		z.recordArrival(z.now, k)
	}
	run := only[Grant](t, z.submitAndStep(z.request("m0")))
	z.RunEnded(z.now, run.Run, Completed)
	assertNone[SendOrder](t, z.stepAfter(5*time.Second))
	assert.Equal(t, Unload, only[SendOrder](t, z.stepAfter(30*time.Minute)).Order.Operation)
}
