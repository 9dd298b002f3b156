package scheduler

import (
	"slices"
	"time"
)

// loadPlan is a model to load as soon as the victims, in this order, are unloaded.
// since is when the plan was made, and source is where the weights were to be
// loaded from at that time; continuePlan determines the source again. No decision reads since
// and source.
type loadPlan struct {
	model   string
	source  Source
	victims []string
	since   time.Time
}

// startPlan makes the candidate the plan of its target, closes the victims and
// sends the first order if possible.
func (s *Scheduler) startPlan(now time.Time, k modelKey, best candidate) {
	s.targetsByModel[k] = append(s.targetsByModel[k], best.target)
	s.targetsWithoutPlan = slices.DeleteFunc(s.targetsWithoutPlan, func(t *target) bool { return t == best.target })
	clear(s.replicaValues)
	best.target.plan = &loadPlan{model: k.model, source: best.source, victims: best.victims, since: now}
	for _, v := range best.victims {
		best.target.replicas[v].closing = true
	}
	s.continuePlan(now, best.target)
}

// moveBlockedPlan moves a plan that waits for the end of runs to a target where
// it does not have to wait.
func (s *Scheduler) moveBlockedPlan(now time.Time, k modelKey, st modelState) {
	svc := s.services[k.service]
	if st.blockedTarget == nil || svc == nil || svc.Engine == nil || svc.Engine.Models[k.model] == nil {
		return
	}
	best, ok := s.bestCandidate(now, k, svc.Engine.Models[k.model], svc.Engine, s.needsStore(now, k), false)
	if !ok {
		return
	}
	st.blockedTarget.cancelPlan()
	s.startPlan(now, k, best)
}

// continuePlans sends the next order of each plan.
func (s *Scheduler) continuePlans(now time.Time) {
	for _, t := range s.sortedTargets {
		if t.plan != nil && t.phase == noOrder {
			s.continuePlan(now, t)
		}
	}
}

// continuePlan unloads the plan's next victim, or loads its model once all
// victims are unloaded. It cancels the plan if the target is draining, has the model
// loaded already or its service has no engine, if loads of the model are held, and, once
// the victims are unloaded, if the model is not configured, does not fit into the memory
// or exceeds its quota.
func (s *Scheduler) continuePlan(now time.Time, t *target) {
	if now.Before(t.nextOrderAt) || t.phase != noOrder {
		return
	}
	p := t.plan
	e := s.services[t.info.Service].Engine
	k := modelKey{t.info.Service, p.model}
	if e == nil || t.info.Draining || t.replicas[p.model] != nil || s.loadHold(now, k.baseKey()) > 0 {
		t.cancelPlan()
		return
	}
	for _, v := range p.victims {
		r := t.replicas[v]
		if r == nil {
			continue
		}
		if r.runs == 0 {
			s.sendOrder(now, t, Order{Operation: Unload, Model: v}, 0)
		}
		return
	}
	m := e.Models[p.model]
	if m == nil || t.usedMB(e)+m.WeightsMB > e.WeightsMB || s.overQuota(k) {
		t.cancelPlan()
		return
	}
	source, d := loadSource(t, m)
	if source == FromWeightStore {
		if !s.weightStore.mayStart(now, e, s.zoneCount) {
			return
		}
		d = s.weightStore.expectedDuration(d)
		s.weightStore.loadStarted(now)
		t.peakWeightStoreLoads = s.weightStore.inProgress()
	}
	s.recordLoad(k, d)
	s.sendOrder(now, t, Order{Operation: Load, Model: p.model, Source: source}, d)
}

// planBlocked reports whether the target's plan waits for the end of runs.
func (t *target) planBlocked() bool {
	if t.phase != noOrder || t.plan == nil {
		return false
	}
	for _, v := range t.plan.victims {
		if r := t.replicas[v]; r != nil {
			return r.runs > 0
		}
	}
	return false
}

// cancelPlan removes the plan and reopens its victims.
func (t *target) cancelPlan() {
	for _, r := range t.replicas {
		r.closing = false
	}
	t.plan = nil
}

// sendOrder emits an order to the target and makes it the order in progress.
func (s *Scheduler) sendOrder(now time.Time, t *target, o Order, expected time.Duration) {
	o.Target, o.Sequence = t.info.ID, t.sequence
	t.order, t.phase = &o, orderSent
	t.orderSince, t.expectedDuration = now, expected
	s.emit(SendOrder{Order: o})
}
