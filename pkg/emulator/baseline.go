package emulator

import (
	"cmp"
	"slices"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
)

// Baseline is a simple Policy to compare the scheduler with. It serves requests
// in order of arrival and unloads the least recently used model. It loads a
// model at the first target that has no order in progress, without regard to
// where copies of the weights are, and loads adapters only on demand.
type Baseline struct {
	engine     *route.Engine
	targets    map[string]*baselineTarget
	waiting    []*waitingRequest
	runs       map[scheduler.RunID]baselineRun
	lastTicket scheduler.Ticket
	lastRun    scheduler.RunID
	actions    []scheduler.Action // of the current step
}

// baselineTarget is what Baseline knows of a target.
type baselineTarget struct {
	id                 string
	incarnation        int64
	models             map[string]time.Time // last use of each loaded model
	adapters           map[string]time.Time // last use of each loaded adapter, by MODEL/NAME
	runsByModel        map[string]int
	sequence           uint64           // as in the last report
	activeOrder        *scheduler.Order // nil once a report shows no order in progress
	modelOrderAccepted bool             // the target accepted the load or unload of a model; not read
	reportRequested    bool             // a report request is in progress
	reportDueAt        time.Time        // earliest time of the next report request
	unconfirmed        bool             // the state may have changed since the last report
}

// waitingRequest is a request that was neither granted nor refused.
type waitingRequest struct {
	scheduler.Request
	ticket scheduler.Ticket
}

// baselineRun names the target and the model of a run.
type baselineRun struct{ target, model string }

// NewBaseline returns a Baseline without services and targets.
func NewBaseline() *Baseline {
	return &Baseline{targets: map[string]*baselineTarget{}, runs: map[scheduler.RunID]baselineRun{}}
}

// SetServices implements Policy.
func (b *Baseline) SetServices(services map[string]*route.Service) {
	b.engine = services[Service].Engine
}

// SetTargets implements Policy. A target with a new incarnation starts with the
// models of the list and no runs.
func (b *Baseline) SetTargets(_ time.Time, list []*inventory.Target) {
	seen := map[string]bool{}
	for _, info := range list {
		seen[info.ID] = true
		t := b.targets[info.ID]
		if t != nil && t.incarnation == info.Incarnation {
			continue
		}
		t = &baselineTarget{id: info.ID, incarnation: info.Incarnation, models: map[string]time.Time{}, adapters: map[string]time.Time{}, runsByModel: map[string]int{}}
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

// SetOrderWindow implements Policy. Baseline ignores the window, because the
// emulator always leaves it open.
func (b *Baseline) SetOrderWindow(time.Time, time.Time) {}

// Submit implements Policy.
func (b *Baseline) Submit(_ time.Time, r scheduler.Request) scheduler.Ticket {
	b.lastTicket++
	b.waiting = append(b.waiting, &waitingRequest{r, b.lastTicket})
	return b.lastTicket
}

// RunStarted implements Policy. Baseline does nothing on it.
func (b *Baseline) RunStarted(time.Time, scheduler.RunID) {}

// RunEnded implements Policy. If the target was unreachable or lacked the model
// or the adapter, it gets no requests until its next report, which is requested
// after reportAge.
func (b *Baseline) RunEnded(now time.Time, id scheduler.RunID, o scheduler.Outcome) {
	r, ok := b.runs[id]
	delete(b.runs, id)
	t := b.targets[r.target]
	if !ok || t == nil {
		return
	}
	t.runsByModel[r.model] = max(t.runsByModel[r.model]-1, 0)
	if o == scheduler.NotLoaded || o == scheduler.Unreachable {
		t.unconfirmed, t.reportDueAt = true, now.Add(reportAge)
	}
}

// OrderResultReceived implements Policy. Whatever the result, the target gets no
// requests and no orders until a report shows the effect of the order. The report is
// requested two report ages later, because its data is at least reportAge old.
func (b *Baseline) OrderResultReceived(now time.Time, o scheduler.Order, result scheduler.OrderResult) {
	t := b.targets[o.Target]
	if t == nil || t.activeOrder == nil || *t.activeOrder != o {
		return
	}
	t.reportDueAt = now.Add(2 * reportAge)
	t.unconfirmed = true
	if result == scheduler.OrderAccepted && o.Adapter == "" {
		t.modelOrderAccepted = true
	}
}

// ReportReceived implements Policy. A report from another incarnation, or with an
// order in progress, is not used; another one is requested after reportAge.
func (b *Baseline) ReportReceived(now time.Time, id string, r inventory.Report) {
	t := b.targets[id]
	if t == nil {
		return
	}
	t.reportRequested = false
	if r.OrderInProgress || r.Incarnation != t.incarnation {
		t.reportDueAt = now.Add(reportAge)
		return
	}
	t.activeOrder, t.modelOrderAccepted, t.unconfirmed = nil, false, false
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

// ReportFailed implements Policy. The next report is requested after three report
// ages.
func (b *Baseline) ReportFailed(now time.Time, id string) {
	if t := b.targets[id]; t != nil {
		t.reportRequested, t.reportDueAt = false, now.Add(3*reportAge)
	}
}

// Step implements Policy. It refuses requests whose deadline has passed, serves
// the other ones in order of arrival, and requests the reports that are due.
func (b *Baseline) Step(now time.Time) []scheduler.Action {
	b.actions = nil
	ids := sortedKeys(b.targets)
	for _, w := range slices.Clone(b.waiting) {
		if !now.Before(w.Deadline) {
			b.removeWaiting(w)
			b.actions = append(b.actions, scheduler.Refusal{Ticket: w.ticket, Reason: scheduler.Overloaded})
			continue
		}
		b.serve(now, ids, w)
	}
	for _, id := range ids {
		t := b.targets[id]
		if t.unconfirmed && !t.reportRequested && !now.Before(t.reportDueAt) {
			t.reportRequested = true
			b.actions = append(b.actions, scheduler.RequestReport{Target: id})
		}
	}
	return b.actions
}

// removeWaiting removes a request that was granted or refused.
func (b *Baseline) removeWaiting(w *waitingRequest) {
	b.waiting = slices.DeleteFunc(b.waiting, func(x *waitingRequest) bool { return x == w })
}

// runCount returns the number of runs at the target.
func (t *baselineTarget) runCount() int {
	n := 0
	for _, c := range t.runsByModel {
		n += c
	}
	return n
}

// serve grants the request if a target is ready for it. Otherwise it sends the
// next order that the request needs: to load its adapter, to load its model, or
// to unload another one first. It sends none while an order for the same model
// is in progress. ids are the targets' identifiers in order.
func (b *Baseline) serve(now time.Time, ids []string, w *waitingRequest) {
	adapterKey := w.Model + "/" + w.Adapter
	orderInProgress := false
	var loadCandidate *baselineTarget
	for _, id := range ids {
		t := b.targets[id]
		_, loaded := t.models[w.Model]
		_, adapterLoaded := t.adapters[adapterKey]
		switch {
		case t.activeOrder != nil && t.activeOrder.Model == w.Model:
			orderInProgress = true
		case t.unconfirmed: // skipped until its next report
		case loaded && (w.Adapter == "" || adapterLoaded) && t.runCount() < b.engine.Slots:
			b.grant(now, t, w)
			return
		case loaded && w.Adapter != "" && !adapterLoaded && t.activeOrder == nil:
			b.orderAdapter(t, w)
			return
		case !loaded && t.activeOrder == nil && loadCandidate == nil && b.canFit(t, w.Model):
			loadCandidate = t
		}
	}
	if !orderInProgress && loadCandidate != nil {
		b.orderLoad(loadCandidate, w.Model)
	}
}

// grant lets the request run at the target and updates the times of last use.
func (b *Baseline) grant(now time.Time, t *baselineTarget, w *waitingRequest) {
	b.lastRun++
	b.runs[b.lastRun] = baselineRun{t.id, w.Model}
	t.runsByModel[w.Model]++
	t.models[w.Model] = now
	if w.Adapter != "" {
		t.adapters[w.Model+"/"+w.Adapter] = now
	}
	b.removeWaiting(w)
	b.actions = append(b.actions, scheduler.Grant{Ticket: w.ticket, Run: b.lastRun, Target: t.id})
}

// orderAdapter orders a load of the request's adapter, or an unload of the least
// recently used adapter if the target has only one free adapter slot or none. Thus
// Baseline leaves one slot unused.
func (b *Baseline) orderAdapter(t *baselineTarget, w *waitingRequest) {
	if len(t.adapters) < b.engine.AdapterSlots-1 {
		b.sendOrder(t, scheduler.Order{Operation: scheduler.Load, Model: w.Model, Adapter: w.Adapter})
		return
	}
	names := sortedKeys(t.adapters)
	oldest := slices.MinFunc(names, func(a, c string) int { return t.adapters[a].Compare(t.adapters[c]) })
	i := slices.Index([]byte(oldest), '/')
	b.sendOrder(t, scheduler.Order{Operation: scheduler.Unload, Model: oldest[:i], Adapter: oldest[i+1:]})
}

// usedMB returns the memory of the models and adapters at the target.
func (b *Baseline) usedMB(t *baselineTarget) float64 {
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

// victim returns the least recently used model without runs, empty if there is
// none.
func (b *Baseline) victim(t *baselineTarget) string {
	idle := slices.DeleteFunc(sortedKeys(t.models), func(m string) bool { return t.runsByModel[m] > 0 })
	if len(idle) == 0 {
		return ""
	}
	return slices.MinFunc(idle, func(a, c string) int { return cmp.Or(t.models[a].Compare(t.models[c]), cmp.Compare(a, c)) })
}

// canFit reports whether the model fits the free memory of the target, or a
// model could be unloaded to free some. One unload may not be enough.
func (b *Baseline) canFit(t *baselineTarget, model string) bool {
	return b.usedMB(t)+b.engine.Models[model].WeightsMB <= b.engine.WeightsMB || b.victim(t) != ""
}

// orderLoad orders a load of the model, or an unload of the victim if the memory
// is too small. canFit must be true.
func (b *Baseline) orderLoad(t *baselineTarget, model string) {
	if b.usedMB(t)+b.engine.Models[model].WeightsMB <= b.engine.WeightsMB {
		b.sendOrder(t, scheduler.Order{Operation: scheduler.Load, Model: model})
		return
	}
	b.sendOrder(t, scheduler.Order{Operation: scheduler.Unload, Model: b.victim(t)})
}

// sendOrder adds an order to the actions. The target must have no order in
// progress.
func (b *Baseline) sendOrder(t *baselineTarget, o scheduler.Order) {
	o.Target, o.Sequence = t.id, t.sequence
	t.activeOrder = &o
	b.actions = append(b.actions, scheduler.SendOrder{Order: o})
}
