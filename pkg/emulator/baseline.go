package emulator

import (
	"cmp"
	"slices"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
)

// Baseline serves requests in order of arrival and unloads the model that has
// been unused for longest. It loads at the first target that is free, wherever
// copies of the weights are, and loads adapters nowhere but on demand.
type Baseline struct {
	engine  *route.Engine
	targets map[string]*baseTarget
	waiting []*baseWaiter
	runs    map[scheduler.RunID]baseRun
	ticket  scheduler.Ticket
	run     scheduler.RunID
	actions []scheduler.Action
}

type baseTarget struct {
	id          string
	incarnation int64
	models      map[string]time.Time // last use
	adapters    map[string]time.Time // MODEL/NAME
	running     map[string]int
	sequence    uint64
	order       *scheduler.Order
	loading     bool
	asked       bool
	askAt       time.Time
	unsure      bool
}

type baseWaiter struct {
	scheduler.Request
	ticket scheduler.Ticket
}

type baseRun struct{ target, model string }

// NewBaseline returns a policy without targets.
func NewBaseline() *Baseline {
	return &Baseline{targets: map[string]*baseTarget{}, runs: map[scheduler.RunID]baseRun{}}
}

// SetServices implements Policy.
func (b *Baseline) SetServices(services map[string]*route.Service) {
	b.engine = services[Service].Engine
}

// SetTargets implements Policy.
func (b *Baseline) SetTargets(_ time.Time, list []*inventory.Target) {
	seen := map[string]bool{}
	for _, info := range list {
		seen[info.ID] = true
		t := b.targets[info.ID]
		if t != nil && t.incarnation == info.Incarnation {
			continue
		}
		t = &baseTarget{id: info.ID, incarnation: info.Incarnation, models: map[string]time.Time{}, adapters: map[string]time.Time{}, running: map[string]int{}}
		for _, m := range info.Models {
			t.models[m.Name] = time.Time{}
		}
		b.targets[info.ID] = t
	}
	for id := range b.targets {
		if !seen[id] {
			delete(b.targets, id)
		}
	}
}

// SetOrderWindow implements Policy.
func (b *Baseline) SetOrderWindow(time.Time, time.Time) {}

// Submit implements Policy.
func (b *Baseline) Submit(_ time.Time, r scheduler.Request) scheduler.Ticket {
	b.ticket++
	b.waiting = append(b.waiting, &baseWaiter{r, b.ticket})
	return b.ticket
}

// RunStarted implements Policy.
func (b *Baseline) RunStarted(time.Time, scheduler.RunID) {}

// RunEnded implements Policy.
func (b *Baseline) RunEnded(now time.Time, id scheduler.RunID, o scheduler.Outcome) {
	r, ok := b.runs[id]
	delete(b.runs, id)
	t := b.targets[r.target]
	if !ok || t == nil {
		return
	}
	t.running[r.model] = max(t.running[r.model]-1, 0)
	if o == scheduler.NotLoaded || o == scheduler.Unreachable {
		t.unsure, t.askAt = true, now.Add(reportAge)
	}
}

// OrderAnswered implements Policy.
func (b *Baseline) OrderAnswered(now time.Time, o scheduler.Order, result scheduler.OrderResult) {
	t := b.targets[o.Target]
	if t == nil || t.order == nil || *t.order != o {
		return
	}
	t.askAt = now.Add(2 * reportAge)
	t.unsure = true
	if result == scheduler.OrderAccepted && o.Adapter == "" {
		t.loading = true
	}
}

// ReportReceived implements Policy.
func (b *Baseline) ReportReceived(now time.Time, id string, r inventory.Report) {
	t := b.targets[id]
	if t == nil {
		return
	}
	t.asked = false
	if r.OrderInProgress || r.Incarnation != t.incarnation {
		t.askAt = now.Add(reportAge)
		return
	}
	t.order, t.loading, t.unsure = nil, false, false
	t.sequence = r.Sequence
	models, adapters := map[string]time.Time{}, map[string]time.Time{}
	for _, m := range r.Models {
		models[m.Name] = t.models[m.Name]
		for _, a := range m.Adapters {
			adapters[m.Name+"/"+a] = t.adapters[m.Name+"/"+a]
		}
	}
	t.models, t.adapters = models, adapters
}

// ReportFailed implements Policy.
func (b *Baseline) ReportFailed(now time.Time, id string) {
	if t := b.targets[id]; t != nil {
		t.asked, t.askAt = false, now.Add(3*reportAge)
	}
}

// Step implements Policy.
func (b *Baseline) Step(now time.Time) []scheduler.Action {
	b.actions = nil
	ids := sortedKeys(b.targets)
	for _, w := range slices.Clone(b.waiting) {
		if !now.Before(w.Deadline) {
			b.drop(w)
			b.actions = append(b.actions, scheduler.Refusal{Ticket: w.ticket, Reason: scheduler.Overloaded})
			continue
		}
		b.serve(now, ids, w)
	}
	for _, id := range ids {
		t := b.targets[id]
		if t.unsure && !t.asked && !now.Before(t.askAt) {
			t.asked = true
			b.actions = append(b.actions, scheduler.RequestReport{Target: id})
		}
	}
	return b.actions
}

func (b *Baseline) drop(w *baseWaiter) {
	b.waiting = slices.DeleteFunc(b.waiting, func(x *baseWaiter) bool { return x == w })
}

func (t *baseTarget) runs() int {
	n := 0
	for _, c := range t.running {
		n += c
	}
	return n
}

// serve grants the request, or begins what it lacks.
func (b *Baseline) serve(now time.Time, ids []string, w *baseWaiter) {
	key := w.Model + "/" + w.Adapter
	coming := false
	var free *baseTarget
	for _, id := range ids {
		t := b.targets[id]
		_, loaded := t.models[w.Model]
		_, adapted := t.adapters[key]
		switch {
		case t.order != nil && t.order.Model == w.Model:
			coming = true
		case t.unsure:
		case loaded && (w.Adapter == "" || adapted) && t.runs() < b.engine.Slots:
			b.grant(now, t, w)
			return
		case loaded && w.Adapter != "" && !adapted && t.order == nil:
			b.adapter(t, w)
			return
		case !loaded && t.order == nil && free == nil && b.hasVictim(t, w.Model):
			free = t
		}
	}
	if !coming && free != nil {
		b.load(free, w.Model)
	}
}

func (b *Baseline) grant(now time.Time, t *baseTarget, w *baseWaiter) {
	b.run++
	b.runs[b.run] = baseRun{t.id, w.Model}
	t.running[w.Model]++
	t.models[w.Model] = now
	if w.Adapter != "" {
		t.adapters[w.Model+"/"+w.Adapter] = now
	}
	b.drop(w)
	b.actions = append(b.actions, scheduler.Grant{Ticket: w.ticket, Run: b.run, Target: t.id})
}

// adapter loads an adapter, or unloads the oldest to make room.
func (b *Baseline) adapter(t *baseTarget, w *baseWaiter) {
	if len(t.adapters) < b.engine.AdapterSlots-1 {
		b.send(t, scheduler.Order{Operation: scheduler.Load, Model: w.Model, Adapter: w.Adapter})
		return
	}
	names := sortedKeys(t.adapters)
	oldest := slices.MinFunc(names, func(a, c string) int { return t.adapters[a].Compare(t.adapters[c]) })
	i := slices.Index([]byte(oldest), '/')
	b.send(t, scheduler.Order{Operation: scheduler.Unload, Model: oldest[:i], Adapter: oldest[i+1:]})
}

func (b *Baseline) used(t *baseTarget) float64 {
	mb := 0.0
	for m := range t.models {
		mb += b.engine.Models[m].WeightsMB
	}
	for a := range t.adapters {
		i := slices.Index([]byte(a), '/')
		mb += b.engine.Models[a[:i]].AdapterMB
	}
	return mb
}

func (b *Baseline) victim(t *baseTarget) string {
	idle := slices.DeleteFunc(sortedKeys(t.models), func(m string) bool { return t.running[m] > 0 })
	if len(idle) == 0 {
		return ""
	}
	return slices.MinFunc(idle, func(a, c string) int { return cmp.Or(t.models[a].Compare(t.models[c]), cmp.Compare(a, c)) })
}

func (b *Baseline) hasVictim(t *baseTarget, model string) bool {
	return b.used(t)+b.engine.Models[model].WeightsMB <= b.engine.WeightsMB || b.victim(t) != ""
}

func (b *Baseline) load(t *baseTarget, model string) {
	if b.used(t)+b.engine.Models[model].WeightsMB <= b.engine.WeightsMB {
		b.send(t, scheduler.Order{Operation: scheduler.Load, Model: model})
		return
	}
	b.send(t, scheduler.Order{Operation: scheduler.Unload, Model: b.victim(t)})
}

func (b *Baseline) send(t *baseTarget, o scheduler.Order) {
	o.Target, o.Sequence = t.id, t.sequence
	t.order = &o
	b.actions = append(b.actions, scheduler.SendOrder{Order: o})
}
