package scheduler

import (
	"cmp"
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

// hasWaiters reports whether requests wait for the model.
func (s *Scheduler) hasWaiters(service, model string) bool {
	return s.waitingByModel[modelKey{service, model}] > 0
}
