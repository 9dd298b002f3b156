// Package scheduler decides, for the targets of one availability zone, which
// request runs where, and which model is loaded or unloaded next. It does no
// I/O and reads no clock: the owner of the zone passes in requests, reports and
// the time, and carries out the actions that Step returns.
package scheduler

import (
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

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiters) }
