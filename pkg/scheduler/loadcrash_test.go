package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/quarantine"
)

// Times of a crashZone.
const (
	crashTick = 20 * time.Millisecond
	// crashDelay is the time from the acceptance of a load until its target crashes.
	crashDelay = 200 * time.Millisecond
	// downTime is the time from a crash until the list shows the restart.
	downTime = 3500 * time.Millisecond
	runTime  = 100 * time.Millisecond
)

// crashZone is a zone of targets with m0 loaded, and m5 and m6 on disk. Loads of the
// models and adapters in deadly crash their targets, which come back empty.
type crashZone struct {
	*testZone
	deadly map[string]bool
	// renamed is true if targets come back under another identifier.
	renamed bool
	down    map[string]bool
	loaded  map[string][]inventory.LoadedModel
	// crashes are the times at which loads have crashed targets; served counts the runs
	// by model and adapter, refused holds the refusals.
	crashes []time.Duration
	served  map[string]int
	refused []Refusal
	pending []pendingEvent
}

// pendingEvent is a callback that is due at a time.
type pendingEvent struct {
	at time.Time
	do func()
}

// newCrashZone returns a zone with a number of targets.
func newCrashZone(t *testing.T, targets int, deadly ...string) *crashZone {
	var list []*inventory.Target
	for i := range targets {
		list = append(list, newTestTarget(fmt.Sprintf("t%02d", i), []string{"m0"}, []string{"m5", "m6"}))
	}
	z := &crashZone{testZone: newTestZone(t, list...), deadly: map[string]bool{}, down: map[string]bool{}, loaded: map[string][]inventory.LoadedModel{}, served: map[string]int{}}
	for _, target := range list {
		z.loaded[target.ID] = target.Models
	}
	for _, name := range deadly {
		z.deadly[name] = true
	}
	z.SetOrderWindow(testStart, testStart.Add(48*time.Hour))
	return z
}

// after calls do when a time has passed.
func (z *crashZone) after(d time.Duration, do func()) {
	z.pending = append(z.pending, pendingEvent{z.now.Add(d), do})
}

// playFor submits a request for each of the models and adapters every interval, for a
// time, and plays the targets.
func (z *crashZone) playFor(d, interval time.Duration, names ...string) {
	for end, next := z.now.Add(d), z.now; z.now.Before(end); z.now = z.now.Add(crashTick) {
		due := z.pending
		z.pending = nil
		for _, e := range due {
			if e.at.After(z.now) {
				z.pending = append(z.pending, e)
				continue
			}
			e.do()
		}
		for ; !next.After(z.now); next = next.Add(interval) {
			for _, name := range names {
				z.Submit(z.now, z.requestFor(name))
			}
		}
		for _, a := range z.Step(z.now) {
			z.carryOut(a)
		}
	}
}

// requestFor returns a request for a model, or for an adapter named MODEL/ADAPTER.
func (z *crashZone) requestFor(name string) Request {
	model, adapter := name, ""
	if i := slices.Index([]byte(name), '/'); i >= 0 {
		model, adapter = name[:i], name[i+1:]
	}
	r := z.request(model)
	r.Adapter = adapter
	return r
}

// carryOut plays the targets' part of an action.
func (z *crashZone) carryOut(a Action) {
	switch a := a.(type) {
	case Grant:
		r := z.runs[a.Run]
		if z.down[a.Target] {
			z.after(crashTick, func() { z.RunEnded(z.now, a.Run, Unreachable) })
			return
		}
		if !z.hasLoaded(a.Target, r.model, r.adapter) {
			z.after(crashTick, func() { z.RunEnded(z.now, a.Run, NotLoaded) })
			return
		}
		name := r.model + r.adapter
		z.RunStarted(z.now, a.Run)
		z.after(runTime, func() {
			z.served[name]++
			z.RunEnded(z.now, a.Run, Completed)
		})
	case Refusal:
		z.refused = append(z.refused, a)
	case SendOrder:
		z.receiveOrder(a.Order)
	case RequestReport:
		z.after(crashTick, func() { z.report(a.Target) })
	}
}

// hasLoaded reports whether a target has loaded a model, and the adapter unless it is empty.
func (z *crashZone) hasLoaded(target, model, adapter string) bool {
	return slices.ContainsFunc(z.loaded[target], func(m inventory.LoadedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}

// receiveOrder carries out an order at its target.
func (z *crashZone) receiveOrder(o Order) {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	switch {
	case z.down[o.Target]:
		z.OrderResultReceived(z.now, o, OrderRejected)
	case o.Operation == Unload:
		z.loaded[o.Target] = slices.DeleteFunc(slices.Clone(z.loaded[o.Target]), func(m inventory.LoadedModel) bool { return m.Name == o.Model })
		z.OrderResultReceived(z.now, o, OrderAccepted)
	case z.deadly[name] && o.Adapter != "":
		z.OrderResultReceived(z.now, o, OrderAccepted)
		z.crash(o.Target)
	case z.deadly[name]:
		z.OrderResultReceived(z.now, o, OrderAccepted)
		z.after(crashDelay, func() { z.crash(o.Target) })
	case o.Adapter != "":
		z.addLoaded(o)
		z.OrderResultReceived(z.now, o, OrderAccepted)
	default:
		z.OrderResultReceived(z.now, o, OrderAccepted)
		z.after(800*time.Millisecond, func() { z.addLoaded(o) })
	}
}

// addLoaded adds what an order loads to the models of its target.
func (z *crashZone) addLoaded(o Order) {
	if z.down[o.Target] {
		return
	}
	models := slices.Clone(z.loaded[o.Target])
	if o.Adapter == "" {
		z.loaded[o.Target] = append(models, inventory.LoadedModel{Name: o.Model})
		return
	}
	for i, m := range models {
		if m.Name == o.Model {
			models[i].Adapters = append(slices.Clone(m.Adapters), o.Adapter)
		}
	}
	z.loaded[o.Target] = models
}

// report answers the request for a target's report. It lists no order in progress, since
// reports that do are only asked for again.
func (z *crashZone) report(id string) {
	t := z.Scheduler.targets[id]
	if t == nil || z.down[id] {
		z.ReportFailed(z.now, id)
		return
	}
	busy := t.phase == modelLoading && !z.hasLoaded(id, t.order.Model, "")
	z.ReportReceived(z.now, id, inventory.Report{Incarnation: t.info.Incarnation, Models: z.loaded[id], Sequence: t.sequence, OrderInProgress: busy, OnDisk: []string{"m5", "m6"}})
}

// crash ends the runs of a target, which comes back without models.
func (z *crashZone) crash(id string) {
	if z.down[id] {
		return
	}
	z.crashes = append(z.crashes, z.now.Sub(testStart))
	z.fail(id)
}

// fail is crash for another reason than a load.
func (z *crashZone) fail(id string) {
	z.down[id] = true
	z.loaded[id] = nil
	for _, run := range sortedRuns(z.Scheduler, id) {
		z.RunEnded(z.now, run, Failed)
	}
	z.after(downTime, func() { z.restart(id) })
}

// sortedRuns returns the runs at a target in order.
func sortedRuns(s *Scheduler, target string) []RunID {
	var out []RunID
	for id, r := range s.runs {
		if r.target == target {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// restart lists a target that has come back.
func (z *crashZone) restart(id string) {
	delete(z.down, id)
	list := slices.Clone(z.targets)
	for i, t := range list {
		if t.ID != id {
			continue
		}
		c := *t
		c.Incarnation++
		c.Models = nil
		if z.renamed {
			c.ID = fmt.Sprintf("%s-%d", id[:3], c.Incarnation)
		}
		list[i] = &c
	}
	z.targets = list
	z.SetTargets(z.now, list)
}

// maxLoadCrashes is the number of targets that the loads of one model or adapter may crash
// within five minutes: as with requests, three, and three more.
const maxLoadCrashes = 6

// Guards against a model whose loads crash their targets being loaded on target after target.
func TestLoadsThatCrashTheirTargetsAreBounded(t *testing.T) {
	for _, renamed := range []bool{false, true} {
		z := newCrashZone(t, 12, "m5")
		z.renamed = renamed
		z.playFor(5*time.Minute, 200*time.Millisecond, "m5", "m0")
		t.Logf("renamed %v: crashes at %v, served %v, %d refused", renamed, z.crashes, z.served, len(z.refused))
		assert.NotEmpty(t, z.crashes)
		assert.LessOrEqual(t, len(z.crashes), maxLoadCrashes, "renamed %v", renamed)
	}
}

// Guards against an adapter whose loads crash their targets being loaded on target after target.
func TestAdapterLoadsThatCrashTheirTargetsAreBounded(t *testing.T) {
	z := newCrashZone(t, 12, "m0/x")
	z.playFor(5*time.Minute, 200*time.Millisecond, "m0/x", "m0")
	t.Logf("crashes at %v, served %v, %d refused", z.crashes, z.served, len(z.refused))
	require.NotEmpty(t, z.crashes)
	assert.LessOrEqual(t, len(z.crashes), maxLoadCrashes)
}

// Guards against a model that is held for good: once its loads succeed, one trial frees it.
func TestModelWhoseLoadsAreMendedIsLoadedAgain(t *testing.T) {
	z := newCrashZone(t, 12, "m5")
	z.playFor(20*time.Second, 200*time.Millisecond, "m5")
	require.Zero(t, z.served["m5"])
	crashes := len(z.crashes)
	delete(z.deadly, "m5")
	z.playFor(5*time.Minute, 200*time.Millisecond, "m5")
	assert.Len(t, z.crashes, crashes)
	assert.Greater(t, z.served["m5"], 1000)
	assert.Zero(t, z.loadHold(z.now, queueKey{testService, "m5", ""}))
}

// Guards against a hold that keeps other models from being loaded.
func TestOtherModelsAreLoadedWhileOneIsHeld(t *testing.T) {
	z := newCrashZone(t, 12, "m5")
	z.playFor(15*time.Second, 200*time.Millisecond, "m5")
	crashes := len(z.crashes)
	z.playFor(10*time.Second, 200*time.Millisecond, "m5", "m6")
	assert.Len(t, z.crashes, crashes, "held")
	assert.Greater(t, z.served["m6"], 40)
}

// Guards against requests for other models being referred to another zone during a hold.
func TestRequestForAnotherModelStaysDuringAHold(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	z.crashTwice("m5")
	z.Step(z.now)
	r := z.request("m6")
	r.OtherZonesRefused = false
	actions := z.submitAndStep(r)
	assertNone[Refusal](t, actions)
	assert.Equal(t, "m6", only[SendOrder](t, actions).Order.Model)
}

// deadlyLoad submits a request, and crashes the target of the load that it causes: its runs
// fail, and it is down for suspectTime. It returns the order.
func (z *testZone) deadlyLoad(model string) Order {
	o := only[SendOrder](z.t, z.submitAndStep(z.request(model))).Order
	z.OrderResultReceived(z.now, o, OrderAccepted)
	z.Scheduler.targets[o.Target].suspectUntil = z.now.Add(suspectTime)
	return o
}

// restartEmpty lists the targets again, those with the identifiers under the next incarnation and
// without models, and reports their state.
func (z *testZone) restartEmpty(ids ...string) {
	list := slices.Clone(z.targets)
	for i, t := range list {
		if slices.Contains(ids, t.ID) {
			c := *t
			c.Incarnation++
			c.Models = nil
			list[i] = &c
		}
	}
	z.targets = list
	z.SetTargets(z.now, list)
	for _, t := range list {
		if slices.Contains(ids, t.ID) {
			z.ReportReceived(z.now, t.ID, inventory.Report{Incarnation: t.Incarnation, OnDisk: t.OnDisk})
		}
	}
}

// newEmptyZone returns a zone of targets without models, with m5 and m6 on disk.
func newEmptyZone(t *testing.T, ids ...string) *testZone {
	var list []*inventory.Target
	for _, id := range ids {
		list = append(list, newTestTarget(id, nil, []string{"m5", "m6"}))
	}
	return newTestZone(t, list...)
}

// crashTwice crashes two targets by loads of a model, more than a round of crashes apart.
func (z *testZone) crashTwice(model string) {
	for range 2 {
		o := z.deadlyLoad(model)
		z.now = z.now.Add(2 * time.Second)
		z.restartEmpty(o.Target)
	}
}

// Guards against a model being held for one crash, which may have any cause.
func TestOneCrashDuringALoadDoesNotHoldTheModel(t *testing.T) {
	z := newEmptyZone(t, "a", "b")
	o := z.deadlyLoad("m5")
	next := only[SendOrder](t, z.Step(z.now)).Order
	assert.Equal(t, "m5", next.Model)
	assert.NotEqual(t, o.Target, next.Target)
	z.restartEmpty(o.Target)
	z.Step(z.now)
	assert.Zero(t, z.loadHold(z.now, queueKey{testService, "m5", ""}))
}

// Guards against one crash that counts twice: the next incarnation of the target may still
// accept the order, and is down or restarts again before a report shows that it has not.
func TestOrderOfAFormerIncarnationIsNoSecondCrash(t *testing.T) {
	z := newEmptyZone(t, "a", "b")
	o := z.deadlyLoad("m5")
	list := slices.Clone(z.targets)
	for incarnation := range int64(2) {
		for i, target := range list {
			if target.ID == o.Target {
				c := *target
				c.Incarnation = incarnation + 1
				list[i] = &c
			}
		}
		z.SetTargets(z.now, list)
		z.Scheduler.targets[o.Target].suspectUntil = z.now.Add(suspectTime)
		z.countLostLoads(z.now)
		assert.Empty(t, z.lostLoads)
		crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m5", ""})[0])
		assert.Equal(t, 1, crashes)
		z.now = z.now.Add(2 * time.Second)
	}
}

// Guards against a third load while the list does not show yet that two targets have crashed.
func TestNoThirdLoadWhileTwoTargetsAreDown(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	z.deadlyLoad("m5")
	second := only[SendOrder](t, z.Step(z.now)).Order
	z.OrderResultReceived(z.now, second, OrderAccepted)
	z.Scheduler.targets[second.Target].suspectUntil = z.now.Add(suspectTime)
	assertNone[SendOrder](t, z.Step(z.now))
	z.Submit(z.now, z.request("m6"))
	assert.Equal(t, "m6", only[SendOrder](t, z.Step(z.now)).Order.Model)
}

// Guards against a load, where the crash of one target is known, while another is down.
func TestTargetsThatAreDownCountBesideKnownCrashes(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	first := z.deadlyLoad("m5")
	z.restartEmpty(first.Target)
	second := only[SendOrder](t, z.Step(z.now)).Order
	z.OrderResultReceived(z.now, second, OrderAccepted)
	z.now = z.now.Add(1500 * time.Millisecond)
	z.Scheduler.targets[second.Target].suspectUntil = z.now.Add(suspectTime)
	assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
}

// Guards against requests that wait for their deadline, or come back at once, while loads of
// their model are held, and against their being refused while another zone may have it.
func TestRequestForAHeldModelIsRefusedAtOnce(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	z.crashTwice("m5")
	z.Step(z.now)
	r := z.request("m5")
	r.OtherZonesRefused = false
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(r)).Reason)
	actions := z.submitAndStep(z.request("m5"))
	assertNone[SendOrder](t, actions)
	refusal := only[Refusal](t, actions)
	assert.Equal(t, Overloaded, refusal.Reason)
	assert.Equal(t, 2, refusal.Estimate.LoadCrashes, "for the log")
	assert.Greater(t, refusal.RetryAfter, 30*time.Second-suspectTime)
	z.now = z.now.Add(refusal.RetryAfter - time.Second)
	assertNone[SendOrder](t, z.submitAndStep(z.request("m5")))
	assert.Equal(t, "m5", only[SendOrder](t, z.stepAfter(time.Second)).Order.Model, "the request in the last second is the trial")
}

// Guards against crashes that stand against a model for longer than until a load succeeds,
// whatever shows the success.
func TestLoadThatSucceedsClearsTheCrashes(t *testing.T) {
	for name, show := range map[string]func(*testZone, Order){
		"a report": func(z *testZone, o Order) {
			z.OrderResultReceived(z.now, o, OrderAccepted)
			z.now = z.now.Add(time.Second)
			z.ReportReceived(z.now, o.Target, inventory.Report{Incarnation: z.Scheduler.targets[o.Target].info.Incarnation, Models: []inventory.LoadedModel{{Name: "m5"}}, Sequence: 1, OnDisk: []string{"m5"}})
		},
		"a probe": func(z *testZone, o Order) {
			z.OrderResultReceived(z.now, o, OrderAccepted)
			z.RunStarted(z.now, only[Grant](z.t, z.stepAfter(time.Second)).Run)
		},
		"the response": func(z *testZone, o Order) { z.OrderResultReceived(z.now, o, OrderDone) },
	} {
		t.Run(name, func(t *testing.T) {
			z := newEmptyZone(t, "a", "b")
			first := z.deadlyLoad("m5")
			z.restartEmpty(first.Target)
			second := only[SendOrder](t, z.stepAfter(2*time.Second)).Order
			show(z, second)
			crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m5", ""})[0])
			assert.Zero(t, crashes)
		})
	}
}

// Guards against a crash that becomes known after a later load has succeeded.
func TestLaterLoadDisprovesACrashThatBecomesKnownAfterIt(t *testing.T) {
	z := newEmptyZone(t, "a", "b")
	first := z.deadlyLoad("m5")
	second := only[SendOrder](t, z.stepAfter(time.Second)).Order
	z.OrderResultReceived(z.now, second, OrderAccepted)
	z.Scheduler.targets[first.Target].suspectUntil = z.now.Add(2 * suspectTime)
	probe := only[Grant](t, z.stepAfter(time.Second))
	require.Equal(t, second.Target, probe.Target)
	z.RunStarted(z.now, probe.Run)
	z.restartEmpty(first.Target)
	crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m5", ""})[0])
	assert.Zero(t, crashes)
}

// Guards against a model that many requests use being held for two crashes of other causes.
func TestModelThatHasLoadedBeforeIsHeldAfterThreeCrashes(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	z.loadSucceeded(queueKey{testService, "m5", ""}, z.now.Add(-time.Second))
	z.crashTwice("m5")
	third := only[SendOrder](t, z.Step(z.now)).Order
	assert.Zero(t, z.loadHold(z.now, queueKey{testService, "m5", ""}))
	z.OrderResultReceived(z.now, third, OrderAccepted)
	z.now = z.now.Add(2 * time.Second)
	z.restartEmpty(third.Target)
	assert.Greater(t, z.loadHold(z.now, queueKey{testService, "m5", ""}), 30*time.Second)
}

// Guards against a success long ago that disproves all later crashes: the model may have a
// new version.
func TestEarlierLoadDisprovesNoCrash(t *testing.T) {
	z := newEmptyZone(t, "a")
	z.loadSucceeded(queueKey{testService, "m5", ""}, z.now.Add(-time.Second))
	z.restartEmpty(z.deadlyLoad("m5").Target)
	crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m5", ""})[0])
	assert.Equal(t, 1, crashes)
}

// Guards against a model being held because targets were emptied and taken away during loads.
func TestTargetThatLeavesDuringALoadIsNoCrash(t *testing.T) {
	for _, draining := range []bool{true, false} {
		z := newEmptyZone(t, "a", "b")
		o := z.deadlyLoad("m5")
		c := *z.Scheduler.targets[o.Target].info
		c.Draining = draining
		rest := slices.DeleteFunc(slices.Clone(z.targets), func(t *inventory.Target) bool { return t.ID == o.Target })
		z.SetTargets(z.now, append(slices.Clone(rest), &c))
		z.Step(z.now)
		assert.Equal(t, !draining, z.lostLoads[queueKey{testService, "m5", ""}] > 0)
		z.SetTargets(z.now, rest)
		crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m5", ""})[0])
		assert.Equal(t, !draining, crashes > 0)
	}
}

// Guards against a plan that was made before the hold, and waits for an unload, loading the
// model in it.
func TestPlanFromBeforeAHoldIsCanceled(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m5"}), newTestTarget("b", nil, []string{"m5"}), newTestTarget("c", []string{"m0", "m1"}, []string{"m5"}))
	first := z.deadlyLoad("m5")
	second := only[SendOrder](t, z.Step(z.now)).Order
	z.OrderResultReceived(z.now, second, OrderAccepted)
	z.Scheduler.targets["c"].plan = &loadPlan{model: "m5", victims: []string{"m0"}}
	z.Scheduler.targets["c"].replicas["m0"].closing = true
	z.restartEmpty(first.Target)
	z.now = z.now.Add(1500 * time.Millisecond)
	z.restartEmpty(second.Target)
	assertNone[SendOrder](t, z.Step(z.now)) // neither the unload nor the load
	assert.Nil(t, z.Scheduler.targets["c"].plan)
	assert.False(t, z.Scheduler.targets["c"].replicas["m0"].closing)
}

// Guards against requests being refused that a replica can serve, while loads of further ones
// are held.
func TestReplicaServesWhileFurtherLoadsAreHeld(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m5"}, nil), newTestTarget("b", nil, []string{"m5"}))
	for i := range modelLoadCrashes {
		z.now = z.now.Add(2 * time.Second)
		z.loadCrashes.RunCrashed(z.now, quarantine.Crash{Target: fmt.Sprint(i)}, "m5", loadPart(queueKey{testService, "m5", ""}))
	}
	require.Positive(t, z.loadHold(z.now, queueKey{testService, "m5", ""}))
	for range 4 {
		assert.Equal(t, "a", only[Grant](t, z.submitAndStep(z.request("m5"))).Target)
	}
	assert.Empty(t, z.submitAndStep(z.request("m5")), "waits for a slot")
}

// Guards against requests being refused that a load in progress, or an adapter whose target
// has no free slot, will serve.
func TestRequestWaitsForWhatIsLoadedOrLoadingDuringAHold(t *testing.T) {
	for _, k := range []queueKey{{testService, "m5", ""}, {testService, "m0", "x"}} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, []string{"m5"}))
		r := z.request(k.model)
		r.Adapter = k.adapter
		o := only[SendOrder](t, z.submitAndStep(r)).Order
		z.OrderResultReceived(z.now, o, OrderAccepted)
		for range 3 {
			z.submitAndStep(z.request("m0"))
		}
		z.now = z.now.Add(20 * time.Millisecond)
		for range 5 {
			z.loadCrashes.RunCrashed(z.now, quarantine.Crash{Target: fmt.Sprint(z.now)}, "", loadPart(k))
			z.now = z.now.Add(2 * time.Second)
		}
		require.Greater(t, z.loadHold(z.now, k), 10*time.Minute)
		z.Scheduler.targets["a"].orderSince = z.now // the load goes on
		r.Deadline, r.ObjectiveAt = z.now.Add(5*time.Second), z.now.Add(time.Second)
		z.Scheduler.targets["a"].busyUntil = z.now.Add(time.Second) // no slot is granted
		z.Submit(z.now, r)
		for _, a := range z.Step(z.now) {
			if refusal, ok := a.(Refusal); ok {
				assert.Less(t, refusal.RetryAfter, time.Minute, "%v: %+v", k, refusal)
			}
		}
		assert.Contains(t, z.queues, k)
	}
}

// Guards against a model being held because targets crashed while they unloaded it.
func TestCrashDuringAnUnloadIsNoEvidence(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	require.Equal(t, Unload, o.Operation)
	z.restartEmpty("a")
	assert.Zero(t, z.loadCrashes.Suspects())
}

// Guards against an adapter being blamed for a crash after a run or a report has shown that
// its load succeeded, and against its being blamed for none.
func TestAdapterThatHasServedIsNotBlamedForALaterCrash(t *testing.T) {
	report := func(z *testZone, name string, sequence uint64) {
		z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m0", Adapters: []string{name}}}, Sequence: sequence})
	}
	for name, c := range map[string]struct {
		show  func(*testZone)
		crash int
	}{
		"nothing":         {func(*testZone) {}, 1},
		"a run":           {func(z *testZone) { z.RunStarted(z.now, only[Grant](z.t, z.stepAfter(adapterLoadTime)).Run) }, 0},
		"a report":        {func(z *testZone) { report(z, "x", 1) }, 0},
		"an older report": {func(z *testZone) { report(z, "x", 0) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
			r := z.request("m0")
			r.Adapter = "x"
			o := only[SendOrder](t, z.submitAndStep(r)).Order
			z.OrderResultReceived(z.now, o, OrderAccepted)
			c.show(z)
			z.Scheduler.targets["a"].suspectUntil = z.now.Add(suspectTime)
			z.countLostLoads(z.now)
			assert.Equal(t, c.crash, z.lostLoads[queueKey{testService, "m0", "x"}])
			z.restartEmpty("a")
			crashes, _ := z.loadCrashes.Evidence(loadPart(queueKey{testService, "m0", "x"})[0])
			assert.Equal(t, c.crash, crashes)
		})
	}
}

// Guards against the requests of an adapter waiting for a load that is held, and against
// those for its base model being refused with them.
func TestRequestForAHeldAdapterIsRefusedAtOnce(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	part := loadPart(queueKey{testService, "m0", "x"})
	for i := range adapterLoadCrashes {
		z.now = z.now.Add(2 * time.Second)
		z.loadCrashes.RunCrashed(z.now, quarantine.Crash{Target: fmt.Sprint(i)}, "x", part)
	}
	r := z.request("m0")
	r.Adapter = "x"
	actions := z.submitAndStep(r)
	assertNone[SendOrder](t, actions)
	assert.GreaterOrEqual(t, only[Refusal](t, actions).RetryAfter, 2*time.Minute)
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(z.request("m0"))).Target)
}

// Guards against an adapter being held by two crashes, which its first run may have caused.
func TestTwoCrashesDoNotHoldAnAdapter(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	part := loadPart(queueKey{testService, "m0", "x"})
	for i := range adapterLoadCrashes - 1 {
		z.now = z.now.Add(2 * time.Second)
		z.loadCrashes.RunCrashed(z.now, quarantine.Crash{Target: fmt.Sprint(i)}, "x", part)
	}
	assert.Zero(t, z.loadHold(z.now, queueKey{testService, "m0", "x"}))
}

// Guards against all zones trying a load at the same time at the end of their holds.
func TestHoldsOfZonesDiffer(t *testing.T) {
	holds := map[time.Duration]bool{}
	for _, zone := range []fleet.Zone{"a", "b", "c"} {
		z := newEmptyZone(t, "a", "b")
		z.SetZones(zone, []fleet.Zone{"a", "b", "c"})
		z.crashTwice("m5")
		holds[z.loadHold(z.now, queueKey{testService, "m5", ""})] = true
	}
	assert.Len(t, holds, 3)
}

// Guards against a request being held for a replica elsewhere whose load is held itself.
func TestRequestInAPauseDoesNotWaitForAHeldLoad(t *testing.T) {
	z := newEmptyZone(t, "a", "b", "c")
	z.crashTwice("m5")
	_, ok := z.replicaElsewhereIn(z.now, modelKey{testService, "m6"})
	require.True(t, ok)
	_, ok = z.replicaElsewhereIn(z.now, modelKey{testService, "m5"})
	assert.False(t, ok)
}
