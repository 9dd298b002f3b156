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

const svc = "engine"

var start = time.Unix(1_700_000_000, 0)

// zone is a scheduler with targets that hold 100 MB and models of 40 MB.
type zone struct {
	t *testing.T
	*Scheduler
	now     time.Time
	targets []*inventory.Target
}

func newZone(t *testing.T, targets ...*inventory.Target) *zone {
	e := &route.Engine{Slots: 4, CacheTokens: 10_000, WeightsMB: 100, AdapterSlots: 2, LoadsPerSecond: 1, Models: map[string]*route.Model{}}
	for i := range 8 {
		name := fmt.Sprint("m", i)
		e.Models[name] = &route.Model{Name: name, WeightsMB: 40, AdapterMB: 1, LoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
	}
	z := &zone{t: t, Scheduler: New(0), now: start, targets: targets}
	z.SetServices(map[string]*route.Service{svc: {Name: svc, Engine: e}})
	z.SetOrderWindow(start, start.Add(time.Hour))
	z.SetTargets(z.now, targets)
	for _, target := range targets {
		z.ReportReceived(z.now, target.ID, inventory.Report{Models: target.Models, OnDisk: target.OnDisk, InMemory: target.InMemory})
	}
	return z
}

func engine(id string, loaded, onDisk []string) *inventory.Target {
	t := &inventory.Target{ID: id, Service: svc, Zone: "z", Slots: 4, OnDisk: onDisk}
	for _, m := range loaded {
		t.Models = append(t.Models, inventory.LoadedModel{Name: m})
	}
	return t
}

func (z *zone) request(model string) Request {
	return Request{Service: svc, Model: model, InputTokens: 100, OutputTokens: 100, LatencyObjective: time.Second, Objective: z.now.Add(time.Second), Deadline: z.now.Add(5 * time.Second), LastResort: true}
}

// submit queues a request and returns what follows.
func (z *zone) submit(r Request) []Action {
	z.Submit(z.now, r)
	return z.Step(z.now)
}

// after lets time pass and returns what follows.
func (z *zone) after(d time.Duration) []Action {
	z.now = z.now.Add(d)
	return z.Step(z.now)
}

// one returns the only action of a type.
func one[T any](t *testing.T, actions []Action) T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	require.Len(t, out, 1, "%#v", actions)
	return out[0]
}

func none[T any](t *testing.T, actions []Action) {
	for _, a := range actions {
		_, ok := a.(T)
		assert.False(t, ok, "%#v", a)
	}
}

func TestLoadedModelIsGrantedAtOnce(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil), engine("b", []string{"m1"}, nil))
	assert.Equal(t, "b", one[Grant](t, z.submit(z.request("m1"))).Target)
}

func TestLeastWorkIsChosen(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil), engine("b", []string{"m0"}, nil))
	long := z.request("m0")
	long.InputTokens = 2000
	assert.Equal(t, "a", one[Grant](t, z.submit(long)).Target)
	for range 3 {
		assert.Equal(t, "b", one[Grant](t, z.submit(z.request("m0"))).Target, "the prompt at a is not read yet")
	}
}

func TestSlotsAreNotExceeded(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	for range 4 {
		one[Grant](t, z.submit(z.request("m0")))
	}
	none[Grant](t, z.submit(z.request("m0")))
}

func TestModelOnDiskGoesBeforeTheStore(t *testing.T) {
	z := newZone(t, engine("a", nil, nil), engine("b", []string{"m0"}, []string{"m5"}))
	assert.Equal(t, "b", one[SendOrder](t, z.submit(z.request("m5"))).Order.Target)
}

func TestIdleModelWithTheLeastDemandMakesRoom(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
	for range 3 {
		z.RunEnded(z.now, one[Grant](t, z.submit(z.request("m0"))).Run, Completed)
	}
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	assert.Equal(t, Unload, o.Operation)
	assert.Equal(t, "m1", o.Model)
	z.OrderAnswered(z.now, o, OrderAccepted)
	o = one[SendOrder](t, z.after(unloadTime)).Order
	assert.Equal(t, Order{Target: "a", Operation: Load, Model: "m5", Sequence: 1, Source: FromDisk}, o)
}

func TestModelWithRunsIsNotUnloaded(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
	for _, m := range []string{"m0", "m1"} {
		one[Grant](t, z.submit(z.request(m)))
	}
	none[SendOrder](t, z.submit(z.request("m5")))
}

func TestPlanThatWaitsForRunsMovesToARoomyTarget(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}), engine("b", []string{"m2", "m3"}, []string{"m5"}))
	runs := map[string]RunID{}
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		runs[m] = one[Grant](t, z.submit(z.request(m))).Run
	}
	patient := z.request("m5")
	none[SendOrder](t, z.submit(patient))
	none[SendOrder](t, z.after(closeAfter)) // a replica is closed and waited for
	var closed string
	for name, target := range z.Scheduler.targets {
		if target.plan != nil {
			closed = name
		}
	}
	require.NotEmpty(t, closed)
	free := map[string]string{"a": "m2", "b": "m0"}[closed]
	z.RunEnded(z.now, runs[free], Completed)
	o := one[SendOrder](t, z.Step(z.now)).Order
	assert.NotEqual(t, closed, o.Target)
	assert.Equal(t, free, o.Model)
	assert.Nil(t, z.Scheduler.targets[closed].plan)
}

// A 421 during an order once took the model off the books, and the next load
// overfilled the target (LIMIT on trouble-2 of rodopi-cores).
func TestAdapterIsLoadedAndTheOldestMakesRoom(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	for i := range 3 {
		r := z.request("m0")
		r.Adapter = fmt.Sprint("a", i)
		o := one[SendOrder](t, z.submit(r)).Order
		if i == 2 {
			assert.Equal(t, Unload, o.Operation)
			assert.Equal(t, "a0", o.Adapter)
			z.OrderAnswered(z.now, o, OrderDone)
			o = one[SendOrder](t, z.Step(z.now)).Order
		}
		assert.Equal(t, Load, o.Operation)
		assert.Equal(t, r.Adapter, o.Adapter)
		z.OrderAnswered(z.now, o, OrderAccepted)
		z.RunEnded(z.now, one[Grant](t, z.after(adapterLoadTime)).Run, Completed)
		z.now = z.now.Add(time.Second)
	}
}

func TestZoneWithoutACopySendsElsewhere(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	r := z.request("m5")
	r.LastResort = false
	assert.Equal(t, TryOtherZone, one[Refusal](t, z.submit(r)).Reason)
	r.LastResort = true
	assert.Equal(t, FromStore, one[SendOrder](t, z.submit(r)).Order.Source)
}

func TestFullModelSendsElsewhere(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, nil))
	for range 4 {
		one[Grant](t, z.submit(z.request("m0")))
	}
	r := z.request("m0")
	r.LastResort = false
	assert.Equal(t, TryOtherZone, one[Refusal](t, z.submit(r)).Reason)
	assert.Equal(t, map[string][]string{svc: {"m0", "m1"}}, z.Summary(z.now).Full, "both share the slots")
}

func TestRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	for range 4 {
		one[Grant](t, z.submit(z.request("m0")))
	}
	r := z.request("m0")
	r.Deadline = z.now.Add(time.Second)
	none[Refusal](t, z.submit(r))
	none[Refusal](t, z.after(700*time.Millisecond))
	assert.Equal(t, Overloaded, one[Refusal](t, z.after(100*time.Millisecond)).Reason)
}

func TestHigherRankGoesFirst(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	var runs []RunID
	for range 4 {
		runs = append(runs, one[Grant](t, z.submit(z.request("m0"))).Run)
	}
	low, high := z.request("m0"), z.request("m0")
	low.Priority, high.Priority = 1, 0
	high.Objective = high.Objective.Add(time.Second)
	z.Submit(z.now, low)
	ticket := z.Submit(z.now, high)
	z.RunEnded(z.now, runs[0], Completed)
	assert.Equal(t, ticket, one[Grant](t, z.Step(z.now)).Ticket)
}

func TestWeightStoreBudgetIsShared(t *testing.T) {
	var targets []*inventory.Target
	for i := range 6 {
		targets = append(targets, engine(fmt.Sprint("t", i), nil, nil))
	}
	z := newZone(t, targets...)
	z.SetZones("z", []fleet.Zone{"z", "y", "x"}) // a third of 1 load a second over 5 s
	orders := 0
	for i := range 6 {
		for _, a := range z.submit(z.request(fmt.Sprint("m", i))) {
			if _, ok := a.(SendOrder); ok {
				orders++
			}
		}
	}
	assert.Equal(t, 1, orders)
}

func TestRestartedTargetIsEmpty(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, []string{"m0"}))
	run := one[Grant](t, z.submit(z.request("m0"))).Run
	again := engine("a", nil, []string{"m0"})
	again.Incarnation = 2
	z.SetTargets(z.now, []*inventory.Target{again})
	z.RunEnded(z.now, run, Failed)
	actions := z.submit(z.request("m0"))
	none[Grant](t, actions)
	one[RequestReport](t, actions)
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	leaving := engine("a", []string{"m0"}, nil)
	leaving.Draining = true
	z.SetTargets(z.now, []*inventory.Target{leaving})
	none[Grant](t, z.submit(z.request("m0")))
}

func TestAdoptedRunsCount(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
	z.AdoptRuns(z.now, "n1", []AdoptedRun{{ID: 7, Target: "a", Model: "m0"}, {ID: 8, Target: "a", Model: "m1"}})
	none[SendOrder](t, z.submit(z.request("m5")))
	z.RunEnded(z.now, 8, Completed)
	assert.Equal(t, "m1", one[SendOrder](t, z.Step(z.now)).Order.Model)
	z.RemoveNode(z.now, "n1")
	assert.Zero(t, z.Running())
}

func BenchmarkStepWithManyWaiting(b *testing.B) {
	var targets []*inventory.Target
	for i := range 20 {
		targets = append(targets, engine(fmt.Sprintf("t%02d", i), []string{fmt.Sprint("m", i%4), fmt.Sprint("m", 4+i%4)}, []string{"m0", "m1", "m2", "m3"}))
	}
	z := newZone(nil, targets...)
	for i := range 120 {
		z.Submit(z.now, z.request(fmt.Sprint("m", i%8)))
	}
	b.ReportAllocs()
	for b.Loop() {
		z.Step(z.now)
	}
}

// TestFailedTargetIsTakenAgainWhenItIsTheOnlyOne: a connection that went silent
// says little of the target, and no other one has the model.
func TestFailedTargetIsTakenAgainWhenItIsTheOnlyOne(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	r := z.request("m0")
	r.Exclude = []string{"a"}
	assert.Equal(t, "a", one[Grant](t, z.submit(r)).Target)
	z = newZone(t, engine("a", []string{"m0"}, nil), engine("b", []string{"m0"}, nil))
	for range 4 {
		assert.Equal(t, "b", one[Grant](t, z.submit(r)).Target)
	}
	none[Grant](t, z.submit(r)) // b is full, not gone
	r.LastResort = false
	z = newZone(t, engine("a", []string{"m0"}, nil))
	assert.Equal(t, TryOtherZone, one[Refusal](t, z.submit(r)).Reason, "another zone may have it")
}

// TestFullModelRefusesBeyondWhatItCanServe: more requests wait for a model than
// its replica can begin in time. Those at the end are refused at once.
func TestFullModelRefusesBeyondWhatItCanServe(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil))
	var last []Action
	for range 30 { // 4 places, runs of 2 s, 5 s left: about 10 of the others in time
		last = z.submit(z.request("m0"))
	}
	refusal := one[Refusal](t, last)
	assert.Equal(t, Overloaded, refusal.Reason)
	assert.Zero(t, refusal.Waited)
	assert.GreaterOrEqual(t, refusal.RetryAfter, refusedRetry)
	assert.Greater(t, refusal.Estimate.ExpectedWait, refusal.Estimate.TimeLeft)
	assert.InDelta(t, 14, z.Waiting(), 2)
}

// TestProbeComesInTime: nothing but time makes a load usable, so that NextStepAt has
// to tell of the moment.
// limited returns a zone whose models have a limit of replicas.
func TestIdleReplicasGoWhenIdleTimeHasAPrice(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, []string{"m0"}))
	run := one[Grant](t, z.submit(z.request("m0")))
	z.RunEnded(z.now, run.Run, Completed)
	none[SendOrder](t, z.after(10*time.Minute))
	z.services[svc].Engine.IdleWeight = 0.2
	assert.Equal(t, Unload, one[SendOrder](t, z.after(time.Millisecond)).Order.Operation)
}

// TestIdleWindowFollowsTheGaps: a model that is asked for every five seconds
// stays between two requests.
func TestIdleWindowFollowsTheGaps(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, []string{"m0"}))
	z.services[svc].Engine.IdleWeight = 0.02
	k := modelKey{svc, "m0"}
	for range 20 {
		z.demandOf(k).idleSince = z.now
		z.now = z.now.Add(5 * time.Second)
		z.noteArrival(z.now, k)
	}
	run := one[Grant](t, z.submit(z.request("m0")))
	z.RunEnded(z.now, run.Run, Completed)
	none[SendOrder](t, z.after(5*time.Second))
	assert.Equal(t, Unload, one[SendOrder](t, z.after(30*time.Minute)).Order.Operation)
}
