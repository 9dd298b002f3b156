// Package scheduler decides, for the targets of one availability zone, which
// request runs where, and which model is loaded or unloaded next. It does no
// I/O and reads no clock: the owner of the zone passes in requests, reports and
// the time, and carries out the actions that Step returns.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fairness"
	"almondturn/pkg/inventory"
	"almondturn/pkg/keepalive"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/route"
)

// Scheduler holds the state of one zone. It is not safe for concurrent use.
type Scheduler struct {
	services map[string]*route.Service
	targets  map[string]*target
	// sortedTargets are the targets, sorted by identifier.
	sortedTargets []*target
	// targetsByModel are the targets that have a model loaded or a plan to load
	// it. Step and Summary rebuild it.
	targetsByModel map[modelKey][]*target
	// targetsWithoutPlan are the targets that may start a plan.
	// findTargetsWithoutPlan sets them and clears replicaValues and copyCounts,
	// which cache the results of replicaValue and targetsWithCopy. startPlan clears
	// replicaValues, too.
	targetsWithoutPlan []*target
	replicaValues      map[modelKey]float64
	copyCounts         map[modelKey]int
	// waitingByModel counts the waiting requests of each model.
	waitingByModel map[modelKey]int
	// lastStepAt is when Step last ran, zero if the targets have changed since.
	lastStepAt time.Time
	// lastScaleAt is when scaleUp last looked for models to scale up.
	lastScaleAt time.Time
	queues      map[queueKey]*queue
	waiters     map[Ticket]*waiter
	runs        map[RunID]*run
	demand      map[modelKey]*demand
	weightStore weightStoreBudget
	// unloads holds the estimate of the time of an unload for each service.
	unloads map[string]*unloadEstimate
	// loadCrashes is the evidence that loads of models and adapters crash their targets, and
	// lostLoads counts those that may have done so; see countLostLoads.
	loadCrashes *quarantine.Ledger
	lostLoads   map[queueKey]int
	// storeWanted holds when each model was last to be loaded from the weight
	// store.
	storeWanted map[modelKey]time.Time
	// eventIntervals holds, for each service, the shortest maximum event
	// interval among its requests.
	eventIntervals map[string]time.Duration
	// prefill estimates the prefill time per token of each service.
	prefill map[string]*prefillEstimate

	// ordersFrom is the start of the order window; see SetOrderWindow.
	ordersFrom time.Time
	// ordersUntil is the end of the order window.
	ordersUntil time.Time
	// zone is the scheduler's own zone. allZones share the weight store and the
	// replica limits; zoneCount is their number, at least 1.
	zone      fleet.Zone
	allZones  []fleet.Zone
	zoneCount int
	// targetLimits holds the rate limits of targets by identifier; limitShare is the share of
	// them that this scheduler gives.
	targetLimits map[string]*targetLimit
	limitShare   float64
	// reportsPace is true once a target has reported its pace.
	reportsPace bool
	// removedTargets are the targets removed from the list recently.
	removedTargets []removedTarget
	// shares holds what customers have been served lately, for services and priorities with
	// a customer. customerWeights are their weights.
	shares          map[shareKey]*fairness.Shares
	customerWeights fairness.Weights
	// fairlyOrderedAt is when orderFairly last set the order.
	fairlyOrderedAt time.Time
	// keepalive is nil until a service with an idle weight needs it.
	keepalive *keepalive.Policy

	lastTicket Ticket
	lastRun    RunID
	actions    []Action
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// New returns a scheduler without targets. Run identifiers start after lastRun,
// so that they differ from those of earlier owners.
func New(lastRun RunID) *Scheduler {
	s := &Scheduler{
		services:       map[string]*route.Service{},
		targets:        map[string]*target{},
		queues:         map[queueKey]*queue{},
		waiters:        map[Ticket]*waiter{},
		runs:           map[RunID]*run{},
		demand:         map[modelKey]*demand{},
		replicaValues:  map[modelKey]float64{},
		copyCounts:     map[modelKey]int{},
		waitingByModel: map[modelKey]int{},
		storeWanted:    map[modelKey]time.Time{},
		eventIntervals: map[string]time.Duration{},
		prefill:        map[string]*prefillEstimate{},
		targetLimits:   map[string]*targetLimit{},
		limitShare:     1,
		lastRun:        lastRun,
		zoneCount:      1,
		lostLoads:      map[queueKey]int{},
		shares:         map[shareKey]*fairness.Shares{},
		unloads:        map[string]*unloadEstimate{},
	}
	s.loadCrashes = s.newLoadLedger()
	return s
}

// SetServices replaces the configuration of the services. Targets of services
// that are no longer configured stay until the next SetTargets, which must come
// before the next Step.
func (s *Scheduler) SetServices(services map[string]*route.Service) {
	var configured []*queue
	for _, q := range s.queues {
		if s.modelConfig(q.key.modelKey()) != nil {
			configured = append(configured, q)
		}
	}
	s.services = services
	for _, q := range configured {
		if s.modelConfig(q.key.modelKey()) == nil {
			q.markModelRemoved()
		}
	}
	clear(s.eventIntervals) // routes may allow other intervals now
}

// SetOrderWindow sets the order window, the time in which the owner may send
// orders: Step returns SendOrder actions only if its time is not before from and
// is before until.
func (s *Scheduler) SetOrderWindow(from, until time.Time) { s.ordersFrom, s.ordersUntil = from, until }

// mayOrder reports whether now is in the order window.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return !now.Before(s.ordersFrom) && now.Before(s.ordersUntil)
}

// SetTargets replaces the list of targets of the zone, which are their inventory
// entries. The list defines which targets exist and when they restarted. The loaded
// models come from the list as long as a target's state is unknown, and then from
// its reports and the results of orders; the local copies come from the latest entry
// or report. Targets of services that are not configured are left out, and removed
// if they were known.
func (s *Scheduler) SetTargets(now time.Time, list []*inventory.Target) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		svc := s.services[info.Service]
		if svc == nil || svc.Engine == nil {
			continue
		}
		seen[info.ID] = true
		t := s.targets[info.ID]
		if t == nil || t.info.Incarnation != info.Incarnation {
			former := t
			s.recordLoadCrash(now, former)
			t = newTarget(info)
			t.inheritOrder(now, former)
			s.inheritLateOrders(now, t, former)
			s.removeRunsOf(info.ID)
			s.targets[info.ID] = t
		}
		t.updateInfo(info)
	}
	for id, t := range s.targets {
		if !seen[id] {
			s.recordLoadCrash(now, t)
			s.recordRemovedTarget(now, t)
			delete(s.targets, id)
			s.removeRunsOf(id)
		}
	}
	s.sortTargets()
	s.lastStepAt = time.Time{}
}

// removeRunsOf removes the runs of a target that was removed or restarted. Later
// calls of RunStarted and RunEnded for them have no effect.
func (s *Scheduler) removeRunsOf(target string) {
	for id, r := range s.runs {
		if r.target == target {
			delete(s.runs, id)
		}
	}
}

// Submit queues a request. A later Step grants or refuses it, or TryGrant grants
// it immediately.
func (s *Scheduler) Submit(now time.Time, r Request) Ticket {
	s.lastTicket++
	w := &waiter{Request: r, ticket: s.lastTicket, submittedAt: now, latencyObjective: r.LatencyObjective}
	s.waiters[w.ticket] = w
	key := queueKey{r.Service, r.Model, r.Adapter}
	q := s.queues[key]
	if q == nil {
		q = &queue{key: key}
		s.queues[key] = q
	}
	q.add(w)
	s.recordCustomer(now, &w.Request)
	s.recordEventInterval(r.Service, r.MaxEventInterval)
	s.waitingByModel[key.modelKey()]++
	if !r.OtherZonesRefused { // otherwise it was counted when this zone referred it to others
		s.recordDemand(now, key.modelKey())
	}
	return w.ticket
}

// recordDemand counts a request for a model.
func (s *Scheduler) recordDemand(now time.Time, k modelKey) {
	s.recordArrival(now, k)
	s.demandOf(k).addRequest(now)
}

// Cancel removes a request whose caller no longer waits. It has no effect if the
// request was already granted or refused.
func (s *Scheduler) Cancel(t Ticket) {
	w := s.waiters[t]
	if w == nil {
		return
	}
	s.removeWaiter(w)
}

// removeWaiter removes a request from its queue.
func (s *Scheduler) removeWaiter(w *waiter) {
	delete(s.waiters, w.ticket)
	key := queueKey{w.Service, w.Model, w.Adapter}
	q := s.queues[key]
	q.remove(w)
	if len(q.waiters) == 0 {
		delete(s.queues, key)
	}
	k := key.modelKey()
	s.waitingByModel[k]--
	if s.waitingByModel[k] == 0 {
		delete(s.waitingByModel, k)
	}
}

// run is a granted request.
type run struct {
	id             RunID
	node           fleet.NodeID
	target         string
	model, adapter string
	tokens         int
	inputTokens    int
	// pendingPrefillTokens is the number of prompt tokens waiting for prefill at
	// the target when the run was granted, including the run's own.
	pendingPrefillTokens int
	// pacedSince is when a target was first skipped for the request because of
	// its prefill budget, zero if none was.
	pacedSince       time.Time
	latencyObjective time.Duration
	grantedAt        time.Time
	started          bool
	// probe is true for a run granted at a target whose load of the model was
	// not yet confirmed.
	probe bool
	// customer and priority are those of the request. They are not known for an adopted run,
	// which an earlier owner granted.
	customer string
	priority int
	adopted  bool
	// factor is the duration factor of the target at the grant, 0 for an adopted run.
	factor float64
}

// RunStarted records the first event of a run's response. It has no effect on
// unknown runs.
func (s *Scheduler) RunStarted(now time.Time, id RunID) {
	r := s.runs[id]
	if r == nil || r.started {
		return
	}
	r.started = true
	t := s.targets[r.target]
	if t == nil {
		return
	}
	t.pendingPrefillTokens = max(t.pendingPrefillTokens-r.inputTokens, 0)
	t.refusals = 0
	s.adapterShown(t, r.model, r.adapter)
	if r.probe {
		if t.phase == modelLoading && t.isLoading(r.model) {
			s.loadSucceeded(queueKey{t.info.Service, r.model, ""}, t.orderSince)
		}
		if o := t.weightStoreLoad(); o != nil && t.phase == modelLoading && o.Model == r.model {
			s.weightStoreLoadFinished(now, t, o)
		}
		t.loadConfirmed(now, r)
		return
	}
	d := s.demandOf(modelKey{t.info.Service, r.model})
	since := r.grantedAt
	if !r.pacedSince.IsZero() {
		since = r.pacedSince // the wait for the prefill budget counts as well
	}
	d.observeStart(now.Sub(since), r.latencyObjective)
	if r.pendingPrefillTokens > 0 {
		s.recordPrefill(modelKey{t.info.Service, r.model}, r.pendingPrefillTokens, s.usualTime(now, t, r))
	}
}

// RunEnded releases the slot of a run. It has no effect on unknown runs.
func (s *Scheduler) RunEnded(now time.Time, id RunID, o Outcome) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	t := s.targets[r.target]
	if t == nil {
		return
	}
	t.removeRun(now, r)
	t.applyOutcome(now, r, o)
	s.returnToLimit(now, t, o)
	s.refundCustomer(t.info.Service, r, o)
	d := s.demandOf(modelKey{t.info.Service, r.model})
	d.idleSince = now
	if o == Completed {
		d.observeEnd(s.usualTime(now, t, r))
	}
}

// AdoptRuns replaces the runs of a node, so that a new owner knows the runs that
// earlier owners granted. Runs at unknown targets are ignored.
func (s *Scheduler) AdoptRuns(now time.Time, node fleet.NodeID, runs []AdoptedRun) {
	s.RemoveRunsOfNode(now, node)
	for _, a := range runs {
		t := s.targets[a.Target]
		if t == nil {
			continue
		}
		r := &run{id: a.ID, node: node, target: a.Target, model: a.Model, adapter: a.Adapter, tokens: a.Tokens, grantedAt: now, adopted: true}
		s.runs[r.id] = r
		t.addRun(now, r)
	}
}

// AdoptedRun is a run granted by an earlier owner.
type AdoptedRun struct {
	ID                     RunID
	Target, Model, Adapter string
	Tokens                 int
}

// RemoveRunsOfNode removes the runs of a node, for example after it has
// disconnected.
func (s *Scheduler) RemoveRunsOfNode(now time.Time, node fleet.NodeID) {
	for id, r := range s.runs {
		if r.node != node {
			continue
		}
		delete(s.runs, id)
		if t := s.targets[r.target]; t != nil {
			t.removeRun(now, r)
		}
	}
}

// Step makes all decisions that are due and returns the actions to carry out.
func (s *Scheduler) Step(now time.Time) []Action {
	s.actions = nil
	s.lastStepAt = now
	s.indexTargets()
	s.expireRemovedTargets(now)
	s.expireLateOrders(now)
	s.refuseExpired(now)
	s.markRetiring(now)
	s.updateWeightStoreBudget(now)
	s.countLostLoads(now)
	queues := s.queuesByUrgency(now)
	s.grantWaiting(now, queues)
	s.findTargetsWithoutPlan(now)
	s.refuseZeroQuota(now, queues)
	s.refuseHeldLoads(now, queues)
	s.redirectWithoutCopy(now, queues)
	if s.mayOrder(now) {
		s.continuePlans(now)
		s.loadAdapters(now, queues)
		s.loadModels(now, queues)
		s.scaleUp(now)
		s.unloadRetiring(now)
	}
	s.refusePaused(now, queues)
	s.refuseUnservable(now, queues)
	s.requestReports(now)
	return s.actions
}

// indexTargets rebuilds targetsByModel.
func (s *Scheduler) indexTargets() {
	s.targetsByModel = make(map[modelKey][]*target, len(s.targetsByModel))
	for _, t := range s.sortedTargets {
		for model := range t.replicas {
			k := modelKey{t.info.Service, model}
			s.targetsByModel[k] = append(s.targetsByModel[k], t)
		}
		if t.plan != nil && t.replicas[t.plan.model] == nil {
			k := modelKey{t.info.Service, t.plan.model}
			s.targetsByModel[k] = append(s.targetsByModel[k], t)
		}
	}
}

// emit adds an action to the result of the current Step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Summary describes the models of the zone to other nodes.
type Summary struct {
	// Loaded lists the models that are loaded, being loaded or planned to be
	// loaded, by service. Full lists those of them that have no free slot and no
	// load planned or in progress. The lists are sorted by name.
	Loaded, Full map[string][]string
	// Backlog is the number of models that requests wait for and that are neither
	// loaded, being loaded nor planned to be loaded at a healthy target.
	Backlog int
	// WeightStoreLoads is the number of loads from the weight store in this zone,
	// including those that may be in progress.
	WeightStoreLoads int
}

// Summary returns a summary of the zone's models.
func (s *Scheduler) Summary(now time.Time) Summary {
	s.indexTargets()
	out := Summary{Loaded: map[string][]string{}, Full: map[string][]string{}, WeightStoreLoads: s.StoreLoads()}
	for _, k := range s.models() {
		st := s.modelState(now, k)
		if st.ready == 0 && st.loading == 0 {
			continue
		}
		out.Loaded[k.service] = append(out.Loaded[k.service], k.model)
		if st.loading == 0 && !s.hasFreeSlot(now, k) {
			out.Full[k.service] = append(out.Full[k.service], k.model)
		}
	}
	waits := map[modelKey]bool{}
	for k := range s.queues {
		if st := s.modelState(now, k.modelKey()); st.ready == 0 && st.loading == 0 {
			waits[k.modelKey()] = true
		}
	}
	out.Backlog = len(waits)
	return out
}

// models returns the models in targetsByModel, sorted by service and model.
func (s *Scheduler) models() []modelKey {
	keys := make([]modelKey, 0, len(s.targetsByModel))
	for k := range s.targetsByModel {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b modelKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
	return keys
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiters) }

// Running returns the number of runs.
func (s *Scheduler) Running() int { return len(s.runs) }
