package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
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
	// crashes are the targets that loads have crashed, in order; served counts the runs
	// by model, refused holds the refusals.
	crashes []string
	served  map[string]int
	refused []Refusal
	models  map[RunID]string
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
	z.crashes = append(z.crashes, id)
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
		t.Logf("renamed %v: %d crashes, served %v, %d refused", renamed, len(z.crashes), z.served, len(z.refused))
		assert.NotEmpty(t, z.crashes)
		assert.LessOrEqual(t, len(z.crashes), maxLoadCrashes, "renamed %v", renamed)
	}
}

// Guards against an adapter whose loads crash their targets being loaded on target after target.
func TestAdapterLoadsThatCrashTheirTargetsAreBounded(t *testing.T) {
	z := newCrashZone(t, 12, "m0/x")
	z.playFor(5*time.Minute, 200*time.Millisecond, "m0/x", "m0")
	t.Logf("%d crashes, served %v, %d refused", len(z.crashes), z.served, len(z.refused))
	require.NotEmpty(t, z.crashes)
	assert.LessOrEqual(t, len(z.crashes), maxLoadCrashes)
}
