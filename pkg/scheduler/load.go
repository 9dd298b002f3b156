package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondturn/pkg/pace"
	"almondturn/pkg/route"
)

// Source is where the weights of a load come from.
type Source uint8

// Sources, the fastest first.
const (
	FromMemory Source = iota + 1
	FromDisk
	FromWeightStore
)

// scaleInterval is the time between two checks for models to scale up.
const scaleInterval = 100 * time.Millisecond

// minRunsToScaleOnLatency is the smallest number of runs per replica at which slow
// first events add a replica. With fewer runs, they are not caused by the number
// of requests.
const minRunsToScaleOnLatency = 6

// Thresholds of scaling and of the choice of replicas to unload.
const (
	// scaleUpUtilization is the share of its slots above which a model gets
	// another replica.
	scaleUpUtilization = 0.85
	// plannedUtilization is the share of a replica's slots that is expected to be
	// in use when the number of needed replicas is computed.
	plannedUtilization = 0.7
	// slowStartRatio is the mean time to the first event, as a share of the
	// latency objective, above which a model gets another replica. Below
	// quickStartRatio, an excess replica is unloaded before others.
	slowStartRatio  = 0.4
	quickStartRatio = 0.2
	// closingDelay is how long a request waits before replicas with runs are
	// closed to free memory for its model.
	closingDelay = 300 * time.Millisecond
	// closingTimeEstimate is the expected time until a closing replica has no
	// runs.
	closingTimeEstimate = 1500 * time.Millisecond
	// excessReplicaWeight scales the value of an excess replica.
	excessReplicaWeight = 0.05
)

// modelState counts a model's replicas in the zone and their runs. The field
// loading counts the planned loads and those in progress.
type modelState struct {
	ready, runs, loading int
	// blockedTarget is a target whose plan for the model waits for the end of
	// runs, nil for none.
	blockedTarget *target
}

// modelState returns the state of the model's replicas at healthy targets, among
// the targets in targetsByModel. Submit calls it between steps, when that index may
// still be that of the last step.
func (s *Scheduler) modelState(now time.Time, k modelKey) modelState {
	var st modelState
	for _, t := range s.targetsByModel[k] {
		if !t.healthy(now) {
			continue
		}
		if t.isReady(k.model) {
			st.ready++
			st.runs += t.replicas[k.model].runs
			continue
		}
		if t.plan != nil && t.plan.model == k.model {
			st.loading++
			if t.planBlocked() {
				st.blockedTarget = t
			}
		}
	}
	return st
}

// loadModels plans a load for each queue whose requests find no free slot, the
// one with the largest gain first.
func (s *Scheduler) loadModels(now time.Time, queues []*queue) {
	s.findTargetsWithoutPlan(now)
	for _, q := range s.queuesByGain(now, queues) {
		if len(s.targetsWithoutPlan) == 0 {
			return // no target can start another plan now
		}
		k := q.key.modelKey()
		st := s.modelState(now, k)
		paused := s.needsReplicaInPause(now, q)
		if st.ready > 0 && !paused && (q.key.adapter != "" || s.hasFreeSlot(now, k)) {
			continue
		}
		if st.loading > 0 {
			s.moveBlockedPlan(now, k, st)
			continue
		}
		s.planLoad(now, k, paused || now.Sub(q.waiters[0].submittedAt) >= closingDelay)
	}
}

// lateRequestWeight is the weight of a request that misses its latency objective or is
// above its customer's share; others have weight 1.
const lateRequestWeight = 0.15

// queuesByGain returns the queues with waiting requests in order of the gain of
// a load of their model: the weighted number of requests served per MB of
// weights and second of occupied memory.
func (s *Scheduler) queuesByGain(now time.Time, queues []*queue) []*queue {
	type ranked struct {
		q    *queue
		gain float64
	}
	ranks := make([]ranked, 0, len(queues))
	for _, q := range queues {
		if len(q.waiters) > 0 {
			ranks = append(ranks, ranked{q, s.loadGain(now, q)})
		}
	}
	slices.SortStableFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.gain, a.gain) })
	out := make([]*queue, len(ranks))
	for i, r := range ranks {
		out[i] = r.q
	}
	return out
}

// loadGain returns the gain of a load of the queue's model; see queuesByGain. A
// local copy, if there is one, is assumed to be on disk and not in memory.
func (s *Scheduler) loadGain(now time.Time, q *queue) float64 {
	svc := s.services[q.key.service]
	if svc == nil || svc.Engine == nil || svc.Engine.Models[q.key.model] == nil {
		return 0
	}
	m := svc.Engine.Models[q.key.model]
	load := m.DiskLoadTime
	if s.targetsWithCopy(now, q.key.modelKey()) == 0 {
		load = s.weightStore.expectedDuration(m.WeightStoreLoadTime)
	}
	served := 0.0
	for _, w := range q.waiters {
		if !w.isLate(now.Add(load)) && !w.position.Above {
			served++
		} else {
			served += lateRequestWeight
		}
	}
	occupied := load + s.timeAtReplicas(now, q.key.modelKey(), s.demandOf(q.key.modelKey()).runDuration(), (*pace.Estimate).Lasting)
	return served / (m.WeightsMB * occupied.Seconds())
}

// hasFreeSlot reports whether one of the model's replicas can serve runs at a
// healthy target with a free slot whose limit allows one.
func (s *Scheduler) hasFreeSlot(now time.Time, k modelKey) bool {
	for _, t := range s.targetsByModel[k] {
		if t.healthy(now) && t.canServe(now, k.model, "") && t.runs < s.slots(t) && s.limitAllows(now, t) {
			return true
		}
	}
	return false
}

// scaleUp plans another replica of models whose replicas are too busy or start
// runs too slowly.
func (s *Scheduler) scaleUp(now time.Time) {
	if now.Sub(s.lastScaleAt) < scaleInterval {
		return
	}
	s.lastScaleAt = now
	s.findTargetsWithoutPlan(now)
	for _, k := range s.models() {
		st := s.modelState(now, k)
		svc := s.services[k.service]
		if st.ready == 0 || st.loading > 0 || svc == nil || svc.Engine == nil {
			continue
		}
		d := s.demandOf(k)
		slow := d.latencyRatio > slowStartRatio && st.runs >= minRunsToScaleOnLatency*st.ready
		if slow || st.ready < s.neededReplicas(now, k, svc.Engine) || float64(st.runs) > scaleUpUtilization*float64(svc.Engine.Slots*st.ready) {
			s.planLoad(now, k, slow || s.hasWaiters(k.service, k.model))
			d.latencyRatio = min(d.latencyRatio, quickStartRatio) // wait for the effect of a new replica, also if none was planned
		}
	}
}

// limitedTargetPenalty is added to the score of a load at a target with a rate limit, whose
// replica starts few requests. It is more than a load from disk takes.
const limitedTargetPenalty = 3.0

// candidate is one way to load a model. The lowest score is best: it is the load
// time in seconds plus the values of the victims.
type candidate struct {
	target   *target
	source   Source
	loadTime time.Duration
	victims  []string
	score    float64
}

// planLoad chooses a target for the model and starts a plan. If allowClosing is
// true, the plan may close replicas with runs.
func (s *Scheduler) planLoad(now time.Time, k modelKey, allowClosing bool) {
	svc := s.services[k.service]
	if svc == nil || svc.Engine == nil {
		return
	}
	m := svc.Engine.Models[k.model]
	if m == nil || !s.mayLoad(now, k, m, svc.Engine) {
		return
	}
	fromStore := s.needsStore(now, k) && s.mayUseStore(now, k, svc.Engine)
	best, ok := s.bestCandidate(now, k, m, svc.Engine, fromStore, false)
	if !ok && allowClosing {
		best, ok = s.bestCandidate(now, k, m, svc.Engine, fromStore, true)
	}
	if ok {
		s.startPlan(now, k, best)
	}
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

// targetsWithCopy returns the number of healthy targets with a local copy of the
// model.
func (s *Scheduler) targetsWithCopy(now time.Time, k modelKey) int {
	if n, ok := s.copyCounts[k]; ok {
		return n
	}
	n := 0
	for _, t := range s.sortedTargets {
		if t.info.Service == k.service && t.healthy(now) && t.localCopies[k.model] != 0 {
			n++
		}
	}
	s.copyCounts[k] = n
	return n
}

// needsStore reports whether a replica of the model has to be loaded from the weight
// store. For a first replica that is so only if no target has a copy: a target that has
// one and unloads the model at the moment loads it again sooner than the store does.
func (s *Scheduler) needsStore(now time.Time, k modelKey) bool {
	if s.modelState(now, k).ready == 0 {
		return s.targetsWithCopy(now, k) == 0
	}
	return s.unloadedCopies(now, k) == 0
}

// unloadedCopies returns the number of healthy targets from whose local copy another
// replica of the model could be loaded: those that don't have it loaded, and are not
// occupied by a load from the weight store, which takes longer than one of the model.
func (s *Scheduler) unloadedCopies(now time.Time, k modelKey) int {
	n := 0
	for _, t := range s.sortedTargets {
		occupied := t.replicas[k.model] != nil || t.weightStoreLoad() != nil
		if t.info.Service == k.service && t.healthy(now) && t.localCopies[k.model] != 0 && !occupied {
			n++
		}
	}
	return n
}

// findTargetsWithoutPlan finds the targets that may start a plan, and clears
// replicaValues and copyCounts.
func (s *Scheduler) findTargetsWithoutPlan(now time.Time) {
	s.targetsWithoutPlan = s.targetsWithoutPlan[:0]
	for _, t := range s.sortedTargets {
		if t.healthy(now) && t.phase == noOrder && t.plan == nil {
			s.targetsWithoutPlan = append(s.targetsWithoutPlan, t)
		}
	}
	clear(s.replicaValues)
	clear(s.copyCounts)
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

// bestCandidate returns the candidate with the lowest score, or false if there is
// none. Targets without a local copy are considered only if fromStore is true.
func (s *Scheduler) bestCandidate(now time.Time, k modelKey, m *route.Model, e *route.Engine, fromStore, allowClosing bool) (candidate, bool) {
	var best candidate
	found := false
	for _, t := range s.targetsWithoutPlan {
		if t.info.Service != k.service || t.plan != nil || t.replicas[k.model] != nil {
			continue
		}
		c := candidate{target: t}
		c.source, c.loadTime = loadSource(t, m)
		if c.source == FromWeightStore && (!fromStore || !s.weightStore.mayStart(now, e, s.zoneCount)) {
			continue
		}
		if !s.chooseVictims(now, &c, m, e, allowClosing) {
			continue
		}
		if s.limitOf(t) != nil {
			c.score += limitedTargetPenalty
		}
		c.score += s.paceScore(now, t)
		if !found || c.score < best.score {
			best, found = c, true
		}
	}
	return best, found
}

// loadSource returns where the target loads the weights from, and the declared
// load time.
func loadSource(t *target, m *route.Model) (Source, time.Duration) {
	switch t.localCopies[m.Name] {
	case FromMemory:
		return FromMemory, m.MemoryLoadTime
	case FromDisk:
		return FromDisk, m.DiskLoadTime
	default:
		return FromWeightStore, m.WeightStoreLoadTime
	}
}

// victim is a replica that may be unloaded. Its value is the replicaValue of its
// model, plus closingTimeEstimate in seconds if it has runs; one request per second
// counts as much as one second. mb is the memory that it frees.
type victim struct {
	model    string
	value    float64
	lastUsed time.Time
	mb       float64
}

// chooseVictims adds the replicas to unload to the candidate, the least valuable
// first, and sets its score. It returns false if they don't free enough memory.
// Replicas with runs are chosen only if allowClosing is true.
func (s *Scheduler) chooseVictims(now time.Time, c *candidate, m *route.Model, e *route.Engine, allowClosing bool) bool {
	c.score = c.loadTime.Seconds()
	missingMB := m.WeightsMB - (e.WeightsMB - c.target.usedMB(e))
	if missingMB <= 0 {
		return true
	}
	if !allowClosing && c.target.idleReplicaMB(e) < missingMB {
		return false
	}
	for _, v := range s.victims(now, c.target, m, e, allowClosing) {
		c.victims = append(c.victims, v.model)
		c.score += v.value
		missingMB -= v.mb
		if missingMB <= 0 {
			return true
		}
	}
	return false
}

// idleReplicaMB returns an upper bound of the memory that unloading replicas
// without runs can free.
func (t *target) idleReplicaMB(e *route.Engine) float64 {
	mb := 0.0
	for name, r := range t.replicas {
		if m := e.Models[name]; m != nil && r.runs == 0 && !r.closing {
			mb += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	return mb
}

// victims returns the replicas that may be unloaded for the model, the least
// valuable first. Replicas with runs are among them only if allowClosing is true and
// their value does not exceed the rate of requests for the model. Replicas that are
// closing, not configured or of models with waiting requests are left out.
func (s *Scheduler) victims(now time.Time, t *target, m *route.Model, e *route.Engine, allowClosing bool) []victim {
	demandRate := s.demandOf(modelKey{t.info.Service, m.Name}).perSecond(now)
	var out []victim
	for name, r := range t.replicas {
		if r.closing || r.runs > 0 && !allowClosing || e.Models[name] == nil || s.hasWaiters(t.info.Service, name) {
			continue
		}
		k := modelKey{t.info.Service, name}
		value := s.replicaValue(now, k, e)
		if r.runs > 0 {
			if value > demandRate {
				continue // in more demand than the model to load
			}
			value += closingTimeEstimate.Seconds()
		}
		mb := float64(len(r.adapters))*e.Models[name].AdapterMB + e.Models[name].WeightsMB
		out = append(out, victim{model: name, value: value, lastUsed: r.lastUsed, mb: mb})
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model))
	})
	return out
}

// hasWaiters reports whether requests wait for the model.
func (s *Scheduler) hasWaiters(service, model string) bool {
	return s.waitingByModel[modelKey{service, model}] > 0
}

// replicaValue returns the estimated number of requests per second that would have
// to wait for a load if one replica of the model were unloaded.
func (s *Scheduler) replicaValue(now time.Time, k modelKey, e *route.Engine) float64 {
	if v, ok := s.replicaValues[k]; ok {
		return v
	}
	v := s.computeReplicaValue(now, k, e)
	s.replicaValues[k] = v
	return v
}

// computeReplicaValue returns the rate of requests for the model, scaled down if
// the zone has more replicas than it needs and the latency ratio is below
// quickStartRatio.
func (s *Scheduler) computeReplicaValue(now time.Time, k modelKey, e *route.Engine) float64 {
	rate := s.demandOf(k).perSecond(now)
	if s.modelState(now, k).ready > s.neededReplicas(now, k, e) && s.demandOf(k).latencyRatio < quickStartRatio {
		return excessReplicaWeight * rate
	}
	return rate
}

// neededReplicas returns the number of replicas for the model's demand in the
// zone. By Little's law, the number of concurrent runs is their rate times their
// mean duration.
func (s *Scheduler) neededReplicas(now time.Time, k modelKey, e *route.Engine) int {
	d := s.demandOf(k)
	running := d.perSecond(now) * s.timeAtReplicas(now, k, d.runDuration(), (*pace.Estimate).Lasting).Seconds()
	return max(int(math.Ceil(running/(plannedUtilization*float64(max(e.Slots, 1))))), 1)
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

// plannedMB returns the memory in use after the target's plan is carried out.
func (t *target) plannedMB(e *route.Engine) float64 {
	used := t.usedMB(e)
	if t.plan == nil {
		return used
	}
	for _, v := range t.plan.victims {
		if r, m := t.replicas[v], e.Models[v]; r != nil && m != nil {
			used -= m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	if m := e.Models[t.plan.model]; m != nil && t.replicas[t.plan.model] == nil {
		used += m.WeightsMB
	}
	return used
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
